//! One target in the ledger, and how it can serve a request.

use super::backoff::TargetBackoff;
use super::choice::SlotState;
use super::peers::SlotUse;
use crate::dispatcher::TicketRequest;
use plantainmill_core::{ServiceName, Uptime, VersionName};
use plantainmill_routing::TargetEntry;

/// Online requests that may wait at a target beyond its slots, so that a free slot is filled without a round trip.
pub(super) const MAX_QUEUED_ONLINE: u32 = 2;
/// An organisation with most of the online calls leaves one in this many slots of each target to the others.
const DOMINANT_RESERVE_DIVISOR: u32 = 4;

#[derive(Debug)]
pub(super) struct LedgerTarget {
    pub entry: TargetEntry,
    pub own: SlotUse,
    pub backoff: TargetBackoff,
    /// Its responses say that it leaves.
    pub is_leaving: bool,
}

impl LedgerTarget {
    /// Whether the target has the service and version that the request needs.
    pub fn serves(&self, request: &TicketRequest) -> bool {
        self.has_version(&request.service, request.version.as_ref())
    }

    /// Whether the target has the service and version, and takes new requests.
    pub fn has_version(&self, service: &ServiceName, version: Option<&VersionName>) -> bool {
        !self.is_leaving
            && self.entry.service == *service
            && version.is_none_or(|version| self.entry.version == *version)
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
