//! The platform's partitioned store: tables whose rows are grouped into partitions, with a change feed.

use crate::PlatformFuture;
use bytes::Bytes;
use compact_str::CompactString;
use plantainmill_core::RegionSet;
use std::time::Duration;

/// Names a table of the store.
pub type TableName = &'static str;
/// Names a partition. A transaction is limited to rows of one partition.
pub type PartitionName = CompactString;
/// Number of a transaction; later transactions have higher numbers. The version of a row is the transaction that last
/// wrote it; zero means no row.
pub type RowVersion = u64;

/// One row, as read from a partition or a change feed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartitionRow {
    /// Table that holds the row.
    pub table: CompactString,
    /// Partition that holds the row.
    pub partition: PartitionName,
    /// Key within table and partition; keys are ordered bytewise.
    pub key: CompactString,
    /// Content; empty if the row was removed.
    pub value: Bytes,
    /// Transaction that last wrote or removed the row.
    pub version: RowVersion,
    /// Whether the row was removed; only change feeds report removed rows.
    pub is_removed: bool,
}

/// Result of a read: a consistent snapshot of rows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowsRead {
    /// Rows in key order.
    pub rows: Vec<PartitionRow>,
    /// Latest transaction of the store at the time of the read.
    pub version: RowVersion,
    /// The store's monotonic clock at the time of the read.
    pub store_time: Duration,
}

/// An atomic change to rows of one partition.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RowChange {
    /// Partition of all rows of the change.
    pub partition: PartitionName,
    /// Preconditions: versions that rows must have.
    pub expected: Vec<(TableName, CompactString, RowVersion)>,
    /// Rows to write, with their content.
    pub puts: Vec<(TableName, CompactString, Bytes)>,
    /// Rows to remove, by table and key.
    pub removes: Vec<(TableName, CompactString)>,
}

impl RowChange {
    /// Creates an empty change to rows of `partition`.
    #[must_use]
    pub fn of(partition: impl Into<PartitionName>) -> RowChange {
        RowChange {
            partition: partition.into(),
            ..RowChange::default()
        }
    }

    /// Requires the row to have `version`; zero requires that it does not exist.
    #[must_use]
    pub fn expect(mut self, table: TableName, key: &str, version: RowVersion) -> RowChange {
        self.expected.push((table, key.into(), version));
        self
    }

    /// Writes `value` to a row, creating the row if it does not exist.
    #[must_use]
    pub fn put(mut self, table: TableName, key: &str, value: Bytes) -> RowChange {
        self.puts.push((table, key.into(), value));
        self
    }

    /// Removes a row.
    #[must_use]
    pub fn remove(mut self, table: TableName, key: &str) -> RowChange {
        self.removes.push((table, key.into()));
        self
    }
}

/// Outcome of a change that the store responded to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change was applied; the written rows have this version.
    Applied(RowVersion),
    /// A precondition failed and nothing was written. Holds the current state of those rows in `expected` that exist.
    Conflict(Vec<PartitionRow>),
}

/// Result of reading a change feed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedRead {
    /// Changed rows in order of their versions, and the version to continue from.
    Changes(Vec<PartitionRow>, RowVersion),
    /// The store no longer has all changes since the requested version; the table has to be read again.
    HistoryLost,
}

/// The partitioned store.
pub trait PartitionStore {
    /// Reads the rows of a partition with `from <= key < until`; an empty string means no bound.
    fn read<'a>(
        &'a self,
        table: TableName,
        partition: &'a str,
        from: &'a str,
        until: &'a str,
    ) -> PlatformFuture<'a, RowsRead>;
    /// Reads rows with content of requests, `from <= key < until`, which only VMs in `regions` may pass on. A store that no
    /// other VM passes rows on for reads them as any others.
    fn read_within<'a>(
        &'a self,
        table: TableName,
        partition: &'a str,
        (from, until): (&'a str, &'a str),
        _regions: &RegionSet,
    ) -> PlatformFuture<'a, RowsRead> {
        self.read(table, partition, from, until)
    }
    /// Applies a change if all its preconditions hold.
    fn change(&self, change: RowChange) -> PlatformFuture<'_, ChangeOutcome>;
    /// Applies a change with content of requests, which only VMs in `regions` may pass on.
    fn change_within(
        &self,
        change: RowChange,
        _regions: &RegionSet,
    ) -> PlatformFuture<'_, ChangeOutcome> {
        self.change(change)
    }
    /// Reads the changes of `table` after version `after`; waits up to `wait` if there are none.
    fn follow(
        &self,
        table: TableName,
        after: RowVersion,
        wait: Duration,
    ) -> PlatformFuture<'_, FeedRead>;
}
