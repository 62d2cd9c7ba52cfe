//! The VMs of one failure domain that share the limits of its cold targets.
//!
//! A member counts for [`COUNTED_TIME`] after it was last heard, so its part goes to nobody while it may still use it. A VM
//! that hears less than half of the counted members stops using its part after [`LEASE_TIME`], before the others count it
//! as lost. So two groups of VMs hold shares at once only if each of them hears half of the domain.

use plantainmill_core::{Uptime, VmId};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Time for which a member counts after it was last heard.
pub const COUNTED_TIME: Duration = Duration::from_secs(20);
/// Time for which members count of which more than half are not heard. Longer than the outages after which VMs are heard again.
const MINORITY_COUNTED_TIME: Duration = Duration::from_mins(1);
/// Time for which a VM uses its shares after it last heard half of the members. Ends well before [`COUNTED_TIME`].
const LEASE_TIME: Duration = Duration::from_secs(10);
/// Time for which a VM must have been a holder before it uses its share, in which the former holder learns of it: reports
/// of a VM that has started arrive within 1 s, also through relays.
pub const HANDOVER_TIME: Duration = Duration::from_secs(3);
/// Time without an update after which the members are too old to use a share, as after a VM was frozen.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(2);

/// The counted members of one failure domain, as seen by one VM.
#[derive(Debug)]
pub(super) struct CountedMembers {
    heard: HashMap<VmId, Uptime>,
    /// Members that were once counted and are lost. Their rows may remain in the store.
    lost: BTreeSet<VmId>,
    /// Sets of members, in the order of their times; the last one counts now.
    sets: VecDeque<(Uptime, Vec<VmId>)>,
    majority_at: Option<Uptime>,
    updated_at: Uptime,
    first_at: Uptime,
}

impl CountedMembers {
    pub fn new(now: Uptime) -> CountedMembers {
        CountedMembers {
            heard: HashMap::new(),
            lost: BTreeSet::new(),
            sets: VecDeque::from([(now, Vec::new())]),
            majority_at: None,
            updated_at: now,
            first_at: now,
        }
    }

    /// Records the members that are heard, and those that are known from their rows only. Returns whether the holders of
    /// limits may have changed.
    pub fn update(&mut self, heard: &[VmId], known: &[VmId], now: Uptime) -> bool {
        for vm in heard {
            self.lost.remove(vm);
            self.heard.insert(vm.clone(), now);
        }
        for vm in known {
            if !self.lost.contains(vm) && !self.heard.contains_key(vm) {
                self.heard.insert(vm.clone(), now);
            }
        }
        let has_majority = heard.len() * 2 >= self.heard.len();
        let counted_time = if has_majority {
            self.majority_at = Some(now);
            COUNTED_TIME
        } else {
            MINORITY_COUNTED_TIME
        };
        self.updated_at = now;
        let lost = &mut self.lost;
        self.heard.retain(|vm, heard_at| {
            let is_counted = now.saturating_sub(*heard_at) < counted_time;
            if !is_counted {
                lost.insert(vm.clone());
            }
            is_counted
        });
        let mut counted: Vec<VmId> = self.heard.keys().cloned().collect();
        counted.sort();
        let is_changed = self.sets.back().is_none_or(|(_, last)| *last != counted);
        if is_changed {
            self.sets.push_back((now, counted));
        }
        // A set stays until the one after it has lasted for the time of a handover.
        let mut is_settled = false;
        while self
            .sets
            .get(1)
            .is_some_and(|(since, _)| now.saturating_sub(*since) >= HANDOVER_TIME)
        {
            self.sets.pop_front();
            is_settled = true;
        }
        is_changed || is_settled
    }

    /// Whether this VM may use shares at all.
    pub fn may_hold(&self, now: Uptime) -> bool {
        let is_updated = now.saturating_sub(self.updated_at) < UPDATE_TIMEOUT;
        let is_leased = self
            .majority_at
            .is_some_and(|majority_at| now.saturating_sub(majority_at) < LEASE_TIME);
        // A VM that knows no other may not have found them yet.
        let is_alone = self.heard.len() <= 1;
        let knows_domain = !is_alone || now.saturating_sub(self.first_at) >= COUNTED_TIME;
        is_updated && is_leased && knows_domain
    }

    /// The sets of members of the last [`HANDOVER_TIME`]. A VM uses its share only if it is a holder in all of them.
    pub fn recent_sets(&self) -> impl Iterator<Item = &[VmId]> {
        self.sets.iter().map(|(_, members)| members.as_slice())
    }

    /// Whether the domain has or had members.
    pub fn has_members(&self) -> bool {
        !self.heard.is_empty() || !self.lost.is_empty()
    }
}
