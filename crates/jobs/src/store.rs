//! Reads and writes of jobs in the platform's rows.

use crate::stored::{
    HEAD_TABLE, ITEM_TABLE, JobHead, JobItem, ListedResult, all_parts, decode, encode, items_key,
    part_of, result_key, result_position, results_end,
};
use bytes::Bytes;
use compact_str::format_compact;
use plantainmill_core::JobId;
use plantainmill_provider::{
    ChangeOutcome, PartitionRow, PartitionStore, RowChange, RowVersion, StoreError,
};
use std::rc::Rc;

/// Most bytes in one row before encoding. The platform's rows hold 64 KB of base64.
const ROW_BYTES: usize = 48_000;
/// Item rows of one transaction, which may have 1 MB.
const ROWS_PER_WRITE: usize = 12;
/// Rows removed by one transaction.
const REMOVED_ROWS: usize = 90;

/// Outcome of a write under a head's version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadOutcome {
    /// The write took effect; the head has this version.
    Applied(RowVersion),
    /// The head is another one; none if there is no such job.
    Conflict(Option<(JobHead, RowVersion)>),
}

/// Jobs in the platform's rows.
#[derive(Clone)]
pub struct JobStore {
    rows: Rc<dyn PartitionStore>,
}

impl JobStore {
    /// Jobs in `rows`.
    #[must_use]
    pub fn new(rows: Rc<dyn PartitionStore>) -> JobStore {
        JobStore { rows }
    }

    /// The rows.
    #[must_use]
    pub fn rows(&self) -> &Rc<dyn PartitionStore> {
        &self.rows
    }

    /// Keeps a new job.
    ///
    /// # Errors
    ///
    /// Says whether the job may have been kept.
    pub async fn create(
        &self,
        job: &JobId,
        head: &JobHead,
        items: &[JobItem],
    ) -> Result<HeadOutcome, StoreError> {
        let content = encode(&items);
        let pieces: Vec<Bytes> = split_content(&content).collect();
        let part = part_of(job);
        let mut change = RowChange::of(part.clone());
        for (index, piece) in pieces.into_iter().enumerate() {
            if change.puts.len() == ROWS_PER_WRITE {
                // Items without a head are no job; a repeat writes the same rows.
                let full = std::mem::replace(&mut change, RowChange::of(part.clone()));
                self.rows.change(full).await?;
            }
            change = change.put(ITEM_TABLE, &items_key(job, index), piece);
        }
        let change = change.expect(HEAD_TABLE, job, 0);
        let change = change.put(HEAD_TABLE, job, encode(head));
        self.change_head(job, change).await
    }

    /// Writes a head over the one of `version`, with results from the position `first` on.
    ///
    /// # Errors
    ///
    /// Says whether the write may have taken effect.
    pub async fn write_head(
        &self,
        job: &JobId,
        version: RowVersion,
        head: &JobHead,
        first: u64,
        results: &[&ListedResult],
    ) -> Result<HeadOutcome, StoreError> {
        let mut change = RowChange::of(part_of(job)).expect(HEAD_TABLE, job, version);
        for (position, result) in (first..).zip(results) {
            let content = encode(*result);
            for (index, piece) in split_content(&content).enumerate() {
                let key = result_key(job, position, index);
                change = change.expect(ITEM_TABLE, &key, 0);
                change = change.put(ITEM_TABLE, &key, piece);
            }
        }
        change = change.put(HEAD_TABLE, job, encode(head));
        self.change_head(job, change).await
    }

    async fn change_head(&self, job: &JobId, change: RowChange) -> Result<HeadOutcome, StoreError> {
        match self.rows.change(change).await? {
            ChangeOutcome::Applied(version) => Ok(HeadOutcome::Applied(version)),
            ChangeOutcome::Conflict(rows) => {
                let row = rows
                    .into_iter()
                    .find(|row| row.table == HEAD_TABLE && row.key == *job);
                Ok(HeadOutcome::Conflict(row.and_then(|row| read_head(&row))))
            }
        }
    }

    /// Reads a head.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer.
    pub async fn head(&self, job: &JobId) -> Result<Option<(JobHead, RowVersion)>, StoreError> {
        let part = part_of(job);
        let until = format_compact!("{job}\u{0}");
        let read = self.rows.read(HEAD_TABLE, &part, job, &until).await?;
        Ok(read.rows.first().and_then(read_head))
    }

    /// Reads all heads, and the version from which a feed goes on.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer.
    pub async fn all_heads(
        &self,
    ) -> Result<(Vec<(JobId, JobHead, RowVersion)>, RowVersion), StoreError> {
        let mut heads = Vec::new();
        let mut first_version = None;
        for part in all_parts() {
            let read = self.rows.read(HEAD_TABLE, &part, "", "").await?;
            first_version.get_or_insert(read.version);
            heads.extend(read.rows.iter().filter_map(|row| {
                let (head, version) = read_head(row)?;
                Some((row.key.clone(), head, version))
            }));
        }
        Ok((heads, first_version.unwrap_or(0)))
    }

    /// Reads the items of a job.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer.
    pub async fn items(&self, job: &JobId) -> Result<Vec<JobItem>, StoreError> {
        let part = part_of(job);
        let from = items_key(job, 0);
        let until = format_compact!("{job}/j");
        let read = self.rows.read(ITEM_TABLE, &part, &from, &until).await?;
        let content = join_content(&read.rows);
        Ok(decode(&content).unwrap_or_default())
    }

    /// Reads the results from a position on.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer.
    pub async fn results(&self, job: &JobId, after: u64) -> Result<Vec<ListedResult>, StoreError> {
        let part = part_of(job);
        let from = result_key(job, after, 0);
        let until = results_end(job);
        let read = self.rows.read(ITEM_TABLE, &part, &from, &until).await?;
        let same_result = |first: &PartitionRow, next: &PartitionRow| {
            result_position(&first.key) == result_position(&next.key)
        };
        let results = read.rows.chunk_by(same_result);
        Ok(results
            .filter_map(|rows| decode(&join_content(rows)))
            .collect())
    }

    /// Removes all rows of a job, the head last.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no answer; the call may be repeated.
    pub async fn remove(&self, job: &JobId) -> Result<(), StoreError> {
        let part = part_of(job);
        let from = format_compact!("{job}/");
        let until = results_end(job);
        let read = self.rows.read(ITEM_TABLE, &part, &from, &until).await?;
        for rows in read.rows.chunks(REMOVED_ROWS) {
            let mut change = RowChange::of(part.clone());
            for row in rows {
                change = change.remove(ITEM_TABLE, &row.key);
            }
            self.rows.change(change).await?;
        }
        let change = RowChange::of(part).remove(HEAD_TABLE, job);
        self.rows.change(change).await.map(drop)
    }
}

/// The head in a row; none if it is malformed.
pub(crate) fn read_head(row: &PartitionRow) -> Option<(JobHead, RowVersion)> {
    Some((decode(&row.value)?, row.version))
}

/// A value in pieces that fit a row each.
fn split_content(content: &Bytes) -> impl Iterator<Item = Bytes> + '_ {
    (0..content.len())
        .step_by(ROW_BYTES)
        .map(|start| content.slice(start..content.len().min(start + ROW_BYTES)))
}

fn join_content(rows: &[PartitionRow]) -> Vec<u8> {
    rows.iter()
        .flat_map(|row| row.value.iter().copied())
        .collect()
}
