//! Access to table and objects with retries, shared by all operations of a VM.

use crate::meters::BatchMeters;
use crate::rows::{ChunkRow, JobRow, chunk_key, job_key, prefix_end};
use bytes::Bytes;
use plantainmill_config::ConfigView;
use plantainmill_core::clock::unix_seconds;
use plantainmill_core::{Clock, Executed, Problem, ResultCode};
use plantainmill_provider::{
    CommitOutcome, ObjectStore, RowEntry, StoreError, TableStore, TableWrite,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Attempts of a store call before the operation fails.
const MAX_CALL_ATTEMPTS: u32 = 3;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Upper bound of the chunk rows of one job; above 370,000 items in chunks of 256.
pub const CHUNK_ROWS_LIMIT: u32 = 4_096;
/// Jobs that one VM accepts concurrently; each needs a few MiB of memory while its input is read.
const MAX_CONCURRENT_ACCEPTS: usize = 4;

/// Operations on files and jobs. Clones share the same state.
#[derive(Clone)]
pub struct JobStore {
    /// Table of job, chunk, file and holder rows.
    pub table: Arc<dyn TableStore>,
    /// Object store of uploads, chunk inputs and result segments.
    pub objects: Arc<dyn ObjectStore>,
    /// View of the current configuration.
    pub config: ConfigView,
    /// Source of uptime and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Counters that the operations update.
    pub meters: BatchMeters,
    pub(crate) accept_permits: Arc<Semaphore>,
}

/// Revision of a row and its content.
pub type Versioned<T> = (u64, T);

impl JobStore {
    /// Creates the operations on `table` and `objects`.
    #[must_use]
    pub fn new(
        table: Arc<dyn TableStore>,
        objects: Arc<dyn ObjectStore>,
        config: ConfigView,
        clock: Arc<dyn Clock>,
        meters: BatchMeters,
    ) -> JobStore {
        JobStore {
            table,
            objects,
            config,
            clock,
            meters,
            accept_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_ACCEPTS)),
        }
    }

    /// Current wall-clock time in Unix seconds.
    #[must_use]
    pub fn now_unix(&self) -> u64 {
        unix_seconds(self.clock.wall())
    }

    /// Reads and decodes a row, with retries; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` or `StoreUnknown` if all attempts failed, `RowInvalid` if the row is malformed.
    pub async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<Versioned<T>>, Problem> {
        let mut attempt = 1;
        let row = loop {
            match self.table.get(key).await {
                Ok(row) => break row,
                Err(error) => self.wait_before_retry(&error, &mut attempt).await?,
            }
        };
        row.map(|row| decode_row(&row)).transpose()
    }

    /// Reads the row of a job, whichever organisation owns it.
    ///
    /// # Errors
    ///
    /// As [`JobStore::read`].
    pub async fn read_job(&self, job: &str) -> Result<Option<Versioned<JobRow>>, Problem> {
        self.read(&job_key(job)).await
    }

    /// Reads up to `limit` rows with keys from `start` to before `end`, with retries.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` or `StoreUnknown` if all attempts failed.
    pub async fn range(
        &self,
        start: &str,
        end: &str,
        limit: u32,
    ) -> Result<Vec<RowEntry>, Problem> {
        let mut attempt = 1;
        loop {
            match self.table.range(start, end, limit).await {
                Ok(rows) => return Ok(rows),
                Err(error) => self.wait_before_retry(&error, &mut attempt).await?,
            }
        }
    }

    /// Reads all chunk rows of a job, with their chunk numbers. Chunks that were never claimed have no row.
    ///
    /// # Errors
    ///
    /// As [`JobStore::read`].
    pub async fn read_chunks(&self, job: &str) -> Result<Vec<(u32, Versioned<ChunkRow>)>, Problem> {
        let prefix = format!("chunk/{job}/");
        let start = chunk_key(job, 0);
        let rows = self
            .range(&start, &prefix_end(&prefix), CHUNK_ROWS_LIMIT)
            .await?;
        rows.iter()
            .map(|row| {
                let number = row.key.strip_prefix(prefix.as_str());
                let number = number.and_then(|number| number.parse().ok());
                let chunk = number.ok_or_else(|| {
                    row_invalid(&row.key, "the key does not end in a chunk number")
                })?;
                Ok((chunk, decode_row(row)?))
            })
            .collect()
    }

    /// Writes an object, with retries. A retry writes the same content.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` or `StoreUnknown` if all attempts failed.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Result<(), Problem> {
        let mut attempt = 1;
        loop {
            match self.objects.put(name, content.clone()).await {
                Ok(()) => return Ok(()),
                Err(error) => self.wait_before_retry(&error, &mut attempt).await?,
            }
        }
    }

    /// Reads an object that must exist, with retries.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` or `StoreUnknown` if all attempts failed, `RowInvalid` if the object is missing.
    pub async fn get_object(&self, name: &str) -> Result<Bytes, Problem> {
        let mut attempt = 1;
        loop {
            match self.objects.get(name).await {
                Ok(Some(content)) => return Ok(content),
                Ok(None) => return Err(row_invalid(name, "the object is missing")),
                Err(error) => self.wait_before_retry(&error, &mut attempt).await?,
            }
        }
    }

    /// Commits a write that creates the row `key`, with retries.
    ///
    /// Returns `None` if the write took effect. After a conflict, returns the existing row, if any: another one that
    /// was there first, or the written one if the response to an earlier attempt was lost.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` if nothing was written, `StoreUnknown` if the outcome is not known.
    pub async fn create<T>(&self, write: TableWrite, key: &str) -> Result<Option<T>, Problem>
    where
        T: DeserializeOwned,
    {
        let mut attempt = 1;
        let mut in_doubt = false;
        loop {
            let outcome = self.table.commit(write.clone()).await;
            match outcome {
                Ok(CommitOutcome::Committed { .. }) => return Ok(None),
                Ok(CommitOutcome::Conflict { .. }) => {
                    let row = self
                        .read::<T>(key)
                        .await
                        .map_err(|problem| mark_in_doubt(problem, in_doubt))?;
                    return Ok(row.map(|(_, row)| row));
                }
                Err(error) => {
                    in_doubt |= matches!(error, StoreError::Unknown(_));
                    let waited = self.wait_before_retry(&error, &mut attempt).await;
                    waited.map_err(|problem| mark_in_doubt(problem, in_doubt))?;
                }
            }
        }
    }

    /// Waits before the next attempt, or returns the problem after the last one.
    async fn wait_before_retry(
        &self,
        error: &StoreError,
        attempt: &mut u32,
    ) -> Result<(), Problem> {
        self.meters.store_retries.add(1, &[]);
        if *attempt >= MAX_CALL_ATTEMPTS {
            return Err(store_problem(error));
        }
        *attempt += 1;
        actix_rt::time::sleep(RETRY_DELAY).await;
        Ok(())
    }
}

