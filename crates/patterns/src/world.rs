//! The world that a pattern is played in.

use crate::engine::{CallId, Engine, EngineEvent};
use crate::pattern::{LoadPattern, PatternEvent};
use crate::policy::{PolicyKind, VmPolicy, exchange, ticket_request};
use crate::report::PatternReport;
use plantainmill_core::TargetId;
use plantainmill_dispatch::shared::LedgerEffect;
use plantainmill_dispatch::{CallOutcome, TrafficClass};
use plantainmill_routing::TargetEntry;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::HashMap;
use std::time::Duration;

/// Size of today's sites.
const VM_COUNT: usize = 12;
const TARGET_COUNT: usize = 18;
const SLOTS: u32 = 8;
const ORGANISATIONS: usize = 8;
/// An organisation with a large part of the usual requests.
const LARGE_ORGANISATION: usize = 1;
const LARGE_PART: f64 = 0.4;
/// Length of a run and of a step, in milliseconds.
const RUN_TIME: u64 = 34_000;
const STEP: u64 = 5;
/// Time to the first event with a free slot, and time of all further ones.
const FIRST_TIME: u64 = 45;
const ONLINE_TIME: u64 = 700;
const BATCH_TIME: u64 = 4_900;
/// Objective of online requests, and time until batch items are due.
const OBJECTIVE: u64 = 300;
const BATCH_DUE: u64 = 18_000;
/// Time between reports.
const REPORT_INTERVAL: u64 = 50;
/// Time after which a caller that leaves early leaves.
const LEAVE_TIME: u64 = 100;

struct Call {
    vm: usize,
    number: u64,
    arrival: Arrival,
    organisation: usize,
    arrived: u64,
    /// Work after the first event.
    left: u64,
    target: Option<usize>,
    has_first: bool,
    /// It came back once after a refusal.
    returned: bool,
}

/// What arrives.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Arrival {
    Online {
        leaves: bool,
        during_surge: bool,
    },
    /// Of the organisation that sends more than usual.
    Surge,
    Batch,
}

impl Arrival {
    fn class(self) -> TrafficClass {
        match self {
            Arrival::Online { .. } | Arrival::Surge => TrafficClass::Online,
            Arrival::Batch => TrafficClass::Batch,
        }
    }

    /// The caller leaves early.
    fn leaves(self) -> bool {
        matches!(self, Arrival::Online { leaves: true, .. })
    }

    /// It comes from another organisation while one sends more than usual.
    fn is_beside_surge(self) -> bool {
        matches!(
            self,
            Arrival::Online {
                during_surge: true,
                ..
            }
        )
    }
}

struct World {
    engines: Vec<Engine>,
    entries: Vec<TargetEntry>,
    policies: Vec<Option<VmPolicy>>,
    calls: HashMap<CallId, Call>,
    by_number: HashMap<(usize, u64), CallId>,
    /// Calls that come later: time, call.
    later: Vec<(u64, Call)>,
    next_call: CallId,
    now: u64,
    report: PatternReport,
}

/// Plays `pattern` with all VMs under one policy.
#[must_use]
pub fn run_pattern(pattern: &LoadPattern, kind: PolicyKind, seed: u64) -> PatternReport {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut world = World::new(kind, seed);
    let mut events = pattern.events.iter().peekable();
    let mut replaced = 0;
    while world.now < RUN_TIME {
        while let Some((_, event)) = events.next_if(|(at, _)| *at <= world.now) {
            world.happen(*event, kind, seed, &mut replaced, &mut random);
        }
        let swing = pattern.swing_at(world.now);
        let step_s = Duration::from_millis(STEP).as_secs_f64();
        if random.random::<f64>() < pattern.online_per_s * swing * step_s {
            let leaves = random.random::<f64>() < pattern.leaving;
            let during_surge = pattern.surge_at(world.now).is_some();
            world.arrive(
                Arrival::Online {
                    leaves,
                    during_surge,
                },
                &mut random,
            );
        }
        let surge = pattern.surge_at(world.now);
        if surge.is_some_and(|surge| random.random::<f64>() < surge.online_per_s * step_s) {
            world.arrive(Arrival::Surge, &mut random);
        }
        if random.random::<f64>() < pattern.batch_per_s * step_s {
            world.arrive(Arrival::Batch, &mut random);
        }
        world.step();
    }
    world.report
}

