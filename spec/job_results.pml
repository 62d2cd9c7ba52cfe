/* Results of one job: owners, takeovers, ends, and writes that take effect late.
 *
 * The head row names the owner and counts the results. A VM lists a result by a write of the head and of the row at the
 * next position, under the versions of both. Answers may be lost, and a write may take effect after its sender has given
 * up waiting, if its conditions still hold. Any VM may be given the job at any time, because judging an owner as gone
 * is only a guess, and neither the new owner nor the former one need hear of it: a VM acts on the head that it last saw
 * until a write conflicts. So a job may go to another VM and back unnoticed. -DMUTATION drops the head's version from the
 * condition of a result, which leaves only the position. -DMUTATION_COUNTS takes the number of results in a conflicting
 * head for the number of own results that are listed.
 */

#define VMS 2
#define ITEMS 2
#define TAKEOVERS 3
#define LOSSES 3
#define ENDS 1
#define NONE 255

/* The store: the head's version, owner, count and end; the item at each position. */
byte version = 1;
byte owner = 0;
byte count = 0;
bool ended = false;
byte position[4] = NONE;

byte takeovers = 0;
byte losses = 0;
byte ends = 0;

/* Writes that are still on their way, one per VM. */
bool late[VMS];
byte late_version[VMS];
byte late_count[VMS];
byte late_item[VMS];

#ifdef MUTATION
#define HOLDS(seen_version, seen_count) (position[seen_count] == NONE)
#else
#define HOLDS(seen_version, seen_count) (version == seen_version && position[seen_count] == NONE)
#endif

/* The effect of a result of `writer` whose conditions hold. The head that it writes is the one that `writer` has seen. */
inline list(writer, seen_count, item) {
  /* It undoes neither an end nor a take-over. */
  assert(!ended && owner == writer);
  position[seen_count] = item;
  count = seen_count + 1;
  version++;
  /* An item stands once, and positions have no gaps. */
  assert(!(position[0] != NONE && position[0] == position[1]));
  assert(!(position[0] != NONE && position[0] == position[2]));
  assert(!(position[1] != NONE && position[1] == position[2]));
  assert(!(position[1] != NONE && position[0] == NONE))
}

inline read_listed() {
  done[0] = (position[0] == 0 || position[1] == 0);
  done[1] = (position[0] == 1 || position[1] == 1)
}

proctype Vm(byte own) {
  byte seen_version = 0;
  byte seen_count = 0;
  byte item = 0;
  bool is_owner = false;
  bool done[ITEMS];
  do
  :: atomic { !is_owner && owner == own && !ended && count < ITEMS ->
      /* Hears that it owns the job, and reads which items are listed. */
      is_owner = true;
      seen_version = version;
      seen_count = count;
      read_listed()
    }
  :: is_owner && (!done[0] || !done[1]) ->
    /* Some item ends first. */
    if
    :: !done[0] -> item = 0
    :: !done[1] -> item = 1
    fi;
    /* The same write is sent until its outcome is known. */
    do
    :: atomic { HOLDS(seen_version, seen_count) ->
        list(own, seen_count, item);
        seen_version = version;
        seen_count++;
        done[item] = true;
        break
      }
    :: atomic { HOLDS(seen_version, seen_count) && losses < LOSSES ->
        /* It took effect, and the answer is lost. */
        losses++;
        list(own, seen_count, item)
      }
    :: atomic { !late[own] && losses < LOSSES ->
        /* It is on its way; no answer comes. */
        losses++;
        late[own] = true;
        late_version[own] = seen_version;
        late_count[own] = seen_count;
        late_item[own] = item
      }
    :: atomic { !(HOLDS(seen_version, seen_count)) ->
        /* A conflict shows the head. */
        if
        :: owner == own && !ended ->
#ifdef MUTATION_COUNTS
          if
          :: count > seen_count -> done[item] = true
          :: else
          fi;
#else
          read_listed();
#endif
          seen_version = version;
          seen_count = count
        :: else -> is_owner = false
        fi;
        break
      }
    od
  :: is_owner && done[0] && done[1] -> break
  :: !is_owner && (ended || count == ITEMS || (takeovers == TAKEOVERS && owner != own)) -> break
  od
}

/* Writes that take effect late, if their conditions still hold, or never. Readers of the feed give the job to a VM. */
proctype Network() {
  byte index;
  do
  :: atomic { takeovers < TAKEOVERS && !ended && count < ITEMS -> takeovers++; owner = 1 - owner; version++ }
  :: atomic { late[0] -> index = 0; late[0] = false; if :: HOLDS(late_version[0], late_count[0]) -> list(0, late_count[0], late_item[0]) :: else fi }
  :: atomic { late[1] -> index = 1; late[1] = false; if :: HOLDS(late_version[1], late_count[1]) -> list(1, late_count[1], late_item[1]) :: else fi }
  :: atomic { ends < ENDS -> ends++; ended = true; version++ }
  :: timeout -> break
  od
}

init {
  atomic {
    run Vm(0);
    run Vm(1);
    run Network()
  }
}
