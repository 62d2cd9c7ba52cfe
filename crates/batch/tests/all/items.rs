//! Items that fail, crash their target, may not be repeated, or give way.

use crate::support::world::{create_body, item_lines, item_numbers};
use crate::support::{CallPlan, World, run_virtual};
use plantainmill_core::{Executed, JobId, Problem, ResultCode};
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

fn problem(code: ResultCode, executed: Executed) -> CallPlan {
    CallPlan::Fail(Problem::new(code, "scripted").with_executed(executed))
}

async fn submit_charges(world: &World, items: u64) -> JobId {
    world.submit_lines(&item_lines(items, "charges")).await
}

async fn error_codes(world: &World, job: &str) -> Vec<(u64, String)> {
    let lines = world.lines(&format!("file-{job}-error")).await;
    let codes = lines.iter().map(|line| {
        line["error"]["code"]
            .as_str()
            .unwrap_or("answer")
            .to_owned()
    });
    item_numbers(&lines).into_iter().zip(codes).collect()
}

/// Guards against an item that crashes its target again and again, and against innocent items that fail with it.
#[test]
fn crashing_item() {
    run_virtual(async {
        let world = World::new();
        world.start_vm("vm-1", 1);
        world.start_vm("vm-2", 1);
        let crashed = Rc::new(Cell::new(None::<tokio::time::Instant>));
        world.script.set_plan(move |item, _, _| {
            let now = tokio::time::Instant::now();
            if item == 300 {
                crashed.set(Some(now));
            }
            // All calls that end within the same moment were at the target that crashed.
            match crashed.get() {
                Some(at) if at == now => problem(ResultCode::TargetFailed, Executed::Unknown),
                _ => CallPlan::Answer(200),
            }
        });
        let job = world.submit(1_000).await;
        let counts = world.check_completed(&job, 1_000).await;
        assert_eq!(counts.completed, 999, "innocent items failed");
        assert_eq!(
            error_codes(&world, &job).await,
            [(300, "attempts_used".to_owned())]
        );
        assert_eq!(
            world.script.calls_of(300),
            3,
            "the limit of attempts was not kept"
        );
    });
}

/// Guards against attempts that start over when the holder is lost with the crashing item.
#[test]
fn crash_after_takeover() {
    run_virtual(async {
        let world = World::new();
        let first = world.start_vm("vm-1", 1);
        world.script.set_plan(|item, _, _| match item {
            7 => problem(ResultCode::TargetFailed, Executed::Yes),
            _ => CallPlan::Answer(200),
        });
        let job = world.submit(256).await;
        while world.script.calls_of(7) < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        first.store.set_dead(true);
        world.start_vm("vm-2", 1);
        world.check_completed(&job, 256).await;
        assert_eq!(
            error_codes(&world, &job).await,
            [(7, "attempts_used".to_owned())]
        );
        let calls = world.script.calls_of(7);
        // One attempt was recorded before the second run, which was cut by the loss of its VM.
        assert!(calls <= 4, "{calls} calls");
    });
}

/// Guards against an item that can never be done holding back its job, or losing its reason.
#[rstest]
#[case::unknown_service(ResultCode::UnknownService, "unknown_service")]
#[case::too_large(ResultCode::BodyTooLarge, "body_too_large")]
fn never_possible(#[case] code: ResultCode, #[case] name: &str) {
    let name = name.to_owned();
    run_virtual(async move {
        let world = World::new();
        world.start_vm("vm-1", 1);
        world.script.set_plan(move |item, _, _| match item {
            5 => problem(code, Executed::No),
            6 => CallPlan::Answer(422),
            _ => CallPlan::Answer(200),
        });
        let job = world.submit(300).await;
        let counts = world.check_completed(&job, 300).await;
        assert_eq!((counts.completed, counts.failed), (298, 2));
        let expected = [(5, name), (6, "answer".to_owned())];
        assert_eq!(error_codes(&world, &job).await, expected);
        assert_eq!(
            world.script.total_calls(),
            300,
            "a final failure was repeated"
        );
    });
}

/// Guards against calls that may not be repeated and are, when their VM is lost in the middle of them.
#[test]
fn at_most_once() {
    run_virtual(async {
        let world = World::new();
        world.start_vm("vm-1", 1);
        world
            .script
            .set_plan(|item, earlier, _| match (item, earlier) {
                (100, 0) => CallPlan::KillVm,
                _ => CallPlan::Answer(200),
            });
        let job = submit_charges(&world, 400).await;
        tokio::time::sleep(Duration::from_secs(30)).await;
        world.start_vm("vm-2", 1);
        let counts = world.check_completed(&job, 400).await;
        let calls = world.script.calls.borrow().clone();
        assert!(
            calls.values().all(|count| *count == 1),
            "a call was repeated"
        );
        let codes = error_codes(&world, &job).await;
        assert!(codes.iter().all(|(_, code)| code == "outcome_unknown"));
        // Both chunks had at most one group of recorded starts open.
        assert!(
            (1..=64).contains(&counts.failed),
            "{} unknown outcomes",
            counts.failed
        );
    });
}

