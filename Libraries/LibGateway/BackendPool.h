/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The backend servers as this gateway sees them: what it observed of each, its
// connections to each, and which one a request goes to next.

#pragma once

#include <LibCore/EventPoll.h>
#include <LibCore/StrongValue.h>
#include <LibCore/TimerService.h>
#include <LibFleet/Declaration.h>
#include <LibGateway/BackendChoice.h>
#include <LibGateway/RetryBudget.h>
#include <LibGateway/WarmupLimiter.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace Gateway
{

/** Where this gateway is, and what it takes into account. Times are as measured on the deployments; docs/QUERY-PATH.md. */
struct BackendPoolOptions {
    Core::ZoneName zone;
    Fleet::RegionOfZone regions;
    RetryBudgetOptions budget;
    /** A server that is not silent answers a new connection within this time, also across regions. */
    Core::Duration connectTimeout{Core::milliseconds(600)};
    /** The other side's machines accept a connection within a few round trips as long as they run, so one that has taken longer is given up. */
    bool acceptsPromptly{false};
    /** Sent bytes that stay unacknowledged for this long break a connection; a machine that runs acknowledges within a round trip. */
    Core::Duration acknowledgementTimeout{Core::milliseconds(1200)};
    /** Failures in a row after which one is avoided. Silence counts at once. */
    int failuresUntilAvoided{2};
    /** Nothing where the other side takes as many connections as come. */
    std::optional<TrialOptions> trial{TrialOptions{}};
    RejectionBackoffOptions connectionRejected;
    /** An abandoned attempt is cancelled, by closing its connection, after this time. Longer than a pause, so that a connection survives one. */
    Core::Duration abandonPatience{Core::milliseconds(300)};
    /** Once the caller has gone nobody needs the answer: cancelled well within half a second. */
    Core::Duration cancelPatience{Core::milliseconds(150)};
    /** A connection that was not used for this long is closed. */
    Core::Duration idleLimit{Core::seconds(20)};
    BackendChoiceOptions choice;
    WarmupOptions warmup;
    ConnectionShares connections;
    /** Connections to a backend server of a service that is not declared. */
    int undeclaredCap{1};
};

/** What is sent, and what is expected of it. */
struct AttemptOptions {
    const CallerRequest *caller{nullptr};
    Core::Duration timeLeft{0};
    /** Typical latency of such requests, for judging a backend server by. */
    Core::Duration typicalLatency{0};
    /** Where the request may be served. */
    Fleet::AllowedRegions allowedRegions;
    std::function<void(const AttemptOutcome &outcome)> done;
};

/** What a backend server is wanted for. */
struct SelectionCriteria {
    const Core::ServiceName &service;
    /** Those that are not asked again. */
    const std::vector<BackendName> &tried;
    Core::Duration typicalLatency{0};
    const Fleet::AllowedRegions &allowedRegions;
    /** Only one that is expected to answer in that time. */
    std::optional<Core::Duration> within;
    /** What would be sent; nullptr when that is not known. */
    const CallerRequest *request{nullptr};
};

/** Counts for metrics. */
struct PoolCounters {
    std::uint64_t attempts{0};
    /** Of these, to another zone of this region, and to another region. */
    std::uint64_t attemptsToOtherZone{0};
    std::uint64_t attemptsToOtherRegion{0};
    std::uint64_t connectionsOpened{0};
    std::uint64_t broken{0};
    std::uint64_t notSent{0};
    /** Connections that were accepted and reset before a request was sent. */
    std::uint64_t connectionRejected{0};
    std::uint64_t notExecuted{0};
    std::uint64_t cancelled{0};
    std::uint64_t wrongBackend{0};
    /** Answers that were passed over, since they belong to another send. */
    std::uint64_t discarded{0};
    /** Sends for which a kept connection was not used, because it had carried one of the same key before. */
    std::uint64_t reuseAvoided{0};
    /** Backend servers that sweeps looked at: what a gateway costs at rest. */
    std::uint64_t swept{0};
};

/** Table of backends and of the attempts under way. */
class BackendPool
{
public:
    /** Calls the hook once when a service may have room again. */
    using RoomHook = std::function<void()>;

    BackendPool(BackendPoolOptions options, const Dialect &dialect, Core::EventPoll &poll, Core::TimerService &timers);
    ~BackendPool();
    BackendPool(const BackendPool &) = delete;
    BackendPool &operator=(const BackendPool &) = delete;

    /** Takes over what the registry learnt. */
    void update(const Fleet::BackendRecord &record);

    /** Takes connection caps over. */
    void setDeclaration(std::shared_ptr<const Fleet::Declaration> declaration);
    /** How many gateways share the backend servers, and how many of these are in this zone. */
    void setGatewayCount(int all, int inZone);
    [[nodiscard]] int gatewayCount() const;

    /** Nothing more is sent to the backend servers of these availability zones. */
    void setEvacuatedZones(const std::vector<std::string> &zones);

    /** The best backend server that may be asked and has room, or nullptr. */
    [[nodiscard]] Backend *choose(const SelectionCriteria &wanted);

    /** The first of `names` that may be asked, has room, and neither failed lately nor looks stuck; nullptr when there is none. */
    [[nodiscard]] Backend *firstHealthy(const std::vector<BackendName> &names, const SelectionCriteria &wanted);

    /** Sends, unless the backend server may not be asked: then the outcome is NotSent. `done` is called exactly once, from the loop, unless the attempt is
     * abandoned. */
    AttemptId send(Backend &backend, AttemptOptions options);

    /** Nobody waits for the outcome any more. `callerGone` asks for an early cancellation. */
    void abandon(AttemptId id, bool callerGone);

    /** Whether the request has left, as far as can be told. */
    [[nodiscard]] bool mayHaveBeenSent(AttemptId id) const;

    /** Calls the hook when there may be room; more urgent ones first, of these the newest. Returns a number for stopWaiting(). */
    std::uint64_t waitForCapacity(const Core::ServiceName &service, const Urgency &urgency, RoomHook hook);
    void stopWaiting(const Core::ServiceName &service, std::uint64_t number);

    /** Counts a first send in the service's budget of repeats. */
    void recordRequest(const Core::ServiceName &service);
    /** Takes a repeat out of that budget; false when there is none left. */
    [[nodiscard]] bool consumeRetry(const Core::ServiceName &service);
    /** Whether a backend server of the service is ready, wherever it is. */
    [[nodiscard]] bool hasReady(const Core::ServiceName &service) const;
    /** Whether one may be asked. */
    [[nodiscard]] bool hasEligible(const Core::ServiceName &service, const Fleet::AllowedRegions &allowedRegions) const;
    /** The availability zones whose backend servers are about as good a choice as the best one, each once. Empty when none takes work. */
    [[nodiscard]] std::vector<std::string> goodZonesOf(
        const Core::ServiceName &service, Core::Duration typicalLatency, const Fleet::AllowedRegions &allowedRegions) const;
    /** Whether one of the best backend servers is in this region. */
    [[nodiscard]] bool isGoodInRegion(const Core::ServiceName &service, Core::Duration typicalLatency, const Fleet::AllowedRegions &allowedRegions) const;
    /** Another gateway asked the backend servers of a service in a zone; `ratio` as in BackendHealth::recordAnswer(). */
    void recordPartLatency(const Core::ServiceName &service, const std::string &zone, double ratio);
    /** The shortest round trip to a backend server of a service; an assumption before one was measured. */
    [[nodiscard]] Core::Duration roundTripTo(const Core::ServiceName &service) const;
    [[nodiscard]] const PoolCounters &counters() const;
    [[nodiscard]] std::size_t connectionCount() const;
    [[nodiscard]] std::size_t backendCount() const;

    /** The rows as JSON, for people. */
    [[nodiscard]] std::string dump() const;

    /** This gateway's part of a service's slack of repeats, told the zones that have or had its backend servers; an equal part when there is none. */
    std::function<double(const Core::ServiceName &service, const std::set<std::string> &zones)> slackShare;
    /** This gateway's part of `total` requests that a warmup backend server of a service in a zone bears a second; none when there is no hook. */
    std::function<int(const Core::ServiceName &service, const std::string &zone, int total)> warmupShare;

private:
    struct Waiter {
        std::uint64_t number{0};
        Urgency urgency;
        RoomHook hook;
    };
    struct Service {
        std::vector<Backend *> backends;
        // Invariant: in order of urgency, and the newest first within one: while there are more than room, those that wait longest are late
        // already, and serving them in their turn would make all of them late.
        std::vector<Waiter> waiters;
        // 0 when the service is not declared.
        int connectionCap{0};
        // As declared.
        Core::Duration warmupTime{0};
        double warmupRequestsPerSecond{0.0};
        std::unique_ptr<RetryBudget> budget;
        // Of all backend servers that it ever had: a zone that loses its last one still counts, so that no part grows when one does.
        std::set<std::string> zones;
    };

    [[nodiscard]] Service &serviceOf(const Core::ServiceName &name);
    [[nodiscard]] bool isInRegion(const std::string &zone) const;
    [[nodiscard]] std::size_t connectionLimit(const Backend &backend, const Service &service) const;
    /** Whether one more can be sent now; `request` as in SelectionCriteria. */
    [[nodiscard]] bool hasRoom(const Backend &backend, const Service &service, const CallerRequest *request = nullptr) const;
    /** Whether one of its backend servers has room for some request. */
    [[nodiscard]] bool hasAnyRoom(const Service &service) const;
    /** Whether it may be asked at all. The one place that decides; send() asks it again, so that nothing gets past it. */
    [[nodiscard]] bool isEligible(const Backend &backend, const Fleet::AllowedRegions &allowedRegions) const;
    /** Whether a warmup backend server bears one more from here. */
    [[nodiscard]] bool bearsMore(const Backend &backend, const Service &service) const;
    /** It may have started again, or come back otherwise, and not have said yet that it is warmup. */
    void assumeCold(Backend &backend);
    void retire(std::unique_ptr<Backend> former);
    /** A connection that has not carried a send of this key: a kept one, or a new one. */
    [[nodiscard]] ConnectionPointer connectionFor(Backend &backend, const ReplyKey &key);
    /** `reuseAvoided`: beside idle ones that may not be used, so that the backend server may have as many as it takes. */
    [[nodiscard]] ConnectionPointer openConnection(Backend &backend, bool reuseAvoided);
    [[nodiscard]] std::optional<Core::Duration> trialMargin(bool reuseAvoided) const;
    /** How long a new connection may take; nothing where connectTimeout alone bounds it. */
    [[nodiscard]] std::optional<Core::Duration> connectLimit(const Backend &backend) const;
    void connectionClosed(Backend &backend, const Wire::ClientConnection *connection);
    /** Whether what came from `backend` is the answer to a send of the key `expected`. */
    [[nodiscard]] bool isAnswerTo(const ReplyKey &expected, const BackendName &backend, const Wire::Response &response);
    void finish(AttemptId id, Wire::ClientResult result);
    [[nodiscard]] Attempt takeAttempt(AttemptId id);
    void learn(Backend &backend, const Attempt &attempt, const AttemptOutcome &outcome);
    void recordRejection(Backend &backend);
    void recordFailure(Backend &backend, const std::string &reason);
    void recordSilence(Backend &backend, const std::string &reason);
    void logAvoidance(const Backend &backend, const std::string &reason) const;
    void remove(Backend &backend);
    void offerRoom(const Core::ServiceName &service);
    void offerRoomToWaiters();
    void sweep();
    void sweepEvery(Core::Duration period);
    void cancelOverdue(Core::Instant now);
    void closeIdleConnections(Core::Instant now);
    void markGone(Backend &backend);

    BackendPoolOptions options;
    const Dialect &dialect;
    Core::EventPoll &poll;
    Core::TimerService &timers;
    BackendChoice choice;
    WarmupLimiter coldAllowance;
    // Until the registry tells, so many that nothing is taken out of what all share but a connection each.
    GatewayCount gateways{.all = AssumedGateways, .inZone = AssumedGateways};
    static constexpr int AssumedGateways = 10'000;
    std::shared_ptr<const Fleet::Declaration> declaration;
    std::unordered_map<Core::ServiceName, Service> services;
    std::unordered_map<std::string, std::unique_ptr<Backend>> backends;
    // Earlier lives of backend servers that started again under their id, until nothing of theirs is under way. Invariant: all of them are gone.
    std::vector<std::unique_ptr<Backend>> formerLives;
    // Those in `backends` that time alone changes. Invariant: all with connections, and all that have gone.
    std::unordered_set<Backend *> swept;
    std::set<std::string> evacuatedZones;
    std::unordered_map<AttemptId, Attempt> attempts;
    TrialPeriod trialPeriod;
    AttemptId nextAttempt{1};
    std::uint64_t nextWaiter{1};
    // Invariant: holds every service with waiters.
    std::set<Core::ServiceName> awaitedServices;
    Core::Duration sweepPeriod{0};
    Core::TimerSubscription sweepTimer;
    PoolCounters counts;
};

}
