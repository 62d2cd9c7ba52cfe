//! Individual decisions of the shared policy, in which VMs exchange their loads.

use plantainmill_core::RegionSet;
use plantainmill_dispatch::shared::{
    LedgerEffect, LoadLedger, LoadSource, PeerLoad, RefusalCause, SlotUse,
};
use plantainmill_dispatch::{CallOutcome, TicketRequest, TrafficClass};
use plantainmill_routing::TargetEntry;
use rstest::rstest;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

const SLOTS: u32 = 4;

pub(crate) fn entry(id: &str, domain: &str) -> TargetEntry {
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

pub(crate) fn ledger(vm: &str, targets: &[(&str, &str)]) -> LoadLedger {
    ledger_at(vm, "a", targets)
}

fn ledger_at(vm: &str, domain: &str, targets: &[(&str, &str)]) -> LoadLedger {
    let regions = HashMap::from([
        ("a".into(), "north".into()),
        ("b".into(), "north".into()),
        ("c".into(), "south".into()),
    ]);
    let mut ledger = LoadLedger::new(vm.into(), domain.into(), "north".into(), regions);
    let entries: Vec<_> = targets
        .iter()
        .map(|(id, domain)| entry(id, domain))
        .collect();
    ledger.set_targets(entries.iter());
    ledger
}

fn request(class: TrafficClass) -> TicketRequest {
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
        regions: RegionSet::Everywhere,
        body_bytes: 0,
        is_retry: false,
        needs_idle_slot: false,
    }
}

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Submits an online request and returns the target that it is granted, if any.
pub(crate) fn online(ledger: &mut LoadLedger, now: u64) -> Option<String> {
    let (_, effects) = ledger.request(request(TrafficClass::Online), at(now));
    granted(&effects).pop()
}

fn granted(effects: &[LedgerEffect]) -> Vec<String> {
    let targets = effects.iter().filter_map(|effect| match effect {
        LedgerEffect::Grant { target, .. } => Some(target.to_string()),
        _ => None,
    });
    targets.collect()
}

fn preempted(effects: &[LedgerEffect]) -> usize {
    let preempts = effects
        .iter()
        .filter(|effect| matches!(effect, LedgerEffect::Preempt { .. }));
    preempts.count()
}

fn vm(name: &str) -> LoadSource {
    LoadSource::Vm(name.into())
}

fn peer_load(target: &str, online: u32, batch: u32) -> PeerLoad {
    PeerLoad {
        slots: vec![(target.into(), SlotUse { online, batch })],
        batch_waiting_vms: 0,
        online_waiting_vms: 0,
        busiest: None,
    }
}

/// Guards against requests that cross a link while near targets have free slots, or wait while only far ones have.
#[test]
fn near_before_far() {
    let mut ledger = ledger("vm", &[("far", "c"), ("near", "a")]);
    let targets: Vec<_> = (0..8).filter_map(|_| online(&mut ledger, 0)).collect();
    assert_eq!(targets[..4], ["near"; 4]);
    assert_eq!(targets[4..], ["far"; 4]);
}

/// Guards against requests to targets whose slots are all used by peers.
#[test]
fn peer_load_counts() {
    let mut ledger = ledger("vm", &[("t1", "a"), ("t2", "a")]);
    let peer = vm("peer");
    ledger.record_report(&peer, peer_load("t1", SLOTS, 0), at(0));
    for _ in 0..3 {
        assert_eq!(online(&mut ledger, 10).as_deref(), Some("t2"));
    }
    // The load of a peer that stopped reporting no longer counts.
    ledger.tick(at(3_000));
    assert_eq!(online(&mut ledger, 3_000).as_deref(), Some("t1"));
}

/// Guards against online requests that wait behind batch calls of the same VM.
#[test]
fn own_batch_preempted() {
    let mut ledger = ledger("vm", &[("t1", "a")]);
    for _ in 0..SLOTS {
        ledger.request(request(TrafficClass::Batch), at(0));
    }
    let started = granted(&ledger.tick(at(0))).len();
    assert_eq!(started, 3, "one slot stays free for online requests");
    assert_eq!(online(&mut ledger, 10).as_deref(), Some("t1"));
    let (_, effects) = ledger.request(request(TrafficClass::Online), at(20));
    assert_eq!(granted(&effects), ["t1"]);
    assert_eq!(preempted(&effects), 1);
}

