//! Retries, tickets, deadlines, and cancellation of the work at a target when its caller has gone.

mod support;

use futures_util::StreamExt as _;
use plantainmill_config::ServiceKind;
use plantainmill_core::{Executed, ResultCode};
use plantainmill_dispatch::{CallOutcome, TrafficClass};
use plantainmill_fakes::{EngineFault, FaultKind};
use plantainmill_proxy::TargetCaller as _;
use rstest::rstest;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use support::{
    CallMode, OrderedDispatcher, TestFleet, TestResult, check_call, service_spec, short_limits,
};

fn model_fleet(targets: usize) -> Result<TestFleet, Box<dyn Error>> {
    TestFleet::start(service_spec(ServiceKind::Model, true), targets)
}

/// Guards against more than two retries, reuse of a failed target, and wrong outcomes reported to the dispatcher.
#[rstest]
#[case(FaultKind::CutBefore, CallOutcome::ConnectionLost)]
#[case(FaultKind::Refuse, CallOutcome::Rejected)]
#[case(FaultKind::Crossed, CallOutcome::Failed)]
#[actix_rt::test]
async fn two_retries(
    #[case] fault: FaultKind,
    #[case] outcome: CallOutcome,
    #[values(CallMode::Buffered, CallMode::Streaming)] mode: CallMode,
) -> TestResult {
    let fleet = model_fleet(5)?;
    fleet.fault_all(EngineFault::always(fault));
    let end = fleet.run(fleet.request("retries", mode), mode).await;
    check_call(&fleet, "retries", mode, &end);
    let requests = fleet.dispatcher.requests();
    let retries: Vec<bool> = requests.iter().map(|request| request.is_retry).collect();
    assert_eq!(retries, [false, true, true]);
    assert_eq!(requests[2].excluded, ["target-0", "target-1"]);
    let outcomes = fleet.dispatcher.outcomes();
    let expected = ["target-0", "target-1", "target-2"].map(|id| (id.into(), outcome));
    assert_eq!(outcomes, expected);
    fleet.stop().await;
    Ok(())
}

/// Guards against a retry without a ticket hiding whether the first attempt was executed.
#[rstest]
#[actix_rt::test]
async fn retry_refused() -> TestResult {
    let started = model_fleet(2)?;
    let dispatcher = Arc::new(OrderedDispatcher {
        targets: started.dispatcher.targets.clone(),
        refuse_retries: true,
        ..OrderedDispatcher::default()
    });
    let fleet = TestFleet::over(
        started.service,
        started.engines,
        dispatcher,
        short_limits(),
        started.clock,
    );
    fleet.fault_all(EngineFault::always(FaultKind::CutBefore));
    let mode = CallMode::Buffered;
    let end = fleet.run(fleet.request("budget", mode), mode).await;
    assert_eq!(end.code(), Some(ResultCode::TargetFailed));
    assert_eq!(end.executed(), Some(Executed::Unknown));
    fleet.stop().await;
    Ok(())
}

/// Guards against a later attempt that was certainly not executed hiding an earlier one that may have been.
#[rstest]
#[actix_rt::test]
async fn unknown_kept() -> TestResult {
    let fleet = model_fleet(2)?;
    fleet.engines[0].set_fault(EngineFault::always(FaultKind::CutBefore));
    fleet.engines[1].set_fault(EngineFault::always(FaultKind::Refuse));
    let mode = CallMode::Buffered;
    let end = fleet.run(fleet.request("doubt", mode), mode).await;
    assert_eq!(end.code(), Some(ResultCode::TargetRefused));
    assert_eq!(end.executed(), Some(Executed::Unknown));
    fleet.stop().await;
    Ok(())
}

#[rstest]
#[actix_rt::test]
async fn completed_outcome(
    #[values(CallMode::Buffered, CallMode::Streaming)] mode: CallMode,
) -> TestResult {
    let fleet = model_fleet(1)?;
    let end = fleet.run(fleet.request("outcome", mode), mode).await;
    check_call(&fleet, "outcome", mode, &end);
    let outcomes = fleet.dispatcher.outcomes();
    assert_eq!(outcomes.len(), 1);
    assert!(matches!(outcomes[0].1, CallOutcome::Completed { .. }));
    fleet.stop().await;
    Ok(())
}

