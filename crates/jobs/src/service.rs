//! Tracks all jobs in the store and runs those assigned to this VM.

use crate::catalog::{FleetSnapshot, JobCatalog};
use crate::heads::{HeadChanges, HeadProgress, HeadView};
use crate::job_run::RunOutcome;
use crate::metrics::JobMetrics;
use crate::owed::{OwedItem, OwedLedger};
use crate::run::RunContext;
use crate::store::{HeadOutcome, JobStore, read_head};
use crate::stored::{HEAD_TABLE, JobHead, JobItem, JobOwner};
use crate::takeover::TakeoverPlan;
use plantainmill_core::{Clock, JobId, RegionSet, Uptime};
use plantainmill_provider::{FeedRead, RowVersion, StoreError};
use plantainmill_proxy::relay::RelayCaller;
use plantainmill_routing::DocumentView;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

/// Time for which a long poll of the change feed waits for changes. What is known is as old as the start of the poll.
const FEED_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between reads of the change feed. It batches changes, and stays well below the 1 s within which VMs have to
/// agree.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a head that was read is sent to the other VMs of the domain: in two messages of each reader.
const UPDATE_RETENTION: Duration = Duration::from_millis(400);
/// Delay before a VM that is no reader repeats a failed read of the heads. All VMs may need them at the same time.
const DIRECT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay before a failed store operation is retried.
pub(crate) const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);
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
    /// Counters.
    pub metrics: JobMetrics,
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
    /// Jobs that this VM has accepted and runs. It may keep them whatever their regions.
    pub accepted: RefCell<HashSet<JobId>>,
    pub fleet: RefCell<FleetSnapshot>,
    /// Since when no other VM is heard, after some have been.
    pub isolated_since: Cell<Option<Uptime>>,
    pub takeovers: RefCell<TakeoverPlan>,
    /// Notified when the number of takeovers falls below its limit.
    pub takeover_ended: Notify,
    /// Reads of changes within [`UPDATE_RETENTION`], oldest first.
    recent: RefCell<VecDeque<RecentRead>>,
    pub heads: Rc<HeadView>,
    pub owed: Rc<OwedLedger>,
    /// Version up to which other readers have sent the changes.
    sent_elsewhere: Cell<RowVersion>,
    /// What this VM has sent: the version up to which it is complete, and when nothing newer was stored.
    announced: Cell<Option<(RowVersion, Uptime)>>,
    /// Whether the last read of the heads was made by a VM that is no reader.
    reads_directly: Cell<bool>,
    pub stopping: Cell<bool>,
}

/// Changes found by one read of the feed.
struct RecentRead {
    at: Uptime,
    after: RowVersion,
    heads: Vec<HeadUpdate>,
}

/// Entry of a job in [`JobInner::running`], which ends with the run, also if that panics.
struct RunEntry {
    inner: Rc<JobInner>,
    job: JobId,
}

impl Drop for RunEntry {
    fn drop(&mut self) {
        if std::thread::panicking() {
            tracing::error!(event = "job_run_failed", job = %self.job, "its run has panicked");
            self.inner.postpone_resumption(&self.job);
        }
        self.inner.running.borrow_mut().remove(&self.job);
        self.inner.accepted.borrow_mut().remove(&self.job);
        self.inner.changed.notify_waiters();
    }
}

impl JobService {
    /// Starts the service. Its tasks run on the current thread, which must run an actix runtime.
    #[must_use]
    pub fn start(parts: JobParts) -> JobService {
        let heads = Rc::new(HeadView::new(Arc::clone(&parts.clock)));
        let run_context = RunContext {
            caller: parts.caller.clone(),
            view: parts.view.clone(),
            clock: Arc::clone(&parts.clock),
            heads: Rc::clone(&heads),
            metrics: parts.metrics.clone(),
        };
        let inner = Rc::new(JobInner {
            run_context: Rc::new(run_context),
            parts,
            jobs: RefCell::default(),
            changed: Notify::new(),
            running: RefCell::default(),
            accepted: RefCell::default(),
            fleet: RefCell::default(),
            isolated_since: Cell::new(None),
            takeovers: RefCell::default(),
            takeover_ended: Notify::new(),
            recent: RefCell::default(),
            heads,
            owed: Rc::default(),
            sent_elsewhere: Cell::new(0),
            announced: Cell::new(None),
            reads_directly: Cell::new(false),
            stopping: Cell::new(false),
        });
        actix_rt::spawn(Rc::clone(&inner).follow_feed());
        actix_rt::spawn(Rc::clone(&inner).take_over_jobs());
        actix_rt::spawn(Rc::clone(&inner).sweep());
        actix_rt::spawn(Rc::clone(&inner).report_owed());
        JobService { inner }
    }

