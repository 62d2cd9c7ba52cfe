//! Callers, engines and a policy in virtual time.

use crate::engine::{Engine, EngineEvent, KNEE, Sequence, slowdown};
use crate::policy::{Call, Decision, PLACES, Policy, delay_ms};
use plantainmill_config::FleetConfig;
use plantainmill_core::{TargetId, Uptime};
use plantainmill_dispatch::{CallOutcome, TicketRequest, TrafficClass};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Mean tokens of an online answer and of a batch item.
pub const ONLINE_TOKENS: f64 = 60.0;
const BATCH_TOKENS: f64 = 150.0;
/// Prompt processing in milliseconds at width one.
const PREFILL_MS: std::ops::Range<f64> = 100.0..300.0;
/// Time of an online request of mean length at half width, in seconds.
pub const ONLINE_SECONDS: f64 = (200.0 + ONLINE_TOKENS * 20.0) * 1.05 / 1_000.0;
/// Time of a batch item of mean length at the knee, in seconds.
const BATCH_SECONDS: f64 = (200.0 + BATCH_TOKENS * 20.0) * 1.10 / 1_000.0;
/// A first token later than this after the arrival is of no use.
const USEFUL: Duration = Duration::from_secs(3);
/// Batch requests that each VM keeps waiting or running.
const BATCH_PER_VM: usize = 48;
/// Time before the measurement, in which windows are learned.
const WARM_UP: Duration = Duration::from_secs(15);

/// Load of one run.
#[derive(Clone)]
pub struct Scenario {
    /// Online requests per second of each organisation.
    pub rates: Vec<f64>,
    /// Rate during surges, as a multiple.
    pub surge: f64,
    /// Batch work is always waiting.
    pub batch: bool,
    /// Measured time.
    pub time: Duration,
}

/// Figures of one run.
#[derive(Default)]
pub struct Figures {
    pub first_tokens: Vec<Duration>,
    pub offered: Vec<f64>,
    pub served: Vec<f64>,
    pub refused: u64,
    pub late: u64,
    pub batch_done: f64,
    pub batch_possible: f64,
    pub preempted: u64,
    pub granted: u64,
    /// Requests granted without a message.
    pub immediate: u64,
    pub messages: u64,
    pub bytes: u64,
    pub most_present: usize,
    /// Slot time that preempted work had used, against the idle slot time.
    pub wasted: f64,
    /// Slot time of batch work.
    pub batch_slots: f64,
    /// Idle slot time.
    pub idle_slots: f64,
}

struct Request {
    organisation: usize,
    online: bool,
    arrived: Uptime,
    sent: Uptime,
    first_byte: Option<Duration>,
    target: Option<TargetId>,
}

/// One run.
pub struct World<'a> {
    policy: &'a mut dyn Policy,
    config: Arc<FleetConfig>,
    engines: BTreeMap<TargetId, Engine>,
    requests: BTreeMap<Call, Request>,
    by_sequence: BTreeMap<u64, Call>,
    starts: BTreeMap<Uptime, Vec<(TargetId, Sequence)>>,
    next_sequence: u64,
    random: SmallRng,
    batch_open: Vec<usize>,
    scenario: Scenario,
    figures: Figures,
    now: Uptime,
    start: Uptime,
}

