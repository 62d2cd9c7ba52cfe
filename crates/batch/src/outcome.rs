//! What the answer to an item means, and the line that reports it.

use crate::run::RunEnd;
use bytes::Bytes;
use plantainmill_core::{Executed, Problem, ResultCode};
use plantainmill_proxy::WholeAnswer;
use plantainmill_schema::openai::{LineError, LineResponse, OutputLine};
use serde_json::Value;

/// The line of a finished item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemResult {
    /// It belongs into the output file, not the error file.
    pub completed: bool,
    /// JSON text that ends in a line feed.
    pub line: Bytes,
}

/// How an item's call has to be treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ItemRule {
    /// Its service's calls may be repeated.
    pub repeatable: bool,
    /// One more lost attempt is the last.
    pub last_attempt: bool,
}

/// Decides what an answer means.
#[must_use]
pub fn judge(answer: &Result<WholeAnswer, Problem>, rule: ItemRule) -> RunEnd {
    match answer {
        Ok(answer) => judge_status(answer.status, rule),
        Err(problem) => judge_problem(problem, rule),
    }
}

fn judge_status(status: u16, rule: ItemRule) -> RunEnd {
    // These statuses may pass; any other is the service's final word on the item.
    let passing = matches!(status, 408 | 425 | 429 | 500 | 502 | 503 | 504);
    if passing && rule.repeatable && !rule.last_attempt {
        return RunEnd::Suspect;
    }
    RunEnd::Finished
}

fn judge_problem(problem: &Problem, rule: ItemRule) -> RunEnd {
    let may_repeat = rule.repeatable || problem.executed == Executed::No;
    match problem.code {
        ResultCode::Preempted | ResultCode::QueueFull if may_repeat => RunEnd::Deferred,
        ResultCode::NoTarget
        | ResultCode::Draining
        | ResultCode::RateExceeded
        | ResultCode::KeyUnchecked
        | ResultCode::StoreUnavailable
        | ResultCode::StoreUnknown
            if may_repeat =>
        {
            RunEnd::Unplaced
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

/// The line of an item that got an answer. Answers with an error status go into the error file.
#[must_use]
pub fn answer_line(id: &str, custom_id: &str, answer: &WholeAnswer) -> ItemResult {
    let body = serde_json::from_slice(&answer.body)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&answer.body).into_owned()));
    let line = OutputLine {
        custom_id: custom_id.to_owned(),
        error: None,
        id: id.to_owned(),
        response: Some(LineResponse {
            body,
            request_id: id.to_owned(),
            status_code: answer.status,
        }),
    };
    ItemResult {
        completed: (200..300).contains(&answer.status),
        line: to_line(&line),
    }
}

/// The line of an item that failed without an answer.
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

/// The problem of an item that has lost its last attempt.
#[must_use]
pub fn attempts_used(last: &Problem) -> Problem {
    let reason = format!("the item was stopped after its last attempt: {last}");
    Problem::new(ResultCode::AttemptsUsed, reason).with_executed(last.executed)
}

/// The problem of an item that was started by a holder that was lost and may not run again.
#[must_use]
pub fn outcome_unknown() -> Problem {
    let reason =
        "the item was started and its VM was lost; the service's calls may not be repeated";
    Problem::new(ResultCode::OutcomeUnknown, reason).with_executed(Executed::Unknown)
}

/// The problem of an item that had no result when its job was cancelled.
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
