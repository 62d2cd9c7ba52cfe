//! Single failures that the slot limiter has to tolerate.

use crate::fleet::{SimFleet, config, excess};
use plantainmill_fakes::PlatformFault;
use std::time::Duration;

/// Tolerance for rounding in the oracle's floating-point sums.
const ROUNDING: f64 = 1e-6;
/// Rate and burst of the organisation under test.
const RATE: f64 = 10.0;
const BURST: u32 = 32;

fn fleet(seed: u64) -> SimFleet {
    let mut fleet = SimFleet::new(3, 2, &config(1, &[("kandy", RATE, BURST)]), seed);
    fleet.run(Duration::from_secs(5));
    fleet
}

/// Sends a request every 50 ms to one of `vms`, and returns the number admitted.
fn load(fleet: &mut SimFleet, vms: &[usize], time: Duration) -> usize {
    let before = fleet.decisions.len();
    let end = fleet.now + time;
    while fleet.now < end {
        let turn = usize::try_from(fleet.rng.next() % 1_000).unwrap();
        fleet.request(vms[turn % vms.len()], "kandy");
        fleet.run(Duration::from_millis(50));
        assert!(fleet.multiply_held_slots().is_empty());
    }
    let decisions = fleet.decisions[before..].iter();
    decisions.filter(|decision| decision.admitted).count()
}

fn check_bound(fleet: &SimFleet) {
    let excess = excess(&fleet.decisions, "kandy", RATE, BURST);
    assert!(excess <= ROUNDING, "{excess} above the bound");
}

/// Guards against leases that expire while the table is down. The witnesses have to renew them.
#[test]
fn store_down() {
    let mut fleet = fleet(1);
    fleet.store_fault = PlatformFault::Down;
    fleet.run(Duration::from_hours(1));
    // 0.9 of rate x 60 s, from every VM.
    let admitted = load(&mut fleet, &[0, 1, 2, 3, 4, 5], Duration::from_mins(1));
    assert!(admitted >= 540, "{admitted} of 600 admitted");
    check_bound(&fleet);
}

/// Guards against slots of a lost VM that no other VM takes over.
#[test]
fn vm_lost() {
    let mut fleet = fleet(2);
    let rest = [1, 2, 3, 4, 5];
    fleet.kill(0);
    fleet.publish_members();
    fleet.list_vms();
    load(&mut fleet, &rest, Duration::from_secs(20));
    let active: usize = rest.iter().map(|vm| count_slots(&fleet, *vm)).sum();
    assert_eq!(active, 12);
    let admitted = load(&mut fleet, &rest, Duration::from_mins(1));
    assert!(admitted >= 540, "{admitted} of 600 admitted");
    check_bound(&fleet);
}

/// Guards against two holders, and against a slot without a holder, when a holder that cannot reach the table is
/// wrongly suspected to be dead. It may lose the slot, since its witness has not renewed the lease yet.
#[test]
fn wrongly_suspected() {
    let mut fleet = fleet(3);
    fleet.suspected.insert(0);
    fleet.without_store.insert(0);
    fleet.publish_members();
    load(&mut fleet, &[0, 1], Duration::from_secs(40));
    let all: usize = (0..6).map(|vm| count_slots(&fleet, vm)).sum();
    assert_eq!(all, 12);
    check_bound(&fleet);
}

/// Guards against a VM that resumes after its lease has expired and uses the slot together with its successor.
#[test]
fn paused_holder() {
    let mut fleet = fleet(4);
    fleet.pause(0, Duration::from_secs(45));
    load(&mut fleet, &[0, 1, 3], Duration::from_secs(90));
    check_bound(&fleet);
}

/// Guards against a partitioned domain that stops serving, and against two domains that use the same share.
#[test]
fn partitioned_domain() {
    let mut fleet = fleet(5);
    fleet.partitioned.insert(0);
    fleet.run(Duration::from_secs(30));
    let all: usize = (0..6).map(|vm| count_slots(&fleet, vm)).sum();
    assert_eq!(all, 12);
    load(&mut fleet, &[0, 1, 2, 3, 4, 5], Duration::from_mins(1));
    check_bound(&fleet);
}

/// Guards against an organisation that gets its burst again by being removed and created again.
#[test]
fn removed_organisation() {
    let mut fleet = fleet(6);
    let with = |version| config(version, &[("kandy", RATE, BURST)]);
    for round in 0..5 {
        load(&mut fleet, &[0, 1, 2], Duration::from_secs(2));
        fleet.configure_all(&config(2 + 2 * round, &[]));
        fleet.run(Duration::from_millis(100));
        fleet.configure_all(&with(3 + 2 * round));
        fleet.run(Duration::from_millis(100));
    }
    check_bound(&fleet);
}

/// Guards against old and new shares that are used at the same time while VMs apply a change one after another.
#[test]
fn lagging_vm() {
    let mut fleet = fleet(7);
    for (version, burst) in [(2, 8), (3, 64), (4, 16), (5, 32)] {
        let next = config(version, &[("kandy", RATE, burst)]);
        for vm in 0..6 {
            fleet.configure(vm, &next);
            load(&mut fleet, &[0, 1, 2, 3, 4, 5], Duration::from_secs(3));
        }
    }
    let excess = excess(&fleet.decisions, "kandy", RATE, 64);
    assert!(excess <= ROUNDING, "{excess} above the bound");
}

/// Guards against a raised rate that is never applied.
#[test]
fn raised_rate() {
    let mut fleet = fleet(8);
    fleet.configure_all(&config(2, &[("kandy", 2.0 * RATE, 2 * BURST)]));
    fleet.run(Duration::from_secs(10));
    let admitted = load(&mut fleet, &[0, 1, 2, 3, 4, 5], Duration::from_mins(1));
    assert!(admitted >= 1_080, "{admitted} of 1200 admitted");
}

/// Guards against slots of a stopped VM that remain unused until their lease expires.
#[test]
fn graceful_stop() {
    let mut fleet = fleet(9);
    fleet.drain(0);
    fleet.run(Duration::from_secs(5));
    assert!(fleet.vms[0].state.is_drained());
    fleet.kill(0);
    fleet.publish_members();
    fleet.run(Duration::from_secs(5));
    let active: usize = (1..6).map(|vm| count_slots(&fleet, vm)).sum();
    assert_eq!(active, 12);
}

fn count_slots(fleet: &SimFleet, vm: usize) -> usize {
    fleet.vms[vm].state.active_slots(fleet.now).count()
}
