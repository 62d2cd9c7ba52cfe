//! Choice of targets by the load that they state in their responses.

use crate::support::{SERVICE, request};
use plantainmill_core::TargetId;
use plantainmill_dispatch::TrafficClass;
use plantainmill_dispatch::shared::{
    LedgerEffect, LoadLedger, StatedEntry, StatedScope, StatedSource, TargetStatement,
};
use plantainmill_routing::TargetEntry;
use rstest::rstest;
use std::collections::HashMap;
use std::time::Duration;

const TARGETS: [&str; 4] = ["t0", "t1", "t2", "t3"];
const OTHERS: [&str; 3] = ["x0", "x1", "x2"];
const SLOTS: u32 = 8;
/// Number of requests of one run, well below the slots.
const REQUESTS: u64 = 12;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(id: &str, service: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: service.into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: SLOTS,
        draining: false,
        born: 0,
        version: "v1".into(),
        cold_left: plantainmill_routing::ColdLeft::default(),
    }
}

/// A ledger of one VM with `TARGETS`, and targets of another service.
fn new_ledger() -> LoadLedger {
    let regions = HashMap::from([("a".into(), "north".into())]);
    let mut ledger = LoadLedger::new("v".into(), "a".into(), "north".into(), regions);
    let own = TARGETS.map(|id| entry(id, SERVICE));
    let others = OTHERS.map(|id| entry(id, "other"));
    ledger.set_targets(own.iter().chain(&others));
    ledger
}

fn state(ledger: &mut LoadLedger, target: &str, value: &str, millis: u64) {
    if let Some(statement) = TargetStatement::parse(value) {
        ledger
            .stated
            .record_response(&target.into(), statement, at(millis));
    }
}

/// Targets of online requests that are sent one after the other at the same time.
fn choices(ledger: &mut LoadLedger, millis: u64) -> Vec<TargetId> {
    let grants = (0..REQUESTS).flat_map(|_| {
        let request = request(TrafficClass::Online, "o", at(millis));
        ledger.request(request, at(millis)).1
    });
    let targets = grants.filter_map(|effect| match effect {
        LedgerEffect::Grant { target, .. } => Some(target),
        _ => None,
    });
    targets.collect()
}

fn count_of(choices: &[TargetId], target: &str) -> usize {
    choices.iter().filter(|choice| *choice == target).count()
}

/// Choices where the targets other than `t0` state the usual pace, and `t0` the given value.
fn choices_beside(value: &str, stated_at: u64, chosen_at: u64) -> Vec<TargetId> {
    let mut ledger = new_ledger();
    for target in &TARGETS[1..] {
        state(&mut ledger, target, "0,0,8,100", stated_at);
    }
    state(&mut ledger, TARGETS[0], value, stated_at);
    choices(&mut ledger, chosen_at)
}

/// Load: one target of four is 2.5 times slower. Guards against requests that go to it as to the others, and against a slow
/// target that gets none although others are fuller.
#[test]
fn slow_target() {
    let usual = choices_beside("0,0,8,100", 10, 20);
    let slow = choices_beside("0,0,8,250", 10, 20);
    assert!(
        count_of(&slow, "t0") < count_of(&usual, "t0"),
        "{slow:?} {usual:?}"
    );
    assert_eq!(slow.len(), usual.len());
}

/// Load: all targets are equally slow. Guards against any change of the choice.
#[test]
fn all_slow() {
    let run = |pace: u32| {
        let mut ledger = new_ledger();
        for (position, target) in (0..).zip(TARGETS) {
            state(
                &mut ledger,
                target,
                &format!("0,0,8,{pace}"),
                position * 200,
            );
        }
        choices(&mut ledger, 700)
    };
    assert_eq!(run(250), run(100));
    assert_eq!(run(250), choices(&mut new_ledger(), 700));
}

/// Load: a service without the header beside one whose targets are slow. Guards against statements that change the choice
/// among the targets of another service.
#[test]
fn other_service() {
    let mut ledger = new_ledger();
    for (position, target) in (0..).zip(OTHERS) {
        state(
            &mut ledger,
            target,
            &format!("8,3,8,{}", 100 + position * 100),
            0,
        );
    }
    let unstated = choices(&mut new_ledger(), 10);
    assert_eq!(choices(&mut ledger, 10), unstated);
}

