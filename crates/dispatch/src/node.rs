//! The ticketed policy of one VM as a state machine: `input, now -> outputs`.
//!
//! A VM plays two parts. As a gateway it chooses targets for its requests and asks their owners for tickets. As an
//! owner it keeps the queues of some targets of its failure domain. Messages to itself are handled without the mesh.

mod acquire;
mod calls;
mod contacts;
mod dump;
mod fleet;
mod owner;
mod replies;
mod tick;

use crate::counts::DispatchCounts;
use crate::dispatcher::{CallOutcome, TicketRequest, TrafficClass};
use crate::link::LinkBudget;
use crate::message::{DispatchMessage, MessageBody, RequestId, TicketId};
use crate::rendezvous;
use crate::retry::RetryBudget;
use crate::selector::TargetSelector;
use crate::target_view::TargetView;
use crate::ticket_queue::TicketQueue;
use contacts::OwnerContact;
use plantainmill_config::FleetConfig;
use plantainmill_core::{DomainName, Problem, RegionName, ServiceName, TargetId, Uptime, VmId};
use plantainmill_membership::Member;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which [`DispatchNode::tick`] has to be called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Who and where this VM is.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Identifier.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Fixes random choices and sets the ticket ids of this start apart from those of other VMs and starts.
    pub seed: u64,
}

/// What has to be done after an input.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchOutput {
    /// Send a message to another VM.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: DispatchMessage,
    },
    /// The request may be sent to the target.
    Granted {
        /// Request.
        request: RequestId,
        /// Target.
        target: TargetId,
        /// Address of the target.
        address: SocketAddr,
    },
    /// The request is refused.
    Refused {
        /// Request.
        request: RequestId,
        /// Why.
        problem: Problem,
    },
    /// The running batch request has to give way.
    Preempted {
        /// Request.
        request: RequestId,
    },
    /// Read the load report of a target.
    Poll {
        /// Target.
        target: TargetId,
        /// Address of the target.
        address: SocketAddr,
    },
}

/// A request sent to the owner of a target.
#[derive(Clone, Debug)]
struct OpenAsk {
    index: usize,
    queued: bool,
}

/// A request without a ticket.
#[derive(Clone, Debug)]
struct PendingRequest {
    request: TicketRequest,
    expires: Uptime,
    asks: Vec<OpenAsk>,
    /// Targets that were asked and did not grant.
    tried: Vec<usize>,
    retry_after: Option<Duration>,
    refusals: u32,
    /// When a further target was last looked for.
    chosen: Uptime,
}

/// A call in flight.
#[derive(Clone, Debug)]
struct RunningCall {
    index: usize,
    ticket: Option<TicketId>,
    class: TrafficClass,
    preempted: bool,
}

/// Targets and retry budget of a service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    members: Vec<usize>,
    retries: RetryBudget,
}

/// State machine of the ticketed policy.
pub struct DispatchNode {
    identity: NodeIdentity,
    config: Arc<FleetConfig>,
    members: Arc<Vec<Member>>,
    views: Vec<TargetView>,
    index: HashMap<TargetId, usize>,
    services: HashMap<ServiceName, ServiceState>,
    queues: BTreeMap<TargetId, TicketQueue>,
    pending: BTreeMap<RequestId, PendingRequest>,
    running: HashMap<RequestId, RunningCall>,
    parked_online: VecDeque<RequestId>,
    parked_batch: VecDeque<RequestId>,
    contacts: BTreeMap<VmId, OwnerContact>,
    selector: TargetSelector,
    link: LinkBudget,
    next_request: RequestId,
    sharers: u32,
    renewed: Uptime,
    polled: Uptime,
    outputs: Vec<DispatchOutput>,
    local: VecDeque<DispatchMessage>,
    counts: DispatchCounts,
}

impl DispatchNode {
    /// A node without configuration; it refuses everything until one is applied.
    #[must_use]
    pub fn new(identity: NodeIdentity) -> DispatchNode {
        let seed = identity.seed ^ rendezvous::key_of(&identity.vm);
        DispatchNode {
            identity,
            config: Arc::default(),
            members: Arc::default(),
            views: Vec::new(),
            index: HashMap::new(),
            services: HashMap::new(),
            queues: BTreeMap::new(),
            pending: BTreeMap::new(),
            running: HashMap::new(),
            parked_online: VecDeque::new(),
            parked_batch: VecDeque::new(),
            contacts: BTreeMap::new(),
            selector: TargetSelector::new(seed),
            link: LinkBudget::default(),
            next_request: 0,
            sharers: 1,
            renewed: Uptime::ZERO,
            polled: Uptime::ZERO,
            outputs: Vec::new(),
            local: VecDeque::new(),
            counts: DispatchCounts::default(),
        }
    }

    /// Takes what has to be done, in order.
    pub fn take_outputs(&mut self) -> Vec<DispatchOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Counters since the start.
    #[must_use]
    pub fn counts(&self) -> &DispatchCounts {
        &self.counts
    }

    /// The counters, for events outside the state machine.
    pub fn counts_mut(&mut self) -> &mut DispatchCounts {
        &mut self.counts
    }

    /// Takes in a message from another VM.
    pub fn receive(&mut self, from: &VmId, message: DispatchMessage, now: Uptime) {
        self.counts.messages_received += 1;
        self.handle_message(from, message, now);
        self.settle(now);
    }

    /// Sends a message, without the mesh when it is for this VM.
    fn send(&mut self, to: &VmId, target: &TargetId, body: MessageBody, now: Uptime) {
        let message = DispatchMessage {
            target: target.clone(),
            body,
        };
        if *to == self.identity.vm {
            self.local.push_back(message);
            return;
        }
        let expects_answer = matches!(
            message.body,
            MessageBody::Ask { .. } | MessageBody::Renew { .. }
        );
        if expects_answer {
            self.contact(to).expect_answer(now);
        }
        self.counts.messages_sent += 1;
        let to = to.clone();
        self.outputs.push(DispatchOutput::Send { to, message });
    }

    /// Handles the messages of this VM to itself.
    fn settle(&mut self, now: Uptime) {
        let vm = self.identity.vm.clone();
        while let Some(message) = self.local.pop_front() {
            self.handle_message(&vm, message, now);
        }
    }

    fn handle_message(&mut self, from: &VmId, message: DispatchMessage, now: Uptime) {
        let DispatchMessage { target, body } = message;
        match body {
            MessageBody::Ask { .. }
            | MessageBody::Cancel { .. }
            | MessageBody::Release { .. }
            | MessageBody::Renew { .. } => self.handle_for_owner(from, &target, body, now),
            _ => self.handle_reply(from, &target, body, now),
        }
    }
}

/// Index into a pair of queues or limits by class.
fn is_batch(class: TrafficClass) -> bool {
    class == TrafficClass::Batch
}

/// An outcome that tells nothing of the target.
const NO_OUTCOME: CallOutcome = CallOutcome::Abandoned;
