//! Items that fail, crash their target, are non-repeatable, or are preempted.

use crate::support::fleet::{create_body, item_lines, item_numbers};
use crate::support::{CallPlan, TestFleet, run_virtual};
use plantainmill_core::{Executed, JobId, Problem, ResultCode};
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

fn problem(code: ResultCode, executed: Executed) -> CallPlan {
    CallPlan::Fail(Problem::new(code, "scripted").with_executed(executed))
}

async fn submit_charges(fleet: &TestFleet, items: u64) -> JobId {
    fleet.submit_lines(&item_lines(items, "charges")).await
}

async fn error_codes(fleet: &TestFleet, job: &str) -> Vec<(u64, String)> {
    let lines = fleet.lines(&format!("file-{job}-error")).await;
    let codes = lines.iter().map(|line| {
        line["error"]["code"]
            .as_str()
            .unwrap_or("response")
            .to_owned()
    });
    item_numbers(&lines).into_iter().zip(codes).collect()
}

/// Guards against an item that crashes its target without limit, and against failures of items that ran beside it.
#[test]
fn crashing_item() {
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.start_vm("vm-1", 1);
        fleet.start_vm("vm-2", 1);
        let crashed = Rc::new(Cell::new(None::<tokio::time::Instant>));
        fleet.script.set_plan(move |item, _, _| {
            let now = tokio::time::Instant::now();
            if item == 300 {
                crashed.set(Some(now));
            }
            // All calls that end at the same instant were at the target that crashed.
            match crashed.get() {
                Some(at) if at == now => problem(ResultCode::TargetFailed, Executed::Unknown),
                _ => CallPlan::Respond(200),
            }
        });
        let job = fleet.submit(1_000).await;
        let counts = fleet.check_completed(&job, 1_000).await;
        assert_eq!(
            counts.completed, 999,
            "items other than the crashing one failed"
        );
        assert_eq!(
            error_codes(&fleet, &job).await,
            [(300, "attempts_used".to_owned())]
        );
        assert_eq!(
            fleet.script.calls_of(300),
            3,
            "the limit of attempts was not enforced"
        );
    });
}

/// Guards against a count of attempts that restarts at zero when the holder of a crashing item is lost.
#[test]
fn crash_after_takeover() {
    run_virtual(async {
        let fleet = TestFleet::new();
        let first = fleet.start_vm("vm-1", 1);
        fleet.script.set_plan(|item, _, _| match item {
            7 => problem(ResultCode::TargetFailed, Executed::Yes),
            _ => CallPlan::Respond(200),
        });
        let job = fleet.submit(256).await;
        while fleet.script.calls_of(7) < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        first.store.set_dead(true);
        fleet.start_vm("vm-2", 1);
        fleet.check_completed(&job, 256).await;
        assert_eq!(
            error_codes(&fleet, &job).await,
            [(7, "attempts_used".to_owned())]
        );
        let calls = fleet.script.calls_of(7);
        // One attempt was recorded before the second run, which the loss of its VM interrupted.
        assert!(calls <= 4, "{calls} calls");
    });
}

/// Guards against an item that can never succeed and blocks its job, or is reported without its reason.
#[rstest]
#[case::unknown_service(ResultCode::UnknownService, "unknown_service")]
#[case::too_large(ResultCode::BodyTooLarge, "body_too_large")]
fn never_possible(#[case] code: ResultCode, #[case] name: &str) {
    let name = name.to_owned();
    run_virtual(async move {
        let fleet = TestFleet::new();
        fleet.start_vm("vm-1", 1);
        fleet.script.set_plan(move |item, _, _| match item {
            5 => problem(code, Executed::No),
            6 => CallPlan::Respond(422),
            _ => CallPlan::Respond(200),
        });
        let job = fleet.submit(300).await;
        let counts = fleet.check_completed(&job, 300).await;
        assert_eq!((counts.completed, counts.failed), (298, 2));
        let expected = [(5, name), (6, "response".to_owned())];
        assert_eq!(error_codes(&fleet, &job).await, expected);
        assert_eq!(
            fleet.script.total_calls(),
            300,
            "a final failure was retried"
        );
    });
}

