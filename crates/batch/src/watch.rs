//! State that the actor and the chunk tasks of one VM share.

use crate::holders::HolderWatch;
use crate::order::ServedShares;
use crate::rows::{ChunkRow, HolderId, HolderRow, JobRow, chunk_key, holder_key, job_key};
use crate::store::{JobStore, to_value};
use compact_str::CompactString;
use plantainmill_core::{JobId, ServiceName, Uptime};
use plantainmill_membership::{MemberState, MemberView};
use plantainmill_provider::{Expected, TableWrite};
use plantainmill_proxy::TargetCaller;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, watch};
use xxhash_rust::xxh3::xxh3_64;

/// Items in flight per VM and service. Dispatch decides how many of them reach targets. A service whose calls wait
/// must not take the places of another.
pub(crate) const ITEMS_IN_FLIGHT: usize = 64;
/// Chunks run at once per VM; enough to keep the items in flight busy while some chunks end.
pub(crate) const CHUNKS_RUNNING: usize = 8;
/// Chunks held at once per VM. More are claimed when half of them are done, so that one write claims several.
pub(crate) const CHUNKS_HELD: usize = 16;
/// Results kept in memory until they are committed, in bytes, over all chunks of a VM.
pub(crate) const UNSAVED_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// First time that a VM leaves a job alone whose items found no target.
const STALL_SKIP_FIRST: Duration = Duration::from_mins(4);
/// Longest such time.
const STALL_SKIP_LIMIT: Duration = Duration::from_mins(16);
/// Stalled jobs that a VM remembers.
const STALLS_KEPT: usize = 10_000;

/// What chunk tasks have to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChunkSignal {
    /// Go on.
    Run,
    /// Start nothing more, commit what is done and release.
    Release,
    /// Drop everything: the job was cancelled.
    Cancel,
}

/// A job as its chunk tasks need it.
#[derive(Debug)]
pub(crate) struct JobContext {
    pub(crate) job: JobId,
    pub(crate) row: JobRow,
}

/// Entry of a chunk with a task; dropping it removes the entry, however the task ends.
pub(crate) struct ActiveChunk {
    state: Rc<VmState>,
    pub(crate) key: (JobId, u32),
}

impl ActiveChunk {
    pub(crate) fn new(state: Rc<VmState>, key: (JobId, u32)) -> ActiveChunk {
        state.active.borrow_mut().insert(key.clone());
        ActiveChunk { state, key }
    }
}

impl Drop for ActiveChunk {
    fn drop(&mut self) {
        self.state.active.borrow_mut().remove(&self.key);
    }
}

/// Shared state of one VM.
pub(crate) struct VmState {
    pub(crate) store: JobStore,
    pub(crate) holder: HolderId,
    pub(crate) members: MemberView,
    pub(crate) caller: Rc<dyn TargetCaller>,
    pub(crate) slots: RefCell<BTreeMap<ServiceName, Arc<Semaphore>>>,
    /// Chunks whose input is in memory.
    pub(crate) turns: Semaphore,
    /// Bytes of results that are not committed.
    pub(crate) unsaved: Cell<usize>,
    pub(crate) beat: Cell<u64>,
    pub(crate) wrote_at: Cell<Uptime>,
    /// Chunks with a task.
    pub(crate) active: RefCell<BTreeSet<(JobId, u32)>>,
    pub(crate) signals: RefCell<BTreeMap<JobId, watch::Sender<ChunkSignal>>>,
    pub(crate) holders: RefCell<HolderWatch>,
    pub(crate) holders_read_at: Cell<Option<Uptime>>,
    pub(crate) shares: RefCell<ServedShares>,
    /// Last key of the page of open jobs that was read last, if that was full.
    pub(crate) open_cursor: Cell<Option<CompactString>>,
    /// Open jobs without slack, as last read; for the dump.
    pub(crate) late: RefCell<Vec<JobId>>,
    /// Last time that a job was left alone because its items found no target.
    pub(crate) stalls: RefCell<BTreeMap<JobId, Duration>>,
    /// Jobs with nothing to claim, until this time.
    pub(crate) skipped: RefCell<BTreeMap<JobId, Uptime>>,
    /// Items per second of this VM, from the last chunks.
    pub(crate) pace: Cell<u64>,
    /// A claim round is under way.
    pub(crate) claiming: Cell<bool>,
    pub(crate) stopping: Cell<bool>,
    /// Spreads waits; seeded by VM and incarnation, so that VMs differ and tests repeat.
    pub(crate) random: RefCell<SmallRng>,
}

