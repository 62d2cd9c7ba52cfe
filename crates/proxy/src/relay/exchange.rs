//! Sends a request to one target and reads the head of its response.

use super::call::RelayCall;
use super::open::RelayCaller;
use super::regions::SendReceiver;
use crate::connection_log::ConnectionUse;
use crate::send_trace::SendTrace;
use actix_web::error::ParseError;
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::Uri;
use awc::http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use awc::{Client, ClientRequest, ClientResponse};
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::LocalBoxStream;
use plantainmill_core::{Executed, ResultCode};
use plantainmill_dispatch::shared::TargetStatement;
use plantainmill_dispatch::{CallOutcome, TargetTicket};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Status of a target instance that is not the one that the request is addressed to.
pub(super) const MISDIRECTED_REQUEST: u16 = 421;
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
    /// Whether the connection was open and nothing came on it for too long.
    pub is_silent: bool,
    /// Result code of a call that ends with this failure; `None` for the usual one.
    pub code: Option<ResultCode>,
    /// VM that was asked to forward the request; `None` for a direct send.
    pub forwarder: Option<SocketAddr>,
    /// Connection on which the request was written; `None` if it was not, or if that is not known.
    pub connection: Option<ConnectionUse>,
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
            is_silent: false,
            code: None,
            forwarder: None,
            connection: None,
            reason: reason.into(),
        }
    }

    /// No connection was opened, because this VM reaches the target neither directly nor through another one.
    pub(super) fn unreachable(reason: impl Into<String>) -> SendFailure {
        SendFailure {
            was_connected: false,
            ..SendFailure::new(Executed::No, CallOutcome::Failed, reason)
        }
    }

    /// Records how far the send had got, and which way it took. Without a connection, nothing was executed.
    #[must_use]
    pub fn at(self, trace: &SendTrace) -> SendFailure {
        let executed = if trace.is_connecting() {
            Executed::No
        } else {
            self.executed
        };
        SendFailure {
            executed,
            was_connected: !trace.is_connecting(),
            forwarder: trace.forwarder(),
            connection: trace.connection(),
            ..self
        }
    }

    /// Nothing came for too long.
    pub fn silent(executed: Executed, reason: impl Into<String>) -> SendFailure {
        SendFailure {
            is_silent: true,
            ..SendFailure::new(executed, CallOutcome::Failed, reason)
        }
    }

    /// A response that is not valid.
    fn invalid(executed: Executed, reason: String) -> SendFailure {
        SendFailure {
            code: Some(ResultCode::AnswerInvalid),
            ..SendFailure::new(executed, CallOutcome::Failed, reason)
        }
    }

    /// A response whose status says nothing, of a request that may have run.
    fn invalid_status(status: u16) -> SendFailure {
        let reason = format!("the status {status:03} is invalid");
        SendFailure::invalid(Executed::Unknown, reason)
    }

    /// A stream of events with bytes that belong to no event, or with an event that is not the next one.
    pub(super) fn invalid_stream(reason: &str) -> SendFailure {
        let reason = format!("the stream is invalid: {reason}");
        SendFailure::invalid(Executed::Yes, reason)
    }

    /// Whether the target sent what is no valid response.
    pub(super) fn is_invalid(&self) -> bool {
        self.code == Some(ResultCode::AnswerInvalid)
    }

    /// Whether no connection was opened, so that the request may go another way while there is time.
    pub(super) fn is_unsent(&self) -> bool {
        !self.was_connected && !self.is_deadline
    }

    /// Whether a lost path may be the reason.
    pub(super) fn suggests_lost_path(&self) -> bool {
        let is_lost = matches!(
            self.outcome,
            CallOutcome::ConnectionLost | CallOutcome::StreamLost
        );
        self.was_connected && (is_lost || self.is_silent || self.is_deadline)
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
    /// VM that forwarded the request; `None` if it was sent directly.
    pub forwarder: Option<SocketAddr>,
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

/// One send of a call: to a target, to continue after an event.
#[derive(Clone, Copy)]
pub struct CallSend<'a> {
    /// The call.
    pub call: &'a RelayCall,
    /// Permission for this send, with its target.
    pub ticket: &'a TargetTicket,
    /// Last event that the caller already has.
    pub last_event: Option<u64>,
    /// When the send is given up.
    pub until: Instant,
    /// Where the progress is recorded.
    pub trace: &'a SendTrace,
}

