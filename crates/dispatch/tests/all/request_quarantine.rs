//! Quarantine of single requests over many VMs whose reports are late or lost, in virtual time.

use crate::quarantine_fleet::{
    CRASHING_REQUEST, DETECTION_TIME, FIRST_EVENT, Fleet, LARGE, LATER_SENDS, SESSION, SMALL,
    STREAM_TIME, Shape,
};
use plantainmill_dispatch::TrafficClass;
use plantainmill_dispatch::quarantine::{QuarantineEvent, QuarantineKind};
use rstest::rstest;
use std::time::Duration;

/// Loss from which the time to detect a request counts.
const REQUEST_LOSSES: usize = 3;
/// Delay of a crash that comes after the first event.
const LATE_CRASH: Duration = Duration::from_millis(150);

/// Runs for `time` with the crashing request at a random VM after each `pause`, and with sound requests.
fn repeat(fleet: &mut Fleet, time: Duration, pause: Duration, sound_per_s: f64) {
    let until = fleet.now + time;
    let mut vm = 0;
    while fleet.now < until {
        vm = (vm * 7 + 5) % fleet.shape.vms;
        fleet.repeated_request(vm);
        fleet.run(pause, 0.0, sound_per_s);
    }
}

/// Guards against a request that crashes targets each time that it comes again, at any VM, because sound requests share all
/// its parts or because its answers begin before the crash, and against sound requests that are rejected in its place.
#[rstest]
fn repeated_request(
    #[values(SMALL, LARGE)] shape: Shape,
    #[values(FIRST_EVENT, LATE_CRASH)] crash_delay: Duration,
    #[values(90, 400, 2_500)] pause_ms: u64,
    #[values(10.0, 90.0)] sound_per_s: f64,
    #[values(7, 1005)] seed: u64,
) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.crash_delay = crash_delay;
    fleet.run(Duration::from_secs(5), 0.0, sound_per_s);
    let pause = Duration::from_millis(pause_ms);
    repeat(&mut fleet, Duration::from_secs(25), pause, sound_per_s);
    assert!(fleet.losses.len() >= REQUEST_LOSSES);
    fleet.check_detection(REQUEST_LOSSES);
    assert_eq!(
        fleet.sound_rejections, 0,
        "of {} sound requests",
        fleet.sound_requests
    );
}

/// Guards against repeats at many VMs at the same moment, which fill the evidence with losses that count as one.
#[rstest]
fn repeats_at_once(
    #[values(SMALL, LARGE)] shape: Shape,
    #[values(FIRST_EVENT, LATE_CRASH)] crash_delay: Duration,
    #[values(7, 1005)] seed: u64,
) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.crash_delay = crash_delay;
    fleet.run(Duration::from_secs(5), 0.0, 40.0);
    for _ in 0..4 {
        for vm in 0..shape.vms.min(30) {
            fleet.repeated_request(vm);
        }
        fleet.run(Duration::from_millis(200), 0.0, 40.0);
    }
    repeat(
        &mut fleet,
        Duration::from_secs(20),
        Duration::from_millis(300),
        40.0,
    );
    fleet.check_detection(REQUEST_LOSSES);
    assert_eq!(fleet.sound_rejections, 0);
}

/// Guards against a request that costs targets anew after all VMs were lost at once.
#[rstest]
fn lost_vms(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(5), 0.0, 60.0);
    let pause = Duration::from_millis(300);
    repeat(&mut fleet, Duration::from_secs(8), pause, 60.0);
    let sent = fleet.sends.len();
    fleet.restart_vms();
    repeat(&mut fleet, Duration::from_secs(8), pause, 60.0);
    assert_eq!(fleet.sends.len(), sent, "after the restart");
    assert_eq!(fleet.sound_rejections, 0);
}

