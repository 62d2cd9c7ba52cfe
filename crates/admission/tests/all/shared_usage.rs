//! Fleet-wide rate limits based on usage reports.

use plantainmill_admission::RateVerdict;
use plantainmill_admission::shared::{RateLimit, UsageEntry, UsageLedger, UsageSource};
use plantainmill_core::OrganisationId;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use std::collections::HashSet;
use std::time::Duration;

const LIMIT: RateLimit = RateLimit {
    rate: 70.0,
    burst: 70.0,
};
/// Length of the windows over which the rate is checked.
const WINDOW: Duration = Duration::from_secs(5);

/// VMs that exchange usage reports periodically, and the requests that they admitted.
struct Fleet {
    limit: RateLimit,
    ledgers: Vec<UsageLedger>,
    isolated: Vec<bool>,
    admitted: Vec<Duration>,
    refused: usize,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        Fleet {
            limit: LIMIT,
            ledgers: (0..count).map(|_| UsageLedger::default()).collect(),
            isolated: vec![false; count],
            admitted: Vec::new(),
            refused: 0,
        }
    }

    fn send_request(&mut self, vm: usize, now: Duration) {
        let verdict = self.ledgers[vm].admit(&organisation(), self.limit, now);
        if verdict == RateVerdict::Admitted {
            self.admitted.push(now);
        } else {
            self.refused += 1;
        }
    }

    /// Sends a request that continues a stream. Returns whether it was admitted.
    fn continue_stream(&mut self, vm: usize, now: Duration) -> bool {
        let verdict = self.ledgers[vm].admit_continuation(&organisation(), LIMIT, now);
        let is_admitted = verdict == RateVerdict::Admitted;
        if is_admitted {
            self.admitted.push(now);
        }
        is_admitted
    }

    fn exchange(&mut self, now: Duration) {
        let reports: Vec<_> = self
            .ledgers
            .iter()
            .map(|ledger| ledger.report(now))
            .collect();
        for (from, report) in reports
            .iter()
            .enumerate()
            .filter(|(from, _)| !self.isolated[*from])
        {
            for (to, ledger) in self.ledgers.iter_mut().enumerate() {
                if to != from && !self.isolated[to] {
                    let peer = UsageSource::Vm(format!("vm{from}").into());
                    ledger.record_report(&peer, 1, report.clone(), now);
                }
            }
        }
    }

    /// Runs a load of `per_s` requests per second, spread over the VMs by `pick`, with reports every 200 ms.
    fn run_load(&mut self, from: u64, until: u64, per_s: u64, pick: impl Fn(u64) -> usize) {
        let mut sent = 0;
        for millis in from..until {
            let now = Duration::from_millis(millis);
            if millis % 200 == 0 {
                self.exchange(now);
            }
            while sent * 1_000 < (millis - from) * per_s {
                self.send_request(pick(sent), now);
                sent += 1;
            }
        }
    }

    /// Maximum number of requests admitted in any window.
    fn max_window(&self) -> usize {
        let within = |start: &Duration| {
            let until = *start + WINDOW;
            let times = self.admitted.iter();
            times
                .filter(|time| *start <= **time && **time < until)
                .count()
        };
        self.admitted.iter().map(within).max().unwrap_or(0)
    }
}

/// Rounds down.
fn whole(value: f64) -> u64 {
    (0..=u32::from(u16::MAX))
        .take_while(|whole| f64::from(*whole) <= value)
        .last()
        .unwrap_or(0)
        .into()
}

fn organisation() -> OrganisationId {
    "ward".into()
}

/// Maximum number of requests allowed in a window: rate and burst plus a tenth, and twenty requests of slack.
const fn bound() -> usize {
    (70 * 5 + 70) * 11 / 10 + 20
}

/// Guards against an organisation that exceeds its limit by sending to many VMs at once, evenly or mostly to one.
#[rstest]
#[case(1)]
#[case(4)]
#[case(12)]
fn surge_bound(#[case] spread: u64) {
    let mut fleet = Fleet::new(12);
    let pick = |number: u64| usize::try_from(number % spread).unwrap_or(0);
    fleet.run_load(0, 3_000, 40, pick);
    fleet.run_load(3_000, 12_000, 330, pick);
    let worst = fleet.max_window();
    assert!(worst <= bound(), "{worst}");
    assert!(worst >= 70 * 5 * 9 / 10, "{worst} is far below the rate");
}

