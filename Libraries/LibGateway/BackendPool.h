/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The backend servers that a gateway knows: their health, the connections to them, the
// attempts in flight, and the choice of the backend server for each request.

#pragma once

#include <LibCore/EventPoll.h>
#include <LibCore/StrongValue.h>
#include <LibCore/TimerService.h>
#include <LibFleet/Declaration.h>
#include <LibGateway/BackendChoice.h>
#include <LibGateway/BackendConnector.h>
#include <LibGateway/CrashChecks.h>
#include <LibGateway/RetryBudget.h>
#include <LibGateway/Scheduling/CapacityQueues.h>
#include <LibGateway/Scheduling/DeniedRepeatLog.h>
#include <LibGateway/Scheduling/LogLimit.h>
#include <LibGateway/WarmthChecks.h>
#include <LibGateway/WarmupLimiter.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>

namespace Gateway
{

/** Location of this gateway and parameters of the pool. The times come from measurements on the deployments; see docs/QUERY-PATH.md. */
struct BackendPoolOptions {
    Core::ZoneName zone;
    Fleet::RegionOfZone regions;
    RetryBudgetOptions budget;
    /** A new connection that is not established within this time fails. A responsive server accepts one within this time, also across regions. */
    Core::Duration connectTimeout{Core::milliseconds(600)};
    /** Whether the servers accept a connection within a few round trips as long as they run. If so, a connection attempt that takes longer fails. */
    bool acceptsPromptly{false};
    /** A connection whose sent bytes stay unacknowledged for this long is broken; a running machine acknowledges within a round trip. */
    Core::Duration acknowledgementTimeout{Core::milliseconds(1200)};
    /** See Wire::ClientConnectionOptions. */
    std::function<bool(const Wire::Socket &socket)> awaitsAcknowledgement{&Wire::Socket::awaitsAcknowledgement};
    /** Consecutive failures after which a backend server is avoided. One that does not respond at all is avoided at once. */
    int failuresUntilAvoided{2};
    /** When new connections are tried out before a request is sent; nothing when the servers have no connection cap. */
    std::optional<TrialOptions> trial{TrialOptions{}};
    RejectionBackoffOptions connectionRejected;
    /** An abandoned attempt is cancelled after this time, by closing its connection. Longer than a server pause, so that the connection survives one. */
    Core::Duration abandonTimeout{Core::milliseconds(300)};
    /** Replaces abandonTimeout once the caller is gone and nobody needs the answer; cancels well within half a second. */
    Core::Duration cancelTimeout{Core::milliseconds(150)};
    /** An idle connection that was not used for this long is closed. */
    Core::Duration idleTimeout{Core::seconds(20)};
    BackendChoiceOptions choice;
    WarmupOptions warmup;
    /**
     * What the registry tells about the warm-up of the backend servers is out of date when it is older than this, and is not relied on. Longer than the time
     * between updates of a watcher that sends to servers with a warm-up limit (warmthUpdatePeriod()).
     */
    Core::Duration maximumWarmthAge{Core::milliseconds(600)};
    WarmthCheckOptions warmthChecks;
    ConnectionShares connections;
    /** Whether it is checked, after a connection broke, if the backend server has ended, and crashes and answers are recorded in the trace of the request. */
    bool recordsCrashes{true};
    /** Maximum number of connections to a backend server of a service that is not declared. */
    int undeclaredCap{1};
    /** Memory for unfinished answers, shared with other pools; may be nullptr. */
    std::shared_ptr<Wire::ReceiveBudget> receiveBudget;
};

/** The request of an attempt and how its latency is judged. */
struct AttemptOptions {
    const CallerRequest *caller{nullptr};
    Core::Duration timeLeft{0};
    /** Typical latency of such requests; the health of the backend server is measured against it. */
    Core::Duration typicalLatency{0};
    /** Regions in which the request may be served. */
    Fleet::AllowedRegions allowedRegions;
    /** See Wire::ClientRequest. */
    bool verifyOpen{false};
    std::function<bool()> mayConfirm;
    std::function<void(const AttemptOutcome &outcome)> done;
};

/** Which backend servers qualify for a request. */
struct SelectionCriteria {
    const Core::ServiceName &service;
    /** Backend servers that are excluded, since the request was sent to them before. */
    const std::vector<BackendName> &tried;
    Core::Duration typicalLatency{0};
    const Fleet::AllowedRegions &allowedRegions;
    /** Maximum expected latency; nothing when any will do. */
    std::optional<Core::Duration> within;
    /** The request that would be sent; nullptr when it is not known yet. */
    const CallerRequest *request{nullptr};
    /** Backend servers that refused the request; see ChoiceTerms::refusedBy. */
    std::span<const BackendName> refusedBy{};
    /** Whether the request may probe a backend server; see ChoiceTerms::mayProbe. */
    bool mayProbe{false};
};

/** Counters for metrics. */
struct PoolCounters {
    std::uint64_t attempts{0};
    /** Attempts to another zone of this region, and to another region. Both are included in `attempts`. */
    std::uint64_t attemptsToOtherZone{0};
    std::uint64_t attemptsToOtherRegion{0};
    std::uint64_t connectionsOpened{0};
    std::uint64_t broken{0};
    /** Of these, the ones for which bytes arrived that are no response to them. */
    std::uint64_t malformed{0};
    std::uint64_t notSent{0};
    /** Connections that a backend server accepted and reset before a request was sent. */
    std::uint64_t connectionRejected{0};
    std::uint64_t notExecuted{0};
    /** Sends to backend servers that were observed to accept less than LowAcceptance of their requests. Included in `attempts`. */
    std::uint64_t attemptsToLowAcceptance{0};
    std::uint64_t cancelled{0};
    std::uint64_t wrongBackend{0};
    /** Answers that were discarded because they belong to another send. */
    std::uint64_t discarded{0};
    /** Sends that opened a new connection because every idle one had sent a request with the same key. */
    std::uint64_t reuseAvoided{0};
    /** Backend servers that ended while they ran a request of this gateway. */
    std::uint64_t crashes{0};
    /** Repeats that the retry budgets of the services granted and denied. */
    RepeatCounters repeats;
    /** Attempts that waited because another gateway may have sent the part again, and those that were not made since it had closed the connection. */
    std::uint64_t repeatsPostponed{0};
    std::uint64_t repeatsNotAwaited{0};
    /** Answers that arrived after a pause of their backend server. */
    std::uint64_t pauses{0};
    /** Backend servers that sweeps visited, which is what an idle gateway spends its time on. */
    std::uint64_t swept{0};
    /** New requests that joined those waiting for capacity, instead of looking for some themselves. */
    std::uint64_t joinedWaiting{0};
    /** Messages to gateways; see sendMessage(). Included in `attempts`. */
    std::uint64_t messages{0};
};

/** How much of its retry budget a service uses at this gateway. */
struct ServiceBudgetUse {
    Core::ServiceName service;
    BudgetUse use;
};

/** Numbers of backend servers for metrics. */
struct SpeedCounts {
    std::size_t slow{0};
    std::size_t paused{0};
};

/** Table of backend servers and of the attempts in flight. */
class BackendPool
{
public:
    /** Assumed until the registry reports the gateways: so many that this gateway's share comes to a single connection to each backend server. */
    static constexpr int AssumedGateways = 10'000;

