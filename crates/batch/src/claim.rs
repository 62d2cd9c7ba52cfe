//! Claiming chunks: which jobs, which chunks, and one write for several of them.

use crate::chunk::ChunkTask;
use crate::commit::drive_lease;
use crate::holders::BEAT_INTERVAL;
use crate::lease::{ChunkLease, LeaseInput, LeaseOutput, LeasePhase};
use crate::order::{choose_chunks, claim_size, order_jobs, slack_seconds};
use crate::rows::{ChunkRow, HolderRow, JobRow, JobState, OpenRow};
use crate::store::{Versioned, decode_row};
use crate::watch::{CHUNKS_HELD, JobContext, VmState};
use compact_str::CompactString;
use plantainmill_core::{JobId, Problem, ResultCode};
use plantainmill_provider::{CommitOutcome, RowEntry, StoreError};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Open jobs read at once, those with the earliest due times.
const OPEN_LIMIT: u32 = 1_000;
/// Jobs whose chunk rows are read in one round, in order.
const JOBS_PER_ROUND: usize = 8;
/// Further jobs of a round, chosen at random, so that many jobs that cannot go on hold back none behind them.
const RANDOM_JOBS: usize = 2;
/// One round in this many starts after the page of open jobs that was read last, if that was full.
const NEXT_PAGE_ROUNDS: u64 = 4;
/// Late jobs shown in the dump.
const LATE_SHOWN: usize = 100;
/// How long a job with nothing to claim is not looked at again.
const SKIP_TIME: Duration = Duration::from_secs(10);

/// Chunk rows of a job by number.
type ChunkRows = BTreeMap<u32, Versioned<ChunkRow>>;

impl VmState {
    fn room(&self) -> usize {
        CHUNKS_HELD.saturating_sub(self.active.borrow().len())
    }

    /// Claims as many chunks as there is room for.
    pub(crate) async fn claim_round(self: Rc<Self>) -> Result<Vec<ChunkTask>, Problem> {
        let mut tasks = Vec::new();
        let jobs = self.ordered_jobs().await?;
        for job in self.pick_jobs(jobs) {
            if self.stopping.get() || self.room() == 0 {
                break;
            }
            let claimed = match self.claim_job(&job).await {
                Ok(claimed) => claimed,
                Err(problem) if problem.code == ResultCode::RowInvalid => {
                    tracing::error!(job = %job.job, %problem, "a job cannot be claimed");
                    self.store.meters.malformed.add(1, &[]);
                    Vec::new()
                }
                // What was claimed before the store failed has to run.
                Err(_) => break,
            };
            if claimed.is_empty() {
                let until = self.now() + SKIP_TIME;
                self.skipped.borrow_mut().insert(job.job.clone(), until);
            }
            tasks.extend(claimed);
        }
        Ok(tasks)
    }

    async fn ordered_jobs(&self) -> Result<Vec<OpenRow>, Problem> {
        let rows = self.read_open().await?;
        let now = self.now();
        let mut skipped = self.skipped.borrow_mut();
        skipped.retain(|_, until| *until > now);
        let jobs = rows.iter().filter_map(|row| {
            let decoded = decode_row::<OpenRow>(row);
            if decoded.is_err() {
                self.store.meters.malformed.add(1, &[]);
            }
            decoded.ok().map(|(_, job)| job)
        });
        let jobs: Vec<_> = jobs.filter(|job| !skipped.contains_key(&job.job)).collect();
        let config = self.store.config.load();
        let weight = |organisation: &str| {
            let spec = config.organisations.get(organisation);
            spec.map_or(1, |spec| spec.weight)
        };
        let pace = self.pace.get() * self.live_vms() as u64;
        let late = jobs
            .iter()
            .filter(|job| slack_seconds(job, self.store.now_unix(), pace) < 0);
        let late = late.map(|job| job.job.clone()).take(LATE_SHOWN);
        self.late.replace(late.collect());
        let shares = self.shares.borrow();
        Ok(order_jobs(
            jobs,
            self.store.now_unix(),
            pace,
            &shares,
            weight,
        ))
    }

    /// Reads a page of open jobs: mostly the first one, now and then the next.
    async fn read_open(&self) -> Result<Vec<RowEntry>, Problem> {
        let cursor = self.open_cursor.take();
        let next_page = self.draw(0..NEXT_PAGE_ROUNDS) == 0;
        let start = cursor.filter(|_| next_page);
        let start = start.unwrap_or_else(|| CompactString::const_new("open/"));
        let rows = self.store.range(&start, "open0", OPEN_LIMIT).await?;
        let is_full = rows.len() >= usize::try_from(OPEN_LIMIT).unwrap_or(usize::MAX);
        let last = rows.last().filter(|_| is_full);
        self.open_cursor.set(last.map(|row| row.key.clone()));
        Ok(rows)
    }

    /// The first jobs in order and a few others.
    fn pick_jobs(&self, mut jobs: Vec<OpenRow>) -> Vec<OpenRow> {
        let mut others = jobs.split_off(JOBS_PER_ROUND.min(jobs.len()));
        for _ in 0..RANDOM_JOBS.min(others.len()) {
            let index = self.draw(0..others.len() as u64);
            jobs.push(others.swap_remove(usize::try_from(index).unwrap_or(0)));
        }
        jobs
    }

