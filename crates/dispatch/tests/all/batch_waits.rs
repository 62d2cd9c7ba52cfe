//! Waits of batch requests beside free slots, in the shared policy.

use plantainmill_core::RegionSet;
use plantainmill_dispatch::shared::{LedgerEffect, LoadLedger, LoadSource, PeerLoad, SlotUse};
use plantainmill_dispatch::{CallOutcome, TicketRequest, TrafficClass};
use plantainmill_routing::TargetEntry;
use std::collections::HashMap;
use std::time::Duration;

/// Interval between ticks.
const TICK_MILLIS: u64 = 20;
/// Time within which a batch request beside a free slot has to be granted.
const GRANT_MILLIS: u64 = 5_000;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(id: &str, service: &str, slots: u32) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: service.into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots,
        draining: false,
        born: 0,
        version: "v1".into(),
        cold_left: plantainmill_routing::ColdLeft::default(),
    }
}

fn ledger(entries: &[TargetEntry]) -> LoadLedger {
    let regions = HashMap::from([("a".into(), "north".into())]);
    let mut ledger = LoadLedger::new("vm".into(), "a".into(), "north".into(), regions);
    ledger.set_targets(entries.iter());
    ledger
}

fn request(class: TrafficClass, service: &str) -> TicketRequest {
    TicketRequest {
        service: service.into(),
        organisation: None,
        priority: 0,
        class,
        prefix_hash: None,
        parts: Vec::new(),
        fingerprint: None,
        version: None,
        barred: Vec::new(),
        spared: Vec::new(),
        deadline: at(60_000),
        wait_limit: None,
        excluded: Vec::new(),
        regions: RegionSet::Everywhere,
        body_bytes: 0,
        is_retry: false,
        needs_idle_slot: false,
    }
}

fn free_count(ledger: &LoadLedger) -> usize {
    let request = request(TrafficClass::Batch, "llm");
    ledger.free_targets(request.need(), at(0)).count()
}

fn granted(effects: &[LedgerEffect], wanted: u64) -> Option<String> {
    effects.iter().find_map(|effect| match effect {
        LedgerEffect::Grant { number, target, .. } if *number == wanted => Some(target.to_string()),
        _ => None,
    })
}

/// The target that is granted to a batch request for service "llm", while `disturb` acts before each tick.
fn granted_target(
    ledger: &mut LoadLedger,
    mut disturb: impl FnMut(&mut LoadLedger, u64),
) -> Option<String> {
    let (number, _) = ledger.request(request(TrafficClass::Batch, "llm"), at(0));
    (0..GRANT_MILLIS / TICK_MILLIS).find_map(|tick| {
        let now = tick * TICK_MILLIS;
        disturb(ledger, now);
        granted(&ledger.tick(at(now)), number)
    })
}

/// Guards against batch requests that targets with a single slot never get.
#[test]
fn single_slot() {
    let mut ledger = ledger(&[entry("t1", "llm", 1)]);
    assert_eq!(free_count(&ledger), 1);
    let target = granted_target(&mut ledger, |_, _| {});
    assert_eq!(target.as_deref(), Some("t1"));
    assert_eq!(free_count(&ledger), 0);
}

/// Guards against batch requests to a target without any slot.
#[test]
fn no_slots() {
    let mut ledger = ledger(&[entry("t1", "llm", 0)]);
    assert_eq!(granted_target(&mut ledger, |_, _| {}), None);
}

/// Guards against batch requests that wait for as long as online requests do for targets of another service.
#[test]
fn other_service() {
    let mut ledger = ledger(&[entry("t1", "llm", 4), entry("t2", "other", 0)]);
    let target = granted_target(&mut ledger, |ledger, now| {
        if now % 40 == 0 {
            for _ in 0..3 {
                ledger.request(request(TrafficClass::Online, "other"), at(now));
            }
        }
    });
    assert_eq!(target.as_deref(), Some("t1"));
}

/// Guards against a batch request that takes a slot for which an online request of its service waits.
#[test]
fn same_service() {
    let mut ledger = ledger(&[entry("t1", "llm", 4)]);
    let load = PeerLoad {
        slots: Vec::new(),
        batch_waiting_vms: 0,
        online_waiting_vms: 9,
        busiest: None,
    };
    ledger.record_report(&LoadSource::Vm("peer".into()), load, at(0));
    // With so many other waiting VMs, it is rarely this one's turn to fill a free slot.
    let has_waited = (0..10).any(|turn| {
        let now = at(turn * 50);
        ledger.request(request(TrafficClass::Online, "llm"), now);
        let (batch, _) = ledger.request(request(TrafficClass::Batch, "llm"), now);
        let effects = ledger.tick(now);
        let waits = ledger.waiting().0 > 0;
        assert!(!waits || granted(&effects, batch).is_none());
        waits
    });
    assert!(has_waited);
}

/// Guards against batch requests that are not granted since all targets have failed.
#[test]
fn failing_targets() {
    let mut ledger = ledger(&[entry("t1", "llm", 4), entry("t2", "llm", 4)]);
    for _ in 0..8 {
        let (number, _) = ledger.request(request(TrafficClass::Batch, "llm"), at(0));
        ledger.tick(at(0));
        ledger.release(number, CallOutcome::Failed, at(0));
    }
    assert!(granted_target(&mut ledger, |_, _| {}).is_some());
}

/// Guards against the load of peers that counts for ever after they stopped.
#[test]
fn silent_peer() {
    let mut ledger = ledger(&[entry("t1", "llm", 4)]);
    let load = PeerLoad {
        slots: vec![(
            "t1".into(),
            SlotUse {
                online: 4,
                batch: 0,
            },
        )],
        batch_waiting_vms: 9,
        online_waiting_vms: 9,
        busiest: None,
    };
    ledger.record_report(&LoadSource::Vm("peer".into()), load, at(0));
    let target = granted_target(&mut ledger, |_, _| {});
    assert_eq!(target.as_deref(), Some("t1"));
}
