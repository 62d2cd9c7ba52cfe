//! Witness of slot leases: renews a lease on the holder's request while the holder cannot reach the table, until the
//! witness consents to a takeover of that lease.

use crate::split::SlotId;
use plantainmill_core::{Incarnation, Uptime};
use std::collections::HashMap;
use std::time::Duration;

/// A witness that renewed a lease within this time refuses a takeover, since the holder is alive.
pub const RECENT_RENEWAL_WINDOW: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug, Default)]
struct WitnessEntry {
    /// Highest epoch to whose takeover the witness has consented; leases up to this epoch are no longer renewed.
    consented_epoch: u64,
    /// Time and epoch of the last renewal.
    last_renewal: Option<(Uptime, u64)>,
}

/// Renewals and consents of one incarnation of a witness. They are kept in memory only: a later incarnation refuses
/// to renew leases that name an earlier one, so it does not need its predecessor's decisions.
#[derive(Debug)]
pub struct WitnessState {
    incarnation: Incarnation,
    entries: HashMap<SlotId, WitnessEntry>,
}

impl WitnessState {
    /// Creates the empty state of a witness that runs as `incarnation`.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> WitnessState {
        WitnessState {
            incarnation,
            entries: HashMap::new(),
        }
    }

    /// Renews the lease of `epoch`, unless the slot row names another incarnation of this VM or the witness has
    /// consented to a takeover of this epoch.
    pub fn renew(
        &mut self,
        slot: &SlotId,
        epoch: u64,
        named_incarnation: Incarnation,
        now: Uptime,
    ) -> bool {
        if named_incarnation != self.incarnation {
            return false;
        }
        let entry = self.entries.entry(slot.clone()).or_default();
        if epoch <= entry.consented_epoch {
            return false;
        }
        entry.last_renewal = Some((now, epoch));
        true
    }

    /// Decides whether to consent to a takeover of the lease of `epoch`. Once it consents, the witness no longer renews
    /// that epoch.
    pub fn consent(
        &mut self,
        slot: &SlotId,
        epoch: u64,
        named_incarnation: Incarnation,
        now: Uptime,
    ) -> bool {
        if named_incarnation != self.incarnation {
            return named_incarnation < self.incarnation;
        }
        let entry = self.entries.entry(slot.clone()).or_default();
        let alive = entry.last_renewal.is_some_and(|(time, renewed_epoch)| {
            renewed_epoch >= epoch && now.saturating_sub(time) < RECENT_RENEWAL_WINDOW
        });
        if alive && entry.consented_epoch < epoch {
            return false;
        }
        entry.consented_epoch = entry.consented_epoch.max(epoch);
        true
    }
}
