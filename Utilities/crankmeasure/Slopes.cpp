/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "Slopes.h"

#include <LibControl/ConfigurationDelta.h>
#include <LibControl/ConfigurationRules.h>
#include <LibControl/ControlState.h>
#include <LibCoordinator/DeclarationLog.h>
#include <LibCore/Identity.h>
#include <LibEntry/QueryService.h>
#include <LibFleet/CrashLedger.h>
#include <LibRpc/Serialization.h>
#include <Support/EntryFixture.h>

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fmt/core.h>
#include <malloc.h>
#include <random>

namespace Measure
{

namespace
{

/** Measures processor time and heap growth of the process since its construction. */
class Meter
{
public:
    [[nodiscard]] double microseconds() const
    {
        return processorMicroseconds() - this->startedAt;
    }

    [[nodiscard]] double bytes() const
    {
        return heapBytes() - this->heapBefore;
    }

private:
    static double processorMicroseconds()
    {
        timespec time{};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
    }

    static double heapBytes()
    {
        const auto information = mallinfo2();
        return static_cast<double>(information.uordblks + information.hblkhd);
    }

    double startedAt{processorMicroseconds()};
    double heapBefore{heapBytes()};
};

/** Answers every attempt in the next run of the timers. */
class InstantTransport final : public Entry::BackendTransport
{
public:
    explicit InstantTransport(Core::TimerService &timers) : timers(timers)
    {
    }

    void send(const Entry::AttemptRequest &, ResultHook done) override
    {
        this->waiting.push_back(std::move(done));
        if (!this->timer.isActive()) {
            this->timer = this->timers.once(Core::Duration(0), [this](Core::Instant) {
                this->answerAll();
            });
        }
    }

    void cancel(const Core::AttemptId &) override
    {
    }

private:
    void answerAll()
    {
        for (const auto &done : std::exchange(this->waiting, {})) {
            Entry::AttemptResult result;
            result.status = Entry::AttemptStatus::Answered;
            result.document = {{"hits", nlohmann::json::array({{{"id", "document"}, {"score", 1.0}}})}};
            done(std::move(result));
        }
    }

