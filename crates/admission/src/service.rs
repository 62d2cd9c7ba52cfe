//! Actor that performs the I/O of the slot limiter, and the handle that the gateway uses.

use crate::limiter::{RateLimiter, RateVerdict};
use crate::message::{AdmissionMessage, VmIncarnation};
use crate::output::Output;
use crate::split::LAYOUT_KEY;
use crate::state::{RateCounts, RateDecision, RateSettings, RateState};
use actix::prelude::*;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use opentelemetry::metrics::Meter;
use plantainmill_config::ConfigView;
use plantainmill_core::{Clock, DomainName, Incarnation, OrganisationId, Uptime, VmId};
use plantainmill_membership::MemberView;
use plantainmill_mesh::{Channel, FrameReceived, RegisterChannel, SendFrame};
use plantainmill_provider::{TableStore, VmList};
use plantainmill_timer::{Subscribe, Tick};
use serde_json::Value;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval between ticks. It bounds the delay until a waiting request gets a token that an own bucket has accrued.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time-out of the graceful stop: the lifetime of a loan plus a few round trips to the table.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(4);
/// Exclusive end of the key range that is read. The range starts at the layout's key, which sorts before the slot
/// rows.
const ROW_KEYS_END: &str = "slot0";
/// Maximum number of rows in one read, which bounds the number of slots that are supported.
const MAX_ROWS: u32 = 10_000;
/// Retry delay when the actor stopped while a request was waiting.
const STOPPED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Dependencies and settings of a [`RateService`].
pub struct RateParts {
    /// Id of this VM.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub domain: DomainName,
    /// Incarnation of this VM.
    pub incarnation: Incarnation,
    /// Configuration in force, with the organisations' rates and bursts.
    pub config: ConfigView,
    /// Membership view, without this VM.
    pub members: MemberView,
    /// Receives the messages to other VMs.
    pub mesh: Recipient<SendFrame>,
    /// Receives the registration for messages from other VMs.
    pub channels: Recipient<RegisterChannel>,
    /// Timer service that sends the ticks.
    pub timer: Recipient<Subscribe>,
    /// Table that holds the slot rows and the layout.
    pub table: Arc<dyn TableStore>,
    /// The platform's VM list.
    pub vms: Arc<dyn VmList>,
    /// Monotonic clock of this VM.
    pub clock: Arc<dyn Clock>,
    /// Meter that the counters are registered with.
    pub meter: Meter,
    /// Settings of the limiter.
    pub settings: RateSettings,
}

/// State and waiting requests, guarded by one lock.
struct RateCore {
    state: RateState,
    callers: HashMap<u64, oneshot::Sender<RateVerdict>>,
}

/// Data shared by the actor and its handles.
struct RateShared {
    core: Mutex<RateCore>,
    clock: Arc<dyn Clock>,
}

impl RateShared {
    fn lock(&self) -> MutexGuard<'_, RateCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counts(&self) -> RateCounts {
        self.lock().state.counts()
    }
}

/// Outputs of a check that a handle ran, for the actor to perform.
#[derive(Message)]
#[rtype(result = "()")]
struct PerformOutputs(Vec<Output>);

/// Starts the graceful stop, which releases all slots. The response is `false` when this did not complete in time.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct StopRateService;

/// Actor that drives a [`RateState`] and performs its outputs.
pub struct RateService {
    shared: Arc<RateShared>,
    parts: RateParts,
    stop: Option<PendingStop>,
}

/// A graceful stop in progress.
struct PendingStop {
    deadline: Uptime,
    done: oneshot::Sender<bool>,
}

/// Handle of a [`RateService`]. Clones share the same state. Requests are checked without a message to the actor;
/// only requests that wait for a token depend on it.
#[derive(Clone)]
pub struct SlotLimiter {
    shared: Arc<RateShared>,
    service: Addr<RateService>,
}

