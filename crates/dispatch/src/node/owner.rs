//! The owner role: queues of the targets that this VM owns.

use super::DispatchNode;
use crate::dispatcher::TrafficClass;
use crate::message::{MessageBody, QueueLoad};
use crate::rendezvous;
use crate::target_view::Distance;
use crate::ticket_queue::{OwnerReply, OwnerRequest, RenewBody, TicketQueue};
use plantainmill_core::{OrganisationId, ServiceName, TargetId, Uptime, VmId};
use plantainmill_provider::LoadReport;
use std::collections::HashMap;
use std::time::Duration;

/// One in this many slots, counted over the targets of a service on one owner and rounded up, is kept free of batch
/// calls. Under steady load this leaves batch work 0.918 of the idle capacity; one in 64 would leave it 0.901, at the
/// same online latency.
const RESERVE_DIVISOR: u32 = 128;

impl DispatchNode {
    /// Handles the load report of a target; none when it could not be read.
    pub fn report(&mut self, target: &TargetId, report: Option<&LoadReport>, now: Uptime) {
        let Some(report) = report else {
            self.counts.reports_failed += 1;
            return;
        };
        let Some(&index) = self.view_indices.get(target) else {
            return;
        };
        self.views[index].set_leaving(report.leaving, now);
        if let Some(queue) = self.queues.get_mut(target) {
            let replies = queue.report(report, now);
            self.send_replies(target, replies, now);
        }
        self.update_leaving(index, now);
        self.process_local_messages(now);
    }

    pub(super) fn handle_owner_message(
        &mut self,
        from: &VmId,
        target: &TargetId,
        body: MessageBody,
        now: Uptime,
    ) {
        if !self.has_queue(target, now) {
            self.refuse_unowned(from, target, &body, now);
            return;
        }
        let incoming = self.owner_request(from, &body);
        let other = self.redirect(target, &body, now);
        let target = other.as_ref().unwrap_or(target);
        let Some(queue) = self.queues.get_mut(target) else {
            return;
        };
        let replies = match body {
            MessageBody::Ask { .. } => incoming.map_or_else(Vec::new, |new| queue.ask(&new, now)),
            MessageBody::Cancel { request } => queue.cancel(from, request, now),
            MessageBody::Release { ticket, outcome } => queue.release(from, ticket, outcome, now),
            MessageBody::Renew {
                running,
                standing,
                waiting,
                observed,
            } => {
                let renewal = RenewBody {
                    running: &running,
                    standing: &standing,
                    waiting: &waiting,
                    observed: &observed,
                };
                queue.renew(from, &renewal, now)
            }
            _ => Vec::new(),
        };
        self.send_replies(target, replies, now);
    }

    /// Opens the queue of a target if this VM has become its owner.
    pub(super) fn open_queue(&mut self, index: usize, now: Uptime) {
        let view = &self.views[index];
        if view.owner.as_ref() != Some(&self.identity.vm) || self.queues.contains_key(&view.id) {
            return;
        }
        let target = view.id.clone();
        let first_ticket = rendezvous::score(&self.identity.vm, self.identity.seed) >> 1;
        let first_ticket = first_ticket.wrapping_add(rendezvous::key_of(&target) >> 1);
        let concurrency = view.spec.concurrency;
        let queue = TicketQueue::new(concurrency, first_ticket, view.added_at);
        self.queues.insert(target, queue);
        self.update_leaving(index, now);
        // The next tick reads the load of the target, which may already run calls of the previous owner.
        self.last_poll = Uptime::ZERO;
    }

    /// Applies to the queue whether its target is leaving or removed.
    pub(super) fn update_leaving(&mut self, index: usize, now: Uptime) {
        let view = &self.views[index];
        let leaving = view.is_leaving(now) || view.removed;
        let target = view.id.clone();
        if let Some(queue) = self.queues.get_mut(&target)
            && queue.is_leaving() != leaving
        {
            let replies = queue.set_leaving(leaving, now);
            self.send_replies(&target, replies, now);
        }
    }

    /// Expires tickets, and closes empty queues of targets that this VM no longer owns.
    pub(super) fn tick_queues(&mut self, now: Uptime) {
        self.set_reserves(now);
        let targets = self.queues.keys().cloned().collect::<Vec<_>>();
        for target in targets {
            let index = self.view_indices.get(&target).copied();
            if let Some(index) = index {
                self.update_leaving(index, now);
            }
            let Some(queue) = self.queues.get_mut(&target) else {
                continue;
            };
            let replies = queue.tick(now);
            let is_empty = queue.issued_tickets() == 0 && queue.waiting() == (0, 0);
            self.send_replies(&target, replies, now);
            let owned = index
                .is_some_and(|index| self.views[index].owner.as_ref() == Some(&self.identity.vm));
            if is_empty && !owned {
                self.queues.remove(&target);
            }
        }
    }