    BackendPool(BackendPoolOptions options, const Dialect &dialect, Core::EventPoll &poll, Core::TimerService &timers);
    ~BackendPool();
    BackendPool(const BackendPool &) = delete;
    BackendPool &operator=(const BackendPool &) = delete;

    /** Applies a backend server's record from the registry. */
    void update(const Fleet::BackendRecord &record);

    /** Applies the connection caps and warm-up parameters of a declaration. */
    void setDeclaration(std::shared_ptr<const Fleet::Declaration> declaration);
    /** Sets how many gateways share the backend servers, and how many of them are in this gateway's zone. */
    void setGatewayCount(int all, int inZone);
    [[nodiscard]] int gatewayCount() const;

    /** Sets the availability zones whose backend servers get no further requests. */
    void setEvacuatedZones(const std::vector<std::string> &zones);

    /** Returns the best backend server that is eligible and has free capacity, or nullptr. */
    [[nodiscard]] Backend *choose(const SelectionCriteria &criteria);

    /** Returns the first of `names` that is eligible, has free capacity, and is neither avoided nor stuck; nullptr when there is none. */
    [[nodiscard]] Backend *firstHealthy(const std::vector<BackendName> &names, const SelectionCriteria &criteria);

    /**
     * Sends a request. The outcome is NotSent when the backend server is not eligible. `done` is called exactly once, from the event loop, unless the attempt
     * is abandoned.
     */
    AttemptId send(Backend &backend, AttemptOptions options);

