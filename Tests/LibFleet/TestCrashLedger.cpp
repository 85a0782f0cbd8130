/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the rules by which requests that crash backend servers are suspected,
// quarantined and cleared (CrashLedger.h, K1 to K5).

#include <LibFleet/CrashLedger.h>

#include <criterion/criterion.h>
#include <random>

using Fleet::CrashLedger;
using Fleet::CrashRecords;
using Fleet::RequestDigest;
using Fleet::RequestStanding;

namespace
{

const RequestDigest digest("request");

Core::Instant at(int milliseconds)
{
    static constexpr int Epoch = 1'000'000;
    return Core::Instant(Core::milliseconds(Epoch + milliseconds));
}

Fleet::CrashReport crash(const std::string &attempt, const std::string &backend, int startedAt, int crashedAt)
{
    return {.digest = digest, .attempt = attempt, .backend = backend, .startedAt = at(startedAt), .crashedAt = at(crashedAt)};
}

RequestStanding standing(const CrashLedger &ledger, int now)
{
    return ledger.verdictOf(digest, at(now)).standing;
}

/** Three rounds with one crash each: the fewest crashes that lead to a quarantine. */
void recordThreeRounds(CrashLedger &ledger)
{
    ledger.recordCrash(crash("first", "a", 0, 100));
    ledger.recordCrash(crash("second", "b", 1000, 1100));
    ledger.recordCrash(crash("third", "c", 2000, 2100));
}

/** Sends all records that changed since the last exchange, as a gateway and a coordinator do. */
void exchange(const CrashLedger &from, CrashLedger &to, CrashRecords selection, int now)
{
    for (const auto &record : from.changedSince(0, selection, at(now))) {
        to.merge(record, at(now));
    }
}

}

Test(CrashLedger, quarantinesAfterThreeRounds)
{
    CrashLedger ledger;
    ledger.recordCrash(crash("first", "a", 0, 100));
    cr_assert(standing(ledger, 200) == RequestStanding::Clear);
    ledger.recordCrash(crash("second", "b", 1000, 1100));
    cr_assert(standing(ledger, 1200) == RequestStanding::Suspect);
    ledger.recordCrash(crash("third", "c", 2000, 2100));
    cr_assert(standing(ledger, 2200) == RequestStanding::Quarantined);
}

Test(CrashLedger, onlySuspectsARequestWhoseBackendServersEndTogether)
{
    CrashLedger ledger;
    // Twenty servers end at the same moment, under several attempts that were all in flight.
    for (int number = 0; number < 20; ++number) {
        ledger.recordCrash(crash("attempt " + std::to_string(number % 4), "server " + std::to_string(number), number, 500 + number % 5));
    }
    cr_assert(standing(ledger, 600) == RequestStanding::Suspect);
    // The retry meets a second such moment.
    ledger.recordCrash(crash("retry", "another", 520, 900));
    cr_assert(standing(ledger, 1000) == RequestStanding::Suspect);
}

Test(CrashLedger, doesNotQuarantineWithoutThreeBackendServers)
{
    CrashLedger ledger;
    ledger.recordCrash(crash("first", "a", 0, 100));
    ledger.recordCrash(crash("second", "a", 1000, 1100));
    ledger.recordCrash(crash("third", "b", 2000, 2100));
    cr_assert(standing(ledger, 2200) == RequestStanding::Suspect);
}

Test(CrashLedger, anAnswerClearsEarlierCrashes)
{
    CrashLedger ledger;
    recordThreeRounds(ledger);
    ledger.recordAnswer(digest, at(3000));
    cr_assert(standing(ledger, 3000) == RequestStanding::Clear);
    // A late report of a crash before the answer does not count, one after it does.
    ledger.recordCrash(crash("late", "d", 2000, 2900));
    cr_assert_eq(ledger.verdictOf(digest, at(3000)).crashes, 0);
    ledger.recordCrash(crash("later", "e", 3100, 3200));
    cr_assert_eq(ledger.verdictOf(digest, at(3300)).crashes, 1);
}

