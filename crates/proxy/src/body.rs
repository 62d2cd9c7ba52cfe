//! Reads buffered responses and validates them.

use crate::caller::BufferedResponse;
use crate::context::{AttemptFailure, CallContext};
use crate::events::EventReader;
use crate::exchange::ResponseHead;
use crate::headers::response_headers;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use plantainmill_core::{ResultCode, TargetId};
use plantainmill_dispatch::CallOutcome;

/// Reads the body of `head` to its end and validates it.
pub(crate) async fn read_response(
    context: &CallContext,
    target: &TargetId,
    mut head: ResponseHead,
) -> Result<BufferedResponse, AttemptFailure> {
    let body = read_body(context, &mut head).await?;
    if context.is_model() && head.is_success() {
        check_model_body(&head, &body)?;
    }
    let response = BufferedResponse {
        status: head.status,
        headers: response_headers(&head.headers),
        body,
        target: Some(target.clone()),
        first_byte: head.first_byte,
    };
    if !head.is_retryable() {
        return Ok(response);
    }
    let reason = format!("the target answered with status {}", head.status);
    let failure = AttemptFailure::new(ResultCode::TargetFailed, reason);
    Err(AttemptFailure {
        response: Some(Box::new(response)),
        ..failure.with_outcome(status_outcome(head.status))
    })
}

/// Outcome that the dispatcher records for a retryable status.
fn status_outcome(status: u16) -> CallOutcome {
    match status {
        429 | 503 => CallOutcome::Rejected,
        _ => CallOutcome::Failed,
    }
}

async fn read_body(
    context: &CallContext,
    head: &mut ResponseHead,
) -> Result<Bytes, AttemptFailure> {
    let mut body = BytesMut::new();
    while let Some(chunk) = head.payload.next().await {
        let chunk = chunk.map_err(|error| {
            let reason = format!("the answer was cut: {error}");
            AttemptFailure::new(ResultCode::AnswerInvalid, reason)
                .with_outcome(CallOutcome::ConnectionLost)
        })?;
        if body.len() + chunk.len() > context.limits.max_response_bytes {
            let reason = "the answer is too large";
            return Err(AttemptFailure::new(ResultCode::AnswerInvalid, reason));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn check_model_body(head: &ResponseHead, body: &Bytes) -> Result<(), AttemptFailure> {
    let checked = if head.is_event_stream() {
        check_events(body)
    } else {
        let parsed = serde_json::from_slice::<serde::de::IgnoredAny>(body);
        parsed.map(drop).map_err(|error| error.to_string())
    };
    checked.map_err(|error| {
        let reason = format!("the answer is malformed: {error}");
        AttemptFailure::new(ResultCode::AnswerInvalid, reason)
    })
}

fn check_events(body: &Bytes) -> Result<(), String> {
    let mut reader = EventReader::default();
    reader.push(body)?;
    if reader.is_at_end() {
        return Ok(());
    }
    let reason = if reader.is_done() {
        "bytes follow the last event"
    } else {
        "the stream has no last event"
    };
    Err(reason.to_owned())
}