impl World {
    fn new(kind: PolicyKind, seed: u64) -> World {
        let entries: Vec<TargetEntry> = (0..TARGET_COUNT).map(entry).collect();
        let policies = (0..VM_COUNT).map(|vm| Some(VmPolicy::new(kind, vm, &entries, seed)));
        World {
            engines: (0..TARGET_COUNT)
                .map(|_| Engine::new(SLOTS as usize))
                .collect(),
            policies: policies.collect(),
            entries,
            calls: HashMap::new(),
            by_number: HashMap::new(),
            later: Vec::new(),
            next_call: 0,
            now: 0,
            report: PatternReport::default(),
        }
    }

    fn time(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    fn happen(
        &mut self,
        event: PatternEvent,
        kind: PolicyKind,
        seed: u64,
        replaced: &mut usize,
        random: &mut SmallRng,
    ) {
        match event {
            PatternEvent::TargetsCrash { every } => {
                for target in (0..TARGET_COUNT).step_by(every) {
                    let lost = self.engines[target].crash();
                    for id in lost {
                        self.fail(id);
                    }
                }
            }
            PatternEvent::TargetsReturn => {
                self.engines
                    .iter_mut()
                    .for_each(|engine| engine.is_alive = true);
            }
            PatternEvent::TargetReplaced => {
                let mut entries: Vec<TargetEntry> = (0..TARGET_COUNT).map(entry).collect();
                entries.remove(*replaced % TARGET_COUNT);
                *replaced += 1;
                let policies = self.policies.iter_mut().flatten();
                policies.for_each(|policy| policy.set_targets(&entries));
            }
            PatternEvent::VmsKilled { every } => {
                for vm in (0..VM_COUNT).step_by(every) {
                    self.policies[vm] = None;
                    let mut lost: Vec<CallId> = self
                        .calls
                        .iter()
                        .filter(|(_, call)| call.vm == vm)
                        .map(|(id, _)| *id)
                        .collect();
                    lost.sort_unstable();
                    for id in lost {
                        self.kill(id);
                    }
                }
            }
            PatternEvent::VmsBack => {
                for vm in 0..VM_COUNT {
                    if self.policies[vm].is_none() {
                        self.policies[vm] = Some(VmPolicy::new(kind, vm, &self.entries, seed));
                    }
                }
            }
            PatternEvent::BatchBurst { items } => {
                (0..items).for_each(|_| self.arrive(Arrival::Batch, random));
            }
        }
    }

    fn live_vm(&self, pick: usize) -> usize {
        let vms = (0..VM_COUNT).map(|step| (pick + step) % VM_COUNT);
        vms.into_iter()
            .find(|vm| self.policies[*vm].is_some())
            .unwrap_or(0)
    }

    fn arrive(&mut self, arrival: Arrival, random: &mut SmallRng) {
        let vm = self.live_vm(random.random_range(0..VM_COUNT));
        let usual = match arrival.class() {
            TrafficClass::Online => ONLINE_TIME,
            TrafficClass::Batch => BATCH_TIME,
        };
        let left = random.random_range(usual / 2..usual * 3 / 2);
        let organisation = match arrival {
            Arrival::Surge => 0,
            Arrival::Online { .. } | Arrival::Batch => {
                // Some organisations are large.
                let is_large = random.random_bool(LARGE_PART);
                let first = if is_large { LARGE_ORGANISATION } else { 2 };
                let last = if is_large { 2 } else { ORGANISATIONS };
                random.random_range(first..last)
            }
        };
        let is_due = arrival == Arrival::Batch && self.now + BATCH_DUE < RUN_TIME;
        self.report.items += u64::from(is_due);
        let is_owed = arrival != Arrival::Batch && !arrival.leaves();
        self.report.online += u64::from(is_owed);
        self.report.others += u64::from(arrival.is_beside_surge());
        self.ask(Call {
            vm,
            number: 0,
            arrival,
            organisation,
            arrived: self.now,
            left,
            target: None,
            has_first: false,
            returned: false,
        });
    }

    /// Asks the policy of the call's VM for a slot.
    fn ask(&mut self, mut call: Call) {
        let vm = call.vm;
        let deadline = match call.arrival.class() {
            TrafficClass::Online => call.arrived + 5_000,
            TrafficClass::Batch => call.arrived + BATCH_DUE,
        };
        let now = self.time();
        let Some(policy) = &mut self.policies[vm] else {
            return;
        };
        let request = ticket_request(
            call.arrival.class(),
            call.organisation,
            Duration::from_millis(deadline),
        );
        let (number, effects) = policy.request(request, now);
        self.next_call += 1;
        call.number = number;
        self.by_number.insert((vm, number), self.next_call);
        self.calls.insert(self.next_call, call);
        self.carry_out(vm, effects);
    }

    fn carry_out(&mut self, vm: usize, effects: Vec<LedgerEffect>) {
        for effect in effects {
            match effect {
                LedgerEffect::Grant { number, target, .. } => self.grant(vm, number, &target),
                LedgerEffect::Refuse {
                    number,
                    retry_after,
                    ..
                } => self.refuse(vm, number, retry_after),
                LedgerEffect::Preempt { number } => self.interrupt(vm, number),
                LedgerEffect::SendReport => {
                    let now = self.time();
                    let effects = exchange(&mut self.policies, now);
                    for (vm, effect) in effects {
                        self.carry_out(vm, vec![effect]);
                    }
                }
            }
        }
    }

    fn grant(&mut self, vm: usize, number: u64, target: &TargetId) {
        let Some(id) = self.by_number.get(&(vm, number)).copied() else {
            return;
        };
        let position = self.entries.iter().position(|entry| entry.id == *target);
        let (Some(position), Some(call)) = (position, self.calls.get_mut(&id)) else {
            return;
        };
        call.target = Some(position);
        if self.engines[position].is_alive {
            self.engines[position].take(id, FIRST_TIME, call.left);
        } else {
            self.fail(id);
        }
    }

    fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.by_number.remove(&(call.vm, call.number));
        Some(call)
    }

