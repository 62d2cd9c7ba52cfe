//! Changes of the targets of the shared policy, at a cost that does not grow with the number of targets.

use super::backoff::TargetBackoff;
use super::ledger::LoadLedger;
use super::peers::SlotUse;
use super::target::LedgerTarget;
use plantainmill_core::TargetId;
use plantainmill_routing::TargetEntry;

impl LoadLedger {
    /// Applies changes of the targets that may receive new requests: those in `removed` no longer do, and those in `changed`
    /// do so as described there. The result is that of [`LoadLedger::set_targets`] with all entries.
    pub fn change_targets<'a>(
        &mut self,
        changed: impl Iterator<Item = &'a TargetEntry>,
        removed: impl Iterator<Item = &'a TargetId>,
    ) {
        for id in removed {
            self.targets.remove(id);
        }
        for entry in changed {
            // A target that is listed again may still run calls that were sent before its entry was removed.
            let own = self.own_use(&entry.id);
            let region = self.locality.region_of(&entry.domain).cloned();
            let is_leaving = self.leaving.is_leaving(&entry.id, entry.born);
            let target = self
                .targets
                .entry(entry.id.clone())
                .or_insert_with(|| LedgerTarget {
                    entry: entry.clone(),
                    region: region.clone(),
                    own: SlotUse::default(),
                    backoff: TargetBackoff::default(),
                    is_leaving,
                });
            target.entry = entry.clone();
            target.region = region;
            target.own = own;
            target.is_leaving = is_leaving;
        }
    }
}
