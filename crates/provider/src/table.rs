//! The platform's transactional table service.

use crate::PlatformFuture;
use compact_str::CompactString;
use serde_json::Value;

/// One row of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct RowEntry {
    /// Key of the row; keys are ordered as bytes.
    pub key: CompactString,
    /// Changes at every write of the row and never repeats for a key.
    pub revision: u64,
    /// Content.
    pub value: Value,
}

/// What a condition of a commit expects of a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// The row does not exist.
    Absent,
    /// The row has this revision.
    Revision(u64),
}

/// A write of several rows that takes effect whole or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableWrite {
    /// All have to hold.
    pub conditions: Vec<(CompactString, Expected)>,
    /// Rows to write.
    pub puts: Vec<(CompactString, Value)>,
    /// Rows to delete.
    pub deletes: Vec<CompactString>,
}

impl TableWrite {
    /// A write without rows.
    #[must_use]
    pub fn new() -> TableWrite {
        TableWrite::default()
    }

    /// Adds a condition.
    #[must_use]
    pub fn expect(mut self, key: impl Into<CompactString>, expected: Expected) -> TableWrite {
        self.conditions.push((key.into(), expected));
        self
    }

    /// Adds a row to write.
    #[must_use]
    pub fn put(mut self, key: impl Into<CompactString>, value: Value) -> TableWrite {
        self.puts.push((key.into(), value));
        self
    }

    /// Adds a row to delete.
    #[must_use]
    pub fn delete(mut self, key: impl Into<CompactString>) -> TableWrite {
        self.deletes.push(key.into());
        self
    }
}

/// Outcome of a commit that was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// All rows were written; each has this revision now.
    Committed {
        /// Revision of the written rows.
        revision: u64,
    },
    /// A condition failed and nothing was written.
    Conflict {
        /// Key of the row whose condition failed.
        key: CompactString,
    },
}

/// The table service.
pub trait TableStore: Send + Sync {
    /// Reads one row.
    fn get(&self, key: &str) -> PlatformFuture<'_, Option<RowEntry>>;
    /// Reads up to `limit` rows with `start <= key < end`, in key order.
    fn range(&self, start: &str, end: &str, limit: u32) -> PlatformFuture<'_, Vec<RowEntry>>;
    /// Writes rows if all conditions hold.
    fn commit(&self, write: TableWrite) -> PlatformFuture<'_, CommitOutcome>;
}
