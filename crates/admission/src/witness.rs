//! The witness of slot leases: renews them while the table cannot be reached, until it consents to a takeover.

use crate::split::SlotId;
use plantainmill_core::{Incarnation, Uptime};
use std::collections::HashMap;
use std::time::Duration;

/// A witness that renewed a lease this recently refuses a takeover: the holder is alive.
pub const RECENT_RENEWAL: Duration = Duration::from_secs(6);

/// What the witness knows of one slot.
#[derive(Clone, Copy, Debug, Default)]
struct WitnessEntry {
    /// Epochs up to this one are renewed no more.
    consented: u64,
    /// Time and epoch of the last renewal.
    renewed: Option<(Uptime, u64)>,
}

/// Decisions of one incarnation of a witness. They are kept in memory: a later incarnation renews nothing that
/// was entrusted to an earlier one, so it never has to know them.
#[derive(Debug)]
pub struct WitnessBook {
    incarnation: Incarnation,
    entries: HashMap<SlotId, WitnessEntry>,
}

impl WitnessBook {
    /// The book of a VM that started as `incarnation`.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> WitnessBook {
        WitnessBook {
            incarnation,
            entries: HashMap::new(),
        }
    }

    /// Decides whether the lease of `epoch` is renewed.
    pub fn renew(&mut self, slot: &SlotId, epoch: u64, named: Incarnation, now: Uptime) -> bool {
        if named != self.incarnation {
            return false;
        }
        let entry = self.entries.entry(slot.clone()).or_default();
        if epoch <= entry.consented {
            return false;
        }
        entry.renewed = Some((now, epoch));
        true
    }

    /// Decides whether the holder of `epoch` may be replaced; after that, its lease is renewed no more.
    pub fn consent(&mut self, slot: &SlotId, epoch: u64, named: Incarnation, now: Uptime) -> bool {
        if named != self.incarnation {
            return named < self.incarnation;
        }
        let entry = self.entries.entry(slot.clone()).or_default();
        let alive = entry.renewed.is_some_and(|(time, renewed)| {
            renewed >= epoch && now.saturating_sub(time) < RECENT_RENEWAL
        });
        if alive && entry.consented < epoch {
            return false;
        }
        entry.consented = entry.consented.max(epoch);
        true
    }
}
