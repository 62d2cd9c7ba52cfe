//! Property tests: no interleaving of faults admits more than rate x window + burst in any window.

use crate::fleet::{MeshFaults, SimFleet, config, excess};
use plantainmill_config::{FleetConfig, OrganisationSpec};
use plantainmill_fakes::PlatformFault;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Number of cases per property.
const CASES: u32 = 12;
/// Two VMs in each of three failure domains, so that every slot has exactly one possible witness.
const DOMAINS: usize = 3;
const PER_DOMAIN: usize = 2;
const VMS: usize = DOMAINS * PER_DOMAIN;
/// Tolerance for rounding in the oracle's floating-point sums.
const ROUNDING: f64 = 1e-6;
/// Interval between requests while the fleet runs.
const REQUEST_STEP: Duration = Duration::from_millis(25);

/// One step of a fault schedule.
#[derive(Clone, Debug)]
enum Step {
    Run {
        millis: u64,
    },
    Burst {
        vm: usize,
        requests: u32,
    },
    Pause {
        vm: usize,
        millis: u64,
    },
    Restart {
        vm: usize,
    },
    Kill {
        vm: usize,
    },
    Drain {
        vm: usize,
    },
    Partition {
        domain: usize,
    },
    Heal,
    Store(PlatformFault),
    Mesh {
        lost: u64,
        duplicated: u64,
        late: u64,
    },
    Configure {
        vms: u8,
        version: usize,
    },
    PublishMembers,
    ListVms,
    Isolate {
        vm: usize,
    },
    LoseStore {
        vm: usize,
    },
    Suspect {
        vm: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..VMS;
    let faults = prop_oneof![
        3 => Just(PlatformFault::None),
        1 => Just(PlatformFault::Down),
        1 => Just(PlatformFault::AnswerLost),
    ];
    prop_oneof![
        8 => (100_u64..14_000).prop_map(|millis| Step::Run { millis }),
        3 => (vm.clone(), 1_u32..60).prop_map(|(vm, requests)| Step::Burst { vm, requests }),
        3 => (vm.clone(), 500_u64..30_000).prop_map(|(vm, millis)| Step::Pause { vm, millis }),
        1 => vm.clone().prop_map(|vm| Step::Restart { vm }),
        1 => vm.clone().prop_map(|vm| Step::Kill { vm }),
        1 => vm.clone().prop_map(|vm| Step::Drain { vm }),
        1 => vm.clone().prop_map(|vm| Step::Isolate { vm }),
        2 => vm.clone().prop_map(|vm| Step::LoseStore { vm }),
        2 => vm.prop_map(|vm| Step::Suspect { vm }),
        1 => (0..DOMAINS).prop_map(|domain| Step::Partition { domain }),
        1 => Just(Step::Heal),
        2 => faults.prop_map(Step::Store),
        2 => (0_u64..40, 0_u64..40, 0_u64..30)
            .prop_map(|(lost, duplicated, late)| Step::Mesh { lost, duplicated, late }),
        2 => (any::<u8>(), 0_usize..5).prop_map(|(vms, version)| Step::Configure { vms, version }),
        2 => Just(Step::PublishMembers),
        1 => Just(Step::ListVms),
    ]
}

/// Configurations that a schedule may apply. Widths grow and shrink, and the organisation `large` is removed and
/// created again.
fn versions() -> Vec<Arc<FleetConfig>> {
    let small = ("small", 1.0 / 60.0, 1);
    vec![
        config(1, &[small, ("large", 12.0, 30)]),
        config(2, &[small, ("large", 12.0, 2)]),
        config(3, &[small]),
        config(4, &[small, ("large", 6.0, 5)]),
        config(5, &[small, ("large", 12.0, 1)]),
    ]
}

fn apply(
    fleet: &mut SimFleet,
    step: &Step,
    versions: &[Arc<FleetConfig>],
) -> Result<(), TestCaseError> {
    match *step {
        Step::Run { millis } => run(fleet, Duration::from_millis(millis))?,
        Step::Burst { vm, requests } => {
            for _ in 0..requests {
                fleet.request(vm, "large");
            }
        }
        Step::Pause { vm, millis } => fleet.pause(vm, Duration::from_millis(millis)),
        Step::Restart { vm } => fleet.restart(vm),
        Step::Kill { vm } => fleet.kill(vm),
        Step::Drain { vm } => fleet.drain(vm),
        Step::Partition { domain } => {
            fleet.partitioned.insert(domain);
        }
        Step::Heal => {
            fleet.partitioned.clear();
            fleet.isolated.clear();
            fleet.without_store.clear();
            fleet.suspected.clear();
            fleet.publish_members();
        }
        Step::Isolate { vm } => {
            fleet.isolated.insert(vm);
        }
        Step::LoseStore { vm } => {
            fleet.without_store.insert(vm);
        }
        Step::Suspect { vm } => {
            fleet.suspected.insert(vm);
            fleet.publish_members();
        }
        Step::Store(fault) => fleet.store_fault = fault,
        Step::Mesh {
            lost,
            duplicated,
            late,
        } => {
            fleet.faults = MeshFaults {
                lost,
                duplicated,
                late,
            };
        }
        Step::Configure { vms, version } => {
            for vm in (0..VMS).filter(|vm| vms & (1 << vm) != 0) {
                let Some(next) = versions.get(version) else {
                    continue;
                };
                if next.version > fleet.vms[vm].config.version {
                    fleet.configure(vm, next);
                }
            }
        }
        Step::PublishMembers => fleet.publish_members(),
        Step::ListVms => fleet.list_vms(),
    }
    Ok(())
}

/// Runs the fleet under load. Fails when two VMs may use one slot.
fn run(fleet: &mut SimFleet, time: Duration) -> Result<(), TestCaseError> {
    let end = fleet.now + time;
    while fleet.now < end {
        let vm = usize::try_from(fleet.rng.below(6)).unwrap();
        fleet.request(vm, "large");
        fleet.request(vm, "small");
        fleet.run(REQUEST_STEP);
        let multiply_held = fleet.multiply_held_slots();
        prop_assert!(multiply_held.is_empty(), "two holders of {multiply_held:?}");
    }
    Ok(())
}

/// Runs `steps` on `fleet` and checks the bound of both organisations.
fn check(
    mut fleet: SimFleet,
    versions: &[Arc<FleetConfig>],
    steps: &[Step],
) -> Result<SimFleet, TestCaseError> {
    run(&mut fleet, Duration::from_secs(3))?;
    for step in steps {
        apply(&mut fleet, step, versions)?;
    }
    run(&mut fleet, Duration::from_secs(15))?;
    let large = |config: &Arc<FleetConfig>| config.organisations.get("large").cloned();
    let specs: Vec<OrganisationSpec> = versions.iter().filter_map(large).collect();
    let rate = specs.iter().map(|spec| spec.rate).fold(0.0, f64::max);
    let burst = specs.iter().map(|spec| spec.burst).max().unwrap_or(0);
    let decided: BTreeSet<u64> = fleet
        .decisions
        .iter()
        .map(|decision| decision.label)
        .collect();
    prop_assert_eq!(
        decided.len(),
        fleet.decisions.len(),
        "a request was decided more than once"
    );
    let small = excess(&fleet.decisions, "small", 1.0 / 60.0, 1);
    prop_assert!(small <= ROUNDING, "small: {small} above the bound");
    let large = excess(&fleet.decisions, "large", rate, burst);
    prop_assert!(large <= ROUNDING, "large: {large} above the bound");
    Ok(fleet)
}

fn runner(seed: u8) -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(
        config,
        TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]),
    )
}