impl VmState {
    pub(crate) fn new(
        store: JobStore,
        holder: HolderId,
        members: MemberView,
        caller: Rc<dyn TargetCaller>,
    ) -> VmState {
        let seed = xxh3_64(holder.vm.as_bytes()) ^ holder.incarnation;
        VmState {
            store,
            holder,
            members,
            caller,
            slots: RefCell::default(),
            turns: Semaphore::new(CHUNKS_RUNNING),
            unsaved: Cell::default(),
            beat: Cell::default(),
            wrote_at: Cell::default(),
            active: RefCell::default(),
            signals: RefCell::default(),
            holders: RefCell::default(),
            holders_read_at: Cell::default(),
            shares: RefCell::default(),
            open_cursor: Cell::default(),
            late: RefCell::default(),
            stalls: RefCell::default(),
            skipped: RefCell::default(),
            pace: Cell::new(1),
            claiming: Cell::new(false),
            stopping: Cell::new(false),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// A random number of the range.
    pub(crate) fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.random.borrow_mut().random_range(range)
    }

    pub(crate) fn now(&self) -> Uptime {
        self.store.clock.uptime()
    }

    /// VMs that may claim, this one included.
    pub(crate) fn live_vms(&self) -> usize {
        let members = self.members.load();
        let live = members
            .iter()
            .filter(|member| member.state == MemberState::Live);
        live.count() + 1
    }

    /// The places for items of a service.
    pub(crate) fn slots_of(&self, service: &ServiceName) -> Arc<Semaphore> {
        let mut slots = self.slots.borrow_mut();
        let slots = slots
            .entry(service.clone())
            .or_insert_with(|| Arc::new(Semaphore::new(ITEMS_IN_FLIGHT)));
        Arc::clone(slots)
    }

    /// Leaves a job alone whose items found no target, each time twice as long.
    pub(crate) fn skip_stalled(&self, job: &JobId) {
        let mut stalls = self.stalls.borrow_mut();
        if stalls.len() >= STALLS_KEPT {
            stalls.clear();
        }
        let last = stalls.get(job).copied();
        let skip = last.map_or(STALL_SKIP_FIRST, |last| (last * 2).min(STALL_SKIP_LIMIT));
        stalls.insert(job.clone(), skip);
        self.skipped
            .borrow_mut()
            .insert(job.clone(), self.now() + skip);
    }

    /// Whether it is time to claim more chunks.
    pub(crate) fn wants_chunks(&self) -> bool {
        self.active.borrow().len() <= CHUNKS_HELD / 2
    }

    /// Whether a task of this VM runs a chunk of the job.
    pub(crate) fn holds_job(&self, job: &JobId) -> bool {
        let active = self.active.borrow();
        active.iter().any(|(held, _)| held == job)
    }

    /// The receiver for the tasks of a job.
    pub(crate) fn subscribe(&self, job: &JobId) -> watch::Receiver<ChunkSignal> {
        let mut signals = self.signals.borrow_mut();
        let sender = signals
            .entry(job.clone())
            .or_insert_with(|| watch::channel(ChunkSignal::Run).0);
        sender.subscribe()
    }

    /// Tells the tasks of a job to stop.
    pub(crate) fn cancel(&self, job: &str) {
        if let Some(sender) = self.signals.borrow().get(job) {
            sender.send_replace(ChunkSignal::Cancel);
        }
    }

    /// Tells all tasks to release their chunks; cancelled ones stay cancelled.
    pub(crate) fn release_all(&self) {
        for sender in self.signals.borrow().values() {
            sender.send_if_modified(|signal| {
                let running = *signal == ChunkSignal::Run;
                if running {
                    *signal = ChunkSignal::Release;
                }
                running
            });
        }
    }

    /// Forgets signals without a listener and places without an item.
    pub(crate) fn drop_unused(&self) {
        let mut signals = self.signals.borrow_mut();
        signals.retain(|_, sender| sender.receiver_count() > 0);
        let mut slots = self.slots.borrow_mut();
        slots.retain(|_, places| Arc::strong_count(places) > 1);
    }

    /// Adds the conditional put of a chunk row to a write.
    pub(crate) fn chunk_write(
        write: TableWrite,
        job: &str,
        chunk: u32,
        revision: Option<u64>,
        row: &ChunkRow,
    ) -> TableWrite {
        let key: CompactString = chunk_key(job, chunk);
        let expected = revision.map_or(Expected::Absent, Expected::Revision);
        write.expect(key.clone(), expected).put(key, to_value(row))
    }

    /// A write that holds only while the job row has this revision. It also renews this VM's holder row, so that a
    /// busy VM needs no writes of its own for that.
    pub(crate) fn job_write(&self, job: &str, revision: u64) -> TableWrite {
        let write = TableWrite::new().expect(job_key(job), Expected::Revision(revision));
        self.add_beat(write)
    }

    /// Adds the renewal of the holder row.
    pub(crate) fn add_beat(&self, write: TableWrite) -> TableWrite {
        self.beat.set(self.beat.get() + 1);
        self.wrote_at.set(self.now());
        let row = HolderRow {
            incarnation: self.holder.incarnation,
            beat: self.beat.get(),
            written_at: self.store.now_unix(),
        };
        write.put(holder_key(&self.holder.vm), to_value(&row))
    }
}
