/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibConsensus/ReplicatedLog.h>

#include <LibConsensus/Membership.h>
#include <LibCore/Invariant.h>
#include <LibCore/Log.h>

namespace Consensus
{

using Protocol::LogMessage;
using Protocol::MessageKind;

// Number of hexadecimal digits of the storage id in a member's name, enough that two data folders of one instance never get the same name.
static constexpr std::size_t StorageIdSuffixLength = 8;

const char *roleName(Role role)
{
    switch (role) {
    case Role::Follower:
        return "follower";
    case Role::PreCandidate:
        return "pre-candidate";
    case Role::Candidate:
        return "candidate";
    case Role::Leader:
        return "leader";
    case Role::Failed:
        return "failed";
    }
    return "unknown";
}

// C5. Each incarnation of an instance numbers its read index requests from a random start, so that their numbers differ.
static std::int64_t initialReadRequestNumber(std::mt19937_64 &random)
{
    return std::uniform_int_distribution<std::int64_t>(0, INT64_MAX / 2)(random);
}

ReplicatedLog::ReplicatedLog(
    ReplicatedLogOptions options, ReplicatedLogHooks hooks, Storage::WriteAheadLog &writeAheadLog, Storage::RecoveredState recovered, Core::Instant now)
    : options(std::move(options))
    , hooks(std::move(hooks))
    , writeAheadLog(writeAheadLog)
    , random(this->options.seed)
    , ownMember(this->options.identity)
    , store(writeAheadLog, recovered)
    , currentTerm(recovered.term)
    , votedFor(recovered.votedFor)
    , committed(this->store.snapshotIndex())
    , durableIndex(this->store.lastIndex())
    , readIndexRequests(initialReadRequestNumber(this->random))
{
    this->ownMember.storageId = recovered.storageId;
    if (this->options.appendStorageIdToName) {
        this->ownMember.name += '.';
        this->ownMember.name += recovered.storageId.substr(0, StorageIdSuffixLength);
    }
    this->startElectionTimer(now);
}

Core::Result<std::unique_ptr<ReplicatedLog>> ReplicatedLog::create(
    ReplicatedLogOptions options, ReplicatedLogHooks hooks, Storage::WriteAheadLog &writeAheadLog, Core::Instant now)
{
    auto recovered = writeAheadLog.takeRecoveredState();
    std::unique_ptr<ReplicatedLog> log(new ReplicatedLog(std::move(options), std::move(hooks), writeAheadLog, std::move(recovered), now));
    const auto &snapshot = log->store.snapshot();
    if (snapshot.has_value()) {
        auto restored = log->hooks.restoreSnapshot(snapshot->state);
        if (!restored.has_value()) {
            return tl::make_unexpected(restored.error());
        }
    }
    return log;
}

Role ReplicatedLog::role() const
{
    return this->currentRole;
}

std::int64_t ReplicatedLog::term() const
{
    return this->currentTerm;
}

std::int64_t ReplicatedLog::commitIndex() const
{
    return this->committed;
}

std::int64_t ReplicatedLog::lastIndex() const
{
    return this->store.lastIndex();
}

const Protocol::Member &ReplicatedLog::identity() const
{
    return this->ownMember;
}

const Protocol::Membership &ReplicatedLog::membership() const
{
    return this->store.membership();
}

bool ReplicatedLog::isInitialised() const
{
    return !this->store.membership().members.empty();
}

const Protocol::Member *ReplicatedLog::leader() const
{
    return findMember(this->store.membership(), this->leaderName);
}

std::int64_t ReplicatedLog::matchIndexOf(const std::string &name) const
{
    const auto found = this->progress.find(name);
    return found == this->progress.end() ? 0 : found->second.matchIndex;
}

std::vector<std::string> ReplicatedLog::holdersOf(std::int64_t index) const
{
    std::vector<std::string> holders;
    for (const auto &member : this->store.membership().members) {
        const auto held = member.name == this->ownMember.name ? this->durableIndex : this->matchIndexOf(member.name);
        if (held >= index) {
            holders.push_back(member.name);
        }
    }
    return holders;
}

Core::Instant ReplicatedLog::lastContactWith(const std::string &name) const
{
    const auto found = this->progress.find(name);
    return found == this->progress.end() ? Core::Instant() : found->second.lastContact;
}

std::optional<Core::Instant> ReplicatedLog::lastReplyFrom(const std::string &name) const
{
    const auto found = this->progress.find(name);
    return found == this->progress.end() || !found->second.hasReplied ? std::nullopt : std::optional(found->second.lastContact);
}

const std::string &ReplicatedLog::storageFailure() const
{
    return this->failureMessage;
}

// ---- Messages and storage

LogMessage ReplicatedLog::messageFor(const Protocol::Member &receiver, MessageKind::type kind) const
{
    LogMessage message;
    message.kind = kind;
    message.sender = this->ownMember.name;
    message.storageId = this->ownMember.storageId;
    message.senderAddress = this->ownMember.peerAddress;
    message.receiverStorageId = receiver.storageId;
    message.term = this->currentTerm;
    message.commitIndex = this->committed;
    message.round = this->round;
    return message;
}

LogMessage ReplicatedLog::replyTo(const LogMessage &request, MessageKind::type kind) const
{
    Protocol::Member receiver;
    receiver.storageId = request.storageId;
    LogMessage reply = this->messageFor(receiver, kind);
    reply.round = request.round;
    return reply;
}

void ReplicatedLog::sendReply(const LogMessage &request, LogMessage reply)
{
    Protocol::Member receiver;
    receiver.name = request.sender;
    receiver.peerAddress = request.senderAddress;
    receiver.storageId = request.storageId;
    this->hooks.send(receiver, std::move(reply));
}

bool ReplicatedLog::makeDurable()
{
    if (this->currentRole == Role::Failed) {
        return false;
    }
    const auto outcome = this->writeAheadLog.flush();
    if (!outcome.has_value()) {
        this->failureMessage = outcome.error().message;
        this->fail();
        return false;
    }
    this->durableIndex = this->store.lastIndex();
    return true;
}

void ReplicatedLog::fail()
{
    Core::logEvent(Core::LogLevel::Error, "log.storage_failed", {{"error", this->failureMessage}});
    this->currentRole = Role::Failed;
    this->leaderName.clear();
    this->failConfirmations();
    this->readIndexRequests.failAll();
}

// ---- Timers

// When all members start at once, there is no leader to wait for, so the voters start elections one after the other at a fixed interval.
// When there is a leader, E2 prevents that a member which has just started displaces it.
bool ReplicatedLog::usesElectionStagger() const
{
    return this->options.initialElectionStagger.has_value() && !this->hadLeaderContact && this->isVotingMember();
}

void ReplicatedLog::resetElectionTimer(Core::Instant now)
{
    if (this->usesElectionStagger()) {
        this->electionDue = now + voterCount(this->store.membership()) * this->options.initialElectionStagger.value();
        return;
    }
    const auto base = this->options.electionTimeout.count();
    std::uniform_int_distribution<Core::Duration::rep> jitter(0, base);
    this->electionDue = now + Core::Duration(base + jitter(this->random));
}

void ReplicatedLog::startElectionTimer(Core::Instant now)
{
    if (!this->usesElectionStagger()) {
        this->resetElectionTimer(now);
        return;
    }
    const auto precedingVoters = votersBefore(this->store.membership(), this->ownMember.name);
    this->electionDue = now + (precedingVoters + 1) * this->options.initialElectionStagger.value();
}

bool ReplicatedLog::isVotingMember() const
{
    return isVoter(this->store.membership(), this->ownMember.name, this->ownMember.storageId);
}

void ReplicatedLog::tick(Core::Instant now)
{
    if (this->currentRole == Role::Failed) {
        return;
    }
    if (this->currentRole == Role::Leader) {
        this->leaderTick(now);
        return;
    }
    // A read index request without a reply for the election timeout was lost, or its reply was.
    this->readIndexRequests.failSentBefore(now - this->options.electionTimeout);
    if (now < this->electionDue) {
        return;
    }
    this->resetElectionTimer(now);
    if (this->isVotingMember()) {
        this->startPreVote(now);
    }
}

void ReplicatedLog::leaderTick(Core::Instant now)
{
    // E6. A leader that has received no replies from a quorum within the election timeout steps down.
    const bool hasQuorumContact = hasQuorum(this->store.membership(), [this, now](const Protocol::Member &voter) {
        return voter.name == this->ownMember.name || now - this->lastContactWith(voter.name) < this->options.electionTimeout;
    });
    if (!hasQuorumContact) {
        Core::logEvent(Core::LogLevel::Warning, "log.leader_without_quorum", {{"term", this->currentTerm}});
        this->becomeFollower(this->currentTerm, {}, now);
        return;
    }
    if (now >= this->nextHeartbeat) {
        this->nextHeartbeat = now + this->options.heartbeatPeriod;
        this->broadcastAppend();
    }
}

void ReplicatedLog::receive(const LogMessage &message, Core::Instant now)
{
    if (this->currentRole == Role::Failed) {
        return;
    }
    // M4. A message that is addressed to another data folder is ignored.
    if (message.receiverStorageId != this->ownMember.storageId) {
        Core::logEvent(Core::LogLevel::Debug, "log.message_for_other_folder", {{"sender", message.sender}});
        return;
    }
    // E5. A message with a higher term makes any instance a follower in that term. Vote requests are checked by E2 first.
    const bool isVoteRequest = message.kind == MessageKind::PRE_VOTE_REQUEST || message.kind == MessageKind::VOTE_REQUEST;
    const bool isPreVoteGrant = message.kind == MessageKind::PRE_VOTE_REPLY && message.granted;
    if (message.term > this->currentTerm && !isVoteRequest && !isPreVoteGrant) {
        this->becomeFollower(message.term, {}, now);
    }
    switch (message.kind) {
    case MessageKind::PRE_VOTE_REQUEST:
        this->handlePreVoteRequest(message, now);
        break;
    case MessageKind::VOTE_REQUEST:
        this->handleVoteRequest(message, now);
        break;
    case MessageKind::PRE_VOTE_REPLY:
    case MessageKind::VOTE_REPLY:
        this->handleVoteReply(message, now);
        break;
    case MessageKind::APPEND_REQUEST:
        this->handleAppendRequest(message, now);
        break;
    case MessageKind::APPEND_REPLY:
        this->handleAppendReply(message, now);
        break;
    case MessageKind::SNAPSHOT_REQUEST:
        this->handleSnapshotRequest(message, now);
        break;
    case MessageKind::SNAPSHOT_REPLY:
        this->handleSnapshotReply(message, now);
        break;
    case MessageKind::LEADERSHIP_TRANSFER:
        this->handleLeadershipTransfer(message, now);
        break;
    case MessageKind::READ_INDEX_REQUEST:
        this->handleReadIndexRequest(message);
        break;
    case MessageKind::READ_INDEX_REPLY:
        this->handleReadIndexReply(message);
        break;
    }
}

// ---- Elections

void ReplicatedLog::setTerm(std::int64_t newTerm, const std::string &vote)
{
    if (newTerm == this->currentTerm && vote == this->votedFor) {
        return;
    }
    this->currentTerm = newTerm;
    this->votedFor = vote;
    this->writeAheadLog.queueVote(newTerm, vote);
}

void ReplicatedLog::becomeFollower(std::int64_t newTerm, const std::string &leader, Core::Instant now)
{
    const bool wasLeader = this->currentRole == Role::Leader;
    if (newTerm > this->currentTerm) {
        this->setTerm(newTerm, {});
    }
    this->currentRole = Role::Follower;
    const bool leaderChanged = this->leaderName != leader;
    this->leaderName = leader;
    this->votes.clear();
    if (leaderChanged) {
        this->readIndexRequests.failAll();
    }
    if (wasLeader) {
        Core::logEvent(Core::LogLevel::Information, "log.stepped_down", {{"term", this->currentTerm}});
        this->progress.clear();
        this->failConfirmations();
        this->resetElectionTimer(now);
    }
}

void ReplicatedLog::startPreVote(Core::Instant now)
{
    // E1. A voter that has received nothing from a leader for its election timeout starts a pre-vote: it asks the voters whether they would
    // vote for it. It keeps its term meanwhile.
    this->currentRole = Role::PreCandidate;
    this->leaderName.clear();
    this->readIndexRequests.failAll();
    this->votes.clear();
    this->votes[this->ownMember.name] = this->ownMember.storageId;
    // Consecutive pre-votes have the same term, so the round tells which pre-vote a reply belongs to.
    ++this->round;
    this->requestVotes(MessageKind::PRE_VOTE_REQUEST, this->currentTerm + 1, false);
    this->countVotes(now);
}

void ReplicatedLog::startElection(Core::Instant now, bool transfer)
{
    this->currentRole = Role::Candidate;
    this->readIndexRequests.failAll();
    // E3. A vote, including the candidate's own, is on disk before any message shows it.
    this->setTerm(this->currentTerm + 1, this->ownMember.storageId);
    if (!this->makeDurable()) {
        return;
    }
    this->votes.clear();
    this->votes[this->ownMember.name] = this->ownMember.storageId;
    this->requestVotes(MessageKind::VOTE_REQUEST, this->currentTerm, transfer);
    this->countVotes(now);
}

void ReplicatedLog::requestVotes(MessageKind::type kind, std::int64_t electionTerm, bool transfer)
{
    for (const auto &member : this->store.membership().members) {
        if (!member.voter || member.name == this->ownMember.name) {
            continue;
        }
        LogMessage message = this->messageFor(member, kind);
        message.term = electionTerm;
        message.transfer = transfer;
        message.previousIndex = this->store.lastIndex();
        message.previousTerm = this->store.lastTerm();
        this->hooks.send(member, std::move(message));
    }
}

bool ReplicatedLog::isUpToDate(const LogMessage &request) const
{
    if (request.previousTerm != this->store.lastTerm()) {
        return request.previousTerm > this->store.lastTerm();
    }
    return request.previousIndex >= this->store.lastIndex();
}

bool ReplicatedLog::hadRecentLeaderContact(Core::Instant now) const
{
    if (this->currentRole == Role::Leader) {
        return true;
    }
    return this->hadLeaderContact && now - this->lastLeaderContact < this->options.electionTimeout;
}

void ReplicatedLog::handlePreVoteRequest(const LogMessage &message, Core::Instant now)
{
    // E2. A pre-vote is granted only when no message from a leader was received within the election timeout and the log of the requesting
    // member is at least as up to date as this one.
    LogMessage reply = this->replyTo(message, MessageKind::PRE_VOTE_REPLY);
    reply.granted = message.term > this->currentTerm && !this->hadRecentLeaderContact(now) && this->isUpToDate(message);
    reply.term = reply.granted ? message.term : this->currentTerm;
    if (this->makeDurable()) {
        this->sendReply(message, std::move(reply));
    }
}

void ReplicatedLog::handleVoteRequest(const LogMessage &message, Core::Instant now)
{
    // E2. A vote request is ignored while there is a leader, so that an instance which was removed or partitioned can't displace it.
    const bool isNewTerm = message.term > this->currentTerm;
    if (isNewTerm && !message.transfer && this->hadRecentLeaderContact(now)) {
        return;
    }
    if (isNewTerm) {
        this->becomeFollower(message.term, {}, now);
    }
    // E3. An instance votes for one candidate in a term.
    const bool canGrantVote = this->votedFor.empty() || this->votedFor == message.storageId;
    LogMessage reply = this->replyTo(message, MessageKind::VOTE_REPLY);
    reply.granted = message.term == this->currentTerm && canGrantVote && this->isUpToDate(message);
    reply.term = this->currentTerm;
    if (reply.granted) {
        this->setTerm(this->currentTerm, message.storageId);
        this->resetElectionTimer(now);
    }
    if (this->makeDurable()) {
        this->sendReply(message, std::move(reply));
    }
}

void ReplicatedLog::handleVoteReply(const LogMessage &message, Core::Instant now)
{
    const bool matchesPreVote = message.kind == MessageKind::PRE_VOTE_REPLY && message.term == this->currentTerm + 1 && message.round == this->round;
    const bool countsForPreVote = this->currentRole == Role::PreCandidate && matchesPreVote;
    const bool countsForVote = this->currentRole == Role::Candidate && message.kind == MessageKind::VOTE_REPLY && message.term == this->currentTerm;
    if (!message.granted || (!countsForPreVote && !countsForVote)) {
        return;
    }
    this->votes[message.sender] = message.storageId;
    this->countVotes(now);
}

void ReplicatedLog::countVotes(Core::Instant now)
{
    // E4. Only the votes of voters count, and only with the storage id that the membership lists for them.
    const bool won = hasQuorum(this->store.membership(), [this](const Protocol::Member &voter) {
        const auto vote = this->votes.find(voter.name);
        return vote != this->votes.end() && vote->second == voter.storageId;
    });
    if (!won) {
        return;
    }
    if (this->currentRole == Role::PreCandidate) {
        this->startElection(now, false);
    } else if (this->currentRole == Role::Candidate) {
        this->becomeLeader(now);
    }
}

void ReplicatedLog::handleLeadershipTransfer(const LogMessage &message, Core::Instant now)
{
    // E7. When the leader requests a leadership transfer, the voter starts an election at once, without a pre-vote.
    const bool fromLeader = message.term == this->currentTerm && message.sender == this->leaderName;
    if (fromLeader && this->isVotingMember() && this->currentRole == Role::Follower) {
        this->startElection(now, true);
    }
}

bool ReplicatedLog::transferLeadership(Core::Instant now)
{
    const Protocol::Member *mostUpToDate = nullptr;
    for (const auto &member : this->store.membership().members) {
        const bool reachable = now - this->lastContactWith(member.name) < this->options.electionTimeout;
        const bool eligible = member.voter && !member.leaving && member.name != this->ownMember.name && reachable;
        if (eligible && (mostUpToDate == nullptr || this->matchIndexOf(member.name) > this->matchIndexOf(mostUpToDate->name))) {
            mostUpToDate = &member;
        }
    }
    if (this->currentRole != Role::Leader || mostUpToDate == nullptr) {
        return false;
    }
    this->hooks.send(*mostUpToDate, this->messageFor(*mostUpToDate, MessageKind::LEADERSHIP_TRANSFER));
    return true;
}

void ReplicatedLog::becomeLeader(Core::Instant now)
{
    this->currentRole = Role::Leader;
    this->leaderName = this->ownMember.name;
    this->progress.clear();
    for (const auto &member : this->store.membership().members) {
        this->progress[member.name] = Progress{.nextIndex = this->store.lastIndex() + 1, .lastContact = now};
    }
    this->nextHeartbeat = now + this->options.heartbeatPeriod;
    Core::logEvent(Core::LogLevel::Information,
        "log.became_leader",
        {{"term", this->currentTerm},
            {"last_index", this->store.lastIndex()},
            {"committed", this->committed},
            {"votes", this->votes.size()},
            {"voters", voterCount(this->store.membership())}});
    // E4. A new leader begins its term with an empty entry.
    this->termStartIndex = this->store.lastIndex() + 1;
    const auto appended = this->appendEntry(Protocol::LogEntry{});
    Core::verify(appended.has_value(), "a new leader can append");
    this->flush(now);
}

// ---- Replication, leader

Core::Result<std::int64_t> ReplicatedLog::appendEntry(Protocol::LogEntry entry)
{
    if (this->currentRole != Role::Leader) {
        return Core::failure(Core::ErrorKind::Unreachable, "this instance is not the leader");
    }
    entry.index = this->store.lastIndex() + 1;
    entry.term = this->currentTerm;
    this->store.append(entry);
    this->hooks.flushNeeded();
    return entry.index;
}

Core::Result<std::int64_t> ReplicatedLog::propose(std::string command)
{
    Protocol::LogEntry entry;
    entry.command = std::move(command);
    return this->appendEntry(std::move(entry));
}

Core::Result<std::int64_t> ReplicatedLog::proposeMembership(const Protocol::MemberChange &change)
{
    if (this->currentRole != Role::Leader) {
        return Core::failure(Core::ErrorKind::Unreachable, "this instance is not the leader");
    }
    // M1. Membership changes are made one at a time, and the first one only after the leader has committed an entry of its own term.
    if (this->committed < this->termStartIndex || this->store.membershipIndex() > this->committed) {
        return Core::failure(Core::ErrorKind::LimitReached, "an earlier membership change or the first entry of this leader's term is not committed yet");
    }
    // M3. A learner becomes a voter only after its log has reached the commit index.
    const bool isReplacement = change.kind == Protocol::MemberChangeKind::REPLACE;
    const auto &learner = isReplacement ? change.successor.name : change.member.name;
    if ((isReplacement || change.kind == Protocol::MemberChangeKind::PROMOTE) && this->matchIndexOf(learner) < this->committed) {
        return Core::failure(Core::ErrorKind::LimitReached, learner + " has not caught up yet");
    }
    MembershipProposal proposal = applyChange(this->store.membership(), change);
    if (!proposal.membership.has_value()) {
        return Core::failure(Core::ErrorKind::InvalidInput, proposal.refusal);
    }
    // M2. A membership is in effect as soon as its entry is in the log, before it is committed.
    Protocol::LogEntry entry;
    entry.__set_membership(proposal.membership.value());
    for (const auto &member : entry.membership.members) {
        this->progress.try_emplace(member.name, Progress{.nextIndex = this->store.lastIndex() + 1, .lastContact = this->nextHeartbeat});
    }
    if (change.kind == Protocol::MemberChangeKind::REMOVE) {
        this->progress.erase(change.member.name);
    }
    return this->appendEntry(std::move(entry));
}

Core::Result<void> ReplicatedLog::bootstrap(const Protocol::Membership &membership)
{
    if (this->currentRole == Role::Failed) {
        return Core::failure(Core::ErrorKind::Storage, this->failureMessage);
    }
    if (this->isInitialised()) {
        // A bootstrap request that is sent again with the same membership succeeds, even when the membership has changed since.
        const bool same = this->store.membershipAt(1) == membership;
        return same ? Core::Result<void>{} : Core::failure(Core::ErrorKind::InvalidInput, "this instance already belongs to a log");
    }
    if (!isVoter(membership, this->ownMember.name, this->ownMember.storageId)) {
        return Core::failure(Core::ErrorKind::InvalidInput, "the membership does not list this instance with its storage id as a voter");
    }
    // M5. All initial members start with the same first entry.
    Protocol::LogEntry entry;
    entry.index = 1;
    entry.term = 1;
    entry.__set_membership(membership);
    this->setTerm(std::max<std::int64_t>(this->currentTerm, 1), this->votedFor);
    this->store.append(entry);
    if (!this->makeDurable()) {
        return Core::failure(Core::ErrorKind::Storage, this->failureMessage);
    }
    return {};
}

void ReplicatedLog::flush(Core::Instant now)
{
    if (!this->makeDurable()) {
        return;
    }
    if (this->currentRole != Role::Leader) {
        this->sendReadIndexRequest(now);
        return;
    }
    if (std::exchange(this->roundRequested, false)) {
        ++this->round;
    }
    this->nextHeartbeat = now + this->options.heartbeatPeriod;
    this->broadcastAppend();
    this->advanceCommit();
    this->finishConfirmations();
}

void ReplicatedLog::broadcastAppend()
{
    const Protocol::Membership membership = this->store.membership();
    for (const auto &member : membership.members) {
        if (member.name != this->ownMember.name) {
            this->sendAppend(member);
        }
    }
}

void ReplicatedLog::sendAppend(const Protocol::Member &member)
{
    auto &progress = this->progress[member.name];
    const auto previousTerm = this->store.termAt(progress.nextIndex - 1);
    if (!previousTerm.has_value()) {
        this->sendSnapshotPiece(member, progress);
        return;
    }
    // R1. Entries are sent with the index and term of the entry before them.
    LogMessage message = this->messageFor(member, MessageKind::APPEND_REQUEST);
    message.previousIndex = progress.nextIndex - 1;
    message.previousTerm = previousTerm.value();
    message.entries = this->store.entriesFrom(progress.nextIndex, this->options.maximumBytesPerMessage);
    // NOTE: nextIndex advances before a reply is received, so that the next message continues after this one. When this one is lost, the
    // receiver rejects the next one, which resets nextIndex.
    progress.nextIndex += static_cast<std::int64_t>(message.entries.size());
    this->hooks.send(member, std::move(message));
}

void ReplicatedLog::sendSnapshotPiece(const Protocol::Member &member, Progress &progress)
{
    const auto &snapshot = this->store.snapshot();
    Core::verify(snapshot.has_value(), "entries that were removed are in a snapshot");
    if (progress.snapshotIndex != snapshot->index) {
        progress.snapshotIndex = snapshot->index;
        progress.snapshotOffset = 0;
    }
    const auto offset = static_cast<std::size_t>(progress.snapshotOffset);
    LogMessage message = this->messageFor(member, MessageKind::SNAPSHOT_REQUEST);
    message.previousIndex = snapshot->index;
    message.previousTerm = snapshot->term;
    message.__set_piece(snapshot->state.substr(std::min(offset, snapshot->state.size()), this->options.snapshotPieceBytes));
    message.pieceOffset = progress.snapshotOffset;
    message.lastPiece = offset + message.piece.size() >= snapshot->state.size();
    message.__set_membership(snapshot->membership);
    this->hooks.send(member, std::move(message));
}

ReplicatedLog::Progress *ReplicatedLog::progressOfSender(const LogMessage &message)
{
    if (this->currentRole != Role::Leader || message.term != this->currentTerm) {
        return nullptr;
    }
    const auto *member = findMember(this->store.membership(), message.sender);
    const bool sameFolder = member != nullptr && member->storageId == message.storageId;
    const auto found = this->progress.find(message.sender);
    return sameFolder && found != this->progress.end() ? &found->second : nullptr;
}

void ReplicatedLog::recordContact(Progress &progress, const LogMessage &message, Core::Instant now)
{
    progress.lastContact = now;
    progress.hasReplied = true;
    progress.confirmedRound = std::max(progress.confirmedRound, message.round);
}

void ReplicatedLog::handleAppendReply(const LogMessage &message, Core::Instant now)
{
    auto *progress = this->progressOfSender(message);
    if (progress == nullptr) {
        return;
    }
    recordContact(*progress, message, now);
    if (message.granted) {
        progress->matchIndex = std::max(progress->matchIndex, message.matchIndex);
        progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
        this->advanceCommit();
    } else {
        progress->nextIndex = std::max(progress->matchIndex, std::min(progress->nextIndex - 1, message.matchIndex)) + 1;
    }
    this->finishConfirmations();
    const bool behind = this->currentRole == Role::Leader && (!message.granted || progress->nextIndex <= this->store.lastIndex());
    const auto *member = findMember(this->store.membership(), message.sender);
    if (behind && member != nullptr) {
        const Protocol::Member receiver = *member;
        this->sendAppend(receiver);
    }
}

void ReplicatedLog::handleSnapshotReply(const LogMessage &message, Core::Instant now)
{
    auto *progress = this->progressOfSender(message);
    if (progress == nullptr) {
        return;
    }
    recordContact(*progress, message, now);
    this->finishConfirmations();
    if (message.granted) {
        progress->matchIndex = std::max(progress->matchIndex, message.matchIndex);
        progress->nextIndex = progress->matchIndex + 1;
        progress->snapshotIndex = 0;
        this->advanceCommit();
        return;
    }
    if (message.previousIndex != progress->snapshotIndex) {
        return;
    }
    // NOTE: A delayed reply may move the offset back. The receiver's reply to the next heartbeat has the right offset again.
    const bool advanced = message.pieceOffset > progress->snapshotOffset;
    progress->snapshotOffset = message.pieceOffset;
    if (advanced) {
        const Protocol::Member receiver = *findMember(this->store.membership(), message.sender);
        this->sendAppend(receiver);
    }
}

void ReplicatedLog::advanceCommit()
{
    if (this->currentRole != Role::Leader) {
        return;
    }
    const std::int64_t quorumIndex = quorumValue(this->store.membership(), [this](const Protocol::Member &voter) {
        return voter.name == this->ownMember.name ? this->durableIndex : this->matchIndexOf(voter.name);
    });
    // R5. An entry is committed when a quorum has it on disk and it, or an entry after it that a quorum has on disk, is of the leader's own
    // term.
    if (quorumIndex > this->committed && this->store.termAt(quorumIndex) == this->currentTerm) {
        this->commitTo(quorumIndex);
    }
}

// ---- Replication, follower

void ReplicatedLog::handleAppendRequest(const LogMessage &message, Core::Instant now)
{
    LogMessage reply = this->replyTo(message, MessageKind::APPEND_REPLY);
    if (message.term < this->currentTerm) {
        if (this->makeDurable()) {
            this->sendReply(message, std::move(reply));
        }
        return;
    }
    Core::verify(this->currentRole != Role::Leader, "a term has one leader");
    this->becomeFollower(message.term, message.sender, now);
    this->lastLeaderContact = now;
    this->hadLeaderContact = true;
    this->resetElectionTimer(now);

    // R2. Entries are accepted only when this log holds the entry before them with the same term.
    const auto heldTerm = this->store.termAt(message.previousIndex);
    const bool beforeSnapshot = message.previousIndex < this->store.snapshotIndex();
    reply.granted = beforeSnapshot || heldTerm == message.previousTerm;
    if (reply.granted) {
        reply.matchIndex = this->storeEntries(message);
    } else {
        reply.matchIndex = std::min(message.previousIndex - 1, this->store.lastIndex());
    }
    // R4. Entries are on disk before they are acknowledged.
    if (!this->makeDurable()) {
        return;
    }
    reply.term = this->currentTerm;
    if (reply.granted) {
        // R6. A follower applies the leader's commit index up to the last entry that is known to equal the leader's.
        this->commitTo(std::min(message.commitIndex, reply.matchIndex));
    }
    this->sendReply(message, std::move(reply));
}

std::int64_t ReplicatedLog::storeEntries(const LogMessage &message)
{
    for (const auto &entry : message.entries) {
        if (entry.index <= this->store.snapshotIndex() || this->store.termAt(entry.index) == entry.term) {
            continue;
        }
        // R3. An entry whose term differs from the leader's is removed with all entries after it.
        if (entry.index <= this->store.lastIndex()) {
            Core::verify(entry.index > this->committed, "committed entries are never removed");
            Core::logEvent(Core::LogLevel::Warning,
                "log.entries_removed",
                {{"from", entry.index}, {"to", this->store.lastIndex()}, {"committed", this->committed}, {"leader", message.sender}, {"term", message.term}});
            this->store.truncateFrom(entry.index);
        }
        Core::verify(entry.index == this->store.lastIndex() + 1, "entries are consecutive");
        this->store.append(entry);
    }
    return std::max(message.previousIndex + static_cast<std::int64_t>(message.entries.size()), this->store.snapshotIndex());
}

void ReplicatedLog::handleSnapshotRequest(const LogMessage &message, Core::Instant now)
{
    if (message.term < this->currentTerm) {
        return;
    }
    this->becomeFollower(message.term, message.sender, now);
    this->lastLeaderContact = now;
    this->hadLeaderContact = true;
    this->resetElectionTimer(now);
    auto &incoming = this->incomingSnapshot;
    if (message.pieceOffset == 0) {
        incoming = IncomingSnapshot{.index = message.previousIndex, .state = {}};
    }
    const bool isNextPiece = incoming.index == message.previousIndex && static_cast<std::int64_t>(incoming.state.size()) == message.pieceOffset;
    if (isNextPiece) {
        incoming.state += message.piece;
    }
    if (isNextPiece && message.lastPiece && message.previousIndex > this->committed) {
        this->installSnapshot(message);
    }
    if (!this->makeDurable()) {
        return;
    }
    LogMessage reply = this->replyTo(message, MessageKind::SNAPSHOT_REPLY);
    reply.previousIndex = message.previousIndex;
    reply.pieceOffset = static_cast<std::int64_t>(incoming.state.size());
    reply.granted = this->committed >= message.previousIndex;
    reply.matchIndex = reply.granted ? message.previousIndex : 0;
    this->sendReply(message, std::move(reply));
}

void ReplicatedLog::installSnapshot(const LogMessage &message)
{
    Protocol::StoredSnapshot snapshot;
    snapshot.index = message.previousIndex;
    snapshot.term = message.previousTerm;
    snapshot.state = std::move(this->incomingSnapshot.state);
    snapshot.membership = message.membership;
    this->incomingSnapshot = IncomingSnapshot{};
    const auto lastBefore = this->store.lastIndex();
    auto outcome = this->writeAheadLog.flush();
    if (outcome.has_value()) {
        outcome = this->store.install(snapshot, this->currentTerm, this->votedFor);
    }
    if (outcome.has_value()) {
        outcome = this->hooks.restoreSnapshot(snapshot.state);
    }
    if (!outcome.has_value()) {
        this->failureMessage = outcome.error().message;
        this->fail();
        return;
    }
    this->committed = snapshot.index;
    this->readIndexRequests.confirmUpTo(this->committed);
    Core::logEvent(Core::LogLevel::Information,
        "log.snapshot_installed",
        {{"index", snapshot.index},
            {"term", snapshot.term},
            {"bytes", snapshot.state.size()},
            {"leader", message.sender},
            {"last_before", lastBefore},
            {"last_index", this->store.lastIndex()}});
}

// ---- Committed entries

void ReplicatedLog::commitTo(std::int64_t index)
{
    while (this->committed < index) {
        const Protocol::LogEntry entry = this->store.entryAt(this->committed + 1);
        this->committed = entry.index;
        this->hooks.apply(entry);
    }
    this->readIndexRequests.confirmUpTo(this->committed);
    const bool removed = this->currentRole == Role::Leader && this->store.membershipIndex() <= this->committed && !this->isVotingMember();
    this->finishReplacementIfCommitted();
    if (removed) {
        // M6. A leader that was removed or is no longer a voter steps down once this change is committed.
        this->currentRole = Role::Follower;
        this->leaderName.clear();
        this->progress.clear();
        this->failConfirmations();
    }
    this->compactIfDue();
}

// M7. A replacement of a voter ends with a second entry, once the joint membership is committed by both quorums. Whoever leads by then appends it.
void ReplicatedLog::finishReplacementIfCommitted()
{
    const bool isCommitted = this->committed >= this->termStartIndex && this->store.membershipIndex() <= this->committed;
    if (this->currentRole != Role::Leader || !isCommitted || !isJoint(this->store.membership())) {
        return;
    }
    Protocol::LogEntry entry;
    entry.__set_membership(finishReplacement(this->store.membership()));
    const auto appended = this->appendEntry(std::move(entry));
    Core::verify(appended.has_value(), "a leader can append");
}

void ReplicatedLog::compactIfDue()
{
    if (this->committed - this->store.snapshotIndex() < this->options.entriesBetweenSnapshots) {
        return;
    }
    // NOTE: compact() rewrites the remaining log and discards queued records, so they have to be flushed first.
    if (!this->makeDurable()) {
        return;
    }
    const auto outcome = this->store.compact(this->committed, this->hooks.takeSnapshot(), this->currentTerm, this->votedFor);
    if (!outcome.has_value()) {
        this->failureMessage = outcome.error().message;
        this->fail();
    }
}

// ---- Confirmation of leadership

void ReplicatedLog::confirmLeadership(ConfirmHook hook)
{
    if (this->currentRole != Role::Leader) {
        hook(false);
        return;
    }
    // C1. A request is confirmed by replies to a round of messages that starts after the request.
    this->roundRequested = true;
    this->confirmations.push_back(PendingConfirmation{.round = this->round + 1, .hook = std::move(hook)});
    this->hooks.flushNeeded();
}

void ReplicatedLog::finishConfirmations()
{
    // C2. Leadership is confirmed when a quorum has replied to that round and an entry of the leader's own term is committed.
    if (this->currentRole != Role::Leader || this->committed < this->termStartIndex) {
        return;
    }
    const std::int64_t confirmedRound = quorumValue(this->store.membership(), [this](const Protocol::Member &voter) {
        return voter.name == this->ownMember.name ? this->round : this->progress[voter.name].confirmedRound;
    });
    std::vector<PendingConfirmation> finished;
    auto &waiting = this->confirmations;
    while (!waiting.empty() && waiting.front().round <= confirmedRound) {
        finished.push_back(std::move(waiting.front()));
        waiting.erase(waiting.begin());
    }
    for (const auto &confirmation : finished) {
        confirmation.hook(true);
    }
}

void ReplicatedLog::failConfirmations()
{
    for (const auto &confirmation : std::exchange(this->confirmations, {})) {
        confirmation.hook(false);
    }
}

// ---- Read index requests

void ReplicatedLog::confirmCurrent(ConfirmHook hook)
{
    if (this->currentRole == Role::Leader) {
        this->confirmLeadership(std::move(hook));
        return;
    }
    if (this->currentRole != Role::Follower || this->leader() == nullptr) {
        hook(false);
        return;
    }
    this->readIndexRequests.add(std::move(hook));
    this->hooks.flushNeeded();
}

// C3. A follower sends one read index request to the leader for all readers that were added since the last flush.
void ReplicatedLog::sendReadIndexRequest(Core::Instant now)
{
    const auto *leader = this->leader();
    if (leader == nullptr || !this->readIndexRequests.isRequestDue()) {
        return;
    }
    LogMessage readRequest = this->messageFor(*leader, MessageKind::READ_INDEX_REQUEST);
    readRequest.round = this->readIndexRequests.startRequest(now);
    this->hooks.send(*leader, std::move(readRequest));
}

void ReplicatedLog::handleReadIndexRequest(const LogMessage &message)
{
    this->confirmLeadership([this, message](bool confirmed) {
        // NOTE: An instance that is no longer the leader sends no reply, since its new term may not be on disk yet. The requesting follower
        // fails its readers when it has another leader or after the election timeout.
        if (confirmed) {
            this->sendReply(message, this->replyTo(message, MessageKind::READ_INDEX_REPLY));
        }
    });
}

void ReplicatedLog::handleReadIndexReply(const LogMessage &message)
{
    const bool fromLeader = this->currentRole == Role::Follower && message.term == this->currentTerm && message.sender == this->leaderName;
    if (!fromLeader) {
        return;
    }
    // C4. The state of this instance is current once it has applied the entries up to the leader's commit index.
    this->readIndexRequests.handleReply(message.round, message.commitIndex);
    this->readIndexRequests.confirmUpTo(this->committed);
}

}
