//! Exact rates by token pools at many VMs.

use crate::pool_fleet::{Network, PoolFleet};
use crate::refusal_tally::RefusalTally;
use plantainmill_admission::pools::{RateLimit, TokenKind, TokenPool, pool_count};
use rand::RngExt as _;
use rand::rngs::SmallRng;
use rstest::rstest;
use std::time::Duration;

const SEEDS: u64 = 10;
const DOMAINS: u16 = 15;
/// An organisation's usual rate, as a fraction of its limit.
const USUAL: f64 = 0.7;
const LIMITS: [RateLimit; 3] = [limit(22.0, 22.0), limit(52.8, 52.8), limit(120.0, 60.0)];

const fn limit(rate: f64, burst: f64) -> RateLimit {
    RateLimit { rate, burst }
}

/// Requests per second of each organisation, as a multiple of its limit.
fn load(factor: f64) -> Vec<f64> {
    LIMITS.iter().map(|limit| limit.rate * factor).collect()
}

fn anywhere(count: u16) -> impl FnMut(&mut SmallRng, usize) -> usize {
    move |random, _| random.random_range(0..usize::from(count))
}

/// Guards against organisations that exceed their rate by a surge over many VMs, while messages are late and lost, and
/// against tokens that are never used.
#[rstest]
fn surge_of_three(#[values(131, 300, 350)] count: u16) {
    for seed in 0..SEEDS {
        let mut fleet = PoolFleet::new(count, DOMAINS, &LIMITS, Network::late(), seed);
        fleet.run(3_000, &load(USUAL), anywhere(count));
        fleet.run(12_000, &load(USUAL * 6.0), anywhere(count));
        fleet.assert_bound(&format!("{count} VMs, late messages, seed {seed}"));
        let mut fleet = PoolFleet::new(count, DOMAINS, &LIMITS, Network::usual(), seed);
        fleet.run(3_000, &load(USUAL), anywhere(count));
        fleet.run(12_000, &load(USUAL * 6.0), anywhere(count));
        fleet.assert_bound(&format!("{count} VMs, seed {seed}"));
        for (number, limit) in LIMITS.iter().enumerate() {
            let worst = f64::from(u32::try_from(fleet.max_window(number)).unwrap_or(0));
            assert!(worst >= limit.rate * 5.0 * 0.9, "{worst}, seed {seed}");
        }
    }
}

/// Guards against refusals of organisations within their rate, with requests at all VMs, at one domain, or at one VM.
#[rstest]
fn within_rate(#[values(131, 300, 350)] count: u16, #[values(0, 1, 2)] skew: u8) {
    let mut tally = RefusalTally::default();
    for seed in 0..SEEDS {
        let mut fleet = PoolFleet::new(count, DOMAINS, &LIMITS, Network::usual(), seed);
        // A new fleet starts with empty pools.
        fleet.run(2_000, &load(0.1), anywhere(count));
        fleet.clear_counts();
        fleet.run(12_000, &load(0.85), |random, organisation| {
            let first = organisation * 4;
            match skew {
                0 => random.random_range(0..usize::from(count)),
                1 => {
                    first
                        + usize::from(DOMAINS)
                            * random.random_range(0..usize::from(count / DOMAINS))
                }
                _ => first,
            }
        });
        tally.add(&fleet);
        fleet.assert_bound(&format!("{count} VMs, skew {skew}, seed {seed}"));
    }
    tally.assert_few(&format!("{count} VMs, skew {skew}"));
}

/// Guards against a lost holder whose tokens come back with the next one, and against refusals while it is replaced.
#[rstest]
fn lost_holder(#[values(131, 350)] count: u16, #[values(USUAL, USUAL * 6.0)] factor: f64) {
    for seed in 0..SEEDS {
        let mut fleet = PoolFleet::new(count, DOMAINS, &LIMITS, Network::usual(), seed);
        fleet.run(4_000, &load(factor), anywhere(count));
        fleet.clear_counts();
        let holders = [0, 1, 2].map(|organisation| fleet.any_holder(organisation));
        for holder in holders {
            fleet.kill(holder);
        }
        fleet.run(9_000, &load(factor), anywhere(count));
        for holder in holders {
            fleet.start(holder);
        }
        fleet.run(14_000, &load(factor), anywhere(count));
        fleet.assert_bound(&format!("{count} VMs, seed {seed}"));
        if factor < 1.0 {
            // The organisation with the smallest burst has two pools, of which one is left for 2.7 s.
            for organisation in &fleet.organisations[1..] {
                let (refused, sent) = (organisation.refused, organisation.sent);
                assert!(refused * 100 <= sent, "seed {seed}: {refused} of {sent}");
            }
        }
    }
}

