//! Simulated model engine with continuous batching and no priorities, in virtual time.

use plantainmill_core::Uptime;
use plantainmill_provider::LoadReport;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of concurrent requests above which decoding slows in proportion to their number.
pub const KNEE: u32 = 16;
/// Maximum number of requests decoded together; further ones wait inside the engine.
const MAX_BATCH_WIDTH: usize = 24;
/// Duration of a decode step with one request.
const DECODE_STEP_MS: f64 = 20.0;
/// Relative slowdown of decoding at the knee. It is small because decoding is memory-bound below the knee.
const SLOPE_TO_KNEE: f64 = 0.10;
/// Minimum age of a load report when it is delivered.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// A request that runs or waits inside the engine.
pub struct Sequence {
    pub id: u64,
    /// Remaining prompt processing, in milliseconds for a single request.
    pub prefill_ms: f64,
    /// Remaining output tokens.
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

/// Progress of a request, identified by its sequence id, in a step of the engine.
pub enum EngineEvent {
    FirstToken(u64),
    Done(u64),
}

/// Simulated engine of one target.
#[derive(Default)]
pub struct Engine {
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    reports: VecDeque<(Uptime, LoadReport)>,
}

/// Factor by which decoding slows down with `width` concurrent requests.
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
        if self.running.len() < MAX_BATCH_WIDTH {
            self.running.push(sequence);
        } else {
            self.waiting.push_back(sequence);
        }
    }

    pub fn cancel(&mut self, id: u64) {
        self.running.retain(|each| each.id != id);
        self.waiting.retain(|each| each.id != id);
    }

    /// Number of online requests in the engine, running or waiting.
    pub fn online_count(&self) -> usize {
        let all = self.running.iter().chain(&self.waiting);
        all.filter(|each| each.online).count()
    }

    /// Number of requests in the engine, running or waiting.
    pub fn request_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Advances the engine by `millis` and returns the progress of its requests.
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
            each.tokens -= progress / DECODE_STEP_MS;
            if each.tokens <= 0.0 {
                events.push(EngineEvent::Done(each.id));
            }
        }
        self.running.retain(|each| each.tokens > 0.0);
        while self.running.len() < MAX_BATCH_WIDTH
            && let Some(next) = self.waiting.pop_front()
        {
            self.running.push(next);
        }
        events
    }

    /// Records the current load, to be reported after [`REPORT_DELAY`].
    pub fn record_report(&mut self, now: Uptime) {
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

    /// Returns the newest report that is at least [`REPORT_DELAY`] old, or else the oldest one.
    pub fn report(&mut self, now: Uptime) -> LoadReport {
        while self.reports.len() > 1 && self.reports[1].0 + REPORT_DELAY <= now {
            self.reports.pop_front();
        }
        let first = self.reports.front();
        first.map(|(_, report)| report.clone()).unwrap_or_default()
    }
}
