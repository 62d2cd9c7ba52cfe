//! One target in the ledger, and how it can serve a request.

use super::backoff::TargetBackoff;
use super::choice::SlotState;
use super::peers::SlotUse;
use crate::dispatcher::TargetNeed;
use plantainmill_core::{RegionName, Uptime};
use plantainmill_routing::TargetEntry;

/// Online requests that may wait at a target beyond its slots, so that a free slot is filled without a round trip.
pub(super) const MAX_QUEUED_ONLINE: u32 = 2;
/// An organisation with most of the online calls leaves one in this many slots of each target to the others.
const DOMINANT_RESERVE_DIVISOR: u32 = 4;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// All targets are busy.
    Busy,
    /// No target of the service, or of the version that the request needs, is known.
    NoTarget,
    /// No target of the service is known in a region that the request is limited to.
    NoRegion,
}

#[derive(Debug)]
pub(super) struct LedgerTarget {
    pub entry: TargetEntry,
    /// Region of its failure domain; `None` if the settings do not name it.
    pub region: Option<RegionName>,
    pub own: SlotUse,
    pub backoff: TargetBackoff,
    /// Its responses say that it leaves.
    pub is_leaving: bool,
}

impl LedgerTarget {
    /// Whether the target has what a request needs, and takes new requests.
    pub fn meets(&self, need: TargetNeed<'_>) -> bool {
        !self.is_leaving
            && self.entry.service == *need.service
            && need
                .version
                .is_none_or(|version| self.entry.version == *version)
            && need.regions.allows(self.region.as_ref())
    }
}

/// How a target can serve an online request; none if it cannot.
pub(super) fn online_state(
    target: &LedgerTarget,
    peers: SlotUse,
    is_dominant: bool,
    now: Uptime,
) -> Option<SlotState> {
    let online = target.own.online + peers.online;
    let total = target.own.total() + peers.total();
    let slots = target.entry.slots;
    if is_dominant && online + slots / DOMINANT_RESERVE_DIVISOR >= slots {
        return None;
    }
    if target.backoff.is_backing_off(now) {
        return (total < slots).then_some(SlotState::Suspect);
    }
    if total < slots {
        return Some(SlotState::Free);
    }
    match (online < slots, target.own.batch > 0) {
        (true, true) => Some(SlotState::OwnBatch),
        (true, false) => Some(SlotState::PeerBatch),
        (false, _) => (total < slots + MAX_QUEUED_ONLINE).then_some(SlotState::Queued),
    }
}
