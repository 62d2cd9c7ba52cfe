//! The interface between those who need an answer (gateway, batch) and the code that calls targets.

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use plantainmill_core::{OrganisationId, Problem, ServiceName, TargetId, Uptime};
use plantainmill_dispatch::TrafficClass;
use std::time::Duration;

/// A request to a service, free of the caller's key and organisation headers.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Service to call.
    pub service: ServiceName,
    /// Organisation it runs for; absent on open routes.
    pub organisation: Option<OrganisationId>,
    /// Class of traffic.
    pub class: TrafficClass,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query at the target, such as `/v1/chat/completions`.
    pub path: String,
    /// Headers to send, names in lower case.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Body to send.
    pub body: Bytes,
    /// Hash of the prompt's start, for prefix affinity.
    pub prefix_hash: Option<u64>,
    /// Uptime by which the answer has to be whole.
    pub deadline: Uptime,
    /// Caller's idempotency key for calls that may not be repeated.
    pub idempotency_key: Option<CompactString>,
}

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that may be passed on, names in lower case.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Body.
    pub body: Bytes,
    /// Target that answered; absent when the answer was stored under an idempotency key.
    pub target: Option<TargetId>,
    /// Time from sending to the first byte.
    pub first_byte: Duration,
}

/// An answer that is still arriving. Dropping it cancels the target's work.
pub struct StreamingResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that may be passed on, names in lower case.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Body. An error item ends it and means that the answer is not whole.
    pub chunks: LocalBoxStream<'static, Result<Bytes, Problem>>,
    /// Target that answers.
    pub target: TargetId,
}

/// Calls targets. Problems say truthfully whether a target executed the request.
pub trait TargetCaller {
    /// Calls a target and reads the whole answer.
    fn call(&self, request: TargetRequest)
    -> LocalBoxFuture<'_, Result<BufferedResponse, Problem>>;
    /// Calls a target and passes its answer on as it arrives. Retries happen only before the first byte.
    fn stream(
        &self,
        request: TargetRequest,
    ) -> LocalBoxFuture<'_, Result<StreamingResponse, Problem>>;
}
