/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A coordinator: takes declarations from operators and heartbeats from backend
// servers, and tells gateways and other coordinators what is new.

#pragma once

#include <LibCoordinator/DeclarationLog.h>
#include <LibCoordinator/MembershipPolicy.h>
#include <LibCoordinator/RegistryStore.h>
#include <LibCoordinator/WatchService.h>
#include <LibFleet/BackendRegistry.h>
#include <LibFleet/FleetWatcher.h>
#include <LibFleet/HeartbeatTimes.h>

namespace Coordinator
{

/** Settings of one coordinator. */
struct CoordinatorOptions {
    DeclarationLogOptions log;
    MembershipPolicyOptions membership;
    /** Where gateways and other coordinators call. */
    Core::Endpoint watchEndpoint;
    /** Coordinators that are known from the settings. */
    std::vector<Core::Endpoint> seeds;
    /** The whole system starts for the first time with empty folders. */
    bool mayFound{false};
    /** A question without news is answered after this long, so that the asker knows that the coordinator lives. */
    Core::Duration longPollTimeout{Core::milliseconds(1800)};
    /** How long heartbeats of backend servers are waited for. */
    Fleet::HeartbeatTimes heartbeats{Fleet::HeartbeatTimes::of(Core::milliseconds(1200))};
    /** The same for a gateway, which calls at least each time that a question was held. */
    Core::Duration gatewaySilence{Core::seconds(12)};
    /** Says what is wrong with a declaration's text, or which version it has. */
    std::function<Core::Result<Fleet::DeclarationVersion>(const std::string &content)> validateDeclaration;
    /** The availability zones of the deployment, which operators may evacuate. */
    Fleet::RegionOfZone regions;
};

/** What becomes of an operator's order. */
enum class OrderStatus {
    /** A quorum holds it; a declaration also when a quorum holds a higher version. */
    Accepted,
    Invalid,
    /** Another coordinator has to be asked. */
    NotLeader,
    /** It may or may not come into force. */
    Unknown,
};

struct OrderOutcome {
    OrderStatus status{OrderStatus::Unknown};
    /** The version of a declaration; -1 when it can't be read. */
    std::int64_t version{-1};
    /** For Invalid: what is wrong. */
    std::string problem;
    /** For NotLeader: where operators reach the leader; empty when unknown. */
    std::string leaderAddress;
};

/** What a reader gets. */
struct ReadOutcome {
    /** Whether `content` is the newest, confirmed by a quorum after the question came. */
    bool confirmed{false};
    std::int64_t version{-1};
    std::string content;
    std::string leaderAddress;
};

/** Answers through hooks, which are called exactly once. */
class CoordinatorNode
{
public:
    [[nodiscard]] static Core::Result<std::unique_ptr<CoordinatorNode>> create(CoordinatorOptions options, Core::TimerService &timers);
    CoordinatorNode(const CoordinatorNode &) = delete;
    CoordinatorNode &operator=(const CoordinatorNode &) = delete;

    // Operators.
    void declare(const std::string &content, const std::function<void(const OrderOutcome &outcome)> &done);
    /** Nothing more goes to the backend servers of an availability zone, or they are used again. */
    void evacuate(const std::string &zone, bool evacuate, const std::function<void(const OrderOutcome &outcome)> &done);
    void read(const std::function<void(const ReadOutcome &outcome)> &done);

    // Backend servers.
    void announce(const Protocol::BackendAnnouncement &announcement);
    /** `born` tells which life ends; 0 when the backend server did not say. */
    void deregister(const std::string &id, std::int64_t born);

    // Gateways and other coordinators.
    void watch(const Protocol::WatchRequest &request, const std::function<void(const Protocol::WatchReply &reply)> &done);
    [[nodiscard]] Protocol::IntroductionReply introduce(const Protocol::Introduction &introduction);
    void receive(const std::vector<Protocol::LogMessage> &messages);

    void addSeeds(const std::vector<Core::Endpoint> &seeds);

    /** Hands leadership over. `stopped` is called when nothing waits any more. */
    void drain(std::function<void()> stopped);

    [[nodiscard]] const DeclarationLog &declarations() const;
    [[nodiscard]] const Fleet::BackendRegistry &backends() const;
    /** Gauges in the Prometheus text format; docs/OPERATIONS.md tells what they mean. */
    [[nodiscard]] std::string metrics() const;
    /** The state as JSON, for people. */
    [[nodiscard]] std::string dump() const;

private:
    CoordinatorNode(CoordinatorOptions options, Core::TimerService &timers);
    void startTimers();
    /** Tells how the log took an order. */
    [[nodiscard]] static DeclarationLog::ProposalHook answerTo(OrderOutcome outcome, const std::function<void(const OrderOutcome &outcome)> &done);
    void changeMembers();
    void seekMembership();
    void introduceTo(const Core::Endpoint &endpoint);
    void takeIntroduction(const Core::Endpoint &endpoint, const Protocol::IntroductionReply &reply);
    void foundIfComplete();
    [[nodiscard]] bool isMember() const;
    [[nodiscard]] Protocol::Introduction ownIntroduction() const;
    [[nodiscard]] std::string leaderOperatorAddress() const;
    void expireBackends();
    void restoreBackends();
    void keepBackends();
    void finishDrain();

    CoordinatorOptions options;
    Core::TimerService &timers;
    std::int64_t incarnation;
    Fleet::BackendRegistry registry;
    RegistryStore store;
    std::unique_ptr<Fleet::FleetWatcher> peers;
    std::unique_ptr<DeclarationLog> log;
    // Gateways that take requests.
    Fleet::BackendRegistry gateways;
    // NOTE: After what it looks at.
    std::unique_ptr<WatchService> desk;
    // Coordinators that introduced themselves, by address; only used until a log is founded.
    std::map<Core::Endpoint, Protocol::Introduction> introduced;
    std::map<Core::Endpoint, std::shared_ptr<Rpc::RpcChannel>> introductionChannels;
    Core::Instant lastExpiry;
    bool draining{false};
    std::function<void()> stopped;
    Core::TimerSubscription memberTimer;
    Core::TimerSubscription introductionTimer;
    Core::TimerSubscription expiryTimer;
    Core::TimerSubscription storeTimer;
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

private:
    CoordinatorNode &node;
};

}
