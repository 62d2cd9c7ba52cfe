//! A fleet of VMs with late and lost reports, in virtual time, whose targets crash under some calls.

use plantainmill_core::{PartId, RequestHash, TargetId, Uptime};
use plantainmill_dispatch::TrafficClass;
use plantainmill_dispatch::notice::ReportScope;
use plantainmill_dispatch::quarantine::{
    CallParts, PartLedger, PartReport, QuarantineEntry, QuarantineEvent,
};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::rc::Rc;
use std::time::Duration;

pub const STEP: Duration = Duration::from_millis(10);
/// Part under which targets crash.
pub const CRASHING: PartId = 0xbad;
/// Hash of a request under which targets crash.
pub const CRASHING_REQUEST: RequestHash = 0xbad_0bad;
/// Part that all requests share.
pub const SHARED: PartId = 1;
/// Parts of a session: each of them is shared with sound requests.
pub const SESSION: [PartId; 2] = [SHARED, 100];
/// Parts that few sound requests share.
pub const RARE_PARTS: u64 = 40;
/// Difference between the hash of a request and its last part.
pub const FINGERPRINT_OFFSET: u64 = 1 << 48;
/// Time from the start of a call to its first event, or to the crash.
pub const FIRST_EVENT: Duration = Duration::from_millis(60);
/// Time from the start of a call to the end of its stream.
pub const STREAM_TIME: Duration = Duration::from_millis(400);
/// Time until a crashed target is back, under a new id.
pub const RESTART: Duration = Duration::from_secs(3);
/// Time after the fifth loss by which all VMs must know the part.
pub const DETECTION_TIME: Duration = Duration::from_secs(4);
/// Sends that may still reach targets from then on.
pub const LATER_SENDS: usize = 3;
/// Attempts of one request.
pub const ATTEMPTS: u32 = 2;
/// Interval between the reports of a VM with news.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between the reports of the first two VMs without news.
pub const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Size of a fleet, and the quality of its reports.
#[derive(Clone, Copy)]
pub struct Shape {
    pub vms: usize,
    pub targets: usize,
    delay: Duration,
    report_loss: f64,
}

pub const SMALL: Shape = Shape {
    vms: 12,
    targets: 18,
    delay: Duration::from_millis(40),
    report_loss: 0.02,
};
/// Reports come through relays, late, and one in ten is lost.
pub const LARGE: Shape = Shape {
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
    /// The call has had its first event.
    has_started: bool,
}

pub struct Target {
    id: TargetId,
    up_at: Uptime,
}

/// A fleet in virtual time.
pub struct Fleet {
    pub shape: Shape,
    pub now: Uptime,
    random: SmallRng,
    pub ledgers: Vec<PartLedger>,
    /// VMs that exchange no reports with the others.
    pub isolated: Vec<usize>,
    pub targets: Vec<Target>,
    started: u64,
    running: Vec<RunningCall>,
    /// Reports under way, with the time of their arrival and their receivers.
    transit: Vec<(Uptime, usize, Rc<PartReport>)>,
    next_part: PartId,
    /// Time from the start of a call to the crash.
    pub crash_delay: Duration,
    /// Class of the crashing request.
    pub crashing_class: TrafficClass,
    /// Quarantines in the store.
    stored: Vec<(Uptime, QuarantineEntry)>,
    /// Times of the losses under the crashing part, and of its sends.
    pub losses: Vec<Uptime>,
    pub sends: Vec<Uptime>,
    pub sound_requests: usize,
    pub sound_rejections: usize,
    pub events: Vec<QuarantineEvent>,
}