/// Guards against refusals within the rate while demand moves between VMs.
#[test]
fn within_rate() {
    let mut fleet = Fleet::new(12);
    for round in 0..10 {
        let vm = usize::try_from(round * 5 % 12).unwrap_or(0);
        fleet.run_load(round * 2_000, (round + 1) * 2_000, 60, |_| vm);
    }
    assert!(
        fleet.refused <= fleet.admitted.len() / 100,
        "{}",
        fleet.refused
    );
}

/// Guards against VMs that are taken for silent between the heartbeats of a calm fleet, and hold an organisation's few
/// requests at once to their shares.
#[test]
fn calm_heartbeats() {
    let mut fleet = Fleet::new(12);
    for millis in 0..20_000_u64 {
        let now = Duration::from_millis(millis);
        if millis % 310 == 0 {
            fleet.exchange(now);
        }
        if millis % 1_000 == 305 {
            let vm = usize::try_from(millis / 1_000 % 12).unwrap_or(0);
            (0..12).for_each(|_| fleet.send_request(vm, now));
        }
    }
    assert_eq!(fleet.refused, 0);
}

/// Guards against VMs that each admit the whole rate while a network partition isolates them.
#[test]
fn partition_bound() {
    let mut fleet = Fleet::new(12);
    let pick = |number: u64| usize::try_from(number % 12).unwrap_or(0);
    fleet.run_load(0, 6_000, 330, pick);
    fleet.isolated[0] = true;
    fleet.isolated[1] = true;
    fleet.run_load(6_000, 16_000, 330, pick);
    assert!(fleet.max_window() <= bound(), "{}", fleet.max_window());
}

/// Guards against an organisation that exceeds its limit because VMs that are cut off in the middle of its surge, each from
/// all others, spend the same tokens, until they are known to be cut off and after.
#[rstest]
fn surge_and_cut(
    #[values(22.0, 45.0, 70.0)] rate: f64,
    #[values(0, 50, 100, 150)] phase: u64,
    #[values(1, 2)] skew: u64,
) {
    let mut fleet = Fleet::new(12);
    fleet.limit = RateLimit { rate, burst: rate };
    // Squaring the position makes the load uneven.
    let pick = move |number: u64| {
        let position = (number * 7 + number / 12) % 12;
        let position = if skew == 1 {
            position
        } else {
            position * position / 12
        };
        usize::try_from(position).unwrap_or(0)
    };
    let [usual, surge] = [rate * 7.0, rate * 52.0].map(|tenths| whole(tenths) / 10);
    for round in 0..3 {
        let start = round * 15_000;
        fleet.run_load(start, start + 5_000, usual, pick);
        fleet.run_load(start + 5_000, start + 6_500 + phase, surge, pick);
        let first = usize::try_from(round * 4).unwrap_or(0);
        fleet.isolated[first..first + 4].fill(true);
        fleet.run_load(start + 6_500 + phase, start + 11_500, surge, pick);
        fleet.run_load(start + 11_500, start + 12_000, usual, pick);
        fleet.isolated.fill(false);
        fleet.run_load(start + 12_000, start + 15_000, usual, pick);
    }
    let bound = (rate * 5.0 + rate) * 1.1 + 20.0;
    let worst = fleet.max_window();
    assert!(
        worst <= usize::try_from(whole(bound)).unwrap_or(0),
        "{worst} of {bound}"
    );
}

/// Guards against VMs of another failure domain that are forgotten, with their part of the rate, as soon as its sum leaves
/// them out.
#[test]
fn shrunk_domain() {
    let mut ledger = UsageLedger::default();
    let aggregators = ["b1", "b2"];
    let mut admitted = 0;
    for millis in (0..12_000_u64).step_by(10) {
        let now = Duration::from_millis(millis);
        if millis % 100 == 0 {
            // The sum leaves out half of the domain from 4 s on, and comes from another aggregator from 8 s on.
            let source = UsageSource::Domain {
                domain: "b".into(),
                aggregator: (aggregators[usize::from(millis >= 8_000)].into(), 1),
            };
            let vms = if millis < 4_000 { 3 } else { 1 };
            ledger.record_report(&source, vms, Vec::new(), now);
        }
        let verdict = ledger.admit(&organisation(), LIMIT, now);
        admitted += u64::from(millis >= 7_000 && verdict == RateVerdict::Admitted);
    }
    // Two of four VMs are left, for which half of the rate remains.
    assert!((160..=185).contains(&admitted), "{admitted} in 5 s");
}

