//! The platform in memory: table service, object store, VM list and weight store.

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::FutureExt as _;
use plantainmill_provider::{
    CommitOutcome, Expected, ObjectStore, PlatformFuture, RowEntry, StoreError, TableStore,
    TableWrite, VmEntry, VmList, WeightGrant, WeightStore,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What happens to calls of the table and the object store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformFault {
    /// Calls work.
    #[default]
    None,
    /// Calls fail without effect.
    Down,
    /// Writes take effect and their answer is lost; reads fail.
    AnswerLost,
}

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCounts {
    /// Reads of the table, ranges included.
    pub table_reads: u64,
    /// Commits to the table, conflicts included.
    pub table_writes: u64,
    /// Reads of objects, lists included.
    pub object_reads: u64,
    /// Puts and deletes of objects.
    pub object_writes: u64,
}

/// Everything the platform keeps.
#[derive(Clone, Debug, Default)]
struct PlatformState {
    rows: BTreeMap<CompactString, RowEntry>,
    objects: BTreeMap<CompactString, Bytes>,
    vms: Vec<VmEntry>,
    revision: u64,
    counts: StoreCounts,
    fault: PlatformFault,
    /// Faults for the next calls, one each, before `fault` applies again.
    scripted: VecDeque<PlatformFault>,
    /// Loads that the weight store still grants; none refuses, absent is without limit.
    weight_grants: Option<u32>,
}

/// The platform in memory. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<PlatformState>>,
}

impl MemoryPlatform {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `fault` to all calls from now on.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.lock().fault = fault;
    }

    /// Applies one fault to each of the next calls, in order; later calls follow [`MemoryPlatform::set_fault`].
    pub fn script_faults(&self, faults: impl IntoIterator<Item = PlatformFault>) {
        self.lock().scripted.extend(faults);
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.lock().vms = vms;
    }

    /// Sets how many loads the weight store grants from now on; `None` grants all.
    pub fn set_weight_grants(&self, grants: Option<u32>) {
        self.lock().weight_grants = grants;
    }

    /// Calls counted so far.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.lock().counts
    }

    /// An independent copy of rows and objects, for [`MemoryPlatform::restore`].
    #[must_use]
    pub fn backup(&self) -> MemoryPlatform {
        let state = self.lock().clone();
        MemoryPlatform {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Puts rows and objects back to those of `backup`, as a store restored from an old copy would.
    pub fn restore(&self, backup: &MemoryPlatform) {
        let saved = backup.lock().clone();
        let mut state = self.lock();
        state.rows = saved.rows;
        state.objects = saved.objects;
    }
}

impl PlatformState {
    fn next_fault(&mut self) -> PlatformFault {
        self.scripted.pop_front().unwrap_or(self.fault)
    }

    /// Fails a read under any fault.
    fn check_read(&mut self) -> Result<(), StoreError> {
        match self.next_fault() {
            PlatformFault::None => Ok(()),
            PlatformFault::Down => Err(StoreError::Unavailable("injected outage".to_owned())),
            PlatformFault::AnswerLost => Err(StoreError::Unknown("injected loss".to_owned())),
        }
    }

    /// Runs `write` unless the store is down, and loses its answer if so injected.
    fn run_write<T>(
        &mut self,
        write: impl FnOnce(&mut PlatformState) -> T,
    ) -> Result<T, StoreError> {
        let fault = self.next_fault();
        if fault == PlatformFault::Down {
            return Err(StoreError::Unavailable("injected outage".to_owned()));
        }
        let outcome = write(self);
        if fault == PlatformFault::AnswerLost {
            return Err(StoreError::Unknown("injected loss".to_owned()));
        }
        Ok(outcome)
    }

    fn holds(&self, key: &CompactString, expected: Expected) -> bool {
        let found = self.rows.get(key).map(|row| row.revision);
        match expected {
            Expected::Absent => found.is_none(),
            Expected::Revision(revision) => found == Some(revision),
        }
    }

    fn commit(&mut self, write: TableWrite) -> CommitOutcome {
        let failed = write
            .conditions
            .iter()
            .find(|(key, expected)| !self.holds(key, *expected));
        if let Some((key, _)) = failed {
            return CommitOutcome::Conflict { key: key.clone() };
        }
        self.revision += 1;
        let revision = self.revision;
        for (key, value) in write.puts {
            let row = RowEntry {
                key: key.clone(),
                revision,
                value,
            };
            self.rows.insert(key, row);
        }
        for key in &write.deletes {
            self.rows.remove(key);
        }
        CommitOutcome::Committed { revision }
    }
}

impl TableStore for MemoryPlatform {
    fn get(&self, key: &str) -> PlatformFuture<'_, Option<RowEntry>> {
        let key = CompactString::from(key);
        async move {
            let mut state = self.lock();
            state.counts.table_reads += 1;
            state.check_read()?;
            Ok(state.rows.get(&key).cloned())
        }
        .boxed_local()
    }

    fn range(&self, start: &str, end: &str, limit: u32) -> PlatformFuture<'_, Vec<RowEntry>> {
        let start = CompactString::from(start);
        let end = CompactString::from(end);
        async move {
            let mut state = self.lock();
            state.counts.table_reads += 1;
            state.check_read()?;
            if start >= end {
                return Ok(Vec::new());
            }
            let limit = usize::try_from(limit).unwrap_or(usize::MAX);
            let rows = state.rows.range(start..end).take(limit);
            Ok(rows.map(|(_, row)| row.clone()).collect())
        }
        .boxed_local()
    }

    fn commit(&self, write: TableWrite) -> PlatformFuture<'_, CommitOutcome> {
        async move {
            let mut state = self.lock();
            state.counts.table_writes += 1;
            state.run_write(|state| state.commit(write))
        }
        .boxed_local()
    }
}

