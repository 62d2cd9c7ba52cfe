//! Cold targets over many VMs whose views of the members differ, in virtual time.

use plantainmill_core::{DomainName, RegionSet, TargetId, Uptime, VmId};
use plantainmill_dispatch::TrafficClass;
use plantainmill_dispatch::limits::{
    ColdBounds, ColdFacts, LimitEvent, LimitLedger, LimitedTarget,
};
use plantainmill_dispatch::notice::ReportScope;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(20);
const BOUNDS: ColdBounds = ColdBounds {
    excess: 1.5,
    slack: 5.0,
};
const DOMAINS: usize = 6;
const VMS: usize = 75;
const TARGETS: usize = 12;
/// Requests in each step at VMs of other domains, which send cold targets nothing.
const OTHER_REQUESTS: usize = 8;
/// Time after which a lost VM is no member any more, by its reports.
const LIVENESS: Duration = Duration::from_secs(2);
/// Longest time in which the targets are cold.
const COLD_TIME: Duration = Duration::from_mins(4);

/// VMs in six domains, with targets in the first one.
struct Fleet {
    now: Uptime,
    random: SmallRng,
    rate: f64,
    ledgers: Vec<LimitLedger>,
    /// Group of each VM: VMs hear those of their own group only. `None`: the VM is stopped or frozen.
    groups: Vec<Option<usize>>,
    /// When each VM last heard each other.
    heard: Vec<Vec<Option<Uptime>>>,
    ids: Vec<(VmId, DomainName)>,
    /// Whether targets of the second half are warm.
    warm_half: bool,
    sends: Vec<Vec<Uptime>>,
    refused: usize,
}

fn target_id(target: usize) -> TargetId {
    format!("t{target}").into()
}

fn vm_id(vm: usize) -> VmId {
    format!("vm{vm}").into()
}

fn domain_of(vm: usize) -> DomainName {
    format!("d{}", vm % DOMAINS).into()
}

fn listed() -> impl Iterator<Item = LimitedTarget> {
    (0..TARGETS).map(|target| LimitedTarget {
        id: target_id(target),
        service: "llm".into(),
        domain: domain_of(0),
        region: None,
    })
}

fn cold_facts(rate: f64) -> ColdFacts {
    ColdFacts {
        rate,
        start_time: COLD_TIME,
        ..ColdFacts::default()
    }
}

