// Tests of the control state (configuration changes and claims), of configuration deltas and of the repair policy.

#include <LibControl/ConfigurationDelta.h>
#include <LibControl/ConfigurationRules.h>
#include <LibControl/ControlState.h>
#include <LibControl/RepairPolicy.h>
#include <LibCore/Identity.h>

#include <criterion/criterion.h>

using Control::ControlState;

static constexpr std::int64_t Start = 1'790'000'000'000;

static Protocol::Configuration makeConfiguration(std::int32_t shards)
{
    Protocol::Configuration configuration;
    Protocol::UrgencyClass urgent;
    urgent.name = "urgent";
    urgent.deadlineMilliseconds = 300;
    configuration.classes.push_back(urgent);
    Protocol::ServiceDeclaration service;
    service.name = "catalogue";
    service.shards = shards;
    service.replicasPerShard = 2;
    service.slotsPerReplica = 2;
    service.connectionCapPerReplica = 25;
    service.urgencyClass = "urgent";
    configuration.services.push_back(service);
    return configuration;
}

static Protocol::ApplyOutcome apply(ControlState &state, const std::string &id, std::int64_t base, const Protocol::Configuration &configuration)
{
    Protocol::ConfigurationChange change;
    change.changeId = id;
    change.baseRevision = base;
    change.configuration = configuration;
    change.contentDigest = Control::contentDigest(configuration);
    Protocol::Command command;
    command.timeMilliseconds = Start;
    command.__set_change(change);
    return state.apply(command).change;
}

static Protocol::ClaimStatus::type claim(
    ControlState &state, const std::string &key, const std::string &attempt, std::int64_t time = Start, const std::string &digest = "digest")
{
    Protocol::ClaimRequest request;
    request.key = key;
    request.attemptId = attempt;
    request.requestDigest = digest;
    request.executionLimitMilliseconds = 1000;
    Protocol::Command command;
    command.timeMilliseconds = time;
    command.__set_claim(request);
    return state.apply(command).claim.status;
}

static Protocol::SettleStatus::type settle(ControlState &state, const std::string &key, const std::string &attempt, bool ran)
{
    Protocol::SettleRequest request;
    request.key = key;
    request.attemptId = attempt;
    if (ran) {
        Protocol::ActionOutcome outcome;
        outcome.statusCode = 200;
        request.__set_outcome(outcome);
    }
    Protocol::Command command;
    command.timeMilliseconds = Start;
    command.__set_settle(request);
    return state.apply(command).settle.status;
}

static std::string keyAt(std::int64_t time)
{
    return Core::makeUuidVersion7(Core::WallTime(time));
}

// ---- Configuration

Test(ControlState, acceptsOnlyOneOfTwoChangesWithTheSameBaseRevision)
{
    ControlState state;
    cr_expect_eq(apply(state, "first", 0, makeConfiguration(8)).status, Protocol::ApplyStatus::ACCEPTED);
    const auto second = apply(state, "second", 0, makeConfiguration(9));
    cr_expect_eq(second.status, Protocol::ApplyStatus::CONFLICT);
    cr_expect_eq(second.revision, 1);
    cr_expect(!second.differences.empty(), "a conflict lists the differences");
}

Test(ControlState, repeatsTheFirstOutcomeForAResentChange)
{
    ControlState state;
    cr_expect_eq(apply(state, "first", 0, makeConfiguration(8)).revision, 1);
    cr_expect_eq(apply(state, "later", 1, makeConfiguration(9)).revision, 2);
    const auto resent = apply(state, "first", 0, makeConfiguration(8));
    cr_expect_eq(resent.status, Protocol::ApplyStatus::ACCEPTED);
    cr_expect_eq(resent.revision, 1);
    cr_expect_eq(state.revision(), 2);
    cr_expect_eq(apply(state, "first", 0, makeConfiguration(7)).status, Protocol::ApplyStatus::CHANGE_ID_REUSED);
}

