//! Classifies the responses to items and formats their result lines.

use crate::scheduler::RunEnd;
use bytes::Bytes;
use plantainmill_core::{Executed, Problem, ResultCode};
use plantainmill_proxy::BufferedResponse;
use plantainmill_schema::openai::{LineError, LineResponse, OutputLine};
use serde_json::Value;

/// Result line of a finished item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemResult {
    /// Whether the line belongs in the output file rather than the error file.
    pub completed: bool,
    /// JSON text with a trailing line feed.
    pub line: Bytes,
}

/// Whether the call of an item may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryRule {
    /// The calls of the service may be repeated.
    pub repeatable: bool,
    /// The current attempt is the last one allowed.
    pub last_attempt: bool,
    /// The due time of the job has passed.
    pub past_due: bool,
}

/// Decides how a run ended from the response to its call.
#[must_use]
pub fn classify(response: &Result<BufferedResponse, Problem>, rule: RetryRule) -> RunEnd {
    match response {
        Ok(response) => classify_status(response.status, rule),
        Err(problem) => classify_problem(problem, rule),
    }
}

fn classify_status(status: u16, rule: RetryRule) -> RunEnd {
    let is_refusal = is_refusal(status);
    if is_refusal && rule.repeatable && !rule.past_due {
        return RunEnd::Deferred;
    }
    // These statuses may be transient; any other is the final response to the item.
    let transient = is_refusal || matches!(status, 500 | 502 | 504);
    if transient && rule.repeatable && !rule.last_attempt {
        return RunEnd::Suspect;
    }
    RunEnd::Finished
}

/// Whether a target that answers with this status takes no requests at present, which says nothing of the item.
fn is_refusal(status: u16) -> bool {
    matches!(status, 408 | 425 | 429 | 503)
}

fn classify_problem(problem: &Problem, rule: RetryRule) -> RunEnd {
    let may_repeat = rule.repeatable || problem.executed == Executed::No;
    match problem.code {
        ResultCode::Preempted | ResultCode::QueueFull if may_repeat => RunEnd::Deferred,
        ResultCode::NoTarget
        | ResultCode::Draining
        | ResultCode::RateExceeded
        | ResultCode::KeyUnchecked
        | ResultCode::PartQuarantined
        | ResultCode::RequestQuarantined
        | ResultCode::StoreUnavailable
        | ResultCode::StoreUnknown
            if may_repeat =>
        {
            RunEnd::NoTarget
        }
        ResultCode::TargetFailed
        | ResultCode::TargetTimeout
        | ResultCode::AnswerInvalid
        | ResultCode::DeadlinePassed
        | ResultCode::Internal
            if may_repeat && !rule.last_attempt =>
        {
            RunEnd::Suspect
        }
        _ => RunEnd::Finished,
    }
}

/// Result line of an item that got a response. Only status codes from 200 to 299 go into the output file.
#[must_use]
pub fn response_line(id: &str, custom_id: &str, response: &BufferedResponse) -> ItemResult {
    let body = serde_json::from_slice(&response.body)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&response.body).into_owned()));
    let line = OutputLine {
        custom_id: custom_id.to_owned(),
        error: None,
        id: id.to_owned(),
        response: Some(LineResponse {
            body,
            request_id: id.to_owned(),
            status_code: response.status,
        }),
    };
    ItemResult {
        completed: (200..300).contains(&response.status),
        line: to_line(&line),
    }
}

/// Result line of an item that failed without a response.
#[must_use]
pub fn problem_line(id: &str, custom_id: &str, problem: &Problem) -> ItemResult {
    let line = OutputLine {
        custom_id: custom_id.to_owned(),
        error: Some(LineError {
            code: problem.code.name().to_owned(),
            message: format!("{problem} (executed: {})", problem.executed.as_str()),
        }),
        id: id.to_owned(),
        response: None,
    };
    ItemResult {
        completed: false,
        line: to_line(&line),
    }
}

/// The problem of an item that failed in its last attempt.
#[must_use]
pub fn attempts_used(last: &Problem) -> Problem {
    let reason = format!("the item failed in its last attempt: {last}");
    Problem::new(ResultCode::AttemptsUsed, reason).with_executed(last.executed)
}

/// The problem of an item that a lost holder started and that may not be repeated.
#[must_use]
pub fn outcome_unknown() -> Problem {
    let reason =
        "the item was started and its VM was lost; the service's calls may not be repeated";
    Problem::new(ResultCode::OutcomeUnknown, reason).with_executed(Executed::Unknown)
}

/// The problem of an item that had no committed result when its job was cancelled.
#[must_use]
pub fn item_cancelled(started: bool) -> Problem {
    let reason = "the job was cancelled before the item was finished";
    let executed = if started {
        Executed::Unknown
    } else {
        Executed::No
    };
    Problem::new(ResultCode::ItemCancelled, reason).with_executed(executed)
}

fn to_line(line: &OutputLine) -> Bytes {
    let mut text = serde_json::to_vec(line).unwrap_or_default();
    text.push(b'\n');
    Bytes::from(text)
}
