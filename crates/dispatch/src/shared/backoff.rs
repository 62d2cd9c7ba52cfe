//! Backoff from targets that failed recently, by the outcomes of calls.

use crate::dispatcher::CallOutcome;
use plantainmill_core::Uptime;
use std::time::Duration;

/// Backoff after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff after consecutive failures.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Backoff after a target rejected a request: it was full although it appeared to have a free slot.
const REJECTION_BACKOFF: Duration = Duration::from_millis(60);

/// Backoff from one target, by the outcomes of this VM's calls.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetBackoff {
    failures: u32,
    backoff_until: Uptime,
}

impl TargetBackoff {
    /// Records the outcome of a call.
    pub fn record(&mut self, outcome: CallOutcome, now: Uptime) {
        match outcome {
            CallOutcome::Completed { .. } => {
                self.failures = 0;
                self.backoff_until = Uptime::ZERO;
            }
            CallOutcome::ConnectionLost | CallOutcome::StreamLost | CallOutcome::Failed => {
                let backoff = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(8));
                self.failures += 1;
                self.backoff_until = now + backoff.min(MAX_BACKOFF);
            }
            CallOutcome::Rejected => {
                self.backoff_until = self.backoff_until.max(now + REJECTION_BACKOFF);
            }
            CallOutcome::Abandoned => {}
        }
    }

    /// Whether the target should not receive requests at `now` if another one can.
    pub fn is_backing_off(&self, now: Uptime) -> bool {
        now < self.backoff_until
    }
}