impl Fleet {
    pub fn new(shape: Shape, seed: u64) -> Fleet {
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
            crash_delay: FIRST_EVENT,
            crashing_class: TrafficClass::Online,
            stored: Vec::new(),
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

    pub fn new_target_id(&mut self) -> TargetId {
        self.started += 1;
        format!("t{}", self.started).into()
    }

    /// A request with the crashing part at `vm`. No two have the same parts.
    pub fn crashing_request(&mut self, vm: usize) {
        self.next_part += 1;
        self.send(vm, vec![SHARED, CRASHING, self.next_part], ATTEMPTS);
    }

    /// A sound request at a random VM.
    pub fn sound_request(&mut self) {
        self.next_part += 1;
        let vm = self.random.random_range(0..self.shape.vms);
        let rare = 100 + self.random.random_range(0..RARE_PARTS);
        self.sound_requests += 1;
        if !self.send(vm, vec![SHARED, rare, self.next_part], ATTEMPTS) {
            self.sound_rejections += 1;
        }
    }

    /// The crashing request at `vm`, which has the same content each time.
    pub fn repeated_request(&mut self, vm: usize) -> bool {
        let class = self.crashing_class;
        self.send_request(vm, SESSION.to_vec(), CRASHING_REQUEST, class, ATTEMPTS)
    }

    /// Sends a request whose last part, which no other request has, also identifies it as a whole.
    fn send(&mut self, vm: usize, parts: Vec<PartId>, attempts: u32) -> bool {
        let last = parts.last().copied().unwrap_or(0);
        let fingerprint = last + FINGERPRINT_OFFSET;
        self.send_request(vm, parts, fingerprint, TrafficClass::Online, attempts)
    }

    pub fn send_request(
        &mut self,
        vm: usize,
        parts: Vec<PartId>,
        fingerprint: RequestHash,
        class: TrafficClass,
        attempts: u32,
    ) -> bool {
        let request = Some(fingerprint);
        let checked = self.ledgers[vm].check(&parts, request, class, self.now);
        if checked.is_err() {
            return false;
        }
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].up_at <= self.now)
            .collect();
        if up.is_empty() {
            return true;
        }
        let target = up[self.random.random_range(0..up.len())];
        self.ledgers[vm].record_send(&parts, request, self.now);
        let call = CallParts {
            parts,
            fingerprint: request,
            service: "llm".into(),
            target: self.targets[target].id.clone(),
            sent_at: self.now,
            class,
        };
        if is_crashing(&call) {
            self.sends.push(self.now);
        }
        self.running.push(RunningCall {
            vm,
            target,
            call,
            attempts: attempts - 1,
            has_started: false,
        });
        true
    }

    /// Crashes targets at the same moment: all their calls are lost and sent to others.
    pub fn crash(&mut self, targets: &[usize]) {
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
            let events = if lost.has_started {
                ledger.record_stream_loss(&lost.call, self.now)
            } else {
                ledger.record_loss(&lost.call, self.now)
            };
            self.events.extend(events);
            ledger.record_end(&lost.call);
            if lost.attempts > 0 {
                let CallParts {
                    parts,
                    fingerprint,
                    class,
                    ..
                } = lost.call;
                let fingerprint = fingerprint.unwrap_or(0);
                self.send_request(lost.vm, parts, fingerprint, class, lost.attempts);
            }
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let due = |running: &RunningCall| self.now >= running.call.sent_at + self.crash_delay;
        let crashing: Vec<usize> = self
            .running
            .iter()
            .filter(|running| due(running) && is_crashing(&running.call))
            .map(|running| running.target)
            .collect();
        for target in crashing {
            if self.targets[target].up_at <= self.now {
                self.losses.push(self.now);
                self.crash(&[target]);
            }
        }
        let now = self.now;
        for running in &mut self.running {
            if !running.has_started && now >= running.call.sent_at + FIRST_EVENT {
                running.has_started = true;
                let ledger = &mut self.ledgers[running.vm];
                self.events.extend(ledger.record_start(&running.call, now));
            }
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running: &RunningCall| now >= running.call.sent_at + STREAM_TIME);
        self.running = running;
        for ended in ended {
            let ledger = &mut self.ledgers[ended.vm];
            self.events
                .extend(ledger.record_completion(&ended.call, now));
            ledger.record_end(&ended.call);
        }
        self.store_changes();
        self.exchange_reports();
    }

    fn store_changes(&mut self) {
        for ledger in &mut self.ledgers {
            let changes = ledger.take_changes(self.now);
            let is_changed = |part: PartId| {
                let started = changes.started.iter();
                let mut started = started.map(|entry| entry.part);
                started.any(|other| other == part) || changes.ended.contains(&part)
            };
            self.stored.retain(|(_, entry)| !is_changed(entry.part));
            let started = changes.started.iter().map(|entry| (self.now, *entry));
            self.stored.extend(started);
        }
    }

    /// Replaces all VMs by new ones, which know only what is stored.
    pub fn restart_vms(&mut self) {
        for vm in 0..self.shape.vms {
            let mut ledger = PartLedger::new(&format!("vm{vm}").into());
            for (stored_at, entry) in &self.stored {
                let elapsed = self.now.saturating_sub(*stored_at);
                let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
                let entry = QuarantineEntry {
                    remaining_ms: entry.remaining_ms.saturating_sub(elapsed),
                    sent_age_ms: entry.sent_age_ms + elapsed,
                    ..*entry
                };
                self.events.extend(ledger.restore(entry, self.now));
            }
            self.ledgers[vm] = ledger;
        }
        self.running.clear();
        self.transit.clear();
    }

    pub fn exchange_reports(&mut self) {
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
    pub fn run(&mut self, time: Duration, crashing_per_s: f64, sound_per_s: f64) {
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

    /// Sends later than the given loss, counted from one, and the time for its detection.
    pub fn later_sends(&self, loss: usize) -> usize {
        let Some(known) = self.losses.get(loss - 1) else {
            return 0;
        };
        let sends = self.sends.iter();
        sends.filter(|at| **at > *known + DETECTION_TIME).count()
    }

    /// Checks that few sends come later than the detection time after the given loss, counted from one.
    pub fn check_detection(&self, loss: usize) {
        let later = self.later_sends(loss);
        assert!(
            later <= LATER_SENDS,
            "{later} later sends of {}, {} losses",
            self.sends.len(),
            self.losses.len()
        );
    }
}

fn is_crashing(call: &CallParts) -> bool {
    call.parts.contains(&CRASHING) || call.fingerprint == Some(CRASHING_REQUEST)
}
