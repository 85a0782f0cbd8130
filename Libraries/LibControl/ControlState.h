/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The state machine of the replicated log: the accepted configurations and the claims of non-repeatable requests. It depends only on the
// commands and their order, and reads no clock.

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

/** Limits on the age and the number of records. */
struct ControlStateOptions {
    /** Maximum age of an idempotency key. An older key is rejected, and its record is removed. */
    std::chrono::milliseconds claimHorizon{std::chrono::hours(24)};
    /** Maximum by which the time embedded in a key may be ahead of the log's time. */
    std::chrono::milliseconds futureTolerance{std::chrono::minutes(5)};
    /** Number of accepted changes that are kept for the history and to recognize a change that is sent again. */
    std::size_t retainedChanges{1000};
    /** Number of accepted changes whose configuration is kept for rollbacks and deltas. */
    std::size_t retainedContents{64};
};

/** The outcome of a command. Only the member for the kind of the command is set. */
struct CommandOutcome {
    Protocol::ApplyOutcome change;
    Protocol::ClaimReply claim;
    Protocol::SettleReply settle;
};

/** Applies commands in log order, so that every instance gets the same state and the same outcomes. */
class ControlState
{
public:
    explicit ControlState(ControlStateOptions options = {});

    CommandOutcome apply(const Protocol::Command &command);

    /** The outcome that a change would have now. Nothing is changed. */
    [[nodiscard]] Protocol::ApplyOutcome evaluate(const Protocol::ConfigurationChange &change) const;

    [[nodiscard]] std::int64_t revision() const;
    /** The configuration of the current revision; the empty configuration at revision 0. */
    [[nodiscard]] const Protocol::Configuration &configuration() const;
    /** The configuration of a revision, or nullptr when it is not kept. Revision 0 has the empty configuration. */
    [[nodiscard]] const Protocol::Configuration *configurationAt(std::int64_t revision) const;
    /** The latest accepted changes, newest first. */
    [[nodiscard]] std::vector<Protocol::HistoryEntry> history(std::size_t limit) const;
    [[nodiscard]] std::size_t claimCount() const;
    /** The log's time, the latest wall time that a command carried, in milliseconds since the Unix epoch. */
    [[nodiscard]] std::int64_t timeMilliseconds() const;

    [[nodiscard]] std::string takeSnapshot() const;
    [[nodiscard]] Core::Result<void> restoreSnapshot(const std::string &bytes);

private:
    [[nodiscard]] Protocol::ApplyOutcome accept(const Protocol::ConfigurationChange &change);
    [[nodiscard]] Protocol::ClaimReply claim(const Protocol::ClaimRequest &request);
    [[nodiscard]] Protocol::ClaimReply replyFromRecord(const Protocol::ClaimRecord &record, const Protocol::ClaimRequest &request) const;
    [[nodiscard]] Protocol::SettleReply settle(const Protocol::SettleRequest &request);
    [[nodiscard]] const Protocol::AcceptedChange *changeWithId(const std::string &changeId) const;
    void insertClaim(const Protocol::ClaimRecord &record);
    void eraseClaim(const std::string &key);
    void expireClaims();
    void discardOldChanges();

    ControlStateOptions options;
    // The log's time in milliseconds since the Unix epoch. Invariant: it never decreases.
    std::int64_t time{0};
    // Invariant: the revisions are consecutive, and the last one is current.
    std::vector<Protocol::AcceptedChange> changes;
    std::unordered_map<std::string, Protocol::ClaimRecord> claims;
    // Invariant: has the key of each record in `claims`, ordered by the time that is embedded in the key.
    std::multimap<std::int64_t, std::string> claimsByKeyTime;
};

}