impl CallSend<'_> {
    fn time_left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }
}

impl RelayCaller {
    /// Sends the request on a connection to the target.
    pub(super) async fn send_direct(
        &self,
        send: CallSend<'_>,
    ) -> Result<TargetResponse, SendFailure> {
        send.trace.start(send.call.id.as_bytes(), None);
        let request = self.build_request(&self.shared.client, send, SendReceiver::Target)?;
        let sent_at = Instant::now();
        let response = send_request(request, send).await?;
        let headers = response.headers();
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        self.check_response(send, response, is_framed, sent_at)
    }

    /// Builds the request for the target of the ticket, to be sent to `receiver`. Every send is built here, and fails here if
    /// its receiver is not in an allowed region.
    pub(super) fn build_request(
        &self,
        client: &Client,
        send: CallSend<'_>,
        receiver: SendReceiver<'_>,
    ) -> Result<ClientRequest, SendFailure> {
        let CallSend { call, ticket, .. } = send;
        let address = self.permitted_address(send, receiver)?;
        let url = format!("http://{address}{}", call.path);
        let uri = Uri::try_from(url).map_err(|error| {
            SendFailure::new(
                Executed::No,
                CallOutcome::Abandoned,
                format!("path: {error}"),
            )
        })?;
        let names = self.header_names();
        let mut request = client
            .request(call.method.clone(), uri)
            .address(address)
            .no_decompress();
        let headers = request.headers_mut();
        for (name, value) in &call.headers {
            headers.append(name.clone(), value.clone());
        }
        let left = send.time_left().saturating_sub(DEADLINE_MARGIN);
        let left = left.as_millis().max(1);
        request = request
            .insert_header((names.request_id.clone(), call.id.as_str()))
            .insert_header((names.expected_instance.clone(), ticket.target.as_str()))
            .insert_header((names.deadline.clone(), left.to_string()));
        if let Some(organisation) = &call.organisation {
            request = request.insert_header((names.organisation.clone(), organisation.as_str()));
        }
        if let Some(last_event) = send.last_event {
            request = request.insert_header((names.last_event.clone(), last_event.to_string()));
        }
        Ok(request)
    }

    /// Checks that a response belongs to the request, and that the target executed it. `is_framed` states whether the target
    /// marks the end of the body.
    pub(super) fn check_response(
        &self,
        send: CallSend<'_>,
        response: SentResponse,
        is_framed: bool,
        sent_at: Instant,
    ) -> Result<TargetResponse, SendFailure> {
        let CallSend { call, ticket, .. } = send;
        let names = self.header_names();
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let is_misdirected = status == MISDIRECTED_REQUEST;
        let is_refusal = headers.contains_key(&names.not_executed) || is_misdirected;
        // A refusal that names no request can only be of this one if nothing was sent on the connection before.
        let is_first = send.trace.forwarder().is_none() && send.trace.has_connected();
        let is_own = headers.get(&names.request_id).map_or_else(
            || is_refusal && is_first,
            |echo| echo.as_bytes() == call.id.as_bytes(),
        );
        if !is_own {
            send.trace.retire_connection();
            let reason = "the answer belongs to another request";
            let failure = SendFailure::new(Executed::Unknown, CallOutcome::Failed, reason);
            return Err(failure.at(send.trace));
        }
        // An instance that the request is not for does not speak for the target.
        if !is_misdirected {
            let limit = headers.get(&names.target_limit);
            let limit = limit.and_then(|limit| limit.to_str().ok()?.trim().parse().ok());
            ticket.record_limit(limit);
            let cold = names
                .target_cold
                .as_ref()
                .and_then(|name| headers.get(name));
            let cold = cold.and_then(|left| left.to_str().ok()?.trim().parse().ok());
            if let Some(left_ms) = cold {
                ticket.record_cold(Duration::from_millis(left_ms));
            }
            let load = headers.get(&names.target_load);
            let load = load.and_then(|load| TargetStatement::parse(load.to_str().ok()?));
            if let Some(load) = load {
                ticket.record_load(load);
            }
            if headers.contains_key(&names.target_leaving) {
                ticket.record_leaving();
            }
        }
        if is_refusal {
            // A VM that forwards retires its own connection to the target.
            if send.trace.forwarder().is_none() {
                send.trace.retire_connection();
            }
            let outcome = if is_misdirected {
                CallOutcome::Failed
            } else {
                CallOutcome::Rejected
            };
            let reason = format!("the target refused with status {status}");
            return Err(SendFailure::new(Executed::No, outcome, reason).at(send.trace));
        }
        if !is_final_status(status) {
            send.trace.retire_connection();
            return Err(SendFailure::invalid_status(status).at(send.trace));
        }
        Ok(TargetResponse {
            status,
            headers,
            payload: read_payload(response),
            is_framed,
            forwarder: send.trace.forwarder(),
            sent_at,
        })
    }
}

