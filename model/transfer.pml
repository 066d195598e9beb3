/*
 * A coordinator gives tokens to another router by datagrams that are lost, late or
 * doubled. Both spend, write their spend rows, crash at any moment and are
 * followed by a process at the same address, which takes over what the row of
 * the dead one leaves.
 *
 * Broken variants, which the check must show to fail:
 *   TWICE      a datagram that comes twice counts twice
 *   ANY_LIFE   a process takes what was sent to the one before it
 *   ABOVE_LINE tokens are given that a successor of the coordinator takes over
 *   NO_LINE    all that is held may be spent, whatever a successor takes over
 */
#define PAID 3
#define GIVES 3
#define STEPS 8 /* of each router, which bounds the search */

#define STEWARD 0
#define OTHER 1

/* the store: a line and what was received, for each address; the coordinator has
   drawn the whole budget */
byte line[2];
byte row_received[2];

/* the routers */
byte used[2];     /* spent and given away */
byte received[2]; /* in memory */
byte life;        /* of the other router */
byte given;       /* transfers so far */
byte sent_to[GIVES];
bool on_wire[GIVES];
bool taken[GIVES]; /* by the living other router */

/* the world */
byte served; /* tokens of callers that have their answer */

#define GRANTED(i) (i == STEWARD -> PAID : 0)
#define LEFT(i)                                                                \
  (GRANTED(i) + row_received[i] > line[i]                                      \
       -> GRANTED(i) + row_received[i] - line[i] : 0)
#ifdef NO_LINE
#define LIMIT(i) (GRANTED(i) + received[i])
#else
#define LIMIT(i) (GRANTED(i) + received[i] - LEFT(i))
#endif

inline write_row(i)
{
  atomic {
    line[i] = used[i];
    if
    :: line[i] < GRANTED(i) + received[i] -> line[i]++
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

/* the process dies, and the next one reads its row */
inline replace(i)
{
  atomic {
    used[i] = line[i];
    if
    :: used[i] > GRANTED(i) + row_received[i] ->
       used[i] = GRANTED(i) + row_received[i]
    :: else -> skip
    fi;
    received[i] = row_received[i];
    line[i] = used[i]
  }
}

inline give()
{
  atomic {
    if
#ifdef ABOVE_LINE
    :: given < GIVES && used[STEWARD] < PAID + received[STEWARD] ->
#else
    :: given < GIVES && used[STEWARD] < LIMIT(STEWARD) ->
#endif
       used[STEWARD]++;
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
     :: true -> write_row(STEWARD)
     :: true -> spend(STEWARD)
     :: true -> give()
     :: true -> replace(STEWARD)
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
