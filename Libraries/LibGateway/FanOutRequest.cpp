/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/FanOutRequest.h>

#include <LibCore/Log.h>
#include <LibGateway/PackedSignatures.h>
#include <LibGateway/RecordMerge.h>
#include <LibRpc/Serialization.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

// A hedge goes out for one send that may have run.
static constexpr int HedgedExecutions = 1;
// A single hedge is sent from here, where a part saves nothing: unless the reply is large and most of it need not come.
static constexpr std::size_t FewestHedgesTogether = 2;
// Larger than what a part adds to a reply.
static constexpr std::size_t LargeReplyBytes = 400;
// How many times the usual latency a backend server is taken to need that another gateway got no answer from before its part left.
static constexpr double MissedRatio = 8.0;

FanOutRequest::FanOutRequest(RequestContext context,
    std::shared_ptr<const Fleet::RouteTable> routes,
    const Fleet::Route &route,
    CallerRequest request,
    RelayPlan plan,
    RequestOrigin asker)
    : RoutedRequest(context, std::move(routes), route, std::move(request)), plan(std::move(plan)), asker(asker)
{
    this->parameters.workLimit = this->context.workLimit;
}

// ---- Calls

bool FanOutRequest::canBeServed() const
{
    // What another gateway is asked for was found to have a backend server when the search was divided.
    std::size_t shards = 0;
    for (const auto &part : this->plan.parts) {
        shards += part.shards.size();
    }
    for (const auto &shard : this->plan.direct) {
        shards += this->context.pool->hasEligible(shard, this->parameters.allowedRegions) ? 1 : 0;
    }
    return shards >= this->needed();
}

void FanOutRequest::startCalls()
{
    if (this->asker == RequestOrigin::Caller && !this->canBeServed()) {
        // Nothing is asked, so check() refuses it as not run, at once.
        return;
    }
    for (const auto &shard : this->plan.direct) {
        this->addRow(shard);
    }
    std::vector<std::vector<std::size_t>> rowNumbers;
    for (const auto &part : this->plan.parts) {
        rowNumbers.emplace_back();
        for (const auto &shard : part.shards) {
            rowNumbers.back().push_back(this->rows.size());
            this->addRow(shard);
        }
    }
    // NOTE: Parts first, since they have the longer way.
    for (std::size_t number = 0; number < this->plan.parts.size(); ++number) {
        this->startPart(this->plan.parts[number], std::move(rowNumbers[number]));
    }
    const bool isHedge = this->context.relayParameters.has_value() && this->context.relayParameters->isHedge;
    for (std::size_t number = 0; number < this->plan.direct.size(); ++number) {
        if (isHedge) {
            this->startHedged(this->rows[number]);
        } else {
            this->startDirect(this->rows[number], this->plan.before);
        }
    }
}

void FanOutRequest::addRow(const Core::ServiceName &shard)
{
    this->rows.push_back(Row{.shard = shard, .call = nullptr, .part = nullptr, .inPart = false, .lost = {}});
}

// `before` is what another gateway did for the shard.
void FanOutRequest::startDirect(Row &row, const Protocol::MissingShard &before)
{
    row.call = this->makeCall(row.shard);
    row.call->countEarlier(before.executions, before.sends, before.counted);
    this->startCall(row);
}

// For a gateway whose own send is late. It is asked for here only where it is near, since the asker knows the far ones as well as this one does.
void FanOutRequest::startHedged(Row &row)
{
    row.lost.executions = HedgedExecutions;
    if (!this->context.pool->isGoodInRegion(row.shard, this->parameters.typicalLatency, this->parameters.allowedRegions)) {
        return;
    }
    row.call = this->makeCall(row.shard);
    row.call->countPaidRepeat(HedgedExecutions);
    this->startCall(row);
}

void FanOutRequest::startCall(const Row &row)
{
    row.call->start([this] {
        this->callFinished();
    });
}

