//! Cancelling a job.

use crate::support::{TestFleet, run_virtual};
use plantainmill_batch::rows::JobState;
use rstest::rstest;
use std::time::Duration;

/// A cancelled job's items stop within this time on reachable VMs.
const CANCEL_DEADLINE: Duration = Duration::from_secs(3);

/// Guards against items that keep running after a cancel, which VMs learn from the mesh or, if that is partitioned, by
/// polling.
#[rstest]
fn stops_running(#[values(false, true)] mesh_partitioned: bool) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        fleet.script.latency.set(Duration::from_secs(100));
        let first = fleet.start_vm("vm-1", 1);
        fleet.start_vm("vm-2", 1);
        let job = fleet.submit(2_000).await;
        tokio::time::sleep(Duration::from_secs(30)).await;
        assert!(fleet.script.running.get() > 64, "one VM does not run items");
        fleet.switch.partitioned.set(mesh_partitioned);
        first.handle.cancel("kandy", &job).await.unwrap();
        tokio::time::sleep(CANCEL_DEADLINE).await;
        assert_eq!(
            fleet.script.running.get(),
            0,
            "items still run after the deadline"
        );
        let calls = fleet.script.total_calls();
        tokio::time::sleep(Duration::from_mins(10)).await;
        assert_eq!(
            fleet.script.total_calls(),
            calls,
            "items started after the cancel"
        );
        let errors = fleet.lines(&format!("file-{job}-error")).await;
        assert_eq!(errors.len(), 2_000);
        assert_eq!(errors[0]["error"]["code"], "item_cancelled");
    });
}

/// Guards against a job that is both completed and cancelled, or has items in neither file, when a cancel races the
/// last commits.
#[rstest]
fn races_completion(
    #[values(
        50, 150, 400, 700, 800, 850, 900, 950, 1_000, 1_050, 1_100, 1_200, 1_500, 2_000
    )]
    at_ms: u64,
) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        let first = fleet.start_vm("vm-1", 1);
        fleet.start_vm("vm-2", 1);
        let job = fleet.submit(600).await;
        while fleet.script.total_calls() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(Duration::from_millis(at_ms)).await;
        let cancelled = first.handle.cancel("kandy", &job).await;
        let row = fleet.wait_ended(&job).await;
        if cancelled.is_err() {
            fleet.check_completed(&job, 600).await;
            return;
        }
        assert_eq!(row.state, JobState::Cancelled);
        let output = fleet.lines(&format!("file-{job}-output")).await;
        let errors = fleet.lines(&format!("file-{job}-error")).await;
        assert_eq!(output.len() + errors.len(), 600);
        let counts = fleet.reader().job_counts(&job, &row).await.unwrap();
        assert_eq!(counts.completed, output.len() as u64);
        assert_eq!(counts.charges, output.len() as u64);
        tokio::time::sleep(Duration::from_mins(5)).await;
        let later = fleet.lines(&format!("file-{job}-output")).await;
        assert_eq!(later, output, "a result was committed after the cancel");
    });
}

/// Guards against a holder that continues a cancelled job after it could reach neither store nor mesh for longer than
/// the look-back of the log of cancelled jobs.
#[test]
fn returns_after_cancel() {
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.script.latency.set(Duration::from_secs(40));
        let first = fleet.start_vm("vm-1", 1);
        let second = fleet.start_vm("vm-2", 1);
        second.store.set_down(true);
        let job = fleet.submit(20_000).await;
        tokio::time::sleep(Duration::from_mins(1)).await;
        fleet.switch.partitioned.set(true);
        first.store.set_down(true);
        second.store.set_down(false);
        second.handle.cancel("kandy", &job).await.unwrap();
        tokio::time::sleep(Duration::from_mins(15)).await;
        assert!(
            fleet.script.running.get() > 0,
            "the isolated holder has stopped already"
        );
        first.store.set_down(false);
        tokio::time::sleep(CANCEL_DEADLINE).await;
        assert_eq!(fleet.script.running.get(), 0);
    });
}
