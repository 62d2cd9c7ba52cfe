//! The platform's transactional table service.

use crate::PlatformFuture;
use compact_str::CompactString;
use serde_json::Value;

/// One row, as read from the table.
#[derive(Clone, Debug, PartialEq)]
pub struct RowEntry {
    /// Key of the row; keys are ordered bytewise.
    pub key: CompactString,
    /// Changes with every write of the row; a key never has the same revision twice.
    pub revision: u64,
    /// Content as JSON.
    pub value: Value,
}

/// State of a row that a commit requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// The row does not exist.
    Absent,
    /// The row has this revision.
    Revision(u64),
}

/// An atomic write of several rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableWrite {
    /// Preconditions; all have to hold.
    pub conditions: Vec<(CompactString, Expected)>,
    /// Rows to write, with their content.
    pub puts: Vec<(CompactString, Value)>,
    /// Keys of the rows to delete.
    pub deletes: Vec<CompactString>,
}

impl TableWrite {
    /// Creates a write without conditions and rows.
    #[must_use]
    pub fn new() -> TableWrite {
        TableWrite::default()
    }

    /// Adds a precondition on the row `key`.
    #[must_use]
    pub fn expect(mut self, key: impl Into<CompactString>, expected: Expected) -> TableWrite {
        self.conditions.push((key.into(), expected));
        self
    }

    /// Writes `value` to the row `key`.
    #[must_use]
    pub fn put(mut self, key: impl Into<CompactString>, value: Value) -> TableWrite {
        self.puts.push((key.into(), value));
        self
    }

    /// Deletes the row `key`.
    #[must_use]
    pub fn delete(mut self, key: impl Into<CompactString>) -> TableWrite {
        self.deletes.push(key.into());
        self
    }
}

/// Outcome of a commit that the table service responded to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// All rows were written.
    Committed {
        /// New revision of all written rows.
        revision: u64,
    },
    /// A precondition failed and nothing was written.
    Conflict {
        /// Key of the row whose precondition failed.
        key: CompactString,
    },
}

/// Client of the table service.
pub trait TableStore: Send + Sync {
    /// Reads one row; `None` if it does not exist.
    fn get(&self, key: &str) -> PlatformFuture<'_, Option<RowEntry>>;
    /// Reads up to `limit` rows with `start <= key < end`, in key order.
    fn range(&self, start: &str, end: &str, limit: u32) -> PlatformFuture<'_, Vec<RowEntry>>;
    /// Writes and deletes the rows if all preconditions hold.
    fn commit(&self, write: TableWrite) -> PlatformFuture<'_, CommitOutcome>;
}
