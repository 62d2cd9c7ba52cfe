//! Admission queue of one target, kept by its owner VM.

mod grants;

use crate::dispatcher::{CallOutcome, TrafficClass};
use crate::fair_queue::FairQueue;
use crate::message::{MessageBody, QueueLoad, RequestId, TicketId};
use crate::window::ConcurrencyWindow;
use plantainmill_core::{OrganisationId, Uptime, VmId};
use plantainmill_provider::LoadReport;
use std::collections::BTreeMap;
use std::time::Duration;

/// Lifetime of a ticket without renewal. Less than the 3 s within which a leaving target has to be idle.
pub const TICKET_DURATION: Duration = Duration::from_millis(2_500);
/// Longest queue per target and class; further requests are refused.
const QUEUE_LIMIT: usize = 512;
/// Lifetime of a queued request without renewal. After it, the VM of the request is considered lost.
const VM_TIMEOUT: Duration = Duration::from_secs(3);
/// Mean holding time of tickets that is assumed before the first release.
const INITIAL_HOLD: Duration = Duration::from_secs(1);
/// Weight of a new holding time in the moving average.
const HOLD_GAIN: f64 = 0.1;
/// Time over which the limit of a new target rises to its concurrency.
const WARM_UP: Duration = Duration::from_secs(20);

/// A message of the owner about the target of the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerReply {
    /// VM that the message goes to.
    pub to: VmId,
    /// Content of the message.
    pub body: MessageBody,
}

/// A request for a ticket, as the owner receives it.
#[derive(Clone, Debug)]
pub struct OwnerRequest {
    /// VM that asks.
    pub vm: VmId,
    /// Identifies the request at that VM.
    pub request: RequestId,
    /// Traffic class, which selects the queue.
    pub class: TrafficClass,
    /// Organisation; empty on open routes.
    pub organisation: OrganisationId,
    /// Weight of the organisation: its requests per round of the fair queue.
    pub weight: u32,
    /// Longest useful wait; online requests that would exceed it are refused at once.
    pub wait: Duration,
}

#[derive(Debug)]
struct QueuedRequest {
    vm: VmId,
    request: RequestId,
    expires: Uptime,
    last_renewed: Uptime,
}

#[derive(Debug)]
struct IssuedTicket {
    vm: VmId,
    request: RequestId,
    class: TrafficClass,
    keep: bool,
    granted: Uptime,
    expires: Uptime,
    preempted: Option<Uptime>,
    /// The latest renewal listed it as a standing ticket.
    standing: bool,
}

/// State machine of the admission queue of one target.
#[derive(Debug)]
pub struct TicketQueue {
    concurrency: u32,
    window: ConcurrencyWindow,
    warm_up_since: Option<Uptime>,
    tickets: BTreeMap<TicketId, IssuedTicket>,
    online: FairQueue<QueuedRequest>,
    batch: FairQueue<QueuedRequest>,
    /// Slots kept free of batch calls for arriving online requests.
    reserve: u32,
    mean_hold: Duration,
    next_ticket: TicketId,
    leaving: bool,
    /// Requests at the target that no ticket of this owner covers, according to the load reports.
    external_requests: u32,
    /// Largest number of issued tickets in each of the latest report intervals, newest first.
    peak_tickets: [u32; 4],
    replies: Vec<OwnerReply>,
}

impl TicketQueue {
    /// An empty queue for a target of `concurrency`. Ticket ids count up from `first_ticket`; `warm_up_since` is the
    /// time at which a new target was added to the configuration.
    #[must_use]
    pub fn new(
        concurrency: u32,
        first_ticket: TicketId,
        warm_up_since: Option<Uptime>,
    ) -> TicketQueue {
        TicketQueue {
            concurrency: concurrency.max(1),
            window: ConcurrencyWindow::with_size(concurrency, concurrency.div_ceil(2)),
            warm_up_since,
            tickets: BTreeMap::new(),
            online: FairQueue::default(),
            batch: FairQueue::default(),
            reserve: 1,
            mean_hold: INITIAL_HOLD,
            next_ticket: first_ticket,
            leaving: false,
            external_requests: 0,
            peak_tickets: [0; 4],
            replies: Vec::new(),
        }
    }

    /// Applies a changed concurrency from the configuration.
    pub fn set_concurrency(&mut self, concurrency: u32) {
        self.concurrency = concurrency.max(1);
        self.window.set_ceiling(concurrency);
    }

    /// Sets the number of slots that are kept free of batch calls.
    pub fn set_reserve(&mut self, reserve: u32) {
        self.reserve = reserve;
    }

