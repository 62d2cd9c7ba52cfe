//! Quarantine of prompt parts over many VMs whose reports are late or lost, in virtual time.

use crate::quarantine_fleet::{
    CRASHING, FINGERPRINT_OFFSET, Fleet, LARGE, LATER_SENDS, SMALL, STREAM_TIME, Shape,
};
use plantainmill_dispatch::TrafficClass;
use plantainmill_dispatch::notice::ReportScope;
use plantainmill_dispatch::quarantine::{CallParts, PartLedger, QuarantineEvent};
use rstest::rstest;
use std::time::Duration;

/// Loss from which the time to detect a part counts.
const PART_LOSSES: usize = 5;
/// VMs that own items with the crashing part.
const ITEM_VMS: usize = 3;
/// Items with the crashing part.
const ITEMS: u64 = 20;

/// Guards against a part under which targets crash that reaches further targets, from VMs that have seen none of the
/// losses themselves, and against sound requests that are rejected for parts that they share with it.
#[rstest]
fn crashing_part(
    #[values(SMALL, LARGE)] shape: Shape,
    #[values(0.4, 2.0, 8.0)] crashing_per_s: f64,
    #[values(10.0, 90.0)] sound_per_s: f64,
    #[values(7, 1005)] seed: u64,
) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(5), 0.0, sound_per_s);
    fleet.run(Duration::from_secs(25), crashing_per_s, sound_per_s);
    assert!(!fleet.losses.is_empty());
    fleet.check_detection(PART_LOSSES);
    assert_eq!(
        fleet.sound_rejections, 0,
        "of {} sound requests",
        fleet.sound_requests
    );
}

/// Guards against losses at the same moment that count as one after the other, or not at all.
#[rstest]
fn requests_at_once(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(5), 0.0, 40.0);
    for vm in 0..10 {
        fleet.crashing_request(vm);
    }
    fleet.run(Duration::from_secs(30), 1.0, 40.0);
    fleet.check_detection(PART_LOSSES);
    assert_eq!(fleet.sound_rejections, 0);
}

/// Guards against parts that are quarantined because all targets, or most of them, are lost again and again for reasons
/// of their own.
#[rstest]
fn lost_targets(
    #[values(SMALL, LARGE)] shape: Shape,
    #[values(2, 1)] survivors_divisor: usize,
    #[values(7, 1005)] seed: u64,
) {
    let mut fleet = Fleet::new(shape, seed);
    for _ in 0..8 {
        fleet.run(Duration::from_secs(4), 0.0, 120.0);
        let lost: Vec<usize> = (0..shape.targets / survivors_divisor).collect();
        fleet.crash(&lost);
    }
    fleet.run(Duration::from_secs(2), 0.0, 120.0);
    assert_eq!(fleet.events, []);
    assert_eq!(fleet.sound_rejections, 0);
}

/// Guards against VMs that have just started and send requests with a part that the others have long quarantined.
#[rstest]
fn started_vm(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(3), 0.0, 60.0);
    fleet.run(Duration::from_secs(20), 4.0, 60.0);
    let vm = shape.vms - 1;
    fleet.ledgers[vm] = PartLedger::new(&"vm-new".into());
    fleet.run(Duration::from_secs(2), 0.0, 60.0);
    let sent = fleet.sends.len();
    fleet.crashing_request(vm);
    assert_eq!(fleet.sends.len(), sent);
}

/// Guards against VMs that are out of touch and never learn of a part, neither from losses of their own nor from others
/// once they are back.
#[rstest]
fn isolated_vms(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    let isolated: Vec<usize> = (shape.vms - 4..shape.vms).collect();
    fleet.isolated.clone_from(&isolated);
    fleet.run(Duration::from_secs(3), 0.0, 60.0);
    fleet.run(Duration::from_secs(5), 6.0, 60.0);
    for number in 0..40 {
        fleet.crashing_request(isolated[number % 2]);
        fleet.run(Duration::from_millis(300), 0.0, 60.0);
    }
    let sent = fleet.sends.len();
    for number in 0..20 {
        fleet.crashing_request(isolated[number % 2]);
        fleet.run(Duration::from_millis(100), 0.0, 60.0);
    }
    assert!(fleet.sends.len() - sent <= LATER_SENDS, "out of touch");
    fleet.isolated.clear();
    fleet.run(Duration::from_secs(2), 0.0, 60.0);
    let sent = fleet.sends.len();
    for vm in 0..shape.vms {
        fleet.crashing_request(vm);
    }
    assert_eq!(fleet.sends.len(), sent, "back in touch");
    assert_eq!(fleet.sound_rejections, 0);
}

