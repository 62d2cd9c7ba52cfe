//! Several nodes in virtual time, with a delay for every message and links that can be cut.

use crate::support::request;
use plantainmill_config::FleetConfig;
use plantainmill_core::{Problem, TargetId, Uptime, VmId};
use plantainmill_dispatch::message::{DispatchMessage, RequestId, decode, encode};
use plantainmill_dispatch::node::{DispatchNode, DispatchOutput, NodeIdentity, TICK_INTERVAL};
use plantainmill_dispatch::{CallOutcome, TicketRequest, TrafficClass};
use plantainmill_membership::{Member, MemberState};
use plantainmill_mesh::MeshPeer;
use plantainmill_provider::LoadReport;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One-way delay of a message.
pub const DELAY: Duration = Duration::from_millis(1);
const STEP: Duration = Duration::from_millis(1);

/// A request of a VM.
pub type Call = (usize, RequestId);

struct Flight {
    due: Uptime,
    from: usize,
    to: VmId,
    message: DispatchMessage,
}

/// The nodes and what happened to their requests.
pub struct Harness {
    pub now: Uptime,
    pub nodes: Vec<DispatchNode>,
    pub config: Arc<FleetConfig>,
    /// State of each VM as all others see it.
    pub states: Vec<MemberState>,
    /// Targets of the calls in flight.
    pub running: BTreeMap<Call, TargetId>,
    /// Targets of all calls.
    pub granted_on: BTreeMap<Call, TargetId>,
    pub refused: BTreeMap<Call, Problem>,
    pub granted_at: BTreeMap<Call, Uptime>,
    pub preempted: BTreeSet<Call>,
    /// VMs that neither send nor receive.
    pub cut: BTreeSet<usize>,
    /// Every message is delivered this many times.
    pub copies: usize,
    /// Load reports by target; others get none.
    pub reports: BTreeMap<TargetId, LoadReport>,
    /// Ends preempted calls at once, as the proxy does.
    pub obey_preemption: bool,
    places: Vec<(VmId, &'static str, &'static str)>,
    flights: Vec<Flight>,
    next_tick: Uptime,
}

impl Harness {
    /// Nodes `v0`, `v1`, … at the given places (domain, region).
    pub fn new(config: FleetConfig, places: &[(&'static str, &'static str)]) -> Harness {
        let places = places.iter().enumerate();
        let places = places
            .map(|(index, (domain, region))| (VmId::from(format!("v{index}")), *domain, *region));
        let places = places.collect::<Vec<_>>();
        let nodes = places.iter().map(|(vm, domain, region)| {
            DispatchNode::new(NodeIdentity {
                vm: vm.clone(),
                domain: (*domain).into(),
                region: (*region).into(),
                seed: 11,
            })
        });
        let mut harness = Harness {
            now: Duration::from_secs(100),
            nodes: nodes.collect(),
            config: Arc::new(config),
            states: vec![MemberState::Live; places.len()],
            running: BTreeMap::new(),
            granted_on: BTreeMap::new(),
            refused: BTreeMap::new(),
            granted_at: BTreeMap::new(),
            preempted: BTreeSet::new(),
            cut: BTreeSet::new(),
            copies: 1,
            reports: BTreeMap::new(),
            obey_preemption: true,
            places,
            flights: Vec::new(),
            next_tick: Duration::from_secs(100),
        };
        harness.publish();
        harness
    }

    /// Gives the configuration and the member states to all nodes.
    pub fn publish(&mut self) {
        for index in 0..self.nodes.len() {
            let states = self.states.clone();
            self.publish_view(index, &states);
        }
    }

    /// Gives a member view of its own to one node.
    pub fn publish_view(&mut self, index: usize, states: &[MemberState]) {
        let others = self.places.iter().enumerate();
        let others = others.filter(|(other, _)| *other != index);
        let members = others.map(|(other, (id, domain, region))| Member {
            peer: MeshPeer {
                id: id.clone(),
                domain: (*domain).into(),
                region: (*region).into(),
                address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
            },
            incarnation: 1,
            state: states[other],
        });
        let members = Arc::new(members.collect::<Vec<_>>());
        let config = Arc::clone(&self.config);
        self.nodes[index].apply(&config, &members, self.now);
        self.collect(index);
    }

