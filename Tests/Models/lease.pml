/*
 * The configuration's lease (docs/CONFIGURATION.md, L1 to L3): an entry
 * instance asks, the confirmed answer may take any time, a late answer of an
 * earlier question may come after a newer one, and changes are accepted at any
 * moment. Time is a counter.
 *
 * Checked: a revision that was replaced is used for one lease at most; a
 * revision never goes back.
 *
 * MUTANT 1: the lease counts from when the answer came (L1).
 * MUTANT 2: an older revision is taken (L3).
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#define LEASE 2
#define END 5

byte now = 0;
byte revision = 0;
byte replacedAt[4];   /* replacedAt[r]: when revision r was replaced, 255 while it is current */

byte used = 0;
byte freshUntil = 0;

/* Two questions may be on their way at once. */
byte askedAt[2];
byte answer[2];       /* 255: not answered yet */
bool open[2];

inline check() {
    assert(!(now < freshUntil && replacedAt[used] != 255 && now > replacedAt[used] + LEASE))
}

init {
    byte q, before;
    replacedAt[0] = 255; replacedAt[1] = 255; replacedAt[2] = 255; replacedAt[3] = 255;
    do
    :: now < END -> atomic { now++; check() }
    :: revision < 3 -> atomic { replacedAt[revision] = now; revision++ }
    :: atomic { select(q : 0 .. 1); if :: !open[q] -> open[q] = true; askedAt[q] = now; answer[q] = 255 :: else fi }
    :: atomic { select(q : 0 .. 1); if :: open[q] && answer[q] == 255 -> answer[q] = revision :: else fi }
    :: atomic {
        select(q : 0 .. 1);
        if
        :: open[q] && answer[q] != 255 ->
            open[q] = false;
            if
            :: answer[q] >= used || MUTANT == 2 ->
                before = used;
                used = answer[q];
                assert(used >= before);
                if
                :: MUTANT == 1 -> freshUntil = now + LEASE
                :: MUTANT != 1 && askedAt[q] + LEASE > freshUntil -> freshUntil = askedAt[q] + LEASE
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