    /// Stops or resumes grants. When the target starts to leave, standing tickets are recalled and queued requests
    /// refused.
    pub fn set_leaving(&mut self, leaving: bool, now: Uptime) -> Vec<OwnerReply> {
        if leaving && !self.leaving {
            self.leaving = true;
            self.recall();
            self.refuse_waiting();
        }
        self.leaving = leaving;
        self.schedule_and_take_replies(now)
    }

    /// Whether grants are stopped because the target is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Number of issued tickets, standing ones included.
    #[must_use]
    pub fn issued_tickets(&self) -> usize {
        self.tickets.len()
    }

    /// Number of queued requests: online and batch.
    #[must_use]
    pub fn waiting(&self) -> (usize, usize) {
        (self.online.len(), self.batch.len())
    }

    /// Number of requests that may be at the target, by its window, its concurrency and its warm-up.
    #[must_use]
    pub fn limit(&self, now: Uptime) -> u32 {
        let size = self.window.size().min(self.concurrency);
        let Some(since) = self.warm_up_since else {
            return size;
        };
        let passed = now.saturating_sub(since);
        if passed >= WARM_UP {
            return size;
        }
        let full = u128::from(self.concurrency) * passed.as_millis() / WARM_UP.as_millis();
        size.min(u32::try_from(full).unwrap_or(u32::MAX).max(1))
    }

    /// Grants, queues or refuses a request for a ticket. A retry of a granted request receives the same ticket again.
    pub fn ask(&mut self, incoming: &OwnerRequest, now: Uptime) -> Vec<OwnerReply> {
        if self.leaving {
            self.refuse(incoming, Duration::from_secs(1), now);
            return self.schedule_and_take_replies(now);
        }
        if let Some(ticket) = self.ticket_of(incoming) {
            self.send_grant(ticket, now);
            return self.schedule_and_take_replies(now);
        }
        self.withdraw(&incoming.vm, incoming.request);
        let expected = self.expected_wait(incoming, now);
        let queue = self.queue(incoming.class);
        let too_long = incoming.class == TrafficClass::Online && expected > incoming.wait;
        if too_long || queue.len() >= QUEUE_LIMIT {
            self.refuse(incoming, expected, now);
            return self.schedule_and_take_replies(now);
        }
        let waiting = QueuedRequest {
            vm: incoming.vm.clone(),
            request: incoming.request,
            expires: now + incoming.wait,
            last_renewed: now,
        };
        queue.push(&incoming.organisation, incoming.weight, waiting);
        self.schedule(now);
        self.acknowledge(incoming, now);
        self.schedule_and_take_replies(now)
    }

    /// Removes a request from the queue. If it was granted meanwhile, its VM releases the ticket.
    pub fn cancel(&mut self, vm: &VmId, request: RequestId, now: Uptime) -> Vec<OwnerReply> {
        self.withdraw(vm, request);
        self.schedule_and_take_replies(now)
    }

    /// Returns a ticket. Unknown tickets are ignored: they have expired or were already released.
    pub fn release(
        &mut self,
        vm: &VmId,
        ticket: TicketId,
        outcome: CallOutcome,
        now: Uptime,
    ) -> Vec<OwnerReply> {
        let held = self.tickets.get(&ticket);
        if held.is_some_and(|held| held.vm == *vm) {
            self.observe(outcome, now);
            if let Some(held) = self.tickets.remove(&ticket) {
                self.update_mean_hold(&held, outcome, now);
            }
        }
        self.schedule_and_take_replies(now)
    }

    /// Renews the tickets and queued requests of a VM.
    pub fn renew(&mut self, vm: &VmId, body: &RenewBody<'_>, now: Uptime) -> Vec<OwnerReply> {
        for outcome in body.observed {
            self.observe(*outcome, now);
        }
        for ticket in body.running {
            self.renew_running(vm, *ticket, now);
        }
        let lapsed = body.standing.iter().copied();
        let lapsed = lapsed.filter(|ticket| !self.renew_standing(vm, *ticket, now));
        let lapsed = lapsed.collect();
        let unknown = body.waiting.iter().copied();
        let unknown = unknown.filter(|request| !self.renew_waiting(vm, *request, now));
        let unknown = unknown.collect();
        let state = MessageBody::State {
            unknown,
            lapsed,
            leaving: self.leaving,
            load: self.load(now),
        };
        self.reply(vm, state);
        self.schedule_and_take_replies(now)
    }