/// Guards against orders of message faults, pauses, takeovers, partitions and configuration changes that exceed the
/// bound.
#[test]
fn any_schedule() {
    let versions = versions();
    let schedules = (any::<u64>(), prop::collection::vec(step(), 5..25));
    let result = runner(1).run(&schedules, |(seed, steps)| {
        let fleet = SimFleet::new(DOMAINS, PER_DOMAIN, &versions[0], seed);
        check(fleet, &versions, &steps).map(drop)
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against a fault in one slot that unused shares of other slots would hide: with a single slot, the bound of
/// the slot is that of the organisation.
#[test]
fn single_slot() {
    let small = ("small", 1.0 / 60.0, 1);
    let versions = [config(1, &[small, ("large", 8.0, 8)])];
    let schedules = (any::<u64>(), prop::collection::vec(step(), 5..25));
    let result = runner(3).run(&schedules, |(seed, steps)| {
        let fleet = SimFleet::with_slots(1, VMS, 1, &versions[0], seed);
        check(fleet, &versions, &steps).map(drop)
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against a bound that holds only because nothing is admitted: under pauses and mesh faults alone, the fleet
/// has to keep serving.
#[test]
fn schedules_serve() {
    let versions = versions();
    let pauses = (0..VMS, 500_u64..30_000).prop_map(|(vm, millis)| Step::Pause { vm, millis });
    let runs = (1_000_u64..9_000).prop_map(|millis| Step::Run { millis });
    let mesh = (0_u64..20).prop_map(|lost| Step::Mesh {
        lost,
        duplicated: 10,
        late: 5,
    });
    let steps = prop::collection::vec(prop_oneof![1 => pauses, 3 => runs, 1 => mesh], 5..15);
    let result = runner(2).run(&(any::<u64>(), steps), |(seed, steps)| {
        let fleet = SimFleet::new(DOMAINS, PER_DOMAIN, &versions[0], seed);
        let fleet = check(fleet, &versions, &steps)?;
        let admitted = fleet.decisions.iter().filter(|decision| decision.admitted);
        let admitted = admitted.count();
        prop_assert!(admitted >= 60, "{admitted} admitted in at least 18 s");
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
