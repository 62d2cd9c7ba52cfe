//! Quarantine of prompt parts over many VMs whose reports are late or lost, in virtual time.

use plantainmill_core::{PartId, TargetId, Uptime};
use plantainmill_dispatch::notice::ReportScope;
use plantainmill_dispatch::quarantine::{CallParts, PartLedger, PartReport, QuarantineEvent};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use std::rc::Rc;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
/// Part under which targets crash.
const CRASHING: PartId = 0xbad;
/// Part that all requests share.
const SHARED: PartId = 1;
/// Parts that few sound requests share.
const RARE_PARTS: u64 = 40;
/// Difference between the hash of a request and its last part.
const FINGERPRINT_OFFSET: u64 = 1 << 48;
/// Time from the start of a call to its first event, or to the crash.
const FIRST_EVENT: Duration = Duration::from_millis(60);
/// Time until a crashed target is back, under a new id.
const RESTART: Duration = Duration::from_secs(3);
/// Time after the fifth loss by which all VMs must know the part.
const DETECTION_TIME: Duration = Duration::from_secs(4);
/// Sends that may still reach targets from then on.
const LATER_SENDS: usize = 3;
/// Attempts of one request.
const ATTEMPTS: u32 = 2;
/// Interval between the reports of a VM with news.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between the reports of the first two VMs without news.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Size of a fleet, and the quality of its reports.
#[derive(Clone, Copy)]
struct Shape {
    vms: usize,
    targets: usize,
    delay: Duration,
    report_loss: f64,
}

const SMALL: Shape = Shape {
    vms: 12,
    targets: 18,
    delay: Duration::from_millis(40),
    report_loss: 0.02,
};
/// Reports come through relays, late, and one in ten is lost.
const LARGE: Shape = Shape {
    vms: 98,
    targets: 50,
    delay: Duration::from_millis(450),
    report_loss: 0.1,
};

struct RunningCall {
    vm: usize,
    target: usize,
    call: CallParts,
    attempts: u32,
}

struct Target {
    id: TargetId,
    up_at: Uptime,
}

/// A fleet in virtual time.
struct Fleet {
    shape: Shape,
    now: Uptime,
    random: SmallRng,
    ledgers: Vec<PartLedger>,
    /// VMs that exchange no reports with the others.
    isolated: Vec<usize>,
    targets: Vec<Target>,
    started: u64,
    running: Vec<RunningCall>,
    /// Reports under way, with the time of their arrival and their receivers.
    transit: Vec<(Uptime, usize, Rc<PartReport>)>,
    next_part: PartId,
    /// Times of the losses under the crashing part, and of its sends.
    losses: Vec<Uptime>,
    sends: Vec<Uptime>,
    sound_requests: usize,
    sound_rejections: usize,
    events: Vec<QuarantineEvent>,
}

impl Fleet {
    fn new(shape: Shape, seed: u64) -> Fleet {
        let ledger = |vm: usize| PartLedger::new(&format!("vm{vm}").into());
        let mut fleet = Fleet {
            shape,
            now: Duration::from_secs(100),
            random: SmallRng::seed_from_u64(seed),
            ledgers: (0..shape.vms).map(ledger).collect(),
            isolated: Vec::new(),
            targets: Vec::new(),
            started: 0,
            running: Vec::new(),
            transit: Vec::new(),
            next_part: 1 << 32,
            losses: Vec::new(),
            sends: Vec::new(),
            sound_requests: 0,
            sound_rejections: 0,
            events: Vec::new(),
        };
        for _ in 0..shape.targets {
            let id = fleet.new_target_id();
            fleet.targets.push(Target {
                id,
                up_at: Duration::ZERO,
            });
        }
        fleet
    }

    fn new_target_id(&mut self) -> TargetId {
        self.started += 1;
        format!("t{}", self.started).into()
    }

    /// A request with the crashing part at `vm`. No two have the same parts.
    fn crashing_request(&mut self, vm: usize) {
        self.next_part += 1;
        self.send(vm, vec![SHARED, CRASHING, self.next_part], ATTEMPTS);
    }

    /// A sound request at a random VM.
    fn sound_request(&mut self) {
        self.next_part += 1;
        let vm = self.random.random_range(0..self.shape.vms);
        let rare = 100 + self.random.random_range(0..RARE_PARTS);
        self.sound_requests += 1;
        if !self.send(vm, vec![SHARED, rare, self.next_part], ATTEMPTS) {
            self.sound_rejections += 1;
        }
    }

