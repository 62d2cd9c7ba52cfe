//! Simulated fleet of rate limiter states in virtual time, with a mesh that delays, loses and duplicates messages.

#[path = "fleet/parts.rs"]
mod parts;
#[path = "fleet/store.rs"]
mod store;

use plantainmill_admission::limiter::RateVerdict;
use plantainmill_admission::message::{AdmissionMessage, VmIncarnation};
use plantainmill_admission::output::{CommitTag, Output};
use plantainmill_admission::split::SlotId;
use plantainmill_admission::state::{RateDecision, RateState};
use plantainmill_config::FleetConfig;
use plantainmill_core::{OrganisationId, Uptime, VmId};
use plantainmill_fakes::{MemoryPlatform, PlatformFault};
use plantainmill_membership::Member;
use plantainmill_provider::{CommitOutcome, RowEntry, StoreError, TableWrite, VmEntry, VmState};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

pub use parts::{Decision, MeshFaults, SimRng, config, domain_name, excess};
use parts::{member_of, new_vm};

/// Interval between ticks of a VM.
pub const TICK: Duration = Duration::from_millis(20);

enum Event {
    Tick(usize),
    Deliver {
        to: usize,
        from: VmIncarnation,
        message: AdmissionMessage,
    },
    ReadRows {
        vm: usize,
        incarnation: u64,
        read: u64,
    },
    RowsResult {
        vm: usize,
        incarnation: u64,
        read: u64,
        rows: Result<Vec<RowEntry>, StoreError>,
    },
    Commit {
        vm: usize,
        incarnation: u64,
        tag: CommitTag,
        write: TableWrite,
    },
    CommitResult {
        vm: usize,
        incarnation: u64,
        tag: CommitTag,
        outcome: Result<CommitOutcome, StoreError>,
    },
    ReadVms {
        vm: usize,
        incarnation: u64,
    },
}

pub struct SimVm {
    pub id: VmId,
    pub domain: usize,
    pub incarnation: u64,
    pub slots: u16,
    pub state: RateState,
    pub config: Arc<FleetConfig>,
    /// The VM is not running.
    pub down: bool,
    /// Until this time the VM processes no events; they are deferred, not lost.
    pub paused_until: Uptime,
}

/// Simulated fleet with its platform, network and faults.
pub struct SimFleet {
    pub now: Uptime,
    pub vms: Vec<SimVm>,
    pub platform: MemoryPlatform,
    pub faults: MeshFaults,
    pub rng: SimRng,
    /// Domains partitioned from the other domains and from the platform.
    pub partitioned: BTreeSet<usize>,
    /// VMs that can reach neither other VMs nor the platform.
    pub isolated: BTreeSet<usize>,
    /// VMs that cannot reach the platform.
    pub without_store: BTreeSet<usize>,
    /// VMs that the membership view wrongly shows as dead.
    pub suspected: BTreeSet<usize>,
    /// Platform fault that applies to all VMs.
    pub store_fault: PlatformFault,
    pub decisions: Vec<Decision>,
    waits: BTreeMap<(usize, u64, u64), (u64, OrganisationId)>,
    next_label: u64,
    queue: BinaryHeap<Reverse<(Uptime, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    /// Number of loan messages sent, and their total size in bytes without the frame.
    pub loan_messages: u32,
    pub loan_bytes: u32,
}

impl SimFleet {
    /// Creates a fleet with `per_domain` VMs in each of `domains` failure domains.
    pub fn new(
        domains: usize,
        per_domain: usize,
        config: &Arc<FleetConfig>,
        seed: u64,
    ) -> SimFleet {
        SimFleet::with_slots(domains, per_domain, 4, config, seed)
    }

    /// Like [`SimFleet::new`], with `slots` slots in each failure domain.
    pub fn with_slots(
        domains: usize,
        per_domain: usize,
        slots: u16,
        config: &Arc<FleetConfig>,
        seed: u64,
    ) -> SimFleet {
        let mut fleet = SimFleet {
            now: Uptime::from_secs(1),
            vms: Vec::new(),
            platform: MemoryPlatform::default(),
            faults: MeshFaults::default(),
            rng: SimRng(seed),
            partitioned: BTreeSet::new(),
            isolated: BTreeSet::new(),
            without_store: BTreeSet::new(),
            suspected: BTreeSet::new(),
            store_fault: PlatformFault::None,
            decisions: Vec::new(),
            waits: BTreeMap::new(),
            next_label: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            loan_messages: 0,
            loan_bytes: 0,
        };
        for index in 0..domains * per_domain {
            let domain = index % domains;
            let id = VmId::from(format!("vm-{index}"));
            fleet.vms.push(new_vm(id, domain, 1, slots, config));
            let offset = Duration::from_millis(fleet.rng.below(20));
            let time = fleet.now + offset;
            fleet.push(time, Event::Tick(index));
        }
        fleet.list_vms();
        fleet.publish_members();
        fleet
    }

