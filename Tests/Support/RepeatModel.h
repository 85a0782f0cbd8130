/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Model of gateways that share the retry budget of one service, for tests of the accounting: callers move between gateways, the load rises and falls, gateways
// restart and are cut off from each other, and every request and repeat is recorded.

#pragma once

#include <LibGateway/RetryBudget.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <random>
#include <utility>

namespace TestSupport
{

/** What happens in a run, by the time since its start. */
struct RepeatScenario {
    std::size_t gateways{6};
    Core::Duration length{Core::seconds(60)};
    /** Requests a second, the shares of them that the gateways receive, and the part of them that asks for a repeat. */
    std::function<double(Core::Duration time)> load;
    std::function<std::vector<double>(Core::Duration time)> shares;
    std::function<double(Core::Duration time)> refused;
    /** Restarts and cuts of gateways a second. */
    double disturbancesPerSecond{0.0};

    /** All callers are at two of six gateways. Half of them move to two others for 6.5 s while servers refuse, `moveAfter` after that began. */
    static RepeatScenario halfMoves(Core::Duration moveAfter)
    {
        const auto began = Core::seconds(30);
        return {.load =
                    [](Core::Duration) {
                        return 160.0;
                    },
            .shares =
                [began, moveAfter](Core::Duration time) {
                    const bool moved = time >= began + moveAfter && time < began + moveAfter + Core::milliseconds(6500);
                    return moved ? std::vector<double>{0.25, 0.25, 0.25, 0.25, 0.0, 0.0} : std::vector<double>{0.5, 0.5, 0.0, 0.0, 0.0, 0.0};
                },
            .refused =
                [began](Core::Duration time) {
                    return time >= began && time < began + Core::seconds(9) ? 0.5 : 0.02;
                }};
    }

