//! Common interface of the two policies, and the simulated network between VMs.

use crate::engine::Engine;
use plantainmill_config::FleetConfig;
use plantainmill_core::{TargetId, Uptime, VmId};
use plantainmill_dispatch::local::{LocalDecision, LocalGrant, LocalPolicy};
use plantainmill_dispatch::message::{DispatchMessage, encode};
use plantainmill_dispatch::node::{DispatchNode, DispatchOutput, NodeIdentity};
use plantainmill_dispatch::{CallOutcome, TicketRequest};
use plantainmill_membership::{Member, MemberState};
use plantainmill_mesh::MeshPeer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Index of the VM that submitted a request, and the id of the request there.
pub type CallId = (usize, u64);

/// Decision of a policy about a request.
pub enum Decision {
    Granted(CallId, TargetId),
    Refused(CallId),
    Preempted(CallId),
}

/// Dispatch policy, simulated for all VMs together.
pub trait Policy {
    fn acquire(&mut self, vm: usize, request: TicketRequest, now: Uptime) -> CallId;
    fn finish(&mut self, call: CallId, outcome: CallOutcome, now: Uptime);
    /// Advances the policy to `now`; called once per simulated millisecond.
    fn step(&mut self, now: Uptime, engines: &mut BTreeMap<TargetId, Engine>);
    fn take_decisions(&mut self) -> Vec<Decision>;
    /// Returns the number of messages sent between VMs and their total bytes.
    fn traffic(&self) -> (u64, u64);
}

/// Domain and region of each VM.
pub const VM_LOCATIONS: [(&str, &str); 12] = [
    ("c1", "central"),
    ("c1", "central"),
    ("c1", "central"),
    ("c1", "central"),
    ("c2", "central"),
    ("c2", "central"),
    ("c2", "central"),
    ("c2", "central"),
    ("s1", "southern"),
    ("s1", "southern"),
    ("s1", "southern"),
    ("s1", "southern"),
];

/// One-way network delay between two locations, in milliseconds.
pub fn delay_ms(from: (&str, &str), to: (&str, &str)) -> u64 {
    if from.1 == to.1 { 1 } else { 20 }
}

/// The local policy, in which each VM dispatches without coordination, as the baseline of the comparison.
pub struct BaselinePolicy {
    nodes: Vec<LocalPolicy>,
    waiting: BTreeMap<CallId, (TicketRequest, Uptime)>,
    targets: BTreeMap<CallId, TargetId>,
    next: u64,
    ids: BTreeMap<CallId, u64>,
    calls: BTreeMap<(usize, u64), CallId>,
    decisions: Vec<Decision>,
}

