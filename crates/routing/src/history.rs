//! Recent changes of the target list, for VMs that have a recent state of it.

use crate::registry::{TargetChanges, TargetRegistry};
use plantainmill_core::TargetId;
use std::collections::{BTreeSet, VecDeque};

/// Largest number of changes that are remembered: several seconds of a release of a whole fleet.
const MAX_STEPS: usize = 256;
/// Largest number of targets that all remembered changes name. The whole list is hardly larger than so many changes.
const MAX_TARGETS: usize = 4_096;

#[derive(Debug)]
struct HistoryStep {
    /// Fingerprint of the list before the change.
    before: u64,
    targets: Vec<TargetId>,
}

/// Which targets have changed since the recent states of the list, each known by its fingerprint.
#[derive(Debug, Default)]
pub struct TargetHistory {
    steps: VecDeque<HistoryStep>,
    target_count: usize,
    /// Fingerprint of the list after the last change.
    current: u64,
}

impl TargetHistory {
    /// Records that the list with the fingerprint `before` has changed to the one with `after`.
    pub fn record(&mut self, before: u64, changes: &TargetChanges, after: u64) {
        if before != self.current {
            self.steps.clear();
            self.target_count = 0;
        }
        self.current = after;
        self.target_count += changes.len();
        self.steps.push_back(HistoryStep {
            before,
            targets: changes.ids().cloned().collect(),
        });
        while self.steps.len() > MAX_STEPS || self.target_count > MAX_TARGETS {
            let dropped = self.steps.pop_front();
            self.target_count -= dropped.map_or(0, |step| step.targets.len());
        }
    }

    /// What has changed in `registry` since its list had the fingerprint `base`. `None` if that state is not known, or if
    /// the whole list is smaller.
    #[must_use]
    pub fn changes_since(&self, base: u64, registry: &TargetRegistry) -> Option<TargetChanges> {
        if base == registry.fingerprint() {
            return Some(TargetChanges::default());
        }
        if self.current != registry.fingerprint() {
            return None;
        }
        // The latest one: the list may have had the same state several times.
        let start = self.steps.iter().rposition(|step| step.before == base)?;
        let targets: BTreeSet<&TargetId> = self
            .steps
            .range(start..)
            .flat_map(|step| &step.targets)
            .collect();
        if targets.len() > registry.len() {
            return None;
        }
        let mut changes = TargetChanges::default();
        for id in targets {
            match registry.entry(id) {
                Some(entry) => changes.changed.push(entry.clone()),
                None => changes.removed.push(id.clone()),
            }
        }
        Some(changes)
    }
}