/// Guards against a quarantine that never ends, and against an end at which each VM loses a target once more.
#[rstest]
fn quarantine_end(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(3), 0.0, 30.0);
    fleet.run(Duration::from_secs(10), 4.0, 30.0);
    let sent = fleet.sends.len();
    fleet.run(Duration::from_secs(100), 0.5, 30.0);
    assert_eq!(fleet.sends.len(), sent, "within the quarantine");
    fleet.run(Duration::from_secs(135), 4.0, 30.0);
    let trials = fleet.sends.len() - sent;
    assert!((1..=LATER_SENDS).contains(&trials), "{trials} trials");
    // The second quarantine lasts twice as long.
    let second = fleet.events.iter().find_map(|event| match event {
        QuarantineEvent::Started {
            level: 1, duration, ..
        } => Some(*duration),
        _ => None,
    });
    assert!(second.is_some_and(|duration| duration > Duration::from_secs(200)));
}

/// Guards against a part that stays quarantined although calls with it begin answers again.
#[test]
fn lifted_quarantine() {
    let mut fleet = Fleet::new(SMALL, 7);
    fleet.run(Duration::from_secs(3), 0.0, 30.0);
    fleet.run(Duration::from_secs(10), 4.0, 30.0);
    fleet.run(Duration::from_secs(125), 0.0, 30.0);
    // The first VM at which the quarantine has ended sends one call, which begins an answer.
    let now = fleet.now;
    let (vm, _) = fleet
        .ledgers
        .iter()
        .enumerate()
        .find(|(_, ledger)| {
            ledger
                .check(&[CRASHING], None, TrafficClass::Online, now)
                .is_ok()
        })
        .expect("a VM on probation");
    let call = CallParts {
        parts: vec![CRASHING],
        fingerprint: Some(CRASHING + FINGERPRINT_OFFSET),
        service: "llm".into(),
        target: "t1".into(),
        sent_at: now,
        class: TrafficClass::Online,
    };
    fleet.ledgers[vm].record_send(&call.parts, call.fingerprint, now);
    let checked = fleet.ledgers[vm].check(&call.parts, call.fingerprint, call.class, now);
    assert!(checked.is_err());
    let events = fleet.ledgers[vm].record_start(&call, now);
    assert_eq!(events, [QuarantineEvent::Lifted { part: CRASHING }]);
    fleet.run(Duration::from_secs(2), 0.0, 30.0);
    let rejecting = fleet.ledgers.iter();
    let rejecting = rejecting.filter(|ledger| {
        ledger
            .check(&[CRASHING], None, TrafficClass::Online, fleet.now)
            .is_err()
    });
    assert_eq!(rejecting.count(), 0);
}

/// Guards against items that are held for as long as a part of their prompts is quarantined, against items with such a part that
/// cost a target at each VM again and again, and against a quarantine that outlasts an item which shows that the part is sound.
#[rstest]
fn items_in_quarantine(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(3), 0.0, 30.0);
    fleet.run(Duration::from_secs(10), 4.0, 30.0);
    let pause = Duration::from_millis(100);
    let mut number = 0;
    let mut attempt = |fleet: &mut Fleet, time: Duration| {
        let until = fleet.now + time;
        while fleet.now < until {
            for vm in 0..ITEM_VMS {
                number += 1;
                let (parts, fingerprint) =
                    (vec![CRASHING], FINGERPRINT_OFFSET * 2 + number % ITEMS);
                fleet.send_request(vm, parts, fingerprint, TrafficClass::Batch, 1);
            }
            fleet.run(pause, 0.0, 30.0);
        }
    };
    let before = fleet.sends.len();
    attempt(&mut fleet, Duration::from_mins(1));
    // After 1 s, 2 s, 4 s and so on, once, or at each VM before it hears of the others.
    let sends = fleet.sends.len() - before;
    assert!(
        (4..=ITEM_VMS * 6).contains(&sends),
        "{sends} items in a minute"
    );
    fleet.crash_delay = STREAM_TIME * 10;
    attempt(&mut fleet, Duration::from_mins(1) + Duration::from_secs(20));
    let now = fleet.now;
    let rejecting = fleet.ledgers.iter().filter(|ledger| {
        let checked = ledger.check(&[CRASHING], None, TrafficClass::Online, now);
        checked.is_err()
    });
    assert_eq!(rejecting.count(), 0);
}

/// Guards against memory and reports that grow with the number of parts under which targets were lost.
#[test]
fn bounded_reports() {
    let mut ledger = PartLedger::new(&"vm".into());
    let mut now = Duration::from_secs(100);
    for number in 0..10_000_u64 {
        now += Duration::from_millis(1);
        let call = CallParts {
            parts: (0..4).map(|part| number * 4 + part).collect(),
            fingerprint: Some(number),
            service: "llm".into(),
            target: format!("t{number}").into(),
            sent_at: now,
            class: TrafficClass::Online,
        };
        ledger.record_loss(&call, now);
    }
    let report = ledger.report(ReportScope::All, now);
    assert!(report.losses.len() <= 48);
    let dump = ledger.dump(now).to_string();
    assert!(dump.len() < 16_000, "{} bytes", dump.len());
}
