//! Access to the tables and objects, and the state shared by all operations of a VM.

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

/// Tries of a store call before an operation is refused.
const CALL_TRIES: u32 = 3;
/// Wait between two tries.
const TRY_WAIT: Duration = Duration::from_millis(200);
/// Most chunk rows of one job: above 370,000 items in chunks of 256.
pub const CHUNK_ROWS_LIMIT: u32 = 4_096;
/// Jobs that one VM accepts at once; each needs a few MiB while its input is read.
const ACCEPTS_AT_ONCE: usize = 4;

/// The operations on files and jobs. Clones share the same state.
#[derive(Clone)]
pub struct JobStore {
    /// Table.
    pub table: Arc<dyn TableStore>,
    /// Objects.
    pub objects: Arc<dyn ObjectStore>,
    /// Configuration in force.
    pub config: ConfigView,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub meters: BatchMeters,
    pub(crate) accepts: Arc<Semaphore>,
}

/// A row with its revision.
pub type Versioned<T> = (u64, T);

impl JobStore {
    /// Operations over `table` and `objects`.
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
            accepts: Arc::new(Semaphore::new(ACCEPTS_AT_ONCE)),
        }
    }

    /// Unix seconds.
    #[must_use]
    pub fn now_unix(&self) -> u64 {
        unix_seconds(self.clock.wall())
    }

    /// Reads and decodes a row, with a few tries.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` when no try worked, `RowInvalid` when the row is malformed.
    pub async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<Versioned<T>>, Problem> {
        let mut tries = 1;
        let row = loop {
            match self.table.get(key).await {
                Ok(row) => break row,
                Err(error) => self.wait_after(&error, &mut tries).await?,
            }
        };
        row.map(|row| decode_row(&row)).transpose()
    }

    /// Reads the job row.
    ///
    /// # Errors
    ///
    /// As [`JobStore::read`].
    pub async fn read_job(&self, job: &str) -> Result<Option<Versioned<JobRow>>, Problem> {
        self.read(&job_key(job)).await
    }

    /// Reads the rows whose key starts with `prefix`, with a few tries.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` when no try worked.
    pub async fn range(
        &self,
        start: &str,
        end: &str,
        limit: u32,
    ) -> Result<Vec<RowEntry>, Problem> {
        let mut tries = 1;
        loop {
            match self.table.range(start, end, limit).await {
                Ok(rows) => return Ok(rows),
                Err(error) => self.wait_after(&error, &mut tries).await?,
            }
        }
    }

    /// Reads all chunk rows of a job, with their chunk numbers.
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
                let chunk = number.ok_or_else(|| row_invalid(&row.key, "the key has no number"))?;
                Ok((chunk, decode_row(row)?))
            })
            .collect()
    }

    /// Writes an object, with a few tries. A repeat writes the same content.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` when no try worked.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Result<(), Problem> {
        let mut tries = 1;
        loop {
            match self.objects.put(name, content.clone()).await {
                Ok(()) => return Ok(()),
                Err(error) => self.wait_after(&error, &mut tries).await?,
            }
        }
    }

    /// Reads an object that has to exist, with a few tries.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` when no try worked, `RowInvalid` when the object is missing.
    pub async fn get_object(&self, name: &str) -> Result<Bytes, Problem> {
        let mut tries = 1;
        loop {
            match self.objects.get(name).await {
                Ok(Some(content)) => return Ok(content),
                Ok(None) => return Err(row_invalid(name, "the object is missing")),
                Err(error) => self.wait_after(&error, &mut tries).await?,
            }
        }
    }

    /// Commits a write that creates `key` with `value`, and settles a lost answer by reading the row.
    ///
    /// Returns the row that is there now: the written one, or another that came first.
    ///
    /// # Errors
    ///
    /// `StoreUnavailable` when nothing was written, `StoreUnknown` when that could not be found out.
    pub async fn create<T>(&self, write: TableWrite, key: &str) -> Result<Option<T>, Problem>
    where
        T: DeserializeOwned,
    {
        let mut tries = 1;
        let mut in_doubt = false;
        loop {
            let outcome = self.table.commit(write.clone()).await;
            match outcome {
                Ok(CommitOutcome::Committed { .. }) => return Ok(None),
                Ok(CommitOutcome::Conflict { .. }) => {
                    let row = self
                        .read::<T>(key)
                        .await
                        .map_err(|problem| doubt(problem, in_doubt))?;
                    return Ok(row.map(|(_, row)| row));
                }
                Err(error) => {
                    in_doubt |= matches!(error, StoreError::Unknown(_));
                    let waited = self.wait_after(&error, &mut tries).await;
                    waited.map_err(|problem| doubt(problem, in_doubt))?;
                }
            }
        }
    }

    /// Waits before the next try, or gives up.
    async fn wait_after(&self, error: &StoreError, tries: &mut u32) -> Result<(), Problem> {
        self.meters.store_retries.add(1, &[]);
        if *tries >= CALL_TRIES {
            return Err(store_problem(error));
        }
        *tries += 1;
        actix_rt::time::sleep(TRY_WAIT).await;
        Ok(())
    }
}

/// Marks a problem as in doubt when an earlier write may have taken effect.
fn doubt(problem: Problem, in_doubt: bool) -> Problem {
    if !in_doubt {
        return problem;
    }
    let code = ResultCode::StoreUnknown;
    Problem { code, ..problem }.with_executed(Executed::Unknown)
}

/// The problem that a caller sees for a failed store call.
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

/// Decodes a row.
///
/// # Errors
///
/// `RowInvalid` when it is malformed.
pub fn decode_row<T: DeserializeOwned>(row: &RowEntry) -> Result<Versioned<T>, Problem> {
    T::deserialize(&row.value)
        .map(|value| (row.revision, value))
        .map_err(|error| row_invalid(&row.key, &error.to_string()))
}

/// A row or object that cannot be used.
#[must_use]
pub fn row_invalid(key: &str, reason: &str) -> Problem {
    Problem::new(ResultCode::RowInvalid, reason).with_field(key)
}

/// JSON of a row. Rows consist of plain structures, which always have a JSON form.
#[must_use]
pub fn to_value<T: Serialize>(row: &T) -> Value {
    serde_json::to_value(row).unwrap_or(Value::Null)
}
