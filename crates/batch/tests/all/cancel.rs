//! Cancelling a job.

use crate::support::{World, run_virtual};
use plantainmill_batch::rows::JobState;
use rstest::rstest;
use std::time::Duration;

/// A cancelled job's items stop within this time on reachable VMs.
const CANCEL_BAR: Duration = Duration::from_secs(3);

/// Guards against items that go on after a cancel, told by the mesh or, with the mesh cut, by polling.
#[rstest]
fn stops_running(#[values(false, true)] mesh_cut: bool) {
    run_virtual(async move {
        let world = World::new();
        world.script.latency.set(Duration::from_secs(100));
        let first = world.start_vm("vm-1", 1);
        world.start_vm("vm-2", 1);
        let job = world.submit(2_000).await;
        tokio::time::sleep(Duration::from_secs(30)).await;
        assert!(world.script.running.get() > 64, "one VM does not run items");
        world.switch.cut.set(mesh_cut);
        first.handle.cancel("kandy", &job).await.unwrap();
        tokio::time::sleep(CANCEL_BAR).await;
        assert_eq!(world.script.running.get(), 0, "items run after the bar");
        let calls = world.script.total_calls();
        tokio::time::sleep(Duration::from_mins(10)).await;
        assert_eq!(
            world.script.total_calls(),
            calls,
            "items started after the cancel"
        );
        let errors = world.lines(&format!("file-{job}-error")).await;
        assert_eq!(errors.len(), 2_000);
        assert_eq!(errors[0]["error"]["code"], "item_cancelled");
    });
}

/// Guards against a job that is both completed and cancelled, or has items in neither file, when a cancel meets
/// the last commits.
#[rstest]
fn races_completion(
    #[values(
        50, 150, 400, 700, 800, 850, 900, 950, 1_000, 1_050, 1_100, 1_200, 1_500, 2_000
    )]
    at_ms: u64,
) {
    run_virtual(async move {
        let world = World::new();
        let first = world.start_vm("vm-1", 1);
        world.start_vm("vm-2", 1);
        let job = world.submit(600).await;
        while world.script.total_calls() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(Duration::from_millis(at_ms)).await;
        let cancelled = first.handle.cancel("kandy", &job).await;
        let row = world.wait_ended(&job).await;
        if cancelled.is_err() {
            world.check_completed(&job, 600).await;
            return;
        }
        assert_eq!(row.state, JobState::Cancelled);
        let output = world.lines(&format!("file-{job}-output")).await;
        let errors = world.lines(&format!("file-{job}-error")).await;
        assert_eq!(output.len() + errors.len(), 600);
        let counts = world.reader().job_counts(&job, &row).await.unwrap();
        assert_eq!(counts.completed, output.len() as u64);
        assert_eq!(counts.charges, output.len() as u64);
        tokio::time::sleep(Duration::from_mins(5)).await;
        let later = world.lines(&format!("file-{job}-output")).await;
        assert_eq!(later, output, "a result was committed after the cancel");
    });
}

/// Guards against a holder that was cut off from store and mesh for longer than the log of cancels is read back, and
/// that goes on with a cancelled job when it returns.
#[test]
fn returns_after_cancel() {
    run_virtual(async {
        let world = World::new();
        world.script.latency.set(Duration::from_secs(40));
        let first = world.start_vm("vm-1", 1);
        let second = world.start_vm("vm-2", 1);
        second.store.set_down(true);
        let job = world.submit(20_000).await;
        tokio::time::sleep(Duration::from_mins(1)).await;
        world.switch.cut.set(true);
        first.store.set_down(true);
        second.store.set_down(false);
        second.handle.cancel("kandy", &job).await.unwrap();
        tokio::time::sleep(Duration::from_mins(15)).await;
        assert!(
            world.script.running.get() > 0,
            "the cut-off holder has stopped already"
        );
        first.store.set_down(false);
        tokio::time::sleep(CANCEL_BAR).await;
        assert_eq!(world.script.running.get(), 0);
    });
}