impl<'a> World<'a> {
    pub fn new(
        policy: &'a mut dyn Policy,
        config: &Arc<FleetConfig>,
        scenario: Scenario,
        start: Uptime,
    ) -> World<'a> {
        let engines = config.targets.keys().cloned();
        let count = scenario.rates.len();
        World {
            policy,
            config: Arc::clone(config),
            engines: engines.map(|id| (id, Engine::default())).collect(),
            requests: BTreeMap::new(),
            by_sequence: BTreeMap::new(),
            starts: BTreeMap::new(),
            next_sequence: 0,
            random: SmallRng::seed_from_u64(5),
            batch_open: vec![0; PLACES.len()],
            scenario,
            figures: Figures {
                offered: vec![0.0; count],
                served: vec![0.0; count],
                ..Figures::default()
            },
            now: start,
            start,
        }
    }

    pub fn run(mut self) -> Figures {
        let end = self.start + WARM_UP + self.scenario.time;
        let mut traffic = (0, 0);
        while self.now < end {
            if self.now == self.start + WARM_UP {
                traffic = self.policy.traffic();
            }
            self.now += Duration::from_millis(1);
            self.arrive();
            self.fill_batch();
            self.policy.step(self.now, &mut self.engines);
            self.decide();
            self.run_engines();
            self.decide();
        }
        let (messages, bytes) = self.policy.traffic();
        self.figures.messages = messages - traffic.0;
        self.figures.bytes = bytes - traffic.1;
        self.figures
    }

    fn measured(&self, time: Uptime) -> bool {
        time >= self.start + WARM_UP
    }

    /// Two seconds of every eight are a surge.
    fn surge(&self) -> f64 {
        let phase = self.now.as_millis() % 8_000;
        if phase < 2_000 {
            self.scenario.surge
        } else {
            1.0
        }
    }

    fn arrive(&mut self) {
        let surge = self.surge();
        for organisation in 0..self.scenario.rates.len() {
            let chance = self.scenario.rates[organisation] * surge / 1_000.0;
            if self.random.random::<f64>() < chance {
                let vm = self.random.random_range(0..PLACES.len());
                self.submit(vm, organisation, TrafficClass::Online);
            }
        }
    }

    fn fill_batch(&mut self) {
        if !self.scenario.batch {
            return;
        }
        for vm in 0..PLACES.len() {
            while self.batch_open[vm] < BATCH_PER_VM {
                self.batch_open[vm] += 1;
                self.submit(vm, 0, TrafficClass::Batch);
            }
        }
    }

    fn submit(&mut self, vm: usize, organisation: usize, class: TrafficClass) {
        let online = class == TrafficClass::Online;
        let wait = if online { 10 } else { 3_600 };
        let request = TicketRequest {
            wait_limit: None,
            service: "assistant".into(),
            organisation: Some(format!("o{organisation}").into()),
            priority: 0,
            class,
            prefix_hash: None,
            deadline: self.now + Duration::from_secs(wait),
            excluded: Vec::new(),
            body_bytes: 2_000,
            is_retry: false,
        };
        if online && self.measured(self.now) {
            self.figures.offered[organisation] += 1.0;
        }
        let call = self.policy.acquire(vm, request, self.now);
        let request = Request {
            organisation,
            online,
            arrived: self.now,
            sent: self.now,
            first_byte: None,
            target: None,
        };
        self.requests.insert(call, request);
    }

    fn decide(&mut self) {
        for decision in self.policy.take_decisions() {
            match decision {
                Decision::Granted(call, target) => self.send(call, target),
                Decision::Refused(call) => self.refuse(call),
                Decision::Preempted(call) => self.preempt(call),
            }
        }
    }

    fn send(&mut self, call: Call, target: TargetId) {
        let Some(request) = self.requests.get_mut(&call) else {
            return;
        };
        let immediate = request.arrived == self.now;
        request.sent = self.now;
        request.target = Some(target.clone());
        self.next_sequence += 1;
        let mean = if request.online {
            ONLINE_TOKENS
        } else {
            BATCH_TOKENS
        };
        let tokens = self.random.random_range(0.5 * mean..1.5 * mean);
        let prefill = self.random.random_range(PREFILL_MS);
        let sequence = Sequence::new(self.next_sequence, prefill, tokens, request.online);
        self.by_sequence.insert(self.next_sequence, call);
        let delay = delay_ms(PLACES[call.0], self.place(&target));
        let due = self.now + Duration::from_millis(delay);
        self.starts.entry(due).or_default().push((target, sequence));
        if self.measured(self.now) {
            self.figures.granted += 1;
            self.figures.immediate += u64::from(immediate);
        }
    }

    fn place(&self, target: &TargetId) -> (&str, &str) {
        let spec = &self.config.targets[target];
        (spec.domain.as_str(), spec.region.as_str())
    }

    fn refuse(&mut self, call: Call) {
        let Some(request) = self.requests.remove(&call) else {
            return;
        };
        if request.online && self.measured(request.arrived) {
            self.figures.refused += 1;
        }
        if !request.online {
            self.batch_open[call.0] -= 1;
        }
    }

    fn preempt(&mut self, call: Call) {
        let Some(request) = self.requests.remove(&call) else {
            return;
        };
        let sequence = self.by_sequence.iter().find(|(_, each)| **each == call);
        if let (Some((&id, _)), Some(target)) = (sequence, &request.target) {
            self.by_sequence.remove(&id);
            for starts in self.starts.values_mut() {
                starts.retain(|(_, each)| each.id != id);
            }
            if let Some(engine) = self.engines.get_mut(target) {
                engine.cancel(id);
            }
        }
        self.batch_open[call.0] -= 1;
        if self.measured(self.now) {
            self.figures.preempted += 1;
            self.figures.wasted += self.now.saturating_sub(request.sent).as_secs_f64();
        }
        self.policy.finish(call, CallOutcome::Abandoned, self.now);
    }

    fn run_engines(&mut self) {
        while let Some(entry) = self.starts.first_entry()
            && *entry.key() <= self.now
        {
            for (target, sequence) in entry.remove() {
                if let Some(engine) = self.engines.get_mut(&target) {
                    engine.start(sequence);
                }
            }
        }
        let mut events = Vec::new();
        let (mut idle, mut batch) = (0.0, 0.0);
        let measured = self.measured(self.now);
        for engine in self.engines.values_mut() {
            events.extend(engine.step(1.0));
            if self.now.as_millis().is_multiple_of(50) {
                engine.snapshot(self.now);
            }
            let online = f64::from(u32::try_from(engine.online()).unwrap_or(0));
            idle += (f64::from(KNEE) - online).max(0.0) / 1_000.0;
            let present = f64::from(u32::try_from(engine.present()).unwrap_or(0));
            batch += (present - online) / 1_000.0;
            if measured {
                self.figures.most_present = self.figures.most_present.max(engine.present());
            }
        }
        if measured {
            self.figures.batch_possible += idle / BATCH_SECONDS;
            self.figures.idle_slots += idle;
            self.figures.batch_slots += batch;
        }
        for event in events {
            self.take_event(&event);
        }
    }

    fn take_event(&mut self, event: &EngineEvent) {
        match event {
            EngineEvent::FirstToken(id) => {
                let call = self.by_sequence.get(id);
                if let Some(request) = call.and_then(|call| self.requests.get_mut(call)) {
                    request.first_byte = Some(self.now.saturating_sub(request.sent));
                }
            }
            EngineEvent::Done(id) => {
                if let Some(call) = self.by_sequence.remove(id) {
                    self.complete(call);
                }
            }
        }
    }

    fn complete(&mut self, call: Call) {
        let Some(request) = self.requests.remove(&call) else {
            return;
        };
        let first_byte = request.first_byte.unwrap_or_default();
        self.record(&request, first_byte);
        if !request.online {
            self.batch_open[call.0] -= 1;
        }
        let outcome = CallOutcome::Completed { first_byte };
        self.policy.finish(call, outcome, self.now);
    }

    fn record(&mut self, request: &Request, first_byte: Duration) {
        if !request.online {
            self.figures.batch_done += f64::from(u8::from(self.measured(self.now)));
            return;
        }
        if !self.measured(request.arrived) {
            return;
        }
        let target = request.target.as_ref();
        let waited = request.sent.saturating_sub(request.arrived);
        let first_token = waited + first_byte;
        debug_assert!(target.is_some());
        self.figures.first_tokens.push(first_token);
        if first_token <= USEFUL {
            self.figures.served[request.organisation] += 1.0;
        } else {
            self.figures.late += 1;
        }
    }
}

/// Online requests per second that the engines can serve at the knee.
pub fn online_capacity(engines: usize) -> f64 {
    let seconds = ONLINE_SECONDS / 1.05 * slowdown(16);
    f64::from(KNEE) * f64::from(u32::try_from(engines).unwrap_or(0)) / seconds
}
