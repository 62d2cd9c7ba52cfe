//! The lease of one slot, as one VM of its failure domain sees it: claim, renewal, takeover and loss.
//!
//! A takeover first gets the consent of the witness that the row names, then writes the row under the revision it
//! read, then waits out the lease. The consent comes first so that a successor that dies half-way leaves no
//! predecessor that a later successor does not know of.

mod write;

use crate::message::{SlotRow, VmStart};
use crate::output::Output;
use crate::split::SlotId;
use plantainmill_core::{Uptime, VmId};
use plantainmill_provider::{CommitOutcome, StoreError};
use std::time::Duration;

/// Lifetime of a lease from the request that renewed it.
pub const LEASE_TIME: Duration = Duration::from_secs(10);
/// A successor waits this long. The margin covers clocks that run up to 1% apart.
pub const TAKEOVER_WAIT: Duration = Duration::from_millis(10_100);
/// A row that did not change for this long has a holder that no longer renews through the table.
pub const STALE_TIME: Duration = Duration::from_secs(12);
/// Time between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Time without an answer after which the other way of renewal is used as well.
pub const ANSWER_TIME: Duration = Duration::from_secs(1);
/// With less left than this, a renewal through the table is overdue: `LEASE_TIME - RENEW_INTERVAL - ANSWER_TIME`.
const BEHIND_TIME: Duration = Duration::from_secs(6);
/// Time between attempts to claim a slot.
pub const CLAIM_INTERVAL: Duration = Duration::from_secs(2);

/// A row as it was last read.
#[derive(Clone, Debug)]
pub struct SeenRow {
    /// Content.
    pub row: SlotRow,
    /// Revision.
    pub revision: u64,
    /// When this revision was first seen.
    pub since: Uptime,
}

/// Stage of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeasePhase {
    /// Another VM or nobody holds the slot.
    Watching,
    /// The row names this VM; the predecessor's lease is waited out.
    Waiting(Uptime),
    /// This VM may act for the slot while the lease is valid.
    Active,
}

/// What a write in flight is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteKind {
    Claim { wait: bool },
    Renew,
    Release,
}

/// A write whose answer has not come.
#[derive(Clone, Debug)]
struct PendingWrite {
    call: u64,
    kind: WriteKind,
    row: SlotRow,
    sent: Uptime,
    /// `witness_known` before the write.
    known_before: bool,
}

/// What a lease has to know of its VM.
#[derive(Clone, Copy, Debug)]
pub struct LeaseContext<'a> {
    /// This VM.
    pub own: &'a VmStart,
    /// Digest of the split that this VM applies.
    pub split: u64,
    /// VM that would make a witness.
    pub witness: Option<&'a VmStart>,
    /// The holder named by the row is seen as gone by the membership.
    pub holder_gone: bool,
    /// The VM list, read after the row, no longer names the holder.
    pub holder_dropped: bool,
    /// This VM may claim another slot.
    pub may_claim: bool,
    /// Now.
    pub now: Uptime,
}

/// The lease of one slot.
#[derive(Debug)]
pub struct SlotLease {
    slot: SlotId,
    seen: Option<SeenRow>,
    phase: LeasePhase,
    valid_until: Uptime,
    pending: Option<PendingWrite>,
    /// No write that may still take effect names another witness than the row that was seen.
    witness_known: bool,
    last_write: Option<Uptime>,
    renewal: Option<(u64, Uptime)>,
    consent: Option<(u64, Uptime)>,
    next_claim: Uptime,
    renew_soon: bool,
    /// The outcome of a write is unknown; the row is read before the next write.
    read_first: bool,
    /// Writes so far.
    calls: u64,
    /// Reads issued up to this number may show a row from before the last write.
    stale_reads: u64,
}

impl SlotLease {
    /// The lease of `slot` before its row was read.
    #[must_use]
    pub fn new(slot: SlotId) -> SlotLease {
        SlotLease {
            slot,
            seen: None,
            phase: LeasePhase::Watching,
            valid_until: Uptime::ZERO,
            pending: None,
            witness_known: true,
            last_write: None,
            renewal: None,
            consent: None,
            next_claim: Uptime::ZERO,
            renew_soon: false,
            read_first: false,
            calls: 0,
            stale_reads: 0,
        }
    }

    /// The slot.
    #[must_use]
    pub fn slot(&self) -> &SlotId {
        &self.slot
    }

    /// The row as last seen.
    #[must_use]
    pub fn seen(&self) -> Option<&SeenRow> {
        self.seen.as_ref()
    }

