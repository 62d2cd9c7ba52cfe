//! Simulation of clients, engines and a dispatch policy in virtual time.

use crate::engine::{Engine, EngineEvent, KNEE, Sequence, slowdown};
use crate::policy::{CallId, Decision, Policy, VM_LOCATIONS, delay_ms};
use plantainmill_config::FleetConfig;
use plantainmill_core::{RegionSet, TargetId, Uptime};
use plantainmill_dispatch::{CallOutcome, TicketRequest, TrafficClass};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Mean output tokens of an online request.
pub const ONLINE_TOKENS: f64 = 60.0;
/// Mean output tokens of a batch item.
const BATCH_TOKENS: f64 = 150.0;
/// Range of the prompt processing time of a single request, in milliseconds.
const PREFILL_MS: std::ops::Range<f64> = 100.0..300.0;
/// Duration of an online request of mean length at half the knee, in seconds.
pub const ONLINE_SECONDS: f64 = (200.0 + ONLINE_TOKENS * 20.0) * 1.05 / 1_000.0;
/// Duration of a batch item of mean length at the knee, in seconds.
const BATCH_SECONDS: f64 = (200.0 + BATCH_TOKENS * 20.0) * 1.10 / 1_000.0;
/// Maximum time from arrival to first token for a response that counts as served.
const FIRST_TOKEN_LIMIT: Duration = Duration::from_secs(3);
/// Number of batch requests that each VM keeps waiting or running.
const BATCH_PER_VM: usize = 48;
/// Time before the measurement, in which the concurrency windows adapt.
const WARM_UP: Duration = Duration::from_secs(15);

/// Offered load of a simulation run.
#[derive(Clone)]
pub struct Scenario {
    /// Online requests per second of each organisation.
    pub rates: Vec<f64>,
    /// Multiple of the online rates during surges.
    pub surge: f64,
    /// Whether there is always batch work waiting.
    pub batch: bool,
    /// Duration of the measurement, after the warm-up.
    pub time: Duration,
}

/// Results of a simulation run.
#[derive(Default)]
pub struct RunMetrics {
    pub first_tokens: Vec<Duration>,
    pub offered: Vec<f64>,
    pub served: Vec<f64>,
    pub refused: u64,
    pub late: u64,
    pub batch_done: f64,
    pub batch_possible: f64,
    pub preempted: u64,
    pub granted: u64,
    /// Requests granted at the time of their arrival, without a round trip.
    pub immediate: u64,
    pub messages: u64,
    pub bytes: u64,
    pub max_engine_requests: usize,
    /// Slot seconds used by requests that were later preempted.
    pub preempted_slots: f64,
    /// Slot seconds used by batch requests.
    pub batch_slots: f64,
    /// Slot seconds below the knee that online requests leave idle.
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

/// State of a simulation run.
pub struct Simulation<'a> {
    policy: &'a mut dyn Policy,
    config: Arc<FleetConfig>,
    engines: BTreeMap<TargetId, Engine>,
    requests: BTreeMap<CallId, Request>,
    by_sequence: BTreeMap<u64, CallId>,
    starts: BTreeMap<Uptime, Vec<(TargetId, Sequence)>>,
    next_sequence: u64,
    random: SmallRng,
    open_batch: Vec<usize>,
    scenario: Scenario,
    metrics: RunMetrics,
    now: Uptime,
    start: Uptime,
}

