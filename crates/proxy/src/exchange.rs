//! One request and the head of its answer.

use crate::context::{CallContext, TryFailure, TryMark};
use crate::headers::{DEADLINE_HEADER, REQUEST_ID_HEADER, header_text};
use crate::transport::client;
use actix_web::error::ParseError;
use awc::ClientRequest;
use awc::error::{ConnectError, PayloadError, SendRequestError};

use awc::http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use awc::http::{Method, Uri};
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::LocalBoxStream;
use plantainmill_core::response::EXECUTED_HEADER;
use plantainmill_core::secret::new_id;
use plantainmill_core::{Executed, ResultCode};
use plantainmill_dispatch::CallOutcome;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Statuses after which a repeatable request is tried elsewhere.
const RETRY_STATUSES: &[u16] = &[429, 502, 503, 504];

/// Body of an answer as it arrives. Dropping it before its end closes the connection.
pub(crate) type AnswerPayload = LocalBoxStream<'static, Result<Bytes, PayloadError>>;

/// Head of an answer, checked to belong to the request.
pub(crate) struct AnswerHead {
    pub status: u16,
    pub headers: HeaderMap,
    pub payload: AnswerPayload,
    /// Time from sending to the head.
    pub first_byte: Duration,
}

impl AnswerHead {
    /// Says whether another target may do better.
    pub fn asks_retry(&self) -> bool {
        RETRY_STATUSES.contains(&self.status)
    }

    /// Says whether the answer is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        let kind = header_text(&self.headers, "content-type").unwrap_or_default();
        kind.trim_start().starts_with("text/event-stream")
    }

    /// Says whether the request succeeded.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Sends the request to `address` and reads the head of the answer.
pub(crate) async fn send_request(
    context: &CallContext,
    address: SocketAddr,
    mark: &TryMark,
) -> Result<AnswerHead, TryFailure> {
    let request_id = new_id("");
    let request = build_request(context, address, &request_id)?;
    let sent_at = Instant::now();
    mark.set(Executed::Unknown);
    let sent = request.send_body(context.request.body.clone()).await;
    let answer = sent.map_err(|error| send_failure(&error, mark))?;
    let mut head = AnswerHead {
        status: answer.status().as_u16(),
        headers: answer.headers().clone(),
        payload: futures_util::stream::empty().boxed_local(),
        first_byte: sent_at.elapsed(),
    };
    check_echo(&head, &request_id)?;
    check_refusal(&head, mark)?;
    mark.set(Executed::Yes);
    check_length(&head, context)?;
    head.payload = answer.boxed_local();
    Ok(head)
}

fn build_request(
    context: &CallContext,
    address: SocketAddr,
    request_id: &str,
) -> Result<ClientRequest, TryFailure> {
    let bad = |reason: String| {
        TryFailure::new(ResultCode::BadRequest, reason).with_outcome(CallOutcome::Abandoned)
    };
    let method = Method::from_bytes(context.request.method.as_bytes())
        .map_err(|error| bad(format!("method: {error}")))?;
    if !context.request.path.starts_with('/') {
        return Err(bad("path: it does not start with /".to_owned()));
    }
    let url = format!("http://{address}{}", context.request.path);
    let uri = Uri::try_from(url).map_err(|error| bad(format!("path: {error}")))?;
    let mut request = client().request(method, uri).address(address);
    for (name, value) in &context.headers {
        request = request.append_header((name.as_str(), value.as_str()));
    }
    let left = context.time_left().as_millis();
    Ok(request
        .insert_header((REQUEST_ID_HEADER, request_id))
        .insert_header((DEADLINE_HEADER, left.to_string())))
}

/// A request without an answer. It certainly did not run only if there was no connection.
fn send_failure(error: &SendRequestError, mark: &TryMark) -> TryFailure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {}
        SendRequestError::Connect(_) => mark.set(Executed::No),
        SendRequestError::Http(_) | SendRequestError::Url(_) => {
            mark.set(Executed::No);
            let reason = format!("header: {error}");
            return TryFailure::new(ResultCode::BadHeader, reason)
                .with_outcome(CallOutcome::Abandoned);
        }
        SendRequestError::Response(cause) if !matches!(cause, ParseError::Io(_)) => {
            let reason = format!("the answer's head is malformed: {error}");
            return TryFailure::new(ResultCode::AnswerInvalid, reason);
        }
        _ => {}
    }
    TryFailure::new(ResultCode::TargetFailed, format!("no answer: {error}"))
}

/// Finds answers to other requests. What became of this request is unknown then.
fn check_echo(head: &AnswerHead, request_id: &str) -> Result<(), TryFailure> {
    let echo = head.headers.get(REQUEST_ID_HEADER);
    if echo.is_none_or(|echo| echo.as_bytes() == request_id.as_bytes()) {
        return Ok(());
    }
    let reason = "the answer belongs to another request";
    Err(TryFailure::new(ResultCode::AnswerInvalid, reason))
}

/// Finds refusals that say that the request did not run.
fn check_refusal(head: &AnswerHead, mark: &TryMark) -> Result<(), TryFailure> {
    let says_no = header_text(&head.headers, EXECUTED_HEADER) == Some(Executed::No.as_str());
    if !says_no || head.status < 400 {
        return Ok(());
    }
    mark.set(Executed::No);
    let reason = format!("the target refused with status {}", head.status);
    let failure = TryFailure::new(ResultCode::TargetRefused, reason);
    Err(failure.with_outcome(CallOutcome::Rejected))
}

/// Finds answers that are too large, or whose end could not be told from a cut.
fn check_length(head: &AnswerHead, context: &CallContext) -> Result<(), TryFailure> {
    let invalid = |reason: &str| Err(TryFailure::new(ResultCode::AnswerInvalid, reason));
    if head.status < 200 {
        return invalid("the answer is an interim one");
    }
    let length = header_text(&head.headers, CONTENT_LENGTH.as_str());
    let length = length.and_then(|length| length.parse::<usize>().ok());
    if length.is_some_and(|length| length > context.limits.answer_bytes) {
        return invalid("the answer is too large");
    }
    let has_body = !matches!(head.status, 204 | 304) && context.request.method != "HEAD";
    let is_chunked = head.headers.contains_key(TRANSFER_ENCODING);
    if has_body && length.is_none() && !is_chunked {
        return invalid("the answer has no length");
    }
    Ok(())
}
