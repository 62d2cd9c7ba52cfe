//! Concurrency window of one target.

use plantainmill_core::Uptime;
use plantainmill_provider::LoadReport;
use std::time::Duration;

/// Size of a new window, in requests in flight.
const INITIAL_SIZE: u32 = 4;
/// Smallest window. With less than one request in flight, no new response times would arrive.
const MIN_SIZE: f64 = 1.0;
/// Increase of the first-byte time that never counts as congestion, however fast the target is.
const JITTER_ALLOWANCE: Duration = Duration::from_millis(25);
/// Factor of the window after first-byte times showed congestion.
const CONGESTION_DECREASE: f64 = 0.85;
/// Factor of the window after the target rejected a request.
const REJECT_DECREASE: f64 = 0.5;
/// Factor of the window when requests wait inside the engine.
const WAITING_DECREASE: f64 = 0.9;
/// Shortest time between decreases: responses to requests sent before a decrease still show the old load.
const DECREASE_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the window that has to be in use for it to grow.
const GROWTH_UTILISATION: f64 = 0.75;

/// Parameters of the congestion detection by first-byte times.
#[derive(Clone, Copy, Debug)]
struct CongestionParameters {
    /// Weight of a new first-byte time in the moving average.
    gain: f64,
    /// An average above this multiple of the lowest recent one counts as congestion.
    congestion_factor: f64,
    /// Number of first samples that only build up the average and are not compared.
    warm_up_samples: u32,
    /// Factor by which the lowest average grows per sample, so that the window adapts to a lasting change.
    lowest_growth: f64,
}

/// Parameters of an owner, which sees all responses of a target. Single times vary with the length of the prompt:
/// compared one by one with the fastest, they cut the windows of idle engines by a fifth. The first samples are not
/// compared, so that one short prompt at the start does not set the lowest average.
const OWNER_PARAMETERS: CongestionParameters = CongestionParameters {
    gain: 0.1,
    congestion_factor: 1.5,
    warm_up_samples: 20,
    lowest_growth: 1.000_5,
};

/// Parameters of a VM that decides alone. It sees only a few responses of a target in ten seconds, for which an average
/// reacts too late: with the owner's parameters, the goodput of the local policy at 1.5 times overload falls from 0.90
/// to 0.19 of the capacity.
const SINGLE_VM_PARAMETERS: CongestionParameters = CongestionParameters {
    gain: 1.0,
    congestion_factor: 2.5,
    warm_up_samples: 0,
    lowest_growth: 1.002,
};

/// Limits the requests in flight to one target: additive increase, multiplicative decrease.
#[derive(Clone, Debug)]
pub struct ConcurrencyWindow {
    size: f64,
    ceiling: f64,
    /// Number of requests that the engine reports it can run without slowing them.
    capacity: f64,
    /// Moving average of first-byte times, in seconds.
    average: Option<f64>,
    samples: u32,
    /// Lowest recent value of the average, in seconds.
    lowest: f64,
    decreased_at: Option<Uptime>,
    parameters: CongestionParameters,
}

impl ConcurrencyWindow {
    /// A window for an owner, which never exceeds `ceiling` requests.
    #[must_use]
    pub fn new(ceiling: u32) -> ConcurrencyWindow {
        ConcurrencyWindow::with_size(ceiling, INITIAL_SIZE)
    }

    /// A window for a VM that sees only its own calls, which never exceeds `ceiling` requests.
    #[must_use]
    pub fn for_single_vm(ceiling: u32) -> ConcurrencyWindow {
        ConcurrencyWindow {
            parameters: SINGLE_VM_PARAMETERS,
            ..ConcurrencyWindow::new(ceiling)
        }
    }

    /// A window for an owner that starts at `size` and never exceeds `ceiling` requests.
    #[must_use]
    pub fn with_size(ceiling: u32, size: u32) -> ConcurrencyWindow {
        let ceiling = f64::from(ceiling.max(1));
        ConcurrencyWindow {
            size: f64::from(size).clamp(MIN_SIZE, ceiling),
            ceiling,
            capacity: f64::INFINITY,
            average: None,
            samples: 0,
            lowest: f64::INFINITY,
            decreased_at: None,
            parameters: OWNER_PARAMETERS,
        }
    }

    /// Number of requests that may be in flight; at least one.
    #[must_use]
    pub fn size(&self) -> u32 {
        // The size lies between 1 and a u32, so the conversion neither truncates nor loses a sign.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let size = self.size.floor() as u32;
        size
    }

    /// Applies a changed upper limit from the configuration.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = f64::from(ceiling.max(1));
        self.size = self.size.min(self.ceiling);
    }

    /// Records the time to the first byte of a response, with the number of requests that were in flight.
    pub fn on_first_byte(&mut self, first_byte: Duration, in_flight: u32, now: Uptime) {
        let sample = first_byte.as_secs_f64();
        let average = self.average.unwrap_or(sample);
        let average = average + self.parameters.gain * (sample - average);
        self.average = Some(average);
        self.samples = self.samples.saturating_add(1);
        if self.samples <= self.parameters.warm_up_samples {
            self.grow(in_flight);
            return;
        }
        self.lowest = average.min(self.lowest * self.parameters.lowest_growth);
        if average
            > self.lowest * self.parameters.congestion_factor + JITTER_ALLOWANCE.as_secs_f64()
        {
            self.decrease(CONGESTION_DECREASE, now);
        } else {
            self.grow(in_flight);
        }
    }

    /// Records that the target rejected a request because of overload.
    pub fn on_rejected(&mut self, now: Uptime) {
        self.decrease(REJECT_DECREASE, now);
    }

    /// Applies a load report, which lags by up to a second. Requests that wait inside the engine show congestion.
    pub fn on_report(&mut self, report: &LoadReport, in_flight: u32, now: Uptime) {
        if report.capacity > 0 {
            self.capacity = f64::from(report.capacity);
            self.size = self.size.min(self.limit());
        }
        // The first report shows a new owner how many requests the engine already runs without a queue.
        if self.samples == 0 && self.decreased_at.is_none() && report.waiting == 0 {
            self.size = self.size.max(f64::from(report.running)).min(self.limit());
        }
        if report.waiting > 0 {
            self.decrease(WAITING_DECREASE, now);
        } else if f64::from(in_flight) >= self.size * GROWTH_UTILISATION {
            self.size = (self.size + 1.0).min(self.limit());
        }
    }

    fn limit(&self) -> f64 {
        self.ceiling.min(self.capacity)
    }

    fn grow(&mut self, in_flight: u32) {
        if f64::from(in_flight) >= self.size * GROWTH_UTILISATION {
            self.size = (self.size + 1.0 / self.size).min(self.limit());
        }
    }

    fn decrease(&mut self, share: f64, now: Uptime) {
        let decreased_recently = self
            .decreased_at
            .is_some_and(|last| now < last + DECREASE_INTERVAL);
        if !decreased_recently {
            self.size = (self.size * share).max(MIN_SIZE);
            self.decreased_at = Some(now);
        }
    }
}
