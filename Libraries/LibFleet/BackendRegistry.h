/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The table of backend servers that a coordinator or a gateway builds from their
// announcements. Announcements may arrive late, repeatedly and in any order from
// several sources; the merge rules make every process that received the same
// announcements hold the same table (docs/PLATFORM.md, rules G1 to G7).

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

/** The latest known incarnation of a backend server. */
struct BackendRecord {
    Protocol::BackendAnnouncement announcement;
    /** When the warm-up of the backend server ends. */
    Core::Instant warmUntil;
    /** Start of the heartbeat timeout: the latest merge, remote heartbeat or restart of all timeouts. */
    Core::Instant lastHeartbeat;
    /** When an announcement was last merged into this record. */
    Core::Instant lastMerged;
    /**
     * Set when the only thing known is a deregistration that did not name the incarnation it ends. Heartbeats before this time are discarded, since
     * they may be late ones of that incarnation.
     */
    std::optional<Core::Instant> discardHeartbeatsUntil;
    /** Set while the record is unconfirmed, that is restored from disk without a heartbeat since: when it becomes silent unless a heartbeat is received. */
    std::optional<Core::Instant> confirmBy;
    /**
     * Of a gateway: the latest time at which it is known to have held the list of gateways of a coordinator that knew every gateway known here; nothing while
     * that is unknown, as after a restart of this process.
     */
    std::optional<Core::Instant> lastContact;
    /** The latest contact with this coordinator itself. */
    std::optional<Core::Instant> lastDirectContact;
    /** Since when it has been ready without interruption; only meaningful while it is. */
    Core::Instant readySince;
    /** Of a gateway: it was ready for so long that every gateway that may hold quota shares has received a list with its address. */
    bool isEstablished{false};
    /** Position of the latest change in the sequence of changes that watchers receive. */
    std::int64_t changePosition{0};
};

/** Whether an announcement says that its backend server leaves or has left. */
[[nodiscard]] bool isDeparture(const Protocol::BackendAnnouncement &announcement);

/** Retention and timeouts of a registry. */
struct RegistryOptions {
    /** A record that is gone or silent is kept for this long, so that late announcements of an ended incarnation are recognized and discarded. */
    Core::Duration retention{Core::seconds(600)};
    /**
     * An unconfirmed record, which a coordinator restored from disk, counts as ready for this long without a heartbeat (HeartbeatTimes). The timeout must
     * not exceed the time that a heartbeat may take, since a backend server that left while the coordinator was down is sent requests until then.
     */
    Core::Duration unconfirmedTimeout{Core::milliseconds(3500)};
    /**
     * For this long after a deregistration that did not name the incarnation, heartbeats with the same id are discarded as late ones. Heartbeats arrive up
     * to some seconds late; one that arrives after this time is of an incarnation that started after the deregistration.
     */
    Core::Duration lateHeartbeatWindow{Core::seconds(10)};
    /**
     * When the warm-up of a backend server ends more than this much later than was known, it has turned cold again and watchers are notified. The value is
     * greater than the usual delay of a heartbeat, since a delay also moves the computed end of the same warm-up.
     */
    Core::Duration warmupChangeThreshold{Core::milliseconds(500)};
    /** Whether watchers are notified when an unconfirmed record is confirmed. */
    bool notifiesOfConfirmation{false};
};

/** Merges announcements of backend servers, or of gateways, into one record for each id. */
class BackendRegistry
{
public:
    explicit BackendRegistry(RegistryOptions options = {});

    /** Merges a heartbeat that was received directly from the backend server. Returns whether watchers have to be notified. */
    bool mergeHeartbeat(const Protocol::BackendAnnouncement &heartbeat, Core::Instant now);

    /** Merges an announcement from any source. Returns whether watchers have to be notified. */
    bool merge(const Protocol::BackendAnnouncement &announcement, Core::Instant now);

    /**
     * Adds a record that a coordinator read from its disk, this one or, with `isRestored`, another one. A departure is merged like one that was received. A
     * ready backend server becomes an unconfirmed record, unless there is a record of the same or a later incarnation already. Returns whether watchers have
     * to be notified.
     */
    bool restore(const Protocol::BackendAnnouncement &announcement, Core::Instant now);

    /** Marks unconfirmed records silent whose unconfirmed timeout has ended. Returns how many. */
    std::size_t expireUnconfirmed(Core::Instant now);
    [[nodiscard]] std::size_t unconfirmedCount() const;

