//! The steps of a graceful stop.

use plantainmill_core::{InFlightCounter, InFlightGuard, Problem, ResultCode};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// When a caller that was refused by a stopping VM may try another one.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shared by all workers of a VM. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct DrainState {
    inner: Arc<DrainInner>,
}

#[derive(Debug, Default)]
struct DrainInner {
    leaving: AtomicBool,
    refusing: AtomicBool,
    flights: InFlightCounter,
    ready: AtomicBool,
}

impl DrainState {
    /// Tells the balancer that the VM may be used.
    pub fn set_ready(&self, ready: bool) {
        self.inner.ready.store(ready, Ordering::Release);
    }

    /// First step of a stop: the VM reports not ready and still serves what the balancer sends.
    pub fn start_leaving(&self) {
        self.inner.leaving.store(true, Ordering::Release);
    }

    /// Second step, after the balancer has noticed: new requests are refused.
    pub fn start_refusing(&self) {
        self.inner.refusing.store(true, Ordering::Release);
    }

    /// Whether the balancer may send requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.inner.ready.load(Ordering::Acquire) && !self.inner.leaving.load(Ordering::Acquire)
    }

    /// Whether the VM is stopping.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.inner.leaving.load(Ordering::Acquire)
    }

    /// Requests being served.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.inner.flights.in_flight()
    }

    /// Registers a request.
    ///
    /// # Errors
    ///
    /// Refuses it when the VM is past the time that the balancer needs to notice a stop.
    pub fn enter(&self) -> Result<InFlightGuard, Problem> {
        // The request is counted before the check, so that a stop that sees zero requests cannot miss one.
        let guard = self.inner.flights.enter();
        if self.inner.refusing.load(Ordering::Acquire) {
            let problem = Problem::new(ResultCode::Draining, "this VM is stopping");
            return Err(problem.with_retry_after(DRAIN_RETRY_AFTER));
        }
        Ok(guard)
    }
}
