//! Tests of which targets may get new requests.

use plantainmill_routing::{ColdLeft, TargetChanges, TargetEntry, TargetRegistry};
use std::time::Duration;

pub(crate) fn entry(id: &str, port: u16) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: "llm".into(),
        address: ([10, 0, 0, 1], port).into(),
        domain: "kandy-a".into(),
        slots: 8,
        draining: false,
        born: 0,
        version: "v1".into(),
        cold_left: ColdLeft::default(),
    }
}

pub(crate) fn fleet(count: u16) -> Vec<TargetEntry> {
    (0..count)
        .map(|number| entry(&format!("t{number}"), number))
        .collect()
}

pub(crate) fn usable(registry: &TargetRegistry, now: Duration) -> usize {
    registry.usable(now).count()
}

pub(crate) const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against new requests to a target that deregistered while the registry was available.
#[test]
fn deregistered_target() {
    let mut registry = TargetRegistry::default();
    registry.apply(fleet(10), at(0));
    registry.apply(fleet(9), at(500));
    assert_eq!(usable(&registry, at(500)), 9);
}

/// Guards against new requests to a draining target.
#[test]
fn draining_target() {
    let mut registry = TargetRegistry::default();
    let mut entries = fleet(3);
    entries[1].draining = true;
    registry.apply(entries, at(0));
    assert_eq!(usable(&registry, at(0)), 2);
}

/// Guards against a VM that drops all targets after a registry outage during which their entries expired.
#[test]
fn expired_entries() {
    let mut registry = TargetRegistry::default();
    registry.apply(fleet(10), at(0));
    registry.record_read_failure();
    registry.apply(fleet(1), at(5_000));
    assert_eq!(usable(&registry, at(5_000)), 10);
    registry.apply(fleet(8), at(6_500));
    assert_eq!(usable(&registry, at(6_900)), 10);
    registry.apply(fleet(8), at(7_100));
    assert_eq!(usable(&registry, at(7_100)), 8);
}

/// Guards against new requests to a target that deregisters soon after an outage: its missing entry must not start
/// another grace period.
#[test]
fn late_deregistration() {
    let mut registry = TargetRegistry::default();
    registry.apply(fleet(10), at(0));
    registry.record_read_failure();
    registry.apply(fleet(10), at(4_000));
    registry.apply(fleet(9), at(5_800));
    assert_eq!(usable(&registry, at(6_000)), 9);
}

/// Guards against dropping all targets when only the targets lost the registry, so that no read of this VM failed.
#[test]
fn mass_expiry() {
    let mut registry = TargetRegistry::default();
    registry.apply(fleet(10), at(0));
    registry.apply(fleet(2), at(1_000));
    assert_eq!(usable(&registry, at(1_000)), 10);
    registry.apply(fleet(2), at(3_100));
    assert_eq!(usable(&registry, at(3_100)), 2);
}

/// Guards against requests to an expired target whose address another target now uses.
#[test]
fn reused_address() {
    let mut registry = TargetRegistry::default();
    registry.apply(fleet(4), at(0));
    registry.record_read_failure();
    let mut entries = fleet(3);
    entries.push(entry("new", 3));
    registry.apply(entries, at(1_000));
    let ids: Vec<_> = registry
        .usable(at(1_000))
        .map(|entry| entry.id.as_str())
        .collect();
    assert_eq!(ids, ["new", "t0", "t1", "t2"]);
}

/// Guards against a grace period for a deregistered target when a VM cannot read the registry and gets the entries from
/// another VM.
#[test]
fn peer_entries() {
    let mut registry = TargetRegistry::default();
    registry.apply(fleet(10), at(0));
    registry.record_read_failure();
    registry.adopt(fleet(9), None, at(1_000));
    assert_eq!(usable(&registry, at(1_000)), 9);
    assert_eq!(registry.entries().len(), 9);
}

/// Guards against VMs that do not detect that their entries differ.
#[test]
fn entry_fingerprint() {
    let fingerprint = |entries: Vec<TargetEntry>| {
        let mut registry = TargetRegistry::default();
        registry.apply(entries, at(0));
        registry.fingerprint()
    };
    let mut draining = fleet(3);
    draining[1].draining = true;
    assert_eq!(fingerprint(fleet(3)), fingerprint(fleet(3)));
    assert_ne!(fingerprint(fleet(3)), fingerprint(fleet(4)));
    assert_ne!(fingerprint(fleet(3)), fingerprint(draining));
}

pub(crate) fn removal(ids: &[&str]) -> TargetChanges {
    TargetChanges {
        changed: Vec::new(),
        removed: ids.iter().map(|id| (*id).into()).collect(),
    }
}

/// Guards against a target whose row the feed reports as removed and that gets requests for longer than with reads of the
/// table every 600 ms.
#[test]
fn removed_row() {
    let mut registry = TargetRegistry::default();
    registry.apply(fleet(10), at(0));
    registry.apply_feed(removal(&["t3"]), at(100));
    assert_eq!(usable(&registry, at(100)), 10);
    assert_eq!(usable(&registry, at(700)), 9);
    assert_eq!(registry.expire(at(700)).removed, ["t3"]);
}

/// Guards against dropping all targets when their entries expire one by one in the feed, and against removed targets
/// that stay after the grace period.
#[test]
fn single_expiries() {
    let mut registry = TargetRegistry::default();
    registry.apply(fleet(10), at(0));
    for number in 0..8 {
        registry.apply_feed(removal(&[&format!("t{number}")]), at(100 * number));
        registry.expire(at(100 * number));
    }
    assert_eq!(usable(&registry, at(2_300)), 10);
    registry.apply_feed(
        TargetChanges {
            changed: fleet(5),
            removed: Vec::new(),
        },
        at(2_300),
    );
    registry.expire(at(2_800));
    assert_eq!(usable(&registry, at(2_800)), 7);
}

/// Guards against requests to a removed target whose address another target already uses.
#[test]
fn reused_feed_address() {
    let mut registry = TargetRegistry::default();
    registry.apply(fleet(10), at(0));
    registry.apply_feed(removal(&["t3"]), at(100));
    let changes = TargetChanges {
        changed: vec![entry("new", 3)],
        removed: Vec::new(),
    };
    let applied = registry.apply_feed(changes, at(200));
    assert_eq!(applied.removed, ["t3"]);
    assert_eq!(usable(&registry, at(200)), 10);
}

/// Guards against lists that VMs fetch whenever a cold target renews its entry, and against a target whose cold time they miss.
#[test]
fn cold_stamps() {
    let stamp = |left_ms| {
        let mut registry = TargetRegistry::default();
        let mut entry = entry("t1", 1);
        entry.cold_left = ColdLeft(left_ms);
        registry.apply(vec![entry], Duration::ZERO);
        registry.fingerprint()
    };
    assert_eq!(stamp(Some(5_000)), stamp(Some(4_000)));
    assert_eq!(stamp(Some(0)), stamp(None));
    assert_ne!(stamp(Some(4_000)), stamp(Some(0)));
}