Test(CrashLedger, anAnswerClearsCrashesThatAreReportedLater)
{
    CrashLedger requester;
    CrashLedger coordinator;
    requester.recordAnswerDespiteCrash(digest, at(3000));
    exchange(requester, coordinator, CrashRecords::Own, 3010);
    CrashLedger server;
    recordThreeRounds(server);
    exchange(server, coordinator, CrashRecords::Own, 3020);
    cr_assert(standing(coordinator, 3030) == RequestStanding::Clear);
}

Test(CrashLedger, quarantineEndsAndDoublesWithTheNextRound)
{
    const Fleet::CrashLedgerOptions options{.quarantine = Core::seconds(10)};
    CrashLedger ledger(options);
    recordThreeRounds(ledger);
    cr_assert(standing(ledger, 12'000) == RequestStanding::Quarantined);
    cr_assert(standing(ledger, 12'200) == RequestStanding::Suspect);
    ledger.recordCrash(crash("fourth", "d", 13'000, 13'100));
    cr_assert(standing(ledger, 33'000) == RequestStanding::Quarantined);
    cr_assert(standing(ledger, 33'200) == RequestStanding::Suspect);
}

Test(CrashLedger, processesAgreeWhateverTheOrderOfReports)
{
    std::mt19937 random(7);
    for (int run = 0; run < 50; ++run) {
        std::vector<CrashLedger> gateways(3);
        std::vector<CrashLedger> coordinators(3);
        recordThreeRounds(gateways[0]);
        gateways[1].recordCrash(crash("second", "d", 1010, 1110));
        gateways[2].recordCrash(crash("fourth", "e", 3000, 3100));
        std::vector<std::pair<std::size_t, std::size_t>> deliveries{{0, 0}, {0, 1}, {1, 1}, {1, 2}, {2, 2}, {2, 0}};
        std::shuffle(deliveries.begin(), deliveries.end(), random);
        for (const auto &[from, to] : deliveries) {
            exchange(gateways[from], coordinators[to], CrashRecords::Own, 3200 + static_cast<int>(random() % 20));
        }
        std::vector<std::pair<std::size_t, std::size_t>> links{{0, 1}, {1, 2}, {2, 0}, {1, 0}, {2, 1}, {0, 2}};
        for (int round = 0; round < 2; ++round) {
            std::shuffle(links.begin(), links.end(), random);
            for (const auto &[from, to] : links) {
                exchange(coordinators[from], coordinators[to], CrashRecords::All, 3300);
            }
        }
        for (const auto &coordinator : coordinators) {
            const auto verdict = coordinator.verdictOf(digest, at(3400));
            cr_assert(verdict.standing == RequestStanding::Quarantined, "run %d", run);
            cr_assert_eq(verdict.rounds, 4, "run %d: %zu rounds", run, verdict.rounds);
            cr_assert_eq(verdict.crashes, 5, "run %d: %zu crashes", run, verdict.crashes);
        }
    }
}

Test(CrashLedger, repeatedReportsAreNoChange)
{
    CrashLedger gateway;
    CrashLedger coordinator;
    recordThreeRounds(gateway);
    exchange(gateway, coordinator, CrashRecords::Own, 2200);
    const auto position = coordinator.position(CrashRecords::All);
    // The report arrives again, with ages that another delay has changed.
    exchange(gateway, coordinator, CrashRecords::Own, 2230);
    cr_assert_eq(coordinator.position(CrashRecords::All), position);
}

Test(CrashLedger, sharesOnlySuspectsWithGateways)
{
    CrashLedger ledger;
    ledger.recordCrash(crash("first", "a", 0, 100));
    cr_assert(ledger.changedSince(0, CrashRecords::Shared, at(200)).empty());
    ledger.recordCrash(crash("second", "b", 1000, 1100));
    cr_assert_eq(ledger.changedSince(0, CrashRecords::Shared, at(1200)).size(), 1);
    // Gateways also learn that a suspect was cleared.
    const auto position = ledger.position(CrashRecords::Shared);
    ledger.recordAnswer(digest, at(1300));
    const auto changed = ledger.changedSince(position, CrashRecords::Shared, at(1300));
    cr_assert_eq(changed.size(), 1);
    cr_assert(changed.front().attempts.empty() && changed.front().__isset.answeredAgoMs);
}

Test(CrashLedger, remainsBoundedAndKeepsQuarantinedRequests)
{
    const Fleet::CrashLedgerOptions options{.maximumRecords = 16};
    CrashLedger ledger(options);
    recordThreeRounds(ledger);
    static constexpr int Others = 1000;
    for (int number = 0; number < Others; ++number) {
        auto other = crash("attempt", "server", 3000, 3100 + number);
        other.digest = RequestDigest("other " + std::to_string(number));
        ledger.recordCrash(other);
    }
    cr_assert(ledger.size() <= 16 && ledger.size() >= 14, "%zu records", ledger.size());
    cr_assert(standing(ledger, 5000) == RequestStanding::Quarantined);
    // One record holds a bounded number of attempts and backend servers.
    for (int number = 0; number < Others; ++number) {
        ledger.recordCrash(crash("attempt " + std::to_string(number / 10), "server " + std::to_string(number), 10'000 + 100 * number, 10'050 + 100 * number));
    }
    const auto records = ledger.changedSince(0, CrashRecords::All, at(200'000));
    const auto found = std::find_if(records.begin(), records.end(), [](const auto &record) {
        return record.digest == digest.value();
    });
    cr_assert_leq(found->attempts.size(), 8);
    cr_assert(std::all_of(found->attempts.begin(), found->attempts.end(), [](const auto &attempt) {
        return attempt.backends.size() <= 3;
    }));
}

Test(CrashLedger, forgetsAfterItsRetention)
{
    CrashLedger ledger;
    ledger.recordCrash(crash("first", "a", 0, 100));
    ledger.forget(at(3600 * 1000));
    cr_assert_eq(ledger.size(), 1);
    ledger.forget(at(7 * 3600 * 1000));
    cr_assert_eq(ledger.size(), 0);
    // The record of an answered request is kept for a short time only.
    ledger.recordCrash(crash("first", "a", 0, 100));
    ledger.recordAnswer(digest, at(1000));
    ledger.forget(at(62'000));
    cr_assert_eq(ledger.size(), 0);
}

Test(CrashLedger, sendsLongListsInPieces)
{
    CrashLedger ledger;
    static constexpr int Requests = 10;
    for (int number = 0; number < Requests; ++number) {
        auto other = crash("attempt", "server", 0, 100);
        other.digest = RequestDigest("other " + std::to_string(number));
        ledger.recordCrash(other);
    }
    CrashLedger received;
    std::int64_t position = 0;
    for (int piece = 0; piece < 4; ++piece) {
        for (const auto &record : ledger.changedSince(position, CrashRecords::Own, at(200), 3)) {
            received.merge(record, at(200));
        }
        position = ledger.positionAfter(position, CrashRecords::Own, 3);
    }
    cr_assert_eq(received.size(), Requests);
    cr_assert_eq(position, ledger.position(CrashRecords::Own));
}

// Coordinators replied to each other without end: the latest change was that of a record that had been removed, and no reply brought a reader up to it.
Test(CrashLedger, readersCatchUpWithChangesOfRemovedRecords)
{
    CrashLedger ledger;
    ledger.recordCrash(crash("first", "a", 0, 100));
    auto answered = crash("second", "b", 0, 200);
    answered.digest = RequestDigest("answered");
    ledger.recordCrash(answered);
    ledger.recordAnswer(answered.digest, at(300));
    ledger.forget(at(100'000));
    cr_assert_eq(ledger.size(), 1);
    for (const auto selection : {CrashRecords::All, CrashRecords::Own}) {
        std::int64_t position = 0;
        for (int reply = 0; reply < 2; ++reply) {
            position = ledger.positionAfter(position, selection, 1);
        }
        cr_assert_eq(position, ledger.position(selection));
    }
}
