/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Seeded randomized runs of the control code on a fake network, disk and clock. The invariants are checked after every step. Each failure
// message names the seed.

#include <Support/FakeControlCluster.h>

#include <LibCore/Identity.h>
#include <LibEntry/ActiveConfiguration.h>

#include <criterion/criterion.h>
#include <cstdlib>
#include <map>

using TestSupport::FakeControlCluster;

namespace
{

constexpr std::size_t Voters = 3;
constexpr std::size_t Instances = 4;
constexpr std::size_t Entries = 3;
constexpr int Keys = 12;

/** The configuration as one entry instance knows it. */
struct EntryView {
    Entry::ActiveConfiguration activeConfiguration;
    Core::Revision highestRevision{0};
};

/** The history of one idempotency key over all attempts. */
struct KeyHistory {
    std::string key;
    int executions{0};
    std::string runningAttempt;
    bool outcomeAnswered{false};
};

/** Runs a cluster with client requests and faults, and checks the invariants that clients rely on. */
class SimulationRun
{
public:
    explicit SimulationRun(std::uint64_t seed) : seed(seed), cluster(Instances, seed, options()), entries(Entries)
    {
        this->cluster.bootstrap(Voters);
        for (int index = 0; index < Keys; ++index) {
            this->keys.push_back(KeyHistory{.key = Core::makeUuidVersion7(this->cluster.time.clock().wallTime())});
        }
    }

    void execute(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            this->injectFault();
            this->sendClientRequest();
            this->cluster.run(Core::milliseconds(10 + this->cluster.random() % 60));
            this->checkStates();
            this->checkFreshness();
        }
        this->checkRecovery();
    }

private:
    static Control::ControlNodeOptions options()
    {
        Control::ControlNodeOptions base;
        base.log.heartbeatPeriod = Core::milliseconds(50);
        base.log.electionTimeout = Core::milliseconds(300);
        base.log.entriesBetweenSnapshots = 40;
        base.log.snapshotPieceBytes = 700;
        base.repair.replaceAfter = Core::seconds(3);
        base.configurationLease = Lease;
        return base;
    }

    std::size_t randomBelow(std::size_t count)
    {
        return this->cluster.random() % count;
    }

    // ---- Faults

    void injectFault()
    {
        const auto index = this->randomBelow(Instances);
        switch (this->randomBelow(24)) {
        case 0:
            this->cluster.crash(index);
            break;
        case 1:
        case 2:
        case 3:
            this->restartAll();
            break;
        case 4:
            this->cluster.pause(index);
            break;
        case 5:
        case 6:
            this->cluster.resume(index);
            break;
        case 7:
            this->cluster.partition({index});
            break;
        case 8:
            this->cluster.cutOneWay(index, this->randomBelow(Instances));
            break;
        case 9:
        case 10:
            this->cluster.heal();
            break;
        case 11:
            this->cluster.faults = {.lossPercent = 20.0, .duplicatePercent = 20.0, .longestDelay = Core::milliseconds(80)};
            break;
        case 12:
            this->cluster.faults = {};
            break;
        case 13:
            this->cluster.folder(index).failAfter(static_cast<int>(this->randomBelow(6)));
            break;
        case 14:
            this->crashIfFailed();
            break;
        default:
            break;
        }
    }

    void crashIfFailed()
    {
        for (std::size_t index = 0; index < Instances; ++index) {
            auto *node = this->cluster.node(index);
            if (node != nullptr && node->log().role() == Consensus::Role::Failed) {
                this->cluster.crash(index);
            }
        }
    }

    void restartAll()
    {
        for (std::size_t index = 0; index < Instances; ++index) {
            if (this->cluster.node(index) != nullptr) {
                continue;
            }
            const auto started = this->cluster.restart(index);
            const bool corrupt = !started.has_value() && started.error().kind == Core::ErrorKind::Corruption;
            cr_assert(!corrupt, "seed %lu: the state after a crash is taken for corruption: %s", this->seed, corrupt ? started.error().message.c_str() : "");
        }
    }

