/*
 * Models orders on one availability zone (docs/PLATFORM.md, "Evacuated zones").
 * An operator alternately evacuates the zone and withdraws the evacuation. Each
 * order is sent repeatedly to any coordinator until one acknowledges it. A
 * coordinator that was paused may read an order late, while it still assumes that
 * it is the leader. The leader may change at any moment. The log is not modelled:
 * a proposal of a deposed leader is never committed, and a new leader has all
 * committed entries.
 *
 * Checked: from the acknowledgement of an order until the operator sends the next
 * one, the committed log agrees with the order.
 *
 * MUTANT 1: a follower acknowledges an order that matches its applied state.
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
byte leads[COORDINATORS];     /* the latest term in which it assumes that it is the leader, or NONE */
bool evacuated = false;       /* state in the committed log */
bool applied[COORDINATORS];   /* state that each coordinator has applied, possibly outdated */

byte order = 0;               /* number of the operator's latest order; odd orders evacuate */
bool acknowledged = true;

/* Number of the order that a coordinator has received but not read, or NONE. */
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

/* A coordinator reads the received order and does not forward it. */
inline handleOrder(c) {
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
    /* The operator issues the next order, and sends the current one until it is acknowledged. */
    :: atomic { acknowledged && order < ORDERS -> order++; acknowledged = false }
    :: atomic { select(c : 0 .. (COORDINATORS - 1)); if :: !acknowledged && unread[c] == NONE -> unread[c] = order :: else fi }
    :: atomic { select(c : 0 .. (COORDINATORS - 1)); if :: unread[c] != NONE -> handleOrder(c) :: else fi }
    /* A candidate is running, so it has read the orders it received before. A deposed leader may not know of the new term yet. */
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
