//! Reading, listing, cancelling and finishing jobs.

use crate::order::{JobProgress, is_late};
use crate::rows::{
    ChunkRow, ItemCounts, JobRow, JobState, cancel_key, error_file_id, expiry_key, job_key,
    open_key, output_file_id, prefix_end,
};
use crate::store::{JobStore, Versioned, store_problem, to_value};
use compact_str::CompactString;
use plantainmill_core::{JobId, Problem, ResultCode};
use plantainmill_provider::{CommitOutcome, Expected, RowEntry, StoreError, TableWrite};
use plantainmill_schema::openai::{BatchCounts, BatchList, BatchObject};
use serde_json::json;

/// Maximum number of jobs in one page of an organisation's list.
pub const LIST_LIMIT: u32 = 100;
/// Attempts to cancel a job when the row changes concurrently.
const MAX_CANCEL_ATTEMPTS: u32 = 5;

/// The problem for a job that does not exist or belongs to another organisation.
#[must_use]
pub fn unknown_batch(id: &str) -> Problem {
    Problem::new(ResultCode::UnknownBatch, format!("no batch {id:?}"))
}

/// Sums the finished items and charges over chunk rows.
#[must_use]
pub fn sum_counts(chunks: &[(u32, Versioned<ChunkRow>)]) -> ItemCounts {
    let counts = chunks.iter().map(|(_, (_, row))| row.counts());
    counts.fold(ItemCounts::default(), ItemCounts::plus)
}

impl JobStore {
    /// Reads the row of a job that belongs to `organisation`.
    ///
    /// # Errors
    ///
    /// `UnknownBatch`, or the problem of the store.
    pub async fn owned_job(
        &self,
        organisation: &str,
        id: &str,
    ) -> Result<Versioned<JobRow>, Problem> {
        let found = self.read_job(id).await?;
        found
            .filter(|(_, row)| row.organisation == organisation)
            .ok_or_else(|| unknown_batch(id))
    }

    /// Finished items and charges of a job: from its row if it was completed, else summed over its chunks.
    ///
    /// # Errors
    ///
    /// The problem of the store.
    pub async fn job_counts(&self, id: &str, row: &JobRow) -> Result<ItemCounts, Problem> {
        if row.state == JobState::Completed {
            return Ok(row.counts);
        }
        Ok(sum_counts(&self.read_chunks(id).await?))
    }

    /// The `OpenAI` batch object of a job, with its progress.
    ///
    /// # Errors
    ///
    /// The problem of the store.
    pub async fn job_object(&self, id: &str, row: &JobRow) -> Result<BatchObject, Problem> {
        let counts = self.job_counts(id, row).await?;
        let progress = JobProgress {
            created_at: row.created_at,
            due_at: row.due_at,
            ended_at: row.ended_at,
            items: row.items,
            finished: counts.completed + counts.failed,
        };
        let (status, completed_at, cancelled_at) = match row.state {
            JobState::Running => ("in_progress", None, None),
            JobState::Completed => ("completed", row.ended_at, None),
            JobState::Cancelled => ("cancelled", None, row.ended_at),
        };
        let has_errors = counts.failed > 0 || row.state == JobState::Cancelled;
        Ok(BatchObject {
            cancelled_at,
            completed_at,
            completion_window: row.completion_window.to_string(),
            created_at: row.created_at,
            due_at: Some(row.due_at),
            endpoint: row.endpoint.to_string(),
            error_file_id: has_errors.then(|| error_file_id(id).to_string()),
            id: id.to_owned(),
            input_file_id: row.input_file_id.to_string(),
            late: is_late(progress, self.now_unix()),
            metadata: row.metadata.clone(),
            object: "batch".to_owned(),
            output_file_id: Some(output_file_id(id).to_string()),
            request_counts: BatchCounts {
                completed: counts.completed,
                failed: counts.failed,
                total: row.items,
            },
            status: status.to_owned(),
        })
    }

    /// Lists the jobs of an organisation, newest first, starting behind job `after`. `limit` is clamped to
    /// `1..=`[`LIST_LIMIT`].
    ///
    /// # Errors
    ///
    /// `UnknownBatch` if `after` does not exist, or the problem of the store.
    pub async fn list_jobs(
        &self,
        organisation: &str,
        after: Option<&str>,
        limit: u32,
    ) -> Result<BatchList, Problem> {
        let limit = limit.clamp(1, LIST_LIMIT);
        let prefix = format!("jobs/{organisation}/");
        let start = match after {
            None => CompactString::from(&prefix),
            Some(after) => {
                let (_, row) = self.owned_job(organisation, after).await?;
                // The key with `!` appended sorts directly behind the key itself.
                let mut start = crate::rows::listing_key(organisation, row.created_at, after);
                start.push('!');
                start
            }
        };
        let rows = self.range(&start, &prefix_end(&prefix), limit + 1).await?;
        self.read_listed_jobs(&rows, limit).await
    }

