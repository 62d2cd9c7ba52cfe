//! What an engine keeps: its load, its fault, and the requests it ran.

use super::EngineOptions;
use super::fault::EngineFault;
use actix_web::HttpRequest;
use compact_str::CompactString;
use plantainmill_provider::{EngineOrder, LoadReport};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Requests kept for `GET /recorded`; older ones are forgotten.
const RECORDED_LIMIT: usize = 20_000;
/// Header that ties an answer to its request.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";

/// How a request that ran ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// It still runs.
    Running,
    /// Its whole answer was produced.
    Completed,
    /// The client went away, and the work ended.
    Cancelled,
    /// A fault ended it.
    Failed,
}

/// A request that the engine ran.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RecordedRequest {
    /// Number of the execution, from 1.
    pub execution: u64,
    /// Its `x-request-id`.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// All headers as they came.
    pub headers: Vec<(String, String)>,
    /// How it ended.
    pub outcome: RunOutcome,
}

impl RecordedRequest {
    /// Value of the header `name`, given in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(each, _)| each == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// What an engine counted since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Requests that ran.
    pub executed: u64,
    /// Requests whose whole answer was produced.
    pub completed: u64,
    /// Requests whose client went away.
    pub cancelled: u64,
    /// Requests ended by a fault.
    pub failed: u64,
    /// Requests refused without running.
    pub refused: u64,
    /// Tokens decoded.
    pub tokens: u64,
}

#[derive(Debug)]
struct EngineInner {
    fault: EngineFault,
    counts: EngineCounts,
    recorded: VecDeque<RecordedRequest>,
    running: u32,
    /// Requests running after each change, for the lag of the load report.
    load_history: VecDeque<(Instant, u32)>,
    models: Vec<CompactString>,
    fencing: u64,
    leaving: bool,
}

/// State of an engine, shared by its handlers.
#[derive(Debug)]
pub(super) struct EngineState {
    /// Settings.
    pub options: EngineOptions,
    crashes: mpsc::UnboundedSender<Duration>,
    inner: Mutex<EngineInner>,
}

impl EngineState {
    pub fn new(options: EngineOptions, crashes: mpsc::UnboundedSender<Duration>) -> EngineState {
        let inner = EngineInner {
            fault: EngineFault::default(),
            counts: EngineCounts::default(),
            recorded: VecDeque::new(),
            running: 0,
            load_history: VecDeque::from([(Instant::now(), 0)]),
            models: options.models.clone(),
            fencing: 0,
            leaving: false,
        };
        EngineState {
            options,
            crashes,
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, EngineInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_fault(&self, fault: EngineFault) {
        self.lock().fault = fault;
    }

    pub fn take_fault(&self) -> EngineFault {
        self.lock().fault.take()
    }

    pub fn count_refused(&self) {
        self.lock().counts.refused += 1;
    }

    /// Asks the server to crash, and to restart after `delay` unless that is zero.
    pub fn order_crash(&self, delay: Duration) {
        // The receiver is gone only while the engine stops.
        let _ = self.crashes.send(delay);
    }

    pub fn recorded(&self) -> Vec<RecordedRequest> {
        self.lock().recorded.iter().cloned().collect()
    }

    pub fn counts(&self) -> EngineCounts {
        self.lock().counts
    }

    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Records a request that starts to run.
    pub fn begin_run(self: &Arc<Self>, request: &HttpRequest) -> RunGuard {
        let mut inner = self.lock();
        inner.counts.executed += 1;
        let execution = inner.counts.executed;
        if inner.recorded.len() >= RECORDED_LIMIT {
            inner.recorded.pop_front();
        }
        inner.recorded.push_back(record(execution, request));
        inner.change_running(1);
        RunGuard {
            state: Arc::clone(self),
            execution,
            outcome: RunOutcome::Cancelled,
        }
    }

    /// Time of one decode step at the present width.
    pub fn decode_step(&self) -> Duration {
        let running = self.lock().running.max(1) - 1;
        let width = f64::from(running) / f64::from(self.options.capacity.max(1));
        let factor = 1.0 + self.options.width_slope * width;
        self.options.decode_per_token.mul_f64(factor)
    }

    pub fn count_token(&self) {
        self.lock().counts.tokens += 1;
    }

    /// The load as it was `load_lag` ago.
    pub fn load_report(&self) -> LoadReport {
        let mut inner = self.lock();
        let as_of = Instant::now().checked_sub(self.options.load_lag);
        let load = as_of.map_or(0, |as_of| inner.load_at(as_of));
        let capacity = self.options.capacity;
        LoadReport {
            running: load.min(capacity),
            waiting: load.saturating_sub(capacity),
            capacity,
            models: inner.models.clone(),
            leaving: inner.leaving,
        }
    }

    /// Takes an order; `false` when its fencing number is old and the engine checks that.
    pub fn take_order(&self, order: EngineOrder) -> bool {
        let mut inner = self.lock();
        if self.options.checks_fencing && order.fencing < inner.fencing {
            return false;
        }
        inner.fencing = inner.fencing.max(order.fencing);
        inner.models.retain(|model| *model != order.model);
        if order.load {
            inner.models.push(order.model);
        }
        true
    }
}

impl EngineInner {
    fn change_running(&mut self, change: i32) {
        self.running = self.running.saturating_add_signed(change);
        let entry = (Instant::now(), self.running);
        self.load_history.push_back(entry);
        if self.load_history.len() > RECORDED_LIMIT {
            self.load_history.pop_front();
        }
    }

    /// Requests running at `as_of`. Older history is forgotten.
    fn load_at(&mut self, as_of: Instant) -> u32 {
        while self.load_history.get(1).is_some_and(|(at, _)| *at <= as_of) {
            self.load_history.pop_front();
        }
        let first = self.load_history.front();
        first.map_or(0, |(_, running)| *running)
    }

    fn end_run(&mut self, execution: u64, outcome: RunOutcome) {
        self.change_running(-1);
        match outcome {
            RunOutcome::Completed => self.counts.completed += 1,
            RunOutcome::Cancelled => self.counts.cancelled += 1,
            RunOutcome::Failed | RunOutcome::Running => self.counts.failed += 1,
        }
        let recorded = self.recorded.iter_mut().rev();
        let found = recorded
            .into_iter()
            .find(|request| request.execution == execution);
        if let Some(request) = found {
            request.outcome = outcome;
        }
    }
}

fn record(execution: u64, request: &HttpRequest) -> RecordedRequest {
    let headers = request.headers().iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes());
        (name.as_str().to_owned(), value.into_owned())
    });
    RecordedRequest {
        execution,
        request_id: request_id(request),
        method: request.method().to_string(),
        path: request.uri().to_string(),
        headers: headers.collect(),
        outcome: RunOutcome::Running,
    }
}

/// The request's `x-request-id`, or empty text.
pub(super) fn request_id(request: &HttpRequest) -> String {
    let value = request.headers().get(REQUEST_ID_HEADER);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// A request that runs. Dropping it before [`RunGuard::end`] counts as cancelled by the client.
pub(super) struct RunGuard {
    state: Arc<EngineState>,
    /// Number of the execution.
    pub execution: u64,
    outcome: RunOutcome,
}

impl RunGuard {
    pub fn end(mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.state.lock().end_run(self.execution, self.outcome);
    }
}
