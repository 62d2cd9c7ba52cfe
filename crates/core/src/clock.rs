//! Clocks. Decision code takes the time as an argument; only actors and HTTP handlers read a clock.

use crate::id::Incarnation;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Monotonic time since an arbitrary origin. Only differences between two values are meaningful.
pub type Uptime = Duration;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Monotonic time, which also advances while the machine is suspended.
    fn uptime(&self) -> Uptime;
    /// Wall-clock time, for timestamps. It may jump; never use it to measure intervals.
    fn wall(&self) -> SystemTime;
}

/// The machine's clocks. `uptime` reads `CLOCK_BOOTTIME`, which includes time in suspend, so that a VM that
/// resumes sees the leases that expired meanwhile as expired.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn uptime(&self) -> Uptime {
        let spec = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(spec.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(spec.tv_nsec).unwrap_or(0);
        Duration::new(seconds, nanos)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that only advances on [`ManualClock::advance`]. Clones share the same time.
#[derive(Clone, Debug, Default)]
pub struct ManualClock {
    now: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Advances both the uptime and the wall-clock time by `step`.
    pub fn advance(&self, step: Duration) {
        let mut now = self.now.lock().unwrap_or_else(PoisonError::into_inner);
        *now += step;
    }
}

impl Clock for ManualClock {
    fn uptime(&self) -> Uptime {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + self.uptime()
    }
}

/// The incarnation of a process that starts at `time`: microseconds since the Unix epoch, so that a later start has a
/// higher value.
#[must_use]
pub fn incarnation_at(time: SystemTime) -> Incarnation {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Whole seconds since the Unix epoch, as written to table rows and API responses; zero for earlier times.
#[must_use]
pub fn unix_seconds(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