impl ObjectStore for MemoryPlatform {
    fn put(&self, name: &str, content: Bytes) -> PlatformFuture<'_, ()> {
        let name = CompactString::from(name);
        async move {
            let mut state = self.lock();
            state.counts.object_writes += 1;
            state.run_write(|state| {
                state.objects.insert(name, content);
            })
        }
        .boxed_local()
    }

    fn get(&self, name: &str) -> PlatformFuture<'_, Option<Bytes>> {
        let name = CompactString::from(name);
        async move {
            let mut state = self.lock();
            state.counts.object_reads += 1;
            state.check_read()?;
            Ok(state.objects.get(&name).cloned())
        }
        .boxed_local()
    }

    fn list(&self, prefix: &str) -> PlatformFuture<'_, Vec<CompactString>> {
        let prefix = CompactString::from(prefix);
        async move {
            let mut state = self.lock();
            state.counts.object_reads += 1;
            state.check_read()?;
            let names = state.objects.keys();
            let matching = names.filter(|name| name.starts_with(prefix.as_str()));
            Ok(matching.cloned().collect())
        }
        .boxed_local()
    }

    fn delete(&self, name: &str) -> PlatformFuture<'_, ()> {
        let name = CompactString::from(name);
        async move {
            let mut state = self.lock();
            state.counts.object_writes += 1;
            state.run_write(|state| {
                state.objects.remove(&name);
            })
        }
        .boxed_local()
    }
}

impl VmList for MemoryPlatform {
    fn list(&self) -> PlatformFuture<'_, Vec<VmEntry>> {
        async move {
            let mut state = self.lock();
            state.check_read()?;
            Ok(state.vms.clone())
        }
        .boxed_local()
    }
}

impl WeightStore for MemoryPlatform {
    fn request(&self, _model: &str) -> PlatformFuture<'_, WeightGrant> {
        async move {
            let mut state = self.lock();
            state.check_read()?;
            match &mut state.weight_grants {
                None => Ok(WeightGrant::Granted),
                Some(0) => Ok(WeightGrant::Wait(Duration::from_secs(1))),
                Some(left) => {
                    *left -= 1;
                    Ok(WeightGrant::Granted)
                }
            }
        }
        .boxed_local()
    }
}