    /// Distributes the slots reserved for online requests over the targets of each service that this VM owns.
    fn set_reserves(&mut self, now: Uptime) {
        let mut groups: HashMap<ServiceName, (u32, u32)> = HashMap::new();
        let mut left: HashMap<ServiceName, u32> = HashMap::new();
        for (target, queue) in &self.queues {
            if let Some(&index) = self.view_indices.get(target) {
                let service = self.views[index].spec.service.clone();
                let (slots, targets) = groups.entry(service).or_default();
                *slots += queue.limit(now);
                *targets += 1;
            }
        }
        for (target, queue) in &mut self.queues {
            let Some(&index) = self.view_indices.get(target) else {
                continue;
            };
            let service = &self.views[index].spec.service;
            let (slots, targets) = groups.get(service).copied().unwrap_or_default();
            let wanted = slots.div_ceil(RESERVE_DIVISOR);
            let left = left.entry(service.clone()).or_insert(wanted);
            let share = wanted.div_ceil(targets.max(1)).min(*left);
            *left -= share;
            queue.set_reserve(share);
        }
    }

    pub(super) fn send_replies(
        &mut self,
        target: &TargetId,
        replies: Vec<OwnerReply>,
        now: Uptime,
    ) {
        for reply in replies {
            self.send(&reply.to, target, reply.body, now);
        }
    }

    /// Whether this VM keeps the queue of a target. The member view of the sender may be newer, so a queue is opened on
    /// request for any target of the own failure domain, even if this VM does not consider itself the owner.
    fn has_queue(&mut self, target: &TargetId, now: Uptime) -> bool {
        if self.queues.contains_key(target) {
            return true;
        }
        let Some(&index) = self.view_indices.get(target) else {
            return false;
        };
        let view = &self.views[index];
        if view.distance != Distance::Domain || view.removed {
            return false;
        }
        let concurrency = view.spec.concurrency;
        let first_ticket = rendezvous::score(target, self.identity.seed) >> 1;
        let queue = TicketQueue::new(concurrency, first_ticket, view.added_at);
        self.queues.insert(target.clone(), queue);
        self.update_leaving(index, now);
        true
    }

    /// Another owned target of the same service to grant instead, if the requested one has no free slot: one with free
    /// slots, or for online requests one whose newest batch call can be preempted.
    fn redirect(&self, target: &TargetId, body: &MessageBody, now: Uptime) -> Option<TargetId> {
        let MessageBody::Ask {
            class,
            flexible: true,
            ..
        } = body
        else {
            return None;
        };
        let wanted = self.queues.get(target)?;
        if wanted.spare(*class, now) > 0 {
            return None;
        }
        let service = &self.views[*self.view_indices.get(target)?].spec.service;
        let others = self.queues.iter().filter(|(other, _)| {
            let view = self
                .view_indices
                .get(*other)
                .map(|index| &self.views[*index]);
            view.is_some_and(|view| {
                view.spec.service == *service && view.owner.as_ref() == Some(&self.identity.vm)
            })
        });
        // Without a free slot, the newest batch ticket of the group is preempted, which loses the least work.
        let others = others.map(|(other, queue)| {
            let spare = queue.spare(*class, now);
            let newest = queue
                .newest_batch()
                .filter(|_| *class == TrafficClass::Online);
            ((spare, newest), other)
        });
        let (best, other) = others.max_by_key(|(best, _)| *best)?;
        (best > (0, None)).then(|| other.clone())
    }

    fn refuse_unowned(&mut self, from: &VmId, target: &TargetId, body: &MessageBody, now: Uptime) {
        if let MessageBody::Ask { request, .. } = body {
            let refusal = MessageBody::Refuse {
                request: *request,
                retry_after_ms: 1_000,
                leaving: false,
                load: QueueLoad::default(),
            };
            self.send(from, target, refusal, now);
        }
    }

    fn owner_request(&self, from: &VmId, body: &MessageBody) -> Option<OwnerRequest> {
        let MessageBody::Ask {
            request,
            class,
            organisation,
            wait_ms,
            ..
        } = body
        else {
            return None;
        };
        // Requests of open routes have no organisation and share one lane of the fair queue.
        let organisation = organisation.clone().unwrap_or_else(OrganisationId::default);
        let spec = self.config.organisations.get(&organisation);
        Some(OwnerRequest {
            vm: from.clone(),
            request: *request,
            class: *class,
            weight: spec.map_or(1, |spec| spec.weight),
            organisation,
            wait: Duration::from_millis(u64::from(*wait_ms)),
        })
    }
}
