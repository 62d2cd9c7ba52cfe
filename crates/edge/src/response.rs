//! Responses to callers.

use crate::state::EdgeState;
use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::http::StatusCode;
use actix_web::http::header::{CONNECTION, HeaderMap, RETRY_AFTER};
use futures_util::StreamExt as _;
use plantainmill_core::response::{EXECUTED_HEADER, RESULT_HEADER};
use plantainmill_core::{InFlightGuard, Problem, ResultCode};
use plantainmill_proxy::relay::RelayResponse;
use std::collections::HashSet;

/// Headers that are not forwarded: the hop-by-hop ones, and `content-length`, because each connection frames the body
/// anew.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the names of the hop-by-hop headers: the standard ones and those that `Connection` lists.
pub(crate) fn hop_by_hop_headers(headers: &HeaderMap) -> HashSet<String> {
    let listed = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase());
    let standard = HOP_BY_HOP_HEADERS.iter().map(|name| (*name).to_owned());
    standard.chain(listed).collect()
}

/// Closes the connection after the response if this VM is stopping, so that the caller opens one to another VM.
pub(crate) fn close_if_stopping(state: &EdgeState, builder: &mut HttpResponseBuilder) {
    if state.is_stopping.get() {
        builder.force_close();
    }
}

/// Builds the response that relays a target's response. `guard` counts the request as in flight until the body ends.
pub(crate) fn relay_response(
    state: &EdgeState,
    response: RelayResponse,
    guard: InFlightGuard,
) -> HttpResponse {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    let hop_by_hop = hop_by_hop_headers(&response.headers);
    for (name, value) in &response.headers {
        if !hop_by_hop.contains(name.as_str()) {
            builder.append_header((name.clone(), value.clone()));
        }
    }
    close_if_stopping(state, &mut builder);
    builder.streaming(response.body.map(move |chunk| {
        let _in_flight = &guard;
        chunk
    }))
}

/// Builds the response for a rejected or failed request.
pub(crate) fn problem_response(
    state: &EdgeState,
    request_id: &str,
    problem: &Problem,
) -> HttpResponse {
    let status = StatusCode::from_u16(problem.http_status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    builder
        .content_type("application/json")
        .insert_header((RESULT_HEADER, problem.code.number().to_string()))
        .insert_header((EXECUTED_HEADER, problem.executed.as_str()))
        .insert_header((state.codec.names().request_id.clone(), request_id));
    if let Some(delay) = problem.retry_after
        && matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        )
    {
        builder.insert_header((RETRY_AFTER, format!("{:.3}", delay.as_secs_f64())));
    }
    close_if_stopping(state, &mut builder);
    builder.body(problem.to_json())
}

/// Logs the outcome of a request that ended without a target's response. `resumes` is the attempt whose stream it takes up.
pub(crate) fn log_problem(request_id: &str, path: &str, resumes: Option<&str>, problem: &Problem) {
    let retry_ms = problem.retry_after.map(|delay| delay.as_millis());
    tracing::info!(
        event = "request_ended",
        request = request_id,
        path,
        resumes,
        result = problem.code.number(),
        code = problem.code.name(),
        executed = problem.executed.as_str(),
        retry_ms,
        reason = %problem.reason,
    );
}

/// Problem reported while the VM has not read a document yet.
pub(crate) fn missing_document() -> Problem {
    Problem::new(ResultCode::KeyUnchecked, "this VM has no document yet")
}
