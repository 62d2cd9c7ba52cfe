//! Slot rows, layout and VM list as last read by this VM, and the decisions that follow from them.

use crate::lease::{LeaseContext, LeasePhase, SlotLease};
use crate::message::{SlotRow, VmIncarnation};
use crate::output::{CommitTag, Output};
use crate::slots::SlotBuckets;
use crate::split::{LAYOUT_KEY, SlotId, SlotLayout};
use crate::state::RateState;
use plantainmill_core::{Uptime, VmId};
use plantainmill_membership::MemberState;
use plantainmill_provider::{CommitOutcome, Expected, RowEntry, StoreError, TableWrite, VmEntry};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// A holder that the VM list has never contained counts as removed only after this time, since the list lags behind
/// starts of VMs.
pub const LIST_LAG: Duration = Duration::from_mins(2);

/// Published instead of the digest while it is withheld. It matches no split.
const DIGEST_WITHHELD: u64 = 0;

/// Last known content of the table and of the VM list.
#[derive(Debug, Default)]
pub struct RowView {
    slots: BTreeMap<SlotId, SlotRow>,
    layout_revision: Option<u64>,
    /// The layout row, or its absence, is known from the last read.
    pub(crate) layout_read: bool,
    /// A write of the layout row is in flight.
    pub(crate) layout_pending: bool,
    vms: Option<Vec<VmEntry>>,
    /// VMs that the VM list has contained since this VM started.
    listed: BTreeSet<VmId>,
    /// Holders that the VM list does not contain, with the time at which this VM first found them missing.
    missing_since: HashMap<VmId, Uptime>,
}

impl RowView {
    /// Holder that the row of `slot` names; `None` when the row does not exist or the slot was released.
    #[must_use]
    pub fn holder(&self, slot: &SlotId) -> Option<&VmIncarnation> {
        self.slots.get(slot).and_then(|row| row.holder.as_ref())
    }

    /// Whether all held slots apply the split with `digest`.
    fn all_match(&self, digest: u64) -> bool {
        let held = self.slots.values().filter(|row| row.holder.is_some());
        held.into_iter().all(|row| row.split == digest)
    }

    /// Whether `vm` was removed from the VM list. By the platform's contract such a VM has terminated.
    fn is_delisted(&self, vm: &VmId, now: Uptime) -> bool {
        let since = self.missing_since.get(vm);
        since
            .is_some_and(|since| self.listed.contains(vm) || now.saturating_sub(*since) >= LIST_LAG)
    }
}

impl RateState {
    /// Processes the result of [`Output::ReadRows`].
    pub fn handle_rows_result(
        &mut self,
        read: u64,
        rows: Result<Vec<RowEntry>, StoreError>,
        now: Uptime,
        out: &mut Vec<Output>,
    ) {
        self.schedule.record_rows_read(read, rows.is_ok(), now);
        let Ok(rows) = rows else {
            self.counts.store_failures += 1;
            return;
        };
        let layout = rows.iter().find(|row| row.key == LAYOUT_KEY);
        self.apply_layout(layout, now);
        let slots = self.parse_rows(&rows);
        self.rows.slots = slots
            .iter()
            .map(|(slot, (row, _))| (slot.clone(), row.clone()))
            .collect();
        self.observe(&slots, read, now);
        let current = read > self.schedule.last_stale_read;
        if current && self.published_digest() == self.digest && self.rows.all_match(self.digest) {
            self.adopt_agreed_widths(now);
        }
        self.tick_leases(now, out);
    }

    /// Processes the result of [`Output::ReadVms`].
    pub fn handle_vms_result(&mut self, vms: Result<Vec<VmEntry>, StoreError>, now: Uptime) {
        self.schedule.vms_read_pending = false;
        let Ok(vms) = vms else {
            self.counts.store_failures += 1;
            return;
        };
        let named: BTreeSet<VmId> = vms.iter().map(|vm| vm.id.clone()).collect();
        self.rows.missing_since.retain(|vm, _| !named.contains(vm));
        let holders = self
            .rows
            .slots
            .values()
            .filter_map(|row| row.holder.as_ref());
        for holder in holders.filter(|holder| !named.contains(&holder.vm)) {
            self.rows
                .missing_since
                .entry(holder.vm.clone())
                .or_insert(now);
        }
        self.rows.listed.extend(named);
        self.rows.vms = Some(vms);
    }

    /// Processes the result of [`Output::Commit`].
    pub fn handle_commit_result(
        &mut self,
        tag: &CommitTag,
        outcome: &Result<CommitOutcome, StoreError>,
        now: Uptime,
        out: &mut Vec<Output>,
    ) {
        if outcome.is_err() {
            self.counts.store_failures += 1;
        }
        match tag {
            CommitTag::Layout => {
                self.rows.layout_pending = false;
                self.rows.layout_read = false;
                self.schedule.rows_read_due = true;
            }
            CommitTag::Slot(slot, write_number) => {
                let reads = self.schedule.reads;
                let mut queue = Vec::new();
                let overlent = self.held.values().any(SlotBuckets::is_overlent);
                if let Some(lease) = self.leases.get_mut(slot) {
                    lease.handle_write_result(*write_number, outcome, reads, now, &mut queue);
                    if overlent {
                        lease.renew_soon();
                    }
                }
                self.route_outputs(queue, now, out);
                self.schedule.rows_read_due |= !self.is_converged();
            }
        }
    }

