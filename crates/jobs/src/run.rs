//! Runs one item until it has a result: in idle slots, going on where it stopped.

use crate::stored::{ItemState, JobItem, ListedResult};
use awc::http::Method;
use awc::http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use compact_str::CompactString;
use futures_util::StreamExt as _;
use plantainmill_core::{Clock, Executed, OrganisationId, TargetId, Uptime, wait_set};
use plantainmill_dispatch::{CallOutcome, TargetTicket, TrafficClass};
use plantainmill_proxy::relay::{
    EventSplitter, RelayCall, RelayCaller, SendFailure, TargetResponse, check_order, send_once,
};
use plantainmill_routing::{DocumentView, RouteRule};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Status of an item that can never be done.
const IMPOSSIBLE: u16 = 422;
/// Status of a target that ran an item and failed.
const FAILED: u16 = 500;
/// Longest silence of a target that runs an item. Several times the pause between events at a slow target.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause before a repeat when there is no document, no route or no target.
const IDLE_PAUSE: Duration = Duration::from_millis(200);
/// Pause before a repeat after a target failed the item.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// What all items of a VM are run with.
pub(crate) struct RunParts {
    pub caller: RelayCaller,
    pub view: DocumentView,
    pub clock: Arc<dyn Clock>,
}

/// What the items of one job share.
pub(crate) struct RunJob {
    pub organisation: OrganisationId,
    pub host: CompactString,
    /// When the results are due.
    pub due: Uptime,
    /// When items are given up.
    pub given_up: Uptime,
}

/// An item with what it has of its answer.
struct ItemRun {
    parts: Rc<RunParts>,
    job: Rc<RunJob>,
    item: JobItem,
    output: Vec<u8>,
    has_events: bool,
    last_event: Option<u64>,
    failures: u32,
    excluded: Vec<TargetId>,
}

/// How one send ended.
enum SendEnd {
    Succeeded,
    Impossible,
    /// The target ran the item and failed.
    Failed,
    /// The item goes on at another target.
    Interrupted,
}

/// Runs `item` until it has a result. Dropping the future closes the connection, which ends the target's work.
pub(crate) async fn run_item(parts: Rc<RunParts>, job: Rc<RunJob>, item: JobItem) -> ListedResult {
    let mut run = ItemRun {
        parts,
        job,
        item,
        output: Vec::new(),
        has_events: false,
        last_event: None,
        failures: 0,
        excluded: Vec::new(),
    };
    let state = run.run().await;
    let output = match state {
        ItemState::Succeeded => String::from_utf8_lossy(&run.output).into_owned(),
        ItemState::GivenUp => String::new(),
    };
    ListedResult {
        item: run.item.id,
        state,
        output,
    }
}

impl ItemRun {
    async fn run(&mut self) -> ItemState {
        loop {
            if self.parts.clock.uptime() >= self.job.given_up {
                return ItemState::GivenUp;
            }
            let Some(document) = self.parts.view.load() else {
                sleep(IDLE_PAUSE).await;
                continue;
            };
            let Some(route) = document.find_route(&self.job.host, &self.item.path) else {
                // Items end with their route.
                return ItemState::GivenUp;
            };
            if self.failures >= route.attempts.max(1) {
                return ItemState::GivenUp;
            }
            let Some(call) = self.call(route) else {
                return ItemState::GivenUp;
            };
            let Some(ticket) = self.acquire(&call).await else {
                sleep(IDLE_PAUSE).await;
                continue;
            };
            match self.send(&call, ticket).await {
                SendEnd::Succeeded => return ItemState::Succeeded,
                SendEnd::Impossible => return ItemState::GivenUp,
                SendEnd::Failed => {
                    self.failures += 1;
                    sleep(FAILURE_PAUSE).await;
                }
                SendEnd::Interrupted => {}
            }
        }
    }

