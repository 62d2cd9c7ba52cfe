//! State that the actor and the chunk tasks of one VM share.

use crate::holders::HolderWatch;
use crate::order::ServedShares;
use crate::rows::{ChunkRow, HolderId, HolderRow, JobRow, chunk_key, holder_key, job_key};
use crate::store::{JobStore, to_value};
use compact_str::CompactString;
use plantainmill_core::{JobId, Uptime};
use plantainmill_membership::{MemberState, MemberView};
use plantainmill_platform::{Expected, TableWrite};
use plantainmill_proxy::TargetCaller;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Semaphore, watch};

/// Items in flight per VM. Dispatch decides how many of them reach targets.
pub(crate) const ITEMS_IN_FLIGHT: usize = 64;
/// Chunks run at once per VM; enough to keep the items in flight busy while some chunks end.
pub(crate) const CHUNKS_RUNNING: usize = 8;
/// Chunks held at once per VM. More are claimed when half of them are done, so that one write claims several.
pub(crate) const CHUNKS_HELD: usize = 16;
/// Results kept in memory until they are committed, in bytes, over all chunks of a VM.
pub(crate) const UNSAVED_LIMIT_BYTES: usize = 32 * 1024 * 1024;

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
    pub(crate) slots: Arc<Semaphore>,
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
    /// Jobs with nothing to claim, until this time.
    pub(crate) skipped: RefCell<BTreeMap<JobId, Uptime>>,
    /// Items per second of this VM, from the last chunks.
    pub(crate) pace: Cell<u64>,
    /// A claim round is under way.
    pub(crate) claiming: Cell<bool>,
    pub(crate) stopping: Cell<bool>,
}

impl VmState {
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

    /// Forgets signals without a listener.
    pub(crate) fn drop_signals(&self) {
        let mut signals = self.signals.borrow_mut();
        signals.retain(|_, sender| sender.receiver_count() > 0);
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
