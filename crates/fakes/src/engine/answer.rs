//! What all answers of an engine share: the faults that apply to any of them, and bodies that are cut.

use super::fault::{EngineFault, FaultKind};
use super::state::{EngineState, REQUEST_ID_HEADER, RunGuard, RunOutcome, request_id};
use crate::foreign_bytes::FOREIGN_LINE;
use actix_web::body::SizedStream;
use actix_web::http::header::CONTENT_TYPE;
use actix_web::web::Bytes;
use actix_web::{HttpRequest, HttpResponse};
use futures_util::stream;
use std::future::pending;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Identifier of the request that a crossed answer belongs to.
const OTHER_REQUEST_ID: &str = "another-request";
/// Padding of an oversized answer, in bytes; above the 32 MiB that callers accept.
const OVERSIZED_BYTES: usize = 33 * 1024 * 1024;

/// A request whose fault is known and that may run.
pub(super) struct StartedRun {
    /// Its fault.
    pub fault: EngineFault,
    /// Its record.
    pub guard: RunGuard,
    /// Identifier that its answer states.
    pub id: String,
}

/// Applies the faults that come before the request runs. An error is the answer to send at once.
pub(super) fn start_run(
    state: &Arc<EngineState>,
    request: &HttpRequest,
) -> Result<StartedRun, Box<HttpResponse>> {
    let fault = state.take_fault();
    match fault.kind {
        FaultKind::Refuse => {
            state.count_refused();
            return Err(Box::new(refusal()));
        }
        FaultKind::CutRequest => {
            state.count_refused();
            return Err(Box::new(cut_before()));
        }
        _ => {}
    }
    let guard = state.begin_run(request);
    let id = match fault.kind {
        FaultKind::Crossed => OTHER_REQUEST_ID.to_owned(),
        _ => request_id(request),
    };
    Ok(StartedRun { fault, guard, id })
}

/// Applies the faults that come between running and the first byte of the answer.
pub(super) async fn delay_answer(
    state: &EngineState,
    started: StartedRun,
) -> Result<StartedRun, Box<HttpResponse>> {
    let delay = Duration::from_millis(started.fault.delay_ms);
    match started.fault.kind {
        FaultKind::Hang if started.fault.after == 0 => pending().await,
        FaultKind::CutBefore => {
            started.guard.end(RunOutcome::Failed);
            Err(Box::new(cut_before()))
        }
        FaultKind::Crash => {
            started.guard.end(RunOutcome::Failed);
            state.order_crash(delay);
            Err(Box::new(cut_before()))
        }
        FaultKind::Late => {
            actix_web::rt::time::sleep(delay).await;
            Ok(started)
        }
        _ => Ok(started),
    }
}

/// The refusal of a request that does not run.
fn refusal() -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .insert_header(("plantainmill-executed", "no"))
        .json(serde_json::json!({"error": {"message": "overloaded"}}))
}

/// An answer whose connection is cut before its head is sent.
pub(super) fn cut_before() -> HttpResponse {
    let body = SizedStream::new(1, stream::iter([Err(cut_error())]));
    HttpResponse::Ok().body(body)
}

/// The error that cuts a connection.
pub(super) fn cut_error() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "injected cut")
}

/// A whole JSON answer, with the faults that apply to its body.
pub(super) fn whole_answer(started: StartedRun, text: String) -> HttpResponse {
    let StartedRun { fault, guard, id } = started;
    let mut builder = HttpResponse::Ok();
    builder
        .insert_header((REQUEST_ID_HEADER, id))
        .insert_header((CONTENT_TYPE, "application/json"));
    match fault.kind {
        FaultKind::CutStream => {
            guard.end(RunOutcome::Failed);
            builder.body(half_body(text))
        }
        FaultKind::Malformed => {
            guard.end(RunOutcome::Failed);
            let half = text.len() / 2;
            builder.body(text[..half].to_owned())
        }
        FaultKind::Foreign => {
            guard.end(RunOutcome::Completed);
            builder.body(format!("{text}{FOREIGN_LINE}"))
        }
        FaultKind::Oversized => {
            guard.end(RunOutcome::Completed);
            builder.body(oversized(text))
        }
        _ => {
            guard.end(RunOutcome::Completed);
            builder.body(text)
        }
    }
}

/// Half of `text` under the length of the whole; then the connection is cut.
fn half_body(
    text: String,
) -> SizedStream<impl stream::Stream<Item = Result<Bytes, io::Error>> + 'static> {
    let length = u64::try_from(text.len()).unwrap_or(u64::MAX);
    let half = Bytes::from(text).slice(..usize::try_from(length / 2).unwrap_or(0));
    let first = stream::once(async move { Ok(half) });
    // The pause lets the first half leave before the cut.
    let cut = stream::once(async {
        actix_web::rt::time::sleep(Duration::from_millis(5)).await;
        Err(cut_error())
    });
    SizedStream::new(length, Box::pin(stream::StreamExt::chain(first, cut)))
}

/// Valid JSON above the size that callers accept.
fn oversized(mut text: String) -> String {
    text.push_str(&" ".repeat(OVERSIZED_BYTES));
    text
}
