/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// State shared by the query path of an entry instance: options, configuration,
// backend servers, snapshots, dispatcher, counters. The query path gets the
// state as a whole, so that a new member changes no constructors.

#pragma once

#include <LibCore/GracefulStop.h>
#include <LibEntry/ActiveConfiguration.h>
#include <LibEntry/Admission.h>
#include <LibEntry/BackendTable.h>
#include <LibEntry/Dispatcher.h>
#include <LibEntry/HedgePolicy.h>
#include <LibEntry/Problem.h>
#include <LibEntry/SnapshotChooser.h>

#include <functional>
#include <map>
#include <string>

namespace Entry
{

/** Parameters of request processing in an entry instance. */
struct EntryOptions {
    Core::InstanceName name;
    Core::ZoneName zone;
    BackendTableOptions table;
    SnapshotChooserOptions snapshots;
    DispatcherOptions dispatcher;
    HedgePolicyOptions hedging;
    /** Time reserved before the deadline for merging and for sending the answer. */
    Core::Duration answerReserve{Core::milliseconds(3)};
    /** How often queues are checked for expired sub-requests, silent backend servers removed and latencies faded. */
    Core::Duration maintenancePeriod{Core::milliseconds(20)};
};

/** Counters of requests, for metrics. */
struct RequestCounters {
    std::uint64_t searches{0};
    std::uint64_t lookups{0};
    std::uint64_t actions{0};
    std::uint64_t answeredComplete{0};
    std::uint64_t answeredPartial{0};
    std::uint64_t refusedNotRun{0};
    std::uint64_t refusedUnknown{0};
    std::uint64_t snapshotRestarts{0};
    std::uint64_t firstAttempts{0};
    std::uint64_t hedges{0};
    std::uint64_t retries{0};
};

/** State that requests of an entry instance use. */
struct EntryState {
    EntryState(EntryOptions options, BackendTransport &transport, Core::TimerService &timers);

    /** Returns the policy of a service, which is created on first use. */
    [[nodiscard]] HedgePolicy &hedgePolicy(const Core::ServiceName &service);

    EntryOptions options;
    Core::TimerService &timers;
    ActiveConfiguration configuration;
    BackendTable backends;
    SnapshotChooser snapshots;
    Dispatcher dispatcher;
    Admission admission;
    std::map<Core::ServiceName, HedgePolicy> hedging;
    RequestCounters counters;
    /** Log lines about refusals since refusalSecond. */
    int refusalLines{0};
    /** Start of the current second of the log rate limit. */
    Core::Instant refusalSecond;
    /** Whether the table of backend servers is assumed to be complete, which it is not right after the process started. */
    std::function<bool()> registryIsComplete;
    /** Set once a planned stop has begun. */
    std::optional<Core::StopSchedule> stop;

    /** Whether callers had time to go elsewhere, so that new requests are refused. */
    [[nodiscard]] bool isDraining() const;
};

/** Answer to a caller. */
struct CallerAnswer {
    int status{200};
    std::string contentType{"application/json"};
    std::string body;
    std::optional<std::chrono::seconds> retryAfter;
};

using AnswerHook = std::function<void(CallerAnswer answer)>;

/** Logs that a request was refused. At most 10 lines are logged per second; further refusals are only counted. */
void logRefusal(EntryState &state, const Problem &problem, const Core::ServiceName &service, const Core::RequestId &requestId);

/** Converts a problem to the answer that reports it. */
[[nodiscard]] CallerAnswer problemAnswer(const Problem &problem, const Core::RequestId &requestId);

/** Parameters of a request from the configuration: its service, urgency class, connection share and deadline. */
struct RequestParameters {
    Core::ServiceName service;
    Protocol::ServiceDeclaration declaration;
    Protocol::UrgencyClass urgencyClass;
    int connectionShare{1};
    Core::Instant deadline;
};

/** Returns the parameters of a request that starts now, or the problem for which it is refused without being run. An empty `className` selects the service's
 * class. */
[[nodiscard]] tl::expected<RequestParameters, Problem> resolveRequestParameters(
    EntryState &state, const Core::ServiceName &service, const std::string &className);

}