/// Whether HTTP defines the status as that of a final response (RFC 9110, section 15).
fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Body of a response as it arrives.
pub(super) type ResponsePayload = LocalBoxStream<'static, Result<Bytes, PayloadError>>;
/// Response of a request that was sent.
pub(super) type SentResponse = ClientResponse;

/// Sends a request and waits for the head of its response.
pub(super) async fn send_request(
    request: ClientRequest,
    send: CallSend<'_>,
) -> Result<SentResponse, SendFailure> {
    let exchange = request.send_body(send.call.body.clone());
    match timeout_at(send.until, send.trace.observe(exchange)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(send_failure(&error).at(send.trace)),
        Err(_) => Err(SendFailure::deadline().at(send.trace)),
    }
}

/// The body of a response. One that has no length on its connection ends with it.
pub(super) fn read_payload(response: SentResponse) -> ResponsePayload {
    let headers = response.headers();
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let payload = response.take_while(move |part| {
        let is_end = !is_framed && matches!(part, Err(error) if is_clean_end(error));
        std::future::ready(!is_end)
    });
    // The client panics when it is polled after the end.
    payload.fuse().boxed_local()
}

/// Whether a connection failed because the network stopped delivering, which says nothing about the target.
fn is_path_failure(cause: &io::Error) -> bool {
    matches!(
        cause.kind(),
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}

/// Outcome of a call whose body broke off: `lost` if the target closed the connection.
#[must_use]
pub fn broken_body_outcome(error: &PayloadError, lost: CallOutcome) -> CallOutcome {
    match error {
        PayloadError::Io(cause) | PayloadError::Incomplete(Some(cause))
            if is_path_failure(cause) =>
        {
            CallOutcome::Failed
        }
        _ => lost,
    }
}

fn is_clean_end(error: &PayloadError) -> bool {
    let (PayloadError::Io(cause) | PayloadError::Incomplete(Some(cause))) = error else {
        return false;
    };
    cause.kind() == ErrorKind::UnexpectedEof
}

/// Classifies a send that got no response. Only a failed connect or an invalid request proves no execution.
pub(super) fn send_failure(error: &SendRequestError) -> SendFailure {
    let executed = match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Executed::Unknown,
        SendRequestError::Connect(_) | SendRequestError::Url(_) | SendRequestError::Http(_) => {
            Executed::No
        }
        _ => Executed::Unknown,
    };
    let is_lost = match error {
        SendRequestError::Response(ParseError::Io(cause)) | SendRequestError::Send(cause) => {
            !is_path_failure(cause)
        }
        SendRequestError::Connect(ConnectError::Disconnected) => true,
        _ => false,
    };
    let outcome = if is_lost {
        CallOutcome::ConnectionLost
    } else {
        CallOutcome::Failed
    };
    SendFailure {
        is_silent: executed == Executed::Unknown && outcome == CallOutcome::Failed,
        code: matches!(error, SendRequestError::Response(ParseError::Status))
            .then_some(ResultCode::AnswerInvalid),
        ..SendFailure::new(executed, outcome, format!("no answer: {error}"))
    }
}
