//! Readiness of a VM and the steps of its graceful stop.

use plantainmill_core::{InFlightCounter, InFlightGuard, Problem, ResultCode};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// `Retry-After` of a request that a stopping VM refuses.
const DRAIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Readiness, stop state and requests in flight of a VM. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct DrainState {
    inner: Arc<SharedDrainState>,
}

#[derive(Debug, Default)]
struct SharedDrainState {
    leaving: AtomicBool,
    refusing: AtomicBool,
    in_flight_requests: InFlightCounter,
    ready: AtomicBool,
}

impl DrainState {
    /// Sets whether the VM reports ready to the balancer. A VM that is leaving never reports ready.
    pub fn set_ready(&self, ready: bool) {
        self.inner.ready.store(ready, Ordering::Release);
    }

    /// First step of a stop: the VM reports not ready and still accepts requests.
    pub fn start_leaving(&self) {
        self.inner.leaving.store(true, Ordering::Release);
    }

    /// Second step of a stop, after the balancer had time to notice: the VM refuses new requests.
    pub fn start_refusing(&self) {
        self.inner.refusing.store(true, Ordering::Release);
    }

    /// Whether the VM is ready and not leaving, so that the balancer may send requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.inner.ready.load(Ordering::Acquire) && !self.inner.leaving.load(Ordering::Acquire)
    }

    /// Whether a graceful stop has begun.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.inner.leaving.load(Ordering::Acquire)
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.inner.in_flight_requests.in_flight()
    }

    /// Counts a request as in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Refuses the request with [`ResultCode::Draining`] after [`DrainState::start_refusing`].
    pub fn enter(&self) -> Result<InFlightGuard, Problem> {
        // The request is counted before the check, so that a stop that sees zero requests cannot miss one.
        let guard = self.inner.in_flight_requests.enter();
        if self.inner.refusing.load(Ordering::Acquire) {
            let problem = Problem::new(ResultCode::Draining, "this VM is stopping");
            return Err(problem.with_retry_after(DRAIN_RETRY_AFTER));
        }
        Ok(guard)
    }
}
