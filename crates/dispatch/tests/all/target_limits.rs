//! Limits that targets name, over many VMs whose reports are late or lost, in virtual time.

use plantainmill_core::{DomainName, TargetId, Uptime, VmId};
use plantainmill_dispatch::TrafficClass;
use plantainmill_dispatch::limits::{LimitLedger, LimitReport, LimitedTarget};
use plantainmill_dispatch::notice::ReportScope;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
/// Time from a request to its response, which names the limit.
const RESPONSE_TIME: Duration = Duration::from_millis(40);
/// Length of a window in which the requests at a target are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first response with a limit from which it binds.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Time after a VM's first response with a limit from which its requests count.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Factor and requests by which a window may exceed the limit.
const WINDOW_FACTOR: f64 = 1.5;
const WINDOW_EXTRA: f64 = 5.0;
/// Interval between the reports of a VM with news, and between those of the readers without.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Size of a fleet, and the quality of its reports.
#[derive(Clone, Copy)]
struct Shape {
    vms: usize,
    domains: usize,
    targets: usize,
    delay: Duration,
    report_loss: f64,
}

const SMALL: Shape = Shape {
    vms: 12,
    domains: 3,
    targets: 18,
    delay: Duration::from_millis(40),
    report_loss: 0.02,
};
/// Reports come through relays, late, and one in ten is lost.
const LARGE: Shape = Shape {
    vms: 98,
    domains: 2,
    targets: 50,
    delay: Duration::from_millis(450),
    report_loss: 0.1,
};

/// A fleet in virtual time.
struct Fleet {
    shape: Shape,
    now: Uptime,
    random: SmallRng,
    ledgers: Vec<LimitLedger>,
    /// VMs that exchange no reports with the others and are no members of their domains.
    isolated: Vec<usize>,
    limits: Vec<Option<f64>>,
    responses: Vec<(Uptime, usize, usize)>,
    transit: Vec<(Uptime, usize, Rc<LimitReport>)>,
    /// Times of the requests at each target, with their VMs.
    sends: Vec<Vec<(Uptime, usize)>>,
    /// First response of each target with a limit that each VM got.
    told: BTreeMap<(usize, usize), Uptime>,
    rejected: usize,
}

fn target_id(target: usize) -> TargetId {
    format!("t{target}").into()
}

fn vm_id(vm: usize) -> VmId {
    format!("vm{vm}").into()
}

