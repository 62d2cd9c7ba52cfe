//! Leaving targets receive no new requests after 3 s, and new targets warm up.

use crate::harness::Harness;
use crate::support::fleet;
use plantainmill_core::TargetId;
use plantainmill_dispatch::TrafficClass::{Batch, Online};
use plantainmill_membership::MemberState;
use plantainmill_provider::LoadReport;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

const LEAVE_DEADLINE: Duration = Duration::from_secs(3);

fn report(leaving: bool) -> LoadReport {
    LoadReport {
        running: 1,
        capacity: 8,
        leaving,
        ..LoadReport::default()
    }
}

/// How the dispatch nodes find out that the target is leaving.
#[derive(Clone, Copy, Debug)]
enum LeaveSignal {
    Config,
    Report,
    VmList,
    ReportOwnerPartitioned,
}

fn send_leave_signal(harness: &mut Harness, signal: LeaveSignal) {
    match signal {
        LeaveSignal::Config => {
            let config = Arc::make_mut(&mut harness.config);
            config.version += 1;
            let targets = Arc::make_mut(&mut config.targets);
            targets.get_mut("t0").unwrap().leaving = true;
            harness.publish();
        }
        LeaveSignal::Report => {
            harness.reports.insert("t0".into(), report(true));
        }
        LeaveSignal::ReportOwnerPartitioned => {
            harness.reports.insert("t0".into(), report(true));
            let owner = harness.owner_of("t0");
            harness.partitioned.insert(owner);
        }
        LeaveSignal::VmList => {
            let last = harness.states.len() - 1;
            harness.states[last] = MemberState::Leaving;
            harness.publish();
        }
    }
}

/// Guards against requests that reach a leaving target through standing tickets, queued requests or a VM that cannot
/// reach the owner.
#[rstest]
fn no_new_requests(
    #[values(
        LeaveSignal::Config,
        LeaveSignal::Report,
        LeaveSignal::VmList,
        LeaveSignal::ReportOwnerPartitioned
    )]
    signal: LeaveSignal,
) {
    // The last VM has the id of the target, because the VM list also contains the machines of targets.
    let mut harness = Harness::new(fleet(2, 8), &[("d0", "r0"); 5]);
    harness.rename_last("t0");
    let targets: [TargetId; 2] = ["t0".into(), "t1".into()];
    for target in targets {
        harness.reports.insert(target, report(false));
    }
    harness.publish();
    let gateways = (0..4).collect::<Vec<usize>>();
    let mut late_calls = Vec::new();
    let mut left_at = None;
    for step in 0..3_000_u64 {
        let class = if step.is_multiple_of(3) {
            Batch
        } else {
            Online
        };
        let vm = gateways[usize::try_from(step % 4).unwrap()];
        let call = harness.submit(vm, class, "a");
        harness.run(Duration::from_millis(2));
        if left_at.is_some_and(|left_at| harness.now >= left_at + LEAVE_DEADLINE) {
            late_calls.push(call);
        }
        if step == 500 {
            send_leave_signal(&mut harness, signal);
            left_at = Some(harness.now);
        }
        let running = harness.running.keys().copied().collect::<Vec<_>>();
        for call in running.into_iter().take(3) {
            harness.complete(call);
        }
    }
    harness
        .granted_targets
        .retain(|call, _| late_calls.contains(call));
    assert!(!harness.granted_targets.is_empty());
    assert!(
        harness
            .granted_targets
            .values()
            .all(|target| target != "t0"),
        "{signal:?}"
    );
}

/// Guards against a new target that receives its full share before it has warmed up.
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
