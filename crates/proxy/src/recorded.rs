//! Calls that may not be repeated and carry an idempotency key.

use crate::caller::BufferedResponse;
use crate::context::CallContext;
use crate::records::{
    CallRecord, CallRecords, RecordClaim, RecordState, answered_state, restore_answer,
};
use compact_str::{CompactString, format_compact};
use plantainmill_core::id::is_valid_id;
use plantainmill_core::secret::{hash_bytes, new_id};
use plantainmill_core::{Executed, Problem, ResultCode};
use std::future::Future;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Organisation part of the key of a call on an open route. No organisation has this name.
const NO_ORGANISATION: &str = "-";
/// When a resend may find the answer of a call that is running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call with its row.
pub(crate) struct RecordedCall {
    key: CompactString,
    record: CallRecord,
    /// Seconds from the start until the call counts as lost.
    lost_after_s: u64,
}

impl RecordedCall {
    /// The recorded form of a call, if it needs one.
    pub fn of(context: &CallContext) -> Option<RecordedCall> {
        let request = &context.request;
        let key = request.idempotency_key.as_ref()?;
        if context.service.repeatable {
            return None;
        }
        let organisation = request.organisation.as_deref();
        let organisation = organisation.unwrap_or(NO_ORGANISATION);
        let open_for = context.time_left() + context.limits.record_margin;
        let record = CallRecord {
            try_id: new_id("t-"),
            request_hash: request_hash(context),
            started_at: 0,
            lost_after: 0,
            state: RecordState::Started,
        };
        Some(RecordedCall {
            key: format_compact!("call/{organisation}/{}/{}", request.service, row_part(key)),
            record,
            lost_after_s: open_for.as_secs() + 1,
        })
    }

    /// Sends the call by `sent` if its row can be created, and otherwise answers from the row.
    pub async fn run(
        mut self,
        records: &CallRecords,
        deadline: Instant,
        sent: impl Future<Output = Result<BufferedResponse, Problem>>,
    ) -> Result<BufferedResponse, Problem> {
        self.record.started_at = records.unix_now();
        self.record.lost_after = self.record.started_at + self.lost_after_s;
        let revision = match self.claim(records, deadline).await? {
            RecordClaim::Created(revision) => revision,
            RecordClaim::Found(found) => return self.answer_from(records, found),
        };
        records.meters.count_record("created");
        let answer = sent.await;
        self.settle(records, revision, deadline, &answer).await;
        answer
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

    /// Writes the end of the call into its row.
    async fn settle(
        self,
        records: &CallRecords,
        revision: u64,
        deadline: Instant,
        answer: &Result<BufferedResponse, Problem>,
    ) {
        let state = match answer {
            Ok(answer) => answered_state(answer, &records.limits),
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

    /// Answers a resend from the row that it found.
    fn answer_from(
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
                restore_answer(stored)
            }
            RecordState::Started if records.unix_now() <= found.lost_after => {
                records.meters.count_record("in_progress");
                let reason = "the call with this key is still running";
                Err(Problem::new(ResultCode::CallInProgress, reason)
                    .with_executed(Executed::Unknown)
                    .with_retry_after(RUNNING_RETRY_AFTER))
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

/// The caller's key as the last part of a row key. Keys that are no identifiers are hashed.
fn row_part(key: &str) -> CompactString {
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