    /** Loads, shares and refusals that change at random times, by a lot, and restarts and cuts. */
    static RepeatScenario atRandom(unsigned seed)
    {
        std::mt19937 random(seed);
        const auto gateways = 2 + random() % 11;
        const auto drawShares = [gateways](std::mt19937 &source) {
            std::vector<double> shares(gateways, 0.0);
            const auto used = 1 + source() % gateways;
            for (std::size_t index = 0; index < used; ++index) {
                shares[source() % gateways] += 1.0 / static_cast<double>(used);
            }
            return shares;
        };
        const auto loads = drawPieces<double>(random, [](std::mt19937 &source) {
            constexpr std::array<double, 6> Loads{0.0, 5.0, 40.0, 160.0, 300.0, 600.0};
            return Loads[source() % Loads.size()];
        });
        const auto refusals = drawPieces<double>(random, [](std::mt19937 &source) {
            constexpr std::array<double, 4> Parts{0.0, 0.1, 0.6, 2.0};
            return Parts[source() % Parts.size()];
        });
        return {.gateways = gateways,
            .load = loads,
            .shares = drawPieces<std::vector<double>>(random, drawShares),
            .refused = refusals,
            .disturbancesPerSecond = seed % 3 == 0 ? 0.0 : 0.3};
    }

private:
    /** Draws a value for each of the pieces of a run, which are 0.1 to 12 s long. */
    template<typename Value>
    static std::function<Value(Core::Duration)> drawPieces(std::mt19937 &random, const std::function<Value(std::mt19937 &)> &draw)
    {
        std::vector<std::pair<Core::Duration, Value>> pieces;
        const bool isShort = random() % 2 == 0;
        for (Core::Duration end{0}; end < Core::seconds(60);) {
            end += Core::milliseconds(100 + static_cast<std::int64_t>(random() % (isShort ? 2000U : 12'000U)));
            pieces.emplace_back(end, draw(random));
        }
        return [pieces](Core::Duration time) {
            return std::find_if(pieces.begin(), pieces.end(), [time](const auto &piece) {
                return time < piece.first;
            })->second;
        };
    }
};

/** Gateways with the retry budget of one service. They borrow from each other with a delay, and lose replies. */
class RepeatModel
{
public:
    static constexpr double Ratio = 0.2;
    static constexpr double Slack = 58.0;
    static constexpr Core::Duration Step = Core::milliseconds(10);
    static constexpr Core::Duration Window = Core::seconds(10);

    RepeatModel(unsigned seed, RepeatScenario scenario) : random(seed), scenario(std::move(scenario))
    {
        for (std::size_t number = 0; number < this->scenario.gateways; ++number) {
            this->gateways.push_back({.budget = this->makeBudget(Core::Instant())});
        }
    }

    void run()
    {
        const auto end = this->now + this->scenario.length;
        const auto began = this->now;
        while (this->now < end) {
            this->now = this->now + Step;
            const auto time = this->now - began;
            this->disturb();
            this->receiveRequests(time);
            this->lend();
            this->checkWindow();
        }
    }

    [[nodiscard]] double largestUse() const
    {
        return this->worst;
    }

    [[nodiscard]] int granted() const
    {
        return this->grantedCount;
    }

    /** Whether gateways lend nothing and are limited by the requests of the window that ends now only. */
    bool usesFormerRule{false};

private:
    struct ModelGateway {
        Gateway::RetryBudget budget;
        Core::Instant cutUntil;
        // Requests and repeats of the former rule.
        std::vector<Core::Instant> requests;
        std::vector<Core::Instant> repeats;
    };
    struct Loan {
        std::size_t borrower{0};
        int count{0};
        Core::Instant arrivesAt;
        Core::Instant validUntil;
    };

    [[nodiscard]] Gateway::RetryBudget makeBudget(Core::Instant slackFrom) const
    {
        return Gateway::RetryBudget({.ratio = Ratio, .slack = Slack, .window = Window, .slackFrom = slackFrom});
    }

    [[nodiscard]] double slackShare() const
    {
        return 1.0 / static_cast<double>(this->gateways.size());
    }

    [[nodiscard]] double drawn()
    {
        return std::uniform_real_distribution<double>()(this->random);
    }

    [[nodiscard]] Core::Duration upTo(unsigned milliseconds)
    {
        return Core::milliseconds(static_cast<std::int64_t>(this->random() % milliseconds));
    }

    // Restarts a gateway, which forgets what it has counted, or cuts one off from the others.
    void disturb()
    {
        if (this->drawn() >= this->scenario.disturbancesPerSecond * Core::toFractionalMilliseconds(Step) / 1000.0) {
            return;
        }
        auto &gateway = this->gateways[this->random() % this->gateways.size()];
        if (this->random() % 2 == 0) {
            gateway = {.budget = this->makeBudget(this->now + Window), .cutUntil = gateway.cutUntil};
            const auto number = static_cast<std::size_t>(&gateway - this->gateways.data());
            std::erase_if(this->loans, [number](const Loan &loan) {
                return loan.borrower == number;
            });
        } else {
            gateway.cutUntil = this->now + this->upTo(15'000);
        }
    }

    void receiveRequests(Core::Duration time)
    {
        const double expected = this->scenario.load(time) * Core::toFractionalMilliseconds(Step) / 1000.0;
        const int count = static_cast<int>(expected) + (this->drawn() < expected - std::floor(expected) ? 1 : 0);
        const auto shares = this->scenario.shares(time);
        const double refused = this->scenario.refused(time);
        for (int request = 0; request < count; ++request) {
            auto &gateway = this->gateways[std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(this->random)];
            this->sent.push_back(this->now);
            gateway.budget.recordRequest(this->now);
            gateway.requests.push_back(this->now);
            for (double repeats = refused; repeats > 0.0; repeats -= 1.0) {
                const bool isGranted = this->drawn() < repeats && this->consume(gateway);
                if (isGranted) {
                    this->repeats.push_back(this->now);
                    ++this->grantedCount;
                }
            }
        }
    }

    bool consume(ModelGateway &gateway)
    {
        if (!this->usesFormerRule) {
            return gateway.budget.consumeRetry(this->now, this->slackShare());
        }
        const double limit = 0.95 * (Ratio * this->countIn(gateway.requests, this->now) + Slack * this->slackShare());
        const bool isGranted = this->countIn(gateway.repeats, this->now) + 1.0 <= limit;
        if (isGranted) {
            gateway.repeats.push_back(this->now);
        }
        return isGranted;
    }

    // Each gateway that is short asks two others each 200 ms. Replies take up to 50 ms and are lost now and then.
    void lend()
    {
        for (auto &loan : this->loans) {
            if (this->now >= loan.arrivesAt) {
                this->gateways[loan.borrower].budget.addLoan(std::exchange(loan.count, 0), loan.validUntil);
            }
        }
        std::erase_if(this->loans, [](const Loan &loan) {
            return loan.count == 0;
        });
        if (this->usesFormerRule || Core::toMilliseconds(this->now.sinceStart()) % 200 != 0) {
            return;
        }
        for (std::size_t number = 0; number < this->gateways.size(); ++number) {
            for (int query = 0; query < 2; ++query) {
                this->borrow(number);
            }
        }
    }

    void borrow(std::size_t number)
    {
        auto &borrower = this->gateways[number];
        auto &lender = this->gateways[this->random() % this->gateways.size()];
        const int wanted = borrower.budget.shortage(this->now, this->slackShare());
        const bool isCut = this->now < borrower.cutUntil || this->now < lender.cutUntil;
        if (&borrower == &lender || wanted == 0 || isCut) {
            return;
        }
        const auto sentAt = this->now - this->upTo(25);
        const int lent = lender.budget.lend(this->now, this->slackShare(), wanted);
        if (this->random() % 20 != 0 && lent > 0) {
            this->loans.push_back(
                {.borrower = number, .count = lent, .arrivesAt = this->now + this->upTo(25), .validUntil = sentAt + borrower.budget.loanValidity()});
        }
    }

    /** Returns how many of these times are in the window that ends at `end`. */
    [[nodiscard]] static double countIn(const std::vector<Core::Instant> &times, Core::Instant end)
    {
        const auto first = std::upper_bound(times.begin(), times.end(), end - Window);
        return static_cast<double>(std::upper_bound(first, times.end(), end) - first);
    }

    void checkWindow()
    {
        if (this->repeats.empty() || this->repeats.back() != this->now) {
            return;
        }
        const double requests
            = std::max({countIn(this->sent, this->now), countIn(this->sent, this->now - Window), countIn(this->sent, this->now - Window / 2)});
        this->worst = std::max(this->worst, countIn(this->repeats, this->now) / (Ratio * requests + Slack));
    }

    std::mt19937 random;
    RepeatScenario scenario;
    Core::Instant now{Core::seconds(1000)};
    std::vector<ModelGateway> gateways;
    std::vector<Loan> loans;
    std::vector<Core::Instant> sent;
    std::vector<Core::Instant> repeats;
    double worst{0.0};
    int grantedCount{0};
};

}