/// Guards against work that continues at the target after its caller has disconnected.
#[rstest]
#[case::no_response(0)]
#[case::mid_stream(2)]
#[actix_rt::test]
async fn dropped_call(
    #[case] events: u32,
    #[values(CallMode::Buffered, CallMode::Streaming)] mode: CallMode,
) -> TestResult {
    let fleet = model_fleet(1)?;
    let after = if mode == CallMode::Buffered {
        0
    } else {
        events
    };
    fleet.fault_all(EngineFault::always(FaultKind::Hang).after(after));
    tokio::select! {
        end = fleet.run(fleet.request("dropped", mode), mode) => panic!("the call ended: {end:?}"),
        () = fleet.wait_count(1, |counts| counts.executed) => {}
    }
    fleet.wait_count(1, |counts| counts.cancelled).await;
    let outcomes = fleet.dispatcher.outcomes();
    assert_eq!(outcomes, [("target-0".into(), CallOutcome::Abandoned)]);
    fleet.stop().await;
    Ok(())
}

/// Guards against a stream that stays open at the target after its caller stopped reading.
#[rstest]
#[actix_rt::test]
async fn dropped_stream() -> TestResult {
    let fleet = model_fleet(1)?;
    fleet.fault_all(EngineFault::always(FaultKind::Hang).after(2));
    let request = fleet.request("dropped", CallMode::Streaming);
    let mut response = fleet.caller.stream(request).await?;
    let first = response.chunks.next().await.ok_or("no first part")??;
    assert!(first.starts_with(b"data: {"));
    drop(response);
    fleet.wait_count(1, |counts| counts.cancelled).await;
    fleet.stop().await;
    Ok(())
}

/// Guards against batch work that keeps a target after its ticket was preempted for online work.
#[rstest]
#[case::no_response(0, Executed::Unknown)]
#[case::mid_stream(2, Executed::Yes)]
#[actix_rt::test]
async fn preempted_call(
    #[case] events: u32,
    #[case] streamed: Executed,
    #[values(CallMode::Buffered, CallMode::Streaming)] mode: CallMode,
) -> TestResult {
    let fleet = model_fleet(2)?;
    let after = if mode == CallMode::Buffered {
        0
    } else {
        events
    };
    fleet.fault_all(EngineFault::always(FaultKind::Hang).after(after));
    let mut request = fleet.request("preempted", mode);
    request.class = TrafficClass::Batch;
    let preempt = async {
        fleet.wait_count(1, |counts| counts.executed).await;
        fleet
            .wait_count(u64::from(after), |counts| counts.tokens)
            .await;
        fleet.dispatcher.preempt_last();
    };
    let (end, ()) = tokio::join!(fleet.run(request, mode), preempt);
    assert_eq!(end.code(), Some(ResultCode::Preempted));
    // Whether the first events are read before the signal is a race; a request that was executed never reports no.
    let executed = end.executed();
    assert!(executed == Some(Executed::Unknown) || executed == Some(streamed));
    fleet.wait_count(1, |counts| counts.cancelled).await;
    assert_eq!(fleet.dispatcher.requests().len(), 1);
    let outcomes = fleet.dispatcher.outcomes();
    assert_eq!(outcomes, [("target-0".into(), CallOutcome::Abandoned)]);
    fleet.stop().await;
    Ok(())
}

