//! Counting of the requests in flight, so that a VM can drain before it stops.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the requests in flight on a VM. Clones share the same count.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter {
    count: Arc<AtomicUsize>,
}

/// Counts one request as in flight until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Arc<AtomicUsize>,
}

impl InFlightCounter {
    /// Counts a request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn enter(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            count: Arc::clone(&self.count),
        }
    }

    /// Number of guards that have not been dropped.
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
