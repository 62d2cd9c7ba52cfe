//! Runs one item on idle target slots until it has a result, resuming its event stream after an interruption.

mod exchange;

use crate::heads::HeadView;
use crate::item_output::ItemOutput;
use crate::metrics::JobMetrics;
use crate::owed::{ItemWatch, OwedNeed, OwedState};
use crate::stored::{ItemState, JobItem, ListedResult};
use awc::http::Method;
use awc::http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use compact_str::CompactString;
use plantainmill_core::{
    Clock, OrganisationId, RegionSet, ResultCode, TargetId, Uptime, VersionName,
};
use plantainmill_dispatch::{CallOutcome, TargetNeed, TargetTicket, TrafficClass};
use plantainmill_proxy::relay::{CallRegions, RelayCall, RelayCaller};
use plantainmill_routing::{DocumentRegions, DocumentView, FleetDocument, RouteRule};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Response status of a target for an item that can never succeed.
const UNPROCESSABLE_STATUS: u16 = 422;
/// Response status of a target that ran an item and failed.
const FAILURE_STATUS: u16 = 500;
/// Maximum time without an event from a target that runs an item. Several times the event interval of a slow target.
/// Bytes that complete no event are no progress.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before the next attempt when there is no fleet document or no target.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest delay before the next attempt of an item that is quarantined, or has a quarantined prompt part. The quarantine may be lifted early.
const MAX_QUARANTINE_WAIT: Duration = Duration::from_secs(2);
/// Longest wait for a slot under the exclusions of one attempt. After it, a target that has failed the item is better than none.
const SLOT_WAIT_LIMIT: Duration = Duration::from_secs(3);
/// Time without output after the first failure of an item, from which other versions are tried: longer than an attempt at a
/// target that falls silent. To begin anew costs a whole run.
const VERSION_FAILURE_LIMIT: Duration = Duration::from_millis(1_600);
/// Delay before the next attempt after a target failed. It doubles with each response that is of no use to the item.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest such delay.
const MAX_FAILURE_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// Dependencies shared by all items that run on this VM.
pub(crate) struct RunContext {
    pub caller: RelayCaller,
    pub view: DocumentView,
    pub clock: Arc<dyn Clock>,
    /// Whether what this VM knows of the jobs is recent enough to send items.
    pub heads: Rc<HeadView>,
    pub metrics: JobMetrics,
}

/// Properties shared by all items of one job.
pub(crate) struct JobContext {
    pub organisation: OrganisationId,
    pub host: CompactString,
    /// Name of the route that accepted the job.
    pub route: CompactString,
    /// Uptime by which the results are due. Dispatch orders batch items by it.
    pub due_at: Uptime,
    /// Uptime at which unfinished items are given up.
    pub expires_at: Uptime,
}

/// An item and the part of its output that was received so far.
struct ItemRunner {
    context: Rc<RunContext>,
    job: Rc<JobContext>,
    watch: Rc<ItemWatch>,
    item: JobItem,
    output: ItemOutput,
    /// Regions in which the stream that has begun may go on; everywhere before its first event.
    stream_regions: RegionSet,
    /// Software version at which the stream began.
    version: Option<VersionName>,
    /// Uptime of the first failure since the last event.
    failing_since: Option<Uptime>,
    /// Sends that failed since the last event.
    failed_sends: u32,
    /// Answers of targets that ran the item and failed.
    failures: u32,
    /// Responses that are of no use to the item and do not count as its failures.
    useless_responses: u32,
    excluded: Vec<TargetId>,
}

/// A request that may be sent, and the permission to send it to a target.
struct ItemAttempt {
    call: RelayCall,
    ticket: TargetTicket,
}

/// Outcome of one attempt.
enum SendOutcome {
    Succeeded,
    Unprocessable,
    /// The target ran the item and failed.
    Failed,
    /// The target has nothing to add to the events so far. It says the same after an event that the output does not have.
    Unconfirmed,
    /// The attempt was preempted, its connection failed, or its answer says nothing of the item. The item resumes on any
    /// suitable target.
    Interrupted,
}

/// Runs `item` until it has a result. Dropping the future closes the connection, which cancels the work on the target.
pub(crate) async fn run_item(
    context: Rc<RunContext>,
    job: Rc<JobContext>,
    watch: Rc<ItemWatch>,
    item: JobItem,
) -> ListedResult {
    let mut runner = ItemRunner {
        context,
        job,
        watch,
        item,
        output: ItemOutput::default(),
        stream_regions: RegionSet::Everywhere,
        version: None,
        failing_since: None,
        failed_sends: 0,
        failures: 0,
        useless_responses: 0,
        excluded: Vec::new(),
    };
    let state = runner.run().await;
    runner.enter(OwedState::Listing, "");
    let output = match state {
        ItemState::Succeeded => runner.output.take_text(),
        ItemState::GivenUp => String::new(),
    };
    ListedResult {
        item: runner.item.id,
        state,
        output,
    }
}