void FanOutRequest::startPart(const PartPlan &partPlan, std::vector<std::size_t> rowNumbers)
{
    // Each part gets its share of what may be missing, rounded up. One of a cell is small, and one that waits for its own late shards keeps all of
    // them from a search that could leave; so it may lack half of all that may be missing, and one that lacks more makes the search late anyway. After
    // the target it is whole. Of hedges any that is in is of use.
    const auto bySize = (this->maximumMissing() * partPlan.shards.size() + this->rows.size() - 1) / this->rows.size();
    const auto ofCell = this->canBeInTime() ? std::max(bySize, this->maximumMissing() / 2) : 0;
    const auto share = partPlan.owners.empty() ? bySize : ofCell;
    const PartTerms partTerms{.targetAt = this->parameters.targetAt,
        .expiresAt = std::min(this->parameters.expiresAt, this->arrivedAt + this->plan.timeoutInTargets * this->route.targetLatency),
        .maximumMissing = partPlan.isHedge ? partPlan.shards.size() - 1 : share,
        .topRecords = this->topRecords(),
        .allowedRegions = this->parameters.allowedRegions};
    this->parts.push_back(std::make_unique<AskedPart>());
    auto &asked = *this->parts.back();
    asked.part = std::make_unique<RelayedPart>(this->context, this->route, this->request, partPlan, partTerms);
    asked.rowNumbers = std::move(rowNumbers);
    for (const auto number : asked.rowNumbers) {
        this->rows[number].part = asked.part.get();
    }
    asked.part->start([this, &asked] {
        this->withoutCompleting([this, &asked] {
            this->takePart(asked);
        });
        this->callFinished();
    });
}

void FanOutRequest::takePart(const AskedPart &asked)
{
    const auto missing = asked.part->missing();
    for (const auto number : asked.rowNumbers) {
        auto &row = this->rows[number];
        const auto found = std::find_if(missing.begin(), missing.end(), [&row](const Protocol::MissingShard &shard) {
            return shard.serviceName == row.shard.value();
        });
        const bool isIn = found == missing.end();
        if (asked.part->call().state() == CallState::Answered) {
            this->context.pool->recordPartLatency(row.shard, asked.part->zone(), isIn ? 1.0 : MissedRatio);
        }
        if (asked.part->isHedge()) {
            this->takeHedged(asked, row, isIn ? nullptr : &*found);
        } else if (isIn) {
            row.inPart = true;
        } else {
            this->noteMissing(asked, row, *found);
        }
    }
    this->askMissing();
}

void FanOutRequest::noteMissing(const AskedPart &asked, Row &row, const Protocol::MissingShard &missing)
{
    const auto before = row.lost;
    row.lost = missing;
    row.wasInPart = &asked;
    if (asked.part->call().state() != CallState::Answered) {
        // An answer counts what was done before it; without one only what was done for this part is known.
        row.lost.executions += before.executions;
        row.lost.sends += before.sends;
        row.lost.counted = row.lost.counted || before.counted;
    }
    row.mayAskAgain = row.lost.executions < this->route.maximumAttempts;
}

// `missing` is nullptr when the other gateway has the shard's answer.
void FanOutRequest::takeHedged(const AskedPart &asked, Row &row, const Protocol::MissingShard *missing)
{
    if (missing == nullptr) {
        // NOTE: Also when the answer from here has come meanwhile: records of a part can't be told apart by shard, so the part's count.
        row.inPart = true;
        row.call->cameBack(1);
        row.call->cancel(false);
        return;
    }
    switch (asked.part->call().state()) {
    case CallState::Answered:
        row.call->cameBack(std::max(0, missing->executions - HedgedExecutions));
        break;
    case CallState::NotRun:
        row.call->cameBack(0);
        break;
    default:
        row.call->cameBack(1);
        break;
    }
}

bool FanOutRequest::canBeInTime() const
{
    return this->now() + this->parameters.typicalLatency < this->parameters.targetAt;
}

// Shards that came back missing are asked for again while they can be in time, and later only when there are too few without them: a search that has
// enough leaves at its target and would only cancel them.
void FanOutRequest::askMissing()
{
    const bool tooFew = this->answeredCount() + this->openCount() < this->needed();
    if (this->isTimeUp() || (!this->canBeInTime() && !tooFew)) {
        return;
    }
    std::map<PartAgain, std::vector<std::size_t>> again;
    for (std::size_t number = 0; number < this->rows.size(); ++number) {
        auto &row = this->rows[number];
        if (!std::exchange(row.mayAskAgain, false)) {
            continue;
        }
        const auto &asked = *row.wasInPart;
        // An owner is asked twice at most, and this gateway asks for what is missing then.
        if (asked.part->hasOwners() && !asked.part->isAgain()) {
            again[{&asked, row.lost.executions, row.lost.sends, row.lost.counted}].push_back(number);
        } else {
            this->startDirect(row, row.lost);
        }
    }
    for (auto &[what, rowNumbers] : again) {
        this->askOwnerAgain(what, std::move(rowNumbers));
    }
}

