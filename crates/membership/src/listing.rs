//! The VM list: it seeds and prunes the member table.

use crate::message::MemberRecord;
use crate::table::{MemberOutput, MemberTable};
use crate::view::{Member, MemberState};
use plantainmill_core::{Uptime, VmId};
use plantainmill_mesh::MeshPeer;
use plantainmill_provider::{VmEntry, VmState};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between searches for dead members that are to be pruned.
const PRUNE_PERIOD: Duration = Duration::from_secs(5);

impl MemberTable {
    pub(crate) fn request_list(&mut self, now: Uptime) {
        let waited = self.last_list.map(|last| now.saturating_sub(last));
        let (short, long) = (self.timing.list_period_relay, self.timing.list_period);
        // Whether this VM is a relay is worked out last: it looks at all members of the domain.
        let due = waited.is_none_or(|waited| waited >= long || waited >= short && self.is_relay());
        if due {
            self.last_list = Some(now);
            self.outputs.push(MemberOutput::ReadList);
        }
    }

    /// Seeds unknown VMs, and prunes those that an earlier list had and this one dropped.
    pub(crate) fn take_list(&mut self, entries: &[VmEntry], now: Uptime) {
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
            self.take_entry(entry, now);
        }
    }

    fn take_entry(&mut self, entry: &VmEntry, now: Uptime) {
        if entry.id == self.own.member.peer.id {
            return;
        }
        if let Some(known) = self.roster.get_mut(&entry.id) {
            known.listed = true;
            let member = &mut known.record.member;
            // Until the member was heard, the list is all there is to know its address by.
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
        self.roster.seed(record, now);
        self.changed = true;
    }

    pub(crate) fn prune_dead(&mut self, now: Uptime) {
        let recent = |last: Uptime| now.saturating_sub(last) < PRUNE_PERIOD;
        if self.last_prune.is_some_and(recent) {
            return;
        }
        self.last_prune = Some(now);
        let limit = self.timing.dead_limit;
        let old: Vec<VmId> = self
            .roster
            .entries()
            .filter(|entry| entry.record.member.state == MemberState::Dead && !entry.listed)
            .filter(|entry| now.saturating_sub(entry.since) >= limit)
            .map(|entry| entry.record.member.peer.id.clone())
            .collect();
        for id in old {
            self.roster.remove(&id, now);
            self.changed = true;
        }
        let horizon = now.saturating_sub(self.timing.tombstone_limit);
        self.roster.forget_tombstones(horizon);
    }
}
