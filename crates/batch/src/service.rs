//! The actor that runs chunks on one VM, and the handle that HTTP handlers use.

use crate::chunk::{ChunkEnd, ChunkTask};
use crate::holders::BEAT_INTERVAL;
use crate::meters::BatchMeters;
use crate::notice::BatchNotice;
use crate::rows::{HolderId, JobRow, cancel_key};
use crate::store::JobStore;
use crate::watch::VmState;
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

/// Interval of the actor's timer.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// First wait after a claim round that found nothing.
const IDLE_WAIT_FIRST: Duration = Duration::from_secs(2);
/// Longest wait between claim rounds of an idle VM.
const IDLE_WAIT_LIMIT: Duration = Duration::from_secs(30);
/// VMs that hear of a new job at once claim within this time, not all in the same moment.
const NOTICE_SPREAD_MS: u64 = 1_000;
/// Time between reads of the log of cancelled jobs on a VM that holds chunks. The bar for cancel is 3 s.
const CANCEL_POLL: Duration = Duration::from_millis(1_500);
/// How far before the last poll the log of cancelled jobs is read, in seconds; covers clocks that differ between VMs.
const CANCEL_LOOKBACK_S: u64 = 600;
/// Most cancelled jobs read at once.
const CANCEL_LIMIT: u32 = 1_000;
/// Mean time between sweeps of expired things, in milliseconds.
const SWEEP_MEAN_MS: u64 = 300_000;
/// How often a stopping service looks whether its tasks have ended.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// What a [`BatchService`] is made of.
pub struct BatchParts {
    /// This VM.
    pub vm: VmId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Configuration in force.
    pub config: ConfigView,
    /// Other VMs.
    pub members: MemberView,
    /// Sends frames to other VMs.
    pub mesh_send: Recipient<SendFrame>,
    /// Registers the channel `Batch`.
    pub mesh_register: Recipient<RegisterChannel>,
    /// Timer service.
    pub timer: Recipient<Subscribe>,
    /// Table.
    pub table: Arc<dyn TableStore>,
    /// Objects.
    pub objects: Arc<dyn ObjectStore>,
    /// Runs items.
    pub caller: Rc<dyn TargetCaller>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Where counters are registered.
    pub meter: Meter,
}

/// The batch service of one VM.
pub struct BatchService {
    state: Rc<VmState>,
    mesh_send: Recipient<SendFrame>,
    mesh_register: Recipient<RegisterChannel>,
    timer: Recipient<Subscribe>,
    next_round: Uptime,
    idle_wait: Duration,
    next_cancel_poll: Uptime,
    /// Unix seconds up to which the log of cancelled jobs is known.
    cancels_known: u64,
    polling: bool,
    next_sweep: Uptime,
    sweeping: bool,
}

/// Starts nothing more, commits what is done and releases all chunks. Answered when that is done or `limit` has
/// passed, with the number of chunks that were not released.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "usize")]
pub struct StopBatch {
    /// Longest wait for running items and the store.
    pub limit: Duration,
}

/// Ends the actor at once and drops its tasks, when the limit of a stop has passed. Other VMs resume the chunks.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct HaltBatch;

/// State for the dump.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "serde_json::Value")]
pub struct DumpBatch;

/// A notice of an operation that was done on this VM.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
struct LocalNotice(BatchNotice);

/// The operations on files and jobs, for HTTP handlers on any thread.
#[derive(Clone)]
pub struct BatchHandle {
    /// Operations that need no other VM to hear of them.
    pub store: JobStore,
    service: Addr<BatchService>,
}

impl BatchHandle {
    /// Creates a job; see [`JobStore::create_job`].
    ///
    /// # Errors
    ///
    /// As [`JobStore::create_job`].
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

    /// Cancels a job; see [`JobStore::cancel_job`].
    ///
    /// # Errors
    ///
    /// As [`JobStore::cancel_job`].
    pub async fn cancel(&self, organisation: &str, job: &str) -> Result<JobRow, Problem> {
        let row = self.store.cancel_job(organisation, job).await?;
        let job = JobId::from(job);
        self.service
            .do_send(LocalNotice(BatchNotice::Cancelled { job }));
        Ok(row)
    }

