//! Runs one job on the VM that owns it, and lists the results of its items.

use crate::commit::{CommitQueue, CommitStep};
use crate::owed::ItemWatch;
use crate::run::{JobContext, run_item};
use crate::service::{JobInner, STORE_RETRY_DELAY};
use crate::store::HeadOutcome;
use crate::stored::{ItemState, JobHead, JobItem, ListedResult};
use futures_util::FutureExt as _;
use futures_util::StreamExt as _;
use futures_util::future::{AbortHandle, Abortable, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use plantainmill_core::{ItemId, JobId, wait_until_set};
use plantainmill_provider::{RowVersion, StoreError};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::sleep;

/// Why a job stopped running on this VM.
pub(crate) enum RunOutcome {
    Completed,
    /// The job was ended or has been taken over by another VM.
    Lost,
    /// This VM is shutting down. Holds the last known head and its version.
    Released(JobHead, RowVersion),
}

/// The items of a job that have not been listed by a known head.
struct ItemRuns {
    watch: Rc<ItemWatch>,
    aborts: HashMap<ItemId, AbortHandle>,
}

impl ItemRuns {
    /// Ends the runs of items that are listed.
    fn end<'a>(&self, listed: impl IntoIterator<Item = &'a ItemId>) {
        for item in listed {
            self.watch.remove(item);
            if let Some(abort) = self.aborts.get(item) {
                abort.abort();
            }
        }
    }
}

impl JobInner {
    /// Reads the items of a job and the ids of those already listed, retrying until the store responds.
    async fn load(&self, job: &JobId, head: &JobHead) -> (Vec<JobItem>, HashSet<ItemId>) {
        loop {
            let read = async {
                let items = self.parts.store.items(job).await?;
                let results = self.read_listed_ids(job, 0, head.listed).await?;
                Ok::<_, StoreError>((items, results))
            };
            match read.await {
                Ok(loaded) => return loaded,
                Err(error) => tracing::info!(event = "job_not_loaded", %job, %error),
            }
            sleep(STORE_RETRY_DELAY).await;
        }
    }

    /// Reads the ids of the items at `count` positions from `first` on, or more if others have been listed since.
    async fn read_listed_ids(
        &self,
        job: &JobId,
        first: u64,
        count: u64,
    ) -> Result<HashSet<ItemId>, StoreError> {
        let mut listed = HashSet::new();
        while (listed.len() as u64) < count {
            let position = first + listed.len() as u64;
            let results = self.parts.store.results(job, position).await?;
            if results.is_empty() {
                break;
            }
            listed.extend(results.into_iter().map(|result| result.item));
        }
        Ok(listed)
    }

    /// Runs the items of a job and lists their results until the job is done, lost or released.
    pub(crate) async fn run_job(
        self: &Rc<Self>,
        job: &JobId,
        head: JobHead,
        version: RowVersion,
        items: Option<Vec<JobItem>>,
        mut stopped: watch::Receiver<bool>,
    ) -> RunOutcome {
        let (items, listed) = if let Some(items) = items {
            (items, HashSet::new())
        } else {
            tokio::select! {
                loaded = self.load(job, &head) => loaded,
                () = wait_until_set(&mut stopped) => return RunOutcome::Released(head, version),
            }
        };
        let context = Rc::new(self.job_context(&head));
        let tokens: HashMap<ItemId, u64> = items
            .iter()
            .map(|item| (item.id.clone(), item.tokens))
            .collect();
        let owed = self.owed.watch(job, &self.parts.clock);
        let mut aborts = HashMap::new();
        let mut runs = FuturesUnordered::new();
        for item in items.into_iter().filter(|item| !listed.contains(&item.id)) {
            let (abort, aborted) = AbortHandle::new_pair();
            aborts.insert(item.id.clone(), abort);
            owed.watch.add(&item.id);
            let watch = Rc::clone(&owed.watch);
            let run = run_item(
                Rc::clone(&self.run_context),
                Rc::clone(&context),
                watch,
                item,
            );
            runs.push(Abortable::new(run, aborted));
        }
        let item_runs = ItemRuns {
            watch: Rc::clone(&owed.watch),
            aborts,
        };
        let mut queue = CommitQueue::new(self.parts.local_owner.clone(), head, version);
        let mut write: Option<LocalBoxFuture<'_, Result<HeadOutcome, StoreError>>> = None;
        let mut written = None;
        while !queue.is_done() {
            if self.has_lost_job(job) {
                return RunOutcome::Lost;
            }
            if write.is_none()
                && let Some((head, version)) = self.newer_head(job, queue.head().1)
            {
                // Another VM owned the job in between, or the response to a write of this one was lost.
                let step = self
                    .apply_found(job, &mut queue, &item_runs, head, version)
                    .await;
                if step == CommitStep::Stop {
                    return RunOutcome::Lost;
                }
                continue;
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
                () = wait_until_set(&mut stopped), if !is_writing => {
                    let (head, version) = queue.head();
                    return RunOutcome::Released(head.clone(), version);
                }
                outcome = outcome => {
                    write = None;
                    let step = self
                        .apply_outcome(job, &mut queue, &item_runs, outcome, written.take())
                        .await;
                    if step == CommitStep::Stop {
                        return RunOutcome::Lost;
                    }
                }
                result = runs.next(), if !runs.is_empty() => {
                    if let Some(Ok(result)) = result {
                        log_result(job, &result);
                        let tokens = tokens.get(&result.item).copied().unwrap_or(0);
                        queue.push(result, tokens);
                    }
                }
                () = self.changed.notified() => {}
            }
        }
        RunOutcome::Completed
    }

