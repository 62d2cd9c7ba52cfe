//! State machine of the lease that elects a failure domain's controller.

use plantainmill_core::{Uptime, VmId};
use plantainmill_provider::Expected;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Validity of a lease, counted from before the write of its row was sent.
pub const LEASE_TERM: Duration = Duration::from_secs(15);
/// Time between renewals. Two consecutive renewals may fail before the lease expires.
pub const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Content of the table row `placement/{domain}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRow {
    /// VM that holds the lease; empty after a release.
    pub holder: VmId,
    /// Fencing epoch, incremented at every acquisition.
    pub epoch: u64,
}

/// Conditional write of the lease row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseAction {
    /// Condition of the write: the row is absent, or unchanged since it was read.
    pub expected: Expected,
    /// New content of the row.
    pub row: LeaseRow,
}

/// The lease row and the time at which its revision was first observed.
#[derive(Clone, Debug)]
struct ObservedRow {
    revision: u64,
    row: LeaseRow,
    first_observed_at: Uptime,
}

/// Lease granted by a committed write. Times are taken before the write was sent.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    epoch: u64,
    written_at: Uptime,
    acquired_at: Uptime,
}

/// Decides when to acquire, renew and release the lease.
#[derive(Clone, Debug)]
pub struct PlacementLease {
    vm: VmId,
    observed: Option<ObservedRow>,
    held: Option<HeldLease>,
}

impl PlacementLease {
    /// Creates the state of `vm`, which does not hold the lease yet.
    #[must_use]
    pub fn new(vm: VmId) -> PlacementLease {
        PlacementLease {
            vm,
            observed: None,
            held: None,
        }
    }

    /// Returns the epoch of the lease while it is certainly held by this VM.
    #[must_use]
    pub fn epoch(&self, now: Uptime) -> Option<u64> {
        let held = self.held?;
        (now < held.written_at + LEASE_TERM).then_some(held.epoch)
    }

    /// Returns when the lease expires unless it is renewed. No order may be sent from then on.
    #[must_use]
    pub fn expires_at(&self) -> Option<Uptime> {
        self.held.map(|held| held.written_at + LEASE_TERM)
    }

    /// Returns when the lease was acquired, while it is certainly held by this VM.
    #[must_use]
    pub fn acquired_at(&self, now: Uptime) -> Option<Uptime> {
        self.epoch(now)?;
        self.held.map(|held| held.acquired_at)
    }

    /// Processes the row and its revision as read from the table, `None` if absent, and returns the write that acquires
    /// or renews the lease, if any.
    pub fn observe(&mut self, row: Option<(LeaseRow, u64)>, now: Uptime) -> Option<LeaseAction> {
        let Some((row, revision)) = row else {
            self.observed = None;
            self.held = None;
            return Some(self.acquisition(Expected::Absent, 0));
        };
        let unchanged = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.revision == revision);
        if !unchanged {
            self.observed = Some(ObservedRow {
                revision,
                row: row.clone(),
                first_observed_at: now,
            });
        }
        if self.held.is_some_and(|held| held.epoch != row.epoch) {
            self.held = None;
        }
        self.next_action(now)
    }

    fn next_action(&mut self, now: Uptime) -> Option<LeaseAction> {
        let observed = self.observed.as_ref()?;
        let expected = Expected::Revision(observed.revision);
        let is_own = self
            .held
            .is_some_and(|held| held.epoch == observed.row.epoch && observed.row.holder == self.vm);
        if is_own {
            let row = observed.row.clone();
            return Some(LeaseAction { expected, row });
        }
        // Clocks of VMs are not synchronized: the term counts from when this VM first observed the revision.
        let expired =
            observed.row.holder.is_empty() || now >= observed.first_observed_at + LEASE_TERM;
        let epoch = observed.row.epoch;
        expired.then(|| self.acquisition(expected, epoch))
    }

    fn acquisition(&self, expected: Expected, epoch: u64) -> LeaseAction {
        LeaseAction {
            expected,
            row: LeaseRow {
                holder: self.vm.clone(),
                epoch: epoch + 1,
            },
        }
    }

    /// Records that `row` was committed at `revision`. The term counts from `sent_at`, before the write was sent.
    pub fn record_write(&mut self, row: &LeaseRow, revision: u64, sent_at: Uptime) {
        let acquired_at = match self.held {
            Some(held) if held.epoch == row.epoch => held.acquired_at,
            _ => sent_at,
        };
        self.held = Some(HeldLease {
            epoch: row.epoch,
            written_at: sent_at,
            acquired_at,
        });
        self.observed = Some(ObservedRow {
            revision,
            row: row.clone(),
            first_observed_at: sent_at,
        });
    }

    /// Gives up the lease and returns the write that lets a successor acquire it without waiting for its expiry.
    /// Returns `None` if this VM has no lease.
    pub fn release(&mut self) -> Option<LeaseAction> {
        let held = self.held.take()?;
        let observed = self.observed.take()?;
        Some(LeaseAction {
            expected: Expected::Revision(observed.revision),
            row: LeaseRow {
                holder: VmId::default(),
                epoch: held.epoch,
            },
        })
    }
}
