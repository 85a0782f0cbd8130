/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibControl/ControlHandlers.h>

namespace Control
{

OperatorHandler::OperatorHandler(ControlNode &node) : node(node)
{
}

void OperatorHandler::apply(std::function<void(Protocol::ApplyOutcome const &)> callback, const Protocol::ApplyRequest &request)
{
    this->node.applyChange(request, std::move(callback));
}

void OperatorHandler::show(std::function<void(Protocol::ShowReply const &)> callback, std::int64_t revision)
{
    this->node.show(revision, std::move(callback));
}

void OperatorHandler::history(std::function<void(std::vector<Protocol::HistoryEntry> const &)> callback, std::int32_t limit)
{
    callback(this->node.history(limit));
}

void OperatorHandler::status(std::function<void(Protocol::ControlStatus const &)> callback)
{
    this->node.status(std::move(callback));
}

void OperatorHandler::bootstrap(std::function<void(Protocol::MemberOutcome const &)> callback, const Protocol::Membership &membership)
{
    callback(this->node.bootstrap(membership));
}

void OperatorHandler::changeMember(std::function<void(Protocol::MemberOutcome const &)> callback, const Protocol::MemberChange &change)
{
    this->node.changeMember(change, std::move(callback));
}

void OperatorHandler::dump(std::function<void(std::string const &)> callback)
{
    callback(this->node.dump());
}

void OperatorHandler::drain(std::function<void()> callback)
{
    callback();
    if (this->stopRequested) {
        this->stopRequested();
    }
}

EntryControlHandler::EntryControlHandler(ControlNode &node) : node(node)
{
}

void EntryControlHandler::follow(std::function<void(Protocol::FollowReply const &)> callback, const Protocol::FollowRequest &request)
{
    this->node.follow(request, std::move(callback));
}

void EntryControlHandler::claim(std::function<void(Protocol::ClaimReply const &)> callback, const Protocol::ClaimRequest &request)
{
    this->node.claim(request, std::move(callback));
}

void EntryControlHandler::settle(std::function<void(Protocol::SettleReply const &)> callback, const Protocol::SettleRequest &request)
{
    this->node.settle(request, std::move(callback));
}

ControlPeerHandler::ControlPeerHandler(ControlNode &node) : node(node)
{
}

void ControlPeerHandler::deliver(std::function<void()> callback, const std::vector<Protocol::LogMessage> &messages)
{
    this->node.receive(messages);
    callback();
}

}