    /// Applies a load report of the target.
    pub fn report(&mut self, report: &LoadReport, now: Uptime) -> Vec<OwnerReply> {
        let present = report.running + report.waiting;
        // The report lags: it may include the calls of any ticket that was out during the lag.
        let covered = self.peak_tickets.iter().copied().max().unwrap_or(0);
        self.external_requests = present.saturating_sub(covered);
        self.peak_tickets.rotate_right(1);
        self.peak_tickets[0] = self.used();
        self.window.on_report(report, self.used(), now);
        self.schedule_and_take_replies(now)
    }

    /// Expires tickets and waiting requests, and resends preemptions.
    pub fn tick(&mut self, now: Uptime) -> Vec<OwnerReply> {
        self.tickets.retain(|_, ticket| now < ticket.expires);
        for queue in [&mut self.online, &mut self.batch] {
            if !queue.is_empty() {
                queue.retain(|each| now < each.expires && now < each.last_renewed + VM_TIMEOUT);
            }
        }
        self.schedule_and_take_replies(now)
    }

    /// Load of the target as reported to VMs; zero when it is leaving.
    #[must_use]
    pub fn load(&self, now: Uptime) -> QueueLoad {
        if self.leaving {
            return QueueLoad::default();
        }
        let used = self.used() + self.external_requests;
        let online = used - self.batch_running();
        let queued = u32::try_from(self.online.len()).unwrap_or(u32::MAX);
        QueueLoad {
            // Standing tickets occupy slots, but put no load on the target.
            used: used - self.standing_count(),
            free: self.limit(now).saturating_sub(online + queued),
            spare: self.limit(now).saturating_sub(used + queued),
            idle: self.batch_limit(now).saturating_sub(used),
            queued,
        }
    }

    /// Number of slots that requests of `class` can take without waiting and without a preemption.
    #[must_use]
    pub fn spare(&self, class: TrafficClass, now: Uptime) -> u32 {
        let load = self.load(now);
        match class {
            TrafficClass::Online => load.spare,
            TrafficClass::Batch if self.batch.is_empty() && self.online.is_empty() => load.idle,
            TrafficClass::Batch => 0,
        }
    }

    /// Grant time of the newest batch ticket that is not yet preempted.
    #[must_use]
    pub fn newest_batch(&self) -> Option<Uptime> {
        let tickets = self.tickets.values().rev();
        let mut batch = tickets
            .filter(|ticket| ticket.class == TrafficClass::Batch && ticket.preempted.is_none());
        batch.next().map(|ticket| ticket.granted)
    }

    fn used(&self) -> u32 {
        u32::try_from(self.tickets.len()).unwrap_or(u32::MAX)
    }

