//! Clocks. Decision code takes the time as an argument; only actors and HTTP handlers hold a clock.

use crate::id::Incarnation;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Monotonic time since an arbitrary start. Only differences have a meaning.
pub type Uptime = Duration;

/// A source of time.
pub trait Clock: Send + Sync {
    /// Monotonic time that goes on while the machine is suspended.
    fn uptime(&self) -> Uptime;
    /// Wall-clock time, for records that people read.
    fn wall(&self) -> SystemTime;
}

/// The machine's clocks. `uptime` reads `CLOCK_BOOTTIME`, which counts suspend: a lease
/// held by a VM that was suspended has to be seen as expired when the VM resumes.
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

/// A clock that tests move by hand. Clones share the same time.
#[derive(Clone, Debug, Default)]
pub struct ManualClock {
    now: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Moves the time forward by `step`.
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

/// The incarnation of a process that starts at `time`: microseconds since the Unix epoch, which rise from start to start.
#[must_use]
pub fn incarnation_at(time: SystemTime) -> Incarnation {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Whole seconds since the Unix epoch, as written into table rows and API answers.
#[must_use]
pub fn unix_seconds(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
