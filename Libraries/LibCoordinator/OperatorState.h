/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The state that results from the operators' committed orders: the declaration and
// the evacuated availability zones. It is a value that is built from a snapshot and
// the entries after it, and replaced whole when the log is opened again, so that no
// entry is applied twice to a part of it. Without side effects.

#pragma once

#include <LibCoordinator/EvacuatedZones.h>
#include <LibCore/Result.h>
#include <LibProtocol/Generated/fleet_types.h>

#include <string>

namespace Coordinator
{

/** State machine over the entries of the replicated log. */
class OperatorState
{
public:
    /** Builds the state from a snapshot. Fails with Corruption when the snapshot or the declaration in it can't be read. */
    [[nodiscard]] static Core::Result<OperatorState> fromSnapshot(const std::string &bytes);
    /** Returns the state as a snapshot. */
    [[nodiscard]] std::string toSnapshot() const;

    /** Applies the command of the committed entry at an index; empty for an entry that holds no order. An unreadable command is logged and skipped. */
    void apply(const std::string &command, std::int64_t index);

    /** Index of the last applied entry; 0 when there is none. */
    [[nodiscard]] std::int64_t appliedIndex() const;
    /** The version of the newest declaration; -1 when there is none. */
    [[nodiscard]] std::int64_t version() const;
    /** The text of the newest declaration, as the operator sent it. */
    [[nodiscard]] const std::string &content() const;
    /** The text of the newest declaration, compressed. */
    [[nodiscard]] const std::string &compressed() const;
    [[nodiscard]] const Protocol::Evacuations &evacuations() const;

private:
    void applyDeclaration(std::int64_t version, const std::string &compressed);

    std::int64_t lastApplied{0};
    std::int64_t newestVersion{-1};
    std::string newestCompressed;
    std::string newestContent;
    EvacuatedZones evacuated;
};

}
