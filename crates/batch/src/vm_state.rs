//! State shared by the actor and the chunk tasks of one VM.

use crate::holders::HolderMonitor;
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

/// Items in flight per VM and service. Dispatch decides how many of them reach targets. The limit is per service, so
/// that a service whose calls wait does not use up the permits of another.
pub(crate) const MAX_ITEMS_IN_FLIGHT: usize = 64;
/// Chunks running at once per VM; enough to keep [`MAX_ITEMS_IN_FLIGHT`] items in flight while some chunks end.
pub(crate) const MAX_RUNNING_CHUNKS: usize = 8;
/// Chunks held at once per VM. More are claimed when at most half as many are left, so that one write claims several.
pub(crate) const MAX_HELD_CHUNKS: usize = 16;
/// Limit of uncommitted results in memory, over all chunks of a VM; no item starts while it is reached.
pub(crate) const UNCOMMITTED_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// How long a VM skips a job after its items found no target, the first time; doubles with each further time.
const STALL_BACKOFF_INITIAL: Duration = Duration::from_mins(4);
/// Longest time that a VM skips such a job.
const STALL_BACKOFF_MAX: Duration = Duration::from_mins(16);
/// Jobs whose backoff a VM keeps; above this, all are dropped.
const MAX_STALL_BACKOFFS: usize = 10_000;

/// Instruction to the chunk tasks of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChunkSignal {
    /// Run items.
    Run,
    /// Start no more items, commit the results and release the chunk.
    Release,
    /// End without a commit, since the job was cancelled.
    Cancel,
}

/// The job that a chunk task belongs to.
#[derive(Debug)]
pub(crate) struct JobContext {
    pub(crate) job: JobId,
    pub(crate) row: JobRow,
}

/// Registers a chunk as having a task; dropping the guard removes it, however the task ends.
pub(crate) struct ActiveChunkGuard {
    state: Rc<VmState>,
    pub(crate) key: (JobId, u32),
}

impl ActiveChunkGuard {
    pub(crate) fn new(state: Rc<VmState>, key: (JobId, u32)) -> ActiveChunkGuard {
        state.active_chunks.borrow_mut().insert(key.clone());
        ActiveChunkGuard { state, key }
    }
}

impl Drop for ActiveChunkGuard {
    fn drop(&mut self) {
        self.state.active_chunks.borrow_mut().remove(&self.key);
    }
}

/// Shared state of one VM.
pub(crate) struct VmState {
    pub(crate) store: JobStore,
    pub(crate) holder: HolderId,
    pub(crate) members: MemberView,
    pub(crate) caller: Rc<dyn TargetCaller>,
    pub(crate) item_permits: RefCell<BTreeMap<ServiceName, Arc<Semaphore>>>,
    /// Permits to read the input of a chunk and run it.
    pub(crate) run_permits: Semaphore,
    /// Bytes of results that are not committed, over all chunks.
    pub(crate) uncommitted_bytes: Cell<usize>,
    pub(crate) heartbeats: Cell<u64>,
    pub(crate) last_heartbeat_at: Cell<Uptime>,
    /// Chunks that have a task.
    pub(crate) active_chunks: RefCell<BTreeSet<(JobId, u32)>>,
    pub(crate) signals: RefCell<BTreeMap<JobId, watch::Sender<ChunkSignal>>>,
    pub(crate) holder_monitor: RefCell<HolderMonitor>,
    pub(crate) holders_read_at: Cell<Option<Uptime>>,
    pub(crate) shares: RefCell<ServedShares>,
    /// Last key of the page of open jobs that was read last, if that page was full.
    pub(crate) open_cursor: Cell<Option<CompactString>>,
    /// Open jobs with negative slack in the last page read, for the diagnostic dump. The batch object of a job reports
    /// lateness by [`is_late`](crate::order::is_late) instead.
    pub(crate) late_jobs: RefCell<Vec<JobId>>,
    /// Last backoff of jobs whose items found no target.
    pub(crate) stall_backoffs: RefCell<BTreeMap<JobId, Duration>>,
    /// Jobs that claim rounds skip until this time.
    pub(crate) skipped_until: RefCell<BTreeMap<JobId, Uptime>>,
    /// Estimated throughput of this VM, from the last completed chunk.
    pub(crate) items_per_s: Cell<u64>,
    /// Whether a claim round is in progress.
    pub(crate) claiming: Cell<bool>,
    pub(crate) stopping: Cell<bool>,
    /// Source of jitter, seeded by VM and incarnation, so that VMs differ and tests are reproducible.
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
            item_permits: RefCell::default(),
            run_permits: Semaphore::new(MAX_RUNNING_CHUNKS),
            uncommitted_bytes: Cell::default(),
            heartbeats: Cell::default(),
            last_heartbeat_at: Cell::default(),
            active_chunks: RefCell::default(),
            signals: RefCell::default(),
            holder_monitor: RefCell::default(),
            holders_read_at: Cell::default(),
            shares: RefCell::default(),
            open_cursor: Cell::default(),
            late_jobs: RefCell::default(),
            stall_backoffs: RefCell::default(),
            skipped_until: RefCell::default(),
            items_per_s: Cell::new(1),
            claiming: Cell::new(false),
            stopping: Cell::new(false),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// A random number in the range.
    pub(crate) fn random_in(&self, range: std::ops::Range<u64>) -> u64 {
        self.random.borrow_mut().random_range(range)
    }

