/*
 * Reads that a follower confirms (docs/REPLICATED-LOG.md, C1 to C5): three
 * voters and a learner that asks the leader for its commit index. The log is a
 * count of entries, each of which exists from the moment that a quorum has it.
 * Messages may be lost, doubled and late; the learner may crash and start anew.
 *
 * Checked: what the learner has applied when it confirms a read holds all that
 * was committed when the read came.
 *
 * MUTANT 1: the leader answers without a round of its quorum (C2).
 * MUTANT 2: questions are counted from the beginning in each life (C5).
 * MUTANT 3: the learner does not wait until it has applied so far (C4).
 * MUTANT 4: the leader answers before an entry of its own term is committed (C2).
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define VOTERS 3
#define LEARNER 3
#define TERMS 2
#define LENGTH 2
#define QUESTIONS 2

byte term[4];
byte length[4];
byte applied[4];
bool leads[VOTERS];
bool opened[VOTERS];   /* an entry of its own term is committed */
byte committed;

byte number;           /* of the learner's last question */
bool waits;
byte committedThen;    /* what was committed when the read came */
bool hasIndex;
byte index;

bool asked;            /* the question is on its way */
byte askedNumber;
byte askedTerm;
bool taken;            /* and at a leader */
byte taker;
byte takenNumber;
bool answered;         /* the answer is on its way, and may arrive again */
byte answerNumber;
byte answerTerm;
byte answerIndex;

/* Two voters are a quorum, so whoever has the longer log of the two has all that is committed. */
inline elect(c, v, t) {
    if
    :: term[c] < t && term[v] < t && length[c] >= length[v] ->
        term[c] = t;
        term[v] = t;
        leads[v] = false;
        leads[c] = true;
        opened[c] = false
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
        opened[l] = true
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
        :: !waits && number < QUESTIONS ->
            number++;
            waits = true;
            hasIndex = false;
            committedThen = committed;
            asked = true;
            askedNumber = number;
            askedTerm = term[LEARNER]
        :: asked && leads[a] && term[a] == askedTerm ->
            taken = true;
            taker = a;
            takenNumber = askedNumber
        :: taken && leads[taker] && b != taker && (term[b] == term[taker] || MUTANT == 1) && (opened[taker] || MUTANT == 4) ->
            answered = true;
            answerNumber = takenNumber;
            answerTerm = term[taker];
            answerIndex = applied[taker];
            taken = false
        :: answered && waits && answerNumber == number && answerTerm == term[LEARNER] ->
            hasIndex = true;
            index = answerIndex
        :: waits && hasIndex && (applied[LEARNER] >= index || MUTANT == 3) ->
            assert(applied[LEARNER] >= committedThen);
            waits = false
        :: waits = false; hasIndex = false; if :: MUTANT == 2 -> number = 0 :: else fi
        fi;
        a = 0; b = 0; t = 0
    }
    od
}
