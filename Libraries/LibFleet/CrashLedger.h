/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Requests under which backend servers have crashed. A request that crashes every
// server that runs it would end all of them, since it is sent again by gateways, by
// its caller and whenever it comes back. Gateways report each crash to the
// coordinators, which collect the reports and share them with all gateways, so that
// such a request is quarantined wherever it is sent next. Does no I/O.
//
// K1. Only a crash that was verified counts, under a request that no backend server has
//     answered in the same attempt.
// K2. A request is a suspect after crashes of three backend servers or in two rounds. A
//     round is an attempt of the caller that began after the crashes of the round before,
//     so servers that end together are one round for each request that ran on them.
//     Gateways send a suspect to a single backend server first.
// K3. A request is quarantined after crashes of three backend servers in three rounds, and
//     for longer after each further round.
// K4. Any answer of a backend server that ran the request clears it of all crashes before.
// K5. Records are merged by union, so all processes that received the same reports agree,
//     whatever the order of the reports.

#pragma once

#include <LibCore/Time.h>
#include <LibFleet/RequestDigest.h>
#include <LibProtocol/Generated/fleet_types.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fleet
{

/** How gateways treat a request. */
enum class RequestStanding {
    Clear,
    /** Sent to a single backend server first, and further only once that has answered. */
    Suspect,
    /** Refused. */
    Quarantined,
};

/** Name of a standing in log lines. */
[[nodiscard]] const char *standingName(RequestStanding standing);

/** Thresholds and retention of a ledger. */
struct CrashLedgerOptions {
    std::size_t crashesUntilSuspect{3};
    std::size_t roundsUntilSuspect{2};
    std::size_t roundsUntilQuarantine{3};
    /** How long the first quarantine lasts. Each further round doubles it, up to the number of attempts that a record holds. */
    Core::Duration quarantine{Core::seconds(30 * 60)};
    /** How long a record without a quarantine is kept after its latest change. */
    Core::Duration retention{Core::seconds(6 * 3600)};
    /** How long the record of an answered request is kept, so that late reports of earlier crashes do not count. */
    Core::Duration answerRetention{Core::seconds(60)};
    /**
     * Times are sent as ages, so they differ between processes by the time that messages take. An attempt that seems to have begun this long before a crash
     * may have begun after it.
     */
    Core::Duration timeTolerance{Core::milliseconds(30)};
    /** When a new record exceeds this number, the least important ones are removed. Bounds the memory to about 1 KB for each record. */
    std::size_t maximumRecords{1024};
};

/** The crash of a backend server under a request. */
struct CrashReport {
    RequestDigest digest;
    /** Identifies the caller's attempt. */
    std::string attempt;
    /** Identifies the incarnation of the backend server. */
    std::string backend;
    /** When the attempt arrived at the gateway that reports the crash. */
    Core::Instant startedAt;
    Core::Instant crashedAt;
};

/** What is known of one request, for logs and metrics. */
struct RequestVerdict {
    RequestStanding standing{RequestStanding::Clear};
    /** Distinct backend servers that crashed, and rounds of crashes; see K2. */
    std::size_t crashes{0};
    std::size_t rounds{0};
    /** End of the quarantine. */
    Core::Instant quarantinedUntil;
};

/** Selects which records changedSince() returns. */
enum class CrashRecords {
    All,
    /** Records that gateways need: those of requests that are or were suspects. */
    Shared,
    /** Records that this process reported a crash or an answer for. */
    Own,
};

/** The records of one gateway or coordinator. */
class CrashLedger
{
public:
    explicit CrashLedger(CrashLedgerOptions options = {});

    /** Records a crash that this process observed. */
    void recordCrash(const CrashReport &report);
    /** Records that a backend server answered a request. Does nothing if no crash under it is known. */
    void recordAnswer(const RequestDigest &digest, Core::Instant now);
    /** Records an answer also if no crash under the request is known here: another gateway may be reporting one. */
    void recordAnswerDespiteCrash(const RequestDigest &digest, Core::Instant now);
    /** Merges the record of another process. */
    void merge(const Protocol::CrashRecord &record, Core::Instant now);

    [[nodiscard]] RequestVerdict verdictOf(const RequestDigest &digest, Core::Instant now) const;

    /** Returns the records that changed after a position, oldest change first, at most `maximum`. */
    [[nodiscard]] std::vector<Protocol::CrashRecord> changedSince(
        std::int64_t position, CrashRecords selection, Core::Instant now, std::size_t maximum = SIZE_MAX) const;
    /** Position of the latest change; 0 if there was none. */
    [[nodiscard]] std::int64_t position(CrashRecords selection) const;
    /**
     * Position up to which a reader of changedSince() with this position and maximum knows all changes: that of the last record in the list, or position() if
     * there are no further ones. Positions of records that were removed are passed over.
     */
    [[nodiscard]] std::int64_t positionAfter(std::int64_t position, CrashRecords selection, std::size_t maximum) const;

    /** Removes records whose retention is over. */
    void forget(Core::Instant now);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t countOf(RequestStanding standing, Core::Instant now) const;
    /** The digests of all suspects and quarantined requests. */
    [[nodiscard]] std::vector<RequestDigest> suspects(Core::Instant now) const;

    /** Called after each change of a record, with its selection: Own for changes by this process, else All. */
    std::function<void(CrashRecords origin)> changed;

private:
    /** An attempt of the caller under which backend servers crashed. */
    struct Attempt {
        Core::Instant startedAt;
        Core::Instant firstCrashAt;
        // Invariant: not empty, and at most as many as make a suspect.
        std::set<std::string> backends;
    };
    struct Record {
        std::map<std::string, Attempt> attempts;
        std::optional<Core::Instant> answeredAt;
        // Derived from the attempts. Its standing is the one at the latest change; later it depends on the end of the quarantine, too.
        RequestVerdict verdict;
        bool shared{false};
        Core::Instant changedAt;
        // Positions of the latest change, of the latest one that gateways need, and of the latest one by this process; 0 for none.
        std::int64_t position{0};
        std::int64_t sharedPosition{0};
        std::int64_t ownPosition{0};
    };

    Record &recordFor(const RequestDigest &digest);
    [[nodiscard]] bool addCrash(Record &record, const std::string &name, const Attempt &added) const;
    [[nodiscard]] bool addAnswer(Record &record, Core::Instant answeredAt) const;
    void finishChange(const RequestDigest &digest, Record &record, CrashRecords origin, Core::Instant now);
    [[nodiscard]] RequestVerdict judge(const Record &record) const;
    [[nodiscard]] RequestStanding standingOf(const RequestVerdict &verdict, Core::Instant now) const;
    [[nodiscard]] static std::int64_t positionOf(const Record &record, CrashRecords selection);
    /** The records that changed after a position, oldest change first. */
    [[nodiscard]] std::vector<const std::pair<const RequestDigest, Record> *> after(std::int64_t position, CrashRecords selection) const;
    void removeLeastImportant();

    CrashLedgerOptions options;
    std::map<RequestDigest, Record> records;
    std::int64_t changes{0};
    std::int64_t latestShared{0};
    std::int64_t latestOwn{0};
};

}
