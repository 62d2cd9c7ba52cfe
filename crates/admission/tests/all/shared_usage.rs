//! Fleet-wide rate limits on small fleets: outcomes that hold whatever makes the decision, and the usage reports that older
//! releases read.

use crate::pool_fleet::{Network, PoolFleet};
use plantainmill_admission::UsageEntry;
use plantainmill_admission::pools::{RateLimit, TokenKind};
use plantainmill_admission::shared::UsageLedger;
use rand::RngExt as _;
use rand::rngs::SmallRng;
use rstest::rstest;
use std::collections::HashSet;
use std::time::Duration;

const LIMIT: RateLimit = RateLimit {
    rate: 70.0,
    burst: 70.0,
};
const DOMAINS: u16 = 3;

fn fleet(seed: u64) -> PoolFleet {
    PoolFleet::new(12, DOMAINS, &[LIMIT], Network::usual(), seed)
}

fn anywhere(random: &mut SmallRng, _: usize) -> usize {
    random.random_range(0..12)
}

/// Guards against an organisation that exceeds its limit by sending to many VMs at once, evenly or mostly to one.
#[rstest]
#[case(1)]
#[case(4)]
#[case(12)]
fn surge_bound(#[case] spread: usize) {
    let mut fleet = fleet(1);
    let pick = move |random: &mut SmallRng, _| random.random_range(0..spread);
    fleet.run(3_000, &[40.0], pick);
    fleet.run(12_000, &[330.0], pick);
    fleet.assert_bound(&format!("{spread} VMs"));
    let worst = fleet.max_window(0);
    assert!(worst >= 70 * 5 * 9 / 10, "{worst} is far below the rate");
}

/// Guards against refusals within the rate while demand moves between VMs.
#[test]
fn within_rate() {
    let mut fleet = fleet(1);
    fleet.run(2_000, &[0.0], anywhere);
    for round in 0..10_usize {
        let end_ms = fleet.now_ms + 2_000;
        fleet.run(end_ms, &[60.0], |_, _| round * 5 % 12);
    }
    fleet.assert_few_refused("moving demand");
}

/// Guards against refusals of an organisation's few requests, which come to one VM all at once.
#[test]
fn calm_bursts() {
    let mut fleet = fleet(1);
    fleet.run(2_000, &[0.0], anywhere);
    for round in 2..20 {
        for _ in 0..12 {
            fleet.request(round % 12, 0, TokenKind::Request);
        }
        let end_ms = fleet.now_ms + 1_000;
        fleet.run(end_ms, &[0.0], anywhere);
    }
    assert_eq!(fleet.organisations[0].refused, 0);
    assert_eq!(fleet.organisations[0].admitted_ms.len(), 18 * 12);
}

/// Guards against VMs that each admit the whole rate while a network partition isolates them.
#[test]
fn partition_bound() {
    let mut fleet = fleet(1);
    fleet.run(6_000, &[330.0], anywhere);
    fleet.set_isolated(0, true);
    fleet.set_isolated(1, true);
    fleet.run(16_000, &[330.0], anywhere);
    fleet.assert_bound("two VMs isolated");
}

/// Guards against an organisation that exceeds its limit because VMs that are cut off in the middle of its surge, each from
/// all others, spend the same tokens, until they are known to be cut off and after.
#[rstest]
fn surge_and_cut(
    #[values(22.0, 45.0, 70.0)] rate: f64,
    #[values(0, 50, 100, 150)] phase: u64,
    #[values(1, 2)] skew: usize,
) {
    let limit = RateLimit { rate, burst: rate };
    let mut fleet = PoolFleet::new(12, DOMAINS, &[limit], Network::usual(), phase);
    // Squaring the position makes the load uneven.
    let pick = move |random: &mut SmallRng, _| {
        let position: usize = random.random_range(0..12);
        if skew == 1 {
            position
        } else {
            position * position / 12
        }
    };
    let [usual, surge] = [[rate * 0.7], [rate * 5.2]];
    for round in 0..3 {
        let start = fleet.now_ms;
        fleet.run(start + 5_000, &usual, pick);
        fleet.run(start + 6_500 + phase, &surge, pick);
        (round * 4..round * 4 + 4).for_each(|vm| fleet.set_isolated(vm, true));
        fleet.run(start + 11_500, &surge, pick);
        fleet.run(start + 12_000, &usual, pick);
        (round * 4..round * 4 + 4).for_each(|vm| fleet.set_isolated(vm, false));
        fleet.run(start + 15_000, &usual, pick);
    }
    fleet.assert_bound(&format!("rate {rate}, phase {phase}"));
}

