//! Grants, preemptions and recalls of tickets.

use super::{IssuedTicket, QueuedRequest, TICKET_DURATION, TicketQueue};
use crate::dispatcher::TrafficClass;
use crate::message::{MessageBody, TicketId};
use plantainmill_core::{Uptime, VmId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a release after which a preemption is sent again.
const PREEMPT_RESEND_INTERVAL: Duration = Duration::from_millis(200);

impl TicketQueue {
    /// Preempts batch tickets for queued online requests, and grants tickets while there is room. Standing tickets are
    /// recalled if requests stay queued.
    pub(super) fn schedule(&mut self, now: Uptime) {
        if self.leaving {
            return;
        }
        self.preempt(now);
        while !self.online.is_empty() && self.has_online_room(now) {
            let queued = self.online.pop();
            self.grant(queued, TrafficClass::Online, now);
        }
        while self.online.is_empty() && !self.batch.is_empty() && self.has_batch_room(now) {
            let queued = self.batch.pop();
            self.grant(queued, TrafficClass::Batch, now);
        }
        if !self.online.is_empty() || !self.batch.is_empty() {
            self.recall();
        }
    }

    /// Whether an online request fits. Preempted tickets do not count against the window, because their calls are
    /// ending, but they count against the configured concurrency.
    fn has_online_room(&self, now: Uptime) -> bool {
        let used = self.used() + self.external_requests;
        used < self.concurrency && used - self.preempting() < self.limit(now)
    }

    fn has_batch_room(&self, now: Uptime) -> bool {
        self.used() + self.external_requests < self.batch_limit(now)
    }

    /// Number of requests at the target up to which batch tickets are granted.
    pub(super) fn batch_limit(&self, now: Uptime) -> u32 {
        let limit = self.limit(now);
        // Otherwise a target with a single slot could never run batch calls.
        limit.saturating_sub(self.reserve).max(1)
    }

    fn preempt(&mut self, now: Uptime) {
        let used = self.used() + self.external_requests;
        let staying = used - self.preempting();
        let free = self.limit(now).saturating_sub(staying);
        let waiting = u32::try_from(self.online.len()).unwrap_or(u32::MAX);
        let mut needed = waiting.saturating_sub(free);
        let mut by_vm: BTreeMap<VmId, Vec<TicketId>> = BTreeMap::new();
        // The newest calls are preempted first, which loses the least work.
        for (id, ticket) in self.tickets.iter_mut().rev() {
            let resend = ticket
                .preempted
                .is_some_and(|at| now >= at + PREEMPT_RESEND_INTERVAL);
            let chosen =
                needed > 0 && ticket.class == TrafficClass::Batch && ticket.preempted.is_none();
            if chosen {
                needed -= 1;
            }
            if chosen || resend {
                ticket.preempted = Some(now);
                by_vm.entry(ticket.vm.clone()).or_default().push(*id);
            }
        }
        for (vm, tickets) in by_vm {
            self.reply(&vm, MessageBody::Preempt { tickets });
        }
    }

    fn grant(&mut self, queued: Option<QueuedRequest>, class: TrafficClass, now: Uptime) {
        let Some(queued) = queued else {
            return;
        };
        self.next_ticket += 1;
        let lightly_loaded = self.online.is_empty()
            && self.batch.is_empty()
            && (self.used() + self.external_requests) * 4 < self.limit(now) * 3;
        let ticket = IssuedTicket {
            vm: queued.vm,
            request: queued.request,
            class,
            keep: lightly_loaded && class == TrafficClass::Online,
            granted: now,
            expires: now + TICKET_DURATION,
            preempted: None,
            standing: false,
        };
        self.tickets.insert(self.next_ticket, ticket);
        self.peak_tickets[0] = self.peak_tickets[0].max(self.used());
        self.send_grant(self.next_ticket, now);
    }

    pub(super) fn send_grant(&mut self, ticket: TicketId, now: Uptime) {
        let load = self.load(now);
        let Some(held) = self.tickets.get(&ticket) else {
            return;
        };
        let left = held.expires.saturating_sub(now);
        let body = MessageBody::Grant {
            request: held.request,
            ticket,
            duration_ms: u32::try_from(left.as_millis()).unwrap_or(0),
            keep: held.keep,
            load,
        };
        let vm = held.vm.clone();
        self.reply(&vm, body);
    }

    /// Recalls the tickets that VMs may keep, once each.
    pub(super) fn recall(&mut self) {
        let mut vms = Vec::new();
        for ticket in self.tickets.values_mut() {
            if ticket.keep {
                ticket.keep = false;
                vms.push(ticket.vm.clone());
            }
        }
        vms.sort_unstable();
        vms.dedup();
        let leaving = self.leaving;
        for vm in vms {
            self.reply(&vm, MessageBody::Recall { leaving });
        }
    }
}
