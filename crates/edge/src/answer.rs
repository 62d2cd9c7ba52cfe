//! Answers to callers.

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

/// Headers that concern one connection only.
const CONNECTION_HEADERS: &[&str] = &[
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

/// Names of the headers that concern one connection only: the usual ones and those that `Connection` lists.
pub(crate) fn connection_headers(headers: &HeaderMap) -> HashSet<String> {
    let listed = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase());
    let usual = CONNECTION_HEADERS.iter().map(|name| (*name).to_owned());
    usual.chain(listed).collect()
}

/// Tells the caller to use another connection while this VM stops.
pub(crate) fn mark_leaving(state: &EdgeState, builder: &mut HttpResponseBuilder) {
    if state.leaving.get() {
        builder.force_close();
    }
}

/// A target's answer.
pub(crate) fn relay(
    state: &EdgeState,
    answer: RelayResponse,
    guard: InFlightGuard,
) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    let dropped = connection_headers(&answer.headers);
    for (name, value) in &answer.headers {
        if !dropped.contains(name.as_str()) {
            builder.append_header((name.clone(), value.clone()));
        }
    }
    mark_leaving(state, &mut builder);
    builder.streaming(answer.body.map(move |part| {
        let _in_flight = &guard;
        part
    }))
}

/// The refusal or failure of a request.
pub(crate) fn problem(state: &EdgeState, request_id: &str, problem: &Problem) -> HttpResponse {
    let status = StatusCode::from_u16(problem.code.http_status());
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
    mark_leaving(state, &mut builder);
    builder.body(problem.to_json())
}

/// Logs how a request without an answer of a target ended.
pub(crate) fn log_problem(request_id: &str, path: &str, problem: &Problem) {
    let retry_ms = problem.retry_after.map(|delay| delay.as_millis());
    tracing::info!(
        event = "request_ended",
        request = request_id,
        path,
        result = problem.code.number(),
        code = problem.code.name(),
        executed = problem.executed.as_str(),
        retry_ms,
        reason = %problem.reason,
    );
}

/// The problem of a VM that has no document yet.
pub(crate) fn no_document() -> Problem {
    Problem::new(ResultCode::KeyUnchecked, "this VM has no document yet")
}
