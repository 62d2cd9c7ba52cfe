//! A job's whole path without faults.

use crate::support::{FaultKind, Step, World, run_virtual};
use plantainmill_provider::{TableStore as _, TableWrite};
use rstest::rstest;
use std::time::Duration;

/// Guards against items lost at chunk borders and between VMs.
#[rstest]
#[case::one_item(1, 1)]
#[case::border(256, 1)]
#[case::past_border(257, 2)]
#[case::several_vms(5_000, 3)]
fn completes_whole(#[case] items: u64, #[case] vms: usize) {
    run_virtual(async move {
        let world = World::new();
        for vm in 0..vms {
            world.start_vm(&format!("vm-{vm}"), 1);
        }
        let job = world.submit(items).await;
        let counts = world.check_completed(&job, items).await;
        assert_eq!(counts.completed, items);
        assert_eq!(world.script.total_calls(), items, "an item ran twice");
    });
}

/// Guards against results that cannot be read before the job ends.
#[test]
fn reads_early() {
    run_virtual(async {
        let world = World::new();
        world.script.latency.set(Duration::from_secs(10));
        world.start_vm("vm-1", 1);
        let job = world.submit(1_000).await;
        let mut partial = 0;
        while partial == 0 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            partial = world.lines(&format!("file-{job}-output")).await.len();
        }
        assert!(partial < 1_000);
        world.check_completed(&job, 1_000).await;
    });
}

/// Guards against table writes that grow with the items: at most one in 200 items on large jobs.
#[rstest]
#[case::one_vm(50_000, 1)]
#[case::many_vms(50_000, 20)]
fn writes_per_item(#[case] items: u64, #[case] vms: usize) {
    run_virtual(async move {
        let world = World::new();
        world.script.latency.set(Duration::from_secs(1));
        let vms: Vec<_> = (0..vms)
            .map(|vm| world.start_vm(&format!("vm-{vm}"), 1))
            .collect();
        let job = world.submit(items).await;
        world.check_completed(&job, items).await;
        let writes: u64 = vms.iter().map(|vm| vm.store.writes()).sum();
        assert!(writes * 200 <= items, "{writes} writes for {items} items");
    });
}

/// Guards against a malformed row of one job that stops the claims of all jobs, or that loses claimed chunks.
#[test]
fn malformed_row() {
    run_virtual(async {
        let world = World::new();
        let good = world.submit(300).await;
        let bad = world.submit(300).await;
        let last = world.submit(300).await;
        let write = TableWrite::new().put(
            format!("chunk/{bad}/00000"),
            serde_json::json!({"epoch": "x"}),
        );
        world.platform.commit(write).await.unwrap();
        world.start_vm("vm-1", 1);
        world.check_completed(&good, 300).await;
        world.check_completed(&last, 300).await;
    });
}

/// Guards against claimed chunks that are forgotten when the store fails later in the same round.
#[test]
fn failed_round() {
    run_virtual(async {
        let world = World::new();
        let jobs = [world.submit(300).await, world.submit(300).await];
        let vm = world.start_vm("vm-1", 1);
        // The second job's claim fails.
        vm.store.fail_at(Step::Claim, 1, FaultKind::Refused);
        for job in jobs {
            world.check_completed(&job, 300).await;
        }
        assert!(vm.store.fired());
        assert!(
            world.clock.elapsed() < Duration::from_mins(2),
            "a chunk was forgotten"
        );
    });
}
