/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The Thrift services of a control instance. Each handler forwards its calls to ControlNode.

#pragma once

#include <LibControl/ControlNode.h>
#include <LibProtocol/Generated/ControlPeer.h>
#include <LibProtocol/Generated/EntryControl.h>
#include <LibProtocol/Generated/Operator.h>

namespace Control
{

/** The service for operators. */
class OperatorHandler : public Protocol::OperatorCobSvIf
{
public:
    explicit OperatorHandler(ControlNode &node);

    void apply(std::function<void(Protocol::ApplyOutcome const &)> callback, const Protocol::ApplyRequest &request) override;
    void show(std::function<void(Protocol::ShowReply const &)> callback, std::int64_t revision) override;
    void history(std::function<void(std::vector<Protocol::HistoryEntry> const &)> callback, std::int32_t limit) override;
    void status(std::function<void(Protocol::ControlStatus const &)> callback) override;
    void bootstrap(std::function<void(Protocol::MemberOutcome const &)> callback, const Protocol::Membership &membership) override;
    void changeMember(std::function<void(Protocol::MemberOutcome const &)> callback, const Protocol::MemberChange &change) override;
    void dump(std::function<void(std::string const &)> callback) override;
    void drain(std::function<void()> callback) override;

    /** Called after a drain request was answered; begins a planned stop of the process. */
    std::function<void()> stopRequested;

private:
    ControlNode &node;
};

/** The service for entry instances. */
class EntryControlHandler : public Protocol::EntryControlCobSvIf
{
public:
    explicit EntryControlHandler(ControlNode &node);

    void follow(std::function<void(Protocol::FollowReply const &)> callback, const Protocol::FollowRequest &request) override;
    void claim(std::function<void(Protocol::ClaimReply const &)> callback, const Protocol::ClaimRequest &request) override;
    void settle(std::function<void(Protocol::SettleReply const &)> callback, const Protocol::SettleRequest &request) override;

private:
    ControlNode &node;
};

/** The service by which control instances send each other messages of the replicated log. */
class ControlPeerHandler : public Protocol::ControlPeerCobSvIf
{
public:
    explicit ControlPeerHandler(ControlNode &node);

    void deliver(std::function<void()> callback, const std::vector<Protocol::LogMessage> &messages) override;

private:
    ControlNode &node;
};

}