    /// Sends a request whose last part, which no other request has, also identifies it as a whole.
    fn send(&mut self, vm: usize, parts: Vec<PartId>, attempts: u32) -> bool {
        let fingerprint = parts.last().map(|part| part + FINGERPRINT_OFFSET);
        if self.ledgers[vm].check(&parts, self.now).is_err() {
            return false;
        }
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].up_at <= self.now)
            .collect();
        if up.is_empty() {
            return true;
        }
        let target = up[self.random.random_range(0..up.len())];
        if parts.contains(&CRASHING) {
            self.sends.push(self.now);
        }
        self.ledgers[vm].record_send(&parts, self.now);
        let call = CallParts {
            parts,
            fingerprint,
            service: "llm".into(),
            target: self.targets[target].id.clone(),
            sent_at: self.now,
        };
        self.running.push(RunningCall {
            vm,
            target,
            call,
            attempts: attempts - 1,
        });
        true
    }

    /// Crashes targets at the same moment: all their calls without an event are lost and sent to others.
    fn crash(&mut self, targets: &[usize]) {
        for target in targets {
            self.targets[*target].up_at = self.now + RESTART;
            self.targets[*target].id = self.new_target_id();
        }
        let (lost, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| targets.contains(&running.target));
        self.running = running;
        for lost in lost {
            let ledger = &mut self.ledgers[lost.vm];
            self.events.extend(ledger.record_loss(&lost.call, self.now));
            ledger.record_end(&lost.call);
            if lost.attempts > 0 {
                self.send(lost.vm, lost.call.parts, lost.attempts);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let due = |running: &RunningCall| self.now >= running.call.sent_at + FIRST_EVENT;
        let crashing: Vec<usize> = self
            .running
            .iter()
            .filter(|running| due(running) && running.call.parts.contains(&CRASHING))
            .map(|running| running.target)
            .collect();
        for target in crashing {
            if self.targets[target].up_at <= self.now {
                self.losses.push(self.now);
                self.crash(&[target]);
            }
        }
        let now = self.now;
        let (started, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running: &RunningCall| now >= running.call.sent_at + FIRST_EVENT);
        self.running = running;
        for started in started {
            let ledger = &mut self.ledgers[started.vm];
            self.events.extend(ledger.record_start(&started.call, now));
            ledger.record_end(&started.call);
        }
        self.exchange_reports();
    }

    fn exchange_reports(&mut self) {
        let now = self.now;
        let (due, transit) = std::mem::take(&mut self.transit)
            .into_iter()
            .partition(|(at, _, _)| *at <= now);
        self.transit = transit;
        for (_, receiver, report) in due {
            self.events
                .extend(self.ledgers[receiver].record_report(&report, now));
        }
        let is_round = |interval: Duration| now.as_millis().is_multiple_of(interval.as_millis());
        if !is_round(REPORT_INTERVAL) {
            return;
        }
        for vm in 0..self.shape.vms {
            self.events.extend(self.ledgers[vm].tick(now));
            let is_reader = vm < 2;
            let scope = if is_reader {
                ReportScope::All
            } else {
                ReportScope::Own
            };
            let is_repeat = is_reader && is_round(REPEAT_INTERVAL);
            if !is_repeat && !self.ledgers[vm].has_news(scope, now) {
                continue;
            }
            let report = Rc::new(self.ledgers[vm].report(scope, now));
            if report.is_empty() {
                continue;
            }
            for receiver in (0..self.shape.vms).filter(|receiver| *receiver != vm) {
                let is_cut = self.isolated.contains(&vm) != self.isolated.contains(&receiver);
                let is_lost = self.random.random::<f64>() < self.shape.report_loss;
                if !is_cut && !is_lost {
                    let jitter = self.random.random::<f64>() * 0.5 + 0.5;
                    let arrival = now + self.shape.delay.mul_f64(jitter);
                    self.transit.push((arrival, receiver, Rc::clone(&report)));
                }
            }
        }
    }

    /// Runs for `time` with requests at the given rates a second.
    fn run(&mut self, time: Duration, crashing_per_s: f64, sound_per_s: f64) {
        let until = self.now + time;
        while self.now < until {
            self.step();
            if self.random.random::<f64>() < crashing_per_s * STEP.as_secs_f64() {
                let vm = self.random.random_range(0..self.shape.vms);
                self.crashing_request(vm);
            }
            let mut rest = sound_per_s * STEP.as_secs_f64();
            while rest > 0.0 {
                if self.random.random::<f64>() < rest {
                    self.sound_request();
                }
                rest -= 1.0;
            }
        }
    }

    /// Sends with the crashing part later than the fifth loss and the time for its detection.
    fn later_sends(&self) -> usize {
        let Some(fifth) = self.losses.get(4) else {
            return 0;
        };
        let sends = self.sends.iter();
        sends.filter(|at| **at > *fifth + DETECTION_TIME).count()
    }

    fn check_detection(&self) {
        let later = self.later_sends();
        assert!(
            later <= LATER_SENDS,
            "{later} later sends of {}, {} losses",
            self.sends.len(),
            self.losses.len()
        );
    }
}

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
    fleet.check_detection();
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
    fleet.check_detection();
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
        .find(|(_, ledger)| ledger.check(&[CRASHING], now).is_ok())
        .expect("a VM on probation");
    let call = CallParts {
        parts: vec![CRASHING],
        fingerprint: None,
        service: "llm".into(),
        target: "t1".into(),
        sent_at: now,
    };
    fleet.ledgers[vm].record_send(&call.parts, now);
    assert!(fleet.ledgers[vm].check(&call.parts, now).is_err());
    let events = fleet.ledgers[vm].record_start(&call, now);
    assert_eq!(events, [QuarantineEvent::Lifted { part: CRASHING }]);
    fleet.run(Duration::from_secs(2), 0.0, 30.0);
    let rejecting = fleet.ledgers.iter();
    let rejecting = rejecting.filter(|ledger| ledger.check(&[CRASHING], fleet.now).is_err());
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
        };
        ledger.record_loss(&call, now);
    }
    let report = ledger.report(ReportScope::All, now);
    assert!(report.losses.len() <= 48);
    let dump = ledger.dump(now).to_string();
    assert!(dump.len() < 16_000, "{} bytes", dump.len());
}
