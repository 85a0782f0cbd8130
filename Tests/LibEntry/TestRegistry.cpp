#include <LibCore/Identity.h>
#include <LibCore/LatencyDigest.h>
#include <LibEntry/ActiveConfiguration.h>
#include <LibEntry/Admission.h>
#include <LibEntry/Announcement.h>
#include <LibEntry/RegistryRefresher.h>
#include <Support/EntryFixture.h>

#include <criterion/criterion.h>

using Entry::AnnounceOutcome;
using Entry::BackendId;
using TestSupport::EntryFixture;

static const Entry::Backend &firstRow(EntryFixture &fixture)
{
    return fixture.state.backends.row(BackendId(0));
}

static bool firstIsUsable(EntryFixture &fixture)
{
    return fixture.state.backends.isUsable(firstRow(fixture), fixture.time.now());
}

// ---- Registry

Test(BackendTable, sendsNothingNewAfterTheLeaseWithoutAnyWord)
{
    EntryFixture fixture;
    cr_expect(firstIsUsable(fixture));
    fixture.advance(Core::milliseconds(2999));
    cr_expect(firstIsUsable(fixture));
    fixture.advance(Core::milliseconds(1));
    cr_expect(!firstIsUsable(fixture));
}

Test(BackendTable, neverBringsALeaverBackByAnOldAnnouncement)
{
    EntryFixture fixture;
    auto early = fixture.announcement(0, 0, 1, "map-1");
    auto leaving = fixture.announcement(0, 0, 1, "map-1");
    leaving.state = Protocol::BackendState::DRAINING;
    fixture.announce(leaving);
    cr_expect(!firstIsUsable(fixture));
    cr_expect_eq(static_cast<int>(fixture.state.backends.announce(early, Core::Duration(0), fixture.time.now())), static_cast<int>(AnnounceOutcome::Outdated));
    // Even a newer word of the same incarnation does not undo that it leaves.
    fixture.announce(fixture.announcement(0, 0, 1, "map-1"));
    cr_expect(!firstIsUsable(fixture));
    auto restarted = fixture.announcement(0, 0, 1, "map-1");
    restarted.incarnation = 2;
    fixture.announce(restarted);
    cr_expect(firstIsUsable(fixture));
}

Test(BackendTable, takesTheBackendServersOwnRefusalForLeaving)
{
    EntryFixture fixture;
    fixture.state.backends.markLeaving(BackendId(0), 1);
    cr_expect(!firstIsUsable(fixture));
    fixture.state.backends.recordReply(BackendId(0), 1, fixture.time.now());
    cr_expect(!firstIsUsable(fixture), "a late reply is no sign of staying");
}

Test(BackendTable, keepsWhoAnswersAlthoughAnnouncementsAreLost)
{
    EntryFixture fixture;
    for (int second = 0; second < 20; ++second) {
        fixture.advance(Core::seconds(1));
        fixture.state.backends.recordReply(BackendId(0), 1, fixture.time.now());
    }
    cr_expect(firstIsUsable(fixture));
    fixture.state.backends.recordReply(BackendId(1), 7, fixture.time.now());
    cr_expect(!fixture.state.backends.isUsable(fixture.state.backends.row(BackendId(1)), fixture.time.now()), "a reply of another incarnation proves nothing");
}

Test(BackendTable, takesNothingFromAnAnnouncementOlderThanALease)
{
    EntryFixture fixture;
    fixture.advance(Core::seconds(10));
    const auto late = fixture.announcement(0, 0, 1, "map-1");
    cr_expect_eq(static_cast<int>(fixture.state.backends.announce(late, Core::seconds(3), fixture.time.now())), static_cast<int>(AnnounceOutcome::Expired));
    cr_expect(!firstIsUsable(fixture));
}

Test(BackendTable, leavesANameWithItsLivingHolder)
{
    EntryFixture fixture;
    fixture.state.backends.recordReply(BackendId(0), 1, fixture.time.now());
    auto thief = fixture.announcement(0, 0, 1, "map-1");
    thief.incarnation = 99;
    thief.port = 6666;
    cr_expect_eq(static_cast<int>(fixture.state.backends.announce(thief, Core::Duration(0), fixture.time.now())), static_cast<int>(AnnounceOutcome::NameTaken));
    cr_expect_neq(firstRow(fixture).announcement.port, 6666);
    fixture.advance(Core::seconds(4));
    cr_expect_eq(static_cast<int>(fixture.state.backends.announce(thief, Core::Duration(0), fixture.time.now())), static_cast<int>(AnnounceOutcome::Accepted));
}