impl BaselinePolicy {
    pub fn new(config: &Arc<FleetConfig>) -> BaselinePolicy {
        let nodes = VM_LOCATIONS
            .iter()
            .zip(1..)
            .map(|((domain, region), seed)| {
                let mut node = LocalPolicy::new((*domain).into(), (*region).into(), seed);
                node.apply_config(Arc::clone(config));
                node
            });
        BaselinePolicy {
            nodes: nodes.collect(),
            waiting: BTreeMap::new(),
            targets: BTreeMap::new(),
            next: 0,
            ids: BTreeMap::new(),
            calls: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    fn grant(&mut self, call: CallId, grant: LocalGrant) {
        self.waiting.remove(&call);
        self.targets.insert(call, grant.target.clone());
        self.decisions.push(Decision::Granted(call, grant.target));
    }
}

impl Policy for BaselinePolicy {
    fn acquire(&mut self, vm: usize, request: TicketRequest, now: Uptime) -> CallId {
        self.next += 1;
        let call = (vm, self.next);
        match self.nodes[vm].submit(&request, now) {
            LocalDecision::Granted(grant) => self.grant(call, grant),
            LocalDecision::Refused(_) => self.decisions.push(Decision::Refused(call)),
            LocalDecision::Queued {
                request_id,
                expires,
            } => {
                self.ids.insert(call, request_id);
                self.calls.insert((vm, request_id), call);
                self.waiting.insert(call, (request, expires));
            }
        }
        call
    }

    fn finish(&mut self, call: CallId, outcome: CallOutcome, now: Uptime) {
        let Some(target) = self.targets.remove(&call) else {
            return;
        };
        for grant in self.nodes[call.0].finish(&target, outcome, now) {
            if let Some(call) = self.calls.remove(&(call.0, grant.request_id)) {
                self.grant(call, grant);
            }
        }
    }

    fn step(&mut self, now: Uptime, _: &mut BTreeMap<TargetId, Engine>) {
        let late = self
            .waiting
            .iter()
            .filter(|(_, (_, expires))| now >= *expires);
        for call in late.map(|(call, _)| *call).collect::<Vec<_>>() {
            let request = self.waiting.remove(&call);
            let request_id = self.ids.remove(&call);
            if let (Some((request, _)), Some(request_id)) = (request, request_id) {
                self.nodes[call.0].withdraw(&request.service, request_id);
                self.calls.remove(&(call.0, request_id));
                self.decisions.push(Decision::Refused(call));
            }
        }
    }

    fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    fn traffic(&self) -> (u64, u64) {
        (0, 0)
    }
}

/// The ticketed policy, in which the owner of each target grants its slots to other VMs.
pub struct TicketedPolicy {
    nodes: Vec<DispatchNode>,
    delayed_messages: BTreeMap<Uptime, Vec<(usize, usize, DispatchMessage)>>,
    polls: Vec<(usize, TargetId)>,
    decisions: Vec<Decision>,
    bytes: u64,
    messages: u64,
    ticks: u64,
}

fn vm_id(index: usize) -> VmId {
    VmId::from(format!("vm{index}"))
}

impl TicketedPolicy {
    pub fn new(config: &Arc<FleetConfig>, now: Uptime) -> TicketedPolicy {
        let members = VM_LOCATIONS.iter().enumerate();
        let members = members.map(|(index, (domain, region))| Member {
            peer: MeshPeer {
                id: vm_id(index),
                domain: (*domain).into(),
                region: (*region).into(),
                address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
            },
            incarnation: 1,
            state: MemberState::Live,
        });
        let members = Arc::new(members.collect::<Vec<_>>());
        let nodes = VM_LOCATIONS.iter().enumerate();
        let nodes = nodes.map(|(index, (domain, region))| {
            let mut node = DispatchNode::new(NodeIdentity {
                vm: vm_id(index),
                domain: (*domain).into(),
                region: (*region).into(),
                seed: 17,
            });
            node.apply(config, &members, now);
            node
        });
        TicketedPolicy {
            nodes: nodes.collect(),
            delayed_messages: BTreeMap::new(),
            polls: Vec::new(),
            decisions: Vec::new(),
            bytes: 0,
            messages: 0,
            ticks: 0,
        }
    }

    fn process_outputs(&mut self, vm: usize, now: Uptime) {
        for output in self.nodes[vm].take_outputs() {
            match output {
                DispatchOutput::Send { to, message } => self.send(vm, &to, message, now),
                DispatchOutput::Granted {
                    request, target, ..
                } => {
                    self.decisions
                        .push(Decision::Granted((vm, request), target));
                }
                DispatchOutput::Refused { request, .. } => {
                    self.decisions.push(Decision::Refused((vm, request)));
                }
                DispatchOutput::Preempted { request } => {
                    self.decisions.push(Decision::Preempted((vm, request)));
                }
                DispatchOutput::Poll { target, .. } => self.polls.push((vm, target)),
            }
        }
    }

    fn send(&mut self, from: usize, to: &VmId, message: DispatchMessage, now: Uptime) {
        let receiver = (0..VM_LOCATIONS.len()).find(|index| vm_id(*index) == *to);
        let Some(receiver) = receiver else {
            return;
        };
        let length = encode(std::slice::from_ref(&message)).len();
        self.bytes += u64::try_from(length).unwrap_or(u64::MAX);
        self.messages += 1;
        let delay = delay_ms(VM_LOCATIONS[from], VM_LOCATIONS[receiver]);
        let due = now + std::time::Duration::from_millis(delay);
        let delayed_messages = self.delayed_messages.entry(due).or_default();
        delayed_messages.push((from, receiver, message));
    }
}

impl Policy for TicketedPolicy {
    fn acquire(&mut self, vm: usize, request: TicketRequest, now: Uptime) -> CallId {
        let id = self.nodes[vm].acquire(request, now);
        self.process_outputs(vm, now);
        (vm, id)
    }

    fn finish(&mut self, call: CallId, outcome: CallOutcome, now: Uptime) {
        self.nodes[call.0].finish(call.1, outcome, now);
        self.process_outputs(call.0, now);
    }

    fn step(&mut self, now: Uptime, engines: &mut BTreeMap<TargetId, Engine>) {
        while let Some(entry) = self.delayed_messages.first_entry()
            && *entry.key() <= now
        {
            for (from, to, message) in entry.remove() {
                self.nodes[to].receive(&vm_id(from), message, now);
                self.process_outputs(to, now);
            }
        }
        self.ticks += 1;
        if self.ticks.is_multiple_of(50) {
            for vm in 0..self.nodes.len() {
                self.nodes[vm].tick(now);
                self.process_outputs(vm, now);
            }
        }
        for (vm, target) in std::mem::take(&mut self.polls) {
            let engine = engines.get_mut(&target);
            let report = engine.map(|engine| engine.report(now));
            self.nodes[vm].report(&target, report.as_ref(), now);
            self.process_outputs(vm, now);
        }
    }

    fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    fn traffic(&self) -> (u64, u64) {
        (self.messages, self.bytes)
    }
}
