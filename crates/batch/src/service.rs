//! The actor that runs chunks on one VM, and the handle that HTTP handlers use.

use crate::chunk::{ChunkEnd, ChunkTask};
use crate::holders::HEARTBEAT_INTERVAL;
use crate::meters::BatchMeters;
use crate::notice::BatchNotice;
use crate::rows::{HolderId, JobRow, cancel_key};
use crate::store::JobStore;
use crate::vm_state::VmState;
use actix::prelude::*;
use opentelemetry::metrics::Meter;
use plantainmill_config::ConfigView;
use plantainmill_core::{Clock, Incarnation, JobId, OrganisationId, Problem, Uptime, VmId};
use plantainmill_membership::{MemberState, MemberView};
use plantainmill_mesh::{Channel, FrameReceived, RegisterChannel, SendFrame};
use plantainmill_provider::{ObjectStore, TableStore, TableWrite};
use plantainmill_proxy::TargetCaller;
use plantainmill_schema::openai::BatchCreate;
use plantainmill_timer::{Subscribe, Tick};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval of the timer that checks for claims, cancels, heartbeats and sweeps that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// First delay after a claim round that claimed nothing; doubles up to [`IDLE_BACKOFF_MAX`].
const IDLE_BACKOFF_INITIAL: Duration = Duration::from_secs(2);
/// Longest delay between claim rounds of an idle VM, without jitter.
const IDLE_BACKOFF_MAX: Duration = Duration::from_secs(30);
/// Upper bound of the random delay between the notice of a new job and the claim, so that VMs do not claim at once.
const NOTICE_JITTER_MS: u64 = 1_000;
/// Time between reads of the log of cancelled jobs on a VM that holds chunks. Items must stop within 3 s of a cancel.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(1_500);
/// How far before the last poll the log of cancelled jobs is read, to allow for clock differences between VMs.
const CANCEL_LOOKBACK_S: u64 = 600;
/// Maximum number of rows of the log of cancelled jobs read by one poll.
const CANCEL_PAGE_ROWS: u32 = 1_000;
/// Mean time between sweeps of expired files and jobs on one VM.
const SWEEP_INTERVAL_MEAN_MS: u64 = 300_000;
/// Interval at which a stopping service checks whether its tasks have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Dependencies of a [`BatchService`].
pub struct BatchParts {
    /// VM that the service runs on; the owner of its leases.
    pub vm: VmId,
    /// Incarnation of this VM; leases of earlier incarnations are not its own.
    pub incarnation: Incarnation,
    /// View of the current configuration.
    pub config: ConfigView,
    /// Membership view, without this VM.
    pub members: MemberView,
    /// Sends frames to other VMs.
    pub mesh_send: Recipient<SendFrame>,
    /// Registers the service as the receiver of the mesh channel `Batch`.
    pub mesh_register: Recipient<RegisterChannel>,
    /// Timer service that the service takes its ticks from.
    pub timer: Recipient<Subscribe>,
    /// Table of job, chunk, file and holder rows.
    pub table: Arc<dyn TableStore>,
    /// Object store of uploads, chunk inputs and result segments.
    pub objects: Arc<dyn ObjectStore>,
    /// Sends the calls of items to targets.
    pub caller: Rc<dyn TargetCaller>,
    /// Source of uptime and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Meter that the counters are registered with.
    pub meter: Meter,
}

/// The actor that claims and runs chunks of batch jobs on one VM.
pub struct BatchService {
    state: Rc<VmState>,
    mesh_send: Recipient<SendFrame>,
    mesh_register: Recipient<RegisterChannel>,
    timer: Recipient<Subscribe>,
    next_claim_at: Uptime,
    idle_backoff: Duration,
    next_cancel_poll: Uptime,
    /// Unix seconds up to which the log of cancelled jobs has been read.
    cancels_read_until: u64,
    polling_cancels: bool,
    next_sweep: Uptime,
    sweeping: bool,
}

/// Stops the service: no new items start, finished items are committed and all chunks are released. The response comes
/// when this is done or `limit` has passed, and is the number of chunks that were not released.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "usize")]
pub struct StopBatch {
    /// Longest wait for running items and pending commits.
    pub limit: Duration,
}

