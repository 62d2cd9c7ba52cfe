//! Tests of the changes that a VM sends to one that has an earlier state of the target list.

use crate::target_registry::{at, entry, fleet};
use plantainmill_routing::{TargetChanges, TargetEntry, TargetHistory, TargetRegistry};
use std::time::Duration;

/// A VM whose list others follow.
#[derive(Default)]
struct Source {
    registry: TargetRegistry,
    history: TargetHistory,
}

impl Source {
    fn apply(&mut self, entries: Vec<TargetEntry>, now: Duration) {
        let before = self.registry.fingerprint();
        let changes = self.registry.apply(entries, now);
        if !changes.is_empty() {
            let after = self.registry.fingerprint();
            self.history.record(before, &changes, after);
        }
    }

    fn changes_for(&self, follower: &TargetRegistry) -> Option<TargetChanges> {
        self.history
            .changes_since(follower.fingerprint(), &self.registry)
    }

    /// Transfers the changes, or the whole list. Returns the number of targets transferred.
    fn update(&self, follower: &mut TargetRegistry) -> usize {
        let fingerprint = self.registry.fingerprint();
        if let Some(changes) = self.changes_for(follower) {
            let count = changes.len();
            let applied = follower.adopt_changes(follower.fingerprint(), changes, fingerprint);
            assert!(applied.is_some());
            return count;
        }
        let entries = self.registry.entries();
        let count = entries.len();
        follower.adopt(entries, Some(fingerprint), at(0));
        count
    }
}

fn draining(count: u16, leaving: usize) -> Vec<TargetEntry> {
    let mut entries = fleet(count);
    entries[leaving].draining = true;
    entries
}

/// Guards against whole lists for a single change, and against followers whose list differs after several changes of which
/// they have missed some.
#[test]
fn missed_changes() {
    let mut source = Source::default();
    let mut follower = TargetRegistry::default();
    source.apply(fleet(3_000), at(0));
    assert_eq!(source.update(&mut follower), 3_000);
    for step in 0..5_usize {
        source.apply(
            draining(3_000 + u16::try_from(step).expect("small"), step),
            at(600),
        );
    }
    assert_eq!(source.update(&mut follower), 9);
    assert_eq!(follower.entries(), source.registry.entries());
    assert_eq!(source.update(&mut follower), 0);
}

/// Guards against changes that are applied to another list than the one they start from: late, repeated or out of order.
#[test]
fn wrong_base() {
    let mut source = Source::default();
    let mut follower = TargetRegistry::default();
    source.apply(fleet(20), at(0));
    source.update(&mut follower);
    let base = follower.fingerprint();
    source.apply(draining(20, 1), at(600));
    let first = source.changes_for(&follower).expect("changes");
    let first_fingerprint = source.registry.fingerprint();
    source.apply(draining(20, 2), at(1_200));
    source.update(&mut follower);
    assert!(
        follower
            .adopt_changes(base, first, first_fingerprint)
            .is_none()
    );
    assert_eq!(follower.entries(), source.registry.entries());
}

/// Guards against changes from a list that the source has had twice: only the later time counts.
#[test]
fn repeated_state() {
    let mut source = Source::default();
    let mut follower = TargetRegistry::default();
    source.apply(fleet(20), at(0));
    source.update(&mut follower);
    source.apply(draining(20, 1), at(600));
    source.apply(fleet(20), at(1_200));
    assert_eq!(source.update(&mut follower), 0);
    source.apply(draining(20, 2), at(1_800));
    assert_eq!(source.update(&mut follower), 1);
    assert_eq!(follower.entries(), source.registry.entries());
}

/// Guards against a follower that stays with the list of one reader when it moves to another one that disagrees.
#[test]
fn other_reader() {
    let (mut first, mut second) = (Source::default(), Source::default());
    let mut follower = TargetRegistry::default();
    first.apply(fleet(20), at(0));
    second.apply(fleet(20), at(0));
    first.update(&mut follower);
    first.apply(draining(20, 1), at(600));
    second.apply(draining(20, 4), at(600));
    assert_eq!(second.update(&mut follower), 1);
    assert_eq!(first.update(&mut follower), 20);
    assert_eq!(follower.entries(), first.registry.entries());
}

/// Guards against a history that grows without bound, and against changes that are larger than the whole list.
#[test]
fn bounded_history() {
    let mut source = Source::default();
    let mut follower = TargetRegistry::default();
    source.apply(fleet(20), at(0));
    source.update(&mut follower);
    for step in 0..300_u16 {
        source.apply(
            vec![entry("a", step), entry("b", 1_000)],
            at(5_000 * u64::from(step)),
        );
    }
    assert!(source.changes_for(&follower).is_none());
    source.update(&mut follower);
    assert_eq!(follower.entries(), source.registry.entries());
}
