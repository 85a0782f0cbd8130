/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Support/FakeBackend.h>

#include <LibCore/Json.h>
#include <LibEntry/Announcement.h>
#include <LibEntry/BackendClient.h>

#include <algorithm>
#include <fstream>

namespace TestSupport
{

using Entry::BackendHeader::Attempt;
using Entry::BackendHeader::IdempotencyKey;
using Entry::BackendHeader::Reason;
using Entry::BackendHeader::Run;
using Entry::BackendHeader::Shard;
using Entry::BackendHeader::ShardMap;
using Entry::BackendHeader::SnapshotVersion;
using Entry::BackendHeader::TimeLeft;

static constexpr double WarmupLatencyFactor = 3.0;
static constexpr Core::Duration DrainPollPeriod = Core::milliseconds(20);
static constexpr std::int32_t HugeLoad = 1000;

FakeBackend::FakeBackend(FakeBackendOptions options, Core::TimerService &timers)
    : options(std::move(options))
    , timers(timers)
    , random(this->options.seed)
    , client(timers)
    , startedAt(timers.now())
    , incarnation(Core::systemClock().wallTime().count())
{
}

Core::Result<std::unique_ptr<FakeBackend>> FakeBackend::create(FakeBackendOptions options, Core::TimerService &timers)
{
    std::unique_ptr<FakeBackend> backend(new FakeBackend(std::move(options), timers));
    auto &self = *backend;
    auto server = Http::HttpServer::create({.name = self.options.replica,
                                               .endpoint = self.options.endpoint,
                                               .handler =
                                                   [&self](const Http::Request &request, const Http::ResponderPointer &responder) {
                                                       self.handle(request, responder);
                                                   },
                                               .maximumConnections = self.options.connectionCap,
                                               .acceptDelay = self.options.connectionOpenCost},
        timers);
    if (!server.has_value()) {
        return tl::make_unexpected(server.error());
    }
    self.server = std::move(server.value());
    // The first announcement is spread over the period, so that backend servers started together do not announce together.
    const auto offset = Core::Duration(static_cast<Core::Duration::rep>(self.random() % static_cast<std::uint64_t>(self.options.announcePeriod.count())));
    self.announceTimer = timers.once(offset, [&self, &timers](Core::Instant) {
        self.announce();
        self.announceTimer = timers.every(self.options.announcePeriod, [&self](Core::Instant) {
            self.announce();
        });
    });
    return backend;
}

FakeFaults &FakeBackend::faults()
{
    return this->options.faults;
}

const FakeCounters &FakeBackend::counters() const
{
    return this->counts;
}

const Http::ServerCounters &FakeBackend::connectionCounters() const
{
    return this->server->counters();
}

const FakeBackendOptions &FakeBackend::description() const
{
    return this->options;
}

void FakeBackend::setSnapshots(std::vector<FakeSnapshot> snapshots)
{
    this->options.snapshots = std::move(snapshots);
    this->announce();
}

// ---- Announcements

Protocol::Announcement FakeBackend::announcement() const
{
    Protocol::Announcement announcement;
    announcement.serviceName = this->options.service;
    announcement.replicaName = this->options.replica;
    announcement.incarnation = this->incarnation;
    announcement.sequence = ++this->sequence;
    announcement.address = this->options.endpoint.address;
    announcement.port = this->options.endpoint.port;
    announcement.zone = this->options.zone;
    announcement.state = this->draining ? Protocol::BackendState::DRAINING : Protocol::BackendState::SERVING;
    announcement.slots = this->options.slots;
    announcement.connectionCap = static_cast<std::int32_t>(this->options.connectionCap);
    const auto load = static_cast<std::int32_t>(this->running.size() + this->queue.size());
    const auto &report = this->options.faults.loadReport;
    announcement.load = report == "zero" ? 0 : report == "huge" ? HugeLoad : load;
    for (const auto &snapshot : this->options.snapshots) {
        Protocol::SnapshotHolding holding;
        holding.version = snapshot.version;
        holding.shardMap = snapshot.shardMap;
        holding.shardCount = snapshot.shardCount;
        holding.shard = snapshot.shard;
        announcement.snapshots.push_back(holding);
    }
    return announcement;
}

void FakeBackend::announce()
{
    if (this->options.announceTo.empty()) {
        return;
    }
    // On the platform a load balancer selects the entry instance; here it is selected at random.
    Http::ClientRequest request;
    request.method = "POST";
    request.endpoint = this->options.announceTo[this->random() % this->options.announceTo.size()];
    request.target = "/v1/announcements";
    request.contentType = "application/json";
    request.body = Core::toText(Entry::announcementToJson(this->announcement()));
    request.headers = {{"Connection", "close"}};
    this->client.send(request, [](const Http::ClientResult &) {
        // A lost announcement is not repeated: the next one is due after the period and may go to another instance.
    });
}

// ---- Requests

void FakeBackend::handle(const Http::Request &request, const Http::ResponderPointer &responder)
{
    if (request.path == "/v1/announcement") {
        responder->respond(Http::Response{.status = 200, .body = Core::toText(Entry::announcementToJson(this->announcement())), .headers = {}});
        return;
    }
    if (request.path == "/fault") {
        this->handleFaultRequest(request, responder);
        return;
    }
    ++this->counts.requests;
    if (this->draining) {
        ++this->counts.refusedDraining;
        responder->respond(this->refusal(request, "draining"));
        return;
    }
    if (this->requestedSnapshot(request) == nullptr) {
        responder->respond(this->refusal(request, "snapshot-gone"));
        return;
    }
    if (this->queue.size() >= this->options.queueLimit) {
        ++this->counts.shed;
        responder->respond(this->refusal(request, "shedding"));
        return;
    }
    this->enqueue(request, responder);
}

void FakeBackend::handleFaultRequest(const Http::Request &request, const Http::ResponderPointer &responder)
{
    const auto document = Core::parseObject(request.body);
    if (!document.has_value()) {
        responder->respond(Http::Response{.status = 400, .body = document.error().message, .headers = {}});
        return;
    }
    auto &faults = this->options.faults;
    faults.stragglerPercent = document->value("straggler_percent", faults.stragglerPercent);
    faults.stragglerFactor = document->value("straggler_factor", faults.stragglerFactor);
    faults.wrongReply = document->value("wrong_reply", faults.wrongReply);
    faults.loadReport = document->value("load_report", faults.loadReport);
    faults.frozen = document->value("frozen", faults.frozen);
    responder->respond(Http::Response{.status = 200, .body = "{}", .headers = {}});
}

Http::Response FakeBackend::refusal(const Http::Request &request, const char *reason) const
{
    return Http::Response{
        .status = 503, .contentType = "text/plain", .body = reason, .headers = {{Run, "not-run"}, {Reason, reason}, {Attempt, request.header(Attempt)}}};
}

const FakeSnapshot *FakeBackend::requestedSnapshot(const Http::Request &request) const
{
    for (const auto &snapshot : this->options.snapshots) {
        const bool sameShard = std::to_string(snapshot.shard) == request.header(Shard);
        const bool sameVersion = std::to_string(snapshot.version) == request.header(SnapshotVersion);
        if (sameShard && sameVersion && snapshot.shardMap == request.header(ShardMap)) {
            return &snapshot;
        }
    }
    return nullptr;
}

void FakeBackend::enqueue(const Http::Request &request, const Http::ResponderPointer &responder)
{
    const std::uint64_t id = this->nextWork++;
    const auto timeLeft = Core::parseInteger(request.header(TimeLeft), 0, INT32_MAX).value_or(60'000);
    responder->aborted = [this, id] {
        this->abandon(id);
    };
    this->queue.push_back(Work{.id = id, .request = request, .responder = responder, .deadline = this->timers.now() + Core::milliseconds(timeLeft)});
    this->counts.maximumQueueLength = std::max(this->counts.maximumQueueLength, this->queue.size());
    this->startNext();
}

Core::Duration FakeBackend::sampleServiceTime()
{
    std::exponential_distribution<double> variable(1.0);
    std::uniform_real_distribution<double> percent(0.0, 100.0);
    const double share = this->options.variableShare;
    double microseconds = static_cast<double>(this->options.serviceTime.count()) * ((1.0 - share) + share * variable(this->random));
    if (percent(this->random) < this->options.faults.stragglerPercent) {
        microseconds *= this->options.faults.stragglerFactor;
    }
    if (this->timers.now() - this->startedAt < this->options.warmupTime) {
        microseconds *= WarmupLatencyFactor;
    }
    return Core::Duration(static_cast<Core::Duration::rep>(microseconds));
}

void FakeBackend::startNext()
{
    while (this->running.size() < static_cast<std::size_t>(this->options.slots) && !this->queue.empty()) {
        Work work = std::move(this->queue.front());
        this->queue.pop_front();
        if (work.deadline <= this->timers.now()) {
            work.responder->respond(this->refusal(work.request, "deadline-too-short"));
            continue;
        }
        const std::uint64_t id = work.id;
        if (!this->options.faults.frozen) {
            work.timer = this->timers.once(this->sampleServiceTime(), [this, id](Core::Instant) {
                this->finishWork(id);
            });
        }
        this->running.emplace(id, std::move(work));
    }
}

void FakeBackend::finishWork(std::uint64_t id)
{
    const auto found = this->running.find(id);
    const Work work = std::move(found->second);
    this->running.erase(found);
    ++this->counts.executed;
    work.responder->respond(this->execute(work.request));
    this->startNext();
}

void FakeBackend::abandon(std::uint64_t id)
{
    ++this->counts.cancelled;
    std::erase_if(this->queue, [id](const Work &work) {
        return work.id == id;
    });
    // A running action completes, since the side effect of an action cannot be undone; a search is cancelled.
    const auto found = this->running.find(id);
    if (found != this->running.end() && found->second.request.method == "GET") {
        this->running.erase(found);
        this->startNext();
    }
}

const FakeIndex &FakeBackend::index(const FakeSnapshot &snapshot)
{
    // Shared by all backend servers of the process, since the content depends only on service, version and number of shards.
    struct Key {
        std::string service;
        std::int64_t version;
        std::int32_t shardCount;
        auto operator<=>(const Key &) const = default;
    };
    static std::map<Key, std::unique_ptr<FakeIndex>> indexes;
    auto &index = indexes[{this->options.service, snapshot.version, snapshot.shardCount}];
    if (!index) {
        index = std::make_unique<FakeIndex>(this->options.service, snapshot.version, snapshot.shardCount);
    }
    return *index;
}

static nlohmann::json hitsToJson(const std::vector<FakeHit> &hits)
{
    auto list = nlohmann::json::array();
    for (const auto &hit : hits) {
        list.push_back({{"id", hit.id}, {"score", hit.score}, {"title", hit.title}, {"version", hit.version}});
    }
    return list;
}

Http::Response FakeBackend::execute(const Http::Request &request)
{
    if (request.method == "POST") {
        return this->executeAction(request);
    }
    const auto *snapshot = this->requestedSnapshot(request);
    if (snapshot == nullptr) {
        return this->refusal(request, "snapshot-gone");
    }
    const auto &wrong = this->options.faults.wrongReply;
    const std::int64_t version = wrong == "snapshot" ? snapshot->version + 1 : snapshot->version;
    nlohmann::json document = {{"attempt", wrong == "attempt" ? "00000000000000000000000000000000" : request.header(Attempt)},
        {"service", this->options.service},
        {"shard", wrong == "shard" ? snapshot->shard + 1 : snapshot->shard},
        {"snapshot", {{"version", version}, {"shard_map", snapshot->shardMap}}}};
    FakeSnapshot served = *snapshot;
    served.version += wrong == "stale-content" ? 1 : 0;
    const auto &content = this->index(served);
    if (request.path == "/v1/search") {
        const auto limit = static_cast<std::size_t>(Core::parseInteger(request.parameter("limit"), 1, 1000).value_or(10));
        document["hits"] = hitsToJson(content.search(request.parameter("q"), limit, {snapshot->shard}));
    } else {
        const std::string id = Http::splitPath(request.path).back();
        const bool found = content.shardOf(id) == snapshot->shard;
        document["found"] = found;
        if (found) {
            document["record"] = {{"id", id}, {"title", content.titleOf(id)}, {"version", snapshot->version}};
        }
    }
    std::string body = Core::toText(document);
    if (wrong == "truncated") {
        body.resize(body.size() / 2);
    }
    return Http::Response{.status = 200, .body = std::move(body), .headers = {}};
}

Http::Response FakeBackend::executeAction(const Http::Request &request)
{
    const std::string key = request.header(IdempotencyKey);
    // NOTE: A real backend server may not detect a duplicate action; this one counts them so that tests find those the entry caused.
    if (!this->executedKeys.insert(key).second) {
        ++this->counts.duplicateActions;
    }
    if (!this->options.actionLog.empty()) {
        std::ofstream(this->options.actionLog, std::ios::app) << key << "\n";
    }
    const nlohmann::json document = {{"action", Http::splitPath(request.path).back()}, {"key", key}, {"ran_at", this->options.replica}};
    return Http::Response{.status = 200, .body = Core::toText(document), .headers = {{Attempt, request.header(Attempt)}}};
}

// ---- Draining

void FakeBackend::drain(std::function<void()> done)
{
    this->draining = true;
    this->drained = std::move(done);
    this->announce();
    this->drainTimer = this->timers.every(DrainPollPeriod, [this](Core::Instant) {
        this->checkDrained();
    });
}

void FakeBackend::checkDrained()
{
    if (!this->running.empty() || !this->queue.empty()) {
        return;
    }
    this->drainTimer.cancel();
    const auto hook = std::exchange(this->drained, nullptr);
    if (hook) {
        hook();
    }
}

}