    /** Gives up the outcome of an attempt, which is cancelled after abandonTimeout, or after the shorter cancelTimeout when `callerGone`. */
    void abandon(AttemptId id, bool callerGone);

    /** Sends a message to a gateway over a connection that is free, or not at all. The answer is ignored. */
    void sendMessage(const BackendName &gateway, const CallerRequest &message);

    /** Whether the request may have been sent: its attempt has ended, or its connection is established. */
    [[nodiscard]] bool mayHaveBeenSent(AttemptId id) const;

    /** Whether requests wait for capacity at the service. A new request then joins them, so that it doesn't pass those that come before it. */
    [[nodiscard]] bool hasWaiting(const Core::ServiceName &service) const;
    /** Offers the waiter capacity when some may be free, in the order of CapacityQueue, until it has used it. Returns a number for stopWaiting(). */
    WaiterNumber waitForCapacity(const Core::ServiceName &service, CapacityWaiter waiter);
    /** Offers free capacity to those that wait and, as one of them, to a request that has just joined them. */
    void offerCapacityToNew(const Core::ServiceName &service, WaiterNumber number);
    /** Ends a wait. Does nothing if it has ended. */
    void stopWaiting(const Core::ServiceName &service, WaiterNumber number);
    /** Returns how many requests wait for capacity at all services, by urgency. */
    [[nodiscard]] std::map<Urgency, std::size_t> waitingByUrgency() const;
    /** Returns the histograms of waits for capacity that have ended. */
    [[nodiscard]] const CapacityWaits &capacityWaits() const;

    /** Counts a first send, which adds to the retry budget of the service. */
    void recordRequest(const Core::ServiceName &service);
    /** Consumes one hedge or retry from the retry budget of the service. Returns false when none is left for a repeat of this value. */
    [[nodiscard]] bool consumeRetry(const Core::ServiceName &service, const RepeatRequest &repeat);

    /** Returns how many repeats of which services should be borrowed from other gateways, by what was requested lately. */
    [[nodiscard]] std::map<Core::ServiceName, int> repeatShortages();
    /** Lends repeats to another gateway; see RetryBudget::lend(). */
    [[nodiscard]] int lendRepeats(const Core::ServiceName &service, int wanted);
    /** Adds repeats that another gateway has lent in reply to a query that was sent at `queriedAt`. */
    void borrowRepeats(const Core::ServiceName &service, int count, Core::Instant queriedAt);

    /** Counts an attempt that has to wait (CallParameters::repeatFrom), or one that is not made because its answer is no longer awaited. */
    void recordPostponedRepeat();
    void recordUnawaitedRepeat();