Test(RegistryRefresher, asksSilentBackendServersDirectly)
{
    EntryFixture fixture;
    std::vector<Entry::RegistryRefresher::AnswerHook> asked;
    Entry::RegistryRefresher refresher(
        {},
        fixture.state.backends,
        [&asked](const Core::Endpoint &, Entry::RegistryRefresher::AnswerHook done) {
            asked.push_back(std::move(done));
        },
        fixture.time.timers());
    fixture.advance(Core::milliseconds(1000));
    cr_expect(asked.empty(), "nobody is asked while announcements are fresh");
    fixture.advance(Core::milliseconds(1500));
    cr_assert_eq(asked.size(), 8U, "%zu", asked.size());
    const auto wrongName = fixture.announcement(3, 1, 1, "map-1");
    asked[0](wrongName);
    asked[1](fixture.announcement(0, 1, 1, "map-1"));
    fixture.advance(Core::milliseconds(1000));
    cr_expect(!firstIsUsable(fixture), "an answer under another name renews nothing");
    cr_expect(fixture.state.backends.isUsable(fixture.state.backends.row(BackendId(1)), fixture.time.now()));
}

// ---- Announcements from outside

Test(Announcement, survivesTheWayThroughJson)
{
    EntryFixture fixture;
    const auto announcement = fixture.announcement(2, 1, 7, "map-1");
    const auto read = Entry::announcementFromJson(Entry::announcementToJson(announcement));
    cr_assert(read.has_value());
    cr_expect(read.value() == announcement);
}

Test(Announcement, refusesEveryMissingOrSpoiltMember)
{
    EntryFixture fixture;
    const auto good = Entry::announcementToJson(fixture.announcement(2, 1, 7, "map-1"));
    for (const auto &member : good.items()) {
        auto missing = good;
        missing.erase(member.key());
        cr_expect(!Entry::announcementFromJson(missing).has_value(), "without %s", member.key().c_str());
        for (const auto &spoilt :
            {nlohmann::json(), nlohmann::json(-1), nlohmann::json(1e300), nlohmann::json("x\ny"), nlohmann::json::array({1}), nlohmann::json::object()}) {
            auto changed = good;
            changed[member.key()] = spoilt;
            const auto read = Entry::announcementFromJson(changed);
            const bool stillText = spoilt.is_string() && (member.key() == "service" || member.key() == "replica" || member.key() == "zone");
            cr_expect_eq(read.has_value(), stillText, "%s = %s", member.key().c_str(), spoilt.dump().c_str());
        }
    }
}

// ---- Snapshots

Test(SnapshotChooser, staysOnTheOldVersionUntilTheNewOneCoversEveryShard)
{
    EntryFixture fixture;
    const auto chosen = [&fixture] {
        return fixture.state.snapshots.choose(EntryFixture::service(), fixture.state.backends, fixture.time.now());
    };
    cr_expect_eq(chosen()->key.version, 1);
    for (std::int32_t shard = 0; shard < 4; ++shard) {
        for (std::int32_t replica = 0; replica < 2; ++replica) {
            const bool last = shard == 3 && replica == 1;
            auto both = fixture.announcement(shard, replica, 1, "map-1");
            auto newer = both.snapshots[0];
            newer.version = 2;
            both.snapshots.push_back(newer);
            fixture.announce(both);
            const bool headroom = shard * 2 + replica + 1 >= 6 && shard == 3;
            cr_expect_eq(chosen()->key.version, headroom ? 2 : 1, "shard %d replica %d", shard, replica);
            cr_expect(!last || chosen()->key.version == 2);
        }
    }
}

Test(SnapshotChooser, takesACoverableVersionWithoutHeadroomAfterSomePatience)
{
    EntryFixture fixture;
    const auto version = [&fixture] {
        return fixture.state.snapshots.choose(EntryFixture::service(), fixture.state.backends, fixture.time.now())->key.version;
    };
    cr_expect_eq(version(), 1);
    for (int second = 0; second < 12; ++second) {
        fixture.announceAll(1, "map-1");
        for (std::int32_t shard = 0; shard < 4; ++shard) {
            auto both = fixture.announcement(shard, 0, 1, "map-1");
            auto newer = both.snapshots[0];
            newer.version = 2;
            both.snapshots.push_back(newer);
            fixture.announce(both);
        }
        cr_expect_eq(version(), second < 10 ? 1 : 2, "after %d s", second);
        fixture.advance(Core::seconds(1));
    }
}

