//! A model engine in virtual time: continuous batching without priorities.

use plantainmill_core::Uptime;
use plantainmill_provider::LoadReport;
use std::collections::VecDeque;
use std::time::Duration;

/// Requests decoded together before decoding slows in proportion.
pub const KNEE: u32 = 16;
/// Requests that the engine decodes at most; further ones wait inside it.
const WIDTH_LIMIT: usize = 24;
/// Time of a decode step with one request.
const STEP_MS: f64 = 20.0;
/// Slow-down from one request to the knee: decoding is bound by memory there.
const SLOPE_TO_KNEE: f64 = 0.10;
/// Age of the load reports.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// A request inside the engine.
pub struct Sequence {
    pub id: u64,
    /// Prompt processing left, in milliseconds at width one.
    pub prefill_ms: f64,
    /// Tokens left.
    pub tokens: f64,
    pub online: bool,
    first_sent: bool,
}

impl Sequence {
    pub fn new(id: u64, prefill_ms: f64, tokens: f64, online: bool) -> Sequence {
        Sequence {
            id,
            prefill_ms,
            tokens,
            online,
            first_sent: false,
        }
    }
}

/// What a step of the engine gave.
pub enum EngineEvent {
    FirstToken(u64),
    Done(u64),
}

/// The engine.
#[derive(Default)]
pub struct Engine {
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    reports: VecDeque<(Uptime, LoadReport)>,
}

/// Slow-down at a width.
pub fn slowdown(width: usize) -> f64 {
    let relative = f64::from(u32::try_from(width).unwrap_or(u32::MAX)) / f64::from(KNEE);
    if relative <= 1.0 {
        1.0 + SLOPE_TO_KNEE * relative
    } else {
        (1.0 + SLOPE_TO_KNEE) * relative
    }
}

impl Engine {
    pub fn start(&mut self, sequence: Sequence) {
        if self.running.len() < WIDTH_LIMIT {
            self.running.push(sequence);
        } else {
            self.waiting.push_back(sequence);
        }
    }

    pub fn cancel(&mut self, id: u64) {
        self.running.retain(|each| each.id != id);
        self.waiting.retain(|each| each.id != id);
    }

    /// Online requests inside.
    pub fn online(&self) -> usize {
        let all = self.running.iter().chain(&self.waiting);
        all.filter(|each| each.online).count()
    }

    /// Requests inside.
    pub fn present(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Lets `millis` pass.
    pub fn step(&mut self, millis: f64) -> Vec<EngineEvent> {
        let progress = millis / slowdown(self.running.len());
        let mut events = Vec::new();
        for each in &mut self.running {
            if each.prefill_ms > 0.0 {
                each.prefill_ms -= progress;
                continue;
            }
            if !each.first_sent {
                each.first_sent = true;
                events.push(EngineEvent::FirstToken(each.id));
            }
            each.tokens -= progress / STEP_MS;
            if each.tokens <= 0.0 {
                events.push(EngineEvent::Done(each.id));
            }
        }
        self.running.retain(|each| each.tokens > 0.0);
        while self.running.len() < WIDTH_LIMIT
            && let Some(next) = self.waiting.pop_front()
        {
            self.running.push(next);
        }
        events
    }

    /// Notes the load for later reports.
    pub fn snapshot(&mut self, now: Uptime) {
        let count = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
        let report = LoadReport {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            capacity: KNEE,
            models: vec!["assistant".into()],
            leaving: false,
        };
        self.reports.push_back((now, report));
    }

    /// The newest report that is old enough.
    pub fn report(&mut self, now: Uptime) -> LoadReport {
        while self.reports.len() > 1 && self.reports[1].0 + REPORT_LAG <= now {
            self.reports.pop_front();
        }
        let first = self.reports.front();
        first.map(|(_, report)| report.clone()).unwrap_or_default()
    }
}
