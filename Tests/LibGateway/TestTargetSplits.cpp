/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Scenario: a route is divided between services by weight, many gateways get few requests
// each, and new declarations arrive faster than requests.

#include <LibGateway/TargetSplits.h>

#include <cmath>
#include <criterion/criterion.h>
#include <map>
#include <random>

using Gateway::TargetSplits;

namespace
{

Fleet::Route route(const std::vector<double> &weights)
{
    Fleet::Route made;
    made.name = "r";
    for (const double weight : weights) {
        made.targets.push_back({.service = Core::ServiceName("s" + std::to_string(made.targets.size())), .weight = weight});
    }
    return made;
}

/** Gateways that each have splits of their own. */
class Gateways
{
public:
    explicit Gateways(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            this->all.emplace_back([this] {
                return this->random();
            });
        }
    }

    void declare(const Fleet::Route &declared)
    {
        Fleet::Declaration declaration;
        declaration.routes = {declared};
        for (auto &splits : this->all) {
            splits.applyDeclaration(declaration);
        }
    }

    std::vector<TargetSplits> all;
    std::mt19937_64 random{5};
    std::map<std::string, int> requests;
};

}

// A service with a weight of 0.75 got 0.97 of the requests: the credits of all routes were reset by each declaration, and the first request after that
// went to the heaviest target.
Test(TargetSplits, keepWeightsWhileDeclarationsOvertakeRequests)
{
    for (const double share : {0.5, 0.75, 0.9}) {
        const auto declared = route({share, 1.0 - share});
        Gateways gateways(3);
        // For 4 s a declaration each 60 ms, and a request to one of the gateways each 170 ms.
        for (int time = 0; time < 4000; time += 10) {
            if (time % 60 == 0) {
                gateways.declare(declared);
            }
            if (time % 170 == 0) {
                ++gateways.requests[gateways.all[static_cast<std::size_t>(time / 170) % 3].choose(declared).value()];
            }
        }
        const double got = gateways.requests["s0"] / 24.0;
        cr_assert_lt(std::abs(got - share), 0.15, "%.2f of the requests for a weight of %.2f", got, share);
    }
}

// Each request after a change of the split, not only the sum of many, has to follow the weights.
Test(TargetSplits, keepWeightsWhenEachRequestHasAnotherSplit)
{
    const std::vector<Fleet::Route> declared{route({3.0, 1.0}), route({6.0, 2.0, 0.0})};
    Gateways gateways(400);
    std::vector<int> firsts(3, 0);
    for (int round = 0; round < 10; ++round) {
        const auto &current = declared[static_cast<std::size_t>(round) % 2];
        gateways.declare(current);
        for (auto &splits : gateways.all) {
            for (auto &count : firsts) {
                count += splits.choose(current) == Core::ServiceName("s0") ? 1 : 0;
            }
        }
    }
    for (const int count : firsts) {
        cr_assert_lt(std::abs(count / 4000.0 - 0.75), 0.05, "%d of 4000 requests for a weight of 0.75", count);
    }
}

Test(TargetSplits, followWeightsClosely)
{
    const auto declared = route({0.5, 0.3, 0.2, 0.0});
    Gateways gateways(1);
    for (int count = 1; count <= 200; ++count) {
        ++gateways.requests[gateways.all[0].choose(declared).value()];
        for (const auto &target : declared.targets) {
            cr_assert_lt(std::abs(gateways.requests[target.service.value()] - target.weight * count), 2.0);
        }
    }
    cr_assert_eq(gateways.requests["s3"], 0);
}
