//! Follows all jobs, and runs those that fall to this VM.

use crate::book::{FleetSnapshot, JobBook, KnownJob};
use crate::commit::{CommitQueue, CommitStep};
use crate::run::{RunJob, RunParts, run_item};
use crate::store::{HeadOutcome, JobStore, read_head};
use crate::stored::{HEAD_TABLE, ItemState, JobHead, JobItem, JobOwner, ListedResult};
use futures_util::FutureExt as _;
use futures_util::StreamExt as _;
use futures_util::future::{LocalBoxFuture, join_all};
use futures_util::stream::FuturesUnordered;
use plantainmill_core::{Clock, ItemId, JobId, Uptime, wait_set};
use plantainmill_provider::{FeedRead, RowVersion, StoreError};
use plantainmill_proxy::relay::RelayCaller;
use plantainmill_routing::DocumentView;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

/// Time that a read of the feed waits for changes.
const FEED_WAIT: Duration = Duration::from_secs(2);
/// Pause between reads of the feed: results come in groups then, well within the second in which VMs have to agree.
const FEED_PAUSE: Duration = Duration::from_millis(200);
/// Time for which a head counts as read lately. Several reads of the feed.
const UPDATE_TIME: Duration = Duration::from_secs(1);
/// Pause after a failed call of the store.
const STORE_PAUSE: Duration = Duration::from_millis(250);
/// Time between looks at jobs without an owner.
const TAKE_INTERVAL: Duration = Duration::from_millis(400);
/// Time after the start in which other VMs are heard before any of their jobs is taken over.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time between looks at jobs whose results are no longer kept.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Time beyond the end of retention after which a job's rows are removed: clocks of VMs differ.
const SWEEP_MARGIN: Duration = Duration::from_secs(30);

/// A head as read from the store.
pub type HeadUpdate = (JobId, JobHead, RowVersion);

/// Settings of jobs.
#[derive(Clone, Copy, Debug)]
pub struct JobSettings {
    /// Time after acceptance for which results are kept at least.
    pub result_retention: Duration,
    /// Time for the hand-over of jobs at a planned stop.
    pub stop_timeout: Duration,
}

/// What the service is built from.
pub struct JobDependencies {
    /// This VM.
    pub local_owner: JobOwner,
    /// Where jobs are kept.
    pub store: JobStore,
    /// Calls targets.
    pub caller: RelayCaller,
    /// Document in force.
    pub view: DocumentView,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Settings.
    pub settings: JobSettings,
}

/// The jobs of this VM. Clones share the same state.
#[derive(Clone)]
pub struct JobService {
    pub(crate) inner: Rc<JobInner>,
}

pub(crate) struct JobInner {
    pub dependencies: JobDependencies,
    pub book: RefCell<JobBook>,
    /// Notified whenever the book changes.
    pub changed: Notify,
    run: Rc<RunParts>,
    running: RefCell<HashMap<JobId, watch::Sender<bool>>>,
    fleet: RefCell<FleetSnapshot>,
    /// Heads that were read lately, with the times of their reads.
    recent: RefCell<VecDeque<(Uptime, HeadUpdate)>>,
    stopping: Cell<bool>,
}

/// What a VM has read of the heads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedPosition {
    /// Nothing, or not enough to go on from.
    Unread,
    /// All heads once; since then it was told the changes.
    Told,
    /// All changes up to this version.
    At(RowVersion),
}

/// How the run of a job ended.
enum RunEnd {
    Done,
    /// The job was ended, or another VM has it.
    Lost,
    /// This VM is stopping; the head as last known.
    Released(JobHead, RowVersion),
}

impl JobService {
    /// Starts to follow and run jobs on the current thread.
    #[must_use]
    pub fn start(dependencies: JobDependencies) -> JobService {
        let run = RunParts {
            caller: dependencies.caller.clone(),
            view: dependencies.view.clone(),
            clock: Arc::clone(&dependencies.clock),
        };
        let inner = Rc::new(JobInner {
            run: Rc::new(run),
            dependencies,
            book: RefCell::default(),
            changed: Notify::new(),
            running: RefCell::default(),
            fleet: RefCell::default(),
            recent: RefCell::default(),
            stopping: Cell::new(false),
        });
        actix_rt::spawn(Rc::clone(&inner).follow());
        actix_rt::spawn(Rc::clone(&inner).take_over());
        actix_rt::spawn(Rc::clone(&inner).sweep());
        JobService { inner }
    }

    /// Takes what is known of the other VMs.
    pub fn set_fleet(&self, fleet: FleetSnapshot) {
        *self.inner.fleet.borrow_mut() = fleet;
    }

