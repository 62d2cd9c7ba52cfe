//! Computes the delay after which a slow call is hedged at a second target.

use crate::limits::CallLimits;
use plantainmill_core::ServiceName;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Durations kept per service.
const MAX_SAMPLES: usize = 128;
/// With fewer samples the initial delay applies instead of the percentile.
const MIN_SAMPLES: usize = 20;
/// Percentile of the durations at which a call is hedged: about one call in twenty is sent twice.
const HEDGE_PERCENTILE: usize = 95;

/// Recent durations of complete calls, per service that hedges.
#[derive(Debug, Default)]
pub(crate) struct HedgeDelays {
    services: BTreeMap<ServiceName, VecDeque<Duration>>,
}

impl HedgeDelays {
    /// Records the duration of a completed call.
    pub fn record(&mut self, service: &str, duration: Duration) {
        let samples = self.services.entry(service.into()).or_default();
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(duration);
    }

    /// Time that a call of `service` may take before it is sent to a second target.
    pub fn delay(&self, service: &str, limits: &CallLimits) -> Duration {
        let Some(samples) = self.services.get(service) else {
            return limits.initial_hedge_delay;
        };
        if samples.len() < MIN_SAMPLES {
            return limits.initial_hedge_delay;
        }
        let mut sorted: Vec<Duration> = samples.iter().copied().collect();
        sorted.sort_unstable();
        let slow = sorted[sorted.len() * HEDGE_PERCENTILE / 100];
        slow.max(limits.min_hedge_delay)
    }
}
