//! Answers to callers.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web::Bytes;
use compact_str::CompactString;
use futures_util::StreamExt as _;
use futures_util::stream::LocalBoxStream;
use plantainmill_admission::KeyOwner;
use plantainmill_config::ConfigView;
use plantainmill_core::InFlightGuard;
use plantainmill_core::response::{EXECUTED_HEADER, RESULT_HEADER};
use plantainmill_core::{Executed, Problem, ResultCode};
use plantainmill_proxy::{BufferedResponse, StreamingResponse};

/// Number of the result of a call that succeeded.
const RESULT_OK: &str = "0";

/// Passes on an answer that was read whole.
#[must_use]
pub fn whole(answer: BufferedResponse) -> HttpResponse {
    let mut builder = start(answer.status, &answer.headers);
    builder.body(answer.body)
}

/// Passes on an answer as it arrives. It ends with an error event when it is cut, or when the key that
/// started it is withdrawn meanwhile.
#[must_use]
pub fn streamed(
    answer: StreamingResponse,
    identity: Option<KeyOwner>,
    view: ConfigView,
    flight: InFlightGuard,
) -> HttpResponse {
    let mut builder = start(answer.status, &answer.headers);
    let guarded = guard_stream(answer.chunks, identity, view);
    let events = guarded.map(move |chunk| {
        let _held = &flight;
        Ok::<Bytes, actix_web::Error>(chunk.unwrap_or_else(|problem| error_event(&problem)))
    });
    builder.streaming(events)
}

fn start(
    status: u16,
    headers: &[(CompactString, CompactString)],
) -> actix_web::HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in headers {
        builder.insert_header((name.as_str(), value.as_str()));
    }
    builder.insert_header((RESULT_HEADER, RESULT_OK));
    builder.insert_header((EXECUTED_HEADER, Executed::Yes.as_str()));
    builder
}

/// The event that ends a stream which is not whole.
fn error_event(problem: &Problem) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", problem.to_json()))
}

/// Ends `chunks` after the first error, and with an error once the caller's key is no longer valid.
fn guard_stream(
    chunks: LocalBoxStream<'static, Result<Bytes, Problem>>,
    identity: Option<KeyOwner>,
    view: ConfigView,
) -> LocalBoxStream<'static, Result<Bytes, Problem>> {
    let mut ended = false;
    let mut checked_version = 0;
    chunks
        .map(move |chunk| {
            let config = view.load();
            if config.version != checked_version {
                checked_version = config.version;
                let withdrawn = identity
                    .as_ref()
                    .is_some_and(|identity| !config.keys.contains_key(&identity.key));
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
    let reason = "the key was withdrawn while the answer was under way";
    Problem::new(ResultCode::KeyUnknown, reason).with_executed(Executed::Yes)
}
