//! Metrics of the jobs of one VM.

use crate::owed::OwedState;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};
use std::time::Duration;

/// Instruments of a job service. Clones share them.
#[derive(Clone, Debug)]
pub struct JobMetrics {
    direct_reads: Counter<u64>,
    held_items: Counter<u64>,
    owed_items: Gauge<u64>,
    owed_seconds: Gauge<f64>,
    replaced_heads: Counter<u64>,
    expired_items: Counter<u64>,
    restarted_items: Counter<u64>,
}

impl JobMetrics {
    /// Registers the instruments at `meter`, with names that begin with `prefix`.
    #[must_use]
    pub fn new(meter: &Meter, prefix: &str) -> JobMetrics {
        let counter = |name: &str, description: &'static str| {
            let builder = meter.u64_counter(format!("{prefix}{name}"));
            builder.with_description(description).build()
        };
        JobMetrics {
            direct_reads: counter(
                "job_direct_reads",
                "Reads of job heads by this VM because no reader confirmed them",
            ),
            held_items: counter(
                "job_held_items",
                "Items that waited until the job heads were confirmed",
            ),
            owed_items: meter
                .u64_gauge(format!("{prefix}job_owed_items"))
                .with_description("Items that are owed and not at a target, by what they wait for")
                .build(),
            owed_seconds: meter
                .f64_gauge(format!("{prefix}job_owed_seconds"))
                .with_description(
                    "Longest time without a target of an item that is owed, by what it waits for",
                )
                .build(),
            replaced_heads: counter(
                "job_replaced_heads",
                "Heads of own jobs that this VM had not written",
            ),
            expired_items: counter(
                "job_expired_items",
                "Items whose retention ended while they waited to be sent",
            ),
            restarted_items: counter(
                "job_restarted_items",
                "Items whose output was discarded, so that they began anew",
            ),
        }
    }

    pub(crate) fn count_direct_read(&self) {
        self.direct_reads.add(1, &[]);
    }

    pub(crate) fn count_held_item(&self) {
        self.held_items.add(1, &[]);
    }

    /// Records how many items wait in a state, and the longest time for which one of them has been without a target.
    pub(crate) fn record_owed(&self, state: OwedState, count: u64, longest: Duration) {
        let attributes = [KeyValue::new("state", state.name())];
        self.owed_items.record(count, &attributes);
        self.owed_seconds.record(longest.as_secs_f64(), &attributes);
    }

    pub(crate) fn count_replaced_head(&self) {
        self.replaced_heads.add(1, &[]);
    }

    pub(crate) fn count_expired_item(&self) {
        self.expired_items.add(1, &[]);
    }

    pub(crate) fn count_restarted_item(&self) {
        self.restarted_items.add(1, &[]);
    }
}
