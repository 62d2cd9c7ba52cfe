//! Decisions of the shared policy on requests that are limited to regions.

use plantainmill_core::RegionSet;
use plantainmill_dispatch::limits::{LimitLedger, LimitedTarget};
use plantainmill_dispatch::shared::{
    LedgerEffect, LoadLedger, LoadSource, PeerLoad, RefusalCause, SlotUse,
};
use plantainmill_dispatch::{CallOutcome, TicketRequest, TrafficClass};
use plantainmill_routing::TargetEntry;
use rstest::rstest;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const SLOTS: u32 = 4;

fn entry(id: &str, domain: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: "llm".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: domain.into(),
        slots: SLOTS,
        draining: false,
        born: 0,
        version: "v1".into(),
        cold_left: plantainmill_routing::ColdLeft::default(),
    }
}

/// A ledger of a VM in `north`; `c` is in `south`, and the region of `unlisted` is not known.
fn ledger(targets: &[(&str, &str)]) -> LoadLedger {
    let regions = HashMap::from([("a".into(), "north".into()), ("c".into(), "south".into())]);
    let mut ledger = LoadLedger::new("vm".into(), "a".into(), "north".into(), regions);
    set_targets(&mut ledger, targets);
    ledger
}

fn set_targets(ledger: &mut LoadLedger, targets: &[(&str, &str)]) {
    let entries = targets.iter().map(|(id, domain)| entry(id, domain));
    let entries: Vec<_> = entries.collect();
    ledger.set_targets(entries.iter());
}

fn request(class: TrafficClass, regions: &[&str]) -> TicketRequest {
    TicketRequest {
        service: "llm".into(),
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
        regions: RegionSet::of_names(regions.iter().map(|region| (*region).into())),
        body_bytes: 0,
        is_retry: false,
        needs_idle_slot: false,
    }
}

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn granted(effects: &[LedgerEffect]) -> Vec<String> {
    let targets = effects.iter().filter_map(|effect| match effect {
        LedgerEffect::Grant { target, .. } => Some(target.to_string()),
        _ => None,
    });
    targets.collect()
}

fn refused(effects: &[LedgerEffect]) -> Option<(RefusalCause, Duration)> {
    effects.iter().find_map(|effect| match effect {
        LedgerEffect::Refuse {
            cause, retry_after, ..
        } => Some((*cause, *retry_after)),
        _ => None,
    })
}

/// Guards against requests that are served in another region while all targets of the allowed one are full.
#[test]
fn full_region() {
    let mut ledger = ledger(&[("near", "a"), ("far", "c")]);
    let load = PeerLoad {
        slots: vec![(
            "near".into(),
            SlotUse {
                online: SLOTS * 2,
                batch: 0,
            },
        )],
        batch_waiting_vms: 0,
        online_waiting_vms: 0,
        busiest: None,
    };
    ledger.record_report(&LoadSource::Vm("peer".into()), load, at(0));
    let (_, effects) = ledger.request(request(TrafficClass::Online, &["north"]), at(0));
    assert_eq!(effects, []);
    let ends = ledger.tick(at(200));
    assert_eq!(granted(&ends), Vec::<String>::new());
    assert_eq!(
        refused(&ends).map(|(cause, _)| cause),
        Some(RefusalCause::Busy)
    );
    let (_, effects) = ledger.request(request(TrafficClass::Online, &[]), at(210));
    assert_eq!(granted(&effects), ["far"]);
}

/// Guards against items that are started in another region while the targets of the allowed one have no room, and against
/// idle targets of other regions that count as free for them.
#[test]
fn full_region_of_items() {
    let mut ledger = ledger(&[("near", "a"), ("far", "c")]);
    for _ in 0..8 {
        ledger.request(request(TrafficClass::Batch, &["north"]), at(0));
    }
    let started = granted(&ledger.tick(at(10)));
    assert!(!started.is_empty());
    assert!(started.iter().all(|target| target == "near"), "{started:?}");
    assert_eq!(granted(&ledger.tick(at(20))), Vec::<String>::new());
    let need = request(TrafficClass::Batch, &["north"]);
    assert_eq!(ledger.free_targets(need.need(), at(20)).count(), 0);
    assert!(!ledger.has_other_target(need.need(), &"near".into()));
    let anywhere = request(TrafficClass::Batch, &[]);
    assert_eq!(ledger.free_targets(anywhere.need(), at(20)).count(), 1);
}