// The owner has the connections, knows which backend servers are late, and has the repeats.
void FanOutRequest::askOwnerAgain(const PartAgain &what, std::vector<std::size_t> rowNumbers)
{
    PartPlan part = what.asked->part->asked();
    part.shards.clear();
    part.mayRelayFurther = false;
    part.isAgain = true;
    for (const auto number : rowNumbers) {
        part.shards.push_back(this->rows[number].shard);
    }
    part.before.executions = what.executions;
    part.before.sends = what.sends;
    part.before.counted = what.counted;
    this->startPart(part, std::move(rowNumbers));
}

// Hedges that go to the same zone of another region go together, since each reply of its own costs as many bytes as all of them in one part.
bool FanOutRequest::mayHedgeTogether(const Row &row, const Backend &candidate) const
{
    const bool isAskedElsewhere = row.part != nullptr && row.part->isOpen();
    return !candidate.sameRegion && !isAskedElsewhere && !this->isTargetDue() && this->context.relays->hasReady(relayService(candidate.zone));
}

Core::Instant FanOutRequest::hedgeLateCalls()
{
    auto next = this->parameters.expiresAt;
    std::map<std::string, std::vector<std::size_t>> together;
    for (std::size_t number = 0; number < this->rows.size(); ++number) {
        auto &row = this->rows[number];
        if (!row.call) {
            continue;
        }
        const auto look = row.call->lookForHedge();
        if (look.candidate == nullptr) {
            next = std::min(next, look.lookAgainAt.value_or(next));
        } else if (this->mayHedgeTogether(row, *look.candidate)) {
            together[look.candidate->zone].push_back(number);
        } else {
            row.call->hedge(*look.candidate);
        }
    }
    for (const auto &[zone, rowNumbers] : together) {
        this->hedgeTogether(zone, rowNumbers);
    }
    return next;
}

void FanOutRequest::hedgeTogether(const std::string &zone, const std::vector<std::size_t> &rowNumbers)
{
    PartPlan hedges{.zone = zone, .shards = {}, .mayRelayFurther = false, .isHedge = true, .minimumRecord = this->minimumRecord(), .owners = {}};
    std::vector<Core::ServiceName> late;
    for (const auto number : rowNumbers) {
        late.push_back(this->rows[number].shard);
    }
    hedges.owners = this->context.cells->commonOwnersOf(late, this->route.shards.size(), zone);
    const bool savesReply = !hedges.minimumRecord.empty() && this->topRecords() * RecordBytes >= LargeReplyBytes;
    // An owner has connections to the backend servers, which take a round trip and more to open from here.
    const bool asPart = rowNumbers.size() >= FewestHedgesTogether || savesReply || !hedges.owners.empty();
    std::vector<std::size_t> hedged;
    for (const auto number : rowNumbers) {
        auto &row = this->rows[number];
        if (asPart && row.call->hedgeElsewhere()) {
            hedges.shards.push_back(row.shard);
            hedged.push_back(number);
        } else {
            (void)row.call->hedgeIfDue();
        }
    }
    if (!hedged.empty()) {
        this->startPart(hedges, std::move(hedged));
    }
}

Core::Instant FanOutRequest::lookAtCalls()
{
    auto next = this->hedgeLateCalls();
    // NOTE: By number, since a part that is taken may start others.
    for (std::size_t index = 0; index < this->parts.size(); ++index) {
        const auto &asked = *this->parts[index];
        auto &part = *asked.part;
        if (!part.isOpen()) {
            continue;
        }
        if (this->now() >= part.expiresAt()) {
            part.cancel(false);
            this->takePart(asked);
        } else {
            next = std::min(next, part.expiresAt());
        }
    }
    return next;
}

void FanOutRequest::cancelCalls(bool callerIsGone)
{
    for (const auto &row : this->rows) {
        if (row.call) {
            row.call->cancel(callerIsGone);
        }
    }
    for (const auto &asked : this->parts) {
        asked->part->cancel(callerIsGone);
    }
}