/// Load: headers that are malformed. Guards against any effect of them.
#[rstest]
#[case("")]
#[case("1")]
#[case("1,2")]
#[case("1,2,0")]
#[case("1,2,8,0")]
#[case("1,2,8,-250")]
#[case("1,2,8,250,9")]
#[case("1,2,8,2.5")]
#[case("1,2,8,99999999999999999999")]
#[case("4294967295,4294967295,8,250")]
#[case("running,waiting,slots")]
fn malformed_header(#[case] value: &str) {
    assert_eq!(TargetStatement::parse(value), None);
}

/// Load: one target falsely states the greatest figures. Guards against a target that is excluded by its own statement: it
/// still serves when the others are full.
#[test]
fn false_header() {
    let mut ledger = new_ledger();
    let chosen: Vec<TargetId> = (0..4)
        .flat_map(|_| {
            for target in &TARGETS[1..] {
                state(&mut ledger, target, "0,0,8,100", 10);
            }
            state(&mut ledger, TARGETS[0], "1000000,1000000,8,1000000", 10);
            choices(&mut ledger, 10)
        })
        .collect();
    let slots = usize::try_from(SLOTS).unwrap_or(0);
    assert!(count_of(&chosen, "t0") >= slots, "{chosen:?}");
}

/// Load: a target that states nothing more after it was slow. Guards against a statement that counts for longer than a second.
#[test]
fn faded_statement() {
    let usual = choices_beside("0,0,8,100", 0, 1_000);
    assert_eq!(choices_beside("8,8,8,400", 0, 1_000), usual);
}

/// Load: reports that are late and arrive in another order. Guards against an older statement that replaces a newer one, and
/// against one that counts although it is more than a second old.
#[test]
fn late_reports() {
    let mut ledger = new_ledger();
    let entry = |pace, age_ms| StatedEntry("t0".into(), 0, pace, age_ms);
    let mut record = |entry, millis| {
        ledger
            .stated
            .record_entries(&[entry], StatedSource::Near, false, at(millis));
        let report = ledger.stated.report(StatedScope::Domain, at(millis));
        report
            .first()
            .map(|StatedEntry(_, _, pace, age_ms)| (*pace, *age_ms))
    };
    assert_eq!(record(entry(250, 1_000), 1_500), None);
    assert_eq!(record(entry(250, 100), 2_000), Some((250, 100)));
    assert_eq!(record(entry(100, 300), 2_050), Some((250, 150)));
    assert_eq!(record(entry(100, 50), 2_100), Some((100, 50)));
}

/// Load: another VM is cut off, and its calls occupy a target. Guards against requests that go to a target which seems free
/// only because no report counts those calls.
#[test]
fn unseen_calls() {
    let usual = choices_beside("0,0,8", 10, 20);
    let occupied = choices_beside("8,0,8", 10, 20);
    assert!(count_of(&usual, "t0") > 0, "{usual:?}");
    assert_eq!(count_of(&occupied, "t0"), 0, "{occupied:?}");
}

/// Load: one target is slow. Guards against items that start at it while another target has room.
#[test]
fn slow_for_items() {
    let mut ledger = new_ledger();
    for target in &TARGETS[1..] {
        state(&mut ledger, target, "0,0,8,100", 10);
    }
    state(&mut ledger, TARGETS[0], "0,0,8,250", 10);
    for _ in 0..REQUESTS {
        ledger.request(request(TrafficClass::Batch, "o", at(20)), at(20));
    }
    let effects = ledger.tick(at(20));
    let at_slow = effects
        .iter()
        .filter(|effect| matches!(effect, LedgerEffect::Grant { target, .. } if *target == "t0"));
    assert_eq!(at_slow.count(), 0, "{effects:?}");
    assert_eq!(effects.len(), usize::try_from(REQUESTS).unwrap_or(0));
}
