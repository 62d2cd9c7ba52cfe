//! Holders that pause, lose the store, stop or collide.

use crate::support::world::{create_body, item_lines};
use crate::support::{World, run_virtual};
use plantainmill_batch::StopBatch;
use plantainmill_fakes::PlatformFault;
use rstest::rstest;
use std::time::Duration;

/// Guards against results of a holder that was paused, taken over, and resumed.
#[test]
fn paused_holder() {
    run_virtual(async {
        let world = World::new();
        world.script.latency.set(Duration::from_secs(5));
        let first = world.start_vm("vm-1", 1);
        let job = world.submit(1_000).await;
        tokio::time::sleep(Duration::from_secs(12)).await;
        first.store.set_dead(true);
        world.start_vm("vm-2", 1);
        world.publish(&["vm-1"]);
        tokio::time::sleep(Duration::from_mins(2)).await;
        first.store.set_dead(false);
        world.publish(&[]);
        world.check_completed(&job, 1_000).await;
    });
}

/// Guards against work thrown away because a holder that others see alive missed the store for an hour.
#[rstest]
#[case::for_all(true)]
#[case::for_holder(false)]
fn store_down(#[case] for_all: bool) {
    run_virtual(async move {
        let world = World::new();
        let first = world.start_vm("vm-1", 1);
        let job = world.submit(600).await;
        while world.script.total_calls() < 100 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        world.start_vm("vm-2", 1);
        if for_all {
            world.platform.set_fault(PlatformFault::Down);
        } else {
            first.store.set_down(true);
        }
        tokio::time::sleep(Duration::from_hours(1)).await;
        assert_eq!(
            world.script.total_calls(),
            600,
            "items did not go on without the store"
        );
        first.store.set_down(false);
        world.platform.set_fault(PlatformFault::None);
        world.check_completed(&job, 600).await;
        assert_eq!(world.script.total_calls(), 600, "results were thrown away");
    });
}

/// Guards against memory that grows while the store is away: work pauses at the bound and goes on later.
#[test]
fn memory_bound() {
    run_virtual(async {
        let world = World::new();
        world.script.answer_bytes.set(256 * 1024);
        let first = world.start_vm("vm-1", 1);
        let job = world.submit(1_000).await;
        while world.script.total_calls() < 10 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        world.platform.set_fault(PlatformFault::Down);
        tokio::time::sleep(Duration::from_hours(1)).await;
        let calls = world.script.total_calls();
        // 32 MiB of results, and what was in flight when the bound was reached.
        assert!(
            calls <= 32 * 4 + 64 + 1,
            "{calls} items ran without the store"
        );
        let dump = first
            .handle
            .service()
            .send(plantainmill_batch::service::DumpBatch);
        let unsaved = dump.await.unwrap()["unsaved_bytes"].as_u64().unwrap();
        assert!(
            unsaved <= (32 + 17) * 1024 * 1024,
            "{unsaved} bytes are kept"
        );
        world.platform.set_fault(PlatformFault::None);
        world.check_completed(&job, 1_000).await;
        assert_eq!(world.script.total_calls(), 1_000);
    });
}

/// Guards against a planned stop that cuts items, loses results or keeps its leases.
#[test]
fn graceful_stop() {
    run_virtual(async {
        let world = World::new();
        world.script.latency.set(Duration::from_secs(2));
        let first = world.start_vm("vm-1", 1);
        let job = world.submit(1_000).await;
        tokio::time::sleep(Duration::from_secs(11)).await;
        let stop = StopBatch {
            limit: Duration::from_secs(30),
        };
        let left = first.handle.service().send(stop).await.unwrap();
        assert_eq!(left, 0, "chunks were not released");
        let stopped_at = world.clock.elapsed();
        world.start_vm("vm-2", 1);
        world.check_completed(&job, 1_000).await;
        assert_eq!(
            world.script.total_calls(),
            1_000,
            "the stop cut items or lost results"
        );
        // Without a release the chunks lapse only after a minute.
        assert!(world.clock.elapsed() < stopped_at + Duration::from_secs(50));
    });
}

/// Guards against VMs that run the same chunks, or of which one gets all.
#[test]
fn many_vms() {
    run_virtual(async {
        let world = World::new();
        world.script.latency.set(Duration::from_secs(1));
        let vms: Vec<_> = (0..20)
            .map(|vm| world.start_vm(&format!("vm-{vm}"), 1))
            .collect();
        let job = world.submit(20_000).await;
        world.check_completed(&job, 20_000).await;
        assert_eq!(world.script.total_calls(), 20_000, "items ran twice");
        let working = vms.iter().filter(|vm| vm.store.writes() > 0).count();
        assert!(working >= 15, "only {working} of 20 VMs worked");
    });
}

/// Guards against idle VMs that load the table.
#[test]
fn idle_polls() {
    run_virtual(async {
        let world = World::new();
        world.start_vm("vm-1", 1);
        tokio::time::sleep(Duration::from_mins(5)).await;
        let before = world.platform.counts();
        tokio::time::sleep(Duration::from_hours(1)).await;
        let after = world.platform.counts();
        assert_eq!(after.table_writes, before.table_writes);
        // 350 idle VMs at one read in 20 s take less than 18 of 2,000 reads a second.
        let reads = after.table_reads - before.table_reads;
        assert!(reads <= 3_600 / 20, "{reads} reads in an hour");
    });
}

/// Guards against many jobs of a service without targets, all due earlier, that hide the jobs behind them.
#[test]
fn stuck_jobs() {
    use crate::support::CallPlan;
    use plantainmill_core::{Problem, ResultCode};
    run_virtual(async {
        let world = World::new();
        world.script.set_plan(|item, _, _| match item {
            0..10 => CallPlan::Fail(Problem::new(ResultCode::NoTarget, "scripted")),
            _ => CallPlan::Answer(200),
        });
        for _ in 0..60 {
            world.submit(10).await;
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
        let lines = item_lines(20, "assistant");
        let good: String = lines.split_inclusive('\n').skip(10).collect();
        let file = world.upload(&good).await;
        let body = create_body(&file);
        let created = world.reader().create_job(&"kandy".into(), body, None).await;
        let job = created.unwrap().0;
        world.start_vm("vm-1", 1);
        let row = world.wait_ended(&job).await;
        assert_eq!(row.counts.completed, 10);
        assert!(world.clock.elapsed() < Duration::from_hours(1));
    });
}
