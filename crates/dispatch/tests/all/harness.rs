//! Simulation of several dispatch nodes in virtual time, with message delays and partitions.

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

/// One-way delay of the first delivery of a message.
pub const MESSAGE_DELAY: Duration = Duration::from_millis(1);
const STEP: Duration = Duration::from_millis(1);

/// Index of the VM that submitted a request, and the id of the request there.
pub type CallId = (usize, RequestId);

struct DelayedMessage {
    due: Uptime,
    from: usize,
    to: VmId,
    message: DispatchMessage,
}

/// Dispatch nodes and the outcomes of their requests.
pub struct Harness {
    pub now: Uptime,
    pub nodes: Vec<DispatchNode>,
    pub config: Arc<FleetConfig>,
    /// State of each VM, which [`Harness::publish`] sends to all others.
    pub states: Vec<MemberState>,
    /// Targets of the calls in flight.
    pub running: BTreeMap<CallId, TargetId>,
    /// Targets of all calls that were ever granted.
    pub granted_targets: BTreeMap<CallId, TargetId>,
    pub refused: BTreeMap<CallId, Problem>,
    pub granted_at: BTreeMap<CallId, Uptime>,
    pub preempted: BTreeSet<CallId>,
    /// VMs whose messages are lost in both directions.
    pub partitioned: BTreeSet<usize>,
    /// Number of times that each message is delivered; more than 1 simulates duplicates.
    pub delivery_count: usize,
    /// Load reports by target. Polls of other targets fail.
    pub reports: BTreeMap<TargetId, LoadReport>,
    /// Whether preempted calls end at once, as in the proxy.
    pub abandon_preempted: bool,
    locations: Vec<(VmId, &'static str, &'static str)>,
    delayed_messages: Vec<DelayedMessage>,
    next_tick: Uptime,
}

impl Harness {
    /// Creates nodes `v0`, `v1`, … at the given locations (domain, region).
    pub fn new(config: FleetConfig, locations: &[(&'static str, &'static str)]) -> Harness {
        let locations = locations.iter().enumerate();
        let locations = locations
            .map(|(index, (domain, region))| (VmId::from(format!("v{index}")), *domain, *region));
        let locations = locations.collect::<Vec<_>>();
        let nodes = locations.iter().map(|(vm, domain, region)| {
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
            states: vec![MemberState::Live; locations.len()],
            running: BTreeMap::new(),
            granted_targets: BTreeMap::new(),
            refused: BTreeMap::new(),
            granted_at: BTreeMap::new(),
            preempted: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            delivery_count: 1,
            reports: BTreeMap::new(),
            abandon_preempted: true,
            locations,
            delayed_messages: Vec::new(),
            next_tick: Duration::from_secs(100),
        };
        harness.publish();
        harness
    }

    /// Applies the configuration and the member states on all nodes.
    pub fn publish(&mut self) {
        for index in 0..self.nodes.len() {
            let states = self.states.clone();
            self.publish_view(index, &states);
        }
    }

    /// Applies the configuration and a separate member view on one node.
    pub fn publish_view(&mut self, index: usize, states: &[MemberState]) {
        let others = self.locations.iter().enumerate();
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
        self.process_outputs(index);
    }

    /// Renames the last VM, which must not submit requests after that.
    pub fn rename_last(&mut self, id: &str) {
        if let Some(place) = self.locations.last_mut() {
            place.0 = id.into();
            // Moves it to another domain, so that it owns no target.
            place.1 = "elsewhere";
        }
    }

    /// Submits `request` on a VM.
    pub fn acquire(&mut self, vm: usize, request: TicketRequest) -> CallId {
        let id = self.nodes[vm].acquire(request, self.now);
        self.process_outputs(vm);
        (vm, id)
    }

    /// Submits a request with default properties on a VM.
    pub fn submit(&mut self, vm: usize, class: TrafficClass, organisation: &str) -> CallId {
        self.acquire(vm, request(class, organisation, self.now))
    }

    /// Ends a running call with `outcome`.
    pub fn finish(&mut self, call: CallId, outcome: CallOutcome) {
        if self.running.remove(&call).is_some() {
            self.nodes[call.0].finish(call.1, outcome, self.now);
            self.process_outputs(call.0);
        }
    }

    /// Completes a call successfully, with the first byte after 50 ms.
    pub fn complete(&mut self, call: CallId) {
        let first_byte = Duration::from_millis(50);
        self.finish(call, CallOutcome::Completed { first_byte });
    }

    /// Advances the virtual time by `time`, delivering messages and running ticks.
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

    /// Number of calls in flight at a target.
    pub fn in_flight(&self, target: &str) -> usize {
        self.running.values().filter(|each| *each == target).count()
    }

    /// Index of the VM that owns the queue of a target, according to VM 0.
    pub fn owner_of(&self, target: &str) -> usize {
        let dump = self.nodes[0].dump(self.now);
        let owner = dump["targets"][target]["owner"].as_str().unwrap();
        owner[1..].parse().unwrap()
    }

    fn tick(&mut self) {
        for index in 0..self.nodes.len() {
            if self.states[index] != MemberState::Dead {
                self.nodes[index].tick(self.now);
                self.process_outputs(index);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self
            .delayed_messages
            .extract_if(.., |delayed| delayed.due <= now);
        for delayed in due.collect::<Vec<_>>() {
            let locations = self.locations.iter();
            let to = locations
                .clone()
                .position(|(vm, _, _)| *vm == delayed.to)
                .unwrap();
            let lost = self.partitioned.contains(&to) || self.partitioned.contains(&delayed.from);
            if lost || self.states[to] == MemberState::Dead {
                continue;
            }
            let from = self.locations[delayed.from].0.clone();
            self.nodes[to].receive(&from, delayed.message, now);
            self.process_outputs(to);
        }
    }

    fn process_outputs(&mut self, vm: usize) {
        for output in self.nodes[vm].take_outputs() {
            match output {
                DispatchOutput::Send { to, message } => self.send(vm, &to, &message),
                DispatchOutput::Granted {
                    request, target, ..
                } => {
                    self.granted_targets.insert((vm, request), target.clone());
                    self.running.insert((vm, request), target);
                    self.granted_at.insert((vm, request), self.now);
                }
                DispatchOutput::Refused { request, problem } => {
                    self.refused.insert((vm, request), problem);
                }
                DispatchOutput::Preempted { request } => {
                    self.preempted.insert((vm, request));
                    if self.abandon_preempted {
                        self.finish((vm, request), CallOutcome::Abandoned);
                    }
                }
                DispatchOutput::Poll { target, .. } => {
                    let report = self.reports.get(&target).cloned();
                    self.nodes[vm].report(&target, report.as_ref(), self.now);
                    self.process_outputs(vm);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &VmId, message: &DispatchMessage) {
        let encoded = encode(std::slice::from_ref(message));
        for copy in 0..self.delivery_count {
            let message = decode(&encoded).unwrap().remove(0);
            let delay = MESSAGE_DELAY * u32::try_from(copy + 1).unwrap();
            self.delayed_messages.push(DelayedMessage {
                due: self.now + delay,
                from,
                to: to.clone(),
                message,
            });
        }
    }
}
