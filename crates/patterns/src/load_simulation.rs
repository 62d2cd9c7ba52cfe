//! Simulation of one load pattern in fixed time steps.

use crate::pattern::{FleetShape, LoadPattern, PatternEvent};
use crate::policy::{
    PolicyKind, ReportRound, VmPolicy, collect_reports, deliver_reports, ticket_request,
};
use crate::report::PatternReport;
use crate::simulated_target::{CallId, SimulatedTarget, TargetEvent};
use plantainmill_core::TargetId;
use plantainmill_dispatch::shared::LedgerEffect;
use plantainmill_dispatch::{CallOutcome, TrafficClass};
use plantainmill_routing::TargetEntry;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

const SLOTS_PER_TARGET: u32 = 8;
const ORGANISATION_COUNT: usize = 8;
/// Index of the organisation that sends `LARGE_ORGANISATION_SHARE` of the regular load.
const LARGE_ORGANISATION: usize = 1;
const LARGE_ORGANISATION_SHARE: f64 = 0.4;
const STEP_MS: u64 = 5;
/// Time from the start in a slot to the first event.
const FIRST_EVENT_MS: u64 = 45;
/// Objective for the time from arrival to the first event of an online request.
const OBJECTIVE_MS: u64 = 300;
/// Time from arrival to the deadline of a batch item.
const BATCH_DEADLINE_MS: u64 = 18_000;
/// Interval between load reports and policy ticks.
const REPORT_INTERVAL_MS: u64 = 50;
/// Time after arrival at which an impatient caller disconnects.
const DISCONNECT_MS: u64 = 100;

struct SimulatedCall {
    vm: usize,
    number: u64,
    source: CallSource,
    organisation: usize,
    arrived_ms: u64,
    /// Remaining time after the first event.
    remaining_ms: u64,
    target: Option<usize>,
    has_first_event: bool,
    /// Whether the request was retried after a refusal. A second refusal is final.
    was_retried: bool,
}

/// Source of a request.
#[derive(Clone, Copy, Eq, PartialEq)]
enum CallSource {
    Online {
        disconnects: bool,
        during_surge: bool,
    },
    /// Additional online request of the organisation in a surge.
    Surge,
    Batch,
}

impl CallSource {
    fn class(self) -> TrafficClass {
        match self {
            CallSource::Online { .. } | CallSource::Surge => TrafficClass::Online,
            CallSource::Batch => TrafficClass::Batch,
        }
    }

    /// Whether the caller disconnects early.
    fn disconnects(self) -> bool {
        matches!(
            self,
            CallSource::Online {
                disconnects: true,
                ..
            }
        )
    }

    /// Whether the request comes from another organisation during the surge of one.
    fn is_other_in_surge(self) -> bool {
        matches!(
            self,
            CallSource::Online {
                during_surge: true,
                ..
            }
        )
    }
}

struct LoadSimulation {
    shape: FleetShape,
    /// Load reports under way, oldest first, with the times of their arrival.
    reports_in_transit: VecDeque<(u64, ReportRound)>,
    targets: Vec<SimulatedTarget>,
    entries: Vec<TargetEntry>,
    policies: Vec<Option<VmPolicy>>,
    calls: HashMap<CallId, SimulatedCall>,
    ids_by_ticket: HashMap<(usize, u64), CallId>,
    /// Calls to submit again, by their time in milliseconds.
    resubmissions: Vec<(u64, SimulatedCall)>,
    last_id: CallId,
    now_ms: u64,
    report: PatternReport,
}