/// Changes a problem to `StoreUnknown` if an earlier attempt of the write may have taken effect.
fn mark_in_doubt(problem: Problem, in_doubt: bool) -> Problem {
    if !in_doubt {
        return problem;
    }
    let code = ResultCode::StoreUnknown;
    Problem { code, ..problem }.with_executed(Executed::Unknown)
}

/// The problem that a client receives for a failed store call.
#[must_use]
pub fn store_problem(error: &StoreError) -> Problem {
    let (code, executed) = match error {
        StoreError::Unavailable(_) => (ResultCode::StoreUnavailable, Executed::No),
        StoreError::Unknown(_) => (ResultCode::StoreUnknown, Executed::Unknown),
        StoreError::Malformed(_) => (ResultCode::RowInvalid, Executed::Unknown),
    };
    Problem::new(code, error.to_string())
        .with_executed(executed)
        .with_retry_after(Duration::from_secs(5))
}

/// Decodes the content of a row and keeps its revision.
///
/// # Errors
///
/// `RowInvalid` if it is malformed.
pub fn decode_row<T: DeserializeOwned>(row: &RowEntry) -> Result<Versioned<T>, Problem> {
    T::deserialize(&row.value)
        .map(|value| (row.revision, value))
        .map_err(|error| row_invalid(&row.key, &error.to_string()))
}

/// The problem for a row or object with invalid content; `key` names it.
#[must_use]
pub fn row_invalid(key: &str, reason: &str) -> Problem {
    Problem::new(ResultCode::RowInvalid, reason).with_field(key)
}

/// Encodes a row as JSON. This cannot fail for the row types of this crate.
#[must_use]
pub fn to_value<T: Serialize>(row: &T) -> Value {
    serde_json::to_value(row).unwrap_or(Value::Null)
}
