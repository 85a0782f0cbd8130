/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The tables of an entry instance and the systems that run over them. Parts of
// the query path are given this whole, so that each new table needs no new wire.

#pragma once

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

/** Settings of an entry instance's decisions. */
struct EntryOptions {
    Core::InstanceName name;
    Core::ZoneName zone;
    BackendTableOptions table;
    SnapshotChooserOptions snapshots;
    DispatcherOptions dispatcher;
    HedgePolicyOptions hedging;
    /** Kept for merging and for the way back to the caller. */
    Core::Duration answerReserve{Core::milliseconds(3)};
    /** How often queues and leases are looked over. */
    Core::Duration systemPeriod{Core::milliseconds(20)};
};

/** Counts of whole requests, for metrics and the state dump. */
struct RequestCounters {
    std::uint64_t searches{0};
    std::uint64_t lookups{0};
    std::uint64_t actions{0};
    std::uint64_t answeredWhole{0};
    std::uint64_t answeredPartly{0};
    std::uint64_t refusedNotRun{0};
    std::uint64_t refusedUnknown{0};
    std::uint64_t snapshotRestarts{0};
    std::uint64_t firstAttempts{0};
    std::uint64_t hedges{0};
    std::uint64_t retries{0};
};

/** Everything that requests work on. */
struct EntryState {
    EntryState(EntryOptions options, BackendTransport &transport, Core::TimerService &timers);

    /** The policy of a service, made when first asked for. */
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
    /** Lines about refusals in the present second. */
    int refusalLines{0};
    Core::Instant refusalSecond;
    /** Whether the table of backend servers can be taken for complete; a fresh process's can't. */
    std::function<bool()> registryIsWarm;
    /** A planned stop has begun: nothing new comes in. */
    bool draining{false};
};

/** What a caller gets. */
struct CallerAnswer {
    int status{200};
    std::string contentType{"application/json"};
    std::string body;
    std::optional<std::chrono::seconds> retryAfter;
};

using AnswerHook = std::function<void(CallerAnswer answer)>;

/** Logs that a request was refused; at most a few lines a second, the rest is only counted. */
void logRefusal(EntryState &state, const Problem &problem, const Core::ServiceName &service, const Core::RequestId &requestId);

/** The answer that a problem makes. */
[[nodiscard]] CallerAnswer problemAnswer(const Problem &problem, const Core::RequestId &requestId);

/** A declared service with the class that a request falls under. */
struct RequestParameters {
    Core::ServiceName service;
    Protocol::ServiceDeclaration declaration;
    Protocol::UrgencyClass urgencyClass;
    int connectionShare{1};
    Core::Instant deadline;
};

/** The parameters of a request at this moment, or why it is refused before anything was run. */
[[nodiscard]] tl::expected<RequestParameters, Problem> findTerms(EntryState &state, const Core::ServiceName &service, const std::string &className);

}
