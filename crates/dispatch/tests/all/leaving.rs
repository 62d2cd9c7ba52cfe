//! Leaving targets get nothing new within 3 s.

use crate::harness::Harness;
use crate::support::fleet;
use plantainmill_core::TargetId;
use plantainmill_dispatch::TrafficClass::{Batch, Online};
use plantainmill_membership::MemberState;
use plantainmill_provider::LoadReport;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(3);

fn report(leaving: bool) -> LoadReport {
    LoadReport {
        running: 1,
        capacity: 8,
        leaving,
        ..LoadReport::default()
    }
}

/// How the target leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Config,
    Report,
    VmList,
    ReportOwnerCut,
}

fn depart(harness: &mut Harness, departure: Departure) {
    match departure {
        Departure::Config => {
            let config = Arc::make_mut(&mut harness.config);
            config.version += 1;
            let targets = Arc::make_mut(&mut config.targets);
            targets.get_mut("t0").unwrap().leaving = true;
            harness.publish();
        }
        Departure::Report => {
            harness.reports.insert("t0".into(), report(true));
        }
        Departure::ReportOwnerCut => {
            harness.reports.insert("t0".into(), report(true));
            let owner = harness.owner_of("t0");
            harness.cut.insert(owner);
        }
        Departure::VmList => {
            let last = harness.states.len() - 1;
            harness.states[last] = MemberState::Leaving;
            harness.publish();
        }
    }
}

/// Guards against work sent to a leaving target by standing tickets, by waiting requests or by a VM whose owner is
/// out of reach.
#[rstest]
fn nothing_new(
    #[values(
        Departure::Config,
        Departure::Report,
        Departure::VmList,
        Departure::ReportOwnerCut
    )]
    departure: Departure,
) {
    // The last VM has the id of the target: the VM list covers target machines as well.
    let mut harness = Harness::new(fleet(2, 8), &[("d0", "r0"); 5]);
    harness.rename_last("t0");
    let targets: [TargetId; 2] = ["t0".into(), "t1".into()];
    for target in targets {
        harness.reports.insert(target, report(false));
    }
    harness.publish();
    let gateways = (0..4).collect::<Vec<usize>>();
    let mut late = Vec::new();
    let mut left = None;
    for step in 0..3_000_u64 {
        let class = if step.is_multiple_of(3) {
            Batch
        } else {
            Online
        };
        let vm = gateways[usize::try_from(step % 4).unwrap()];
        let call = harness.submit(vm, class, "a");
        harness.run(Duration::from_millis(2));
        if left.is_some_and(|left| harness.now >= left + LIMIT) {
            late.push(call);
        }
        if step == 500 {
            depart(&mut harness, departure);
            left = Some(harness.now);
        }
        let running = harness.running.keys().copied().collect::<Vec<_>>();
        for call in running.into_iter().take(3) {
            harness.complete(call);
        }
    }
    harness.granted_on.retain(|call, _| late.contains(call));
    assert!(!harness.granted_on.is_empty());
    assert!(
        harness.granted_on.values().all(|target| target != "t0"),
        "{departure:?}"
    );
}

/// Guards against a new target that gets its full share before it has warmed up.
#[rstest]
fn warm_up() {
    let mut harness = Harness::new(fleet(1, 32), &[("d0", "r0")]);
    harness.config = Arc::new(fleet(2, 32));
    Arc::make_mut(&mut harness.config).version = 2;
    harness.publish();
    for _ in 0..64 {
        harness.submit(0, Online, "a");
    }
    harness.run(Duration::from_millis(100));
    assert!(harness.in_flight("t1") <= 2);
    harness.run(Duration::from_secs(20));
    for _ in 0..64 {
        harness.submit(0, Online, "a");
    }
    harness.run(Duration::from_millis(100));
    assert!(harness.in_flight("t1") >= 16);
}
