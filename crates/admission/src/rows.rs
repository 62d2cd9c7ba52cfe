//! Slot rows and VM list as this VM last read them, and what follows from them.

use crate::lease::{LeaseContext, LeasePhase, SlotLease};
use crate::message::{SlotRow, VmStart};
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

/// A holder that the VM list never named counts as dropped only after this time, since the list lags behind starts.
pub const LIST_LAG: Duration = Duration::from_mins(2);

/// Digest that no split has.
const DIGEST_WITHHELD: u64 = 0;

/// What was read.
#[derive(Debug, Default)]
pub struct RowView {
    slots: BTreeMap<SlotId, SlotRow>,
    layout_revision: Option<u64>,
    /// The last read succeeded and showed whether there is a layout.
    pub(crate) layout_read: bool,
    pub(crate) layout_pending: bool,
    vms: Option<Vec<VmEntry>>,
    listed: BTreeSet<VmId>,
    absent: HashMap<VmId, Uptime>,
}

impl RowView {
    /// Holder of `slot`.
    #[must_use]
    pub fn holder(&self, slot: &SlotId) -> Option<&VmStart> {
        self.slots.get(slot).and_then(|row| row.holder.as_ref())
    }

    /// All held slots apply the split with `digest`.
    fn agree(&self, digest: u64) -> bool {
        let held = self.slots.values().filter(|row| row.holder.is_some());
        held.into_iter().all(|row| row.split == digest)
    }

    /// The VM list dropped `vm`, which by the platform's rules has terminated.
    fn is_dropped(&self, vm: &VmId, now: Uptime) -> bool {
        let since = self.absent.get(vm);
        since
            .is_some_and(|since| self.listed.contains(vm) || now.saturating_sub(*since) >= LIST_LAG)
    }
}

impl RateState {
    /// Takes in the answer to [`Output::ReadRows`].
    pub fn rows_read(
        &mut self,
        read: u64,
        rows: Result<Vec<RowEntry>, StoreError>,
        now: Uptime,
        out: &mut Vec<Output>,
    ) {
        self.schedule.read_done(read, rows.is_ok(), now);
        let Ok(rows) = rows else {
            self.counts.store_failures += 1;
            return;
        };
        let layout = rows.iter().find(|row| row.key == LAYOUT_KEY);
        self.take_layout(layout, now);
        let slots = self.parse_rows(&rows);
        self.rows.slots = slots
            .iter()
            .map(|(slot, (row, _))| (slot.clone(), row.clone()))
            .collect();
        self.observe(&slots, read, now);
        let current = read > self.schedule.digest_read;
        if current && self.shown_digest() == self.digest && self.rows.agree(self.digest) {
            self.settle(now);
        }
        self.tick_leases(now, out);
    }

    /// Takes in the answer to [`Output::ReadVms`].
    pub fn vms_read(&mut self, vms: Result<Vec<VmEntry>, StoreError>, now: Uptime) {
        self.schedule.vms_pending = false;
        let Ok(vms) = vms else {
            self.counts.store_failures += 1;
            return;
        };
        let named: BTreeSet<VmId> = vms.iter().map(|vm| vm.id.clone()).collect();
        self.rows.absent.retain(|vm, _| !named.contains(vm));
        let holders = self
            .rows
            .slots
            .values()
            .filter_map(|row| row.holder.as_ref());
        for holder in holders.filter(|holder| !named.contains(&holder.vm)) {
            self.rows.absent.entry(holder.vm.clone()).or_insert(now);
        }
        self.rows.listed.extend(named);
        self.rows.vms = Some(vms);
    }

