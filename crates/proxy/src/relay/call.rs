//! A routed request and the names of the headers that accompany it.

use super::regions::CallRegions;
use crate::parts::request_hash;
use awc::http::Method;
use awc::http::header::{HeaderMap, HeaderName};
use bytes::Bytes;
use compact_str::CompactString;
use plantainmill_core::{
    OrganisationId, PartId, RequestHash, ServiceName, TargetId, Uptime, VersionName,
};
use plantainmill_dispatch::{TicketRequest, TrafficClass};
use std::time::Duration;

/// Longest wait for a slot at another target of a stream that has begun, or of a request that may have run. Callers abandon a
/// stream after two seconds without an event.
pub(super) const CONTINUATION_WAIT: Duration = Duration::from_millis(900);

/// Names of the headers that are exchanged between VMs and targets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request id. A target echoes it in its response.
    pub request_id: HeaderName,
    /// Remaining time for the response, in milliseconds.
    pub deadline: HeaderName,
    /// Organisation that the request is made for.
    pub organisation: HeaderName,
    /// Instance, that is, one start of a target, that the request is addressed to.
    pub expected_instance: HeaderName,
    /// Present on a response if the request was not executed.
    pub not_executed: HeaderName,
    /// Requests a second that the target takes from all VMs together; absent if it names no limit.
    pub target_limit: HeaderName,
    /// Present on all responses of a target that leaves.
    pub target_leaving: HeaderName,
    /// Milliseconds for which the target stays cold; `None` where targets do not say.
    pub target_cold: Option<HeaderName>,
    /// Load of the target at the time of the response; see [`plantainmill_dispatch::shared::TargetStatement::parse`].
    pub target_load: HeaderName,
    /// Id of the last event that the caller has received.
    pub last_event: HeaderName,
    /// Header that may stand as the first line of an event, with a number; `None` where targets send no such line.
    pub event_header: Option<HeaderName>,
}

/// Limits of relayed calls.
#[derive(Clone, Copy, Debug)]
pub struct RelayLimits {
    /// Maximum number of sends of one request, including those that targets refused. Two refusals in a row mean that
    /// the load reports are stale, and then sending to another target is better than waiting for a free slot.
    pub max_sends: u32,
    /// Minimum silence before the first event after which a request fails over. It is ten times the usual time to the
    /// first event, so that a short queue at the target does not count as silence.
    pub min_first_event_timeout: Duration,
    /// Minimum silence between two events after which a stream fails over: twice the event interval of a slow target.
    pub min_event_gap: Duration,
    /// Maximum size of a response that is buffered, in bytes.
    pub max_response_bytes: usize,
    /// Maximum size of all responses that are buffered at a time, in bytes: a third of the memory of a small VM.
    pub max_buffered_bytes: usize,
}

impl Default for RelayLimits {
    fn default() -> RelayLimits {
        RelayLimits {
            max_sends: 4,
            min_first_event_timeout: Duration::from_millis(600),
            min_event_gap: Duration::from_millis(450),
            max_response_bytes: 8 << 20,
            max_buffered_bytes: 48 << 20,
        }
    }
}

/// A routed request.
#[derive(Clone, Debug)]
pub struct RelayCall {
    /// Request id, set by the caller.
    pub id: CompactString,
    /// Name of the route, by which the times of first responses are kept.
    pub route: CompactString,
    /// Service that the request is sent to.
    pub service: ServiceName,
    /// Organisation that the request is made for; `None` on public routes.
    pub organisation: Option<OrganisationId>,
    /// Priority among waiting requests; zero is served first.
    pub priority: u32,
    /// Traffic class, by which the dispatcher ranks the request.
    pub class: TrafficClass,
    /// HTTP method of the caller's request.
    pub method: Method,
    /// Path and query, unchanged from the caller's request.
    pub path: String,
    /// Headers for the target, without those of [`HeaderNames`].
    pub headers: HeaderMap,
    /// Body, sent unchanged to every target.
    pub body: Bytes,
    /// Hash of the shared prompt prefix, for prefix-affinity routing.
    pub prefix_hash: Option<u64>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PartId>,
    /// Uptime by which the response must be complete.
    pub deadline: Uptime,
    /// Maximum time to wait for a free slot.
    pub wait_limit: Duration,
    /// Maximum number of targets that may execute the request.
    pub max_executions: u32,
    /// Whether the request may be executed again after an execution whose outcome is unknown.
    pub may_repeat: bool,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Time within which the first event is expected.
    pub first_event_objective: Duration,
    /// Maximum expected pause between events.
    pub event_gap: Duration,
    /// Last event that the caller already has; the stream continues after it.
    pub last_event: Option<u64>,
    /// Software version at which the stream began, and to which its targets are limited; absent before its first event.
    pub version: Option<VersionName>,
    /// Regions in which the request may be served.
    pub regions: CallRegions,
}

impl RelayCall {
    /// Hash of the request, which is the same each time that it is sent.
    #[must_use]
    pub fn fingerprint(&self) -> RequestHash {
        let organisation = self.organisation.as_deref();
        request_hash(self.class, &self.path, organisation, &self.body)
    }

    /// Whether this begins a stream that its caller may take up later.
    pub(super) fn is_resumable_start(&self) -> bool {
        self.is_stream && self.may_repeat && self.last_event.unwrap_or(0) == 0
    }

    /// Longest wait for a slot. A stream that has begun is limited to the targets of its version, which other VMs have to wait
    /// for as well, and its caller waits longer for it than for a first event.
    fn slot_wait(&self) -> Duration {
        if self.version.is_some() {
            self.wait_limit.max(CONTINUATION_WAIT)
        } else {
            self.wait_limit
        }
    }

    /// Ticket request for a slot at a target that is not in `excluded`.
    #[must_use]
    pub fn ticket_request(&self, excluded: &[TargetId]) -> TicketRequest {
        TicketRequest {
            service: self.service.clone(),
            organisation: self.organisation.clone(),
            priority: self.priority,
            class: self.class,
            prefix_hash: self.prefix_hash,
            parts: self.parts.clone(),
            fingerprint: Some(self.fingerprint()),
            version: self.version.clone(),
            regions: self.regions.current(),
            barred: Vec::new(),
            spared: Vec::new(),
            deadline: self.deadline,
            wait_limit: Some(self.slot_wait()),
            excluded: excluded.to_vec(),
            body_bytes: self.body.len(),
            is_retry: !excluded.is_empty(),
            needs_idle_slot: false,
        }
    }
}