/// Simulates `pattern` with all VMs under the policy `kind`. Equal arguments give equal reports.
#[must_use]
pub fn run_pattern(pattern: &LoadPattern, kind: PolicyKind, seed: u64) -> PatternReport {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut simulation = LoadSimulation::new(pattern.shape, kind, seed);
    let mut events = pattern.events.iter().peekable();
    let mut replaced = 0;
    while simulation.now_ms < pattern.shape.run_ms {
        while let Some((_, event)) = events.next_if(|(at, _)| *at <= simulation.now_ms) {
            simulation.apply_disturbance(*event, kind, seed, &mut replaced, &mut random);
        }
        let load_factor = pattern.load_factor_at(simulation.now_ms);
        let step_s = Duration::from_millis(STEP_MS).as_secs_f64();
        let online = pattern.online_per_s * load_factor * step_s;
        for _ in 0..arrivals(online, &mut random) {
            let disconnects = random.random::<f64>() < pattern.disconnecting_share;
            let during_surge = pattern.surge_at(simulation.now_ms).is_some();
            simulation.add_arrival(
                CallSource::Online {
                    disconnects,
                    during_surge,
                },
                &mut random,
            );
        }
        let surge = pattern.surge_at(simulation.now_ms);
        if surge.is_some_and(|surge| random.random::<f64>() < surge.online_per_s * step_s) {
            simulation.add_arrival(CallSource::Surge, &mut random);
        }
        for _ in 0..arrivals(pattern.batch_per_s * step_s, &mut random) {
            simulation.add_arrival(CallSource::Batch, &mut random);
        }
        simulation.step();
    }
    simulation.report
}

/// Number of arrivals in a step with a mean of `mean`.
fn arrivals(mean: f64, random: &mut SmallRng) -> usize {
    let mut rest = mean;
    let mut count = 0;
    while rest > 0.0 {
        count += usize::from(random.random::<f64>() < rest);
        rest -= 1.0;
    }
    count
}

impl LoadSimulation {
    fn new(shape: FleetShape, kind: PolicyKind, seed: u64) -> LoadSimulation {
        let entries: Vec<TargetEntry> = (0..shape.targets)
            .map(|position| target_entry(position, shape.domains))
            .collect();
        let policies =
            (0..shape.vms).map(|vm| Some(VmPolicy::new(kind, vm, &shape, &entries, seed)));
        LoadSimulation {
            shape,
            reports_in_transit: VecDeque::new(),
            targets: (0..shape.targets)
                .map(|_| SimulatedTarget::new(SLOTS_PER_TARGET as usize))
                .collect(),
            policies: policies.collect(),
            entries,
            calls: HashMap::new(),
            ids_by_ticket: HashMap::new(),
            resubmissions: Vec::new(),
            last_id: 0,
            now_ms: 0,
            report: PatternReport::default(),
        }
    }

