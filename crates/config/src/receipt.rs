//! Collects the confirmations of a pushed change.

use compact_str::CompactString;
use plantainmill_core::{Uptime, VmId};
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

/// Longest wait of a receipt for confirmations; the bar for a change in force everywhere is 3 s.
pub const CONFIRM_LIMIT: Duration = Duration::from_secs(2);
/// Time after which a push without confirmation is repeated.
pub const REPEAT_PAUSE: Duration = Duration::from_millis(600);

/// Answer to an accepted change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ChangeReceipt {
    /// Version of the fleet after the change; of a dry run the version it was checked against.
    pub version: u64,
    /// VMs that have the version in force, this one included.
    pub confirmed: Vec<VmId>,
    /// Members that have not confirmed it in time.
    pub unconfirmed: Vec<VmId>,
    /// What the change does, one line for each edit.
    pub diff: Vec<String>,
}

/// Members that still have to confirm a version.
#[derive(Debug)]
pub(crate) struct PendingReceipt {
    pub(crate) version: u64,
    pub(crate) confirmed: BTreeSet<VmId>,
    pub(crate) unconfirmed: BTreeSet<VmId>,
    started: Uptime,
    repeated: Uptime,
}

impl PendingReceipt {
    pub(crate) fn new(version: u64, own: VmId, members: BTreeSet<VmId>, now: Uptime) -> Self {
        PendingReceipt {
            version,
            confirmed: BTreeSet::from([own]),
            unconfirmed: members,
            started: now,
            repeated: now,
        }
    }

    /// Takes the confirmation of `version` or a later one.
    pub(crate) fn confirm(&mut self, from: &VmId, version: u64) {
        if version < self.version {
            return;
        }
        self.unconfirmed.remove(from);
        self.confirmed.insert(from.clone());
    }

    pub(crate) fn is_done(&self, now: Uptime) -> bool {
        self.unconfirmed.is_empty() || now.saturating_sub(self.started) >= CONFIRM_LIMIT
    }

    /// Members to push to again.
    pub(crate) fn take_repeats(&mut self, now: Uptime) -> Vec<VmId> {
        if now.saturating_sub(self.repeated) < REPEAT_PAUSE {
            return Vec::new();
        }
        self.repeated = now;
        self.unconfirmed.iter().cloned().collect()
    }

    pub(crate) fn receipt(&self, diff: Vec<String>) -> ChangeReceipt {
        ChangeReceipt {
            version: self.version,
            confirmed: self.confirmed.iter().cloned().collect(),
            unconfirmed: self.unconfirmed.iter().cloned().collect(),
            diff,
        }
    }
}

/// Identifier of an operation, drawn when a change is accepted.
pub(crate) fn new_operation() -> CompactString {
    plantainmill_core::secret::new_id("op-")
}