/// Guards against non-repeatable calls that are repeated after their VM is lost during the call.
#[test]
fn at_most_once() {
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.start_vm("vm-1", 1);
        fleet
            .script
            .set_plan(|item, earlier, _| match (item, earlier) {
                (100, 0) => CallPlan::KillVm,
                _ => CallPlan::Respond(200),
            });
        let job = submit_charges(&fleet, 400).await;
        tokio::time::sleep(Duration::from_secs(30)).await;
        fleet.start_vm("vm-2", 1);
        let counts = fleet.check_completed(&job, 400).await;
        let calls = fleet.script.calls.borrow().clone();
        assert!(
            calls.values().all(|count| *count == 1),
            "a call was repeated"
        );
        let codes = error_codes(&fleet, &job).await;
        assert!(codes.iter().all(|(_, code)| code == "outcome_unknown"));
        // Each of the two chunks had at most one group of 32 recorded starts without a result.
        assert!(
            (1..=64).contains(&counts.failed),
            "{} unknown outcomes",
            counts.failed
        );
    });
}

/// Guards against repeating a non-repeatable call with an unknown outcome, and against failing one that certainly did
/// not run.
#[test]
fn non_repeatable_failures() {
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.start_vm("vm-1", 1);
        fleet
            .script
            .set_plan(|item, earlier, _| match (item, earlier) {
                (3, _) => problem(ResultCode::TargetFailed, Executed::Unknown),
                (4, 0) => problem(ResultCode::TargetFailed, Executed::No),
                (5, 0) => problem(ResultCode::Preempted, Executed::No),
                (6, _) => problem(ResultCode::Preempted, Executed::Unknown),
                _ => CallPlan::Respond(200),
            });
        let job = submit_charges(&fleet, 40).await;
        fleet.check_completed(&job, 40).await;
        let failed: Vec<_> = error_codes(&fleet, &job)
            .await
            .into_iter()
            .map(|(item, _)| item)
            .collect();
        assert_eq!(failed, [3, 6]);
        let calls: Vec<_> = (3..7).map(|item| fleet.script.calls_of(item)).collect();
        assert_eq!(calls, [1, 2, 2, 1]);
    });
}

/// Guards against runs that count as attempts although the item was preempted or found no target, however often that
/// happens.
#[rstest]
#[case::preempted(ResultCode::Preempted)]
#[case::queue_full(ResultCode::QueueFull)]
#[case::no_target(ResultCode::NoTarget)]
fn deferrals_uncounted(#[case] code: ResultCode) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        fleet.start_vm("vm-1", 1);
        fleet.script.set_plan(move |item, earlier, _| {
            if item % 10 == 0 && earlier < 8 {
                return problem(code, Executed::No);
            }
            CallPlan::Respond(200)
        });
        let job = fleet.submit(300).await;
        let counts = fleet.check_completed(&job, 300).await;
        assert_eq!(counts.completed, 300);
    });
}

/// Guards against a service without targets that occupies all chunks of a VM and blocks other jobs.
#[test]
fn blocked_service() {
    run_virtual(async {
        let fleet = TestFleet::new();
        fleet.start_vm("vm-1", 1);
        fleet.script.set_plan(|item, _, _| {
            if item >= 1_000 {
                return problem(ResultCode::NoTarget, Executed::No);
            }
            CallPlan::Respond(200)
        });
        let lines = item_lines(6_000, "assistant");
        let stuck: Vec<_> = lines.split_inclusive('\n').skip(1_000).collect();
        let file = fleet.upload(&stuck.concat()).await;
        let body = create_body(&file);
        fleet
            .reader()
            .create_job(&"kandy".into(), body, None)
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_secs(30)).await;
        let job = fleet.submit(1_000).await;
        let started = fleet.clock.elapsed();
        fleet.check_completed(&job, 1_000).await;
        let waited = fleet.clock.elapsed().saturating_sub(started);
        assert!(waited < Duration::from_mins(5), "blocked for {waited:?}");
    });
}

