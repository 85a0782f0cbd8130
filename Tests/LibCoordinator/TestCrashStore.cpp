/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the crash records that a coordinator stores. They guard against sending a
// quarantined request to backend servers again after all processes lost power.

#include <LibCoordinator/CrashStore.h>
#include <Support/FakeFolder.h>

#include <criterion/criterion.h>

using Fleet::CrashLedger;
using Fleet::RequestDigest;
using Fleet::RequestStanding;

namespace
{

const RequestDigest digest("request");
const Core::WallTime writtenAt{1'700'000'000'000};

Core::Instant at(int milliseconds)
{
    return Core::Instant(Core::seconds(10'000) + Core::milliseconds(milliseconds));
}

/** A ledger with one quarantined request and one that is not even a suspect. */
void fill(CrashLedger &ledger)
{
    for (int round = 0; round < 3; ++round) {
        const auto name = std::to_string(round);
        ledger.recordCrash({.digest = digest, .attempt = name, .backend = name, .startedAt = at(1000 * round), .crashedAt = at(1000 * round + 100)});
    }
    ledger.recordCrash({.digest = RequestDigest("other"), .attempt = "other", .backend = "other", .startedAt = at(0), .crashedAt = at(100)});
}

}

Test(CrashStore, restoresSuspectsAfterALossOfPower)
{
    TestSupport::FakeFolder folder;
    std::mt19937_64 random(1);
    CrashLedger ledger;
    Coordinator::CrashStore store;
    fill(ledger);
    cr_assert(store.hasUnwritten(ledger));
    cr_assert(store.write(folder, ledger, at(3000), writtenAt).has_value());
    cr_assert(!store.hasUnwritten(ledger));
    folder.crash(random);

    CrashLedger restored;
    Coordinator::CrashStore().load(folder, restored, Core::Instant(Core::seconds(50)), writtenAt + Core::seconds(20));
    cr_assert_eq(restored.size(), 1);
    const auto verdict = restored.verdictOf(digest, Core::Instant(Core::seconds(50)));
    cr_assert(verdict.standing == RequestStanding::Quarantined);
    cr_assert_eq(verdict.rounds, 3);
    // The time during which the machine was down counts for the quarantine.
    const auto left = verdict.quarantinedUntil - Core::Instant(Core::seconds(50));
    cr_assert_lt(left.count(), Core::Duration(Core::seconds(30 * 60 - 20)).count());
}

Test(CrashStore, startsEmptyWithoutAReadableFile)
{
    TestSupport::FakeFolder folder;
    CrashLedger ledger;
    Coordinator::CrashStore store;
    store.load(folder, ledger, at(0), writtenAt);
    cr_assert_eq(ledger.size(), 0);
    cr_assert(folder.replace("crashes", "no records at all").has_value());
    store.load(folder, ledger, at(0), writtenAt);
    cr_assert_eq(ledger.size(), 0);
}
