//! The bound: all VMs together admit at most rate x window + burst of an organisation.

use crate::fleet::{SimFleet, config, excess};
use std::time::Duration;

/// Tolerance for rounding in the oracle's floating-point sums.
const ROUNDING: f64 = 1e-6;

/// Guards against shares that go unused: a healthy fleet starts with full buckets and serves the burst and then the
/// rate.
#[test]
fn healthy_fleet() {
    let config = config(1, &[("kandy", 20.0, 20)]);
    let mut fleet = SimFleet::new(3, 4, &config, 1);
    fleet.run(Duration::from_secs(5));
    for _ in 0..3_000 {
        let vm = usize::try_from(fleet.rng.below(12)).unwrap();
        fleet.request(vm, "kandy");
        fleet.run(Duration::from_millis(10));
    }
    fleet.run(Duration::from_secs(1));
    let admitted = fleet
        .decisions
        .iter()
        .filter(|decision| decision.admitted)
        .count();
    assert!(excess(&fleet.decisions, "kandy", 20.0, 20) <= ROUNDING);
    // 0.95 of rate x 30 s + burst.
    assert!(admitted >= 589, "{admitted} of 620 admitted");
}