    /// Slots that this VM may use at `now`.
    pub fn active_slots(&self, now: Uptime) -> impl Iterator<Item = &SlotId> {
        let active = self
            .leases
            .values()
            .filter(move |lease| !lease.time_left(now).is_zero());
        active.map(SlotLease::slot)
    }

    /// Whether all slots held by this VM use widths that all slots have agreed on.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        let held = self.leases.values().filter(|lease| lease.is_held()).count();
        held == self.held.len() && self.held.values().all(SlotBuckets::is_converged)
    }

    /// Recomputes the digest of the split. If it has changed, the slot rows have to agree again.
    pub(crate) fn update_digest(&mut self) {
        let digest = self.split_inputs.layout.digest(&self.split_inputs.config);
        if digest == self.digest {
            return;
        }
        self.digest = digest;
        self.schedule.last_stale_read = self.schedule.reads;
        self.schedule.rows_read_due = true;
        for lease in self.leases.values_mut() {
            lease.renew_soon();
        }
    }

    /// Runs the due work of every lease.
    pub(crate) fn tick_leases(&mut self, now: Uptime, out: &mut Vec<Output>) {
        let slots: Vec<SlotId> = self.leases.keys().cloned().collect();
        let mut queue = Vec::new();
        for slot in &slots {
            self.with_lease(slot, now, |lease, context| lease.tick(context, &mut queue));
            self.activate_slot(slot);
        }
        self.route_outputs(queue, now, out);
    }

    /// Releases `slot` in the table.
    pub(crate) fn release_slot(&mut self, slot: &SlotId, now: Uptime, out: &mut Vec<Output>) {
        let mut queue = Vec::new();
        self.with_lease(slot, now, |lease, context| {
            lease.release(context, &mut queue);
        });
        if self.leases.get(slot).is_some_and(|lease| !lease.is_held()) {
            self.held.remove(slot);
        }
        self.route_outputs(queue, now, out);
    }

    /// Runs `action` on the lease of `slot` with the current [`LeaseContext`].
    pub(crate) fn with_lease<R>(
        &mut self,
        slot: &SlotId,
        now: Uptime,
        action: impl FnOnce(&mut SlotLease, &LeaseContext<'_>) -> R,
    ) -> Option<R> {
        let may_claim = self.may_claim();
        let witness = self.choose_witness();
        let mut lease = self.leases.remove(slot)?;
        let holder = self.rows.holder(slot);
        let context = LeaseContext {
            own: &self.own,
            split: self.published_digest(),
            witness: witness.as_ref(),
            holder_gone: holder.is_some_and(|holder| self.is_holder_gone(holder)),
            holder_delisted: holder.is_some_and(|holder| self.rows.is_delisted(&holder.vm, now)),
            may_claim,
            now,
        };
        let result = action(&mut lease, &context);
        self.leases.insert(slot.clone(), lease);
        Some(result)
    }

    /// Digest to write to slot rows. It is withheld while the tokens lent exceed a share that was reduced.
    fn published_digest(&self) -> u64 {
        let overlent = self.held.values().any(SlotBuckets::is_overlent);
        if overlent {
            DIGEST_WITHHELD
        } else {
            self.digest
        }
    }

    /// Whether the membership service reports `holder` as dead or restarted.
    fn is_holder_gone(&self, holder: &VmIncarnation) -> bool {
        let member = self
            .members
            .iter()
            .find(|member| member.peer.id == holder.vm);
        member.is_some_and(|member| {
            member.state == MemberState::Dead || member.incarnation > holder.incarnation
        })
    }

    /// Proposes a layout if none exists, or adds this VM's domain to the existing one.
    pub(crate) fn propose_layout(&mut self, out: &mut Vec<Output>) {
        let own_missing = !self.split_inputs.layout.domains.contains_key(&self.domain);
        if !self.rows.layout_read || self.rows.layout_pending || !own_missing || self.draining {
            return;
        }
        let mut layout = SlotLayout::clone(&self.split_inputs.layout);
        let expected = if let Some(revision) = self.rows.layout_revision {
            Expected::Revision(revision)
        } else {
            let Some(vms) = &self.rows.vms else {
                self.schedule.vms_read_due = true;
                return;
            };
            let domains = vms.iter().map(|vm| vm.domain.clone());
            let count = self.settings.slots_per_domain;
            layout.domains = domains.map(|domain| (domain, count)).collect();
            Expected::Absent
        };
        let count = self.settings.slots_per_domain;
        layout.domains.insert(self.domain.clone(), count);
        layout.generation += 1;
        let value = serde_json::to_value(&layout).unwrap_or_default();
        let write = TableWrite::new()
            .expect(LAYOUT_KEY, expected)
            .put(LAYOUT_KEY, value);
        self.rows.layout_pending = true;
        let tag = CommitTag::Layout;
        out.push(Output::Commit { tag, write });
    }

    fn apply_layout(&mut self, row: Option<&RowEntry>, now: Uptime) {
        self.rows.layout_read = true;
        let Some(row) = row else {
            return;
        };
        let Ok(layout) = serde_json::from_value::<SlotLayout>(row.value.clone()) else {
            self.counts.malformed += 1;
            self.rows.layout_read = false;
            return;
        };
        self.rows.layout_revision = Some(row.revision);
        // An older generation comes from a table restored from a backup. It is ignored, so that it does not remove
        // slots that other VMs may already use.
        if layout == *self.split_inputs.layout
            || layout.generation < self.split_inputs.layout.generation
        {
            return;
        }
        self.split_inputs.layout = Arc::new(layout);
        for buckets in self.held.values_mut() {
            buckets.suspend(now);
        }
        for slot in self.split_inputs.layout.slots_of(&self.domain) {
            let lease = self.leases.entry(slot.clone());
            lease.or_insert_with(|| SlotLease::new(slot));
        }
        self.update_digest();
    }

    fn parse_rows(&mut self, rows: &[RowEntry]) -> BTreeMap<SlotId, (SlotRow, u64)> {
        let mut slots = BTreeMap::new();
        let entries: HashMap<&str, &RowEntry> =
            rows.iter().map(|row| (row.key.as_str(), row)).collect();
        for slot in self.split_inputs.layout.slots() {
            let Some(entry) = entries.get(slot.row_key().as_str()) else {
                continue;
            };
            match serde_json::from_value::<SlotRow>(entry.value.clone()) {
                Ok(row) => {
                    slots.insert(slot, (row, entry.revision));
                }
                Err(_) => self.counts.malformed += 1,
            }
        }
        slots
    }

    fn observe(&mut self, rows: &BTreeMap<SlotId, (SlotRow, u64)>, read: u64, now: Uptime) {
        let slots: Vec<SlotId> = self.leases.keys().cloned().collect();
        for slot in slots {
            let row = rows.get(&slot).cloned();
            let kept = self.with_lease(&slot, now, |lease, context| {
                lease.observe(row, read, context)
            });
            if kept == Some(false) {
                self.held.remove(&slot);
                self.counts.slots_lost += 1;
            }
        }
    }

    /// Adopts the agreed widths in the held slots that the last read confirmed as held by this VM.
    fn adopt_agreed_widths(&mut self, now: Uptime) {
        for (slot, buckets) in &mut self.held {
            let epoch = self.leases.get(slot).map_or(0, SlotLease::epoch);
            let confirmed =
                self.rows.slots.get(slot).is_some_and(|row| {
                    row.epoch == epoch && row.holder.as_ref() == Some(&self.own)
                });
            if confirmed {
                buckets.adopt_agreed_widths(&self.split_inputs, now);
            }
        }
    }

    /// Creates the buckets of a slot whose lease has become active.
    fn activate_slot(&mut self, slot: &SlotId) {
        let Some(lease) = self.leases.get(slot) else {
            return;
        };
        if lease.phase() != LeasePhase::Active || self.held.contains_key(slot) {
            return;
        }
        let first = self.activated.insert(slot.clone());
        let initially_full =
            first && lease.epoch() == 1 && self.split_inputs.layout.generation == 1;
        let buckets = SlotBuckets::new(slot.clone(), initially_full);
        self.held.insert(slot.clone(), buckets);
        self.counts.slots_taken += 1;
        self.schedule.rows_read_due = true;
    }

    fn may_claim(&self) -> bool {
        let idle = self.leases.values().filter(|lease| lease.is_idle());
        let held = self.leases.len() - idle.count();
        !self.draining && self.releasing.is_none() && held < self.fair_slot_count()
    }

    /// Number of slots per VM when the live VMs of the domain hold equally many, rounded up.
    pub(crate) fn fair_slot_count(&self) -> usize {
        let live = self.members.iter().filter(|member| {
            member.peer.domain == self.domain && member.state == MemberState::Live
        });
        self.leases.len().div_ceil(live.count() + 1)
    }

    /// Current witness while it is live; otherwise the next live VM of the domain in id order.
    fn choose_witness(&self) -> Option<VmIncarnation> {
        let live = self.members.iter().filter(|member| {
            member.peer.domain == self.domain && member.state == MemberState::Live
        });
        let live: Vec<VmIncarnation> = live
            .map(|member| VmIncarnation {
                vm: member.peer.id.clone(),
                incarnation: member.incarnation,
            })
            .collect();
        let own = self.leases.values().filter(|lease| lease.is_held());
        let present = own.filter_map(|lease| lease.observed()?.row.witness.clone());
        let kept = present.into_iter().find(|witness| live.contains(witness));
        kept.or_else(|| {
            let after = live.iter().filter(|member| member.vm > self.own.vm).min();
            after.or(live.iter().min()).cloned()
        })
    }
}