    /// Replaces the view of the other VMs.
    pub fn set_fleet(&self, fleet: FleetSnapshot) {
        let inner = &self.inner;
        let has_others = |fleet: &FleetSnapshot| fleet.live.len() > 1;
        if has_others(&fleet) {
            inner.isolated_since.set(None);
        } else if has_others(&inner.fleet.borrow()) {
            let now = inner.parts.clock.uptime();
            inner.isolated_since.set(Some(now));
            tracing::info!(event = "jobs_isolated", "no other VM is heard");
        }
        *inner.fleet.borrow_mut() = fleet;
    }

    /// Returns the changes that this VM has read a short time ago and other readers have not sent, for the VMs that do not
    /// read them. Several calls return the same change, so that one lost message does not lose it.
    #[must_use]
    pub fn recent_changes(&self) -> Option<HeadChanges> {
        let inner = &self.inner;
        let now = inner.parts.clock.uptime();
        let mut recent = inner.recent.borrow_mut();
        while recent
            .front()
            .is_some_and(|read| now.saturating_sub(read.at) > UPDATE_RETENTION)
        {
            recent.pop_front();
        }
        let confirmed = inner.heads.read(HeadProgress::confirmed);
        inner.announced.set(confirmed);
        let (until, _) = confirmed?;
        let after = recent.front()?.after.max(inner.sent_elsewhere.get());
        if until <= after {
            return None;
        }
        let mut latest: HashMap<&JobId, &HeadUpdate> = HashMap::new();
        let updates = recent.iter().flat_map(|read| &read.heads);
        for update in updates.filter(|(_, _, version)| *version > after) {
            latest.insert(&update.0, update);
        }
        let mut heads: Vec<HeadUpdate> = latest.into_values().cloned().collect();
        heads.sort_by_key(|(_, _, version)| *version);
        Some(HeadChanges {
            after,
            until,
            heads,
        })
    }

    /// Applies changes that a reader of the domain has sent. Outdated heads are ignored.
    pub fn apply_changes(&self, changes: HeadChanges) {
        let inner = &self.inner;
        let sent = inner.sent_elsewhere.get().max(changes.until);
        inner.sent_elsewhere.set(sent);
        let HeadChanges {
            after,
            until,
            heads,
        } = changes;
        self.apply_updates(heads);
        inner
            .heads
            .update(|progress| progress.record_range(after, until));
    }

    /// Applies heads without a statement whether they are all that have changed, as VMs of older releases send them.
    pub fn apply_updates(&self, updates: Vec<HeadUpdate>) {
        for (job, head, version) in updates {
            self.inner.record(&job, head, version);
        }
    }

    /// Version up to which this VM knows all changes and has sent them to its domain, and the time since nothing newer was
    /// stored. `None` before the first read.
    #[must_use]
    pub fn announced(&self) -> Option<(RowVersion, Duration)> {
        let (version, confirmed_at) = self.inner.announced.get()?;
        let now = self.inner.parts.clock.uptime();
        Some((version, now.saturating_sub(confirmed_at)))
    }

    /// Records that by the statement of another VM nothing newer than `version` was stored at `at`.
    pub fn confirm_heads(&self, version: RowVersion, at: Uptime) {
        let heads = &self.inner.heads;
        heads.update(|progress| progress.confirm(version, at));
    }

