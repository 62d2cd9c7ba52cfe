//! Holders that pause, lose the store, stop or compete for chunks.

use crate::support::fleet::{create_body, item_lines};
use crate::support::{TestFleet, run_virtual};
use plantainmill_batch::StopBatch;
use plantainmill_fakes::PlatformFault;
use rstest::rstest;
use std::time::Duration;

/// Guards against results that count twice when a paused holder resumes after its chunks were taken over.
#[test]
fn paused_holder() {
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.script.latency.set(Duration::from_secs(5));
        let first = fleet.start_vm("vm-1", 1);
        let job = fleet.submit(1_000).await;
        tokio::time::sleep(Duration::from_secs(12)).await;
        first.store.set_dead(true);
        fleet.start_vm("vm-2", 1);
        fleet.publish(&["vm-1"]);
        tokio::time::sleep(Duration::from_mins(2)).await;
        first.store.set_dead(false);
        fleet.publish(&[]);
        fleet.check_completed(&job, 1_000).await;
    });
}

/// Guards against work that is discarded because a holder that others see alive could not reach the store for an hour.
#[rstest]
#[case::for_all(true)]
#[case::for_holder(false)]
fn store_down(#[case] for_all: bool) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        let first = fleet.start_vm("vm-1", 1);
        let job = fleet.submit(600).await;
        while fleet.script.total_calls() < 100 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        fleet.start_vm("vm-2", 1);
        if for_all {
            fleet.platform.set_fault(PlatformFault::Down);
        } else {
            first.store.set_down(true);
        }
        tokio::time::sleep(Duration::from_hours(1)).await;
        assert_eq!(
            fleet.script.total_calls(),
            600,
            "items did not continue without the store"
        );
        first.store.set_down(false);
        fleet.platform.set_fault(PlatformFault::None);
        fleet.check_completed(&job, 600).await;
        assert_eq!(fleet.script.total_calls(), 600, "results were discarded");
    });
}

/// Guards against memory use that grows during a store outage: work must pause at the limit and resume later.
#[test]
fn memory_bound() {
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.script.response_bytes.set(256 * 1024);
        let first = fleet.start_vm("vm-1", 1);
        let job = fleet.submit(1_000).await;
        while fleet.script.total_calls() < 10 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        fleet.platform.set_fault(PlatformFault::Down);
        tokio::time::sleep(Duration::from_hours(1)).await;
        let calls = fleet.script.total_calls();
        // 32 MiB of results, and the items that were in flight when the limit was reached.
        assert!(
            calls <= 32 * 4 + 64 + 1,
            "{calls} items ran without the store"
        );
        let dump = first
            .handle
            .service()
            .send(plantainmill_batch::service::DumpBatch);
        let uncommitted = dump.await.unwrap()["unsaved_bytes"].as_u64().unwrap();
        assert!(
            uncommitted <= (32 + 17) * 1024 * 1024,
            "{uncommitted} uncommitted bytes"
        );
        fleet.platform.set_fault(PlatformFault::None);
        fleet.check_completed(&job, 1_000).await;
        assert_eq!(fleet.script.total_calls(), 1_000);
    });
}

/// Guards against a planned stop that aborts items, loses results or keeps its leases.
#[test]
fn graceful_stop() {
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.script.latency.set(Duration::from_secs(2));
        let first = fleet.start_vm("vm-1", 1);
        let job = fleet.submit(1_000).await;
        tokio::time::sleep(Duration::from_secs(11)).await;
        let stop = StopBatch {
            limit: Duration::from_secs(30),
        };
        let left = first.handle.service().send(stop).await.unwrap();
        assert_eq!(left, 0, "chunks were not released");
        let stopped_at = fleet.clock.elapsed();
        fleet.start_vm("vm-2", 1);
        fleet.check_completed(&job, 1_000).await;
        assert_eq!(
            fleet.script.total_calls(),
            1_000,
            "the stop aborted items or lost results"
        );
        // Without a release the leases expire only after a minute.
        assert!(fleet.clock.elapsed() < stopped_at + Duration::from_secs(50));
    });
}

/// Guards against VMs that run the same chunks, and against one VM that gets all of them.
#[test]
fn many_vms() {
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.script.latency.set(Duration::from_secs(1));
        let vms: Vec<_> = (0..20)
            .map(|vm| fleet.start_vm(&format!("vm-{vm}"), 1))
            .collect();
        let job = fleet.submit(20_000).await;
        fleet.check_completed(&job, 20_000).await;
        assert_eq!(fleet.script.total_calls(), 20_000, "items ran twice");
        let working = vms.iter().filter(|vm| vm.store.writes() > 0).count();
        assert!(working >= 15, "only {working} of 20 VMs worked");
    });
}

/// Guards against idle VMs that poll the table too often.
#[test]
fn idle_polls() {
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.start_vm("vm-1", 1);
        tokio::time::sleep(Duration::from_mins(5)).await;
        let before = fleet.platform.counts();
        tokio::time::sleep(Duration::from_hours(1)).await;
        let after = fleet.platform.counts();
        assert_eq!(after.table_writes, before.table_writes);
        // With one read in 20 s each, 350 idle VMs take less than 18 of 2,000 reads/s.
        let reads = after.table_reads - before.table_reads;
        assert!(reads <= 3_600 / 20, "{reads} reads in an hour");
    });
}

/// Guards against starvation of a job behind many earlier jobs whose service has no targets.
#[test]
fn blocked_jobs() {
    use crate::support::CallPlan;
    use plantainmill_core::{Problem, ResultCode};
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.script.set_plan(|item, _, _| match item {
            0..10 => CallPlan::Fail(Problem::new(ResultCode::NoTarget, "scripted")),
            _ => CallPlan::Respond(200),
        });
        for _ in 0..60 {
            fleet.submit(10).await;
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
        let lines = item_lines(20, "assistant");
        let good: String = lines.split_inclusive('\n').skip(10).collect();
        let file = fleet.upload(&good).await;
        let body = create_body(&file);
        let created = fleet.reader().create_job(&"kandy".into(), body, None).await;
        let job = created.unwrap().0;
        fleet.start_vm("vm-1", 1);
        let row = fleet.wait_ended(&job).await;
        assert_eq!(row.counts.completed, 10);
        assert!(fleet.clock.elapsed() < Duration::from_hours(1));
    });
}
