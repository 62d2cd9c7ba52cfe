//! Limits of calls.

use std::time::Duration;

/// Time until a connection to a target is open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of the calls of one caller.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Further tries after the first one, each with its own ticket.
    pub retries: u32,
    /// Largest answer, in bytes.
    pub answer_bytes: usize,
    /// Largest body kept under an idempotency key, in bytes. A table row should stay small.
    pub stored_bytes: usize,
    /// Time until the first event of a stream. Ten times the first-token target, for deep engine queues.
    pub first_event: Duration,
    /// Longest pause within a stream. Tokens come every 30 ms, so this is a hung target.
    pub idle: Duration,
    /// Delay of a hedged try while too few durations of the service are known.
    pub hedge_initial: Duration,
    /// Shortest delay of a hedged try, so that fast services are not called twice all the time.
    pub hedge_floor: Duration,
    /// Time beyond the deadline until a recorded call that is still open counts as lost with its VM.
    pub record_margin: Duration,
    /// Pause between attempts to complete a record while the store fails.
    pub record_retry: Duration,
    /// Attempts to complete a record.
    pub record_attempts: u32,
}

impl Default for CallLimits {
    fn default() -> CallLimits {
        CallLimits {
            retries: 2,
            answer_bytes: 32 * 1024 * 1024,
            stored_bytes: 256 * 1024,
            first_event: Duration::from_secs(13),
            idle: Duration::from_secs(10),
            hedge_initial: Duration::from_millis(500),
            hedge_floor: Duration::from_millis(10),
            record_margin: Duration::from_secs(5),
            record_retry: Duration::from_millis(500),
            record_attempts: 20,
        }
    }
}