    fn release(&mut self, vm: usize, number: u64, outcome: CallOutcome) {
        let now = self.time();
        if let Some(policy) = &mut self.policies[vm] {
            let effects = policy.release(number, outcome, now);
            self.carry_out(vm, effects);
        }
    }

    /// The target of a call failed: the call goes on elsewhere.
    fn fail(&mut self, id: CallId) {
        if let Some(call) = self.remove(id) {
            self.release(call.vm, call.number, CallOutcome::Failed);
            self.later.push((self.now + STEP, call));
        }
    }

    /// The VM of a call is gone: callers are cut, batch items go on at another VM.
    fn kill(&mut self, id: CallId) {
        let Some(mut call) = self.remove(id) else {
            return;
        };
        if let Some(target) = call.target {
            self.engines[target].cancel(id);
        }
        if call.arrival.class() == TrafficClass::Batch {
            call.vm = self.live_vm(call.vm);
            self.later.push((self.now + 2_000, call));
        } else if !call.arrival.leaves() && !call.has_first {
            self.report.lost += 1;
        }
    }

    fn refuse(&mut self, vm: usize, number: u64, retry_after: Duration) {
        let id = self.by_number.get(&(vm, number)).copied();
        let Some(mut call) = id.and_then(|id| self.remove(id)) else {
            return;
        };
        if call.returned {
            self.report.lost += u64::from(!call.arrival.leaves());
            return;
        }
        call.returned = true;
        call.vm = self.live_vm(vm + 1);
        let retry_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        self.later.push((self.now + retry_ms, call));
    }

