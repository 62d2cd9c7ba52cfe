//! A routed request, and the names that tie requests and answers together.

use awc::http::Method;
use awc::http::header::{HeaderMap, HeaderName};
use bytes::Bytes;
use compact_str::CompactString;
use plantainmill_core::{OrganisationId, ServiceName, TargetId, Uptime};
use plantainmill_dispatch::{TicketRequest, TrafficClass};
use std::time::Duration;

/// Names of the headers between VMs and targets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request; a target repeats it in its answer.
    pub request_id: HeaderName,
    /// Milliseconds that are left for the answer.
    pub deadline: HeaderName,
    /// Organisation that a request runs for.
    pub organisation: HeaderName,
    /// Start of a target that a request is meant for.
    pub expected_instance: HeaderName,
    /// Present on answers to requests that did not run.
    pub not_executed: HeaderName,
    /// Id of the last event that a caller has.
    pub last_event: HeaderName,
}

/// Limits of relayed calls.
#[derive(Clone, Copy, Debug)]
pub struct RelayLimits {
    /// Sends of one request, counting those that a target refused. A second refusal in a row says that the load
    /// reports are behind, and the wait for a free slot is better spent here.
    pub sends: u32,
    /// Least silence before the first event after which a request moves to another target. Ten times the usual time
    /// to the first event, so that a short queue at the target does not count as silence.
    pub first_event_floor: Duration,
    /// Least silence between two events after which a stream moves. Twice the time between events of a slow target.
    pub event_gap_floor: Duration,
    /// Largest answer that is kept until it is whole, in bytes.
    pub answer_bytes: usize,
}

impl Default for RelayLimits {
    fn default() -> RelayLimits {
        RelayLimits {
            sends: 4,
            first_event_floor: Duration::from_millis(600),
            event_gap_floor: Duration::from_millis(450),
            answer_bytes: 32 << 20,
        }
    }
}

/// A routed request.
#[derive(Clone, Debug)]
pub struct RelayCall {
    /// Id that the caller gave it.
    pub id: CompactString,
    /// Service it goes to.
    pub service: ServiceName,
    /// Organisation it runs for; absent on public routes.
    pub organisation: Option<OrganisationId>,
    /// Rank among waiting requests; zero goes first.
    pub priority: u32,
    /// Class.
    pub class: TrafficClass,
    /// Method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: String,
    /// Headers for the target, without those of [`HeaderNames`].
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Hash of the prompt's shared part.
    pub prefix_hash: Option<u64>,
    /// When the answer has to be whole.
    pub deadline: Uptime,
    /// Longest wait for a free slot.
    pub wait_limit: Duration,
    /// Targets that it may run on at most.
    pub max_executions: u32,
    /// It may run again after a run with an unknown end.
    pub may_repeat: bool,
    /// The answer is a stream of events.
    pub is_stream: bool,
    /// Time in which the first event is due.
    pub first_event_objective: Duration,
    /// Longest pause between events.
    pub event_gap: Duration,
    /// Last event that the caller already has.
    pub last_event: Option<u64>,
}

impl RelayCall {
    /// The request for a slot, apart from `excluded` targets.
    #[must_use]
    pub fn ticket_request(&self, excluded: &[TargetId]) -> TicketRequest {
        TicketRequest {
            service: self.service.clone(),
            organisation: self.organisation.clone(),
            priority: self.priority,
            class: self.class,
            prefix_hash: self.prefix_hash,
            deadline: self.deadline,
            wait_limit: Some(self.wait_limit),
            excluded: excluded.to_vec(),
            body_bytes: self.body.len(),
            is_retry: !excluded.is_empty(),
        }
    }
}
