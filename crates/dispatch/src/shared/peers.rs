//! What the other VMs run at each target.

use crate::dispatcher::TrafficClass;
use crate::rendezvous::{key_of, score};
use plantainmill_core::{DomainName, OrganisationId, TargetId, Uptime, VmId};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time without a report after which the calls of a peer no longer count: it has stopped, or its calls soon will.
const PEER_SILENCE: Duration = Duration::from_millis(1_500);

/// Requests at one target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotUse {
    /// Online requests.
    pub online: u32,
    /// Batch requests.
    pub batch: u32,
}

impl SlotUse {
    /// All requests.
    #[must_use]
    pub fn total(self) -> u32 {
        self.online + self.batch
    }

    pub(super) fn add(&mut self, class: TrafficClass) {
        *self.of(class) += 1;
    }

    pub(super) fn remove(&mut self, class: TrafficClass) {
        let count = self.of(class);
        *count = count.saturating_sub(1);
    }

    fn of(&mut self, class: TrafficClass) -> &mut u32 {
        match class {
            TrafficClass::Online => &mut self.online,
            TrafficClass::Batch => &mut self.batch,
        }
    }

    fn plus(self, other: SlotUse) -> SlotUse {
        SlotUse {
            online: self.online + other.online,
            batch: self.batch + other.batch,
        }
    }
}

/// The calls of one VM, or of all VMs of a failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerLoad {
    /// Requests by target.
    pub slots: Vec<(TargetId, SlotUse)>,
    /// VMs with batch requests that wait for a slot.
    pub batch_waiting_vms: u32,
    /// VMs with online requests that wait for a slot.
    #[serde(default)]
    pub online_waiting_vms: u32,
    /// The organisation with the most online requests, and their number.
    #[serde(default)]
    pub busiest: Option<(OrganisationId, u32)>,
}

/// The organisation with the most requests; the first one of equals.
pub(super) fn busiest_of<'a>(
    organisations: impl Iterator<Item = (&'a OrganisationId, u32)>,
) -> Option<(OrganisationId, u32)> {
    let busiest = organisations.max_by_key(|(name, count)| (*count, Reverse(*name)));
    busiest.map(|(name, count)| (name.clone(), count))
}

/// Who reports calls.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LoadSource {
    /// A VM of the own failure domain.
    Vm(VmId),
    /// All VMs of another failure domain.
    Domain(DomainName),
}

#[derive(Debug)]
struct HeardLoad {
    heard_at: Uptime,
    load: PeerLoad,
}

/// The last report of each peer.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    heard: HashMap<LoadSource, HeardLoad>,
    sums: HashMap<TargetId, SlotUse>,
    /// Online requests at all targets.
    online: u32,
}

impl PeerLoads {
    /// Takes a report.
    pub fn record_report(&mut self, peer: &LoadSource, load: PeerLoad, now: Uptime) {
        let heard = HeardLoad {
            heard_at: now,
            load,
        };
        self.heard.insert(peer.clone(), heard);
        self.sum_up();
    }

    /// Drops a peer that has stopped.
    pub fn remove_peer(&mut self, peer: &LoadSource) {
        self.heard.remove(peer);
        self.sum_up();
    }

    /// Drops peers that fell silent.
    pub fn expire(&mut self, now: Uptime) {
        let before = self.heard.len();
        self.heard
            .retain(|_, heard| now.saturating_sub(heard.heard_at) < PEER_SILENCE);
        if self.heard.len() != before {
            self.sum_up();
        }
    }

    fn sum_up(&mut self) {
        self.sums.clear();
        for (target, slots) in self.heard.values().flat_map(|heard| &heard.load.slots) {
            let sum = self.sums.entry(target.clone()).or_default();
            *sum = sum.plus(*slots);
        }
        self.online = self.sums.values().map(|slots| slots.online).sum();
    }

    /// What all peers run at `target`.
    pub fn at(&self, target: &TargetId) -> SlotUse {
        self.sums.get(target).copied().unwrap_or_default()
    }

    /// Number of peers that wait for batch slots.
    pub fn batch_waiting_vms(&self) -> u32 {
        self.heard
            .values()
            .map(|heard| heard.load.batch_waiting_vms)
            .sum()
    }

    /// Number of peers that wait for online slots.
    pub fn online_waiting_vms(&self) -> u32 {
        self.heard
            .values()
            .map(|heard| heard.load.online_waiting_vms)
            .sum()
    }

    /// Online requests of all peers: those of `organisation` where it is a peer's busiest one, and all.
    pub fn online_of(&self, organisation: &OrganisationId) -> (u32, u32) {
        let loads = self.heard.values().map(|heard| &heard.load);
        let busiest = loads.filter_map(|load| load.busiest.as_ref());
        let own = busiest.filter(|(busiest, _)| busiest == organisation);
        (own.map(|(_, count)| count).sum(), self.online)
    }

    /// The calls of this VM's domain: those of the heard VMs and `own`.
    pub fn domain_load(&self, own: &PeerLoad) -> PeerLoad {
        let heard = self.heard.iter();
        let near = heard.filter(|(source, _)| matches!(source, LoadSource::Vm(_)));
        let loads = near.map(|(_, heard)| &heard.load).chain([own]);
        let mut sums: BTreeMap<&TargetId, SlotUse> = BTreeMap::new();
        let mut batch_waiting_vms = 0;
        let mut online_waiting_vms = 0;
        let mut organisations: BTreeMap<&OrganisationId, u32> = BTreeMap::new();
        for load in loads {
            if let Some((organisation, count)) = &load.busiest {
                *organisations.entry(organisation).or_default() += count;
            }
            batch_waiting_vms += load.batch_waiting_vms;
            online_waiting_vms += load.online_waiting_vms;
            for (target, slots) in &load.slots {
                let sum = sums.entry(target).or_default();
                *sum = sum.plus(*slots);
            }
        }
        PeerLoad {
            slots: sums
                .into_iter()
                .map(|(target, slots)| (target.clone(), slots))
                .collect(),
            batch_waiting_vms,
            online_waiting_vms,
            busiest: busiest_of(organisations.into_iter()),
        }
    }

    /// Batch requests at `target` of the holders before `own` of `domain`, in an order that all VMs share: by domain,
    /// then by VM.
    pub fn batch_before(&self, target: &TargetId, own: &VmId, domain: &DomainName) -> u32 {
        let key = key_of(target);
        let place = |source: &LoadSource| match source {
            LoadSource::Vm(vm) => (score(domain, key), score(vm, key)),
            LoadSource::Domain(other) => (score(other, key), 0),
        };
        let own_place = place(&LoadSource::Vm(own.clone()));
        let before = self
            .heard
            .iter()
            .filter(|(source, _)| place(source) > own_place);
        before
            .filter_map(|(_, heard)| heard.load.slots.iter().find(|(id, _)| id == target))
            .map(|(_, slots)| slots.batch)
            .sum()
    }
}
