/*
 * Models the lease of the configuration (docs/CONFIGURATION.md, L1 to L3). An
 * entry instance requests the configuration. The confirmed answer may take any
 * time and may arrive after the answer to a later request, and changes may be
 * accepted at any moment. Time is a counter.
 *
 * Checked: a replaced revision is used for one lease at most, and the revision in
 * use never decreases.
 *
 * MUTANT 1: the lease is counted from the arrival of the answer (L1).
 * MUTANT 2: an older revision is applied (L3).
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define LEASE 2
#define END 5

byte now = 0;
byte revision = 0;
byte replacedAt[4];   /* replacedAt[r]: time at which revision r was replaced, 255 while it is current */

byte used = 0;
byte freshUntil = 0;

/* Up to two requests may be in flight. */
byte requestedAt[2];
byte answer[2];       /* revision, or 255 while there is no answer */
bool pending[2];

inline check() {
    assert(!(now < freshUntil && replacedAt[used] != 255 && now > replacedAt[used] + LEASE))
}

init {
    byte request, before;
    replacedAt[0] = 255; replacedAt[1] = 255; replacedAt[2] = 255; replacedAt[3] = 255;
    do
    :: now < END -> atomic { now++; check() }
    :: revision < 3 -> atomic { replacedAt[revision] = now; revision++ }
    :: atomic { select(request : 0 .. 1); if :: !pending[request] -> pending[request] = true; requestedAt[request] = now; answer[request] = 255 :: else fi }
    :: atomic { select(request : 0 .. 1); if :: pending[request] && answer[request] == 255 -> answer[request] = revision :: else fi }
    :: atomic {
        select(request : 0 .. 1);
        if
        :: pending[request] && answer[request] != 255 ->
            pending[request] = false;
            if
            :: answer[request] >= used || MUTANT == 2 ->
                before = used;
                used = answer[request];
                assert(used >= before);
                if
                :: MUTANT == 1 -> freshUntil = now + LEASE
                :: MUTANT != 1 && requestedAt[request] + LEASE > freshUntil -> freshUntil = requestedAt[request] + LEASE
                :: else
                fi;
                check()
            :: else
            fi
        :: else
        fi;
        before = 0
    }
    :: now == END -> break
    od
}
