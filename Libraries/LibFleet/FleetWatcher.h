/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Watches coordinators and takes their news over: backend servers, gateways, the
// declaration, and which other coordinators there are. Gateways use it, and
// coordinators watch each other with it.

#pragma once

#include <LibCore/Settings.h>
#include <LibFleet/BackendRegistry.h>
#include <LibFleet/Declaration.h>
#include <LibFleet/Regions.h>
#include <LibProtocol/Generated/Coordinator.h>
#include <LibRpc/RpcChannel.h>

#include <map>
#include <memory>

namespace Fleet
{

/** Who watches, and how patiently. */
struct WatcherOptions {
    std::string name;
    std::string zone;
    RegionOfZone regions;
    /** Never watched: the watcher itself. */
    Core::Endpoint own;
    /** How many coordinators are watched at once; any more are known, but asked only when these fail. */
    std::size_t maximumWatched{2};
    /** Whether operators' orders are wanted, and whose heartbeats coordinators heard. */
    bool wantsOrders{true};
    bool wantsHeard{false};
    /**
     * A coordinator that does not answer for this long is asked over a new connection. Longer than coordinators
     * hold a question (CoordinatorOptions::longPollTimeout), and short enough that a healed network is used within three seconds.
     */
    Core::Duration responseTimeout{Core::milliseconds(2800)};
    /** Pause after a failed question. */
    Core::Duration retryPause{Core::milliseconds(200)};
    /** A declaration that the first coordinator has not sent after this long is wanted of the others, too. */
    Core::Duration declarationFallbackDelay{Core::milliseconds(300)};
    /**
     * A fresh watcher waits this long for near coordinators before it takes the registry from far ones, whose bytes are dear: they
     * answer a connection within a round trip once they listen, and a first packet that is lost is tried again after 0.3 s.
     */
    Core::Duration nearPatience{Core::milliseconds(500)};
    /** One that is no longer named by others is given up after this long without an answer. */
    Core::Duration removalTimeout{Core::seconds(20)};
};

/** Declarations are taken as bytes; whoever reads them decides whether they are used. */
class FleetWatcher
{
public:
    FleetWatcher(WatcherOptions options, BackendRegistry &backends, BackendRegistry &gateways, Core::TimerService &timers);
    FleetWatcher(const FleetWatcher &) = delete;
    FleetWatcher &operator=(const FleetWatcher &) = delete;

    /** Adds coordinators to those that may be watched. */
    void addCoordinators(const std::vector<Core::Endpoint> &endpoints);

    /** Asks from now on for an answer that is confirmed to be current, until one came. */
    void requestConfirmation();

    /** Whether what is held was confirmed to be the newest after the confirmation was wanted. */
    [[nodiscard]] bool isConfirmed() const;
    /** Coordinators that answered lately. */
    [[nodiscard]] std::size_t reachableCount() const;
    [[nodiscard]] std::vector<Core::Endpoint> coordinators() const;
    /** When the latest question was asked that a coordinator answered which hears from a leader and tells everything: what is known here is newer. */
    [[nodiscard]] std::optional<Core::Instant> lastLeaderSync() const;
    /** Whether any coordinator has answered yet. */
    [[nodiscard]] bool hasReceivedUpdate() const;

    /** The version that is held already; asked before each question. */
    std::function<DeclarationVersion()> knownVersion;
    /** What the watcher says of itself, when it is a gateway that takes requests. */
    std::function<std::optional<Protocol::BackendAnnouncement>()> ownAnnouncement;
    /** The evacuated zones as far as this watcher knows. */
    [[nodiscard]] const Protocol::Evacuations &evacuations() const;

    /** The evacuated zones changed. */
    std::function<void(const Protocol::Evacuations &evacuations)> evacuationsChanged;
    /** A newer declaration came. */
    std::function<void(DeclarationVersion version, const std::string &content)> declarationReceived;

private:
    static constexpr std::uint64_t NoQuestion = 0;
    struct Watched {
        Core::Endpoint endpoint;
        std::string zone;
        std::shared_ptr<Rpc::RpcChannel> channel;
        std::int64_t incarnation{0};
        std::int64_t cursor{0};
        std::int64_t gatewayCursor{0};
        // Up to the cursors it has told of everything, not only of leavers.
        bool toldEverything{false};
        bool asking{false};
        // The question that is under way. What comes for another one is passed over, since a channel that is dropped lives on until its call has ended.
        std::uint64_t question{NoQuestion};
        // Of the question that is under way.
        Protocol::RegistryInterest::type askedInterest{Protocol::RegistryInterest::NOTHING};
        bool reachable{false};
        // The last question failed. One that was never asked is neither reachable nor failing.
        bool failing{false};
        // Whether it hears from a leader; one that does not may miss declarations.
        bool hasLeader{true};
        // This watcher's own order among coordinators that are equally near.
        std::size_t order{0};
        Core::Instant addedAt;
        Core::Instant lastAnswer;
        // When the question that is under way was asked.
        Core::Instant askedAt;
        Core::TimerSubscription retry;
    };

    Watched &add(const Core::Endpoint &endpoint);
    void askChosen();
    [[nodiscard]] std::vector<Watched *> ranked();
    [[nodiscard]] std::vector<Watched *> chosen();
    [[nodiscard]] Protocol::RegistryInterest::type interestIn(const Watched &watched);
    [[nodiscard]] int distanceOf(const Watched &watched) const;
    void ask(Watched &watched);
    static void dropQuestion(Watched &watched);
    void handleOutcome(const Core::Endpoint &endpoint, const Core::Result<Protocol::WatchReply> &answer, const Protocol::WatchRequest &request);
    void askLater(const Core::Endpoint &endpoint, Core::Duration pause);
    [[nodiscard]] Protocol::WatchRequest makeRequest(Watched &watched);
    void handleAnswer(Watched &watched, const Protocol::WatchReply &answer, const Protocol::WatchRequest &request);
    void takeNews(Watched &watched, const Protocol::WatchReply &reply, std::int64_t askedFrom);
    void applyEvacuations(const Protocol::WatchReply &reply);
    void applyDeclaration(const Protocol::WatchReply &reply, std::int64_t askedFrom);
    void failed(Watched &watched, const std::string &reason);
    [[nodiscard]] std::int64_t held() const;

    WatcherOptions options;
    BackendRegistry &backends;
    BackendRegistry &gateways;
    Core::TimerService &timers;
    std::map<Core::Endpoint, Watched> table;
    // Invariant: no two questions have the same number, also when a coordinator was given up and is watched again meanwhile.
    std::uint64_t lastQuestion{NoQuestion};
    bool wantsConfirmation{false};
    // The version that a quorum confirmed to be the newest; its text may still be on the way.
    std::optional<std::int64_t> confirmedVersion;
    Protocol::Evacuations evacuated;
    bool anyAnswer{false};
    std::optional<Core::Instant> leaderKnown;
    // The text of the version that is held, as a base for deltas. Not compressed, since it is needed at each change.
    std::string heldText;
    std::int64_t heldTextVersion{-1};
    // The newest version that any coordinator told of, and since when.
    std::int64_t newestKnown{-1};
    Core::Instant newestKnownSince;
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