    /// Updates the platform's VM list to the VMs that are not down.
    pub fn list_vms(&self) {
        let live = self.vms.iter().filter(|vm| !vm.down);
        let entries = live.map(|vm| VmEntry {
            id: vm.id.clone(),
            domain: domain_name(vm.domain).into(),
            region: "region".into(),
            mesh: "127.0.0.1:1".parse().unwrap(),
            state: VmState::Live,
        });
        self.platform.set_vms(entries.collect());
    }

    /// Gives every VM the current membership view, in which suspected VMs are dead.
    pub fn publish_members(&mut self) {
        let vms = self.vms.iter().enumerate();
        let members = vms.map(|(index, vm)| member_of(vm, self.suspected.contains(&index)));
        let all: Vec<Member> = members.collect();
        for vm in &mut self.vms {
            let others = all.iter().filter(|member| member.peer.id != vm.id);
            let view = others.cloned().collect();
            vm.state.set_members(Arc::new(view));
        }
    }

    /// Stops a VM without a graceful stop.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].down = true;
    }

    /// Restarts a VM with empty state and the next incarnation.
    pub fn restart(&mut self, vm: usize) {
        let old = &self.vms[vm];
        let next = new_vm(
            old.id.clone(),
            old.domain,
            old.incarnation + 1,
            old.slots,
            &old.config,
        );
        self.vms[vm] = next;
    }

    pub fn pause(&mut self, vm: usize, time: Duration) {
        self.vms[vm].paused_until = self.now + time;
    }

    /// Starts the graceful stop of a VM that is neither down nor paused.
    pub fn drain(&mut self, vm: usize) {
        if self.vms[vm].down || self.vms[vm].paused_until > self.now {
            return;
        }
        let mut out = Vec::new();
        let now = self.now;
        self.vms[vm].state.drain(now, &mut out);
        self.perform(vm, out);
    }

    pub fn configure(&mut self, vm: usize, config: &Arc<FleetConfig>) {
        self.vms[vm].config = Arc::clone(config);
    }

    pub fn configure_all(&mut self, config: &Arc<FleetConfig>) {
        for vm in &mut self.vms {
            vm.config = Arc::clone(config);
        }
    }

    /// Sends a request to a VM and returns its label, or `None` when the VM is down or paused.
    pub fn request(&mut self, vm: usize, organisation: &str) -> Option<u64> {
        let organisation = OrganisationId::from(organisation);
        if self.vms[vm].down || self.vms[vm].paused_until > self.now {
            return None;
        }
        self.next_label += 1;
        let label = self.next_label;
        let mut out = Vec::new();
        let now = self.now;
        match self.vms[vm].state.admit(&organisation, now, &mut out) {
            RateDecision::Decided(verdict) => self.record_decision(label, organisation, verdict),
            RateDecision::Waits(wait) => {
                let incarnation = self.vms[vm].incarnation;
                self.waits
                    .insert((vm, incarnation, wait), (label, organisation));
            }
        }
        self.perform(vm, out);
        Some(label)
    }

    /// Slots that more than one VM may use.
    pub fn multiply_held_slots(&self) -> Vec<SlotId> {
        let mut seen = BTreeSet::new();
        let live = self.vms.iter().filter(|vm| !vm.down);
        let active = live.flat_map(|vm| vm.state.active_slots(self.now));
        active
            .filter(|slot| !seen.insert((*slot).clone()))
            .cloned()
            .collect()
    }

