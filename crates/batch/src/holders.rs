//! Judges whether the holder of a chunk is gone.
//!
//! The judgement only decides whether work may be done twice; that a result counts once rests on epochs. Two signs
//! are needed: the member table does not show the holder as alive, and its row in the table has not changed for a
//! while. A holder that only misses the store is seen alive by probes; one that only misses probes still writes.

use crate::rows::{HolderId, HolderRow};
use plantainmill_core::{Incarnation, Uptime, VmId};
use plantainmill_membership::{Member, MemberState};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time between two writes of a VM that holds chunks.
pub const BEAT_INTERVAL: Duration = Duration::from_secs(20);
/// A holder that is not seen alive and has not written for this long is gone: three beats.
pub const LAPSE_AFTER: Duration = Duration::from_mins(1);
/// A holder that is seen alive but has not written for this long loses its chunks. A store outage of an hour must
/// not cost its results.
pub const STALL_AFTER: Duration = Duration::from_hours(2);

/// A holder that has not written for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_hours(24);

/// Last change seen of a holder's row.
#[derive(Clone, Debug)]
struct SeenBeat {
    row: Option<HolderRow>,
    since: Uptime,
}

/// Watches the rows of other holders.
#[derive(Clone, Debug, Default)]
pub struct HolderWatch {
    seen: BTreeMap<VmId, SeenBeat>,
}

impl HolderWatch {
    /// Takes in the row of a holder as it was just read.
    pub fn observe(&mut self, vm: &VmId, row: Option<HolderRow>, now: Uptime) {
        let unchanged = self.seen.get(vm).is_some_and(|seen| seen.row == row);
        if !unchanged {
            let beat = SeenBeat { row, since: now };
            self.seen.insert(vm.clone(), beat);
        }
    }

    /// Whether `holder` is gone as far as this VM can tell.
    #[must_use]
    pub fn is_gone(&self, holder: &HolderId, members: &[Member], now: Uptime) -> bool {
        let member = members.iter().find(|member| member.peer.id == holder.vm);
        let seen = self.seen.get(&holder.vm);
        let row_start = seen.and_then(|seen| seen.row.as_ref().map(|row| row.incarnation));
        let newest = newest_start(member, row_start);
        if newest.is_some_and(|newest| newest > holder.incarnation) {
            return true;
        }
        let silent = seen.map_or(Duration::ZERO, |seen| now.saturating_sub(seen.since));
        let alive = member.is_some_and(|member| member.state != MemberState::Dead);
        silent >= if alive { STALL_AFTER } else { LAPSE_AFTER }
    }

    /// Forgets holders that have not changed for so long that all their chunks were taken over.
    pub fn forget_old(&mut self, now: Uptime) {
        self.seen
            .retain(|_, seen| now.saturating_sub(seen.since) < FORGET_AFTER);
    }
}

fn newest_start(member: Option<&Member>, row: Option<Incarnation>) -> Option<Incarnation> {
    member.map(|member| member.incarnation).max(row)
}
