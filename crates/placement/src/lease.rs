//! The lease of a failure domain's controller, as a state machine.

use plantainmill_core::{Uptime, VmId};
use plantainmill_provider::Expected;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a lease holds after its row was written.
pub const LEASE_TERM: Duration = Duration::from_secs(15);
/// Time between renewals; two may fail before the lease lapses.
pub const LEASE_RENEWAL: Duration = Duration::from_secs(5);

/// Content of the row `placement/{domain}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRow {
    /// Holder; empty after a release.
    pub holder: VmId,
    /// Raised at every change of holder.
    pub epoch: u64,
}

/// What to write to the row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseAction {
    /// Condition of the write.
    pub expected: Expected,
    /// New content.
    pub row: LeaseRow,
}

/// Row as it was first seen at its revision.
#[derive(Clone, Debug)]
struct SeenRow {
    revision: u64,
    row: LeaseRow,
    since: Uptime,
}

/// A grant from the table, counted from before the write was sent.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    epoch: u64,
    written_at: Uptime,
    acquired_at: Uptime,
}

/// Decides when to take, renew and give up the lease.
#[derive(Clone, Debug)]
pub struct PlacementLease {
    vm: VmId,
    seen: Option<SeenRow>,
    held: Option<HeldLease>,
}

impl PlacementLease {
    /// A lease that is not held.
    #[must_use]
    pub fn new(vm: VmId) -> PlacementLease {
        PlacementLease {
            vm,
            seen: None,
            held: None,
        }
    }

    /// Epoch of the lease, while it certainly holds.
    #[must_use]
    pub fn epoch(&self, now: Uptime) -> Option<u64> {
        let held = self.held?;
        (now < held.written_at + LEASE_TERM).then_some(held.epoch)
    }

    /// When the lease lapses unless it is renewed; nothing may be ordered from then on.
    #[must_use]
    pub fn expires_at(&self) -> Option<Uptime> {
        self.held.map(|held| held.written_at + LEASE_TERM)
    }

    /// When the lease was taken, while it certainly holds.
    #[must_use]
    pub fn acquired_at(&self, now: Uptime) -> Option<Uptime> {
        self.epoch(now)?;
        self.held.map(|held| held.acquired_at)
    }

    /// Takes the row that was read and says what to write, if anything.
    pub fn observe(&mut self, row: Option<(LeaseRow, u64)>, now: Uptime) -> Option<LeaseAction> {
        let Some((row, revision)) = row else {
            self.seen = None;
            self.held = None;
            return Some(self.take_over(Expected::Absent, 0));
        };
        let unchanged = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.revision == revision);
        if !unchanged {
            self.seen = Some(SeenRow {
                revision,
                row: row.clone(),
                since: now,
            });
        }
        if self.held.is_some_and(|held| held.epoch != row.epoch) {
            self.held = None;
        }
        self.next_action(now)
    }

    fn next_action(&mut self, now: Uptime) -> Option<LeaseAction> {
        let seen = self.seen.as_ref()?;
        let expected = Expected::Revision(seen.revision);
        let is_own = self
            .held
            .is_some_and(|held| held.epoch == seen.row.epoch && seen.row.holder == self.vm);
        if is_own {
            let row = seen.row.clone();
            return Some(LeaseAction { expected, row });
        }
        // Clocks of VMs need not agree: the term is counted from when this VM first saw the row as it is.
        let lapsed = seen.row.holder.is_empty() || now >= seen.since + LEASE_TERM;
        let epoch = seen.row.epoch;
        lapsed.then(|| self.take_over(expected, epoch))
    }

    fn take_over(&self, expected: Expected, epoch: u64) -> LeaseAction {
        LeaseAction {
            expected,
            row: LeaseRow {
                holder: self.vm.clone(),
                epoch: epoch + 1,
            },
        }
    }

    /// Records that `row` was written; the term counts from `sent_at`, before the write was sent.
    pub fn written(&mut self, row: &LeaseRow, revision: u64, sent_at: Uptime) {
        let acquired_at = match self.held {
            Some(held) if held.epoch == row.epoch => held.acquired_at,
            _ => sent_at,
        };
        self.held = Some(HeldLease {
            epoch: row.epoch,
            written_at: sent_at,
            acquired_at,
        });
        self.seen = Some(SeenRow {
            revision,
            row: row.clone(),
            since: sent_at,
        });
    }

    /// Gives the lease up and says what to write so that the successor need not wait.
    pub fn release(&mut self) -> Option<LeaseAction> {
        let held = self.held.take()?;
        let seen = self.seen.take()?;
        Some(LeaseAction {
            expected: Expected::Revision(seen.revision),
            row: LeaseRow {
                holder: VmId::default(),
                epoch: held.epoch,
            },
        })
    }
}