/// Guards against a restart of all VMs that gives each of them the whole rate, or their tokens back, and against one after
/// which requests stay refused.
#[rstest]
fn restarted_fleet(#[values(131, 350)] count: u16) {
    let mut tally = RefusalTally::default();
    for seed in 0..SEEDS {
        let mut fleet = PoolFleet::new(count, DOMAINS, &LIMITS, Network::usual(), seed);
        fleet.run(6_000, &load(USUAL * 6.0), anywhere(count));
        (0..usize::from(count)).for_each(|vm| fleet.kill(vm));
        fleet.run(6_300, &load(USUAL * 6.0), anywhere(count));
        (0..usize::from(count)).for_each(|vm| fleet.start(vm));
        fleet.run(12_000, &load(USUAL * 6.0), anywhere(count));
        fleet.run(16_000, &load(0.1), anywhere(count));
        fleet.clear_counts();
        fleet.run(22_000, &load(USUAL), anywhere(count));
        fleet.assert_bound(&format!("{count} VMs, seed {seed}"));
        tally.add(&fleet);
    }
    tally.assert_few(&format!("{count} VMs"));
}

/// Guards against a domain whose links are cut, and which spends the tokens of the others, or against both sides of a
/// domain that is cut in two.
#[rstest]
#[case::whole_domain(1, 1)]
#[case::half(1, 2)]
#[case::third(1, 3)]
#[case::most(2, 3)]
fn partitioned_domain(#[case] part: usize, #[case] of: usize) {
    let count = 131;
    for seed in 0..SEEDS {
        let mut fleet = PoolFleet::new(count, DOMAINS, &LIMITS, Network::usual(), seed);
        fleet.run(4_000, &load(USUAL), anywhere(count));
        let domain = fleet.domain_of(fleet.any_holder(1));
        let mut group = fleet.domain_vms(domain);
        group.truncate(group.len() * part / of);
        fleet.run(5_000, &load(USUAL * 6.0), anywhere(count));
        fleet.set_group_linked(&group, false);
        fleet.run(15_000, &load(USUAL * 6.0), anywhere(count));
        fleet.set_group_linked(&group, true);
        fleet.run(22_000, &load(USUAL * 6.0), anywhere(count));
        fleet.assert_bound(&format!("{part} of {of}, seed {seed}"));
    }
}

/// Guards against a frozen holder that spends, when it wakes, what it believes has come in meanwhile.
#[rstest]
fn frozen_holder(#[values(600, 1_500, 2_000, 4_000)] frozen_ms: u64) {
    let count = 131;
    for seed in 0..SEEDS {
        let mut fleet = PoolFleet::new(count, DOMAINS, &LIMITS, Network::usual(), seed);
        fleet.run(5_000, &load(USUAL * 6.0), anywhere(count));
        let holder = fleet.any_holder(1);
        fleet.freeze(holder);
        fleet.run(5_000 + frozen_ms, &load(USUAL * 6.0), anywhere(count));
        fleet.wake(holder, frozen_ms);
        // Its own callers all come back to it at once.
        fleet.run(12_000, &load(USUAL * 6.0), |random, _| {
            if random.random_bool(0.5) {
                holder
            } else {
                random.random_range(0..usize::from(count))
            }
        });
        fleet.assert_bound(&format!("{frozen_ms} ms, seed {seed}"));
    }
}

/// Guards against two VMs that each believe that they hold a pool, because reports of one do not reach the other for a
/// while.
#[rstest]
fn two_holders(#[values(700, 1_500)] believed_ms: u64) {
    let count = 131;
    for seed in 0..SEEDS {
        let mut fleet = PoolFleet::new(count, DOMAINS, &LIMITS, Network::usual(), seed);
        fleet.run(5_000, &load(USUAL * 6.0), anywhere(count));
        let holder = fleet.any_holder(1);
        let domain = fleet.domain_vms(fleet.domain_of(holder));
        let others: Vec<usize> = domain.into_iter().filter(|vm| *vm != holder).collect();
        let mistaken = &others[..others.len() / 2];
        for other in mistaken {
            fleet.believe(*other, holder, false);
        }
        fleet.run(5_000 + believed_ms, &load(USUAL * 6.0), anywhere(count));
        for other in mistaken {
            fleet.believe(*other, holder, true);
        }
        fleet.run(12_000, &load(USUAL * 6.0), anywhere(count));
        fleet.assert_bound(&format!("{believed_ms} ms, seed {seed}"));
    }
}

