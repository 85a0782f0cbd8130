/*
 * Models the replacement of one voter by another (docs/REPLICATED-LOG.md, M7).
 * Members 0, 1 and 2 vote, then member 3 takes the place of member 0. The leader
 * appends a joint membership, under which a quorum of the old and one of the new
 * voters are needed, and, once that is committed, the new one. A member goes by the
 * last membership in its log. Elections and the copying of a log are single steps;
 * any member may be slow, so that it takes part in none of them.
 *
 * Checked: a term has one leader; a leader holds every committed entry; the voters
 * that run after member 0 has ended are a quorum in each membership, and so are any
 * but one while all run.
 *
 * MUTANT 1: the leader appends the new membership without the joint one.
 * MUTANT 2: the new membership is appended before the joint one is committed.
 * MUTANT 3: member 3 is added first, and member 0 is removed later.
 * MUTANT 4: a joint membership needs a quorum of the new voters only.
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define MEMBERS 4
#define TERMS 3
#define LENGTH 4
#define NONE 255

#define PLAIN 0   /* first entry of a term */
#define JOINT 1
#define NEW 2

byte term[MEMBERS];
byte voted[MEMBERS];              /* for whom in the term, or NONE */
byte length[MEMBERS];
byte terms[16];                   /* entry i of member m at 4m + i: its term and kind */
byte kinds[16];
byte leads[MEMBERS];              /* the term in which it assumes that it leads, or 0 */
byte leaderOf[4];                 /* by term */
byte knownCommitted[MEMBERS];     /* of a leader: the length up to which it has committed its log */
byte committed = 0;               /* longest committed prefix, with the terms of its entries */
byte committedTerms[4];

#define OLD_QUORUM(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) >= 2)
#define NEW_QUORUM(set) ((((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1) >= 2)
#define THREE_OF_FOUR(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1) >= 3)

#define MAY_VOTE(v, m, newTerm) (term[v] < newTerm || (term[v] == newTerm && voted[v] == m))
#define UP_TO_DATE(ownTerm, ownLength, otherTerm, otherLength) (ownTerm > otherTerm || (ownTerm == otherTerm && ownLength >= otherLength))

/* Sets `result` to whether a set of members is a quorum of a membership. */
inline judge(membership, set, result) {
    if
    :: membership == PLAIN -> result = OLD_QUORUM(set)
    :: membership == JOINT && MUTANT == 3 -> result = THREE_OF_FOUR(set)
    :: membership == JOINT && MUTANT == 4 -> result = NEW_QUORUM(set)
    :: membership == JOINT && MUTANT != 3 && MUTANT != 4 -> result = OLD_QUORUM(set) && NEW_QUORUM(set)
    :: membership == NEW -> result = NEW_QUORUM(set)
    fi
}

/* Sets `result` to the membership by which a member goes; PLAIN is the old one. */
inline membershipOf(m, result) {
    result = PLAIN;
    i = 0;
    do
    :: i < length[m] ->
        if
        :: kinds[4 * m + i] != PLAIN -> result = kinds[4 * m + i]
        :: else
        fi;
        i++
    :: else -> break
    od
}

inline append(m, kind) {
    terms[4 * m + length[m]] = leads[m];
    kinds[4 * m + length[m]] = kind;
    length[m]++
}

inline lastTermOf(m, result) {
    if
    :: length[m] == 0 -> result = 0
    :: else -> result = terms[4 * m + length[m] - 1]
    fi
}

inline elect(m, newTerm) {
    set = 1 << m;
    lastTermOf(m, ownLast);
    v = 0;
    do
    :: v < MEMBERS ->
        lastTermOf(v, otherLast);
        if
        :: v != m && MAY_VOTE(v, m, newTerm) && UP_TO_DATE(ownLast, length[m], otherLast, length[v]) -> set = set | (1 << v)
        :: true
        fi;
        v++
    :: else -> break
    od;
    membershipOf(m, membership);
    judge(membership, set, enough);
    v = 0;
    do
    :: v < MEMBERS ->
        if
        :: (set >> v) & 1 ->
            term[v] = newTerm;
            voted[v] = m;
            leads[v] = 0;
            knownCommitted[v] = 0
        :: else
        fi;
        v++
    :: else -> break
    od;
    if
    :: enough ->
        assert(leaderOf[newTerm] == NONE);
        leaderOf[newTerm] = m;
        leads[m] = newTerm;
        i = 0;
        do
        :: i < committed ->
            assert(length[m] > i && terms[4 * m + i] == committedTerms[i]);
            i++
        :: else -> break
        od;
        if
        :: length[m] < LENGTH -> append(m, PLAIN)
        :: else -> leads[m] = 0
        fi
    :: else
    fi
}

