//! Delays between the attempts of a call that fails.

use std::time::Duration;

/// Share of a delay by which it is longer at some callers than at others, so that callers that have failed together do not
/// repeat their calls together.
const SPREAD_SHARE: u32 = 2;
/// Number of different delays within the spread.
const SPREAD_STEPS: u64 = 1_024;
/// Odd constant of a multiplicative hash.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Delays between the attempts of one call, each twice as long as the one before up to a maximum, and up to half as long again
/// by a spread that depends on the caller.
#[derive(Clone, Debug)]
pub struct RetryDelay {
    first: Duration,
    longest: Duration,
    seed: u64,
    failures: u32,
}

impl RetryDelay {
    /// Delays that begin with `first` and grow up to `longest`, without the spread. Each caller has another `seed`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration, seed: u64) -> RetryDelay {
        RetryDelay {
            first,
            longest,
            seed,
            failures: 0,
        }
    }

    /// Records a failed attempt, and returns the delay before the next one.
    pub fn record_failure(&mut self) -> Duration {
        let delay = self
            .first
            .saturating_mul(2_u32.saturating_pow(self.failures));
        let delay = delay.min(self.longest);
        self.failures = self.failures.saturating_add(1);
        let key = self.seed.wrapping_add(u64::from(self.failures));
        let step = (key.wrapping_mul(HASH_FACTOR) >> 32) % SPREAD_STEPS;
        let step = u32::try_from(step).unwrap_or(0);
        delay + delay / SPREAD_SHARE * step / u32::try_from(SPREAD_STEPS).unwrap_or(1)
    }

    /// Whether the last attempt failed.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Records a successful attempt: the next failure has the first delay again.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
