/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Model of gateways that keep quotas, for property tests: they freeze, are cut off from the
// coordinators and restart, and every grant is recorded.

#pragma once

#include <LibGateway/Quota/QuotaLedger.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>
#include <random>

namespace TestSupport
{

using Fleet::Quota;
using Gateway::KeeperGateway;
using Gateway::QuotaLedger;
using Gateway::QuotaOptions;

inline constexpr Core::Duration Step = Core::milliseconds(10);
inline const Fleet::RegionOfZone regions{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}, {"c2", "c"}};
inline const std::vector<std::string> zones{"a1", "a2", "b1", "b2", "c1", "c2"};

inline Core::Instant at(Core::Duration time)
{
    return Core::Instant(time);
}

inline Fleet::Workspace workspaceWith(const Quota &quota)
{
    return {.name = Fleet::WorkspaceName("w"), .priority = 0, .quota = quota, .allowedRegions = {}};
}

inline std::shared_ptr<const Fleet::Declaration> declarationWith(const Quota &quota)
{
    auto declaration = std::make_shared<Fleet::Declaration>();
    cr_assert(declaration->workspaces.emplace().add(workspaceWith(quota), {}).has_value());
    return declaration;
}

inline double maximumInWindow(const Quota &quota, const QuotaOptions &options)
{
    const double seconds = Core::toFractionalMilliseconds(options.window) / 1000.0;
    return (quota.requestsPerSecond * seconds + quota.burst) * (1.0 + options.overshoot) + options.slack;
}

inline KeeperGateway gatewayNumber(std::size_t number)
{
    return {
        .name = Gateway::BackendName("g" + std::to_string(number)), .address = "10.0.0." + std::to_string(number) + ":1", .zone = zones[number % zones.size()]};
}

/**
 * Model of gateways with quota ledgers. Each receives changes of gateways and of the declaration with a delay of up to a second, and a gateway without
 * heartbeats for 12 s is removed by the others.
 */
class QuotaModel
{
public:
    // The timeouts of the gateway and of the coordinators.
    static constexpr Core::Duration HeartbeatTimeout = Core::seconds(12);
    static constexpr Core::Duration LeaderlessHoldTime = Core::seconds(7);
    static constexpr Core::Duration LongPollTime = Core::milliseconds(1800);
    static constexpr Core::Duration ContactDelay = Core::milliseconds(300);

    QuotaModel(unsigned seed, std::size_t gateways, const Quota &quota) : random(seed), quotas{{at(Core::Duration(0)), quota}}
    {
        for (std::size_t number = 0; number < gateways; ++number) {
            this->rows.push_back({.ledger = std::make_unique<QuotaLedger>(regions, this->options, gatewayNumber(number).address)});
        }
    }

    struct Row {
        std::unique_ptr<QuotaLedger> ledger;
        // The process is frozen until then; messages sent to it are not lost.
        Core::Instant frozenUntil;
        // The gateway reaches no coordinator until then.
        Core::Instant disconnectedUntil;
        Core::Instant lastHeartbeat;
        Core::Instant leaderKnown;
        Core::Instant viewDue;
        bool hasView{false};
        std::vector<bool> view;
        // When the gateway sends its next watch request, unless it receives an update before.
        Core::Instant nextRequest;
        // The latest watch request that showed that it holds the current list, what the other coordinators know of it, and when they learn more.
        std::optional<Core::Instant> contact;
        std::optional<Core::Instant> knownContact;
        Core::Instant contactKnownAt;
        Core::Instant listedSince;
        std::shared_ptr<const Fleet::Declaration> held;
    };

    /** Starts the process of a gateway again at its address. It knows nothing until a coordinator replies, while the others may still know it as ready. */
    void restart(Row &row)
    {
        const auto number = static_cast<std::size_t>(&row - this->rows.data());
        row = Row{.ledger = std::make_unique<QuotaLedger>(regions, this->options, gatewayNumber(number).address),
            .frozenUntil = this->now + this->upTo(200),
            .disconnectedUntil = row.disconnectedUntil,
            .lastHeartbeat = row.lastHeartbeat,
            .view = {},
            .contact = {},
            .knownContact = {},
            .held = {}};
    }

    void advance()
    {
        this->now = this->now + Step;
        std::vector<bool> ready;
        for (auto &row : this->rows) {
            const bool sendsHeartbeat = this->isRunning(row) && this->now >= row.disconnectedUntil;
            row.lastHeartbeat = sendsHeartbeat ? this->now : row.lastHeartbeat;
            ready.push_back(this->now - row.lastHeartbeat < HeartbeatTimeout);
        }
        if (ready != this->actualReady) {
            this->actualReady = ready;
            this->scheduleUpdates();
        }
        for (auto &row : this->rows) {
            if (this->isRunning(row)) {
                this->advanceRow(row);
            }
        }
        for (auto &row : this->rows) {
            this->advanceContact(row);
        }
    }

