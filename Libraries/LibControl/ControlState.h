/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The state that the replicated log carries: the accepted configurations and
// the claims of non-repeatable requests. A pure function of the commands.

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibProtocol/Generated/control_types.h>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace Control
{

/** How long records are kept. */
struct ControlStateOptions {
    /** A key older than this is refused, and its record may go. */
    std::chrono::milliseconds claimHorizon{std::chrono::hours(24)};
    /** How far ahead of the log's time a key's embedded time may be. */
    std::chrono::milliseconds futureTolerance{std::chrono::minutes(5)};
    /** Accepted changes that history and resent changes reach back to. */
    std::size_t keptChanges{1000};
    /** Accepted changes that rollback and deltas reach back to. */
    std::size_t keptContents{64};
};

/** What came of a command. Exactly one member is meant, by the command's kind. */
struct CommandOutcome {
    Protocol::ApplyOutcome change;
    Protocol::ClaimReply claim;
    Protocol::SettleReply settle;
};

/** Applies commands in log order. Every instance reaches the same state and outcomes. */
class ControlState
{
public:
    explicit ControlState(ControlStateOptions options = {});

    /** Carries out one command. */
    CommandOutcome apply(const Protocol::Command &command);

    /** What a change would come to, without carrying it out. */
    [[nodiscard]] Protocol::ApplyOutcome examine(const Protocol::ConfigurationChange &change) const;

    [[nodiscard]] std::int64_t revision() const;
    /** The configuration of the current revision; an empty one at revision 0. */
    [[nodiscard]] const Protocol::Configuration &configuration() const;
    /** The configuration of a revision, or nullptr when it is not kept. Revision 0 is the empty one. */
    [[nodiscard]] const Protocol::Configuration *configurationAt(std::int64_t revision) const;
    /** The latest changes, newest first. */
    [[nodiscard]] std::vector<Protocol::HistoryEntry> history(std::size_t limit) const;
    [[nodiscard]] std::size_t claimCount() const;
    [[nodiscard]] std::int64_t timeMilliseconds() const;

    [[nodiscard]] std::string takeSnapshot() const;
    [[nodiscard]] Core::Result<void> restoreSnapshot(const std::string &bytes);

private:
    [[nodiscard]] Protocol::ApplyOutcome accept(const Protocol::ConfigurationChange &change);
    [[nodiscard]] Protocol::ClaimReply claim(const Protocol::ClaimRequest &request);
    [[nodiscard]] Protocol::ClaimReply answerFromRecord(const Protocol::ClaimRecord &record, const Protocol::ClaimRequest &request) const;
    [[nodiscard]] Protocol::SettleReply settle(const Protocol::SettleRequest &request);
    [[nodiscard]] const Protocol::AcceptedChange *changeWithId(const std::string &changeId) const;
    void insertClaim(const Protocol::ClaimRecord &record);
    void eraseClaim(const std::string &key);
    void expireClaims();
    void forgetOldChanges();

    ControlStateOptions options;
    // Invariant: never decreases.
    std::int64_t time{0};
    // Invariant: consecutive revisions, the last one is the current one.
    std::vector<Protocol::AcceptedChange> changes;
    std::unordered_map<std::string, Protocol::ClaimRecord> claims;
    // Invariant: one key for each record of `claims`, by the time embedded in it.
    std::multimap<std::int64_t, std::string> claimsByKeyTime;
};

}
