/*
 * The interfaces between the system's own processes: entry instances with
 * control instances, and control instances with each other.
 */
include "operator.thrift"
namespace cpp Protocol

struct FollowRequest {
  1: string entryName,
  /** Differs at each start of the process. */
  2: i64 incarnation,
  /** The revision that the entry instance has in force. */
  3: i64 revision,
}

/** What turns one revision's configuration into a later one's. */
struct ConfigurationDelta {
  1: i64 fromRevision,
  2: list<operator.UrgencyClass> changedClasses,
  3: list<string> removedClasses,
  4: list<operator.ServiceDeclaration> changedServices,
  5: list<string> removedServices,
  6: i32 maximumEntryInstances,
}

struct FollowReply {
  /** When false, nothing below may be used but leaderAddress. */
  1: bool confirmed,
  2: i64 revision,
  /** The whole configuration, when the asker's revision is too far behind for a delta. */
  3: optional operator.Configuration configuration,
  /** The way from the asker's revision. Neither is there when the asker is up to date. */
  6: optional ConfigurationDelta delta,
  4: string leaderAddress,
  /** How long, from the sending of the request, the revision may be relied on. */
  5: i32 leaseMilliseconds,
}

enum ClaimStatus {
  /** The caller of this procedure, and nobody else, may send the action. */
  GRANTED = 1,
  IN_PROGRESS = 2,
  COMPLETED = 3,
  /** An earlier attempt ended without a known outcome. It is not run again. */
  OUTCOME_UNKNOWN = 4,
  /** The key belongs to another request. */
  KEY_REUSED = 5,
  /** The key is older than the records that are kept. */
  KEY_EXPIRED = 6,
  NOT_LEADER = 7,
  /** No quorum answered in time. The claim may or may not hold. */
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
  /** After this long without an outcome, the outcome counts as unknown. */
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
  /** Absent: the action provably did not run and the claim is released. */
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
  /** When set, the members from this entry on. */
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
  /** A leader that stops asks a follower to stand at once. */
  LEADERSHIP_TRANSFER = 9,
  /** A follower asks from which index on what it has applied is current. */
  READ_INDEX_REQUEST = 10,
  /** A quorum took the leader for the leader after it was asked; the answer is its commit index. */
  READ_INDEX_REPLY = 11,
}

/** One message of the replicated log. docs/REPLICATED-LOG.md gives the rules. */
struct LogMessage {
  1: MessageKind kind,
  2: string sender,
  3: i64 term,
  /** Requests: the entry before the first one carried, or the last one held. */
  4: i64 previousIndex,
  5: i64 previousTerm,
  6: list<LogEntry> entries,
  7: i64 commitIndex,
  /** Replies. */
  8: bool granted,
  /** Append replies: the highest index known to match, or a hint where to resume. */
  9: i64 matchIndex,
  /** Counts the leader's rounds, so that a reply proves leadership at that round. Of read indexes: counts the asker's questions. */
  10: i64 round,
  /** Snapshot requests: one piece of the snapshot. */
  11: optional binary piece,
  12: i64 pieceOffset,
  13: bool lastPiece,
  /** Identifies the sender's data folder; one that was lost does not get its old vote back. */
  14: string storageId,
  /** Snapshot requests: the members at the snapshot. */
  15: optional operator.Membership membership,
  /** The folder that the message is meant for. */
  16: string receiverStorageId,
  /** Where replies go, since a new learner does not know the members yet. */
  17: string senderAddress,
  /** Vote requests: the leader itself asked for this election. */
  18: bool transfer,
}

service ControlPeer {
  /** Messages may be lost, doubled or reordered; the reply only acknowledges receipt. */
  void deliver(1: list<LogMessage> messages),
}

struct ConfigurationChange {
  1: string changeId,
  2: i64 baseRevision,
  3: operator.Configuration configuration,
  4: string contentDigest,
  5: optional i64 rollbackTo,
}

/** What the replicated log carries. Exactly one of the optional fields is set. */
struct Command {
  /** The leader's wall clock, made never to go back within the log. */
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
  /** Old changes keep their line in the history, but not their content. */
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
  /** All entries from this index on are void. */
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
