//! Completion of calls, return of tickets, and ejection of targets.

use super::{DispatchNode, RunningCall};
use crate::dispatcher::CallOutcome;
use crate::holding::TicketReturn;
use crate::message::{MessageBody, RequestId, TicketId};
use plantainmill_core::Uptime;

impl DispatchNode {
    /// Records how the call of a granted request ended, and returns its ticket.
    pub fn finish(&mut self, id: RequestId, outcome: CallOutcome, now: Uptime) {
        let Some(call) = self.running.remove(&id) else {
            return;
        };
        self.record_health(call.index, outcome, now);
        let view = &mut self.views[call.index];
        view.in_flight = view.in_flight.saturating_sub(1);
        match call.ticket {
            Some(ticket) => self.return_ticket(&call, ticket, outcome, now),
            None => view.unticketed = view.unticketed.saturating_sub(1),
        }
        self.process_local_messages(now);
        self.retry_parked(now);
        self.process_local_messages(now);
    }

    /// Releases a ticket to the owner of its target.
    pub(super) fn release(
        &mut self,
        index: usize,
        ticket: TicketId,
        outcome: CallOutcome,
        now: Uptime,
    ) {
        let view = &self.views[index];
        let Some(owner) = view.owner.clone() else {
            return;
        };
        let target = view.id.clone();
        let body = MessageBody::Release { ticket, outcome };
        self.send(&owner, &target, body, now);
    }

    fn return_ticket(
        &mut self,
        call: &RunningCall,
        ticket: TicketId,
        outcome: CallOutcome,
        now: Uptime,
    ) {
        let view = &mut self.views[call.index];
        let keep = view.holding.finish(ticket, now) == TicketReturn::Kept;
        if keep && !view.is_leaving(now) {
            view.observe(outcome);
        } else {
            self.release(call.index, ticket, outcome, now);
        }
    }

    fn record_health(&mut self, index: usize, outcome: CallOutcome, now: Uptime) {
        let may_eject = self.may_eject(index);
        let health = &mut self.views[index].health;
        let was_ejected = health.is_ejected();
        if health.record(outcome, may_eject, now) {
            self.counts.ejected += 1;
            tracing::warn!(target = %self.views[index].id, "target ejected after repeated failures");
        } else if was_ejected && !self.views[index].health.is_ejected() {
            self.counts.returned += 1;
            tracing::info!(target = %self.views[index].id, "ejected target readmitted after a successful call");
        }
    }

    /// Whether at least half of the service's targets stay in use if one more is ejected.
    fn may_eject(&self, index: usize) -> bool {
        let service = &self.views[index].spec.service;
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let targets = service.targets.iter();
        let ejected = targets.filter(|index| self.views[**index].health.is_ejected());
        (ejected.count() + 1) * 2 <= service.targets.len()
    }
}
