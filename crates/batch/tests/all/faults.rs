//! Faults at every step of a job, all verified by the same check.

use crate::support::fleet::{create_body, item_lines};
use crate::support::{CallPlan, FaultKind, Step, TestFleet, run_virtual};
use plantainmill_batch::rows::JobState;
use rstest::rstest;
use std::time::Duration;

/// Items of each job: two full chunks and a partial one.
const ITEMS: u64 = 600;
/// Time after which a client resends its request.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against jobs that are lost, duplicated or partly accepted when accepting one fails at any step. The client
/// resends the request through another VM.
#[rstest]
fn accept_fails(
    #[values(Step::AcceptExpiry, Step::AcceptPut, Step::AcceptCommit)] step: Step,
    #[values(
        FaultKind::KillBefore,
        FaultKind::KillAfter,
        FaultKind::ResponseLost,
        FaultKind::RequestLost,
        FaultKind::Refused
    )]
    kind: FaultKind,
) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        let first = fleet.start_vm("vm-1", 1);
        let second = fleet.start_vm("vm-2", 1);
        let file = fleet.upload(&item_lines(ITEMS, "assistant")).await;
        let organisation = "kandy".into();
        first.store.fail_at(step, 0, kind);
        let create = first
            .handle
            .create(&organisation, create_body(&file), Some("night"));
        let _ = tokio::time::timeout(CLIENT_TIMEOUT, create).await;
        assert!(first.store.fired(), "the step did not happen");
        let again = second
            .handle
            .create(&organisation, create_body(&file), Some("night"));
        let (job, _) = again.await.unwrap();
        fleet.check_completed(&job, ITEMS).await;
    });
}

/// Guards against items that are lost or committed twice when a holder fails at any step.
#[rstest]
fn holder_fails(
    #[values(
        Step::Claim,
        Step::ReadInput,
        Step::SegmentPut,
        Step::ChunkCommit,
        Step::Finish
    )]
    step: Step,
    #[values(
        FaultKind::KillBefore,
        FaultKind::KillAfter,
        FaultKind::ResponseLost,
        FaultKind::RequestLost,
        FaultKind::Refused
    )]
    kind: FaultKind,
    #[values(1, 2)] vms: usize,
) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        let first = fleet.start_vm("vm-1", 1);
        first.store.fail_at(step, 0, kind);
        if vms == 2 {
            fleet.start_vm("vm-2", 1);
        }
        let job = fleet.submit(ITEMS).await;
        tokio::time::sleep(CLIENT_TIMEOUT).await;
        if first.store.is_dead() && vms == 1 {
            // The VM restarts under the same id.
            fleet.start_vm("vm-1", 2);
        }
        let counts = fleet.check_completed(&job, ITEMS).await;
        assert_eq!(counts.completed, ITEMS);
        assert!(vms == 2 || first.store.fired(), "the step did not happen");
    });
}

/// Guards against items that are lost when a VM dies with calls in flight.
#[rstest]
fn dies_running(#[values(0, 255, 599)] item: u64) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        fleet.start_vm("vm-1", 1);
        fleet.script.set_plan(move |number, earlier, _| {
            if number == item && earlier == 0 {
                return CallPlan::KillVm;
            }
            CallPlan::Respond(200)
        });
        let job = fleet.submit(ITEMS).await;
        tokio::time::sleep(CLIENT_TIMEOUT).await;
        fleet.start_vm("vm-2", 1);
        fleet.check_completed(&job, ITEMS).await;
    });
}

/// Guards against a cancel that is lost or undone when its write fails.
#[rstest]
fn cancel_fails(
    #[values(
        FaultKind::KillBefore,
        FaultKind::KillAfter,
        FaultKind::ResponseLost,
        FaultKind::RequestLost,
        FaultKind::Refused
    )]
    kind: FaultKind,
) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        fleet.script.latency.set(Duration::from_secs(20));
        let first = fleet.start_vm("vm-1", 1);
        let second = fleet.start_vm("vm-2", 1);
        let job = fleet.submit(ITEMS).await;
        tokio::time::sleep(Duration::from_secs(10)).await;
        first.store.fail_at(Step::Cancel, 0, kind);
        let cancel = first.handle.cancel("kandy", &job);
        let _ = tokio::time::timeout(CLIENT_TIMEOUT, cancel).await;
        assert!(first.store.fired());
        let row = second.handle.cancel("kandy", &job).await.unwrap();
        assert_eq!(row.state, JobState::Cancelled);
        let calls = fleet.script.total_calls();
        tokio::time::sleep(Duration::from_mins(10)).await;
        fleet.publish_dead();
        assert_eq!(
            fleet.script.total_calls(),
            calls,
            "items started after the cancel"
        );
        let output = fleet.lines(&format!("file-{job}-output")).await;
        let errors = fleet.lines(&format!("file-{job}-error")).await;
        assert_eq!(
            output.len() + errors.len(),
            600,
            "an item is missing or duplicated"
        );
    });
}

/// Guards against orders of events that single faults do not reach: random faults at random steps, with fixed seeds.
#[rstest]
fn random_faults(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    use rand::{RngExt as _, SeedableRng as _};
    run_virtual(async move {
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
        let fleet = TestFleet::new();
        let vms: Vec<_> = (0..4)
            .map(|vm| fleet.start_vm(&format!("vm-{vm}"), 1))
            .collect();
        let job = fleet.submit(3_000).await;
        let steps = [
            Step::Claim,
            Step::ReadInput,
            Step::SegmentPut,
            Step::ChunkCommit,
            Step::Finish,
        ];
        let kinds = [
            FaultKind::ResponseLost,
            FaultKind::RequestLost,
            FaultKind::Refused,
            FaultKind::KillAfter,
        ];
        for _ in 0..20 {
            let vm = &vms[random.random_range(0..3)];
            let step = steps[random.random_range(0..steps.len())];
            let kind = kinds[random.random_range(0..kinds.len())];
            vm.store.fail_at(step, random.random_range(0..2), kind);
            tokio::time::sleep(Duration::from_millis(random.random_range(0..5_000))).await;
            // A killed VM resumes here, as if it had only been paused.
            vm.store.set_dead(false);
        }
        fleet.check_completed(&job, 3_000).await;
    });
}
