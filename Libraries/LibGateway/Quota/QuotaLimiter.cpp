/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/QuotaLimiter.h>

#include <LibCore/Log.h>
#include <LibCore/Settings.h>
#include <LibGateway/RelayPlan.h>

#include <algorithm>

namespace Gateway
{

// Assumed as a keeper's reply time until enough replies have been measured.
static constexpr Core::Duration AssumedReplyTime = Core::milliseconds(10);
static constexpr double MinimumReplies = 20.0;
static constexpr std::int64_t MaximumMilliseconds = 86'400'000;

std::optional<Fleet::WorkspaceName> extractQuotaQuery(Wire::Headers &headers)
{
    auto name = Wire::extractHeader(headers, RelayHeader::Quota);
    return name.has_value() ? std::optional(Fleet::WorkspaceName(std::move(name.value()))) : std::nullopt;
}

std::string writeQuotaReply(const QuotaReply &reply)
{
    return (reply.granted ? "1," : "0,") + std::to_string(Core::toMilliseconds(reply.freeAfter)) + "," + std::to_string(Core::toMilliseconds(reply.retryAfter));
}

std::optional<QuotaReply> readQuotaReply(const std::string &body)
{
    const auto words = Core::splitList(body);
    static constexpr std::size_t FieldCount = 3;
    if (words.size() != FieldCount) {
        return std::nullopt;
    }
    std::vector<std::int64_t> numbers;
    for (const auto &word : words) {
        const auto number = Core::parseInteger(word, 0, MaximumMilliseconds);
        if (!number.has_value()) {
            return std::nullopt;
        }
        numbers.push_back(number.value());
    }
    return QuotaReply{.isKeeper = true, .granted = numbers[0] == 1, .freeAfter = Core::milliseconds(numbers[1]), .retryAfter = Core::milliseconds(numbers[2])};
}

QuotaLimiter::QuotaLimiter(const QuotaLimiterOptions &options,
    const Fleet::RegionOfZone &regions,
    std::string ownZone,
    std::string ownAddress,
    BackendPool &relays,
    Core::TimerService &timers)
    : options(options)
    , ownZone(std::move(ownZone))
    , ownAddress(std::move(ownAddress))
    , relays(relays)
    , timers(timers)
    , ledger(regions, options.quota, this->ownAddress)
{
}

QuotaLimiter::~QuotaLimiter()
{
    for (const auto &[number, pending] : this->pendingDecisions) {
        if (pending.attempt.has_value()) {
            this->relays.abandon(pending.attempt.value(), true);
        }
    }
}

const QuotaCounters &QuotaLimiter::counters() const
{
    return this->counts;
}

std::size_t QuotaLimiter::heldShareCount() const
{
    return this->ledger.heldShareCount();
}

void QuotaLimiter::updateGateways(const Fleet::BackendRegistry &gateways)
{
    if (!this->hasQuotas || std::exchange(this->gatewaysPosition, gateways.position()) == gateways.position()) {
        return;
    }
    std::vector<KeeperGateway> ready;
    for (const auto *gateway : gateways.ready()) {
        ready.push_back({.name = BackendName(gateway->id), .address = gateway->address, .zone = gateway->zone});
    }
    this->ledger.setGateways(ready, this->timers.now());
}

void QuotaLimiter::applyDeclaration(const std::shared_ptr<const Fleet::Declaration> &declaration)
{
    const auto &workspaces = declaration->workspaces;
    this->hasQuotas = workspaces.has_value() && std::any_of(workspaces->all().begin(), workspaces->all().end(), [](const auto &workspace) {
        return workspace->quota.isBounded();
    });
    this->ledger.setDeclaration(declaration, this->timers.now());
    // The earlier replies of keepers refer to the previous quota.
    this->exhaustedShares.clear();
}

void QuotaLimiter::setMayHoldShares(bool mayHold)
{
    this->ledger.setMayHoldShares(mayHold, this->timers.now());
}

QuotaReply QuotaLimiter::answer(const Fleet::WorkspaceName &workspace)
{
    ++this->counts.answered;
    return this->ledger.admit(workspace, this->timers.now());
}

void QuotaLimiter::sweep()
{
    const auto now = this->timers.now();
    this->latencies.decay(now);
    std::erase_if(this->exhaustedShares, [now](const auto &item) {
        return item.second.until <= now;
    });
}

std::vector<KeeperGateway> QuotaLimiter::candidatesFor(const Fleet::Workspace &workspace, PendingDecision &pending)
{
    const auto now = this->timers.now();
    std::vector<KeeperGateway> sameRegion;
    std::vector<KeeperGateway> otherRegions;
    for (const auto *keeper : this->ledger.keepers().keepersOf(workspace)) {
        const auto exhausted = this->exhaustedShares.find({workspace.name, keeper->name});
        if (exhausted != this->exhaustedShares.end() && exhausted->second.until > now) {
            const auto wait = std::max(exhausted->second.until, exhausted->second.retryAt) - now;
            pending.retryAfter = std::min(wait, pending.retryAfter.value_or(wait));
            continue;
        }
        (this->ledger.keepers().isInRegionOf(*keeper, this->ownZone) ? sameRegion : otherRegions).push_back(*keeper);
    }
    // Rotating the keepers spreads the requests over them. A share that this gateway holds itself comes first, since using it needs no round trip.
    for (auto *group : {&sameRegion, &otherRegions}) {
        if (!group->empty()) {
            std::rotate(group->begin(), group->begin() + static_cast<std::ptrdiff_t>(this->nextDecision % group->size()), group->end());
        }
    }
    std::stable_partition(sameRegion.begin(), sameRegion.end(), [this](const KeeperGateway &keeper) {
        return keeper.address == this->ownAddress;
    });
    sameRegion.insert(sameRegion.end(), otherRegions.begin(), otherRegions.end());
    sameRegion.resize(std::min(sameRegion.size(), this->options.maximumQueries));
    std::reverse(sameRegion.begin(), sameRegion.end());
    return sameRegion;
}

std::uint64_t QuotaLimiter::decide(const Fleet::Workspace &workspace, const Core::RequestId &request, DecisionHook done)
{
    const auto number = this->nextDecision++;
    auto &pending = this->pendingDecisions[number];
    pending.workspace = workspace.name;
    pending.startedAt = this->timers.now();
    pending.done = std::move(done);
    pending.message.id = request;
    pending.message.message = Wire::Request{.method = "GET", .target = "/", .headers = {{RelayHeader::Quota, workspace.name.value()}}, .body = {}};
    pending.candidates = this->candidatesFor(workspace, pending);
    this->queryNext(number);
    return number;
}

void QuotaLimiter::cancel(std::uint64_t number)
{
    const auto found = this->pendingDecisions.find(number);
    if (found == this->pendingDecisions.end()) {
        return;
    }
    if (found->second.attempt.has_value()) {
        this->relays.abandon(found->second.attempt.value(), true);
    }
    this->pendingDecisions.erase(found);
}

void QuotaLimiter::queryNext(std::uint64_t number)
{
    while (!this->pendingDecisions.at(number).candidates.empty()) {
        auto &pending = this->pendingDecisions.at(number);
        const KeeperGateway keeper = std::move(pending.candidates.back());
        pending.candidates.pop_back();
        if (keeper.address != this->ownAddress) {
            if (this->queryRemote(number, keeper)) {
                return;
            }
            continue;
        }
        if (this->handleReply(number, keeper, this->ledger.admit(pending.workspace, this->timers.now()))) {
            return;
        }
    }
    const bool anyAnswered = this->pendingDecisions.at(number).retryAfter.has_value();
    this->finish(number, anyAnswered ? QuotaDecision::Verdict::OverQuota : QuotaDecision::Verdict::NoKeeper);
}

bool QuotaLimiter::queryRemote(std::uint64_t number, const KeeperGateway &keeper)
{
    const auto service = relayService(keeper.zone);
    const Fleet::AllowedRegions anywhere;
    const auto typical = this->latencies.quantile(0.5, AssumedReplyTime, MinimumReplies);
    auto *backend
        = this->relays.firstHealthy({keeper.name}, SelectionCriteria{.service = service, .tried = {}, .typicalLatency = typical, .allowedRegions = anywhere});
    if (backend == nullptr) {
        return false;
    }
    auto &pending = this->pendingDecisions.at(number);
    ++pending.asked;
    ++this->counts.asked;
    pending.attempt = this->relays.send(*backend,
        AttemptOptions{.caller = &pending.message,
            .timeLeft = this->options.keeperTimeout,
            .typicalLatency = typical,
            .done = [this, number, keeper](const AttemptOutcome &outcome) {
                this->handleOutcome(number, keeper, outcome);
            }});
    pending.keeperTimer = this->timers.once(this->options.keeperTimeout, [this, number](Core::Instant) {
        auto &late = this->pendingDecisions.at(number);
        this->relays.abandon(late.attempt.value(), false);
        late.attempt.reset();
        this->queryNext(number);
    });
    return true;
}

void QuotaLimiter::handleOutcome(std::uint64_t number, const KeeperGateway &keeper, const AttemptOutcome &outcome)
{
    const auto found = this->pendingDecisions.find(number);
    if (found == this->pendingDecisions.end()) {
        return;
    }
    auto &pending = found->second;
    pending.attempt.reset();
    pending.keeperTimer.cancel();
    const bool hasReply = outcome.end == AttemptEnd::Replied && outcome.reply.isSuccess();
    const auto reply = hasReply ? readQuotaReply(outcome.reply.message.body) : std::nullopt;
    if (reply.has_value()) {
        this->latencies.add(this->timers.now() - pending.startedAt);
    }
    if (!this->handleReply(number, keeper, reply.value_or(QuotaReply{}))) {
        this->queryNext(number);
    }
}

bool QuotaLimiter::handleReply(std::uint64_t number, const KeeperGateway &keeper, const QuotaReply &reply)
{
    if (!reply.isKeeper) {
        return false;
    }
    auto &pending = this->pendingDecisions.at(number);
    if (reply.granted) {
        this->finish(number, QuotaDecision::Verdict::Granted);
        return true;
    }
    const auto now = this->timers.now();
    this->exhaustedShares[{pending.workspace, keeper.name}] = {.until = now + reply.freeAfter, .retryAt = now + reply.retryAfter};
    pending.retryAfter = std::min(reply.retryAfter, pending.retryAfter.value_or(reply.retryAfter));
    return false;
}

void QuotaLimiter::finish(std::uint64_t number, QuotaDecision::Verdict verdict)
{
    const auto row = this->pendingDecisions.extract(number);
    const auto &pending = row.mapped();
    switch (verdict) {
    case QuotaDecision::Verdict::Granted:
        ++this->counts.granted;
        break;
    case QuotaDecision::Verdict::OverQuota:
        ++this->counts.refused;
        break;
    case QuotaDecision::Verdict::NoKeeper:
        ++this->counts.noKeeper;
        break;
    }
    pending.done({.verdict = verdict,
        .retryAfter = pending.retryAfter.value_or(Core::Duration(0)),
        .asked = pending.asked,
        .waited = this->timers.now() - pending.startedAt});
}

}
