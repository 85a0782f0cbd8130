/*
 * The interface that operators keep with their own code.
 *
 * Transport: framed TCP, compact protocol. Every field is tagged; readers
 * skip fields that they do not know, so fields may be added at any time and
 * a tag is never used again for another meaning.
 */
namespace cpp Protocol

/** One urgency class of requests and what is promised to it. */
struct UrgencyClass {
  1: string name,
  /** 0 is the most urgent. */
  2: i32 priority,
  3: i32 deadlineMilliseconds,
  /** Between 0 and 1. An answer that covers less is refused. */
  4: double minimumCoverage = 1.0,
  /** Whether an answer may lack shards at all. */
  5: bool partialAllowed = false,
}

/** One service that the tier fronts. */
struct ServiceDeclaration {
  1: string name,
  2: i32 shards,
  3: i32 replicasPerShard,
  4: i32 slotsPerReplica,
  5: i32 connectionCapPerReplica,
  6: string urgencyClass,
  /** Names of the actions, none of which may run twice. */
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
  /** Chosen by the operator. A resent change carries the same id. */
  1: string changeId,
  /** The revision that this change was made from. */
  2: i64 baseRevision,
  3: Configuration configuration,
  4: bool dryRun = false,
  /** When set, the content of this earlier revision becomes the new revision. */
  5: optional i64 rollbackTo,
}

enum ApplyStatus {
  ACCEPTED = 1,
  /** Another change was accepted since baseRevision. */
  CONFLICT = 2,
  /** The configuration has faults, all of which are listed. */
  INVALID = 3,
  /** The change id was used before for another content. */
  CHANGE_ID_REUSED = 4,
  /** Ask the instance named in leaderAddress. */
  NOT_LEADER = 5,
  /** The outcome is not known. Resend with the same change id. */
  UNKNOWN = 6,
  /** The dry run found nothing that speaks against the change. */
  WOULD_BE_ACCEPTED = 7,
}

struct Fault {
  /** Where, as in services[3].shards. */
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

/** One control instance, as the replicated log knows it. */
struct Member {
  1: string name,
  2: string peerAddress,
  3: string entryAddress,
  4: string operatorAddress,
  5: string zone,
  /** Names the data folder. A folder that was lost comes back with another one. */
  6: string storageId,
  /** Voters count for the quorum. Learners only receive the log. */
  7: bool voter,
}

struct Membership {
  1: list<Member> members,
}

enum MemberChangeKind {
  /** Adds a learner. */
  ADD = 1,
  /** Makes a learner a voter, once it has caught up. */
  PROMOTE = 2,
  /** Takes a voter or learner out. */
  REMOVE = 3,
}

struct MemberChange {
  1: MemberChangeKind kind,
  /** ADD: all fields. PROMOTE and REMOVE: name and, if given, storageId. */
  2: Member member,
}

enum MemberStatus {
  /** The change is committed. */
  DONE = 1,
  REFUSED = 2,
  NOT_LEADER = 3,
  /** The outcome is not known. Look at status. */
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
  /** False until bootstrap, or until a leader sent the log. */
  12: bool initialised,
  13: Membership membership,
  /** Empty, or why this instance's storage can't be trusted any more. */
  14: string storageFailure,
}

service Operator {
  ApplyOutcome apply(1: ApplyRequest request),
  /** Revision 0 asks for the current one. */
  ShowReply show(1: i64 revision),
  list<HistoryEntry> history(1: i32 limit),
  ControlStatus status(),
  /** Sent once to every founding member, with the same list, before anything else. */
  MemberOutcome bootstrap(1: Membership membership),
  MemberOutcome changeMember(1: MemberChange change),
  /** The whole state of this process, as a JSON document. */
  string dump(),
  /** A planned stop of this process: hands leadership over, finishes what waits, exits. */
  void drain(),
}
