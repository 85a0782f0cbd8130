/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/ControlClient.h>

#include <LibProtocol/Generated/EntryControl.h>

namespace Entry
{

static constexpr Core::Duration CallTimeout = Core::milliseconds(1000);

using Client = Protocol::EntryControlCobClient;

ControlClient::ControlClient(std::vector<Core::Endpoint> instances, Core::TimerService &timers)
    : instances(std::move(instances)), timers(timers), current(this->instances.front())
{
}

Core::Endpoint ControlClient::target() const
{
    return this->current;
}

std::uint64_t ControlClient::bytesMoved() const
{
    std::uint64_t bytes = 0;
    for (const auto &[endpoint, channel] : this->channels) {
        bytes += channel->bytesMoved();
    }
    return bytes;
}

std::shared_ptr<Rpc::RpcChannel> ControlClient::channel()
{
    auto &channel = this->channels[this->current];
    if (!channel) {
        channel = Rpc::RpcChannel::create({.endpoint = this->current, .callTimeout = CallTimeout, .limits = {}}, this->timers);
    }
    return channel;
}

void ControlClient::tryAnotherInstance(const std::string &leaderAddress)
{
    const auto leader = Core::Endpoint::parse(leaderAddress);
    if (leader.has_value() && leader.value() != this->current) {
        this->current = leader.value();
        return;
    }
    this->nextInstance = (this->nextInstance + 1) % this->instances.size();
    this->current = this->instances[this->nextInstance];
}

void ControlClient::follow(const Protocol::FollowRequest &request, ReplyHook<Protocol::FollowReply> done)
{
    Rpc::call<Client, Protocol::FollowReply>(
        this->channel(),
        [&request](Client &client, const std::function<void(Client *)> &callback) {
            client.follow(callback, request);
        },
        [](Client &client, Protocol::FollowReply &reply) {
            client.recv_follow(reply);
        },
        std::move(done));
}

void ControlClient::claim(const Protocol::ClaimRequest &request, ReplyHook<Protocol::ClaimReply> done)
{
    Rpc::call<Client, Protocol::ClaimReply>(
        this->channel(),
        [&request](Client &client, const std::function<void(Client *)> &callback) {
            client.claim(callback, request);
        },
        [](Client &client, Protocol::ClaimReply &reply) {
            client.recv_claim(reply);
        },
        std::move(done));
}

void ControlClient::settle(const Protocol::SettleRequest &request, ReplyHook<Protocol::SettleReply> done)
{
    Rpc::call<Client, Protocol::SettleReply>(
        this->channel(),
        [&request](Client &client, const std::function<void(Client *)> &callback) {
            client.settle(callback, request);
        },
        [](Client &client, Protocol::SettleReply &reply) {
            client.recv_settle(reply);
        },
        std::move(done));
}

}
