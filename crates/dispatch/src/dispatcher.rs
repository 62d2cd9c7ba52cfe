//! The interface between the callers of targets (gateway and batch) and the dispatch policy.

use crate::shared::TargetStatement;
use futures_util::future::LocalBoxFuture;
use plantainmill_core::{
    OrganisationId, PartId, Problem, RegionName, RegionSet, RequestHash, ServiceName, TargetId,
    Uptime, VersionName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Class of traffic. Online requests have priority over batch requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficClass {
    /// A caller waits for the response.
    Online,
    /// Part of a batch job. Online requests may preempt it at any time.
    Batch,
}

/// Asks for permission to send one request to a target.
#[derive(Clone, Debug)]
pub struct TicketRequest {
    /// Service whose targets may serve the request.
    pub service: ServiceName,
    /// Organisation that the request runs for; absent on open routes.
    pub organisation: Option<OrganisationId>,
    /// Rank among waiting requests of the class; zero goes first.
    pub priority: u32,
    /// Traffic class, which decides on queueing and preemption.
    pub class: TrafficClass,
    /// Hash of the start of the prompt, for prefix affinity.
    pub prefix_hash: Option<u64>,
    /// Parts of the prompt. Requests with a quarantined one are rejected.
    pub parts: Vec<PartId>,
    /// Hash of the whole request, by which one that comes again is recognised.
    pub fingerprint: Option<RequestHash>,
    /// Uptime after which a ticket is useless. Among waiting batch requests, the earliest deadline goes first.
    pub deadline: Uptime,
    /// Longest wait for a free slot; absent for the default of the policy.
    pub wait_limit: Option<Duration>,
    /// Targets to avoid, because they already failed this request.
    pub excluded: Vec<TargetId>,
    /// Targets that must not get the request, whatever other targets there are.
    pub barred: Vec<TargetId>,
    /// Targets that get the request only if it would have to wait at all others.
    pub spared: Vec<TargetId>,
    /// Software version that the target must have, because the stream began at it; any if absent.
    pub version: Option<VersionName>,
    /// Regions whose targets may get the request.
    pub regions: RegionSet,
    /// Size of the request body in bytes, for the budget of the link between regions.
    pub body_bytes: usize,
    /// The request is a retry and counts against the retry budget.
    pub is_retry: bool,
    /// The request is only sent while the service has slots to spare, and never waits, preempts or queues at a target.
    pub needs_idle_slot: bool,
}

impl TicketRequest {
    /// What a target must have to serve the request.
    #[must_use]
    pub fn need(&self) -> TargetNeed<'_> {
        TargetNeed {
            service: &self.service,
            version: self.version.as_ref(),
            regions: &self.regions,
        }
    }
}

/// What a target must have to serve a request.
#[derive(Clone, Copy, Debug)]
pub struct TargetNeed<'a> {
    /// Service of the target.
    pub service: &'a ServiceName,
    /// Software version of the target; any if absent.
    pub version: Option<&'a VersionName>,
    /// Regions, one of which the target must be in.
    pub regions: &'a RegionSet,
}

/// Becomes true when a batch request is preempted and its call has to end.
pub type PreemptSignal = watch::Receiver<bool>;

/// How a call ended; feeds the concurrency window and the health of the target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallOutcome {
    /// The complete response arrived.
    Completed {
        /// Time until the first byte of the response.
        first_byte: Duration,
    },
    /// The connection failed, or the response was missing, truncated or malformed.
    Failed,
    /// The target took the request and its connection ended before the first event, or before the end of a buffered
    /// response: what a target that crashes looks like.
    ConnectionLost,
    /// The connection ended after the first event of a stream and before its end.
    StreamLost,
    /// The target rejected the request because it is overloaded or leaving.
    Rejected,
    /// The caller disconnected, or the request was preempted.
    Abandoned,
}

/// Observes the call of a ticket while it runs.
pub trait CallObserver: Send + Sync {
    /// The target has begun its answer.
    fn call_started(&self) {}
    /// A response of the target names the requests a second that it takes from all VMs together, or names no limit.
    fn limit_named(&self, _rate: Option<f64>) {}
    /// A response of the target says that it leaves.
    fn leaving_stated(&self) {}
    /// A response of the target says how much longer it stays cold; zero if it is warm.
    fn cold_stated(&self, _left: Duration) {}
    /// A response of the target states its load.
    fn load_stated(&self, _statement: TargetStatement) {}
}

