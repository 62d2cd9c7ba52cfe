//! The change log in the table, and its snapshots in the object store.

use crate::change::ConfigChange;
use crate::entry::{ConfigSnapshot, LogEntry, LogHead};
use compact_str::{CompactString, format_compact};
use plantainmill_provider::{
    CommitOutcome, Expected, ObjectStore, RowEntry, StoreError, TableStore, TableWrite,
};
use std::sync::Arc;

/// Key of the row that holds the [`LogHead`].
pub const HEAD_KEY: &str = "config/head";
/// Key prefix of the log rows; the version follows.
pub const LOG_PREFIX: &str = "config/log/";
/// Name prefix of the snapshot objects; the version follows.
pub const SNAPSHOT_PREFIX: &str = "config/snapshot/";
/// Number of versions between snapshots.
pub const SNAPSHOT_INTERVAL: u64 = 256;
/// Number of snapshots retained; the older one is used if the newest is damaged.
const RETAINED_SNAPSHOTS: usize = 2;
/// Maximum number of rows in one read.
pub const READ_LIMIT: u32 = 256;

/// The head row as read, with the revision that the next commit expects.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeadRow {
    /// Content of the row; the default if there is no row.
    pub head: LogHead,
    /// Revision of the row in the table; `None` if there is no row.
    pub revision: Option<u64>,
}

/// Outcome of an append whose response was received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// The entry is in the log.
    Committed,
    /// Another change was committed first; nothing was written.
    Conflict,
}

/// Reads and writes the change log and its snapshots.
#[derive(Clone)]
pub struct ConfigLog {
    table: Arc<dyn TableStore>,
    objects: Arc<dyn ObjectStore>,
}

/// Key of the log row of `version`. Zero padding makes the order of the keys that of the versions.
#[must_use]
pub fn log_key(version: u64) -> CompactString {
    format_compact!("{LOG_PREFIX}{version:020}")
}

/// Name of the snapshot object of `version`. Zero padding makes the order of the names that of the versions.
#[must_use]
pub fn snapshot_name(version: u64) -> CompactString {
    format_compact!("{SNAPSHOT_PREFIX}{version:020}")
}

impl ConfigLog {
    /// Creates a log with its rows in `table` and its snapshots in `objects`.
    #[must_use]
    pub fn new(table: Arc<dyn TableStore>, objects: Arc<dyn ObjectStore>) -> ConfigLog {
        ConfigLog { table, objects }
    }

    /// Reads the head row.
    ///
    /// # Errors
    ///
    /// Fails if the table is not available or the row is malformed.
    pub async fn read_head(&self) -> Result<HeadRow, StoreError> {
        let Some(row) = self.table.get(HEAD_KEY).await? else {
            return Ok(HeadRow::default());
        };
        let revision = Some(row.revision);
        let head = serde_json::from_value(row.value)
            .map_err(|error| StoreError::Malformed(format!("row {HEAD_KEY}: {error}")))?;
        Ok(HeadRow { head, revision })
    }

    /// Reads up to `limit` entries after version `after`, in the order of their versions and without gaps.
    ///
    /// # Errors
    ///
    /// Fails if the table is not available, or if a row is malformed or missing.
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
    /// Same as [`ConfigLog::read_after`].
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

    /// Appends `entry` and moves the head to it atomically, if `head` is still the head.
    ///
    /// # Errors
    ///
    /// `Unavailable` means that nothing was written. After `Unknown` the entry may be in the log; see
    /// [`ConfigLog::was_appended`].
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

    /// Reads the log to find out whether an append of `entry` whose response was lost has taken effect.
    ///
    /// # Errors
    ///
    /// Fails if the table is not available; the effect is then still unknown.
    pub async fn was_appended(&self, entry: &LogEntry) -> Result<bool, StoreError> {
        let change = &entry.change;
        let before = change.version.saturating_sub(1);
        let written = self.read_after(before, 1).await?;
        let found = written.first();
        Ok(found.is_some_and(|found| found.change.operation == change.operation))
    }

    /// Writes a snapshot, then deletes all but the newest two.
    ///
    /// # Errors
    ///
    /// Fails if the object store is not available. No retry is needed: the next snapshot replaces this one.
    pub async fn write_snapshot(&self, snapshot: &ConfigSnapshot) -> Result<(), StoreError> {
        let name = snapshot_name(snapshot.config.version);
        self.objects.put(&name, snapshot.encode().into()).await?;
        let names = self.objects.list(SNAPSHOT_PREFIX).await?;
        let surplus = names.len().saturating_sub(RETAINED_SNAPSHOTS);
        for old in names.iter().take(surplus) {
            self.objects.delete(old).await?;
        }
        Ok(())
    }

    /// Reads the newest snapshot that can be decoded; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the object store is not available.
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