impl<'a> Simulation<'a> {
    pub fn new(
        policy: &'a mut dyn Policy,
        config: &Arc<FleetConfig>,
        scenario: Scenario,
        start: Uptime,
    ) -> Simulation<'a> {
        let engines = config.targets.keys().cloned();
        let count = scenario.rates.len();
        Simulation {
            policy,
            config: Arc::clone(config),
            engines: engines.map(|id| (id, Engine::default())).collect(),
            requests: BTreeMap::new(),
            by_sequence: BTreeMap::new(),
            starts: BTreeMap::new(),
            next_sequence: 0,
            random: SmallRng::seed_from_u64(5),
            open_batch: vec![0; VM_LOCATIONS.len()],
            scenario,
            metrics: RunMetrics {
                offered: vec![0.0; count],
                served: vec![0.0; count],
                ..RunMetrics::default()
            },
            now: start,
            start,
        }
    }

    pub fn run(mut self) -> RunMetrics {
        let end = self.start + WARM_UP + self.scenario.time;
        let mut traffic = (0, 0);
        while self.now < end {
            if self.now == self.start + WARM_UP {
                traffic = self.policy.traffic();
            }
            self.now += Duration::from_millis(1);
            self.generate_arrivals();
            self.submit_batch();
            self.policy.step(self.now, &mut self.engines);
            self.apply_decisions();
            self.run_engines();
            self.apply_decisions();
        }
        let (messages, bytes) = self.policy.traffic();
        self.metrics.messages = messages - traffic.0;
        self.metrics.bytes = bytes - traffic.1;
        self.metrics
    }

    fn measured(&self, time: Uptime) -> bool {
        time >= self.start + WARM_UP
    }

    /// Returns the current rate multiple. The first two of every eight seconds are a surge.
    fn surge(&self) -> f64 {
        let phase = self.now.as_millis() % 8_000;
        if phase < 2_000 {
            self.scenario.surge
        } else {
            1.0
        }
    }

    fn generate_arrivals(&mut self) {
        let surge = self.surge();
        for organisation in 0..self.scenario.rates.len() {
            let chance = self.scenario.rates[organisation] * surge / 1_000.0;
            if self.random.random::<f64>() < chance {
                let vm = self.random.random_range(0..VM_LOCATIONS.len());
                self.submit(vm, organisation, TrafficClass::Online);
            }
        }
    }

    fn submit_batch(&mut self) {
        if !self.scenario.batch {
            return;
        }
        for vm in 0..VM_LOCATIONS.len() {
            while self.open_batch[vm] < BATCH_PER_VM {
                self.open_batch[vm] += 1;
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
            parts: Vec::new(),
            fingerprint: None,
            version: None,
            barred: Vec::new(),
            spared: Vec::new(),
            deadline: self.now + Duration::from_secs(wait),
            excluded: Vec::new(),
            regions: RegionSet::Everywhere,
            body_bytes: 2_000,
            is_retry: false,
            needs_idle_slot: false,
        };
        if online && self.measured(self.now) {
            self.metrics.offered[organisation] += 1.0;
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

    fn apply_decisions(&mut self) {
        for decision in self.policy.take_decisions() {
            match decision {
                Decision::Granted(call, target) => self.send(call, target),
                Decision::Refused(call) => self.refuse(call),
                Decision::Preempted(call) => self.preempt(call),
            }
        }
    }

    fn send(&mut self, call: CallId, target: TargetId) {
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
        let delay = delay_ms(VM_LOCATIONS[call.0], self.location_of(&target));
        let due = self.now + Duration::from_millis(delay);
        self.starts.entry(due).or_default().push((target, sequence));
        if self.measured(self.now) {
            self.metrics.granted += 1;
            self.metrics.immediate += u64::from(immediate);
        }
    }

    fn location_of(&self, target: &TargetId) -> (&str, &str) {
        let spec = &self.config.targets[target];
        (spec.domain.as_str(), spec.region.as_str())
    }

    fn refuse(&mut self, call: CallId) {
        let Some(request) = self.requests.remove(&call) else {
            return;
        };
        if request.online && self.measured(request.arrived) {
            self.metrics.refused += 1;
        }
        if !request.online {
            self.open_batch[call.0] -= 1;
        }
    }

    fn preempt(&mut self, call: CallId) {
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
        self.open_batch[call.0] -= 1;
        if self.measured(self.now) {
            self.metrics.preempted += 1;
            self.metrics.preempted_slots += self.now.saturating_sub(request.sent).as_secs_f64();
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
                engine.record_report(self.now);
            }
            let online = f64::from(u32::try_from(engine.online_count()).unwrap_or(0));
            idle += (f64::from(KNEE) - online).max(0.0) / 1_000.0;
            let present = f64::from(u32::try_from(engine.request_count()).unwrap_or(0));
            batch += (present - online) / 1_000.0;
            if measured {
                self.metrics.max_engine_requests =
                    self.metrics.max_engine_requests.max(engine.request_count());
            }
        }
        if measured {
            self.metrics.batch_possible += idle / BATCH_SECONDS;
            self.metrics.idle_slots += idle;
            self.metrics.batch_slots += batch;
        }
        for event in events {
            self.apply_event(&event);
        }
    }

    fn apply_event(&mut self, event: &EngineEvent) {
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

    fn complete(&mut self, call: CallId) {
        let Some(request) = self.requests.remove(&call) else {
            return;
        };
        let first_byte = request.first_byte.unwrap_or_default();
        self.record(&request, first_byte);
        if !request.online {
            self.open_batch[call.0] -= 1;
        }
        let outcome = CallOutcome::Completed { first_byte };
        self.policy.finish(call, outcome, self.now);
    }

    fn record(&mut self, request: &Request, first_byte: Duration) {
        if !request.online {
            self.metrics.batch_done += f64::from(u8::from(self.measured(self.now)));
            return;
        }
        if !self.measured(request.arrived) {
            return;
        }
        let target = request.target.as_ref();
        let waited = request.sent.saturating_sub(request.arrived);
        let first_token = waited + first_byte;
        debug_assert!(target.is_some());
        self.metrics.first_tokens.push(first_token);
        if first_token <= FIRST_TOKEN_LIMIT {
            self.metrics.served[request.organisation] += 1.0;
        } else {
            self.metrics.late += 1;
        }
    }
}

/// Returns the number of online requests per second that `engines` engines serve at the knee.
pub fn online_capacity(engines: usize) -> f64 {
    let seconds = ONLINE_SECONDS / 1.05 * slowdown(16);
    f64::from(KNEE) * f64::from(u32::try_from(engines).unwrap_or(0)) / seconds
}