    /** Returns the services with most repeats in the window that ends now, at most `count`, the one with most first. Services without repeats are left out. */
    [[nodiscard]] std::vector<ServiceBudgetUse> mostRepeated(std::size_t count) const;
    /** Whether several backend servers crashed within the last second, or ended their idle connections as they do when they crash. */
    [[nodiscard]] bool hasServersEnding() const;
    /** Whether any backend server of the service is ready, in any zone. */
    [[nodiscard]] bool hasReady(const Core::ServiceName &service) const;
    /** Whether any backend server of the service may get requests with these allowed regions. */
    [[nodiscard]] bool hasEligible(const Core::ServiceName &service, const Fleet::AllowedRegions &allowedRegions) const;
    /**
     * Returns the availability zones whose best backend server scores about as well as the best of all, each zone once. Empty when no eligible one has free
     * capacity.
     */
    [[nodiscard]] std::vector<std::string> goodZonesOf(
        const Core::ServiceName &service, Core::Duration typicalLatency, const Fleet::AllowedRegions &allowedRegions) const;
    /** Whether one of the zones that goodZonesOf() returns is in this region. */
    [[nodiscard]] bool isGoodInRegion(const Core::ServiceName &service, Core::Duration typicalLatency, const Fleet::AllowedRegions &allowedRegions) const;
    /** Records the latency of a part that another gateway sent to a service in a zone; `ratio` as in BackendHealth::recordRemoteAnswer(). */
    void recordPartLatency(const Core::ServiceName &service, const std::string &zone, double ratio);
    /** Whether there may be anything to tell to other gateways; never while no backend server refuses or is slow. */
    [[nodiscard]] bool hasEvidence() const;
    /** Returns the header with what this gateway tells another one of the servers of these services; see SharedEvidence.h. Empty if there is nothing to tell.
     */
    [[nodiscard]] std::string evidenceOf(const std::vector<Core::ServiceName> &names, EvidenceScope scope);
    /**
     * Takes in what another gateway tells. `source` is its name, empty if it is not known; `transit` is the time that the header may have been on the way.
     * Entries that are invalid or about unknown servers are ignored.
     */
    void receiveEvidence(std::string_view header, const std::string &source, Core::Duration transit);
    [[nodiscard]] EvidenceCounters evidenceCounters() const;
    /** Returns the shortest measured round trip to a backend server of the service, at most the round trip that is assumed until one has been measured. */
    [[nodiscard]] Core::Duration roundTripTo(const Core::ServiceName &service) const;
    /** Returns how long the nearest backend server of the service may take to acknowledge sent bytes before its connection fails. */
    [[nodiscard]] Core::Duration acknowledgementLimitTo(const Core::ServiceName &service) const;
    [[nodiscard]] const PoolCounters &counters() const;
    /** Returns how many backend servers are known to be slow, and how many look paused: requests in flight show no sign of life. */
    [[nodiscard]] SpeedCounts speedCounts() const;
    [[nodiscard]] std::size_t connectionCount() const;
    [[nodiscard]] std::size_t backendCount() const;

    /** Returns how often this gateway needs news about the warm-up of backend servers; nothing while it sends to none that has a warm-up limit. */
    [[nodiscard]] std::optional<Core::Duration> warmthUpdatePeriod() const;
    [[nodiscard]] const WarmthCheckCounters &warmthCounters() const;

    /** Returns the table of backend servers as JSON, for operators. */
    [[nodiscard]] std::string dump() const;

    /** Called when a backend server was found to have ended while it ran a request that no backend server has answered. */
    std::function<void(const RequestTrace &trace, const Backend &backend, Core::Instant crashedAt)> requestCrashed;
    /** Called when a service has fewer repeats left than are requested. */
    std::function<void()> repeatsShort;
    /** Called when a backend server has answered a request that it ran. */
    std::function<void(const RequestTrace &trace)> requestAnswered;
    /** Called with each reply, and the time since its request was sent. Not used for backend servers. */
    std::function<void(const Backend &backend, const BackendReply &reply, Core::Duration took)> replied;

