//! State machine of the shared policy: calls of this VM, load reports of peers, and waiting requests.

use super::backoff::TargetBackoff;
use super::choice::{Candidate, CandidateOrder, LocalityMap, SlotState, delay_cost};
use super::leaving::LeavingLedger;
use super::peers::{LoadSource, PeerLoad, PeerLoads, SlotUse, busiest_of};
use super::stated::StatedLoads;
use super::target::{LedgerTarget, MAX_QUEUED_ONLINE, RefusalCause, online_state};
use crate::dispatcher::{CallOutcome, TargetNeed, TicketRequest, TrafficClass};
use crate::rendezvous::{key_of, score};
use plantainmill_core::{
    DomainName, OrganisationId, RegionName, TargetId, Uptime, VersionName, VmId,
};
use plantainmill_routing::TargetEntry;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies a request within this VM.
pub type RequestId = u64;

/// Fewest calls with which an organisation counts as dominant. Fewer may be the majority by chance.
const MIN_DOMINANT_CALLS: u32 = 6;
/// Time after a preemption in which this VM starts no batch calls. Load reports do not show yet who else will need the
/// slots that look free, and a call that is preempted again before its first token has only occupied one.
const PREEMPTION_PAUSE: Duration = Duration::from_millis(500);
/// Factor by which turns are rarer than one per waiting VM, so that two VMs rarely have the same turn.
const TURN_SPREAD: u64 = 2;
/// Length of a turn: after it, peers have received a report of who filled a slot.
const TURN_LENGTH: Duration = Duration::from_millis(50);
/// Longest wait of an online request for a slot, unless the request sets a limit.
const DEFAULT_ONLINE_WAIT: Duration = Duration::from_millis(100);
/// Shortest delay before a refused request is retried: about the duration of short requests, after which slots are
/// free.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// An action that the caller of the state machine has to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerEffect {
    /// The request may be sent to the target.
    Grant {
        /// Id of the request.
        number: RequestId,
        /// Target that the request goes to.
        target: TargetId,
        /// Address at which the target accepts requests.
        address: SocketAddr,
        /// Region of the target, if the settings name it.
        region: Option<RegionName>,
        /// Software version of the target.
        version: VersionName,
        /// Start of the target, in milliseconds since the Unix epoch; zero if unknown.
        born: u64,
    },
    /// The request is refused.
    Refuse {
        /// Id of the request.
        number: RequestId,
        /// Delay after which the request may be retried.
        retry_after: Duration,
        /// Why it is refused.
        cause: RefusalCause,
    },
    /// The batch call is preempted and has to end.
    Preempt {
        /// Id of the request whose call has to end.
        number: RequestId,
    },
    /// A load report should be sent to the peers at once, because one of them has to preempt a batch call.
    SendReport,
}

#[derive(Debug)]
struct RunningCall {
    target: TargetId,
    organisation: Option<OrganisationId>,
    class: TrafficClass,
    granted_at: Uptime,
    is_preempted: bool,
}

#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub number: RequestId,
    pub request: TicketRequest,
    pub since: Uptime,
}

/// State machine of the shared policy: the load of all targets as this VM knows it, and its waiting requests.
#[derive(Debug)]
pub struct LoadLedger {
    pub(super) vm: VmId,
    pub(super) locality: LocalityMap,
    pub(super) targets: BTreeMap<TargetId, LedgerTarget>,
    pub(super) peers: PeerLoads,
    pub(super) leaving: LeavingLedger,
    /// What targets state about their load.
    pub stated: StatedLoads,
    calls: HashMap<RequestId, RunningCall>,
    /// Online calls of this VM by organisation.
    running_online: HashMap<Option<OrganisationId>, u32>,
    pub(super) online: Vec<WaitingRequest>,
    pub(super) batch: Vec<WaitingRequest>,
    /// Load reports arrive through relays, later than direct ones.
    pub(super) has_late_reports: bool,
    /// Time until which no batch calls are started, because some were preempted.
    pub(super) batch_paused_until: Uptime,
    next_number: RequestId,
}

