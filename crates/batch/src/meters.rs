//! Counters of the batch service.

use opentelemetry::metrics::{Counter, Meter};

/// Counters of the batch service on one VM.
#[derive(Clone, Debug)]
pub struct BatchMeters {
    /// Items finished with a successful response.
    pub items_completed: Counter<u64>,
    /// Items finished as failed, including responses with an error status.
    pub items_failed: Counter<u64>,
    /// Item runs that were deferred and do not count as attempts.
    pub items_deferred: Counter<u64>,
    /// Failed attempts of items.
    pub attempts_lost: Counter<u64>,
    /// Chunks claimed by this VM, including those taken over.
    pub chunks_claimed: Counter<u64>,
    /// Chunks taken over from expired holders.
    pub chunks_taken_over: Counter<u64>,
    /// Chunks lost to another holder with a later epoch.
    pub chunks_lost: Counter<u64>,
    /// Chunks released without being done.
    pub chunks_released: Counter<u64>,
    /// Commits of chunk rows by chunk tasks.
    pub commits: Counter<u64>,
    /// Claims that conflicted with a concurrent change, usually another VM's claim.
    pub claim_conflicts: Counter<u64>,
    /// Failed store calls, retried or not.
    pub store_retries: Counter<u64>,
    /// Times that a chunk task paused because uncommitted results reached the memory limit.
    pub memory_pauses: Counter<u64>,
    /// Jobs that this VM marked as completed.
    pub jobs_finished: Counter<u64>,
    /// Rows and mesh messages that could not be decoded.
    pub malformed: Counter<u64>,
    /// Expired entries whose data was deleted.
    pub expired: Counter<u64>,
}

impl BatchMeters {
    /// Registers the counters with `meter`.
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