/// Permission to send one request to one target. Dropping it without [`TargetTicket::finish`] reports the call as
/// abandoned.
pub struct TargetTicket {
    /// Target that the ticket is for.
    pub target: TargetId,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Region of the target, if the policy knows it.
    pub region: Option<RegionName>,
    /// Software version of the target, if the policy knows it.
    pub version: Option<VersionName>,
    /// Becomes true when the request is preempted; never for online requests.
    pub preempted: PreemptSignal,
    observers: Vec<Arc<dyn CallObserver>>,
    on_finish: Option<Box<dyn FnOnce(CallOutcome) + Send>>,
}

impl TargetTicket {
    /// A ticket that passes the outcome of its call to `on_finish`, once.
    #[must_use]
    pub fn new(
        target: TargetId,
        address: SocketAddr,
        region: Option<RegionName>,
        preempted: PreemptSignal,
        on_finish: Box<dyn FnOnce(CallOutcome) + Send>,
    ) -> TargetTicket {
        TargetTicket {
            target,
            address,
            region,
            version: None,
            preempted,
            observers: Vec::new(),
            on_finish: Some(on_finish),
        }
    }

    /// A ticket for the same call that does not report its end.
    #[must_use]
    pub fn share(&self) -> TargetTicket {
        TargetTicket {
            target: self.target.clone(),
            address: self.address,
            region: self.region.clone(),
            version: self.version.clone(),
            preempted: self.preempted.clone(),
            observers: self.observers.clone(),
            on_finish: None,
        }
    }

    /// Sets the software version of the target.
    #[must_use]
    pub fn with_version(mut self, version: Option<VersionName>) -> TargetTicket {
        self.version = version;
        self
    }

    /// Adds an observer of the call.
    #[must_use]
    pub fn with_observer(mut self, observer: Arc<dyn CallObserver>) -> TargetTicket {
        self.observers.push(observer);
        self
    }

    /// Removes and returns the observers, for a ticket that takes the place of this one.
    pub(crate) fn take_observers(&mut self) -> Vec<Arc<dyn CallObserver>> {
        std::mem::take(&mut self.observers)
    }

    /// Reports that the target has begun its answer: its first event has arrived, or all of a buffered response.
    pub fn record_start(&self) {
        self.observers
            .iter()
            .for_each(|observer| observer.call_started());
    }

    /// Reports the limit, in requests a second, that a response of the target names; `None` if it names none.
    pub fn record_limit(&self, rate: Option<f64>) {
        self.observers
            .iter()
            .for_each(|observer| observer.limit_named(rate));
    }

    /// Reports how much longer a response of the target says that it stays cold.
    pub fn record_cold(&self, left: Duration) {
        self.observers
            .iter()
            .for_each(|observer| observer.cold_stated(left));
    }

    /// Reports that a response of the target says that it leaves.
    pub fn record_leaving(&self) {
        self.observers
            .iter()
            .for_each(|observer| observer.leaving_stated());
    }

    /// Reports what a response of the target states about its load.
    pub fn record_load(&self, statement: TargetStatement) {
        self.observers
            .iter()
            .for_each(|observer| observer.load_stated(statement));
    }

    /// Ends the ticket and reports the outcome of its call.
    pub fn finish(mut self, outcome: CallOutcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: CallOutcome) {
        if let Some(on_finish) = self.on_finish.take() {
            on_finish(outcome);
        }
    }
}

impl Drop for TargetTicket {
    fn drop(&mut self) {
        self.report(CallOutcome::Abandoned);
    }
}

/// A dispatch policy: selects a target for each request and limits the load of targets.
pub trait Dispatcher: Send + Sync {
    /// Waits for a ticket. A refused request was never sent, so the problem always has `executed: no`.
    fn acquire(&self, request: TicketRequest) -> LocalBoxFuture<'_, Result<TargetTicket, Problem>>;
    /// Whether a target other than `current` meets the need, as far as the policy knows.
    fn has_other_target(&self, _need: TargetNeed<'_>, _current: &TargetId) -> bool {
        true
    }
    /// Number of targets that meet the need and have room for a batch request, as far as the policy knows. Those in `barred`
    /// do not count.
    fn free_targets(&self, _need: TargetNeed<'_>, _barred: &[TargetId]) -> usize {
        0
    }
    /// Internal state of the policy, for the diagnostic dump.
    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value>;
}
