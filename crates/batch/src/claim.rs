//! Claiming chunks: selects jobs and chunks, and claims several chunks of a job in one write.

use crate::chunk::ChunkTask;
use crate::commit::drive_lease;
use crate::holders::HEARTBEAT_INTERVAL;
use crate::lease::{ChunkLease, LeaseInput, LeaseOutput, LeasePhase};
use crate::order::{choose_chunks, claim_size, order_jobs, slack_seconds};
use crate::rows::{ChunkRow, HolderRow, JobRow, JobState, OpenRow};
use crate::store::{Versioned, decode_row};
use crate::vm_state::{JobContext, MAX_HELD_CHUNKS, VmState};
use compact_str::CompactString;
use plantainmill_core::{JobId, Problem, ResultCode};
use plantainmill_provider::{CommitOutcome, RowEntry, StoreError};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Rows read by one range query, of open jobs in the order of due times or of holders.
const PAGE_ROWS: u32 = 1_000;
/// Jobs, from the front of the order, whose chunk rows are read in one round.
const JOBS_PER_ROUND: usize = 8;
/// Further jobs of a round, chosen at random, so that jobs which cannot make progress do not starve those behind them.
const RANDOM_JOBS_PER_ROUND: usize = 2;
/// On average, one round in this many reads the page after the last one, if that was full.
const NEXT_PAGE_ROUNDS: u64 = 4;
/// Maximum number of late jobs in the diagnostic dump.
const LATE_JOBS_SHOWN: usize = 100;
/// How long a job is skipped after nothing of it could be claimed.
const UNCLAIMABLE_BACKOFF: Duration = Duration::from_secs(10);

/// Chunk rows of a job by number.
type ChunkRows = BTreeMap<u32, Versioned<ChunkRow>>;

impl VmState {
    fn free_capacity(&self) -> usize {
        MAX_HELD_CHUNKS.saturating_sub(self.active_chunks.borrow().len())
    }

    /// Claims chunks of several jobs, up to the free capacity.
    pub(crate) async fn claim_round(self: Rc<Self>) -> Result<Vec<ChunkTask>, Problem> {
        let mut tasks = Vec::new();
        let jobs = self.ordered_jobs().await?;
        for job in self.select_jobs(jobs) {
            if self.stopping.get() || self.free_capacity() == 0 {
                break;
            }
            let claimed = match self.claim_job(&job).await {
                Ok(claimed) => claimed,
                Err(problem) if problem.code == ResultCode::RowInvalid => {
                    tracing::error!(job = %job.job, %problem, "chunks of a job not claimed: a row is malformed");
                    self.store.meters.malformed.add(1, &[]);
                    Vec::new()
                }
                // Chunks that were claimed before the store failed must run.
                Err(_) => break,
            };
            if claimed.is_empty() {
                let until = self.now() + UNCLAIMABLE_BACKOFF;
                self.skipped_until
                    .borrow_mut()
                    .insert(job.job.clone(), until);
            }
            tasks.extend(claimed);
        }
        Ok(tasks)
    }

    async fn ordered_jobs(&self) -> Result<Vec<OpenRow>, Problem> {
        let rows = self.read_open_jobs().await?;
        let now = self.now();
        let mut skipped_until = self.skipped_until.borrow_mut();
        skipped_until.retain(|_, until| *until > now);
        let jobs = rows.iter().filter_map(|row| {
            let decoded = decode_row::<OpenRow>(row);
            if decoded.is_err() {
                self.store.meters.malformed.add(1, &[]);
            }
            decoded.ok().map(|(_, job)| job)
        });
        let jobs: Vec<_> = jobs
            .filter(|job| !skipped_until.contains_key(&job.job))
            .collect();
        let config = self.store.config.load();
        let weight = |organisation: &str| {
            let spec = config.organisations.get(organisation);
            spec.map_or(1, |spec| spec.weight)
        };
        let fleet_items_per_s = self.items_per_s.get() * self.live_vms() as u64;
        let late_jobs = jobs
            .iter()
            .filter(|job| slack_seconds(job, self.store.now_unix(), fleet_items_per_s) < 0);
        let late_jobs = late_jobs.map(|job| job.job.clone()).take(LATE_JOBS_SHOWN);
        self.late_jobs.replace(late_jobs.collect());
        let shares = self.shares.borrow();
        Ok(order_jobs(
            jobs,
            self.store.now_unix(),
            fleet_items_per_s,
            &shares,
            weight,
        ))
    }

