/*
 * The interface between entry instances: what backend servers announced to
 * one of them spreads to the others.
 */
namespace cpp Protocol

enum BackendState {
  STARTING = 1,
  SERVING = 2,
  DRAINING = 3,
  STOPPED = 4,
}

/** One index snapshot that a backend server holds. */
struct SnapshotHolding {
  1: i64 version,
  /** Names the partitioning: equal digests mean equal shard boundaries. */
  2: string shardMap,
  3: i32 shardCount,
  4: i32 shard,
}

struct Announcement {
  1: string serviceName,
  2: string replicaName,
  /** Grows at each start of the backend server. */
  3: i64 incarnation,
  /** Grows at each announcement within one incarnation. */
  4: i64 sequence,
  5: string address,
  6: i32 port,
  7: string zone,
  8: BackendState state,
  9: list<SnapshotHolding> snapshots,
  10: i32 slots,
  11: i32 connectionCap,
  /** Requests running and waiting, as the backend server reports them. */
  12: i32 load,
}

/** An announcement with its age, since clocks of two instances are not compared. */
struct RelayedAnnouncement {
  1: Announcement announcement,
  2: i32 ageMilliseconds,
}

struct RelayRequest {
  1: string entryName,
  2: list<RelayedAnnouncement> announcements,
  /** Asks for the receiver's whole table, as a fresh process does. */
  3: bool wantsAll,
}

struct RelayReply {
  1: list<RelayedAnnouncement> announcements,
  /** The list is the whole table of an instance that has been in touch for a lease at least. */
  2: bool complete,
}

service EntryPeer {
  RelayReply relay(1: RelayRequest request),
}
