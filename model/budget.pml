/*
 * Two routers draw on one budget, spend, settle and return; responses of the
 * table are lost, writes take effect late or twice, routers crash or pause (any
 * process may be delayed for any time), two others recover the first one once
 * it is dead, and the budget is topped up once.
 *
 * Broken variants, which the check must show to fail:
 *   LEASE_ONLY  a share is recovered because a lease has expired
 *   READ_BACK   a lost return counts as failed if a read shows no change
 *   NO_HOLD     a recovery returns tokens that responses may have used
 *   NO_NUMBER   a batch of bills does not carry its number
 */
#define ROUTERS 2
#define PAID 2
#define TOPUP 1
#ifndef STEPS
#define STEPS 3 /* table writes of the first router, bounds the search */
#endif
#ifndef OTHER_STEPS
#define OTHER_STEPS 1 /* the same for the other router */
#endif

#define NONE 0
#define DRAW 1
#define GIVE_BACK 2
#define SETTLE 3

/* the table */
byte paid = PAID;
byte granted;
byte retired;
byte budget_version;
byte share[ROUTERS];
byte share_version[ROUTERS];
byte spent[ROUTERS];
byte batch_number[ROUTERS];
bool has_share[ROUTERS];
bool fenced[ROUTERS];

/* callers and routers, as seen from outside */
bool dead[ROUTERS];
byte answered[ROUTERS]; /* tokens of requests whose caller has the response */
byte finished[ROUTERS]; /* tokens of all finished requests */
bool bills_after;       /* false_refusals_first: responses precede bills */

/* a write that its sender has abandoned, or a copy of a write */
/* (field names differ from the parameters of the inlines, which Spin replaces
   textually) */
typedef late_write { byte what; byte base; byte row; byte tokens };
late_write late[ROUTERS];

inline check_table()
{
  assert(granted <= paid);
  assert(share[0] + share[1] + retired == granted);
  assert(answered[0] + answered[1] <= paid);
  assert(spent[0] <= finished[0] && spent[1] <= finished[1])
}

/* one conditional transaction; `own` is the version of the row written */
inline apply(r, kind, budget, own, amount, done)
{
  done = false;
  if
  :: kind == DRAW && !fenced[r] && budget == budget_version &&
     own == share_version[r] ->
       granted = granted + amount;
       share[r] = share[r] + amount;
       has_share[r] = true;
       budget_version++;
       share_version[r]++;
       done = true
  :: kind == GIVE_BACK && !fenced[r] && budget == budget_version &&
     own == share_version[r] ->
       granted = granted - amount;
       share[r] = share[r] - amount;
       budget_version++;
       share_version[r]++;
       done = true
#ifdef NO_NUMBER
  :: kind == SETTLE && !fenced[r] ->
#else
  :: kind == SETTLE && !fenced[r] && own == batch_number[r] ->
#endif
       spent[r] = spent[r] + amount;
       batch_number[r]++;
       if
       :: !bills_after -> answered[r] = answered[r] + amount
       :: else
       fi;
       done = true
  :: else
  fi;
  check_table()
}

/* delivery of a call by the network; `acknowledged` is true if the sender gets
   the response */
inline send(r, kind, budget, own, amount, done, acknowledged)
{
  if
  :: apply(r, kind, budget, own, amount, done); acknowledged = true
  :: apply(r, kind, budget, own, amount, done); acknowledged = false
  :: acknowledged = false /* the call is lost */
  :: late[r].what == NONE -> /* takes effect later */
       late[r].what = kind; late[r].base = budget;
       late[r].row = own; late[r].tokens = amount;
       acknowledged = false
  :: late[r].what == NONE -> /* takes effect now, and a copy later */
       late[r].what = kind; late[r].base = budget;
       late[r].row = own; late[r].tokens = amount;
       apply(r, kind, budget, own, amount, done);
       acknowledged = true
  fi
}

proctype network(byte r)
{
  bool done;
end:
  do
  :: atomic { late[r].what != NONE ->
       apply(r, late[r].what, late[r].base, late[r].row, late[r].tokens, done);
       late[r].what = NONE; late[r].base = 0;
       late[r].row = 0; late[r].tokens = 0 }
  od
}

