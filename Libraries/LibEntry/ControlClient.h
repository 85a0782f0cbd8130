/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Calls control instances: finds the leader, follows the configuration, claims
// and settles non-repeatable requests.

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

/** What the entry instance asks of control instances. Tests have their own. */
class ControlAccess
{
public:
    template<typename Reply>
    using ReplyHook = std::function<void(Core::Result<Reply> reply)>;

    ControlAccess() = default;
    virtual ~ControlAccess() = default;
    ControlAccess(const ControlAccess &) = delete;
    ControlAccess &operator=(const ControlAccess &) = delete;

    /** One try at one instance; the hook is called exactly once. */
    virtual void follow(const Protocol::FollowRequest &request, ReplyHook<Protocol::FollowReply> done) = 0;
    virtual void claim(const Protocol::ClaimRequest &request, ReplyHook<Protocol::ClaimReply> done) = 0;
    virtual void settle(const Protocol::SettleRequest &request, ReplyHook<Protocol::SettleReply> done) = 0;

    /** The instance that was asked last is not the leader, or did not answer: the next try goes elsewhere. */
    virtual void tryAnotherInstance(const std::string &leaderAddress) = 0;
};

/** Calls over Thrift. */
class ControlClient final : public ControlAccess
{
public:
    ControlClient(std::vector<Core::Endpoint> instances, Core::TimerService &timers);

    void follow(const Protocol::FollowRequest &request, ReplyHook<Protocol::FollowReply> done) override;
    void claim(const Protocol::ClaimRequest &request, ReplyHook<Protocol::ClaimReply> done) override;
    void settle(const Protocol::SettleRequest &request, ReplyHook<Protocol::SettleReply> done) override;
    void tryAnotherInstance(const std::string &leaderAddress) override;

    /** Whom the next call goes to. */
    [[nodiscard]] Core::Endpoint target() const;
    [[nodiscard]] std::uint64_t bytesMoved() const;

private:
    [[nodiscard]] std::shared_ptr<Rpc::RpcChannel> channel();

    // From the settings; others are learnt from answers.
    std::vector<Core::Endpoint> instances;
    Core::TimerService &timers;
    std::map<Core::Endpoint, std::shared_ptr<Rpc::RpcChannel>> channels;
    Core::Endpoint current;
    std::size_t nextInstance{0};
};

}
