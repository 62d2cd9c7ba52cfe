//! Handle of the ticketed policy: the [`Dispatcher`] that gateway and batch may use from any thread.
//!
//! The state machine is behind a mutex that is held for microseconds, so a request with a standing ticket costs neither
//! an actor message nor a thread switch.

use crate::dispatcher::{CallOutcome, Dispatcher, TargetTicket, TicketRequest};
use crate::message::{DispatchMessage, RequestId, decode, encode};
use crate::node::{DispatchNode, DispatchOutput, NodeIdentity};
use actix::Recipient;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use plantainmill_config::ConfigView;
use plantainmill_core::{Clock, Problem, ResultCode, TargetId, Uptime, VmId};
use plantainmill_membership::MemberView;
use plantainmill_mesh::{Channel, SendFrame};
use plantainmill_provider::LoadReport;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Time after its deadline at which a waiting request fails even if no tick expired it.
const EXPIRY_GRACE: Duration = Duration::from_millis(500);

type TicketResult = Result<TargetTicket, Problem>;

/// A target whose load report has to be read.
#[derive(Clone, Debug)]
pub(crate) struct LoadPoll {
    pub(crate) target: TargetId,
    pub(crate) address: SocketAddr,
}

struct HandleState {
    node: DispatchNode,
    waiting: HashMap<RequestId, oneshot::Sender<TicketResult>>,
    preempt_signals: HashMap<RequestId, watch::Sender<bool>>,
    polls: Vec<LoadPoll>,
}

struct HandleShared {
    state: Mutex<HandleState>,
    config: ConfigView,
    members: MemberView,
    mesh: Recipient<SendFrame>,
    clock: Arc<dyn Clock>,
}

/// The ticketed policy behind the [`Dispatcher`] interface. Clones share the same state.
#[derive(Clone)]
pub struct DispatchHandle {
    shared: Arc<HandleShared>,
}

/// Results to send after the lock is released, because dropping a ticket takes the lock again. There is no sender if
/// the request was withdrawn.
type Deliveries = Vec<(Option<oneshot::Sender<TicketResult>>, TicketResult)>;

/// Withdraws a waiting request when its future is dropped.
struct WaitGuard<'a> {
    handle: &'a DispatchHandle,
    request: RequestId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let is_waiting = self.handle.lock().waiting.remove(&self.request).is_some();
        if is_waiting {
            self.handle
                .handle_input(|node, now| node.withdraw(self.request, now));
        }
    }
}

impl DispatchHandle {
    pub(crate) fn new(
        identity: NodeIdentity,
        config: ConfigView,
        members: MemberView,
        mesh: Recipient<SendFrame>,
        clock: Arc<dyn Clock>,
    ) -> DispatchHandle {
        let state = HandleState {
            node: DispatchNode::new(identity),
            waiting: HashMap::new(),
            preempt_signals: HashMap::new(),
            polls: Vec::new(),
        };
        DispatchHandle {
            shared: Arc::new(HandleShared {
                state: Mutex::new(state),
                config,
                members,
                mesh,
                clock,
            }),
        }
    }

    /// Event counters since the start.
    #[must_use]
    pub fn counts(&self) -> crate::counts::DispatchCounts {
        *self.lock().node.counts()
    }

    /// Handles timeouts and returns the load reports to read.
    pub(crate) fn tick(&self) -> Vec<LoadPoll> {
        self.handle_input(DispatchNode::tick);
        std::mem::take(&mut self.lock().polls)
    }

    pub(crate) fn receive(&self, from: &VmId, body: &[u8]) {
        let Some(messages) = decode(body) else {
            self.lock().node.counts_mut().frames_malformed += 1;
            return;
        };
        self.handle_input(|node, now| {
            for message in messages {
                node.receive(from, message, now);
            }
        });
    }

    pub(crate) fn report(&self, target: &TargetId, report: Option<&LoadReport>) {
        self.handle_input(|node, now| node.report(target, report, now));
    }

    fn lock(&self) -> MutexGuard<'_, HandleState> {
        let state = &self.shared.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an input to the state machine and carries out its outputs.
    fn handle_input<T>(&self, input: impl FnOnce(&mut DispatchNode, Uptime) -> T) -> T {
        let now = self.shared.clock.uptime();
        let mut state = self.lock();
        let result = self.apply(&mut state, now, input);
        let deliveries = self.execute_outputs(&mut state);
        drop(state);
        deliver(deliveries);
        result
    }