    /** In one of a hundred steps, freezes or disconnects a gateway for up to 25 s. */
    void freezeOrDisconnectAtRandom()
    {
        if (this->random() % 100 == 0) {
            auto &row = this->rows[this->random() % this->rows.size()];
            (this->random() % 2 == 0 ? row.frozenUntil : row.disconnectedUntil) = this->now + this->upTo(25'000);
        }
    }

    /** In one of two thousand steps, disconnects half of the gateways at once, each for up to 20 s. */
    void disconnectHalfAtRandom()
    {
        if (this->random() % 2000 == 0) {
            for (std::size_t number = 0; number < this->rows.size(); number += 2) {
                this->rows[number].disconnectedUntil = this->now + this->upTo(20'000);
            }
        }
    }

    /** Fails the test if the window that ends now has more grants than the quota permits. */
    void verifyWindow(unsigned seed)
    {
        const auto sent = static_cast<double>(this->grantedInWindow());
        cr_assert(sent <= this->allowed(),
            "seed %u: %.0f of %.0f at %ld ms",
            seed,
            sent,
            this->allowed(),
            static_cast<long>(Core::toMilliseconds(this->now.sinceStart())));
    }

    /** A request as its caller sends it. */
    struct Call {
        // Without terms, as from a gateway of an older build.
        std::optional<Gateway::QuotaTerms> terms;
        // When the caller returns, if it was told to.
        Core::Instant returnsAt;
    };

    /** Returns a call with one of few digests, so that several callers have the same content, and with time enough to be given reservations. */
    Call randomCall()
    {
        if (this->random() % 4 == 0) {
            return {.terms = {}, .returnsAt = {}};
        }
        return {.terms = {{.urgency = {.workspace = 0, .route = static_cast<int>(this->random() % 3)},
                    .digest = Fleet::RequestDigest("d" + std::to_string(this->random() % 50)),
                    .timeLeft = this->upTo(6000),
                    .targetLeft = Core::milliseconds(200)}},
            .returnsAt = {}};
    }

    /** Sends the requests of callers who were told to return at this time, to any gateway. Some come early, late or twice. */
    void sendReturningCalls()
    {
        std::vector<Call> due;
        std::erase_if(this->returning, [this, &due](const Call &call) {
            const bool isDue = call.returnsAt <= this->now;
            if (isDue) {
                due.push_back(call);
            }
            return isDue;
        });
        for (const auto &call : due) {
            const bool comesTwice = this->random() % 10 == 0;
            for (int attempt = 0; attempt < (comesTwice ? 2 : 1); ++attempt) {
                (void)this->requestAt(this->rows[this->random() % this->rows.size()], call);
            }
        }
    }

    /** Sends a caller's request to a gateway; returns whether it was admitted. */
    bool requestAt(Row &gateway, const Call &call)
    {
        if (!this->isRunning(gateway) || !gateway.held) {
            return false;
        }
        const auto workspace = workspaceWith(gateway.held->workspaces->all().front()->quota);
        auto keepers = gateway.ledger->keepers().keepersOf(workspace);
        std::shuffle(keepers.begin(), keepers.end(), this->random);
        for (const auto *keeper : keepers) {
            auto &row = this->rows[std::stoul(keeper->name.value().substr(1))];
            if (!this->isRunning(row)) {
                continue;
            }
            const auto reply
                = row.ledger->admit({.workspace = workspace.name, .terms = call.terms, .reservation = Gateway::ReservationMode::Always}, this->now);
            if (reply.granted) {
                this->granted.push_back(this->now);
                this->claimed += reply.isClaimed ? 1 : 0;
                return true;
            }
            if (reply.isReserved) {
                this->returning.push_back({.terms = call.terms, .returnsAt = this->now + reply.retryAfter + this->upTo(400) - Core::milliseconds(50)});
                break;
            }
        }
        return false;
    }

    bool requestAtRandomGateway()
    {
        return this->requestAt(this->rows[this->random() % this->rows.size()], {.terms = {}, .returnsAt = {}});
    }

    void sendRandomCall()
    {
        (void)this->requestAt(this->rows[this->random() % this->rows.size()], this->randomCall());
    }

    void declare(const Quota &quota)
    {
        this->quotas.emplace_back(this->now, quota);
        this->scheduleUpdates();
    }

    /**
     * Returns how many requests may be admitted within the window that ends now. A lower quota applies to a window that starts after no gateway uses the
     * previous quota any more: updates arrive within a second, and a gateway that receives none soon holds no shares.
     */
    [[nodiscard]] double allowed() const
    {
        static constexpr Core::Duration ApplyTime = LeaderlessHoldTime + Core::seconds(1);
        double most = 0.0;
        for (std::size_t index = 0; index < this->quotas.size(); ++index) {
            const bool isOver = index + 1 < this->quotas.size() && this->quotas[index + 1].first + ApplyTime + this->options.window < this->now;
            most = isOver ? most : std::max(most, maximumInWindow(this->quotas[index].second, this->options));
        }
        return most;
    }

    [[nodiscard]] std::size_t grantedInWindow()
    {
        while (!this->granted.empty() && this->now - this->granted.front() > this->options.window) {
            this->granted.pop_front();
        }
        return this->granted.size();
    }

    [[nodiscard]] Core::Duration upTo(int milliseconds)
    {
        return Core::milliseconds(static_cast<std::int64_t>(this->random() % static_cast<unsigned>(milliseconds)));
    }

    std::mt19937 random;
    QuotaOptions options{.overshoot = 0.1, .slack = 20.0, .window = Core::seconds(5)};
    Core::Instant now;
    std::vector<Row> rows;
    // Reserved tokens that were granted.
    std::size_t claimed{0};

private:
    [[nodiscard]] bool isRunning(const Row &row) const
    {
        return this->now >= row.frozenUntil;
    }

    // A later change does not delay the delivery of an earlier one.
    void scheduleUpdates()
    {
        for (auto &row : this->rows) {
            row.viewDue = row.viewDue > this->now ? row.viewDue : this->now + this->upTo(1000);
        }
    }

    void advanceRow(Row &row)
    {
        // A gateway that wakes up has its former state until the reply to its next watch request arrives.
        row.ledger->setMayHoldShares(row.hasView && this->now - row.leaderKnown < LeaderlessHoldTime, this->now);
        if (this->now >= row.disconnectedUntil) {
            // The first reply after a disconnection contains all changes that the gateway missed.
            row.viewDue = this->now - row.leaderKnown > Core::seconds(1) ? this->now : row.viewDue;
            row.leaderKnown = this->now;
        }
        const bool hasReceivedUpdate = this->now >= row.disconnectedUntil && this->now >= row.viewDue && (!row.hasView || row.view != this->actualReady);
        if (hasReceivedUpdate) {
            row.view = this->actualReady;
            row.hasView = true;
            std::vector<KeeperGateway> ready;
            for (std::size_t number = 0; number < this->rows.size(); ++number) {
                if (this->actualReady[number]) {
                    ready.push_back(gatewayNumber(number));
                }
            }
            row.ledger->setGateways(ready, this->now);
            row.nextRequest = this->now;
            row.listedSince = this->now;
        }
        if (this->now >= row.disconnectedUntil) {
            this->sendContactStatement(row);
        }
        if (this->now >= row.disconnectedUntil && this->now >= row.viewDue && this->heldQuota(row) != this->quotas.back().second) {
            row.held = declarationWith(this->quotas.back().second);
            row.ledger->setDeclaration(row.held, this->now);
        }
    }

    // Coordinators know of a contact with the period of long polls only. The time is as much earlier and is known as much later as after the way between two
    // coordinators that exchange contacts (WatchService), and a request to a coordinator that has newer changes of gateways is no contact.
    void advanceContact(Row &row)
    {
        if (row.contact.has_value() && this->now >= row.contactKnownAt) {
            row.knownContact = row.contact;
        }
        const bool sendsRequest = this->isRunning(row) && this->now >= row.disconnectedUntil && this->now >= row.nextRequest;
        if (!sendsRequest) {
            return;
        }
        row.nextRequest = this->now + LongPollTime;
        if (row.hasView && row.view == this->actualReady) {
            row.contact = this->now - ContactDelay;
            row.contactKnownAt = this->now + ContactDelay;
        }
    }

    void sendContactStatement(Row &row)
    {
        if (!row.hasView || row.view != this->actualReady) {
            return;
        }
        Core::Instant oldest = this->now;
        for (std::size_t number = 0; number < this->rows.size(); ++number) {
            const auto &other = this->rows[number];
            if (&other == &row || !this->actualReady[number]) {
                continue;
            }
            if (!other.knownContact.has_value()) {
                return;
            }
            oldest = std::min(oldest, other.knownContact.value());
        }
        row.ledger->setContactStatement({.oldestContact = oldest, .listedSince = row.listedSince, .statedAt = this->now}, this->now);
    }

    [[nodiscard]] static std::optional<Quota> heldQuota(const Row &row)
    {
        return row.held ? std::optional(row.held->workspaces->all().front()->quota) : std::nullopt;
    }

    std::vector<bool> actualReady;
    std::vector<std::pair<Core::Instant, Quota>> quotas;
    std::deque<Core::Instant> granted;
    std::vector<Call> returning;
};

inline const std::vector<Quota> testQuotas{
    {.requestsPerSecond = 1.0, .burst = 1.0}, {.requestsPerSecond = 16.0, .burst = 16.0}, {.requestsPerSecond = 200.0, .burst = 50.0}};

}
