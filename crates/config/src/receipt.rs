//! Tracks which members have confirmed a pushed change.

use compact_str::CompactString;
use plantainmill_core::{Uptime, VmId};
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a receipt waits for confirmations. A change has to be in force everywhere within 3 s.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a push is retried until it is confirmed.
pub const PUSH_RETRY_INTERVAL: Duration = Duration::from_millis(600);

/// Response to an accepted change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ChangeReceipt {
    /// Version of the configuration after the change; for a dry run, the version that this VM holds.
    pub version: u64,
    /// VMs that hold the version, including this one; empty for a dry run.
    pub confirmed: Vec<VmId>,
    /// Members that did not confirm the version within [`CONFIRM_TIMEOUT`].
    pub unconfirmed: Vec<VmId>,
    /// Description of the change, one line for each edit that changes something.
    pub diff: Vec<String>,
}

/// Confirmations of one version that have and have not arrived.
#[derive(Debug)]
pub(crate) struct PendingReceipt {
    pub(crate) version: u64,
    pub(crate) confirmed: BTreeSet<VmId>,
    pub(crate) unconfirmed: BTreeSet<VmId>,
    started_at: Uptime,
    last_push: Uptime,
}

impl PendingReceipt {
    pub(crate) fn new(version: u64, own: VmId, members: BTreeSet<VmId>, now: Uptime) -> Self {
        PendingReceipt {
            version,
            confirmed: BTreeSet::from([own]),
            unconfirmed: members,
            started_at: now,
            last_push: now,
        }
    }

    /// Records that `from` holds `version`. A later version than the pushed one confirms it too.
    pub(crate) fn confirm(&mut self, from: &VmId, version: u64) {
        if version < self.version {
            return;
        }
        self.unconfirmed.remove(from);
        self.confirmed.insert(from.clone());
    }

    pub(crate) fn is_done(&self, now: Uptime) -> bool {
        self.unconfirmed.is_empty() || now.saturating_sub(self.started_at) >= CONFIRM_TIMEOUT
    }

    /// Members whose push is due for a retry; empty until [`PUSH_RETRY_INTERVAL`] has passed since the last one.
    pub(crate) fn due_retries(&mut self, now: Uptime) -> Vec<VmId> {
        if now.saturating_sub(self.last_push) < PUSH_RETRY_INTERVAL {
            return Vec::new();
        }
        self.last_push = now;
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

/// Generates the unique operation id of a change.
pub(crate) fn new_operation() -> CompactString {
    plantainmill_core::secret::new_id("op-")
}
