//! The platform's partitioned rows: tables whose rows are grouped into parts, with a feed of changes.

use crate::PlatformFuture;
use bytes::Bytes;
use compact_str::CompactString;
use std::time::Duration;

/// Names a table.
pub type TableName = &'static str;
/// Names a part of a table; transactions stay within one part.
pub type PartitionName = CompactString;
/// Counts transactions; a row carries the number of the last one that wrote it, and zero stands for no row.
pub type RowVersion = u64;

/// One row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartitionRow {
    /// Table it belongs to.
    pub table: CompactString,
    /// Part it belongs to.
    pub partition: PartitionName,
    /// Key within the part; keys are ordered as bytes.
    pub key: CompactString,
    /// Content; empty for a row that a feed reports as removed.
    pub value: Bytes,
    /// Transaction that wrote it.
    pub version: RowVersion,
    /// The row was removed; only feeds report such rows.
    pub is_removed: bool,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowsRead {
    /// Rows in order of their keys.
    pub rows: Vec<PartitionRow>,
    /// Newest transaction of the store.
    pub version: RowVersion,
    /// The store's steady clock.
    pub store_time: Duration,
}

/// A change of rows of one part that takes effect whole or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowChange {
    /// Part of all rows.
    pub partition: PartitionName,
    /// Versions that rows must have.
    pub expected: Vec<(TableName, CompactString, RowVersion)>,
    /// Rows to write.
    pub puts: Vec<(TableName, CompactString, Bytes)>,
    /// Rows to remove.
    pub removes: Vec<(TableName, CompactString)>,
}

impl RowChange {
    /// A change of rows of `part`.
    #[must_use]
    pub fn of(partition: impl Into<PartitionName>) -> RowChange {
        RowChange {
            partition: partition.into(),
            ..RowChange::default()
        }
    }

    /// Adds a condition.
    #[must_use]
    pub fn expect(mut self, table: TableName, key: &str, version: RowVersion) -> RowChange {
        self.expected.push((table, key.into(), version));
        self
    }

    /// Adds a row to write.
    #[must_use]
    pub fn put(mut self, table: TableName, key: &str, value: Bytes) -> RowChange {
        self.puts.push((table, key.into(), value));
        self
    }

    /// Adds a row to remove.
    #[must_use]
    pub fn remove(mut self, table: TableName, key: &str) -> RowChange {
        self.removes.push((table, key.into()));
        self
    }
}

/// Outcome of a change that was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change took effect; the rows that it wrote have this version.
    Applied(RowVersion),
    /// A condition failed and nothing was written. Holds the expected rows that exist, as they are.
    Conflict(Vec<PartitionRow>),
}

/// Outcome of a read of a feed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedRead {
    /// Changed rows in order, and the version to go on from.
    Changes(Vec<PartitionRow>, RowVersion),
    /// The store no longer holds the changes after the version asked for.
    HistoryLost,
}

/// The partitioned rows.
pub trait PartitionStore {
    /// Reads the rows of a part with `from <= key < until`; an empty bound is open.
    fn read<'a>(
        &'a self,
        table: TableName,
        partition: &'a str,
        from: &'a str,
        until: &'a str,
    ) -> PlatformFuture<'a, RowsRead>;
    /// Applies a change if all its conditions hold.
    fn change(&self, change: RowChange) -> PlatformFuture<'_, ChangeOutcome>;
    /// Waits up to `wait` for changes of `table` after `after`.
    fn follow(
        &self,
        table: TableName,
        after: RowVersion,
        wait: Duration,
    ) -> PlatformFuture<'_, FeedRead>;
}