Test(SnapshotChooser, neverMixesTwoMapsOfOneVersion)
{
    EntryFixture fixture;
    for (std::int32_t shard = 0; shard < 4; ++shard) {
        fixture.announce(fixture.announcement(shard, 1, 1, "map-2"));
    }
    const auto view = fixture.state.snapshots.choose(EntryFixture::service(), fixture.state.backends, fixture.time.now());
    for (const auto &replicas : view->replicas) {
        cr_expect_eq(replicas.size(), 1U);
    }
    cr_expect_eq(fixture.state.snapshots.conflictingVersions(EntryFixture::service()).size(), 1U);
}

Test(SnapshotChooser, honoursTheSnapshotThatACallerHasSeen)
{
    EntryFixture fixture;
    const auto choose = [&fixture](std::int64_t minimum) {
        return fixture.state.snapshots.choose(EntryFixture::service(), fixture.state.backends, fixture.time.now(), minimum);
    };
    cr_expect_eq(choose(1)->key.version, 1);
    cr_expect(choose(2) == nullptr);
}

// ---- Small parts

Test(LatencyDigest, findsQuantilesWithinABucket)
{
    Core::LatencyDigest digest;
    cr_expect_eq(digest.quantile(0.5, Core::milliseconds(7)).count(), 7000, "the fallback, while too little is known");
    for (int value = 1; value <= 1000; ++value) {
        digest.add(Core::Duration(value * 100));
    }
    const auto median = digest.quantile(0.5, Core::Duration(0)).count();
    cr_expect(median >= 50'000 && median <= 56'000, "%ld", median);
    digest.decay(Core::Instant(Core::seconds(5000)));
    cr_expect_lt(digest.count(), 10.0);
}

Test(Admission, refusesWhatCannotBeInTimeAndLetsUrgentOnesPass)
{
    Entry::Admission admission;
    const auto service = EntryFixture::service();
    Entry::AdmissionView view{.parallelRequests = 4.0, .typicalLatency = Core::milliseconds(50), .deadline = Core::milliseconds(300), .priority = 3};
    for (int count = 0; count < 40; ++count) {
        admission.entered(service, 3);
    }
    cr_expect(admission.refuse(service, view).has_value());
    view.priority = 0;
    cr_expect(!admission.refuse(service, view).has_value(), "the less urgent do not stand in the way");
    for (int count = 0; count < 40; ++count) {
        admission.left(service, 3);
    }
    view.priority = 3;
    cr_expect(!admission.refuse(service, view).has_value());
}

static Protocol::FollowReply makeReply(std::int64_t revision, bool withConfiguration)
{
    Protocol::FollowReply reply;
    reply.confirmed = true;
    reply.revision = revision;
    reply.leaseMilliseconds = 5000;
    if (withConfiguration) {
        reply.__set_configuration(Protocol::Configuration());
    }
    return reply;
}

Test(ActiveConfiguration, countsTheLeaseFromTheQuestionAndNeverGoesBack)
{
    Entry::ActiveConfiguration activeConfiguration;
    const Core::Instant asked(Core::seconds(10));
    cr_expect(!activeConfiguration.isFresh(asked), "a fresh process serves nothing");
    auto unconfirmed = makeReply(3, true);
    unconfirmed.confirmed = false;
    cr_expect(!activeConfiguration.take(unconfirmed, asked));
    cr_expect(activeConfiguration.take(makeReply(3, true), asked));
    cr_expect(activeConfiguration.isFresh(asked + Core::milliseconds(4999)));
    cr_expect(!activeConfiguration.isFresh(asked + Core::milliseconds(5000)));
    cr_expect(!activeConfiguration.take(makeReply(2, true), asked + Core::seconds(100)), "an older revision");
    cr_expect(!activeConfiguration.isFresh(asked + Core::seconds(100)), "which renews nothing either");
    cr_expect(!activeConfiguration.take(makeReply(4, false), asked), "a newer revision without its content");
    auto delta = makeReply(4, false);
    delta.__set_delta(Protocol::ConfigurationDelta());
    delta.delta.fromRevision = 2;
    cr_expect(!activeConfiguration.take(delta, asked), "a delta from another revision");
    delta.delta.fromRevision = 3;
    cr_expect(activeConfiguration.take(delta, asked));
    cr_expect_eq(activeConfiguration.revision().value(), 4);
}