    fn time(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn apply_disturbance(
        &mut self,
        event: PatternEvent,
        kind: PolicyKind,
        seed: u64,
        replaced: &mut usize,
        random: &mut SmallRng,
    ) {
        match event {
            PatternEvent::TargetsCrashed { every } => {
                for target in (0..self.shape.targets).step_by(every) {
                    let lost = self.targets[target].crash();
                    for id in lost {
                        self.resubmit_failed(id);
                    }
                }
            }
            PatternEvent::TargetsRestored => {
                self.targets
                    .iter_mut()
                    .for_each(|target| target.is_alive = true);
            }
            PatternEvent::TargetReplaced => {
                let mut entries = self.entries.clone();
                entries.remove(*replaced % self.shape.targets);
                *replaced += 1;
                let policies = self.policies.iter_mut().flatten();
                policies.for_each(|policy| policy.set_targets(&entries));
            }
            PatternEvent::VmsKilled { every } => {
                for vm in (0..self.shape.vms).step_by(every) {
                    self.policies[vm] = None;
                    let mut lost: Vec<CallId> = self
                        .calls
                        .iter()
                        .filter(|(_, call)| call.vm == vm)
                        .map(|(id, _)| *id)
                        .collect();
                    lost.sort_unstable();
                    for id in lost {
                        self.lose_vm_call(id);
                    }
                }
            }
            PatternEvent::VmsRestarted => {
                for vm in 0..self.shape.vms {
                    if self.policies[vm].is_none() {
                        let policy = VmPolicy::new(kind, vm, &self.shape, &self.entries, seed);
                        self.policies[vm] = Some(policy);
                    }
                }
            }
            PatternEvent::BatchBurst { items } => {
                (0..items).for_each(|_| self.add_arrival(CallSource::Batch, random));
            }
        }
    }

    fn live_vm(&self, first_choice: usize) -> usize {
        let vms = (0..self.shape.vms).map(|step| (first_choice + step) % self.shape.vms);
        vms.into_iter()
            .find(|vm| self.policies[*vm].is_some())
            .unwrap_or(0)
    }

    fn add_arrival(&mut self, source: CallSource, random: &mut SmallRng) {
        let vm = self.live_vm(random.random_range(0..self.shape.vms));
        let mean_ms = match source.class() {
            TrafficClass::Online => self.shape.online_rest_ms,
            TrafficClass::Batch => self.shape.batch_rest_ms,
        };
        let remaining_ms = random.random_range(mean_ms / 2..mean_ms * 3 / 2);
        let organisation = match source {
            CallSource::Surge => 0,
            CallSource::Online { .. } | CallSource::Batch => {
                // One organisation sends a large share of the load.
                let is_large = random.random_bool(LARGE_ORGANISATION_SHARE);
                let first = if is_large { LARGE_ORGANISATION } else { 2 };
                let last = if is_large { 2 } else { ORGANISATION_COUNT };
                random.random_range(first..last)
            }
        };
        let is_due_in_run =
            source == CallSource::Batch && self.now_ms + BATCH_DEADLINE_MS < self.shape.run_ms;
        self.report.items += u64::from(is_due_in_run);
        let is_counted = source != CallSource::Batch && !source.disconnects();
        self.report.online += u64::from(is_counted);
        self.report.others += u64::from(source.is_other_in_surge());
        self.submit(SimulatedCall {
            vm,
            number: 0,
            source,
            organisation,
            arrived_ms: self.now_ms,
            remaining_ms,
            target: None,
            has_first_event: false,
            was_retried: false,
        });
    }

    /// Requests a ticket for the call from the policy of its VM.
    fn submit(&mut self, mut call: SimulatedCall) {
        let vm = call.vm;
        let deadline = match call.source.class() {
            TrafficClass::Online => call.arrived_ms + 5_000,
            TrafficClass::Batch => call.arrived_ms + BATCH_DEADLINE_MS,
        };
        let now = self.time();
        let request = ticket_request(
            call.source.class(),
            call.organisation,
            Duration::from_millis(deadline),
            self.shared_prefix(&call),
        );
        let Some(policy) = &mut self.policies[vm] else {
            return;
        };
        let (number, effects) = policy.request(request, now);
        self.last_id += 1;
        call.number = number;
        self.ids_by_ticket.insert((vm, number), self.last_id);
        self.calls.insert(self.last_id, call);
        self.apply_effects(vm, effects);
    }

    /// Hash of the prompt prefix of a call. It depends on the arrival only, so that retries have the same.
    fn shared_prefix(&self, call: &SimulatedCall) -> Option<u64> {
        let is_online = call.source.class() == TrafficClass::Online;
        let seed = call.arrived_ms ^ call.remaining_ms;
        (is_online && self.shape.shared_prefixes > 0).then(|| seed % self.shape.shared_prefixes)
    }

    fn apply_effects(&mut self, vm: usize, effects: Vec<LedgerEffect>) {
        for effect in effects {
            match effect {
                LedgerEffect::Grant { number, target, .. } => self.grant(vm, number, &target),
                LedgerEffect::Refuse {
                    number,
                    retry_after,
                    ..
                } => self.refuse(vm, number, retry_after),
                LedgerEffect::Preempt { number } => self.preempt(vm, number),
                // A relay forwards the report with its next batch.
                LedgerEffect::SendReport if self.shape.report_delay_ms > 0 => {}
                LedgerEffect::SendReport => self.exchange_reports(),
            }
        }
    }

    fn grant(&mut self, vm: usize, number: u64, target: &TargetId) {
        let Some(id) = self.ids_by_ticket.get(&(vm, number)).copied() else {
            return;
        };
        let position = self.entries.iter().position(|entry| entry.id == *target);
        let (Some(position), Some(call)) = (position, self.calls.get_mut(&id)) else {
            return;
        };
        call.target = Some(position);
        if self.targets[position].is_alive {
            self.targets[position].enqueue(id, FIRST_EVENT_MS, call.remaining_ms);
        } else {
            self.resubmit_failed(id);
        }
    }

    fn remove(&mut self, id: CallId) -> Option<SimulatedCall> {
        let call = self.calls.remove(&id)?;
        self.ids_by_ticket.remove(&(call.vm, call.number));
        Some(call)
    }

    fn release(&mut self, vm: usize, number: u64, outcome: CallOutcome) {
        let now = self.time();
        if let Some(policy) = &mut self.policies[vm] {
            let effects = policy.release(number, outcome, now);
            self.apply_effects(vm, effects);
        }
    }

    /// Handles the crash of the target of a call: the call is submitted again after one step.
    fn resubmit_failed(&mut self, id: CallId) {
        if let Some(call) = self.remove(id) {
            self.release(call.vm, call.number, CallOutcome::Failed);
            self.resubmissions.push((self.now_ms + STEP_MS, call));
        }
    }

    /// Handles the loss of the VM of a call. A batch item restarts at another VM after 2 s. An online call counts as lost,
    /// unless its first event was sent or its caller disconnects early.
    fn lose_vm_call(&mut self, id: CallId) {
        let Some(mut call) = self.remove(id) else {
            return;
        };
        if let Some(target) = call.target {
            self.targets[target].cancel(id);
        }
        if call.source.class() == TrafficClass::Batch {
            call.vm = self.live_vm(call.vm);
            self.resubmissions.push((self.now_ms + 2_000, call));
        } else if !call.source.disconnects() && !call.has_first_event {
            self.report.lost += 1;
        }
    }

    fn refuse(&mut self, vm: usize, number: u64, retry_after: Duration) {
        let id = self.ids_by_ticket.get(&(vm, number)).copied();
        let Some(mut call) = id.and_then(|id| self.remove(id)) else {
            return;
        };
        if call.was_retried {
            self.report.lost += u64::from(!call.source.disconnects());
            return;
        }
        call.was_retried = true;
        call.vm = self.live_vm(vm + 1);
        let retry_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        self.resubmissions.push((self.now_ms + retry_ms, call));
    }

    /// Preempts a batch item. It is submitted again after one step, with its remaining time.
    fn preempt(&mut self, vm: usize, number: u64) {
        let id = self.ids_by_ticket.get(&(vm, number)).copied();
        let Some(mut call) = id.and_then(|id| self.remove(id).map(|call| (id, call))) else {
            return;
        };
        if let Some(target) = call.1.target {
            call.1.remaining_ms = self.targets[target]
                .cancel(call.0)
                .unwrap_or(call.1.remaining_ms);
        }
        self.report.interrupted += 1;
        self.release(vm, number, CallOutcome::Abandoned);
        self.resubmissions.push((self.now_ms + STEP_MS, call.1));
    }

    fn step(&mut self) {
        let due: Vec<SimulatedCall> = {
            let now_ms = self.now_ms;
            self.resubmissions
                .extract_if(.., |(at, _)| *at <= now_ms)
                .map(|(_, call)| call)
                .collect()
        };
        for mut call in due {
            call.vm = self.live_vm(call.vm);
            call.target = None;
            self.submit(call);
        }
        for position in 0..self.targets.len() {
            for event in self.targets[position].advance(STEP_MS) {
                self.apply_event(event);
            }
        }
        self.disconnect_callers();
        if self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            self.exchange_reports();
            let now = self.time();
            for vm in 0..self.shape.vms {
                let effects = self.policies[vm].as_mut().map(|policy| policy.tick(now));
                self.apply_effects(vm, effects.unwrap_or_default());
            }
        }
        let is_waiting = self.targets.iter().any(|target| target.queued_calls() > 0);
        if is_waiting {
            let idle_slots: usize = self
                .targets
                .iter()
                .filter(|target| target.is_alive)
                .map(SimulatedTarget::idle_slots)
                .sum();
            self.report.idle_while_waiting += idle_slots as u64 * STEP_MS;
        }
        self.now_ms += STEP_MS;
    }

