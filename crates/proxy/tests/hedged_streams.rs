//! Streams that are sent to a second target because the first one is slower than usual.

mod relay_fleet;

use plantainmill_core::{Clock as _, SystemClock};
use plantainmill_proxy::relay::{HedgeSettings, RelayCall};
use plantainmill_routing::TargetEntry;
use relay_fleet::{EVENTS, Fleet, all_events, call, read_response};
use rstest::rstest;
use std::time::{Duration, Instant};

/// Time for which a slow target gives no event. It is shorter than the silence after which a request fails over.
const PAUSE: Duration = Duration::from_millis(800);
/// Requests by which the usual time of a first response becomes known.
const USUAL_REQUESTS: usize = 25;

async fn hedging_fleet(percent: f64) -> Fleet {
    let mut fleet = Fleet::start(2).await;
    let settings = HedgeSettings {
        percent,
        ..HedgeSettings::default()
    };
    let meter = opentelemetry::global::meter("test");
    fleet.caller = fleet.caller.clone().with_hedging(settings, &meter, "");
    fleet
}

fn request(number: usize, may_repeat: bool) -> RelayCall {
    RelayCall {
        id: format!("r{number}").into(),
        deadline: SystemClock.uptime() + Duration::from_secs(12),
        first_event_objective: Duration::from_secs(1),
        event_gap: Duration::from_secs(1),
        ..call(may_repeat)
    }
}

/// Lets the caller learn how fast first responses usually are, and save a budget.
async fn learn(fleet: &Fleet) {
    for number in 0..USUAL_REQUESTS {
        let response = read_response(fleet, request(number, true)).await;
        assert_eq!(response.expect("a response"), (all_events(), None));
    }
}

/// Leaves the first request after this no target but `t0`, which is slow.
fn slow_first(fleet: &Fleet) {
    fleet.targets[0].set_pause(PAUSE);
    let entries: Vec<TargetEntry> = fleet.entries().take(1).collect();
    fleet.dispatcher.set_targets(entries.iter());
}

fn restore_targets(fleet: &Fleet) {
    let entries: Vec<TargetEntry> = fleet.entries().collect();
    fleet.dispatcher.set_targets(entries.iter());
}

async fn slow_response(fleet: &Fleet, may_repeat: bool) -> (Duration, Vec<u64>) {
    slow_first(fleet);
    let started = Instant::now();
    let response = read_response(fleet, request(USUAL_REQUESTS, may_repeat));
    let restored = async {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
        restore_targets(fleet);
    };
    let (response, ()) = futures_util::join!(response, restored);
    let (events, problem) = response.expect("a response");
    assert!(problem.is_none(), "{problem:?}");
    (started.elapsed(), events)
}

/// Guards against a slow first event while another target has a free slot and operators allow a second send.
#[actix_rt::test]
async fn slow_target() {
    let fleet = hedging_fleet(10.0).await;
    learn(&fleet).await;
    let before = fleet.sends();
    let (elapsed, events) = slow_response(&fleet, true).await;
    assert_eq!(events, all_events());
    assert_eq!(fleet.sends(), before + 2);
    assert!(elapsed < PAUSE, "{elapsed:?}");
}

/// Guards against a second send of a request that may run once, and of any request where operators allow none.
#[rstest]
#[case::runs_once(10.0, false)]
#[case::not_configured(0.0, true)]
#[actix_rt::test]
async fn single_send(#[case] percent: f64, #[case] may_repeat: bool) {
    let fleet = hedging_fleet(percent).await;
    learn(&fleet).await;
    let before = fleet.sends();
    let (elapsed, events) = slow_response(&fleet, may_repeat).await;
    assert_eq!(events, all_events());
    assert_eq!(fleet.sends(), before + 1);
    assert!(
        elapsed >= PAUSE * u32::try_from(EVENTS).expect("a few"),
        "{elapsed:?}"
    );
}
