//! Choice of a target: distance, room, prefix affinity with a load bound, two random choices.

use crate::dispatcher::{TicketRequest, TrafficClass};
use crate::health::HealthState;
use crate::link::LinkBudget;
use crate::rendezvous;
use crate::target_view::{Distance, TargetView};
use plantainmill_core::Uptime;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

/// A target takes requests by affinity up to this multiple of the mean load, in hundredths.
const AFFINITY_BOUND_PERCENT: u32 = 125;

/// Order of preference. Within a rank, affinity or load decides.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum CandidateRank {
    /// A slot is free; targets where batch work would have to give way to it come later.
    Free(Distance, bool),
    Full(Distance),
    /// The owner does not answer: the target may be cut off as well.
    Silent(Distance),
}

/// Chooses targets.
pub struct TargetSelector {
    random: SmallRng,
    best: Vec<usize>,
}

/// What a choice depends on besides the request.
pub struct SelectionContext<'a> {
    /// All targets.
    pub views: &'a [TargetView],
    /// Indices of the service's targets.
    pub members: &'a [usize],
    /// Indices that were tried before for this request.
    pub tried: &'a [usize],
    /// Budget of the link.
    pub link: &'a mut LinkBudget,
    /// VMs that share a target without an owner.
    pub sharers: u32,
    /// Only targets that are known to have a free slot.
    pub only_free: bool,
    /// Time.
    pub now: Uptime,
}

impl TargetSelector {
    /// A selector whose random choices are fixed by `seed`.
    #[must_use]
    pub fn new(seed: u64) -> TargetSelector {
        TargetSelector {
            random: SmallRng::seed_from_u64(seed),
            best: Vec::new(),
        }
    }

    /// The index of the target to try next.
    pub fn choose(
        &mut self,
        request: &TicketRequest,
        context: &mut SelectionContext<'_>,
    ) -> Option<usize> {
        self.collect_best(request, context);
        match request.prefix_hash {
            _ if self.best.is_empty() => None,
            Some(prefix) => self.by_affinity(prefix, context),
            None => Some(self.by_load(context)),
        }
    }

    fn collect_best(&mut self, request: &TicketRequest, context: &mut SelectionContext<'_>) {
        let mut best_rank = None;
        self.best.clear();
        for &index in context.members {
            let Some(rank) = rank(request, context, index) else {
                continue;
            };
            if best_rank.is_some_and(|best| rank > best) {
                continue;
            }
            if best_rank != Some(rank) {
                best_rank = Some(rank);
                self.best.clear();
            }
            self.best.push(index);
        }
    }

    /// The first target in rendezvous order that stays within the bound. The least loaded one always does.
    fn by_affinity(&self, prefix: u64, context: &SelectionContext<'_>) -> Option<usize> {
        let loads = self.best.iter().map(|index| context.load(*index));
        let total = loads.sum::<u32>();
        let count = u32::try_from(self.best.len()).unwrap_or(1);
        let step = self.best.iter().map(|index| context.step(*index)).max();
        let step = step.unwrap_or(1);
        // The mean counts the request itself. The bound is rounded up to whole requests: without that, one request at
        // each target would already put all of them above it.
        let bound = (total + step).saturating_mul(AFFINITY_BOUND_PERCENT) / (100 * count);
        let bound = bound.next_multiple_of(step);
        let within = self.best.iter().copied();
        let within = within.filter(|index| context.load(*index) + context.step(*index) <= bound);
        let chosen =
            within.max_by_key(|index| rendezvous::score(context.views[*index].id.as_str(), prefix));
        let least = self.best.iter().copied();
        chosen.or_else(|| least.min_by_key(|index| context.load(*index)))
    }

    /// The less loaded of two random targets; a standing ticket is preferred at about the same load.
    fn by_load(&mut self, context: &SelectionContext<'_>) -> usize {
        let best = std::mem::take(&mut self.best);
        let chosen = self.less_loaded(&best, context);
        let standing = best
            .iter()
            .copied()
            .filter(|index| context.is_ready(*index));
        let standing = standing.collect::<Vec<_>>();
        self.best = best;
        if context.is_ready(chosen) || standing.is_empty() {
            return chosen;
        }
        let ready = self.less_loaded(&standing, context);
        let about_equal = context.load(ready) <= context.load(chosen) + context.step(ready);
        if about_equal { ready } else { chosen }
    }

    fn less_loaded(&mut self, indices: &[usize], context: &SelectionContext<'_>) -> usize {
        let first = indices[self.random.random_range(0..indices.len())];
        let second = indices[self.random.random_range(0..indices.len())];
        if context.load(second) < context.load(first) {
            second
        } else {
            first
        }
    }
}

impl SelectionContext<'_> {
    /// Whether a standing ticket for the target is ready.
    fn is_ready(&self, index: usize) -> bool {
        self.views[index].holding.has_standing(self.now)
    }

    fn load(&self, index: usize) -> u32 {
        self.views[index].relative_load(self.now)
    }

    /// Load that one request adds.
    fn step(&self, index: usize) -> u32 {
        (1_024 / self.views[index].spec.concurrency.max(1)).max(1)
    }
}

/// Calls that this VM may have at a target without an owner: half of the concurrency, shared by the VMs.
#[must_use]
pub fn fallback_limit(view: &TargetView, sharers: u32) -> u32 {
    (view.spec.concurrency / (2 * sharers.max(1))).max(1)
}

/// Whether the target has to be used without its owner.
#[must_use]
pub fn is_ownerless(view: &TargetView) -> bool {
    view.owner.is_none() || view.silent
}

fn rank(
    request: &TicketRequest,
    context: &mut SelectionContext<'_>,
    index: usize,
) -> Option<CandidateRank> {
    let view = &context.views[index];
    let now = context.now;
    let usable = !context.tried.contains(&index)
        && !request.excluded.contains(&view.id)
        && !view.is_leaving(now)
        && view.health.state(now) != HealthState::Ejected;
    if !usable || (view.distance == Distance::Link && !crosses_link(request, context)) {
        return None;
    }
    let batch = request.class == TrafficClass::Batch;
    if is_ownerless(view) {
        let limit = fallback_limit(view, context.sharers);
        // Batch work leaves one slot to online arrivals where there is more than one.
        let limit = if batch { (limit - 1).max(1) } else { limit };
        return (view.in_flight < limit).then_some(CandidateRank::Silent(view.distance));
    }
    if context.only_free && !view.is_free(batch, now) {
        None
    } else if view.is_full(batch, now) {
        Some(CandidateRank::Full(view.distance))
    } else {
        let preempts = !batch && request.prefix_hash.is_none() && view.needs_preemption(now);
        Some(CandidateRank::Free(view.distance, preempts))
    }
}

/// Batch work crosses the link only if no target of the service is nearer.
fn crosses_link(request: &TicketRequest, context: &mut SelectionContext<'_>) -> bool {
    let mut members = context.members.iter();
    let near = members.any(|index| context.views[*index].distance != Distance::Link);
    let wanted = request.class == TrafficClass::Online || !near;
    wanted && context.link.fits(request.body_bytes, context.now)
}
