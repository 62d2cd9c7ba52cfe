//! Storage of jobs in the partitioned row store of the platform.

use crate::stored::{
    HEAD_TABLE, ITEM_TABLE, JobHead, JobItem, ListedResult, all_partitions, decode, encode,
    items_key, job_keys_end, partition_of, result_key, result_key_prefix,
};
use bytes::Bytes;
use compact_str::format_compact;
use plantainmill_core::{JobId, RegionSet};
use plantainmill_provider::{
    ChangeOutcome, PartitionRow, PartitionStore, RowChange, RowVersion, StoreError,
};
use std::rc::Rc;

/// Maximum bytes in one row before encoding. A row of the platform holds 64 KB of base64.
const MAX_ROW_BYTES: usize = 48_000;
/// Maximum item rows in one transaction, which is limited to 1 MB.
const ROWS_PER_WRITE: usize = 12;
/// Maximum rows removed by one transaction.
const REMOVALS_PER_WRITE: usize = 90;

/// Outcome of a write that is conditional on the version of a head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadOutcome {
    /// The write was applied; the head now has this version.
    Applied(RowVersion),
    /// The head has another version, which is returned with it. `None` if the head does not exist or is malformed.
    Conflict(Option<(JobHead, RowVersion)>),
}

/// Reads and writes jobs in a [`PartitionStore`].
#[derive(Clone)]
pub struct JobStore {
    rows: Rc<dyn PartitionStore>,
}

impl JobStore {
    /// Creates a store that keeps jobs in `rows`.
    #[must_use]
    pub fn new(rows: Rc<dyn PartitionStore>) -> JobStore {
        JobStore { rows }
    }

    /// Returns the underlying row store, for reading its change feed.
    #[must_use]
    pub fn rows(&self) -> &Rc<dyn PartitionStore> {
        &self.rows
    }

    /// Stores a new job, whose items only VMs in `regions` may pass on. Conflicts if a job with this id exists.
    ///
    /// # Errors
    ///
    /// The error tells whether the job may have been stored.
    pub async fn create(
        &self,
        job: &JobId,
        head: &JobHead,
        items: &[JobItem],
        regions: &RegionSet,
    ) -> Result<HeadOutcome, StoreError> {
        let content = encode(&items);
        let chunks: Vec<Bytes> = split_content(&content).collect();
        let partition = partition_of(job);
        let mut change = RowChange::of(partition.clone());
        for (index, chunk) in chunks.into_iter().enumerate() {
            if change.puts.len() == ROWS_PER_WRITE {
                // Without a head, these rows have no effect, and a retry writes them again.
                let full = std::mem::replace(&mut change, RowChange::of(partition.clone()));
                self.rows.change_within(full, regions).await?;
            }
            change = change.put(ITEM_TABLE, &items_key(job, index), chunk);
        }
        let change = change.expect(HEAD_TABLE, job, 0);
        let change = change.put(HEAD_TABLE, job, encode(head));
        self.change_head(job, change, regions).await
    }

    /// Replaces the head that has `version` and adds results from position `first` on, in one transaction. Only VMs in `regions`
    /// may pass the results on.
    ///
    /// # Errors
    ///
    /// The error tells whether the write may have been applied.
    pub async fn write_head(
        &self,
        job: &JobId,
        version: RowVersion,
        head: &JobHead,
        first: u64,
        results: &[&ListedResult],
        regions: &RegionSet,
    ) -> Result<HeadOutcome, StoreError> {
        let mut change = RowChange::of(partition_of(job)).expect(HEAD_TABLE, job, version);
        for (position, result) in (first..).zip(results) {
            let content = encode(*result);
            for (index, chunk) in split_content(&content).enumerate() {
                let key = result_key(job, position, index);
                change = change.expect(ITEM_TABLE, &key, 0);
                change = change.put(ITEM_TABLE, &key, chunk);
            }
        }
        change = change.put(HEAD_TABLE, job, encode(head));
        // A head has no content of a request.
        let everywhere = RegionSet::Everywhere;
        let regions = if results.is_empty() {
            &everywhere
        } else {
            regions
        };
        self.change_head(job, change, regions).await
    }

    async fn change_head(
        &self,
        job: &JobId,
        change: RowChange,
        regions: &RegionSet,
    ) -> Result<HeadOutcome, StoreError> {
        match self.rows.change_within(change, regions).await? {
            ChangeOutcome::Applied(version) => Ok(HeadOutcome::Applied(version)),
            ChangeOutcome::Conflict(rows) => {
                let row = rows
                    .into_iter()
                    .find(|row| row.table == HEAD_TABLE && row.key == *job);
                Ok(HeadOutcome::Conflict(row.and_then(|row| read_head(&row))))
            }
        }
    }