/// Guards against a service whose calls wait for their deadline and use up the permits of another service's items.
#[test]
fn slow_service() {
    run_virtual(async {
        let fleet = TestFleet::new();
        let slow = item_lines(256, "slow-model");
        let fast = item_lines(512, "assistant");
        let fast: String = fast.split_inclusive('\n').skip(256).collect();
        fleet.script.set_latency(|item| match item {
            0..256 => Duration::from_mins(2),
            _ => Duration::from_millis(100),
        });
        fleet.submit_lines(&slow).await;
        // The fast job is due later, so the slow items start first.
        tokio::time::sleep(Duration::from_secs(10)).await;
        let job = fleet.submit_lines(&fast).await;
        fleet.start_vm("vm-1", 1);
        let row = fleet.wait_ended(&job).await;
        assert_eq!(row.counts.completed, 256);
        assert!(fleet.clock.elapsed() < Duration::from_mins(1));
    });
}

/// Guards against chunks that are released during a long surge of online work and miss the idle capacity after it.
#[test]
fn long_surge() {
    run_virtual(async {
        let fleet = TestFleet::new();
        let vm = fleet.start_vm("vm-1", 1);
        let surge_end = tokio::time::Instant::now() + Duration::from_mins(30);
        fleet.script.set_plan(move |_, _, _| {
            if tokio::time::Instant::now() < surge_end {
                return problem(ResultCode::Preempted, Executed::No);
            }
            CallPlan::Respond(200)
        });
        let job = fleet.submit(600).await;
        tokio::time::sleep_until(surge_end).await;
        let writes = vm.store.writes();
        // A claim, and heartbeats of the holder row.
        assert!(writes <= 30 * 3 + 2, "{writes} writes during the surge");
        fleet.check_completed(&job, 600).await;
        assert!(fleet.clock.elapsed() < Duration::from_mins(31));
    });
}

/// Guards against an item that fails because targets take no requests at present, however often that happens: such a status
/// says nothing of the item.
#[rstest]
fn refusals_uncounted(#[values(408, 425, 429, 503)] status: u16) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        fleet.start_vm("vm-1", 1);
        fleet.script.set_plan(move |item, earlier, _| {
            let is_refused = item % 10 == 0 && earlier < 8;
            CallPlan::Respond(if is_refused { status } else { 200 })
        });
        let job = fleet.submit(300).await;
        let counts = fleet.check_completed(&job, 300).await;
        assert_eq!(counts.completed, 300);
    });
}

/// Guards against a job that never ends because its targets refuse an item for ever: after its due time, refusals count.
#[rstest]
fn refused_past_due(#[values(429, 503)] status: u16) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        fleet.start_vm("vm-1", 1);
        fleet
            .script
            .set_plan(move |item, _, _| CallPlan::Respond(if item == 5 { status } else { 200 }));
        let file = fleet.upload(&item_lines(20, "assistant")).await;
        let due = Duration::from_mins(2);
        let mut body = create_body(&file);
        body.due_at = Some(fleet.reader().now_unix() + due.as_secs());
        let created = fleet
            .reader()
            .create_job(&"kandy".into(), body, None)
            .await
            .unwrap();
        tokio::time::sleep(due).await;
        let calls = fleet.script.calls_of(5);
        assert!(calls > 3, "{calls} calls before the due time");
        let counts = fleet.check_completed(&created.0, 20).await;
        assert_eq!((counts.completed, counts.failed), (19, 1));
        assert_eq!(
            error_codes(&fleet, &created.0).await,
            [(5, "response".to_owned())]
        );
    });
}

/// Guards against a call that may not be repeated and is, because its target refused it without saying that it did not run.
#[rstest]
fn non_repeatable_refusal(#[values(408, 425, 429, 503)] status: u16) {
    run_virtual(async move {
        let fleet = TestFleet::new();
        fleet.start_vm("vm-1", 1);
        fleet
            .script
            .set_plan(move |item, _, _| CallPlan::Respond(if item == 3 { status } else { 200 }));
        let job = submit_charges(&fleet, 20).await;
        let counts = fleet.check_completed(&job, 20).await;
        assert_eq!((counts.completed, counts.failed), (19, 1));
        assert_eq!(fleet.script.calls_of(3), 1);
    });
}