    /// Reads the jobs that the first `limit` of `rows` name; any further row means that there are more.
    async fn read_listed_jobs(&self, rows: &[RowEntry], limit: u32) -> Result<BatchList, Problem> {
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let mut data = Vec::new();
        for entry in rows.iter().take(limit) {
            let job = entry.key.rsplit('/').next().unwrap_or_default();
            if let Some((_, row)) = self.read_job(job).await? {
                data.push(self.job_object(job, &row).await?);
            }
        }
        Ok(BatchList {
            data,
            has_more: rows.len() > limit,
            object: "list".to_owned(),
        })
    }

    /// Lists up to `limit` jobs over all organisations, ordered by organisation, for operators.
    ///
    /// # Errors
    ///
    /// The problem of the store.
    pub async fn list_all(&self, limit: u32) -> Result<BatchList, Problem> {
        let prefix = "jobs/";
        let rows = self.range(prefix, &prefix_end(prefix), limit + 1).await?;
        self.read_listed_jobs(&rows, limit).await
    }

    /// Cancels a job. Once this returns successfully, no further result of the job is committed.
    ///
    /// # Errors
    ///
    /// `BatchEnded` if the job was already completed, `UnknownBatch`, or the problem of the store.
    pub async fn cancel_job(&self, organisation: &str, id: &str) -> Result<JobRow, Problem> {
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            let (revision, row) = self.owned_job(organisation, id).await?;
            match row.state {
                JobState::Cancelled => return Ok(row),
                JobState::Completed => {
                    let reason = "the batch was completed before it could be cancelled";
                    return Err(Problem::new(ResultCode::BatchEnded, reason));
                }
                JobState::Running => {}
            }
            let counts = sum_counts(&self.read_chunks(id).await?);
            let ended = self.ended_row(&row, JobState::Cancelled, counts);
            let write = self.end_write(id, revision, &ended);
            let cancelled_at = ended.ended_at.unwrap_or_default();
            let write = write.put(cancel_key(cancelled_at, id), json!({ "job": id }));
            if self.try_commit(write).await? {
                return Ok(ended);
            }
        }
        Err(Problem::new(
            ResultCode::StoreUnknown,
            "the cancel could not be confirmed",
        ))
    }

    /// Marks a running job as completed if all its chunks are done; returns whether this call did so.
    ///
    /// # Errors
    ///
    /// The problem of the store.
    pub async fn finish_job(
        &self,
        id: &JobId,
        revision: u64,
        row: &JobRow,
        chunks: &[(u32, Versioned<ChunkRow>)],
    ) -> Result<bool, Problem> {
        let done = chunks.iter().filter(|(_, (_, row))| row.done).count();
        if row.state != JobState::Running
            || done < usize::try_from(row.chunks).unwrap_or(usize::MAX)
        {
            return Ok(false);
        }
        let ended = self.ended_row(row, JobState::Completed, sum_counts(chunks));
        let changed = self
            .try_commit(self.end_write(id, revision, &ended))
            .await?;
        if changed {
            self.meters.jobs_finished.add(1, &[]);
        }
        Ok(changed)
    }

    fn ended_row(&self, row: &JobRow, state: JobState, counts: ItemCounts) -> JobRow {
        JobRow {
            state,
            counts,
            ended_at: Some(self.now_unix()),
            ..row.clone()
        }
    }

    /// The write that ends a job: removes it from the list of open jobs and schedules its deletion.
    fn end_write(&self, id: &str, revision: u64, row: &JobRow) -> TableWrite {
        let retention = self.config.load().defaults.result_retention_s;
        let expires_at = row.ended_at.unwrap_or_default() + retention;
        TableWrite::new()
            .expect(job_key(id), Expected::Revision(revision))
            .put(job_key(id), to_value(row))
            .put(expiry_key(expires_at, "job", id), json!({}))
            .delete(open_key(row.due_at, id))
    }

    /// Commits a change. Returns false after a conflict or an unknown outcome; the caller must read the row again.
    async fn try_commit(&self, write: TableWrite) -> Result<bool, Problem> {
        match self.table.commit(write).await {
            Ok(CommitOutcome::Committed { .. }) => Ok(true),
            Ok(CommitOutcome::Conflict { .. }) | Err(StoreError::Unknown(_)) => Ok(false),
            Err(error) => Err(store_problem(&error)),
        }
    }
}
