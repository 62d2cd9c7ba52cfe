//! Target lists that VMs send to each other.

use plantainmill_core::encode_cbor;
use plantainmill_edge::{TargetListAnswer, TargetListContent, TargetListUpdate};
use plantainmill_routing::{TargetEntry, TargetHistory, TargetRegistry};
use std::time::Duration;

const AGE: Duration = Duration::from_millis(300);

fn entries(count: u16) -> Vec<TargetEntry> {
    let entry = |number: u16| TargetEntry {
        cold_left: plantainmill_routing::ColdLeft::default(),
        id: format!("i-{number:04}-7f3a9c21").into(),
        service: format!("model-{}", number % 30).into(),
        address: ([10, 128, 0, 9], 1 + number).into(),
        domain: format!("north-{}", number % 15).into(),
        slots: 8,
        draining: number % 7 == 3,
        born: 1_700_000_000_000 + u64::from(number),
        version: "2026.11.2".into(),
    };
    (0..count).map(entry).collect()
}

/// A list that changed by one entry, one removed target and one new one.
fn changed(count: u16) -> (TargetRegistry, TargetHistory, u64) {
    let mut registry = TargetRegistry::default();
    let mut history = TargetHistory::default();
    registry.apply(entries(count), Duration::ZERO);
    let base = registry.fingerprint();
    let mut newer = entries(count + 1);
    newer[1].draining = true;
    newer.remove(4);
    let changes = registry.apply(newer, AGE);
    history.record(base, &changes, registry.fingerprint());
    (registry, history, base)
}

fn receive(answer: &TargetListAnswer) -> (TargetListUpdate, usize) {
    let content = encode_cbor(answer);
    let answer: TargetListAnswer =
        ciborium::from_reader(content.as_slice()).expect("a target list");
    (answer.into_update().expect("names"), content.len())
}

/// Guards against lists that lose or exchange fields on their way, and against changes for a VM with an unknown list.
#[test]
fn whole_list() {
    let (registry, history, _) = changed(200);
    for base in [None, Some(5)] {
        let answer = TargetListAnswer::new(&registry, &history, base, AGE);
        let (update, _) = receive(&answer);
        let content = TargetListContent::Whole(registry.entries());
        assert_eq!(
            (update.fingerprint, update.age),
            (registry.fingerprint(), AGE)
        );
        assert_eq!(update.content, content);
    }
}

/// Guards against changes that lead to another list than the sender has.
#[test]
fn changed_entries() {
    let (registry, history, base) = changed(200);
    let mut receiver = TargetRegistry::default();
    receiver.apply(entries(200), Duration::ZERO);
    let answer = TargetListAnswer::new(&registry, &history, Some(base), AGE);
    let (update, _) = receive(&answer);
    let TargetListContent::Changes(from, changes) = update.content else {
        panic!("{update:?}")
    };
    assert_eq!((from, changes.len()), (base, 3));
    let applied = receiver.adopt_changes(from, changes, update.fingerprint);
    assert!(applied.is_some());
    assert_eq!(receiver.entries(), registry.entries());
}

/// Guards against a transfer whose size grows with the number of targets: 3 changes among 3,000 targets, and a whole list
/// that is larger than with field names.
#[test]
fn transfer_size() {
    let (registry, history, base) = changed(3_000);
    let (_, changes) = receive(&TargetListAnswer::new(&registry, &history, Some(base), AGE));
    let (_, whole) = receive(&TargetListAnswer::new(&registry, &history, None, AGE));
    let former = encode_cbor(&(registry.entries(), AGE)).len();
    assert!(changes < 300, "{changes}");
    assert!(whole * 2 < former, "{whole} {former}");
}