/// Guards against a short deadline of the caller counting as a target failure, and against a hung target not doing so.
#[rstest]
#[case::short_of_time(60_000, ResultCode::DeadlinePassed, CallOutcome::Abandoned)]
#[case::hung_target(200, ResultCode::TargetTimeout, CallOutcome::Failed)]
#[actix_rt::test]
async fn deadline_outcome(
    #[case] service_ms: u64,
    #[case] code: ResultCode,
    #[case] outcome: CallOutcome,
) -> TestResult {
    let mut service = service_spec(ServiceKind::Model, true);
    service.timeout_ms = service_ms;
    let fleet = TestFleet::start(service, 1)?;
    fleet.fault_all(EngineFault::always(FaultKind::Hang));
    let mode = CallMode::Buffered;
    let mut request = fleet.request("deadline", mode);
    request.deadline = fleet.clock.uptime() + Duration::from_millis(400);
    let end = fleet.run(request, mode).await;
    assert_eq!(end.code(), Some(code));
    assert_eq!(end.executed(), Some(Executed::Unknown));
    let outcomes = fleet.dispatcher.outcomes();
    assert_eq!(outcomes, [("target-0".into(), outcome)]);
    fleet.stop().await;
    Ok(())
}

/// Guards against sending a request after its deadline.
#[rstest]
#[actix_rt::test]
async fn passed_deadline(
    #[values(CallMode::Buffered, CallMode::Streaming)] mode: CallMode,
) -> TestResult {
    let fleet = model_fleet(1)?;
    let mut request = fleet.request("passed", mode);
    request.deadline = fleet.clock.uptime();
    let end = fleet.run(request, mode).await;
    assert_eq!(end.code(), Some(ResultCode::DeadlinePassed));
    assert_eq!(end.executed(), Some(Executed::No));
    assert_eq!(fleet.engines[0].counts().executed, 0);
    fleet.stop().await;
    Ok(())
}

/// Guards against the late response to an abandoned request being read by the next request on the same connection.
#[rstest]
#[actix_rt::test]
async fn abandoned_connection() -> TestResult {
    let mut service = service_spec(ServiceKind::Plain, false);
    service.timeout_ms = 500;
    let fleet = TestFleet::start(service, 1)?;
    let mode = CallMode::Buffered;
    let warm = fleet.run(fleet.request("warm", mode), mode).await;
    check_call(&fleet, "warm", mode, &warm);
    fleet.fault_all(EngineFault::once(FaultKind::Late).delay_ms(1_000));
    let late = fleet.run(fleet.request("late", mode), mode).await;
    assert_eq!(late.code(), Some(ResultCode::TargetTimeout));
    check_call(&fleet, "late", mode, &late);
    let next = fleet.run(fleet.request("next", mode), mode).await;
    check_call(&fleet, "next", mode, &next);
    fleet.stop().await;
    Ok(())
}

/// Guards against invalid input being sent to every target, or counted as a failure of the targets.
#[rstest]
#[case::path("no-slash", "POST", "x-a", ResultCode::BadRequest)]
#[case::method("/v1/completions", "PO ST", "x-a", ResultCode::BadRequest)]
#[case::header("/v1/completions", "POST", "x a", ResultCode::BadHeader)]
#[actix_rt::test]
async fn bad_input(
    #[case] path: &str,
    #[case] method: &str,
    #[case] header: &str,
    #[case] code: ResultCode,
) -> TestResult {
    let fleet = model_fleet(2)?;
    let mode = CallMode::Buffered;
    let mut request = fleet.request("bad", mode);
    request.path = path.to_owned();
    request.method = method.into();
    request.headers.push((header.into(), "1".into()));
    let end = fleet.run(request, mode).await;
    assert_eq!(end.code(), Some(code));
    assert_eq!(end.executed(), Some(Executed::No));
    let outcomes = fleet.dispatcher.outcomes();
    assert_eq!(outcomes, [("target-0".into(), CallOutcome::Abandoned)]);
    fleet.stop().await;
    Ok(())
}

#[rstest]
#[actix_rt::test]
async fn unknown_service() -> TestResult {
    let fleet = model_fleet(1)?;
    let mode = CallMode::Buffered;
    let mut request = fleet.request("unknown", mode);
    request.service = "other".into();
    let end = fleet.run(request, mode).await;
    assert_eq!(end.code(), Some(ResultCode::UnknownService));
    fleet.stop().await;
    Ok(())
}
