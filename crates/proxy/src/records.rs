//! Rows of calls that may not be repeated.
//!
//! A row is created before its call is sent and completed with the answer. Every write carries a condition, and the
//! row carries a random try id, so that a lost answer of the store is settled by reading the row.

use crate::caller::BufferedResponse;
use crate::headers::HeaderList;
use crate::limits::CallLimits;
use crate::meters::CallMeters;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use compact_str::CompactString;
use plantainmill_core::clock::unix_seconds;
use plantainmill_core::{Clock, Executed, Problem, ResultCode};
use plantainmill_provider::{
    CommitOutcome, Expected, RowEntry, StoreError, TableStore, TableWrite,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// Attempts to create a row when the store loses its answers.
const CREATE_ATTEMPTS: u32 = 3;
/// When a caller may repeat after a failure of the store.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer as it is kept.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StoredAnswer {
    pub status: u16,
    pub headers: HeaderList,
    /// Body in base64.
    pub body: String,
}

/// How far a recorded call is.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RecordState {
    /// It may have been sent.
    Started,
    /// It may have run, and its answer was lost.
    Unknown,
    /// It ran, and its answer is too large to be kept.
    TooLarge,
    /// It ran.
    Answered(StoredAnswer),
}

/// Value of a row `call/{organisation}/{service}/{key}`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CallRecord {
    /// Random identifier of the call that created the row.
    pub try_id: CompactString,
    /// SHA-256 of method, path and body.
    pub request_hash: CompactString,
    /// Unix seconds of the start.
    pub started_at: u64,
    /// Unix seconds after which an open call counts as lost with its VM.
    pub lost_after: u64,
    /// How far it is.
    pub state: RecordState,
}

/// What became of the attempt to create a row.
pub(crate) enum RecordClaim {
    /// The row is this call's, at this revision.
    Created(u64),
    /// Another call has the key.
    Found(CallRecord),
}

/// The rows of recorded calls.
#[derive(Clone)]
pub(crate) struct CallRecords {
    store: Arc<dyn TableStore>,
    clock: Arc<dyn Clock>,
    pub meters: CallMeters,
    pub limits: CallLimits,
}

impl CallRecords {
    pub fn new(
        store: Arc<dyn TableStore>,
        clock: Arc<dyn Clock>,
        meters: CallMeters,
        limits: CallLimits,
    ) -> CallRecords {
        CallRecords {
            store,
            clock,
            meters,
            limits,
        }
    }

    /// Unix seconds now.
    pub fn unix_now(&self) -> u64 {
        unix_seconds(self.clock.wall())
    }

    /// Creates the row `key`, or finds the call that has it.
    pub async fn claim(&self, key: &str, record: &CallRecord) -> Result<RecordClaim, Problem> {
        for _ in 0..CREATE_ATTEMPTS {
            let write = TableWrite::new()
                .expect(key, Expected::Absent)
                .put(key, encode(record)?);
            match self.store.commit(write).await {
                Ok(CommitOutcome::Committed { revision }) => {
                    return Ok(RecordClaim::Created(revision));
                }
                Err(StoreError::Unavailable(reason)) => return Err(store_problem(&reason)),
                Ok(CommitOutcome::Conflict { .. }) => {
                    let found = self.read_owner(key, record, Executed::Unknown).await?;
                    if let Some(claim) = found {
                        return Ok(claim);
                    }
                }
                Err(StoreError::Unknown(_) | StoreError::Malformed(_)) => {
                    let found = self.read_owner(key, record, Executed::No).await?;
                    if let Some(claim) = found {
                        return Ok(claim);
                    }
                }
            }
        }
        let reason = "the store's answers were lost";
        Err(Problem::new(ResultCode::StoreUnknown, reason).with_retry_after(STORE_RETRY_AFTER))
    }

    /// Reads whose row `key` is; `None` if there is no row.
    async fn read_owner(
        &self,
        key: &str,
        record: &CallRecord,
        executed: Executed,
    ) -> Result<Option<RecordClaim>, Problem> {
        let row = self.store.get(key).await;
        let row = row.map_err(|error| {
            let problem = Problem::new(ResultCode::StoreUnknown, error.to_string());
            problem
                .with_executed(executed)
                .with_retry_after(STORE_RETRY_AFTER)
        })?;
        row.map(|row| owner_of(&row, record)).transpose()
    }

