//! Decides when a request is hedged: sent to a second target because the first one is slower than usual.
//!
//! The delay follows the distribution of first responses on the same route, and a budget bounds the additional sends. Each
//! VM earns its budget by its own sends, so the VMs of a fleet keep the share together without messages.

use compact_str::CompactString;
use hdrhistogram::Histogram;
use plantainmill_core::Uptime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Percentile of the first responses from which a request counts as slower than usual.
const HEDGE_PERCENTILE: f64 = 95.0;
/// Smallest delay as a multiple of the median. Where all responses take about as long, the percentile alone would hedge
/// requests that are not slow.
const MIN_MEDIAN_FACTOR: u32 = 2;
/// Smallest number of responses in the window by which a delay is determined.
const MIN_SAMPLES: u64 = 20;
/// Length of half of the sliding window of responses.
const HALF_WINDOW: Duration = Duration::from_secs(10);
/// Longest time to a first response that the histograms distinguish, in microseconds.
const MAX_SAMPLE_US: u64 = 60_000_000;
/// Significant decimal digits of the histograms: delays are exact to 1 %.
const SAMPLE_DIGITS: u8 = 2;
/// Time whose sends earn the largest budget that a VM may have saved.
const SAVED_TIME: Duration = Duration::from_secs(2);
/// Smallest bound on the saved budget, in sends. A VM with few requests could otherwise never save a whole send.
const MIN_SAVED_SENDS: f64 = 1.0;
/// Rounding error of the budget, in sends.
const BUDGET_ERROR: f64 = 1e-9;
/// Time for which a computed delay is used again. Merging the histograms for each send would cost more than it tells.
const DELAY_VALIDITY: Duration = Duration::from_millis(500);
/// Largest number of routes for which responses are kept.
const MAX_ROUTES: usize = 1_024;

/// Share of all sends by which requests may be hedged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HedgeSettings {
    /// Additional sends in percent of all sends; zero for none.
    pub percent: f64,
    /// Percentages of single routes by name, which have a budget of their own.
    pub routes: BTreeMap<CompactString, f64>,
}

impl HedgeSettings {
    /// Whether requests of any route may be hedged.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.percent > 0.0 || self.routes.values().any(|percent| *percent > 0.0)
    }

    fn share_of(&self, route: &str) -> f64 {
        self.routes.get(route).copied().unwrap_or(self.percent) / 100.0
    }
}

/// First responses of one route within the last one or two half windows, in microseconds.
#[derive(Debug)]
struct ResponseWindow {
    current: Histogram<u64>,
    former: Histogram<u64>,
    begun_at: Uptime,
    /// Last delay, and when it was computed.
    computed: Option<(Uptime, Duration)>,
}

impl ResponseWindow {
    fn new(now: Uptime) -> Option<ResponseWindow> {
        let current = Histogram::new_with_bounds(1, MAX_SAMPLE_US, SAMPLE_DIGITS).ok()?;
        Some(ResponseWindow {
            former: current.clone(),
            current,
            begun_at: now,
            computed: None,
        })
    }

    fn advance(&mut self, now: Uptime) {
        let elapsed = now.saturating_sub(self.begun_at);
        if elapsed < HALF_WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.former);
        self.current.reset();
        if elapsed >= 2 * HALF_WINDOW {
            self.former.reset();
        }
        self.begun_at = now;
    }

    fn record(&mut self, duration: Duration, now: Uptime) {
        self.advance(now);
        let sample = u64::try_from(duration.as_micros()).unwrap_or(MAX_SAMPLE_US);
        self.current.saturating_record(sample.max(1));
    }

    /// Time after which a request counts as slower than usual; `None` with too few responses.
    fn delay(&mut self, now: Uptime) -> Option<Duration> {
        match self.computed {
            Some((at, delay)) if now.saturating_sub(at) < DELAY_VALIDITY => Some(delay),
            _ => {
                let delay = self.compute_delay(now)?;
                self.computed = Some((now, delay));
                Some(delay)
            }
        }
    }

    fn compute_delay(&mut self, now: Uptime) -> Option<Duration> {
        self.advance(now);
        let mut all = self.former.clone();
        all.add(&self.current).ok()?;
        if all.len() < MIN_SAMPLES {
            return None;
        }
        let slow = Duration::from_micros(all.value_at_percentile(HEDGE_PERCENTILE));
        let median = Duration::from_micros(all.value_at_percentile(50.0));
        Some(slow.max(median * MIN_MEDIAN_FACTOR))
    }
}