    /// Reads a page of open jobs: the first one, or in one of [`NEXT_PAGE_ROUNDS`] rounds the one after the last read.
    async fn read_open_jobs(&self) -> Result<Vec<RowEntry>, Problem> {
        let cursor = self.open_cursor.take();
        let next_page = self.random_in(0..NEXT_PAGE_ROUNDS) == 0;
        let start = cursor.filter(|_| next_page);
        let start = start.unwrap_or_else(|| CompactString::const_new("open/"));
        let rows = self.store.range(&start, "open0", PAGE_ROWS).await?;
        let is_full = rows.len() >= usize::try_from(PAGE_ROWS).unwrap_or(usize::MAX);
        let last = rows.last().filter(|_| is_full);
        self.open_cursor.set(last.map(|row| row.key.clone()));
        Ok(rows)
    }

    /// The first [`JOBS_PER_ROUND`] jobs in order and some random others.
    fn select_jobs(&self, mut jobs: Vec<OpenRow>) -> Vec<OpenRow> {
        let mut others = jobs.split_off(JOBS_PER_ROUND.min(jobs.len()));
        for _ in 0..RANDOM_JOBS_PER_ROUND.min(others.len()) {
            let index = self.random_in(0..others.len() as u64);
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
        let claimable = self.claimable_chunks(&open.job, &row, &chunks);
        let total = usize::try_from(row.chunks).unwrap_or(usize::MAX);
        let size = claim_size(total, self.live_vms(), self.free_capacity());
        let chosen = choose_chunks(&self.holder.vm, &open.job, claimable, size);
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

    /// Reads the holder rows if other VMs hold chunks of the job and the last read is not recent.
    async fn read_holders(&self, chunks: &ChunkRows) -> Result<(), Problem> {
        let held = chunks.values().map(|(_, row)| row);
        let others = held.filter(|row| row.held && !row.done && row.holder != self.holder);
        let others: BTreeSet<_> = others.map(|row| row.holder.vm.clone()).collect();
        let read_at = self.holders_read_at.get();
        let recent = read_at.is_some_and(|at| self.now() < at + HEARTBEAT_INTERVAL);
        if recent || others.is_empty() {
            return Ok(());
        }
        let rows = self.store.range("holder/", "holder0", PAGE_ROWS).await?;
        let now = self.now();
        let mut monitor = self.holder_monitor.borrow_mut();
        monitor.evict_stale(now);
        let mut missing = others;
        for row in &rows {
            let vm = CompactString::from(row.key.trim_start_matches("holder/"));
            let decoded = decode_row::<HolderRow>(row).ok().map(|(_, row)| row);
            monitor.observe(&vm, decoded, now);
            missing.remove(&vm);
        }
        for vm in &missing {
            monitor.observe(vm, None, now);
        }
        self.holders_read_at.set(Some(now));
        Ok(())
    }

    /// Chunks that have no holder, or whose holder has expired.
    fn claimable_chunks(&self, job: &JobId, row: &JobRow, chunks: &ChunkRows) -> Vec<u32> {
        let active_chunks = self.active_chunks.borrow();
        let numbers = 0..row.chunks;
        let idle = numbers.filter(|chunk| !active_chunks.contains(&(job.clone(), *chunk)));
        idle.filter(|chunk| {
            chunks
                .get(chunk)
                .is_none_or(|(_, row)| self.is_claimable(row))
        })
        .collect()
    }

    fn is_claimable(&self, row: &ChunkRow) -> bool {
        if row.done {
            return false;
        }
        // A chunk of this VM without a task was claimed by a write whose response was lost, or before a restart.
        if !row.held || row.holder.vm == self.holder.vm {
            return true;
        }
        let members = self.members.load();
        let monitor = self.holder_monitor.borrow();
        monitor.is_expired(&row.holder, &members, self.now())
    }

    /// Claims chunks in one write. A conflict is not retried: usually another VM is claiming chunks of the same job.
    async fn claim_chunks(
        self: &Rc<Self>,
        context: &Rc<JobContext>,
        revision: u64,
        chunks: &ChunkRows,
        chosen: &[u32],
    ) -> Result<Vec<ChunkTask>, Problem> {
        let mut write = self.conditional_job_write(&context.job, revision);
        let mut leases = Vec::new();
        for chunk in chosen {
            let observed = chunks.get(chunk).cloned();
            let mut lease = ChunkLease::new(self.holder.clone(), observed, revision);
            if let LeaseOutput::Write(claim) = lease.step(LeaseInput::Claim) {
                write =
                    VmState::add_chunk_row(write, &context.job, *chunk, claim.revision, &claim.row);
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