Test(ControlState, reportsAllFaultsAndAppliesNothing)
{
    ControlState state;
    auto faulty = makeConfiguration(0);
    faulty.services[0].connectionCapPerReplica = 3;
    faulty.services[0].urgencyClass = "nobody";
    faulty.classes[0].minimumCoverage = 0.5;
    const auto outcome = apply(state, "faulty", 0, faulty);
    cr_expect_eq(outcome.status, Protocol::ApplyStatus::INVALID);
    cr_expect_eq(outcome.faults.size(), 4U);
    cr_expect_eq(state.revision(), 0);
}

Test(ControlState, rollbackCreatesANewRevision)
{
    ControlState state;
    static_cast<void>(apply(state, "first", 0, makeConfiguration(8)));
    static_cast<void>(apply(state, "second", 1, makeConfiguration(9)));
    Protocol::ConfigurationChange change;
    change.changeId = "back";
    change.baseRevision = 2;
    change.__set_rollbackTo(1);
    Protocol::Command command;
    command.__set_change(change);
    cr_expect_eq(state.apply(command).change.status, Protocol::ApplyStatus::ACCEPTED);
    cr_expect_eq(state.revision(), 3);
    cr_expect_eq(state.configuration().services[0].shards, 8);
}

Test(ControlState, snapshotPreservesStateAfterHundredsOfChanges)
{
    ControlState state;
    for (std::int32_t revision = 0; revision < 700; ++revision) {
        cr_assert_eq(apply(state, "change-" + std::to_string(revision), revision, makeConfiguration(revision + 1)).status, Protocol::ApplyStatus::ACCEPTED);
    }
    ControlState restored;
    cr_assert(restored.restoreSnapshot(state.takeSnapshot()).has_value());
    cr_expect_eq(restored.revision(), 700);
    cr_expect_eq(restored.configuration().services[0].shards, 700);
    cr_expect_eq(apply(restored, "change-5", 5, makeConfiguration(6)).revision, 6, "an old change that is sent again still gets its first outcome");
    cr_expect(restored.configurationAt(690) != nullptr);
    cr_expect(restored.configurationAt(5) == nullptr, "old configurations are discarded");
}

Test(ControlState, rejectsInvalidSnapshotBytes)
{
    ControlState state;
    cr_expect(!state.restoreSnapshot("no snapshot at all").has_value());
}

Test(ConfigurationDelta, appliedDeltaYieldsTheTargetConfiguration)
{
    auto before = makeConfiguration(8);
    auto after = makeConfiguration(9);
    after.maximumEntryInstances = 12;
    after.services.push_back(after.services[0]);
    after.services.back().name = "ledger";
    auto removed = before.services[0];
    removed.name = "old";
    before.services.push_back(removed);
    const auto delta = Control::makeDelta(1, before, after);
    cr_expect_eq(delta.removedServices.size(), 1U);
    cr_expect(Control::applyDelta(before, delta) == after);
    cr_expect(Control::makeDelta(2, after, after).changedServices.empty());
}

// ---- Claims

Test(ControlState, grantsAKeyToOneAttemptOnly)
{
    ControlState state;
    const std::string key = keyAt(Start);
    cr_expect_eq(claim(state, key, "one"), Protocol::ClaimStatus::GRANTED);
    cr_expect_eq(claim(state, key, "one"), Protocol::ClaimStatus::GRANTED, "the attempt that holds the claim gets the same reply again");
    cr_expect_eq(claim(state, key, "two"), Protocol::ClaimStatus::IN_PROGRESS);
    cr_expect_eq(claim(state, key, "two", Start, "other digest"), Protocol::ClaimStatus::KEY_REUSED);
    cr_expect_eq(claim(state, key, "two", Start + 1001), Protocol::ClaimStatus::OUTCOME_UNKNOWN);
    cr_expect_eq(settle(state, key, "one", true), Protocol::SettleStatus::SETTLED);
    cr_expect_eq(claim(state, key, "two", Start + 2000), Protocol::ClaimStatus::COMPLETED, "a late outcome still counts");
}