inline copyLog(from, to) {
    term[to] = leads[from];
    voted[to] = from;
    leads[to] = 0;
    knownCommitted[to] = 0;
    length[to] = length[from];
    i = 0;
    do
    :: i < LENGTH ->
        if
        :: i < length[from] ->
            terms[4 * to + i] = terms[4 * from + i];
            kinds[4 * to + i] = kinds[4 * from + i]
        :: else ->
            terms[4 * to + i] = 0;
            kinds[4 * to + i] = 0
        fi;
        i++
    :: else -> break
    od
}

/* Commits as far as a quorum holds the leader's log; only the whole log is considered, whose last entry has to be of its term. */
inline commit(m) {
    set = 0;
    v = 0;
    do
    :: v < MEMBERS ->
        same = (length[v] >= length[m]);
        i = 0;
        do
        :: i < length[m] && same ->
            same = (terms[4 * v + i] == terms[4 * m + i]);
            i++
        :: else -> break
        od;
        if
        :: same -> set = set | (1 << v)
        :: else
        fi;
        v++
    :: else -> break
    od;
    membershipOf(m, membership);
    judge(membership, set, enough);
    lastTermOf(m, ownLast);
    if
    :: enough && ownLast == leads[m] ->
        knownCommitted[m] = length[m];
        i = 0;
        do
        :: i < length[m] ->
            assert(i >= committed || committedTerms[i] == terms[4 * m + i]);
            committedTerms[i] = terms[4 * m + i];
            i++
        :: else -> break
        od;
        if
        :: length[m] > committed -> committed = length[m]
        :: else
        fi
    :: else
    fi
}

active proctype core() {
    byte m, f, i, v, newTerm, membership, ownLast, otherLast, set;
    bool enough, same;
    d_step {
        m = 0;
        do
        :: m < MEMBERS -> voted[m] = NONE; m++
        :: else -> break
        od;
        i = 0;
        do
        :: i < 4 -> leaderOf[i] = NONE; i++
        :: else -> break
        od;
        membership = PLAIN;
        do
        :: membership <= NEW ->
            judge(membership, 6, enough);
            assert(enough);
            v = 0;
            do
            :: v < MEMBERS ->
                judge(membership, 15 & ~(1 << v), enough);
                assert(enough);
                v++
            :: else -> break
            od;
            membership++
        :: else -> break
        od;
        m = 0; f = 0; i = 0; v = 0; membership = 0; enough = 0
    }
    do
    :: atomic {
        select(m : 0 .. 3);
        if
        :: true ->
            newTerm = term[m] + 1;
            if
            :: newTerm <= TERMS -> elect(m, newTerm)
            :: else
            fi
        :: leads[m] != 0 && leads[m] == term[m] ->
            if
            :: select(f : 0 .. 3);
                if
                :: f != m && term[f] <= leads[m] -> copyLog(m, f)
                :: else
                fi
            :: commit(m)
            :: length[m] < LENGTH ->
                membershipOf(m, membership);
                if
                :: membership == PLAIN && length[m] == knownCommitted[m] && MUTANT != 1 -> append(m, JOINT)
                :: membership == PLAIN && length[m] == knownCommitted[m] && MUTANT == 1 -> append(m, NEW)
                :: membership == JOINT && (length[m] == knownCommitted[m] || MUTANT == 2) -> append(m, NEW)
                :: else
                fi
            fi
        :: else
        fi;
        m = 0; f = 0; i = 0; v = 0; newTerm = 0; membership = 0; ownLast = 0; otherLast = 0; set = 0; enough = 0; same = 0
    }
    od
}
