/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "LoadDriver.h"

#include <LibCore/Identity.h>
#include <LibCore/Json.h>

namespace Load
{

static constexpr std::size_t SearchLimit = 10;
static constexpr int MaximumSends = 12;
static constexpr Core::Duration ActionRetryDelay = Core::milliseconds(300);
static constexpr Core::Duration IdleCheckPeriod = Core::milliseconds(50);
static constexpr Core::Duration OutstandingTimeout = Core::seconds(20);
static constexpr int ConnectionsPerEntryInstance = 256;

LoadDriver::LoadDriver(LoadOptions options, Balancer &balancer, Http::HttpClient &http, Core::TimerService &timers)
    : options(std::move(options)), balancer(balancer), http(http), timers(timers), random(this->options.seed), streamTimers(this->options.streams.size())
{
    if (!this->options.notRunLog.empty()) {
        this->notRunLog.open(this->options.notRunLog, std::ios::app);
    }
}

std::vector<Stream> &LoadDriver::streams()
{
    return this->options.streams;
}

void LoadDriver::start(std::function<void()> finishedHook)
{
    this->finished = std::move(finishedHook);
    this->endsAt = this->timers.now() + this->options.duration;
    for (std::size_t stream = 0; stream < this->options.streams.size(); ++stream) {
        this->scheduleNext(stream);
    }
    this->idleTimer = this->timers.every(IdleCheckPeriod, [this](Core::Instant) {
        this->finishIfIdle();
    });
}

void LoadDriver::scheduleNext(std::size_t stream)
{
    std::exponential_distribution<double> gap(this->options.streams[stream].ratePerSecond);
    const auto pause = Core::Duration(static_cast<Core::Duration::rep>(gap(this->random) * 1e6));
    this->streamTimers[stream] = this->timers.once(pause, [this, stream](Core::Instant now) {
        if (now < this->endsAt) {
            // The next request is scheduled before this one is sent, so that the time for sending does not delay it.
            this->scheduleNext(stream);
            this->sendOne(stream);
        }
    });
}

void LoadDriver::sendOne(std::size_t stream)
{
    ++this->options.streams[stream].tally.sent;
    switch (this->options.streams[stream].kind) {
    case StreamKind::Search:
        this->sendSearch(stream);
        return;
    case StreamKind::Lookup:
        this->sendLookup(stream);
        return;
    case StreamKind::Action:
        const auto action = std::make_shared<ActionState>();
        action->stream = stream;
        action->key = Core::makeUuidVersion7(Core::systemClock().wallTime());
        action->firstSent = this->timers.now();
        const bool resend = static_cast<int>(this->random() % 100) < this->options.resentPercent;
        this->sendAction(action);
        if (resend) {
            this->sendAction(action);
        }
        return;
    }
}

void LoadDriver::countRefusal(Tally &tally, const Http::ClientResult &result) const
{
    if (result.status == 0) {
        ++tally.lost;
        return;
    }
    const auto document = Core::parseObject(result.body);
    const bool notRun = document.has_value() && document->value("run", "") == "not-run";
    ++(notRun ? tally.refusedNotRun : tally.refusedUnknown);
}

bool LoadDriver::countAnswer(std::size_t stream, const Http::ClientResult &result, Core::Instant sentAt)
{
    auto &entry = this->options.streams[stream];
    const Core::Duration latency = this->timers.now() - sentAt;
    if (result.status != 200) {
        this->countRefusal(entry.tally, result);
        return false;
    }
    ++entry.tally.answered;
    entry.tally.withinDeadline += latency <= entry.deadline ? 1 : 0;
    entry.tally.latencies.push_back(latency);
    return true;
}

void LoadDriver::sendSearch(std::size_t stream)
{
    const std::string service = this->options.streams[stream].service;
    const std::string query = TestSupport::FakeIndex::exampleQuery(static_cast<std::uint32_t>(this->random()));
    Http::ClientRequest request;
    request.endpoint = this->balancer.next();
    request.target = "/v1/services/" + service + "/search?q=" + Http::escape(query) + "&limit=" + std::to_string(SearchLimit);
    request.connectionsPerHost = ConnectionsPerEntryInstance;
    const Core::Instant sentAt = this->timers.now();
    ++this->outstanding;
    this->http.send(request, [this, stream, service, query, sentAt](const Http::ClientResult &result) {
        --this->outstanding;
        auto &tally = this->options.streams[stream].tally;
        if (!this->countAnswer(stream, result, sentAt)) {
            return;
        }
        const auto document = Core::parseObject(result.body);
        if (document.has_value()) {
            this->check.checkSearch(service, query, SearchLimit, document.value(), tally);
        } else {
            ++tally.wrongAnswers;
        }
    });
}

void LoadDriver::sendLookup(std::size_t stream)
{
    const std::string service = this->options.streams[stream].service;
    const auto number = static_cast<std::int32_t>(this->random() % TestSupport::FakeIndex::DocumentCount);
    const std::string id = TestSupport::FakeIndex::documentId(service, number);
    Http::ClientRequest request;
    request.endpoint = this->balancer.next();
    request.target = "/v1/services/" + service + "/records/" + id;
    request.connectionsPerHost = ConnectionsPerEntryInstance;
    const Core::Instant sentAt = this->timers.now();
    ++this->outstanding;
    this->http.send(request, [this, stream, service, id, sentAt](const Http::ClientResult &result) {
        --this->outstanding;
        auto &tally = this->options.streams[stream].tally;
        if (!this->countAnswer(stream, result, sentAt)) {
            return;
        }
        const auto document = Core::parseObject(result.body);
        if (document.has_value()) {
            this->check.checkRecord(service, id, document.value(), tally);
        } else {
            ++tally.wrongAnswers;
        }
    });
}

void LoadDriver::sendAction(const std::shared_ptr<ActionState> &action)
{
    Http::ClientRequest request;
    request.method = "POST";
    request.endpoint = this->balancer.next();
    request.target = "/v1/services/" + this->options.streams[action->stream].service + "/actions/" + this->options.action;
    request.contentType = "application/json";
    request.body = R"({"job":")" + action->key + R"("})";
    request.headers = {{"Idempotency-Key", action->key}};
    request.connectionsPerHost = ConnectionsPerEntryInstance;
    ++action->sends;
    ++action->outstanding;
    ++this->outstanding;
    this->http.send(request, [this, action](const Http::ClientResult &result) {
        --this->outstanding;
        --action->outstanding;
        this->handleActionAnswer(action, result);
    });
}

void LoadDriver::handleActionAnswer(const std::shared_ptr<ActionState> &action, const Http::ClientResult &result)
{
    auto &tally = this->options.streams[action->stream].tally;
    if (result.status == 200) {
        const auto document = Core::parseObject(result.body);
        // Every answer must belong to this action, whether the action was sent once or several times.
        if (!document.has_value() || document->value("key", "") != action->key) {
            ++tally.wrongAnswers;
        }
        if (!std::exchange(action->answered, true)) {
            static_cast<void>(this->countAnswer(action->stream, result, action->firstSent));
        }
        return;
    }
    const auto document = Core::parseObject(result.body);
    action->lastSaidNotRun = document.has_value() && document->value("run", "") == "not-run";
    if (action->answered || action->outstanding > 0) {
        return;
    }
    if (action->sends < MaximumSends) {
        this->retryAction(action);
        return;
    }
    this->countRefusal(tally, result);
    if (action->lastSaidNotRun && this->notRunLog.is_open()) {
        this->notRunLog << action->key << "\n";
    }
}

void LoadDriver::retryAction(const std::shared_ptr<ActionState> &action)
{
    ++this->outstanding;
    this->retryTimers.push_back(this->timers.once(ActionRetryDelay, [this, action](Core::Instant) {
        --this->outstanding;
        this->sendAction(action);
    }));
}

void LoadDriver::finishIfIdle()
{
    const Core::Instant now = this->timers.now();
    const bool idle = now >= this->endsAt && this->outstanding == 0;
    if (!idle && now < this->endsAt + OutstandingTimeout) {
        return;
    }
    this->idleTimer.cancel();
    const auto hook = std::exchange(this->finished, nullptr);
    if (hook) {
        hook();
    }
}

}