    /**
     * Returns this gateway's share of the slack in a service's retry budget, from 0 to 1. `zones` are those that have or had its backend servers. Without a
     * hook the slack is divided equally.
     */
    std::function<double(const Core::ServiceName &service, const std::set<std::string> &zones)> slackShare;
    /**
     * Returns this gateway's share of the `total` requests a second that a backend server that is warming up may get from all gateways. Without a hook the
     * share is 0.
     */
    std::function<int(const Core::ServiceName &service, const std::string &zone, int total)> warmupShare;
    /** Returns as of when the registry tells of each backend server whether it is warming up. Without a hook it always does. */
    std::function<std::optional<Core::Instant>()> warmthKnownAt;

private:
    /** What is known of the warm-up of a backend server. One whose service has no warm-up limit counts as warm. */
    enum class Warmth {
        Warm,
        Cold,
        /** It may be warm or cold, since what was known last is out of date. */
        Unknown,
    };
    struct Service {
        std::vector<Backend *> backends;
        // 0 when the service is not declared.
        int connectionCap{0};
        // Warm-up parameters from the declaration.
        Core::Duration warmupTime{0};
        double warmupRequestsPerSecond{0.0};
        std::string healthPath;
        std::unique_ptr<RetryBudget> budget;
        std::shared_ptr<ServiceAcceptance> acceptance{std::make_shared<ServiceAcceptance>()};
        // Zones of all backend servers that the service has had. A zone that loses its last one still counts, so that no gateway's share of the slack grows
        // when that happens.
        std::set<std::string> zones;
    };

    [[nodiscard]] double slackShareOf(const Core::ServiceName &name, const Service &service) const;
    [[nodiscard]] Service &serviceOf(const Core::ServiceName &name);
    [[nodiscard]] bool isInRegion(const std::string &zone) const;
    [[nodiscard]] std::size_t connectionLimit(const Backend &backend, const Service &service) const;
    /** Whether one more request can be sent now; `request` as in SelectionCriteria. */
    [[nodiscard]] bool hasCapacity(const Backend &backend, const Service &service, const CallerRequest *request = nullptr) const;
    /** Whether there is a connection for one more request, or one can be opened. */
    [[nodiscard]] bool hasFreeConnection(const Backend &backend, const Service &service, const CallerRequest *request) const;
    /** Whether one more request could be sent if a check finds that the backend server is warm. */
    [[nodiscard]] bool hasUnknownCapacity(const Backend &backend, const Service &service, const CallerRequest *request = nullptr) const;
    /** Whether any backend server of the service could get some request with these allowed regions now. */
    [[nodiscard]] bool hasAnyCapacity(const Service &service, const Fleet::AllowedRegions &allowedRegions) const;
    /** Returns how many requests all backend servers of the service can take if none is in flight. */
    [[nodiscard]] std::size_t connectionLimitOfAll(const Service &service) const;
    /**
     * Whether the backend server may get requests at all: it is ready, its zone is not evacuated, and its region is allowed. This is the only place that
     * decides it; send() checks it again, so that no path can bypass it.
     */
    [[nodiscard]] bool isEligible(const Backend &backend, const Fleet::AllowedRegions &allowedRegions) const;
    /** Whether this gateway may send one more request to the backend server, given its warm-up limit. */
    [[nodiscard]] bool isWithinWarmupLimit(const Backend &backend, const Service &service) const;
    [[nodiscard]] Warmth warmthOf(const Backend &backend, const Service &service) const;
    [[nodiscard]] bool isWarmthCurrent() const;
    /** Logs when what the registry tells about warm-ups gets out of date while it is needed, and when it is current again. */
    void logWarmthAge();
    /** Returns how many requests this gateway sends because of one answer that the backend server is warm. */
    [[nodiscard]] int sendsPerCheck(const Service &service) const;
    /** Counts a request to a backend server that may be warming up. */
    void recordWarmupSend(Backend &backend, const Service &service);
    [[nodiscard]] WarmthCheckHooks makeWarmthCheckHooks();
    [[nodiscard]] ConnectionPointer connectionForCheck(Backend &backend, const ReplyKey &key);
    /** Treats the backend server as warming up, since it may have restarted or become reachable again without a heartbeat that reports the warm-up. */
    void assumeWarmingUp(Backend &backend);
    /** Continues choose() when there are backend servers with unknown capacity, see hasUnknownCapacity(). */
    [[nodiscard]] Backend *chooseWithUnknown(
        std::vector<Backend *> candidates, const std::vector<Backend *> &unknown, const SelectionCriteria &criteria, const ChoiceTerms &terms);
    void retire(std::unique_ptr<Backend> former);
    [[nodiscard]] BackendConnectorOptions connectorOptions() const;
    [[nodiscard]] BackendConnectorHooks makeConnectorHooks();
    void connectionClosed(Backend &backend, const Wire::ClientConnection *connection);
    /** Whether a response from `backend` answers the send with the key `expected`. */
    [[nodiscard]] bool isAnswerTo(const ReplyKey &expected, const BackendName &backend, const Wire::Response &response);
    void finish(AttemptId id, Wire::ClientResult result);
    [[nodiscard]] AttemptOutcome outcomeOf(const Attempt &attempt, Wire::ClientResult result);
    void complete(AttemptId id, const AttemptOutcome &outcome);
    [[nodiscard]] CrashCheckHooks makeCrashCheckHooks();
    static void recordAnswer(const Attempt &attempt, const BackendReply &reply, const std::function<void(const RequestTrace &trace)> &answered);
    [[nodiscard]] Attempt extractAttempt(AttemptId id);
    void observeOutcome(Backend &backend, const Attempt &attempt, const AttemptOutcome &outcome);
    /** Records whether the backend server accepted a request, and logs a change of its acceptance. */
    void recordAcceptance(Backend &backend, bool accepted);
    /** Logs a change of the acceptance once. */
    void takeAcceptanceChange(Backend &backend);
    /** Records the speed of a backend server that sent a successful answer. */
    void recordSpeed(Backend &backend, const Attempt &attempt);
    /** Logs a change of the speed once. */
    void takeSpeedChange(Backend &backend);
    /** Logs and counts the end of a pause; called before the reply is recorded. */
    void recordPauseEnd(const Backend &backend, const Attempt &attempt);
    void recordRejection(Backend &backend);
    void recordFailure(Backend &backend, const std::string &reason);
    void recordUnresponsive(Backend &backend, const std::string &reason);
    void remove(Backend &backend);
    [[nodiscard]] CapacityHooks makeCapacityHooks();
    void sweep();
    void sweepEvery(Core::Duration period);
    void cancelOverdue(Core::Instant now);
    void closeIdleConnections(Core::Instant now);
    void markGone(Backend &backend);

