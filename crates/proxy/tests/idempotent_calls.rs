//! Calls that must not be repeated, under an idempotency key and with every fault of the store.

mod support;

use bytes::Bytes;
use plantainmill_config::ServiceKind;
use plantainmill_core::{Clock as _, Executed, ManualClock, ResultCode};
use plantainmill_dispatch::Dispatcher;
use plantainmill_fakes::{EngineFault, FaultKind, MemoryPlatform, PlatformFault};
use plantainmill_provider::TableStore as _;
use plantainmill_proxy::{CallLimits, HttpCaller, TargetCaller as _, TargetRequest};
use rstest::rstest;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use support::{
    CallEnd, CallMode, TestFleet, TestResult, check_call, config_view, service_spec, short_limits,
    test_meter,
};

const MODE: CallMode = CallMode::Buffered;
const ROW: &str = "call/kandy-wards/tested/key-1";

/// Targets whose calls must not be repeated, and a manually advanced clock.
struct RecordedFleet {
    fleet: TestFleet,
    clock: ManualClock,
}

fn recorded_fleet(targets: usize, limits: CallLimits) -> Result<RecordedFleet, Box<dyn Error>> {
    let started = TestFleet::start(service_spec(ServiceKind::Plain, false), targets)?;
    let clock = ManualClock::default();
    let fleet = TestFleet::over(
        started.service,
        started.engines,
        started.dispatcher,
        limits,
        Arc::new(clock.clone()),
    );
    Ok(RecordedFleet { fleet, clock })
}

fn keyed(fleet: &TestFleet, case: &str, key: &str) -> TargetRequest {
    let mut request = fleet.request(case, MODE);
    request.idempotency_key = Some(key.into());
    request.body = Bytes::from_static(b"{\"amount\": 7}");
    request
}

/// Sends the call for the first time.
async fn send(fleet: &TestFleet) -> CallEnd {
    let end = fleet.run(keyed(fleet, "keyed", "key-1"), MODE).await;
    check_call(fleet, "keyed", MODE, &end);
    end
}

/// Resends the call. A refusal refers to this request; a response may be that of the first request.
async fn resend(fleet: &TestFleet) -> CallEnd {
    let end = fleet.run(keyed(fleet, "resent", "key-1"), MODE).await;
    let runs = fleet.recorded("resent").len();
    assert!(runs + fleet.recorded("keyed").len() <= 1);
    assert!(end.executed() != Some(Executed::No) || runs == 0);
    end
}

