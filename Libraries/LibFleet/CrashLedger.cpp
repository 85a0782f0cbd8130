/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibFleet/CrashLedger.h>

#include <LibCore/Log.h>

#include <algorithm>
#include <tuple>

namespace Fleet
{

// A record holds this many attempts, the latest ones. Bounds the record and the length of a quarantine.
static constexpr std::size_t MaximumAttempts = 8;
// One in so many records is removed when the ledger is full.
static constexpr std::size_t RemovedShare = 8;

const char *standingName(RequestStanding standing)
{
    switch (standing) {
    case RequestStanding::Clear:
        return "clear";
    case RequestStanding::Suspect:
        return "suspect";
    case RequestStanding::Quarantined:
        return "quarantined";
    }
    return "clear";
}

static std::int32_t ageOf(Core::Instant time, Core::Instant now)
{
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(Core::toMilliseconds(now - time), 0, INT32_MAX));
}

static Core::Instant timeOf(std::int32_t age, Core::Instant now)
{
    return now - Core::milliseconds(std::max(0, age));
}

CrashLedger::CrashLedger(CrashLedgerOptions options) : options(options)
{
}

// ---- Reports

void CrashLedger::recordCrash(const CrashReport &report)
{
    auto &record = this->recordFor(report.digest);
    const Attempt added{.startedAt = report.startedAt, .firstCrashAt = report.crashedAt, .backends = {report.backend}};
    if (this->addCrash(record, report.attempt, added)) {
        this->finishChange(report.digest, record, CrashRecords::Own, report.crashedAt);
    }
}

void CrashLedger::recordAnswer(const RequestDigest &digest, Core::Instant now)
{
    const auto found = this->records.find(digest);
    if (found != this->records.end() && this->addAnswer(found->second, now)) {
        this->finishChange(digest, found->second, CrashRecords::Own, now);
    }
}

void CrashLedger::recordAnswerDespiteCrash(const RequestDigest &digest, Core::Instant now)
{
    (void)this->recordFor(digest);
    this->recordAnswer(digest, now);
}

void CrashLedger::merge(const Protocol::CrashRecord &received, Core::Instant now)
{
    const RequestDigest digest(received.digest);
    auto &record = this->recordFor(digest);
    bool hasChanged = received.__isset.answeredAgoMs && this->addAnswer(record, timeOf(received.answeredAgoMs, now));
    for (const auto &attempt : received.attempts) {
        const Attempt added{.startedAt = timeOf(attempt.startedAgoMs, now),
            .firstCrashAt = timeOf(attempt.crashedAgoMs, now),
            .backends = {attempt.backends.begin(), attempt.backends.end()}};
        hasChanged = this->addCrash(record, attempt.attempt, added) || hasChanged;
    }
    if (hasChanged) {
        this->finishChange(digest, record, CrashRecords::All, now);
    } else if (record.position == 0) {
        // Nothing in the report counts, such as crashes before an answer that is known.
        this->records.erase(digest);
    }
}

// Returns whether the crash says anything new. A difference in time alone does not: the times of one report differ wherever it was passed on.
bool CrashLedger::addCrash(Record &record, const std::string &name, const Attempt &added) const
{
    const bool precedesAnswer = record.answeredAt.has_value() && added.firstCrashAt <= record.answeredAt.value();
    if (precedesAnswer || added.backends.empty()) {
        return false;
    }
    auto [position, isNew] = record.attempts.try_emplace(name, added);
    auto &attempt = position->second;
    attempt.startedAt = std::min(attempt.startedAt, added.startedAt);
    attempt.firstCrashAt = std::min(attempt.firstCrashAt, added.firstCrashAt);
    const auto before = attempt.backends.size();
    for (const auto &backend : added.backends) {
        if (attempt.backends.size() < this->options.crashesUntilSuspect) {
            attempt.backends.insert(backend);
        }
    }
    if (record.attempts.size() > MaximumAttempts) {
        const auto oldest = std::min_element(record.attempts.begin(), record.attempts.end(), [](const auto &left, const auto &right) {
            return left.second.firstCrashAt < right.second.firstCrashAt;
        });
        const bool isOldestItself = oldest == position;
        record.attempts.erase(oldest);
        return !isOldestItself;
    }
    return isNew || attempt.backends.size() > before;
}