    Core::TimerService &timers;
    std::vector<ResultHook> waiting;
    Core::TimerSubscription timer;
};

}

static Protocol::Announcement makeAnnouncement(std::size_t number, std::int64_t sequence)
{
    constexpr std::size_t ReplicasPerService = 58;
    Protocol::Announcement announcement;
    announcement.serviceName = fmt::format("service-{:05}", number / ReplicasPerService);
    announcement.replicaName = fmt::format("replica-{:06}", number);
    announcement.incarnation = 1'790'000'000'000;
    announcement.sequence = sequence;
    announcement.address = "10.123.45.67";
    announcement.port = 20'000;
    announcement.zone = "zone-12";
    announcement.state = Protocol::BackendState::SERVING;
    announcement.slots = 2;
    announcement.connectionCap = 25;
    Protocol::SnapshotHolding holding;
    holding.version = 123'456;
    holding.shardMap = "0123456789abcdef";
    holding.shardCount = 29;
    holding.shard = static_cast<std::int32_t>(number % 29);
    announcement.snapshots = {holding};
    return announcement;
}

std::vector<Sample> measureRegistry(std::size_t replicas)
{
    const auto size = static_cast<double>(replicas);
    const Core::Instant now(Core::seconds(100));
    Entry::BackendTable table;
    const Meter memory;
    for (std::size_t number = 0; number < replicas; ++number) {
        table.announce(makeAnnouncement(number, 1), Core::Duration(0), now);
    }
    const double bytes = memory.bytes();
    std::vector<Protocol::Announcement> renewals;
    for (std::size_t number = 0; number < replicas; ++number) {
        renewals.push_back(makeAnnouncement(number, 2));
    }
    const Meter renewal;
    for (const auto &announcement : renewals) {
        table.announce(announcement, Core::Duration(0), now);
    }
    const double renewalTime = renewal.microseconds();
    Protocol::RelayRequest relay;
    for (const auto &announcement : renewals) {
        relay.announcements.emplace_back();
        relay.announcements.back().announcement = announcement;
    }
    const Meter encoding;
    const std::string encoded = Rpc::serialize(relay);
    const double encodingTime = encoding.microseconds();
    const Meter decoding;
    const auto decoded = Rpc::deserialize<Protocol::RelayRequest>(encoded);
    const double decodingTime = decoded.has_value() ? decoding.microseconds() : -1.0;
    return {{"registry_memory", "bytes", size, bytes},
        {"announcement_taken", "us", size, renewalTime},
        {"relay_message", "bytes", size, static_cast<double>(encoded.size())},
        {"relay_encoded", "us", size, encodingTime},
        {"relay_decoded", "us", size, decodingTime}};
}

std::vector<Sample> measureFanOut(std::int32_t shards)
{
    constexpr int Searches = 300;
    TestSupport::EntryFixture fixture({.shards = shards});
    // The fixture's own transport needs a test to answer each attempt, so InstantTransport replaces it.
    InstantTransport transport(fixture.time.timers());
    Entry::EntryState state({}, transport, fixture.time.timers());
    Protocol::FollowReply reply;
    reply.confirmed = true;
    reply.revision = 1;
    reply.leaseMilliseconds = 600'000;
    reply.__set_configuration(fixture.state.configuration.configuration());
    static_cast<void>(state.configuration.apply(reply, fixture.time.now()));
    for (const auto &backend : fixture.state.backends.rows()) {
        state.backends.announce(backend.announcement, Core::Duration(0), fixture.time.now());
    }
    Entry::QueryService service(state);
    int answered = 0;
    const Meter meter;
    for (int search = 0; search < Searches; ++search) {
        Entry::QueryCall call;
        call.service = TestSupport::EntryFixture::service();
        call.subject = "words";
        service.start(call, [&answered](const Entry::CallerAnswer &answer) {
            answered += answer.status == 200 ? 1 : 0;
        });
        fixture.time.advance(Core::milliseconds(1));
    }
    const double time = meter.microseconds();
    return {{"search_decided", "us", static_cast<double>(shards), answered == Searches ? time / Searches : -1.0}};
}

static Protocol::Configuration makeConfiguration(std::int32_t services)
{
    Protocol::Configuration configuration;
    Protocol::UrgencyClass urgencyClass;
    urgencyClass.name = "urgent";
    urgencyClass.deadlineMilliseconds = 320;
    configuration.classes.push_back(urgencyClass);
    for (std::int32_t number = 0; number < services; ++number) {
        Protocol::ServiceDeclaration service;
        service.name = fmt::format("service-{:05}", number);
        service.shards = 29;
        service.replicasPerShard = 2;
        service.slotsPerReplica = 2;
        service.connectionCapPerReplica = 25;
        service.urgencyClass = "urgent";
        configuration.services.push_back(service);
    }
    return configuration;
}

std::vector<Sample> measureConfiguration(std::int32_t services)
{
    constexpr int Repeats = 20;
    const auto size = static_cast<double>(services);
    const Meter memory;
    const auto before = makeConfiguration(services);
    const double bytes = memory.bytes();
    auto after = before;
    after.services[0].shards = 30;
    const Meter checking;
    std::size_t faults = 0;
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        faults += Control::findFaults(after).size();
    }
    const double checkingTime = checking.microseconds() / Repeats;
    const Meter applying;
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        const auto delta = Control::makeDelta(1, before, after);
        faults += Control::applyDelta(before, delta) == after ? 0 : 1;
    }
    const double applyingTime = applying.microseconds() / Repeats;
    return {{"configuration_memory", "bytes", size, bytes},
        {"configuration_message", "bytes", size, static_cast<double>(Rpc::serialize(before).size())},
        {"delta_message", "bytes", size, static_cast<double>(Rpc::serialize(Control::makeDelta(1, before, after)).size())},
        {"configuration_checked", "us", size, faults == 0 ? checkingTime : -1.0},
        {"delta_made_and_applied", "us", size, applyingTime}};
}

std::vector<Sample> measureClaims(std::size_t claims)
{
    const auto size = static_cast<double>(claims);
    std::vector<Protocol::Command> commands;
    for (std::size_t number = 0; number < claims; ++number) {
        Protocol::Command command;
        command.timeMilliseconds = 1'790'000'000'000;
        Protocol::ClaimRequest claim;
        claim.key = Core::makeUuidVersion7(Core::WallTime(1'790'000'000'000));
        claim.requestDigest = Core::sha256(claim.key);
        claim.entryName = "entry-1234";
        claim.attemptId = Core::randomToken();
        claim.executionLimitMilliseconds = 5000;
        command.__set_claim(claim);
        commands.push_back(std::move(command));
    }
    Control::ControlState state;
    const Meter meter;
    for (const auto &command : commands) {
        static_cast<void>(state.apply(command));
    }
    const double time = meter.microseconds();
    const double bytes = meter.bytes();
    const Meter snapshot;
    const std::string encoded = state.takeSnapshot();
    return {{"claims_memory", "bytes", size, bytes},
        {"claims_applied", "us", size, time},
        {"claim_command", "bytes", 1.0, static_cast<double>(Rpc::serialize(commands.front()).size())},
        {"claims_snapshot", "bytes", size, static_cast<double>(encoded.size())},
        {"claims_snapshot_taken", "us", size, snapshot.microseconds()}};
}

