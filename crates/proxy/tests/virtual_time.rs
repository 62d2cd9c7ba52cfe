//! Deadlines and store delays in virtual time, without sockets.

mod support;

use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use plantainmill_config::ServiceKind;
use plantainmill_core::{Clock, Executed, ManualClock, Problem, ResultCode};
use plantainmill_dispatch::{Dispatcher, TargetTicket, TicketRequest};
use plantainmill_fakes::MemoryPlatform;
use plantainmill_provider::{CommitOutcome, PlatformFuture, RowEntry, TableStore, TableWrite};
use plantainmill_proxy::{HttpCaller, TargetCaller as _};
use rstest::rstest;
use std::future::pending;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use support::{
    CallMode, OrderedDispatcher, TestFleet, TestResult, config_view, service_spec, short_limits,
    test_meter,
};
use tokio::time::Instant;

/// Timers fire at whole milliseconds of the runtime's clock.
const TIMER_TICK: Duration = Duration::from_millis(1);

/// Never issues a ticket.
#[derive(Default)]
struct BusyDispatcher {
    requests: Mutex<Vec<TicketRequest>>,
}

impl Dispatcher for BusyDispatcher {
    fn acquire(&self, request: TicketRequest) -> LocalBoxFuture<'_, Result<TargetTicket, Problem>> {
        let requests = self.requests.lock();
        requests
            .unwrap_or_else(PoisonError::into_inner)
            .push(request);
        pending().boxed_local()
    }

    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value> {
        async { serde_json::Value::Null }.boxed_local()
    }
}

/// A store that never responds.
struct SilentStore;

impl TableStore for SilentStore {
    fn get(&self, _: &str) -> PlatformFuture<'_, Option<RowEntry>> {
        pending().boxed_local()
    }

    fn range(&self, _: &str, _: &str, _: u32) -> PlatformFuture<'_, Vec<RowEntry>> {
        pending().boxed_local()
    }

    fn commit(&self, _: TableWrite) -> PlatformFuture<'_, CommitOutcome> {
        pending().boxed_local()
    }
}

/// Guards against a call that outlives its deadline, or reports a possible execution although it was never sent.
#[rstest]
#[case::caller_deadline(60_000, 5_000, ResultCode::DeadlinePassed, 5_000)]
#[case::service_time(2_000, 5_000, ResultCode::TargetTimeout, 2_000)]
#[case::already_passed(60_000, 0, ResultCode::DeadlinePassed, 0)]
#[actix_rt::test]
async fn busy_targets(
    #[case] service_ms: u64,
    #[case] deadline_ms: u64,
    #[case] code: ResultCode,
    #[case] ends_after_ms: u64,
    #[values(CallMode::Buffered, CallMode::Streaming)] mode: CallMode,
) -> TestResult {
    let mut service = service_spec(ServiceKind::Model, true);
    service.timeout_ms = service_ms;
    let problem = call_problem(
        &service,
        Arc::new(BusyDispatcher::default()),
        Arc::new(MemoryPlatform::default()),
        (deadline_ms, ends_after_ms, mode),
    );
    let problem = problem.await?;
    assert_eq!(problem.code, code);
    assert_eq!(problem.executed, Executed::No);
    Ok(())
}

/// Guards against a hung store delaying a call beyond its deadline, and against sending the call without its row.
#[rstest]
#[actix_rt::test]
async fn silent_store() -> TestResult {
    let service = service_spec(ServiceKind::Plain, false);
    let dispatcher = Arc::new(BusyDispatcher::default());
    let used = Arc::clone(&dispatcher);
    let end = (3_000, 3_000, CallMode::Buffered);
    let problem = call_problem(&service, dispatcher, Arc::new(SilentStore), end).await?;
    assert_eq!(problem.code, ResultCode::DeadlinePassed);
    assert_eq!(problem.executed, Executed::No);
    let requests = used.requests.lock();
    assert!(requests.unwrap_or_else(PoisonError::into_inner).is_empty());
    Ok(())
}

/// Runs a call with `(deadline, expected end, mode)` in virtual time and returns its problem.
async fn call_problem(
    service: &plantainmill_config::ServiceSpec,
    dispatcher: Arc<dyn Dispatcher>,
    store: Arc<dyn TableStore>,
    (deadline_ms, ends_after_ms, mode): (u64, u64, CallMode),
) -> Result<Problem, Box<dyn std::error::Error>> {
    tokio::time::pause();
    let clock = ManualClock::default();
    let fleet = TestFleet::over(
        service.clone(),
        Vec::new(),
        Arc::new(OrderedDispatcher::default()),
        short_limits(),
        Arc::new(clock.clone()),
    );
    let mut request = fleet.request("virtual", mode);
    request.deadline = clock.uptime() + Duration::from_millis(deadline_ms);
    request.idempotency_key = Some("key-1".into());
    let caller = HttpCaller::new(
        config_view(service),
        dispatcher,
        store,
        Arc::new(clock),
        &test_meter(),
    );
    let start = Instant::now();
    let problem = match mode {
        CallMode::Buffered => caller.call(request).await.err(),
        CallMode::Streaming => caller.stream(request).await.err(),
    };
    let expected = Duration::from_millis(ends_after_ms);
    assert!((expected..=expected + TIMER_TICK).contains(&start.elapsed()));
    problem.ok_or_else(|| "the call succeeded".into())
}
