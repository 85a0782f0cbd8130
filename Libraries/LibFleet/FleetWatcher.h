/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Watches coordinators and takes their news over: backend servers, the
// declaration, and which other coordinators there are. Gateways use it, and
// coordinators watch each other with it.

#pragma once

#include <LibCore/Settings.h>
#include <LibFleet/BackendRegistry.h>
#include <LibFleet/Declaration.h>
#include <LibProtocol/Generated/Coordinator.h>
#include <LibRpc/RpcChannel.h>

#include <map>
#include <memory>

namespace Fleet
{

/** Who watches, and how patiently. */
struct WatcherOptions {
    std::string name;
    bool isGateway{false};
    /** Never watched: the watcher itself. */
    Core::Endpoint own;
    /**
     * A coordinator that does not answer for this long is asked over a new connection. Longer than coordinators
     * hold a question (CoordinatorOptions::watchHold), and short enough that a healed network is used within two seconds.
     */
    Core::Duration answerTimeout{Core::milliseconds(1700)};
    /** Pause after a failed question. */
    Core::Duration retryPause{Core::milliseconds(200)};
    /** One that is no longer named by others is given up after this long without an answer. */
    Core::Duration giveUpAfter{Core::seconds(20)};
};

/** Declarations are taken as bytes; whoever reads them decides whether they are used. */
class FleetWatcher
{
public:
    FleetWatcher(WatcherOptions options, BackendRegistry &registry, Core::TimerService &timers);
    FleetWatcher(const FleetWatcher &) = delete;
    FleetWatcher &operator=(const FleetWatcher &) = delete;

    /** Adds coordinators to those that are watched. */
    void addCoordinators(const std::vector<Core::Endpoint> &endpoints);

    /** Asks from now on for an answer that is confirmed to be current, until one came. */
    void wantConfirmation();

    [[nodiscard]] bool isConfirmed() const;
    /** Coordinators that answered lately. */
    [[nodiscard]] std::size_t inReach() const;
    /** The largest number of gateways that any coordinator told of. */
    [[nodiscard]] int gatewayCount() const;
    [[nodiscard]] std::vector<Core::Endpoint> coordinators() const;
    /** Answers so far. */
    [[nodiscard]] std::uint64_t answers() const;

    /** The version that is held already; asked before each question. */
    std::function<DeclarationVersion()> heldVersion;
    /** A newer declaration came. */
    std::function<void(DeclarationVersion version, const std::string &content)> declarationArrived;
    /** The first confirmed answer came; what it carried has been handed over before. */
    std::function<void()> confirmed;

private:
    struct Watched {
        Core::Endpoint endpoint;
        std::shared_ptr<Rpc::RpcChannel> channel;
        std::int64_t incarnation{0};
        std::int64_t cursor{0};
        int gateways{0};
        bool asking{false};
        bool reachable{false};
        Core::Instant lastAnswer;
        Core::TimerSubscription retry;
    };

    void ask(const Core::Endpoint &endpoint);
    void takeAnswer(const Core::Endpoint &endpoint, const Core::Result<Protocol::WatchReply> &answer, bool askedForConfirmation);
    void takeNews(Watched &watched, const Protocol::WatchReply &reply);
    void failed(Watched &watched, const std::string &reason);

    WatcherOptions options;
    BackendRegistry &registry;
    Core::TimerService &timers;
    std::map<Core::Endpoint, Watched> table;
    bool wantsConfirmation{false};
    bool isCurrent{false};
    std::uint64_t answerCount{0};
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