/// Ends the actor at once and drops its tasks; used when the limit of [`StopBatch`] has passed. Other VMs take over the
/// chunks once their leases expire.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct HaltBatch;

/// Requests the state of the service as JSON for the diagnostic dump.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "serde_json::Value")]
pub struct DumpBatch;

/// A notice about an operation on this VM; it is handled here and broadcast to the other VMs.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
struct LocalNotice(BatchNotice);

/// Operations on files and jobs for HTTP handlers; can be cloned and used on any thread.
#[derive(Clone)]
pub struct BatchHandle {
    /// Operations that other VMs need no notice of.
    pub store: JobStore,
    service: Addr<BatchService>,
}

impl BatchHandle {
    /// Creates a job and notifies all VMs; see [`JobStore::create_job`].
    ///
    /// # Errors
    ///
    /// The errors of [`JobStore::create_job`].
    pub async fn create(
        &self,
        organisation: &OrganisationId,
        body: BatchCreate,
        idempotency_key: Option<&str>,
    ) -> Result<(JobId, JobRow), Problem> {
        let created = self
            .store
            .create_job(organisation, body, idempotency_key)
            .await?;
        let job = created.0.clone();
        self.service
            .do_send(LocalNotice(BatchNotice::Accepted { job }));
        Ok(created)
    }

    /// Cancels a job and notifies all VMs; see [`JobStore::cancel_job`].
    ///
    /// # Errors
    ///
    /// The errors of [`JobStore::cancel_job`].
    pub async fn cancel(&self, organisation: &str, job: &str) -> Result<JobRow, Problem> {
        let row = self.store.cancel_job(organisation, job).await?;
        let job = JobId::from(job);
        self.service
            .do_send(LocalNotice(BatchNotice::Cancelled { job }));
        Ok(row)
    }

    /// Address of the actor, for [`StopBatch`], [`HaltBatch`] and [`DumpBatch`].
    #[must_use]
    pub fn service(&self) -> &Addr<BatchService> {
        &self.service
    }
}

impl BatchService {
    /// Starts the service on the current arbiter.
    #[must_use]
    pub fn launch(parts: BatchParts) -> BatchHandle {
        let meters = BatchMeters::new(&parts.meter);
        let store = JobStore::new(
            parts.table,
            parts.objects,
            parts.config,
            parts.clock,
            meters,
        );
        let holder = HolderId {
            vm: parts.vm,
            incarnation: parts.incarnation,
        };
        let state = VmState::new(store.clone(), holder, parts.members, parts.caller);
        let now = state.now();
        let next_sweep = now + sweep_delay(&state);
        let service = BatchService {
            state: Rc::new(state),
            mesh_send: parts.mesh_send,
            mesh_register: parts.mesh_register,
            timer: parts.timer,
            next_claim_at: now,
            idle_backoff: IDLE_BACKOFF_INITIAL,
            next_cancel_poll: now,
            cancels_read_until: store.now_unix(),
            polling_cancels: false,
            next_sweep,
            sweeping: false,
        };
        BatchHandle {
            store,
            service: service.start(),
        }
    }

    fn poll(&mut self, now: Uptime, context: &mut Context<Self>) {
        self.state.prune_unused();
        let held = self.state.active_chunks.borrow().len();
        if !self.state.claiming.get() && self.state.should_claim() && now >= self.next_claim_at {
            self.claim(context);
        }
        if held == 0 {
            // A claim is conditional on the revision of the job row, so cancels before it need not be read.
            self.cancels_read_until = self.state.store.now_unix();
        }
        if held > 0 && !self.polling_cancels && now >= self.next_cancel_poll {
            self.poll_cancelled(context);
        }
        if held > 0 && now >= self.state.last_heartbeat_at.get() + HEARTBEAT_INTERVAL {
            self.write_heartbeat(context);
        }
        if !self.sweeping && now >= self.next_sweep {
            self.sweep(context);
        }
    }

    fn claim(&mut self, context: &mut Context<Self>) {
        self.state.claiming.set(true);
        let round = Rc::clone(&self.state).claim_round();
        let round = round.into_actor(self);
        context.spawn(round.map(|claimed, service, context| {
            service.state.claiming.set(false);
            let tasks = claimed.unwrap_or_default();
            service.schedule_claim(!tasks.is_empty());
            for task in tasks {
                service.start_task(task, context);
            }
        }));
    }