    /// Stage.
    #[must_use]
    pub fn phase(&self) -> LeasePhase {
        self.phase
    }

    /// Epoch of the row as last seen.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.seen.as_ref().map_or(0, |seen| seen.row.epoch)
    }

    /// The row names this VM.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.phase != LeasePhase::Watching
    }

    /// The row has to be read before the lease can go on.
    #[must_use]
    pub fn needs_read(&self) -> bool {
        self.read_first
    }

    /// The slot is not held and nothing is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.phase == LeasePhase::Watching && self.pending.is_none()
    }

    /// Time for which this VM may still act for the slot.
    #[must_use]
    pub fn time_left(&self, now: Uptime) -> Duration {
        if self.phase == LeasePhase::Active {
            self.valid_until.saturating_sub(now)
        } else {
            Duration::ZERO
        }
    }

    /// Writes the row at the next tick, so that others see a new split soon.
    pub fn renew_soon(&mut self) {
        self.renew_soon = self.is_held();
    }

    /// Takes in the row that read number `read` showed. Gives false when the VM has lost the slot.
    pub fn observe(
        &mut self,
        row: Option<(SlotRow, u64)>,
        read: u64,
        context: &LeaseContext<'_>,
    ) -> bool {
        if self.pending.is_some() || read <= self.stale_reads {
            return true;
        }
        self.read_first = false;
        let changed = self.seen.as_ref().map(|seen| seen.revision) != row.as_ref().map(|row| row.1);
        if changed {
            self.consent = None;
            self.seen = row.map(|(row, revision)| SeenRow {
                row,
                revision,
                since: context.now,
            });
        }
        let own = self
            .seen
            .as_ref()
            .is_some_and(|seen| is_own(&seen.row, context.own));
        match (own, self.phase) {
            // A claim whose answer was lost took effect.
            (true, LeasePhase::Watching) if context.may_claim => {
                self.phase = LeasePhase::Waiting(context.now + TAKEOVER_WAIT);
                self.valid_until = Uptime::ZERO;
                true
            }
            (false, LeasePhase::Waiting(_) | LeasePhase::Active) => {
                self.lose();
                false
            }
            _ => true,
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, context: &LeaseContext<'_>, out: &mut Vec<Output>) {
        if let LeasePhase::Waiting(until) = self.phase
            && context.now >= until
        {
            self.phase = LeasePhase::Active;
        }
        if self.is_held() {
            self.renew(context, out);
        } else if context.may_claim && self.is_free() && context.now >= self.next_claim {
            self.try_claim(context, out);
        }
    }

    /// Gives the slot up. The caller no longer acts for it and has no loans outstanding.
    pub fn release(&mut self, context: &LeaseContext<'_>, out: &mut Vec<Output>) {
        if !self.is_held() || self.pending.is_some() {
            return;
        }
        let row = SlotRow {
            holder: None,
            epoch: self.epoch(),
            witness: None,
            split: context.split,
        };
        self.lose();
        self.next_claim = context.now + LEASE_TIME;
        self.write(WriteKind::Release, row, context.now, out);
    }

    /// Takes in the answer to a write. Gives false when it belongs to another lease.
    pub fn written(
        &mut self,
        call: u64,
        outcome: &Result<CommitOutcome, StoreError>,
        reads: u64,
        now: Uptime,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(write) = self.pending.take_if(|write| write.call == call) else {
            return false;
        };
        self.stale_reads = reads;
        match outcome {
            Ok(CommitOutcome::Committed { revision }) => self.committed(write, *revision, now, out),
            Ok(CommitOutcome::Conflict { .. }) => {
                self.valid_until = Uptime::ZERO;
                self.read_first = true;
                out.push(Output::ReadRows { read: 0 });
            }
            Err(StoreError::Unavailable(_)) => self.not_written(&write),
            Err(_) => {
                self.read_first = true;
                out.push(Output::ReadRows { read: 0 });
            }
        }
        true
    }

    /// Takes in the witness's answer to a renewal.
    pub fn renewed(&mut self, from: &VmId, epoch: u64, request: u64, granted: bool) {
        let Some((_, sent)) = self.renewal.take_if(|(number, _)| *number == request) else {
            return;
        };
        let named = self.witness().is_some_and(|witness| witness.vm == *from);
        if granted && named && self.is_held() && epoch == self.epoch() {
            self.valid_until = self.valid_until.max(sent + LEASE_TIME);
        }
    }

    /// Takes in the witness's answer to a request for consent.
    pub fn consented(
        &mut self,
        from: &VmId,
        epoch: u64,
        request: u64,
        granted: bool,
        context: &LeaseContext<'_>,
        out: &mut Vec<Output>,
    ) {
        let asked = self.consent.take_if(|(number, _)| *number == request);
        let seen = self.seen.as_ref();
        let named = seen.and_then(|seen| seen.row.witness.as_ref());
        let by_witness = named.is_some_and(|witness| witness.vm == *from);
        let free = self.phase == LeasePhase::Watching && self.is_free();
        if asked.is_some()
            && granted
            && by_witness
            && free
            && epoch == self.epoch()
            && context.may_claim
        {
            self.claim(true, context, out);
        }
    }

    /// Witness of the lease, while it is certain which VM that is.
    fn witness(&self) -> Option<&VmStart> {
        let seen = self.seen.as_ref()?;
        seen.row.witness.as_ref().filter(|_| self.witness_known)
    }

    /// A write may be sent.
    fn is_free(&self) -> bool {
        self.pending.is_none() && !self.read_first
    }

    fn lose(&mut self) {
        self.phase = LeasePhase::Watching;
        self.valid_until = Uptime::ZERO;
        self.renewal = None;
        self.renew_soon = false;
    }

    fn renew(&mut self, context: &LeaseContext<'_>, out: &mut Vec<Output>) {
        let elapsed = self
            .last_write
            .map_or(Duration::MAX, |time| context.now.saturating_sub(time));
        if self.is_free() && (elapsed >= RENEW_INTERVAL || self.renew_soon) {
            self.renew_soon = false;
            let row = SlotRow {
                holder: Some(context.own.clone()),
                epoch: self.epoch(),
                witness: context.witness.cloned(),
                split: context.split,
            };
            self.write(WriteKind::Renew, row, context.now, out);
        }
        let left = self.valid_until.saturating_sub(context.now);
        let behind = left < BEHIND_TIME;
        let asked = self
            .renewal
            .is_some_and(|(_, sent)| context.now < sent + ANSWER_TIME);
        if behind && !asked {
            self.ask_witness(context.now, out);
        }
    }

    fn ask_witness(&mut self, now: Uptime, out: &mut Vec<Output>) {
        let Some(witness) = self.witness().cloned() else {
            return;
        };
        let request = nanos(now);
        self.renewal = Some((request, now));
        out.push(Output::Renew {
            slot: self.slot.clone(),
            epoch: self.epoch(),
            witness,
            request,
        });
    }

    fn try_claim(&mut self, context: &LeaseContext<'_>, out: &mut Vec<Output>) {
        let Some(seen) = &self.seen else {
            self.claim(false, context, out);
            return;
        };
        let Some(holder) = &seen.row.holder else {
            self.claim(false, context, out);
            return;
        };
        // An earlier start of this VM has ended, since this one has its address.
        let earlier = holder.vm == context.own.vm && *holder < *context.own;
        if earlier || context.holder_dropped {
            self.claim(true, context, out);
            return;
        }
        let stale = context.now.saturating_sub(seen.since) >= STALE_TIME;
        if !stale && !context.holder_gone {
            return;
        }
        self.next_claim = context.now + CLAIM_INTERVAL;
        match seen.row.witness.clone() {
            Some(witness) => self.ask_consent(witness, context.now, out),
            None => out.push(Output::ReadVms),
        }
    }

    fn ask_consent(&mut self, witness: VmStart, now: Uptime, out: &mut Vec<Output>) {
        let request = nanos(now);
        self.consent = Some((request, now));
        out.push(Output::ReadVms);
        out.push(Output::Consent {
            slot: self.slot.clone(),
            epoch: self.epoch(),
            witness,
            request,
        });
    }

    fn claim(&mut self, wait: bool, context: &LeaseContext<'_>, out: &mut Vec<Output>) {
        self.next_claim = context.now + CLAIM_INTERVAL;
        let row = SlotRow {
            holder: Some(context.own.clone()),
            epoch: self.epoch() + 1,
            witness: context.witness.cloned(),
            split: context.split,
        };
        self.write(WriteKind::Claim { wait }, row, context.now, out);
    }
}

fn is_own(row: &SlotRow, own: &VmStart) -> bool {
    row.holder.as_ref() == Some(own)
}

/// Request numbers follow the clock, so they do not repeat within an incarnation.
fn nanos(now: Uptime) -> u64 {
    u64::try_from(now.as_nanos()).unwrap_or(u64::MAX)
}