/// Guards against a domain that uses the part of those of its VMs that it does not hear: they may be live and use it.
#[test]
fn shrunk_domain() {
    let mut fleet = PoolFleet::new(4, 1, &[LIMIT], Network::usual(), 1);
    fleet.run(4_000, &[330.0], |random, _| random.random_range(0..4));
    fleet.set_group_linked(&[2, 3], false);
    fleet.run(7_000, &[330.0], |random, _| random.random_range(0..4));
    let before = fleet.organisations[0].admitted_ms.len();
    fleet.run(12_000, &[330.0], |random, _| random.random_range(0..2));
    let admitted = fleet.organisations[0].admitted_ms.len() - before;
    // Two of four VMs are left, for which half of the rate remains.
    assert!((160..=185).contains(&admitted), "{admitted} in 5 s");
    fleet.assert_bound("half of a domain");
}

/// Guards against a restarted VM that starts with full pools, or that stays without tokens after its start.
#[test]
fn restarted_vm() {
    for vm in 0..12 {
        let mut fleet = fleet(1);
        fleet.run(6_000, &[330.0], anywhere);
        fleet.kill(vm);
        fleet.run(6_200, &[330.0], anywhere);
        fleet.start(vm);
        fleet.run(12_000, &[330.0], anywhere);
        fleet.assert_bound(&format!("VM {vm}"));
        fleet.run(14_000, &[0.0], anywhere);
        fleet.clear_counts();
        fleet.run(18_000, &[40.0], |_, _| vm);
        let refused = fleet.organisations[0].refused;
        assert!(refused <= 4, "{refused}, VM {vm}");
    }
}

/// Guards against a limit that fails when messages are lost or late, and a VM restarts in between, or against one that
/// leaves the rate unused then.
#[rstest]
#[case::sound(0.0, 12, 9)]
#[case::lossy(0.05, 12, 9)]
#[case::very_lossy(0.2, 12, 9)]
#[case::large(0.01, 48, 9)]
fn lost_messages(#[case] loss: f64, #[case] count: u16, #[case] least_tenths: usize) {
    for seed in 0..4 {
        let network = Network {
            loss,
            late: 0.05,
            ..Network::usual()
        };
        let mut fleet = PoolFleet::new(count, 2, &[LIMIT], network, seed);
        let pick = move |random: &mut SmallRng, _| random.random_range(0..usize::from(count));
        fleet.run(3_000, &[40.0], pick);
        fleet.run(9_000, &[330.0], pick);
        fleet.kill(1);
        fleet.run(9_100, &[330.0], pick);
        fleet.start(1);
        fleet.run(15_000, &[330.0], pick);
        fleet.assert_bound(&format!("seed {seed}"));
        let worst = fleet.max_window(0);
        assert!(worst >= 70 * 5 * least_tenths / 10, "seed {seed}: {worst}");
    }
}

/// Guards against refusals within the rate after a surge, because its refusals are remembered although it has ended.
#[test]
fn forgotten_demand() {
    let network = Network {
        loss: 0.1,
        ..Network::usual()
    };
    let mut fleet = PoolFleet::new(12, DOMAINS, &[LIMIT], network, 5);
    fleet.run(4_000, &[330.0], anywhere);
    fleet.run(8_000, &[0.0], anywhere);
    fleet.run(14_000, &[10.0], anywhere);
    fleet.clear_counts();
    fleet.run(24_000, &[55.0], anywhere);
    fleet.assert_few_refused("after a surge");
}

/// Guards against reports of changes that leave an organisation out for good: each is listed again in turn, however many
/// there are.
#[test]
fn repeated_entries() {
    const ORGANISATIONS: usize = 100;
    let mut ledger = UsageLedger::default();
    for number in 0..ORGANISATIONS {
        let organisation = format!("organisation-{number}").into();
        ledger.record_admitted(&organisation, LIMIT, Duration::ZERO);
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
    let mut fleet = fleet(1);
    fleet.run(6_000, &[140.0], anywhere);
    let group: Vec<usize> = (0..survivors).collect();
    if others_send {
        fleet.set_group_linked(&group, false);
    } else {
        (survivors..12).for_each(|vm| fleet.kill(vm));
    }
    while fleet.now_ms < 12_000 {
        let end_ms = fleet.now_ms + 50;
        let round = usize::try_from(end_ms / 50).unwrap_or(0);
        let vm = round % survivors;
        fleet.request(vm, 0, TokenKind::Request);
        if fleet.now_ms >= 8_000 {
            fleet.request(vm, 0, TokenKind::Continuation);
        }
        if others_send {
            let other = survivors + round % (12 - survivors);
            fleet.request(other, 0, TokenKind::Request);
            fleet.request(other, 0, TokenKind::Continuation);
        }
        fleet.run(end_ms, &[0.0], anywhere);
    }
    let continued: usize = fleet.continued_by[..survivors].iter().sum();
    assert!(continued >= 20, "{continued} streams went on");
    // Streams may borrow one second of the rate, within the platform's tolerance of a tenth and 20 requests.
    let (worst, bound) = (fleet.max_window(0), (70 * 5 + 70) * 11 / 10 + 20);
    assert!(worst <= bound, "{worst}");
}