impl Fleet {
    fn new(shape: Shape, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            shape,
            now: Duration::from_secs(100),
            random: SmallRng::seed_from_u64(seed),
            ledgers: Vec::new(),
            isolated: Vec::new(),
            limits: vec![None; shape.targets],
            responses: Vec::new(),
            transit: Vec::new(),
            sends: vec![Vec::new(); shape.targets],
            told: BTreeMap::new(),
            rejected: 0,
        };
        fleet.ledgers = (0..shape.vms).map(|vm| fleet.new_ledger(vm)).collect();
        fleet.update_members();
        fleet
    }

    fn new_ledger(&self, vm: usize) -> LimitLedger {
        let mut ledger = LimitLedger::new(vm_id(vm));
        let targets = (0..self.shape.targets).map(|target| LimitedTarget {
            id: target_id(target),
            service: "llm".into(),
            domain: self.domain(target),
            region: None,
        });
        ledger.set_targets(targets, self.now);
        ledger
    }

    fn domain(&self, number: usize) -> DomainName {
        format!("d{}", number % self.shape.domains).into()
    }

    /// Tells each VM which others it can reach.
    fn update_members(&mut self) {
        for vm in 0..self.ledgers.len() {
            let mut members: BTreeMap<DomainName, Vec<VmId>> = BTreeMap::new();
            for other in 0..self.shape.vms {
                if self.isolated.contains(&vm) == self.isolated.contains(&other) {
                    let domain = self.domain(other);
                    members.entry(domain).or_default().push(vm_id(other));
                }
            }
            self.ledgers[vm].set_members(members, self.now);
        }
    }

    /// Sends a request from a random VM to a random target of its domain that it may use, or else to any such target.
    fn request(&mut self) {
        let vm = self.random.random_range(0..self.shape.vms);
        let exhausted = self.ledgers[vm].exhausted(&"llm".into(), TrafficClass::Online, self.now);
        let usable = |target: &usize| !exhausted.contains(&target_id(*target));
        let usable: Vec<usize> = (0..self.shape.targets).filter(usable).collect();
        let near = usable
            .iter()
            .filter(|target| self.domain(**target) == self.domain(vm));
        let near: Vec<usize> = near.copied().collect();
        let choice = near.choose(&mut self.random).copied();
        let Some(target) = choice.or_else(|| usable.choose(&mut self.random).copied()) else {
            self.rejected += 1;
            return;
        };
        assert!(self.ledgers[vm].take(&target_id(target), self.now));
        self.sends[target].push((self.now, vm));
        self.responses.push((self.now + RESPONSE_TIME, vm, target));
    }

    fn step(&mut self, requests_per_s: f64) {
        self.now += STEP;
        let now = self.now;
        let due = std::mem::take(&mut self.responses);
        let (due, waiting) = due.into_iter().partition(|(at, _, _)| *at <= now);
        self.responses = waiting;
        for (_, vm, target) in due {
            let limit = self.limits[target];
            if limit.is_some() {
                self.told.entry((vm, target)).or_insert(now);
            }
            self.ledgers[vm].record_response(&target_id(target), limit, now);
        }
        let mut rest = requests_per_s * STEP.as_secs_f64();
        while rest > 0.0 {
            if self.random.random::<f64>() < rest {
                self.request();
            }
            rest -= 1.0;
        }
        self.exchange_reports();
    }

    fn exchange_reports(&mut self) {
        let now = self.now;
        let transit = std::mem::take(&mut self.transit);
        let (due, transit) = transit.into_iter().partition(|(at, _, _)| *at <= now);
        self.transit = transit;
        for (_, receiver, report) in due {
            self.ledgers[receiver].record_report(&report, now);
        }
        let is_round = |interval: Duration| now.as_millis().is_multiple_of(interval.as_millis());
        if !is_round(REPORT_INTERVAL) {
            return;
        }
        for vm in 0..self.shape.vms {
            self.ledgers[vm].tick(now);
            let is_reader = vm < 2 * self.shape.domains;
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
            for receiver in 0..self.shape.vms {
                let is_cut = self.isolated.contains(&vm) != self.isolated.contains(&receiver);
                let is_lost = self.random.random::<f64>() < self.shape.report_loss;
                if receiver != vm && !is_cut && !is_lost {
                    let jitter = self.random.random::<f64>() * 0.5 + 0.5;
                    let arrival = now + self.shape.delay.mul_f64(jitter);
                    self.transit.push((arrival, receiver, Rc::clone(&report)));
                }
            }
        }
    }

    fn run(&mut self, time: Duration, requests_per_s: f64) {
        let until = self.now + time;
        while self.now < until {
            self.step(requests_per_s);
        }
    }

    /// Checks each window of each target from the moment at which its limit binds. Requests of VMs in `excused` do not
    /// count, nor do those of VMs that the target has not told.
    fn check_windows(&self, excused: &[usize]) {
        for target in 0..self.shape.targets {
            let Some(limit) = self.limits[target] else {
                continue;
            };
            let told = |vm: usize| self.told.get(&(vm, target)).copied();
            let first = (0..self.shape.vms).filter_map(told).min();
            let Some(binding) = first.map(|first| first + SETTLING_TIME) else {
                continue;
            };
            let counted: Vec<Uptime> = self.sends[target]
                .iter()
                .filter(|(at, vm)| {
                    let is_told = told(*vm).is_some_and(|told| *at >= told + TOLD_TIME);
                    *at >= binding && is_told && !excused.contains(vm)
                })
                .map(|(at, _)| *at)
                .collect();
            let bound = limit * WINDOW.as_secs_f64() * WINDOW_FACTOR + WINDOW_EXTRA;
            for (index, start) in counted.iter().enumerate() {
                let window = counted[index..].iter();
                let count = window.take_while(|at| **at < *start + WINDOW).count();
                let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
                assert!(count <= bound, "{count} of {bound} at target {target}");
            }
        }
    }

    /// Requests that reached `target` since `since`, a second.
    fn rate_since(&self, target: usize, since: Uptime) -> f64 {
        let sends = self.sends[target].iter().filter(|(at, _)| *at >= since);
        let count = u32::try_from(sends.count()).unwrap_or(u32::MAX);
        f64::from(count) / self.now.saturating_sub(since).as_secs_f64()
    }
}