    /// The actor, for [`StopBatch`] and [`DumpBatch`].
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
            next_round: now,
            idle_wait: IDLE_WAIT_FIRST,
            next_cancel_poll: now,
            cancels_known: store.now_unix(),
            polling: false,
            next_sweep,
            sweeping: false,
        };
        BatchHandle {
            store,
            service: service.start(),
        }
    }

    fn poll(&mut self, now: Uptime, context: &mut Context<Self>) {
        self.state.drop_unused();
        let held = self.state.active.borrow().len();
        if !self.state.claiming.get() && self.state.wants_chunks() && now >= self.next_round {
            self.claim(context);
        }
        if held == 0 {
            // A claim expects the job row's revision, so earlier cancels need not be known.
            self.cancels_known = self.state.store.now_unix();
        }
        if held > 0 && !self.polling && now >= self.next_cancel_poll {
            self.poll_cancelled(context);
        }
        if held > 0 && now >= self.state.wrote_at.get() + BEAT_INTERVAL {
            self.beat(context);
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
            service.plan_round(!tasks.is_empty());
            for task in tasks {
                service.start_task(task, context);
            }
        }));
    }

    /// Sets the time of the next claim round.
    fn plan_round(&mut self, found: bool) {
        let now = self.state.now();
        if found {
            self.idle_wait = IDLE_WAIT_FIRST;
            self.next_round = now;
            return;
        }
        let millis = u64::try_from(self.idle_wait.as_millis()).unwrap_or(u64::MAX);
        let jitter = Duration::from_millis(self.state.draw(0..millis / 2 + 1));
        self.next_round = now + self.idle_wait + jitter;
        self.idle_wait = (self.idle_wait * 2).min(IDLE_WAIT_LIMIT);
    }

    fn start_task(&mut self, task: ChunkTask, context: &mut Context<Self>) {
        let key = task.key();
        if self.state.stopping.get() {
            self.state.release_all();
        }
        let run = task.run().into_actor(self);
        context.spawn(run.map(move |end, service, context| {
            service.count_end(end, &key.0);
            if end == ChunkEnd::Done && !service.state.holds_job(&key.0) {
                service.finish(key.0.clone(), context);
            }
            let may_claim = !service.state.claiming.get() && !service.state.stopping.get();
            if may_claim && service.state.wants_chunks() {
                service.claim(context);
            }
        }));
    }

    /// Ends the job if this VM's last chunk of it was the last one of all.
    fn finish(&mut self, job: JobId, context: &mut Context<Self>) {
        let store = self.state.store.clone();
        let finish = async move {
            let Ok(Some((revision, row))) = store.read_job(&job).await else {
                return;
            };
            if let Ok(chunks) = store.read_chunks(&job).await {
                // What fails here is done by a claim round of any VM.
                let _ = store.finish_job(&job, revision, &row, &chunks).await;
            }
        };
        context.spawn(finish.into_actor(self));
    }

    fn count_end(&mut self, end: ChunkEnd, job: &JobId) {
        let state = &self.state;
        let meters = &state.store.meters;
        match end {
            ChunkEnd::Done => {
                // The job may be complete now.
                state.skipped.borrow_mut().remove(job);
                state.stalls.borrow_mut().remove(job);
            }
            ChunkEnd::Lost => meters.chunks_lost.add(1, &[]),
            ChunkEnd::Released => meters.chunks_released.add(1, &[]),
            ChunkEnd::Stalled => {
                meters.chunks_released.add(1, &[]);
                state.skip_stalled(job);
            }
            ChunkEnd::Stopped => {}
        }
    }

    fn poll_cancelled(&mut self, context: &mut Context<Self>) {
        self.polling = true;
        let state = Rc::clone(&self.state);
        let since = self.cancels_known.saturating_sub(CANCEL_LOOKBACK_S);
        let poll = async move {
            let now = state.store.now_unix();
            let start = cancel_key(since, "");
            let rows = state
                .store
                .table
                .range(&start, "cancel0", CANCEL_LIMIT)
                .await;
            let rows = rows.ok()?;
            for row in &rows {
                let job = row.key.rsplit('/').next().unwrap_or_default();
                state.cancel(job);
            }
            Some(now)
        };
        context.spawn(poll.into_actor(self).map(|known, service, _| {
            service.polling = false;
            service.cancels_known = known.unwrap_or(service.cancels_known);
            service.next_cancel_poll = service.state.now() + CANCEL_POLL;
        }));
    }

    fn beat(&mut self, context: &mut Context<Self>) {
        let state = Rc::clone(&self.state);
        let write = state.add_beat(TableWrite::new());
        let beat = async move {
            if state.store.table.commit(write).await.is_err() {
                state.store.meters.store_retries.add(1, &[]);
            }
        };
        context.spawn(beat.into_actor(self));
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
                let spread = self.state.draw(0..NOTICE_SPREAD_MS);
                let soon = self.state.now() + Duration::from_millis(spread);
                self.next_round = self.next_round.min(soon);
                self.idle_wait = IDLE_WAIT_FIRST;
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

/// Sweeps are spread at random, so that one VM at a time does the work.
fn sweep_delay(state: &VmState) -> Duration {
    Duration::from_millis(state.draw(SWEEP_MEAN_MS / 2..SWEEP_MEAN_MS * 3 / 2))
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
            let is_busy = || state.claiming.get() || !state.active.borrow().is_empty();
            while is_busy() && state.now() < end {
                actix_rt::time::sleep(STOP_CHECK).await;
            }
            state.active.borrow().len()
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
        let active = self.state.active.borrow();
        let held: Vec<_> = active
            .iter()
            .map(|(job, chunk)| format!("{job}/{chunk}"))
            .collect();
        MessageResult(serde_json::json!({
            "held": held,
            "unsaved_bytes": self.state.unsaved.get(),
            "items_per_s": self.state.pace.get(),
            "late_jobs": *self.state.late.borrow(),
            "skipped_jobs": self.state.skipped.borrow().len(),
            "stopping": self.state.stopping.get(),
        }))
    }
}