    /// A batch call is preempted, and goes on later with what is left.
    fn interrupt(&mut self, vm: usize, number: u64) {
        let id = self.by_number.get(&(vm, number)).copied();
        let Some(mut call) = id.and_then(|id| self.remove(id).map(|call| (id, call))) else {
            return;
        };
        if let Some(target) = call.1.target {
            call.1.left = self.engines[target].cancel(call.0).unwrap_or(call.1.left);
        }
        self.report.interrupted += 1;
        self.release(vm, number, CallOutcome::Abandoned);
        self.later.push((self.now + STEP, call.1));
    }

    fn step(&mut self) {
        let due: Vec<Call> = {
            let now = self.now;
            self.later
                .extract_if(.., |(at, _)| *at <= now)
                .map(|(_, call)| call)
                .collect()
        };
        for mut call in due {
            call.vm = self.live_vm(call.vm);
            call.target = None;
            self.ask(call);
        }
        for position in 0..self.engines.len() {
            for event in self.engines[position].work(STEP) {
                self.apply_event(event);
            }
        }
        self.leave_early();
        if self.now.is_multiple_of(REPORT_INTERVAL) {
            let now = self.time();
            let effects = exchange(&mut self.policies, now);
            for (vm, effect) in effects {
                self.carry_out(vm, vec![effect]);
            }
            let now = self.time();
            for vm in 0..VM_COUNT {
                let effects = self.policies[vm].as_mut().map(|policy| policy.tick(now));
                self.carry_out(vm, effects.unwrap_or_default());
            }
        }
        let is_waiting = self.engines.iter().any(|engine| engine.queued() > 0);
        if is_waiting {
            let free: usize = self
                .engines
                .iter()
                .filter(|engine| engine.is_alive)
                .map(Engine::free)
                .sum();
            self.report.idle_while_waiting += free as u64 * STEP;
        }
        self.now += STEP;
    }

    fn apply_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::First(id) => {
                let Some(call) = self.calls.get_mut(&id) else {
                    return;
                };
                if call.arrival.class() == TrafficClass::Online
                    && !call.has_first
                    && !call.arrival.leaves()
                {
                    let is_in_time = self.now - call.arrived <= OBJECTIVE;
                    self.report.in_time += u64::from(is_in_time);
                    let is_other = is_in_time && call.arrival.is_beside_surge();
                    self.report.others_in_time += u64::from(is_other);
                    self.report.late += u64::from(!is_in_time);
                }
                call.has_first = true;
            }
            EngineEvent::Done(id) => {
                let Some(call) = self.remove(id) else { return };
                if call.arrival.class() == TrafficClass::Batch
                    && call.arrived + BATCH_DUE < RUN_TIME
                    && self.now <= call.arrived + BATCH_DUE
                {
                    self.report.items_in_time += 1;
                }
                let first_byte = Duration::from_millis(FIRST_TIME);
                self.release(call.vm, call.number, CallOutcome::Completed { first_byte });
            }
        }
    }

    fn leave_early(&mut self) {
        let now = self.now;
        let gone = self
            .calls
            .iter()
            .filter(|(_, call)| call.arrival.leaves() && now >= call.arrived + LEAVE_TIME);
        let mut gone: Vec<CallId> = gone.map(|(id, _)| *id).collect();
        gone.sort_unstable();
        for id in gone {
            let Some(call) = self.remove(id) else {
                continue;
            };
            if let Some(policy) = &mut self.policies[call.vm] {
                policy.withdraw(call.number);
            }
            if let Some(target) = call.target {
                self.engines[target].cancel(id);
                self.release(call.vm, call.number, CallOutcome::Abandoned);
            }
        }
    }
}

fn entry(position: usize) -> TargetEntry {
    let port = u16::try_from(position).unwrap_or(0);
    TargetEntry {
        id: format!("t{position}").into(),
        service: "llm".into(),
        address: ([10, 0, 0, 1], port).into(),
        domain: crate::policy::DOMAINS[position % crate::policy::DOMAINS.len()].into(),
        slots: SLOTS,
        draining: false,
        born: 0,
        version: "v1".into(),
    }
}