    /// The heads that were read lately, for VMs that do not read the store. Each is given for a second, so that a lost
    /// message loses none.
    #[must_use]
    pub fn recent_updates(&self) -> Vec<HeadUpdate> {
        let now = self.inner.dependencies.clock.uptime();
        let mut recent = self.inner.recent.borrow_mut();
        while recent
            .front()
            .is_some_and(|(at, _)| now.saturating_sub(*at) > UPDATE_TIME)
        {
            recent.pop_front();
        }
        recent.iter().map(|(_, updates)| updates.clone()).collect()
    }

    /// Takes heads that another VM has read.
    pub fn apply_updates(&self, updates: Vec<HeadUpdate>) {
        for (job, head, version) in updates {
            self.inner.learn(&job, head, version);
        }
    }

    /// Jobs that run here.
    #[must_use]
    pub fn running(&self) -> usize {
        self.inner.running.borrow().len()
    }

    /// Stops all jobs and leaves them to other VMs.
    pub async fn stop(&self) {
        let inner = &self.inner;
        inner.stopping.set(true);
        for stop in inner.running.borrow().values() {
            stop.send_replace(true);
        }
        let all_left = async {
            while !inner.running.borrow().is_empty() {
                inner.changed.notified().await;
            }
        };
        if timeout(inner.dependencies.settings.stop_timeout, all_left)
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
    /// Takes a head as read from the store.
    pub fn learn(&self, job: &JobId, head: JobHead, version: RowVersion) {
        if self.book.borrow_mut().learn(job, head, version) {
            self.changed.notify_waiters();
        }
    }

    /// Takes a job that was written or found at its acceptance, and runs it if it is this VM's.
    pub fn accept(
        self: &Rc<Self>,
        job: &JobId,
        head: JobHead,
        version: RowVersion,
        items: Option<Vec<JobItem>>,
    ) {
        let is_own = head.owner.as_ref() == Some(&self.dependencies.local_owner) && head.is_open();
        self.learn(job, head.clone(), version);
        if is_own {
            self.start_run(job, head, version, items);
        }
    }

    async fn follow(self: Rc<Self>) {
        let mut place = FeedPosition::Unread;
        loop {
            // The first read shows all jobs to every VM; then the readers of its domain tell it the changes.
            if place != FeedPosition::Unread && !self.is_reader() {
                place = FeedPosition::Told;
                sleep(FEED_PAUSE).await;
                continue;
            }
            let read = match place {
                FeedPosition::Unread | FeedPosition::Told => self.read_all().await,
                FeedPosition::At(version) => self.read_feed(version).await,
            };
            match read {
                Ok(next) => {
                    place = next;
                    sleep(FEED_PAUSE).await;
                }
                Err(error) => {
                    tracing::info!(event = "jobs_not_followed", %error);
                    sleep(STORE_PAUSE).await;
                }
            }
        }
    }

    async fn read_all(&self) -> Result<FeedPosition, StoreError> {
        let (heads, version) = self.dependencies.store.all_heads().await?;
        for (job, head, row_version) in heads {
            self.take_read(&job, head, row_version);
        }
        Ok(FeedPosition::At(version))
    }

    /// Takes a head from a read of all jobs or of the feed.
    fn take_read(&self, job: &JobId, head: JobHead, version: RowVersion) {
        if self.is_reader() {
            let updates = (job.clone(), head.clone(), version);
            self.recent
                .borrow_mut()
                .push_back((self.dependencies.clock.uptime(), updates));
        }
        self.learn(job, head, version);
    }

    fn is_reader(&self) -> bool {
        let fleet = self.fleet.borrow();
        fleet.readers.is_empty() || fleet.is_reader(&self.dependencies.local_owner)
    }

    /// Reads the feed once and gives the place to go on from.
    async fn read_feed(&self, after: RowVersion) -> Result<FeedPosition, StoreError> {
        let rows = self.dependencies.store.rows();
        match rows.follow(HEAD_TABLE, after, FEED_WAIT).await? {
            FeedRead::HistoryLost => {
                tracing::info!(event = "job_history_lost", after);
                Ok(FeedPosition::Unread)
            }
            FeedRead::Changes(rows, version) => {
                for row in rows {
                    if row.is_removed {
                        self.book.borrow_mut().forget(&row.key, row.version);
                    } else if let Some((head, row_version)) = read_head(&row) {
                        self.take_read(&row.key, head, row_version);
                    }
                }
                Ok(FeedPosition::At(version))
            }
        }
    }

    /// Takes jobs whose owner is gone.
    async fn take_over(self: Rc<Self>) {
        let started = self.dependencies.clock.uptime();
        loop {
            sleep(TAKE_INTERVAL).await;
            if self.stopping.get() {
                return;
            }
            let settled = self.dependencies.clock.uptime().saturating_sub(started) >= SETTLE_TIME;
            let own = &self.dependencies.local_owner;
            let (resumed, orphans) = {
                let book = self.book.borrow();
                let running = self.running.borrow();
                let resumed = book.to_resume(own, |job| running.contains_key(job));
                let resumed: Vec<HeadUpdate> = resumed
                    .map(|(job, known)| (job.clone(), known.head.clone(), known.version))
                    .collect();
                let orphans = if settled {
                    book.orphans(own, &self.fleet.borrow())
                } else {
                    Vec::new()
                };
                (resumed, orphans)
            };
            for (job, head, version) in resumed {
                self.start_run(&job, head, version, None);
            }
            let claims = orphans.into_iter().map(|(job, known, new_owner)| {
                let inner = Rc::clone(&self);
                async move { inner.reassign(&job, known, new_owner).await }
            });
            join_all(claims).await;
        }
    }

    /// Gives an orphaned job to `new_owner`, which may be this VM.
    async fn reassign(self: &Rc<Self>, job: &JobId, known: KnownJob, new_owner: JobOwner) {
        let from = known.head.owner.as_ref().map(|owner| owner.vm.clone());
        let to = new_owner.vm.clone();
        let mut given = known.head;
        given.owner = Some(new_owner);
        let store = &self.dependencies.store;
        let listed = given.listed;
        match store
            .write_head(job, known.version, &given, listed, &[])
            .await
        {
            Ok(HeadOutcome::Applied(version)) => {
                tracing::info!(event = "job_reassigned", %job, from = from.as_deref(), %to, listed, version);
                self.accept(job, given, version, None);
            }
            Ok(HeadOutcome::Conflict(Some((head, version)))) => self.learn(job, head, version),
            Ok(HeadOutcome::Conflict(None)) => self.book.borrow_mut().forget(job, RowVersion::MAX),
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
                RunEnd::Done => tracing::info!(event = "job_done", %job),
                RunEnd::Lost => tracing::info!(event = "job_lost", %job),
                RunEnd::Released(head, version) => inner.release(&job, head, version).await,
            }
            inner.running.borrow_mut().remove(&job);
            inner.changed.notify_waiters();
        });
    }

    /// Leaves a job to other VMs. Whether or not the write takes effect, they take it when this VM is gone.
    async fn release(&self, job: &JobId, mut head: JobHead, version: RowVersion) {
        head.owner = None;
        let listed = head.listed;
        let written = self
            .dependencies
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

    /// Reads what a run needs, until the store answers.
    async fn load(&self, job: &JobId, head: &JobHead) -> (Vec<JobItem>, HashSet<ItemId>) {
        loop {
            let read = async {
                let items = self.dependencies.store.items(job).await?;
                let results = if head.listed > 0 {
                    self.listed(job, head.listed).await?
                } else {
                    HashSet::new()
                };
                Ok::<_, StoreError>((items, results))
            };
            match read.await {
                Ok(loaded) => return loaded,
                Err(error) => tracing::info!(event = "job_not_loaded", %job, %error),
            }
            sleep(STORE_PAUSE).await;
        }
    }

    async fn listed(&self, job: &JobId, count: u64) -> Result<HashSet<ItemId>, StoreError> {
        let mut listed = HashSet::new();
        while (listed.len() as u64) < count {
            let results = self
                .dependencies
                .store
                .results(job, listed.len() as u64)
                .await?;
            if results.is_empty() {
                break;
            }
            listed.extend(results.into_iter().map(|result| result.item));
        }
        Ok(listed)
    }

    async fn run_job(
        self: &Rc<Self>,
        job: &JobId,
        head: JobHead,
        version: RowVersion,
        items: Option<Vec<JobItem>>,
        mut stopped: watch::Receiver<bool>,
    ) -> RunEnd {
        let (items, listed) = if let Some(items) = items {
            (items, HashSet::new())
        } else {
            tokio::select! {
                loaded = self.load(job, &head) => loaded,
                () = wait_set(&mut stopped) => return RunEnd::Released(head, version),
            }
        };
        let shared = Rc::new(self.run_times(&head));
        let tokens: HashMap<ItemId, u64> = items
            .iter()
            .map(|item| (item.id.clone(), item.tokens))
            .collect();
        let mut runs: FuturesUnordered<_> = items
            .into_iter()
            .filter(|item| !listed.contains(&item.id))
            .map(|item| run_item(Rc::clone(&self.run), Rc::clone(&shared), item))
            .collect();
        let mut queue = CommitQueue::new(self.dependencies.local_owner.clone(), head, version);
        let mut write: Option<LocalBoxFuture<'_, Result<HeadOutcome, StoreError>>> = None;
        let mut written = None;
        while !queue.is_done() {
            if self.is_lost(job) {
                return RunEnd::Lost;
            }
            if write.is_none()
                && let Some((head, results)) = queue.next_write()
            {
                let results: Vec<ListedResult> = results.into_iter().cloned().collect();
                let (current, version) = queue.head();
                let first = current.listed;
                written = Some(head.clone());
                write = Some(self.write(job, version, head, first, results).boxed_local());
            }
            let is_writing = write.is_some();
            let outcome = async {
                match write.as_mut() {
                    Some(write) => write.await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = wait_set(&mut stopped), if !is_writing => {
                    let (head, version) = queue.head();
                    return RunEnd::Released(head.clone(), version);
                }
                outcome = outcome => {
                    write = None;
                    let step = self.take_outcome(job, &mut queue, outcome, written.take()).await;
                    if step == CommitStep::Stop {
                        return RunEnd::Lost;
                    }
                }
                result = runs.next(), if !runs.is_empty() => {
                    if let Some(result) = result {
                        log_result(job, &result);
                        let tokens = tokens.get(&result.item).copied().unwrap_or(0);
                        queue.push(result, tokens);
                    }
                }
                () = self.changed.notified() => {}
            }
        }
        RunEnd::Done
    }

    /// When the results of a job are due, on this VM's clock.
    fn run_times(&self, head: &JobHead) -> RunJob {
        let now = self.dependencies.clock.uptime();
        let wall = self.dependencies.clock.wall().duration_since(UNIX_EPOCH);
        let accepted = Duration::from_millis(head.accepted_ms);
        let age = wall.unwrap_or_default().saturating_sub(accepted);
        RunJob {
            organisation: head.organisation.clone(),
            host: head.host.clone(),
            due: (now + head.completion).saturating_sub(age),
            given_up: (now + head.retention).saturating_sub(age),
        }
    }

    async fn write(
        &self,
        job: &JobId,
        version: RowVersion,
        head: JobHead,
        first: u64,
        results: Vec<ListedResult>,
    ) -> Result<HeadOutcome, StoreError> {
        let results: Vec<&ListedResult> = results.iter().collect();
        let store = &self.dependencies.store;
        store.write_head(job, version, &head, first, &results).await
    }

    async fn take_outcome(
        &self,
        job: &JobId,
        queue: &mut CommitQueue,
        outcome: Result<HeadOutcome, StoreError>,
        written: Option<JobHead>,
    ) -> CommitStep {
        let (head, version) = match outcome {
            Ok(HeadOutcome::Applied(version)) => match written {
                Some(head) => (head, version),
                None => return CommitStep::GoOn,
            },
            Ok(HeadOutcome::Conflict(Some(found))) => found,
            Ok(HeadOutcome::Conflict(None)) => return CommitStep::Stop,
            Err(error) => {
                // The same results are written again, so that a late write of them cannot list others beside them.
                tracing::info!(event = "results_not_written", %job, %error);
                sleep(STORE_PAUSE).await;
                return CommitStep::GoOn;
            }
        };
        self.learn(job, head.clone(), version);
        queue.adopt(head, version)
    }

    /// Whether the book says that the job is no longer this VM's to run.
    fn is_lost(&self, job: &JobId) -> bool {
        let book = self.book.borrow();
        book.get(job).is_some_and(|known| {
            known.head.ended || known.head.owner.as_ref() != Some(&self.dependencies.local_owner)
        })
    }

    /// Removes jobs whose results are no longer kept.
    async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let wall = self.dependencies.clock.wall().duration_since(UNIX_EPOCH);
            let wall = wall.unwrap_or_default();
            let kept = self.dependencies.settings.result_retention + SWEEP_MARGIN;
            let old: Vec<JobId> = {
                let book = self.book.borrow();
                let fleet = self.fleet.borrow();
                let old = book.iter().filter(|(_, known)| {
                    let accepted = Duration::from_millis(known.head.accepted_ms);
                    !known.head.is_open() && wall.saturating_sub(accepted) > kept
                });
                old.filter(|(job, _)| fleet.is_responsible(job, &self.dependencies.local_owner))
                    .map(|(job, _)| job.clone())
                    .collect()
            };
            for job in old {
                match self.dependencies.store.remove(&job).await {
                    Ok(()) => tracing::info!(event = "job_removed", %job),
                    Err(error) => tracing::info!(event = "job_not_removed", %job, %error),
                }
            }
        }
    }
}

fn log_result(job: &JobId, result: &ListedResult) {
    let succeeded = result.state == ItemState::Succeeded;
    tracing::info!(event = "item_ended", %job, item = %result.item, succeeded);
}
