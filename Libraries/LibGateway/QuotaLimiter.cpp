/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/QuotaLimiter.h>

#include <LibCore/Log.h>
#include <LibCore/Settings.h>
#include <LibGateway/RelayPlan.h>

#include <algorithm>

namespace Gateway
{

// Assumed for a keeper's answer until enough are known.
static constexpr Core::Duration AssumedAnswerTime = Core::milliseconds(10);
static constexpr double FewestAnswers = 20.0;
static constexpr std::int64_t LongestMilliseconds = 86'400'000;

std::optional<Fleet::WorkspaceName> takeQuotaQuestion(Wire::Headers &headers)
{
    auto name = Wire::extractHeader(headers, RelayHeader::Quota);
    return name.has_value() ? std::optional(Fleet::WorkspaceName(std::move(name.value()))) : std::nullopt;
}

std::string writeQuotaAnswer(const QuotaAnswer &answer)
{
    return (answer.granted ? "1," : "0,") + std::to_string(Core::toMilliseconds(answer.freeAfter)) + ","
        + std::to_string(Core::toMilliseconds(answer.retryAfter));
}

std::optional<QuotaAnswer> readQuotaAnswer(const std::string &body)
{
    const auto words = Core::splitList(body);
    static constexpr std::size_t Figures = 3;
    if (words.size() != Figures) {
        return std::nullopt;
    }
    std::vector<std::int64_t> numbers;
    for (const auto &word : words) {
        const auto number = Core::parseInteger(word, 0, LongestMilliseconds);
        if (!number.has_value()) {
            return std::nullopt;
        }
        numbers.push_back(number.value());
    }
    return QuotaAnswer{.isKeeper = true, .granted = numbers[0] == 1, .freeAfter = Core::milliseconds(numbers[1]), .retryAfter = Core::milliseconds(numbers[2])};
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
    for (const auto &[number, question] : this->questions) {
        if (question.attempt.has_value()) {
            this->relays.abandon(question.attempt.value(), true);
        }
    }
}

const QuotaCounters &QuotaLimiter::counters() const
{
    return this->counts;
}

std::size_t QuotaLimiter::keptCount() const
{
    return this->ledger.keptCount();
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
    // What keepers said was of the quota before.
    this->emptyParts.clear();
}

void QuotaLimiter::setMayKeep(bool mayKeep)
{
    this->ledger.setMayKeep(mayKeep, this->timers.now());
}

QuotaAnswer QuotaLimiter::answer(const Fleet::WorkspaceName &workspace)
{
    ++this->counts.answered;
    return this->ledger.take(workspace, this->timers.now());
}

void QuotaLimiter::sweep()
{
    const auto now = this->timers.now();
    this->latencies.decay(now);
    std::erase_if(this->emptyParts, [now](const auto &item) {
        return item.second.until <= now;
    });
}

std::vector<KeeperGateway> QuotaLimiter::candidatesFor(const Fleet::Workspace &workspace, Question &question)
{
    const auto now = this->timers.now();
    std::vector<KeeperGateway> near;
    std::vector<KeeperGateway> far;
    for (const auto *keeper : this->ledger.keepers().keepersOf(workspace)) {
        const auto empty = this->emptyParts.find({workspace.name, keeper->name});
        if (empty != this->emptyParts.end() && empty->second.until > now) {
            const auto wait = std::max(empty->second.until, empty->second.comeBackAt) - now;
            question.retryAfter = std::min(wait, question.retryAfter.value_or(wait));
            continue;
        }
        (this->ledger.keepers().isInRegionOf(*keeper, this->ownZone) ? near : far).push_back(*keeper);
    }
    // Requests are spread over the keepers, but what is kept here costs no way.
    for (auto *group : {&near, &far}) {
        if (!group->empty()) {
            std::rotate(group->begin(), group->begin() + static_cast<std::ptrdiff_t>(this->nextQuestion % group->size()), group->end());
        }
    }
    std::stable_partition(near.begin(), near.end(), [this](const KeeperGateway &keeper) {
        return keeper.address == this->ownAddress;
    });
    near.insert(near.end(), far.begin(), far.end());
    near.resize(std::min(near.size(), this->options.mostAsked));
    std::reverse(near.begin(), near.end());
    return near;
}

std::uint64_t QuotaLimiter::decide(const Fleet::Workspace &workspace, const Core::RequestId &request, DecisionHook done)
{
    const auto number = this->nextQuestion++;
    auto &question = this->questions[number];
    question.workspace = workspace.name;
    question.began = this->timers.now();
    question.done = std::move(done);
    question.message.id = request;
    question.message.message = Wire::Request{.method = "GET", .target = "/", .headers = {{RelayHeader::Quota, workspace.name.value()}}, .body = {}};
    question.candidates = this->candidatesFor(workspace, question);
    this->askNext(number);
    return number;
}

void QuotaLimiter::cancel(std::uint64_t number)
{
    const auto found = this->questions.find(number);
    if (found == this->questions.end()) {
        return;
    }
    if (found->second.attempt.has_value()) {
        this->relays.abandon(found->second.attempt.value(), true);
    }
    this->questions.erase(found);
}

void QuotaLimiter::askNext(std::uint64_t number)
{
    while (!this->questions.at(number).candidates.empty()) {
        auto &question = this->questions.at(number);
        const KeeperGateway keeper = std::move(question.candidates.back());
        question.candidates.pop_back();
        if (keeper.address != this->ownAddress) {
            if (this->askOther(number, keeper)) {
                return;
            }
            continue;
        }
        if (this->handleAnswer(number, keeper, this->ledger.take(question.workspace, this->timers.now()))) {
            return;
        }
    }
    const bool anyAnswered = this->questions.at(number).retryAfter.has_value();
    this->finish(number, anyAnswered ? QuotaDecision::Verdict::OverQuota : QuotaDecision::Verdict::NoKeeper);
}

bool QuotaLimiter::askOther(std::uint64_t number, const KeeperGateway &keeper)
{
    const auto service = relayService(keeper.zone);
    const Fleet::AllowedRegions anywhere;
    const auto typical = this->latencies.quantile(0.5, AssumedAnswerTime, FewestAnswers);
    auto *backend = this->relays.firstSound({keeper.name}, Wanted{.service = service, .tried = {}, .typicalLatency = typical, .allowedRegions = anywhere});
    if (backend == nullptr) {
        return false;
    }
    auto &question = this->questions.at(number);
    ++question.asked;
    ++this->counts.asked;
    question.attempt = this->relays.send(*backend,
        AttemptOptions{.caller = &question.message,
            .timeLeft = this->options.askPatience,
            .typicalLatency = typical,
            .done = [this, number, keeper](const AttemptOutcome &outcome) {
                this->handleOutcome(number, keeper, outcome);
            }});
    question.keeperTimer = this->timers.once(this->options.askPatience, [this, number](Core::Instant) {
        auto &late = this->questions.at(number);
        this->relays.abandon(late.attempt.value(), false);
        late.attempt.reset();
        this->askNext(number);
    });
    return true;
}

void QuotaLimiter::handleOutcome(std::uint64_t number, const KeeperGateway &keeper, const AttemptOutcome &outcome)
{
    const auto found = this->questions.find(number);
    if (found == this->questions.end()) {
        return;
    }
    auto &question = found->second;
    question.attempt.reset();
    question.keeperTimer.cancel();
    const bool hasAnswer = outcome.end == AttemptEnd::Replied && outcome.reply.isSuccess();
    const auto answer = hasAnswer ? readQuotaAnswer(outcome.reply.message.body) : std::nullopt;
    if (answer.has_value()) {
        this->latencies.add(this->timers.now() - question.began);
    }
    if (!this->handleAnswer(number, keeper, answer.value_or(QuotaAnswer{}))) {
        this->askNext(number);
    }
}

bool QuotaLimiter::handleAnswer(std::uint64_t number, const KeeperGateway &keeper, const QuotaAnswer &answer)
{
    if (!answer.isKeeper) {
        return false;
    }
    auto &question = this->questions.at(number);
    if (answer.granted) {
        this->finish(number, QuotaDecision::Verdict::Granted);
        return true;
    }
    const auto now = this->timers.now();
    this->emptyParts[{question.workspace, keeper.name}] = {.until = now + answer.freeAfter, .comeBackAt = now + answer.retryAfter};
    question.retryAfter = std::min(answer.retryAfter, question.retryAfter.value_or(answer.retryAfter));
    return false;
}

void QuotaLimiter::finish(std::uint64_t number, QuotaDecision::Verdict verdict)
{
    const auto row = this->questions.extract(number);
    const auto &question = row.mapped();
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
    question.done({.verdict = verdict,
        .retryAfter = question.retryAfter.value_or(Core::Duration(0)),
        .asked = question.asked,
        .waited = this->timers.now() - question.began});
}

}
