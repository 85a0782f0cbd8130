/*
 * The interface for operators, who may keep this file with their own code.
 *
 * Transport: framed TCP, compact protocol. Every field has a tag, and readers
 * skip fields that they do not know. Fields may therefore be added at any time,
 * and a tag is never reused for another meaning.
 */
namespace cpp Protocol

/** An urgency class of requests and its guarantees. */
struct UrgencyClass {
  1: string name,
  /** 0 is the most urgent. */
  2: i32 priority,
  3: i32 deadlineMilliseconds,
  /** Between 0 and 1. An answer with less coverage is refused. */
  4: double minimumCoverage = 1.0,
  /** Whether an answer may lack shards at all. */
  5: bool partialAllowed = false,
}

/** A service that the query tier serves. */
struct ServiceDeclaration {
  1: string name,
  2: i32 shards,
  3: i32 replicasPerShard,
  4: i32 slotsPerReplica,
  5: i32 connectionCapPerReplica,
  6: string urgencyClass,
  /** Names of the service's actions. No action may be executed twice. */
  7: list<string> actions,
}

/** Everything that operators declare. */
struct Configuration {
  1: list<UrgencyClass> classes,
  2: list<ServiceDeclaration> services,
  /** Each replica's connection cap is divided by this number. */
  3: i32 maximumEntryInstances = 10,
}

struct ApplyRequest {
  /** Chosen by the operator. A change that is sent again carries the same id. */
  1: string changeId,
  /** The revision on which this change is based. */
  2: i64 baseRevision,
  3: Configuration configuration,
  4: bool dryRun = false,
  /** When set, the content of this earlier revision becomes the new revision. */
  5: optional i64 rollbackTo,
}

enum ApplyStatus {
  ACCEPTED = 1,
  /** Another change was accepted after baseRevision. */
  CONFLICT = 2,
  /** The configuration has faults. All of them are listed. */
  INVALID = 3,
  /** The change id was already used with different content. */
  CHANGE_ID_REUSED = 4,
  /** Send the request to the instance at leaderAddress. */
  NOT_LEADER = 5,
  /** The outcome is not known. Send the change again with the same id. */
  UNKNOWN = 6,
  /** The dry run found no reason to refuse the change. */
  WOULD_BE_ACCEPTED = 7,
}

struct Fault {
  /** The faulty field, for example services[3].shards. */
  1: string path,
  2: string message,
}

struct ApplyOutcome {
  1: ApplyStatus status,
  2: i64 revision,
  3: list<Fault> faults,
  4: string leaderAddress,
  5: list<string> differences,
}

struct ShowReply {
  1: bool found,
  2: i64 revision,
  3: Configuration configuration,
  4: string leaderAddress,
  /** False when this instance could not prove that its state is current. */
  5: bool confirmed,
}

struct HistoryEntry {
  1: i64 revision,
  2: string changeId,
  3: i64 baseRevision,
  4: i64 acceptedAtMilliseconds,
  5: list<string> differences,
}

/** A control instance as a member of the replicated log. */
struct Member {
  1: string name,
  2: string peerAddress,
  3: string entryAddress,
  4: string operatorAddress,
  5: string zone,
  /** Identifies the data folder. A new folder in place of a lost one has another id. */
  6: string storageId,
  /** Voters count for the quorum. Learners only receive the log. */
  7: bool voter,
  /**
   * Set in a joint membership, while one voter replaces another: the one that joins counts for the quorum of the new voters only, the one that leaves for
   * that of the old ones only. Both quorums are needed.
   */
  8: bool joining = false,
  9: bool leaving = false,
}

struct Membership {
  1: list<Member> members,
}

enum MemberChangeKind {
  /** Adds a learner. */
  ADD = 1,
  /** Makes a learner a voter, once it has caught up. */
  PROMOTE = 2,
  /** Removes a voter or learner. */
  REMOVE = 3,
  /** Makes a learner that has caught up a voter in place of another one, which becomes a learner. The number of voters stays the same. */
  REPLACE = 4,
}

struct MemberChange {
  1: MemberChangeKind kind,
  /** ADD: all fields. PROMOTE, REMOVE and REPLACE (the voter that is replaced): name and, if given, storageId. */
  2: Member member,
  /** REPLACE: the learner that takes its place, by name and, if given, storageId. */
  3: Member successor,
}

enum MemberStatus {
  /** The change is committed. */
  DONE = 1,
  REFUSED = 2,
  NOT_LEADER = 3,
  /** The outcome is not known. Query status() for it. */
  UNKNOWN = 4,
}

struct MemberOutcome {
  1: MemberStatus status,
  2: string message,
  3: string leaderAddress,
}

struct EntryConfirmation {
  1: string entryName,
  2: i64 confirmedRevision,
  3: i64 lastSeenMillisecondsAgo,
}

struct ControlStatus {
  1: string instanceName,
  2: string role,
  3: string leaderAddress,
  4: i64 term,
  5: i64 commitIndex,
  6: i64 lastIndex,
  7: i64 revision,
  8: i64 claims,
  9: list<EntryConfirmation> entries,
  10: bool confirmed,
  /** This instance itself, with the addresses from its settings. */
  11: Member identity,
  /** False until bootstrap, or until a leader has sent the log. */
  12: bool initialised,
  13: Membership membership,
  /** Why this instance's storage can't be trusted any more; empty when it can. */
  14: string storageFailure,
}

service Operator {
  ApplyOutcome apply(1: ApplyRequest request),
  /** Revision 0 requests the current revision. */
  ShowReply show(1: i64 revision),
  list<HistoryEntry> history(1: i32 limit),
  ControlStatus status(),
  /** Sent once to each initial member, with the same list, before any other request. */
  MemberOutcome bootstrap(1: Membership membership),
  MemberOutcome changeMember(1: MemberChange change),
  /** Returns the whole state of this process as a JSON document. */
  string dump(),
  /** Stops this process in a planned way: transfers leadership, finishes waiting requests and exits. */
  void drain(),
}
