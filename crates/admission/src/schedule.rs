//! What is due when.

use crate::lease::{LeasePhase, SlotLease};
use crate::output::Output;
use crate::split::SlotId;
use crate::state::RateState;
use plantainmill_core::{OrganisationId, Uptime};
use serde_json::{Value, json};
use std::time::Duration;

/// Time between looks at the leases and at borrowed tokens.
const LEASE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between reads of the slot rows when nothing is amiss.
const READ_INTERVAL: Duration = Duration::from_secs(15);
/// Time between reads while something is awaited from the table.
const READ_AGAIN: Duration = Duration::from_millis(500);
/// Time between reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time between evictions of buckets.
const EVICT_INTERVAL: Duration = Duration::from_secs(1);
/// Time between releases of slots that other VMs of the domain should have.
const BALANCE_INTERVAL: Duration = Duration::from_secs(20);
/// A lender that has not answered for this long is not asked for as long again.
const LOAN_ANSWER_TIME: Duration = Duration::from_millis(300);

/// Times of the next actions.
#[derive(Debug, Default)]
pub struct RateSchedule {
    /// Reads of the rows issued so far.
    pub(crate) reads: u64,
    /// Reads up to this one may show rows from before the split changed.
    pub(crate) digest_read: u64,
    pub(crate) want_rows: bool,
    pub(crate) want_vms: bool,
    pub(crate) vms_pending: bool,
    pending_read: Option<u64>,
    next_read: Uptime,
    next_early_read: Uptime,
    next_list: Uptime,
    next_leases: Uptime,
    next_evict: Uptime,
    next_balance: Uptime,
}

impl RateSchedule {
    /// Read `read` was answered.
    pub(crate) fn read_done(&mut self, read: u64, good: bool, now: Uptime) {
        if self.pending_read == Some(read) {
            self.pending_read = None;
        }
        self.want_rows |= !good;
        self.next_early_read = now + READ_AGAIN;
    }
}

impl RateState {
    /// Does what is due. To be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Uptime, out: &mut Vec<Output>) {
        let waiting: Vec<OrganisationId> = self.waiting.iter().cloned().collect();
        for organisation in &waiting {
            self.serve(organisation, now, out);
        }
        if now >= self.schedule.next_leases {
            self.schedule.next_leases = now + LEASE_INTERVAL;
            self.expire_loans(now);
            self.tidy_demands(now);
            self.tick_leases(now, out);
            self.propose_layout(out);
            self.balance(now, out);
        }
        if now >= self.schedule.next_evict {
            self.schedule.next_evict = now + EVICT_INTERVAL;
            for buckets in self.held.values_mut() {
                buckets.evict(now);
            }
            self.demands.retain(|_, demand| !demand.is_idle(now));
        }
        self.send_reports(out);
        self.read(now, out);
    }

    /// Starts the graceful stop: nothing is lent or borrowed any more, and slots are released as their loans end.
    pub fn drain(&mut self, now: Uptime, out: &mut Vec<Output>) {
        self.draining = true;
        for demand in self.demands.values_mut() {
            demand.give_back(&mut self.reports);
        }
        self.send_reports(out);
        self.balance(now, out);
    }

    /// The graceful stop has released all slots.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.draining && self.leases.values().all(SlotLease::is_idle)
    }

    /// State for the dump.
    #[must_use]
    pub fn dump(&self, now: Uptime) -> Value {
        let slots = self
            .leases
            .iter()
            .map(|(slot, lease)| self.dump_slot(slot, lease, now));
        json!({
            "limiter": "slots",
            "digest": format!("{:016x}", self.digest),
            "layout": *self.basis.layout,
            "settled": self.is_settled(),
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
            "buckets": buckets.map_or(0, crate::slots::SlotBuckets::held),
            "tokens_lent": buckets.map_or(0, crate::slots::SlotBuckets::lent),
        })
    }

    fn tidy_demands(&mut self, now: Uptime) {
        for demand in self.demands.values_mut() {
            demand.tidy(now, LOAN_ANSWER_TIME, &mut self.reports);
        }
    }

    /// Releases slots: all of them when draining, otherwise one when this VM holds more than its part.
    fn balance(&mut self, now: Uptime, out: &mut Vec<Output>) {
        let held: Vec<SlotId> = self.held_slots();
        if self.draining {
            for slot in &held {
                self.leaving = Some(slot.clone());
                self.release_when_resolved(slot, now, out);
            }
            return;
        }
        if let Some(slot) = self.leaving.clone() {
            self.release_when_resolved(&slot, now, out);
            if !self.leases.get(&slot).is_some_and(SlotLease::is_held) {
                self.leaving = None;
            }
        } else if held.len() > self.fair_count() && now >= self.schedule.next_balance {
            self.schedule.next_balance = now + BALANCE_INTERVAL;
            self.leaving = held.last().cloned();
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

    fn read(&mut self, now: Uptime, out: &mut Vec<Output>) {
        if self.schedule.want_vms && !self.schedule.vms_pending && now >= self.schedule.next_list {
            self.schedule.want_vms = false;
            self.schedule.vms_pending = true;
            self.schedule.next_list = now + LIST_INTERVAL;
            out.push(Output::ReadVms);
        }
        let awaited = self.schedule.want_rows || !self.is_settled() || self.awaits_row();
        let early = awaited && now >= self.schedule.next_early_read;
        if self.schedule.pending_read.is_some() || !(early || now >= self.schedule.next_read) {
            return;
        }
        self.schedule.want_rows = false;
        self.schedule.reads += 1;
        let read = self.schedule.reads;
        self.schedule.pending_read = Some(read);
        self.schedule.next_read = now + READ_INTERVAL;
        out.push(Output::ReadRows { read });
    }

    fn awaits_row(&self) -> bool {
        self.leases.is_empty() || self.leases.values().any(SlotLease::needs_read)
    }
}
