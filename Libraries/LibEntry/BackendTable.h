/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The table of backend servers that this entry instance knows, with what they
// announced and what this instance saw of them itself. docs/REGISTRY.md gives
// the rules by which health wins over health.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>
#include <LibProtocol/Generated/entry_types.h>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Entry
{

/** Row of the table. Stays the same for one name for the life of the process. */
using BackendId = Core::StrongValue<struct BackendIdTag, std::size_t>;

/** What this instance saw of a backend server itself. */
struct BackendHealth {
    /** Smoothed latency of successful replies. */
    Core::Duration smoothedLatency{0};
    int inFlight{0};
    int consecutiveFailures{0};
    int ejections{0};
    Core::Instant ejectedUntil;
    /** Adaptive limit on requests in flight from this instance. */
    double concurrencyLimit{0.0};
    /** When this instance first sent work to this incarnation. */
    Core::Instant servingSince;
    Core::Instant lastReply;
    std::uint64_t replies{0};
    std::uint64_t failures{0};
    std::uint64_t hedges{0};
};

/** One backend server. */
struct Backend {
    BackendId id;
    Protocol::Announcement announcement;
    /** When the latest announcement was made, on this process's clock. */
    Core::Instant announcedAt;
    /** No new work from then on, unless renewed. */
    Core::Instant leaseEnd;
    /** Incarnations up to this one are leaving; announcements of theirs change nothing any more. */
    std::int64_t leavingIncarnation{-1};
    BackendHealth health;
};

/** What became of an announcement. */
enum class AnnounceOutcome {
    Accepted,
    /** An announcement at least as new is known. */
    Outdated,
    /** Older than a lease, so it proves nothing. */
    Expired,
    /** Another address holds this name with a live lease. */
    NameTaken,
};

/** How long health lasts. */
struct BackendTableOptions {
    /** How long one announcement or direct reply keeps a backend server in use. */
    Core::Duration lease{Core::milliseconds(3000)};
    /** How long the row of a silent backend server is kept, so that delayed announcements are known to be old. */
    Core::Duration retention{Core::seconds(600)};
};

/** Keeps one row for each name within a service. */
class BackendTable
{
public:
    explicit BackendTable(BackendTableOptions options = {});

    /** Takes an announcement that was made `age` ago. */
    AnnounceOutcome announce(const Protocol::Announcement &announcement, Core::Duration age, Core::Instant now);

    /** The backend server itself refused work because it leaves. */
    void markLeaving(BackendId id, std::int64_t incarnation);

    /** The backend server answered, so it lives, whatever announcements were lost. */
    void recordReply(BackendId id, std::int64_t incarnation, Core::Instant now);

    /** Whether new work may go to a backend server. */
    [[nodiscard]] bool isUsable(const Backend &backend, Core::Instant now) const;

    /** Rows of a service, usable or not. */
    [[nodiscard]] const std::vector<BackendId> &ofService(const Core::ServiceName &service) const;

    [[nodiscard]] Backend &row(BackendId id);
    [[nodiscard]] const Backend &row(BackendId id) const;
    [[nodiscard]] std::size_t size() const;

    /** Rows in order of id, those long silent included until they are forgotten. */
    [[nodiscard]] const std::vector<Backend> &rows() const;

    /** Drops the names of rows that were silent for the retention time. */
    void forgetSilent(Core::Instant now);

    /** Grows whenever a change may alter which snapshots can be served by whom. */
    [[nodiscard]] std::uint64_t generation() const;

    [[nodiscard]] const BackendTableOptions &tableOptions() const;

private:
    using Name = std::pair<std::string, std::string>;

    [[nodiscard]] BackendId addRow(const Protocol::Announcement &announcement);
    void adopt(Backend &backend, const Protocol::Announcement &announcement, Core::Instant announcedAt);

    BackendTableOptions options;
    // Invariant: rows[i].id == i. Rows are never removed, only their names are.
    std::vector<Backend> table;
    std::map<Name, BackendId> byName;
    std::map<Core::ServiceName, std::vector<BackendId>> byService;
    std::uint64_t changes{0};
};

}
