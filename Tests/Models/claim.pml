/*
 * Models the claim of a non-idempotent request (docs/ACTIONS.md, A1 to A5):
 * three attempts with one key, each at its own entry instance, which may crash
 * at any step, lose an answer, or pause while the others proceed.
 *
 * Checked: the action runs at most once, and "not run" is reported only if it
 * did not run.
 *
 * MUTANT 1: a claim is released although the action may have run (A4).
 * MUTANT 2: any attempt may release a claim.
 * MUTANT 3: a grant is used although "not run" was reported (A2).
 */
#ifndef MUTANT
#define MUTANT 0
#endif

mtype = { FREE, HELD, DONE };
mtype record = FREE;
byte holder = 255;
byte runs = 0;

inline tryClaim(me, granted) {
    atomic {
        if
        :: record == FREE -> record = HELD; holder = me; granted = true
        :: record == HELD && holder == me -> granted = true
        :: else -> granted = false
        fi
    }
}

inline release(me) {
    atomic {
        if
        :: record == HELD && (holder == me || MUTANT == 2) -> record = FREE; holder = 255
        :: else
        fi
    }
}

proctype attempt(byte me) {
    bool granted = false;
    bool reportedNotRun = false;
    bool ran = false;

    /* The answer to the claim may be lost. The claim is then sent again, or the caller gets "not run". */
    do
    :: true -> tryClaim(me, granted); break
    :: true -> tryClaim(me, granted); granted = false
    :: reportedNotRun = true; break
    :: goto crashed
    od;
    if
    :: reportedNotRun ->
        if
        :: MUTANT == 3 -> tryClaim(me, granted)
        :: else -> release(me)
        fi
    :: else
    fi;
    if
    :: granted && (!reportedNotRun || MUTANT == 3) ->
        if
        :: true -> /* refused by the backend server, so certainly not run */
            release(me);
            reportedNotRun = true
        :: /* sent, ran, answered */
            runs++;
            ran = true;
            assert(runs <= 1);
            assert(!reportedNotRun);
            atomic { if :: record == HELD && holder == me -> record = DONE :: else fi }
        :: /* sent, ran, the answer was lost */
            runs++;
            ran = true;
            assert(runs <= 1);
            assert(!reportedNotRun);
            if
            :: MUTANT == 1 -> release(me)
            :: else
            fi
        :: /* sent, the connection broke before it ran */
            skip
        fi
    :: else
    fi;
crashed:
    skip
}

init {
    atomic {
        run attempt(1);
        run attempt(2);
        run attempt(3)
    }
}
