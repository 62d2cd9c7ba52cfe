//! Lease of one slot, as observed by one VM of the slot's failure domain: claim, renewal, takeover and loss.
//!
//! While the holder cannot reach the table, the witness that the row names renews the lease (see
//! [`witness`](crate::witness)). A takeover first obtains the consent of that witness, then writes the row
//! conditionally on the revision that was read, then waits until the old lease has expired. Consent comes first so that
//! a successor that crashes half-way leaves no earlier holder that a later successor does not know of.

mod write;

use crate::message::{SlotRow, VmIncarnation};
use crate::output::Output;
use crate::split::SlotId;
use plantainmill_core::{Uptime, VmId};
use plantainmill_provider::{CommitOutcome, StoreError};
use std::time::Duration;

/// Duration of a lease, counted from the request that renewed it.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Time that a successor waits before it uses the slot. The margin over [`LEASE_DURATION`] covers clocks that drift up to
/// 1% apart.
pub const TAKEOVER_WAIT: Duration = Duration::from_millis(10_100);
/// The holder of a row that has not changed for this long no longer renews through the table.
pub const ROW_STALE_AFTER: Duration = Duration::from_secs(12);
/// Interval between renewals through the table.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Time-out of a renewal request to the witness. A renewal through the table that takes longer makes the holder ask
/// the witness as well.
pub const RENEWAL_TIMEOUT: Duration = Duration::from_secs(1);
/// With less time left than this, a renewal through the table is overdue: `LEASE_DURATION - RENEW_INTERVAL -
/// RENEWAL_TIMEOUT`.
const RENEWAL_OVERDUE_BELOW: Duration = Duration::from_secs(6);
/// Interval between attempts to claim a slot.
pub const CLAIM_INTERVAL: Duration = Duration::from_secs(2);

/// Slot row as last read or written by this VM.
#[derive(Clone, Debug)]
pub struct ObservedRow {
    /// Content of the row.
    pub row: SlotRow,
    /// Revision of the row in the table.
    pub revision: u64,
    /// Time at which this VM first observed the revision.
    pub since: Uptime,
}

/// Phase of a lease on this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeasePhase {
    /// Another VM holds the slot, or no VM does.
    Watching,
    /// The row names this VM, which waits until this time for the previous lease to expire.
    Waiting(Uptime),
    /// This VM may use the slot while the lease is valid.
    Active,
}

/// Purpose of a write in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteKind {
    Claim { wait: bool },
    Renew,
    Release,
}

/// A write in flight.
#[derive(Clone, Debug)]
struct PendingWrite {
    write_number: u64,
    kind: WriteKind,
    row: SlotRow,
    sent_at: Uptime,
    /// Value of `witness_known` before the write.
    witness_known_before: bool,
}

/// State of this VM that lease decisions depend on.
#[derive(Clone, Copy, Debug)]
pub struct LeaseContext<'a> {
    /// This VM and its incarnation.
    pub own: &'a VmIncarnation,
    /// Digest of the split that this VM applies, to be written to the row.
    pub split: u64,
    /// VM to name as witness in the next write; `None` when no other VM of the domain is live.
    pub witness: Option<&'a VmIncarnation>,
    /// Whether the membership service reports that the holder named by the row is dead or has restarted.
    pub holder_gone: bool,
    /// Whether the platform's VM list, read after the row, no longer contains the holder named by the row.
    pub holder_delisted: bool,
    /// Whether this VM may claim another slot.
    pub may_claim: bool,
    /// Current time.
    pub now: Uptime,
}

/// Lease of one slot on this VM.
#[derive(Debug)]
pub struct SlotLease {
    slot: SlotId,
    observed: Option<ObservedRow>,
    phase: LeasePhase,
    /// End of the lease. `Uptime::MAX` while the row names no witness: such a lease is taken over only when its holder
    /// has terminated or restarted.
    valid_until: Uptime,
    pending: Option<PendingWrite>,
    /// No write that may still take effect names a witness other than the one in the observed row.
    witness_known: bool,
    last_write: Option<Uptime>,
    /// Number and time of the renewal request to the witness that is in flight.
    renewal: Option<(u64, Uptime)>,
    /// Number and time of the consent request to the witness that is in flight.
    consent: Option<(u64, Uptime)>,
    next_claim: Uptime,
    renew_soon: bool,
    /// The row has to be read before the next write, since the outcome of a write is unknown or the row has changed.
    read_required: bool,
    /// Number of writes issued so far.
    write_count: u64,
    /// Reads up to this number may show the row from before the last write.
    last_stale_read: u64,
}