impl ItemRunner {
    async fn run(&mut self) -> ItemState {
        loop {
            let now = self.context.clock.uptime();
            let remaining = self.job.expires_at.saturating_sub(now);
            if remaining.is_zero() {
                return ItemState::GivenUp;
            }
            let attempt = match timeout(remaining, self.next_attempt()).await {
                Ok(Some(attempt)) => attempt,
                Ok(None) => return ItemState::GivenUp,
                Err(_) => {
                    self.context.metrics.count_expired_item();
                    tracing::info!(event = "item_expired", item = %self.item.id, "its retention ended while it waited");
                    return ItemState::GivenUp;
                }
            };
            match self.send(&attempt.call, attempt.ticket).await {
                SendOutcome::Succeeded => return ItemState::Succeeded,
                SendOutcome::Unprocessable => return ItemState::GivenUp,
                SendOutcome::Failed => {
                    self.failures += 1;
                    self.enter(OwedState::Retry, "the target failed");
                    sleep(FAILURE_RETRY_DELAY).await;
                }
                SendOutcome::Unconfirmed => self.confirm_end(),
                SendOutcome::Interrupted => {}
            }
        }
    }

    /// Has the last event sent once more by the next attempt, which shows that the output has it and ends there. If that was
    /// tried already, the output is longer than that of the item, and is discarded.
    fn confirm_end(&mut self) {
        let last_event = self.output.last_event();
        if self.output.discard_last_event() {
            self.enter(OwedState::Retry, "its last event is confirmed");
            tracing::info!(event = "item_end_checked", item = %self.item.id, last_event);
        } else {
            self.begin_anew("a target has none of its last events");
        }
    }

    /// Waits until the item may be sent. Returns `None` if it has to be given up.
    async fn next_attempt(&mut self) -> Option<ItemAttempt> {
        loop {
            self.wait_for_heads().await;
            let Some(document) = self.context.view.load() else {
                self.enter(OwedState::Document, "");
                sleep(UNAVAILABLE_RETRY_DELAY).await;
                continue;
            };
            // Without a route, the one of the job was removed from the fleet document.
            let route = document.find_route(&self.job.host, &self.item.path)?;
            if self.failures >= route.attempts.max(1) {
                return None;
            }
            let mut call = self.build_call(route)?;
            if self.output.last_event().is_some() && !has_region(&call.regions.current()) {
                // The document now allows other regions than those of the stream so far.
                if has_region(&self.regions().current()) {
                    self.begin_anew("its regions have changed");
                    call = self.build_call(route)?;
                }
            }
            if self.is_version_failing() && self.has_other_version(&call) {
                self.begin_anew("targets of its version fail");
                call = self.build_call(route)?;
            }
            let ticket = match self.acquire(&call).await {
                Ok(ticket) => ticket,
                Err(delay) => {
                    sleep(delay).await;
                    continue;
                }
            };
            if self.may_send(&document) {
                return Some(ItemAttempt { call, ticket });
            }
            ticket.finish(CallOutcome::Abandoned);
        }
    }

    /// Waits until this VM knows recent heads, so that it would know if the job had been ended or had another owner.
    async fn wait_for_heads(&self) {
        let heads = &self.context.heads;
        if heads.may_act() {
            return;
        }
        self.enter(OwedState::Heads, "");
        self.context.metrics.count_held_item();
        tracing::info!(event = "item_held", item = %self.item.id, "the job's state is not confirmed");
        heads.wait_until_recent().await;
    }

    fn enter(&self, state: OwedState, reason: impl Into<CompactString>) {
        self.watch.enter(&self.item.id, state, reason);
    }

    /// Whether the item may be sent after its wait for a slot, during which the VM may have been suspended and the
    /// document changed.
    fn may_send(&self, document: &FleetDocument) -> bool {
        self.context.heads.may_act() && self.context.view.version() == document.version
    }

