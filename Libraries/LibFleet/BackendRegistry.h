/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The backend servers that announced themselves, as a coordinator or a gateway
// knows them. News may come late, twice and in any order from several sides;
// merging them gives the same table everywhere (docs/PLATFORM.md, rules G1 to G7).

#pragma once

#include <LibCore/TimerService.h>
#include <LibProtocol/Generated/fleet_types.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fleet
{

/** The latest known life of a backend server. */
struct BackendRecord {
    Protocol::BackendAnnouncement announcement;
    /** Until when it runs slowly after its start. */
    Core::Instant warmUntil;
    /** When a heartbeat of it was last known to have been made. */
    Core::Instant lastHeartbeat;
    /** When an announcement of it was last merged here. */
    Core::Instant lastMerged;
    /** Set when only a deregistration is known that did not say which life it ends: until when heartbeats may be late ones of that life. */
    std::optional<Core::Instant> farewellHoldsUntil;
    /** Set while nothing but a coordinator's disk tells of it: until when a heartbeat has to come. */
    std::optional<Core::Instant> confirmBy;
    /** Position in the row of changes; grows with each change that others have to know. */
    std::int64_t changedAt{0};
};

/** How long things are remembered. */
struct RegistryOptions {
    /** A backend server that left or fell silent is remembered for this long, so that late news of it changes nothing. */
    Core::Duration retention{Core::seconds(600)};
    /**
     * A backend server that a coordinator read from its disk is taken for ready for this long without a heartbeat (HeartbeatTimes). Not longer than
     * it takes, since one that left unnoticed still gets work meanwhile.
     */
    Core::Duration unconfirmedTimeout{Core::milliseconds(3500)};
    /**
     * For how long after the deregistration of an unknown life heartbeats under its id are taken for late ones. Heartbeats come up to some seconds late;
     * one that goes on for longer is of a life that started after the deregistration.
     */
    Core::Duration farewellHold{Core::seconds(10)};
    /**
     * A backend server that has to run slowly for this much longer than was known turned cold again, which others have to know. More than a
     * heartbeat is usually late, which moves the end of the same cold span.
     */
    Core::Duration coldNews{Core::milliseconds(500)};
};

/** Merges announcements. */
class BackendRegistry
{
public:
    explicit BackendRegistry(RegistryOptions options = {});

    /** Takes a heartbeat over that came here from the backend server itself. Returns whether others have to know. */
    bool mergeHeartbeat(const Protocol::BackendAnnouncement &heartbeat, Core::Instant now);

    /** Takes an announcement over. Returns whether others have to know. */
    bool merge(const Protocol::BackendAnnouncement &announcement, Core::Instant now);

    /** Takes over what a coordinator had on its disk. What is known already goes before it. */
    void restore(const Protocol::BackendAnnouncement &announcement, Core::Instant now);

    /** Marks those silent that were restored and made no heartbeat in time. Returns how many. */
    std::size_t expireUnconfirmed(Core::Instant now);

    /** The backend server said that it ends, or is known to have ended. `born` tells which life, 0 the known one. Returns whether that is news. */
    bool markGone(const std::string &id, Core::Instant now, std::int64_t born = 0);

    /** A heartbeat of this one reached another coordinator. */
    void recordRemoteHeartbeat(const std::string &id, Core::Instant now);

    /** Ids whose heartbeats were taken over by merge() after a time, whether or not they were news. */
    [[nodiscard]] std::vector<std::string> mergedSince(Core::Instant time) const;

    /** Those that are ready, in no order. Valid until the next change. */
    [[nodiscard]] std::vector<const Protocol::BackendAnnouncement *> ready() const;
    /** How many are ready, and how many of these are in one availability zone. */
    [[nodiscard]] int readyCount() const;
    [[nodiscard]] int readyCountIn(const std::string &zone) const;

    /** Marks those silent that made no heartbeat for a time, and those gone that were leaving. Returns how many. */
    std::size_t expire(Core::Instant now, Core::Duration silence);

    /** Starts the count of silence anew for all, after this process itself was stopped for a while. */
    void restartHeartbeatTimeouts(Core::Instant now);

    /** Forgets records that are gone for longer than the retention. */
    void forget(Core::Instant now);

    [[nodiscard]] const BackendRecord *find(const std::string &id) const;
    /** Records that changed after a position. */
    [[nodiscard]] std::vector<Protocol::BackendAnnouncement> changedSince(std::int64_t position, Core::Instant now) const;
    /** Of these, only those that drain or are gone. */
    [[nodiscard]] std::vector<Protocol::BackendAnnouncement> departuresSince(std::int64_t position, Core::Instant now) const;
    [[nodiscard]] std::int64_t position() const;
    /** Position of the latest change of one that drains or is gone. */
    [[nodiscard]] std::int64_t departurePosition() const;
    [[nodiscard]] std::size_t size() const;

    /** Called for each record that others have to know of, after it changed. */
    std::function<void(const BackendRecord &record)> changed;

private:
    /** Whether an announcement may change what is held of its backend server. */
    [[nodiscard]] static bool isCurrent(const BackendRecord &record, const Protocol::BackendAnnouncement &announcement);
    void noteChange(BackendRecord &record);
    void markSilent(Protocol::BackendAnnouncement announcement, Core::Instant now);

    RegistryOptions options;
    std::unordered_map<std::string, BackendRecord> records;
    // Invariant: one item for each record, so that a watcher gets what it misses without a walk over all records.
    std::map<std::int64_t, std::string> byChange;
    std::int64_t changes{0};
    std::int64_t latestLeaver{0};
};

}
