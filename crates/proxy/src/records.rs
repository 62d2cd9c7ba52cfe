//! Table rows that record calls which must not be repeated.
//!
//! A row is created before its call is sent, and completed with the response. Every write is conditional, and the row
//! carries a random id of the call, so that a write whose response was lost is resolved by reading the row.

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

/// Attempts to create a row when responses of the store are lost.
const CREATE_ATTEMPTS: u32 = 3;
/// Retry-After of a call that failed because of the store.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response as it is stored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StoredResponse {
    pub status: u16,
    pub headers: HeaderList,
    /// Body in base64.
    pub body: String,
}

/// State of a recorded call.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RecordState {
    /// The request may have been sent.
    Started,
    /// The request may have been executed, and its response was lost.
    Unknown,
    /// The request was executed, and its response is too large to be stored.
    TooLarge,
    /// The request was executed, and its response is stored.
    Answered(StoredResponse),
}

/// Value of the row `call/{organisation}/{service}/{key}`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct CallRecord {
    /// Random identifier of the call that created the row.
    pub try_id: CompactString,
    /// SHA-256 of method, path and body.
    pub request_hash: CompactString,
    /// Start of the call in Unix seconds.
    pub started_at: u64,
    /// Time in Unix seconds after which a call that is still in the state `Started` counts as lost with its VM.
    pub lost_after: u64,
    pub state: RecordState,
}

/// Result of an attempt to create a row.
pub(crate) enum RecordClaim {
    /// This call owns the row; holds its revision.
    Created(u64),
    /// Another call owns the key.
    Found(CallRecord),
}

/// Table access for the rows of recorded calls.
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

    pub fn now_unix(&self) -> u64 {
        unix_seconds(self.clock.wall())
    }

    /// Creates the row `key`, or returns the record of the call that owns it.
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

    /// Reads which call owns the row `key`; `None` if there is no row.
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

    /// Replaces the row with `record` after the call has ended.
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
        self.write_with_retries(write, until).await;
    }

    /// Removes the row of a call that was certainly not executed, so that a resend may run.
    pub async fn release(&self, key: CompactString, revision: u64, until: Instant) {
        let write = TableWrite::new()
            .expect(key.clone(), Expected::Revision(revision))
            .delete(key);
        self.write_with_retries(write, until).await;
    }

    /// Removes the row of a call that was refused before it was sent, in case its creation took effect after all.
    pub fn abandon(&self, key: CompactString, try_id: CompactString) {
        let records = self.clone();
        actix_rt::spawn(async move {
            for _ in 0..records.limits.max_record_attempts {
                if records.remove_own(&key, &try_id).await.is_ok() {
                    return;
                }
                tokio::time::sleep(records.limits.record_retry_delay).await;
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

    /// Retries `write` in the background until the store responds. Waits for the first attempt, at most until `until`.
    async fn write_with_retries(&self, write: TableWrite, until: Instant) {
        let (attempted, first_attempt) = oneshot::channel();
        let records = self.clone();
        actix_rt::spawn(async move {
            let mut attempted = Some(attempted);
            for _ in 0..records.limits.max_record_attempts {
                let outcome = records.store.commit(write.clone()).await;
                if let Some(attempted) = attempted.take() {
                    // The call may have stopped waiting.
                    let _ = attempted.send(());
                }
                // A conflict after a lost response means that the earlier write took effect.
                if outcome.is_ok() {
                    return;
                }
                tokio::time::sleep(records.limits.record_retry_delay).await;
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

/// Decodes a row. A row that cannot be decoded means that the outcome of its call is unknown.
fn decode(row: &RowEntry) -> Result<CallRecord, Problem> {
    let decoded = CallRecord::deserialize(&row.value);
    decoded.map_err(|error| {
        Problem::new(ResultCode::RowInvalid, error.to_string())
            .with_field(row.key.clone())
            .with_executed(Executed::Unknown)
    })
}

/// Refusal of a call whose row could not be written.
fn store_problem(reason: &str) -> Problem {
    Problem::new(ResultCode::StoreUnavailable, reason).with_retry_after(STORE_RETRY_AFTER)
}

/// State to store for `response`.
pub(crate) fn stored_state(response: &BufferedResponse, limits: &CallLimits) -> RecordState {
    if response.body.len() > limits.max_stored_bytes {
        return RecordState::TooLarge;
    }
    RecordState::Answered(StoredResponse {
        status: response.status,
        headers: response.headers.clone(),
        body: STANDARD.encode(&response.body),
    })
}

/// Rebuilds a response from its stored form.
pub(crate) fn restore_response(stored: StoredResponse) -> Result<BufferedResponse, Problem> {
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
