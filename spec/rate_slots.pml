/*
 * One rate slot: lease, witness, takeover and loans.
 *
 * Two VMs compete for the slot. A witness renews the lease when the table cannot be reached, until it consents to
 * a takeover. The witness may restart once and lose its memory. The holder lends tokens to a borrower.
 *
 * Time is a tick that lowers all counters and may happen between any two steps, so every VM may be paused for any
 * time. A message, once sent, may be delivered at any later time, any number of times, or never. A renewal takes
 * effect at its holder as soon as it is granted: a later answer would end at the same time and start later.
 *
 * Properties: there are never two active holders, and tokens that can be spent never exceed the burst.
 * With -DMUTATION a takeover does not ask the witness, which lets the old holder go on.
 */

#define VMS 2
#define NONE 2
#define LEASE 2
#define LOAN 2
#define BURST 2
#define EPOCHS 3
#define LOANS 2

/* Row of the slot. */
byte row_holder = NONE;
byte row_epoch = 0;
byte row_witness = 0;

/* Witness: its incarnation, and the epoch up to which it renews no more. */
byte witness = 0;
byte consented = 0;

/* Per VM: epoch of its claim (0 is none), ticks of lease and of waiting. */
byte epoch[VMS];
byte named[VMS];       /* incarnation of the witness in its own row */
byte lease[VMS];
byte waiting[VMS];
byte sent[VMS];        /* ticks that a renewal in flight is worth; 0 is none */

/* Per VM: takeover in progress. */
byte target[VMS];      /* epoch to replace */
byte asks[VMS];        /* incarnation of the witness in the row that was read */
bool consent[VMS];

/* Per VM: tokens inside, and the loan as the lender knows it. */
byte level[VMS];
byte lent[VMS];
byte lent_left[VMS];
byte lent_loan[VMS];

/* Messages by loan: request (lender + 1), grant (tokens, life), report (returned tokens + 1). */
byte request[LOANS];
byte grant[LOANS];
byte grant_life[LOANS];
byte report[LOANS];

/* Borrower: loans begun, and tokens in hand. */
byte loans = 0;
byte awaits_left = 0;  /* ticks for which an answer to the last one is awaited */
byte borrowed = 0;
byte borrowed_left = 0;

#define holds(vm) (epoch[vm] > 0 && waiting[vm] == 0 && lease[vm] > 0)
#define own_tokens(vm) (holds(vm) -> level[vm] : 0)
#define in_hand (borrowed_left > 0 -> borrowed : 0)
#define lower(counter) counter = (counter > 0 -> counter - 1 : 0)
#define least(left, right) (left < right -> left : right)

inline lower_vm(vm) {
  lower(lease[vm]); lower(waiting[vm]); lower(sent[vm]);
  lower(lent_left[vm]);
  if
  :: lent_left[vm] == 0 -> lent[vm] = 0; lent_loan[vm] = 0
  :: else
  fi
}

inline forget(vm) {
  epoch[vm] = 0; lease[vm] = 0; waiting[vm] = 0; sent[vm] = 0; named[vm] = 0;
  level[vm] = 0; lent[vm] = 0; lent_left[vm] = 0; lent_loan[vm] = 0
}

inline stop_takeover(vm) { target[vm] = 0; asks[vm] = 0; consent[vm] = false }

inline tick() {
  d_step {
    lower_vm(0); lower_vm(1);
    lower(awaits_left); lower(borrowed_left);
    if
    :: borrowed_left == 0 -> borrowed = 0
    :: else
    fi
  }
}

/* Lends `tokens` on request `loan`. */
inline lend(vm, loan, tokens) {
  level[vm] = level[vm] - tokens;
  lent[vm] = tokens; lent_loan[vm] = loan + 1;
  lent_left[vm] = least(lease[vm], LOAN);
  /* The borrower ignores a grant of an earlier loan, so it need not be kept. */
  if
  :: loans == loan + 1 -> grant[loan] = tokens; grant_life[loan] = lent_left[vm]
  :: else
  fi
}

/* A request for a loan that has no record: granted with one token or all, or left. */
inline answer(vm, loan) {
  atomic { holds(vm) && request[loan] == vm + 1 && lent[vm] == 0 && level[vm] > 0 ->
    if
    :: lend(vm, loan, 1)
    :: level[vm] > 1 -> lend(vm, loan, level[vm])
    fi }
}

