/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibControl/ControlState.h>

#include <LibControl/ConfigurationRules.h>
#include <LibCore/Identity.h>
#include <LibRpc/Serialization.h>

#include <algorithm>

namespace Control
{

ControlState::ControlState(ControlStateOptions options) : options(options)
{
}

CommandOutcome ControlState::apply(const Protocol::Command &command)
{
    this->time = std::max(this->time, command.timeMilliseconds);
    this->expireClaims();
    CommandOutcome outcome;
    if (command.__isset.change) {
        outcome.change = this->accept(command.change);
    } else if (command.__isset.claim) {
        outcome.claim = this->claim(command.claim);
    } else if (command.__isset.settle) {
        outcome.settle = this->settle(command.settle);
    }
    return outcome;
}

// ---- Configuration

std::int64_t ControlState::revision() const
{
    return this->changes.empty() ? 0 : this->changes.back().revision;
}

static const Protocol::Configuration &emptyConfiguration()
{
    static const Protocol::Configuration empty;
    return empty;
}

const Protocol::Configuration &ControlState::configuration() const
{
    return this->changes.empty() ? emptyConfiguration() : this->changes.back().change.configuration;
}

const Protocol::Configuration *ControlState::configurationAt(std::int64_t revision) const
{
    if (revision == 0) {
        return &emptyConfiguration();
    }
    const std::int64_t first = this->changes.empty() ? 0 : this->changes.front().revision;
    if (this->changes.empty() || revision < first || revision > this->revision()) {
        return nullptr;
    }
    const auto &accepted = this->changes[static_cast<std::size_t>(revision - first)];
    return accepted.contentKept ? &accepted.change.configuration : nullptr;
}

const Protocol::AcceptedChange *ControlState::changeWithId(const std::string &changeId) const
{
    const auto found = std::find_if(this->changes.rbegin(), this->changes.rend(), [&changeId](const Protocol::AcceptedChange &accepted) {
        return accepted.change.changeId == changeId;
    });
    return found == this->changes.rend() ? nullptr : &*found;
}

static Protocol::ApplyOutcome makeOutcome(Protocol::ApplyStatus::type status, std::int64_t revision)
{
    Protocol::ApplyOutcome outcome;
    outcome.status = status;
    outcome.revision = revision;
    return outcome;
}

// Compares what the operator sent, to distinguish a change that is sent again from another change with the same id.
static bool isSameRequest(const Protocol::ConfigurationChange &first, const Protocol::ConfigurationChange &second)
{
    const bool sameRollback = first.__isset.rollbackTo == second.__isset.rollbackTo && first.rollbackTo == second.rollbackTo;
    return first.contentDigest == second.contentDigest && first.baseRevision == second.baseRevision && sameRollback;
}

Protocol::ApplyOutcome ControlState::evaluate(const Protocol::ConfigurationChange &change) const
{
    const auto *earlier = this->changeWithId(change.changeId);
    if (earlier != nullptr) {
        // A change that is sent again gets the same outcome as the first time.
        const bool resent = isSameRequest(earlier->change, change);
        auto outcome = makeOutcome(resent ? Protocol::ApplyStatus::ACCEPTED : Protocol::ApplyStatus::CHANGE_ID_REUSED, earlier->revision);
        outcome.differences = earlier->differences;
        return outcome;
    }
    if (change.baseRevision != this->revision()) {
        auto outcome = makeOutcome(Protocol::ApplyStatus::CONFLICT, this->revision());
        const auto *base = this->configurationAt(change.baseRevision);
        outcome.differences = findDifferences(base == nullptr ? emptyConfiguration() : *base, this->configuration());
        return outcome;
    }
    const auto *target = change.__isset.rollbackTo ? this->configurationAt(change.rollbackTo) : nullptr;
    if (change.__isset.rollbackTo && target == nullptr) {
        auto outcome = makeOutcome(Protocol::ApplyStatus::INVALID, this->revision());
        Protocol::Fault fault;
        fault.path = "rollbackTo";
        fault.message = "the configuration of this revision is not kept";
        outcome.faults.push_back(fault);
        return outcome;
    }
    const auto &content = target == nullptr ? change.configuration : *target;
    auto outcome = makeOutcome(Protocol::ApplyStatus::WOULD_BE_ACCEPTED, this->revision() + 1);
    outcome.faults = findFaults(content);
    if (!outcome.faults.empty()) {
        outcome.status = Protocol::ApplyStatus::INVALID;
        outcome.revision = this->revision();
        return outcome;
    }
    outcome.differences = findDifferences(this->configuration(), content);
    return outcome;
}

Protocol::ApplyOutcome ControlState::accept(const Protocol::ConfigurationChange &change)
{
    auto outcome = this->evaluate(change);
    if (outcome.status != Protocol::ApplyStatus::WOULD_BE_ACCEPTED) {
        return outcome;
    }
    outcome.status = Protocol::ApplyStatus::ACCEPTED;
    Protocol::AcceptedChange accepted;
    accepted.revision = outcome.revision;
    accepted.change = change;
    if (change.__isset.rollbackTo) {
        accepted.change.configuration = *this->configurationAt(change.rollbackTo);
    }
    accepted.acceptedAtMilliseconds = this->time;
    accepted.differences = outcome.differences;
    this->changes.push_back(std::move(accepted));
    this->discardOldChanges();
    return outcome;
}

void ControlState::discardOldChanges()
{
    if (this->changes.size() > this->options.retainedChanges) {
        this->changes.erase(this->changes.begin());
    }
    if (this->changes.size() > this->options.retainedContents) {
        auto &old = this->changes[this->changes.size() - this->options.retainedContents - 1];
        old.contentKept = false;
        old.change.configuration = emptyConfiguration();
    }
}

std::vector<Protocol::HistoryEntry> ControlState::history(std::size_t limit) const
{
    std::vector<Protocol::HistoryEntry> entries;
    for (auto accepted = this->changes.rbegin(); accepted != this->changes.rend() && entries.size() < limit; ++accepted) {
        Protocol::HistoryEntry entry;
        entry.revision = accepted->revision;
        entry.changeId = accepted->change.changeId;
        entry.baseRevision = accepted->change.baseRevision;
        entry.acceptedAtMilliseconds = accepted->acceptedAtMilliseconds;
        entry.differences = accepted->differences;
        entries.push_back(std::move(entry));
    }
    return entries;
}

// ---- Claims

static Protocol::ClaimReply makeReply(Protocol::ClaimStatus::type status)
{
    Protocol::ClaimReply reply;
    reply.status = status;
    return reply;
}

Protocol::ClaimReply ControlState::replyFromRecord(const Protocol::ClaimRecord &record, const Protocol::ClaimRequest &request) const
{
    if (record.requestDigest != request.requestDigest) {
        return makeReply(Protocol::ClaimStatus::KEY_REUSED);
    }
    if (record.__isset.outcome) {
        auto reply = makeReply(Protocol::ClaimStatus::COMPLETED);
        reply.__set_outcome(record.outcome);
        return reply;
    }
    // The same attempt claims the key again when the reply to its first claim was lost.
    if (record.attemptId == request.attemptId) {
        return makeReply(Protocol::ClaimStatus::GRANTED);
    }
    const bool withinLimit = this->time < record.limitAtMilliseconds;
    return makeReply(withinLimit ? Protocol::ClaimStatus::IN_PROGRESS : Protocol::ClaimStatus::OUTCOME_UNKNOWN);
}

Protocol::ClaimReply ControlState::claim(const Protocol::ClaimRequest &request)
{
    const auto known = this->claims.find(request.key);
    if (known != this->claims.end()) {
        return this->replyFromRecord(known->second, request);
    }
    const auto keyTime = Core::timeOfUuidVersion7(request.key);
    if (!keyTime.has_value() || keyTime->count() < this->time - this->options.claimHorizon.count()) {
        return makeReply(Protocol::ClaimStatus::KEY_EXPIRED);
    }
    if (keyTime->count() > this->time + this->options.futureTolerance.count()) {
        return makeReply(Protocol::ClaimStatus::KEY_FROM_FUTURE);
    }
    Protocol::ClaimRecord record;
    record.key = request.key;
    record.requestDigest = request.requestDigest;
    record.attemptId = request.attemptId;
    record.claimedAtMilliseconds = this->time;
    record.limitAtMilliseconds = this->time + request.executionLimitMilliseconds;
    this->insertClaim(record);
    return makeReply(Protocol::ClaimStatus::GRANTED);
}

Protocol::SettleReply ControlState::settle(const Protocol::SettleRequest &request)
{
    Protocol::SettleReply reply;
    const auto known = this->claims.find(request.key);
    if (known == this->claims.end() || known->second.attemptId != request.attemptId) {
        reply.status = Protocol::SettleStatus::NO_SUCH_CLAIM;
        return reply;
    }
    reply.status = Protocol::SettleStatus::SETTLED;
    if (known->second.__isset.outcome) {
        // A recorded outcome is final. A later outcome or release is ignored.
        return reply;
    }
    if (request.__isset.outcome) {
        known->second.__set_outcome(request.outcome);
    } else {
        this->eraseClaim(request.key);
    }
    return reply;
}

void ControlState::insertClaim(const Protocol::ClaimRecord &record)
{
    const auto keyTime = Core::timeOfUuidVersion7(record.key).value_or(Core::WallTime(0));
    this->claims[record.key] = record;
    this->claimsByKeyTime.emplace(keyTime.count(), record.key);
}

void ControlState::eraseClaim(const std::string &key)
{
    const auto keyTime = Core::timeOfUuidVersion7(key).value_or(Core::WallTime(0));
    const auto [first, last] = this->claimsByKeyTime.equal_range(keyTime.count());
    const auto entry = std::find_if(first, last, [&key](const auto &candidate) {
        return candidate.second == key;
    });
    if (entry != last) {
        this->claimsByKeyTime.erase(entry);
    }
    this->claims.erase(key);
}

void ControlState::expireClaims()
{
    // NOTE: A record is removed only when its key would be rejected as too old, so no key is ever granted twice.
    const std::int64_t oldest = this->time - this->options.claimHorizon.count();
    while (!this->claimsByKeyTime.empty() && this->claimsByKeyTime.begin()->first < oldest) {
        this->claims.erase(this->claimsByKeyTime.begin()->second);
        this->claimsByKeyTime.erase(this->claimsByKeyTime.begin());
    }
}

std::size_t ControlState::claimCount() const
{
    return this->claims.size();
}

std::int64_t ControlState::timeMilliseconds() const
{
    return this->time;
}

// ---- Snapshots

std::string ControlState::takeSnapshot() const
{
    Protocol::ControlSnapshot snapshot;
    snapshot.timeMilliseconds = this->time;
    snapshot.changes = this->changes;
    // The claims are written in the order of their keys' times, so that equal states give equal bytes.
    for (const auto &[keyTime, key] : this->claimsByKeyTime) {
        snapshot.claims.push_back(this->claims.at(key));
    }
    return Rpc::serialize(snapshot);
}

Core::Result<void> ControlState::restoreSnapshot(const std::string &bytes)
{
    auto snapshot = Rpc::deserialize<Protocol::ControlSnapshot>(bytes);
    if (!snapshot.has_value()) {
        return tl::make_unexpected(snapshot.error());
    }
    this->time = snapshot->timeMilliseconds;
    this->changes = std::move(snapshot->changes);
    this->claims.clear();
    this->claimsByKeyTime.clear();
    for (const auto &record : snapshot->claims) {
        this->insertClaim(record);
    }
    return {};
}

}
