//! Periodic work of the rate limiter's state machine: ticks, reads of the table, rebalancing and graceful stop.

use crate::lease::{LeasePhase, SlotLease};
use crate::output::Output;
use crate::split::SlotId;
use crate::state::RateState;
use plantainmill_core::{OrganisationId, Uptime};
use serde_json::{Value, json};
use std::time::Duration;

/// Interval at which leases, loans and borrowed tokens are checked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reads of the slot rows when no change is expected.
const ROWS_READ_INTERVAL: Duration = Duration::from_secs(15);
/// Minimum time between a completed read of the slot rows and the next one while a change is expected.
const MIN_ROWS_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between reads of the VM list.
const MIN_VMS_READ_INTERVAL: Duration = Duration::from_secs(2);
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between releases of surplus slots, which other VMs of the domain then claim.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(20);
/// Time-out of a loan request. A lender that does not respond is not asked again for the same time.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Due times of periodic work, and reads in flight.
#[derive(Debug, Default)]
pub struct RateSchedule {
    /// Number of row reads issued so far.
    pub(crate) reads: u64,
    /// Reads up to this number may show rows from before the last change of the split.
    pub(crate) last_stale_read: u64,
    /// The slot rows are read as soon as [`MIN_ROWS_READ_INTERVAL`] permits.
    pub(crate) rows_read_due: bool,
    pub(crate) vms_read_due: bool,
    pub(crate) vms_read_pending: bool,
    pending_rows_read: Option<u64>,
    next_rows_read: Uptime,
    next_early_rows_read: Uptime,
    next_vms_read: Uptime,
    next_lease_check: Uptime,
    next_eviction: Uptime,
    next_rebalance: Uptime,
}

impl RateSchedule {
    /// Records the completion of read number `read`. A failed read is retried.
    pub(crate) fn record_rows_read(&mut self, read: u64, succeeded: bool, now: Uptime) {
        if self.pending_rows_read == Some(read) {
            self.pending_rows_read = None;
        }
        self.rows_read_due |= !succeeded;
        self.next_early_rows_read = now + MIN_ROWS_READ_INTERVAL;
    }
}

impl RateState {
    /// Runs the work that is due. Call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Uptime, out: &mut Vec<Output>) {
        let waiting: Vec<OrganisationId> = self.waiting.iter().cloned().collect();
        for organisation in &waiting {
            self.serve_waiting(organisation, now, out);
        }
        if now >= self.schedule.next_lease_check {
            self.schedule.next_lease_check = now + LEASE_CHECK_INTERVAL;
            self.expire_loans(now);
            self.maintain_demands(now);
            self.tick_leases(now, out);
            self.propose_layout(out);
            self.rebalance(now, out);
        }
        if now >= self.schedule.next_eviction {
            self.schedule.next_eviction = now + EVICTION_INTERVAL;
            for buckets in self.held.values_mut() {
                buckets.evict(now);
            }
            self.demands.retain(|_, demand| !demand.is_idle(now));
        }
        self.send_reports(out);
        self.issue_reads(now, out);
    }

    /// Starts the graceful stop: nothing is lent or borrowed from now on, and slots are released as their loans are
    /// resolved.
    pub fn drain(&mut self, now: Uptime, out: &mut Vec<Output>) {
        self.draining = true;
        for demand in self.demands.values_mut() {
            demand.return_tokens(&mut self.reports);
        }
        self.send_reports(out);
        self.rebalance(now, out);
    }

    /// Whether the graceful stop has released all slots.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.draining && self.leases.values().all(SlotLease::is_idle)
    }

    /// Internal state as JSON, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self, now: Uptime) -> Value {
        let slots = self
            .leases
            .iter()
            .map(|(slot, lease)| self.dump_slot(slot, lease, now));
        json!({
            "limiter": "slots",
            "digest": format!("{:016x}", self.digest),
            "layout": *self.split_inputs.layout,
            "settled": self.is_converged(),
            "slots": slots.collect::<Vec<Value>>(),
            "loans": self.loans.len(),
            "organisations_active": self.demands.len(),
            "waiting": self.waiting.len(),
            "counts": self.counts,
        })
    }

    fn dump_slot(&self, slot: &SlotId, lease: &SlotLease, now: Uptime) -> Value {
        let holder = self.rows.holder(slot).map(|holder| holder.vm.as_str());
        let buckets = self.held.get(slot);
        let left = lease.time_left(now).as_secs();
        json!({
            "slot": slot.row_key().as_str(),
            "holder": holder,
            "phase": match lease.phase() {
                LeasePhase::Watching => "watching",
                LeasePhase::Waiting(_) => "waiting",
                LeasePhase::Active => "active",
            },
            "epoch": lease.epoch(),
            "lease_left_s": left,
            "buckets": buckets.map_or(0, crate::slots::SlotBuckets::bucket_count),
            "tokens_lent": buckets.map_or(0, crate::slots::SlotBuckets::lent),
        })
    }

    fn maintain_demands(&mut self, now: Uptime) {
        for demand in self.demands.values_mut() {
            demand.maintain(now, LOAN_REQUEST_TIMEOUT, &mut self.reports);
        }
    }

    /// Releases slots: all of them when draining, otherwise one at a time while this VM holds more than its fair
    /// count.
    fn rebalance(&mut self, now: Uptime, out: &mut Vec<Output>) {
        let held: Vec<SlotId> = self.held_slots();
        if self.draining {
            for slot in &held {
                self.releasing = Some(slot.clone());
                self.release_when_resolved(slot, now, out);
            }
            return;
        }
        if let Some(slot) = self.releasing.clone() {
            self.release_when_resolved(&slot, now, out);
            if !self.leases.get(&slot).is_some_and(SlotLease::is_held) {
                self.releasing = None;
            }
        } else if held.len() > self.fair_slot_count() && now >= self.schedule.next_rebalance {
            self.schedule.next_rebalance = now + REBALANCE_INTERVAL;
            self.releasing = held.last().cloned();
        }
    }

    fn held_slots(&self) -> Vec<SlotId> {
        let held = self.leases.iter().filter(|(_, lease)| lease.is_held());
        held.map(|(slot, _)| slot.clone()).collect()
    }

    fn release_when_resolved(&mut self, slot: &SlotId, now: Uptime, out: &mut Vec<Output>) {
        let lent = self
            .held
            .get(slot)
            .map_or(0, crate::slots::SlotBuckets::lent);
        if lent == 0 {
            self.release_slot(slot, now, out);
        }
    }

    fn issue_reads(&mut self, now: Uptime, out: &mut Vec<Output>) {
        if self.schedule.vms_read_due
            && !self.schedule.vms_read_pending
            && now >= self.schedule.next_vms_read
        {
            self.schedule.vms_read_due = false;
            self.schedule.vms_read_pending = true;
            self.schedule.next_vms_read = now + MIN_VMS_READ_INTERVAL;
            out.push(Output::ReadVms);
        }
        let awaited = self.schedule.rows_read_due || !self.is_converged() || self.awaits_row();
        let early = awaited && now >= self.schedule.next_early_rows_read;
        if self.schedule.pending_rows_read.is_some()
            || !(early || now >= self.schedule.next_rows_read)
        {
            return;
        }
        self.schedule.rows_read_due = false;
        self.schedule.reads += 1;
        let read = self.schedule.reads;
        self.schedule.pending_rows_read = Some(read);
        self.schedule.next_rows_read = now + ROWS_READ_INTERVAL;
        out.push(Output::ReadRows { read });
    }

    fn awaits_row(&self) -> bool {
        self.leases.is_empty() || self.leases.values().any(SlotLease::needs_read)
    }
}
