/*
 * Orders on one availability zone (docs/PLATFORM.md, "Evacuated zones"): an
 * operator evacuates it and uses it again by turns. He sends each order to any
 * coordinator, again and again, until one acknowledges it, and what he sent may
 * be read late, by a coordinator that stood still and still takes itself for
 * the leader. Leaders change at any moment. The log is taken for granted: what a
 * deposed leader proposes is never committed, and a new leader holds all that was.
 *
 * Checked: once an order is acknowledged, and until the operator sends the next
 * one, it is what the log says.
 *
 * MUTANT 1: a follower acknowledges what it has applied already.
 * MUTANT 2: an order waits at a coordinator until that one leads.
 * MUTANT 3: an order is acknowledged when it is proposed.
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define COORDINATORS 2
#define ORDERS 4
#define TERMS 3
#define NONE 255

byte term = 0;
byte leads[COORDINATORS];     /* the term in which it takes itself for the leader, or NONE */
bool evacuated = false;       /* by the committed log */
bool applied[COORDINATORS];   /* what each has applied of it, perhaps some time ago */

byte order = 0;               /* number of the operator's order; the odd ones evacuate */
bool acknowledged = true;

/* What a coordinator has not read yet: an order's number, or NONE. */
byte unread[COORDINATORS];

inline check() {
    assert(!acknowledged || order == 0 || evacuated == (order % 2))
}

inline acknowledge(number) {
    if
    :: number == order -> acknowledged = true
    :: else
    fi
}

/* A coordinator reads what has come, and passes it on to nobody. */
inline takeOrder(c) {
    number = unread[c];
    if
    :: leads[c] == NONE && MUTANT == 2 -> skip
    :: leads[c] == NONE && MUTANT == 1 && applied[c] == (number % 2) -> unread[c] = NONE; acknowledge(number)
    :: leads[c] == NONE && MUTANT != 2 && !(MUTANT == 1 && applied[c] == (number % 2)) -> unread[c] = NONE
    :: leads[c] == term -> unread[c] = NONE; evacuated = (number % 2); applied[c] = evacuated; acknowledge(number)
    :: leads[c] != NONE && leads[c] != term ->
        unread[c] = NONE;
        if
        :: MUTANT == 3 -> acknowledge(number)
        :: else
        fi
    fi;
    check()
}

init {
    byte c, number;
    c = 0;
    do
    :: c < COORDINATORS -> leads[c] = NONE; unread[c] = NONE; c++
    :: else -> break
    od;
    leads[0] = 0;
    do
    /* The operator's next order, and each time that he sends it. */
    :: atomic { acknowledged && order < ORDERS -> order++; acknowledged = false }
    :: atomic { select(c : 0 .. (COORDINATORS - 1)); if :: !acknowledged && unread[c] == NONE -> unread[c] = order :: else fi }
    :: atomic { select(c : 0 .. (COORDINATORS - 1)); if :: unread[c] != NONE -> takeOrder(c) :: else fi }
    /* Whoever stands for election runs, so it has read what had come before; one that is deposed may not know it yet. */
    :: atomic {
        select(c : 0 .. (COORDINATORS - 1));
        if
        :: term < TERMS && leads[c] != term && (unread[c] == NONE || MUTANT == 2) -> term++; leads[c] = term; applied[c] = evacuated
        :: else
        fi
    }
    :: atomic { select(c : 0 .. (COORDINATORS - 1)); if :: leads[c] != NONE && leads[c] != term -> leads[c] = NONE :: else fi }
    :: atomic { select(c : 0 .. (COORDINATORS - 1)); applied[c] = evacuated }
    :: order == ORDERS && acknowledged -> break
    od
}
