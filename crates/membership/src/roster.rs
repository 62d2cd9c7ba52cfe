//! The records a VM holds, and which of them are to be spread.

use crate::message::MemberRecord;
use crate::options::UPDATE_LIMIT;
use crate::view::{Member, MemberState};
use plantainmill_core::{Incarnation, Uptime, VmId};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Spreads of a change, per doubling of the number of members; three reach all members with near certainty.
const SPREADS_PER_DOUBLING: u32 = 3;

/// A record and what this VM saw itself.
#[derive(Clone, Debug)]
pub(crate) struct RosterEntry {
    pub(crate) record: MemberRecord,
    /// When the state changed here.
    pub(crate) since: Uptime,
    /// The last VM list had it.
    pub(crate) listed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: Incarnation,
    at: Uptime,
}

/// The records a VM holds.
#[derive(Debug, Default)]
pub(crate) struct MemberRoster {
    entries: BTreeMap<VmId, RosterEntry>,
    tombstones: BTreeMap<VmId, Tombstone>,
    /// Spreads left of each changed record.
    spreads: BTreeMap<VmId, u32>,
}

impl MemberRoster {
    pub(crate) fn get(&self, id: &str) -> Option<&RosterEntry> {
        self.entries.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut RosterEntry> {
        self.entries.get_mut(id)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &RosterEntry> {
        self.entries.values()
    }

    pub(crate) fn in_domain<'a>(
        &'a self,
        domain: &'a str,
    ) -> impl Iterator<Item = &'a RosterEntry> {
        self.entries()
            .filter(move |entry| entry.record.member.peer.domain == domain)
    }

    pub(crate) fn members(&self) -> Vec<Member> {
        self.entries()
            .map(|entry| entry.record.member.clone())
            .collect()
    }

    /// Takes `record` if it is newer than the one held. Says whether it was taken.
    pub(crate) fn merge(&mut self, record: &MemberRecord, now: Uptime) -> bool {
        let id = &record.member.peer.id;
        if let Some(entry) = self.entries.get_mut(id) {
            if record.rank() <= entry.record.rank() {
                return false;
            }
            if entry.record.member.state != record.member.state {
                entry.since = now;
            }
            entry.record = record.clone();
            self.spread(&id.clone());
            return true;
        }
        let buried = self.tombstones.get(id);
        if buried.is_some_and(|tombstone| tombstone.incarnation >= record.member.incarnation) {
            return false;
        }
        if record.member.state == MemberState::Dead {
            return false;
        }
        let entry = RosterEntry {
            record: record.clone(),
            since: now,
            listed: false,
        };
        self.entries.insert(id.clone(), entry);
        self.spread(&id.clone());
        true
    }

    /// Adds a member from the VM list, which names no incarnation.
    pub(crate) fn seed(&mut self, record: MemberRecord, now: Uptime) {
        let id = record.member.peer.id.clone();
        let entry = RosterEntry {
            record,
            since: now,
            listed: true,
        };
        self.entries.insert(id, entry);
    }

    pub(crate) fn remove(&mut self, id: &VmId, now: Uptime) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.spreads.remove(id);
        let tombstone = Tombstone {
            incarnation: entry.record.member.incarnation,
            at: now,
        };
        self.tombstones.insert(id.clone(), tombstone);
    }

    pub(crate) fn forget_tombstones(&mut self, before: Uptime) {
        self.tombstones
            .retain(|_, tombstone| tombstone.at >= before);
    }

    /// Marks the record of `id` as to be spread.
    pub(crate) fn spread(&mut self, id: &VmId) {
        let members = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let doublings = u32::BITS - members.leading_zeros();
        self.spreads
            .insert(id.clone(), SPREADS_PER_DOUBLING * doublings.max(1));
    }

    pub(crate) fn has_updates(&self) -> bool {
        !self.spreads.is_empty()
    }

    /// Records for the next message: those spread least so far. `own` stands for this VM itself.
    pub(crate) fn take_updates(&mut self, own: &MemberRecord) -> Vec<MemberRecord> {
        let mut waiting: Vec<(u32, VmId)> = self
            .spreads
            .iter()
            .map(|(id, left)| (*left, id.clone()))
            .collect();
        waiting.sort_by(|left, right| right.cmp(left));
        waiting.truncate(UPDATE_LIMIT);
        waiting
            .into_iter()
            .filter_map(|(left, id)| self.take_update(left, &id, own))
            .collect()
    }

    fn take_update(&mut self, left: u32, id: &VmId, own: &MemberRecord) -> Option<MemberRecord> {
        if left <= 1 {
            self.spreads.remove(id);
        } else {
            self.spreads.insert(id.clone(), left - 1);
        }
        if *id == own.member.peer.id {
            return Some(own.clone());
        }
        self.entries.get(id).map(|entry| entry.record.clone())
    }

    /// Hash of the records of `domain`, dead members left out because VMs prune them at different times.
    pub(crate) fn domain_hash(&self, domain: &str, own: &MemberRecord) -> u64 {
        let own_record = Some(own).filter(|own| own.member.peer.domain == domain);
        self.in_domain(domain)
            .map(|entry| &entry.record)
            .chain(own_record)
            .filter(|record| record.member.state != MemberState::Dead)
            .fold(0, |hash, record| hash ^ record_hash(record))
    }
}

fn record_hash(record: &MemberRecord) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(record.member.peer.id.as_bytes());
    hasher.update(&record.member.incarnation.to_le_bytes());
    hasher.update(&record.refutations.to_le_bytes());
    hasher.update(&[record.member.state as u8]);
    hasher.digest()
}

/// The `count` ids with the highest rendezvous weight for `key`. All VMs with the same ids choose the same.
#[must_use]
pub fn choose_by_rendezvous<'a>(
    key: &str,
    ids: impl Iterator<Item = &'a VmId>,
    count: usize,
) -> Vec<VmId> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut weighted: Vec<(u64, &VmId)> = ids
        .map(|id| (xxh3_64_with_seed(id.as_bytes(), seed), id))
        .collect();
    weighted.sort_unstable_by(|left, right| right.cmp(left));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, id)| id.clone()).collect()
}
