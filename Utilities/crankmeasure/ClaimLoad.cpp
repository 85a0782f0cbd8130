/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "ClaimLoad.h"

#include <LibCore/Identity.h>

#include <algorithm>

namespace Measure
{

static constexpr Core::Duration RetryDelay = Core::milliseconds(20);

ClaimLoad::ClaimLoad(std::vector<Core::Endpoint> instances, std::size_t inFlight, Core::Duration duration, Core::TimerService &timers)
    : client(std::move(instances), timers), inFlight(inFlight), duration(duration), timers(timers)
{
}

void ClaimLoad::start(std::function<void()> finishedHook)
{
    this->finished = std::move(finishedHook);
    this->lastGrant = this->timers.now();
    this->endsAt = this->lastGrant + this->duration;
    for (std::size_t count = 0; count < this->inFlight; ++count) {
        ++this->outstanding;
        this->next();
    }
}

void ClaimLoad::next()
{
    const Core::Instant now = this->timers.now();
    if (now >= this->endsAt) {
        if (--this->outstanding == 0) {
            this->finished();
        }
        return;
    }
    Protocol::ClaimRequest request;
    request.key = Core::makeUuidVersion7(Core::systemClock().wallTime());
    request.requestDigest = Core::sha256(request.key);
    request.entryName = "measure";
    request.attemptId = Core::randomToken();
    request.executionLimitMilliseconds = 5000;
    this->client.claim(request, [this, now](const Core::Result<Protocol::ClaimReply> &reply) {
        this->handleReply(now, reply);
    });
}

void ClaimLoad::handleReply(Core::Instant sentAt, const Core::Result<Protocol::ClaimReply> &reply)
{
    const Core::Instant now = this->timers.now();
    if (reply.has_value() && reply->status == Protocol::ClaimStatus::GRANTED) {
        ++this->grants;
        this->latencies.push_back(now - sentAt);
        this->longestGap = std::max(this->longestGap, now - this->lastGrant);
        this->lastGrant = now;
        this->next();
        return;
    }
    ++this->failures;
    this->client.tryAnotherInstance(reply.has_value() ? reply->leaderAddress : std::string());
    this->retryTimers.push_back(this->timers.once(RetryDelay, [this](Core::Instant) {
        this->next();
    }));
}

std::uint64_t ClaimLoad::granted() const
{
    return this->grants;
}

std::uint64_t ClaimLoad::failed() const
{
    return this->failures;
}

Core::Duration ClaimLoad::longestTimeWithoutGrant() const
{
    return this->longestGap;
}

Core::Duration ClaimLoad::quantile(double quantile)
{
    if (this->latencies.empty()) {
        return Core::Duration(0);
    }
    std::sort(this->latencies.begin(), this->latencies.end());
    const auto position = static_cast<std::size_t>(quantile * static_cast<double>(this->latencies.size()));
    return this->latencies[std::min(position, this->latencies.size() - 1)];
}

}
