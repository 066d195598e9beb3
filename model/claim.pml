/* The claim on one request with an idempotency key.

   A caller sends through any router and retries through another one if it gets
   no response. Routers pause (they are not scheduled), crash at any step, and
   lose responses of the table; an abandoned write may still take effect later.
   A holder is fenced once it has crashed, and with -DWRONG_PROOF also while it
   runs.

   Invariants: a call that is not idempotent runs at most once, a request is
   billed at most once, "not-run" is written only by a router that has not sent
   the call, and a response is never stored twice.

   Variants that must fail:
     -DRERUN      a claim whose holder is fenced counts as not run
     -DLATE_CLAIM the claim is written after the call is sent
     -DBLIND_END  an end is written regardless of the state of the row */

#ifndef ROUTERS
#define ROUTERS 2 /* a search with 3 does not complete within minutes */
#endif
#ifndef CRASHES
#define CRASHES 2 /* routers that may crash; the last one serves the caller */
#endif
#ifdef WRONG_PROOF
#define MAY_FENCE(i) true
#else
#define MAY_FENCE(i) dead[i]
#endif
#ifndef WRITES
#define WRITES 2 /* attempts of one write before a router gives up */
#endif

mtype = { absent, claimed, done, notrun, unknown, none, applied, refused };

bool idempotent;

/* The row of the claim and the holder rows. */
mtype row = absent;
byte version = 0;
byte epoch = 0;
byte holder = ROUTERS;
bool fenced[ROUTERS];

bool dead[ROUTERS];
byte runs = 0;  /* as counted by the service */
byte bills = 0;

mtype reply[ROUTERS];
byte awaited[ROUTERS]; /* number of the write whose response is awaited */
bool sent[ROUTERS];

/* Writes in transit: router, number, expected version, new state, epoch. */
chan wire = [3] of { byte, byte, byte, mtype, byte };

#ifdef BLIND_END
#define blind(s) (s == done)
#else
#define blind(s) (false)
#endif

inline apply(r, number, expected, state, e)
{
    reply_now = refused;
    if
    :: !fenced[r] && (expected == version || (blind(state))) ->
        assert(state != notrun || !sent[r]);
        row = state;
        version++;
        epoch = e;
        holder = r;
        reply_now = applied;
        if
        :: state == done -> bills++; assert(bills <= 1)
        :: else
        fi
    :: else
    fi;
    if
    :: awaited[r] == number -> reply[r] = reply_now
    :: awaited[r] == number -> skip /* the response is lost */
    :: awaited[r] != number -> skip
    fi
}

active proctype table()
{
    byte r, number, expected, e;
    mtype state;
    mtype reply_now;
end:
    do
    :: atomic { wire ? r, number, expected, state, e;
           apply(r, number, expected, state, e) }
    od
}

active proctype reaper()
{
end:
    do
    :: atomic { !fenced[0] && MAY_FENCE(0) -> fenced[0] = true }
    :: atomic { !fenced[1] && MAY_FENCE(1) -> fenced[1] = true }
    od
}

/* A crash may happen between any two steps, and the proof of it at any later
   time. A wrong proof comes while the router still runs. */
#define step(id) \
    if \
    :: id < CRASHES -> atomic { dead[id] = true; goto crashed } \
    :: skip \
    fi

inline write(state, e, expected)
{
    atomic {
        number++;
        awaited[id] = number;
        reply[id] = none;
        wire ! id, number, expected, state, e
    };
    if
    :: reply[id] != none -> skip
    :: true -> skip /* timed out */
    fi;
    atomic { outcome = reply[id]; awaited[id] = 0 }
}

proctype router(byte id)
{
    byte number = 0;
    byte tries = 0;
    byte seen_version, seen_epoch, seen_holder, mine;
    mtype seen, outcome;
    bool was_ours;

read_row:
    step(id);
    atomic {
        seen = row;
        seen_version = version;
        seen_epoch = epoch;
        seen_holder = holder;
        was_ours = (row == claimed && holder == id);
    }
    if
    :: seen == done -> goto over    /* replayed */
    :: was_ours ->                  /* our own write whose response was lost */
        mine = seen_epoch;
        goto dispatch
    :: seen == claimed && !was_ours ->
        if
        :: !fenced[seen_holder] -> goto over /* 409, the caller retries */
        :: fenced[seen_holder] ->
#ifdef RERUN
            seen = notrun
#else
            if
            :: idempotent -> seen = notrun
            :: !idempotent ->
                write(unknown, seen_epoch + 1, seen_version);
                goto over
            fi
#endif
        fi
    :: seen == unknown && !idempotent -> goto over
    :: seen == unknown && idempotent -> seen = notrun
    :: seen == absent || seen == notrun -> skip
    fi;

#ifdef LATE_CLAIM
    atomic { sent[id] = true; runs++; assert(idempotent || runs <= 1) };
#endif
    step(id);
    mine = seen_epoch + 1;
    write(claimed, mine, seen_version);
    step(id);
    if
    :: outcome == applied -> goto dispatch
    :: outcome == refused && !fenced[id] && tries < WRITES ->
        tries++; goto read_row
    :: outcome == none && tries < WRITES -> tries++; goto read_row
    :: else -> goto withdraw
    fi;

dispatch:
    step(id);
#ifndef LATE_CLAIM
    atomic {
        sent[id] = true;
        runs++;
        assert(idempotent || runs <= 1)
    }
#endif
    step(id);
    /* The claim's version is the expected version plus one. */
    atomic { tries = 0; seen_version = (was_ours -> seen_version : seen_version + 1) }
    do
    :: tries < WRITES ->
        step(id);
        write(done, mine, seen_version);
        if
        :: outcome == applied -> break
        :: outcome == refused -> break /* our earlier or another write won */
        :: outcome == none -> tries++
        fi
    :: tries == WRITES -> break /* the code retries while the process lives */
    od;
    goto over;

withdraw:
    /* Only if no call was sent: the claim may be written already, or later. */
    step(id);
    atomic { seen = row; seen_version = version; seen_epoch = epoch }
    if
    :: row == claimed && holder == id ->
        write(notrun, seen_epoch, seen_version)
    :: else -> skip
    fi;
over:
    skip;
crashed:
    skip
}

init
{
    byte i = 0;
    atomic {
        if
        :: idempotent = true
        :: idempotent = false
        fi;
        do
        :: i < ROUTERS -> run router(i); i++
        :: i == ROUTERS -> break
        od
    }
}
