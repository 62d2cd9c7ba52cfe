/* Lease, commit, cancel and takeover of one chunk.
 *
 * Holders claim the chunk row under its revision, write a segment, and commit the row under its revision and that
 * of the job row. Answers may be lost, and a write may take effect after its sender has given up waiting. Any
 * holder may be taken over at any time, because judging a holder as gone is only a guess. A cancel changes the job
 * row. -DMUTATION drops the job row's revision from the condition of a commit.
 */

#define HOLDERS 2
#define LOSSES 3
#define CLAIMS 4
#define NOBODY 255

/* The table: revisions of the chunk and job rows, holder of the last write, its sequence, committed results. */
byte revision = 0;
byte job_revision = 0;
byte writer = NOBODY;
byte sequence = 0;
byte results = 0;
byte charges = 0;
bool done = false;
bool cancelled = false;

byte losses = 0;
byte claims = 0;
byte results_at_cancel = 0;
/* Segments that are in the object store. */
bool segment[HOLDERS];
/* A holder believes that its result is committed. */
bool believes[HOLDERS];

/* Writes whose answer was lost and that are still on their way, one per holder. */
bool late[HOLDERS];
byte late_seen[HOLDERS];
byte late_job[HOLDERS];
byte late_sequence[HOLDERS];
bool late_commit[HOLDERS];

#ifdef MUTATION
#define HOLDS(chunk_revision, seen_job) (revision == chunk_revision)
#else
#define HOLDS(chunk_revision, seen_job) (revision == chunk_revision && job_revision == seen_job)
#endif

/* The effect of a write whose conditions hold. */
inline take_effect(index, new_sequence, commit) {
  revision++;
  writer = index;
  sequence = new_sequence;
  if
  :: commit -> results++; charges++; done = true
  :: else
  fi
}

/* Sends a write until its outcome is certain; outcome becomes 1 (took effect), 2 (lost) or 3 (job has ended). */
inline settle(commit) {
  outcome = 0;
  do
  :: outcome != 0 -> break
  :: outcome == 0 ->
     if
     :: atomic { HOLDS(seen, seen_job) -> take_effect(index, next_sequence, commit); seen++; outcome = 1 }
     :: atomic { !HOLDS(seen, seen_job) -> skip }
     :: atomic { HOLDS(seen, seen_job) && losses < LOSSES ->
          losses++; take_effect(index, next_sequence, commit) }
     :: atomic { losses < LOSSES && !late[index] ->
          losses++; late[index] = true; late_seen[index] = seen; late_job[index] = seen_job;
          late_sequence[index] = next_sequence; late_commit[index] = commit }
     fi;
     if
     :: outcome == 1
     :: else ->
        /* Reads the job row, then the chunk row. */
        atomic { job_runs = !cancelled; read_job = job_revision };
        atomic {
          if
          :: writer == index && sequence == next_sequence -> seen = revision; outcome = 1
          :: else ->
             if
             :: revision != seen -> outcome = 2
             :: revision == seen && !job_runs -> outcome = 3
             :: revision == seen && job_runs -> seen_job = read_job
             fi
          fi
        }
     fi
  od
}

/* Delivers or drops a write that was on its way. */
proctype Network(byte index) {
end:
  do
  :: atomic { late[index] && HOLDS(late_seen[index], late_job[index]) ->
       take_effect(index, late_sequence[index], late_commit[index]); late[index] = false }
  :: atomic { late[index] -> late[index] = false }
  od
}

proctype Holder(byte index) {
  byte seen, seen_job, next_sequence, outcome, read_job;
  bool job_runs;

restart:
  if
  :: atomic { !done && !cancelled && claims < CLAIMS ->
       claims++; seen = revision; seen_job = job_revision; next_sequence = sequence + 1 }
  :: goto over
  fi;
  settle(false);
  if
  :: outcome != 1 -> goto restart
  :: else
  fi;
  /* Runs the items, then writes the segment before the row. */
  segment[index] = true;
  next_sequence = next_sequence + 1;
  settle(true);
  if
  :: outcome == 1 -> believes[index] = true
  :: else -> goto restart
  fi;
over:
  skip
}

proctype Canceller() {
  if
  :: atomic { !done && !cancelled -> cancelled = true; job_revision++; results_at_cancel = results }
  :: skip
  fi
}

/* Holds in every state: one result at most, charged once, with its segment stored, and none after a cancel. */
#define SAFE (results <= 1 && charges == results \
  && (results == 0 || segment[0] || segment[1]) \
  && (!cancelled || results == results_at_cancel) \
  && ((!believes[0] && !believes[1]) || results == 1) \
  && !(believes[0] && believes[1]))

active proctype Monitor() {
end:
  atomic { !SAFE -> assert(false) }
}

init {
  atomic {
    run Holder(0);
    run Holder(1);
    run Network(0);
    run Network(1);
    run Canceller()
  }
}
