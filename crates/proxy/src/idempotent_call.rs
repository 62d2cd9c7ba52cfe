//! Calls that must not be repeated and that carry an idempotency key.

use crate::caller::BufferedResponse;
use crate::context::CallContext;
use crate::records::{
    CallRecord, CallRecords, RecordClaim, RecordState, restore_response, stored_state,
};
use compact_str::{CompactString, format_compact};
use plantainmill_core::id::is_valid_id;
use plantainmill_core::secret::{hash_bytes, new_id};
use plantainmill_core::{Executed, Problem, ResultCode};
use std::future::Future;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Organisation part of the row key for calls on open routes. No organisation has this name.
const NO_ORGANISATION: &str = "-";
/// Retry-After of a resend whose original call is still in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call and the row that records it.
pub(crate) struct IdempotentCall {
    key: CompactString,
    record: CallRecord,
    /// Time from the start, in seconds, after which a call without a recorded result counts as lost.
    lost_after_s: u64,
}

impl IdempotentCall {
    /// Returns the recorded form of a call that has an idempotency key and must not be repeated.
    pub fn of(context: &CallContext) -> Option<IdempotentCall> {
        let request = &context.request;
        let key = request.idempotency_key.as_ref()?;
        if context.service.repeatable {
            return None;
        }
        let organisation = request.organisation.as_deref();
        let organisation = organisation.unwrap_or(NO_ORGANISATION);
        let lost_after = context.time_left() + context.limits.lost_call_margin;
        let record = CallRecord {
            try_id: new_id("t-"),
            request_hash: request_hash(context),
            started_at: 0,
            lost_after: 0,
            state: RecordState::Started,
        };
        Some(IdempotentCall {
            key: format_compact!("call/{organisation}/{}/{}", request.service, key_part(key)),
            record,
            lost_after_s: lost_after.as_secs() + 1,
        })
    }

    /// Runs `send` if the row can be created, and otherwise responds from the existing row.
    pub async fn run(
        mut self,
        records: &CallRecords,
        deadline: Instant,
        send: impl Future<Output = Result<BufferedResponse, Problem>>,
    ) -> Result<BufferedResponse, Problem> {
        self.record.started_at = records.now_unix();
        self.record.lost_after = self.record.started_at + self.lost_after_s;
        let revision = match self.claim(records, deadline).await? {
            RecordClaim::Created(revision) => revision,
            RecordClaim::Found(found) => return self.replay(records, found),
        };
        records.meters.count_record("created");
        let response = send.await;
        self.settle(records, revision, deadline, &response).await;
        response
    }

    async fn claim(
        &self,
        records: &CallRecords,
        deadline: Instant,
    ) -> Result<RecordClaim, Problem> {
        let claimed = timeout_at(deadline, records.claim(&self.key, &self.record)).await;
        let claimed = claimed.unwrap_or_else(|_| {
            let reason = "the store did not answer in time";
            Err(Problem::new(ResultCode::DeadlinePassed, reason))
        });
        claimed.inspect_err(|problem| {
            records.meters.count_record("refused");
            let may_exist = matches!(
                problem.code,
                ResultCode::StoreUnknown | ResultCode::DeadlinePassed
            );
            if may_exist {
                records.abandon(self.key.clone(), self.record.try_id.clone());
            }
        })
    }

    /// Writes the result of the call to its row, or removes the row if the request was not executed.
    async fn settle(
        self,
        records: &CallRecords,
        revision: u64,
        deadline: Instant,
        response: &Result<BufferedResponse, Problem>,
    ) {
        let state = match response {
            Ok(response) => stored_state(response, &records.limits),
            Err(problem) if problem.executed == Executed::No => {
                records.release(self.key, revision, deadline).await;
                return;
            }
            Err(_) => RecordState::Unknown,
        };
        let record = CallRecord {
            state,
            ..self.record
        };
        records.complete(self.key, revision, record, deadline).await;
    }

    /// Responds to a resend from the record that it found.
    fn replay(
        &self,
        records: &CallRecords,
        found: CallRecord,
    ) -> Result<BufferedResponse, Problem> {
        if found.request_hash != self.record.request_hash {
            records.meters.count_record("key_reused");
            let reason = "the key was used with another request";
            return Err(Problem::new(ResultCode::KeyReused, reason).with_field("idempotency-key"));
        }
        match found.state {
            RecordState::Answered(stored) => {
                records.meters.count_record("replayed");
                restore_response(stored)
            }
            RecordState::Started if records.now_unix() <= found.lost_after => {
                records.meters.count_record("in_progress");
                let reason = "the call with this key is still running";
                Err(Problem::new(ResultCode::CallInProgress, reason)
                    .with_executed(Executed::Unknown)
                    .with_retry_after(IN_PROGRESS_RETRY_AFTER))
            }
            RecordState::Started | RecordState::Unknown => {
                Err(unknown_outcome(records, Executed::Unknown))
            }
            RecordState::TooLarge => Err(unknown_outcome(records, Executed::Yes)),
        }
    }
}

fn unknown_outcome(records: &CallRecords, executed: Executed) -> Problem {
    records.meters.count_record("outcome_unknown");
    let reason = match executed {
        Executed::Yes => "the call ran, and its answer was too large to be kept",
        _ => "the call may have run, and its answer was lost",
    };
    Problem::new(ResultCode::OutcomeUnknown, reason).with_executed(executed)
}

/// Last part of the row key for an idempotency key. Keys that are not valid identifiers are hashed.
fn key_part(key: &str) -> CompactString {
    if is_valid_id(key) {
        return key.into();
    }
    format_compact!("~{}", hash_bytes(key.as_bytes()))
}

fn request_hash(context: &CallContext) -> CompactString {
    let request = &context.request;
    let head = format!("{} {}\n", request.method, request.path);
    let hashed = [head.as_bytes(), &request.body].concat();
    hash_bytes(&hashed)
}