proctype router(byte r; byte most)
{
  byte known;             /* share as last confirmed */
  byte version;
  byte least;             /* limit while a lost write may still take effect */
  bool doubtful;
  byte unsettled;
  byte settled;
  byte batch;             /* sent, result not known */
  byte number;
  byte steps;
  byte seen;
  bool done;
  bool acknowledged;

end:
  do
  /* a request is admitted and finished within the share */
  :: atomic { !dead[r] && least > settled + unsettled ->
       unsettled++;
       finished[r]++;
       if
       :: bills_after -> answered[r]++
       :: else
       fi;
       check_table() }

  :: atomic { !dead[r] && steps < most && granted < paid ->
       steps++;
       seen = budget_version };
     atomic {
       if
       :: dead[r]
       :: else ->
         send(r, DRAW, seen, version, 1, done, acknowledged);
         if
         :: acknowledged && done ->
              known++; version++; least = known; doubtful = false
         :: acknowledged && !done && share_version[r] != version && !fenced[r] ->
              known = share[r]; version = share_version[r];
              least = known; doubtful = false
         :: acknowledged && !done && (share_version[r] == version || fenced[r])
         :: !acknowledged -> doubtful = true
         fi
       fi;
       seen = 0; done = false; acknowledged = false }

  :: atomic { !dead[r] && steps < most && least > settled + unsettled ->
       steps++;
       least--;
       seen = budget_version };
     atomic {
       if
       :: dead[r]
       :: else ->
         send(r, GIVE_BACK, seen, version, (known - least), done, acknowledged);
         if
         :: acknowledged && done ->
              known = least; version++; doubtful = false
         :: acknowledged && !done && share_version[r] != version && !fenced[r] ->
              known = share[r]; version = share_version[r];
              least = known; doubtful = false
         :: acknowledged && !done && (share_version[r] == version || fenced[r]) ->
              /* no effect, but an earlier call may be in transit */
              if
              :: !doubtful -> least = known
              :: else
              fi
         :: !acknowledged -> doubtful = true
         fi
       fi;
       seen = 0; done = false; acknowledged = false }

  /* reads the share row after a lost response */
  :: atomic { !dead[r] && doubtful && !fenced[r] ->
       if
       :: share_version[r] != version ->
            known = share[r]; version = share_version[r];
            least = known; doubtful = false
       :: else ->
#ifdef READ_BACK
            least = known; doubtful = false
#else
            skip
#endif
       fi }

  /* retries the same batch until its result is known */
  :: atomic { !dead[r] && steps < most && unsettled > 0 ->
       steps++;
       if
       :: batch == 0 -> batch = unsettled
       :: else
       fi;
       send(r, SETTLE, 0, number, batch, done, acknowledged);
       if
       :: acknowledged && (done || batch_number[r] != number) ->
            unsettled = unsettled - batch;
            settled = settled + batch;
            number = batch_number[r];
            batch = 0
       :: acknowledged && !done && batch_number[r] == number
       :: !acknowledged
       fi;
       done = false; acknowledged = false }

  :: atomic { !dead[r] -> dead[r] = true; break }
  od
}

proctype recovery(byte r)
{
  byte seen;
  byte own;
  byte back;

end:
#ifdef LEASE_ONLY
  atomic { has_share[r] -> skip }; /* a lease may expire at any time */
#else
  atomic { dead[r] -> fenced[r] = true };
#endif
again:
  atomic { seen = budget_version; own = share_version[r] };
  atomic {
    if
    :: !has_share[r] -> goto finish /* another router has recovered it */
    :: has_share[r] && (seen != budget_version || own != share_version[r]) ->
         goto again
    :: else ->
         back = share[r] - spent[r];
#if !defined(NO_HOLD) && !defined(LEASE_ONLY)
         if
         :: bills_after -> back = 0
         :: else
         fi;
#endif
         granted = granted - back;
         retired = retired + share[r] - back;
         share[r] = 0;
         has_share[r] = false;
         budget_version++;
         check_table()
    fi };
finish:
  skip
}

proctype operator()
{
  atomic { paid = paid + TOPUP; budget_version++ }
}

init
{
  atomic {
    if
    :: bills_after = true
    :: bills_after = false
    fi;
    run network(0); run network(1);
    run router(0, STEPS); run router(1, OTHER_STEPS);
    run recovery(0); run recovery(0);
    run operator() }
}
