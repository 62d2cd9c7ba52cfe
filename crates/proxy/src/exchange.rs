//! Sends one request and reads the head of its response.

use crate::context::{AttemptFailure, CallContext, ExecutionMark};
use crate::headers::{DEADLINE_HEADER, LIMIT_HEADER, REQUEST_ID_HEADER, header_text};
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
use plantainmill_dispatch::{CallOutcome, TargetTicket};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Statuses after which a request that may be repeated is sent to another target.
const RETRY_STATUSES: &[u16] = &[429, 502, 503, 504];

/// Body of a response as it arrives. Dropping it early closes the connection.
pub(crate) type ResponsePayload = LocalBoxStream<'static, Result<Bytes, PayloadError>>;

/// Head of a response that was checked to belong to the request.
pub(crate) struct ResponseHead {
    pub status: u16,
    pub headers: HeaderMap,
    pub payload: ResponsePayload,
    /// Time from sending the request to the head of the response.
    pub first_byte: Duration,
}

impl ResponseHead {
    /// Whether another target may succeed.
    pub fn is_retryable(&self) -> bool {
        RETRY_STATUSES.contains(&self.status)
    }

    /// Whether the body is a stream of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        let content_type = header_text(&self.headers, "content-type").unwrap_or_default();
        content_type.trim_start().starts_with("text/event-stream")
    }

    /// Whether the status is a 2xx status.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Sends the request to the target of `ticket` and reads the head of the response.
pub(crate) async fn send_request(
    context: &CallContext,
    ticket: &TargetTicket,
    mark: &ExecutionMark,
) -> Result<ResponseHead, AttemptFailure> {
    let request_id = new_id("");
    let request = build_request(context, ticket.address, &request_id)?;
    let sent_at = Instant::now();
    mark.trace.start(request_id.as_bytes(), None);
    mark.set(Executed::Unknown);
    let exchange = request.send_body(context.request.body.clone());
    let sent = mark.trace.observe(exchange).await;
    let response = sent.map_err(|error| send_failure(&error, mark))?;
    let mut head = ResponseHead {
        status: response.status().as_u16(),
        headers: response.headers().clone(),
        payload: futures_util::stream::empty().boxed_local(),
        first_byte: sent_at.elapsed(),
    };
    check_echo(&head, &request_id).inspect_err(|_| mark.trace.retire_connection())?;
    let limit = header_text(&head.headers, LIMIT_HEADER);
    ticket.record_limit(limit.and_then(|limit| limit.trim().parse().ok()));
    check_refusal(&head, mark).inspect_err(|failure| {
        mark.trace.retire_connection();
        let used = mark.trace.connection();
        tracing::info!(
            event = "send_refused",
            request = %request_id,
            target = %ticket.target,
            connection = used.map(|used| used.connection),
            id_sends = used.map(|used| used.id_sends),
            reason = %failure.reason,
        );
    })?;
    check_status(&head).inspect_err(|_| mark.trace.retire_connection())?;
    mark.set(Executed::Yes);
    check_length(&head, context).inspect_err(|_| mark.trace.retire_connection())?;
    head.payload = response.boxed_local();
    Ok(head)
}

fn build_request(
    context: &CallContext,
    address: SocketAddr,
    request_id: &str,
) -> Result<ClientRequest, AttemptFailure> {
    let invalid = |reason: String| {
        AttemptFailure::new(ResultCode::BadRequest, reason).with_outcome(CallOutcome::Abandoned)
    };
    let method = Method::from_bytes(context.request.method.as_bytes())
        .map_err(|error| invalid(format!("method: {error}")))?;
    if !context.request.path.starts_with('/') {
        return Err(invalid("path: it does not start with /".to_owned()));
    }
    let url = format!("http://{address}{}", context.request.path);
    let uri = Uri::try_from(url).map_err(|error| invalid(format!("path: {error}")))?;
    let mut request = client().request(method, uri).address(address);
    for (name, value) in &context.headers {
        request = request.append_header((name.as_str(), value.as_str()));
    }
    let left = context.time_left().as_millis();
    Ok(request
        .insert_header((REQUEST_ID_HEADER, request_id))
        .insert_header((DEADLINE_HEADER, left.to_string())))
}

