/*
 * Models reads that are confirmed by a read index request (docs/REPLICATED-LOG.md,
 * C1 to C5), with three voters and a learner that requests the leader's commit
 * index. The log is a number of entries, each of which exists from the moment that
 * a quorum has it. Messages may be lost, duplicated or delayed; the learner may
 * crash and restart.
 *
 * Checked: when the learner confirms a read, it has applied everything that was
 * committed when the read arrived.
 *
 * MUTANT 1: the leader replies without a round of messages to its quorum (C2).
 * MUTANT 2: requests are numbered from the beginning in each incarnation (C5).
 * MUTANT 3: the learner does not wait until it has applied the index (C4).
 * MUTANT 4: the leader replies before an entry of its own term is committed (C2).
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define VOTERS 3
#define LEARNER 3
#define TERMS 2
#define LENGTH 2
#define READS 2

byte term[4];
byte length[4];
byte applied[4];
bool leads[VOTERS];
bool committedOwnTerm[VOTERS];  /* the leader has committed an entry of its own term */
byte committed;

byte number;                    /* of the learner's latest request */
bool waiting;
byte committedAtRead;           /* number of committed entries when the read arrived */
bool hasIndex;
byte index;

bool requestInFlight;           /* a request is in flight */
byte requestNumber;
byte requestTerm;
bool received;                  /* a leader has received it */
byte receiver;
byte receivedNumber;
bool replyInFlight;             /* a reply is in flight, and may arrive more than once */
byte replyNumber;
byte replyTerm;
byte replyIndex;

/* Two voters are a quorum, so the one with the longer log of the two has all committed entries. */
inline elect(c, v, t) {
    if
    :: term[c] < t && term[v] < t && length[c] >= length[v] ->
        term[c] = t;
        term[v] = t;
        leads[v] = false;
        leads[c] = true;
        committedOwnTerm[c] = false
    :: else
    fi
}

inline commit(l, v) {
    if
    :: leads[l] && term[v] == term[l] && committed < LENGTH ->
        committed++;
        length[l] = committed;
        length[v] = committed;
        applied[l] = committed;
        committedOwnTerm[l] = true
    :: else
    fi
}

inline append(l, f) {
    if
    :: leads[l] && term[f] <= term[l] ->
        if :: f < VOTERS -> leads[f] = false :: else fi;
        term[f] = term[l];
        length[f] = length[l];
        if :: applied[f] < applied[l] -> applied[f] = applied[l] :: else fi
    :: else
    fi
}

active proctype system() {
    byte a, b, t;
    do
    :: atomic {
        select(a : 0 .. 2);
        select(b : 0 .. 2);
        if
        :: a != b -> select(t : 1 .. TERMS); elect(a, b, t)
        :: a != b -> commit(a, b)
        :: a != b -> append(a, b)
        :: append(a, LEARNER)
        :: !waiting && number < READS ->
            number++;
            waiting = true;
            hasIndex = false;
            committedAtRead = committed;
            requestInFlight = true;
            requestNumber = number;
            requestTerm = term[LEARNER]
        :: requestInFlight && leads[a] && term[a] == requestTerm ->
            received = true;
            receiver = a;
            receivedNumber = requestNumber
        :: received && leads[receiver] && b != receiver && (term[b] == term[receiver] || MUTANT == 1) && (committedOwnTerm[receiver] || MUTANT == 4) ->
            replyInFlight = true;
            replyNumber = receivedNumber;
            replyTerm = term[receiver];
            replyIndex = applied[receiver];
            received = false
        :: replyInFlight && waiting && replyNumber == number && replyTerm == term[LEARNER] ->
            hasIndex = true;
            index = replyIndex
        :: waiting && hasIndex && (applied[LEARNER] >= index || MUTANT == 3) ->
            assert(applied[LEARNER] >= committedAtRead);
            waiting = false
        :: waiting = false; hasIndex = false; if :: MUTANT == 2 -> number = 0 :: else fi
        fi;
        a = 0; b = 0; t = 0
    }
    od
}