/// Guards against VMs that are out of touch and never learn of a request, neither from losses of their own nor once they
/// are back.
#[rstest]
fn isolated_vms(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    let isolated: Vec<usize> = (shape.vms - 4..shape.vms).collect();
    fleet.isolated.clone_from(&isolated);
    fleet.run(Duration::from_secs(3), 0.0, 60.0);
    for number in 0..30 {
        fleet.repeated_request(isolated[number % 2]);
        fleet.run(Duration::from_millis(300), 0.0, 60.0);
    }
    let sent = fleet.sends.len();
    for number in 0..20 {
        fleet.repeated_request(isolated[number % 2]);
        fleet.run(Duration::from_millis(100), 0.0, 60.0);
    }
    assert_eq!(fleet.sends.len(), sent, "out of touch");
    fleet.isolated.clear();
    fleet.run(Duration::from_secs(2), 0.0, 60.0);
    for vm in 0..shape.vms {
        fleet.repeated_request(vm);
    }
    assert!(fleet.sends.len() - sent <= LATER_SENDS, "back in touch");
    assert_eq!(fleet.sound_rejections, 0);
}

/// Guards against an item that is no longer tried because targets were lost under it, and against one that is tried without
/// end: it is owed, so it waits, longer each time, and is done as soon as it can be.
#[rstest]
fn owed_item(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.crashing_class = TrafficClass::Batch;
    fleet.run(Duration::from_secs(3), 0.0, 60.0);
    let pause = Duration::from_millis(100);
    let attempt = |fleet: &mut Fleet, time: Duration| {
        let until = fleet.now + time;
        while fleet.now < until {
            fleet.repeated_request(0);
            fleet.run(pause, 0.0, 60.0);
        }
    };
    attempt(&mut fleet, DETECTION_TIME);
    let early = fleet.sends.len();
    attempt(&mut fleet, Duration::from_mins(1));
    // Delays of 1 s, 2 s, 4 s and so on.
    let sends = fleet.sends.len() - early;
    assert!((2..=8).contains(&sends), "{sends} attempts in a minute");
    // Targets no longer crash under it.
    fleet.crash_delay = STREAM_TIME * 10;
    let sound = |fleet: &Fleet| {
        let mut events = fleet.events.iter();
        events.any(
            |event| matches!(event, QuarantineEvent::Lifted { part } if *part == CRASHING_REQUEST),
        )
    };
    let mut waited = Duration::ZERO;
    while !sound(&fleet) && waited < Duration::from_secs(90) {
        attempt(&mut fleet, pause);
        waited += pause;
    }
    assert!(sound(&fleet), "not done after {waited:?}");
    let now = fleet.now;
    let checked =
        fleet.ledgers[0].check(&SESSION, Some(CRASHING_REQUEST), fleet.crashing_class, now);
    assert_eq!(checked, Ok(()));
    assert_eq!(fleet.sound_rejections, 0);
}

/// Guards against a quarantine that never ends, against an end at which each VM loses a target once more, and against one
/// that outlasts a complete response.
#[rstest]
fn quarantine_end(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(3), 0.0, 30.0);
    let pause = Duration::from_millis(500);
    repeat(&mut fleet, Duration::from_secs(10), pause, 30.0);
    let sent = fleet.sends.len();
    repeat(&mut fleet, Duration::from_secs(95), pause, 30.0);
    assert_eq!(fleet.sends.len(), sent, "within the quarantine");
    repeat(&mut fleet, Duration::from_secs(110), pause, 30.0);
    let trials = fleet.sends.len() - sent;
    assert!((1..=LATER_SENDS).contains(&trials), "{trials} trials");
    fleet.crash_delay = STREAM_TIME * 10;
    repeat(&mut fleet, Duration::from_mins(5), pause, 30.0);
    let now = fleet.now;
    let rejecting = fleet.ledgers.iter().filter(|ledger| {
        let checked = ledger.check(&SESSION, Some(CRASHING_REQUEST), fleet.crashing_class, now);
        checked.is_err()
    });
    assert_eq!(rejecting.count(), 0);
    let started = fleet.events.iter().filter(|event| {
        matches!(event, QuarantineEvent::Started { kind, .. } if *kind != QuarantineKind::Request)
    });
    assert_eq!(started.count(), 0, "parts of the session");
}
