//! The two policies behind one interface, with the network between VMs.

use crate::engine::Engine;
use plantainmill_config::FleetConfig;
use plantainmill_core::{TargetId, Uptime, VmId};
use plantainmill_dispatch::local::{LocalAnswer, LocalGrant, LocalPolicy};
use plantainmill_dispatch::message::{DispatchMessage, encode};
use plantainmill_dispatch::node::{DispatchNode, DispatchOutput, NodeIdentity};
use plantainmill_dispatch::{CallOutcome, TicketRequest};
use plantainmill_membership::{Member, MemberState};
use plantainmill_mesh::MeshPeer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A request of a VM.
pub type Call = (usize, u64);

/// What a policy decided.
pub enum Decision {
    Granted(Call, TargetId),
    Refused(Call),
    Preempted(Call),
}

/// A dispatch policy of all VMs.
pub trait Policy {
    fn acquire(&mut self, vm: usize, request: TicketRequest, now: Uptime) -> Call;
    fn finish(&mut self, call: Call, outcome: CallOutcome, now: Uptime);
    /// Called every millisecond.
    fn step(&mut self, now: Uptime, engines: &mut BTreeMap<TargetId, Engine>);
    fn take_decisions(&mut self) -> Vec<Decision>;
    /// Messages between VMs and their bytes.
    fn traffic(&self) -> (u64, u64);
}

/// Places of the VMs: domain and region.
pub const PLACES: [(&str, &str); 12] = [
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

/// One-way delay between two places in milliseconds.
pub fn delay_ms(from: (&str, &str), to: (&str, &str)) -> u64 {
    if from.1 == to.1 { 1 } else { 20 }
}

/// The baseline.
pub struct Baseline {
    nodes: Vec<LocalPolicy>,
    waiting: BTreeMap<Call, (TicketRequest, Uptime)>,
    targets: BTreeMap<Call, TargetId>,
    next: u64,
    ids: BTreeMap<Call, u64>,
    calls: BTreeMap<(usize, u64), Call>,
    decisions: Vec<Decision>,
}

impl Baseline {
    pub fn new(config: &Arc<FleetConfig>) -> Baseline {
        let nodes = PLACES.iter().zip(1..).map(|((domain, region), seed)| {
            let mut node = LocalPolicy::new((*domain).into(), (*region).into(), seed);
            node.apply_config(Arc::clone(config));
            node
        });
        Baseline {
            nodes: nodes.collect(),
            waiting: BTreeMap::new(),
            targets: BTreeMap::new(),
            next: 0,
            ids: BTreeMap::new(),
            calls: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    fn grant(&mut self, call: Call, grant: LocalGrant) {
        self.waiting.remove(&call);
        self.targets.insert(call, grant.target.clone());
        self.decisions.push(Decision::Granted(call, grant.target));
    }
}

impl Policy for Baseline {
    fn acquire(&mut self, vm: usize, request: TicketRequest, now: Uptime) -> Call {
        self.next += 1;
        let call = (vm, self.next);
        match self.nodes[vm].submit(&request, now) {
            LocalAnswer::Granted(grant) => self.grant(call, grant),
            LocalAnswer::Refused(_) => self.decisions.push(Decision::Refused(call)),
            LocalAnswer::Queued { waiter, expires } => {
                self.ids.insert(call, waiter);
                self.calls.insert((vm, waiter), call);
                self.waiting.insert(call, (request, expires));
            }
        }
        call
    }

    fn finish(&mut self, call: Call, outcome: CallOutcome, now: Uptime) {
        let Some(target) = self.targets.remove(&call) else {
            return;
        };
        for grant in self.nodes[call.0].finish(&target, outcome, now) {
            if let Some(call) = self.calls.remove(&(call.0, grant.waiter)) {
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
            let waiter = self.ids.remove(&call);
            if let (Some((request, _)), Some(waiter)) = (request, waiter) {
                self.nodes[call.0].withdraw(&request.service, waiter);
                self.calls.remove(&(call.0, waiter));
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

/// The ticketed policy.
pub struct Ticketed {
    nodes: Vec<DispatchNode>,
    flights: BTreeMap<Uptime, Vec<(usize, usize, DispatchMessage)>>,
    polls: Vec<(usize, TargetId)>,
    decisions: Vec<Decision>,
    bytes: u64,
    messages: u64,
    ticks: u64,
}

fn vm_id(index: usize) -> VmId {
    VmId::from(format!("vm{index}"))
}

impl Ticketed {
    pub fn new(config: &Arc<FleetConfig>, now: Uptime) -> Ticketed {
        let members = PLACES.iter().enumerate();
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
        let nodes = PLACES.iter().enumerate();
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
        Ticketed {
            nodes: nodes.collect(),
            flights: BTreeMap::new(),
            polls: Vec::new(),
            decisions: Vec::new(),
            bytes: 0,
            messages: 0,
            ticks: 0,
        }
    }

    fn collect(&mut self, vm: usize, now: Uptime) {
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
        let receiver = (0..PLACES.len()).find(|index| vm_id(*index) == *to);
        let Some(receiver) = receiver else {
            return;
        };
        let length = encode(std::slice::from_ref(&message)).len();
        self.bytes += u64::try_from(length).unwrap_or(u64::MAX);
        self.messages += 1;
        let delay = delay_ms(PLACES[from], PLACES[receiver]);
        let due = now + std::time::Duration::from_millis(delay);
        let flights = self.flights.entry(due).or_default();
        flights.push((from, receiver, message));
    }
}

impl Policy for Ticketed {
    fn acquire(&mut self, vm: usize, request: TicketRequest, now: Uptime) -> Call {
        let id = self.nodes[vm].acquire(request, now);
        self.collect(vm, now);
        (vm, id)
    }

    fn finish(&mut self, call: Call, outcome: CallOutcome, now: Uptime) {
        self.nodes[call.0].finish(call.1, outcome, now);
        self.collect(call.0, now);
    }

    fn step(&mut self, now: Uptime, engines: &mut BTreeMap<TargetId, Engine>) {
        while let Some(entry) = self.flights.first_entry()
            && *entry.key() <= now
        {
            for (from, to, message) in entry.remove() {
                self.nodes[to].receive(&vm_id(from), message, now);
                self.collect(to, now);
            }
        }
        self.ticks += 1;
        if self.ticks.is_multiple_of(50) {
            for vm in 0..self.nodes.len() {
                self.nodes[vm].tick(now);
                self.collect(vm, now);
            }
        }
        for (vm, target) in std::mem::take(&mut self.polls) {
            let engine = engines.get_mut(&target);
            let report = engine.map(|engine| engine.report(now));
            self.nodes[vm].report(&target, report.as_ref(), now);
            self.collect(vm, now);
        }
    }

    fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    fn traffic(&self) -> (u64, u64) {
        (self.messages, self.bytes)
    }
}
