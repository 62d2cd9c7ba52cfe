//! Metrics of target calls.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use plantainmill_core::Problem;
use plantainmill_dispatch::CallOutcome;

/// Counters of one `HttpCaller`.
#[derive(Clone, Debug)]
pub(crate) struct CallMeters {
    attempts: Counter<u64>,
    retries: Counter<u64>,
    hedges: Counter<u64>,
    problems: Counter<u64>,
    records: Counter<u64>,
}

impl CallMeters {
    pub fn new(meter: &Meter) -> CallMeters {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        CallMeters {
            attempts: counter("target_tries", "Tries of calls of targets, by outcome"),
            retries: counter("target_retries", "Tries after the first one"),
            hedges: counter("target_hedges", "Second tries of slow calls"),
            problems: counter(
                "target_problems",
                "Calls that failed, by result and executed",
            ),
            records: counter("call_records", "Idempotent calls, by what the store said"),
        }
    }

    pub fn count_attempt(&self, outcome: CallOutcome) {
        let name = match outcome {
            CallOutcome::Completed { .. } => "completed",
            CallOutcome::ConnectionLost => "connection_lost",
            CallOutcome::StreamLost => "stream_lost",
            CallOutcome::Failed => "failed",
            CallOutcome::Rejected => "rejected",
            CallOutcome::Abandoned => "abandoned",
        };
        self.attempts.add(1, &[KeyValue::new("outcome", name)]);
    }

    pub fn count_retry(&self) {
        self.retries.add(1, &[]);
    }

    pub fn count_hedge(&self) {
        self.hedges.add(1, &[]);
    }

    pub fn count_problem(&self, problem: &Problem) {
        let labels = [
            KeyValue::new("result", problem.code.name()),
            KeyValue::new("executed", problem.executed.as_str()),
        ];
        self.problems.add(1, &labels);
    }

    pub fn count_record(&self, event: &'static str) {
        self.records.add(1, &[KeyValue::new("event", event)]);
    }
}
