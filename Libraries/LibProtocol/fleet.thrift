/*
 * What coordinators and gateways tell each other: which backend servers are
 * there, and which declaration is in force.
 */
include "operator.thrift"
namespace cpp Protocol

/** Phases only ever go forward within one incarnation of a backend server. */
enum BackendPhase {
  READY = 1,
  /** Takes no new work. */
  DRAINING = 2,
  /** Has said that it ends, or was found gone. */
  GONE = 3,
}

/** What a backend server said of itself in its latest heartbeat. */
struct BackendAnnouncement {
  /** Differs at each start of a backend server, so it names an incarnation. */
  1: string id,
  2: string serviceName,
  /** IP:port. */
  3: string address,
  4: string zone,
  5: i32 slots,
  6: BackendPhase phase,
  /** How long it still runs slowly after its start, from when this is sent. */
  7: i32 warmupLeftMs,
  /** Grows with each heartbeat of one incarnation. */
  8: i64 sequence,
}

struct WatchRequest {
  1: string watcherName,
  /** Which life of the coordinator the cursor belongs to; 0 at first. */
  2: i64 coordinatorIncarnation,
  /** Changes up to here are known. */
  3: i64 cursor,
  /** The declaration that the watcher holds; -1 for none. */
  4: i64 declarationVersion,
  /** The answer has to be current as of now, confirmed by a quorum. */
  5: bool confirm,
  /** The watcher is a gateway, which takes a part of every backend server's connections. */
  6: bool isGateway,
}

struct WatchReply {
  1: i64 coordinatorIncarnation,
  2: i64 cursor,
  3: list<BackendAnnouncement> changed,
  4: i64 declarationVersion,
  /** There when the watcher's version is older. */
  5: optional binary declaration,
  /** The version was the newest when the question was asked. */
  6: bool confirmed,
  /** Gateways that watch, as far as this coordinator knows. */
  7: i32 gateways,
  /** Where the coordinators can be watched: IP:port. */
  8: list<string> coordinators,
}

struct Introduction {
  1: operator.Member member,
  /** Belongs to a log already. */
  2: bool initialised,
  /** The whole system starts for the first time, so a log may be founded. */
  3: bool mayFound,
}

struct IntroductionReply {
  1: Introduction callee,
  2: operator.Membership membership,
  /** IP:port where the leader listens for coordinators; empty when unknown. */
  3: string leaderAddress,
}

service Coordinator {
  /** Answers when there is news, at the latest after a second or so. */
  WatchReply watch(1: WatchRequest request),
  /** Tells who is there, and asks the leader to take the asker in. */
  IntroductionReply introduce(1: Introduction introduction),
}

/** What coordinators keep in their log and snapshots: the declaration as the operator sent it. */
struct StoredDeclaration {
  1: i64 version,
  2: binary content,
}
