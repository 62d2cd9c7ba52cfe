//! The member records held by a VM and the queue of updates to disseminate.

use crate::message::MemberRecord;
use crate::options::UPDATES_PER_MESSAGE;
use crate::view::{Member, MemberState};
use plantainmill_core::{Incarnation, Uptime, VmId};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Transmissions of an update per doubling of the number of members; with three, an update reaches all members with
/// near certainty.
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;

/// A record and local observations about the member.
#[derive(Clone, Debug)]
pub(crate) struct RosterEntry {
    pub(crate) record: MemberRecord,
    /// When this VM last saw the state change.
    pub(crate) state_since: Uptime,
    /// Whether the VM list that was read last contains the member.
    pub(crate) listed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: Incarnation,
    at: Uptime,
}

/// The member records held by a VM, without its own.
#[derive(Debug, Default)]
pub(crate) struct MemberRoster {
    entries: BTreeMap<VmId, RosterEntry>,
    tombstones: BTreeMap<VmId, Tombstone>,
    /// Transmissions left of each queued update.
    transmissions_left: BTreeMap<VmId, u32>,
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

    /// Stores `record` if it takes precedence over the one held, and queues it as an update. Returns whether it was
    /// stored. Records of incarnations with a tombstone and dead members that are not known are rejected.
    pub(crate) fn merge(&mut self, record: &MemberRecord, now: Uptime) -> bool {
        let id = &record.member.peer.id;
        if let Some(entry) = self.entries.get_mut(id) {
            if record.rank() <= entry.record.rank() {
                return false;
            }
            if entry.record.member.state != record.member.state {
                entry.state_since = now;
            }
            entry.record = record.clone();
            self.queue_update(&id.clone());
            return true;
        }
        let known_tombstone = self.tombstones.get(id);
        if known_tombstone
            .is_some_and(|tombstone| tombstone.incarnation >= record.member.incarnation)
        {
            return false;
        }
        if record.member.state == MemberState::Dead {
            return false;
        }
        let entry = RosterEntry {
            record: record.clone(),
            state_since: now,
            listed: false,
        };
        self.entries.insert(id.clone(), entry);
        self.queue_update(&id.clone());
        true
    }

    /// Inserts a member from the VM list, which contains no incarnation. Does not queue an update.
    pub(crate) fn insert_listed(&mut self, record: MemberRecord, now: Uptime) {
        let id = record.member.peer.id.clone();
        let entry = RosterEntry {
            record,
            state_since: now,
            listed: true,
        };
        self.entries.insert(id, entry);
    }

    pub(crate) fn remove(&mut self, id: &VmId, now: Uptime) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.transmissions_left.remove(id);
        let tombstone = Tombstone {
            incarnation: entry.record.member.incarnation,
            at: now,
        };
        self.tombstones.insert(id.clone(), tombstone);
    }

    pub(crate) fn expire_tombstones(&mut self, before: Uptime) {
        self.tombstones
            .retain(|_, tombstone| tombstone.at >= before);
    }

    /// Queues the record of `id` for dissemination with a full number of transmissions.
    pub(crate) fn queue_update(&mut self, id: &VmId) {
        let members = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let doublings = u32::BITS - members.leading_zeros();
        self.transmissions_left
            .insert(id.clone(), TRANSMISSIONS_PER_DOUBLING * doublings.max(1));
    }

    pub(crate) fn has_updates(&self) -> bool {
        !self.transmissions_left.is_empty()
    }

    /// Takes the updates for the next message: those with the most transmissions left. `own` is the record of this VM.
    pub(crate) fn take_updates(&mut self, own: &MemberRecord) -> Vec<MemberRecord> {
        let mut queued: Vec<(u32, VmId)> = self
            .transmissions_left
            .iter()
            .map(|(id, left)| (*left, id.clone()))
            .collect();
        queued.sort_by(|left, right| right.cmp(left));
        queued.truncate(UPDATES_PER_MESSAGE);
        queued
            .into_iter()
            .filter_map(|(left, id)| self.take_update(left, &id, own))
            .collect()
    }

    fn take_update(&mut self, left: u32, id: &VmId, own: &MemberRecord) -> Option<MemberRecord> {
        if left <= 1 {
            self.transmissions_left.remove(id);
        } else {
            self.transmissions_left.insert(id.clone(), left - 1);
        }
        if *id == own.member.peer.id {
            return Some(own.clone());
        }
        self.entries.get(id).map(|entry| entry.record.clone())
    }

    /// Order-independent hash of the records of `domain`. Dead members are left out because VMs prune them at different
    /// times.
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

/// Returns the `count` ids with the highest rendezvous-hashing weight for `key`, highest first. VMs with the same set
/// of ids get the same result.
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