/// Guards against several VMs or none preempting a batch call for one online request.
#[test]
fn one_peer_preempts() {
    let names = ["vm1", "vm2", "vm3"];
    let mut preemptions = 0;
    for own in names {
        let mut ledger = ledger(own, &[("t1", "a")]);
        ledger.request(request(TrafficClass::Batch), at(0));
        ledger.tick(at(0));
        for other in names.iter().filter(|other| **other != own) {
            ledger.record_report(&vm(other), peer_load("t1", 0, 1), at(10));
        }
        // Three batch and two online calls on four slots: one batch call is too many.
        let effects = ledger.record_report(&vm("vm4"), peer_load("t1", 2, 0), at(20));
        preemptions += preempted(&effects);
    }
    assert_eq!(preemptions, 1);
}

/// Guards against VMs of different failure domains that both preempt a call, or neither, although each sees only the
/// total load of the other domain.
#[test]
fn one_domain_preempts() {
    let mut preemptions = 0;
    for (own, domain, other) in [("vm1", "a", "b"), ("vm2", "b", "a")] {
        let mut ledger = ledger_at(own, domain, &[("t1", "a")]);
        ledger.request(request(TrafficClass::Batch), at(0));
        ledger.tick(at(0));
        // One batch call here; one batch call and three online calls in the other domain.
        let far = LoadSource::Domain(other.into());
        let load = peer_load("t1", 3, 1);
        preemptions += preempted(&ledger.record_report(&far, load, at(20)));
    }
    assert_eq!(preemptions, 1);
}

/// Guards against a domain report that omits calls or counts them twice, or includes the load of other domains.
#[test]
fn domain_sum() {
    let mut ledger = ledger("vm1", &[("t1", "a")]);
    online(&mut ledger, 0);
    ledger.record_report(&vm("vm2"), peer_load("t1", 1, 2), at(10));
    ledger.record_report(
        &LoadSource::Domain("c".into()),
        peer_load("t1", 5, 5),
        at(10),
    );
    assert_eq!(ledger.domain_report(), peer_load("t1", 2, 2));
}

/// Guards against batch calls that take the last free slot, which is reserved for online requests.
#[test]
fn batch_after_online() {
    let mut ledger = ledger("vm", &[("t1", "a")]);
    ledger.record_report(&vm("peer"), peer_load("t1", 3, 0), at(0));
    ledger.request(request(TrafficClass::Batch), at(0));
    assert!(granted(&ledger.tick(at(0))).is_empty());
    ledger.record_report(&vm("peer"), peer_load("t1", 2, 0), at(50));
    assert_eq!(granted(&ledger.tick(at(50))), ["t1"]);
}

/// Guards against items that are granted before items with an earlier deadline, and against overdue items that are
/// granted before those that can still meet their deadline.
#[test]
fn deadline_order() {
    let mut ledger = ledger("vm", &[("t1", "a")]);
    let dues = [30_000, 500, 20_000, 25_000];
    let numbers: Vec<_> = dues
        .iter()
        .map(|due| {
            let mut request = request(TrafficClass::Batch);
            request.deadline = at(*due);
            ledger.request(request, at(0)).0
        })
        .collect();
    let effects = ledger.tick(at(1_000));
    let started: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            LedgerEffect::Grant { number, .. } => Some(*number),
            _ => None,
        })
        .collect();
    assert_eq!(started, [numbers[2], numbers[3], numbers[0]]);
}

/// Guards against requests that wait beyond their wait limit when no slot becomes free.
#[test]
fn wait_limit_kept() {
    let mut ledger = ledger("vm", &[("t1", "a")]);
    ledger.record_report(&vm("peer"), peer_load("t1", SLOTS + 2, 0), at(0));
    let mut request = request(TrafficClass::Online);
    request.wait_limit = Some(at(75));
    let (number, effects) = ledger.request(request, at(0));
    assert!(effects.is_empty());
    assert!(ledger.tick(at(50)).is_empty());
    let effects = ledger.tick(at(100));
    let refused = effects.iter().any(|effect| match effect {
        LedgerEffect::Refuse {
            number: refused,
            retry_after,
            cause,
        } => *refused == number && *cause == RefusalCause::Busy && *retry_after >= at(300),
        _ => false,
    });
    assert!(refused, "{effects:?}");
}

/// Guards against a failed target that is selected again at once, and against one that is never selected again.
#[rstest]
#[case(CallOutcome::Failed, "t2")]
#[case(CallOutcome::Abandoned, "t1")]
fn failed_target(#[case] outcome: CallOutcome, #[case] next: &str) {
    let mut ledger = ledger("vm", &[("t1", "a"), ("t2", "b")]);
    let (number, effects) = ledger.request(request(TrafficClass::Online), at(0));
    assert_eq!(granted(&effects), ["t1"]);
    ledger.release(number, outcome, at(10));
    assert_eq!(online(&mut ledger, 20).as_deref(), Some(next));
    assert_eq!(online(&mut ledger, 2_000).as_deref(), Some("t1"));
}