/// Guards against small fleets that hold no pool, or not all of the rate: one VM, one domain, and one VM in each domain.
#[rstest]
#[case(1, 1)]
#[case(1, 3)]
#[case(2, 1)]
#[case(3, 3)]
#[case(12, 3)]
fn small_fleets(#[case] count: u16, #[case] domains: u16) {
    let mut tally = RefusalTally::default();
    for seed in 0..SEEDS {
        let mut fleet = PoolFleet::new(count, domains, &LIMITS, Network::usual(), seed);
        fleet.run(2_000, &load(0.0), anywhere(count));
        fleet.run(10_000, &load(0.85), anywhere(count));
        tally.add(&fleet);
        fleet.run(18_000, &load(USUAL * 6.0), anywhere(count));
        fleet.assert_bound(&format!("{count} VMs, seed {seed}"));
    }
    tally.assert_few(&format!("{count} VMs, {domains} domains"));
}

/// Guards against refusals that tell callers to come back at once, all together after a fixed time, or late.
#[test]
fn retry_delays() {
    let mut fleet = PoolFleet::new(131, DOMAINS, &LIMITS, Network::usual(), 1);
    fleet.run(10_000, &load(USUAL * 6.0), anywhere(131));
    for organisation in &fleet.organisations {
        let delays = &organisation.retry_delays;
        let [least, most] = [Duration::from_millis(100), Duration::from_secs(2)];
        assert!(delays.iter().all(|delay| (least..=most).contains(delay)));
        // A token comes in every 50 ms or more often over all pools.
        let short = delays
            .iter()
            .filter(|delay| **delay <= Duration::from_millis(600));
        assert!(short.count() * 10 >= delays.len() * 9);
    }
}

/// Guards against a token that counts twice: as returned and as used, or as lost and again as returned.
#[test]
fn returned_tokens() {
    let (vm, at) = ("vm-1".into(), Duration::from_millis);
    let valid = at(100);
    let mut pool = TokenPool::new(2.0, 10.0, 2.0, at(0));
    assert!(pool.take(TokenKind::Request, &vm, 1, valid, at(0)).is_ok());
    assert!(pool.take(TokenKind::Request, &vm, 2, valid, at(0)).is_ok());
    // Both may still be used, so there is no room for another one.
    assert!(
        pool.take(TokenKind::Request, &vm, 3, valid, at(99))
            .is_err()
    );
    assert!(pool.take_back(&vm, 1, at(99)));
    assert!(!pool.take_back(&vm, 1, at(99)));
    assert!(pool.take(TokenKind::Request, &vm, 4, valid, at(99)).is_ok());
    // The pool has filled up since, and the places of the others are taken.
    assert!((pool.level(at(1_000)) - 2.0).abs() < 1e-3);
    assert!(!pool.take_back(&vm, 2, at(1_000)));
    assert!((pool.level(at(1_000)) - 2.0).abs() < 1e-3);
}

/// Guards against continued streams that borrow more than one second of the rate.
#[test]
fn borrowed_tokens() {
    let (vm, now) = ("vm-1".into(), Duration::ZERO);
    let mut pool = TokenPool::new(0.0, 4.0, 8.0, now);
    let valid = Duration::ZERO;
    assert!(pool.take(TokenKind::Request, &vm, 0, valid, now).is_err());
    let granted = (1..20).filter(|nonce| {
        let taken = pool.take(TokenKind::Continuation, &vm, *nonce, valid, now);
        taken.is_ok()
    });
    assert_eq!(granted.count(), 4);
}

/// Guards against pools too small to keep their tokens, and against an organisation without a pool.
#[rstest]
#[case(1.0, 3, 1)]
#[case(15.9, 3, 1)]
#[case(16.0, 3, 2)]
#[case(1_000.0, 15, 15)]
fn pool_counts(#[case] burst: f64, #[case] domains: usize, #[case] pools: usize) {
    assert_eq!(pool_count(burst, domains), pools);
}
