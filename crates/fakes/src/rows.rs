//! Partitioned rows in memory, with the faults of the platform's store.

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::FutureExt as _;
use plantainmill_provider::rows::{PartitionName, TableName};
use plantainmill_provider::{
    ChangeOutcome, FeedRead, PartitionRow, PartitionStore, PlatformFuture, RowChange, RowVersion,
    RowsRead, StoreError,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between looks at the feed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Delay of a late answer to a read.
const SLOW_READ_DELAY: Duration = Duration::from_millis(500);

/// Time after which a call ends that the store does not answer.
const SILENCE: Duration = Duration::from_secs(5);

/// What goes wrong with calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RowsFault {
    /// Nothing.
    #[default]
    None,
    /// All calls are refused.
    Refuse,
    /// Changes take effect, and their answers are lost.
    LoseAnswers,
    /// Changes are neither done nor answered; [`MemoryRows::land`] does them later, if their conditions still hold.
    HoldChanges,
    /// Changes are refused, and reads are answered.
    RefuseChanges,
    /// Changes are not done, and their callers learn nothing for 5 s.
    SilentChanges,
    /// The next change takes effect and its answer is lost; then all calls are refused.
    LoseThenRefuse,
    /// The next change is neither done nor answered; the calls after it are served.
    DropChange,
    /// Reads are answered half a second late.
    SlowReads,
}

type RowKey = (CompactString, PartitionName, CompactString);

#[derive(Default)]
struct RowsState {
    rows: RefCell<BTreeMap<RowKey, PartitionRow>>,
    log: RefCell<Vec<PartitionRow>>,
    history_from: Cell<RowVersion>,
    version: Cell<RowVersion>,
    held: RefCell<Vec<RowChange>>,
    changes: Cell<u64>,
    reads: Cell<u64>,
}

/// Partitioned rows in memory. Clones share the same rows and faults.
#[derive(Clone, Default)]
pub struct MemoryRows {
    state: Rc<RowsState>,
    fault: Rc<Cell<RowsFault>>,
}

