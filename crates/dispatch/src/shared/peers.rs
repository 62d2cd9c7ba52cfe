//! Load reports of the peers: how many requests other VMs run at each target.

use crate::dispatcher::TrafficClass;
use crate::rendezvous::{key_of, score};
use plantainmill_core::{DomainName, OrganisationId, TargetId, Uptime, VmId};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time without a report after which the calls of a peer no longer count: the peer has stopped, or its calls soon end.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of requests at one target, by class.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotUse {
    /// Online requests, running or waiting at the target.
    pub online: u32,
    /// Batch requests; preempted ones do not count.
    pub batch: u32,
}

impl SlotUse {
    /// Number of requests of both classes.
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

    fn minus(self, other: SlotUse) -> SlotUse {
        SlotUse {
            online: self.online - other.online,
            batch: self.batch - other.batch,
        }
    }
}

/// Load report of one VM, or the sum of the reports of a failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerLoad {
    /// Number of requests at each target that has any.
    pub slots: Vec<(TargetId, SlotUse)>,
    /// Number of VMs that have batch requests waiting for a slot.
    pub batch_waiting_vms: u32,
    /// Number of VMs that have online requests waiting for a slot.
    #[serde(default)]
    pub online_waiting_vms: u32,
    /// The organisation with the most online calls, and their number.
    #[serde(default)]
    pub busiest: Option<(OrganisationId, u32)>,
}

/// The organisation with the most requests; the first one by name if several have as many.
pub(super) fn busiest_of<'a>(
    organisations: impl Iterator<Item = (&'a OrganisationId, u32)>,
) -> Option<(OrganisationId, u32)> {
    let busiest = organisations.max_by_key(|(name, count)| (*count, Reverse(*name)));
    busiest.map(|(name, count)| (name.clone(), count))
}

/// Sender of a load report.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LoadSource {
    /// A VM of the same failure domain, which reports its own calls.
    Vm(VmId),
    /// Another failure domain, reported as the sum of its VMs.
    Domain(DomainName),
}

#[derive(Debug)]
struct ReceivedReport {
    received_at: Uptime,
    load: PeerLoad,
}

/// The latest report of each peer, and their sums.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    reports: HashMap<LoadSource, ReceivedReport>,
    sums: HashMap<TargetId, SlotUse>,
    /// Online requests of all peers at all targets.
    online: u32,
}

impl PeerLoads {
    /// Records a report. The sums change only by the difference to the peer's former report.
    pub fn record_report(&mut self, peer: &LoadSource, load: PeerLoad, now: Uptime) {
        self.remove_peer(peer);
        for (target, slots) in &load.slots {
            let sum = self.sums.entry(target.clone()).or_default();
            *sum = sum.plus(*slots);
            self.online += slots.online;
        }
        let report = ReceivedReport {
            received_at: now,
            load,
        };
        self.reports.insert(peer.clone(), report);
    }

    /// Removes the report of a peer that has stopped.
    pub fn remove_peer(&mut self, peer: &LoadSource) {
        if let Some(report) = self.reports.remove(peer) {
            self.subtract(&report.load);
        }
    }

    /// Removes the reports of peers that sent none for [`REPORT_TIMEOUT`].
    pub fn expire(&mut self, now: Uptime) {
        let is_expired =
            |report: &ReceivedReport| now.saturating_sub(report.received_at) >= REPORT_TIMEOUT;
        let expired: Vec<LoadSource> = self
            .reports
            .iter()
            .filter(|(_, report)| is_expired(report))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in &expired {
            self.remove_peer(peer);
        }
    }

    fn subtract(&mut self, load: &PeerLoad) {
        for (target, slots) in &load.slots {
            self.online -= slots.online;
            let Some(sum) = self.sums.get_mut(target) else {
                continue;
            };
            *sum = sum.minus(*slots);
            if sum.total() == 0 {
                self.sums.remove(target);
            }
        }
    }

    /// Requests of all peers at `target`.
    pub fn at(&self, target: &TargetId) -> SlotUse {
        self.sums.get(target).copied().unwrap_or_default()
    }

    /// Number of other VMs that have batch requests waiting for a slot.
    pub fn batch_waiting_vms(&self) -> u32 {
        self.reports
            .values()
            .map(|report| report.load.batch_waiting_vms)
            .sum()
    }

    /// Number of other VMs that have online requests waiting for a slot.
    pub fn online_waiting_vms(&self) -> u32 {
        self.reports
            .values()
            .map(|report| report.load.online_waiting_vms)
            .sum()
    }

    /// Online requests of all peers: first those of `organisation`, known only from peers that report it as their
    /// busiest one, then those of all organisations.
    pub fn online_of(&self, organisation: &OrganisationId) -> (u32, u32) {
        let loads = self.reports.values().map(|report| &report.load);
        let busiest = loads.filter_map(|load| load.busiest.as_ref());
        let own = busiest.filter(|(busiest, _)| busiest == organisation);
        (own.map(|(_, count)| count).sum(), self.online)
    }

    /// Sum of the reports of the VMs of this failure domain and of `own`.
    pub fn domain_load(&self, own: &PeerLoad) -> PeerLoad {
        let reports = self.reports.iter();
        let near = reports.filter(|(source, _)| matches!(source, LoadSource::Vm(_)));
        let loads = near.map(|(_, report)| &report.load).chain([own]);
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

    /// Number of batch requests at `target` held by peers that precede the VM `own` of `domain`. All VMs use the same
    /// order: by domain, then by VM.
    pub fn preceding_batch(&self, target: &TargetId, own: &VmId, domain: &DomainName) -> u32 {
        let key = key_of(target);
        let rank = |source: &LoadSource| match source {
            LoadSource::Vm(vm) => (score(domain, key), score(vm, key)),
            LoadSource::Domain(other) => (score(other, key), 0),
        };
        let own_rank = rank(&LoadSource::Vm(own.clone()));
        let before = self
            .reports
            .iter()
            .filter(|(source, _)| rank(source) > own_rank);
        before
            .filter_map(|(_, report)| report.load.slots.iter().find(|(id, _)| id == target))
            .map(|(_, slots)| slots.batch)
            .sum()
    }
}