std::vector<Sample> measureCrashRecords(std::size_t records)
{
    const auto size = static_cast<double>(records);
    const auto now = Core::Instant(Core::seconds(1000));
    Fleet::CrashLedger reporter({.maximumRecords = records});
    for (std::size_t number = 0; number < records; ++number) {
        for (int round = 0; round < 3; ++round) {
            reporter.recordCrash({.digest = Fleet::RequestDigest(Core::sha256(std::to_string(number)).substr(0, 32)),
                .attempt = Core::randomToken().substr(0, 16),
                .backend = "i-0123456789/1790000000000",
                .startedAt = now + round * Core::seconds(2),
                .crashedAt = now + round * Core::seconds(2) + Core::milliseconds(100)});
        }
    }
    Protocol::WatchReply reply;
    reply.crashes = reporter.changedSince(0, Fleet::CrashRecords::Own, now);
    const auto encoded = Rpc::serialize(reply).size();
    const Meter meter;
    Fleet::CrashLedger receiver({.maximumRecords = records});
    for (const auto &record : reply.crashes) {
        receiver.merge(record, now);
    }
    const double time = meter.microseconds();
    const double bytes = meter.bytes();
    const Meter lookup;
    for (const auto &record : reply.crashes) {
        static_cast<void>(receiver.verdictOf(Fleet::RequestDigest(record.digest), now));
    }
    return {{"crash_records_memory", "bytes", size, bytes},
        {"crash_records_message", "bytes", size, static_cast<double>(encoded)},
        {"crash_records_merged", "us", size, time},
        {"crash_records_looked_up", "us", size, lookup.microseconds()}};
}

// The clock is the process's own, so the time until the declaration is applied includes the election of the only voter.
std::vector<Sample> measureLogReopening(std::int64_t declarations)
{
    static constexpr std::size_t DeclarationBytes = 1024 * 1024;
    const auto folder = std::filesystem::temp_directory_path() / ("crankmeasure-" + Core::randomToken().substr(0, 8));
    std::filesystem::create_directories(folder);
    Coordinator::DeclarationLogOptions options;
    options.dataFolder = folder;
    options.log.identity.name = "measured";
    options.log.entriesBetweenSnapshots = 2 * declarations;
    options.send = [](const Protocol::Member &, const Protocol::LogMessage &) {
    };
    Core::TimerService timers(Core::systemClock());
    const auto runUntil = [&timers](const std::function<bool()> &condition) {
        while (!condition()) {
            timers.runDue();
        }
    };
    // Random bytes, since the log compresses declarations.
    std::mt19937_64 random(1);
    std::string content(DeclarationBytes, ' ');
    {
        const auto log = Coordinator::DeclarationLog::create(options, timers).value();
        Protocol::Membership membership;
        membership.members.push_back(log->log()->identity());
        membership.members.front().voter = true;
        (void)log->log()->bootstrap(membership);
        runUntil([&log] {
            return log->isLeader();
        });
        for (std::int64_t version = 1; version <= declarations; ++version) {
            std::generate(content.begin(), content.end(), [&random] {
                return static_cast<char>(random());
            });
            bool ended = false;
            log->propose(version, content, [&ended](Coordinator::ProposalEnd) {
                ended = true;
            });
            runUntil([&ended] {
                return ended;
            });
        }
    }
    std::uintmax_t bytes = 0;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        bytes += file.file_size();
    }
    const auto began = timers.now();
    const auto reopened = Coordinator::DeclarationLog::create(options, timers).value();
    const auto opened = timers.now();
    runUntil([&reopened, declarations] {
        return reopened->version() == declarations;
    });
    const auto applied = timers.now();
    std::filesystem::remove_all(folder);
    const auto size = static_cast<double>(bytes);
    return {{"log_reopened", "ms", size, Core::toFractionalMilliseconds(opened - began)},
        {"log_applied", "ms", size, Core::toFractionalMilliseconds(applied - began)}};
}

}
