/*
 * The claim of a non-repeatable request (docs/ACTIONS.md, A1 to A5): two
 * attempts with one key, at two entry instances, either of which may crash at
 * any step, lose an answer, or be paused while the other goes on.
 *
 * Checked: the action runs at most once; "not run" is said only of what did
 * not run.
 *
 * MUTANT 1: a claim is released although the action may have run (A4).
 * MUTANT 2: any attempt may release a claim.
 * MUTANT 3: a grant is used although "not run" was said (A2).
 */
#ifndef MUTANT
#define MUTANT 0
#endif

mtype = { FREE, HELD, DONE };
mtype record = FREE;
byte holder = 255;
byte runs = 0;

inline ask(me, granted) {
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
    bool saidNotRun = false;
    bool ran = false;

    /* The answer to the claim may be lost; then it is asked for again, or the caller is told "not run". */
    do
    :: true -> ask(me, granted); break
    :: true -> ask(me, granted); granted = false
    :: saidNotRun = true; break
    :: goto crashed
    od;
    if
    :: saidNotRun ->
        if
        :: MUTANT == 3 -> ask(me, granted)
        :: else -> release(me)
        fi
    :: else
    fi;
    if
    :: granted && (!saidNotRun || MUTANT == 3) ->
        if
        :: true -> /* refused by the backend server, provably not run */
            release(me);
            saidNotRun = true
        :: /* sent, ran, answered */
            runs++;
            ran = true;
            assert(runs <= 1);
            assert(!saidNotRun);
            atomic { if :: record == HELD && holder == me -> record = DONE :: else fi }
        :: /* sent, ran, the answer was lost */
            runs++;
            ran = true;
            assert(runs <= 1);
            assert(!saidNotRun);
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
