//! Requests in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the requests in flight of a VM. Clones share the same count.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter {
    count: Arc<AtomicUsize>,
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Arc<AtomicUsize>,
}

impl InFlightCounter {
    /// Counts a request.
    #[must_use]
    pub fn enter(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            count: Arc::clone(&self.count),
        }
    }

    /// Requests being served.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