impl MemoryRows {
    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: RowsFault) {
        self.fault.set(fault);
    }

    /// Returns a handle to the same rows whose calls have faults of their own, such as those of one VM.
    #[must_use]
    pub fn with_own_fault(&self) -> MemoryRows {
        MemoryRows {
            state: Rc::clone(&self.state),
            fault: Rc::default(),
        }
    }

    /// Forgets the history: feeds that go on from before are told so.
    pub fn drop_history(&self) {
        self.state.log.borrow_mut().clear();
        self.state.history_from.set(self.state.version.get());
    }

    /// Does the held changes whose conditions still hold, and gives their number.
    #[must_use]
    pub fn land(&self) -> usize {
        let held = std::mem::take(&mut *self.state.held.borrow_mut());
        let outcomes = held.iter().map(|change| self.apply(change));
        outcomes
            .filter(|outcome| matches!(outcome, ChangeOutcome::Applied(_)))
            .count()
    }

    /// Latest transaction of the store.
    #[must_use]
    pub fn version(&self) -> RowVersion {
        self.state.version.get()
    }

    /// Calls that changed rows, and calls that read them.
    #[must_use]
    pub fn calls(&self) -> (u64, u64) {
        (self.state.changes.get(), self.state.reads.get())
    }

    /// All rows of a table.
    #[must_use]
    pub fn table(&self, table: &str) -> Vec<PartitionRow> {
        let rows = self.state.rows.borrow();
        rows.values()
            .filter(|row| row.table == table)
            .cloned()
            .collect()
    }

    /// Applies a change whose outcome does not matter.
    pub fn seed(&self, change: &RowChange) {
        drop(self.apply(change));
    }

    /// Applies a change without any fault.
    #[must_use]
    pub fn apply(&self, change: &RowChange) -> ChangeOutcome {
        let state = &self.state;
        let mut rows = state.rows.borrow_mut();
        let key_of = |table: &str, key: &CompactString| {
            (
                CompactString::from(table),
                change.partition.clone(),
                key.clone(),
            )
        };
        let holds = change.expected.iter().all(|(table, key, version)| {
            let found = rows.get(&key_of(table, key));
            found.map_or(0, |row| row.version) == *version
        });
        if !holds {
            let expected = change.expected.iter();
            let found =
                expected.filter_map(|(table, key, _)| rows.get(&key_of(table, key)).cloned());
            return ChangeOutcome::Conflict(found.collect());
        }
        let version = state.version.get() + 1;
        state.version.set(version);
        let mut log = state.log.borrow_mut();
        for (table, key, value) in &change.puts {
            let row = new_row(table, &change.partition, key, value.clone(), version);
            log.push(row.clone());
            rows.insert(key_of(table, key), row);
        }
        for (table, key) in &change.removes {
            if rows.remove(&key_of(table, key)).is_some() {
                let mut row = new_row(table, &change.partition, key, Bytes::new(), version);
                row.is_removed = true;
                log.push(row);
            }
        }
        ChangeOutcome::Applied(version)
    }

    fn check_refused(&self) -> Result<(), StoreError> {
        if self.fault.get() == RowsFault::Refuse {
            return Err(StoreError::Unavailable("refused by the test".to_owned()));
        }
        Ok(())
    }

    async fn wait_if_slow(&self) {
        if self.fault.get() == RowsFault::SlowReads {
            sleep(SLOW_READ_DELAY).await;
        }
    }

    async fn read_rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        until: &str,
    ) -> Result<RowsRead, StoreError> {
        self.state.reads.set(self.state.reads.get() + 1);
        tokio::task::yield_now().await;
        self.wait_if_slow().await;
        self.check_refused()?;
        let rows = self.state.rows.borrow();
        let found = rows.values().filter(|row| {
            let is_within =
                row.key.as_str() >= from && (until.is_empty() || row.key.as_str() < until);
            row.table == table && row.partition == part && is_within
        });
        Ok(RowsRead {
            rows: found.cloned().collect(),
            version: self.state.version.get(),
            store_time: Duration::ZERO,
        })
    }

    async fn change_rows(&self, change: RowChange) -> Result<ChangeOutcome, StoreError> {
        self.state.changes.set(self.state.changes.get() + 1);
        tokio::task::yield_now().await;
        self.check_refused()?;
        let lost = || StoreError::Unknown("lost by the test".to_owned());
        match self.fault.get() {
            RowsFault::HoldChanges => {
                self.state.held.borrow_mut().push(change);
                Err(lost())
            }
            RowsFault::LoseAnswers => {
                self.seed(&change);
                Err(lost())
            }
            RowsFault::RefuseChanges => {
                Err(StoreError::Unavailable("refused by the test".to_owned()))
            }
            RowsFault::SilentChanges => {
                sleep(SILENCE).await;
                Err(lost())
            }
            RowsFault::LoseThenRefuse => {
                self.seed(&change);
                self.set_fault(RowsFault::Refuse);
                Err(lost())
            }
            RowsFault::DropChange => {
                self.set_fault(RowsFault::None);
                std::future::pending().await
            }
            RowsFault::None | RowsFault::Refuse | RowsFault::SlowReads => Ok(self.apply(&change)),
        }
    }

    async fn follow_rows(
        &self,
        table: &str,
        after: RowVersion,
        wait: Duration,
    ) -> Result<FeedRead, StoreError> {
        self.wait_if_slow().await;
        let until = Instant::now() + wait;
        loop {
            self.check_refused()?;
            if after < self.state.history_from.get() {
                return Ok(FeedRead::HistoryLost);
            }
            let rows: Vec<PartitionRow> = {
                let log = self.state.log.borrow();
                let newer = log
                    .iter()
                    .filter(|row| row.version > after && row.table == table);
                newer.cloned().collect()
            };
            if !rows.is_empty() || Instant::now() >= until {
                return Ok(FeedRead::Changes(rows, self.state.version.get()));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

fn new_row(
    table: &str,
    part: &PartitionName,
    key: &CompactString,
    value: Bytes,
    version: RowVersion,
) -> PartitionRow {
    PartitionRow {
        table: table.into(),
        partition: part.clone(),
        key: key.clone(),
        value,
        version,
        is_removed: false,
    }
}

impl PartitionStore for MemoryRows {
    fn read<'a>(
        &'a self,
        table: TableName,
        part: &'a str,
        from: &'a str,
        until: &'a str,
    ) -> PlatformFuture<'a, RowsRead> {
        self.read_rows(table, part, from, until).boxed_local()
    }

    fn change(&self, change: RowChange) -> PlatformFuture<'_, ChangeOutcome> {
        self.change_rows(change).boxed_local()
    }

    fn follow(
        &self,
        table: TableName,
        after: RowVersion,
        wait: Duration,
    ) -> PlatformFuture<'_, FeedRead> {
        self.follow_rows(table, after, wait).boxed_local()
    }
}