    /** Marks the ready records as established that have been ready for `time` or longer. Returns the announcements of those that were not before. */
    std::vector<Protocol::BackendAnnouncement> establish(Core::Instant now, Core::Duration time);

    /**
     * Marks a backend server gone that deregistered or is known to have ended. `born` is the start time of the incarnation in Unix milliseconds, or 0 for
     * the known one. Returns whether watchers have to be notified.
     */
    bool markGone(const std::string &id, Core::Instant now, std::int64_t born = 0);

    /** Records that another coordinator received a heartbeat with this id. An unknown id is ignored. */
    void recordRemoteHeartbeat(const std::string &id, Core::Instant now);

    /** Records that the gateway held the list of this coordinator at `time`. An unknown id is ignored. */
    void recordDirectContact(const std::string &id, Core::Instant time);
    /** Records that the gateway held the list of another coordinator, which knew the list of this one, at `time`. An unknown id is ignored. */
    void recordContact(const std::string &id, Core::Instant time);

    /**
     * Ids of the records into which an announcement was merged after `time`, whether or not watchers had to be notified, except those that are gone and those
     * that were only restored from a disk.
     */
    [[nodiscard]] std::vector<std::string> mergedSince(Core::Instant time) const;

    /** Announcements of the ready backend servers, in no order. The pointers are valid until the next change. */
    [[nodiscard]] std::vector<const Protocol::BackendAnnouncement *> ready() const;
    /** Records of the ready backend servers, in no order. The pointers are valid until the next change. */
    [[nodiscard]] std::vector<const BackendRecord *> readyRecords() const;
    [[nodiscard]] int readyCount() const;
    /**
     * How many addresses have a ready or silent backend server. A silent one may run and be cut off from the coordinators only. One that was restarted has the
     * address of the silent incarnation before it.
     */
    [[nodiscard]] int presentCount() const;

    /** Applies the heartbeat timeout: ready backend servers that exceed it become silent, draining ones become gone. Returns how many. */
    std::size_t expire(Core::Instant now, Core::Duration heartbeatTimeout);

    /** Restarts the heartbeat timeout of every record, for use after this process could not receive heartbeats for a while. */
    void restartHeartbeatTimeouts(Core::Instant now);

    /** Removes records that have been gone or silent for longer than the retention. */
    void forget(Core::Instant now);

    /** The record with this id, or nullptr. */
    [[nodiscard]] const BackendRecord *find(const std::string &id) const;
    /** The latest announcements of the records that changed after a position, in the order of their changes. */
    [[nodiscard]] std::vector<Protocol::BackendAnnouncement> changedSince(std::int64_t position, Core::Instant now) const;
    /** The departures among changedSince(): backend servers that are draining or gone. */
    [[nodiscard]] std::vector<Protocol::BackendAnnouncement> departuresSince(std::int64_t position, Core::Instant now) const;
    /** Position of the latest change; 0 when there was none. */
    [[nodiscard]] std::int64_t position() const;
    /** Position of the latest departure; 0 when there was none. */
    [[nodiscard]] std::int64_t departurePosition() const;
    [[nodiscard]] std::size_t size() const;

    /** Called after each change that watchers have to be notified of. */
    std::function<void(const BackendRecord &record)> changed;
    /** Called after a record was removed because its retention has ended. */
    std::function<void(const std::string &id)> forgotten;

private:
    /** What a record that was read from a disk has beside its announcement. */
    struct Restoration {
        std::optional<Core::Instant> confirmBy{};
        bool isEstablished{false};
    };

    bool apply(const Protocol::BackendAnnouncement &announcement, Core::Instant now, const Restoration &restoration);
    /** Whether the merge rules let an announcement change the record of its backend server. */
    [[nodiscard]] static bool isCurrent(const BackendRecord &record, const Protocol::BackendAnnouncement &announcement);
    void recordChange(BackendRecord &record);
    void setConfirmBy(BackendRecord &record, std::optional<Core::Instant> time);
    void markSilent(Protocol::BackendAnnouncement announcement, Core::Instant now);

    RegistryOptions options;
    std::unordered_map<std::string, BackendRecord> records;
    // Invariant: one item for each record, by the position of its latest change, so that a watcher's update is found without iterating all records.
    std::map<std::int64_t, std::string> byChange;
    std::int64_t changes{0};
    std::int64_t latestDeparture{0};
    // Invariant: the number of records with a `confirmBy`.
    std::size_t unconfirmed{0};
};

}
