//! Ejection of failing targets and their return.

use crate::dispatcher::CallOutcome;
use plantainmill_core::Uptime;
use std::time::Duration;

/// Failures in a row that eject a target.
const FAILURES_IN_ROW: u32 = 3;
/// Outcomes kept for the failure share.
const HISTORY_BITS: u32 = 20;
/// Failures among the kept outcomes that eject a target.
const FAILURES_IN_HISTORY: u32 = 10;
/// First pause of an ejected target.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause of an ejected target.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// A probe without outcome is given up after this time.
const PROBE_LIMIT: Duration = Duration::from_secs(30);

/// Whether a target may get a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// It may.
    Healthy,
    /// One request may be sent to see whether the target works again.
    Probe,
    /// It may not.
    Ejected,
}

/// Health of one target as one VM sees it.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    /// Latest outcomes, one bit each; a set bit is a failure.
    history: u32,
    in_row: u32,
    ejected_until: Option<Uptime>,
    pause: Duration,
    probe_since: Option<Uptime>,
}

impl TargetHealth {
    /// Whether the target may get a request.
    #[must_use]
    pub fn state(&self, now: Uptime) -> HealthState {
        let Some(until) = self.ejected_until else {
            return HealthState::Healthy;
        };
        let probing = self
            .probe_since
            .is_some_and(|since| now < since + PROBE_LIMIT);
        if now < until || probing {
            HealthState::Ejected
        } else {
            HealthState::Probe
        }
    }

    /// Whether the target is ejected, under probe or not.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Notes that a request is sent to an ejected target as its probe.
    pub fn start_probe(&mut self, now: Uptime) {
        self.probe_since = Some(now);
    }

    /// Takes in an outcome. `may_eject` is false when the floor of the service is reached.
    /// Returns true when the target is ejected by it.
    pub fn record(&mut self, outcome: CallOutcome, may_eject: bool, now: Uptime) -> bool {
        match outcome {
            CallOutcome::Completed { .. } => self.record_success(),
            CallOutcome::Failed => return self.record_failure(may_eject, now),
            // Refusals and abandoned calls say nothing about the target's health.
            CallOutcome::Rejected | CallOutcome::Abandoned => self.probe_since = None,
        }
        false
    }

    fn record_success(&mut self) {
        self.in_row = 0;
        self.shift(0);
        if self.ejected_until.take().is_some() {
            self.history = 0;
            self.probe_since = None;
        }
        // The pause shrinks with every success, so that a target that fails again soon waits longer.
        self.pause /= 2;
    }

    fn record_failure(&mut self, may_eject: bool, now: Uptime) -> bool {
        self.in_row += 1;
        self.shift(1);
        let was_probe = self.probe_since.take().is_some();
        if self.ejected_until.is_some() {
            if was_probe {
                self.eject(now);
            }
            return false;
        }
        let failing =
            self.in_row >= FAILURES_IN_ROW || self.history.count_ones() >= FAILURES_IN_HISTORY;
        if failing && may_eject {
            self.eject(now);
            return true;
        }
        false
    }

    fn eject(&mut self, now: Uptime) {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.ejected_until = Some(now + self.pause);
    }

    fn shift(&mut self, failure: u32) {
        self.history = ((self.history << 1) | failure) & ((1 << HISTORY_BITS) - 1);
    }
}