impl RateService {
    /// Starts the service on the current arbiter and returns its handle.
    #[must_use]
    pub fn launch(parts: RateParts) -> SlotLimiter {
        let own = VmIncarnation {
            vm: parts.vm.clone(),
            incarnation: parts.incarnation,
        };
        let state = RateState::new(own, parts.domain.clone(), parts.settings);
        let core = RateCore {
            state,
            callers: HashMap::new(),
        };
        let shared = Arc::new(RateShared {
            core: Mutex::new(core),
            clock: Arc::clone(&parts.clock),
        });
        observe_counts(&parts.meter, &shared);
        let service = RateService {
            shared: Arc::clone(&shared),
            parts,
            stop: None,
        };
        SlotLimiter {
            shared,
            service: service.start(),
        }
    }

    /// Runs `action` on the state and performs its outputs.
    fn run(
        &mut self,
        context: &mut Context<Self>,
        action: impl FnOnce(&mut RateState, Uptime, &mut Vec<Output>),
    ) {
        let now = self.shared.clock.uptime();
        let mut out = Vec::new();
        action(&mut self.shared.lock().state, now, &mut out);
        self.perform(out, context);
    }

    fn perform(&mut self, out: Vec<Output>, context: &mut Context<Self>) {
        for output in out {
            match output {
                Output::Respond { wait, verdict } => self.respond(wait, verdict),
                Output::Send { to, message } => self.send(to, &message),
                Output::ReadRows { read } => self.read_rows(read, context),
                Output::ReadVms => self.read_vms(context),
                Output::Commit { tag, write } => {
                    let table = Arc::clone(&self.parts.table);
                    let call = async move { table.commit(write).await };
                    let handled = call.into_actor(self).map(move |outcome, service, context| {
                        service.run(context, |state, now, out| {
                            state.handle_commit_result(&tag, &outcome, now, out);
                        });
                    });
                    context.spawn(handled);
                }
                // The state translates these into messages and never returns them.
                Output::Consent { .. } | Output::Renew { .. } | Output::RowsChanged => {}
            }
        }
    }

    fn respond(&self, wait: u64, verdict: RateVerdict) {
        if let Some(caller) = self.shared.lock().callers.remove(&wait) {
            // Sending fails only when the caller has gone away.
            let _ = caller.send(verdict);
        }
    }

    fn send(&self, to: VmId, message: &AdmissionMessage) {
        self.parts.mesh.do_send(SendFrame {
            to,
            channel: Channel::Admission,
            body: message.encode(),
        });
    }

    fn read_rows(&self, read: u64, context: &mut Context<Self>) {
        let table = Arc::clone(&self.parts.table);
        let call = async move { table.range(LAYOUT_KEY, ROW_KEYS_END, MAX_ROWS).await };
        let handled = call.into_actor(self).map(move |rows, service, context| {
            service.run(context, |state, now, out| {
                state.handle_rows_result(read, rows, now, out);
            });
        });
        context.spawn(handled);
    }

    fn read_vms(&self, context: &mut Context<Self>) {
        let list = Arc::clone(&self.parts.vms);
        let call = async move { list.list().await };
        let handled = call.into_actor(self).map(|vms, service, context| {
            service.run(context, |state, now, _| state.handle_vms_result(vms, now));
        });
        context.spawn(handled);
    }

    fn check_stop(&mut self, now: Uptime) {
        let drained = self.shared.lock().state.is_drained();
        let ended = |stop: &mut PendingStop| drained || now >= stop.deadline;
        if let Some(stop) = self.stop.take_if(ended) {
            let _ = stop.done.send(drained);
        }
    }
}

impl Actor for RateService {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let address = context.address();
        self.parts.channels.do_send(RegisterChannel {
            channel: Channel::Admission,
            recipient: address.clone().recipient(),
        });
        self.parts.timer.do_send(Subscribe {
            interval: TICK_INTERVAL,
            recipient: address.recipient(),
        });
    }
}

impl Handler<Tick> for RateService {
    type Result = ();

    fn handle(&mut self, _tick: Tick, context: &mut Self::Context) {
        let config = self.parts.config.load();
        let members = self.parts.members.load();
        self.run(context, |state, now, out| {
            state.set_config(config, now);
            state.set_members(members);
            state.tick(now, out);
        });
        let now = self.shared.clock.uptime();
        self.check_stop(now);
    }
}

impl Handler<FrameReceived> for RateService {
    type Result = ();

