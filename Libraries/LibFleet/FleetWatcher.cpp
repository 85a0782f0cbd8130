/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibFleet/FleetWatcher.h>

#include <LibCore/Log.h>

#include <algorithm>

namespace Fleet
{

FleetWatcher::FleetWatcher(WatcherOptions options, BackendRegistry &registry, Core::TimerService &timers)
    : options(std::move(options)), registry(registry), timers(timers)
{
}

void FleetWatcher::addCoordinators(const std::vector<Core::Endpoint> &endpoints)
{
    for (const auto &endpoint : endpoints) {
        if (endpoint == this->options.own) {
            continue;
        }
        const auto [position, isNew] = this->table.try_emplace(endpoint);
        if (!isNew) {
            continue;
        }
        position->second.endpoint = endpoint;
        position->second.lastAnswer = this->timers.now();
        this->ask(endpoint);
    }
}

void FleetWatcher::wantConfirmation()
{
    this->wantsConfirmation = true;
    this->isCurrent = false;
}

bool FleetWatcher::isConfirmed() const
{
    return this->isCurrent;
}

std::size_t FleetWatcher::inReach() const
{
    return static_cast<std::size_t>(std::count_if(this->table.begin(), this->table.end(), [](const auto &item) {
        return item.second.reachable;
    }));
}

int FleetWatcher::gatewayCount() const
{
    int most = 0;
    for (const auto &[endpoint, watched] : this->table) {
        most = std::max(most, watched.gateways);
    }
    return most;
}

std::vector<Core::Endpoint> FleetWatcher::coordinators() const
{
    std::vector<Core::Endpoint> endpoints;
    for (const auto &[endpoint, watched] : this->table) {
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

std::uint64_t FleetWatcher::answers() const
{
    return this->answerCount;
}

void FleetWatcher::ask(const Core::Endpoint &endpoint)
{
    const auto found = this->table.find(endpoint);
    if (found == this->table.end() || found->second.asking) {
        return;
    }
    auto &watched = found->second;
    watched.asking = true;
    if (!watched.channel) {
        watched.channel = Rpc::RpcChannel::create({.endpoint = endpoint, .callTimeout = this->options.answerTimeout, .limits = {}}, this->timers);
    }
    Protocol::WatchRequest request;
    request.watcherName = this->options.name;
    request.coordinatorIncarnation = watched.incarnation;
    request.cursor = watched.cursor;
    request.declarationVersion = this->heldVersion ? this->heldVersion().value() : -1;
    request.confirm = this->wantsConfirmation;
    request.isGateway = this->options.isGateway;
    const std::weak_ptr<int> weak = this->alive;
    Rpc::call<Protocol::CoordinatorCobClient, Protocol::WatchReply>(
        watched.channel,
        [request](auto &client, auto callback) {
            client.watch(callback, request);
        },
        [](auto &client, auto &reply) {
            client.recv_watch(reply);
        },
        [this, weak, endpoint, confirm = request.confirm](const Core::Result<Protocol::WatchReply> &answer) {
            if (!weak.expired()) {
                this->takeAnswer(endpoint, answer, confirm);
            }
        });
}

void FleetWatcher::takeAnswer(const Core::Endpoint &endpoint, const Core::Result<Protocol::WatchReply> &answer, bool askedForConfirmation)
{
    const auto found = this->table.find(endpoint);
    if (found == this->table.end()) {
        return;
    }
    auto &watched = found->second;
    watched.asking = false;
    if (!answer.has_value()) {
        this->failed(watched, answer.error().message);
        return;
    }
    ++this->answerCount;
    watched.lastAnswer = this->timers.now();
    if (!std::exchange(watched.reachable, true)) {
        Core::logEvent(Core::LogLevel::Information, "coordinator.reached", {{"coordinator", endpoint.toString()}});
    }
    this->takeNews(watched, answer.value());
    if (askedForConfirmation && answer->confirmed && this->wantsConfirmation) {
        this->wantsConfirmation = false;
        this->isCurrent = true;
        Core::logEvent(Core::LogLevel::Information,
            "declaration.confirmed",
            {{"version", answer->declarationVersion}, {"coordinator", endpoint.toString()}});
        if (this->confirmed) {
            this->confirmed();
        }
    }
    // NOTE: Asked from the loop, so that a coordinator that answers at once can't keep this function from returning.
    watched.retry = this->timers.once(Core::Duration(0), [this, endpoint](Core::Instant) {
        this->ask(endpoint);
    });
}

void FleetWatcher::takeNews(Watched &watched, const Protocol::WatchReply &reply)
{
    watched.incarnation = reply.coordinatorIncarnation;
    watched.cursor = reply.cursor;
    watched.gateways = reply.gateways;
    const auto now = this->timers.now();
    for (const auto &announcement : reply.changed) {
        this->registry.merge(announcement, now);
    }
    if (reply.__isset.declaration && this->declarationArrived) {
        this->declarationArrived(DeclarationVersion(reply.declarationVersion), reply.declaration);
    }
    std::vector<Core::Endpoint> others;
    for (const auto &address : reply.coordinators) {
        const auto endpoint = Core::Endpoint::parse(address);
        if (endpoint.has_value()) {
            others.push_back(endpoint.value());
        }
    }
    this->addCoordinators(others);
}

void FleetWatcher::failed(Watched &watched, const std::string &reason)
{
    const auto endpoint = watched.endpoint;
    if (std::exchange(watched.reachable, false)) {
        Core::logEvent(Core::LogLevel::Warning, "coordinator.lost", {{"coordinator", endpoint.toString()}, {"reason", reason}});
    }
    watched.gateways = 0;
    const bool othersAnswer = this->inReach() > 0;
    if (othersAnswer && this->timers.now() - watched.lastAnswer >= this->options.giveUpAfter) {
        // One that comes back is named again by the others.
        Core::logEvent(Core::LogLevel::Information, "coordinator.given_up", {{"coordinator", endpoint.toString()}});
        this->table.erase(endpoint);
        return;
    }
    watched.retry = this->timers.once(this->options.retryPause, [this, endpoint](Core::Instant) {
        this->ask(endpoint);
    });
}

}
