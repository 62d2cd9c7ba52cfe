//! Resumption of jobs assigned to this VM, and reassignment of jobs whose owner is gone.
//!
//! All VMs derive the same order in which they reassign a job. The first one does so at once. The one that all expect may
//! not reach the store, may not know the job, or views may differ, so the others follow, each after a further delay in
//! which the head has not changed. Every write is conditional on the version of the head, so at most one succeeds.

use crate::catalog::{KnownJob, OrphanedJob};
use crate::service::{HeadUpdate, JobInner};
use crate::store::HeadOutcome;
use crate::stored::JobOwner;
use plantainmill_core::{JobId, Uptime};
use plantainmill_provider::RowVersion;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Interval between checks for jobs that this VM has to resume or reassign.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(400);
/// Time after the start before jobs of other VMs are reassigned, so that live VMs have reported by then.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which a job is left to each VM that reassigns it before this one. It exceeds a write by way of another VM, and
/// the time until this VM hears of it.
const FALLBACK_TAKEOVER_DELAY: Duration = Duration::from_secs(4);
/// Maximum number of reassignments that wait for the store at a time.
const MAX_REASSIGNMENTS: usize = 32;
/// Delay after the first failed reassignment of a job by the responsible VM. It doubles with each further one.
const REASSIGNMENT_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum delay after a failed reassignment of a job by the responsible VM.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Delay before a job whose run has panicked is resumed.
const FAILED_RUN_DELAY: Duration = Duration::from_secs(1);

/// Time without any other VM before a VM takes the jobs of the others over. It is more likely that this VM is cut off, or was
/// suspended, than that it is the only one left, and the others would take the jobs back.
const ISOLATED_TAKEOVER_DELAY: Duration = Duration::from_secs(8);

/// What this VM knows of an orphaned job at one version of its head.
struct OrphanState {
    version: RowVersion,
    /// Time for which the job has been an orphan while this VM knew the heads of the store.
    waited: Duration,
    /// Earliest time of the next attempt.
    due_at: Uptime,
    /// Failed attempts.
    failures: u32,
}

/// The orphaned jobs, their reassignments, and the failed runs of this VM.
#[derive(Default)]
pub(crate) struct TakeoverPlan {
    orphans: HashMap<JobId, OrphanState>,
    in_flight: HashSet<JobId>,
    checked_at: Uptime,
    /// Jobs whose run has panicked here, and when.
    failed_runs: HashMap<JobId, Uptime>,
}

impl TakeoverPlan {
    /// Updates the state of all orphans, and returns those that this VM reassigns now, longest due first.
    fn select_due(
        &mut self,
        orphans: Vec<OrphanedJob>,
        is_current: bool,
        now: Uptime,
    ) -> Vec<OrphanedJob> {
        let elapsed = now.saturating_sub(self.checked_at);
        // A VM that was suspended has not heard what happened meanwhile.
        let elapsed = if is_current {
            elapsed.min(2 * TAKEOVER_INTERVAL)
        } else {
            Duration::ZERO
        };
        self.checked_at = now;
        let mut former = std::mem::take(&mut self.orphans);
        let mut due = Vec::new();
        for orphan in orphans {
            let version = orphan.known.version;
            let former = former.remove(&orphan.job);
            let mut state = former
                .filter(|state| state.version == version)
                .map(|state| OrphanState {
                    waited: state.waited + elapsed,
                    ..state
                })
                .unwrap_or(OrphanState {
                    version,
                    waited: Duration::ZERO,
                    due_at: now,
                    failures: 0,
                });
            let rank = u32::try_from(orphan.rank).unwrap_or(u32::MAX);
            let turn_delay = FALLBACK_TAKEOVER_DELAY.saturating_mul(rank);
            let is_turn = rank == 0 || is_current && state.waited >= turn_delay;
            if !is_turn {
                state.due_at = state.due_at.max(now);
            }
            let due_at = state.due_at;
            let job = orphan.job.clone();
            if is_turn && due_at <= now && !self.in_flight.contains(&job) {
                due.push((due_at, orphan));
            }
            self.orphans.insert(job, state);
        }
        due.sort_by(|(due_at, orphan), (other_due_at, other)| {
            (due_at, &orphan.job).cmp(&(other_due_at, &other.job))
        });
        due.truncate(MAX_REASSIGNMENTS.saturating_sub(self.in_flight.len()));
        due.into_iter().map(|(_, orphan)| orphan).collect()
    }