/// Guards against a slot that stays taken after its call, or that is released twice after a preemption.
#[test]
fn slots_balance() {
    let mut ledger = ledger("vm", &[("t1", "a")]);
    let (batch, _) = ledger.request(request(TrafficClass::Batch), at(0));
    ledger.tick(at(0));
    let online: Vec<_> = (0..SLOTS)
        .map(|_| ledger.request(request(TrafficClass::Online), at(10)).0)
        .collect();
    assert_eq!(
        ledger.load_of(&"t1".into()).map(|(_, slots)| slots.batch),
        Some(0)
    );
    ledger.release(batch, CallOutcome::Abandoned, at(20));
    for number in online {
        ledger.release(number, CallOutcome::Completed { first_byte: at(1) }, at(30));
    }
    assert_eq!(
        ledger.load_of(&"t1".into()),
        Some((SLOTS, SlotUse::default()))
    );
}

/// Guards against calls that are no longer counted after the entry of their target disappeared and came back.
#[test]
fn relisted_target_calls() {
    let mut ledger = ledger("vm", &[("t1", "a")]);
    assert!(online(&mut ledger, 0).is_some());
    ledger.set_targets(std::iter::empty());
    let back = entry("t1", "a");
    ledger.set_targets(std::iter::once(&back));
    assert_eq!(
        ledger.load_of(&"t1".into()).map(|(_, slots)| slots.online),
        Some(1)
    );
}

/// Guards against requests that never run because the only target failed them once.
#[rstest]
#[case(TrafficClass::Online)]
#[case(TrafficClass::Batch)]
fn only_target(#[case] class: TrafficClass) {
    let mut ledger = ledger("vm", &[("t1", "a")]);
    let (number, _) = ledger.request(request(class), at(0));
    ledger.tick(at(0));
    ledger.release(number, CallOutcome::Failed, at(10));
    let mut again = request(class);
    again.excluded.push("t1".into());
    let (_, mut effects) = ledger.request(again, at(20));
    effects.extend(ledger.tick(at(20)));
    assert_eq!(granted(&effects), ["t1"]);
}

fn request_of(organisation: &str, priority: u32) -> TicketRequest {
    TicketRequest {
        organisation: Some(organisation.into()),
        priority,
        ..request(TrafficClass::Online)
    }
}

/// Fills the only target with calls of the organisations `filling`, queues the requests `waiting` (organisation and
/// priority), releases one call, and returns the index of the waiting request that is granted.
fn first_served(filling: &[&str], waiting: &[(&str, u32)]) -> Option<usize> {
    let mut ledger = ledger("vm", &[("t1", "a")]);
    let calls: Vec<u64> = filling
        .iter()
        .map(|organisation| ledger.request(request_of(organisation, 0), at(0)).0)
        .collect();
    let numbers: Vec<u64> = waiting
        .iter()
        .map(|(organisation, priority)| {
            let (number, effects) = ledger.request(request_of(organisation, *priority), at(10));
            assert_eq!(granted(&effects), Vec::<String>::new());
            number
        })
        .collect();
    let effects = ledger.release(calls[0], CallOutcome::Abandoned, at(20));
    effects.iter().find_map(|effect| match effect {
        LedgerEffect::Grant { number, .. } => numbers.iter().position(|known| known == number),
        _ => None,
    })
}

/// Guards against an organisation that is granted several slots in a row while others wait, and against ignored
/// priorities.
#[rstest]
#[case::fewest_calls(&["x", "a", "a", "a", "b", "a"], &[("a", 0), ("b", 0)], 1)]
#[case::oldest_of_equals(&["x", "a", "b", "a", "b", "x"], &[("b", 0), ("a", 0)], 0)]
#[case::priority_first(&["x", "a", "a", "a", "b", "a"], &[("b", 1), ("a", 0)], 1)]
fn waiting_order(
    #[case] filling: &[&str],
    #[case] waiting: &[(&str, u32)],
    #[case] expected: usize,
) {
    assert_eq!(first_served(filling, waiting), Some(expected));
}