/// Guards against requests and items that are served in another region while the allowed one is partitioned away: its targets
/// are listed, every connect to them fails, and they have failed the request already.
#[test]
fn partitioned_region() {
    let mut ledger = ledger(&[("near1", "a"), ("near2", "a"), ("far", "c")]);
    let mut excluded = Vec::new();
    for round in 0..6 {
        let request = TicketRequest {
            excluded: excluded.clone(),
            ..request(TrafficClass::Online, &["north"])
        };
        let (number, mut effects) = ledger.request(request, at(round * 20));
        effects.extend(ledger.tick(at(round * 20 + 10)));
        for target in granted(&effects) {
            assert_ne!(target, "far");
            excluded.push(target.into());
            ledger.release(number, CallOutcome::Failed, at(round * 20 + 15));
        }
    }
    assert!(!excluded.is_empty());
    ledger.request(request(TrafficClass::Batch, &["north"]), at(200));
    let started = granted(&ledger.tick(at(210)));
    assert!(!started.contains(&"far".to_owned()));
}

/// Guards against a request that waits, or is served elsewhere, while no target of an allowed region is known; and against
/// callers who come back at once although only a change of the configuration helps.
#[rstest]
#[case::targets_gone(&["south"], None)]
#[case::no_common_region(&["nowhere"], Some(at(1_000)))]
fn missing_region(#[case] regions: &[&str], #[case] delay: Option<Duration>) {
    let mut ledger = ledger(&[("near", "a"), ("unlisted", "unlisted")]);
    let (_, effects) = ledger.request(request(TrafficClass::Online, regions), at(0));
    let (cause, retry_after) = refused(&effects).expect("a refusal at once");
    assert_eq!(cause, RefusalCause::NoRegion);
    if let Some(delay) = delay {
        assert_eq!(retry_after, delay);
    }
}

/// Guards against a request whose regions are unknown to a rule of versions: a stream whose version is left in other regions
/// only has to begin anew.
#[test]
fn version_elsewhere() {
    let mut ledger = ledger(&[("far", "c")]);
    let mut entry = entry("near", "a");
    entry.version = "v2".into();
    ledger.set_targets([entry, self::entry("far", "c")].iter());
    let bound = TicketRequest {
        version: Some("v1".into()),
        ..request(TrafficClass::Online, &["north"])
    };
    let (_, effects) = ledger.request(bound, at(0));
    assert_eq!(
        refused(&effects).map(|(cause, _)| cause),
        Some(RefusalCause::NoTarget)
    );
}

/// Guards against a request that waits for its whole time although the last target of its region has left meanwhile.
#[test]
fn region_lost_meanwhile() {
    let mut ledger = ledger(&[("near", "a"), ("far", "c")]);
    let patient = || TicketRequest {
        wait_limit: Some(at(5_000)),
        ..request(TrafficClass::Online, &["north"])
    };
    let mut effects = Vec::new();
    for _ in 0..SLOTS + 3 {
        effects = ledger.request(patient(), at(0)).1;
    }
    assert_eq!(effects, []);
    set_targets(&mut ledger, &[("far", "c")]);
    let effects = ledger.tick(at(50));
    assert_eq!(
        refused(&effects).map(|(cause, _)| cause),
        Some(RefusalCause::NoRegion)
    );
}

/// Guards against an item that is refused, and retried in a loop, while its regions have no target: it waits, and is started
/// when one comes.
#[test]
fn waiting_item() {
    let mut ledger = ledger(&[("far", "c")]);
    ledger.request(request(TrafficClass::Batch, &["north"]), at(0));
    assert_eq!(ledger.tick(at(10)), []);
    set_targets(&mut ledger, &[("far", "c"), ("near", "a")]);
    assert_eq!(granted(&ledger.tick(at(20))), ["near"]);
}

/// Guards against a request that waits for the limit of a target in another region, or that the free targets there keep from
/// being told of the limits in its own.
#[test]
fn limits_elsewhere() {
    let mut ledger = LimitLedger::new("vm".into());
    let target = |id: &str, domain: &str, region: &str| LimitedTarget {
        id: id.into(),
        service: "llm".into(),
        domain: domain.into(),
        region: Some(region.into()),
    };
    let targets = [target("near", "a", "north"), target("far", "c", "south")];
    ledger.set_targets(targets.into_iter(), at(0));
    ledger.set_members(BTreeMap::from([("a".into(), vec!["vm".into()])]), at(0));
    ledger.record_response(&"near".into(), Some(1.0), at(0));
    while ledger.take(&"near".into(), at(0)) {}
    let service = "llm".into();
    let north = RegionSet::of_names(["north".into()]);
    let wait = ledger.next_free(&service, &north, at(0));
    assert!(wait.is_some_and(|wait| !wait.is_zero()), "{wait:?}");
    let anywhere = ledger.next_free(&service, &RegionSet::Everywhere, at(0));
    assert_eq!(anywhere, Some(Duration::ZERO));
    let west = RegionSet::of_names(["west".into()]);
    assert_eq!(ledger.next_free(&service, &west, at(0)), None);
    assert!(!ledger.is_allowed(&"near".into(), &west));
}