impl Fleet {
    fn new(rate: f64, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Duration::from_secs(100),
            random: SmallRng::seed_from_u64(seed),
            rate,
            ledgers: Vec::new(),
            groups: vec![Some(0); VMS],
            heard: vec![vec![None; VMS]; VMS],
            ids: (0..VMS).map(|vm| (vm_id(vm), domain_of(vm))).collect(),
            warm_half: false,
            sends: vec![Vec::new(); TARGETS],
            refused: 0,
        };
        fleet.ledgers = (0..VMS).map(|vm| fleet.new_ledger(vm)).collect();
        fleet
    }

    fn new_ledger(&self, vm: usize) -> LimitLedger {
        let mut ledger = LimitLedger::new(vm_id(vm));
        ledger.set_cold_bounds(BOUNDS);
        ledger.set_targets(listed(), self.now);
        ledger
    }

    /// The evacuation of the domain has ended, or its targets have all started.
    fn chill(&mut self) {
        for ledger in &mut self.ledgers {
            let facts = (0..TARGETS).map(|target| {
                let is_cold = !self.warm_half || target < TARGETS / 2;
                let facts = ColdFacts {
                    revoked_at: is_cold.then_some(self.now),
                    ..cold_facts(self.rate)
                };
                (target_id(target), facts)
            });
            ledger.set_cold_facts(facts, self.now);
        }
    }

    fn restart(&mut self, vm: usize) {
        self.ledgers[vm] = self.new_ledger(vm);
        self.heard[vm].fill(None);
        let facts = (0..TARGETS).map(|target| {
            let facts = ColdFacts {
                revoked_at: Some(self.now),
                ..cold_facts(self.rate)
            };
            (target_id(target), facts)
        });
        self.ledgers[vm].set_cold_facts(facts, self.now);
    }

    fn exchange(&mut self) {
        let now = self.now;
        let is_full = now.as_millis().is_multiple_of(1_000);
        for vm in 0..VMS {
            // VMs of other domains hold no shares and are updated less often.
            if self.groups[vm].is_none() || !vm.is_multiple_of(DOMAINS) && !is_full {
                continue;
            }
            let mut members: BTreeMap<DomainName, Vec<VmId>> = BTreeMap::new();
            for other in 0..VMS {
                let hears = self.groups[vm] == self.groups[other];
                if hears {
                    self.heard[vm][other] = Some(now);
                }
                let heard_at = self.heard[vm][other];
                if heard_at.is_some_and(|at| now.saturating_sub(at) < LIVENESS) {
                    let (id, domain) = &self.ids[other];
                    members.entry(domain.clone()).or_default().push(id.clone());
                }
            }
            self.ledgers[vm].set_members(members, now);
            self.ledgers[vm].tick(now);
        }
    }

    fn request(&mut self, vm: usize) {
        let (service, now) = ("llm".into(), self.now);
        let ledger = &mut self.ledgers[vm];
        let exhausted = ledger.exhausted(&service, TrafficClass::Online, now);
        let usable: Vec<usize> = (0..TARGETS)
            .filter(|target| !exhausted.contains(&target_id(*target)))
            .collect();
        if let Some(target) = usable.choose(&mut self.random) {
            assert!(ledger.take(&target_id(*target), now));
            self.sends[*target].push(now);
        } else {
            self.refused += 1;
            assert_ne!(
                ledger.next_free(&service, &RegionSet::Everywhere, now),
                Some(Duration::ZERO)
            );
        }
    }

    /// Each running VM of the domain has a request in each step, and others have some, far above what the targets take.
    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            if self.now.as_millis().is_multiple_of(100) {
                self.exchange();
            }
            let others = (0..OTHER_REQUESTS).map(|_| self.random.random_range(0..VMS));
            let others: Vec<usize> = others.collect();
            for vm in (0..VMS).step_by(DOMAINS).chain(others) {
                if self.groups[vm].is_some() {
                    self.request(vm);
                }
            }
        }
    }

    /// Largest number of requests at a cold target within a second.
    fn peak(&self, targets: std::ops::Range<usize>) -> usize {
        let second = Duration::from_secs(1);
        let peaks = self.sends[targets].iter().flat_map(|sends| {
            sends.iter().enumerate().map(move |(index, start)| {
                let window = sends[index..].iter();
                window.take_while(|at| **at < *start + second).count()
            })
        });
        peaks.max().unwrap_or(0)
    }

    fn check_bound(&self, targets: std::ops::Range<usize>) {
        let bound = self.rate * BOUNDS.excess + BOUNDS.slack;
        let peak = self.peak(targets);
        let count = f64::from(u32::try_from(peak).expect("a count"));
        assert!(
            count < bound,
            "{count} requests in a second, {bound} allowed"
        );
    }

    /// Mean number of requests a second at a target since `since`.
    fn mean_rate(&self, since: Uptime) -> f64 {
        let sends = self.sends.iter().flatten().filter(|at| **at >= since);
        let count = f64::from(u32::try_from(sends.count()).expect("a count"));
        let targets = f64::from(u32::try_from(TARGETS).expect("a count"));
        count / targets / (self.now.saturating_sub(since)).as_secs_f64()
    }
}

/// Guards against a domain whose targets are all cold after its evacuation was revoked, under requests far above what they take: against
/// more than they bear in any second, and against a rate that is left unused.
#[rstest]
fn cold_domain(#[values(0.5, 3.0, 12.0, 20.0)] rate: f64, #[values(7, 1005)] seed: u64) {
    let mut fleet = Fleet::new(rate, seed);
    fleet.run(Duration::from_secs(5));
    fleet.sends = vec![Vec::new(); TARGETS];
    fleet.chill();
    fleet.run(Duration::from_secs(3));
    let since = fleet.now;
    fleet.run(Duration::from_secs(12));
    fleet.check_bound(0..TARGETS);
    let mean = fleet.mean_rate(since);
    assert!(mean >= rate * 0.65, "{mean} of {rate} used");
    assert!(fleet.refused > 0);
}

/// Guards against holders on both sides of a partition, and those elected after it, that exceed the bound together: a domain falls apart
/// into halves, thirds, or one VM and the others, and is joined again.
#[rstest]
fn partitioned_domain(#[values(1, 2, 3)] groups: usize) {
    let mut fleet = Fleet::new(3.0, 7);
    fleet.run(Duration::from_secs(5));
    fleet.sends = vec![Vec::new(); TARGETS];
    fleet.chill();
    fleet.run(Duration::from_secs(6));
    for vm in (0..VMS).step_by(DOMAINS) {
        let position = vm / DOMAINS;
        fleet.groups[vm] = Some(if groups == 1 {
            usize::from(position == 0)
        } else {
            position % groups
        });
    }
    fleet.run(Duration::from_secs(40));
    fleet.groups.fill(Some(0));
    fleet.run(Duration::from_secs(10));
    fleet.check_bound(0..TARGETS);
}