impl SlotLease {
    /// Creates the lease of `slot`, before its row has been read.
    #[must_use]
    pub fn new(slot: SlotId) -> SlotLease {
        SlotLease {
            slot,
            observed: None,
            phase: LeasePhase::Watching,
            valid_until: Uptime::ZERO,
            pending: None,
            witness_known: true,
            last_write: None,
            renewal: None,
            consent: None,
            next_claim: Uptime::ZERO,
            renew_soon: false,
            read_required: false,
            write_count: 0,
            last_stale_read: 0,
        }
    }

    /// Slot that the lease is for.
    #[must_use]
    pub fn slot(&self) -> &SlotId {
        &self.slot
    }

    /// Last observed row; `None` when it has not been read or does not exist.
    #[must_use]
    pub fn observed(&self) -> Option<&ObservedRow> {
        self.observed.as_ref()
    }

    /// Current phase.
    #[must_use]
    pub fn phase(&self) -> LeasePhase {
        self.phase
    }

    /// Epoch of the last observed row, or zero without a row.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.observed
            .as_ref()
            .map_or(0, |observed| observed.row.epoch)
    }

    /// Whether the row names this VM as holder.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.phase != LeasePhase::Watching
    }

    /// Whether the row has to be read before the next write.
    #[must_use]
    pub fn needs_read(&self) -> bool {
        self.read_required
    }

    /// Whether the slot is not held and no write is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.phase == LeasePhase::Watching && self.pending.is_none()
    }

    /// Time for which this VM may still use the slot; zero unless the lease is active.
    #[must_use]
    pub fn time_left(&self, now: Uptime) -> Duration {
        if self.phase == LeasePhase::Active {
            self.valid_until.saturating_sub(now)
        } else {
            Duration::ZERO
        }
    }

    /// Requests a write of the row at the next tick, so that other VMs soon see a new split.
    pub fn renew_soon(&mut self) {
        self.renew_soon = self.is_held();
    }

    /// Processes the row returned by read number `read`. Returns false when this VM has lost the slot.
    pub fn observe(
        &mut self,
        row: Option<(SlotRow, u64)>,
        read: u64,
        context: &LeaseContext<'_>,
    ) -> bool {
        if self.pending.is_some() || read <= self.last_stale_read {
            return true;
        }
        self.read_required = false;
        let changed = self.observed.as_ref().map(|observed| observed.revision)
            != row.as_ref().map(|row| row.1);
        if changed {
            self.consent = None;
            self.observed = row.map(|(row, revision)| ObservedRow {
                row,
                revision,
                since: context.now,
            });
        }
        let own = self
            .observed
            .as_ref()
            .is_some_and(|observed| is_held_by(&observed.row, context.own));
        match (own, self.phase) {
            // A claim took effect although its response was lost.
            (true, LeasePhase::Watching) if context.may_claim => {
                self.phase = LeasePhase::Waiting(context.now + TAKEOVER_WAIT);
                self.valid_until = Uptime::ZERO;
                true
            }
            (false, LeasePhase::Waiting(_) | LeasePhase::Active) => {
                self.drop_lease();
                false
            }
            _ => true,
        }
    }

    /// Runs the work that is due: the end of a takeover wait, renewals and claims.
    pub fn tick(&mut self, context: &LeaseContext<'_>, out: &mut Vec<Output>) {
        if let LeasePhase::Waiting(until) = self.phase
            && context.now >= until
        {
            self.phase = LeasePhase::Active;
        }
        if self.is_held() {
            self.renew(context, out);
        } else if context.may_claim && self.may_write() && context.now >= self.next_claim {
            self.try_claim(context, out);
        }
    }

    /// Releases the slot. The caller must no longer use the slot and must have no unresolved loans from it.
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
        self.drop_lease();
        self.next_claim = context.now + LEASE_DURATION;
        self.write(WriteKind::Release, row, context.now, out);
    }

    /// Processes the result of a write; `reads` is the number of row reads issued so far. Returns false when the result
    /// does not belong to the write in flight.
    pub fn handle_write_result(
        &mut self,
        write_number: u64,
        outcome: &Result<CommitOutcome, StoreError>,
        reads: u64,
        now: Uptime,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(write) = self
            .pending
            .take_if(|write| write.write_number == write_number)
        else {
            return false;
        };
        self.last_stale_read = reads;
        match outcome {
            Ok(CommitOutcome::Committed { revision }) => self.committed(write, *revision, now, out),
            Ok(CommitOutcome::Conflict { .. }) => {
                self.valid_until = Uptime::ZERO;
                self.read_required = true;
                out.push(Output::ReadRows { read: 0 });
            }
            Err(StoreError::Unavailable(_)) => self.revert_write(&write),
            Err(_) => {
                self.read_required = true;
                out.push(Output::ReadRows { read: 0 });
            }
        }
        true
    }

    /// Processes the witness's response to a renewal request.
    pub fn handle_renewal(&mut self, from: &VmId, epoch: u64, request: u64, granted: bool) {
        let Some((_, sent_at)) = self.renewal.take_if(|(number, _)| *number == request) else {
            return;
        };
        let by_witness = self.witness().is_some_and(|witness| witness.vm == *from);
        if granted && by_witness && self.is_held() && epoch == self.epoch() {
            self.valid_until = self.valid_until.max(sent_at + LEASE_DURATION);
        }
    }

    /// Processes the witness's response to a consent request.
    pub fn handle_consent(
        &mut self,
        from: &VmId,
        epoch: u64,
        request: u64,
        granted: bool,
        context: &LeaseContext<'_>,
        out: &mut Vec<Output>,
    ) {
        let asked = self.consent.take_if(|(number, _)| *number == request);
        let observed = self.observed.as_ref();
        let named_witness = observed.and_then(|observed| observed.row.witness.as_ref());
        let by_witness = named_witness.is_some_and(|witness| witness.vm == *from);
        let free = self.phase == LeasePhase::Watching && self.may_write();
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

    /// Witness of the lease, or `None` while a write that changes the witness may still take effect.
    fn witness(&self) -> Option<&VmIncarnation> {
        let observed = self.observed.as_ref()?;
        observed.row.witness.as_ref().filter(|_| self.witness_known)
    }

    /// Whether a write may be issued.
    fn may_write(&self) -> bool {
        self.pending.is_none() && !self.read_required
    }

    fn drop_lease(&mut self) {
        self.phase = LeasePhase::Watching;
        self.valid_until = Uptime::ZERO;
        self.renewal = None;
        self.renew_soon = false;
    }

    fn renew(&mut self, context: &LeaseContext<'_>, out: &mut Vec<Output>) {
        let elapsed = self
            .last_write
            .map_or(Duration::MAX, |time| context.now.saturating_sub(time));
        if self.may_write() && (elapsed >= RENEW_INTERVAL || self.renew_soon) {
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
        let overdue = left < RENEWAL_OVERDUE_BELOW;
        let asked = self
            .renewal
            .is_some_and(|(_, sent_at)| context.now < sent_at + RENEWAL_TIMEOUT);
        if overdue && !asked {
            self.request_renewal(context.now, out);
        }
    }

    fn request_renewal(&mut self, now: Uptime, out: &mut Vec<Output>) {
        let Some(witness) = self.witness().cloned() else {
            return;
        };
        let request = request_number(now);
        self.renewal = Some((request, now));
        out.push(Output::Renew {
            slot: self.slot.clone(),
            epoch: self.epoch(),
            witness,
            request,
        });
    }

    fn try_claim(&mut self, context: &LeaseContext<'_>, out: &mut Vec<Output>) {
        let Some(observed) = &self.observed else {
            self.claim(false, context, out);
            return;
        };
        let Some(holder) = &observed.row.holder else {
            self.claim(false, context, out);
            return;
        };
        // An earlier incarnation of this VM has ended, since the current one owns its address.
        let earlier = holder.vm == context.own.vm && *holder < *context.own;
        if earlier || context.holder_delisted {
            self.claim(true, context, out);
            return;
        }
        let stale = context.now.saturating_sub(observed.since) >= ROW_STALE_AFTER;
        if !stale && !context.holder_gone {
            return;
        }
        self.next_claim = context.now + CLAIM_INTERVAL;
        match observed.row.witness.clone() {
            Some(witness) => self.request_consent(witness, context.now, out),
            None => out.push(Output::ReadVms),
        }
    }

    fn request_consent(&mut self, witness: VmIncarnation, now: Uptime, out: &mut Vec<Output>) {
        let request = request_number(now);
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

fn is_held_by(row: &SlotRow, own: &VmIncarnation) -> bool {
    row.holder.as_ref() == Some(own)
}

/// Request numbers are clock readings, so they do not repeat within an incarnation.
fn request_number(now: Uptime) -> u64 {
    u64::try_from(now.as_nanos()).unwrap_or(u64::MAX)
}
