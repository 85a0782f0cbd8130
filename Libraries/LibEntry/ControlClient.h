/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Client of control instances: finds the leader, requests the configuration,
// claims and settles non-repeatable requests.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibProtocol/Generated/control_types.h>
#include <LibRpc/RpcChannel.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Entry
{

/** Interface to control instances. ControlClient implements it over Thrift, tests use a fake. */
class ControlAccess
{
public:
    template<typename Reply>
    using ReplyHook = std::function<void(Core::Result<Reply> reply)>;

    ControlAccess() = default;
    virtual ~ControlAccess() = default;
    ControlAccess(const ControlAccess &) = delete;
    ControlAccess &operator=(const ControlAccess &) = delete;

    /** These functions send one call to the current instance, without retries. The hook is called exactly once. */
    virtual void follow(const Protocol::FollowRequest &request, ReplyHook<Protocol::FollowReply> done) = 0;
    virtual void claim(const Protocol::ClaimRequest &request, ReplyHook<Protocol::ClaimReply> done) = 0;
    virtual void settle(const Protocol::SettleRequest &request, ReplyHook<Protocol::SettleReply> done) = 0;

    /**
     * Selects another instance for the next call, after the current one did not
     * reply or is not the leader: the leader, if `leaderAddress` names one other
     * than the current instance, otherwise the next in turn.
     */
    virtual void tryAnotherInstance(const std::string &leaderAddress) = 0;
};

/** Calls control instances over Thrift. */
class ControlClient final : public ControlAccess
{
public:
    ControlClient(std::vector<Core::Endpoint> instances, Core::TimerService &timers);

    void follow(const Protocol::FollowRequest &request, ReplyHook<Protocol::FollowReply> done) override;
    void claim(const Protocol::ClaimRequest &request, ReplyHook<Protocol::ClaimReply> done) override;
    void settle(const Protocol::SettleRequest &request, ReplyHook<Protocol::SettleReply> done) override;
    void tryAnotherInstance(const std::string &leaderAddress) override;

    /** The instance that the next call goes to. */
    [[nodiscard]] Core::Endpoint target() const;
    [[nodiscard]] std::uint64_t bytesMoved() const;

private:
    [[nodiscard]] std::shared_ptr<Rpc::RpcChannel> channel();

    // Instances from the settings. Replies may name a leader that is not among them.
    std::vector<Core::Endpoint> instances;
    Core::TimerService &timers;
    std::map<Core::Endpoint, std::shared_ptr<Rpc::RpcChannel>> channels;
    Core::Endpoint current;
    std::size_t nextInstance{0};
};

}