    /// Gives the last VM, which then must not be used, another id.
    pub fn rename_last(&mut self, id: &str) {
        if let Some(place) = self.places.last_mut() {
            place.0 = id.into();
            // It is of another domain, so that it owns no target.
            place.1 = "elsewhere";
        }
    }

    /// Submits a request on a VM.
    pub fn acquire(&mut self, vm: usize, request: TicketRequest) -> Call {
        let id = self.nodes[vm].acquire(request, self.now);
        self.collect(vm);
        (vm, id)
    }

    /// Submits a plain request on a VM.
    pub fn submit(&mut self, vm: usize, class: TrafficClass, organisation: &str) -> Call {
        self.acquire(vm, request(class, organisation, self.now))
    }

    /// Ends a call.
    pub fn finish(&mut self, call: Call, outcome: CallOutcome) {
        if self.running.remove(&call).is_some() {
            self.nodes[call.0].finish(call.1, outcome, self.now);
            self.collect(call.0);
        }
    }

    /// Ends a call well, with a first byte after 50 ms.
    pub fn complete(&mut self, call: Call) {
        let first_byte = Duration::from_millis(50);
        self.finish(call, CallOutcome::Completed { first_byte });
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            if self.now >= self.next_tick {
                self.next_tick = self.now + TICK_INTERVAL;
                self.tick();
            }
        }
    }

    /// Calls in flight per target.
    pub fn in_flight(&self, target: &str) -> usize {
        self.running.values().filter(|each| *each == target).count()
    }

    /// Index of the VM that keeps the queue of a target, by the view of VM 0.
    pub fn owner_of(&self, target: &str) -> usize {
        let dump = self.nodes[0].dump(self.now);
        let owner = dump["targets"][target]["owner"].as_str().unwrap();
        owner[1..].parse().unwrap()
    }

    fn tick(&mut self) {
        for index in 0..self.nodes.len() {
            if self.states[index] != MemberState::Dead {
                self.nodes[index].tick(self.now);
                self.collect(index);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.flights.extract_if(.., |flight| flight.due <= now);
        for flight in due.collect::<Vec<_>>() {
            let places = self.places.iter();
            let to = places
                .clone()
                .position(|(vm, _, _)| *vm == flight.to)
                .unwrap();
            let lost = self.cut.contains(&to) || self.cut.contains(&flight.from);
            if lost || self.states[to] == MemberState::Dead {
                continue;
            }
            let from = self.places[flight.from].0.clone();
            self.nodes[to].receive(&from, flight.message, now);
            self.collect(to);
        }
    }

    fn collect(&mut self, vm: usize) {
        for output in self.nodes[vm].take_outputs() {
            match output {
                DispatchOutput::Send { to, message } => self.send(vm, &to, &message),
                DispatchOutput::Granted {
                    request, target, ..
                } => {
                    self.granted_on.insert((vm, request), target.clone());
                    self.running.insert((vm, request), target);
                    self.granted_at.insert((vm, request), self.now);
                }
                DispatchOutput::Refused { request, problem } => {
                    self.refused.insert((vm, request), problem);
                }
                DispatchOutput::Preempted { request } => {
                    self.preempted.insert((vm, request));
                    if self.obey_preemption {
                        self.finish((vm, request), CallOutcome::Abandoned);
                    }
                }
                DispatchOutput::Poll { target, .. } => {
                    let report = self.reports.get(&target).cloned();
                    self.nodes[vm].report(&target, report.as_ref(), self.now);
                    self.collect(vm);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &VmId, message: &DispatchMessage) {
        let encoded = encode(std::slice::from_ref(message));
        for copy in 0..self.copies {
            let message = decode(&encoded).unwrap().remove(0);
            let delay = DELAY * u32::try_from(copy + 1).unwrap();
            self.flights.push(Flight {
                due: self.now + delay,
                from,
                to: to.clone(),
                message,
            });
        }
    }
}
