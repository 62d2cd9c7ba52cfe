//! The interface between the callers of targets (gateway, batch) and the HTTP client code.

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use plantainmill_core::{OrganisationId, PartId, Problem, ServiceName, TargetId, Uptime};
use plantainmill_dispatch::TrafficClass;
use std::time::Duration;

/// A request to a service, without the caller's API key and organisation headers.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Service to call; it must be configured.
    pub service: ServiceName,
    /// Organisation that the request is made for; `None` on open routes.
    pub organisation: Option<OrganisationId>,
    /// Traffic class, by which the dispatcher ranks the request.
    pub class: TrafficClass,
    /// HTTP method, such as `POST`.
    pub method: CompactString,
    /// Path and query at the target, such as `/v1/chat/completions`.
    pub path: String,
    /// Headers to forward, names in lower case. Those that a target must not see are removed before sending.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Request body, sent unchanged on every attempt.
    pub body: Bytes,
    /// Hash of the prompt prefix, for prefix-affinity routing.
    pub prefix_hash: Option<u64>,
    /// Parts of the prompt. Requests with a quarantined one are rejected.
    pub parts: Vec<PartId>,
    /// Uptime by which the response must be complete.
    pub deadline: Uptime,
    /// Caller's idempotency key. It has an effect only on services whose calls must not be repeated.
    pub idempotency_key: Option<CompactString>,
}

/// A response that was read to its end.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status that the target returned.
    pub status: u16,
    /// Headers that may be forwarded to the caller, names in lower case.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Complete body.
    pub body: Bytes,
    /// Target that responded; `None` for a response replayed from an idempotency record.
    pub target: Option<TargetId>,
    /// Time from sending the request to the head of the response; zero for a replayed response.
    pub first_byte: Duration,
}

/// A response whose body is still arriving. Dropping it cancels the work at the target.
pub struct StreamingResponse {
    /// HTTP status that the target returned.
    pub status: u16,
    /// Headers that may be forwarded to the caller, names in lower case.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Body. An error item is the last item and means that the body is incomplete.
    pub chunks: LocalBoxStream<'static, Result<Bytes, Problem>>,
    /// Target that sends the response, or `stored` for one replayed from an idempotency record.
    pub target: TargetId,
}

/// Calls targets. A returned problem states whether a target executed the request.
pub trait TargetCaller {
    /// Calls a target and reads the complete response.
    fn call(&self, request: TargetRequest)
    -> LocalBoxFuture<'_, Result<BufferedResponse, Problem>>;
    /// Calls a target and streams its response. An attempt is retried only before its first chunk has arrived.
    fn stream(
        &self,
        request: TargetRequest,
    ) -> LocalBoxFuture<'_, Result<StreamingResponse, Problem>>;
}