    /// Reads the head of a job. Returns `None` if it does not exist or is malformed.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond.
    pub async fn head(&self, job: &JobId) -> Result<Option<(JobHead, RowVersion)>, StoreError> {
        let partition = partition_of(job);
        let until = format_compact!("{job}\u{0}");
        let read = self.rows.read(HEAD_TABLE, &partition, job, &until).await?;
        Ok(read.rows.first().and_then(read_head))
    }

    /// Reads all heads, and the store version from which the change feed continues. It is the version of the first
    /// read, so that the feed contains changes made during the later reads.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond.
    pub async fn all_heads(
        &self,
    ) -> Result<(Vec<(JobId, JobHead, RowVersion)>, RowVersion), StoreError> {
        let mut heads = Vec::new();
        let mut first_version = None;
        for partition in all_partitions() {
            let read = self.rows.read(HEAD_TABLE, &partition, "", "").await?;
            first_version.get_or_insert(read.version);
            heads.extend(read.rows.iter().filter_map(|row| {
                let (head, version) = read_head(row)?;
                Some((row.key.clone(), head, version))
            }));
        }
        Ok((heads, first_version.unwrap_or(0)))
    }

    /// Reads the items of a job, which only VMs in `regions` may pass on. Returns an empty list if they do not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond, or the items cannot be decoded.
    pub async fn items(
        &self,
        job: &JobId,
        regions: &RegionSet,
    ) -> Result<Vec<JobItem>, StoreError> {
        let partition = partition_of(job);
        let from = items_key(job, 0);
        let until = format_compact!("{job}/j");
        let read = self
            .rows
            .read_within(ITEM_TABLE, &partition, (&from, &until), regions)
            .await?;
        if read.rows.is_empty() {
            return Ok(Vec::new());
        }
        let content = join_content(&read.rows);
        let malformed = || StoreError::Malformed(format!("items of job {job}"));
        decode(&content).ok_or_else(malformed)
    }

    /// Reads the results from position `after` on, as many as one read of the store returns and up to the first one that
    /// is missing or cannot be decoded. Only VMs in `regions` may pass them on.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond, or there are results, but none at `after` that can be decoded.
    pub async fn results(
        &self,
        job: &JobId,
        after: u64,
        regions: &RegionSet,
    ) -> Result<Vec<ListedResult>, StoreError> {
        let partition = partition_of(job);
        let from = result_key(job, after, 0);
        let until = job_keys_end(job);
        let read = self
            .rows
            .read_within(ITEM_TABLE, &partition, (&from, &until), regions)
            .await?;
        let same_result = |first: &PartitionRow, next: &PartitionRow| {
            result_key_prefix(&first.key) == result_key_prefix(&next.key)
        };
        // Results after a missing one would be taken for those at other positions.
        let results: Vec<ListedResult> = read
            .rows
            .chunk_by(same_result)
            .zip(after..)
            .take_while(|(rows, position)| rows[0].key == result_key(job, *position, 0))
            .map_while(|(rows, _)| decode(&join_content(rows)))
            .collect();
        if results.is_empty() && !read.rows.is_empty() {
            let reason = format!("result {after} of job {job}");
            return Err(StoreError::Malformed(reason));
        }
        Ok(results)
    }

    /// Removes all rows of a job, the head last. Only VMs in `regions` may pass on what they contain.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond. The call is idempotent.
    pub async fn remove(&self, job: &JobId, regions: &RegionSet) -> Result<(), StoreError> {
        let partition = partition_of(job);
        let from = format_compact!("{job}/");
        let until = job_keys_end(job);
        let read = self
            .rows
            .read_within(ITEM_TABLE, &partition, (&from, &until), regions)
            .await?;
        for rows in read.rows.chunks(REMOVALS_PER_WRITE) {
            let mut change = RowChange::of(partition.clone());
            for row in rows {
                change = change.remove(ITEM_TABLE, &row.key);
            }
            self.rows.change(change).await?;
        }
        let change = RowChange::of(partition).remove(HEAD_TABLE, job);
        self.rows.change(change).await.map(drop)
    }
}

/// Decodes the head in a row. Returns `None` if it is malformed.
pub(crate) fn read_head(row: &PartitionRow) -> Option<(JobHead, RowVersion)> {
    Some((decode(&row.value)?, row.version))
}

/// Splits a value into chunks that each fit in a row.
fn split_content(content: &Bytes) -> impl Iterator<Item = Bytes> + '_ {
    (0..content.len())
        .step_by(MAX_ROW_BYTES)
        .map(|start| content.slice(start..content.len().min(start + MAX_ROW_BYTES)))
}

fn join_content(rows: &[PartitionRow]) -> Vec<u8> {
    rows.iter()
        .flat_map(|row| row.value.iter().copied())
        .collect()
}
