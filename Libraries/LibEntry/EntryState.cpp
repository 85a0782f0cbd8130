/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/EntryState.h>

#include <LibCore/Json.h>
#include <LibCore/Log.h>

namespace Entry
{

static constexpr int MaximumRefusalLines = 10;
static constexpr std::chrono::seconds ShortRetryAfter{1};

EntryState::EntryState(EntryOptions optionsGiven, BackendTransport &transport, Core::TimerService &timersGiven)
    : options(std::move(optionsGiven))
    , timers(timersGiven)
    , backends(this->options.table)
    , snapshots(this->options.snapshots)
    , dispatcher(this->options.dispatcher, this->backends, transport, timersGiven)
{
}

HedgePolicy &EntryState::hedgePolicy(const Core::ServiceName &service)
{
    return this->hedging.try_emplace(service, this->options.hedging).first->second;
}

void logRefusal(EntryState &state, const Problem &problem, const Core::ServiceName &service, const Core::RequestId &requestId)
{
    const Core::Instant now = state.timers.now();
    if (now - state.refusalSecond >= Core::seconds(1)) {
        state.refusalSecond = now;
        state.refusalLines = 0;
    }
    if (++state.refusalLines > MaximumRefusalLines) {
        return;
    }
    Core::logEvent(Core::LogLevel::Information,
        "request.refused",
        {{"request_id", requestId.value()},
            {"service", service.value()},
            {"type", problemName(problem.type)},
            {"run", runStateName(problem.run)},
            {"detail", problem.detail}});
}

CallerAnswer problemAnswer(const Problem &problem, const Core::RequestId &requestId)
{
    return CallerAnswer{
        .status = problemStatus(problem.type),
        .contentType = "application/problem+json",
        .body = Core::toText(problemDocument(problem, requestId.value())),
        .retryAfter = problem.retryAfter,
    };
}

bool EntryState::isDraining() const
{
    return this->stop.has_value() && this->timers.now() >= this->stop->noticeEnds;
}

static tl::unexpected<Problem> refuse(ProblemType type, std::string detail, std::optional<std::chrono::seconds> retryAfter = std::nullopt)
{
    return tl::make_unexpected(Problem{.type = type, .run = RunState::NotRun, .detail = std::move(detail), .retryAfter = retryAfter});
}

tl::expected<RequestParameters, Problem> resolveRequestParameters(EntryState &state, const Core::ServiceName &service, const std::string &className)
{
    const Core::Instant now = state.timers.now();
    if (state.isDraining()) {
        return refuse(ProblemType::Draining, "retry at another entry instance", ShortRetryAfter);
    }
    if (!state.configuration.isFresh(now)) {
        return refuse(ProblemType::ConfigurationStale, "no control instance confirmed the configuration within its lease", ShortRetryAfter);
    }
    if (state.registryIsComplete && !state.registryIsComplete()) {
        return refuse(ProblemType::NoSnapshot, "this entry instance does not know all backend servers yet", ShortRetryAfter);
    }
    const auto *declaration = state.configuration.service(service);
    if (declaration == nullptr) {
        return refuse(ProblemType::UnknownService, "\"" + service.value() + "\" is not declared");
    }
    const std::string &wanted = className.empty() ? declaration->urgencyClass : className;
    const auto *urgencyClass = state.configuration.urgencyClass(wanted);
    if (urgencyClass == nullptr) {
        return refuse(ProblemType::UnknownClass, "\"" + wanted + "\" is not declared");
    }
    const auto deadline = now + Core::milliseconds(urgencyClass->deadlineMilliseconds) - state.options.answerReserve;
    if (state.stop.has_value() && deadline > state.stop->answersDue) {
        return refuse(ProblemType::Draining, "this entry instance may end before the request does; retry at another one", ShortRetryAfter);
    }
    return RequestParameters{
        .service = service,
        .declaration = *declaration,
        .urgencyClass = *urgencyClass,
        .connectionShare = state.configuration.connectionShare(*declaration),
        .deadline = deadline,
    };
}

}
