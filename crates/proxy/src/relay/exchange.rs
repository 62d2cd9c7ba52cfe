//! Sends a request to one target and reads the head of its response.

use super::call::RelayCall;
use super::open::RelayCaller;
use crate::connect_phase::ConnectPhase;
use actix_web::error::ParseError;
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

/// Status of a target instance that is not the one that the request is addressed to.
const MISDIRECTED_REQUEST: u16 = 421;
/// The deadline sent to a target is earlier by this margin, so that the target stops before the relay gives up.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// Why a send has no response to pass on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendFailure {
    /// Whether the target executed the request.
    pub executed: Executed,
    /// Outcome that is reported to the dispatcher.
    pub outcome: CallOutcome,
    /// Whether the send failed because the deadline passed.
    pub is_deadline: bool,
    /// Whether the connection to the target was open, so that the request may have reached it.
    pub was_connected: bool,
    /// Reason for the log.
    pub reason: String,
}

impl SendFailure {
    /// A failure on an open connection.
    pub fn new(executed: Executed, outcome: CallOutcome, reason: impl Into<String>) -> SendFailure {
        SendFailure {
            executed,
            outcome,
            is_deadline: false,
            was_connected: true,
            reason: reason.into(),
        }
    }

    /// Records how far the send had got.
    #[must_use]
    pub fn in_phase(self, phase: &ConnectPhase) -> SendFailure {
        SendFailure {
            was_connected: !phase.is_connecting(),
            ..self
        }
    }

    /// The deadline passed while waiting for the response.
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

/// Head of a response that belongs to the request, with its body as it arrives. Dropping it early closes the
/// connection, which cancels the work at the target.
pub struct TargetResponse {
    /// HTTP status that the target returned.
    pub status: u16,
    /// All headers that the target returned.
    pub headers: HeaderMap,
    /// Body. An error means that it is incomplete.
    pub payload: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
    /// Whether the end of the body is marked, by a length or by chunks, and not only by the end of the connection.
    pub is_framed: bool,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl TargetResponse {
    /// Whether the status is a 2xx status.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the body is a stream of server-sent events.
    #[must_use]
    pub fn is_event_stream(&self) -> bool {
        let content_type = self.headers.get("content-type");
        content_type
            .and_then(|content_type| content_type.to_str().ok())
            .is_some_and(|content_type| content_type.trim_start().starts_with("text/event-stream"))
    }
}

impl RelayCaller {
    /// Sends `call` to the target of `ticket`, to continue after `last_event`. Records in `phase` how far it has got.
    ///
    /// # Errors
    ///
    /// The failure states whether that target may have executed the request.
    pub async fn send(
        &self,
        call: &RelayCall,
        ticket: &TargetTicket,
        last_event: Option<u64>,
        time_left: Duration,
        phase: &ConnectPhase,
    ) -> Result<TargetResponse, SendFailure> {
        let url = format!("http://{}{}", ticket.address, call.path);
        let uri = Uri::try_from(url).map_err(|error| {
            SendFailure::new(
                Executed::No,
                CallOutcome::Abandoned,
                format!("path: {error}"),
            )
        })?;
        let names = self.header_names();
        let mut request = self
            .shared
            .client
            .request(call.method.clone(), uri)
            .address(ticket.address)
            .no_decompress();
        let headers = request.headers_mut();
        for (name, value) in &call.headers {
            headers.append(name.clone(), value.clone());
        }
        let left = time_left.saturating_sub(DEADLINE_MARGIN).as_millis().max(1);
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
        let send = phase.observe(request.send_body(call.body.clone()));
        let response = match timeout_at(sent_at + time_left, send).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(send_failure(&error).in_phase(phase)),
            Err(_) => return Err(SendFailure::deadline().in_phase(phase)),
        };
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let echo = headers.get(&names.request_id);
        let limit = headers.get(&names.target_limit);
        let limit = limit.and_then(|limit| limit.to_str().ok()?.trim().parse().ok());
        ticket.record_limit(limit);
        if headers.contains_key(&names.not_executed) || status == MISDIRECTED_REQUEST {
            let outcome = if status == MISDIRECTED_REQUEST {
                CallOutcome::Failed
            } else {
                CallOutcome::Rejected
            };
            // A refusal of another request says nothing about this one.
            if echo.is_none_or(|echo| echo.as_bytes() == call.id.as_bytes()) {
                // Reading the short body to its end keeps the connection reusable.
                let body = response.boxed_local();
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
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        let payload = response.take_while(move |part| {
            // A body without a length ends with its connection.
            let is_end = !is_framed && matches!(part, Err(error) if is_clean_end(error));
            std::future::ready(!is_end)
        });
        Ok(TargetResponse {
            status,
            headers,
            // The client panics when it is polled after the end.
            payload: payload.fuse().boxed_local(),
            is_framed,
            sent_at,
        })
    }
}

fn is_clean_end(error: &PayloadError) -> bool {
    let (PayloadError::Io(cause) | PayloadError::Incomplete(Some(cause))) = error else {
        return false;
    };
    cause.kind() == ErrorKind::UnexpectedEof
}

/// Classifies a send that got no response. Only a failed connect or an invalid request proves no execution.
fn send_failure(error: &SendRequestError) -> SendFailure {
    let executed = match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Executed::Unknown,
        SendRequestError::Connect(_) | SendRequestError::Url(_) | SendRequestError::Http(_) => {
            Executed::No
        }
        _ => Executed::Unknown,
    };
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
    SendFailure::new(executed, outcome, format!("no answer: {error}"))
}