    // ---- Clients

    void sendClientRequest()
    {
        auto *node = this->cluster.node(this->randomBelow(Instances));
        if (node == nullptr) {
            return;
        }
        switch (this->randomBelow(4)) {
        case 0:
            this->submitChange(*node);
            break;
        case 1:
            this->follow(*node, this->entries[this->randomBelow(Entries)]);
            break;
        default:
            this->submitClaim(*node, this->keys[this->randomBelow(Keys)]);
            break;
        }
    }

    void submitChange(Control::ControlNode &node)
    {
        Protocol::ApplyRequest request;
        const bool resend = !this->sentChanges.empty() && this->randomBelow(3) == 0;
        if (resend) {
            request = this->sentChanges[this->randomBelow(this->sentChanges.size())];
        } else {
            request.changeId = "change-" + std::to_string(this->nextChange++);
            request.baseRevision = node.controlState().revision();
            request.configuration.maximumEntryInstances = static_cast<std::int32_t>(1 + this->randomBelow(1000));
            this->sentChanges.push_back(request);
        }
        node.applyChange(request, [this, request](const Protocol::ApplyOutcome &outcome) {
            if (outcome.status == Protocol::ApplyStatus::ACCEPTED) {
                this->recordAccepted(request, outcome.revision);
            }
        });
    }

    void recordAccepted(const Protocol::ApplyRequest &request, std::int64_t revision)
    {
        const auto [known, isNew] = this->accepted.try_emplace(revision, request);
        cr_assert_eq(known->second.changeId, request.changeId, "seed %lu: two changes were accepted as revision %ld", this->seed, revision);
        if (isNew) {
            this->acceptedAt[revision] = this->cluster.time.now();
        }
    }

    void follow(Control::ControlNode &node, EntryView &entry)
    {
        Protocol::FollowRequest request;
        request.entryName = "entry";
        request.revision = entry.activeConfiguration.revision().value();
        const Core::Instant sentAt = this->cluster.time.now();
        node.follow(request, [&entry, sentAt](const Protocol::FollowReply &reply) {
            static_cast<void>(entry.activeConfiguration.apply(reply, sentAt));
        });
    }

    void submitClaim(Control::ControlNode &node, KeyHistory &history)
    {
        Protocol::ClaimRequest request;
        request.key = history.key;
        request.requestDigest = "digest of " + history.key;
        request.attemptId = "attempt-" + std::to_string(this->nextAttempt++);
        request.executionLimitMilliseconds = 500;
        node.claim(request, [this, &history, request](const Protocol::ClaimReply &reply) {
            if (reply.status == Protocol::ClaimStatus::COMPLETED) {
                cr_assert_eq(history.executions, 1, "seed %lu: a completed key ran %d times", this->seed, history.executions);
            }
            if (reply.status == Protocol::ClaimStatus::GRANTED) {
                this->executeGrantedClaim(history, request);
            }
        });
    }

    // Acts as an entry instance whose claim was granted: runs the action, or releases the claim since the action did not run.
    void executeGrantedClaim(KeyHistory &history, const Protocol::ClaimRequest &request)
    {
        Protocol::SettleRequest settle;
        settle.key = request.key;
        settle.attemptId = request.attemptId;
        const auto behaviour = this->randomBelow(4);
        if (behaviour == 0) {
            this->settleOnAllNodes(settle);
            return;
        }
        ++history.executions;
        cr_assert_eq(history.executions, 1, "seed %lu: key %s ran twice", this->seed, history.key.c_str());
        if (behaviour == 1) {
            // The entry instance crashes before it can record the outcome.
            return;
        }
        Protocol::ActionOutcome outcome;
        outcome.statusCode = 200;
        settle.__set_outcome(outcome);
        this->settleOnAllNodes(settle);
    }

