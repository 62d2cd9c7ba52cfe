//! Concurrency window of one target.

use plantainmill_core::Uptime;
use plantainmill_provider::LoadReport;
use std::time::Duration;

/// Requests in flight that a new window allows.
const INITIAL_SIZE: u32 = 4;
/// Smallest window; below one request a target would never be measured again.
const LEAST_SIZE: f64 = 1.0;
/// Jitter that never counts as congestion, however fast the target is.
const SLOW_ALLOWANCE: Duration = Duration::from_millis(25);
/// Share of the window that is left after congestion.
const SLOW_DECREASE: f64 = 0.85;
/// Share of the window that is left after the target refused a request.
const REJECT_DECREASE: f64 = 0.5;
/// Share of the window that is left when requests wait inside the engine.
const WAITING_DECREASE: f64 = 0.9;
/// Decreases are at least this far apart: answers to requests sent before a decrease still show the old load.
const DECREASE_PAUSE: Duration = Duration::from_millis(500);
/// Part of the window that has to be in use before it grows.
const USED_PART: f64 = 0.75;

/// How first-byte times are judged.
#[derive(Clone, Copy, Debug)]
struct WindowTuning {
    /// Weight of a new first-byte time in the average.
    gain: f64,
    /// An average above this multiple of the lowest recent one counts as congestion.
    slow_factor: f64,
    /// Samples before the average is compared.
    first_samples: u32,
    /// The lowest average is forgotten at this rate per sample, so that a lasting change is learned.
    lowest_drift: f64,
}

/// An owner sees all answers of a target. Single times differ with the length of the prompt: compared one by one with
/// the fastest, they cut windows of idle engines by a fifth. One short prompt at the start must not set the scale.
const OWNER_TUNING: WindowTuning = WindowTuning {
    gain: 0.1,
    slow_factor: 1.5,
    first_samples: 20,
    lowest_drift: 1.000_5,
};

/// A VM alone sees a few answers of a target in ten seconds, for which an average comes too late: with the owner's
/// tuning, the baseline's goodput at 1.5 times overload fell from 0.90 to 0.19 of the capacity.
const SINGLE_TUNING: WindowTuning = WindowTuning {
    gain: 1.0,
    slow_factor: 2.5,
    first_samples: 0,
    lowest_drift: 1.002,
};

/// Limits the requests in flight to one target: additive increase, multiplicative decrease.
#[derive(Clone, Debug)]
pub struct ConcurrencyWindow {
    size: f64,
    ceiling: f64,
    /// Width that the engine reports as not slowing its requests.
    capacity: f64,
    /// Recent average of first-byte times, in seconds.
    average: Option<f64>,
    samples: u32,
    /// Lowest recent average, in seconds.
    lowest: f64,
    decreased_at: Option<Uptime>,
    tuning: WindowTuning,
}

impl ConcurrencyWindow {
    /// A window of an owner. It never exceeds `ceiling` requests.
    #[must_use]
    pub fn new(ceiling: u32) -> ConcurrencyWindow {
        ConcurrencyWindow::with_size(ceiling, INITIAL_SIZE)
    }

    /// A window of a VM that sees only its own calls.
    #[must_use]
    pub fn for_single_vm(ceiling: u32) -> ConcurrencyWindow {
        ConcurrencyWindow {
            tuning: SINGLE_TUNING,
            ..ConcurrencyWindow::new(ceiling)
        }
    }

    /// A window that starts at `size` and never exceeds `ceiling` requests.
    #[must_use]
    pub fn with_size(ceiling: u32, size: u32) -> ConcurrencyWindow {
        let ceiling = f64::from(ceiling.max(1));
        ConcurrencyWindow {
            size: f64::from(size).clamp(LEAST_SIZE, ceiling),
            ceiling,
            capacity: f64::INFINITY,
            average: None,
            samples: 0,
            lowest: f64::INFINITY,
            decreased_at: None,
            tuning: OWNER_TUNING,
        }
    }

    /// Requests that may be in flight.
    #[must_use]
    pub fn size(&self) -> u32 {
        // The size lies between 1 and a u32, so the conversion neither truncates nor loses a sign.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let size = self.size.floor() as u32;
        size
    }

    /// Applies a changed limit from the configuration.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = f64::from(ceiling.max(1));
        self.size = self.size.min(self.ceiling);
    }

    /// Takes in the time to the first byte of an answer, with the requests that were in flight.
    pub fn on_first_byte(&mut self, first_byte: Duration, in_flight: u32, now: Uptime) {
        let sample = first_byte.as_secs_f64();
        let average = self.average.unwrap_or(sample);
        let average = average + self.tuning.gain * (sample - average);
        self.average = Some(average);
        self.samples = self.samples.saturating_add(1);
        if self.samples <= self.tuning.first_samples {
            self.grow(in_flight);
            return;
        }
        self.lowest = average.min(self.lowest * self.tuning.lowest_drift);
        if average > self.lowest * self.tuning.slow_factor + SLOW_ALLOWANCE.as_secs_f64() {
            self.decrease(SLOW_DECREASE, now);
        } else {
            self.grow(in_flight);
        }
    }

    /// Takes in that the target refused a request for overload.
    pub fn on_rejected(&mut self, now: Uptime) {
        self.decrease(REJECT_DECREASE, now);
    }

    /// Takes in a load report, which lags by up to a second. Requests that wait inside the engine are congestion.
    pub fn on_report(&mut self, report: &LoadReport, in_flight: u32, now: Uptime) {
        if report.capacity > 0 {
            self.capacity = f64::from(report.capacity);
            self.size = self.size.min(self.limit());
        }
        // A new owner learns from the first report how many requests the engine already runs without waiting.
        if self.samples == 0 && self.decreased_at.is_none() && report.waiting == 0 {
            self.size = self.size.max(f64::from(report.running)).min(self.limit());
        }
        if report.waiting > 0 {
            self.decrease(WAITING_DECREASE, now);
        } else if f64::from(in_flight) >= self.size * USED_PART {
            self.size = (self.size + 1.0).min(self.limit());
        }
    }

    fn limit(&self) -> f64 {
        self.ceiling.min(self.capacity)
    }

    fn grow(&mut self, in_flight: u32) {
        if f64::from(in_flight) >= self.size * USED_PART {
            self.size = (self.size + 1.0 / self.size).min(self.limit());
        }
    }

    fn decrease(&mut self, share: f64, now: Uptime) {
        let paused = self
            .decreased_at
            .is_some_and(|last| now < last + DECREASE_PAUSE);
        if !paused {
            self.size = (self.size * share).max(LEAST_SIZE);
            self.decreased_at = Some(now);
        }
    }
}