// Returns whether the answer says anything new: it clears the request of a crash, or it is the first one that is known.
bool CrashLedger::addAnswer(Record &record, Core::Instant answeredAt) const
{
    const bool isFirst = !record.answeredAt.has_value();
    if (isFirst || record.answeredAt.value() < answeredAt) {
        record.answeredAt = answeredAt;
    }
    const auto cleared = std::erase_if(record.attempts, [answeredAt](const auto &item) {
        return item.second.firstCrashAt <= answeredAt;
    });
    return isFirst || cleared > 0;
}

void CrashLedger::finishChange(const RequestDigest &digest, Record &record, CrashRecords origin, Core::Instant now)
{
    const auto standingBefore = record.verdict.standing;
    record.verdict = this->judge(record);
    record.verdict.standing = this->standingOf(record.verdict, now);
    const auto &verdict = record.verdict;
    const auto change = ++this->changes;
    record.changedAt = now;
    record.position = change;
    if (origin == CrashRecords::Own) {
        record.ownPosition = change;
        this->latestOwn = change;
    }
    record.shared = record.shared || verdict.standing != RequestStanding::Clear;
    if (record.shared) {
        record.sharedPosition = change;
        this->latestShared = change;
    }
    if (verdict.standing != standingBefore) {
        Core::logEvent(verdict.standing == RequestStanding::Quarantined ? Core::LogLevel::Warning : Core::LogLevel::Information,
            "crashes.standing",
            {{"digest", digest.value()},
                {"standing", standingName(verdict.standing)},
                {"crashes", verdict.crashes},
                {"rounds", verdict.rounds},
                {"answered", record.answeredAt.has_value() ? 1 : 0},
                {"for_s", Core::toMilliseconds(std::max(Core::Duration(0), verdict.quarantinedUntil - now)) / 1000}});
    }
    if (this->changed) {
        this->changed(origin);
    }
}

// ---- Verdicts

// Counts crashes and rounds (K2) and computes the end of the quarantine (K3), without the standing.
RequestVerdict CrashLedger::judge(const Record &record) const
{
    std::vector<const Attempt *> byCrash;
    std::set<std::string> backends;
    for (const auto &[name, attempt] : record.attempts) {
        byCrash.push_back(&attempt);
        backends.insert(attempt.backends.begin(), attempt.backends.end());
    }
    std::sort(byCrash.begin(), byCrash.end(), [](const Attempt *left, const Attempt *right) {
        return left->firstCrashAt < right->firstCrashAt;
    });
    RequestVerdict verdict{.crashes = backends.size()};
    const Attempt *previous = nullptr;
    for (const auto *attempt : byCrash) {
        const auto tolerance = this->options.timeTolerance;
        const bool isNextRound
            = previous == nullptr || (attempt->startedAt + tolerance >= previous->firstCrashAt && attempt->firstCrashAt >= previous->firstCrashAt + tolerance);
        if (isNextRound) {
            ++verdict.rounds;
            previous = attempt;
        }
    }
    if (verdict.crashes >= this->options.crashesUntilSuspect && verdict.rounds >= this->options.roundsUntilQuarantine) {
        const auto doublings = verdict.rounds - this->options.roundsUntilQuarantine;
        verdict.quarantinedUntil = previous->firstCrashAt + this->options.quarantine * (1 << doublings);
    }
    return verdict;
}

RequestStanding CrashLedger::standingOf(const RequestVerdict &verdict, Core::Instant now) const
{
    if (now < verdict.quarantinedUntil) {
        return RequestStanding::Quarantined;
    }
    const bool isSuspect = verdict.crashes >= this->options.crashesUntilSuspect || verdict.rounds >= this->options.roundsUntilSuspect;
    return isSuspect ? RequestStanding::Suspect : RequestStanding::Clear;
}

RequestVerdict CrashLedger::verdictOf(const RequestDigest &digest, Core::Instant now) const
{
    const auto found = this->records.find(digest);
    if (found == this->records.end()) {
        return {};
    }
    auto verdict = found->second.verdict;
    verdict.standing = this->standingOf(verdict, now);
    return verdict;
}

std::size_t CrashLedger::countOf(RequestStanding standing, Core::Instant now) const
{
    return static_cast<std::size_t>(std::count_if(this->records.begin(), this->records.end(), [&](const auto &item) {
        return this->standingOf(item.second.verdict, now) == standing;
    }));
}

std::vector<RequestDigest> CrashLedger::suspects(Core::Instant now) const
{
    std::vector<RequestDigest> digests;
    for (const auto &[digest, record] : this->records) {
        if (this->standingOf(record.verdict, now) != RequestStanding::Clear) {
            digests.push_back(digest);
        }
    }
    return digests;
}

