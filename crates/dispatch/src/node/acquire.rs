//! Acquisition of tickets for the requests of this VM.

use super::{
    DispatchNode, DispatchOutput, OpenOwnerRequest, PendingRequest, RunningCall, is_batch,
};
use crate::dispatcher::{TicketRequest, TrafficClass};
use crate::health::HealthState;
use crate::message::{MessageBody, RequestId, TicketId};
use crate::selector::{SelectionContext, lacks_responsive_owner};
use crate::target_view::Distance;
use plantainmill_core::{Problem, ResultCode, ServiceName, Uptime};
use std::collections::VecDeque;
use std::time::Duration;

/// Owners at which an online request queues when all targets are full. Batch requests queue at one, which saves
/// messages; the periodic search for free slots asks further owners.
pub(super) const OWNER_LIMIT: usize = 2;
/// Longest queue per class of requests that wait on this VM because no owner responds.
const PARKED_LIMIT: usize = 256;
/// Refusals by owners after which a request is refused, so that a refusal does not wait for a round trip to each owner.
const REFUSAL_LIMIT: u32 = 3;
/// Delay after which a refused request may be retried, unless an owner returned one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of a search for a target.
enum Placement {
    Started(usize, Option<TicketId>),
    Waiting,
    Parked,
    Refused(Problem),
}

impl DispatchNode {
    /// Handles a request for a ticket. The result follows as an output with the returned id, now or later.
    pub fn acquire(&mut self, request: TicketRequest, now: Uptime) -> RequestId {
        self.next_request += 1;
        let id = self.next_request;
        self.counts.requests += 1;
        if let Some(problem) = self.refuse_early(&request, now) {
            self.refuse(id, problem);
            return id;
        }
        let expires = self.wait_deadline(&request, now);
        let pending = PendingRequest {
            request,
            expires,
            owner_requests: Vec::new(),
            tried: Vec::new(),
            retry_after: None,
            refusals: 0,
            last_search: now,
        };
        self.pending.insert(id, pending);
        self.place_request(id, false, now);
        self.process_local_messages(now);
        id
    }

    /// Withdraws a request whose caller no longer waits.
    pub fn withdraw(&mut self, id: RequestId, now: Uptime) {
        if let Some(pending) = self.pending.remove(&id) {
            self.cancel_owner_requests(id, &pending.owner_requests, None, now);
        }
        self.process_local_messages(now);
    }

    /// Searches for the next target of a pending request: starts its call, asks an owner, parks it or refuses it.
    pub(super) fn place_request(&mut self, id: RequestId, only_free: bool, now: Uptime) {
        let Some(mut pending) = self.pending.remove(&id) else {
            return;
        };
        match self.find_placement(id, &mut pending, only_free, now) {
            Placement::Started(index, ticket) => self.start(id, &pending, index, ticket, now),
            Placement::Refused(problem) => self.refuse(id, problem),
            Placement::Waiting => {
                self.pending.insert(id, pending);
            }
            Placement::Parked => {
                let class = pending.request.class;
                let service = pending.request.service.clone();
                self.pending.insert(id, pending);
                self.parked_queue(class).push_back(id);
                if class == TrafficClass::Online {
                    self.preempt_unticketed(&service);
                }
            }
        }
    }

    /// Starts the call of a request, and cancels the request at other owners.
    pub(super) fn start(
        &mut self,
        id: RequestId,
        pending: &PendingRequest,
        index: usize,
        ticket: Option<TicketId>,
        now: Uptime,
    ) {
        self.cancel_owner_requests(id, &pending.owner_requests, Some(index), now);
        let request = &pending.request;
        let view = &mut self.views[index];
        view.in_flight += 1;
        if ticket.is_none() {
            view.unticketed += 1;
            self.counts.unticketed += 1;
        }
        if view.health.state(now) == HealthState::Probe {
            view.health.start_probe(now);
        }
        if view.distance == Distance::Link {
            self.link.spend(request.body_bytes, now);
            self.counts.link_requests += 1;
            self.counts.link_bytes += u64::try_from(request.body_bytes).unwrap_or(u64::MAX);
        }
        self.counts.granted += 1;
        let call = RunningCall {
            index,
            ticket,
            class: request.class,
            preempted: false,
        };
        self.running.insert(id, call);
        self.outputs.push(DispatchOutput::Granted {
            request: id,
            target: view.id.clone(),
            address: view.spec.address,
        });
    }

