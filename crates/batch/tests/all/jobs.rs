//! Jobs from creation to completion, mostly without faults.

use crate::support::{FaultKind, Step, TestFleet, run_virtual};
use plantainmill_provider::{TableStore as _, TableWrite};
use rstest::rstest;
use std::time::Duration;

/// Guards against items that are lost at chunk boundaries or between VMs.
#[rstest]
#[case::one_item(1, 1)]
#[case::boundary(256, 1)]
#[case::past_boundary(257, 2)]
#[case::several_vms(5_000, 3)]
fn completes_all_items(#[case] items: u64, #[case] vms: usize) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        for vm in 0..vms {
            fleet.start_vm(&format!("vm-{vm}"), 1);
        }
        let job = fleet.submit(items).await;
        let counts = fleet.check_completed(&job, items).await;
        assert_eq!(counts.completed, items);
        assert_eq!(fleet.script.total_calls(), items, "an item ran twice");
    });
}

/// Guards against results that can only be read once the job has ended.
#[test]
fn reads_early() {
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.script.latency.set(Duration::from_secs(10));
        fleet.start_vm("vm-1", 1);
        let job = fleet.submit(1_000).await;
        let mut partial = 0;
        while partial == 0 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            partial = fleet.lines(&format!("file-{job}-output")).await.len();
        }
        assert!(partial < 1_000);
        fleet.check_completed(&job, 1_000).await;
    });
}

/// Guards against too many table writes: large jobs may need at most one per 200 items.
#[rstest]
#[case::one_vm(50_000, 1)]
#[case::many_vms(50_000, 20)]
fn writes_per_item(#[case] items: u64, #[case] vms: usize) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        fleet.script.latency.set(Duration::from_secs(1));
        let vms: Vec<_> = (0..vms)
            .map(|vm| fleet.start_vm(&format!("vm-{vm}"), 1))
            .collect();
        let job = fleet.submit(items).await;
        fleet.check_completed(&job, items).await;
        let writes: u64 = vms.iter().map(|vm| vm.store.writes()).sum();
        assert!(writes * 200 <= items, "{writes} writes for {items} items");
    });
}

/// Guards against a malformed row of one job that blocks claims of all jobs or loses claimed chunks.
#[test]
fn malformed_row() {
    run_virtual(async {
        let fleet = TestFleet::new();
        let good = fleet.submit(300).await;
        let bad = fleet.submit(300).await;
        let last = fleet.submit(300).await;
        let write = TableWrite::new().put(
            format!("chunk/{bad}/00000"),
            serde_json::json!({"epoch": "x"}),
        );
        fleet.platform.commit(write).await.unwrap();
        fleet.start_vm("vm-1", 1);
        fleet.check_completed(&good, 300).await;
        fleet.check_completed(&last, 300).await;
    });
}

/// Guards against claimed chunks that never run because the store fails later in the same claim round.
#[test]
fn failed_round() {
    run_virtual(async {
        let fleet = TestFleet::new();
        let jobs = [fleet.submit(300).await, fleet.submit(300).await];
        let vm = fleet.start_vm("vm-1", 1);
        // The second job's claim fails.
        vm.store.fail_at(Step::Claim, 1, FaultKind::Refused);
        for job in jobs {
            fleet.check_completed(&job, 300).await;
        }
        assert!(vm.store.fired());
        assert!(
            fleet.clock.elapsed() < Duration::from_mins(2),
            "a claimed chunk did not run"
        );
    });
}
