//! Comparison of targets for one request.

use crate::dispatcher::TrafficClass;
use crate::rendezvous::score;
use plantainmill_core::{DomainName, RegionName, RegionSet, TargetId};
use std::cmp::Reverse;
use std::collections::HashMap;

/// Cost of a target in another failure domain of the region, as a difference in occupancy: it is preferred to a target
/// of the own domain whose occupancy is higher by more than this.
const REGION_COST: f64 = 0.3;
/// Cost of a target in another region, as a difference in occupancy.
const LINK_COST: f64 = 1.0;
/// Advantage of the target that has the shared prefix of the prompt cached, as a difference in occupancy.
const AFFINITY_GAIN: f64 = 0.15;
/// Largest random cost, as a difference in occupancy. Makes VMs with the same load reports select different targets.
const MAX_RANDOM_COST: f64 = 0.12;

/// Cost, as a difference in occupancy, of a target that needs twice the usual time by its own statement. With 0.3 and more,
/// VMs with late reports crowd the other targets, and fewer first events are in time than without the cost.
const DELAY_COST: f64 = 0.08;
/// Factor by which that cost is higher for batch calls, which no caller waits for.
const BATCH_DELAY_FACTOR: f64 = 15.0;

/// Number of targets at one distance that a VM compares while load reports come late. All VMs then act on old reports of
/// the same age: if each compared all targets, all would send to the few that seem least occupied, and overfill them
/// before the next reports.
const SUBSET_SIZE: usize = 3;

/// Location of this VM and of the failure domains, from which network distances follow.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalityMap {
    pub domain: DomainName,
    pub region: RegionName,
    pub regions: HashMap<DomainName, RegionName>,
}

impl LocalityMap {
    /// Region of `domain`; `None` if the settings do not name it.
    pub fn region_of(&self, domain: &DomainName) -> Option<&RegionName> {
        self.regions.get(domain)
    }

    /// Whether any failure domain is in an allowed region.
    pub fn has_allowed(&self, regions: &RegionSet) -> bool {
        let mut known = self.regions.values();
        regions.is_everywhere() || known.any(|region| regions.allows(Some(region)))
    }

    /// Cost of the network distance to a target in `domain`.
    pub fn distance_cost(&self, domain: &DomainName) -> f64 {
        if *domain == self.domain {
            0.0
        } else if self
            .regions
            .get(domain)
            .is_some_and(|region| *region == self.region)
        {
            REGION_COST
        } else {
            LINK_COST
        }
    }
}

/// How a target can serve an online request, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum SlotState {
    /// It has a free slot.
    Free,
    /// A batch call of this VM would be preempted.
    OwnBatch,
    /// A peer would preempt one of its batch calls.
    PeerBatch,
    /// It has a free slot, and names a limit of which this VM saves its part.
    Spared,
    /// All slots have online requests; the request would wait at the target.
    Queued,
    /// It has a free slot, but failed recently.
    Suspect,
}

/// Cost of a target that needs longer than usual by `delay`, a multiple of the usual time.
pub(super) fn delay_cost(delay: f64, class: TrafficClass) -> f64 {
    match class {
        TrafficClass::Online => DELAY_COST * delay,
        TrafficClass::Batch => DELAY_COST * BATCH_DELAY_FACTOR * delay,
    }
}

/// A target that could serve the request.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub target: TargetId,
    pub state: SlotState,
    /// Used slots divided by all slots; above one when requests wait at the target.
    pub occupancy: f64,
    /// Cost of the network distance.
    pub distance_cost: f64,
    /// Cost of the longer time that the target needs now by its own statement, as a difference in occupancy.
    pub delay_cost: f64,
}

/// Reduces the candidates at each distance to the first few in the order of the VM with `vm_key`. Each VM thus uses few
/// targets, to which it has open connections, and the others only while those cannot serve as well.
fn subset(mut candidates: Vec<Candidate>, vm_key: u64) -> Vec<Candidate> {
    if candidates.len() <= SUBSET_SIZE {
        return candidates;
    }
    candidates.sort_by_cached_key(|candidate| Reverse(score(&candidate.target, vm_key)));
    let mut counts: Vec<(f64, usize)> = Vec::new();
    candidates.retain(|candidate| {
        let distance = candidate.distance_cost;
        let known = counts
            .iter()
            .position(|(other, _)| other.total_cmp(&distance).is_eq());
        let position = known.unwrap_or_else(|| {
            counts.push((distance, 0));
            counts.len() - 1
        });
        counts[position].1 += 1;
        counts[position].1 <= SUBSET_SIZE
    });
    candidates
}

/// Order of the candidates for one request.
pub(super) struct CandidateOrder {
    /// Hash of the start of the prompt, for prefix affinity.
    pub prefix_hash: Option<u64>,
    /// Hash of this VM, which determines the targets that it prefers among many. None compares all of them.
    pub vm_key: Option<u64>,
    /// Differs between VMs and requests, and so randomises the choice between similar candidates.
    pub salt: u64,
}

impl CandidateOrder {
    /// The candidate with the lowest cost among the VM's subset of those in the best state.
    pub fn best(&self, candidates: Vec<Candidate>) -> Option<Candidate> {
        let state = candidates.iter().map(|candidate| candidate.state).min()?;
        let best: Vec<Candidate> = candidates
            .into_iter()
            .filter(|candidate| candidate.state == state)
            .collect();
        let best = match self.vm_key {
            Some(vm_key) => subset(best, vm_key),
            None => best,
        };
        let affinity_target = self.prefix_hash.and_then(|hash| {
            let nearest = best.iter().map(|candidate| candidate.distance_cost);
            let nearest = nearest.fold(f64::INFINITY, f64::min);
            let near = best
                .iter()
                .filter(|candidate| candidate.distance_cost <= nearest);
            let affinity_target = near.max_by_key(|candidate| score(&candidate.target, hash));
            affinity_target.map(|candidate| candidate.target.clone())
        });
        let cost = |candidate: &Candidate| {
            let gain = if Some(&candidate.target) == affinity_target.as_ref() {
                AFFINITY_GAIN
            } else {
                0.0
            };
            let random_share = score(&candidate.target, self.salt) % 1_000;
            let random_share = f64::from(u32::try_from(random_share).unwrap_or(0)) / 1_000.0;
            candidate.occupancy + candidate.distance_cost - gain
                + random_share * MAX_RANDOM_COST
                + candidate.delay_cost
        };
        best.into_iter()
            .min_by(|first, second| cost(first).total_cmp(&cost(second)))
    }
}
