//! Deletes files, jobs and holder rows past their retention, and what unfinished uploads and job creations left.

use crate::rows::{
    HolderRow, JobRow, JobState, chunk_key, file_key, job_key, listing_key, prefix_end,
};
use crate::store::{CHUNK_ROWS_LIMIT, JobStore, decode_row, store_problem};
use plantainmill_core::Problem;
use plantainmill_provider::{Expected, TableWrite};

/// Maximum number of expiry rows handled by one sweep.
const SWEEP_ROWS: u32 = 20;
/// Maximum number of rows deleted by one write.
const DELETE_GROUP_ROWS: usize = 500;

/// Rows of holders that have not written for this long are deleted. Their chunks were taken over long before, as the
/// holders expire after three heartbeats, or two hours if they are still seen alive.
const HOLDER_RETENTION_S: u64 = 2 * 86_400;
/// Maximum number of holder rows read by one sweep.
const HOLDER_ROWS: u32 = 1_000;

/// Subject of an expiry row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Expired<'a> {
    Job(&'a str),
    File(&'a str),
    /// Pieces of an unfinished upload or a deleted file.
    Upload(&'a str),
    /// Objects of an unfinished attempt to create a job.
    Accept {
        job: &'a str,
        nonce: &'a str,
    },
}

/// Parses the key of an expiry row, `expire/{time}/{kind}/{id}`.
fn parse_expiry(key: &str) -> Option<Expired<'_>> {
    let mut parts = key.split('/').skip(2);
    let (kind, id) = (parts.next()?, parts.next()?);
    match kind {
        "job" => Some(Expired::Job(id)),
        "file" => Some(Expired::File(id)),
        "upload" => Some(Expired::Upload(id)),
        "accept" => Some(Expired::Accept {
            job: id,
            nonce: parts.next()?,
        }),
        _ => None,
    }
}

impl JobStore {
    /// Deletes some of the expired data and returns the number of expiry rows handled. Several VMs may sweep at the
    /// same time, since deletes are idempotent.
    ///
    /// # Errors
    ///
    /// The problem of the store; a later sweep deletes the rest.
    pub async fn sweep(&self) -> Result<u64, Problem> {
        let end = format!("expire/{:012}0", self.now_unix());
        let rows = self.range("expire/", &end, SWEEP_ROWS).await?;
        let mut count = 0;
        for row in &rows {
            let Some(expired) = parse_expiry(&row.key) else {
                self.meters.malformed.add(1, &[]);
                continue;
            };
            let write = self.delete_expired(expired).await?.delete(row.key.clone());
            self.commit_delete(write).await?;
            count += 1;
        }
        self.meters.expired.add(count, &[]);
        self.sweep_holders().await?;
        Ok(count)
    }

    /// Deletes holder rows that have not been written within [`HOLDER_RETENTION_S`].
    async fn sweep_holders(&self) -> Result<(), Problem> {
        let oldest = self.now_unix().saturating_sub(HOLDER_RETENTION_S);
        let rows = self.range("holder/", "holder0", HOLDER_ROWS).await?;
        for row in &rows {
            let decoded = decode_row::<HolderRow>(row);
            if decoded.is_ok_and(|(_, holder)| holder.written_at < oldest) {
                let expected = Expected::Revision(row.revision);
                let write = TableWrite::new().expect(row.key.clone(), expected);
                self.commit_delete(write.delete(row.key.clone())).await?;
            }
        }
        Ok(())
    }

    /// Deletes the data of an expiry row, except for the rows that the returned write deletes.
    async fn delete_expired(&self, expired: Expired<'_>) -> Result<TableWrite, Problem> {
        let write = TableWrite::new();
        match expired {
            Expired::Job(job) => self.delete_job(job).await,
            Expired::File(id) => {
                self.delete_objects(&format!("file/{id}/")).await?;
                Ok(write.delete(file_key(id)))
            }
            Expired::Upload(id) => {
                self.delete_objects(&format!("file/{id}/")).await?;
                Ok(write)
            }
            Expired::Accept { job, nonce } => {
                let found = self.read_job(job).await?;
                if found.is_none_or(|(_, row)| row.nonce != nonce) {
                    self.delete_objects(&format!("batch/{job}/{nonce}/"))
                        .await?;
                }
                Ok(write)
            }
        }
    }

    async fn delete_job(&self, job: &str) -> Result<TableWrite, Problem> {
        let Some((_, row)) = self.read_job(job).await? else {
            return Ok(TableWrite::new());
        };
        self.delete_objects(&format!("batch/{job}/")).await?;
        let prefix = format!("chunk/{job}/");
        let start = chunk_key(job, 0);
        let end = prefix_end(&prefix);
        let chunks = self.range(&start, &end, CHUNK_ROWS_LIMIT).await?;
        for group in chunks.chunks(DELETE_GROUP_ROWS) {
            let write = TableWrite {
                deletes: group.iter().map(|row| row.key.clone()).collect(),
                ..TableWrite::new()
            };
            self.commit_delete(write).await?;
        }
        Ok(Self::job_deletes(job, &row))
    }

    fn job_deletes(job: &str, row: &JobRow) -> TableWrite {
        let write = TableWrite::new().delete(job_key(job)).delete(listing_key(
            &row.organisation,
            row.created_at,
            job,
        ));
        if row.state == JobState::Cancelled {
            let cancelled_at = row.ended_at.unwrap_or_default();
            return write.delete(crate::rows::cancel_key(cancelled_at, job));
        }
        write
    }

    /// Deletes all objects whose name starts with `prefix`.
    ///
    /// # Errors
    ///
    /// The problem of the store.
    pub async fn delete_objects(&self, prefix: &str) -> Result<(), Problem> {
        let names = self.objects.list(prefix).await;
        for name in names.map_err(|error| store_problem(&error))? {
            let deleted = self.objects.delete(&name).await;
            deleted.map_err(|error| store_problem(&error))?;
        }
        Ok(())
    }

    async fn commit_delete(&self, write: TableWrite) -> Result<(), Problem> {
        let outcome = self.table.commit(write).await;
        outcome.map(|_| ()).map_err(|error| store_problem(&error))
    }
}
