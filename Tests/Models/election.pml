/*
 * Models leader election and replication (docs/REPLICATED-LOG.md, E2 to E4 and
 * R2 to R5) with three voters, each of which may crash at any moment and keeps
 * what is on its disk. An exchange of messages is a single step of two voters. A
 * lost message is a step that does not happen; in a partition many do not happen.
 *
 * Checked: the committed entry at an index never changes.
 *
 * MUTANT 1: a vote is given without comparing the logs (E2).
 * MUTANT 2: a crash loses the vote (E3).
 * MUTANT 3: entries of an older term are committed once a quorum has them (R5).
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define VOTERS 3
#define TERMS 5
#define LENGTH 2

byte term[VOTERS];
bool leads[VOTERS];
byte length[VOTERS];
byte entry[6];        /* entry[v * LENGTH + i]: the term of entry i of voter v */
byte committed[LENGTH];

#define ENTRY(v, i) entry[(v) * LENGTH + (i)]

inline last_term(v, result) {
    if
    :: length[v] == 0 -> result = 0
    :: else -> result = ENTRY(v, length[v] - 1)
    fi
}

/* E3, E4: c gets the vote of v in a new term, which is a quorum together with its own. */
inline elect(c, v, t) {
    last_term(c, own);
    last_term(v, other);
    if
    :: term[c] < t && term[v] < t && (MUTANT == 1 || own > other || (own == other && length[c] >= length[v])) ->
        term[c] = t;
        term[v] = t;
        leads[v] = false;
        leads[c] = true
    :: else
    fi
}

/* R2, R3: f replaces its log by the leader's, so that its differing entries are removed. */
inline replicate(l, f) {
    if
    :: leads[l] && term[f] <= term[l] ->
        term[f] = term[l];
        leads[f] = false;
        i = 0;
        do
        :: i < length[l] -> ENTRY(f, i) = ENTRY(l, i); i++
        :: else -> break
        od;
        do
        :: i < LENGTH -> ENTRY(f, i) = 0; i++
        :: else -> break
        od;
        length[f] = length[l]
    :: else
    fi
}

/* R5: f has the same entry i as the leader l, so that a quorum of two has it and it is committed. */
inline commit(l, f, i) {
    if
    :: leads[l] && term[f] == term[l] && i < length[l] && i < length[f] && ENTRY(l, i) == ENTRY(f, i) && (MUTANT == 3 || ENTRY(l, i) == term[l]) ->
        assert(committed[i] == 0 || committed[i] == ENTRY(l, i));
        committed[i] = ENTRY(l, i);
        if
        :: i > 0 -> assert(committed[0] == 0 || committed[0] == ENTRY(l, 0)); committed[0] = ENTRY(l, 0)
        :: else
        fi
    :: else
    fi
}

active proctype system() {
    byte a, b, t, i, own, other;
    do
    :: atomic {
        select(a : 0 .. 2);
        select(b : 0 .. 2);
        if
        :: a != b -> select(t : 1 .. TERMS); elect(a, b, t)
        :: a != b -> replicate(a, b)
        :: a != b -> select(t : 0 .. 1); commit(a, b, t)
        :: leads[a] && length[a] < LENGTH -> ENTRY(a, length[a]) = term[a]; length[a]++
        :: leads[a] = false; if :: MUTANT == 2 && term[a] > 0 -> term[a]-- :: else fi
        fi;
        a = 0; b = 0; t = 0; i = 0; own = 0; other = 0
    }
    od
}