/// Guards against a restarted VM that starts with a full bucket, or that subtracts everything its peers admitted
/// before its start.
#[test]
fn restarted_vm() {
    let mut fleet = Fleet::new(12);
    let pick = |number: u64| usize::try_from(number % 12).unwrap_or(0);
    fleet.run_load(0, 6_000, 330, pick);
    fleet.ledgers[3] = UsageLedger::default();
    fleet.run_load(6_000, 12_000, 330, pick);
    assert!(fleet.max_window() <= bound(), "{}", fleet.max_window());
    let refused = fleet.refused;
    fleet.run_load(14_000, 18_000, 40, |_| 3);
    assert!(fleet.refused - refused <= 4, "{}", fleet.refused - refused);
}

/// Guards against a limit that does not hold across failure domains, which see each other only as sums, including
/// after another VM of a domain takes over the summing.
#[test]
fn domain_sums() {
    let mut domains = [Fleet::new(4), Fleet::new(4)];
    let mut admitted = Vec::new();
    let mut sent: u64 = 0;
    for millis in 0..12_000_u64 {
        let now = Duration::from_millis(millis);
        if millis % 200 == 0 {
            let aggregator = usize::from(millis > 6_000);
            for fleet in &mut domains {
                fleet.exchange(now);
            }
            let sums =
                [0, 1].map(|domain: usize| domains[domain].ledgers[aggregator].domain_report(now));
            for (domain, sum) in sums.into_iter().enumerate() {
                let peer = UsageSource::Domain {
                    domain: format!("d{domain}").into(),
                    aggregator: (format!("vm{aggregator}").into(), 1),
                };
                for ledger in &mut domains[1 - domain].ledgers {
                    ledger.record_report(&peer, 4, sum.clone(), now);
                }
            }
        }
        while sent * 1_000 < millis * 330 {
            let vm = usize::try_from(sent % 8).unwrap_or(0);
            domains[vm / 4].send_request(vm % 4, now);
            sent += 1;
        }
    }
    for fleet in &mut domains {
        admitted.append(&mut fleet.admitted);
    }
    let mut both = Fleet::new(0);
    both.admitted = admitted;
    assert!(both.max_window() <= bound(), "{}", both.max_window());
    assert!(
        both.max_window() >= 70 * 5 * 9 / 10,
        "{}",
        both.max_window()
    );
}

/// A fleet whose VMs report only what has changed, over a network that loses, repeats and delays reports.
struct LossyFleet {
    fleet: Fleet,
    /// Reports under way: time of arrival in milliseconds, sender, receiver, content.
    network: Vec<(u64, usize, usize, Vec<UsageEntry>)>,
    random: SmallRng,
    loss: f64,
}

impl LossyFleet {
    fn new(count: usize, loss: f64, seed: u64) -> LossyFleet {
        LossyFleet {
            fleet: Fleet::new(count),
            network: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            loss,
        }
    }

    fn run_load(&mut self, from: u64, until: u64, per_s: u64) {
        let count = self.fleet.ledgers.len();
        let mut sent = 0;
        for millis in from..until {
            let now = Duration::from_millis(millis);
            for vm in (0..count).filter(|vm| (millis + *vm as u64 * 7).is_multiple_of(100)) {
                let changes = self.fleet.ledgers[vm].take_changes(now);
                for receiver in (0..count).filter(|receiver| *receiver != vm) {
                    // A repeated datagram arrives twice.
                    let copies = 1 + usize::from(self.random.random_bool(0.02));
                    for _ in 0..copies {
                        if !self.random.random_bool(self.loss) {
                            let arrival = millis + self.random.random_range(0..=60);
                            self.network.push((arrival, vm, receiver, changes.clone()));
                        }
                    }
                }
            }
            let due: Vec<_> = self
                .network
                .extract_if(.., |(arrival, ..)| *arrival <= millis)
                .collect();
            for (_, vm, receiver, changes) in due {
                let peer = UsageSource::Vm(format!("vm{vm}").into());
                self.fleet.ledgers[receiver].record_report(&peer, 1, changes, now);
            }
            while sent * 1_000 < (millis - from) * per_s {
                let vm = self.random.random_range(0..count);
                self.fleet.send_request(vm, now);
                sent += 1;
            }
        }
    }
}