    /// The items that are owed and not at a target: those of the jobs that run on this VM, and those of jobs that nobody runs
    /// as far as this VM knows.
    #[must_use]
    pub fn owed_items(&self) -> Vec<OwedItem> {
        self.inner.owed_items()
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
    /// Regions in which a job may be held, by the document in force.
    pub fn job_regions(&self, head: &JobHead) -> RegionSet {
        let document = self.parts.view.load();
        document.map_or(RegionSet::Everywhere, |document| {
            document.regions_of_job(&head.route, &head.organisation)
        })
    }

    /// Jobs that this VM runs.
    pub fn running_jobs(&self) -> Vec<JobId> {
        self.running.borrow().keys().cloned().collect()
    }

    /// Ends the run of a job, which then has no owner. Returns false if it ends already.
    pub fn stop_run_of(&self, job: &JobId) -> bool {
        let running = self.running.borrow();
        running
            .get(job)
            .is_some_and(|stop| !stop.send_replace(true))
    }

    /// Whether a job is being run by this VM.
    pub fn is_running(&self, job: &JobId) -> bool {
        self.running.borrow().contains_key(job)
    }

    /// Removes a job whose head was removed from the store at `version`, and wakes waiting tasks.
    pub fn forget(&self, job: &JobId, version: RowVersion) {
        self.jobs.borrow_mut().remove(job, version);
        self.changed.notify_waiters();
    }

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

    /// Reads the heads: all of them at the start, and then the changes, while this VM is a reader of its domain or no
    /// reader confirms what it knows.
    async fn follow_feed(self: Rc<Self>) {
        loop {
            let now = self.parts.clock.uptime();
            let is_reader = self.is_reader();
            let reads_directly = !is_reader && self.heads.read(|progress| progress.needs_read(now));
            self.log_direct_reads(reads_directly, now);
            if !is_reader && !reads_directly {
                sleep(FEED_POLL_INTERVAL).await;
                continue;
            }
            if reads_directly {
                self.parts.metrics.count_direct_read();
            }
            let position = self.heads.read(HeadProgress::feed_position);
            let read = match position {
                None => self.read_all(now).await,
                Some(version) if is_reader => self.read_feed(version, FEED_POLL_TIMEOUT, now).await,
                Some(version) => self.read_feed(version, Duration::ZERO, now).await,
            };
            let delay = match read {
                Ok(()) => FEED_POLL_INTERVAL,
                Err(error) => {
                    let failed_at = self.parts.clock.uptime();
                    self.heads
                        .update(|progress| progress.record_failure(failed_at));
                    tracing::info!(event = "jobs_not_followed", %error);
                    if is_reader {
                        STORE_RETRY_DELAY
                    } else {
                        DIRECT_RETRY_DELAY
                    }
                }
            };
            sleep(delay).await;
        }
    }

    fn log_direct_reads(&self, reads_directly: bool, now: Uptime) {
        if self.reads_directly.replace(reads_directly) != reads_directly {
            let age_ms = self
                .heads
                .read(|progress| progress.age(now))
                .map(|age| age.as_millis());
            tracing::info!(event = "job_heads_source_changed", reads_directly, age_ms);
        }
    }

    async fn read_all(&self, sent_at: Uptime) -> Result<(), StoreError> {
        let (heads, version) = self.parts.store.all_heads().await?;
        let known_until = self
            .heads
            .read(HeadProgress::confirmed)
            .map(|(version, _)| version);
        let changed = heads
            .iter()
            .filter(|(_, _, version)| known_until.is_some_and(|known| *version > known));
        self.keep_recent(known_until.unwrap_or(version), changed.cloned().collect());
        for (job, head, row_version) in heads {
            self.record(&job, head, row_version);
        }
        self.heads
            .update(|progress| progress.record_read(version, sent_at));
        Ok(())
    }

    /// Keeps changes that were read for the other VMs of the domain if this VM is a reader.
    fn keep_recent(&self, after: RowVersion, heads: Vec<HeadUpdate>) {
        if self.is_reader() && !heads.is_empty() {
            let at = self.parts.clock.uptime();
            let read = RecentRead { at, after, heads };
            self.recent.borrow_mut().push_back(read);
        }
    }

    fn is_reader(&self) -> bool {
        let fleet = self.fleet.borrow();
        fleet.readers.is_empty() || fleet.is_reader(&self.parts.local_owner)
    }

    /// Reads the changes after a version from the feed once, waiting up to `wait` until there are any.
    async fn read_feed(
        &self,
        after: RowVersion,
        wait: Duration,
        sent_at: Uptime,
    ) -> Result<(), StoreError> {
        let rows = self.parts.store.rows();
        match rows.follow(HEAD_TABLE, after, wait).await? {
            FeedRead::HistoryLost => {
                tracing::info!(event = "job_history_lost", after);
                self.heads.update(HeadProgress::record_lost_history);
            }
            FeedRead::Changes(rows, version) => {
                let mut heads: Vec<HeadUpdate> = Vec::new();
                for row in rows {
                    if row.is_removed {
                        heads.retain(|(job, _, _)| *job != row.key);
                        self.forget(&row.key, row.version);
                    } else if let Some((head, row_version)) = read_head(&row) {
                        heads.push((row.key, head, row_version));
                    }
                }
                self.keep_recent(after, heads.clone());
                for (job, head, row_version) in heads {
                    self.record(&job, head, row_version);
                }
                self.heads
                    .update(|progress| progress.record_read(version, sent_at));
            }
        }
        Ok(())
    }

    /// Runs a job that is assigned to this VM, unless it runs already.
    pub fn start_run(
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
        drop(running);
        let run_entry = RunEntry {
            inner: Rc::clone(self),
            job: job.clone(),
        };
        actix_rt::spawn(async move {
            let RunEntry { inner, job } = &run_entry;
            let end = inner.run_job(job, head, version, items, stopped).await;
            match end {
                RunOutcome::Completed => tracing::info!(event = "job_done", %job),
                RunOutcome::Lost => tracing::info!(event = "job_lost", %job),
                RunOutcome::Released(head, version) => inner.release(job, head, version).await,
            }
        });
    }

    /// Clears the owner of a job so that other VMs take it over at once. If the write fails, they do so when this VM is
    /// found gone.
    async fn release(&self, job: &JobId, mut head: JobHead, version: RowVersion) {
        head.owner = None;
        let listed = head.listed;
        let regions = self.job_regions(&head);
        let store = &self.parts.store;
        let written = store.write_head(job, version, &head, listed, &[], &regions);
        match written.await {
            Ok(HeadOutcome::Applied(version)) => {
                tracing::info!(event = "job_released", %job, listed, version);
                self.record(job, head, version);
            }
            Ok(HeadOutcome::Conflict(_)) => tracing::info!(event = "job_lost", %job),
            Err(error) => {
                tracing::info!(event = "job_not_released", %job, %error);
                self.postpone_resumption(job);
            }
        }
    }
}
