//! Requests that are at two targets, or must never be.

mod relay_fleet;

use plantainmill_core::{Clock as _, Executed, SystemClock};
use plantainmill_fakes::TargetAct;
use plantainmill_proxy::relay::RelayCall;
use relay_fleet::{Fleet, call, read_response};
use rstest::rstest;
use std::time::Duration;

/// Time for which the callers wait.
const CALL_TIME: Duration = Duration::from_millis(900);
/// Time after which a second target has been asked.
const REFUSAL_DELAY: Duration = Duration::from_millis(600);

fn short_call(may_repeat: bool) -> RelayCall {
    RelayCall {
        deadline: SystemClock.uptime() + CALL_TIME,
        ..call(may_repeat)
    }
}

/// Guards against a request that may run once and is sent to a second target because the first is silent, before its first event
/// or after one.
#[rstest]
#[case::first_event(TargetAct::SilentAfter(0), true)]
#[case::next_event(TargetAct::SilentAfter(1), true)]
#[case::buffered(TargetAct::SilentAfter(0), false)]
#[case::comments(TargetAct::TrickleAfter(0), true)]
#[actix_rt::test]
async fn single_run(#[case] act: TargetAct, #[case] is_stream: bool) {
    let fleet = Fleet::start(3).await;
    fleet.plan_first(act);
    let call = RelayCall {
        is_stream,
        ..short_call(false)
    };
    match read_response(&fleet, call).await {
        Ok((_, problem)) => assert!(problem.is_some()),
        Err(problem) => assert_ne!(problem.executed, Executed::No, "{}", problem.reason),
    }
    assert_eq!(fleet.sends(), 1);
}

/// Guards against the promise that a request did not run because one of its two targets refused it, while the other one has it:
/// the refusal comes from the second target, or late from the first.
#[rstest]
#[case::second_refuses(TargetAct::SilentAfter(0), TargetAct::Refuse)]
#[case::first_refuses(TargetAct::LateRefusal(REFUSAL_DELAY), TargetAct::SilentAfter(0))]
#[case::neither(TargetAct::SilentAfter(0), TargetAct::SilentAfter(0))]
#[actix_rt::test]
async fn refused_by_one(#[case] first: TargetAct, #[case] second: TargetAct) {
    let fleet = Fleet::start(2).await;
    fleet
        .dispatcher
        .set_targets(fleet.entries().take(1).collect::<Vec<_>>().iter());
    fleet.targets[0].plan([first]);
    fleet.targets[1].set_default_act(second);
    let both = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet
            .dispatcher
            .set_targets(fleet.entries().collect::<Vec<_>>().iter());
    };
    let (answered, ()) = tokio::join!(read_response(&fleet, short_call(true)), both);
    let problem = answered.expect_err("no answer");
    assert!(fleet.targets.iter().all(|target| !target.seen().is_empty()));
    assert_ne!(problem.executed, Executed::No, "{}", problem.reason);
    assert_ne!(problem.code.http_status(), 503, "{}", problem.reason);
}