    /// Schedules the next claim round: at once if the last one claimed chunks, else after a backoff with jitter.
    fn schedule_claim(&mut self, found: bool) {
        let now = self.state.now();
        if found {
            self.idle_backoff = IDLE_BACKOFF_INITIAL;
            self.next_claim_at = now;
            return;
        }
        let millis = u64::try_from(self.idle_backoff.as_millis()).unwrap_or(u64::MAX);
        let jitter = Duration::from_millis(self.state.random_in(0..millis / 2 + 1));
        self.next_claim_at = now + self.idle_backoff + jitter;
        self.idle_backoff = (self.idle_backoff * 2).min(IDLE_BACKOFF_MAX);
    }

    fn start_task(&mut self, task: ChunkTask, context: &mut Context<Self>) {
        let key = task.key();
        if self.state.stopping.get() {
            self.state.release_all();
        }
        let run = task.run().into_actor(self);
        context.spawn(run.map(move |end, service, context| {
            service.record_end(end, &key.0);
            if end == ChunkEnd::Done && !service.state.holds_job(&key.0) {
                service.try_finish_job(key.0.clone(), context);
            }
            let may_claim = !service.state.claiming.get() && !service.state.stopping.get();
            if may_claim && service.state.should_claim() {
                service.claim(context);
            }
        }));
    }

    /// Marks the job as completed if all of its chunks are done.
    fn try_finish_job(&mut self, job: JobId, context: &mut Context<Self>) {
        let store = self.state.store.clone();
        let finish = async move {
            let Ok(Some((revision, row))) = store.read_job(&job).await else {
                return;
            };
            if let Ok(chunks) = store.read_chunks(&job).await {
                // If this fails, a later claim round of any VM finishes the job.
                let _ = store.finish_job(&job, revision, &row, &chunks).await;
            }
        };
        context.spawn(finish.into_actor(self));
    }

    fn record_end(&mut self, end: ChunkEnd, job: &JobId) {
        let state = &self.state;
        let meters = &state.store.meters;
        match end {
            ChunkEnd::Done => {
                // The job may be complete now.
                state.skipped_until.borrow_mut().remove(job);
                state.stall_backoffs.borrow_mut().remove(job);
            }
            ChunkEnd::Lost => meters.chunks_lost.add(1, &[]),
            ChunkEnd::Released => meters.chunks_released.add(1, &[]),
            ChunkEnd::Stalled => {
                meters.chunks_released.add(1, &[]);
                state.back_off_stalled(job);
            }
            ChunkEnd::Stopped => {}
        }
    }

    fn poll_cancelled(&mut self, context: &mut Context<Self>) {
        self.polling_cancels = true;
        let state = Rc::clone(&self.state);
        let since = self.cancels_read_until.saturating_sub(CANCEL_LOOKBACK_S);
        let poll = async move {
            let now = state.store.now_unix();
            let start = cancel_key(since, "");
            let rows = state
                .store
                .table
                .range(&start, "cancel0", CANCEL_PAGE_ROWS)
                .await;
            let rows = rows.ok()?;
            for row in &rows {
                let job = row.key.rsplit('/').next().unwrap_or_default();
                state.cancel(job);
            }
            Some(now)
        };
        context.spawn(poll.into_actor(self).map(|read_until, service, _| {
            service.polling_cancels = false;
            service.cancels_read_until = read_until.unwrap_or(service.cancels_read_until);
            service.next_cancel_poll = service.state.now() + CANCEL_POLL_INTERVAL;
        }));
    }

    fn write_heartbeat(&mut self, context: &mut Context<Self>) {
        let state = Rc::clone(&self.state);
        let write = state.add_heartbeat(TableWrite::new());
        let heartbeat = async move {
            if state.store.table.commit(write).await.is_err() {
                state.store.meters.store_retries.add(1, &[]);
            }
        };
        context.spawn(heartbeat.into_actor(self));
    }

    fn sweep(&mut self, context: &mut Context<Self>) {
        self.sweeping = true;
        let store = self.state.store.clone();
        let sweep = async move { store.sweep().await };
        context.spawn(sweep.into_actor(self).map(|_, service, _| {
            service.sweeping = false;
            service.next_sweep = service.state.now() + sweep_delay(&service.state);
        }));
    }