/// Budget of additional sends. It is empty at the start, so that restarts do not add to it.
#[derive(Debug)]
struct HedgeBudget {
    sends: f64,
    /// Sends a second, as a moving average over [`SAVED_TIME`].
    send_rate: f64,
    earned_at: Uptime,
}

impl HedgeBudget {
    fn new(now: Uptime) -> HedgeBudget {
        HedgeBudget {
            sends: 0.0,
            send_rate: 0.0,
            earned_at: now,
        }
    }

    /// Earns the share of one send.
    fn earn(&mut self, share: f64, now: Uptime) {
        let time = SAVED_TIME.as_secs_f64();
        let elapsed = now.saturating_sub(self.earned_at).as_secs_f64();
        self.send_rate = self.send_rate * (-elapsed / time).exp() + 1.0 / time;
        self.earned_at = self.earned_at.max(now);
        let saved = (self.send_rate * time * share).max(MIN_SAVED_SENDS);
        self.sends = (self.sends + share).min(saved);
    }

    fn take(&mut self) -> bool {
        let has_send = self.sends >= 1.0 - BUDGET_ERROR;
        if has_send {
            self.sends = (self.sends - 1.0).max(0.0);
        }
        has_send
    }
}

/// State machine of the hedges of one VM.
#[derive(Debug)]
pub struct HedgePolicy {
    settings: HedgeSettings,
    windows: BTreeMap<CompactString, ResponseWindow>,
    /// Budget of all routes without a percentage of their own.
    common: HedgeBudget,
    budgets: BTreeMap<CompactString, HedgeBudget>,
}

impl HedgePolicy {
    /// A policy without budget and without responses, which starts at `now`.
    #[must_use]
    pub fn new(settings: HedgeSettings, now: Uptime) -> HedgePolicy {
        let own = settings.routes.keys();
        HedgePolicy {
            budgets: own
                .map(|route| (route.clone(), HedgeBudget::new(now)))
                .collect(),
            settings,
            windows: BTreeMap::new(),
            common: HedgeBudget::new(now),
        }
    }

    fn budget(&mut self, route: &str) -> &mut HedgeBudget {
        self.budgets.get_mut(route).unwrap_or(&mut self.common)
    }

    /// Records the first send of a request on `route`, and returns the time after which it may be hedged. `None` if
    /// the route has no hedges or too few responses are known.
    pub fn record_send(&mut self, route: &str, now: Uptime) -> Option<Duration> {
        let share = self.settings.share_of(route);
        if share <= 0.0 {
            return None;
        }
        self.budget(route).earn(share, now);
        self.windows.get_mut(route)?.delay(now)
    }

    /// Records the time from the first send of a request on `route` to its first response.
    pub fn record_response(&mut self, route: &str, duration: Duration, now: Uptime) {
        if self.settings.share_of(route) <= 0.0 {
            return;
        }
        if !self.windows.contains_key(route) {
            let window = ResponseWindow::new(now).filter(|_| self.windows.len() < MAX_ROUTES);
            let Some(window) = window else { return };
            self.windows.insert(route.into(), window);
        }
        if let Some(window) = self.windows.get_mut(route) {
            window.record(duration, now);
        }
    }

    /// Takes one additional send from the budget. Returns false if there is none.
    pub fn take(&mut self, route: &str) -> bool {
        self.settings.share_of(route) > 0.0 && self.budget(route).take()
    }

    /// Returns a send that was taken and not made, because no other target had a free slot.
    pub fn give_back(&mut self, route: &str) {
        self.budget(route).sends += 1.0;
    }

    /// Additional sends that this VM has saved, over all budgets.
    #[must_use]
    pub fn saved_sends(&self) -> f64 {
        let own: f64 = self.budgets.values().map(|budget| budget.sends).sum();
        own + self.common.sends
    }
}
