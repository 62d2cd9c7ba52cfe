//! Operations of a job's owner on the store, of which one is pending at a time while the items of the job run.

use crate::commit::{CommitQueue, CommitStep};
use crate::job_run::ItemRuns;
use crate::service::{JobInner, STORE_RETRY_DELAY};
use crate::store::HeadOutcome;
use crate::stored::{JobHead, JobItem, ListedResult};
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use plantainmill_core::{ItemId, JobId, RegionSet};
use plantainmill_provider::{RowVersion, StoreError};
use std::collections::HashSet;
use tokio::time::sleep;

/// A pending operation.
pub(crate) struct StoreStep<'a> {
    /// Whether the operation may change the store.
    pub is_write: bool,
    /// Completes with the operation, which is cancelled if it is dropped.
    pub done: LocalBoxFuture<'a, StepResult>,
}

/// What an operation has found.
pub(crate) enum StepResult {
    /// The head that was to be written, and the outcome.
    Written(JobHead, Result<HeadOutcome, StoreError>),
    /// A head that another write has stored, and the ids of the items that it lists beyond the last known head.
    Found(JobHead, RowVersion, Result<HashSet<ItemId>, StoreError>),
    /// The delay after a failed operation has passed.
    Paused,
}

/// What the owner does after an operation.
pub(crate) enum NextStep<'a> {
    /// Continue with this operation.
    Run(StoreStep<'a>),
    /// Continue with the next operation that is due.
    Choose,
    /// Stop, because the job has another owner or was ended.
    Stop,
}

fn pause<'a>() -> StoreStep<'a> {
    let done = sleep(STORE_RETRY_DELAY).map(|()| StepResult::Paused);
    StoreStep {
        is_write: false,
        done: done.boxed_local(),
    }
}

impl JobInner {
    /// Reads the items of a job and the ids of those already listed, retrying until the store returns all of them.
    pub(crate) async fn load(
        &self,
        job: &JobId,
        head: &JobHead,
    ) -> (Vec<JobItem>, HashSet<ItemId>) {
        loop {
            let read = async {
                let regions = self.job_regions(head);
                let items = self.parts.store.items(job, &regions).await?;
                if items.len() as u64 != head.total {
                    let reason = format!("{} of {} items", items.len(), head.total);
                    return Err(StoreError::Malformed(reason));
                }
                let results = self.read_listed_ids(job, 0, head.listed, &regions).await?;
                Ok((items, results))
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
        regions: &RegionSet,
    ) -> Result<HashSet<ItemId>, StoreError> {
        let mut listed = HashSet::new();
        let mut position = first;
        while position < first + count {
            let results = self.parts.store.results(job, position, regions).await?;
            if results.is_empty() {
                return Err(StoreError::Malformed(format!("no result {position}")));
            }
            position += results.len() as u64;
            listed.extend(results.into_iter().map(|result| result.item));
        }
        Ok(listed)
    }

    /// Returns the operation that is due: the read of what a newer head of the catalog lists, or the next write of results.
    pub(crate) fn next_step<'a>(
        &'a self,
        job: &'a JobId,
        queue: &CommitQueue,
    ) -> Option<StoreStep<'a>> {
        let (current, version) = queue.head();
        if let Some((head, version)) = self.newer_head(job, version) {
            // Another VM owned the job in between, or the response to a write of this one was lost.
            return Some(self.read_found(job, queue, head, version));
        }
        let (head, results) = queue.next_write()?;
        let results: Vec<ListedResult> = results.into_iter().cloned().collect();
        let first = current.listed;
        let regions = self.job_regions(current);
        let done = async move {
            let results: Vec<&ListedResult> = results.iter().collect();
            let store = &self.parts.store;
            let write = store.write_head(job, version, &head, first, &results, &regions);
            let outcome = write.await;
            StepResult::Written(head, outcome)
        };
        Some(StoreStep {
            is_write: true,
            done: done.boxed_local(),
        })
    }

    fn read_found<'a>(
        &'a self,
        job: &'a JobId,
        queue: &CommitQueue,
        head: JobHead,
        version: RowVersion,
    ) -> StoreStep<'a> {
        // A closed head ends the run whichever results it lists, and they may have been removed.
        let count = if head.is_open() {
            queue.unknown_results(&head)
        } else {
            0
        };
        let first = queue.head().0.listed;
        let done = async move {
            let regions = self.job_regions(&head);
            let listed = self.read_listed_ids(job, first, count, &regions).await;
            StepResult::Found(head, version, listed)
        };
        StoreStep {
            is_write: false,
            done: done.boxed_local(),
        }
    }

    /// Applies the result of an operation to the queue and the runs.
    pub(crate) fn apply_step<'a>(
        &'a self,
        job: &'a JobId,
        queue: &mut CommitQueue,
        runs: &ItemRuns,
        result: StepResult,
    ) -> NextStep<'a> {
        match result {
            StepResult::Paused => NextStep::Choose,
            StepResult::Written(written, Ok(HeadOutcome::Applied(version))) => {
                self.record(job, written.clone(), version);
                runs.end(&queue.apply_written(written, version));
                NextStep::Choose
            }
            StepResult::Written(_, Ok(HeadOutcome::Conflict(Some((head, version))))) => {
                self.record(job, head.clone(), version);
                NextStep::Run(self.read_found(job, queue, head, version))
            }
            StepResult::Written(_, Ok(HeadOutcome::Conflict(None))) => {
                // Kept in the catalog, the job would be resumed at once, without items.
                self.forget(job, RowVersion::MAX);
                NextStep::Stop
            }
            StepResult::Written(_, Err(error)) => {
                // The queue writes the same results again: the failed write may still be applied, and other results at
                // these positions would then be listed twice or lost.
                tracing::info!(event = "results_not_written", %job, %error);
                NextStep::Run(pause())
            }
            StepResult::Found(_, _, Err(error)) => {
                // The next write conflicts again.
                tracing::info!(event = "results_not_read", %job, %error);
                NextStep::Run(pause())
            }
            StepResult::Found(head, version, Ok(listed)) => {
                self.apply_found(job, queue, runs, head, version, listed)
            }
        }
    }

    /// Continues from a stored head that another write has replaced: drops the results that it lists, and the runs of
    /// their items.
    fn apply_found<'a>(
        &self,
        job: &JobId,
        queue: &mut CommitQueue,
        runs: &ItemRuns,
        head: JobHead,
        version: RowVersion,
        listed: HashSet<ItemId>,
    ) -> NextStep<'a> {
        let (current, current_version) = queue.head();
        let (first, is_same) = (current.listed, current_version == version);
        let count = queue.unknown_results(&head);
        runs.end(&listed);
        self.parts.metrics.count_replaced_head();
        tracing::info!(event = "job_head_replaced", %job, first, count, version);
        match queue.apply_found(head, version, listed) {
            CommitStep::Stop => NextStep::Stop,
            CommitStep::Continue if is_same => {
                // The write conflicts with a row other than the head, and would do so again at once.
                tracing::warn!(event = "results_conflict", %job, first, version);
                NextStep::Run(pause())
            }
            CommitStep::Continue => NextStep::Choose,
        }
    }

    /// Returns the head of the catalog if it is newer than `version`.
    pub(crate) fn newer_head(
        &self,
        job: &JobId,
        version: RowVersion,
    ) -> Option<(JobHead, RowVersion)> {
        let catalog = self.jobs.borrow();
        let known = catalog.get(job).filter(|known| known.version > version)?;
        Some((known.head.clone(), known.version))
    }
}