/// Guards against a target that gets the limit from each VM instead of from all together, and against limits that are
/// not used although requests are rejected.
#[rstest]
fn shared_limit(
    #[values(SMALL, LARGE)] shape: Shape,
    #[values(0.5, 1.8, 3.3, 12.0)] limit: f64,
    #[values(7, 1005)] seed: u64,
) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(3), 150.0);
    fleet.limits.fill(Some(limit));
    fleet.run(Duration::from_secs(20), 400.0);
    fleet.check_windows(&[]);
    assert!(fleet.rejected > 0);
    let since = fleet.now.saturating_sub(Duration::from_secs(10));
    let rates = (0..shape.targets).map(|target| fleet.rate_since(target, since));
    let mean = rates.sum::<f64>() / f64::from(u32::try_from(shape.targets).expect("a count"));
    // Where a limit takes a tenth of the demand or more, it is used up but for a quarter.
    let demand = 400.0 / f64::from(u32::try_from(shape.targets).expect("a count"));
    assert!(mean >= limit.min(demand) * 0.75, "{mean} of {limit}");
}

/// Guards against requests that are rejected, or sent to a target at its limit, while others have none.
#[rstest]
fn other_targets(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    let limited = shape.targets * 7 / 10;
    fleet.limits[..limited].fill(Some(2.0));
    fleet.run(Duration::from_secs(15), 200.0);
    fleet.check_windows(&[]);
    assert_eq!(fleet.rejected, 0);
}

/// Guards against VMs that have just started, or were out of touch, and exceed a limit together with the others.
#[rstest]
fn changing_members(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.limits.fill(Some(3.3));
    fleet.run(Duration::from_secs(6), 300.0);
    let mut excused = Vec::new();
    for round in 0..4 {
        let vm = 3 + round * 2;
        fleet.ledgers[vm] = fleet.new_ledger(vm);
        fleet.isolated = vec![vm + 1];
        fleet.update_members();
        excused.extend([vm, vm + 1]);
        fleet.run(Duration::from_secs(5), 300.0);
        fleet.isolated.clear();
        fleet.update_members();
        fleet.run(Duration::from_secs(3), 300.0);
    }
    fleet.check_windows(&excused);
}

/// Guards against a limit that is kept after its target has ended it, at VMs that send the target nothing meanwhile.
#[rstest]
fn ended_limit(#[values(SMALL, LARGE)] shape: Shape, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.limits.fill(Some(2.0));
    fleet.run(Duration::from_secs(8), 300.0);
    fleet.limits.fill(None);
    // A VM that shares the limit has to choose the target once, among all that have none any more.
    fleet.run(Duration::from_secs(30), 300.0);
    let limited = fleet.ledgers.iter().map(LimitLedger::limited_count);
    assert_eq!(limited.sum::<usize>(), 0);
}

/// Guards against a limit that never ends because VMs tell each other of it again and again.
#[rstest]
fn forgotten_limit(#[values(SMALL, LARGE)] shape: Shape) {
    let mut fleet = Fleet::new(shape, 7);
    fleet.limits[0] = Some(2.0);
    fleet.run(Duration::from_secs(3), 100.0);
    let limited = |fleet: &Fleet| {
        let counts = fleet.ledgers.iter().map(LimitLedger::limited_count);
        counts.sum::<usize>()
    };
    assert_eq!(limited(&fleet), shape.vms);
    fleet.run(Duration::from_secs(70), 0.0);
    assert_eq!(limited(&fleet), 0);
}

/// Guards against limits that are no numbers, and against memory that grows with the ids of targets.
#[test]
fn odd_limits() {
    let mut ledger = LimitLedger::new("vm".into());
    let now = Duration::from_secs(100);
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(ledger.record_response(&"t1".into(), Some(rate), now), None);
    }
    for number in 0..5_000 {
        ledger.record_response(&target_id(number), Some(1.0), now);
    }
    assert!(ledger.limited_count() <= 1_024);
    assert!(ledger.report(ReportScope::All, now).entries.len() <= 256);
}

/// Guards against items that use up what online requests will need, and against a limit that items cannot use at all.
#[test]
fn saved_requests() {
    let mut fleet = Fleet::new(SMALL, 7);
    fleet.limits[0] = Some(4.0);
    fleet.run(Duration::from_secs(5), 100.0);
    fleet.run(Duration::from_secs(5), 0.0);
    let (service, now) = ("llm".into(), fleet.now);
    let holders: Vec<&mut LimitLedger> = fleet
        .ledgers
        .iter_mut()
        .filter(|ledger| {
            ledger
                .exhausted(&service, TrafficClass::Batch, now)
                .is_empty()
        })
        .collect();
    assert_eq!(holders.len(), 2);
    for ledger in holders {
        assert!(ledger.take(&target_id(0), now));
        assert_eq!(
            ledger.exhausted(&service, TrafficClass::Batch, now),
            [target_id(0)]
        );
        assert_eq!(
            ledger.exhausted(&service, TrafficClass::Online, now),
            [] as [TargetId; 0]
        );
    }
}