/// Guards against tokens that a restart restores, and against VMs that believe to be alone after it: all VMs restart at once, three times, and
/// find each other late.
#[test]
fn restarted_fleet() {
    let mut fleet = Fleet::new(3.0, 7);
    fleet.run(Duration::from_secs(5));
    fleet.sends = vec![Vec::new(); TARGETS];
    fleet.chill();
    for _ in 0..3 {
        for vm in 0..VMS {
            fleet.restart(vm);
            fleet.groups[vm] = Some(vm);
        }
        fleet.run(Duration::from_millis(1_500));
        fleet.groups.fill(Some(0));
        fleet.run(Duration::from_secs(7));
    }
    fleet.check_bound(0..TARGETS);
    let since = fleet.now.saturating_sub(Duration::from_secs(3));
    assert!(fleet.mean_rate(since) > 0.0);
}

/// Guards against a lost VM whose part is given to another while it may still use it: holders stop one after the other, are frozen for
/// 25 s, and go on with what they knew.
#[test]
fn frozen_holders() {
    let mut fleet = Fleet::new(3.0, 7);
    fleet.run(Duration::from_secs(5));
    fleet.sends = vec![Vec::new(); TARGETS];
    fleet.chill();
    fleet.run(Duration::from_secs(5));
    for vm in (0..VMS).step_by(2 * DOMAINS) {
        fleet.groups[vm] = None;
        fleet.run(Duration::from_secs(1));
    }
    fleet.run(Duration::from_secs(25));
    for vm in (0..VMS).step_by(2 * DOMAINS) {
        fleet.groups[vm] = Some(0);
        // It has requests before it hears anyone.
        for _ in 0..10 {
            fleet.request(vm);
        }
        fleet.run(Duration::from_millis(300));
    }
    fleet.run(Duration::from_secs(5));
    fleet.check_bound(0..TARGETS);
}

/// Guards against cold targets that are used while warm ones are, and against items that use them.
#[test]
fn warm_first() {
    let mut fleet = Fleet::new(3.0, 7);
    fleet.warm_half = true;
    fleet.run(Duration::from_secs(5));
    fleet.chill();
    // No requests come, so that shares are full.
    for _ in 0..50 {
        fleet.now += Duration::from_millis(100);
        fleet.exchange();
    }
    let (service, now) = ("llm".into(), fleet.now);
    let cold: BTreeSet<TargetId> = (0..TARGETS / 2).map(target_id).collect();
    for ledger in &fleet.ledgers {
        let spared = ledger.spared(&service, now).into_iter();
        assert_eq!(spared.collect::<BTreeSet<_>>(), cold);
        let barred = ledger.exhausted(&service, TrafficClass::Batch, now);
        assert_eq!(barred.into_iter().collect::<BTreeSet<_>>(), cold);
    }
    // Where all targets are cold, items use what online requests leave.
    fleet.warm_half = false;
    fleet.chill();
    for _ in 0..50 {
        fleet.now += Duration::from_millis(100);
        fleet.exchange();
    }
    let now = fleet.now;
    let usable = fleet
        .ledgers
        .iter()
        .map(|ledger| TARGETS - ledger.exhausted(&service, TrafficClass::Batch, now).len());
    assert!(usable.sum::<usize>() >= TARGETS);
}

/// A single VM with one target.
struct Lone {
    ledger: LimitLedger,
    now: Uptime,
}

impl Lone {
    fn new() -> Lone {
        let now = Duration::from_secs(1_000);
        let mut ledger = LimitLedger::new(vm_id(0));
        ledger.set_cold_bounds(BOUNDS);
        ledger.set_targets(listed().take(1), now);
        Lone { ledger, now }
    }

