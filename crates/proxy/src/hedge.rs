//! When a slow call is sent to a second target.

use crate::limits::CallLimits;
use plantainmill_core::ServiceName;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Durations kept per service.
const WINDOW: usize = 128;
/// Fewest durations from which a percentile is taken.
const LEAST_SAMPLES: usize = 20;
/// Percentile after which a call counts as slow: one in twenty is sent twice.
const SLOW_PERCENT: usize = 95;

/// Recent durations of whole calls of services that hedge.
#[derive(Debug, Default)]
pub(crate) struct HedgeDelays {
    services: BTreeMap<ServiceName, VecDeque<Duration>>,
}

impl HedgeDelays {
    /// Records a completed call.
    pub fn record(&mut self, service: &str, duration: Duration) {
        let window = self.services.entry(service.into()).or_default();
        if window.len() == WINDOW {
            window.pop_front();
        }
        window.push_back(duration);
    }

    /// How long a call of `service` may take before a second target is asked.
    pub fn delay(&self, service: &str, limits: &CallLimits) -> Duration {
        let Some(window) = self.services.get(service) else {
            return limits.hedge_initial;
        };
        if window.len() < LEAST_SAMPLES {
            return limits.hedge_initial;
        }
        let mut sorted: Vec<Duration> = window.iter().copied().collect();
        sorted.sort_unstable();
        let slow = sorted[sorted.len() * SLOW_PERCENT / 100];
        slow.max(limits.hedge_floor)
    }
}
