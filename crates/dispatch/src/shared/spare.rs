//! Whether a service has slots to spare for requests that are sent twice.

use super::ledger::LoadLedger;
use crate::dispatcher::TicketRequest;

/// Fraction of a service's slots that online requests may use while it counts as having slots to spare. Above it, a request
/// that is sent twice takes slots that others soon wait for.
const MAX_SPARE_USE: f64 = 0.75;

impl LoadLedger {
    /// Whether the targets that can serve the request have slots to spare: no VM has a request that waits for one, and online
    /// requests use no more than [`MAX_SPARE_USE`] of them.
    pub(super) fn has_spare_slots(&self, request: &TicketRequest) -> bool {
        if !self.online.is_empty() || self.peers.online_waiting_vms() > 0 {
            return false;
        }
        let serving = self.targets.iter();
        let serving = serving.filter(|(_, target)| target.meets(request.need()));
        let (slots, used) = serving.fold((0, 0), |(slots, used), (id, target)| {
            let online = target.own.online + self.peers.at(id).online;
            (slots + target.entry.slots, used + online)
        });
        f64::from(used) <= f64::from(slots) * MAX_SPARE_USE
    }
}
