/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A coordinator. It receives declarations and evacuation orders from operators and
// heartbeats from backend servers, and sends updates to the gateways and the other
// coordinators that watch it.

#pragma once

#include <LibCoordinator/CrashStore.h>
#include <LibCoordinator/DeclarationLog.h>
#include <LibCoordinator/DepartureReplication.h>
#include <LibCoordinator/GatewayList.h>
#include <LibCoordinator/MembershipPolicy.h>
#include <LibCoordinator/RegistryStore.h>
#include <LibCoordinator/WatchService.h>
#include <LibFleet/BackendRegistry.h>
#include <LibFleet/FleetWatcher.h>
#include <LibFleet/HeartbeatTimes.h>
#include <LibProtocol/Generated/ControlPeer.h>

namespace Coordinator
{

/** Settings of one coordinator. */
struct CoordinatorOptions {
    DeclarationLogOptions log;
    MembershipPolicyOptions membership;
    /** Where gateways and other coordinators send watch requests and introductions. */
    Core::Endpoint watchEndpoint;
    /** Endpoints of the coordinators that the settings name, which may include this one. */
    std::vector<Core::Endpoint> seeds;
    /** Set when the whole system starts for the first time, with empty data folders, so that a log may be bootstrapped. */
    bool mayBootstrap{false};
    /** A watch request for which there is no update is answered after this long, so that the watcher knows that the coordinator still runs. */
    Core::Duration longPollTimeout{Core::milliseconds(1800)};
    /** Timeouts for the heartbeats of backend servers. */
    Fleet::HeartbeatTimes heartbeats{Fleet::HeartbeatTimes::of(Core::milliseconds(1200))};
    /** Heartbeat timeout of gateways. A gateway announces itself with each watch request, so at least once in each long-poll timeout. */
    Core::Duration gatewayHeartbeatTimeout{Core::seconds(12)};
    /** Validates the text of a declaration. Returns its version, or an error that says what is wrong. */
    std::function<Core::Result<Fleet::DeclarationVersion>(const std::string &content)> validateDeclaration;
    /** The availability zones of the deployment, with their regions. Operators may evacuate these zones and no others. */
    Fleet::RegionOfZone regions;
};

/** Outcome of an operator's order. */
enum class OrderStatus {
    /** The order is committed. A declaration is also accepted when its version or a higher one was committed before. */
    Accepted,
    /** The order was rejected and not proposed; OrderOutcome::problem says why. */
    Invalid,
    /** This coordinator is not the leader or is draining. The order was not proposed and has to be sent to the leader. */
    NotLeader,
    /** The order was proposed, and it is unknown whether it is or will be committed. */
    Unknown,
};

struct OrderOutcome {
    OrderStatus status{OrderStatus::Unknown};
    /** The version of the declaration; -1 for an invalid declaration and for an evacuation. */
    std::int64_t version{-1};
    /** Why the order is Invalid; otherwise empty. */
    std::string problem;
    /** Where operators reach the leader; empty when it is unknown. */
    std::string leaderAddress;
};

/** Outcome of reading the declaration. */
struct ReadOutcome {
    /** Whether a quorum confirmed, after the read began, that `version` and `content` are the newest. Otherwise they are -1 and empty. */
    bool confirmed{false};
    std::int64_t version{-1};
    std::string content;
    /** Where operators reach the leader; empty when it is unknown. */
    std::string leaderAddress;
};

/** One coordinator of the control plane. Each hook that is passed to a function is called exactly once. */
class CoordinatorNode
{
public:
    [[nodiscard]] static Core::Result<std::unique_ptr<CoordinatorNode>> create(CoordinatorOptions options, Core::TimerService &timers);
    CoordinatorNode(const CoordinatorNode &) = delete;
    CoordinatorNode &operator=(const CoordinatorNode &) = delete;

    // For operators.

    /** Validates a declaration and commits it through the log. */
    void declare(const std::string &content, const std::function<void(const OrderOutcome &outcome)> &done);
    /** Orders that requests are no longer sent to the backend servers of an availability zone, or, with `evacuate` false, that they are used again. */
    void evacuate(const std::string &zone, bool evacuate, const std::function<void(const OrderOutcome &outcome)> &done);
    /** Reads the newest declaration after a quorum has confirmed that it is the newest. */
    void read(const std::function<void(const ReadOutcome &outcome)> &done);

    // For backend servers.

