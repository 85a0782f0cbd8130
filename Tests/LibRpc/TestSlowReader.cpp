/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Guards against unbounded memory for replies to a client that does not read them, for
// example because its process is suspended.

#include <LibProtocol/Generated/Coordinator.h>
#include <LibRpc/RpcChannel.h>
#include <LibRpc/RpcServer.h>
#include <Support/LoopFixture.h>

#include <criterion/criterion.h>

namespace
{

/** Holds each watch request until the test answers it. */
class HoldingHandler : public Protocol::CoordinatorCobSvIf
{
public:
    using Answer = std::function<void(Protocol::WatchReply const &)>;

    void watch(Answer callback, const Protocol::WatchRequest &) override
    {
        this->held.push_back(std::move(callback));
    }

    void introduce(std::function<void(Protocol::IntroductionReply const &)> callback, const Protocol::Introduction &) override
    {
        callback(Protocol::IntroductionReply());
    }

    void storeDepartures(std::function<void(bool const &)> callback, const std::vector<Protocol::BackendAnnouncement> &) override
    {
        callback(false);
    }

    void reportCrashes(std::function<void(std::int32_t const &)> callback, const std::vector<Protocol::CrashRecord> &) override
    {
        callback(0);
    }

    std::vector<Answer> held;
};

}

Test(RpcServer, closesConnectionsWhoseQueuedRepliesExceedTheLimit)
{
    static constexpr std::size_t Calls = 5;
    static constexpr std::size_t ReplyBytes = 100'000;
    TestSupport::LoopFixture fixture;
    const auto handler = std::make_shared<HoldingHandler>();
    const auto endpoint = TestSupport::freeEndpoint();
    const auto server = Rpc::RpcServer::create({.name = "test",
                                                   .endpoint = endpoint,
                                                   .processor = std::make_shared<Protocol::CoordinatorAsyncProcessor>(handler),
                                                   .limits = {.maximumQueuedBytes = 3 * ReplyBytes / 2}},
        fixture.timers);
    cr_assert(server.has_value());
    const auto channel = Rpc::RpcChannel::create({.endpoint = endpoint, .limits = {}}, fixture.timers);
    std::size_t ended = 0;
    for (std::size_t number = 0; number < Calls; ++number) {
        Rpc::call<Protocol::CoordinatorCobClient, Protocol::WatchReply>(
            channel,
            [](auto &client, auto callback) {
                client.watch(callback, Protocol::WatchRequest());
            },
            [](auto &client, auto &reply) {
                client.recv_watch(reply);
            },
            [&ended](const Core::Result<Protocol::WatchReply> &) {
                ++ended;
            });
    }
    cr_assert(fixture.runUntil([&handler] {
        return handler->held.size() == Calls;
    }));
    Protocol::WatchReply reply;
    reply.__set_declaration(std::string(ReplyBytes, 'x'));
    // The first call is answered last. Replies keep the order of the calls, so all are sent at once, before the client has read any.
    for (auto answer = handler->held.rbegin(); answer != handler->held.rend(); ++answer) {
        (*answer)(reply);
    }
    cr_assert(fixture.runUntil([&ended] {
        return ended == Calls;
    }));
    cr_assert_eq(server.value()->connectionCount(), 0);
}