    /// Postpones the next attempt after a failed one.
    fn record_failure(&mut self, job: &JobId, rank: usize, now: Uptime) {
        if let Some(state) = self.orphans.get_mut(job) {
            let factor = 2_u32.saturating_pow(state.failures);
            let delay = REASSIGNMENT_RETRY_DELAY.saturating_mul(factor);
            state.due_at = now
                + if rank == 0 {
                    delay.min(MAX_RETRY_DELAY)
                } else {
                    FALLBACK_TAKEOVER_DELAY
                };
            state.failures += 1;
        }
    }

    /// Whether the run of a job has panicked a short time ago.
    fn is_postponed(&self, job: &JobId, now: Uptime) -> bool {
        let failed_at = self.failed_runs.get(job);
        failed_at.is_some_and(|failed_at| now.saturating_sub(*failed_at) < FAILED_RUN_DELAY)
    }
}

/// A reassignment that waits for the store, until it is dropped.
struct Reassignment {
    inner: Rc<JobInner>,
    job: JobId,
}

impl Drop for Reassignment {
    fn drop(&mut self) {
        let mut plan = self.inner.takeovers.borrow_mut();
        if plan.in_flight.len() >= MAX_REASSIGNMENTS {
            self.inner.takeover_ended.notify_one();
        }
        plan.in_flight.remove(&self.job);
    }
}

impl JobInner {
    /// Periodically resumes jobs assigned to this VM and reassigns jobs whose owner is gone. Waits for neither. While the VM
    /// stops, it passes the jobs on that it is given.
    pub(crate) async fn take_over_jobs(self: Rc<Self>) {
        let started = self.parts.clock.uptime();
        loop {
            // The interval ends early if a reassignment had to wait for another one.
            let _ = timeout(TAKEOVER_INTERVAL, self.takeover_ended.notified()).await;
            let now = self.parts.clock.uptime();
            if !self.stopping.get() {
                self.return_jobs();
                self.resume_jobs(now);
            }
            if now.saturating_sub(started) >= TAKEOVER_DELAY {
                self.reassign_orphans(now);
            }
        }
    }

    /// The orphans that this VM reassigns while it stops: those that it is the first to reassign, and the jobs that it was
    /// given and does not run. It takes none itself, though others count it as live until it has stopped.
    fn orphans_at_stop(&self, orphans: Vec<OrphanedJob>) -> Vec<OrphanedJob> {
        let local_owner = &self.parts.local_owner;
        let catalog = self.jobs.borrow();
        let fleet = self.fleet.borrow();
        let given = catalog.resumable(local_owner, |job| self.is_running(job));
        let given = given.map(|(job, known)| (job.clone(), known.clone()));
        let first = orphans.into_iter().filter(|orphan| orphan.rank == 0);
        let first = first.map(|orphan| (orphan.job, orphan.known));
        given
            .chain(first)
            // The VMs of this domain may not get it; others take it over when this VM has stopped.
            .filter(|(_, known)| fleet.may_hold(&self.job_regions(&known.head)))
            .filter_map(|(job, known)| {
                let new_owner = fleet.successor_of(&job, local_owner)?.clone();
                Some(OrphanedJob {
                    job,
                    known,
                    rank: 0,
                    new_owner,
                })
            })
            .collect()
    }

    /// Ends the runs of jobs whose regions exclude this VM, so that a VM of an allowed region takes them over. The jobs that
    /// this VM has accepted stay.
    fn return_jobs(&self) {
        let fleet = self.fleet.borrow();
        let catalog = self.jobs.borrow();
        let accepted = self.accepted.borrow();
        let excluded = self.running_jobs().into_iter().filter(|job| {
            let known = catalog.get(job);
            let is_excluded =
                known.is_some_and(|known| !fleet.may_hold(&self.job_regions(&known.head)));
            is_excluded && !accepted.contains(job)
        });
        for job in excluded {
            if self.stop_run_of(&job) {
                tracing::info!(event = "job_returned", %job, "its regions exclude this VM");
            }
        }
    }

