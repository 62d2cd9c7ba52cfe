//! Metrics of the jobs of one VM.

use opentelemetry::metrics::{Counter, Meter};

/// Counters of a job service. Clones share them.
#[derive(Clone, Debug)]
pub struct JobMetrics {
    direct_reads: Counter<u64>,
    held_items: Counter<u64>,
    replaced_heads: Counter<u64>,
}

impl JobMetrics {
    /// Registers the counters at `meter`, with names that begin with `prefix`.
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
            replaced_heads: counter(
                "job_replaced_heads",
                "Heads of own jobs that this VM had not written",
            ),
        }
    }

    pub(crate) fn count_direct_read(&self) {
        self.direct_reads.add(1, &[]);
    }

    pub(crate) fn count_held_item(&self) {
        self.held_items.add(1, &[]);
    }

    pub(crate) fn count_replaced_head(&self) {
        self.replaced_heads.add(1, &[]);
    }
}
