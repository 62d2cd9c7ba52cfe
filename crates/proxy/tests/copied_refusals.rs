//! Targets that write the copy of a refusal on a kept connection while the request that they refused is under way again.

mod relay_fleet;

use plantainmill_core::Executed;
use plantainmill_fakes::{StreamTarget, TargetAct};
use plantainmill_proxy::relay::RelayCall;
use plantainmill_routing::TargetEntry;
use relay_fleet::{Fleet, NAMES, all_events, call, entry, read_response};
use rstest::rstest;
use std::time::Duration;

/// Time after which a target that has refused is asked again.
const BACKOFF_TIME: Duration = Duration::from_millis(100);

fn single_run(is_stream: bool) -> RelayCall {
    RelayCall {
        is_stream,
        ..call(false)
    }
}

fn runs(target: &StreamTarget) -> usize {
    let seen = target.seen();
    let is_run = |id: &str| id == "r1";
    let runs = seen.iter().filter(|request| request.ran);
    runs.filter(|request| is_run(&request.headers[NAMES.request_id]))
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
    if let Err(problem) = answered {
        assert_ne!(problem.executed, Executed::No, "{}", problem.reason);
    }
}

/// Guards against a request that fails although it runs once: the copy of the refusal of another request arrives in place of its
/// answer.
#[rstest]
#[case::stream(true)]
#[case::buffered(false)]
#[actix_rt::test]
async fn next_request(#[case] is_stream: bool) {
    let fleet = Fleet::with_sends(1, 1).await;
    let target = &fleet.targets[0];
    target.plan([TargetAct::Refuse, TargetAct::RepeatRefusal]);
    let other = RelayCall {
        id: "r2".into(),
        ..single_run(is_stream)
    };
    let refused = read_response(&fleet, other).await;
    assert!(refused.is_err_and(|problem| problem.executed == Executed::No));
    tokio::time::sleep(BACKOFF_TIME).await;
    let answered = read_response(&fleet, single_run(is_stream)).await;
    assert_eq!(runs(target), 1);
    assert_eq!(answered, Ok((all_events(), None)));
}

/// Guards against the promise that a request did not run, although it runs: the copy of the refusal of an earlier call with the
/// same id counts as the refusal of this one.
#[rstest]
#[case::stream(true)]
#[case::buffered(false)]
#[actix_rt::test]
async fn repeated_id(#[case] is_stream: bool) {
    let fleet = Fleet::with_sends(1, 1).await;
    let target = &fleet.targets[0];
    target.plan([TargetAct::Refuse, TargetAct::RepeatRefusal]);
    let refused = read_response(&fleet, single_run(is_stream)).await;
    assert!(refused.is_err_and(|problem| problem.executed == Executed::No));
    tokio::time::sleep(BACKOFF_TIME).await;
    let answered = read_response(&fleet, single_run(is_stream)).await;
    assert_eq!(runs(target), 1);
    if let Err(problem) = answered {
        assert_ne!(problem.executed, Executed::No, "{}", problem.reason);
    }
}
