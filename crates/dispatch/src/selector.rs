//! Target selection by free slots and distance, then by prefix affinity with a load bound or by the less loaded of two
//! random targets.

use crate::dispatcher::{TicketRequest, TrafficClass};
use crate::health::HealthState;
use crate::link::LinkBudget;
use crate::rendezvous;
use crate::target_view::{Distance, TargetView};
use plantainmill_core::Uptime;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

/// Load up to which a target receives requests by affinity, in percent of the mean load.
const AFFINITY_BOUND_PERCENT: u32 = 125;

/// Preference among targets, best first. Within a rank, affinity or load decides.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum CandidateRank {
    /// A slot is free. Targets at which the request would preempt a batch call (true) come after the others at the same
    /// distance.
    Free(Distance, bool),
    Full(Distance),
    /// The target has no owner, or its owner does not respond. The target may be unreachable as well.
    Silent(Distance),
}

/// Selects targets for requests. Holds the random generator and a buffer for candidates.
pub struct TargetSelector {
    random: SmallRng,
    best: Vec<usize>,
}

/// Inputs of a selection besides the request.
pub struct SelectionContext<'a> {
    /// All known targets, to which the indices refer.
    pub views: &'a [TargetView],
    /// Indices of the service's targets.
    pub targets: &'a [usize],
    /// Indices of targets that were asked for this request before.
    pub tried: &'a [usize],
    /// Budget of the link between regions.
    pub link: &'a mut LinkBudget,
    /// Number of live VMs in this failure domain, which share the targets without an owner.
    pub sharing_vms: u32,
    /// Selects only targets that are known to have a free slot, or that have no responsive owner.
    pub only_free: bool,
    /// Uptime at which the selection is made.
    pub now: Uptime,
}

impl TargetSelector {
    /// A selector whose random choices depend only on `seed`.
    #[must_use]
    pub fn new(seed: u64) -> TargetSelector {
        TargetSelector {
            random: SmallRng::seed_from_u64(seed),
            best: Vec::new(),
        }
    }

    /// The index of the target to try next; none if no target is usable.
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
        for &index in context.targets {
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

    /// The first target in rendezvous order whose load stays within the bound, else the least loaded one.
    fn by_affinity(&self, prefix: u64, context: &SelectionContext<'_>) -> Option<usize> {
        let loads = self.best.iter().map(|index| context.load(*index));
        let total = loads.sum::<u32>();
        let count = u32::try_from(self.best.len()).unwrap_or(1);
        let request_load = self
            .best
            .iter()
            .map(|index| context.request_load(*index))
            .max();
        let request_load = request_load.unwrap_or(1);
        // The mean includes the request itself. The bound is rounded up to whole requests; otherwise one request at
        // each target would already put all of them above the bound.
        let bound = (total + request_load).saturating_mul(AFFINITY_BOUND_PERCENT) / (100 * count);
        let bound = bound.next_multiple_of(request_load);
        let within = self.best.iter().copied();
        let within =
            within.filter(|index| context.load(*index) + context.request_load(*index) <= bound);
        let chosen =
            within.max_by_key(|index| rendezvous::score(context.views[*index].id.as_str(), prefix));
        let least = self.best.iter().copied();
        chosen.or_else(|| least.min_by_key(|index| context.load(*index)))
    }

    /// The less loaded of two random targets. At about the same load, a target with a standing ticket is preferred.
    fn by_load(&mut self, context: &SelectionContext<'_>) -> usize {
        let best = std::mem::take(&mut self.best);
        let chosen = self.less_loaded(&best, context);
        let standing = best
            .iter()
            .copied()
            .filter(|index| context.has_standing_ticket(*index));
        let standing = standing.collect::<Vec<_>>();
        self.best = best;
        if context.has_standing_ticket(chosen) || standing.is_empty() {
            return chosen;
        }
        let standing_choice = self.less_loaded(&standing, context);
        let about_equal = context.load(standing_choice)
            <= context.load(chosen) + context.request_load(standing_choice);
        if about_equal { standing_choice } else { chosen }
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
    /// Whether this VM holds a standing ticket for the target.
    fn has_standing_ticket(&self, index: usize) -> bool {
        self.views[index].holding.has_standing(self.now)
    }

    fn load(&self, index: usize) -> u32 {
        self.views[index].relative_load(self.now)
    }

    /// Relative load that one request adds to the target.
    fn request_load(&self, index: usize) -> u32 {
        (1_024 / self.views[index].spec.concurrency.max(1)).max(1)
    }
}

/// Number of calls that this VM may have at a target without a responsive owner: its share of half of the concurrency,
/// and at least one.
#[must_use]
pub fn fallback_limit(view: &TargetView, sharing_vms: u32) -> u32 {
    (view.spec.concurrency / (2 * sharing_vms.max(1))).max(1)
}

/// Whether the target has to be used without tickets, because it has no owner or the owner does not respond.
#[must_use]
pub fn lacks_responsive_owner(view: &TargetView) -> bool {
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
    if !usable || (view.distance == Distance::Link && !may_cross_link(request, context)) {
        return None;
    }
    let batch = request.class == TrafficClass::Batch;
    if lacks_responsive_owner(view) {
        let limit = fallback_limit(view, context.sharing_vms);
        // Batch calls leave one slot to online requests if there is more than one.
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

/// Whether the request may go to another region. Batch requests do so only if no target of the service is nearer.
fn may_cross_link(request: &TicketRequest, context: &mut SelectionContext<'_>) -> bool {
    let mut targets = context.targets.iter();
    let near = targets.any(|index| context.views[*index].distance != Distance::Link);
    let wanted = request.class == TrafficClass::Online || !near;
    wanted && context.link.fits(request.body_bytes, context.now)
}
