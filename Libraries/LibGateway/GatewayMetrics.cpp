/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/GatewayMetrics.h>

#include <array>

namespace Gateway
{

// Number of services whose use of the retry budget is shown, so that the page does not grow with the number of shards.
static constexpr std::size_t ServicesWithWindow = 10;

static void addCounter(Metrics::MetricsPage &page, const char *name, const char *help, std::uint64_t value)
{
    page.counter(name, help, static_cast<double>(value));
}

void addRequestMetrics(Metrics::MetricsPage &page, const GatewayCounters &counts)
{
    const auto outcome = [&page](const char *name, std::uint64_t value) {
        page.counter("crankrudder_requests_total", "Requests by outcome.", static_cast<double>(value), {{"outcome", name}});
    };
    outcome("answered", counts.answered);
    outcome("partial", counts.partial);
    outcome("not-run", counts.refused);
    outcome("failed", counts.failed);
    outcome("caller-gone", counts.callersGone);
    outcome("no-route", counts.unrouted);
    outcome("ambiguous", counts.ambiguous);
    outcome("unauthorized", counts.unauthorized);
    outcome("over-quota", counts.overQuota);
    outcome("quarantined", counts.quarantined);
    for (const auto &[ending, value] : counts.endings) {
        page.counter("crankrudder_unanswered_total",
            "Requests that were refused or failed, by outcome and why they may have run.",
            static_cast<double>(value),
            {{"outcome", outcomeName(ending.first)}, {"may_have_run", evidenceName(ending.second)}});
    }
    addCounter(page, "crankrudder_hedges_total", "Second sends for late ones.", counts.hedges);
    addCounter(page, "crankrudder_parts_given_total", "Parts of searches that other gateways were asked for.", counts.relayed);
    addCounter(page, "crankrudder_parts_taken_total", "Parts of searches that other gateways asked for.", counts.partsReceived);
    addCounter(page, "crankrudder_parts_cancelled_total", "Parts that ended because the gateways that asked for them cancelled them.", counts.partsCancelled);
    addCounter(page, "crankrudder_parts_declined_busy_total", "Of these, declined because another owner is less busy.", counts.partsDeclined);
}

static void addCapacityMetrics(Metrics::MetricsPage &page, const BackendPool &servers)
{
    for (const auto &[urgency, count] : servers.waitingByUrgency()) {
        page.gauge("crankrudder_capacity_waiting",
            "Sends that wait for free capacity at backend servers.",
            static_cast<double>(count),
            {{"workspace_priority", std::to_string(urgency.workspace)}, {"route_priority", std::to_string(urgency.route)}});
    }
    static constexpr auto *Help = "Time that sends waited for free capacity, until they were sent or left.";
    page.histogram("crankrudder_capacity_wait_seconds", Help, servers.capacityWaits().sent(), {{"outcome", "sent"}});
    page.histogram("crankrudder_capacity_wait_seconds", Help, servers.capacityWaits().left(), {{"outcome", "left"}});
    addCounter(page, "crankrudder_capacity_late_total", "Waits for capacity that ended too late for the target.", servers.capacityWaits().late());
    addCounter(page, "crankrudder_capacity_newest_first_total", "Waits for capacity that ended under overload.", servers.capacityWaits().overloaded());
    addCounter(page, "crankrudder_capacity_joined_total", "New sends that joined waiting ones.", servers.counters().joinedWaiting);
}

static void addRepeatMetrics(Metrics::MetricsPage &page, const RepeatCounters &repeats)
{
    constexpr std::array Kinds{RepeatKind::RetryAfterRefusal, RepeatKind::RetryAfterFailure, RepeatKind::Hedge};
    const auto add = [&page](const char *name, const char *help, RepeatKind kind, std::uint64_t value) {
        page.counter(name, help, static_cast<double>(value), {{"kind", repeatKindName(kind)}});
    };
    for (const auto kind : Kinds) {
        add("crankrudder_repeats_total", "Retries and hedges that the retry budgets granted, by kind.", kind, repeats.of(kind).granted);
    }
    for (const auto kind : Kinds) {
        add("crankrudder_repeats_denied_total", "Retries and hedges that the retry budgets denied, by kind.", kind, repeats.of(kind).denied);
    }
}

static void addWindowMetrics(Metrics::MetricsPage &page, const std::vector<ServiceBudgetUse> &used)
{
    const auto add = [&](const char *name, const char *help, double BudgetUse::*value) {
        for (const auto &[service, use] : used) {
            page.gauge(name, help, use.*value, {{"service", service.value()}});
        }
    };
    add("crankrudder_window_repeats", "Repeats in the window of the retry budget, of the services with most of them.", &BudgetUse::repeats);
    add("crankrudder_window_requests", "First sends in the same window, of the same services.", &BudgetUse::requests);
    add("crankrudder_window_limit", "Repeats that this gateway may send in a window, of the same services.", &BudgetUse::limit);
}

void addLostPartMetrics(Metrics::MetricsPage &page, const LostParts &lost)
{
    for (const bool mayRetry : {true, false}) {
        page.counter("crankrudder_parts_lost_total",
            "Parts of searches that were sent and not answered, by whether their shards may be sent again.",
            static_cast<double>(lost.count(mayRetry)),
            {{"may_retry", mayRetry ? "1" : "0"}});
    }
}

void addSendMetrics(Metrics::MetricsPage &page, const BackendPool &servers, const BackendPool &gateways)
{
    const auto &sends = servers.counters();
    addCounter(page, "crankrudder_sends_total", "Requests sent to backend servers.", sends.attempts);
    addCounter(page, "crankrudder_sends_other_region_total", "Of these, to another region.", sends.attemptsToOtherRegion);
    addCounter(page, "crankrudder_sends_broken_total", "Sends whose answer was lost.", sends.broken);
    addCounter(page,
        "crankrudder_answers_malformed_total",
        "Of these, sends for which bytes arrived that are no valid answer, from backend servers and gateways.",
        sends.malformed + gateways.counters().malformed);
    addCounter(page, "crankrudder_backend_crashes_total", "Backend servers that ended while they ran a request of this gateway.", sends.crashes);
    const auto &warmth = servers.warmthCounters();
    addCounter(page, "crankrudder_warmth_checks_total", "Health requests by which backend servers were asked whether they are warming up.", warmth.begun);
    addCounter(page, "crankrudder_warmth_checks_failed_total", "Of these, the ones that were not answered, or did not tell.", warmth.failed);
    addCounter(page, "crankrudder_warmth_checks_cold_total", "Of these, the ones that told of a backend server that is warming up.", warmth.cold);
    addCounter(page, "crankrudder_sends_refused_total", "Sends that backend servers refused to run.", sends.notExecuted);
    addCounter(page,
        "crankrudder_sends_low_acceptance_total",
        "Sends to backend servers that were observed to refuse more than half of their requests.",
        sends.attemptsToLowAcceptance);
    const auto evidence = servers.evidenceCounters();
    addCounter(page, "crankrudder_evidence_sent_total", "Entries about backend servers that were sent to other gateways.", evidence.sent);
    addCounter(page, "crankrudder_evidence_received_total", "Entries about backend servers that other gateways sent.", evidence.received);
    addCounter(page, "crankrudder_evidence_ignored_total", "Of these, invalid, old, about unknown servers, or weaker than one that is held.", evidence.ignored);
    addCounter(page,
        "crankrudder_choices_changed_by_evidence_total",
        "Choices of a backend server that would have been different without evidence from other gateways.",
        evidence.changedChoices);
    addCounter(page, "crankrudder_backend_pauses_total", "Answers of backend servers that arrived after a pause.", sends.pauses);
    const auto speeds = servers.speedCounts();
    page.gauge("crankrudder_backends_slow", "Backend servers that are known to be temporarily slow.", static_cast<double>(speeds.slow));
    page.gauge("crankrudder_backends_paused", "Backend servers whose requests in flight show no sign of life.", static_cast<double>(speeds.paused));
    addCounter(page, "crankrudder_sends_cancelled_total", "Sends that were cancelled.", sends.cancelled);
    addCounter(page,
        "crankrudder_answers_passed_over_total",
        "Answers of backend servers and gateways that belong to another send than the one that waited.",
        sends.discarded + gateways.counters().discarded);
    addCounter(page,
        "crankrudder_connections_kept_apart_total",
        "Sends that did not use a kept connection because it had carried the same request.",
        sends.reuseAvoided);
    addCounter(page,
        "crankrudder_connections_turned_away_total",
        "New connections that backend servers reset at once, having as many as they take.",
        sends.connectionRejected);
    addCounter(page, "crankrudder_connections_opened_total", "Connections opened to backend servers.", sends.connectionsOpened);
    addRepeatMetrics(page, sends.repeats);
    addCounter(page, "crankrudder_repeats_postponed_total", "Retries that waited because the part may have been given up.", sends.repeatsPostponed);
    addCounter(
        page, "crankrudder_repeats_not_awaited_total", "Retries and hedges that were not sent because the part had been given up.", sends.repeatsNotAwaited);
    addWindowMetrics(page, servers.mostRepeated(ServicesWithWindow));
    addCounter(page, "crankrudder_rows_swept_total", "Backend servers and gateways that sweeps looked at.", sends.swept + gateways.counters().swept);
    page.gauge("crankrudder_connections", "Connections to backend servers.", static_cast<double>(servers.connectionCount()));
    page.gauge("crankrudder_backends", "Backend servers that are known.", static_cast<double>(servers.backendCount()));
    addCapacityMetrics(page, servers);
    addCounter(page, "crankrudder_cancellations_sent_total", "Messages to gateways that cancel parts.", gateways.counters().messages);
}

static void addRefusalMetrics(Metrics::MetricsPage &page, const QuotaCounters &counts)
{
    for (const auto &[urgency, count] : counts.refusedByUrgency) {
        page.counter("crankrudder_quota_refusals_total",
            "Requests that were refused by quota, by the priorities of their workspace and their route.",
            static_cast<double>(count),
            {{"workspace_priority", std::to_string(urgency.workspace)}, {"route_priority", std::to_string(urgency.route)}});
    }
    for (std::size_t queries = 0; queries < counts.refusedAfterQueries.size(); ++queries) {
        page.counter("crankrudder_quota_refusals_by_queries_total",
            "Requests that were refused by quota, by queries to other gateways before (3: or more).",
            static_cast<double>(counts.refusedAfterQueries[queries]),
            {{"queries", std::to_string(queries)}});
    }
    page.histogram("crankrudder_quota_refusal_seconds", "Time until a request was refused by quota.", counts.refusalTimes);
}

static void addReservationMetrics(Metrics::MetricsPage &page, const QuotaLimiter &quotas)
{
    const auto &counts = quotas.reservationCounters();
    const auto event = [&page](const char *name, std::uint64_t value) {
        page.counter("crankrudder_quota_reservations_total", "Reservations of tokens by what became of them.", static_cast<double>(value), {{"event", name}});
    };
    event("made", counts.made);
    event("claimed", counts.claimed);
    event("expired", counts.expired);
    event("dropped", counts.dropped);
    page.gauge("crankrudder_quota_reservations", "Reservations whose callers are expected.", static_cast<double>(quotas.outstandingReservations()));
}

void addLendingMetrics(Metrics::MetricsPage &page, const LendingCounters &counts)
{
    addCounter(page, "crankrudder_repeats_borrowed_total", "Repeats that other gateways lent to this one.", counts.borrowed);
    addCounter(page, "crankrudder_repeats_lent_total", "Repeats that this gateway lent to others.", counts.lent);
    addCounter(page, "crankrudder_repeat_loan_queries_total", "Queries for repeats that this gateway sent.", counts.queries);
    addCounter(page, "crankrudder_repeat_loan_failures_total", "Queries for repeats without a reply in time.", counts.failures);
    page.histogram("crankrudder_repeat_loan_seconds", "Time until a query for repeats was replied to.", counts.replyTimes);
}

void addQuotaMetrics(Metrics::MetricsPage &page, const QuotaLimiter &quotas)
{
    const auto &counts = quotas.counters();
    addCounter(page, "crankrudder_quota_granted_total", "Requests that their workspace's quota let in.", counts.granted);
    addCounter(page, "crankrudder_quota_refused_total", "Requests beyond their workspace's quota.", counts.refused);
    addCounter(page, "crankrudder_quota_no_keeper_total", "Requests refused because no keeper of their workspace's quota answered.", counts.noKeeper);
    addCounter(page, "crankrudder_quota_asked_total", "Questions about quotas to other gateways.", counts.asked);
    addCounter(page, "crankrudder_quota_answered_total", "Questions about quotas from other gateways.", counts.answered);
    addCounter(page, "crankrudder_quota_starting_total", "Requests refused because a keeper has taken over its share only now.", counts.starting);
    addCounter(page,
        "crankrudder_quota_out_of_time_total",
        "Requests refused although a keeper was not asked, since the answer would have been late.",
        counts.outOfTime);
    addRefusalMetrics(page, counts);
    addReservationMetrics(page, quotas);
    page.gauge("crankrudder_quota_divided", "Kept workspaces whose tokens are divided by urgency.", static_cast<double>(quotas.dividedShareCount()));
    page.gauge("crankrudder_quota_kept", "Workspaces that this gateway keeps a part of the quota of.", static_cast<double>(quotas.heldShareCount()));
    page.gauge("crankrudder_quota_shares_waiting",
        "Shares of quotas that this gateway has taken over and does not grant from yet.",
        static_cast<double>(quotas.waitingShareCount()));
}

void addConnectionMetrics(Metrics::MetricsPage &page, const Wire::ServerCounters &counts)
{
    constexpr const char *Help = "Connections of callers that ended, other than by the caller between two requests, by what was left.";
    const auto ended = [&page](const char *left, std::uint64_t value) {
        page.counter("crankrudder_connections_ended_total", Help, static_cast<double>(value), {{"left", left}});
    };
    ended("request", counts.aborted);
    ended("response", counts.unwritten);
    ended("crossing-bytes", counts.discarded);
    ended("nothing", counts.idleClosed);
    page.counter("crankrudder_invalid_responses_total",
        "Responses that violate the grammar of HTTP, for which callers received 500.",
        static_cast<double>(counts.invalidResponses));
}

void addOwnerMetrics(Metrics::MetricsPage &page, const OwnerLoadCounters &counts, const std::optional<LoopReport> &ownLoad)
{
    for (std::size_t rank = 0; rank < counts.answeredByRank.size(); ++rank) {
        page.counter("crankrudder_parts_by_owner_rank_total",
            "Parts that owners of their cells answered, by the rank of the owner in this gateway's preference (3: or later).",
            static_cast<double>(counts.answeredByRank[rank]),
            {{"rank", std::to_string(rank)}});
    }
    addCounter(page, "crankrudder_owners_passed_over_total", "Parts sent to another owner because the preferred one was busier.", counts.passedOver);
    addCounter(page, "crankrudder_owner_probes_total", "Parts sent to an owner to learn its load.", counts.probes);
    addCounter(page, "crankrudder_owner_reports_total", "Loads that other gateways reported.", counts.reports);
    addCounter(page, "crankrudder_owner_reports_ignored_total", "Reports of load that were invalid or too old.", counts.ignored);
    if (ownLoad.has_value()) {
        page.gauge("crankrudder_loop_busy_share", "Share of the time in which the event loop does not wait.", ownLoad->busyPercent / 100.0);
        page.gauge("crankrudder_timer_late_seconds", "How late timers run.", Core::toFractionalMilliseconds(ownLoad->late) / 1000.0);
    }
}

}
