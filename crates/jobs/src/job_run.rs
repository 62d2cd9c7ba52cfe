//! Runs one job on the VM that owns it, and lists the results of its items.

use crate::commit::CommitQueue;
use crate::owed::ItemWatch;
use crate::run::{JobContext, run_item};
use crate::service::JobInner;
use crate::store_step::{NextStep, StoreStep};
use crate::stored::{ItemState, JobHead, JobItem, ListedResult};
use futures_util::StreamExt as _;
use futures_util::future::{AbortHandle, Abortable};
use futures_util::stream::FuturesUnordered;
use plantainmill_core::{ItemId, JobId, wait_until_set};
use plantainmill_provider::RowVersion;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The share of the time for a planned stop for which it waits for a pending write. The release needs the rest.
const STOP_WRITE_SHARE: u32 = 2;

/// Why a job stopped running on this VM.
pub(crate) enum RunOutcome {
    Completed,
    /// The job was ended or has been taken over by another VM.
    Lost,
    /// This VM is shutting down. Holds the last known head and its version.
    Released(JobHead, RowVersion),
}

/// The items of a job that have not been listed by a known head.
pub(crate) struct ItemRuns {
    watch: Rc<ItemWatch>,
    aborts: HashMap<ItemId, AbortHandle>,
}

impl ItemRuns {
    /// Ends the runs of items that are listed.
    pub fn end<'a>(&self, listed: impl IntoIterator<Item = &'a ItemId>) {
        for item in listed {
            self.watch.remove(item);
            if let Some(abort) = self.aborts.get(item) {
                abort.abort();
            }
        }
    }
}

impl JobInner {
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
                () = self.wait_until_lost(job) => return RunOutcome::Lost,
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
        // All that needs the store is in this step, so that nothing else waits for it.
        let mut step: Option<StoreStep<'_>> = None;
        let mut write_until = None;
        while !queue.is_done() {
            // Hears of changes from here on, also of those before it is first polled.
            let changed = self.changed.notified();
            if self.has_lost_job(job) {
                return RunOutcome::Lost;
            }
            if step.is_none() {
                step = self.next_step(job, &queue);
            }
            let is_writing = step.as_ref().is_some_and(|step| step.is_write);
            let release = async {
                wait_until_set(&mut stopped).await;
                if is_writing {
                    let limit = self.parts.settings.stop_timeout / STOP_WRITE_SHARE;
                    let until = write_until.get_or_insert_with(|| Instant::now() + limit);
                    sleep_until(*until).await;
                }
            };
            let result = async {
                match step.as_mut() {
                    Some(step) => step.done.as_mut().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                () = release => return self.stop_run(job, &queue),
                result = result => {
                    step = match self.apply_step(job, &mut queue, &item_runs, result) {
                        NextStep::Run(step) => Some(step),
                        NextStep::Choose => None,
                        NextStep::Stop => return RunOutcome::Lost,
                    };
                }
                result = runs.next(), if !runs.is_empty() => {
                    if let Some(Ok(result)) = result {
                        log_result(job, &result);
                        let tokens = tokens.get(&result.item).copied().unwrap_or(0);
                        queue.push(result, tokens);
                    }
                }
                () = changed => {}
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
            route: head.route.clone(),
            due_at: (now + head.completion).saturating_sub(age),
            expires_at: (now + head.retention).saturating_sub(age),
        }
    }

    /// Returns the outcome of a planned stop. The release needs the newest head, but not which results it lists.
    fn stop_run(&self, job: &JobId, queue: &CommitQueue) -> RunOutcome {
        if self.has_lost_job(job) {
            return RunOutcome::Lost;
        }
        let (head, version) = queue.head();
        match self.newer_head(job, version) {
            Some((newer, _)) if !newer.is_open() => RunOutcome::Completed,
            Some((newer, version)) => RunOutcome::Released(newer, version),
            None => RunOutcome::Released(head.clone(), version),
        }
    }

    /// Waits until this VM hears that it has lost the job.
    async fn wait_until_lost(&self, job: &JobId) {
        loop {
            let changed = self.changed.notified();
            if self.has_lost_job(job) {
                return;
            }
            changed.await;
        }
    }

    /// Whether the catalog shows that the job was ended, removed or has another owner.
    fn has_lost_job(&self, job: &JobId) -> bool {
        let catalog = self.jobs.borrow();
        catalog.get(job).is_none_or(|known| {
            known.head.ended || known.head.owner.as_ref() != Some(&self.parts.local_owner)
        })
    }
}

fn log_result(job: &JobId, result: &ListedResult) {
    let succeeded = result.state == ItemState::Succeeded;
    tracing::info!(event = "item_ended", %job, item = %result.item, succeeded);
}