// ---- Coverage

bool FanOutRequest::everyRow(const Row &)
{
    return true;
}

bool FanOutRequest::isAnsweredHere(const Row &row)
{
    return !row.inPart && row.call && row.call->state() == CallState::Answered;
}

bool FanOutRequest::isAnswered(const Row &row)
{
    return row.inPart || isAnsweredHere(row);
}

bool FanOutRequest::isOpen(const Row &row)
{
    const bool byPart = row.part != nullptr && row.part->isOpen();
    const bool byCall = row.call && !isFinished(row.call->state());
    return !isAnswered(row) && (byPart || byCall);
}

std::size_t FanOutRequest::needed() const
{
    // A hair less, so that 0.89 of 100 shards are 89 of them whatever the rounding of the product.
    const double exact = this->route.minimumCoverage * static_cast<double>(this->route.shards.size()) - 1e-9;
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(exact)));
}

std::size_t FanOutRequest::maximumMissing() const
{
    return this->context.relayParameters.has_value() ? this->context.relayParameters->maximumMissing : this->route.shards.size() - this->needed();
}

std::size_t FanOutRequest::topRecords() const
{
    return this->context.relayParameters.has_value() ? this->context.relayParameters->topRecords : this->route.topRecords;
}

std::size_t FanOutRequest::answeredCount() const
{
    return static_cast<std::size_t>(std::count_if(this->rows.begin(), this->rows.end(), isAnswered));
}

std::size_t FanOutRequest::openCount() const
{
    return static_cast<std::size_t>(std::count_if(this->rows.begin(), this->rows.end(), isOpen));
}

bool FanOutRequest::mayHaveRun() const
{
    const bool byRow = std::any_of(this->rows.begin(), this->rows.end(), [](const Row &row) {
        return row.inPart || row.lost.executions > 0 || (row.call && row.call->executions() > 0);
    });
    const bool byPart = std::any_of(this->parts.begin(), this->parts.end(), [](const auto &asked) {
        return asked->part->mayHaveRun();
    });
    return byRow || byPart;
}

void FanOutRequest::check()
{
    if (this->asker == RequestOrigin::Caller) {
        this->checkForCaller();
    } else {
        this->checkForOtherGateway();
    }
}

// A merged answer leaves when all parts are in; when the target is due and enough are in; and after the target as soon as enough are in.
void FanOutRequest::checkForCaller()
{
    const auto answered = this->answeredCount();
    const auto open = this->openCount();
    const bool enough = answered >= this->needed();
    if (enough && (open == 0 || this->isTargetDue())) {
        this->answerCaller();
    } else if (answered + open < this->needed()) {
        this->withoutCompleting([this] {
            this->askMissing();
        });
        if (this->answeredCount() + this->openCount() < this->needed()) {
            this->cancelCalls(false);
            this->refuse(this->mayHaveRun());
        }
    }
}

// A part leaves when all shards are in or lost; when the target is due and few are missing; and after the target as soon as few are.
void FanOutRequest::checkForOtherGateway()
{
    const auto missing = this->rows.size() - this->answeredCount();
    if (this->openCount() == 0 || (this->isTargetDue() && missing <= this->maximumMissing())) {
        this->answerOtherGateway();
    }
}

// ---- Answers

void FanOutRequest::noteLatencies() const
{
    for (const auto &row : this->rows) {
        if (isAnsweredHere(row)) {
            this->context.latencies->add(row.call->latency());
        }
    }
}

// What is less than as many records as are wanted can't be wanted any more, if these stay. The answer of a row whose hedge is under way may yet
// be replaced by that of another backend server, which need not hold the same records.
std::string FanOutRequest::minimumRecord() const
{
    const auto records = this->mergedRecords([](const Row &row) {
        return row.part == nullptr || !row.part->isOpen();
    });
    const bool isFull = !records.empty() && records.size() == this->topRecords() * RecordBytes;
    return isFull ? records.substr(records.size() - RecordBytes) : std::string();
}

