//! Seeding and pruning of the member table from the platform's VM list.

use crate::message::MemberRecord;
use crate::table::{MemberOutput, MemberTable};
use crate::view::{Member, MemberState};
use plantainmill_core::{Uptime, VmId};
use plantainmill_mesh::MeshPeer;
use plantainmill_provider::{VmEntry, VmState};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between scans for dead members to prune.
const PRUNE_PERIOD: Duration = Duration::from_secs(5);

impl MemberTable {
    pub(crate) fn request_list(&mut self, now: Uptime) {
        let waited = self.last_list.map(|last| now.saturating_sub(last));
        let (short, long) = (self.timing.relay_list_period, self.timing.list_period);
        // `is_relay` is evaluated last because it scans all members of the domain.
        let due = waited.is_none_or(|waited| waited >= long || waited >= short && self.is_relay());
        if due {
            self.last_list = Some(now);
            self.outputs.push(MemberOutput::ReadList);
        }
    }

    /// Inserts unknown VMs and prunes those that were in the previous list and are missing from this one.
    pub(crate) fn apply_list(&mut self, entries: &[VmEntry], now: Uptime) {
        if entries.is_empty() {
            self.counters.empty_lists += 1;
            return;
        }
        let listed: BTreeSet<&VmId> = entries.iter().map(|entry| &entry.id).collect();
        let dropped: Vec<VmId> = self
            .roster
            .entries()
            .filter(|entry| entry.listed && !listed.contains(&entry.record.member.peer.id))
            .map(|entry| entry.record.member.peer.id.clone())
            .collect();
        for id in dropped {
            self.counters.pruned += 1;
            self.roster.remove(&id, now);
            self.changed = true;
        }
        for entry in entries {
            self.apply_list_entry(entry, now);
        }
    }

    fn apply_list_entry(&mut self, entry: &VmEntry, now: Uptime) {
        if entry.id == self.own.member.peer.id {
            return;
        }
        if let Some(known) = self.roster.get_mut(&entry.id) {
            known.listed = true;
            let member = &mut known.record.member;
            // Until the member is heard from, the list is the only source of its address.
            if member.incarnation == 0 && member.peer.address != entry.mesh {
                member.peer.address = entry.mesh;
                self.changed = true;
            }
            return;
        }
        let state = match entry.state {
            VmState::Live => MemberState::Live,
            VmState::Leaving => MemberState::Leaving,
        };
        let peer = MeshPeer {
            id: entry.id.clone(),
            domain: entry.domain.clone(),
            region: entry.region.clone(),
            address: entry.mesh,
        };
        let member = Member {
            peer,
            incarnation: 0,
            state,
        };
        let record = MemberRecord {
            member,
            refutations: 0,
        };
        self.roster.insert_listed(record, now);
        self.changed = true;
    }

    pub(crate) fn prune_dead(&mut self, now: Uptime) {
        let recent = |last: Uptime| now.saturating_sub(last) < PRUNE_PERIOD;
        if self.last_prune.is_some_and(recent) {
            return;
        }
        self.last_prune = Some(now);
        let limit = self.timing.dead_retention;
        let old: Vec<VmId> = self
            .roster
            .entries()
            .filter(|entry| entry.record.member.state == MemberState::Dead && !entry.listed)
            .filter(|entry| now.saturating_sub(entry.state_since) >= limit)
            .map(|entry| entry.record.member.peer.id.clone())
            .collect();
        for id in old {
            self.roster.remove(&id, now);
            self.changed = true;
        }
        let horizon = now.saturating_sub(self.timing.tombstone_retention);
        self.roster.expire_tombstones(horizon);
    }
}