    void settleOnAllNodes(const Protocol::SettleRequest &settle)
    {
        for (std::size_t index = 0; index < Instances; ++index) {
            if (auto *node = this->cluster.node(index)) {
                node->settle(settle, [](const Protocol::SettleReply &) {
                });
            }
        }
    }

    // ---- Invariants

    // Two instances that have applied the same number of entries have the same state.
    void checkStates()
    {
        for (std::size_t index = 0; index < Instances; ++index) {
            auto *node = this->cluster.node(index);
            if (node == nullptr) {
                continue;
            }
            const std::string state = node->controlState().takeSnapshot();
            const auto [known, isNew] = this->stateAt.try_emplace(node->log().commitIndex(), state);
            cr_assert(known->second == state, "seed %lu: states differ at index %ld", this->seed, node->log().commitIndex());
        }
    }

    // An entry instance uses a revision at most one lease after a newer one was accepted, and its revision never decreases.
    void checkFreshness()
    {
        const Core::Instant now = this->cluster.time.now();
        for (auto &entry : this->entries) {
            cr_assert(entry.activeConfiguration.revision() >= entry.highestRevision, "seed %lu: a revision decreased", this->seed);
            entry.highestRevision = entry.activeConfiguration.revision();
            const auto next = this->acceptedAt.upper_bound(entry.activeConfiguration.revision().value());
            const bool superseded = next != this->acceptedAt.end() && now - next->second > Lease;
            cr_assert(!(superseded && entry.activeConfiguration.isFresh(now)), "seed %lu: a superseded revision is in use after its lease", this->seed);
        }
    }

    // After all faults have ended, the cluster has a leader, and its history holds all accepted changes.
    void checkRecovery()
    {
        this->cluster.heal();
        this->cluster.faults = {};
        for (std::size_t index = 0; index < Instances; ++index) {
            this->cluster.resume(index);
            this->cluster.folder(index).failNever();
        }
        this->crashIfFailed();
        this->restartAll();
        const auto leader = this->cluster.awaitLeader();
        cr_assert(leader.has_value(), "seed %lu: no leader after all faults have ended", this->seed);
        const auto history = this->cluster.node(leader.value())->history(100'000);
        std::map<std::int64_t, std::string> ids;
        for (const auto &entry : history) {
            ids[entry.revision] = entry.changeId;
        }
        for (const auto &[revision, request] : this->accepted) {
            cr_assert_eq(ids[revision], request.changeId, "seed %lu: accepted revision %ld is lost", this->seed, revision);
        }
        this->checkStates();
    }

    static constexpr std::chrono::milliseconds Lease{1500};

    std::uint64_t seed;
    FakeControlCluster cluster;
    std::vector<EntryView> entries;
    std::vector<KeyHistory> keys;
    std::vector<Protocol::ApplyRequest> sentChanges;
    std::map<std::int64_t, Protocol::ApplyRequest> accepted;
    std::map<std::int64_t, Core::Instant> acceptedAt;
    std::map<std::int64_t, std::string> stateAt;
    int nextChange{1};
    int nextAttempt{1};
};

}

static void runSeeds(std::uint64_t first, std::uint64_t last)
{
    // CRANKRUDDER_TEST_SEED=N runs seed N alone, to reproduce a failure.
    const char *selectedSeed = std::getenv("CRANKRUDDER_TEST_SEED");
    if (selectedSeed != nullptr) {
        SimulationRun(std::strtoull(selectedSeed, nullptr, 10)).execute(400);
        return;
    }
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        SimulationRun(seed).execute(400);
    }
}

Test(ControlRandomized, invariantsHoldForSeeds1To15)
{
    runSeeds(1, 15);
}

Test(ControlRandomized, invariantsHoldForSeeds16To30)
{
    runSeeds(16, 30);
}

Test(ControlRandomized, invariantsHoldForSeeds31To45)
{
    runSeeds(31, 45);
}

Test(ControlRandomized, invariantsHoldForSeeds46To60)
{
    runSeeds(46, 60);
}
