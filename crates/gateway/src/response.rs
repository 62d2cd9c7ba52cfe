//! Responses to callers.

use actix_web::http::StatusCode;
use actix_web::web::Bytes;
use actix_web::{HttpResponse, HttpResponseBuilder};
use compact_str::CompactString;
use futures_util::StreamExt as _;
use futures_util::stream::LocalBoxStream;
use plantainmill_admission::KeyOwner;
use plantainmill_config::ConfigView;
use plantainmill_core::InFlightGuard;
use plantainmill_core::code::promises_no_run;
use plantainmill_core::response::{EXECUTED_HEADER, RESULT_HEADER};
use plantainmill_core::{Executed, Problem, ResultCode};
use plantainmill_proxy::{BufferedResponse, StreamingResponse};

/// Result number of a call that succeeded.
const RESULT_OK: &str = "0";

/// Forwards a response that was read completely.
///
/// # Errors
///
/// Fails if its status promises that the request has not run.
pub fn buffered(response: BufferedResponse) -> Result<HttpResponse, Problem> {
    let mut builder = response_builder(response.status, &response.headers)?;
    Ok(builder.body(response.body))
}

/// Forwards a response as it arrives. The stream ends with an error event when the target's stream fails, or when the
/// caller's key is withdrawn in the meantime.
///
/// # Errors
///
/// Fails if its status promises that the request has not run.
pub fn streaming(
    response: StreamingResponse,
    key_owner: Option<KeyOwner>,
    view: ConfigView,
    in_flight: InFlightGuard,
) -> Result<HttpResponse, Problem> {
    let mut builder = response_builder(response.status, &response.headers)?;
    let guarded = guard_stream(response.chunks, key_owner, view);
    let events = guarded.map(move |chunk| {
        let _held = &in_flight;
        Ok::<Bytes, actix_web::Error>(chunk.unwrap_or_else(|problem| error_event(&problem)))
    });
    Ok(builder.streaming(events))
}

/// Begins a response of a target, which has run the request: one that states otherwise never gets here.
fn response_builder(
    status: u16,
    headers: &[(CompactString, CompactString)],
) -> Result<HttpResponseBuilder, Problem> {
    if promises_no_run(status) {
        let reason = format!("the target answered with status {status}");
        let problem = Problem::new(ResultCode::TargetFailed, reason);
        return Err(problem.with_executed(Executed::Yes));
    }
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in headers {
        builder.insert_header((name.as_str(), value.as_str()));
    }
    builder.insert_header((RESULT_HEADER, RESULT_OK));
    builder.insert_header((EXECUTED_HEADER, Executed::Yes.as_str()));
    Ok(builder)
}

/// The event that ends an incomplete stream.
fn error_event(problem: &Problem) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", problem.to_json()))
}

/// Ends `chunks` after the first error. Replaces a chunk by an error when the configuration has changed and no longer
/// holds the caller's key.
fn guard_stream(
    chunks: LocalBoxStream<'static, Result<Bytes, Problem>>,
    key_owner: Option<KeyOwner>,
    view: ConfigView,
) -> LocalBoxStream<'static, Result<Bytes, Problem>> {
    let mut ended = false;
    let mut checked_version = 0;
    chunks
        .map(move |chunk| {
            let config = view.load();
            if config.version != checked_version {
                checked_version = config.version;
                let withdrawn = key_owner
                    .as_ref()
                    .is_some_and(|key_owner| !config.keys.contains_key(&key_owner.key));
                if withdrawn {
                    return Err(withdrawn_problem());
                }
            }
            chunk
        })
        .take_while(move |chunk| {
            let keep = !ended;
            ended |= chunk.is_err();
            std::future::ready(keep)
        })
        .boxed_local()
}

fn withdrawn_problem() -> Problem {
    let reason = "the key was withdrawn while the response was being sent";
    Problem::new(ResultCode::KeyUnknown, reason).with_executed(Executed::Yes)
}
