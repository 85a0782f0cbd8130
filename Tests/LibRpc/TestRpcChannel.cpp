/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests calls whose connection can't be established.

#include <LibProtocol/Generated/Coordinator.h>
#include <LibRpc/RpcChannel.h>
#include <Support/LoopFixture.h>

#include <criterion/criterion.h>
#include <vector>

Test(RpcChannel, failsCallsWhenTheConnectionIsNotEstablishedInTime)
{
    TestSupport::LoopFixture fixture;
    // A listener with a full queue drops the first packet. A machine that is just starting does the same.
    const auto endpoint = TestSupport::freeEndpoint();
    const auto listener = Wire::Socket::listenOn(endpoint, 0).value();
    std::vector<Wire::Socket> queue;
    for (int count = 0; count < 4; ++count) {
        queue.push_back(Wire::Socket::connectTo(endpoint, Core::seconds(60)).value());
    }
    fixture.settle();
    const auto channel = Rpc::RpcChannel::create(
        {.endpoint = endpoint, .callTimeout = Core::seconds(60), .connectTimeout = Core::milliseconds(100), .limits = {}}, fixture.timers);
    std::optional<bool> answered;
    Rpc::call<Protocol::CoordinatorCobClient, Protocol::WatchReply>(
        channel,
        [](auto &client, auto callback) {
            client.watch(callback, Protocol::WatchRequest());
        },
        [](auto &client, auto &reply) {
            client.recv_watch(reply);
        },
        [&answered](const Core::Result<Protocol::WatchReply> &reply) {
            answered = reply.has_value();
        });
    cr_assert(fixture.runUntil([&answered] {
        return answered.has_value();
    }),
        "the call fails long before its own timeout");
    cr_assert(answered == false);
    cr_assert(channel->lastFailure() == "no connection in time", "%s", channel->lastFailure().c_str());
}