/// Guards against an organisation whose surge leaves no slot to others, and against slots that stay unused when there
/// is no other organisation.
#[rstest]
#[case::beside_another("b", 6)]
#[case::alone("a", 7)]
fn dominant_organisation(#[case] other: &str, #[case] expected: usize) {
    let mut ledger = ledger("vm", &[("t1", "a"), ("t2", "a")]);
    ledger.request(request_of(other, 0), at(0));
    let grants = (0..7).filter(|_| {
        let (_, effects) = ledger.request(request_of("a", 0), at(0));
        !granted(&effects).is_empty()
    });
    assert_eq!(grants.count(), expected);
    let (_, effects) = ledger.request(request_of("c", 0), at(1));
    let is_free = !granted(&effects).is_empty();
    assert!(is_free, "another organisation has to wait");
}

/// Guards against overload when all VMs with queued requests use the same slot that became free, and against a VM that
/// does not reuse a slot that it has released itself.
#[test]
fn contended_free_slot() {
    let mut filled = 0;
    for number in 0..300 {
        let mut ledger = ledger(&format!("vm{number}"), &[("t1", "a")]);
        let mut load = peer_load("t1", SLOTS + 2, 0);
        load.online_waiting_vms = 11;
        ledger.record_report(&vm("peers"), load.clone(), at(0));
        assert_eq!(online(&mut ledger, 10), None);
        load.slots[0].1.online = SLOTS - 1;
        let effects = ledger.record_report(&vm("peers"), load, at(20));
        filled += granted(&effects).len();
    }
    // Twelve VMs have queued requests, so about one in twelve should use the slot.
    assert!(
        (1..=25).contains(&filled),
        "{filled} of 300 VMs used the slot"
    );
    let mut ledger = ledger("vm", &[("t1", "a")]);
    let (own, _) = ledger.request(request(TrafficClass::Online), at(0));
    let mut load = peer_load("t1", SLOTS + 1, 0);
    load.online_waiting_vms = 11;
    ledger.record_report(&vm("peers"), load, at(5));
    assert_eq!(online(&mut ledger, 10), None);
    let effects = ledger.release(own, CallOutcome::Abandoned, at(20));
    assert_eq!(granted(&effects), ["t1"]);
}

/// Guards against an organisation that no VM recognises as dominant because its calls are spread over all VMs.
#[rstest]
#[case::most_of_all(Some(("a", 7)), false)]
#[case::half_of_all(Some(("a", 5)), true)]
#[case::another_one(Some(("b", 7)), true)]
#[case::unknown(None, true)]
fn dominant_over_all_vms(#[case] busiest: Option<(&str, u32)>, #[case] is_granted: bool) {
    let mut ledger = ledger("vm", &[("t1", "a"), ("t2", "a"), ("t3", "a")]);
    let full = SLOTS - 1;
    let load = PeerLoad {
        slots: ["t1", "t2", "t3"]
            .map(|target| {
                (
                    target.into(),
                    SlotUse {
                        online: full,
                        batch: 0,
                    },
                )
            })
            .into(),
        busiest: busiest.map(|(name, count)| (name.into(), count)),
        ..PeerLoad::default()
    };
    ledger.record_report(&vm("peer"), load, at(0));
    let (_, effects) = ledger.request(request_of("a", 0), at(1));
    assert_eq!(!granted(&effects).is_empty(), is_granted);
}

/// Guards against batch calls that start again at once after a preemption, while the peers' reports do not show yet who
/// needs the slots that look free.
#[test]
fn pause_after_preemption() {
    let mut ledger = ledger("vm", &[("t1", "a"), ("t2", "a")]);
    for _ in 0..6 {
        ledger.request(request(TrafficClass::Batch), at(0));
    }
    assert_eq!(granted(&ledger.tick(at(0))).len(), 6);
    // With a request on the last free slots, the next one needs a preemption.
    for _ in 0..2 {
        assert!(online(&mut ledger, 10).is_some());
    }
    let (_, effects) = ledger.request(request(TrafficClass::Online), at(20));
    assert_eq!(preempted(&effects), 1);
    let entries = [entry("t1", "a"), entry("t2", "a"), entry("t3", "a")];
    ledger.set_targets(entries.iter());
    ledger.request(request(TrafficClass::Batch), at(30));
    assert!(granted(&ledger.tick(at(50))).is_empty());
    assert!(granted(&ledger.tick(at(500))).is_empty());
    assert_eq!(granted(&ledger.tick(at(520))), ["t3"]);
}