    fn handle_notice(&mut self, notice: &BatchNotice) {
        match notice {
            BatchNotice::Accepted { .. } => {
                let jitter = self.state.random_in(0..NOTICE_JITTER_MS);
                let claim_at = self.state.now() + Duration::from_millis(jitter);
                self.next_claim_at = self.next_claim_at.min(claim_at);
                self.idle_backoff = IDLE_BACKOFF_INITIAL;
            }
            BatchNotice::Cancelled { job } => self.state.cancel(job),
        }
    }

    fn broadcast(&self, notice: &BatchNotice) {
        let body = notice.encode();
        let members = self.state.members.load();
        let reachable = members
            .iter()
            .filter(|member| member.state != MemberState::Dead);
        for member in reachable {
            self.mesh_send.do_send(SendFrame {
                to: member.peer.id.clone(),
                channel: Channel::Batch,
                body: body.clone(),
            });
        }
    }
}

/// Random delay before the next sweep, so that VMs rarely sweep at the same time.
fn sweep_delay(state: &VmState) -> Duration {
    Duration::from_millis(
        state.random_in(SWEEP_INTERVAL_MEAN_MS / 2..SWEEP_INTERVAL_MEAN_MS * 3 / 2),
    )
}

impl Actor for BatchService {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        let recipient = context.address().recipient();
        self.timer.do_send(Subscribe {
            interval: TICK_INTERVAL,
            recipient,
        });
        self.mesh_register.do_send(RegisterChannel {
            channel: Channel::Batch,
            recipient: context.address().recipient(),
        });
    }
}

impl Handler<Tick> for BatchService {
    type Result = ();

    fn handle(&mut self, tick: Tick, context: &mut Context<Self>) {
        if self.state.stopping.get() {
            return;
        }
        self.poll(tick.uptime, context);
    }
}

impl Handler<FrameReceived> for BatchService {
    type Result = ();

    fn handle(&mut self, frame: FrameReceived, _: &mut Context<Self>) {
        match BatchNotice::decode(&frame.body) {
            Some(notice) => self.handle_notice(&notice),
            None => self.state.store.meters.malformed.add(1, &[]),
        }
    }
}

impl Handler<LocalNotice> for BatchService {
    type Result = ();

    fn handle(&mut self, notice: LocalNotice, _: &mut Context<Self>) {
        self.handle_notice(&notice.0);
        self.broadcast(&notice.0);
    }
}

impl Handler<StopBatch> for BatchService {
    type Result = ResponseFuture<usize>;

    fn handle(&mut self, stop: StopBatch, _: &mut Context<Self>) -> ResponseFuture<usize> {
        self.state.stopping.set(true);
        self.state.release_all();
        let state = Rc::clone(&self.state);
        Box::pin(async move {
            let end = state.now() + stop.limit;
            let is_busy = || state.claiming.get() || !state.active_chunks.borrow().is_empty();
            while is_busy() && state.now() < end {
                actix_rt::time::sleep(STOP_POLL_INTERVAL).await;
            }
            state.active_chunks.borrow().len()
        })
    }
}

impl Handler<HaltBatch> for BatchService {
    type Result = ();

    fn handle(&mut self, _: HaltBatch, context: &mut Context<Self>) {
        context.terminate();
    }
}

impl Handler<DumpBatch> for BatchService {
    type Result = MessageResult<DumpBatch>;

    fn handle(&mut self, _: DumpBatch, _: &mut Context<Self>) -> Self::Result {
        let active_chunks = self.state.active_chunks.borrow();
        let held: Vec<_> = active_chunks
            .iter()
            .map(|(job, chunk)| format!("{job}/{chunk}"))
            .collect();
        MessageResult(serde_json::json!({
            "held": held,
            "unsaved_bytes": self.state.uncommitted_bytes.get(),
            "items_per_s": self.state.items_per_s.get(),
            "late_jobs": *self.state.late_jobs.borrow(),
            "skipped_jobs": self.state.skipped_until.borrow().len(),
            "stopping": self.state.stopping.get(),
        }))
    }
}
