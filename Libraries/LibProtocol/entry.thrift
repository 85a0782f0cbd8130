/*
 * The interface between entry instances, by which they relay the announcements
 * of backend servers to each other.
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
  /** Digest of the partitioning: equal digests mean equal shard boundaries. */
  2: string shardMap,
  3: i32 shardCount,
  4: i32 shard,
}

struct Announcement {
  1: string serviceName,
  2: string replicaName,
  /** Increases at each start of the backend server. */
  3: i64 incarnation,
  /** Increases with each announcement within one incarnation. */
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

/** An announcement with its age. It carries no time, because the clocks of two instances are not compared. */
struct RelayedAnnouncement {
  1: Announcement announcement,
  2: i32 ageMilliseconds,
}

struct RelayRequest {
  1: string entryName,
  2: list<RelayedAnnouncement> announcements,
  /** Requests the receiver's whole table; set by a process that has just started. */
  3: bool wantsAll,
}

struct RelayReply {
  1: list<RelayedAnnouncement> announcements,
  /** The list is the whole table of an instance that has been in contact for at least one lease. */
  2: bool complete,
}

service EntryPeer {
  RelayReply relay(1: RelayRequest request),
}
