/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RepeatLending.h>

#include <LibCore/Identity.h>
#include <LibCore/Log.h>
#include <LibGateway/RelayPlan.h>
#include <LibGateway/StableHash.h>
#include <LibRpc/Serialization.h>

#include <algorithm>

namespace Gateway
{

static constexpr int LinesPerSecond = 3;
// Of one service in one message, and services in one message. Bounds what a malformed query can take.
static constexpr int MaximumLoan = 64;
static constexpr std::size_t MaximumServices = 64;
// Round trip that is assumed to another gateway; the longest known one between regions is 24 ms.
static constexpr Core::Duration TypicalRoundTrip = Core::milliseconds(10);

std::optional<Protocol::RepeatLoans> extractLoanQuery(Wire::Request &message)
{
    if (!Wire::extractHeader(message.headers, RelayHeader::RepeatLoans).has_value()) {
        return std::nullopt;
    }
    auto loans = Rpc::deserialize<Protocol::RepeatLoans>(message.body);
    return loans.has_value() ? std::optional(std::move(loans.value())) : std::nullopt;
}

RepeatLending::RepeatLending(RepeatLendingOptions options, BackendPool &pool, BackendPool &relays, Core::TimerService &timers)
    : options(std::move(options))
    , pool(pool)
    , relays(relays)
    , timers(timers)
    , nextIndex(stableHash(this->options.ownAddress))
    , period(this->options.period)
    , lines(LinesPerSecond)
{
}

RepeatLending::~RepeatLending()
{
    for (const auto &[number, query] : this->queries) {
        this->relays.abandon(query.attempt, true);
    }
}

const LendingCounters &RepeatLending::counters() const
{
    return this->counts;
}

void RepeatLending::updateGateways(const Fleet::BackendRegistry &gateways)
{
    if (std::exchange(this->gatewaysPosition, gateways.position()) == gateways.position()) {
        return;
    }
    std::map<std::string, Core::Instant> emptyUntil;
    for (const auto &lender : this->lenders) {
        emptyUntil[lender.gateway.address] = lender.emptyUntil;
    }
    this->lenders.clear();
    for (auto &gateway : runningGateways(gateways)) {
        if (gateway.address != this->options.ownAddress && !gateway.isUnconfirmed) {
            const auto until = emptyUntil[gateway.address];
            this->lenders.push_back({.gateway = std::move(gateway), .emptyUntil = until});
        }
    }
}

// ---- Borrowing

void RepeatLending::borrowSoon()
{
    if (this->timer.isActive() || this->lenders.empty()) {
        return;
    }
    const auto now = this->timers.now();
    const auto due = std::max(now, this->lastRound.has_value() ? this->lastRound.value() + this->period : now);
    this->timer = this->timers.once(due - now, [this](Core::Instant) {
        this->borrow();
    });
}

void RepeatLending::borrow()
{
    if (!this->queries.empty()) {
        // Their replies borrow again if repeats are still short.
        return;
    }
    auto shortages = this->pool.repeatShortages();
    while (shortages.size() > MaximumServices) {
        shortages.erase(std::prev(shortages.end()));
    }
    if (shortages.empty()) {
        this->period = this->options.period;
        return;
    }
    this->lastRound = this->timers.now();
    this->period = std::min(2 * this->period, this->options.maximumPeriod);
    const auto parts = std::max(1, static_cast<int>(std::min(this->options.queriesAtOnce, this->lenders.size())));
    for (auto &[service, wanted] : shortages) {
        wanted = std::min(MaximumLoan, (wanted + parts - 1) / parts);
    }
    for (std::size_t count = 0; count < this->options.queriesAtOnce; ++count) {
        if (auto *backend = this->nextLender(); backend != nullptr) {
            this->query(*backend, shortages);
        }
    }
}

Backend *RepeatLending::nextLender()
{
    const auto now = this->timers.now();
    const Fleet::AllowedRegions anywhere;
    for (std::size_t tried = 0; tried < this->lenders.size(); ++tried) {
        auto &lender = this->lenders[this->nextIndex++ % this->lenders.size()];
        const bool isQueried = std::any_of(this->queries.begin(), this->queries.end(), [&lender](const auto &item) {
            return item.second.lender == lender.gateway.name;
        });
        if (isQueried || now < lender.emptyUntil) {
            continue;
        }
        const auto service = relayService(lender.gateway.zone);
        const SelectionCriteria criteria{.service = service, .tried = {}, .typicalLatency = TypicalRoundTrip, .allowedRegions = anywhere};
        if (auto *backend = this->relays.firstHealthy({lender.gateway.name}, criteria); backend != nullptr) {
            return backend;
        }
    }
    return nullptr;
}

void RepeatLending::query(Backend &backend, const std::map<Core::ServiceName, int> &shortages)
{
    Protocol::RepeatLoans wanted;
    for (const auto &[service, count] : shortages) {
        wanted.loans.emplace_back();
        wanted.loans.back().serviceName = service.value();
        wanted.loans.back().count = count;
    }
    const auto number = this->nextQuery++;
    auto &query = this->queries[number];
    query.lender = backend.name;
    query.sentAt = this->timers.now();
    query.message.id = Core::RequestId(Core::randomToken());
    query.message.message = Wire::Request{.method = "POST", .target = "/", .headers = {{RelayHeader::RepeatLoans, "1"}}, .body = Rpc::serialize(wanted)};
    for (const auto &loan : wanted.loans) {
        query.wanted += loan.count;
    }
    ++this->counts.queries;
    query.attempt = this->relays.send(backend,
        AttemptOptions{.caller = &query.message,
            .timeLeft = this->options.queryTimeout,
            .typicalLatency = TypicalRoundTrip,
            .done = [this, number](const AttemptOutcome &outcome) {
                this->handleOutcome(number, outcome);
            }});
    query.timeout = this->timers.once(this->options.queryTimeout, [this, number](Core::Instant) {
        ++this->counts.failures;
        this->relays.abandon(this->queries.at(number).attempt, false);
        this->endQuery(number, 0);
    });
}

void RepeatLending::handleOutcome(std::uint64_t number, const AttemptOutcome &outcome)
{
    const auto found = this->queries.find(number);
    if (found == this->queries.end()) {
        return;
    }
    const auto &query = found->second;
    const bool hasReply = outcome.end == AttemptEnd::Replied && outcome.reply.isSuccess();
    const auto reply = hasReply ? Rpc::deserialize<Protocol::RepeatLoans>(outcome.reply.message.body) : tl::make_unexpected(Core::Error{});
    if (!reply.has_value()) {
        ++this->counts.failures;
        this->endQuery(number, 0);
        return;
    }
    this->counts.replyTimes.add(this->timers.now() - query.sentAt);
    int borrowed = 0;
    for (const auto &loan : reply->loans) {
        this->pool.borrowRepeats(Core::ServiceName(loan.serviceName), loan.count, query.sentAt);
        borrowed += std::max(0, loan.count);
    }
    this->endQuery(number, borrowed);
}

void RepeatLending::endQuery(std::uint64_t number, int borrowed)
{
    const auto query = this->queries.extract(number);
    const auto &row = query.mapped();
    const auto now = this->timers.now();
    this->counts.borrowed += static_cast<std::uint64_t>(borrowed);
    if (borrowed > 0) {
        this->period = this->options.period;
    } else {
        const auto lender = std::find_if(this->lenders.begin(), this->lenders.end(), [&row](const Lender &candidate) {
            return candidate.gateway.name == row.lender;
        });
        if (lender != this->lenders.end()) {
            lender->emptyUntil = now + this->options.emptyTime;
        }
    }
    if (const auto omitted = this->lines.take(now); omitted.has_value()) {
        Core::logEvent(Core::LogLevel::Information,
            "repeats.borrowed",
            {{"gateway", row.lender.value()},
                {"wanted", row.wanted},
                {"borrowed", borrowed},
                {"took_ms", Core::toFractionalMilliseconds(now - row.sentAt)},
                {"omitted", omitted.value()}});
    }
    this->borrowSoon();
}

// ---- Lending

std::string RepeatLending::lend(const Protocol::RepeatLoans &wanted)
{
    Protocol::RepeatLoans reply;
    for (std::size_t index = 0; index < std::min(MaximumServices, wanted.loans.size()); ++index) {
        auto loan = wanted.loans[index];
        loan.count = this->pool.lendRepeats(Core::ServiceName(loan.serviceName), std::clamp(loan.count, 0, MaximumLoan));
        if (loan.count > 0) {
            this->counts.lent += static_cast<std::uint64_t>(loan.count);
            reply.loans.push_back(std::move(loan));
        }
    }
    return Rpc::serialize(reply);
}

}