Test(ControlState, releasesAClaimOnlyForTheAttemptThatHoldsIt)
{
    ControlState state;
    const std::string key = keyAt(Start);
    cr_expect_eq(claim(state, key, "one"), Protocol::ClaimStatus::GRANTED);
    cr_expect_eq(settle(state, key, "two", false), Protocol::SettleStatus::NO_SUCH_CLAIM);
    cr_expect_eq(claim(state, key, "two"), Protocol::ClaimStatus::IN_PROGRESS);
    cr_expect_eq(settle(state, key, "one", false), Protocol::SettleStatus::SETTLED);
    cr_expect_eq(claim(state, key, "two"), Protocol::ClaimStatus::GRANTED);
    cr_expect_eq(settle(state, key, "one", true), Protocol::SettleStatus::NO_SUCH_CLAIM, "the first attempt no longer holds the claim");
}

Test(ControlState, keepsARecordedOutcome)
{
    ControlState state;
    const std::string key = keyAt(Start);
    static_cast<void>(claim(state, key, "one"));
    static_cast<void>(settle(state, key, "one", true));
    static_cast<void>(settle(state, key, "one", false));
    cr_expect_eq(claim(state, key, "two"), Protocol::ClaimStatus::COMPLETED);
}

Test(ControlState, expiresARecordOnlyWhenItsKeyIsRejected)
{
    ControlState state({.claimHorizon = std::chrono::seconds(100)});
    const std::string key = keyAt(Start);
    cr_expect_eq(claim(state, key, "one"), Protocol::ClaimStatus::GRANTED);
    cr_expect_eq(claim(state, key, "two", Start + 100'000), Protocol::ClaimStatus::OUTCOME_UNKNOWN);
    cr_expect_eq(claim(state, key, "two", Start + 100'001), Protocol::ClaimStatus::KEY_EXPIRED);
    cr_expect_eq(state.claimCount(), 0U);
    cr_expect_eq(claim(state, key, "two", Start), Protocol::ClaimStatus::KEY_EXPIRED, "the log's time never decreases");
    cr_expect_eq(claim(state, keyAt(Start + 600'000), "one", Start), Protocol::ClaimStatus::KEY_FROM_FUTURE);
    cr_expect_eq(claim(state, "no key", "one", Start), Protocol::ClaimStatus::KEY_EXPIRED);
}

// ---- Repair

namespace
{
/** One row of the repair table. */
struct RepairCase {
    const char *name;
    /** Names of the members, one letter each: upper case for voters, lower case for standbys, "z" for one whose log is behind. */
    const char *members;
    /** Names of the members that the leader has received nothing from for 100 s. */
    const char *silent;
    /** The expected change: + promotes, - removes, empty for no change. */
    const char *expected;
};
}

static Control::RepairView makeView(const RepairCase &row)
{
    Control::RepairView view;
    view.leaderName = "A";
    view.commitIndex = 10;
    for (const char *name = row.members; *name != '\0'; ++name) {
        Protocol::Member member;
        member.name = std::string(1, *name);
        member.voter = *name <= 'Z';
        view.membership.members.push_back(member);
    }
    view.matchIndexOf = [](const std::string &name) {
        return name == "z" ? 3 : 10;
    };
    view.timeSinceContact = [silent = std::string(row.silent)](const std::string &name) -> Core::Duration {
        return silent.find(name) != std::string::npos ? Core::seconds(100) : Core::milliseconds(50);
    };
    return view;
}

Test(RepairPolicy, promotesAStandbyBeforeItRemovesTheLostVoter)
{
    const RepairCase table[] = {
        {"all members reachable", "ABCd", "", ""},
        {"voter lost, standby available", "ABCd", "C", "+d"},
        {"standby promoted, lost voter not removed yet", "ABCD", "C", "-C"},
        {"no standby", "ABC", "C", ""},
        {"standby silent", "ABCd", "Cd", ""},
        {"standby behind", "ABCz", "C", ""},
        {"silent standby is not replaced", "ABCd", "d", ""},
    };
    for (const auto &row : table) {
        const auto change = Control::chooseRepair(makeView(row), {});
        std::string chosen;
        if (change.has_value()) {
            chosen = (change->kind == Protocol::MemberChangeKind::PROMOTE ? "+" : "-") + change->member.name;
        }
        cr_expect_eq(chosen, row.expected, "%s: %s", row.name, chosen.c_str());
    }
}