    fn preempting(&self) -> u32 {
        let tickets = self.tickets.values();
        let count = tickets.filter(|ticket| ticket.preempted.is_some()).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn standing_count(&self) -> u32 {
        let tickets = self.tickets.values();
        let count = tickets.filter(|ticket| ticket.standing).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn batch_running(&self) -> u32 {
        let tickets = self.tickets.values();
        let count = tickets
            .filter(|ticket| ticket.class == TrafficClass::Batch)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn queue(&mut self, class: TrafficClass) -> &mut FairQueue<QueuedRequest> {
        match class {
            TrafficClass::Online => &mut self.online,
            TrafficClass::Batch => &mut self.batch,
        }
    }

    fn withdraw(&mut self, vm: &VmId, request: RequestId) {
        for queue in [&mut self.online, &mut self.batch] {
            if !queue.is_empty() {
                queue.retain(|queued| queued.request != request || queued.vm != *vm);
            }
        }
    }

    fn ticket_of(&self, incoming: &OwnerRequest) -> Option<TicketId> {
        let mut tickets = self.tickets.iter();
        let found =
            tickets.find(|(_, held)| held.request == incoming.request && held.vm == incoming.vm);
        found.map(|(ticket, _)| *ticket)
    }

    /// Expected wait of a further request, from the queued requests of its organisation and the share of the
    /// organisation.
    fn expected_wait(&self, incoming: &OwnerRequest, now: Uptime) -> Duration {
        let limit = self.limit(now);
        // Slots of batch calls count as free, because preempted calls end within milliseconds.
        let online = self.used().saturating_sub(self.batch_running());
        let free = limit.saturating_sub(online);
        let waiting = u32::try_from(self.online.len()).unwrap_or(u32::MAX);
        if incoming.class == TrafficClass::Batch || waiting < free {
            return Duration::ZERO;
        }
        let own_weight = incoming.weight.max(1);
        let weights = own_weight + self.online.weight_of_others(&incoming.organisation);
        let before = self.online.len_of(&incoming.organisation);
        let before = u32::try_from(before).unwrap_or(u32::MAX).saturating_add(1);
        let share = f64::from(weights) / f64::from(own_weight);
        let release_interval = self.mean_hold.as_secs_f64() / f64::from(limit.max(1));
        Duration::from_secs_f64((f64::from(before) * share * release_interval).min(3_600.0))
    }

    fn refuse(&mut self, incoming: &OwnerRequest, retry_after: Duration, now: Uptime) {
        let millis = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
        let body = MessageBody::Refuse {
            request: incoming.request,
            retry_after_ms: millis,
            leaving: self.leaving,
            load: self.load(now),
        };
        self.reply(&incoming.vm, body);
    }

    fn refuse_waiting(&mut self) {
        let online = std::mem::take(&mut self.online);
        let batch = std::mem::take(&mut self.batch);
        for queued in online.iter().chain(batch.iter()) {
            let body = MessageBody::Refuse {
                request: queued.request,
                retry_after_ms: 1_000,
                leaving: true,
                load: QueueLoad::default(),
            };
            self.reply(&queued.vm, body);
        }
    }

    fn acknowledge(&mut self, incoming: &OwnerRequest, now: Uptime) {
        let granted = self.replies.iter().any(|reply| {
            matches!(&reply.body, MessageBody::Grant { request, .. } if *request == incoming.request)
                && reply.to == incoming.vm
        });
        if !granted {
            let body = MessageBody::Queued {
                request: incoming.request,
                load: self.load(now),
            };
            self.reply(&incoming.vm, body);
        }
    }

    fn observe(&mut self, outcome: CallOutcome, now: Uptime) {
        match outcome {
            CallOutcome::Completed { first_byte } => {
                let used = self.used();
                self.window.on_first_byte(first_byte, used, now);
            }
            CallOutcome::Rejected => self.window.on_rejected(now),
            CallOutcome::ConnectionLost
            | CallOutcome::StreamLost
            | CallOutcome::Failed
            | CallOutcome::Abandoned => {}
        }
    }

    fn update_mean_hold(&mut self, held: &IssuedTicket, outcome: CallOutcome, now: Uptime) {
        let completed = matches!(outcome, CallOutcome::Completed { .. });
        if completed && held.class == TrafficClass::Online && !held.keep {
            let seconds = now.saturating_sub(held.granted).as_secs_f64();
            let mean = self.mean_hold.as_secs_f64();
            self.mean_hold = Duration::from_secs_f64(mean + HOLD_GAIN * (seconds - mean));
        }
    }

    fn renew_running(&mut self, vm: &VmId, ticket: TicketId, now: Uptime) {
        let expires = now + TICKET_DURATION;
        let held = self.tickets.entry(ticket).or_insert(IssuedTicket {
            vm: vm.clone(),
            request: 0,
            // The class of an adopted ticket is unknown; as an online ticket it is never preempted.
            class: TrafficClass::Online,
            keep: false,
            granted: now,
            expires,
            preempted: None,
            standing: false,
        });
        if held.vm == *vm {
            held.expires = expires;
            held.standing = false;
        }
    }

    fn renew_standing(&mut self, vm: &VmId, ticket: TicketId, now: Uptime) -> bool {
        let held = self.tickets.get_mut(&ticket);
        let Some(held) = held.filter(|held| held.vm == *vm) else {
            return false;
        };
        held.expires = now + TICKET_DURATION;
        held.standing = true;
        held.keep
    }

    fn renew_waiting(&mut self, vm: &VmId, request: RequestId, now: Uptime) -> bool {
        let requests = self.online.iter_mut().chain(self.batch.iter_mut());
        let mut found = requests.filter(|queued| queued.request == request && queued.vm == *vm);
        let Some(queued) = found.next() else {
            return false;
        };
        queued.last_renewed = now;
        true
    }

    fn reply(&mut self, to: &VmId, body: MessageBody) {
        let to = to.clone();
        self.replies.push(OwnerReply { to, body });
    }

    /// Grants and preempts tickets after an input, and returns all replies to it.
    fn schedule_and_take_replies(&mut self, now: Uptime) -> Vec<OwnerReply> {
        self.schedule(now);
        std::mem::take(&mut self.replies)
    }
}

/// Content of a `Renew` message.
#[derive(Clone, Copy, Debug)]
pub struct RenewBody<'a> {
    /// Tickets of running calls.
    pub running: &'a [TicketId],
    /// Standing tickets.
    pub standing: &'a [TicketId],
    /// Requests that the VM believes to be queued.
    pub waiting: &'a [RequestId],
    /// Outcomes of calls on standing tickets since the last renewal.
    pub observed: &'a [CallOutcome],
}
