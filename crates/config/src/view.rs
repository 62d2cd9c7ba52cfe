//! The configuration in force on this VM, readable from any thread without blocking.

use crate::model::FleetConfig;
use arc_swap::ArcSwap;
use plantainmill_core::Uptime;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Shared handle to the configuration in force. Clones share the same state; only the configuration service writes it.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    current: Arc<ArcSwap<FleetConfig>>,
    /// Uptime at which the version in force was last known to be current, in milliseconds.
    checked_ms: Arc<AtomicU64>,
}

impl ConfigView {
    /// Returns the configuration in force. The result stays the same when a newer one is published.
    #[must_use]
    pub fn load(&self) -> Arc<FleetConfig> {
        self.current.load_full()
    }

    /// Puts `config` in force unless a newer version is already in force.
    pub fn publish(&self, config: FleetConfig) {
        let config = Arc::new(config);
        self.current.rcu(|current| {
            if current.version > config.version {
                Arc::clone(current)
            } else {
                Arc::clone(&config)
            }
        });
    }

    /// Records that the version in force was current at `now`, as confirmed by the store or by a peer that had read the
    /// store. An earlier time than the recorded one has no effect.
    pub fn mark_checked(&self, now: Uptime) {
        let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.checked_ms.fetch_max(millis, Ordering::Relaxed);
    }

    /// Time since the version in force was last confirmed; the whole uptime if it never was.
    #[must_use]
    pub fn unchecked_for(&self, now: Uptime) -> Duration {
        let checked = Duration::from_millis(self.checked_ms.load(Ordering::Relaxed));
        now.saturating_sub(checked)
    }
}
