/*
 * What coordinators and gateways tell each other: which backend servers are
 * there, and which declaration is in force.
 */
include "operator.thrift"
namespace cpp Protocol

/** Phases only ever go forward within one life of a backend server, but for silence, which a later heartbeat ends. */
enum BackendPhase {
  /** Made no heartbeat for long; takes no new work until it does. */
  SILENT = 0,
  READY = 1,
  /** Takes no new work. */
  DRAINING = 2,
  /** Has said that it ends, or was found gone. */
  GONE = 3,
}

/** What a backend server said of itself in its latest heartbeat. */
struct BackendAnnouncement {
  /** Names a backend server. One that starts again may keep it. */
  1: string id,
  2: string serviceName,
  /** IP:port. */
  3: string address,
  4: string zone,
  5: i32 slots,
  6: BackendPhase phase,
  /** How long it still runs slowly after its start, from when this is sent. */
  7: i32 warmupLeftMs,
  /** Grows with each heartbeat of one life. */
  8: i64 sequence,
  /** Unix milliseconds of its start, which tell its lives apart; 0 on platforms that do not say it. */
  9: i64 born = 0,
}

/** Bytes of their own, then a part of the earlier text. */
struct TextPiece {
  1: binary literal,
  2: i64 copyFrom,
  3: i64 copyLength,
}

/** What turns one text into a later one. */
struct TextDelta {
  /** Of the later text, to know that the outcome is right. */
  1: i64 length,
  2: i64 checksum,
  3: list<TextPiece> pieces,
}

/** Which changes of backend servers and gateways a watcher wants from one coordinator. */
enum RegistryInterest {
  /** It only waits for a confirmation. */
  NOTHING = 0,
  /** Of those that leave: another coordinator tells it everything, and this one is there so that no leaver is missed. */
  LEAVERS = 1,
  EVERYTHING = 2,
}

/** The availability zones whose backend servers get nothing, by operators' orders. */
struct Evacuations {
  /** Grows with each change; 0 before the first one. */
  1: i64 revision = 0,
  2: list<string> zones,
}

struct WatchRequest {
  1: string watcherName,
  /** Which life of the coordinator the cursors belong to; 0 at first. */
  2: i64 coordinatorIncarnation,
  /** Changes of backend servers up to here are known. */
  3: i64 cursor,
  /** Changes of gateways up to here are known. */
  4: i64 gatewayCursor,
  /** The newest declaration that the watcher holds or has heard of; -1 for none. */
  5: i64 declarationVersion,
  /** A newer declaration's text is wanted, not only its version. One coordinator sends it to a gateway, not all. */
  6: bool wantsDeclaration,
  /** The answer has to be current as of now, confirmed by a quorum. */
  7: bool confirm,
  /** There when the watcher is a gateway that takes requests; its service name is empty. */
  8: optional BackendAnnouncement gateway,
  /** The watcher is a coordinator and wants to know whose heartbeats came here. */
  9: bool wantsHeard,
  10: RegistryInterest registryInterest = RegistryInterest.EVERYTHING,
  /** The newest revision of the evacuations that the watcher holds; the largest number of one that wants none. */
  11: i64 evacuationRevision = 0,
}

/** Where a coordinator can be watched. */
struct CoordinatorPlace {
  /** IP:port. */
  1: string address,
  2: string zone,
}

struct WatchReply {
  1: i64 coordinatorIncarnation,
  2: i64 cursor,
  3: list<BackendAnnouncement> changed,
  4: i64 gatewayCursor,
  5: list<BackendAnnouncement> changedGateways,
  6: i64 declarationVersion,
  /** The whole text, compressed; there when it was wanted and the watcher's version is older, unless the delta is. */
  7: optional binary declaration,
  /** A TextDelta from the version that the request named. */
  12: optional binary declarationDelta,
  /** Version and evacuations were the newest when the question was asked. */
  8: bool confirmed,
  9: list<CoordinatorPlace> coordinators,
  /** Ids of backend servers and gateways that called this coordinator since its last answer to the watcher. */
  10: list<string> heard,
  /** Whether this coordinator hears from a leader, so that news of declarations reach it. */
  11: bool hasLeader,
  /** There when the watcher's revision is older. */
  13: optional Evacuations evacuations,
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

/** An operator's order to evacuate an availability zone, or to use it again. */
struct EvacuationOrder {
  1: string zone,
  2: bool evacuate,
}

/** An entry of the coordinators' log: the declaration as the operator sent it, compressed, or an order on a zone. */
struct StoredOrder {
  /** -1 where there is no declaration. */
  1: i64 version = -1,
  2: binary compressed,
  3: optional EvacuationOrder evacuation,
}

/** What the coordinators' snapshots hold: all that the entries before came to. */
struct StoredState {
  /** -1 before the first declaration. */
  1: i64 version = -1,
  2: binary compressed,
  3: Evacuations evacuations,
}

/** A shard that a gateway was asked for and has no answer of. */
struct MissingShard {
  1: string serviceName,
  /** Backend servers at which the request may have run. */
  2: i32 executions,
  /** Requests that may have reached a backend server, whether or not they ran; any more are repeats. */
  3: i32 sends,
  /** The request counts in the budget of the shard's service already, also when nothing was sent. */
  4: bool counted,
}

/** What one gateway answers another that brought it a part of a search. */
struct PartialAnswer {
  /** One for each shard that is in; empty when they are packed. */
  1: list<string> signatures,
  /** The greatest records of these shards, greatest first. */
  2: binary records,
  3: list<MissingShard> missing,
  /** The signatures in fewer bytes: compressed, with a line feed after each. */
  4: optional binary packedSignatures,
}