    /// Takes in the answer to [`Output::Commit`].
    pub fn committed(
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
                self.schedule.want_rows = true;
            }
            CommitTag::Slot(slot, call) => {
                let reads = self.schedule.reads;
                let mut local = Vec::new();
                let over = self.held.values().any(SlotBuckets::is_over);
                if let Some(lease) = self.leases.get_mut(slot) {
                    lease.written(*call, outcome, reads, now, &mut local);
                    if over {
                        lease.renew_soon();
                    }
                }
                self.route(local, now, out);
                self.schedule.want_rows |= !self.is_settled();
            }
        }
    }

    /// Slots that this VM may act for at `now`.
    pub fn active_slots(&self, now: Uptime) -> impl Iterator<Item = &SlotId> {
        let active = self
            .leases
            .values()
            .filter(move |lease| !lease.time_left(now).is_zero());
        active.map(SlotLease::slot)
    }

    /// All held slots have agreed widths.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let held = self.leases.values().filter(|lease| lease.is_held()).count();
        held == self.held.len() && self.held.values().all(SlotBuckets::is_settled)
    }

    /// Computes the digest of the split again. If it changed, the rows have to agree once more.
    pub(crate) fn renew_digest(&mut self) {
        let digest = self.basis.layout.digest(&self.basis.config);
        if digest == self.digest {
            return;
        }
        self.digest = digest;
        self.schedule.digest_read = self.schedule.reads;
        self.schedule.want_rows = true;
        for lease in self.leases.values_mut() {
            lease.renew_soon();
        }
    }

    /// Lets every lease do what is due.
    pub(crate) fn tick_leases(&mut self, now: Uptime, out: &mut Vec<Output>) {
        let slots: Vec<SlotId> = self.leases.keys().cloned().collect();
        let mut local = Vec::new();
        for slot in &slots {
            self.with_lease(slot, now, |lease, context| lease.tick(context, &mut local));
            self.activate(slot);
        }
        self.route(local, now, out);
    }

    /// Gives `slot` up in the table.
    pub(crate) fn release_slot(&mut self, slot: &SlotId, now: Uptime, out: &mut Vec<Output>) {
        let mut local = Vec::new();
        self.with_lease(slot, now, |lease, context| {
            lease.release(context, &mut local);
        });
        if self.leases.get(slot).is_some_and(|lease| !lease.is_held()) {
            self.held.remove(slot);
        }
        self.route(local, now, out);
    }

    /// Runs `act` on the lease of `slot` with what it has to know of this VM.
    pub(crate) fn with_lease<R>(
        &mut self,
        slot: &SlotId,
        now: Uptime,
        act: impl FnOnce(&mut SlotLease, &LeaseContext<'_>) -> R,
    ) -> Option<R> {
        let may_claim = self.may_claim();
        let witness = self.choose_witness();
        let mut lease = self.leases.remove(slot)?;
        let holder = self.rows.holder(slot);
        let context = LeaseContext {
            own: &self.own,
            split: self.shown_digest(),
            witness: witness.as_ref(),
            holder_gone: holder.is_some_and(|holder| self.is_gone(holder)),
            holder_dropped: holder.is_some_and(|holder| self.rows.is_dropped(&holder.vm, now)),
            may_claim,
            now,
        };
        let result = act(&mut lease, &context);
        self.leases.insert(slot.clone(), lease);
        Some(result)
    }

    /// The digest for the rows. It is withheld while lent tokens exceed a share that shrank.
    fn shown_digest(&self) -> u64 {
        let over = self.held.values().any(SlotBuckets::is_over);
        if over { DIGEST_WITHHELD } else { self.digest }
    }

    /// The membership sees `holder` as dead or started anew.
    fn is_gone(&self, holder: &VmStart) -> bool {
        let member = self
            .members
            .iter()
            .find(|member| member.peer.id == holder.vm);
        member.is_some_and(|member| {
            member.state == MemberState::Dead || member.incarnation > holder.incarnation
        })
    }

    /// Proposes a layout if there is none, or adds this VM's domain to it.
    pub(crate) fn propose_layout(&mut self, out: &mut Vec<Output>) {
        let own_missing = !self.basis.layout.domains.contains_key(&self.domain);
        if !self.rows.layout_read || self.rows.layout_pending || !own_missing || self.draining {
            return;
        }
        let mut layout = SlotLayout::clone(&self.basis.layout);
        let expected = if let Some(revision) = self.rows.layout_revision {
            Expected::Revision(revision)
        } else {
            let Some(vms) = &self.rows.vms else {
                self.schedule.want_vms = true;
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

    fn take_layout(&mut self, row: Option<&RowEntry>, now: Uptime) {
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
        // A table restored from an old copy does not take slots away that others may already use.
        if layout == *self.basis.layout || layout.generation < self.basis.layout.generation {
            return;
        }
        self.basis.layout = Arc::new(layout);
        for buckets in self.held.values_mut() {
            buckets.suspend(now);
        }
        for slot in self.basis.layout.slots_of(&self.domain) {
            let lease = self.leases.entry(slot.clone());
            lease.or_insert_with(|| SlotLease::new(slot));
        }
        self.renew_digest();
    }

    fn parse_rows(&mut self, rows: &[RowEntry]) -> BTreeMap<SlotId, (SlotRow, u64)> {
        let mut slots = BTreeMap::new();
        let entries: HashMap<&str, &RowEntry> =
            rows.iter().map(|row| (row.key.as_str(), row)).collect();
        for slot in self.basis.layout.slots() {
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

    /// The rows agree: own slots that the read showed as held by this VM use the agreed widths.
    fn settle(&mut self, now: Uptime) {
        for (slot, buckets) in &mut self.held {
            let epoch = self.leases.get(slot).map_or(0, SlotLease::epoch);
            let shown =
                self.rows.slots.get(slot).is_some_and(|row| {
                    row.epoch == epoch && row.holder.as_ref() == Some(&self.own)
                });
            if shown {
                buckets.settle(&self.basis, now);
            }
        }
    }

    /// Creates the buckets of a slot that has become active.
    fn activate(&mut self, slot: &SlotId) {
        let Some(lease) = self.leases.get(slot) else {
            return;
        };
        if lease.phase() != LeasePhase::Active || self.held.contains_key(slot) {
            return;
        }
        let first = self.taken.insert(slot.clone());
        let fresh = first && lease.epoch() == 1 && self.basis.layout.generation == 1;
        let buckets = SlotBuckets::new(slot.clone(), fresh);
        self.held.insert(slot.clone(), buckets);
        self.counts.slots_taken += 1;
        self.schedule.want_rows = true;
    }

    fn may_claim(&self) -> bool {
        let idle = self.leases.values().filter(|lease| lease.is_idle());
        let held = self.leases.len() - idle.count();
        !self.draining && self.leaving.is_none() && held < self.fair_count()
    }

    /// Slots that this VM holds when all VMs of the domain hold equally many, rounded up.
    pub(crate) fn fair_count(&self) -> usize {
        let live = self.members.iter().filter(|member| {
            member.peer.domain == self.domain && member.state == MemberState::Live
        });
        self.leases.len().div_ceil(live.count() + 1)
    }

    /// The present witness while it is live, otherwise another VM of the domain.
    fn choose_witness(&self) -> Option<VmStart> {
        let live = self.members.iter().filter(|member| {
            member.peer.domain == self.domain && member.state == MemberState::Live
        });
        let live: Vec<VmStart> = live
            .map(|member| VmStart {
                vm: member.peer.id.clone(),
                incarnation: member.incarnation,
            })
            .collect();
        let own = self.leases.values().filter(|lease| lease.is_held());
        let present = own.filter_map(|lease| lease.seen()?.row.witness.clone());
        let kept = present.into_iter().find(|witness| live.contains(witness));
        kept.or_else(|| {
            let after = live.iter().filter(|member| member.vm > self.own.vm).min();
            after.or(live.iter().min()).cloned()
        })
    }
}