/// Guards against VMs that all send to the target that a late report shows as the least occupied one, and against a VM
/// that stays with its preferred targets when they are full.
#[test]
fn preferred_targets() {
    let names: Vec<String> = (0..24).map(|number| format!("t{number}")).collect();
    let targets: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "a")).collect();
    let used_by = |vm: &str, has_late_reports: bool, count: u32| {
        let mut ledger = ledger(vm, &targets);
        ledger.set_late_reports(has_late_reports);
        let used = (0..count).map(|_| online(&mut ledger, 0).expect("a free slot"));
        used.collect::<BTreeSet<String>>()
    };
    assert_eq!(used_by("vm1", true, 2 * SLOTS).len(), 3);
    assert_eq!(used_by("vm1", true, 24 * SLOTS).len(), 24);
    assert!(used_by("vm1", false, 2 * SLOTS).len() > 3);
    let first_targets: BTreeSet<String> = (0..40)
        .flat_map(|number| used_by(&format!("vm{number}"), true, 3))
        .collect();
    assert!(first_targets.len() > 20, "{first_targets:?}");
}

/// A ledger with one target of version v1 and one of v2.
fn mixed_ledger() -> LoadLedger {
    let mut ledger = ledger("vm", &[]);
    let newer = TargetEntry {
        version: "v2".into(),
        ..entry("newer", "a")
    };
    ledger.set_targets([entry("former", "b"), newer].iter());
    ledger
}

fn of_version(class: TrafficClass, version: &str) -> TicketRequest {
    TicketRequest {
        version: Some(version.into()),
        ..request(class)
    }
}

/// Guards against a stream that goes on at a target of another software version, because it is nearer, or because all of
/// its own are full or have failed it.
#[rstest]
fn one_version(#[values(TrafficClass::Online, TrafficClass::Batch)] class: TrafficClass) {
    let mut ledger = mixed_ledger();
    let mut targets = Vec::new();
    for number in 0..12 {
        let continued = TicketRequest {
            excluded: vec!["former".into()],
            ..of_version(class, "v1")
        };
        let (_, effects) = ledger.request(continued, at(number));
        targets.extend(granted(&effects));
        targets.extend(granted(&ledger.tick(at(number))));
    }
    assert!(targets.len() >= 3, "{targets:?}");
    assert!(
        targets.iter().all(|target| target == "former"),
        "{targets:?}"
    );
    let bound = of_version(TrafficClass::Online, "v1");
    assert!(!ledger.has_other_target(bound.need(), &"former".into()));
    let unbound = request(TrafficClass::Online);
    assert!(ledger.has_other_target(unbound.need(), &"former".into()));
}

/// Guards against a stream that waits until its deadline for a version that has left, before or after it began to wait.
#[rstest]
fn version_gone(
    #[values(TrafficClass::Online, TrafficClass::Batch)] class: TrafficClass,
    #[values(true, false)] waits_first: bool,
) {
    let mut ledger = mixed_ledger();
    let remaining = |ledger: &mut LoadLedger| ledger.set_targets([entry("former", "b")].iter());
    let mut effects = Vec::new();
    if waits_first {
        let load = peer_load("newer", SLOTS + 2, 0);
        ledger.record_report(&vm("peer"), load, at(0));
        effects.extend(ledger.request(of_version(class, "v2"), at(0)).1);
        assert_eq!(effects, []);
        remaining(&mut ledger);
    } else {
        remaining(&mut ledger);
        effects.extend(ledger.request(of_version(class, "v2"), at(0)).1);
    }
    effects.extend(ledger.tick(at(5)));
    let refused = |effect: &LedgerEffect| {
        matches!(
            effect,
            LedgerEffect::Refuse {
                cause: RefusalCause::NoTarget,
                ..
            }
        )
    };
    assert!(
        effects.len() == 1 && effects.iter().all(refused),
        "{effects:?}"
    );
}

/// Guards against a stream that has begun and loses its place to new ones: only the targets of its version can continue it.
#[test]
fn continued_first() {
    let mut ledger = ledger("vm", &[("only", "a")]);
    let mut running = Vec::new();
    while let (number, effects) = ledger.request(request(TrafficClass::Online), at(0))
        && !granted(&effects).is_empty()
    {
        running.push(number);
    }
    let (_, effects) = ledger.request(of_version(TrafficClass::Online, "v1"), at(1));
    assert_eq!(effects, []);
    let continued = ledger
        .request(of_version(TrafficClass::Online, "v1"), at(2))
        .0;
    let outcome = CallOutcome::Completed { first_byte: at(1) };
    let freed = running.iter().take(3);
    let effects: Vec<LedgerEffect> = freed
        .flat_map(|number| ledger.release(*number, outcome, at(3)))
        .collect();
    let first = effects.iter().take(3).filter_map(|effect| match effect {
        LedgerEffect::Grant { number, .. } => Some(*number),
        _ => None,
    });
    let first: Vec<u64> = first.collect();
    assert_eq!(
        first,
        [continued - 1, continued, continued - 2],
        "the stream, its peer, the new one"
    );
}