/// Guards against repeating a non-repeatable call with an unknown outcome, and against giving up one that
/// certainly did not run.
#[test]
fn once_problems() {
    run_virtual(async {
        let world = World::new();
        world.start_vm("vm-1", 1);
        world
            .script
            .set_plan(|item, earlier, _| match (item, earlier) {
                (3, _) => problem(ResultCode::TargetFailed, Executed::Unknown),
                (4, 0) => problem(ResultCode::TargetFailed, Executed::No),
                (5, 0) => problem(ResultCode::Preempted, Executed::No),
                (6, _) => problem(ResultCode::Preempted, Executed::Unknown),
                _ => CallPlan::Answer(200),
            });
        let job = submit_charges(&world, 40).await;
        world.check_completed(&job, 40).await;
        let failed: Vec<_> = error_codes(&world, &job)
            .await
            .into_iter()
            .map(|(item, _)| item)
            .collect();
        assert_eq!(failed, [3, 6]);
        let calls: Vec<_> = (3..7).map(|item| world.script.calls_of(item)).collect();
        assert_eq!(calls, [1, 2, 2, 1]);
    });
}

/// Guards against attempts lost by items that gave way or found no place, however often that happens.
#[rstest]
#[case::preempted(ResultCode::Preempted)]
#[case::queue_full(ResultCode::QueueFull)]
#[case::no_target(ResultCode::NoTarget)]
fn loses_no_attempt(#[case] code: ResultCode) {
    run_virtual(async move {
        let world = World::new();
        world.start_vm("vm-1", 1);
        world.script.set_plan(move |item, earlier, _| {
            if item % 10 == 0 && earlier < 8 {
                return problem(code, Executed::No);
            }
            CallPlan::Answer(200)
        });
        let job = world.submit(300).await;
        let counts = world.check_completed(&job, 300).await;
        assert_eq!(counts.completed, 300);
    });
}

/// Guards against a service without targets that takes all chunks of a VM and holds back other jobs.
#[test]
fn holds_back_nobody() {
    run_virtual(async {
        let world = World::new();
        world.start_vm("vm-1", 1);
        world.script.set_plan(|item, _, _| {
            if item >= 1_000 {
                return problem(ResultCode::NoTarget, Executed::No);
            }
            CallPlan::Answer(200)
        });
        let lines = item_lines(6_000, "assistant");
        let stuck: Vec<_> = lines.split_inclusive('\n').skip(1_000).collect();
        let file = world.upload(&stuck.concat()).await;
        let body = create_body(&file);
        world
            .reader()
            .create_job(&"kandy".into(), body, None)
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_secs(30)).await;
        let job = world.submit(1_000).await;
        let started = world.clock.elapsed();
        world.check_completed(&job, 1_000).await;
        let waited = world.clock.elapsed().saturating_sub(started);
        assert!(waited < Duration::from_mins(5), "held back for {waited:?}");
    });
}

/// Guards against a service whose calls wait for their deadline taking the places of another service's items.
#[test]
fn slow_service() {
    run_virtual(async {
        let world = World::new();
        let slow = item_lines(256, "slow-model");
        let fast = item_lines(512, "assistant");
        let fast: String = fast.split_inclusive('\n').skip(256).collect();
        world.script.set_latency(|item| match item {
            0..256 => Duration::from_mins(2),
            _ => Duration::from_millis(100),
        });
        world.submit_lines(&slow).await;
        // The other job is due later, so the slow items start first.
        tokio::time::sleep(Duration::from_secs(10)).await;
        let job = world.submit_lines(&fast).await;
        world.start_vm("vm-1", 1);
        let row = world.wait_ended(&job).await;
        assert_eq!(row.counts.completed, 256);
        assert!(world.clock.elapsed() < Duration::from_mins(1));
    });
}

/// Guards against chunks given up during a long surge of online work, which would miss the idle capacity after it.
#[test]
fn long_surge() {
    run_virtual(async {
        let world = World::new();
        let vm = world.start_vm("vm-1", 1);
        let surge_end = tokio::time::Instant::now() + Duration::from_mins(30);
        world.script.set_plan(move |_, _, _| {
            if tokio::time::Instant::now() < surge_end {
                return problem(ResultCode::Preempted, Executed::No);
            }
            CallPlan::Answer(200)
        });
        let job = world.submit(600).await;
        tokio::time::sleep_until(surge_end).await;
        let writes = vm.store.writes();
        // A claim, and renewals of the holder row.
        assert!(writes <= 30 * 3 + 2, "{writes} writes during the surge");
        world.check_completed(&job, 600).await;
        assert!(world.clock.elapsed() < Duration::from_mins(31));
    });
}