impl LoadLedger {
    /// A ledger without targets for `vm` in `domain` of `region`; `regions` has the region of each failure domain.
    #[must_use]
    pub fn new(
        vm: VmId,
        domain: DomainName,
        region: RegionName,
        regions: HashMap<DomainName, RegionName>,
    ) -> LoadLedger {
        LoadLedger {
            vm,
            locality: LocalityMap {
                domain,
                region,
                regions,
            },
            targets: BTreeMap::new(),
            peers: PeerLoads::default(),
            leaving: LeavingLedger::default(),
            stated: StatedLoads::default(),
            calls: HashMap::new(),
            running_online: HashMap::new(),
            online: Vec::new(),
            batch: Vec::new(),
            has_late_reports: false,
            batch_paused_until: Uptime::ZERO,
            next_number: 0,
        }
    }

    /// States whether load reports arrive through relays, later than direct ones.
    pub fn set_late_reports(&mut self, has_late_reports: bool) {
        self.has_late_reports = has_late_reports;
    }

    /// Replaces the targets that may receive new requests. Those that stay keep their calls and backoff.
    pub fn set_targets<'a>(&mut self, entries: impl Iterator<Item = &'a TargetEntry>) {
        let mut known = std::mem::take(&mut self.targets);
        for entry in entries {
            let kept = known.remove(&entry.id);
            let region = self.locality.region_of(&entry.domain).cloned();
            let target = kept.map_or_else(
                || LedgerTarget {
                    entry: entry.clone(),
                    region: region.clone(),
                    own: SlotUse::default(),
                    backoff: TargetBackoff::default(),
                    is_leaving: false,
                },
                |kept| LedgerTarget {
                    entry: entry.clone(),
                    region: region.clone(),
                    ..kept
                },
            );
            self.targets.insert(entry.id.clone(), target);
        }
        self.update_leaving();
        // A target that is listed again may still run calls that were sent before its entry was removed.
        for target in self.targets.values_mut() {
            target.own = SlotUse::default();
        }
        for call in self.calls.values().filter(|call| !call.is_preempted) {
            if let Some(target) = self.targets.get_mut(&call.target) {
                target.own.add(call.class);
            }
        }
    }

    /// Calls of this VM that occupy slots of a target.
    pub(super) fn own_use(&self, target: &TargetId) -> SlotUse {
        let mut own = SlotUse::default();
        let calls = self.calls.values().filter(|call| call.target == *target);
        for call in calls.filter(|call| !call.is_preempted) {
            own.add(call.class);
        }
        own
    }

    /// Applies to the targets what is known of those that leave. Their calls go on; nothing new is sent to them.
    pub(super) fn update_leaving(&mut self) {
        for (id, target) in &mut self.targets {
            target.is_leaving = self.leaving.is_leaving(id, target.entry.born);
        }
    }

    /// Handles a new request. Effects refer to it by the returned id. Batch requests wait for the next tick.
    pub fn request(
        &mut self,
        request: TicketRequest,
        now: Uptime,
    ) -> (RequestId, Vec<LedgerEffect>) {
        self.next_number += 1;
        let number = self.next_number;
        let waiting = WaitingRequest {
            number,
            request,
            since: now,
        };
        let mut effects = Vec::new();
        match waiting.request.class {
            TrafficClass::Online => {
                let is_short =
                    waiting.request.needs_idle_slot && !self.has_spare_slots(&waiting.request);
                let cause = self.refusal_cause(&waiting.request);
                if is_short || cause != RefusalCause::Busy {
                    effects.push(LedgerEffect::Refuse {
                        number,
                        retry_after: self.missing_retry_after(&waiting, cause),
                        cause,
                    });
                    return (number, effects);
                }
                self.online.push(waiting);
                self.serve_online(now, None, &mut effects);
            }
            TrafficClass::Batch => {
                self.batch.push(waiting);
            }
        }
        (number, effects)
    }

    /// Whether a target other than `current` meets the need.
    #[must_use]
    pub fn has_other_target(&self, need: TargetNeed<'_>, current: &TargetId) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|(id, target)| id != current && target.meets(need))
    }

    /// Withdraws a waiting request.
    pub fn withdraw(&mut self, number: RequestId) {
        self.online.retain(|waiting| waiting.number != number);
        self.batch.retain(|waiting| waiting.number != number);
    }

    /// Records the end of a call, and grants its slot to a waiting online request.
    pub fn release(
        &mut self,
        number: RequestId,
        outcome: CallOutcome,
        now: Uptime,
    ) -> Vec<LedgerEffect> {
        let Some(call) = self.calls.remove(&number) else {
            return Vec::new();
        };
        self.end_running(&call);
        if let Some(target) = self.targets.get_mut(&call.target) {
            target.backoff.record(outcome, now);
        }
        if !call.is_preempted {
            self.free_slot(&call.target, call.class);
        }
        let mut effects = Vec::new();
        self.serve_online(now, Some(&call.target), &mut effects);
        effects
    }

    fn end_running(&mut self, call: &RunningCall) {
        if call.class == TrafficClass::Online
            && let Some(count) = self.running_online.get_mut(&call.organisation)
        {
            *count -= 1;
            if *count == 0 {
                self.running_online.remove(&call.organisation);
            }
        }
    }

    fn free_slot(&mut self, target: &TargetId, class: TrafficClass) {
        if let Some(target) = self.targets.get_mut(target) {
            target.own.remove(class);
        }
    }

    /// Records the load report of a peer. Own batch calls may be preempted for the online requests of peers.
    pub fn record_report(
        &mut self,
        peer: &LoadSource,
        load: PeerLoad,
        now: Uptime,
    ) -> Vec<LedgerEffect> {
        self.record_reports(vec![(peer.clone(), load)], now)
    }

    /// Records load reports that arrived together, and decides once for all of them.
    pub fn record_reports(
        &mut self,
        reports: Vec<(LoadSource, PeerLoad)>,
        now: Uptime,
    ) -> Vec<LedgerEffect> {
        for (peer, load) in reports {
            self.peers.record_report(&peer, load, now);
        }
        let mut effects = Vec::new();
        self.preempt_for_peers(now, &mut effects);
        self.serve_online(now, None, &mut effects);
        effects
    }

    /// Removes the report of a peer that has stopped, so that its calls no longer count.
    pub fn remove_peer(&mut self, peer: &LoadSource) {
        self.peers.remove_peer(peer);
    }

    /// Expires the reports of peers that stopped sending them, and grants or refuses waiting requests.
    pub fn tick(&mut self, now: Uptime) -> Vec<LedgerEffect> {
        self.peers.expire(now);
        self.stated.expire(now);
        let mut effects = Vec::new();
        self.serve_online(now, None, &mut effects);
        self.serve_batch(now, &mut effects);
        effects
    }

    /// The load report of this VM to its peers.
    #[must_use]
    pub fn report(&self) -> PeerLoad {
        let busy = self
            .targets
            .iter()
            .filter(|(_, target)| target.own.total() > 0);
        let running_online = self.running_online.iter();
        let running_online =
            running_online.filter_map(|(name, count)| Some((name.as_ref()?, *count)));
        PeerLoad {
            slots: busy.map(|(id, target)| (id.clone(), target.own)).collect(),
            batch_waiting_vms: u32::from(!self.batch.is_empty()),
            online_waiting_vms: u32::from(!self.online.is_empty()),
            busiest: busiest_of(running_online),
        }
    }

    /// The load report of this VM's failure domain to other domains.
    #[must_use]
    pub fn domain_report(&self) -> PeerLoad {
        self.peers.domain_load(&self.report())
    }

    /// Number of waiting requests: online and batch.
    #[must_use]
    pub fn waiting(&self) -> (usize, usize) {
        (self.online.len(), self.batch.len())
    }

    /// Number of slots of a target, and its requests from all VMs; none if the target is unknown.
    #[must_use]
    pub fn load_of(&self, target: &TargetId) -> Option<(u32, SlotUse)> {
        let known = self.targets.get(target)?;
        let peers = self.peers.at(target);
        let slots = SlotUse {
            online: known.own.online + peers.online,
            batch: known.own.batch + peers.batch,
        };
        Some((known.entry.slots, slots))
    }

    /// Sorts the waiting online requests by priority, then those first that continue a stream, then by the running calls of
    /// their organisation on this VM, fewest first, then by age. An organisation that sends many times its share thus delays itself rather than
    /// others.
    fn order_online(&mut self) {
        let running_online = &self.running_online;
        self.online.sort_by_cached_key(|waiting| {
            let request = &waiting.request;
            let own = running_online
                .get(&request.organisation)
                .copied()
                .unwrap_or(0);
            let begins = request.version.is_none();
            (request.priority, begins, own, waiting.since)
        });
    }

    /// Whether the organisation of a request has most, but not all, of the online calls of all VMs, so that others
    /// would wait behind it.
    fn is_dominant(&self, request: &TicketRequest) -> bool {
        let Some(organisation) = &request.organisation else {
            return false;
        };
        let own = self.running_online.get(&request.organisation);
        let own = own.copied().unwrap_or(0);
        let (peers, all) = self.peers.online_of(organisation);
        let count = own + peers;
        let all = all + self.running_online.values().sum::<u32>();
        count >= MIN_DOMINANT_CALLS && count * 2 > all && count < all
    }

    /// Grants or refuses waiting online requests. This VM needs no turn to fill a slot that it has just `released`.
    fn serve_online(
        &mut self,
        now: Uptime,
        released: Option<&TargetId>,
        effects: &mut Vec<LedgerEffect>,
    ) {
        if self.online.is_empty() {
            return;
        }
        self.order_online();
        for next in std::mem::take(&mut self.online) {
            if self.grant_online(&next, now, released, effects) {
                continue;
            }
            let limit = next.request.wait_limit.unwrap_or(DEFAULT_ONLINE_WAIT);
            let waited = now.saturating_sub(next.since);
            let cause = self.refusal_cause(&next.request);
            let is_bound = next.request.version.is_some() || !next.request.regions.is_everywhere();
            let is_hopeless = is_bound && cause != RefusalCause::Busy;
            if is_hopeless || waited >= limit || now >= next.request.deadline {
                let retry_after = match cause {
                    RefusalCause::NoRegion => self.missing_retry_after(&next, cause),
                    RefusalCause::Busy | RefusalCause::NoTarget => self.retry_after(next.number),
                };
                effects.push(LedgerEffect::Refuse {
                    number: next.number,
                    retry_after,
                    cause,
                });
                continue;
            }
            self.online.push(next);
        }
    }

    fn grant_online(
        &mut self,
        waiting: &WaitingRequest,
        now: Uptime,
        released: Option<&TargetId>,
        effects: &mut Vec<LedgerEffect>,
    ) -> bool {
        let request = &waiting.request;
        let is_dominant = self.is_dominant(request);
        let candidates = self.candidates(request, now, |target, peers| {
            let has_turn = released == Some(&target.entry.id) || self.has_turn(target, now);
            let state = online_state(target, peers, is_dominant, now)?;
            if request.needs_idle_slot && state != SlotState::Free {
                return None;
            }
            let is_spared = request.spared.contains(&target.entry.id);
            let state = match state {
                SlotState::Free if is_spared => SlotState::Spared,
                other => other,
            };
            (has_turn || state == SlotState::OwnBatch).then_some(state)
        });
        let order = CandidateOrder {
            prefix_hash: request.prefix_hash,
            vm_key: self.has_late_reports.then(|| key_of(&self.vm)),
            salt: score(&self.vm, waiting.number),
        };
        let Some(best) = order.best(candidates) else {
            return false;
        };
        match best.state {
            SlotState::OwnBatch => self.preempt_at(&best.target, 1, now, effects),
            SlotState::PeerBatch => effects.push(LedgerEffect::SendReport),
            SlotState::Free | SlotState::Queued | SlotState::Spared | SlotState::Suspect => {}
        }
        self.grant(waiting, &best.target, now, effects);
        true
    }

    /// Whether it is this VM's turn to fill a free slot of the target. If several VMs have waiting requests, all see
    /// the same free slots at the same time, so they take random turns.
    fn has_turn(&self, target: &LedgerTarget, now: Uptime) -> bool {
        let sharers = 1 + TURN_SPREAD * u64::from(self.peers.online_waiting_vms());
        let turn = u64::try_from(now.as_millis() / TURN_LENGTH.as_millis()).unwrap_or(0);
        score(&self.vm, key_of(&target.entry.id) ^ turn).is_multiple_of(sharers)
    }

    pub(super) fn candidates(
        &self,
        request: &TicketRequest,
        now: Uptime,
        state_of: impl Fn(&LedgerTarget, SlotUse) -> Option<SlotState>,
    ) -> Vec<Candidate> {
        let serving = || {
            let targets = self.targets.iter();
            let need = request.need();
            targets.filter(move |(id, target)| target.meets(need) && !request.barred.contains(id))
        };
        // If there is no other target, one that already failed the request is better than none.
        let has_other = serving().any(|(id, _)| !request.excluded.contains(id));
        let fitting = serving().filter(|(id, _)| !has_other || !request.excluded.contains(*id));
        let usual_pace = self.stated.usual_pace(serving().map(|(id, _)| id), now);
        fitting
            .filter_map(|(id, target)| {
                let peers = self.peers.at(id);
                let used = target.own.total() + peers.total();
                let most = target.entry.slots + MAX_QUEUED_ONLINE;
                let stated = self.stated.used(id, most, now).unwrap_or(0);
                let used = f64::from(used.max(stated));
                Some(Candidate {
                    target: id.clone(),
                    state: state_of(target, peers)?,
                    occupancy: used / f64::from(target.entry.slots.max(1)),
                    distance_cost: self.locality.distance_cost(&target.entry.domain),
                    delay_cost: delay_cost(self.stated.delay(id, usual_pace, now), request.class),
                })
            })
            .collect()
    }

    pub(super) fn grant(
        &mut self,
        waiting: &WaitingRequest,
        id: &TargetId,
        now: Uptime,
        effects: &mut Vec<LedgerEffect>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let class = waiting.request.class;
        target.own.add(class);
        effects.push(LedgerEffect::Grant {
            number: waiting.number,
            target: id.clone(),
            address: target.entry.address,
            region: target.region.clone(),
            version: target.entry.version.clone(),
            born: target.entry.born,
        });
        let call = RunningCall {
            target: id.clone(),
            organisation: waiting.request.organisation.clone(),
            class,
            granted_at: now,
            is_preempted: false,
        };
        if class == TrafficClass::Online {
            *self
                .running_online
                .entry(call.organisation.clone())
                .or_default() += 1;
        }
        self.calls.insert(waiting.number, call);
    }

    /// Preempts up to `count` of this VM's batch calls at a target, newest first.
    fn preempt_at(
        &mut self,
        id: &TargetId,
        count: u32,
        now: Uptime,
        effects: &mut Vec<LedgerEffect>,
    ) {
        for _ in 0..count {
            let batch = self.calls.iter_mut().filter(|(_, call)| {
                call.class == TrafficClass::Batch && !call.is_preempted && call.target == *id
            });
            let newest = batch.max_by_key(|(number, call)| (call.granted_at, **number));
            let Some((number, call)) = newest else { return };
            call.is_preempted = true;
            self.batch_paused_until = now + PREEMPTION_PAUSE;
            effects.push(LedgerEffect::Preempt { number: *number });
            self.free_slot(id, TrafficClass::Batch);
        }
    }

    /// Preempts batch calls of this VM at targets where online requests wait behind batch calls. All VMs order the
    /// holders of batch calls alike, so that only as many calls are preempted as needed.
    fn preempt_for_peers(&mut self, now: Uptime, effects: &mut Vec<LedgerEffect>) {
        let overcommitted: Vec<(TargetId, u32)> = self
            .targets
            .iter()
            .filter(|(_, target)| target.own.batch > 0)
            .filter_map(|(id, target)| {
                let peers = self.peers.at(id);
                let total = target.own.total() + peers.total();
                let excess = total.saturating_sub(target.entry.slots);
                let needed = excess.min(target.own.online + peers.online);
                (needed > 0).then(|| (id.clone(), needed))
            })
            .collect();
        for (id, needed) in overcommitted {
            let own = self.targets.get(&id).map_or(0, |target| target.own.batch);
            let before = self
                .peers
                .preceding_batch(&id, &self.vm, &self.locality.domain);
            let share = needed.saturating_sub(before).min(own);
            self.preempt_at(&id, share, now, effects);
        }
    }
}
