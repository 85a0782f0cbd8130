/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Test doubles for the connections of an entry instance: to backend servers (FakeTransport) and to control instances
// (FakeControl). Attempts and calls stay open until the test ends them.

#pragma once

#include <LibEntry/BackendTransport.h>
#include <LibEntry/ControlClient.h>

#include <deque>
#include <vector>

namespace TestSupport
{

/** Records every attempt and keeps it open until answer(), refuse(), fail() or end() is called with its position. */
class FakeTransport final : public Entry::BackendTransport
{
public:
    struct Sent {
        Entry::AttemptRequest attempt;
        ResultHook done;
        bool cancelled{false};
        bool ended{false};
    };

    void send(const Entry::AttemptRequest &attempt, ResultHook done) override
    {
        this->sent.push_back(Sent{.attempt = attempt, .done = std::move(done)});
    }

    void cancel(const Core::AttemptId &attempt) override
    {
        for (auto &entry : this->sent) {
            if (entry.attempt.attempt == attempt) {
                entry.cancelled = true;
            }
        }
    }

    /** Ends an attempt with `result`, unless it was cancelled or has ended. */
    void end(std::size_t position, Entry::AttemptResult result)
    {
        auto &entry = this->sent[position];
        if (entry.cancelled || std::exchange(entry.ended, true)) {
            return;
        }
        const auto hook = entry.done;
        hook(std::move(result));
    }

    void answer(std::size_t position, nlohmann::json document = {{"hits", nlohmann::json::array()}})
    {
        Entry::AttemptResult result;
        result.status = Entry::AttemptStatus::Answered;
        result.statusCode = 200;
        result.document = std::move(document);
        result.body = "done";
        this->end(position, std::move(result));
    }

    void refuse(std::size_t position, Entry::RefusalReason reason)
    {
        Entry::AttemptResult result;
        result.status = Entry::AttemptStatus::Refused;
        result.refusal = reason;
        this->end(position, std::move(result));
    }

    void fail(std::size_t position, Entry::AttemptStatus status = Entry::AttemptStatus::Failed)
    {
        Entry::AttemptResult result;
        result.status = status;
        result.message = "failed on purpose";
        this->end(position, std::move(result));
    }

    std::vector<Sent> sent;
};

/** Records claims and settlements and keeps them open until the test answers them; follow() is never answered. */
class FakeControl final : public Entry::ControlAccess
{
public:
    struct Claim {
        Protocol::ClaimRequest request;
        ReplyHook<Protocol::ClaimReply> done;
    };
    struct Settlement {
        Protocol::SettleRequest request;
        ReplyHook<Protocol::SettleReply> done;
    };

    void follow(const Protocol::FollowRequest &, ReplyHook<Protocol::FollowReply>) override
    {
    }

    void claim(const Protocol::ClaimRequest &request, ReplyHook<Protocol::ClaimReply> done) override
    {
        this->claims.push_back({request, std::move(done)});
    }

    void settle(const Protocol::SettleRequest &request, ReplyHook<Protocol::SettleReply> done) override
    {
        this->settlements.push_back({request, std::move(done)});
    }

    void tryAnotherInstance(const std::string &) override
    {
        ++this->instanceSwitches;
    }

    void answerClaim(std::size_t position, Protocol::ClaimStatus::type status)
    {
        Protocol::ClaimReply reply;
        reply.status = status;
        const auto hook = this->claims[position].done;
        hook(reply);
    }

    void loseClaim(std::size_t position)
    {
        const auto hook = this->claims[position].done;
        hook(Core::failure(Core::ErrorKind::Unreachable, "lost on purpose"));
    }

    void answerSettlement(std::size_t position, Protocol::SettleStatus::type status)
    {
        Protocol::SettleReply reply;
        reply.status = status;
        const auto hook = this->settlements[position].done;
        hook(reply);
    }

    std::deque<Claim> claims;
    std::deque<Settlement> settlements;
    int instanceSwitches{0};
};

}
