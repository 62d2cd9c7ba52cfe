//! Hedging: slow calls are sent to a second target.

mod support;

use plantainmill_config::ServiceKind;
use plantainmill_core::{Executed, ResultCode};
use plantainmill_dispatch::CallOutcome;
use plantainmill_fakes::{EngineFault, FaultKind};
use rstest::rstest;
use std::error::Error;
use support::{CallMode, TestFleet, TestResult, check_call, service_spec};

fn hedging_fleet(repeatable: bool, timeout_ms: u64) -> Result<TestFleet, Box<dyn Error>> {
    let mut service = service_spec(ServiceKind::Model, repeatable);
    service.hedge = true;
    service.timeout_ms = timeout_ms;
    TestFleet::start(service, 2)
}

/// Guards against the slower attempt of a hedged call continuing, or counting as a failure of its target.
#[rstest]
#[actix_rt::test]
async fn second_wins() -> TestResult {
    let fleet = hedging_fleet(true, 60_000)?;
    fleet.engines[0].set_fault(EngineFault::always(FaultKind::Hang));
    let mode = CallMode::Buffered;
    let end = fleet.run(fleet.request("hedged", mode), mode).await;
    check_call(&fleet, "hedged", mode, &end);
    assert_eq!(end.status, Some(200));
    fleet.wait_count(1, |counts| counts.cancelled).await;
    let outcomes = fleet.dispatcher.outcomes();
    assert!(matches!(outcomes[0].1, CallOutcome::Completed { .. }));
    assert_eq!(outcomes[1], ("target-0".into(), CallOutcome::Abandoned));
    assert!(fleet.dispatcher.requests()[1].is_retry);
    fleet.stop().await;
    Ok(())
}

/// Guards against a failed second attempt ending a call whose first attempt is still running.
#[rstest]
#[case(FaultKind::CutBefore)]
#[case(FaultKind::Refuse)]
#[actix_rt::test]
async fn first_wins(#[case] fault: FaultKind) -> TestResult {
    let fleet = hedging_fleet(true, 60_000)?;
    fleet.engines[0].set_fault(EngineFault::always(FaultKind::Late).delay_ms(500));
    fleet.engines[1].set_fault(EngineFault::always(fault));
    let mode = CallMode::Buffered;
    let end = fleet.run(fleet.request("hedged", mode), mode).await;
    check_call(&fleet, "hedged", mode, &end);
    assert_eq!(end.status, Some(200));
    fleet.stop().await;
    Ok(())
}

/// Guards against hedging a call that must not be repeated.
#[rstest]
#[actix_rt::test]
async fn not_hedged() -> TestResult {
    let fleet = hedging_fleet(false, 500)?;
    fleet.engines[0].set_fault(EngineFault::always(FaultKind::Hang));
    let mode = CallMode::Buffered;
    let end = fleet.run(fleet.request("single", mode), mode).await;
    check_call(&fleet, "single", mode, &end);
    assert_eq!(end.code(), Some(ResultCode::TargetTimeout));
    assert_eq!(end.executed(), Some(Executed::Unknown));
    assert_eq!(fleet.dispatcher.requests().len(), 1);
    fleet.stop().await;
    Ok(())
}
