/*
 * The interfaces between the system's own processes: from entry instances to
 * control instances, and among control instances.
 */
include "operator.thrift"
namespace cpp Protocol

struct FollowRequest {
  1: string entryName,
  /** Identifies one run of the process. */
  2: i64 incarnation,
  /** The revision that is active at the entry instance. */
  3: i64 revision,
}

/** The difference between the configuration of one revision and that of a later one. */
struct ConfigurationDelta {
  1: i64 fromRevision,
  2: list<operator.UrgencyClass> changedClasses,
  3: list<string> removedClasses,
  4: list<operator.ServiceDeclaration> changedServices,
  5: list<string> removedServices,
  6: i32 maximumEntryInstances,
}

struct FollowReply {
  /** When false, only leaderAddress may be used. */
  1: bool confirmed,
  2: i64 revision,
  /** The whole configuration; set when the requester's revision is too old for a delta. */
  3: optional operator.Configuration configuration,
  /** The delta from the requester's revision. Neither this nor configuration is set when the requester is up to date. */
  6: optional ConfigurationDelta delta,
  4: string leaderAddress,
  /** Time, counted from the sending of the request, during which the revision may be relied on. */
  5: i32 leaseMilliseconds,
}

enum ClaimStatus {
  /** Only the caller of this procedure may send the action. */
  GRANTED = 1,
  IN_PROGRESS = 2,
  COMPLETED = 3,
  /** An earlier attempt ended without a known outcome. The action is not executed again. */
  OUTCOME_UNKNOWN = 4,
  /** The key belongs to another request. */
  KEY_REUSED = 5,
  /** The key is older than the records that are kept. */
  KEY_EXPIRED = 6,
  NOT_LEADER = 7,
  /** No quorum replied in time. The claim may or may not have been recorded. */
  UNAVAILABLE = 8,
  /** The key's embedded time is too far in the future. */
  KEY_FROM_FUTURE = 9,
}

struct ActionOutcome {
  1: i32 statusCode,
  2: string contentType,
  3: string body,
}

struct ClaimRequest {
  /** The caller's Idempotency-Key: a UUID of version 7. */
  1: string key,
  /** SHA-256 over service, action and body. */
  2: string requestDigest,
  3: string entryName,
  /** Once this time has passed without an outcome, the outcome counts as unknown. */
  4: i32 executionLimitMilliseconds,
  /** Unique to this attempt, so that a resent claim finds its own grant. */
  5: string attemptId,
}

struct ClaimReply {
  1: ClaimStatus status,
  2: optional ActionOutcome outcome,
  3: string leaderAddress,
}

enum SettleStatus {
  SETTLED = 1,
  NOT_LEADER = 2,
  UNAVAILABLE = 3,
  /** No claim with this key and attempt exists. */
  NO_SUCH_CLAIM = 4,
}

struct SettleRequest {
  1: string key,
  2: string attemptId,
  /** When absent, the action was provably not executed, and the claim is released. */
  3: optional ActionOutcome outcome,
}

struct SettleReply {
  1: SettleStatus status,
  2: string leaderAddress,
}

service EntryControl {
  FollowReply follow(1: FollowRequest request),
  ClaimReply claim(1: ClaimRequest request),
  SettleReply settle(1: SettleRequest request),
}

struct LogEntry {
  1: i64 index,
  2: i64 term,
  /** A serialised Command; empty for the entry that opens a term. */
  3: binary command,
  /** When set, the members of the log from this entry on. */
  4: optional operator.Membership membership,
}

enum MessageKind {
  PRE_VOTE_REQUEST = 1,
  PRE_VOTE_REPLY = 2,
  VOTE_REQUEST = 3,
  VOTE_REPLY = 4,
  APPEND_REQUEST = 5,
  APPEND_REPLY = 6,
  SNAPSHOT_REQUEST = 7,
  SNAPSHOT_REPLY = 8,
  /** A leader that stops asks a follower to start an election at once. */
  LEADERSHIP_TRANSFER = 9,
  /** A follower requests the index up to which it must have applied the log for its state to be current. */
  READ_INDEX_REQUEST = 10,
  /** Carries the leader's commit index, sent after a quorum has confirmed its leadership since the request. */
  READ_INDEX_REPLY = 11,
}

/** One message of the replicated log. docs/REPLICATED-LOG.md gives the rules. */
struct LogMessage {
  1: MessageKind kind,
  2: string sender,
  3: i64 term,
  /** Requests: the index before the first entry in the message, or the sender's last index. */
  4: i64 previousIndex,
  5: i64 previousTerm,
  6: list<LogEntry> entries,
  7: i64 commitIndex,
  /** Replies. */
  8: bool granted,
  /** Append replies: the highest index known to match, or a hint where to resume. */
  9: i64 matchIndex,
  /** Number of the leader's round, so that a reply proves leadership at that round. In read index messages: number of the follower's request. */
  10: i64 round,
  /** Snapshot requests: one piece of the snapshot. */
  11: optional binary piece,
  12: i64 pieceOffset,
  13: bool lastPiece,
  /** Identifies the sender's data folder. A member that lost its folder gets a new id, so it does not get its old vote back. */
  14: string storageId,
  /** Snapshot requests: the members at the snapshot. */
  15: optional operator.Membership membership,
  /** The folder that the message is meant for. */
  16: string receiverStorageId,
  /** Where replies go, since a new learner does not know the members yet. */
  17: string senderAddress,
  /** Vote requests: the leader itself requested this election. */
  18: bool transfer,
}

service ControlPeer {
  /** Messages may be lost, duplicated or reordered. The reply only acknowledges receipt. */
  void deliver(1: list<LogMessage> messages),
}

struct ConfigurationChange {
  1: string changeId,
  2: i64 baseRevision,
  3: operator.Configuration configuration,
  4: string contentDigest,
  5: optional i64 rollbackTo,
}

/** A command in the replicated log. Exactly one of the optional fields is set. */
struct Command {
  /** The leader's wall clock, adjusted so that it never decreases within the log. */
  1: i64 timeMilliseconds,
  2: optional ConfigurationChange change,
  3: optional ClaimRequest claim,
  4: optional SettleRequest settle,
}

struct AcceptedChange {
  1: i64 revision,
  2: ConfigurationChange change,
  3: i64 acceptedAtMilliseconds,
  4: list<string> differences,
  /** False for old changes, which stay in the history without their content. */
  5: bool contentKept = true,
}

struct ClaimRecord {
  1: string key,
  2: string requestDigest,
  3: string attemptId,
  4: i64 claimedAtMilliseconds,
  5: i64 limitAtMilliseconds,
  6: optional ActionOutcome outcome,
}

struct ControlSnapshot {
  1: i64 timeMilliseconds,
  2: list<AcceptedChange> changes,
  3: list<ClaimRecord> claims,
}

/** One record of the write-ahead log. Exactly one field is set. */
struct StorageRecord {
  1: optional LogEntry entry,
  /** All entries from this index on are invalid. */
  2: optional i64 truncateFrom,
  3: optional i64 term,
  4: optional string votedFor,
  5: optional i64 commitIndex,
  6: optional string storageId,
}

struct StoredSnapshot {
  1: i64 index,
  2: i64 term,
  3: binary state,
  4: operator.Membership membership,
}
