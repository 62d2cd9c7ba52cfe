//! A job's whole path without faults.

use crate::support::{World, run_virtual};
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