    /// Takes the load reports of all VMs, and delivers those that are due.
    fn exchange_reports(&mut self) {
        let reports = collect_reports(&mut self.policies);
        let arrival_ms = self.now_ms + self.shape.report_delay_ms;
        self.reports_in_transit.push_back((arrival_ms, reports));
        let (now, now_ms) = (self.time(), self.now_ms);
        while let Some((_, reports)) = self
            .reports_in_transit
            .pop_front_if(|(arrival_ms, _)| *arrival_ms <= now_ms)
        {
            let domains = self.shape.domains;
            let effects = deliver_reports(&mut self.policies, &reports, domains, now);
            for (vm, effect) in effects {
                self.apply_effects(vm, vec![effect]);
            }
        }
    }

    fn apply_event(&mut self, event: TargetEvent) {
        match event {
            TargetEvent::FirstEvent(id) => {
                let Some(call) = self.calls.get_mut(&id) else {
                    return;
                };
                if call.source.class() == TrafficClass::Online
                    && !call.has_first_event
                    && !call.source.disconnects()
                {
                    let is_in_time = self.now_ms - call.arrived_ms <= OBJECTIVE_MS;
                    self.report.in_time += u64::from(is_in_time);
                    let is_other = is_in_time && call.source.is_other_in_surge();
                    self.report.others_in_time += u64::from(is_other);
                    self.report.late += u64::from(!is_in_time);
                }
                call.has_first_event = true;
            }
            TargetEvent::Completed(id) => {
                let Some(call) = self.remove(id) else { return };
                if call.source.class() == TrafficClass::Batch
                    && call.arrived_ms + BATCH_DEADLINE_MS < self.shape.run_ms
                    && self.now_ms <= call.arrived_ms + BATCH_DEADLINE_MS
                {
                    self.report.items_in_time += 1;
                }
                let first_byte = Duration::from_millis(FIRST_EVENT_MS);
                self.release(call.vm, call.number, CallOutcome::Completed { first_byte });
            }
        }
    }

    fn disconnect_callers(&mut self) {
        let now_ms = self.now_ms;
        let disconnected = self.calls.iter().filter(|(_, call)| {
            call.source.disconnects() && now_ms >= call.arrived_ms + DISCONNECT_MS
        });
        let mut disconnected: Vec<CallId> = disconnected.map(|(id, _)| *id).collect();
        disconnected.sort_unstable();
        for id in disconnected {
            let Some(call) = self.remove(id) else {
                continue;
            };
            if let Some(policy) = &mut self.policies[call.vm] {
                policy.withdraw(call.number);
            }
            if let Some(target) = call.target {
                self.targets[target].cancel(id);
                self.release(call.vm, call.number, CallOutcome::Abandoned);
            }
        }
    }
}

fn target_entry(position: usize, domains: usize) -> TargetEntry {
    let port = u16::try_from(position).unwrap_or(0);
    TargetEntry {
        id: format!("t{position}").into(),
        service: "llm".into(),
        address: ([10, 0, 0, 1], port).into(),
        domain: crate::policy::DOMAINS[position % domains].into(),
        slots: SLOTS_PER_TARGET,
        draining: false,
        born: 0,
        version: "v1".into(),
        cold_left: plantainmill_routing::ColdLeft::default(),
    }
}
