//! The configuration in force on this VM, readable from any thread without waiting.

use crate::model::FleetConfig;
use arc_swap::ArcSwap;
use plantainmill_core::Uptime;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The configuration in force. Clones share the same state; only the configuration service writes it.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    current: Arc<ArcSwap<FleetConfig>>,
    /// Uptime in milliseconds when the version was last known to be current.
    checked_ms: Arc<AtomicU64>,
}

impl ConfigView {
    /// The configuration in force.
    #[must_use]
    pub fn load(&self) -> Arc<FleetConfig> {
        self.current.load_full()
    }

    /// Puts `config` in force unless a newer version already is.
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

    /// Records that the version in force was confirmed by the store, or by a peer that had it confirmed.
    pub fn mark_checked(&self, now: Uptime) {
        let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.checked_ms.fetch_max(millis, Ordering::Relaxed);
    }

    /// Time since the version in force was last confirmed.
    #[must_use]
    pub fn unchecked_for(&self, now: Uptime) -> Duration {
        let checked = Duration::from_millis(self.checked_ms.load(Ordering::Relaxed));
        now.saturating_sub(checked)
    }
}
