//! Local policy, in which each VM dispatches without coordination with others.

use crate::support::{fleet, request};
use plantainmill_config::ConfigView;
use plantainmill_core::{ManualClock, ResultCode};
use plantainmill_dispatch::{CallOutcome, Dispatcher as _, LocalDispatcher, TrafficClass};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

fn dispatcher(config: &ConfigView, clock: &ManualClock) -> LocalDispatcher {
    let clock = Arc::new(clock.clone());
    LocalDispatcher::new("d0".into(), "r0".into(), config.clone(), clock, 7)
}

/// Guards against a batch request that is granted before a waiting online request.
#[rstest]
#[tokio::test(start_paused = true)]
async fn online_first() {
    let config = ConfigView::default();
    config.publish(fleet(1, 1));
    let dispatcher = dispatcher(&config, &ManualClock::default());
    let now = Duration::ZERO;
    let first = dispatcher.acquire(request(TrafficClass::Batch, "a", now));
    let running = first.await.unwrap();
    let batch = dispatcher.acquire(request(TrafficClass::Batch, "a", now));
    let online = dispatcher.acquire(request(TrafficClass::Online, "a", now));
    tokio::pin!(batch, online);
    assert!(futures_util::poll!(&mut batch).is_pending());
    assert!(futures_util::poll!(&mut online).is_pending());
    running.finish(CallOutcome::Abandoned);
    assert!(futures_util::poll!(&mut batch).is_pending());
    assert!(futures_util::poll!(&mut online).is_ready());
    assert!(futures_util::poll!(&mut batch).is_ready());
}

/// Guards against requests that wait longer than `queue_wait_ms`, and against slots that stay taken after a timeout.
#[rstest]
#[tokio::test(start_paused = true)]
async fn wait_bounded() {
    let config = ConfigView::default();
    config.publish(fleet(1, 1));
    let dispatcher = dispatcher(&config, &ManualClock::default());
    let now = Duration::ZERO;
    let first = dispatcher.acquire(request(TrafficClass::Online, "a", now));
    let running = first.await.unwrap();
    let second = dispatcher.acquire(request(TrafficClass::Online, "a", now));
    let problem = second.await.err().unwrap();
    assert_eq!(problem.code, ResultCode::QueueFull);
    assert!(problem.retry_after.is_some());
    drop(running);
    let third = dispatcher.acquire(request(TrafficClass::Online, "a", now));
    assert!(third.await.is_ok());
}

/// Guards against new requests to a leaving target.
#[rstest]
#[tokio::test(start_paused = true)]
async fn leaving_unused() {
    let mut fleet = fleet(1, 4);
    Arc::make_mut(&mut fleet.targets)
        .get_mut("t0")
        .unwrap()
        .leaving = true;
    let config = ConfigView::default();
    config.publish(fleet);
    let dispatcher = dispatcher(&config, &ManualClock::default());
    let refused = dispatcher.acquire(request(TrafficClass::Online, "a", Duration::ZERO));
    assert_eq!(refused.await.err().unwrap().code, ResultCode::NoTarget);
}
