//! State machine of the ticketed policy on one VM: `input, now -> outputs`. It does no I/O and reads no clock.
//!
//! A VM has two roles. As a gateway it selects targets for its requests and asks their owners for tickets. As an owner
//! it keeps the queues of some targets of its failure domain. Messages to itself bypass the mesh.

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

/// Identity and location of this VM.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Identifies this VM to its peers.
    pub vm: VmId,
    /// Failure domain, in which this VM can own targets.
    pub domain: DomainName,
    /// Region; targets of other regions are reached over the link.
    pub region: RegionName,
    /// Seed of the random choices and of the ticket ids. It has to differ between starts of the process, so that ticket
    /// ids are not reused.
    pub seed: u64,
}

/// An action that the caller of the state machine has to carry out after an input.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchOutput {
    /// Send a message to another VM.
    Send {
        /// VM that receives the message.
        to: VmId,
        /// Message to deliver on the channel `Dispatch`.
        message: DispatchMessage,
    },
    /// The request may be sent to the target.
    Granted {
        /// Id returned by [`DispatchNode::acquire`].
        request: RequestId,
        /// Target that the request goes to.
        target: TargetId,
        /// Address at which the target accepts requests.
        address: SocketAddr,
    },
    /// The request is refused.
    Refused {
        /// Id returned by [`DispatchNode::acquire`].
        request: RequestId,
        /// Reason of the refusal, for the caller.
        problem: Problem,
    },
    /// The running batch call is preempted and has to end.
    Preempted {
        /// Id of the request whose call has to end.
        request: RequestId,
    },
    /// Read the load report of a target.
    Poll {
        /// Target whose report is due; pass the result to [`DispatchNode::report`].
        target: TargetId,
        /// Address at which the target serves its report.
        address: SocketAddr,
    },
}

/// An open request for a ticket at the owner of a target.
#[derive(Clone, Debug)]
struct OpenOwnerRequest {
    index: usize,
    /// The owner has confirmed that the request is queued.
    queued: bool,
}

/// A request that has neither a ticket nor a refusal yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    request: TicketRequest,
    expires: Uptime,
    owner_requests: Vec<OpenOwnerRequest>,
    /// Targets whose owners refused the request.
    tried: Vec<usize>,
    retry_after: Option<Duration>,
    refusals: u32,
    /// When a target was last searched for.
    last_search: Uptime,
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
    /// Indices of the targets in [`DispatchNode::views`].
    targets: Vec<usize>,
    retries: RetryBudget,
}

/// State machine of the ticketed policy on one VM.
pub struct DispatchNode {
    identity: NodeIdentity,
    config: Arc<FleetConfig>,
    members: Arc<Vec<Member>>,
    views: Vec<TargetView>,
    /// Indices of the targets in `views`.
    view_indices: HashMap<TargetId, usize>,
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
    sharing_vms: u32,
    last_renewal: Uptime,
    last_poll: Uptime,
    outputs: Vec<DispatchOutput>,
    local_messages: VecDeque<DispatchMessage>,
    counts: DispatchCounts,
}

impl DispatchNode {
    /// A node without configuration. It refuses all requests until one is applied.
    #[must_use]
    pub fn new(identity: NodeIdentity) -> DispatchNode {
        let seed = identity.seed ^ rendezvous::key_of(&identity.vm);
        DispatchNode {
            identity,
            config: Arc::default(),
            members: Arc::default(),
            views: Vec::new(),
            view_indices: HashMap::new(),
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
            sharing_vms: 1,
            last_renewal: Uptime::ZERO,
            last_poll: Uptime::ZERO,
            outputs: Vec::new(),
            local_messages: VecDeque::new(),
            counts: DispatchCounts::default(),
        }
    }

    /// Removes and returns the actions to carry out, in order.
    pub fn take_outputs(&mut self) -> Vec<DispatchOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Event counters since the start.
    #[must_use]
    pub fn counts(&self) -> &DispatchCounts {
        &self.counts
    }

    /// The event counters, for events that occur outside the state machine.
    pub fn counts_mut(&mut self) -> &mut DispatchCounts {
        &mut self.counts
    }

    /// Handles a message from another VM.
    pub fn receive(&mut self, from: &VmId, message: DispatchMessage, now: Uptime) {
        self.counts.messages_received += 1;
        self.handle_message(from, message, now);
        self.process_local_messages(now);
    }

    /// Sends a message. Messages to this VM bypass the mesh.
    fn send(&mut self, to: &VmId, target: &TargetId, body: MessageBody, now: Uptime) {
        let message = DispatchMessage {
            target: target.clone(),
            body,
        };
        if *to == self.identity.vm {
            self.local_messages.push_back(message);
            return;
        }
        let expects_reply = matches!(
            message.body,
            MessageBody::Ask { .. } | MessageBody::Renew { .. }
        );
        if expects_reply {
            self.contact(to).expect_reply(now);
        }
        self.counts.messages_sent += 1;
        let to = to.clone();
        self.outputs.push(DispatchOutput::Send { to, message });
    }

    /// Handles the queued messages of this VM to itself.
    fn process_local_messages(&mut self, now: Uptime) {
        let vm = self.identity.vm.clone();
        while let Some(message) = self.local_messages.pop_front() {
            self.handle_message(&vm, message, now);
        }
    }

    fn handle_message(&mut self, from: &VmId, message: DispatchMessage, now: Uptime) {
        let DispatchMessage { target, body } = message;
        match body {
            MessageBody::Ask { .. }
            | MessageBody::Cancel { .. }
            | MessageBody::Release { .. }
            | MessageBody::Renew { .. } => self.handle_owner_message(from, &target, body, now),
            _ => self.handle_reply(from, &target, body, now),
        }
    }
}

fn is_batch(class: TrafficClass) -> bool {
    class == TrafficClass::Batch
}

/// Outcome of a ticket without a call. It does not affect the window of the target.
const NO_OUTCOME: CallOutcome = CallOutcome::Abandoned;
