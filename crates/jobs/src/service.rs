//! Tracks all jobs in the store and runs those assigned to this VM.

use crate::catalog::{FleetSnapshot, JobCatalog, KnownJob};
use crate::job_run::RunOutcome;
use crate::run::RunContext;
use crate::store::{HeadOutcome, JobStore, read_head};
use crate::stored::{HEAD_TABLE, JobHead, JobItem, JobOwner};
use futures_util::future::join_all;
use plantainmill_core::{Clock, JobId, Uptime};
use plantainmill_provider::{FeedRead, RowVersion, StoreError};
use plantainmill_proxy::relay::RelayCaller;
use plantainmill_routing::DocumentView;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

/// Time for which a long poll of the change feed waits for changes.
const FEED_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between reads of the change feed. It batches changes, and stays well below the 1 s within which VMs have to
/// agree.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a head that was read is sent to the other VMs of the domain: in two messages of each reader.
const UPDATE_RETENTION: Duration = Duration::from_millis(400);
/// Delay before a failed store operation is retried.
pub(crate) const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval between checks for jobs that this VM has to resume or reassign.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(400);
/// Time after the start before jobs of other VMs are reassigned, so that live VMs have reported by then.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);

/// A head that was read from the store, with the version of its row. Readers of a domain send these to its other VMs.
pub type HeadUpdate = (JobId, JobHead, RowVersion);

/// Retention and shutdown settings.
#[derive(Clone, Copy, Debug)]
pub struct JobSettings {
    /// Minimum time after acceptance for which results are retained.
    pub result_retention: Duration,
    /// Maximum time for releasing jobs to other VMs at a graceful shutdown.
    pub stop_timeout: Duration,
}

/// Dependencies and settings of a [`JobService`].
pub struct JobParts {
    /// This VM and its incarnation, as recorded in the heads of the jobs it runs.
    pub local_owner: JobOwner,
    /// Durable storage of jobs.
    pub store: JobStore,
    /// Client that sends the requests of items to targets.
    pub caller: RelayCaller,
    /// Current fleet document.
    pub view: DocumentView,
    /// Source of uptime and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Retention and shutdown settings.
    pub settings: JobSettings,
}

/// Handle to the job service of this VM. Clones share the same state.
#[derive(Clone)]
pub struct JobService {
    pub(crate) inner: Rc<JobInner>,
}

pub(crate) struct JobInner {
    pub parts: JobParts,
    pub jobs: RefCell<JobCatalog>,
    /// Notified when a head in the catalog changes or a job stops running here.
    pub changed: Notify,
    pub run_context: Rc<RunContext>,
    /// Stop signals of the jobs that run on this VM.
    running: RefCell<HashMap<JobId, watch::Sender<bool>>>,
    pub fleet: RefCell<FleetSnapshot>,
    /// Heads read within [`UPDATE_RETENTION`], oldest first, with the times of their reads.
    recent: RefCell<VecDeque<(Uptime, HeadUpdate)>>,
    stopping: Cell<bool>,
}

/// How far this VM has read the change feed of job heads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedPosition {
    /// Nothing was read, or the history after the last position is gone.
    Unread,
    /// All heads were read once; changes since then come from the readers of the domain.
    FromReaders,
    /// All changes up to this version were read.
    At(RowVersion),
}

impl JobService {
    /// Starts the service. Its tasks run on the current thread, which must run an actix runtime.
    #[must_use]
    pub fn start(parts: JobParts) -> JobService {
        let run_context = RunContext {
            caller: parts.caller.clone(),
            view: parts.view.clone(),
            clock: Arc::clone(&parts.clock),
        };
        let inner = Rc::new(JobInner {
            run_context: Rc::new(run_context),
            parts,
            jobs: RefCell::default(),
            changed: Notify::new(),
            running: RefCell::default(),
            fleet: RefCell::default(),
            recent: RefCell::default(),
            stopping: Cell::new(false),
        });
        actix_rt::spawn(Rc::clone(&inner).follow_feed());
        actix_rt::spawn(Rc::clone(&inner).take_over_jobs());
        actix_rt::spawn(Rc::clone(&inner).sweep());
        JobService { inner }
    }

    /// Replaces the view of the other VMs.
    pub fn set_fleet(&self, fleet: FleetSnapshot) {
        *self.inner.fleet.borrow_mut() = fleet;
    }

