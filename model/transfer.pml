/*
 * A coordinator transfers tokens to another router by datagrams that are lost,
 * late or duplicated. Both spend, write their spend rows, crash at any time and
 * are replaced by a process at the same address, which takes over the tokens
 * that the row of the dead one leaves.
 *
 * Broken variants, which the check must show to fail:
 *   TWICE      a duplicated datagram counts twice
 *   ANY_LIFE   a process accepts transfers sent to its predecessor
 *   ABOVE_LINE tokens are transferred that a coordinator's successor takes over
 *   NO_LINE    all held tokens may be spent, also what a successor takes over
 */
#define PAID 3
#define GIVES 3
#define STEPS 8 /* of each router, bounds the search */

#define COORDINATOR 0
#define OTHER 1

/* the store: spend limit and received tokens of each address; the coordinator
   has drawn the whole budget */
byte spend_limit[2];
byte row_received[2];

/* the routers */
byte used[2];     /* spent and transferred */
byte received[2]; /* in memory */
byte life;        /* of the other router */
byte given;       /* transfers so far */
byte sent_to[GIVES];
bool on_wire[GIVES];
bool taken[GIVES]; /* by the current process of the other router */

/* callers */
byte served; /* tokens of callers that have their response */

#define GRANTED(i) (i == COORDINATOR -> PAID : 0)
#define LEFT(i)                                                                \
  (GRANTED(i) + row_received[i] > spend_limit[i]                               \
       -> GRANTED(i) + row_received[i] - spend_limit[i] : 0)
#ifdef NO_LINE
#define LIMIT(i) (GRANTED(i) + received[i])
#else
#define LIMIT(i) (GRANTED(i) + received[i] - LEFT(i))
#endif

inline write_row(i)
{
  atomic {
    spend_limit[i] = used[i];
    if
    :: spend_limit[i] < GRANTED(i) + received[i] -> spend_limit[i]++
    :: true
    fi;
    row_received[i] = received[i]
  }
}

inline spend(i)
{
  atomic {
    if
    :: used[i] < LIMIT(i) -> used[i]++; served++
    :: else -> skip
    fi;
    assert(served <= PAID)
  }
}

/* the process dies, and its successor reads its row */
inline replace(i)
{
  atomic {
    used[i] = spend_limit[i];
    if
    :: used[i] > GRANTED(i) + row_received[i] ->
       used[i] = GRANTED(i) + row_received[i]
    :: else -> skip
    fi;
    received[i] = row_received[i];
    spend_limit[i] = used[i]
  }
}

inline give()
{
  atomic {
    if
#ifdef ABOVE_LINE
    :: given < GIVES && used[COORDINATOR] < PAID + received[COORDINATOR] ->
#else
    :: given < GIVES && used[COORDINATOR] < LIMIT(COORDINATOR) ->
#endif
       used[COORDINATOR]++;
       sent_to[given] = life;
       on_wire[given] = true;
       given++
    :: else -> skip
    fi
  }
}

inline deliver(n)
{
  atomic {
    if
#ifdef ANY_LIFE
    :: on_wire[n] && !taken[n] ->
#else
#ifdef TWICE
    :: on_wire[n] && sent_to[n] == life ->
#else
    :: on_wire[n] && sent_to[n] == life && !taken[n] ->
#endif
#endif
       taken[n] = true;
       received[OTHER]++
    :: else -> skip
    fi
  }
}

active proctype coordinator()
{
  byte step;
  do
  :: step < STEPS ->
     step++;
     if
     :: true -> write_row(COORDINATOR)
     :: true -> spend(COORDINATOR)
     :: true -> give()
     :: true -> replace(COORDINATOR)
     fi
  :: else -> break
  od
}

active proctype other()
{
  byte step;
  byte n;
  do
  :: step < STEPS ->
     step++;
     if
     :: true -> write_row(OTHER)
     :: true -> spend(OTHER)
     :: select(n : 0 .. 2); deliver(n)
     :: atomic {
          replace(OTHER);
          life++;
          taken[0] = false;
          taken[1] = false;
          taken[2] = false
        }
     fi
  :: else -> break
  od
}
