//! Replies of owners to this VM as a gateway.

use super::acquire::OWNER_LIMIT;
use super::{DispatchNode, DispatchOutput, NO_OUTCOME, is_batch};
use crate::message::{MessageBody, QueueLoad, RequestId, TicketId};
use crate::ticket_queue::TICKET_DURATION;
use plantainmill_core::{TargetId, Uptime, VmId};
use std::time::Duration;

/// Time by which a holder lets a ticket expire early. The holder counts its duration from the receipt, the owner from
/// the sending of the grant; the margin covers the delay between them.
const EXPIRY_MARGIN: Duration = Duration::from_millis(250);

/// A ticket from a `Grant` message, with its expiry on the clock of this VM.
struct GrantedTicket {
    request: RequestId,
    ticket: TicketId,
    expires: Uptime,
    keep: bool,
}

impl DispatchNode {
    pub(super) fn handle_reply(
        &mut self,
        from: &VmId,
        target: &TargetId,
        body: MessageBody,
        now: Uptime,
    ) {
        self.record_reply(from);
        let Some(&index) = self.view_indices.get(target) else {
            return;
        };
        if self.views[index].owner.as_ref() != Some(from) {
            self.return_unowned_grant(from, target, &body, now);
            return;
        }
        match body {
            MessageBody::Grant {
                request,
                ticket,
                duration_ms,
                keep,
                load,
            } => {
                let duration = Duration::from_millis(u64::from(duration_ms));
                let expires = now + duration.saturating_sub(EXPIRY_MARGIN);
                let granted = GrantedTicket {
                    request,
                    ticket,
                    expires,
                    keep,
                };
                self.accept_grant(index, &granted, load, now);
            }
            MessageBody::Queued { request, load } => self.handle_queued(index, request, load, now),
            MessageBody::Refuse {
                request,
                retry_after_ms,
                leaving,
                load,
            } => {
                self.views[index].set_load(load, now);
                self.record_leaving(index, leaving, now);
                let delay = Duration::from_millis(u64::from(retry_after_ms));
                self.handle_refusal(index, request, delay, now);
            }
            MessageBody::State {
                unknown,
                lapsed,
                leaving,
                load,
            } => {
                self.views[index].set_load(load, now);
                self.record_leaving(index, leaving, now);
                self.handle_renewed(index, &lapsed);
                self.ask_again(index, &unknown, now);
            }
            MessageBody::Recall { leaving } => {
                self.record_leaving(index, leaving, now);
                self.return_standing(index, now);
            }
            MessageBody::Preempt { tickets } => self.preempt(index, &tickets, now),
            _ => {}
        }
    }

    /// Releases a ticket granted by a VM that this VM does not consider the owner.
    fn return_unowned_grant(
        &mut self,
        from: &VmId,
        target: &TargetId,
        body: &MessageBody,
        now: Uptime,
    ) {
        if let MessageBody::Grant { ticket, .. } = body {
            let release = MessageBody::Release {
                ticket: *ticket,
                outcome: NO_OUTCOME,
            };
            self.send(from, target, release, now);
        }
    }

    fn accept_grant(
        &mut self,
        index: usize,
        granted: &GrantedTicket,
        load: QueueLoad,
        now: Uptime,
    ) {
        if self.views[index].holding.contains(granted.ticket) {
            // The message is a duplicate.
            return;
        }
        let asked = self.pending.get(&granted.request).is_some_and(|pending| {
            let owner = &self.views[index].owner;
            let mut open = pending.owner_requests.iter();
            open.any(|sent| self.views[sent.index].owner == *owner)
        });
        let pending = if asked && !self.views[index].is_leaving(now) {
            self.pending.remove(&granted.request)
        } else {
            None
        };
        let Some(pending) = pending else {
            self.release(index, granted.ticket, NO_OUTCOME, now);
            return;
        };
        let holding = &mut self.views[index].holding;
        holding.add_running(granted.ticket, granted.expires, granted.keep, now);
        let request = granted.request;
        self.start(request, &pending, index, Some(granted.ticket), now);
        // The load in the grant includes this ticket, so it is recorded after `start` has counted the call in the view.
        self.views[index].set_load(load, now);
    }

    fn handle_queued(&mut self, index: usize, request: RequestId, load: QueueLoad, now: Uptime) {
        self.views[index].set_load(load, now);
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        for sent in &mut pending.owner_requests {
            sent.queued |= sent.index == index;
        }
        if pending.owner_requests.len() < OWNER_LIMIT && !is_batch(pending.request.class) {
            self.place_request(request, false, now);
        }
    }

    fn handle_refusal(&mut self, index: usize, request: RequestId, delay: Duration, now: Uptime) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let before = pending.owner_requests.len();
        pending.owner_requests.retain(|sent| sent.index != index);
        if pending.owner_requests.len() == before {
            return;
        }
        pending.tried.push(index);
        pending.refusals += u32::from(!self.views[index].is_leaving(now));
        let earlier = pending.retry_after.unwrap_or(delay);
        pending.retry_after = Some(earlier.min(delay));
        self.place_request(request, false, now);
    }

    fn record_leaving(&mut self, index: usize, leaving: bool, now: Uptime) {
        self.views[index].set_leaving(leaving, now);
        if leaving {
            self.return_standing(index, now);
        }
    }

    fn handle_renewed(&mut self, index: usize, lapsed: &[TicketId]) {
        let view = &mut self.views[index];
        view.holding.drop_lapsed(lapsed);
        if let Some(sent) = view.renewal_sent.take() {
            view.holding
                .extend(sent + TICKET_DURATION.saturating_sub(EXPIRY_MARGIN));
        }
    }

    fn ask_again(&mut self, index: usize, unknown: &[RequestId], now: Uptime) {
        for id in unknown {
            let Some(pending) = self.pending.get(id) else {
                continue;
            };
            if pending
                .owner_requests
                .iter()
                .any(|sent| sent.index == index)
            {
                let request = pending.request.clone();
                let expires = pending.expires;
                self.ask_owner(*id, &request, expires, index, now);
            }
        }
    }

    pub(super) fn return_standing(&mut self, index: usize, now: Uptime) {
        let tickets = self.views[index].holding.recall();
        for ticket in tickets {
            self.release(index, ticket, NO_OUTCOME, now);
        }
    }

    fn preempt(&mut self, index: usize, tickets: &[TicketId], now: Uptime) {
        for ticket in tickets {
            let mut calls = self.running.iter();
            let call = calls.find(|(_, call)| call.index == index && call.ticket == Some(*ticket));
            if let Some((&request, _)) = call {
                self.counts.preempted += 1;
                self.outputs.push(DispatchOutput::Preempted { request });
            } else {
                // The call has ended, but its release was lost.
                self.release(index, *ticket, NO_OUTCOME, now);
            }
        }
    }
}