    fn handle(&mut self, frame: FrameReceived, context: &mut Self::Context) {
        let from = VmIncarnation {
            vm: frame.from,
            incarnation: frame.incarnation,
        };
        let message = AdmissionMessage::decode(&frame.body);
        self.run(context, |state, now, out| match message {
            Some(message) => state.receive(&from, message, now, out),
            None => state.count_malformed(),
        });
    }
}

impl Handler<PerformOutputs> for RateService {
    type Result = ();

    fn handle(&mut self, message: PerformOutputs, context: &mut Self::Context) {
        self.perform(message.0, context);
    }
}

impl Handler<StopRateService> for RateService {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, _message: StopRateService, context: &mut Self::Context) -> Self::Result {
        let (done, ended) = oneshot::channel();
        let deadline = self.shared.clock.uptime() + STOP_TIMEOUT;
        self.stop = Some(PendingStop { deadline, done });
        self.run(context, RateState::drain);
        ended.map(|result| result.unwrap_or(false)).boxed_local()
    }
}

impl SlotLimiter {
    /// Releases all slots. Call it once no more requests need a rate check. Returns `false` when this did not
    /// complete in time.
    pub async fn stop(&self) -> bool {
        self.service.send(StopRateService).await.unwrap_or(false)
    }

    /// Counters since the start of this VM.
    #[must_use]
    pub fn counts(&self) -> RateCounts {
        self.shared.counts()
    }

    /// Whether all slots held by this VM use agreed widths, so that it is ready to admit requests.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        self.shared.lock().state.is_converged()
    }

    fn decide(
        &self,
        organisation: &OrganisationId,
    ) -> Result<RateVerdict, oneshot::Receiver<RateVerdict>> {
        let mut out = Vec::new();
        let result = {
            let now = self.shared.clock.uptime();
            let mut core = self.shared.lock();
            match core.state.admit(organisation, now, &mut out) {
                RateDecision::Decided(verdict) => Ok(verdict),
                RateDecision::Waits(wait) => {
                    let (sender, receiver) = oneshot::channel();
                    core.callers.insert(wait, sender);
                    Err(receiver)
                }
            }
        };
        if !out.is_empty() {
            self.service.do_send(PerformOutputs(out));
        }
        result
    }
}

impl RateLimiter for SlotLimiter {
    fn admit(&self, organisation: &OrganisationId) -> LocalBoxFuture<'_, RateVerdict> {
        let decision = self.decide(organisation);
        async move {
            match decision {
                Ok(verdict) => verdict,
                Err(receiver) => receiver.await.unwrap_or(RateVerdict::Refused {
                    retry_after: STOPPED_RETRY_AFTER,
                }),
            }
        }
        .boxed_local()
    }

    fn dump(&self) -> LocalBoxFuture<'_, Value> {
        let now = self.shared.clock.uptime();
        let state = self.shared.lock().state.dump(now);
        async move { state }.boxed_local()
    }
}

/// Registers the counters with the meter.
fn observe_counts(meter: &Meter, shared: &Arc<RateShared>) {
    type CountFn = fn(&RateCounts) -> u64;
    let counters: [(&'static str, CountFn); 10] = [
        ("plantainmill_rate_admitted", |counts| counts.admitted),
        ("plantainmill_rate_refused", |counts| counts.refused),
        ("plantainmill_rate_waited", |counts| counts.waited),
        ("plantainmill_rate_loans_asked", |counts| counts.loans_asked),
        ("plantainmill_rate_tokens_lent", |counts| counts.tokens_lent),
        ("plantainmill_rate_tokens_lost", |counts| counts.tokens_lost),
        ("plantainmill_rate_slots_taken", |counts| counts.slots_taken),
        ("plantainmill_rate_slots_lost", |counts| counts.slots_lost),
        ("plantainmill_rate_malformed", |counts| counts.malformed),
        ("plantainmill_rate_store_failures", |counts| {
            counts.store_failures
        }),
    ];
    for (name, count_of) in counters {
        let shared = Arc::clone(shared);
        let counter = meter.u64_observable_counter(name);
        // The meter provider keeps the callback alive.
        let _registered = counter
            .with_callback(move |observer| observer.observe(count_of(&shared.counts()), &[]))
            .build();
    }
}