    /// Builds the request of the item. Returns `None` if it has an invalid header or the route has no service.
    fn build_call(&self, route: &RouteRule) -> Option<RelayCall> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.item.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_str(value).ok()?);
        }
        headers.insert(HOST, HeaderValue::from_str(&self.job.host).ok()?);
        let service = route.pick_service(&self.item.id)?;
        Some(RelayCall {
            id: self.item.id.clone(),
            route: route.name.clone(),
            service: service.clone(),
            organisation: Some(self.job.organisation.clone()),
            priority: route.priority,
            class: TrafficClass::Batch,
            method: Method::POST,
            path: self.item.path.clone(),
            headers,
            body: self.item.body.clone(),
            prefix_hash: None,
            parts: self.item.parts.clone(),
            deadline: self.job.due_at,
            wait_limit: Duration::MAX,
            max_executions: u32::MAX,
            may_repeat: true,
            is_stream: true,
            first_event_objective: route.objective,
            event_gap: route.event_gap,
            last_event: self.output.last_event(),
            version: self.version.clone(),
            regions: self.regions().narrowed_to(&self.stream_regions),
        })
    }

    /// Regions that the document in force allows for the item, as it changes.
    fn regions(&self) -> CallRegions {
        CallRegions::of_source(Rc::new(DocumentRegions {
            view: self.context.view.clone(),
            clock: Arc::clone(&self.context.clock),
            host: self.job.host.clone(),
            path: self.item.path.as_str().into(),
            job_route: Some(self.job.route.clone()),
            organisation: Some(self.job.organisation.clone()),
        }))
    }

    /// Acquires a ticket. Without one, returns the delay before the next attempt.
    async fn acquire(&mut self, call: &RelayCall) -> Result<TargetTicket, Duration> {
        let request = call.ticket_request(&self.excluded);
        // A failed target is excluded from the next attempt only.
        self.excluded.clear();
        let regions = request.regions.clone();
        let need = OwedNeed {
            service: call.service.clone(),
            version: call.version.clone(),
            regions: regions.clone(),
        };
        self.watch.enter_slot(&self.item.id, need);
        let acquired = self.context.caller.dispatcher().acquire(request);
        let Ok(acquired) = timeout(SLOT_WAIT_LIMIT, acquired).await else {
            let dispatcher = self.context.caller.dispatcher();
            let need = TargetNeed {
                service: &call.service,
                version: call.version.as_ref(),
                regions: &regions,
            };
            let is_full = dispatcher.free_targets(need, &[]) == 0;
            if is_full && self.has_other_version(call) {
                self.begin_anew("targets of its version are full");
            } else if is_full && self.has_other_region(call) {
                self.begin_anew("targets of its regions are full");
            }
            return Err(Duration::ZERO);
        };
        match acquired {
            Ok(ticket) => Ok(ticket),
            Err(problem) => {
                tracing::info!(event = "item_waits", item = %self.item.id, reason = %problem);
                if problem.code == ResultCode::VersionGone {
                    self.begin_anew("no target has its version");
                    return Err(Duration::ZERO);
                }
                let is_quarantined = matches!(
                    problem.code,
                    ResultCode::PartQuarantined | ResultCode::RequestQuarantined
                );
                let state = if is_quarantined {
                    OwedState::Quarantine
                } else {
                    OwedState::Retry
                };
                self.enter(state, problem.to_string());
                if !is_quarantined {
                    return Err(UNAVAILABLE_RETRY_DELAY);
                }
                let delay = problem.retry_after.unwrap_or(MAX_QUARANTINE_WAIT);
                Err(delay.min(MAX_QUARANTINE_WAIT))
            }
        }
    }

    /// Whether no target of the version at which the stream began has sent output since it first failed the item.
    fn is_version_failing(&self) -> bool {
        let now = self.context.clock.uptime();
        let has_failed_long = self
            .failing_since
            .is_some_and(|since| now.saturating_sub(since) >= VERSION_FAILURE_LIMIT);
        // A single failure and a wait for a slot say little about the other targets of the version.
        has_failed_long && self.failed_sends > 1
    }

    /// Whether the stream is bound to a version and a target of another one is free.
    fn has_other_version(&self, call: &RelayCall) -> bool {
        let dispatcher = self.context.caller.dispatcher();
        let regions = call.regions.current();
        let free = |version| {
            let need = TargetNeed {
                service: &call.service,
                version,
                regions: &regions,
            };
            dispatcher.free_targets(need, &[])
        };
        call.version.is_some() && free(None) > free(call.version.as_ref())
    }

    /// Whether the stream is bound to fewer regions than the document now allows, and a target of another one is free.
    fn has_other_region(&self, call: &RelayCall) -> bool {
        let dispatcher = self.context.caller.dispatcher();
        let (bound, allowed) = (call.regions.current(), self.regions().current());
        let free = |regions| {
            let need = TargetNeed {
                service: &call.service,
                version: None,
                regions,
            };
            dispatcher.free_targets(need, &[])
        };
        bound != allowed && free(&allowed) > free(&bound)
    }

    /// Delay before the next attempt after a target failed.
    fn retry_delay(&self) -> Duration {
        let factor = 2_u32.saturating_pow(self.useless_responses);
        let delay = FAILURE_RETRY_DELAY.saturating_mul(factor);
        delay.min(MAX_FAILURE_RETRY_DELAY)
    }

    /// Discards the output, because the item cannot go on after it: at its version, in its regions, or at all.
    fn begin_anew(&mut self, reason: &'static str) {
        self.context.metrics.count_restarted_item();
        tracing::info!(
            event = "item_begun_anew",
            item = %self.item.id,
            version = self.version.as_deref(),
            last_event = self.output.last_event(),
            reason,
        );
        self.enter(OwedState::Retry, reason);
        self.failing_since = None;
        self.failed_sends = 0;
        self.output.clear();
        self.version = None;
        self.stream_regions = RegionSet::Everywhere;
    }
}

/// Whether any region is allowed.
fn has_region(allowed: &RegionSet) -> bool {
    allowed.is_everywhere() || allowed.names().next().is_some()
}
