//! Limits and time-outs of calls.

use std::time::Duration;

/// Time-out for opening a connection to a target.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out for opening a connection to a target that another VM may reach instead, and for probing a path: many round trips
/// between regions.
pub const PATH_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Limits of the calls that one [`HttpCaller`](crate::HttpCaller) makes.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Maximum number of attempts after the first one. Each has its own ticket.
    pub max_retries: u32,
    /// Maximum size of a response, in bytes.
    pub max_response_bytes: usize,
    /// Maximum size of a response body that is stored under an idempotency key, in bytes. It keeps table rows small.
    pub max_stored_bytes: usize,
    /// Time-out for the first event of a stream: ten times the objective for the first token, to allow for deep engine
    /// queues.
    pub first_event_timeout: Duration,
    /// Maximum pause within a stream. Tokens arrive every 30 ms, so a longer pause means that the target hangs.
    pub idle_timeout: Duration,
    /// Delay of a hedged attempt while there are too few durations of the service for a percentile.
    pub initial_hedge_delay: Duration,
    /// Minimum delay of a hedged attempt. Without it, fast services would regularly be called twice.
    pub min_hedge_delay: Duration,
    /// Time after its deadline at which a call without a recorded result counts as lost with its VM.
    pub lost_call_margin: Duration,
    /// Delay between attempts to complete a record while the store fails.
    pub record_retry_delay: Duration,
    /// Maximum number of attempts to complete a record.
    pub max_record_attempts: u32,
}

impl Default for CallLimits {
    fn default() -> CallLimits {
        CallLimits {
            max_retries: 2,
            max_response_bytes: 32 * 1024 * 1024,
            max_stored_bytes: 256 * 1024,
            first_event_timeout: Duration::from_secs(13),
            idle_timeout: Duration::from_secs(10),
            initial_hedge_delay: Duration::from_millis(500),
            min_hedge_delay: Duration::from_millis(10),
            lost_call_margin: Duration::from_secs(5),
            record_retry_delay: Duration::from_millis(500),
            max_record_attempts: 20,
        }
    }
}