    /// Returns the latest head of each job that was read a short time ago, for VMs that do not read the change feed.
    /// Several calls return the same head, so that one lost message does not lose it.
    #[must_use]
    pub fn recent_updates(&self) -> Vec<HeadUpdate> {
        let now = self.inner.parts.clock.uptime();
        let mut recent = self.inner.recent.borrow_mut();
        while recent
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) > UPDATE_RETENTION)
        {
            recent.pop_front();
        }
        let mut latest: HashMap<&JobId, &HeadUpdate> = HashMap::new();
        for (_, update) in recent.iter() {
            latest.insert(&update.0, update);
        }
        let mut updates: Vec<HeadUpdate> = latest.into_values().cloned().collect();
        updates.sort_by_key(|(_, _, version)| *version);
        updates
    }

    /// Applies heads that a reader of the domain has sent. Outdated ones are ignored. The other reader need not send them
    /// as well.
    pub fn apply_updates(&self, updates: Vec<HeadUpdate>) {
        let mut recent = self.inner.recent.borrow_mut();
        if !recent.is_empty() {
            let sent: HashMap<&JobId, RowVersion> = updates
                .iter()
                .map(|(job, _, version)| (job, *version))
                .collect();
            recent.retain(|(_, (job, _, version))| sent.get(job).is_none_or(|sent| sent < version));
        }
        drop(recent);
        for (job, head, version) in updates {
            self.inner.record(&job, head, version);
        }
    }

    /// Number of jobs that run on this VM.
    #[must_use]
    pub fn running(&self) -> usize {
        self.inner.running.borrow().len()
    }

    /// Stops all jobs and releases them to other VMs, for at most [`JobSettings::stop_timeout`]. Jobs that are not
    /// released in time are taken over when other VMs find this one gone.
    pub async fn stop(&self) {
        let inner = &self.inner;
        inner.stopping.set(true);
        for stop in inner.running.borrow().values() {
            stop.send_replace(true);
        }
        let all_released = async {
            while !inner.running.borrow().is_empty() {
                inner.changed.notified().await;
            }
        };
        if timeout(inner.parts.settings.stop_timeout, all_released)
            .await
            .is_err()
        {
            let count = inner.running.borrow().len();
            tracing::warn!(
                event = "jobs_not_released",
                count,
                "their owner will be missed"
            );
        }
    }
}

impl JobInner {
    /// Records a head in the catalog and wakes waiting tasks if it is new.
    pub fn record(&self, job: &JobId, head: JobHead, version: RowVersion) {
        if self.jobs.borrow_mut().record(job, head, version) {
            self.changed.notify_waiters();
        }
    }

    /// Records a job that was stored or found in the store, and runs it if it is assigned to this VM.
    pub fn record_and_start(
        self: &Rc<Self>,
        job: &JobId,
        head: JobHead,
        version: RowVersion,
        items: Option<Vec<JobItem>>,
    ) {
        let is_local = head.owner.as_ref() == Some(&self.parts.local_owner) && head.is_open();
        self.record(job, head.clone(), version);
        if is_local {
            self.start_run(job, head, version, items);
        }
    }