    /**
     * Receives a heartbeat. `done` is called at once for a ready backend server, and for a draining one as by deregister(). Watchers are notified before that
     * in both cases.
     */
    void announce(const Protocol::BackendAnnouncement &announcement, const DepartureReplication::OutcomeHook &done);
    /**
     * Receives a deregistration. `born` is the start time of the incarnation that ends, in Unix milliseconds; 0 when it was not given. `done` is called once
     * the departure is stored by as many coordinators as are needed or can't be.
     */
    void deregister(const std::string &id, std::int64_t born, const DepartureReplication::OutcomeHook &done);

    // For gateways and other coordinators.

    /** Answers a watch request, and receives the announcement that a gateway sends with it. */
    void watch(const Protocol::WatchRequest &request, const std::function<void(const Protocol::WatchReply &reply)> &done);
    /** Answers the introduction of another coordinator. The leader proposes to add an unknown coordinator as a learner. */
    [[nodiscard]] Protocol::IntroductionReply introduce(const Protocol::Introduction &introduction);
    /** Receives the crash records of a gateway. Returns how many records this coordinator holds. */
    [[nodiscard]] std::size_t receiveCrashes(const std::vector<Protocol::CrashRecord> &records);
    /** Merges departures that another coordinator received. `done` is called with whether they are on the disk of this coordinator. */
    void receiveDepartures(const std::vector<Protocol::BackendAnnouncement> &departures, const DepartureReplication::StoredHook &done);
    /** Receives messages of the replicated log. */
    void receive(const std::vector<Protocol::LogMessage> &messages);

    /** Replaces the seeds and watches them, for use after the settings changed. */
    void addSeeds(const std::vector<Core::Endpoint> &seeds);

    /**
     * Refuses further orders, tells the other coordinators that this one leaves, and transfers leadership. `stopped` is called when no proposal and no
     * departure waits any more, the others have confirmed the notice or had time to, and this coordinator is not the leader, or has no reachable voter to
     * which it could transfer leadership.
     */
    void drain(std::function<void()> stopped);

    /** Replies to all watch requests that are held, so that their senders do not wait for a coordinator that is about to end. */
    void answerWatchers();

    /** Number of batches of departures, of this and other coordinators, that are not stored on the disk yet. */
    [[nodiscard]] std::size_t waitingDepartureStores() const;

    [[nodiscard]] const DeclarationLog &declarations() const;
    [[nodiscard]] const Fleet::BackendRegistry &backends() const;
    /** Metrics in the Prometheus text format; docs/OPERATIONS.md explains them. */
    [[nodiscard]] std::string metrics() const;
    /** The state as JSON, for operators. */
    [[nodiscard]] std::string dump() const;

private:
    CoordinatorNode(CoordinatorOptions options, Core::TimerService &timers);
    void startTimers();
    /** Makes a hook that completes `outcome` with the end of a proposal and calls `done` with it. */
    [[nodiscard]] static DeclarationLog::ProposalHook makeProposalHook(OrderOutcome outcome, const std::function<void(const OrderOutcome &outcome)> &done);
    void changeMembers();
    /** Time since a member was last heard of, as the leader; what is known of it from before this coordinator led counts until it replies. */
    [[nodiscard]] Core::Duration timeSinceContactWith(const Protocol::Member &member) const;
    [[nodiscard]] bool isLeaving(const std::string &name) const;
    void logMemberChange(const Protocol::MemberChange &change, Core::Duration silence, const Core::Result<std::int64_t> &proposed) const;
    void requestMembership();
    void introduceToAll();
    void introduceTo(const Core::Endpoint &endpoint);
    void handleIntroductionReply(const Core::Endpoint &endpoint, const Protocol::IntroductionReply &reply);
    void bootstrapIfComplete();
    [[nodiscard]] bool isMember() const;
    [[nodiscard]] Protocol::Introduction ownIntroduction();
    /** Whether the whole system starts for the first time, by the settings or by what an earlier incarnation of this process has stored. */
    [[nodiscard]] bool isFirstStart();
    [[nodiscard]] std::string leaderOperatorAddress() const;
    void connectDepartures();
    /** Acknowledges the departure of a backend server if it is known to have left; there is nothing to keep otherwise. */
    void acknowledgeDeparture(const std::string &id, const DepartureReplication::OutcomeHook &done);
    [[nodiscard]] std::vector<Core::Endpoint> departurePeers();
    void sendDepartures(
        const Core::Endpoint &endpoint, const std::vector<Protocol::BackendAnnouncement> &departures, const DepartureReplication::StoredHook &done);
    void expireBackends();
    void expireUnconfirmedBackends();
    [[nodiscard]] Core::Result<void> restoreStoredState();
    /** Calls `done` after the next write of the registry, which follows soon. */
    void storeBackendsSoon(const DepartureReplication::StoredHook &done);
    /** Writes the registries within milliseconds, later on a slow disk. */
    void storeSoon();
    void storeBackends();
    [[nodiscard]] Core::Result<void> writeBackends();
    /** Logs when writes of a file begin to fail, and when they succeed again; `isFailing` is the state after the write before. */
    static void logWrite(const Core::Result<void> &written, bool &isFailing, const char *failedEvent, const char *recoveredEvent);
    void storeGateways();
    /** Connects the list of gateways to the other coordinators and to watchers. */
    void connectGateways();
    /** Whether this coordinator has a leader and the registries of all coordinators that it reaches. */
    [[nodiscard]] bool isInTouch() const;
    void storeCrashes();
    void finishDrain();

