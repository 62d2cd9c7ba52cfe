//! The log of changes in the table, and the snapshots in the object store.

use crate::change::ConfigChange;
use crate::entry::{ConfigSnapshot, LogEntry, LogHead};
use compact_str::{CompactString, format_compact};
use plantainmill_provider::{
    CommitOutcome, Expected, ObjectStore, RowEntry, StoreError, TableStore, TableWrite,
};
use std::sync::Arc;

/// Key of the head row.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the log rows.
pub const LOG_PREFIX: &str = "config/log/";
/// Prefix of the snapshot objects.
pub const SNAPSHOT_PREFIX: &str = "config/snapshot/";
/// Versions between snapshots.
pub const SNAPSHOT_EVERY: u64 = 256;
/// Snapshots that are kept; an older one serves when the newest is damaged.
const SNAPSHOTS_KEPT: usize = 2;
/// Rows read at once.
pub const READ_LIMIT: u32 = 256;

/// The head as read, with the revision that a commit expects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeadRow {
    /// Content.
    pub head: LogHead,
    /// Revision; `None` while there is no row.
    pub revision: Option<u64>,
}

/// Outcome of an append whose effect is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The change is in the log.
    Committed,
    /// Another change came first; nothing was written.
    Conflict,
}

/// The log of changes.
#[derive(Clone)]
pub struct ConfigLog {
    table: Arc<dyn TableStore>,
    objects: Arc<dyn ObjectStore>,
}

/// Key of the log row of `version`.
#[must_use]
pub fn log_key(version: u64) -> CompactString {
    format_compact!("{LOG_PREFIX}{version:020}")
}

/// Name of the snapshot object of `version`.
#[must_use]
pub fn snapshot_name(version: u64) -> CompactString {
    format_compact!("{SNAPSHOT_PREFIX}{version:020}")
}

impl ConfigLog {
    /// The log in `table`, with snapshots in `objects`.
    #[must_use]
    pub fn new(table: Arc<dyn TableStore>, objects: Arc<dyn ObjectStore>) -> ConfigLog {
        ConfigLog { table, objects }
    }

    /// Reads the head.
    ///
    /// # Errors
    ///
    /// Fails when the table is not available or the row is malformed.
    pub async fn read_head(&self) -> Result<HeadRow, StoreError> {
        let Some(row) = self.table.get(HEAD_KEY).await? else {
            return Ok(HeadRow::default());
        };
        let revision = Some(row.revision);
        let head = serde_json::from_value(row.value)
            .map_err(|error| StoreError::Malformed(format!("row {HEAD_KEY}: {error}")))?;
        Ok(HeadRow { head, revision })
    }

    /// Reads up to `limit` entries after version `after`, in order and without gaps.
    ///
    /// # Errors
    ///
    /// Fails when the table is not available, or when a row is malformed or missing.
    pub async fn read_after(&self, after: u64, limit: u32) -> Result<Vec<LogEntry>, StoreError> {
        let start = log_key(after.saturating_add(1));
        let end = log_key(u64::MAX);
        let rows = self.table.range(&start, &end, limit).await?;
        let versions = after.saturating_add(1)..;
        rows.into_iter()
            .zip(versions)
            .map(|(row, version)| decode_row(row, version))
            .collect()
    }

    /// Reads the newest `limit` changes up to `head`, newest first.
    ///
    /// # Errors
    ///
    /// As [`ConfigLog::read_after`].
    pub async fn read_newest(
        &self,
        head: u64,
        limit: u32,
    ) -> Result<Vec<ConfigChange>, StoreError> {
        let after = head.saturating_sub(u64::from(limit));
        let entries = self.read_after(after, limit).await?;
        Ok(entries
            .into_iter()
            .rev()
            .map(|entry| entry.change)
            .collect())
    }

    /// Appends `entry` if `head` is still the head.
    ///
    /// # Errors
    ///
    /// `Unavailable` means nothing was written; after `Unknown` the entry may be in the log, see
    /// [`ConfigLog::settle`].
    pub async fn append(
        &self,
        entry: &LogEntry,
        head: &HeadRow,
    ) -> Result<AppendOutcome, StoreError> {
        let version = entry.change.version;
        let new_head = LogHead {
            version,
            operation: entry.change.operation.clone(),
        };
        let expected = head.revision.map_or(Expected::Absent, Expected::Revision);
        let write = TableWrite::new()
            .expect(HEAD_KEY, expected)
            .expect(log_key(version), Expected::Absent)
            .put(HEAD_KEY, encode_row(&new_head)?)
            .put(log_key(version), encode_row(entry)?);
        match self.table.commit(write).await? {
            CommitOutcome::Committed { .. } => Ok(AppendOutcome::Committed),
            CommitOutcome::Conflict { .. } => Ok(AppendOutcome::Conflict),
        }
    }

    /// Finds out whether the append of `entry` took effect after its answer was lost.
    ///
    /// # Errors
    ///
    /// Fails when the table is not available; the effect is then still unknown.
    pub async fn settle(&self, entry: &LogEntry) -> Result<bool, StoreError> {
        let change = &entry.change;
        let before = change.version.saturating_sub(1);
        let written = self.read_after(before, 1).await?;
        let found = written.first();
        Ok(found.is_some_and(|found| found.change.operation == change.operation))
    }

    /// Writes a snapshot and deletes the oldest ones.
    ///
    /// # Errors
    ///
    /// Fails when the object store is not available; the next snapshot makes up for it.
    pub async fn write_snapshot(&self, snapshot: &ConfigSnapshot) -> Result<(), StoreError> {
        let name = snapshot_name(snapshot.config.version);
        self.objects.put(&name, snapshot.encode().into()).await?;
        let names = self.objects.list(SNAPSHOT_PREFIX).await?;
        let surplus = names.len().saturating_sub(SNAPSHOTS_KEPT);
        for old in names.iter().take(surplus) {
            self.objects.delete(old).await?;
        }
        Ok(())
    }

    /// Reads the newest snapshot that is not damaged.
    ///
    /// # Errors
    ///
    /// Fails when the object store is not available.
    pub async fn read_snapshot(&self) -> Result<Option<ConfigSnapshot>, StoreError> {
        let names = self.objects.list(SNAPSHOT_PREFIX).await?;
        for name in names.iter().rev() {
            let content = self.objects.get(name).await?;
            let snapshot = content.and_then(|content| ConfigSnapshot::decode(&content));
            if let Some(snapshot) = snapshot {
                return Ok(Some(snapshot));
            }
        }
        Ok(None)
    }
}

fn encode_row<T: serde::Serialize>(content: &T) -> Result<serde_json::Value, StoreError> {
    serde_json::to_value(content).map_err(|error| StoreError::Malformed(error.to_string()))
}

fn decode_row(row: RowEntry, version: u64) -> Result<LogEntry, StoreError> {
    let malformed = |reason: String| StoreError::Malformed(format!("row {}: {reason}", row.key));
    let entry: LogEntry =
        serde_json::from_value(row.value).map_err(|error| malformed(error.to_string()))?;
    if entry.change.version != version {
        return Err(malformed(format!("version {version} is missing")));
    }
    Ok(entry)
}