    async fn follow_feed(self: Rc<Self>) {
        let mut position = FeedPosition::Unread;
        loop {
            // Every VM reads all heads once. After that, only the readers of the domain read changes and send them on.
            if position != FeedPosition::Unread && !self.is_reader() {
                position = FeedPosition::FromReaders;
                sleep(FEED_POLL_INTERVAL).await;
                continue;
            }
            let read = match position {
                FeedPosition::Unread | FeedPosition::FromReaders => self.read_all().await,
                FeedPosition::At(version) => self.read_feed(version).await,
            };
            match read {
                Ok(next) => {
                    position = next;
                    sleep(FEED_POLL_INTERVAL).await;
                }
                Err(error) => {
                    tracing::info!(event = "jobs_not_followed", %error);
                    sleep(STORE_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn read_all(&self) -> Result<FeedPosition, StoreError> {
        let (heads, version) = self.parts.store.all_heads().await?;
        for (job, head, row_version) in heads {
            self.record_read(&job, head, row_version);
        }
        Ok(FeedPosition::At(version))
    }

    /// Records a head read from the store, and keeps it for the other VMs of the domain if this VM is a reader.
    fn record_read(&self, job: &JobId, head: JobHead, version: RowVersion) {
        if self.is_reader() {
            let update = (job.clone(), head.clone(), version);
            self.recent
                .borrow_mut()
                .push_back((self.parts.clock.uptime(), update));
        }
        self.record(job, head, version);
    }

    fn is_reader(&self) -> bool {
        let fleet = self.fleet.borrow();
        fleet.readers.is_empty() || fleet.is_reader(&self.parts.local_owner)
    }

    /// Reads the change feed once and returns the new position.
    async fn read_feed(&self, after: RowVersion) -> Result<FeedPosition, StoreError> {
        let rows = self.parts.store.rows();
        match rows.follow(HEAD_TABLE, after, FEED_POLL_TIMEOUT).await? {
            FeedRead::HistoryLost => {
                tracing::info!(event = "job_history_lost", after);
                Ok(FeedPosition::Unread)
            }
            FeedRead::Changes(rows, version) => {
                for row in rows {
                    if row.is_removed {
                        self.jobs.borrow_mut().remove(&row.key, row.version);
                    } else if let Some((head, row_version)) = read_head(&row) {
                        self.record_read(&row.key, head, row_version);
                    }
                }
                Ok(FeedPosition::At(version))
            }
        }
    }

    /// Periodically resumes jobs assigned to this VM and reassigns jobs whose owner is gone.
    async fn take_over_jobs(self: Rc<Self>) {
        let started = self.parts.clock.uptime();
        loop {
            sleep(TAKEOVER_INTERVAL).await;
            if self.stopping.get() {
                return;
            }
            let may_take_over = self.parts.clock.uptime().saturating_sub(started) >= TAKEOVER_DELAY;
            let local_owner = &self.parts.local_owner;
            let (resumable, orphans) = {
                let catalog = self.jobs.borrow();
                let running = self.running.borrow();
                let resumable = catalog.resumable(local_owner, |job| running.contains_key(job));
                let resumable: Vec<HeadUpdate> = resumable
                    .map(|(job, known)| (job.clone(), known.head.clone(), known.version))
                    .collect();
                let orphans = if may_take_over {
                    catalog.orphans(local_owner, &self.fleet.borrow())
                } else {
                    Vec::new()
                };
                (resumable, orphans)
            };
            for (job, head, version) in resumable {
                self.start_run(&job, head, version, None);
            }
            let reassignments = orphans.into_iter().map(|(job, known, new_owner)| {
                let inner = Rc::clone(&self);
                async move { inner.reassign(&job, known, new_owner).await }
            });
            join_all(reassignments).await;
        }
    }

    /// Assigns an orphaned job to `new_owner`, which may be this VM.
    async fn reassign(self: &Rc<Self>, job: &JobId, known: KnownJob, new_owner: JobOwner) {
        let from = known.head.owner.as_ref().map(|owner| owner.vm.clone());
        let to = new_owner.vm.clone();
        let mut reassigned = known.head;
        reassigned.owner = Some(new_owner);
        let store = &self.parts.store;
        let listed = reassigned.listed;
        match store
            .write_head(job, known.version, &reassigned, listed, &[])
            .await
        {
            Ok(HeadOutcome::Applied(version)) => {
                tracing::info!(event = "job_reassigned", %job, from = from.as_deref(), %to, listed, version);
                self.record_and_start(job, reassigned, version, None);
            }
            Ok(HeadOutcome::Conflict(Some((head, version)))) => self.record(job, head, version),
            Ok(HeadOutcome::Conflict(None)) => self.jobs.borrow_mut().remove(job, RowVersion::MAX),
            Err(error) => tracing::info!(event = "job_not_reassigned", %job, %error),
        }
    }

    fn start_run(
        self: &Rc<Self>,
        job: &JobId,
        head: JobHead,
        version: RowVersion,
        items: Option<Vec<JobItem>>,
    ) {
        let mut running = self.running.borrow_mut();
        if self.stopping.get() || running.contains_key(job) {
            return;
        }
        let (stop, stopped) = watch::channel(false);
        running.insert(job.clone(), stop);
        let inner = Rc::clone(self);
        let job = job.clone();
        actix_rt::spawn(async move {
            let end = inner.run_job(&job, head, version, items, stopped).await;
            match end {
                RunOutcome::Completed => tracing::info!(event = "job_done", %job),
                RunOutcome::Lost => tracing::info!(event = "job_lost", %job),
                RunOutcome::Released(head, version) => inner.release(&job, head, version).await,
            }
            inner.running.borrow_mut().remove(&job);
            inner.changed.notify_waiters();
        });
    }

    /// Clears the owner of a job so that other VMs take it over at once. If the write fails, they do so when this VM is
    /// found gone.
    async fn release(&self, job: &JobId, mut head: JobHead, version: RowVersion) {
        head.owner = None;
        let listed = head.listed;
        let written = self
            .parts
            .store
            .write_head(job, version, &head, listed, &[])
            .await;
        match written {
            Ok(HeadOutcome::Applied(version)) => {
                tracing::info!(event = "job_released", %job, listed, version);
            }
            Ok(HeadOutcome::Conflict(_)) => tracing::info!(event = "job_lost", %job),
            Err(error) => tracing::info!(event = "job_not_released", %job, %error),
        }
    }
}