    fn is_cold(&mut self, after_ms: u64, facts: ColdFacts) -> bool {
        self.now += Duration::from_millis(after_ms);
        let facts = ColdFacts {
            rate: 3.0,
            start_time: Duration::from_secs(10),
            read_at: self.now,
            ..facts
        };
        let facts = [(target_id(0), facts)];
        self.ledger.set_cold_facts(facts.into_iter(), self.now);
        self.ledger.cold_count(self.now) == 1
    }
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against a cold target that is taken for a warm one, by each thing that says so, and against one that stays cold.
#[test]
fn cold_sources() {
    let none = ColdFacts::default();
    let mut lone = Lone::new();
    assert!(!lone.is_cold(0, none));
    // Its start, by a clock that runs ahead, too.
    let born = |born, age| ColdFacts { born, age, ..none };
    assert!(lone.is_cold(0, born(1, Some(seconds(0)))));
    assert!(lone.is_cold(9_000, born(1, Some(seconds(0)))));
    assert!(!lone.is_cold(2_000, born(1, Some(seconds(0)))));
    assert!(!lone.is_cold(0, born(2, Some(seconds(11)))));
    assert!(lone.is_cold(0, born(3, Some(seconds(4)))));
    assert!(!lone.is_cold(7_000, born(3, Some(seconds(11)))));
    // Its entry.
    let left = |left| ColdFacts { left, ..none };
    assert!(lone.is_cold(0, left(Some(seconds(3)))));
    assert!(!lone.is_cold(100, left(Some(seconds(0)))));
    assert!(lone.is_cold(100, left(Some(seconds(3)))));
    assert!(!lone.is_cold(4_000, left(Some(seconds(3)))));
    // The end of an evacuation, until an entry that was written later says that it is warm.
    let revoked = |at, left| ColdFacts {
        revoked_at: Some(at),
        left,
        ..none
    };
    let at = lone.now;
    assert!(lone.is_cold(0, revoked(at, None)));
    assert!(lone.is_cold(1_000, revoked(at, Some(seconds(0)))));
    assert!(!lone.is_cold(1_500, revoked(at, Some(seconds(0)))));
    let at = lone.now;
    assert!(lone.is_cold(9_000, revoked(at, None)));
    assert!(!lone.is_cold(1_500, revoked(at, None)));
}

/// Guards against a registry entry that outweighs a later response, and against a response that outweighs a later entry or start.
#[test]
fn later_response() {
    let left = |left| ColdFacts {
        left,
        ..ColdFacts::default()
    };
    let mut lone = Lone::new();
    assert!(lone.is_cold(0, left(Some(seconds(9)))));
    lone.ledger
        .record_cold(&target_id(0), Duration::ZERO, lone.now);
    assert!(!lone.is_cold(100, left(Some(seconds(8)))));
    lone.ledger
        .record_cold(&target_id(0), Duration::from_secs(2), lone.now);
    assert!(lone.is_cold(1_000, left(Some(seconds(0)))));
    assert!(!lone.is_cold(1_500, left(Some(seconds(0)))));
    assert!(lone.is_cold(1_000, left(Some(seconds(5)))));
}

/// Guards against a target that has become cold and that other VMs take for a warm one, and against old news that VMs repeat.
#[test]
fn reported_cold() {
    let none = ColdFacts::default();
    let (mut first, mut second) = (Lone::new(), Lone::new());
    second.ledger = LimitLedger::new(vm_id(1));
    second.ledger.set_cold_bounds(BOUNDS);
    second.ledger.set_targets(listed().take(1), second.now);
    assert!(!first.is_cold(0, none) && !second.is_cold(0, none));
    first
        .ledger
        .record_cold(&target_id(0), Duration::from_secs(5), first.now);
    assert!(first.ledger.has_news(ReportScope::Own, first.now));
    let report = first.ledger.report(ReportScope::Own, first.now);
    second.ledger.record_report(&report, second.now);
    assert!(second.is_cold(100, none));
    assert!(!second.ledger.has_news(ReportScope::Own, second.now));
    first.ledger.record_cold(
        &target_id(0),
        Duration::ZERO,
        first.now + Duration::from_secs(1),
    );
    let echo = second.ledger.report(ReportScope::All, second.now);
    first
        .ledger
        .record_report(&echo, first.now + Duration::from_secs(1));
    assert!(!first.is_cold(1_000, none));
}

/// Guards against figures that are negative, no numbers or missing, and against deployments without bounds whose targets are limited.
#[test]
fn odd_figures() {
    for rate in [0.0, -1.0, f64::NAN, f64::NEG_INFINITY] {
        assert_eq!(BOUNDS.split(rate), None);
    }
    let strict = ColdBounds {
        excess: 1.0,
        slack: 0.0,
    };
    assert_eq!(strict.split(2.0), None);
    let mut ledger = LimitLedger::new(vm_id(0));
    ledger.set_targets(listed().take(1), Duration::ZERO);
    let facts = ColdFacts {
        left: Some(seconds(9)),
        ..cold_facts(3.0)
    };
    let events = ledger.set_cold_facts([(target_id(0), facts)].into_iter(), Duration::ZERO);
    assert_eq!(events, [] as [LimitEvent; 0]);
    assert!(ledger.take(&target_id(0), Duration::ZERO));
}

/// Guards against shares that exceed the bound while two groups of VMs hold them, for any rate and bound.
#[rstest]
fn split_rates(#[values(0.1, 0.5, 1.0, 2.0, 3.0, 7.0, 10.0, 40.0, 500.0)] rate: f64) {
    for excess in [1.0, 1.1, 1.5, 3.0] {
        for slack in [0.0, 2.0, 5.0, 50.0] {
            let Some((holders, share)) = (ColdBounds { excess, slack }).split(rate) else {
                continue;
            };
            let group = f64::from(holders) * (1.0 + share);
            assert!(2.0 * group < rate * excess + slack);
            assert!(f64::from(holders) * share <= rate + 1e-9);
        }
    }
}