    /// The request of the item. None if it can't be sent at all.
    fn call(&self, route: &RouteRule) -> Option<RelayCall> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.item.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_str(value).ok()?);
        }
        headers.insert(HOST, HeaderValue::from_str(&self.job.host).ok()?);
        let service = route.pick_service(&self.item.id)?;
        Some(RelayCall {
            id: self.item.id.clone(),
            service: service.clone(),
            organisation: Some(self.job.organisation.clone()),
            priority: route.priority,
            class: TrafficClass::Batch,
            method: Method::POST,
            path: self.item.path.clone(),
            headers,
            body: self.item.body.clone(),
            prefix_hash: None,
            deadline: self.job.due,
            wait_limit: Duration::MAX,
            max_executions: u32::MAX,
            may_repeat: true,
            is_stream: true,
            first_event_objective: route.objective,
            event_gap: route.event_gap,
            last_event: self.last_event,
        })
    }

    async fn acquire(&mut self, call: &RelayCall) -> Option<TargetTicket> {
        let request = call.ticket_request(&self.excluded);
        // A target is left out for one send only.
        self.excluded.clear();
        match self.parts.caller.dispatcher().acquire(request).await {
            Ok(ticket) => Some(ticket),
            Err(problem) => {
                tracing::info!(event = "item_waits", item = %self.item.id, reason = %problem);
                None
            }
        }
    }

    async fn send(&mut self, call: &RelayCall, mut ticket: TargetTicket) -> SendEnd {
        let mut preempted = ticket.preempted.clone();
        let exchange = self.exchange(call, &ticket);
        let end = tokio::select! {
            biased;
            () = wait_set(&mut preempted) => Err(SendFailure {
                executed: Executed::Unknown,
                outcome: CallOutcome::Abandoned,
                is_deadline: false,
                reason: "preempted by an online request".to_owned(),
            }),
            end = exchange => end,
        };
        ticket.preempted = preempted;
        match end {
            Ok((end, first_byte)) => {
                ticket.finish(CallOutcome::Completed { first_byte });
                end
            }
            Err(end) => {
                tracing::info!(
                    event = "item_interrupted",
                    item = %self.item.id,
                    target = %ticket.target,
                    last_event = self.last_event,
                    reason = %end.reason,
                );
                let is_preempted = end.outcome == CallOutcome::Abandoned;
                if !is_preempted {
                    self.excluded.push(ticket.target.clone());
                }
                ticket.finish(end.outcome);
                if !is_preempted {
                    sleep(FAILURE_PAUSE).await;
                }
                SendEnd::Interrupted
            }
        }
    }

    async fn exchange(
        &mut self,
        call: &RelayCall,
        ticket: &TargetTicket,
    ) -> Result<(SendEnd, Duration), SendFailure> {
        let now = self.parts.clock.uptime();
        let left = self.job.given_up.saturating_sub(now);
        let names = self.parts.caller.header_names();
        let send = send_once(call, names, ticket, self.last_event, left);
        let opened = timeout(SILENCE_LIMIT, send).await;
        let mut answer = opened.map_err(|_| silence())??;
        let first_byte = answer.sent_at.elapsed();
        if answer.status == IMPOSSIBLE {
            return Ok((SendEnd::Impossible, first_byte));
        }
        if !answer.is_success() {
            tracing::info!(
                event = "item_failed",
                item = %self.item.id,
                target = %ticket.target,
                status = answer.status,
            );
            let counts = answer.status == FAILED || answer.status < 500;
            let end = if counts {
                SendEnd::Failed
            } else {
                SendEnd::Interrupted
            };
            return Ok((end, first_byte));
        }
        self.read_events(&mut answer).await?;
        Ok((SendEnd::Succeeded, first_byte))
    }

    async fn read_events(&mut self, answer: &mut TargetResponse) -> Result<(), SendFailure> {
        let failed = |reason: String| SendFailure {
            executed: Executed::Yes,
            outcome: CallOutcome::Failed,
            is_deadline: false,
            reason,
        };
        let mut splitter = EventSplitter::default();
        loop {
            let part = timeout(SILENCE_LIMIT, answer.payload.next()).await;
            match part.map_err(|_| silence())? {
                Some(Ok(part)) => {
                    let events = splitter.push(&part);
                    check_order(&events, &mut self.last_event).map_err(failed)?;
                    for event in events {
                        if self.has_events {
                            self.output.push(b'\n');
                        }
                        self.has_events = true;
                        self.output.extend_from_slice(&event.data());
                    }
                }
                Some(Err(error)) => return Err(failed(format!("the stream was cut: {error}"))),
                None if splitter.is_at_boundary() => return Ok(()),
                None => return Err(failed("the stream ended within an event".to_owned())),
            }
        }
    }
}

fn silence() -> SendFailure {
    SendFailure {
        executed: Executed::Unknown,
        outcome: CallOutcome::Failed,
        is_deadline: false,
        reason: "the target fell silent".to_owned(),
    }
}
