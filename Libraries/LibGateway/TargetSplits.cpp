/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/TargetSplits.h>

#include <algorithm>

namespace Gateway
{

// A split begins up to this many requests into its sequence. The shares of the first, second, third request and so on over many gateways differ from the
// weights by one in this number at most.
static constexpr std::uint64_t StartPositions = 1000;

TargetSplits::TargetSplits(std::function<std::uint64_t()> randomNumber) : randomNumber(std::move(randomNumber))
{
}

static double totalWeight(const Fleet::Route &route)
{
    double total = 0.0;
    for (const auto &target : route.targets) {
        total += target.weight;
    }
    return total;
}

void TargetSplits::applyDeclaration(const Fleet::Declaration &declaration)
{
    if (this->splits.empty()) {
        return;
    }
    std::unordered_map<std::string, Split> kept;
    for (const auto &route : declaration.routes) {
        const auto found = this->splits.find(route.name);
        if (found == this->splits.end()) {
            continue;
        }
        const double total = totalWeight(route);
        const bool isSame = std::equal(
            route.targets.begin(), route.targets.end(), found->second.begin(), found->second.end(), [total](const auto &declared, const Target &target) {
                return declared.service == target.service && declared.weight / total == target.share;
            });
        if (isSame) {
            kept[route.name] = std::move(found->second);
        }
    }
    this->splits = std::move(kept);
}

// From the start of the sequence the first request always goes to the same target. Gateways that began there together, or one that begins again with each
// declaration, would give that target most of the requests. From a random position in it each request has the chance of its share to go to a target.
TargetSplits::Split TargetSplits::makeSplit(const Fleet::Route &route) const
{
    const double total = totalWeight(route);
    Split split;
    for (const auto &target : route.targets) {
        split.push_back({.service = target.service, .share = target.weight / total});
    }
    for (auto skipped = this->randomNumber() % StartPositions; skipped > 0; --skipped) {
        (void)advance(split);
    }
    return split;
}

// Chooses the target that is furthest behind its share of the requests, so that the shares hold over short periods, too.
TargetSplits::Target &TargetSplits::advance(Split &split)
{
    for (auto &target : split) {
        target.credit += target.share;
    }
    auto &chosen = *std::max_element(split.begin(), split.end(), [](const Target &first, const Target &second) {
        return first.credit < second.credit;
    });
    chosen.credit -= 1.0;
    return chosen;
}

Core::ServiceName TargetSplits::choose(const Fleet::Route &route)
{
    if (route.targets.size() == 1) {
        return route.targets.front().service;
    }
    auto found = this->splits.find(route.name);
    if (found == this->splits.end()) {
        found = this->splits.emplace(route.name, this->makeSplit(route)).first;
    }
    return advance(found->second).service;
}

}