    /// Processes all events that are due up to `time`.
    pub fn run_until(&mut self, time: Uptime) {
        while let Some(Reverse((due, number))) = self.queue.peek().copied() {
            if due > time {
                break;
            }
            self.queue.pop();
            self.now = due;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = time;
    }

    pub fn run(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn record_decision(&mut self, label: u64, organisation: OrganisationId, verdict: RateVerdict) {
        self.decisions.push(Decision {
            time: self.now,
            organisation,
            label,
            admitted: verdict == RateVerdict::Admitted,
        });
    }

    fn push(&mut self, time: Uptime, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((time, self.next_event)));
    }

    /// Time at which a VM can process an event: now, or the end of its pause.
    fn handling_time(&self, vm: usize) -> Uptime {
        self.vms[vm].paused_until.max(self.now)
    }

    fn reaches_store(&self, vm: usize) -> bool {
        let partitioned = self.partitioned.contains(&self.vms[vm].domain);
        !(partitioned || self.isolated.contains(&vm) || self.without_store.contains(&vm))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        if self.isolated.contains(&from) || self.isolated.contains(&to) {
            return false;
        }
        let (from, to) = (self.vms[from].domain, self.vms[to].domain);
        from == to || !(self.partitioned.contains(&from) || self.partitioned.contains(&to))
    }

    /// Defers an event of a paused VM; returns the event when the VM is not paused.
    fn defer_if_paused(&mut self, vm: usize, event: Event) -> Option<Event> {
        let time = self.handling_time(vm);
        if time > self.now {
            self.push(time, event);
            return None;
        }
        Some(event)
    }

    fn handle(&mut self, event: Event) {
        let vm = match &event {
            Event::Deliver { to, .. } => *to,
            Event::Tick(vm) | Event::RowsResult { vm, .. } | Event::CommitResult { vm, .. } => *vm,
            Event::ReadRows { .. } | Event::Commit { .. } | Event::ReadVms { .. } => {
                self.handle_store(event);
                return;
            }
        };
        if self.vms[vm].down {
            if matches!(event, Event::Tick(_)) {
                let time = self.now + TICK;
                self.push(time, event);
            }
            return;
        }
        let Some(event) = self.defer_if_paused(vm, event) else {
            return;
        };
        let now = self.now;
        let mut out = Vec::new();
        let state = &mut self.vms[vm];
        match event {
            Event::Tick(_) => {
                let config = Arc::clone(&state.config);
                state.state.set_config(config, now);
                state.state.tick(now, &mut out);
                self.push(now + TICK, Event::Tick(vm));
            }
            Event::Deliver { from, message, .. } => {
                state.state.receive(&from, message, now, &mut out);
            }
            Event::RowsResult {
                incarnation,
                read,
                rows,
                ..
            } if incarnation == state.incarnation => {
                state.state.handle_rows_result(read, rows, now, &mut out);
            }
            Event::CommitResult {
                incarnation,
                tag,
                outcome,
                ..
            } if incarnation == state.incarnation => {
                state
                    .state
                    .handle_commit_result(&tag, &outcome, now, &mut out);
            }
            _ => {}
        }
        self.perform(vm, out);
    }

    fn perform(&mut self, vm: usize, out: Vec<Output>) {
        let incarnation = self.vms[vm].incarnation;
        for output in out {
            let call_time = self.now + Duration::from_millis(1 + self.rng.below(10));
            match output {
                Output::Respond { wait, verdict } => {
                    let key = (vm, incarnation, wait);
                    let (label, organisation) = self.waits.remove(&key).unwrap();
                    self.record_decision(label, organisation, verdict);
                }
                Output::Send { to, message } => self.send(vm, &to, &message),
                Output::ReadRows { read } => self.push(
                    call_time,
                    Event::ReadRows {
                        vm,
                        incarnation,
                        read,
                    },
                ),
                Output::ReadVms => self.push(call_time, Event::ReadVms { vm, incarnation }),
                Output::Commit { tag, write } => {
                    self.push(
                        call_time,
                        Event::Commit {
                            vm,
                            incarnation,
                            tag,
                            write,
                        },
                    );
                }
                other => panic!("not routed: {other:?}"),
            }
        }
    }

    fn send(&mut self, vm: usize, to: &VmId, message: &AdmissionMessage) {
        let from = VmIncarnation {
            vm: self.vms[vm].id.clone(),
            incarnation: self.vms[vm].incarnation,
        };
        let size = u32::try_from(message.encode().len()).unwrap();
        if matches!(
            message,
            AdmissionMessage::Borrow { .. }
                | AdmissionMessage::Grant { .. }
                | AdmissionMessage::Report { .. }
        ) {
            self.loan_messages += 1;
            self.loan_bytes += size;
        }
        let Some(to) = self.vms.iter().position(|other| other.id == *to) else {
            return;
        };
        let copies = 1 + u64::from(self.rng.chance(self.faults.duplicated));
        for _ in 0..copies {
            if !self.reaches(vm, to) || self.rng.chance(self.faults.lost) {
                continue;
            }
            let mut delay = 1 + self.rng.below(2);
            if self.vms[vm].domain / 2 != self.vms[to].domain / 2 {
                delay = 20 + self.rng.below(3);
            }
            if self.rng.chance(self.faults.late) {
                delay += self.rng.below(15_000);
            }
            let time = self.now + Duration::from_millis(delay);
            let message = message.clone();
            self.push(
                time,
                Event::Deliver {
                    to,
                    from: from.clone(),
                    message,
                },
            );
        }
    }
}