/* A report resolves the loan; one without a record does nothing. */
inline resolve(vm, loan) {
  d_step { report[loan] > 0 && request[loan] == vm + 1 && lent[vm] > 0 && lent_loan[vm] == loan + 1 ->
    level[vm] = level[vm] + least(report[loan] - 1, lent[vm]);
    lent[vm] = 0; lent_left[vm] = 0; lent_loan[vm] = 0 }
}

/* The borrower takes a grant that it awaits, unless its time is over by its own clock. */
inline accept(loan) {
  d_step { loans == loan + 1 && grant[loan] > 0 && awaits_left + grant_life[loan] > LOAN ->
    borrowed = grant[loan]; borrowed_left = awaits_left + grant_life[loan] - LOAN;
    awaits_left = 0; grant[loan] = 0; grant_life[loan] = 0 }
}

active [VMS] proctype Vm() {
  do
  /* First claim: nobody has ever held the slot. */
  :: d_step { row_holder == NONE ->
       row_holder = _pid; row_epoch = 1; row_witness = witness;
       epoch[_pid] = 1; named[_pid] = witness; lease[_pid] = LEASE; level[_pid] = BURST }

  /* Renewal: sent, then granted by the table or by the witness, or lost. */
  :: d_step { epoch[_pid] > 0 && sent[_pid] == 0 -> sent[_pid] = LEASE }
  :: d_step { sent[_pid] > lease[_pid] && row_holder == _pid && row_epoch == epoch[_pid] ->
       lease[_pid] = sent[_pid]; sent[_pid] = 0 }
  :: d_step { sent[_pid] > lease[_pid] && named[_pid] == witness && epoch[_pid] > consented ->
       lease[_pid] = sent[_pid]; sent[_pid] = 0 }

  /* The table shows that the slot is lost. */
  :: d_step { epoch[_pid] > 0 && (row_holder != _pid || row_epoch != epoch[_pid]) -> forget(_pid) }

  /* Takeover: read the row, get the witness's consent, write the row, wait out the lease; or give up. */
  :: d_step { epoch[_pid] == 0 && target[_pid] == 0 && row_holder == 1 - _pid && row_epoch < EPOCHS ->
       target[_pid] = row_epoch; asks[_pid] = row_witness }
#ifdef MUTATION
  :: d_step { target[_pid] > 0 && !consent[_pid] -> consent[_pid] = true }
#else
  :: d_step { target[_pid] > 0 && !consent[_pid] && asks[_pid] == witness ->
       consented = (consented < target[_pid] -> target[_pid] : consented);
       asks[_pid] = 0; consent[_pid] = true }
  :: d_step { target[_pid] > 0 && !consent[_pid] && asks[_pid] < witness ->
       asks[_pid] = 0; consent[_pid] = true }
#endif
  :: d_step { consent[_pid] && row_epoch == target[_pid] && row_holder != _pid ->
       row_holder = _pid; row_epoch = row_epoch + 1; row_witness = witness;
       epoch[_pid] = row_epoch; named[_pid] = witness;
       waiting[_pid] = LEASE;
       stop_takeover(_pid) }
  :: d_step { target[_pid] > 0 -> stop_takeover(_pid) }

  /* Tokens accrue while those inside and those lent are below the burst, and are spent. */
  :: d_step { holds(_pid) && level[_pid] + lent[_pid] < BURST -> level[_pid] = level[_pid] + 1 }
  :: d_step { holds(_pid) && level[_pid] > 0 -> level[_pid] = level[_pid] - 1 }

  :: answer(_pid, 0)
  :: answer(_pid, 1)
  :: resolve(_pid, 0)
  :: resolve(_pid, 1)
  od
}

active proctype Borrower() {
  do
  :: atomic { awaits_left == 0 && borrowed_left == 0 && loans < LOANS ->
       if
       :: loans > 0 -> grant[loans - 1] = 0; grant_life[loans - 1] = 0
       :: else
       fi;
       if
       :: request[loans] = 1
       :: request[loans] = 2
       fi;
       loans++; awaits_left = LOAN }
  :: accept(0)
  :: accept(1)
  :: d_step { in_hand > 0 -> borrowed = borrowed - 1 }
  /* The loan is over: what is left goes back. */
  :: d_step { borrowed_left > 0 -> report[loans - 1] = borrowed + 1; borrowed = 0; borrowed_left = 0 }
  od
}

active proctype Surroundings() {
  do
  :: tick()
  :: d_step { witness == 0 -> witness = 1; consented = 0 }
  :: d_step {
       assert(!(holds(0) && holds(1)));
       assert(own_tokens(0) + own_tokens(1) + in_hand <= BURST)
     }
  od
}