/// Guards against a limit that fails when reports list only changes: lost, repeated and overtaken reports, and a VM
/// that restarts in between.
#[rstest]
#[case::sound(0.0, 12)]
#[case::lossy(0.05, 12)]
#[case::very_lossy(0.2, 12)]
#[case::large(0.01, 48)]
fn reported_changes(#[case] loss: f64, #[case] count: usize) {
    for seed in 0..4 {
        let mut lossy = LossyFleet::new(count, loss, seed);
        lossy.run_load(0, 3_000, 40);
        lossy.run_load(3_000, 9_000, 330);
        lossy.fleet.ledgers[1] = UsageLedger::default();
        for ledger in &mut lossy.fleet.ledgers {
            ledger.report_all();
        }
        lossy.run_load(9_000, 15_000, 330);
        let worst = lossy.fleet.max_window();
        assert!(worst <= bound(), "seed {seed}: {worst}");
        assert!(worst >= 70 * 5 * 9 / 10, "seed {seed}: {worst}");
    }
}

/// Guards against refusals within the rate because demand elsewhere is remembered although it has ended, or because a
/// lost report of changes is never made good.
#[test]
fn forgotten_demand() {
    let mut lossy = LossyFleet::new(12, 0.1, 5);
    lossy.run_load(0, 4_000, 330);
    lossy.run_load(8_000, 14_000, 10);
    let refused = lossy.fleet.refused;
    lossy.run_load(14_000, 24_000, 55);
    let refused = lossy.fleet.refused - refused;
    assert!(refused <= 550 / 100, "{refused} of 550 refused");
}

/// Guards against reports of changes that leave an organisation out for good: each is listed again in turn, however many
/// there are.
#[test]
fn repeated_entries() {
    const ORGANISATIONS: usize = 100;
    let mut ledger = UsageLedger::default();
    for number in 0..ORGANISATIONS {
        let organisation = format!("organisation-{number}").into();
        assert_eq!(
            ledger.admit(&organisation, LIMIT, Duration::ZERO),
            RateVerdict::Admitted
        );
    }
    let now = Duration::from_secs(1);
    assert_eq!(ledger.take_changes(now).len(), ORGANISATIONS);
    let repeated = (0..10).map(|_| ledger.take_changes(now));
    let repeated: Vec<Vec<UsageEntry>> = repeated.collect();
    assert!(repeated.iter().all(|entries| entries.len() <= 16));
    let listed: HashSet<_> = repeated
        .into_iter()
        .flatten()
        .map(|entry| entry.organisation)
        .collect();
    assert_eq!(listed.len(), ORGANISATIONS);
}

/// Guards against streams that are cut for good because the VMs that admitted them are gone, and the others are held to their
/// shares of the rate, and against an organisation that exceeds its limit by taking streams up on both sides of a partition.
#[rstest]
#[case::lost_vms(1, false)]
#[case::partition(6, true)]
fn continued_streams(#[case] survivors: usize, #[case] others_send: bool) {
    let mut fleet = Fleet::new(12);
    fleet.run_load(0, 6_000, 140, |number| {
        usize::try_from(number % 12).unwrap_or(0)
    });
    for vm in survivors..12 {
        fleet.isolated[vm] = true;
    }
    let mut others: Vec<UsageLedger> = fleet.ledgers.drain(survivors..).collect();
    fleet.isolated.truncate(survivors);
    let mut continued = 0;
    for millis in (6_000..12_000).step_by(50) {
        let now = Duration::from_millis(millis);
        if millis % 200 == 0 {
            fleet.exchange(now);
        }
        let vm = usize::try_from(millis / 50).unwrap_or(0) % survivors;
        fleet.send_request(vm, now);
        if millis >= 8_000 {
            continued += usize::from(fleet.continue_stream(vm, now));
        }
        if others_send {
            let other = vm % others.len();
            let admitted = [
                others[other].admit(&organisation(), LIMIT, now),
                others[other].admit_continuation(&organisation(), LIMIT, now),
            ];
            let admitted = admitted
                .iter()
                .filter(|verdict| **verdict == RateVerdict::Admitted);
            fleet.admitted.extend(admitted.map(|_| now));
        }
    }
    assert!(continued >= 20, "{continued} streams went on");
    assert!(fleet.max_window() <= bound(), "{}", fleet.max_window());
}
