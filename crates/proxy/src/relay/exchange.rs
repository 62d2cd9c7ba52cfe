//! One send of a request to one target, up to the head of the answer.

use super::call::{HeaderNames, RelayCall};
use crate::transport::client;
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::Uri;
use awc::http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::LocalBoxStream;
use plantainmill_core::Executed;
use plantainmill_dispatch::{CallOutcome, TargetTicket};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Status of a target that is not the expected one.
const WRONG_INSTANCE: u16 = 421;
/// Slack by which a target is told to stop before the answer is given up here.
const DEADLINE_SLACK: Duration = Duration::from_millis(10);

/// Why a send has no answer to pass on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendFailure {
    /// Whether the request ran.
    pub executed: Executed,
    /// What the dispatcher is told.
    pub outcome: CallOutcome,
    /// The deadline passed.
    pub is_deadline: bool,
    /// Reason for the log.
    pub reason: String,
}

impl SendFailure {
    pub(super) fn new(
        executed: Executed,
        outcome: CallOutcome,
        reason: impl Into<String>,
    ) -> SendFailure {
        SendFailure {
            executed,
            outcome,
            is_deadline: false,
            reason: reason.into(),
        }
    }

    /// The deadline passed while the answer was awaited.
    pub(super) fn deadline() -> SendFailure {
        SendFailure {
            is_deadline: true,
            ..SendFailure::new(
                Executed::Unknown,
                CallOutcome::Abandoned,
                "the deadline passed",
            )
        }
    }
}

/// Head of an answer that belongs to the request, with its body as it arrives. Dropping it before its end closes the
/// connection, which ends the target's work.
pub struct TargetResponse {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body. An error means that it is not whole.
    pub payload: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl TargetResponse {
    /// Whether the status is a success.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the body is a stream of events.
    #[must_use]
    pub fn is_event_stream(&self) -> bool {
        let kind = self.headers.get("content-type");
        kind.and_then(|kind| kind.to_str().ok())
            .is_some_and(|kind| kind.trim_start().starts_with("text/event-stream"))
    }
}

/// Sends `call` to the target of `ticket`, to go on after `last_event`.
///
/// # Errors
///
/// Says whether the request may have run at that target.
pub async fn send_once(
    call: &RelayCall,
    names: &HeaderNames,
    ticket: &TargetTicket,
    last_event: Option<u64>,
    time_left: Duration,
) -> Result<TargetResponse, SendFailure> {
    let url = format!("http://{}{}", ticket.address, call.path);
    let uri = Uri::try_from(url).map_err(|error| {
        SendFailure::new(
            Executed::No,
            CallOutcome::Abandoned,
            format!("path: {error}"),
        )
    })?;
    let mut request = client()
        .request(call.method.clone(), uri)
        .address(ticket.address)
        .no_decompress();
    let headers = request.headers_mut();
    for (name, value) in &call.headers {
        headers.append(name.clone(), value.clone());
    }
    let left = time_left.saturating_sub(DEADLINE_SLACK).as_millis().max(1);
    request = request
        .insert_header((names.request_id.clone(), call.id.as_str()))
        .insert_header((names.expected_instance.clone(), ticket.target.as_str()))
        .insert_header((names.deadline.clone(), left.to_string()));
    if let Some(organisation) = &call.organisation {
        request = request.insert_header((names.organisation.clone(), organisation.as_str()));
    }
    if let Some(last_event) = last_event {
        request = request.insert_header((names.last_event.clone(), last_event.to_string()));
    }
    let sent_at = Instant::now();
    let sent = timeout_at(sent_at + time_left, request.send_body(call.body.clone())).await;
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return Err(send_failure(&error)),
        Err(_) => return Err(SendFailure::deadline()),
    };
    let status = answer.status().as_u16();
    let headers = answer.headers().clone();
    let echo = headers.get(&names.request_id);
    if headers.contains_key(&names.not_executed) || status == WRONG_INSTANCE {
        let outcome = if status == WRONG_INSTANCE {
            CallOutcome::Failed
        } else {
            CallOutcome::Rejected
        };
        // A refusal for another request says nothing about this one.
        if echo.is_none_or(|echo| echo.as_bytes() == call.id.as_bytes()) {
            // Reading the short body keeps the connection.
            let body = answer.boxed_local();
            actix_rt::spawn(body.for_each(|_| std::future::ready(())));
            let reason = format!("the target refused with status {status}");
            return Err(SendFailure::new(Executed::No, outcome, reason));
        }
    }
    if echo.is_none_or(|echo| echo.as_bytes() != call.id.as_bytes()) {
        let reason = "the answer belongs to another request";
        return Err(SendFailure::new(
            Executed::Unknown,
            CallOutcome::Failed,
            reason,
        ));
    }
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let payload = answer.take_while(move |part| {
        // A body without a length ends with its connection.
        let is_end = !is_framed && matches!(part, Err(error) if is_clean_end(error));
        std::future::ready(!is_end)
    });
    Ok(TargetResponse {
        status,
        headers,
        payload: payload.boxed_local(),
        sent_at,
    })
}

fn is_clean_end(error: &PayloadError) -> bool {
    let (PayloadError::Io(cause) | PayloadError::Incomplete(Some(cause))) = error else {
        return false;
    };
    cause.kind() == ErrorKind::UnexpectedEof
}

/// A request without an answer certainly did not run only if there was no connection.
fn send_failure(error: &SendRequestError) -> SendFailure {
    let executed = match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Executed::Unknown,
        SendRequestError::Connect(_) | SendRequestError::Url(_) | SendRequestError::Http(_) => {
            Executed::No
        }
        _ => Executed::Unknown,
    };
    SendFailure::new(executed, CallOutcome::Failed, format!("no answer: {error}"))
}
