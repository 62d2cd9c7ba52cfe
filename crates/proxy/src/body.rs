//! Reading and checking whole answers.

use crate::caller::BufferedResponse;
use crate::context::{CallContext, TryFailure};
use crate::events::EventReader;
use crate::exchange::AnswerHead;
use crate::headers::answer_headers;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use plantainmill_core::{ResultCode, TargetId};
use plantainmill_dispatch::CallOutcome;

/// Reads the body of `head` to its end and checks it.
pub(crate) async fn read_whole(
    context: &CallContext,
    target: &TargetId,
    mut head: AnswerHead,
) -> Result<BufferedResponse, TryFailure> {
    let body = read_body(context, &mut head).await?;
    if context.is_model() && head.is_success() {
        check_model_body(&head, &body)?;
    }
    let answer = BufferedResponse {
        status: head.status,
        headers: answer_headers(&head.headers),
        body,
        target: Some(target.clone()),
        first_byte: head.first_byte,
    };
    if !head.asks_retry() {
        return Ok(answer);
    }
    let reason = format!("the target answered with status {}", head.status);
    let failure = TryFailure::new(ResultCode::TargetFailed, reason);
    Err(TryFailure {
        answer: Some(Box::new(answer)),
        ..failure.with_outcome(status_outcome(head.status))
    })
}

/// What a status that asks for another try says of the target.
fn status_outcome(status: u16) -> CallOutcome {
    match status {
        429 | 503 => CallOutcome::Rejected,
        _ => CallOutcome::Failed,
    }
}

async fn read_body(context: &CallContext, head: &mut AnswerHead) -> Result<Bytes, TryFailure> {
    let mut body = BytesMut::new();
    while let Some(chunk) = head.payload.next().await {
        let chunk = chunk.map_err(|error| {
            let reason = format!("the answer was cut: {error}");
            TryFailure::new(ResultCode::AnswerInvalid, reason)
        })?;
        if body.len() + chunk.len() > context.limits.answer_bytes {
            let reason = "the answer is too large";
            return Err(TryFailure::new(ResultCode::AnswerInvalid, reason));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn check_model_body(head: &AnswerHead, body: &Bytes) -> Result<(), TryFailure> {
    let checked = if head.is_event_stream() {
        check_events(body)
    } else {
        let parsed = serde_json::from_slice::<serde::de::IgnoredAny>(body);
        parsed.map(drop).map_err(|error| error.to_string())
    };
    checked.map_err(|error| {
        let reason = format!("the answer is malformed: {error}");
        TryFailure::new(ResultCode::AnswerInvalid, reason)
    })
}

fn check_events(body: &Bytes) -> Result<(), String> {
    let mut reader = EventReader::default();
    reader.push(body)?;
    if reader.is_done() {
        return Ok(());
    }
    Err("the stream has no last event".to_owned())
}