    pub(super) fn refuse(&mut self, id: RequestId, problem: Problem) {
        match problem.code {
            ResultCode::NoTarget => self.counts.refused_no_target += 1,
            ResultCode::DeadlinePassed => self.counts.refused_deadline += 1,
            _ => self.counts.refused_queue += 1,
        }
        let request = id;
        self.outputs
            .push(DispatchOutput::Refused { request, problem });
    }

    /// Refuses a request that waited until its expiry.
    pub(super) fn expire_pending(&mut self, id: RequestId, now: Uptime) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        self.cancel_owner_requests(id, &pending.owner_requests, None, now);
        let problem = if now >= pending.request.deadline {
            let reason = "the deadline passed while the request waited for a target";
            Problem::new(ResultCode::DeadlinePassed, reason)
        } else {
            let reason = "no target became available within the maximum wait";
            let delay = pending.retry_after.unwrap_or(RETRY_AFTER);
            Problem::new(ResultCode::QueueFull, reason).with_retry_after(delay)
        };
        self.refuse(id, problem);
    }

    /// Asks the owner of a target for a ticket.
    pub(super) fn ask_owner(
        &mut self,
        id: RequestId,
        request: &TicketRequest,
        expires: Uptime,
        index: usize,
        now: Uptime,
    ) {
        let view = &self.views[index];
        let Some(owner) = view.owner.clone() else {
            return;
        };
        let target = view.id.clone();
        let wait = expires.saturating_sub(now).as_millis();
        let body = MessageBody::Ask {
            request: id,
            class: request.class,
            organisation: request.organisation.clone(),
            wait_ms: u32::try_from(wait).unwrap_or(u32::MAX),
            flexible: self.is_flexible(request),
        };
        self.send(&owner, &target, body, now);
    }

    /// Whether the owner may select another of its targets.
    fn is_flexible(&self, request: &TicketRequest) -> bool {
        let service = self.services.get(&request.service);
        let mut targets = service.into_iter().flat_map(|service| &service.targets);
        let any_ejected = targets.any(|index| self.views[*index].health.is_ejected());
        request.prefix_hash.is_none() && request.excluded.is_empty() && !any_ejected
    }

    /// Retries the requests that are parked on this VM, online ones first. If one has to stay parked, the later ones of
    /// its service and class are not tried.
    pub(super) fn retry_parked(&mut self, now: Uptime) {
        for class in [TrafficClass::Online, TrafficClass::Batch] {
            let mut blocked: Vec<ServiceName> = Vec::new();
            for id in std::mem::take(self.parked_queue(class)) {
                let Some(pending) = self.pending.get(&id) else {
                    continue;
                };
                let service = pending.request.service.clone();
                if blocked.contains(&service) {
                    self.parked_queue(class).push_back(id);
                    continue;
                }
                self.place_request(id, false, now);
                if self.parked_queue(class).back() == Some(&id) {
                    blocked.push(service);
                }
            }
        }
    }

    fn refuse_early(&mut self, request: &TicketRequest, now: Uptime) -> Option<Problem> {
        if now >= request.deadline {
            let reason = "the deadline passed before the request was dispatched";
            return Some(Problem::new(ResultCode::DeadlinePassed, reason));
        }
        let percent = self.config.defaults.retry_budget_percent;
        let Some(service) = self.services.get_mut(&request.service) else {
            return Some(no_target(request));
        };
        if !request.is_retry {
            service.retries.record_request(now);
            return None;
        }
        if service.retries.try_retry(percent, now) {
            return None;
        }
        self.counts.refused_retry += 1;
        let reason = "the retry budget of the service is exhausted";
        Some(Problem::new(ResultCode::QueueFull, reason).with_retry_after(RETRY_AFTER))
    }

    /// Online requests wait up to `queue_wait_ms`; batch requests wait until their deadline.
    fn wait_deadline(&self, request: &TicketRequest, now: Uptime) -> Uptime {
        if is_batch(request.class) {
            return request.deadline;
        }
        let max_wait = Duration::from_millis(self.config.defaults.queue_wait_ms);
        request.deadline.min(now + max_wait)
    }

    fn find_placement(
        &mut self,
        id: RequestId,
        pending: &mut PendingRequest,
        only_free: bool,
        now: Uptime,
    ) -> Placement {
        pending.last_search = now;
        let choice = if pending.refusals < REFUSAL_LIMIT {
            self.choose(pending, only_free, now)
        } else {
            None
        };
        let Some(index) = choice else {
            return self.place_without_target(pending, now);
        };
        let view = &mut self.views[index];
        if lacks_responsive_owner(view) {
            return Placement::Started(index, None);
        }
        if pending.request.class == TrafficClass::Online
            && let Some(ticket) = view.holding.take_standing(now)
        {
            self.counts.standing_used += 1;
            return Placement::Started(index, Some(ticket));
        }
        let queued = false;
        pending
            .owner_requests
            .push(OpenOwnerRequest { index, queued });
        let request = pending.request.clone();
        self.ask_owner(id, &request, pending.expires, index, now);
        Placement::Waiting
    }

    fn place_without_target(&mut self, pending: &PendingRequest, now: Uptime) -> Placement {
        if !pending.owner_requests.is_empty() {
            return Placement::Waiting;
        }
        if self.waits_for_fallback(pending, now) {
            let class = pending.request.class;
            if self.parked_queue(class).len() < PARKED_LIMIT {
                return Placement::Parked;
            }
        } else if pending.retry_after.is_none() {
            return Placement::Refused(no_target(&pending.request));
        }
        let delay = pending.retry_after.unwrap_or(RETRY_AFTER);
        let reason = "the wait for a target would exceed the deadline or the maximum wait";
        Placement::Refused(Problem::new(ResultCode::QueueFull, reason).with_retry_after(delay))
    }

    /// Whether a target without a responsive owner could serve the request once its fallback limit allows it.
    fn waits_for_fallback(&self, pending: &PendingRequest, now: Uptime) -> bool {
        let service = self.services.get(&pending.request.service);
        let mut targets = service.into_iter().flat_map(|service| &service.targets);
        targets.any(|&index| {
            let view = &self.views[index];
            lacks_responsive_owner(view)
                && view.distance != Distance::Link
                && !view.is_leaving(now)
                && view.health.state(now) != HealthState::Ejected
                && !pending.request.excluded.contains(&view.id)
        })
    }

    fn choose(&mut self, pending: &PendingRequest, only_free: bool, now: Uptime) -> Option<usize> {
        let service = self.services.get(&pending.request.service)?;
        let asked = pending.owner_requests.iter().map(|sent| sent.index);
        let tried = asked.chain(pending.tried.iter().copied());
        let tried = tried.collect::<Vec<_>>();
        let mut context = SelectionContext {
            views: &self.views,
            targets: &service.targets,
            tried: &tried,
            link: &mut self.link,
            sharing_vms: self.sharing_vms,
            only_free,
            now,
        };
        self.selector.choose(&pending.request, &mut context)
    }

    fn cancel_owner_requests(
        &mut self,
        id: RequestId,
        owner_requests: &[OpenOwnerRequest],
        granted: Option<usize>,
        now: Uptime,
    ) {
        for sent in owner_requests {
            let view = &self.views[sent.index];
            let Some(owner) = view.owner.clone() else {
                continue;
            };
            // An owner that granted a ticket of another of its targets never queued the request.
            let by_owner = granted.and_then(|index| self.views[index].owner.as_ref());
            let has_granted = !sent.queued && by_owner == Some(&owner);
            if granted != Some(sent.index) && !has_granted {
                let target = view.id.clone();
                self.send(&owner, &target, MessageBody::Cancel { request: id }, now);
            }
        }
    }

    fn parked_queue(&mut self, class: TrafficClass) -> &mut VecDeque<RequestId> {
        match class {
            TrafficClass::Online => &mut self.parked_online,
            TrafficClass::Batch => &mut self.parked_batch,
        }
    }

    /// Preempts batch calls without a ticket, one for each parked online request of the service. Calls that are already
    /// preempted count; then the newest ones go first.
    fn preempt_unticketed(&mut self, service: &str) {
        let parked = self.parked_online.iter();
        let parked = parked.filter_map(|id| self.pending.get(id));
        let parked = parked.filter(|pending| pending.request.service == service);
        let needed = parked.count();
        let views = &self.views;
        let calls = self.running.iter_mut();
        let batch = calls.filter(|(_, call)| {
            is_batch(call.class)
                && call.ticket.is_none()
                && views[call.index].spec.service == service
        });
        let mut batch = batch.collect::<Vec<_>>();
        batch.sort_unstable_by_key(|(id, call)| (!call.preempted, std::cmp::Reverse(**id)));
        for (id, call) in batch.into_iter().take(needed) {
            if !std::mem::replace(&mut call.preempted, true) {
                self.counts.preempted += 1;
                let request = *id;
                self.outputs.push(DispatchOutput::Preempted { request });
            }
        }
    }
}

fn no_target(request: &TicketRequest) -> Problem {
    let reason = format!("no available target for service {}", request.service);
    Problem::new(ResultCode::NoTarget, reason).with_retry_after(RETRY_AFTER)
}