    /// Derives the properties shared by the items of a job, with its times converted to this VM's uptime.
    fn job_context(&self, head: &JobHead) -> JobContext {
        let now = self.parts.clock.uptime();
        let wall = self.parts.clock.wall().duration_since(UNIX_EPOCH);
        let accepted = Duration::from_millis(head.accepted_ms);
        let age = wall.unwrap_or_default().saturating_sub(accepted);
        JobContext {
            organisation: head.organisation.clone(),
            host: head.host.clone(),
            due_at: (now + head.completion).saturating_sub(age),
            expires_at: (now + head.retention).saturating_sub(age),
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
        let store = &self.parts.store;
        store.write_head(job, version, &head, first, &results).await
    }

    async fn apply_outcome(
        &self,
        job: &JobId,
        queue: &mut CommitQueue,
        runs: &ItemRuns,
        outcome: Result<HeadOutcome, StoreError>,
        written: Option<JobHead>,
    ) -> CommitStep {
        match outcome {
            Ok(HeadOutcome::Applied(version)) => {
                if let Some(head) = written {
                    self.record(job, head.clone(), version);
                    runs.end(&queue.apply_written(head, version));
                }
                CommitStep::Continue
            }
            Ok(HeadOutcome::Conflict(Some((head, version)))) => {
                self.record(job, head.clone(), version);
                self.apply_found(job, queue, runs, head, version).await
            }
            Ok(HeadOutcome::Conflict(None)) => CommitStep::Stop,
            Err(error) => {
                // The queue writes the same results again: the failed write may still be applied, and other results at
                // these positions would then be listed twice or lost.
                tracing::info!(event = "results_not_written", %job, %error);
                sleep(STORE_RETRY_DELAY).await;
                CommitStep::Continue
            }
        }
    }

    /// Continues from a stored head that another write has replaced: drops the results that it lists, and the runs of
    /// their items.
    async fn apply_found(
        &self,
        job: &JobId,
        queue: &mut CommitQueue,
        runs: &ItemRuns,
        head: JobHead,
        version: RowVersion,
    ) -> CommitStep {
        let count = queue.unknown_results(&head);
        let first = queue.head().0.listed;
        let listed = match self.read_listed_ids(job, first, count).await {
            Ok(listed) => listed,
            Err(error) => {
                // The next write conflicts again.
                tracing::info!(event = "results_not_read", %job, %error);
                sleep(STORE_RETRY_DELAY).await;
                return CommitStep::Continue;
            }
        };
        runs.end(&listed);
        self.parts.metrics.count_replaced_head();
        tracing::info!(event = "job_head_replaced", %job, first, count, version);
        queue.apply_found(head, version, listed)
    }

    /// Returns the head of the catalog if it is newer than `version`.
    fn newer_head(&self, job: &JobId, version: RowVersion) -> Option<(JobHead, RowVersion)> {
        let catalog = self.jobs.borrow();
        let known = catalog.get(job).filter(|known| known.version > version)?;
        Some((known.head.clone(), known.version))
    }

    /// Whether the catalog shows that the job was ended or has another owner.
    fn has_lost_job(&self, job: &JobId) -> bool {
        let catalog = self.jobs.borrow();
        catalog.get(job).is_some_and(|known| {
            known.head.ended || known.head.owner.as_ref() != Some(&self.parts.local_owner)
        })
    }
}

fn log_result(job: &JobId, result: &ListedResult) {
    let succeeded = result.state == ItemState::Succeeded;
    tracing::info!(event = "item_ended", %job, item = %result.item, succeeded);
}