/// Classifies a send that got no response. Only a failed connect or an invalid request proves no execution.
fn send_failure(error: &SendRequestError, mark: &ExecutionMark) -> AttemptFailure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {}
        SendRequestError::Connect(_) => mark.set(Executed::No),
        SendRequestError::Http(_) | SendRequestError::Url(_) => {
            mark.set(Executed::No);
            let reason = format!("header: {error}");
            return AttemptFailure::new(ResultCode::BadHeader, reason)
                .with_outcome(CallOutcome::Abandoned);
        }
        SendRequestError::Response(cause) if !matches!(cause, ParseError::Io(_)) => {
            let reason = format!("the answer's head is malformed: {error}");
            return AttemptFailure::new(ResultCode::AnswerInvalid, reason);
        }
        _ => {}
    }
    let is_lost = matches!(
        error,
        SendRequestError::Connect(ConnectError::Disconnected)
            | SendRequestError::Response(ParseError::Io(_))
            | SendRequestError::Send(_)
    );
    let outcome = if is_lost {
        CallOutcome::ConnectionLost
    } else {
        CallOutcome::Failed
    };
    AttemptFailure::new(ResultCode::TargetFailed, format!("no answer: {error}"))
        .with_outcome(outcome)
}

/// Rejects responses to other requests. Whether this request was executed is unknown then.
fn check_echo(head: &ResponseHead, request_id: &str) -> Result<(), AttemptFailure> {
    let echo = head.headers.get(REQUEST_ID_HEADER);
    if echo.is_none_or(|echo| echo.as_bytes() == request_id.as_bytes()) {
        return Ok(());
    }
    let reason = "the answer belongs to another request";
    Err(AttemptFailure::new(ResultCode::AnswerInvalid, reason))
}

/// Detects refusals by which the target states that it did not execute the request.
fn check_refusal(head: &ResponseHead, mark: &ExecutionMark) -> Result<(), AttemptFailure> {
    let is_not_executed =
        header_text(&head.headers, EXECUTED_HEADER) == Some(Executed::No.as_str());
    if !is_not_executed || head.status < 400 {
        return Ok(());
    }
    // A target may write an earlier refusal once more. One that names no request is that of this one only if nothing was sent
    // on the connection before.
    if !head.headers.contains_key(REQUEST_ID_HEADER) && !mark.trace.has_connected() {
        let reason = "the refusal names no request";
        return Err(AttemptFailure::new(ResultCode::AnswerInvalid, reason));
    }
    mark.set(Executed::No);
    let reason = format!("the target refused with status {}", head.status);
    let failure = AttemptFailure::new(ResultCode::TargetRefused, reason);
    Err(failure.with_outcome(CallOutcome::Rejected))
}

/// Rejects responses with a status that HTTP does not define as a final one. Whether the request was executed is unknown then.
fn check_status(head: &ResponseHead) -> Result<(), AttemptFailure> {
    if (200..600).contains(&head.status) {
        return Ok(());
    }
    let reason = format!("the status {:03} is invalid", head.status);
    Err(AttemptFailure::new(ResultCode::AnswerInvalid, reason))
}

/// Rejects responses that are too large, or whose end cannot be told from a truncation.
fn check_length(head: &ResponseHead, context: &CallContext) -> Result<(), AttemptFailure> {
    let invalid = |reason: &str| Err(AttemptFailure::new(ResultCode::AnswerInvalid, reason));
    let length = header_text(&head.headers, CONTENT_LENGTH.as_str());
    let length = length.and_then(|length| length.parse::<usize>().ok());
    if length.is_some_and(|length| length > context.limits.max_response_bytes) {
        return invalid("the answer is too large");
    }
    let has_body = !matches!(head.status, 204 | 304) && context.request.method != "HEAD";
    let is_chunked = head.headers.contains_key(TRANSFER_ENCODING);
    if has_body && length.is_none() && !is_chunked {
        return invalid("the answer has no length");
    }
    Ok(())
}
