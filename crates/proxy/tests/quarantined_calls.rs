//! Calls of the own interface whose prompt parts crash targets.

mod support;

use plantainmill_config::ServiceKind;
use plantainmill_core::{Executed, ResultCode, SystemClock};
use plantainmill_dispatch::quarantine::{TableQuarantines, keep_quarantines};
use plantainmill_dispatch::{PartQuarantine, QuarantineDispatcher};
use plantainmill_fakes::{EngineFault, FaultKind};
use plantainmill_proxy::{HttpCaller, request_parts};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use support::{
    CallEnd, CallMode, TestFleet, TestResult, config_view, service_spec, short_limits, test_meter,
};

/// Time in which a lost target cannot have started again.
const RESTART_TIME: Duration = Duration::from_millis(1_100);

/// Part of all calls of [`call_with_part`].
const COMMON_PART: u64 = 42;

/// A fleet whose calls pass the quarantine.
fn guarded_fleet() -> Result<TestFleet, Box<dyn std::error::Error>> {
    let mut fleet = TestFleet::start(service_spec(ServiceKind::Model, true), 6)?;
    start_vm(&mut fleet, "vm");
    Ok(fleet)
}

/// Sends the further calls through a VM that has just started, and knows only what the table holds.
fn start_vm(fleet: &mut TestFleet, name: &str) {
    let clock = Arc::new(SystemClock);
    let quarantine = PartQuarantine::new(&name.into(), clock.clone(), &test_meter(), "test_");
    let table = TableQuarantines(Arc::new(fleet.platform.clone()));
    actix_rt::spawn(keep_quarantines(quarantine.clone(), table, clock.clone()));
    let policy = QuarantineDispatcher::new(fleet.dispatcher.clone(), quarantine);
    fleet.caller = HttpCaller::with_limits(
        config_view(&fleet.service),
        Arc::new(policy),
        Arc::new(fleet.platform.clone()),
        clock,
        &test_meter(),
        short_limits(),
    );
}

/// Calls that have one part in common, and else nothing.
async fn call_with_part(fleet: &TestFleet, case: &str, mode: CallMode) -> CallEnd {
    let mut request = fleet.request(case, mode);
    request.path = format!("{}?case={case}", request.path);
    request.parts = request_parts(&request.path, &request.body);
    request.parts.push(COMMON_PART);
    fleet.run(request, mode).await
}

async fn call(fleet: &TestFleet, case: &str, mode: CallMode) -> CallEnd {
    let mut request = fleet.request(case, mode);
    request.parts = request_parts(&request.path, &request.body);
    fleet.run(request, mode).await
}

/// Guards against a call that is repeated by its caller and crashes targets each time, and against sound calls that are
/// rejected with it.
#[rstest]
#[actix_rt::test]
async fn quarantined_call(
    #[values(CallMode::Buffered, CallMode::Streaming)] mode: CallMode,
) -> TestResult {
    let fleet = guarded_fleet()?;
    fleet.fault_all(EngineFault::always(FaultKind::CutBefore));
    let first = call(&fleet, "crashing", mode).await;
    assert_eq!(first.executed(), Some(Executed::Unknown));
    fleet.fault_all(EngineFault::default());
    assert_eq!(call(&fleet, "sound", mode).await.code(), None);
    tokio::time::sleep(RESTART_TIME).await;
    fleet.fault_all(EngineFault::always(FaultKind::CutBefore));
    let second = call(&fleet, "crashing", mode).await;
    assert_eq!(second.executed(), Some(Executed::Unknown));
    fleet.fault_all(EngineFault::default());
    let sends = fleet.dispatcher.requests().len();
    let third = call(&fleet, "crashing", mode).await;
    assert_eq!(third.code(), Some(ResultCode::RequestQuarantined));
    assert_eq!(third.executed(), Some(Executed::No));
    assert_eq!(fleet.dispatcher.requests().len(), sends);
    assert_eq!(call(&fleet, "sound", mode).await.code(), None);
    fleet.stop().await;
    Ok(())
}

/// Guards against calls that have only one part in common and crash targets one after the other, and against sound calls
/// that are rejected with them.
#[rstest]
#[actix_rt::test]
async fn quarantined_part(
    #[values(CallMode::Buffered, CallMode::Streaming)] mode: CallMode,
) -> TestResult {
    let fleet = guarded_fleet()?;
    for case in ["first", "second"] {
        fleet.fault_all(EngineFault::always(FaultKind::CutBefore));
        let crashed = call_with_part(&fleet, case, mode).await;
        assert_eq!(crashed.executed(), Some(Executed::Unknown));
        fleet.fault_all(EngineFault::default());
        assert_eq!(call(&fleet, "sound", mode).await.code(), None);
        tokio::time::sleep(RESTART_TIME).await;
    }
    let sends = fleet.dispatcher.requests().len();
    let third = call_with_part(&fleet, "third", mode).await;
    assert_eq!(third.code(), Some(ResultCode::PartQuarantined));
    assert_eq!(third.executed(), Some(Executed::No));
    assert_eq!(fleet.dispatcher.requests().len(), sends);
    assert_eq!(call(&fleet, "sound", mode).await.code(), None);
    fleet.stop().await;
    Ok(())
}

/// Guards against a call of the own interface that crashes targets anew at a VM that has just started, because all VMs that
/// knew it are gone.
#[actix_rt::test]
async fn stored_quarantine() -> TestResult {
    let mode = CallMode::Buffered;
    let mut fleet = guarded_fleet()?;
    for _ in 0..2 {
        fleet.fault_all(EngineFault::always(FaultKind::CutBefore));
        call(&fleet, "crashing", mode).await;
        fleet.fault_all(EngineFault::default());
        assert_eq!(call(&fleet, "sound", mode).await.code(), None);
        tokio::time::sleep(RESTART_TIME).await;
    }
    assert_eq!(
        call(&fleet, "crashing", mode).await.code(),
        Some(ResultCode::RequestQuarantined)
    );
    start_vm(&mut fleet, "vm-new");
    // The table is read as soon as the VM has started.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let sends = fleet.dispatcher.requests().len();
    let repeated = call(&fleet, "crashing", mode).await;
    assert_eq!(repeated.code(), Some(ResultCode::RequestQuarantined));
    assert_eq!(fleet.dispatcher.requests().len(), sends);
    assert_eq!(call(&fleet, "sound", mode).await.code(), None);
    fleet.stop().await;
    Ok(())
}
