/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/WarmthChecks.h>

#include <LibCore/Log.h>

namespace Gateway
{

WarmthChecks::WarmthChecks(WarmthCheckOptions options, Core::TimerService &timers, WarmthCheckHooks hooks)
    : options(options), timers(timers), hooks(std::move(hooks))
{
}

bool WarmthChecks::allowsSend(const Backend &backend) const
{
    return backend.warmthAnswer.sendsLeft > 0 && this->timers.now() < backend.warmthAnswer.validUntil;
}

void WarmthChecks::recordSend(Backend &backend)
{
    --backend.warmthAnswer.sendsLeft;
}

bool WarmthChecks::isChecking(const Backend &backend) const
{
    return this->checks.contains(&backend);
}

bool WarmthChecks::mayTell(const Backend &backend) const
{
    return this->isChecking(backend) || this->timers.now() >= backend.warmthAnswer.noCheckBefore;
}

void WarmthChecks::begin(Backend &backend, int sends)
{
    if (this->isChecking(backend) || !this->mayTell(backend)) {
        return;
    }
    const ReplyKey key("warmth-" + std::to_string(this->nextKey++));
    std::string bytes;
    auto connection = this->hooks.write(bytes, backend, key) ? this->hooks.connectionFor(backend, key) : nullptr;
    if (!connection) {
        backend.warmthAnswer.noCheckBefore = this->timers.now() + this->options.retryDelay;
        return;
    }
    ++this->counts.begun;
    auto &check = this->checks[&backend];
    check.sends = sends;
    check.connection = connection;
    check.timeout = this->timers.once(this->options.timeout, [this, &backend](Core::Instant) {
        const auto late = this->checks.at(&backend).connection;
        this->end(backend, std::nullopt);
        late->close();
    });
    connection->send({.bytes = std::move(bytes),
        .key = key.value(),
        .recognise =
            [this, key](const Wire::Response &response) {
                return this->hooks.recognise(response, key);
            },
        .done =
            [this, &backend](const Wire::ClientResult &result) {
                const bool isAnswered = result.end == Wire::ClientEnd::Answered;
                this->end(backend, isAnswered ? this->hooks.read(result.response, backend) : std::nullopt);
            }});
}

void WarmthChecks::end(Backend &backend, std::optional<Core::Duration> warmupLeft)
{
    const auto ended = this->checks.extract(&backend);
    const auto now = this->timers.now();
    auto &answer = backend.warmthAnswer;
    if (!warmupLeft.has_value()) {
        ++this->counts.failed;
        answer.noCheckBefore = now + this->options.retryDelay;
    } else if (warmupLeft.value() > Core::Duration(0)) {
        ++this->counts.cold;
        backend.warmUntil = now + warmupLeft.value();
        if (const auto omitted = this->coldLines.take(now); omitted.has_value()) {
            Core::logEvent(Core::LogLevel::Information,
                "backend.cold",
                {{"backend", backend.name.value()}, {"cold_ms", Core::toMilliseconds(warmupLeft.value())}, {"omitted", omitted.value()}});
        }
    } else {
        answer.sendsLeft = ended.mapped().sends;
        answer.validUntil = now + this->options.validity;
    }
    this->hooks.ended(backend);
}

const WarmthCheckCounters &WarmthChecks::counters() const
{
    return this->counts;
}

}
