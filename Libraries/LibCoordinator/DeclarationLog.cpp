/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCoordinator/DeclarationLog.h>

#include <LibCore/Log.h>
#include <LibCore/Settings.h>
#include <LibFleet/TextDelta.h>
#include <LibRpc/Serialization.h>

#include <algorithm>

namespace Coordinator
{

// Election and heartbeat timeouts are checked this many times in each heartbeat period, so an election starts up to a quarter of a period late.
static constexpr int TicksPerHeartbeat = 4;
// Number of earlier texts that are stored, compressed, as bases of deltas. A watcher that holds an older version is sent the whole text.
static constexpr std::size_t EarlierVersions = 12;
// The longest earlier text, as for the declaration itself.
static constexpr std::size_t MaximumContentBytes = 16 * 1024 * 1024;

DeclarationLog::DeclarationLog(DeclarationLogOptions options, Core::TimerService &timers) : options(std::move(options)), timers(timers)
{
}

Core::Result<std::unique_ptr<DeclarationLog>> DeclarationLog::create(DeclarationLogOptions options, Core::TimerService &timers)
{
    std::unique_ptr<DeclarationLog> log(new DeclarationLog(std::move(options), timers));
    const auto opened = log->open();
    if (!opened.has_value() && opened.error().kind == Core::ErrorKind::Corruption) {
        return tl::make_unexpected(opened.error());
    }
    if (!opened.has_value()) {
        Core::logEvent(Core::LogLevel::Error, "log.folder_unusable", {{"error", opened.error().message}});
        log->closeAndReopen();
    }
    return log;
}

Core::Result<void> DeclarationLog::open()
{
    auto openedFolder = Storage::PosixFolder::create(this->options.dataFolder);
    if (!openedFolder.has_value()) {
        return tl::make_unexpected(openedFolder.error());
    }
    this->folder = std::move(openedFolder.value());
    auto openedLog = Storage::WriteAheadLog::create(*this->folder);
    if (!openedLog.has_value()) {
        return tl::make_unexpected(openedLog.error());
    }
    this->writeAheadLog = std::move(openedLog.value());
    this->built = OperatorState();
    auto made = Consensus::ReplicatedLog::create(this->options.log, this->makeHooks(), *this->writeAheadLog, this->timers.now());
    if (!made.has_value()) {
        return tl::make_unexpected(made.error());
    }
    this->replicatedLog = std::move(made.value());
    this->tickTimer = this->timers.every(this->options.log.heartbeatPeriod / TicksPerHeartbeat, [this](Core::Instant) {
        this->tick();
    });
    Core::logEvent(Core::LogLevel::Information,
        "log.opened",
        {{"member", this->replicatedLog->identity().name},
            {"initialised", this->replicatedLog->isInitialised() ? 1 : 0},
            {"term", this->replicatedLog->term()},
            {"committed", this->replicatedLog->commitIndex()},
            {"last_index", this->replicatedLog->lastIndex()},
            {"declaration", this->visible.version()}});
    return {};
}

void DeclarationLog::closeAndReopen()
{
    this->tickTimer.cancel();
    this->flushTimer.cancel();
    this->failWaiting();
    this->replicatedLog.reset();
    this->writeAheadLog.reset();
    this->folder.reset();
    this->reopenTimer = this->timers.once(this->options.reopenDelay, [this](Core::Instant) {
        const auto opened = this->open();
        if (!opened.has_value()) {
            Core::logEvent(Core::LogLevel::Warning, "log.folder_unusable", {{"error", opened.error().message}});
            this->closeAndReopen();
        }
    });
}

Consensus::ReplicatedLogHooks DeclarationLog::makeHooks()
{
    return Consensus::ReplicatedLogHooks{
        .send = this->options.send,
        .apply =
            [this](const Protocol::LogEntry &entry) {
                this->applyEntry(entry);
            },
        .takeSnapshot =
            [this] {
                return this->built.toSnapshot();
            },
        .restoreSnapshot = [this](const std::string &state) -> Core::Result<void> {
            auto restored = OperatorState::fromSnapshot(state);
            if (!restored.has_value()) {
                return tl::make_unexpected(restored.error());
            }
            this->built = std::move(restored.value());
            this->publish(this->built);
            return {};
        },
        .flushNeeded =
            [this] {
                this->scheduleFlush();
            },
    };
}

void DeclarationLog::tick()
{
    this->replicatedLog->tick(this->timers.now());
    if (this->replicatedLog->role() == Consensus::Role::Failed) {
        this->closeAndReopen();
        return;
    }
    if (!this->isLeader()) {
        this->failWaiting();
    }
}

void DeclarationLog::scheduleFlush()
{
    if (this->flushTimer.isActive()) {
        return;
    }
    this->flushTimer = this->timers.once(Core::Duration(0), [this](Core::Instant now) {
        this->replicatedLog->flush(now);
    });
}

void DeclarationLog::receive(const std::vector<Protocol::LogMessage> &messages)
{
    for (const auto &message : messages) {
        if (this->replicatedLog) {
            this->replicatedLog->receive(message, this->timers.now());
        }
    }
}

void DeclarationLog::publish(const OperatorState &state)
{
    if (state.appliedIndex() < this->visible.appliedIndex()) {
        return;
    }
    const bool hasDeclaration = state.version() != this->visible.version();
    const bool hasEvacuations = state.evacuations().revision != this->visible.evacuations().revision;
    if (hasDeclaration && this->visible.version() >= 0) {
        this->earlier.emplace_back(this->visible.version(), this->visible.compressed());
        if (this->earlier.size() > EarlierVersions) {
            this->earlier.pop_front();
        }
    }
    this->visible = state;
    if (hasDeclaration) {
        this->deltas.clear();
        Core::logEvent(Core::LogLevel::Information,
            "declaration.committed",
            {{"version", state.version()}, {"bytes", state.content().size()}, {"compressed", state.compressed().size()}});
    }
    if (hasEvacuations) {
        const auto &current = state.evacuations();
        Core::logEvent(Core::LogLevel::Information, "evacuations.committed", {{"revision", current.revision}, {"zones", Core::joinList(current.zones)}});
    }
    if (this->changed && (hasDeclaration || hasEvacuations)) {
        this->changed();
    }
}

void DeclarationLog::applyEntry(const Protocol::LogEntry &entry)
{
    this->built.apply(entry.command, entry.index);
    this->publish(this->built);
    const auto decided = this->waiting.take(entry);
    if (decided.has_value()) {
        Core::logEvent(Core::LogLevel::Information,
            "order.committed",
            {{"index", entry.index},
                {"term", entry.term},
                {"proposed", decided->isProposedEntry ? 1 : 0},
                {"declaration", this->built.version()},
                {"evacuations", this->built.evacuations().revision},
                {"holders", Core::joinList(this->replicatedLog->holdersOf(entry.index))}});
        decided->hook(decided->isProposedEntry ? ProposalEnd::Committed : ProposalEnd::Unknown);
    }
}

void DeclarationLog::propose(std::int64_t version, const std::string &content, ProposalHook done)
{
    Protocol::StoredOrder order;
    order.version = version;
    order.compressed = Fleet::compressText(content);
    this->proposeOrder(order, std::move(done));
}

void DeclarationLog::proposeEvacuation(const Protocol::EvacuationOrder &evacuation, ProposalHook done)
{
    Protocol::StoredOrder order;
    order.__set_evacuation(evacuation);
    this->proposeOrder(order, std::move(done));
}

void DeclarationLog::proposeOrder(const Protocol::StoredOrder &order, ProposalHook done)
{
    if (!this->isLeader()) {
        done(ProposalEnd::NotLeader);
        return;
    }
    const auto index = this->replicatedLog->propose(Rpc::serialize(order));
    if (!index.has_value()) {
        done(ProposalEnd::NotLeader);
        return;
    }
    this->waiting.add(index.value(), this->replicatedLog->term(), std::move(done));
}

const Protocol::Evacuations &DeclarationLog::evacuations() const
{
    return this->visible.evacuations();
}

void DeclarationLog::confirm(const std::function<void(bool confirmed)> &hook)
{
    if (!this->replicatedLog) {
        hook(false);
        return;
    }
    this->replicatedLog->confirmCurrent(hook);
}

std::int64_t DeclarationLog::version() const
{
    return this->visible.version();
}

const std::string &DeclarationLog::content() const
{
    return this->visible.content();
}

const std::string &DeclarationLog::compressed() const
{
    return this->visible.compressed();
}

const std::string *DeclarationLog::deltaFrom(std::int64_t earlierVersion)
{
    const auto known = this->deltas.find(earlierVersion);
    if (known != this->deltas.end()) {
        return &known->second;
    }
    const auto held = std::find_if(this->earlier.begin(), this->earlier.end(), [earlierVersion](const auto &item) {
        return item.first == earlierVersion;
    });
    if (held == this->earlier.end()) {
        return nullptr;
    }
    const auto before = Fleet::expandText(held->second, MaximumContentBytes);
    if (!before.has_value()) {
        return nullptr;
    }
    return &(this->deltas[earlierVersion] = Fleet::makeTextDelta(before.value(), this->visible.content()));
}

Storage::Folder *DeclarationLog::dataFolder()
{
    return this->folder.get();
}

Consensus::ReplicatedLog *DeclarationLog::log()
{
    return this->replicatedLog.get();
}

const Consensus::ReplicatedLog *DeclarationLog::log() const
{
    return this->replicatedLog.get();
}

bool DeclarationLog::hasKnownLeader() const
{
    return this->replicatedLog && this->replicatedLog->leader() != nullptr;
}

bool DeclarationLog::isLeader() const
{
    return this->replicatedLog && this->replicatedLog->role() == Consensus::Role::Leader;
}

std::size_t DeclarationLog::waitingProposals() const
{
    return this->waiting.size();
}

std::uint64_t DeclarationLog::syncCount() const
{
    return this->writeAheadLog ? this->writeAheadLog->syncCount() : 0;
}

void DeclarationLog::failWaiting()
{
    for (const auto &hook : this->waiting.takeAll()) {
        hook(ProposalEnd::Unknown);
    }
}

}
