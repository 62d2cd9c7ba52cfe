//! Targets that write the copy of a refusal on a kept connection while the request that they refused is under way again.

mod relay_fleet;

use futures_util::StreamExt as _;
use plantainmill_core::Executed;
use plantainmill_dispatch::{CallObserver, Dispatcher as _};
use plantainmill_fakes::{StreamTarget, TargetAct};
use plantainmill_proxy::relay::{CallSend, RelayCall, SendTrace};
use plantainmill_routing::TargetEntry;
use relay_fleet::{Fleet, NAMES, all_events, call, entry, read_response};
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a target that has refused is asked again.
const BACKOFF_TIME: Duration = Duration::from_millis(100);

/// Time within which a target answers.
const SEND_TIME: Duration = Duration::from_secs(2);

fn single_run(is_stream: bool) -> RelayCall {
    RelayCall {
        is_stream,
        ..call(false)
    }
}

fn runs(target: &StreamTarget) -> usize {
    let seen = target.seen();
    let runs = seen.iter().filter(|request| request.ran);
    runs.filter(|request| request.headers[NAMES.request_id] == "r1")
        .count()
}

/// Guards against a request that runs twice because its target is listed under two ids: the copy of its first refusal arrives
/// on the connection that the second send shares, and counts as the answer to that send.
#[rstest]
#[case::stream(true)]
#[case::buffered(false)]
#[actix_rt::test]
async fn renamed_target(#[case] is_stream: bool) {
    let fleet = Fleet::with_sends(1, 4).await;
    let target = &fleet.targets[0];
    let renamed = TargetEntry {
        id: "renamed".into(),
        ..entry((0, target))
    };
    let entries = [entry((0, target)), renamed];
    fleet.dispatcher.set_targets(entries.iter());
    target.plan([
        TargetAct::Refuse,
        TargetAct::RepeatRefusal,
        TargetAct::Serve,
    ]);
    let answered = read_response(&fleet, single_run(is_stream)).await;
    assert_eq!(runs(target), 1, "{answered:?}");
    assert_eq!(answered, Ok((all_events(), None)));
}

/// Sends a request that may run once to a target that has refused another call with the id `refused`, and writes the copy of that
/// refusal before its answer.
async fn check_after_refusal(refused: &str, is_stream: bool) {
    let fleet = Fleet::with_sends(1, 1).await;
    let target = &fleet.targets[0];
    target.plan([TargetAct::Refuse, TargetAct::RepeatRefusal]);
    let other = RelayCall {
        id: refused.into(),
        ..single_run(is_stream)
    };
    let ended = read_response(&fleet, other).await;
    assert!(ended.is_err_and(|problem| problem.executed == Executed::No));
    tokio::time::sleep(BACKOFF_TIME).await;
    let answered = read_response(&fleet, single_run(is_stream)).await;
    assert_eq!(runs(target), 1);
    assert_eq!(answered, Ok((all_events(), None)));
}

/// Guards against a request that fails although it runs once: the copy of the refusal of another request arrives in place of its
/// answer.
#[rstest]
#[case::stream(true)]
#[case::buffered(false)]
#[actix_rt::test]
async fn next_request(#[case] is_stream: bool) {
    check_after_refusal("r2", is_stream).await;
}

/// Guards against the promise that a request did not run, although it runs: the copy of the refusal of an earlier call with the
/// same id counts as the refusal of this one.
#[rstest]
#[case::stream(true)]
#[case::buffered(false)]
#[actix_rt::test]
async fn repeated_id(#[case] is_stream: bool) {
    check_after_refusal("r1", is_stream).await;
}

/// Guards against the copy of a failure that counts for a later call with the same id: the connection of a failure is kept.
#[rstest]
#[case::stream(true)]
#[case::buffered(false)]
#[actix_rt::test]
async fn copied_failure(#[case] is_stream: bool) {
    let fleet = Fleet::with_sends(1, 1).await;
    let target = &fleet.targets[0];
    target.plan([TargetAct::Fail(500), TargetAct::RepeatRefusal]);
    let failed = fleet.caller.open(single_run(is_stream)).await;
    let mut failed = failed.expect("a response");
    assert_eq!(failed.status, 500);
    while let Some(part) = failed.body.next().await {
        part.expect("a whole body");
    }
    let answered = read_response(&fleet, single_run(is_stream)).await;
    assert_eq!(answered, Ok((all_events(), None)));
}

/// Counts the responses whose limit is taken for that of the target.
#[derive(Default)]
struct LimitCount(AtomicU32);

impl CallObserver for LimitCount {
    fn limit_named(&self, _: Option<f64>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against a limit that ends, at all VMs, because a response of another request, or of another instance at the address,
/// names none.
#[rstest]
#[case::other_request(TargetAct::CrossAnswer, 0)]
#[case::other_instance(TargetAct::Fail(421), 0)]
#[case::own(TargetAct::Serve, 1)]
#[actix_rt::test]
async fn foreign_limit(#[case] act: TargetAct, #[case] named: u32) {
    let fleet = Fleet::start(1).await;
    fleet.targets[0].plan([act]);
    let call = single_run(true);
    let ticket = fleet.dispatcher.acquire(call.ticket_request(&[])).await;
    let count = Arc::new(LimitCount::default());
    let observer: Arc<dyn CallObserver> = Arc::<LimitCount>::clone(&count);
    let ticket = ticket.expect("a slot").with_observer(observer);
    let send = CallSend {
        call: &call,
        ticket: &ticket,
        last_event: None,
        until: Instant::now() + SEND_TIME,
        trace: &SendTrace::default(),
    };
    let sent = fleet.caller.send(send).await;
    assert_eq!(sent.is_ok(), named == 1);
    assert_eq!(count.0.load(Ordering::Relaxed), named);
}