std::size_t CrashLedger::size() const
{
    return this->records.size();
}

// ---- Changes

std::int64_t CrashLedger::positionOf(const Record &record, CrashRecords selection)
{
    switch (selection) {
    case CrashRecords::All:
        return record.position;
    case CrashRecords::Shared:
        return record.sharedPosition;
    case CrashRecords::Own:
        return record.ownPosition;
    }
    return 0;
}

std::int64_t CrashLedger::position(CrashRecords selection) const
{
    switch (selection) {
    case CrashRecords::All:
        return this->changes;
    case CrashRecords::Shared:
        return this->latestShared;
    case CrashRecords::Own:
        return this->latestOwn;
    }
    return 0;
}

std::vector<const std::pair<const RequestDigest, CrashLedger::Record> *> CrashLedger::after(std::int64_t position, CrashRecords selection) const
{
    std::vector<const std::pair<const RequestDigest, Record> *> found;
    if (position >= this->position(selection)) {
        return found;
    }
    for (const auto &item : this->records) {
        if (positionOf(item.second, selection) > position) {
            found.push_back(&item);
        }
    }
    std::sort(found.begin(), found.end(), [selection](const auto *left, const auto *right) {
        return positionOf(left->second, selection) < positionOf(right->second, selection);
    });
    return found;
}

static Protocol::CrashRecord encode(const RequestDigest &digest)
{
    Protocol::CrashRecord encoded;
    encoded.digest = digest.value();
    return encoded;
}

std::vector<Protocol::CrashRecord> CrashLedger::changedSince(std::int64_t position, CrashRecords selection, Core::Instant now, std::size_t maximum) const
{
    std::vector<Protocol::CrashRecord> encodedRecords;
    for (const auto *item : this->after(position, selection)) {
        if (encodedRecords.size() == maximum) {
            break;
        }
        auto encoded = encode(item->first);
        for (const auto &[name, attempt] : item->second.attempts) {
            Protocol::CrashedAttempt encodedAttempt;
            encodedAttempt.attempt = name;
            encodedAttempt.startedAgoMs = ageOf(attempt.startedAt, now);
            encodedAttempt.crashedAgoMs = ageOf(attempt.firstCrashAt, now);
            encodedAttempt.backends.assign(attempt.backends.begin(), attempt.backends.end());
            encoded.attempts.push_back(std::move(encodedAttempt));
        }
        if (item->second.answeredAt.has_value()) {
            encoded.__set_answeredAgoMs(ageOf(item->second.answeredAt.value(), now));
        }
        encodedRecords.push_back(std::move(encoded));
    }
    return encodedRecords;
}

std::int64_t CrashLedger::positionAfter(std::int64_t position, CrashRecords selection, std::size_t maximum) const
{
    const auto found = this->after(position, selection);
    if (found.size() <= maximum) {
        return std::max(position, this->position(selection));
    }
    return maximum == 0 ? position : positionOf(found[maximum - 1]->second, selection);
}

// ---- Retention

CrashLedger::Record &CrashLedger::recordFor(const RequestDigest &digest)
{
    const auto found = this->records.find(digest);
    if (found != this->records.end()) {
        return found->second;
    }
    if (this->records.size() >= this->options.maximumRecords) {
        this->removeLeastImportant();
    }
    return this->records[digest];
}

// Removes the records with the fewest rounds, and among these the ones with the oldest changes. Several at once, so that a flood of new records does not search
// the whole ledger for each of them.
void CrashLedger::removeLeastImportant()
{
    using Rank = std::tuple<std::size_t, bool, std::int64_t>;
    std::vector<std::pair<Rank, RequestDigest>> ranked;
    for (const auto &[digest, record] : this->records) {
        ranked.emplace_back(Rank(record.verdict.rounds, record.shared, record.position), digest);
    }
    const auto count = std::max<std::size_t>(1, ranked.size() / RemovedShare);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(ranked.begin(), end - 1, ranked.end());
    for (auto removed = ranked.begin(); removed != end; ++removed) {
        this->records.erase(removed->second);
    }
}

void CrashLedger::forget(Core::Instant now)
{
    std::erase_if(this->records, [this, now](const auto &item) {
        const auto &record = item.second;
        const auto retention = record.attempts.empty() ? this->options.answerRetention : this->options.retention;
        return now - std::max(record.changedAt, record.verdict.quarantinedUntil) >= retention;
    });
}

}
