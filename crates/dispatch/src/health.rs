//! Ejection of failing targets, and their readmission by probe requests.

use crate::dispatcher::CallOutcome;
use plantainmill_core::Uptime;
use std::time::Duration;

/// Consecutive failures that eject a target.
const CONSECUTIVE_FAILURES: u32 = 3;
/// Number of recent outcomes that are kept.
const HISTORY_BITS: u32 = 20;
/// Failures among the recent outcomes that eject a target.
const FAILURES_IN_HISTORY: u32 = 10;
/// Shortest ejection.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time after which a probe without an outcome no longer blocks the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether a target may receive a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// The target may receive any number of requests.
    Healthy,
    /// The ejection time is over: one request may be sent to test whether the target works again.
    Probe,
    /// The target may not receive requests, because the ejection time runs or a probe is in flight.
    Ejected,
}

/// Health of one target, by the outcomes of one VM's calls.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    /// Latest outcomes, one bit each and the newest lowest; a set bit is a failure.
    history: u32,
    consecutive_failures: u32,
    ejected_until: Option<Uptime>,
    ejection_time: Duration,
    probe_since: Option<Uptime>,
}

impl TargetHealth {
    /// Whether the target may receive a request at `now`.
    #[must_use]
    pub fn state(&self, now: Uptime) -> HealthState {
        let Some(until) = self.ejected_until else {
            return HealthState::Healthy;
        };
        let probing = self
            .probe_since
            .is_some_and(|since| now < since + PROBE_TIMEOUT);
        if now < until || probing {
            HealthState::Ejected
        } else {
            HealthState::Probe
        }
    }

    /// Whether the target is ejected, even if it may receive a probe.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records that a request is sent to an ejected target as its probe.
    pub fn start_probe(&mut self, now: Uptime) {
        self.probe_since = Some(now);
    }

    /// Records an outcome, and returns whether it ejects the target. `may_eject` is false when too few targets of the
    /// service would stay in use.
    pub fn record(&mut self, outcome: CallOutcome, may_eject: bool, now: Uptime) -> bool {
        match outcome {
            CallOutcome::Completed { .. } => self.record_success(),
            CallOutcome::ConnectionLost | CallOutcome::StreamLost | CallOutcome::Failed => {
                return self.record_failure(may_eject, now);
            }
            // Rejected and abandoned calls say nothing about the target's health.
            CallOutcome::Rejected | CallOutcome::Abandoned => self.probe_since = None,
        }
        false
    }

    fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.push_history(0);
        if self.ejected_until.take().is_some() {
            self.history = 0;
            self.probe_since = None;
        }
        // Halved rather than reset, so that a target that soon fails again is ejected for longer.
        self.ejection_time /= 2;
    }

    fn record_failure(&mut self, may_eject: bool, now: Uptime) -> bool {
        self.consecutive_failures += 1;
        self.push_history(1);
        let was_probe = self.probe_since.take().is_some();
        if self.ejected_until.is_some() {
            if was_probe {
                self.eject(now);
            }
            return false;
        }
        let failing = self.consecutive_failures >= CONSECUTIVE_FAILURES
            || self.history.count_ones() >= FAILURES_IN_HISTORY;
        if failing && may_eject {
            self.eject(now);
            return true;
        }
        false
    }

    fn eject(&mut self, now: Uptime) {
        self.ejection_time = (self.ejection_time * 2).clamp(MIN_EJECTION, MAX_EJECTION);
        self.ejected_until = Some(now + self.ejection_time);
    }

    fn push_history(&mut self, failure: u32) {
        self.history = ((self.history << 1) | failure) & ((1 << HISTORY_BITS) - 1);
    }
}