    BackendPoolOptions options;
    const Dialect &dialect;
    Core::TimerService &timers;
    BackendChoice choice;
    WarmupLimiter warmupLimiter;
    WarmthChecks warmthChecks;
    // When a request was last sent to a service with a warm-up limit.
    std::optional<Core::Instant> lastLimitedSend;
    bool isWarmthOutdated{false};
    GatewayCount gateways{.all = AssumedGateways, .inZone = AssumedGateways};
    std::shared_ptr<const Fleet::Declaration> declaration;
    std::unordered_map<Core::ServiceName, Service> services;
    std::unordered_map<std::string, std::unique_ptr<Backend>> backends;
    // Former incarnations of backend servers that restarted under the same id, kept until they have no connections and no attempts in flight. Invariant: all
    // have the phase GONE.
    std::vector<std::unique_ptr<Backend>> formerIncarnations;
    // Entries of `backends` that have to be checked periodically. Invariant: includes all that have connections and all that are gone.
    std::unordered_set<Backend *> swept;
    std::set<std::string> evacuatedZones;
    std::unordered_map<AttemptId, Attempt> attempts;
    CrashChecks crashChecks;
    BackendConnector connector;
    AttemptId nextAttempt{1};
    CapacityQueues waiters;
    Core::Duration sweepPeriod{0};
    Core::TimerSubscription sweepTimer;
    PoolCounters counts;
    DeniedRepeatLog deniedRepeats;
    // Services whose budget was short when a repeat was last requested.
    std::set<Core::ServiceName> shortServices;
    LogLimit acceptanceLines{AcceptanceLinesPerSecond};
    LogLimit speedLines{SpeedLinesPerSecond};
    LogLimit pauseLines{PauseLinesPerSecond};
    // Invariant: no server has anything to tell to other gateways after this time.
    Core::Instant evidenceUntil;
    EvidenceCounters evidence;
    EvidenceLog evidenceLog;
};

}
