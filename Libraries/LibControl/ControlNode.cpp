/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibControl/ControlNode.h>

#include <LibConsensus/Membership.h>
#include <LibControl/ConfigurationDelta.h>
#include <LibControl/ConfigurationRules.h>
#include <LibCore/Log.h>
#include <LibRpc/Serialization.h>

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace Control
{

static constexpr int TicksPerHeartbeat = 4;
static constexpr Core::Duration RepairPeriod = Core::seconds(1);
// An entry instance that has sent no follow request for this time is no longer listed in the status.
static constexpr Core::Duration EntryInstanceRetention = Core::seconds(60);
static constexpr Core::Duration DrainPollPeriod = Core::milliseconds(20);

ControlNode::ControlNode(ControlNodeOptions options, Core::TimerService &timers, Core::Clock clock)
    : options(std::move(options)), timers(timers), clock(std::move(clock)), state(this->options.state)
{
}

Core::Result<std::unique_ptr<ControlNode>> ControlNode::create(
    ControlNodeOptions options, Storage::Folder &folder, Core::TimerService &timers, Core::Clock clock)
{
    std::unique_ptr<ControlNode> node(new ControlNode(std::move(options), timers, std::move(clock)));
    auto outcome = node->start(folder);
    if (!outcome.has_value()) {
        return tl::make_unexpected(outcome.error());
    }
    return node;
}

Core::Result<void> ControlNode::start(Storage::Folder &folder)
{
    auto opened = Storage::WriteAheadLog::create(folder);
    if (!opened.has_value()) {
        return tl::make_unexpected(opened.error());
    }
    this->writeAheadLog = std::move(opened.value());
    auto log = Consensus::ReplicatedLog::create(this->options.log, this->makeLogHooks(), *this->writeAheadLog, this->timers.now());
    if (!log.has_value()) {
        return tl::make_unexpected(log.error());
    }
    this->replicatedLog = std::move(log.value());
    this->tickTimer = this->timers.every(this->options.log.heartbeatPeriod / TicksPerHeartbeat, [this](Core::Instant) {
        this->tick();
    });
    this->repairTimer = this->timers.every(RepairPeriod, [this](Core::Instant) {
        this->repair();
        this->removeStaleEntryInstances();
    });
    return {};
}

Consensus::ReplicatedLogHooks ControlNode::makeLogHooks()
{
    return Consensus::ReplicatedLogHooks{
        .send = this->options.send,
        .apply =
            [this](const Protocol::LogEntry &entry) {
                this->applyEntry(entry);
            },
        .takeSnapshot =
            [this] {
                return this->state.takeSnapshot();
            },
        .restoreSnapshot =
            [this](const std::string &bytes) {
                return this->state.restoreSnapshot(bytes);
            },
        .flushNeeded =
            [this] {
                this->scheduleFlush();
            },
    };
}

const Consensus::ReplicatedLog &ControlNode::log() const
{
    return *this->replicatedLog;
}

const ControlState &ControlNode::controlState() const
{
    return this->state;
}

std::uint64_t ControlNode::syncCount() const
{
    return this->writeAheadLog->syncCount();
}

std::uint64_t ControlNode::bytesWritten() const
{
    return this->writeAheadLog->bytesWritten();
}

// ---- Timers and commits

void ControlNode::tick()
{
    this->replicatedLog->tick(this->timers.now());
    if (this->replicatedLog->role() != Consensus::Role::Leader) {
        this->failWaitingProposals();
        this->entryInstances.clear();
    }
}

void ControlNode::scheduleFlush()
{
    // All commands that are proposed in the same iteration of the event loop share one write and one sync.
    if (this->flushTimer.isActive()) {
        return;
    }
    this->flushTimer = this->timers.once(Core::Duration(0), [this](Core::Instant now) {
        this->replicatedLog->flush(now);
    });
}

void ControlNode::receive(const std::vector<Protocol::LogMessage> &messages)
{
    for (const auto &message : messages) {
        this->replicatedLog->receive(message, this->timers.now());
    }
}

void ControlNode::applyEntry(const Protocol::LogEntry &entry)
{
    CommandOutcome outcome;
    if (!entry.command.empty()) {
        const auto command = Rpc::deserialize<Protocol::Command>(entry.command);
        if (command.has_value()) {
            outcome = this->state.apply(command.value());
        } else {
            // Every instance has the same bytes in this entry, so every instance skips it alike and their states stay equal.
            Core::logEvent(Core::LogLevel::Error, "control.command_unreadable", {{"index", entry.index}, {"error", command.error().message}});
        }
    }
    const auto proposal = this->waiting.take(entry);
    if (proposal.has_value()) {
        proposal->hook(proposal->isProposedEntry ? &outcome : nullptr);
    }
}

void ControlNode::propose(Protocol::Command command, OutcomeHook done)
{
    command.timeMilliseconds = this->clock.wallTime().count();
    const auto index = this->replicatedLog->propose(Rpc::serialize(command));
    if (!index.has_value()) {
        done(nullptr);
        return;
    }
    this->waiting.add(index.value(), this->replicatedLog->term(), std::move(done));
}

void ControlNode::failWaitingProposals()
{
    for (const auto &hook : this->waiting.takeAll()) {
        hook(nullptr);
    }
}

bool ControlNode::acceptsCommands() const
{
    return this->replicatedLog->role() == Consensus::Role::Leader && !this->draining;
}

std::string ControlNode::leaderOperatorAddress() const
{
    const auto *leader = this->replicatedLog->leader();
    return leader == nullptr ? std::string() : leader->operatorAddress;
}

std::string ControlNode::leaderEntryAddress() const
{
    const auto *leader = this->replicatedLog->leader();
    return leader == nullptr ? std::string() : leader->entryAddress;
}

// ---- Requests of operators

static Protocol::ConfigurationChange toChange(const Protocol::ApplyRequest &request)
{
    Protocol::ConfigurationChange change;
    change.changeId = request.changeId;
    change.baseRevision = request.baseRevision;
    change.configuration = request.configuration;
    change.contentDigest = contentDigest(request.configuration);
    if (request.__isset.rollbackTo) {
        change.__set_rollbackTo(request.rollbackTo);
    }
    return change;
}

void ControlNode::applyChange(const Protocol::ApplyRequest &request, ReplyHook<Protocol::ApplyOutcome> done)
{
    Protocol::ApplyOutcome refusal;
    refusal.leaderAddress = this->leaderOperatorAddress();
    if (!this->acceptsCommands()) {
        refusal.status = Protocol::ApplyStatus::NOT_LEADER;
        done(refusal);
        return;
    }
    if (request.changeId.empty()) {
        refusal.status = Protocol::ApplyStatus::INVALID;
        Protocol::Fault fault;
        fault.path = "changeId";
        fault.message = "is empty";
        refusal.faults.push_back(fault);
        done(refusal);
        return;
    }
    const auto change = toChange(request);
    refusal.status = Protocol::ApplyStatus::UNKNOWN;
    const auto replyUnknown = [refusal, done] {
        done(refusal);
    };
    if (request.dryRun) {
        this->replicatedLog->confirmLeadership([this, change, replyUnknown, done](bool confirmed) {
            if (confirmed) {
                done(this->state.evaluate(change));
            } else {
                replyUnknown();
            }
        });
        return;
    }
    Protocol::Command command;
    command.__set_change(change);
    this->propose(std::move(command), [replyUnknown, done](const CommandOutcome *outcome) {
        if (outcome == nullptr) {
            replyUnknown();
            return;
        }
        const auto &answer = outcome->change;
        Core::logEvent(Core::LogLevel::Information,
            "configuration.answered",
            {{"status", static_cast<int>(answer.status)}, {"revision", answer.revision}, {"faults", answer.faults.size()}});
        done(answer);
    });
}

void ControlNode::show(std::int64_t revision, ReplyHook<Protocol::ShowReply> done)
{
    this->replicatedLog->confirmLeadership([this, revision, done = std::move(done)](bool confirmed) {
        Protocol::ShowReply reply;
        reply.confirmed = confirmed;
        reply.leaderAddress = this->leaderOperatorAddress();
        reply.revision = revision == 0 ? this->state.revision() : revision;
        const auto *configuration = this->state.configurationAt(reply.revision);
        reply.found = configuration != nullptr;
        if (configuration != nullptr) {
            reply.configuration = *configuration;
        }
        done(reply);
    });
}

std::vector<Protocol::HistoryEntry> ControlNode::history(std::int32_t limit) const
{
    return this->state.history(static_cast<std::size_t>(std::max(0, limit)));
}

void ControlNode::status(ReplyHook<Protocol::ControlStatus> done)
{
    this->replicatedLog->confirmLeadership([this, done = std::move(done)](bool confirmed) {
        done(this->makeStatus(confirmed));
    });
}

Protocol::ControlStatus ControlNode::makeStatus(bool confirmed) const
{
    const auto &log = *this->replicatedLog;
    Protocol::ControlStatus status;
    status.instanceName = log.identity().name;
    status.role = Consensus::roleName(log.role());
    status.leaderAddress = this->leaderOperatorAddress();
    status.term = log.term();
    status.commitIndex = log.commitIndex();
    status.lastIndex = log.lastIndex();
    status.revision = this->state.revision();
    status.claims = static_cast<std::int64_t>(this->state.claimCount());
    status.confirmed = confirmed;
    status.identity = log.identity();
    status.initialised = log.isInitialised();
    status.membership = log.membership();
    status.storageFailure = log.storageFailure();
    for (const auto &[name, entryInstance] : this->entryInstances) {
        Protocol::EntryConfirmation confirmation;
        confirmation.entryName = name;
        confirmation.confirmedRevision = entryInstance.revision;
        confirmation.lastSeenMillisecondsAgo = Core::toMilliseconds(this->timers.now() - entryInstance.lastSeen);
        status.entries.push_back(confirmation);
    }
    return status;
}

Protocol::MemberOutcome ControlNode::bootstrap(const Protocol::Membership &membership)
{
    Protocol::MemberOutcome outcome;
    const auto bootstrapped = this->replicatedLog->bootstrap(membership);
    outcome.status = bootstrapped.has_value() ? Protocol::MemberStatus::DONE : Protocol::MemberStatus::REFUSED;
    outcome.message = bootstrapped.has_value() ? std::string() : bootstrapped.error().message;
    return outcome;
}

void ControlNode::changeMember(const Protocol::MemberChange &change, ReplyHook<Protocol::MemberOutcome> done)
{
    Protocol::MemberOutcome outcome;
    outcome.leaderAddress = this->leaderOperatorAddress();
    if (!this->acceptsCommands()) {
        outcome.status = Protocol::MemberStatus::NOT_LEADER;
        done(outcome);
        return;
    }
    const auto index = this->replicatedLog->proposeMembership(change);
    if (!index.has_value()) {
        outcome.status = Protocol::MemberStatus::REFUSED;
        outcome.message = index.error().message;
        done(outcome);
        return;
    }
    this->waiting.add(index.value(), this->replicatedLog->term(), [outcome, done = std::move(done)](const CommandOutcome *committed) mutable {
        outcome.status = committed != nullptr ? Protocol::MemberStatus::DONE : Protocol::MemberStatus::UNKNOWN;
        done(outcome);
    });
}

std::string ControlNode::dump() const
{
    const auto status = this->makeStatus(false);
    nlohmann::json document;
    document["instance"] = status.instanceName;
    document["zone"] = status.identity.zone;
    document["storage_id"] = status.identity.storageId;
    document["role"] = status.role;
    document["term"] = status.term;
    document["commit_index"] = status.commitIndex;
    document["last_index"] = status.lastIndex;
    document["revision"] = status.revision;
    document["claims"] = status.claims;
    document["log_time_ms"] = this->state.timeMilliseconds();
    document["draining"] = this->draining;
    document["waiting_commands"] = this->waiting.size();
    document["storage"] = {{"failure", status.storageFailure}, {"syncs", this->syncCount()}, {"bytes_written", this->bytesWritten()}};
    document["members"] = nlohmann::json::array();
    for (const auto &member : status.membership.members) {
        const bool isLeader = this->replicatedLog->role() == Consensus::Role::Leader;
        const auto sinceContact = Core::toMilliseconds(this->timers.now() - this->replicatedLog->lastContactWith(member.name));
        document["members"].push_back({{"name", member.name},
            {"zone", member.zone},
            {"storage_id", member.storageId},
            {"voter", member.voter},
            {"peer_address", member.peerAddress},
            {"match_index", isLeader ? nlohmann::json(this->replicatedLog->matchIndexOf(member.name)) : nlohmann::json()},
            {"silent_ms", isLeader && member.name != status.instanceName ? nlohmann::json(sinceContact) : nlohmann::json()}});
    }
    document["entries"] = nlohmann::json::array();
    for (const auto &entry : status.entries) {
        document["entries"].push_back(
            {{"name", entry.entryName}, {"confirmed_revision", entry.confirmedRevision}, {"last_seen_ms", entry.lastSeenMillisecondsAgo}});
    }
    return document.dump(2);
}

// ---- Requests of entry instances

Protocol::FollowReply ControlNode::makeFollowReply(const Protocol::FollowRequest &request) const
{
    Protocol::FollowReply reply;
    reply.confirmed = true;
    reply.revision = this->state.revision();
    reply.leaderAddress = this->leaderEntryAddress();
    reply.leaseMilliseconds = static_cast<std::int32_t>(this->options.configurationLease.count());
    if (request.revision == reply.revision) {
        return reply;
    }
    const auto *known = this->state.configurationAt(request.revision);
    if (known != nullptr && request.revision > 0) {
        reply.__set_delta(makeDelta(request.revision, *known, this->state.configuration()));
    } else {
        reply.__set_configuration(this->state.configuration());
    }
    return reply;
}

void ControlNode::follow(const Protocol::FollowRequest &request, ReplyHook<Protocol::FollowReply> done)
{
    this->replicatedLog->confirmLeadership([this, request, done = std::move(done)](bool confirmed) {
        if (!confirmed) {
            Protocol::FollowReply reply;
            reply.confirmed = false;
            reply.leaderAddress = this->leaderEntryAddress();
            done(reply);
            return;
        }
        this->entryInstances[request.entryName]
            = EntryInstance{.incarnation = request.incarnation, .revision = request.revision, .lastSeen = this->timers.now()};
        done(this->makeFollowReply(request));
    });
}

// A UUID may be written in upper or lower case; both spellings are the same key.
static std::string normalizedKey(std::string key)
{
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return key;
}

void ControlNode::claim(const Protocol::ClaimRequest &request, ReplyHook<Protocol::ClaimReply> done)
{
    Protocol::ClaimReply refusal;
    refusal.leaderAddress = this->leaderEntryAddress();
    if (!this->acceptsCommands()) {
        refusal.status = Protocol::ClaimStatus::NOT_LEADER;
        done(refusal);
        return;
    }
    Protocol::Command command;
    command.__set_claim(request);
    command.claim.key = normalizedKey(request.key);
    this->propose(std::move(command), [refusal, done = std::move(done)](const CommandOutcome *outcome) mutable {
        refusal.status = Protocol::ClaimStatus::UNAVAILABLE;
        done(outcome == nullptr ? refusal : outcome->claim);
    });
}

void ControlNode::settle(const Protocol::SettleRequest &request, ReplyHook<Protocol::SettleReply> done)
{
    Protocol::SettleReply refusal;
    refusal.leaderAddress = this->leaderEntryAddress();
    // NOTE: A draining leader still settles, so that actions in flight end with a recorded outcome.
    if (this->replicatedLog->role() != Consensus::Role::Leader) {
        refusal.status = Protocol::SettleStatus::NOT_LEADER;
        done(refusal);
        return;
    }
    Protocol::Command command;
    command.__set_settle(request);
    command.settle.key = normalizedKey(request.key);
    this->propose(std::move(command), [refusal, done = std::move(done)](const CommandOutcome *outcome) mutable {
        refusal.status = Protocol::SettleStatus::UNAVAILABLE;
        done(outcome == nullptr ? refusal : outcome->settle);
    });
}

// ---- Repair and drain

void ControlNode::repair()
{
    if (!this->acceptsCommands()) {
        return;
    }
    const RepairView view{
        .leaderName = this->replicatedLog->identity().name,
        .membership = this->replicatedLog->membership(),
        .commitIndex = this->replicatedLog->commitIndex(),
        .matchIndexOf =
            [this](const std::string &name) {
                return this->replicatedLog->matchIndexOf(name);
            },
        .timeSinceContact =
            [this](const std::string &name) {
                return this->timers.now() - this->replicatedLog->lastContactWith(name);
            },
    };
    const auto change = chooseRepair(view, this->options.repair);
    if (!change.has_value()) {
        return;
    }
    const auto proposed = this->replicatedLog->proposeMembership(change.value());
    Core::logEvent(Core::LogLevel::Warning,
        "members.repair",
        {{"kind", change->kind == Protocol::MemberChangeKind::PROMOTE ? "promote" : "remove"},
            {"member", change->member.name},
            {"accepted", proposed.has_value() ? "yes" : proposed.error().message}});
}

void ControlNode::removeStaleEntryInstances()
{
    std::erase_if(this->entryInstances, [this](const auto &item) {
        return this->timers.now() - item.second.lastSeen > EntryInstanceRetention;
    });
}

void ControlNode::drain(std::function<void()> stoppedHook)
{
    this->draining = true;
    this->stopped = std::move(stoppedHook);
    this->drainTimer = this->timers.every(DrainPollPeriod, [this](Core::Instant) {
        this->finishDrain();
    });
}

void ControlNode::finishDrain()
{
    if (this->waiting.size() > 0) {
        return;
    }
    if (this->replicatedLog->role() == Consensus::Role::Leader && this->replicatedLog->transferLeadership(this->timers.now())) {
        // The next poll finds that this instance is a follower, or requests the transfer again.
        return;
    }
    this->drainTimer.cancel();
    const auto hook = std::exchange(this->stopped, nullptr);
    if (hook) {
        hook();
    }
}

}