    async fn claim_job(self: &Rc<Self>, open: &OpenRow) -> Result<Vec<ChunkTask>, Problem> {
        let Some((revision, row)) = self.store.read_job(&open.job).await? else {
            return Ok(Vec::new());
        };
        if row.state != JobState::Running {
            return Ok(Vec::new());
        }
        let chunks = self.store.read_chunks(&open.job).await?;
        if self
            .store
            .finish_job(&open.job, revision, &row, &chunks)
            .await?
        {
            return Ok(Vec::new());
        }
        let chunks: ChunkRows = chunks.into_iter().collect();
        self.read_holders(&chunks).await?;
        let free = self.free_chunks(&open.job, &row, &chunks);
        let total = usize::try_from(row.chunks).unwrap_or(usize::MAX);
        let size = claim_size(total, self.live_vms(), self.room());
        let chosen = choose_chunks(&self.holder.vm, &open.job, free, size);
        if chosen.is_empty() {
            return Ok(Vec::new());
        }
        let context = Rc::new(JobContext {
            job: open.job.clone(),
            row,
        });
        self.claim_chunks(&context, revision, &chunks, &chosen)
            .await
    }

    /// Reads the rows of holders when there are chunks of other holders.
    async fn read_holders(&self, chunks: &ChunkRows) -> Result<(), Problem> {
        let held = chunks.values().map(|(_, row)| row);
        let others = held.filter(|row| row.held && !row.done && row.holder != self.holder);
        let others: BTreeSet<_> = others.map(|row| row.holder.vm.clone()).collect();
        let read_at = self.holders_read_at.get();
        let recent = read_at.is_some_and(|at| self.now() < at + BEAT_INTERVAL);
        if recent || others.is_empty() {
            return Ok(());
        }
        let rows = self.store.range("holder/", "holder0", OPEN_LIMIT).await?;
        let now = self.now();
        let mut watch = self.holders.borrow_mut();
        watch.forget_old(now);
        let mut missing = others;
        for row in &rows {
            let vm = CompactString::from(row.key.trim_start_matches("holder/"));
            let decoded = decode_row::<HolderRow>(row).ok().map(|(_, row)| row);
            watch.observe(&vm, decoded, now);
            missing.remove(&vm);
        }
        for vm in &missing {
            watch.observe(vm, None, now);
        }
        self.holders_read_at.set(Some(now));
        Ok(())
    }

    /// Chunks that nobody holds, or whose holder is gone.
    fn free_chunks(&self, job: &JobId, row: &JobRow, chunks: &ChunkRows) -> Vec<u32> {
        let active = self.active.borrow();
        let numbers = 0..row.chunks;
        let idle = numbers.filter(|chunk| !active.contains(&(job.clone(), *chunk)));
        idle.filter(|chunk| chunks.get(chunk).is_none_or(|(_, row)| self.is_free(row)))
            .collect()
    }

    fn is_free(&self, row: &ChunkRow) -> bool {
        if row.done {
            return false;
        }
        // A chunk of this VM without a task was claimed by a write whose answer was lost, or before a restart.
        if !row.held || row.holder.vm == self.holder.vm {
            return true;
        }
        let members = self.members.load();
        let watch = self.holders.borrow();
        watch.is_gone(&row.holder, &members, self.now())
    }

    /// Claims chunks by one write; a conflict gives up, since another VM is at the same job.
    async fn claim_chunks(
        self: &Rc<Self>,
        context: &Rc<JobContext>,
        revision: u64,
        chunks: &ChunkRows,
        chosen: &[u32],
    ) -> Result<Vec<ChunkTask>, Problem> {
        let mut write = self.job_write(&context.job, revision);
        let mut leases = Vec::new();
        for chunk in chosen {
            let seen = chunks.get(chunk).cloned();
            let mut lease = ChunkLease::new(self.holder.clone(), seen, revision);
            if let LeaseOutput::Write(claim) = lease.step(LeaseInput::Claim) {
                write =
                    VmState::chunk_write(write, &context.job, *chunk, claim.revision, &claim.row);
                leases.push((*chunk, lease));
            }
        }
        let outcome = self.store.table.commit(write).await;
        let mut held = Vec::new();
        match outcome {
            Ok(CommitOutcome::Committed { revision }) => {
                for (chunk, mut lease) in leases {
                    lease.step(LeaseInput::Committed { revision });
                    held.push((chunk, lease));
                }
            }
            Ok(CommitOutcome::Conflict { .. }) => self.store.meters.claim_conflicts.add(1, &[]),
            Err(StoreError::Unknown(_)) => {
                for (chunk, mut lease) in leases {
                    let output = lease.step(LeaseInput::Unknown);
                    let driven = drive_lease(self, &context.job, chunk, &mut lease, output).await;
                    if driven.is_ok() {
                        held.push((chunk, lease));
                    }
                }
            }
            Err(error) => return Err(crate::store::store_problem(&error)),
        }
        Ok(self.start_tasks(context, chunks, held))
    }

    fn start_tasks(
        self: &Rc<Self>,
        context: &Rc<JobContext>,
        chunks: &ChunkRows,
        held: Vec<(u32, ChunkLease)>,
    ) -> Vec<ChunkTask> {
        let held: Vec<_> = held
            .into_iter()
            .filter(|(_, lease)| lease.phase() == LeasePhase::Held)
            .collect();
        let meters = &self.store.meters;
        meters.chunks_claimed.add(held.len() as u64, &[]);
        let taken_over =
            |(chunk, _): &&(u32, ChunkLease)| chunks.get(chunk).is_some_and(|(_, row)| row.held);
        let taken_over = held.iter().filter(taken_over).count();
        meters.chunks_taken_over.add(taken_over as u64, &[]);
        let organisation = &context.row.organisation;
        self.shares
            .borrow_mut()
            .add(organisation, held.len() as u64);
        held.into_iter()
            .map(|(chunk, lease)| {
                let signal = self.subscribe(&context.job);
                ChunkTask::new(Rc::clone(self), Rc::clone(context), chunk, lease, signal)
            })
            .collect()
    }
}
