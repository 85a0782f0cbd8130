/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/EntryNode.h>

#include <LibCore/Identity.h>
#include <LibCore/Json.h>
#include <LibCore/Log.h>
#include <LibEntry/Announcement.h>
#include <LibEntry/CallerInterface.h>
#include <LibMetrics/MetricsPage.h>

namespace Entry
{

static constexpr int RequestIdLength = 16;

EntryNode::EntryNode(EntryNodeOptions optionsGiven, Core::TimerService &timersGiven)
    : options(std::move(optionsGiven))
    , timers(timersGiven)
    , backendClient(timersGiven)
    , state(this->options.entry, this->backendClient, timersGiven)
    , control(this->options.controlInstances, timersGiven)
    , follower({.entryName = this->options.entry.name, .incarnation = this->options.incarnation}, this->state.configuration, this->control, timersGiven)
    , queries(this->state)
    , actions(this->options.actions, this->state, this->control)
    , peerRelay(
          this->options.relay,
          this->state.backends,
          [this](const Protocol::Announcement &announcement) {
              return this->isDeclared(announcement);
          },
          timersGiven)
    , refresher(
          this->options.refresher,
          this->state.backends,
          [this](const Core::Endpoint &endpoint, RegistryRefresher::AnswerHook done) {
              this->backendClient.probe(endpoint, std::move(done));
          },
          timersGiven)
    , maintenanceTimer(timersGiven.every(this->options.entry.maintenancePeriod, [this](Core::Instant now) {
        this->runMaintenance(now);
    }))
{
    this->state.registryIsComplete = [this] {
        return this->peerRelay.hasCompleteTable();
    };
    this->state.configuration.changed = [this] {
        // Announcements of services that were not declared before were rejected, so they are requested again from every peer.
        for (std::size_t peer = 0; peer < std::max<std::size_t>(1, this->options.relay.peers.size()); ++peer) {
            this->peerRelay.requestFullTable();
        }
    };
}

PeerRelay &EntryNode::relay()
{
    return this->peerRelay;
}

bool EntryNode::isReady() const
{
    return !this->state.stop.has_value() && this->peerRelay.hasCompleteTable() && this->state.configuration.isFresh(this->timers.now());
}

void EntryNode::runMaintenance(Core::Instant now)
{
    this->state.dispatcher.expireWaiting(now);
    this->state.backends.removeSilent(now);
    for (const auto &service : this->state.configuration.configuration().services) {
        this->state.dispatcher.latencies(Core::ServiceName(service.name)).decay(now);
    }
}

// ---- Callers

void EntryNode::handleCaller(const Http::Request &request, const Http::ResponderPointer &responder)
{
    const Core::RequestId requestId(Core::randomToken().substr(0, RequestIdLength));
    const auto number = this->nextCall++;
    this->openCalls[number] = OpenCall{.requestId = requestId, .responder = responder};
    const AnswerHook done = [this, number, responder, requestId](CallerAnswer answer) {
        this->openCalls.erase(number);
        responder->respond(makeResponse(std::move(answer), requestId));
    };
    auto call = readCallerRequest(request, requestId);
    if (auto *query = std::get_if<QueryCall>(&call)) {
        this->queries.start(std::move(*query), done);
    } else if (auto *action = std::get_if<ActionCall>(&call)) {
        this->actions.start(std::move(*action), done);
    } else {
        done(problemAnswer(std::get<Problem>(call), requestId));
    }
}

// ---- Backend servers

bool EntryNode::isDeclared(const Protocol::Announcement &announcement) const
{
    return this->state.configuration.service(Core::ServiceName(announcement.serviceName)) != nullptr;
}

Core::Result<void> EntryNode::handleAnnouncement(const std::string &body)
{
    const auto document = Core::parseObject(body);
    if (!document.has_value()) {
        return tl::make_unexpected(document.error());
    }
    const auto announcement = announcementFromJson(document.value());
    if (!announcement.has_value()) {
        return tl::make_unexpected(announcement.error());
    }
    if (!this->isDeclared(announcement.value())) {
        return Core::failure(Core::ErrorKind::NotFound, "the service is not declared");
    }
    switch (this->state.backends.announce(announcement.value(), Core::Duration(0), this->timers.now())) {
    case AnnounceOutcome::NameTaken:
        Core::logEvent(Core::LogLevel::Warning,
            "registry.name_taken",
            {{"service", announcement->serviceName}, {"replica", announcement->replicaName}, {"address", announcement->address}});
        return Core::failure(Core::ErrorKind::LimitReached, "another address holds the name of this replica");
    case AnnounceOutcome::Accepted:
        this->peerRelay.recordDirectAnnouncement(announcement.value());
        return {};
    case AnnounceOutcome::Outdated:
    case AnnounceOutcome::Expired:
        // Not an error: a later announcement of the same backend server arrived before this one.
        return {};
    }
    return {};
}

static Http::Response errorResponse(int status, const std::string &message)
{
    const nlohmann::json document = {{"type", "about:blank"}, {"status", status}, {"detail", message}};
    return Http::Response{.status = status, .contentType = "application/problem+json", .body = Core::toText(document), .headers = {}};
}

void EntryNode::handleBackend(const Http::Request &request, const Http::ResponderPointer &responder)
{
    if (request.method != "POST" || request.path != "/v1/announcements") {
        responder->respond(errorResponse(404, "only POST /v1/announcements is served on this port"));
        return;
    }
    const auto applied = this->handleAnnouncement(request.body);
    if (applied.has_value()) {
        responder->respond(Http::Response{.status = 200, .body = "{}\n", .headers = {}});
        return;
    }
    const bool undeclared = applied.error().kind == Core::ErrorKind::NotFound;
    const bool nameTaken = applied.error().kind == Core::ErrorKind::LimitReached;
    responder->respond(errorResponse(undeclared ? 404 : nameTaken ? 409 : 400, applied.error().message));
}

// ---- Platform and operators

void EntryNode::handleAdministration(const Http::Request &request, const Http::ResponderPointer &responder)
{
    const auto segments = Http::splitPath(request.path);
    if (request.path == "/healthz") {
        responder->respond(Http::Response{.status = 200, .contentType = "text/plain", .body = "alive\n", .headers = {}});
    } else if (request.path == "/readyz") {
        const bool ready = this->isReady();
        responder->respond(Http::Response{.status = ready ? 200 : 503, .contentType = "text/plain", .body = ready ? "ready\n" : "not ready\n", .headers = {}});
    } else if (request.path == "/metrics") {
        responder->respond(Http::Response{.status = 200, .contentType = "text/plain; version=0.0.4", .body = this->metrics(), .headers = {}});
    } else if (request.path == "/v1/drain" && request.method == "POST") {
        responder->respond(Http::Response{.status = 202, .body = "{}\n", .headers = {}});
        if (this->stopRequested) {
            this->stopRequested();
        }
    } else if (request.path == "/v1/state") {
        responder->respond(Http::Response{.status = 200, .body = this->dump() + "\n", .headers = {}});
    } else if (segments.size() == 3 && segments[0] == "v1" && segments[1] == "traces") {
        const auto trace = this->queries.trace(Core::RequestId(segments[2]));
        responder->respond(trace.has_value() ? Http::Response{.status = 200, .body = Core::toText(trace.value(), 2) + "\n", .headers = {}}
                                             : errorResponse(404, "no trace of this request is kept"));
    } else {
        responder->respond(errorResponse(404, "see /healthz, /readyz, /metrics, /v1/state, /v1/traces/{request}, POST /v1/drain"));
    }
}

nlohmann::json EntryNode::backendsToJson() const
{
    const Core::Instant now = this->timers.now();
    auto rows = nlohmann::json::array();
    for (const auto &backend : this->state.backends.rows()) {
        const auto &health = backend.health;
        auto row = announcementToJson(backend.announcement);
        row["usable"] = this->state.backends.isUsable(backend, now);
        row["leaving"] = backend.announcement.incarnation <= backend.leavingIncarnation;
        row["lease_left_ms"] = Core::toMilliseconds(backend.leaseEnd - now);
        row["ejected_for_ms"] = std::max<std::int64_t>(0, Core::toMilliseconds(health.ejectedUntil - now));
        row["in_flight"] = health.inFlight;
        row["concurrency_limit"] = health.concurrencyLimit;
        row["smoothed_latency_ms"] = Core::toFractionalMilliseconds(health.smoothedLatency);
        row["replies"] = health.replies;
        row["failures"] = health.failures;
        rows.push_back(std::move(row));
    }
    return rows;
}

nlohmann::json EntryNode::servicesToJson() const
{
    auto services = nlohmann::json::array();
    for (const auto &declared : this->state.configuration.configuration().services) {
        const Core::ServiceName name(declared.name);
        nlohmann::json service = {{"name", declared.name},
            {"class", declared.urgencyClass},
            {"connection_share", this->state.configuration.connectionShare(declared)},
            {"requests_under_way", this->state.admission.activeCount(name)},
            {"conflicting_versions", this->state.snapshots.conflictingVersions(name)}};
        const auto chosen = this->state.snapshots.chosen(name);
        if (chosen.has_value()) {
            service["snapshot"] = {{"version", chosen->version}, {"shard_map", chosen->shardMap}};
        }
        const auto policy = this->state.hedging.find(name);
        if (policy != this->state.hedging.end()) {
            service["hedges_available"] = policy->second.hedgesAvailable();
            service["retries_available"] = policy->second.retriesAvailable();
        }
        services.push_back(std::move(service));
    }
    return services;
}

std::string EntryNode::dump() const
{
    const Core::Instant now = this->timers.now();
    const auto &configuration = this->state.configuration;
    const auto &dispatcher = this->state.dispatcher;
    nlohmann::json document;
    document["instance"] = this->state.options.name.value();
    document["zone"] = this->state.options.zone.value();
    document["ready"] = this->isReady();
    document["registry_warm"] = this->peerRelay.hasCompleteTable();
    document["leaving"] = this->state.stop.has_value();
    document["draining"] = this->state.isDraining();
    document["configuration"] = {{"revision", configuration.revision().value()},
        {"fresh", configuration.isFresh(now)},
        {"fresh_for_ms", Core::toMilliseconds(configuration.freshUntil() - now)},
        {"control_instance", this->control.target().toString()},
        {"failures_in_a_row", this->follower.consecutiveFailures()}};
    document["requests"] = {{"queries_under_way", this->queries.activeCount()},
        {"actions_under_way", this->actions.activeCount()},
        {"sub_requests_waiting", dispatcher.waitingCount()},
        {"sub_requests_in_flight", dispatcher.inFlightCount()}};
    const auto &relayCounters = this->peerRelay.counters();
    document["relay"] = {{"sent", relayCounters.sent}, {"failed", relayCounters.failed}, {"received", relayCounters.received}};
    document["services"] = this->servicesToJson();
    document["backends"] = this->backendsToJson();
    return Core::toText(document, 2);
}

std::string EntryNode::metrics() const
{
    Metrics::MetricsPage page;
    const auto &requests = this->state.counters;
    const auto &dispatcher = this->state.dispatcher.counters();
    const auto requestKind = [&page](const char *kind, std::uint64_t value) {
        page.counter("crankrudder_requests_total", "Requests from callers.", static_cast<double>(value), {{"kind", kind}});
    };
    requestKind("search", requests.searches);
    requestKind("lookup", requests.lookups);
    requestKind("action", requests.actions);
    const auto answer = [&page](const char *outcome, std::uint64_t value) {
        page.counter("crankrudder_answers_total", "Answers to callers.", static_cast<double>(value), {{"outcome", outcome}});
    };
    answer("whole", requests.answeredComplete);
    answer("partial", requests.answeredPartial);
    answer("refused_not_run", requests.refusedNotRun);
    answer("refused_unknown", requests.refusedUnknown);
    const auto extra = [&page](const char *kind, std::uint64_t value) {
        page.counter("crankrudder_attempts_total", "Sub-requests by why they were made.", static_cast<double>(value), {{"kind", kind}});
    };
    extra("first", requests.firstAttempts);
    extra("hedge", requests.hedges);
    extra("retry", requests.retries);
    const auto ended = [&page](const char *outcome, std::uint64_t value) {
        page.counter("crankrudder_attempt_outcomes_total", "How sub-requests ended.", static_cast<double>(value), {{"outcome", outcome}});
    };
    ended("answered", dispatcher.answered);
    ended("refused", dispatcher.refused);
    ended("failed", dispatcher.failed);
    ended("cancelled", dispatcher.cancelled);
    ended("expired_in_queue", dispatcher.expiredInQueue);
    page.counter("crankrudder_snapshot_restarts_total", "Searches begun anew on another snapshot.", static_cast<double>(requests.snapshotRestarts));
    page.counter("crankrudder_mismatched_replies_total",
        "Replies dropped because they named another attempt, shard or snapshot.",
        static_cast<double>(this->backendClient.counters().mismatched));
    page.counter("crankrudder_malformed_replies_total",
        "Replies dropped because they could not be read.",
        static_cast<double>(this->backendClient.counters().malformed));
    page.counter("crankrudder_registry_probes_total", "Backend servers asked directly.", static_cast<double>(this->refresher.probesSent()));
    const auto control = [&page](const char *peer, std::uint64_t value) {
        page.counter("crankrudder_control_bytes_total", "Bytes moved for control.", static_cast<double>(value), {{"peer", peer}});
    };
    control("control_instance", this->control.bytesMoved());
    control("entry_instance", this->peerRelay.bytesMoved());
    page.gauge("crankrudder_configuration_revision", "Revision in force.", static_cast<double>(this->state.configuration.revision().value()));
    page.gauge("crankrudder_ready", "1 when the balancer should send callers here.", this->isReady() ? 1.0 : 0.0);
    page.gauge("crankrudder_backends", "Backend servers known by name.", static_cast<double>(this->state.backends.size()));
    page.gauge("crankrudder_sub_requests_in_flight", "Sub-requests at backend servers.", static_cast<double>(this->state.dispatcher.inFlightCount()));
    page.gauge("crankrudder_sub_requests_waiting", "Sub-requests that wait for room.", static_cast<double>(this->state.dispatcher.waitingCount()));
    return page.text();
}

// ---- Planned stop

void EntryNode::beginStop(const Core::StopSchedule &schedule)
{
    this->state.stop = schedule;
}

std::size_t EntryNode::activeCount() const
{
    return this->queries.activeCount() + this->actions.activeCount();
}

void EntryNode::answerOpenCalls()
{
    for (const auto &[number, call] : std::exchange(this->openCalls, {})) {
        const Problem problem{
            .type = ProblemType::OutcomeUnknown, .run = RunState::Unknown, .detail = "this entry instance ends before the request does", .retryAfter = {}};
        Core::logEvent(Core::LogLevel::Warning, "request.ended_by_stop", {{"request_id", call.requestId.value()}});
        call.responder->respond(makeResponse(problemAnswer(problem, call.requestId), call.requestId));
    }
}

}
