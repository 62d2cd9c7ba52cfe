//! Evacuated failure domains, as known to VMs that read the store at different times or hear from others.

use plantainmill_core::DomainName;
use plantainmill_routing::{
    CallerLimits, DocumentView, EvacuationEvent, EvacuationLedger, EvacuationState, FleetDocument,
    TargetEntry, TargetRegistry,
};
use std::collections::BTreeMap;
use std::time::Duration;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn state(version: u64, domains: &[(&str, u64)]) -> EvacuationState {
    let domains = domains.iter();
    EvacuationState {
        version,
        domains: domains
            .map(|(domain, request)| ((*domain).into(), *request))
            .collect(),
    }
}

fn begins(events: &[EvacuationEvent]) -> Vec<(&str, bool)> {
    let events = events.iter();
    events
        .map(|event| (event.domain.as_str(), event.is_begin))
        .collect()
}

fn evacuated(ledger: &EvacuationLedger) -> Vec<&str> {
    ledger.domains().map(DomainName::as_str).collect()
}

/// Guards against a late read that undoes a newer request, and against a second request that begins an evacuation again.
#[test]
fn repeated_request() {
    let mut ledger = EvacuationLedger::default();
    let events = ledger.record(state(30, &[("b", 30)]), Some(at(100)), at(110));
    assert_eq!(begins(&events), [("b", true)]);
    let events = ledger.record(state(20, &[]), Some(at(200)), at(210));
    assert_eq!((begins(&events).len(), evacuated(&ledger)), (0, vec!["b"]));
    // The older state does not prove the age of the newer one.
    assert_eq!(ledger.age(at(300)), Some(at(200)));
    let events = ledger.record(state(40, &[("b", 40)]), Some(at(400)), at(410));
    assert_eq!((begins(&events).len(), evacuated(&ledger)), (0, vec!["b"]));
}

/// Guards against an evacuation that is revoked before all VMs know it, and that the last ones to hear of it bring back.
#[test]
fn revoked_halfway() {
    let mut reader = EvacuationLedger::default();
    let mut other = EvacuationLedger::default();
    reader.record(state(10, &[]), Some(at(0)), at(0));
    other.record(state(10, &[]), Some(at(0)), at(0));
    reader.record(state(30, &[("b", 30)]), Some(at(100)), at(100));
    let begun = reader.report(at(100)).expect("a report");
    let events = reader.record(state(50, &[]), Some(at(600)), at(600));
    assert_eq!(begins(&events), [("b", false)]);
    let ended = reader.report(at(700)).expect("a report");
    assert!(begins(&other.record_report(ended, Some(at(690)), at(700))).is_empty());
    assert!(begins(&other.record_report(begun, Some(at(700)), at(720))).is_empty());
    assert!(evacuated(&other).is_empty());
    // It learns of the end, since the targets may be cold after it.
    let revoked: Vec<_> = other.revoked().collect();
    assert_eq!(revoked, [(&"b".into(), at(600))]);
}

/// Guards against the time of an end that grows as VMs tell each other of it, so that targets seem to be cold forever.
#[test]
fn echoed_end() {
    let mut vms = [EvacuationLedger::default(), EvacuationLedger::default()];
    vms[0].record(state(30, &[("b", 30)]), Some(at(0)), at(0));
    vms[0].record(state(50, &[]), Some(at(100)), at(100));
    for round in 1..100 {
        let sender = usize::from(round % 2 == 0);
        let report = vms[sender].report(at(round * 100)).expect("a report");
        vms[1 - sender].record_report(report, None, at(round * 100 + 80));
    }
    for vm in &vms {
        assert!(vm.revoked().all(|(_, ended_at)| ended_at <= at(180)));
    }
}

/// Guards against a VM that resumes or was cut off and serves by an evacuation state that nobody has confirmed, and against an
/// announcement that is taken as a proof.
#[test]
fn unproved_age() {
    let view = DocumentView::with_evacuations();
    let document = FleetDocument::new(5, Vec::new(), BTreeMap::new(), CallerLimits::default());
    assert!(view.replace_if_newer(document, at(100)));
    assert_eq!(view.age(at(200)), None);
    view.record_evacuations(state(30, &[]), at(150), at(160));
    assert_eq!(view.age(at(200)), Some(at(100)));
    view.confirm(5, at(9_000));
    assert_eq!(view.age(at(9_150)), Some(at(9_000)));
    let mut reader = EvacuationLedger::default();
    reader.record(state(40, &[("a", 40)]), Some(at(9_000)), at(9_000));
    let report = reader.report(at(9_100)).expect("a report");
    let events = view.record_evacuation_report(report.clone(), None, at(9_200));
    assert_eq!(begins(&events), [("a", true)]);
    assert_eq!(view.age(at(9_200)), Some(at(9_050)));
    view.record_evacuation_report(report, Some(at(9_200)), at(9_250));
    assert_eq!(view.age(at(9_250)), Some(at(250)));
}

/// Guards against deployments without evacuations that wait for a proof about them, or follow another VM's report.
#[test]
fn without_evacuations() {
    let view = DocumentView::default();
    let document = FleetDocument::new(5, Vec::new(), BTreeMap::new(), CallerLimits::default());
    assert!(view.replace_if_newer(document, at(100)));
    let mut other = EvacuationLedger::default();
    other.record(state(40, &[("a", 40)]), Some(at(100)), at(100));
    let report = other.report(at(100)).expect("a report");
    assert!(
        view.record_evacuation_report(report, Some(at(150)), at(160))
            .is_empty()
    );
    assert_eq!(
        (view.age(at(200)), view.evacuation_report(at(200))),
        (Some(at(100)), None)
    );
    assert!(view.evacuated_domains().is_empty());
}

/// Guards against targets of an evacuated domain that get something new, and that stay away after its end.
#[test]
fn evacuated_targets() {
    let entry = |id: &str, domain: &str, port: u16| TargetEntry {
        id: id.into(),
        service: "llm".into(),
        address: ([10, 0, 0, 1], port).into(),
        domain: domain.into(),
        slots: 4,
        draining: false,
        born: 0,
        version: "v1".into(),
        cold_left: plantainmill_routing::ColdLeft::default(),
    };
    let mut registry = TargetRegistry::default();
    registry.apply(vec![entry("t1", "a", 1), entry("t2", "b", 2)], at(0));
    let usable = |registry: &TargetRegistry| -> Vec<String> {
        let usable = registry.usable(at(1));
        usable.map(|entry| entry.id.to_string()).collect()
    };
    let fingerprint = registry.fingerprint();
    registry.set_evacuated(["b".into()].into());
    assert_eq!(usable(&registry), ["t1"]);
    assert!(registry.is_evacuated(&"t2".into()) && !registry.is_evacuated(&"t1".into()));
    // VMs that learn of it at different times still have equal lists.
    assert_eq!(registry.fingerprint(), fingerprint);
    registry.set_evacuated([].into());
    assert_eq!(usable(&registry), ["t1", "t2"]);
}
