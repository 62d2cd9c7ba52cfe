//! Counters of the batch slice.

use opentelemetry::metrics::{Counter, Meter};

/// Counters of one VM.
#[derive(Clone, Debug)]
pub struct BatchMeters {
    /// Items finished with an answer.
    pub items_completed: Counter<u64>,
    /// Items finished as failed.
    pub items_failed: Counter<u64>,
    /// Runs of items that were put off without a lost attempt.
    pub items_deferred: Counter<u64>,
    /// Attempts lost by items.
    pub attempts_lost: Counter<u64>,
    /// Chunks claimed.
    pub chunks_claimed: Counter<u64>,
    /// Chunks taken over from holders that are gone.
    pub chunks_taken_over: Counter<u64>,
    /// Chunks lost to a later epoch.
    pub chunks_lost: Counter<u64>,
    /// Chunks released without being done.
    pub chunks_released: Counter<u64>,
    /// Commits of chunk rows.
    pub commits: Counter<u64>,
    /// Claims that met another VM's claim.
    pub claim_conflicts: Counter<u64>,
    /// Store calls that failed and were repeated.
    pub store_retries: Counter<u64>,
    /// Times that a VM paused because unsaved results reached the memory bound.
    pub memory_pauses: Counter<u64>,
    /// Jobs finished by this VM.
    pub jobs_finished: Counter<u64>,
    /// Rows and mesh messages that could not be decoded.
    pub malformed: Counter<u64>,
    /// Expired jobs and files that were deleted.
    pub expired: Counter<u64>,
}

impl BatchMeters {
    /// Registers the counters.
    #[must_use]
    pub fn new(meter: &Meter) -> BatchMeters {
        let counter = |name: &'static str| meter.u64_counter(name).build();
        BatchMeters {
            items_completed: counter("batch_items_completed"),
            items_failed: counter("batch_items_failed"),
            items_deferred: counter("batch_items_deferred"),
            attempts_lost: counter("batch_attempts_lost"),
            chunks_claimed: counter("batch_chunks_claimed"),
            chunks_taken_over: counter("batch_chunks_taken_over"),
            chunks_lost: counter("batch_chunks_lost"),
            chunks_released: counter("batch_chunks_released"),
            commits: counter("batch_commits"),
            claim_conflicts: counter("batch_claim_conflicts"),
            store_retries: counter("batch_store_retries"),
            memory_pauses: counter("batch_memory_pauses"),
            jobs_finished: counter("batch_jobs_finished"),
            malformed: counter("batch_malformed"),
            expired: counter("batch_expired"),
        }
    }
}