/// Resends the call until the one that owns the key has ended.
async fn resend_until_ended(fleet: &TestFleet) -> CallEnd {
    loop {
        let end = resend(fleet).await;
        if end.code() != Some(ResultCode::CallInProgress) {
            return end;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn wait_row(platform: &MemoryPlatform, exists: bool) -> TestResult {
    while platform.get(ROW).await?.is_some() != exists {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Ok(())
}

#[rstest]
#[case::plain_key("key-1")]
#[case::odd_key("../a b/ü")]
#[actix_rt::test]
async fn stored_response(
    #[case] key: &str,
    #[values(CallMode::Buffered, CallMode::Streaming)] resend_mode: CallMode,
) -> TestResult {
    let RecordedFleet { fleet, .. } = recorded_fleet(1, short_limits())?;
    let first = fleet.run(keyed(&fleet, "keyed", key), MODE).await;
    let resent = fleet.run(keyed(&fleet, "keyed", key), resend_mode).await;
    assert_eq!(first.status, Some(200));
    assert_eq!(resent.status, Some(200));
    assert_eq!(resent.body, first.body);
    assert_eq!(fleet.recorded("keyed").len(), 1);
    fleet.stop().await;
    Ok(())
}

/// Guards against replaying a stored response for a different request or another organisation.
#[rstest]
#[actix_rt::test]
async fn other_request() -> TestResult {
    let RecordedFleet { fleet, .. } = recorded_fleet(1, short_limits())?;
    send(&fleet).await;
    let mut other_body = keyed(&fleet, "keyed", "key-1");
    other_body.body = Bytes::from_static(b"{}");
    let reused = fleet.run(other_body, MODE).await;
    assert_eq!(reused.code(), Some(ResultCode::KeyReused));
    assert_eq!(reused.executed(), Some(Executed::No));
    let mut other_caller = keyed(&fleet, "keyed", "key-1");
    other_caller.organisation = Some("palermo".into());
    let other = fleet.run(other_caller, MODE).await;
    assert_eq!(other.status, Some(200));
    assert_eq!(fleet.recorded("keyed").len(), 2);
    fleet.stop().await;
    Ok(())
}

/// Guards against concurrent calls with the same key both being executed.
#[rstest]
#[actix_rt::test]
async fn concurrent_calls() -> TestResult {
    let RecordedFleet { fleet, .. } = recorded_fleet(2, short_limits())?;
    fleet.fault_all(EngineFault::always(FaultKind::Late).delay_ms(100));
    let calls = (0..8).map(|_| send(&fleet));
    let ends = futures_util::future::join_all(calls).await;
    let completed = ends.iter().filter(|end| end.status.is_some()).count();
    let running = ends
        .iter()
        .filter(|end| end.code() == Some(ResultCode::CallInProgress));
    assert_eq!(completed, 1);
    assert_eq!(running.count(), 7);
    fleet.stop().await;
    Ok(())
}

/// Guards against losing the response when the caller disconnects.
#[rstest]
#[actix_rt::test]
async fn caller_gone() -> TestResult {
    let RecordedFleet { fleet, .. } = recorded_fleet(1, short_limits())?;
    fleet.fault_all(EngineFault::always(FaultKind::Late).delay_ms(200));
    tokio::select! {
        end = send(&fleet) => panic!("the call ended: {end:?}"),
        () = fleet.wait_count(1, |counts| counts.executed) => {}
    }
    let resent = resend(&fleet).await;
    assert_eq!(resent.code(), Some(ResultCode::CallInProgress));
    assert_eq!(resent.executed(), Some(Executed::Unknown));
    let ended = resend_until_ended(&fleet).await;
    assert_eq!(ended.status, Some(200));
    assert_eq!(fleet.recorded("keyed").len(), 1);
    fleet.stop().await;
    Ok(())
}

/// Guards against repeating a call that may have been executed, and against refusing to repeat one that was not.
#[rstest]
#[case::cut(FaultKind::CutBefore, Executed::Unknown)]
#[case::half(FaultKind::CutStream, Executed::Yes)]
#[case::crossed(FaultKind::Crossed, Executed::Unknown)]
#[case::refused(FaultKind::Refuse, Executed::No)]
#[actix_rt::test]
async fn failed_call(#[case] fault: FaultKind, #[case] executed: Executed) -> TestResult {
    let RecordedFleet { fleet, .. } = recorded_fleet(2, short_limits())?;
    fleet.fault_all(EngineFault::always(fault));
    let first = send(&fleet).await;
    assert_eq!(first.executed(), Some(executed));
    fleet.fault_all(EngineFault::default());
    let resent = resend(&fleet).await;
    if executed == Executed::No {
        assert_eq!(resent.status, Some(200));
    } else {
        assert_eq!(resent.code(), Some(ResultCode::OutcomeUnknown));
        assert_eq!(resent.executed(), Some(Executed::Unknown));
    }
    fleet.stop().await;
    Ok(())
}

#[rstest]
#[actix_rt::test]
async fn large_response() -> TestResult {
    let limits = CallLimits {
        max_stored_bytes: 10,
        ..short_limits()
    };
    let RecordedFleet { fleet, .. } = recorded_fleet(1, limits)?;
    assert_eq!(send(&fleet).await.status, Some(200));
    let resent = resend(&fleet).await;
    assert_eq!(resent.code(), Some(ResultCode::OutcomeUnknown));
    assert_eq!(resent.executed(), Some(Executed::Yes));
    fleet.stop().await;
    Ok(())
}

/// Guards against duplicate executions and wrong refusals while the store is down or loses responses.
///
/// The first three calls of the store have each combination of faults, after which the store works again.
#[rstest]
#[actix_rt::test]
async fn store_faults(
    #[values(PlatformFault::None, PlatformFault::Down, PlatformFault::AnswerLost)]
    first: PlatformFault,
    #[values(PlatformFault::None, PlatformFault::Down, PlatformFault::AnswerLost)]
    second: PlatformFault,
    #[values(PlatformFault::None, PlatformFault::Down, PlatformFault::AnswerLost)]
    third: PlatformFault,
) -> TestResult {
    let RecordedFleet { fleet, .. } = recorded_fleet(2, short_limits())?;
    fleet.platform.script_faults([first, second, third]);
    let end = send(&fleet).await;
    if let Some(problem) = &end.problem {
        assert_eq!(problem.executed, Executed::No, "{problem}");
        assert!(fleet.recorded("keyed").is_empty());
        assert!(problem.retry_after.is_some());
    }
    // Once the store works again, rows of refused calls are removed and responses are stored.
    let resent = loop {
        let end = resend_until_ended(&fleet).await;
        if end.status.is_some() {
            break end;
        }
        let retries = end.problem.as_ref().and_then(|problem| problem.retry_after);
        assert!(retries.is_some(), "{:?}", end.problem);
    };
    let runs = fleet.recorded("keyed").len() + fleet.recorded("resent").len();
    assert_eq!(runs, 1);
    if end.status.is_some() {
        assert_eq!(resent.body, end.body);
    }
    fleet.stop().await;
    Ok(())
}

/// Guards against sending a call whose row could not be written.
#[rstest]
#[actix_rt::test]
async fn store_down() -> TestResult {
    let RecordedFleet { fleet, .. } = recorded_fleet(1, short_limits())?;
    fleet.platform.set_fault(PlatformFault::Down);
    let end = send(&fleet).await;
    assert_eq!(end.code(), Some(ResultCode::StoreUnavailable));
    assert_eq!(end.executed(), Some(Executed::No));
    assert!(fleet.recorded("keyed").is_empty());
    fleet.stop().await;
    Ok(())
}

/// Guards against a lasting store failure making an executed call look as if it had not been executed.
#[rstest]
#[actix_rt::test]
async fn completion_lost() -> TestResult {
    let limits = CallLimits {
        max_record_attempts: 2,
        ..short_limits()
    };
    let RecordedFleet { fleet, clock } = recorded_fleet(1, limits)?;
    let lost = [
        PlatformFault::None,
        PlatformFault::Down,
        PlatformFault::Down,
    ];
    fleet.platform.script_faults(lost);
    assert_eq!(send(&fleet).await.status, Some(200));
    while fleet.platform.counts().table_writes < 3 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let resent = resend(&fleet).await;
    assert_eq!(resent.code(), Some(ResultCode::CallInProgress));
    clock.advance(Duration::from_mins(1));
    let later = resend(&fleet).await;
    assert_eq!(later.code(), Some(ResultCode::OutcomeUnknown));
    assert_eq!(later.executed(), Some(Executed::Unknown));
    assert_eq!(fleet.recorded("keyed").len(), 1);
    fleet.stop().await;
    Ok(())
}

/// Guards against resending the call of a VM that was lost after it had created the row.
#[rstest]
#[actix_rt::test]
async fn vm_lost() -> TestResult {
    let RecordedFleet { fleet, clock } = recorded_fleet(1, short_limits())?;
    fleet.fault_all(EngineFault::always(FaultKind::Hang));
    let lost = lost_vm(&fleet, clock.clone());
    let call = std::thread::spawn(lost);
    fleet.wait_count(1, |counts| counts.executed).await;
    wait_row(&fleet.platform, true).await?;
    fleet.wait_count(1, |counts| counts.cancelled).await;
    call.join().map_err(|_| "the lost VM panicked")?;
    fleet.fault_all(EngineFault::default());
    let resent = resend(&fleet).await;
    assert_eq!(resent.code(), Some(ResultCode::CallInProgress));
    clock.advance(Duration::from_mins(1));
    let later = resend(&fleet).await;
    assert_eq!(later.code(), Some(ResultCode::OutcomeUnknown));
    assert_eq!(fleet.recorded("keyed").len(), 1);
    fleet.stop().await;
    Ok(())
}

/// A VM that sends a call and stops 300 ms later, before it has the response.
fn lost_vm(fleet: &TestFleet, clock: ManualClock) -> impl FnOnce() + Send + 'static {
    let dispatcher = Arc::clone(&fleet.dispatcher) as Arc<dyn Dispatcher>;
    let store = Arc::new(fleet.platform.clone());
    let config = config_view(&fleet.service);
    let request = keyed(fleet, "keyed", "key-1");
    move || {
        let shared_clock = Arc::new(clock.clone());
        let caller = HttpCaller::new(config, dispatcher, store, shared_clock, &test_meter());
        assert_eq!(clock.uptime(), Duration::ZERO);
        actix_rt::System::new().block_on(async move {
            let call = caller.call(request);
            let _ = tokio::time::timeout(Duration::from_millis(300), call).await;
        });
    }
}