std::string FanOutRequest::mergedRecords(const std::function<bool(const Row &row)> &counts) const
{
    std::vector<std::string_view> merged;
    for (const auto &row : this->rows) {
        if (isAnsweredHere(row) && counts(row)) {
            merged.emplace_back(row.call->reply().message.body);
        }
    }
    for (const auto &asked : this->parts) {
        merged.emplace_back(asked->part->answer().records);
    }
    return mergeGreatest(merged, this->topRecords());
}

std::vector<std::string> FanOutRequest::signatures() const
{
    std::vector<std::string> all;
    for (const auto &row : this->rows) {
        if (isAnsweredHere(row)) {
            all.push_back(row.call->reply().signature);
        }
    }
    for (const auto &asked : this->parts) {
        const auto &others = asked->part->answer().signatures;
        all.insert(all.end(), others.begin(), others.end());
    }
    return all;
}

// Parts left out what is less than the least record that they were told. If the answer ends with less, such records may be missing from it.
void FanOutRequest::verifyLeastRecords(const std::string &records) const
{
    const bool isFull = records.size() == this->topRecords() * RecordBytes;
    for (const auto &asked : this->parts) {
        const auto &least = asked->part->asked().minimumRecord;
        const bool leftOut = !least.empty() && !asked->part->answer().signatures.empty();
        if (leftOut && (!isFull || records.compare(records.size() - RecordBytes, RecordBytes, least) < 0)) {
            Core::logEvent(Core::LogLevel::Error, "answer.lacks_records", {{"request", this->request.id.value()}, {"zone", asked->part->zone()}});
        }
    }
}

// Each signature stands for one shard; one that stands twice shows that some shard was counted in two parts.
void FanOutRequest::verifySignatures(std::vector<std::string> all) const
{
    std::sort(all.begin(), all.end());
    if (const auto twice = std::adjacent_find(all.begin(), all.end()); twice != all.end()) {
        Core::logEvent(Core::LogLevel::Error, "answer.signature_twice", {{"request", this->request.id.value()}, {"signature", *twice}});
    }
}

void FanOutRequest::answerCaller()
{
    MergedAnswer answer;
    answer.id = this->request.id;
    this->noteLatencies();
    answer.body = this->mergedRecords(everyRow);
    answer.signatures = this->signatures();
    this->verifyLeastRecords(answer.body);
    this->verifySignatures(answer.signatures);
    answer.missing = this->route.shards.size() - answer.signatures.size();
    this->cancelCalls(false);
    this->complete(this->context.dialect->writeMerged(answer), answer.missing == 0 ? RequestOutcome::Answered : RequestOutcome::Partial);
}

Protocol::MissingShard FanOutRequest::describeMissing(const Row &row) const
{
    Protocol::MissingShard missing = row.lost;
    missing.serviceName = row.shard.value();
    if (row.call) {
        missing.executions = row.call->executions();
        missing.sends = row.lost.sends + row.call->attempts();
        missing.counted = true;
    } else if (row.part != nullptr && row.part->mayHaveRun()) {
        // What ran for the other gateway is not known.
        missing.executions = this->route.maximumAttempts;
        missing.sends = 1;
        missing.counted = true;
    }
    return missing;
}

void FanOutRequest::answerOtherGateway()
{
    Protocol::PartialAnswer answer;
    this->noteLatencies();
    answer.records = this->mergedRecords(everyRow);
    if (this->context.relayParameters.has_value()) {
        dropLessThan(answer.records, this->context.relayParameters->minimumRecord);
    }
    answer.signatures = this->signatures();
    this->cancelCalls(false);
    for (const auto &row : this->rows) {
        if (!isAnswered(row)) {
            answer.missing.push_back(this->describeMissing(row));
        }
    }
    packSignatures(answer);
    const auto outcome = answer.missing.empty() ? RequestOutcome::Answered : RequestOutcome::Partial;
    this->complete(this->context.dialect->writePartial(this->request.id, Rpc::serialize(answer)), outcome);
}

void FanOutRequest::describe(RequestSummary &summary) const
{
    summary.shards = this->asker == RequestOrigin::Caller ? this->route.shards.size() : this->rows.size();
    summary.answered = this->answeredCount();
    for (const auto &row : this->rows) {
        if (row.call) {
            describeCall(summary, *row.call);
        }
    }
    for (const auto &asked : this->parts) {
        summary.relayed += asked->rowNumbers.size();
        describeCall(summary, asked->part->call());
    }
}

}
