//! Decides whether the leases of a holder have expired.
//!
//! A wrong decision only causes duplicate work; epochs ensure that a result counts once. Two conditions must hold: the
//! membership view does not show the holder as alive, and its row has not changed for a while. A holder that only lost
//! the store still responds to probes; one that only misses probes still writes its row.

use crate::rows::{HolderId, HolderRow};
use plantainmill_core::{Incarnation, Uptime, VmId};
use plantainmill_membership::{Member, MemberState};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time between two writes of the holder row by a VM that holds chunks.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(20);
/// A holder that the membership view does not show as alive expires after this long without a write: three heartbeats.
pub const DEAD_HOLDER_TIMEOUT: Duration = Duration::from_mins(1);
/// A holder that the membership view shows as alive expires after this long without a write. It must keep its results
/// over a store outage of an hour.
pub const LIVE_HOLDER_TIMEOUT: Duration = Duration::from_hours(2);

/// Observations of holders that have not written for this long are dropped.
const OBSERVATION_RETENTION: Duration = Duration::from_hours(24);

/// A holder's row and the time of its last observed change.
#[derive(Clone, Debug)]
struct ObservedHeartbeat {
    row: Option<HolderRow>,
    since: Uptime,
}

/// Tracks the heartbeats of other holders by changes of their rows, independent of their clocks.
#[derive(Clone, Debug, Default)]
pub struct HolderMonitor {
    observations: BTreeMap<VmId, ObservedHeartbeat>,
}

impl HolderMonitor {
    /// Records the row of a holder as just read; `None` if it does not exist.
    pub fn observe(&mut self, vm: &VmId, row: Option<HolderRow>, now: Uptime) {
        let unchanged = self
            .observations
            .get(vm)
            .is_some_and(|observed| observed.row == row);
        if !unchanged {
            let heartbeat = ObservedHeartbeat { row, since: now };
            self.observations.insert(vm.clone(), heartbeat);
        }
    }

    /// Whether the leases of `holder` have expired as far as this VM has observed. A newer incarnation of the same VM
    /// also ends them.
    #[must_use]
    pub fn is_expired(&self, holder: &HolderId, members: &[Member], now: Uptime) -> bool {
        let member = members.iter().find(|member| member.peer.id == holder.vm);
        let observed = self.observations.get(&holder.vm);
        let row_incarnation =
            observed.and_then(|observed| observed.row.as_ref().map(|row| row.incarnation));
        let newest = newest_incarnation(member, row_incarnation);
        if newest.is_some_and(|newest| newest > holder.incarnation) {
            return true;
        }
        let silent = observed.map_or(Duration::ZERO, |observed| {
            now.saturating_sub(observed.since)
        });
        let alive = member.is_some_and(|member| member.state != MemberState::Dead);
        silent
            >= if alive {
                LIVE_HOLDER_TIMEOUT
            } else {
                DEAD_HOLDER_TIMEOUT
            }
    }

    /// Drops holders that have not changed for so long that all their chunks have been taken over.
    pub fn evict_stale(&mut self, now: Uptime) {
        self.observations
            .retain(|_, observed| now.saturating_sub(observed.since) < OBSERVATION_RETENTION);
    }
}

fn newest_incarnation(member: Option<&Member>, row: Option<Incarnation>) -> Option<Incarnation> {
    member.map(|member| member.incarnation).max(row)
}
