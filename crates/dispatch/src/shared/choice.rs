//! How targets compare for one request.

use crate::rendezvous::score;
use plantainmill_core::{DomainName, RegionName, TargetId};
use std::collections::HashMap;

/// Cost of a target in another failure domain of the region, in full targets: one is taken rather than a near one
/// that is so much fuller.
const REGION_COST: f64 = 0.3;
/// Cost of a target in another region, in full targets.
const LINK_COST: f64 = 1.0;
/// Advantage of the target that keeps the prompt's shared part, in full targets.
const AFFINITY_GAIN: f64 = 0.15;
/// Spread by which VMs with the same knowledge choose differently, in full targets.
const SPREAD: f64 = 0.12;

/// Place of this VM.
#[derive(Clone, Debug, Default)]
pub(super) struct PlaceMap {
    /// Own failure domain.
    pub domain: DomainName,
    /// Own region.
    pub region: RegionName,
    /// Region of each failure domain.
    pub regions: HashMap<DomainName, RegionName>,
}

impl PlaceMap {
    /// Cost of the way to a target in `domain`.
    pub fn distance(&self, domain: &DomainName) -> f64 {
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

/// How a target can take an online request, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum SlotState {
    /// It has a free slot.
    Free,
    /// A batch call of this VM is preempted.
    OwnBatch,
    /// A peer will preempt one of its batch calls.
    PeerBatch,
    /// All slots have online requests; the request waits at the target.
    Queued,
    /// It failed lately.
    Suspect,
}

/// A target that could take the request.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    /// Target.
    pub target: TargetId,
    /// How it can take it.
    pub state: SlotState,
    /// Used slots by all slots.
    pub fill: f64,
    /// Cost of the way.
    pub distance: f64,
}

/// Orders candidates for one request.
pub(super) struct CandidateOrder {
    /// Hash of the prompt's shared part.
    pub prefix_hash: Option<u64>,
    /// Number that spreads the choices of VMs.
    pub salt: u64,
}

impl CandidateOrder {
    /// The best candidate.
    pub fn best(&self, candidates: Vec<Candidate>) -> Option<Candidate> {
        let state = candidates.iter().map(|candidate| candidate.state).min()?;
        let best: Vec<Candidate> = candidates
            .into_iter()
            .filter(|candidate| candidate.state == state)
            .collect();
        let home = self.prefix_hash.and_then(|hash| {
            let nearest = best.iter().map(|candidate| candidate.distance);
            let nearest = nearest.fold(f64::INFINITY, f64::min);
            let near = best
                .iter()
                .filter(|candidate| candidate.distance <= nearest);
            let home = near.max_by_key(|candidate| score(&candidate.target, hash));
            home.map(|candidate| candidate.target.clone())
        });
        let cost = |candidate: &Candidate| {
            let gain = if Some(&candidate.target) == home.as_ref() {
                AFFINITY_GAIN
            } else {
                0.0
            };
            let spread = score(&candidate.target, self.salt) % 1_000;
            let spread = f64::from(u32::try_from(spread).unwrap_or(0)) / 1_000.0;
            candidate.fill + candidate.distance - gain + spread * SPREAD
        };
        best.into_iter()
            .min_by(|first, second| cost(first).total_cmp(&cost(second)))
    }
}
