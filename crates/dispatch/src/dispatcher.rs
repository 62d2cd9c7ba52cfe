//! The interface between callers of targets (gateway and batch) and the dispatch policy.

use futures_util::future::LocalBoxFuture;
use plantainmill_core::{OrganisationId, Problem, ServiceName, TargetId, Uptime};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// Class of traffic; online goes before batch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficClass {
    /// A caller is waiting.
    Online,
    /// Part of a batch job; gives way to online requests at any time.
    Batch,
}

/// Asks for leave to send one request to a target.
#[derive(Clone, Debug)]
pub struct TicketRequest {
    /// Service to call.
    pub service: ServiceName,
    /// Organisation it runs for; absent on open routes.
    pub organisation: Option<OrganisationId>,
    /// Rank among requests of the class that wait; zero goes first.
    pub priority: u32,
    /// Class.
    pub class: TrafficClass,
    /// Hash of the prompt's start, for prefix affinity.
    pub prefix_hash: Option<u64>,
    /// Uptime after which a ticket is of no use. Of waiting batch requests, the earliest goes first.
    pub deadline: Uptime,
    /// Longest wait for a free slot; absent means that the policy decides.
    pub wait_limit: Option<Duration>,
    /// Targets not to use: those that already failed this request.
    pub excluded: Vec<TargetId>,
    /// Size of the request body, for the link budget.
    pub body_bytes: usize,
    /// The request is a repeat and has to fit the retry budget.
    pub is_retry: bool,
}

/// Becomes true when a batch request has to give way.
pub type PreemptSignal = watch::Receiver<bool>;

/// How a call ended, as the window and the ejection of targets see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallOutcome {
    /// A whole answer came.
    Completed {
        /// Time until the first byte of the answer.
        first_byte: Duration,
    },
    /// No connection, or a cut, malformed or missing answer.
    Failed,
    /// The target refused because it is overloaded or leaving.
    Rejected,
    /// The caller went away, or the request was preempted.
    Abandoned,
}

/// Leave to send one request to one target. Dropping it without [`TargetTicket::finish`] counts as abandoned.
pub struct TargetTicket {
    /// Target to use.
    pub target: TargetId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Turns true when the request has to give way. Never does for online requests.
    pub preempted: PreemptSignal,
    on_finish: Option<Box<dyn FnOnce(CallOutcome) + Send>>,
}

impl TargetTicket {
    /// A ticket that reports its outcome to `on_finish`.
    #[must_use]
    pub fn new(
        target: TargetId,
        address: SocketAddr,
        preempted: PreemptSignal,
        on_finish: Box<dyn FnOnce(CallOutcome) + Send>,
    ) -> TargetTicket {
        TargetTicket {
            target,
            address,
            preempted,
            on_finish: Some(on_finish),
        }
    }

    /// Returns the ticket with the outcome of the call.
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

/// The dispatch policy.
pub trait Dispatcher: Send + Sync {
    /// Waits for a ticket, or says why there is none. A refusal always has `executed: no`.
    fn acquire(&self, request: TicketRequest) -> LocalBoxFuture<'_, Result<TargetTicket, Problem>>;
    /// State for the dump.
    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value>;
}