    CoordinatorOptions options;
    Core::TimerService &timers;
    Core::Instant startedAt;
    std::int64_t incarnation;
    Fleet::BackendRegistry registry;
    RegistryStore store;
    // Set once the files of the data folder were read. They are not written before, since that would replace what they hold.
    bool isStateRestored{false};
    bool isStoreFailing{false};
    bool isGatewayStoreFailing{false};
    // How long the latest write of the registry took.
    Core::Duration storeDuration{0};
    // Called after the next write of the registry with whether it succeeded.
    std::vector<DepartureReplication::StoredHook> storeHooks;
    DepartureReplication departures;
    std::map<Core::Endpoint, std::shared_ptr<Rpc::RpcChannel>> departureChannels;
    std::unique_ptr<Fleet::FleetWatcher> peers;
    std::unique_ptr<DeclarationLog> log;
    GatewayList gateways;
    // Requests under which backend servers crashed, as reported by gateways and by other coordinators.
    Fleet::CrashLedger crashes;
    CrashStore crashStore;
    // NOTE: Declared after the log, the registries and the crash records, which it refers to and which have to outlive it.
    std::unique_ptr<WatchService> watchService;
    // Introductions of other coordinators, by their endpoint; only used until the log is bootstrapped.
    std::map<Core::Endpoint, Protocol::Introduction> introduced;
    // Set once the data folder could be used. Invariant: if true, it is stored in the folder.
    std::optional<bool> firstStart;
    std::map<Core::Endpoint, std::shared_ptr<Rpc::RpcChannel>> introductionChannels;
    // When coordinators last said that they are being stopped, by their member name. Every coordinator keeps this, since any of them may lead next.
    std::map<std::string, Core::Instant> leavingSince;
    Core::Instant lastExpiry;
    bool draining{false};
    // Set once `draining` is.
    Core::Instant drainBegan;
    std::function<void()> stopped;
    Core::TimerSubscription memberTimer;
    Core::TimerSubscription introductionTimer;
    Core::TimerSubscription expiryTimer;
    Core::TimerSubscription storeTimer;
    Core::TimerSubscription storeSoonTimer;
    Core::TimerSubscription drainTimer;
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

/** The Thrift service that gateways and coordinators call. */
class CoordinatorHandler : public Protocol::CoordinatorCobSvIf
{
public:
    explicit CoordinatorHandler(CoordinatorNode &node);

    void watch(std::function<void(Protocol::WatchReply const &)> callback, const Protocol::WatchRequest &request) override;
    void introduce(std::function<void(Protocol::IntroductionReply const &)> callback, const Protocol::Introduction &introduction) override;
    void reportCrashes(std::function<void(std::int32_t const &)> callback, const std::vector<Protocol::CrashRecord> &records) override;
    void storeDepartures(std::function<void(bool const &)> callback, const std::vector<Protocol::BackendAnnouncement> &departures) override;

private:
    CoordinatorNode &node;
};

/** The Thrift service through which coordinators send messages of the replicated log. */
class LogPeerHandler : public Protocol::ControlPeerCobSvIf
{
public:
    explicit LogPeerHandler(CoordinatorNode &node);

    void deliver(std::function<void()> callback, const std::vector<Protocol::LogMessage> &messages) override;

private:
    CoordinatorNode &node;
};

}