    pub(crate) fn now(&self) -> Uptime {
        self.store.clock.uptime()
    }

    /// Number of VMs that may claim, including this one.
    pub(crate) fn live_vms(&self) -> usize {
        let members = self.members.load();
        let live = members
            .iter()
            .filter(|member| member.state == MemberState::Live);
        live.count() + 1
    }

    /// Semaphore that limits the items of a service in flight.
    pub(crate) fn item_permits_of(&self, service: &ServiceName) -> Arc<Semaphore> {
        let mut item_permits = self.item_permits.borrow_mut();
        let item_permits = item_permits
            .entry(service.clone())
            .or_insert_with(|| Arc::new(Semaphore::new(MAX_ITEMS_IN_FLIGHT)));
        Arc::clone(item_permits)
    }

    /// Skips a job whose items found no target, with exponential backoff.
    pub(crate) fn back_off_stalled(&self, job: &JobId) {
        let mut stall_backoffs = self.stall_backoffs.borrow_mut();
        if stall_backoffs.len() >= MAX_STALL_BACKOFFS {
            stall_backoffs.clear();
        }
        let last = stall_backoffs.get(job).copied();
        let backoff = last.map_or(STALL_BACKOFF_INITIAL, |last| {
            (last * 2).min(STALL_BACKOFF_MAX)
        });
        stall_backoffs.insert(job.clone(), backoff);
        self.skipped_until
            .borrow_mut()
            .insert(job.clone(), self.now() + backoff);
    }

    /// Whether few enough chunks are held to claim more.
    pub(crate) fn should_claim(&self) -> bool {
        self.active_chunks.borrow().len() <= MAX_HELD_CHUNKS / 2
    }

    /// Whether a task of this VM has a chunk of the job.
    pub(crate) fn holds_job(&self, job: &JobId) -> bool {
        let active_chunks = self.active_chunks.borrow();
        active_chunks.iter().any(|(held, _)| held == job)
    }

    /// A receiver of the signal to the tasks of a job.
    pub(crate) fn subscribe(&self, job: &JobId) -> watch::Receiver<ChunkSignal> {
        let mut signals = self.signals.borrow_mut();
        let sender = signals
            .entry(job.clone())
            .or_insert_with(|| watch::channel(ChunkSignal::Run).0);
        sender.subscribe()
    }

    /// Signals the tasks of a job that it was cancelled.
    pub(crate) fn cancel(&self, job: &str) {
        if let Some(sender) = self.signals.borrow().get(job) {
            sender.send_replace(ChunkSignal::Cancel);
        }
    }

    /// Signals all tasks to release their chunks, except those of cancelled jobs.
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

    /// Removes signals without receivers and semaphores that no item uses.
    pub(crate) fn prune_unused(&self) {
        let mut signals = self.signals.borrow_mut();
        signals.retain(|_, sender| sender.receiver_count() > 0);
        let mut item_permits = self.item_permits.borrow_mut();
        item_permits.retain(|_, permits| Arc::strong_count(permits) > 1);
    }

    /// Adds the conditional put of a chunk row to a write.
    pub(crate) fn add_chunk_row(
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

    /// A write that is conditional on the revision of the job row. It also updates this VM's holder row, so that a busy
    /// VM needs no separate heartbeat writes.
    pub(crate) fn conditional_job_write(&self, job: &str, revision: u64) -> TableWrite {
        let write = TableWrite::new().expect(job_key(job), Expected::Revision(revision));
        self.add_heartbeat(write)
    }

    /// Adds an update of this VM's holder row to a write.
    pub(crate) fn add_heartbeat(&self, write: TableWrite) -> TableWrite {
        self.heartbeats.set(self.heartbeats.get() + 1);
        self.last_heartbeat_at.set(self.now());
        let row = HolderRow {
            incarnation: self.holder.incarnation,
            beat: self.heartbeats.get(),
            written_at: self.store.now_unix(),
        };
        write.put(holder_key(&self.holder.vm), to_value(&row))
    }
}