    fn apply<T>(
        &self,
        state: &mut HandleState,
        now: Uptime,
        input: impl FnOnce(&mut DispatchNode, Uptime) -> T,
    ) -> T {
        let config = self.shared.config.load();
        let members = self.shared.members.load();
        state.node.apply(&config, &members, now);
        input(&mut state.node, now)
    }

    fn submit(&self, request: TicketRequest) -> (RequestId, oneshot::Receiver<TicketResult>) {
        let (sender, receiver) = oneshot::channel();
        let now = self.shared.clock.uptime();
        let mut state = self.lock();
        let id = self.apply(&mut state, now, |node, now| node.acquire(request, now));
        state.waiting.insert(id, sender);
        let deliveries = self.execute_outputs(&mut state);
        drop(state);
        deliver(deliveries);
        (id, receiver)
    }

    fn execute_outputs(&self, state: &mut HandleState) -> Deliveries {
        let mut frames: BTreeMap<VmId, Vec<DispatchMessage>> = BTreeMap::new();
        let mut deliveries = Vec::new();
        for output in state.node.take_outputs() {
            match output {
                DispatchOutput::Send { to, message } => {
                    frames.entry(to).or_default().push(message);
                }
                DispatchOutput::Granted {
                    request,
                    target,
                    address,
                } => {
                    let ticket = self.ticket(state, request, target, address);
                    deliveries.push((state.waiting.remove(&request), Ok(ticket)));
                }
                DispatchOutput::Refused { request, problem } => {
                    deliveries.push((state.waiting.remove(&request), Err(problem)));
                }
                DispatchOutput::Preempted { request } => {
                    if let Some(signal) = state.preempt_signals.get(&request) {
                        signal.send_replace(true);
                    }
                }
                DispatchOutput::Poll { target, address } => {
                    state.polls.push(LoadPoll { target, address });
                }
            }
        }
        for (to, messages) in frames {
            self.shared.mesh.do_send(SendFrame {
                to,
                channel: Channel::Dispatch,
                body: encode(&messages),
            });
        }
        deliveries
    }

    fn ticket(
        &self,
        state: &mut HandleState,
        request: RequestId,
        target: TargetId,
        address: SocketAddr,
    ) -> TargetTicket {
        let (signal, preempted) = watch::channel(false);
        state.preempt_signals.insert(request, signal);
        let handle = self.clone();
        let on_finish = Box::new(move |outcome| handle.finish(request, outcome));
        // The configuration of this policy names no regions of targets.
        TargetTicket::new(target, address, None, preempted, on_finish)
    }

    fn finish(&self, request: RequestId, outcome: CallOutcome) {
        self.lock().preempt_signals.remove(&request);
        self.handle_input(|node, now| node.finish(request, outcome, now));
    }

    async fn wait(&self, request: TicketRequest) -> TicketResult {
        let deadline = request.deadline;
        let (request, receiver) = self.submit(request);
        let handle = self;
        let _guard = WaitGuard { handle, request };
        let now = self.shared.clock.uptime();
        let limit = deadline.saturating_sub(now) + EXPIRY_GRACE;
        let result = tokio::time::timeout(limit, receiver).await;
        let result = result.ok().and_then(Result::ok);
        result.unwrap_or_else(|| {
            let reason = "the deadline passed while the request waited for a target";
            Err(Problem::new(ResultCode::DeadlinePassed, reason))
        })
    }
}

impl Dispatcher for DispatchHandle {
    fn acquire(&self, request: TicketRequest) -> LocalBoxFuture<'_, Result<TargetTicket, Problem>> {
        self.wait(request).boxed_local()
    }

    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value> {
        let now = self.shared.clock.uptime();
        let value = self.lock().node.dump(now);
        std::future::ready(value).boxed_local()
    }
}

fn deliver(deliveries: Deliveries) {
    for (sender, result) in deliveries {
        // The ticket of a withdrawn request is dropped here and so reported as abandoned.
        if let Some(sender) = sender {
            let _ = sender.send(result);
        }
    }
}
