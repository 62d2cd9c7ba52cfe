//! A fault at every step of a job's life, with one checker for all.

use crate::support::world::{create_body, item_lines};
use crate::support::{CallPlan, FaultKind, Step, World, run_virtual};
use plantainmill_batch::rows::JobState;
use rstest::rstest;
use std::time::Duration;

/// Items of each job: two full chunks and a part of one.
const ITEMS: u64 = 600;
/// Time after which a client sends its request again.
const CLIENT_PATIENCE: Duration = Duration::from_secs(30);

/// Guards against jobs that are lost, doubled or accepted in part when an accept fails at any step. The client
/// sends the request again through another VM until it is acknowledged.
#[rstest]
fn accept_fails(
    #[values(Step::AcceptMark, Step::AcceptPut, Step::AcceptCommit)] step: Step,
    #[values(
        FaultKind::KillBefore,
        FaultKind::KillAfter,
        FaultKind::AnswerLost,
        FaultKind::CallLost,
        FaultKind::Refused
    )]
    kind: FaultKind,
) {
    run_virtual(async move {
        let world = World::new();
        let first = world.start_vm("vm-1", 1);
        let second = world.start_vm("vm-2", 1);
        let file = world.upload(&item_lines(ITEMS, "assistant")).await;
        let organisation = "kandy".into();
        first.store.fail_at(step, 0, kind);
        let create = first
            .handle
            .create(&organisation, create_body(&file), Some("night"));
        let _ = tokio::time::timeout(CLIENT_PATIENCE, create).await;
        assert!(first.store.fired(), "the step did not happen");
        let again = second
            .handle
            .create(&organisation, create_body(&file), Some("night"));
        let (job, _) = again.await.unwrap();
        world.check_completed(&job, ITEMS).await;
    });
}

/// Guards against items lost or done twice when a holder fails at any step of its work.
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
        FaultKind::AnswerLost,
        FaultKind::CallLost,
        FaultKind::Refused
    )]
    kind: FaultKind,
    #[values(1, 2)] vms: usize,
) {
    run_virtual(async move {
        let world = World::new();
        let first = world.start_vm("vm-1", 1);
        first.store.fail_at(step, 0, kind);
        if vms == 2 {
            world.start_vm("vm-2", 1);
        }
        let job = world.submit(ITEMS).await;
        tokio::time::sleep(CLIENT_PATIENCE).await;
        if first.store.is_dead() && vms == 1 {
            // The VM is replaced at the same name.
            world.start_vm("vm-1", 2);
        }
        let counts = world.check_completed(&job, ITEMS).await;
        assert_eq!(counts.completed, ITEMS);
        assert!(vms == 2 || first.store.fired(), "the step did not happen");
    });
}

/// Guards against items lost when a VM dies with calls in flight.
#[rstest]
fn dies_running(#[values(0, 255, 599)] item: u64) {
    run_virtual(async move {
        let world = World::new();
        world.start_vm("vm-1", 1);
        world.script.set_plan(move |number, earlier, _| {
            if number == item && earlier == 0 {
                return CallPlan::KillVm;
            }
            CallPlan::Answer(200)
        });
        let job = world.submit(ITEMS).await;
        tokio::time::sleep(CLIENT_PATIENCE).await;
        world.start_vm("vm-2", 1);
        world.check_completed(&job, ITEMS).await;
    });
}

/// Guards against a cancel that is lost, or that is taken back, when it fails at its write.
#[rstest]
fn cancel_fails(
    #[values(
        FaultKind::KillBefore,
        FaultKind::KillAfter,
        FaultKind::AnswerLost,
        FaultKind::CallLost,
        FaultKind::Refused
    )]
    kind: FaultKind,
) {
    run_virtual(async move {
        let world = World::new();
        world.script.latency.set(Duration::from_secs(20));
        let first = world.start_vm("vm-1", 1);
        let second = world.start_vm("vm-2", 1);
        let job = world.submit(ITEMS).await;
        tokio::time::sleep(Duration::from_secs(10)).await;
        first.store.fail_at(Step::Cancel, 0, kind);
        let cancel = first.handle.cancel("kandy", &job);
        let _ = tokio::time::timeout(CLIENT_PATIENCE, cancel).await;
        assert!(first.store.fired());
        let row = second.handle.cancel("kandy", &job).await.unwrap();
        assert_eq!(row.state, JobState::Cancelled);
        let calls = world.script.total_calls();
        tokio::time::sleep(Duration::from_mins(10)).await;
        world.publish_dead();
        assert_eq!(
            world.script.total_calls(),
            calls,
            "items started after the cancel"
        );
        let output = world.lines(&format!("file-{job}-output")).await;
        let errors = world.lines(&format!("file-{job}-error")).await;
        assert_eq!(
            output.len() + errors.len(),
            600,
            "an item is missing or double"
        );
    });
}

/// Guards against unlucky orders of events that single faults do not reach: random faults at random steps, with
/// fixed seeds.
#[rstest]
fn random_faults(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    use rand::{RngExt as _, SeedableRng as _};
    run_virtual(async move {
        let mut random = rand::rngs::SmallRng::seed_from_u64(seed);
        let world = World::new();
        let vms: Vec<_> = (0..4)
            .map(|vm| world.start_vm(&format!("vm-{vm}"), 1))
            .collect();
        let job = world.submit(3_000).await;
        let steps = [
            Step::Claim,
            Step::ReadInput,
            Step::SegmentPut,
            Step::ChunkCommit,
            Step::Finish,
        ];
        let kinds = [
            FaultKind::AnswerLost,
            FaultKind::CallLost,
            FaultKind::Refused,
            FaultKind::KillAfter,
        ];
        for _ in 0..20 {
            let vm = &vms[random.random_range(0..3)];
            let step = steps[random.random_range(0..steps.len())];
            let kind = kinds[random.random_range(0..kinds.len())];
            vm.store.fail_at(step, random.random_range(0..2), kind);
            tokio::time::sleep(Duration::from_millis(random.random_range(0..5_000))).await;
            // A killed VM may turn out to have been paused only.
            vm.store.set_dead(false);
        }
        world.check_completed(&job, 3_000).await;
    });
}