    /// Completes the row with `record` after its call ended.
    pub async fn complete(
        &self,
        key: CompactString,
        revision: u64,
        record: CallRecord,
        until: Instant,
    ) {
        let Ok(value) = encode(&record) else {
            return;
        };
        let write = TableWrite::new()
            .expect(key.clone(), Expected::Revision(revision))
            .put(key, value);
        self.write_through(write, until).await;
    }

    /// Removes the row of a call that certainly did not run, so that a resend may run.
    pub async fn release(&self, key: CompactString, revision: u64, until: Instant) {
        let write = TableWrite::new()
            .expect(key.clone(), Expected::Revision(revision))
            .delete(key);
        self.write_through(write, until).await;
    }

    /// Removes the row of a call that was refused before it was sent, if its create took effect after all.
    pub fn abandon(&self, key: CompactString, try_id: CompactString) {
        let records = self.clone();
        actix_rt::spawn(async move {
            for _ in 0..records.limits.record_attempts {
                if records.remove_own(&key, &try_id).await.is_ok() {
                    return;
                }
                tokio::time::sleep(records.limits.record_retry).await;
            }
            records.meters.count_record("abandon_failed");
        });
    }

    async fn remove_own(&self, key: &CompactString, try_id: &str) -> Result<(), StoreError> {
        let Some(row) = self.store.get(key).await? else {
            return Ok(());
        };
        let is_own = decode(&row).is_ok_and(|record| record.try_id == try_id);
        if !is_own {
            return Ok(());
        }
        let write = TableWrite::new()
            .expect(key.clone(), Expected::Revision(row.revision))
            .delete(key.clone());
        self.store.commit(write).await.map(drop)
    }

    /// Writes until the store has answered, waiting only for the first attempt and at most until `until`.
    async fn write_through(&self, write: TableWrite, until: Instant) {
        let (attempted, first_attempt) = oneshot::channel();
        let records = self.clone();
        actix_rt::spawn(async move {
            let mut attempted = Some(attempted);
            for _ in 0..records.limits.record_attempts {
                let outcome = records.store.commit(write.clone()).await;
                if let Some(attempted) = attempted.take() {
                    // The call may have stopped waiting.
                    let _ = attempted.send(());
                }
                // After a lost answer, a conflict means that the write took effect.
                if outcome.is_ok() {
                    return;
                }
                tokio::time::sleep(records.limits.record_retry).await;
            }
            records.meters.count_record("write_failed");
        });
        let _ = timeout_at(until, first_attempt).await;
    }
}

fn owner_of(row: &RowEntry, record: &CallRecord) -> Result<RecordClaim, Problem> {
    let found = decode(row)?;
    if found.try_id == record.try_id {
        return Ok(RecordClaim::Created(row.revision));
    }
    Ok(RecordClaim::Found(found))
}

fn encode(record: &CallRecord) -> Result<serde_json::Value, Problem> {
    serde_json::to_value(record)
        .map_err(|error| Problem::new(ResultCode::Internal, error.to_string()))
}

/// Reads a row. One that cannot be read stands for a call of unknown outcome.
fn decode(row: &RowEntry) -> Result<CallRecord, Problem> {
    let decoded = CallRecord::deserialize(&row.value);
    decoded.map_err(|error| {
        Problem::new(ResultCode::RowInvalid, error.to_string())
            .with_field(row.key.clone())
            .with_executed(Executed::Unknown)
    })
}

/// The refusal of a call whose row could not be written.
fn store_problem(reason: &str) -> Problem {
    Problem::new(ResultCode::StoreUnavailable, reason).with_retry_after(STORE_RETRY_AFTER)
}

/// What is kept of `answer`.
pub(crate) fn answered_state(answer: &BufferedResponse, limits: &CallLimits) -> RecordState {
    if answer.body.len() > limits.stored_bytes {
        return RecordState::TooLarge;
    }
    RecordState::Answered(StoredAnswer {
        status: answer.status,
        headers: answer.headers.clone(),
        body: STANDARD.encode(&answer.body),
    })
}

/// The answer that was kept.
pub(crate) fn restore_answer(stored: StoredAnswer) -> Result<BufferedResponse, Problem> {
    let body = STANDARD.decode(&stored.body).map_err(|error| {
        Problem::new(ResultCode::RowInvalid, error.to_string())
            .with_field("body")
            .with_executed(Executed::Yes)
    })?;
    Ok(BufferedResponse {
        status: stored.status,
        headers: stored.headers,
        body: body.into(),
        target: None,
        first_byte: Duration::ZERO,
    })
}
