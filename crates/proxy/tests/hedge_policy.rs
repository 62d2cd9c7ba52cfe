//! When requests are hedged, and how much that costs, in virtual time and without a network.

use plantainmill_proxy::relay::{HedgePolicy, HedgeSettings};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

const ROUTE: &str = "questions";
/// Share of all sends by which requests may be hedged, in percent.
const PERCENT: f64 = 5.0;
/// First response of a target that is as fast as usual.
const USUAL_MS: u64 = 40;

/// First responses of a fleet of VMs, each with a policy of its own.
struct HedgedFleet {
    policies: Vec<HedgePolicy>,
    random: StdRng,
    now: Duration,
    sends: u32,
    hedges: u32,
    times_ms: Vec<u64>,
}

impl HedgedFleet {
    fn new(vms: usize, percent: f64, seed: u64) -> HedgedFleet {
        let settings = HedgeSettings {
            percent,
            routes: BTreeMap::new(),
        };
        let policy = || HedgePolicy::new(settings.clone(), Duration::ZERO);
        HedgedFleet {
            policies: std::iter::repeat_with(policy).take(vms).collect(),
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            sends: 0,
            hedges: 0,
            times_ms: Vec::new(),
        }
    }

    /// Time to the first response of a target, in milliseconds, where `slow_share` of the targets take ten times as long.
    fn response_ms(&mut self, slow_share: f64) -> u64 {
        let usual = USUAL_MS + self.random.random_range(0..USUAL_MS / 2);
        if self.random.random_bool(slow_share) {
            usual * 10
        } else {
            usual
        }
    }

    /// Sends one request from a random VM. `has_idle` says whether another target has a slot to spare.
    fn send(&mut self, slow_share: f64, has_idle: bool) {
        self.now += Duration::from_millis(4);
        self.sends += 1;
        let vm = self.random.random_range(0..self.policies.len());
        let first = self.response_ms(slow_share);
        let second = self.response_ms(slow_share);
        let policy = &mut self.policies[vm];
        let delay = policy.record_send(ROUTE, self.now);
        let delay = delay.and_then(|delay| u64::try_from(delay.as_millis()).ok());
        let mut time = first;
        if let Some(delay) = delay.filter(|delay| first > *delay)
            && policy.take(ROUTE)
        {
            if has_idle {
                self.hedges += 1;
                time = first.min(delay + second);
            } else {
                policy.give_back(ROUTE);
            }
        }
        policy.record_response(ROUTE, Duration::from_millis(time), self.now);
        self.times_ms.push(time);
    }

    fn run(mut self, requests: u32, slow_share: f64, has_idle: bool) -> HedgedFleet {
        for _ in 0..requests {
            self.send(slow_share, has_idle);
        }
        self
    }

    fn percentile_ms(&self, per_mille: usize) -> u64 {
        let mut sorted = self.times_ms.clone();
        sorted.sort_unstable();
        sorted[sorted.len() * per_mille / 1_000]
    }

    fn hedged_percent(&self) -> f64 {
        f64::from(self.hedges) * 100.0 / f64::from(self.sends)
    }
}

/// Guards against a tail that stays while a share of the targets within the budget is slow.
#[rstest]
fn slow_targets(#[values(1, 2, 3, 4)] seed: u64) {
    let alone = HedgedFleet::new(12, 0.0, seed).run(8_000, 0.03, true);
    let hedged = HedgedFleet::new(12, PERCENT, seed).run(8_000, 0.03, true);
    assert!(alone.percentile_ms(990) >= 10 * USUAL_MS, "without hedges");
    assert!(
        hedged.percentile_ms(990) <= 5 * USUAL_MS,
        "{} ms",
        hedged.percentile_ms(990)
    );
}

/// Guards against more additional sends than operators allow, at many VMs with few requests each.
#[rstest]
fn kept_budget(#[values(1, 2, 3)] seed: u64, #[values(12, 131, 350)] vms: usize) {
    let fleet = HedgedFleet::new(vms, PERCENT, seed).run(10_000, 0.3, true);
    assert!(
        fleet.hedged_percent() <= PERCENT,
        "{} %",
        fleet.hedged_percent()
    );
}

/// Guards against hedges that buy nothing: all targets are equally slow.
#[rstest]
fn equally_slow(#[values(1, 2, 3)] seed: u64) {
    let fleet = HedgedFleet::new(12, PERCENT, seed).run(8_000, 1.0, true);
    assert!(fleet.hedged_percent() < 0.1, "{} %", fleet.hedged_percent());
}

/// Guards against additional sends while no target has a slot to spare, and against a budget that they use up.
#[rstest]
fn no_spare_slots() {
    let fleet = HedgedFleet::new(12, PERCENT, 1).run(8_000, 0.1, false);
    assert_eq!(fleet.hedges, 0);
    let saved: f64 = fleet.policies.iter().map(HedgePolicy::saved_sends).sum();
    assert!(saved >= 12.0, "{saved} sends");
}

/// Guards against a burst of additional sends after a restart, or after a time without slow requests.
#[rstest]
fn bounded_savings() {
    let mut policy = HedgePolicy::new(
        HedgeSettings {
            percent: PERCENT,
            routes: BTreeMap::new(),
        },
        Duration::ZERO,
    );
    assert!(!policy.take(ROUTE), "empty at the start");
    let mut now = Duration::ZERO;
    for _ in 0..10_000 {
        now += Duration::from_millis(5);
        policy.record_send(ROUTE, now);
    }
    // 200 sends a second save 5 % of two seconds.
    let taken = std::iter::repeat_with(|| policy.take(ROUTE)).take_while(|taken| *taken);
    assert!((19..=21).contains(&taken.count()));
}

/// Guards against hedges on routes for which the operators exclude them.
#[rstest]
fn excluded_route() {
    let settings = HedgeSettings {
        percent: PERCENT,
        routes: BTreeMap::from([(ROUTE.into(), 0.0)]),
    };
    let mut policy = HedgePolicy::new(settings, Duration::ZERO);
    for step in 0..1_000 {
        let now = Duration::from_millis(step * 5);
        policy.record_response(ROUTE, Duration::from_millis(USUAL_MS), now);
        assert_eq!(policy.record_send(ROUTE, now), None);
    }
    assert!(!policy.take(ROUTE));
    assert!(
        policy
            .record_send("other", Duration::from_secs(6))
            .is_none(),
        "no responses are known"
    );
}