    fn resume_jobs(self: &Rc<Self>, now: Uptime) {
        let resumable: Vec<HeadUpdate> = {
            let catalog = self.jobs.borrow();
            let mut plan = self.takeovers.borrow_mut();
            plan.failed_runs
                .retain(|_, failed_at| now.saturating_sub(*failed_at) < FAILED_RUN_DELAY);
            let is_held = |job: &JobId| self.is_running(job) || plan.is_postponed(job, now);
            let resumable = catalog.resumable(&self.parts.local_owner, is_held);
            resumable
                .map(|(job, known)| (job.clone(), known.head.clone(), known.version))
                .collect()
        };
        for (job, head, version) in resumable {
            self.start_run(&job, head, version, None);
        }
    }

    /// Delays the next run of a job whose run has panicked.
    pub(crate) fn postpone_resumption(&self, job: &JobId) {
        let now = self.parts.clock.uptime();
        let mut plan = self.takeovers.borrow_mut();
        plan.failed_runs.insert(job.clone(), now);
    }

    fn reassign_orphans(self: &Rc<Self>, now: Uptime) {
        let local_owner = &self.parts.local_owner;
        let mut orphans = {
            let (jobs, fleet) = (self.jobs.borrow(), self.fleet.borrow());
            jobs.orphans(local_owner, &fleet, |head| self.job_regions(head))
        };
        if self.is_isolated() {
            // Released jobs have no owner that could still be there.
            orphans.retain(|orphan| orphan.known.head.owner.is_none());
        }
        if self.stopping.get() {
            orphans = self.orphans_at_stop(orphans);
        }
        let is_current = self.heads.read(|progress| progress.is_current(now));
        let due = self
            .takeovers
            .borrow_mut()
            .select_due(orphans, is_current, now);
        for OrphanedJob {
            job,
            known,
            rank,
            new_owner,
        } in due
        {
            self.takeovers.borrow_mut().in_flight.insert(job.clone());
            let reassignment = Reassignment {
                inner: Rc::clone(self),
                job,
            };
            actix_rt::spawn(async move {
                let Reassignment { inner, job } = &reassignment;
                inner.reassign(job, known, rank, new_owner).await;
            });
        }
    }

    /// Whether no other VM has been heard for a short time only.
    fn is_isolated(&self) -> bool {
        let now = self.parts.clock.uptime();
        let isolated_since = self.isolated_since.get();
        isolated_since.is_some_and(|since| now.saturating_sub(since) < ISOLATED_TAKEOVER_DELAY)
    }

    /// Assigns an orphaned job to `new_owner`, which may be this VM.
    async fn reassign(
        self: &Rc<Self>,
        job: &JobId,
        known: KnownJob,
        rank: usize,
        new_owner: JobOwner,
    ) {
        let from = known.head.owner.as_ref().map(|owner| owner.vm.clone());
        let to = new_owner.vm.clone();
        let mut reassigned = known.head;
        reassigned.owner = Some(new_owner);
        let store = &self.parts.store;
        let listed = reassigned.listed;
        let regions = self.job_regions(&reassigned);
        let write = store.write_head(job, known.version, &reassigned, listed, &[], &regions);
        match write.await {
            Ok(HeadOutcome::Applied(version)) => {
                tracing::info!(event = "job_reassigned", %job, from = from.as_deref(), %to, rank, listed, version);
                self.record_and_start(job, reassigned, version, None);
            }
            Ok(HeadOutcome::Conflict(Some((head, version)))) => self.record(job, head, version),
            Ok(HeadOutcome::Conflict(None)) => self.forget(job, RowVersion::MAX),
            Err(error) => {
                tracing::info!(event = "job_not_reassigned", %job, rank, %error);
                let now = self.parts.clock.uptime();
                self.takeovers.borrow_mut().record_failure(job, rank, now);
            }
        }
    }
}
