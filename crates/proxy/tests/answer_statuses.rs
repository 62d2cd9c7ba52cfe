//! Responses with a status that HTTP does not define.

mod relay_fleet;
mod support;

use plantainmill_config::ServiceKind;
use plantainmill_core::{Executed, Problem, ResultCode, SystemClock};
use plantainmill_fakes::{StreamTarget, TargetAct};
use plantainmill_proxy::relay::RelayCall;
use relay_fleet::{EVENTS, Fleet, NAMES, all_events, call, read_response};
use rstest::rstest;
use std::sync::Arc;
use support::{CallMode, OrderedDispatcher, TestFleet, service_spec, short_limits};

/// The problem of a call to a target whose answer has the status, with the number of sends.
async fn failed_call(is_stream: bool, status: u16) -> (Option<Problem>, usize) {
    let fleet = Fleet::start(1).await;
    fleet.targets[0].set_default_act(TargetAct::Fail(status));
    let call = RelayCall {
        is_stream,
        ..call(false)
    };
    (fleet.caller.open(call).await.err(), fleet.sends())
}

/// Guards against a caller that gets an answer whose status says nothing, of a request that may have run.
#[rstest]
#[actix_rt::test]
async fn direct_answer(
    #[values(true, false)] is_stream: bool,
    #[values(0, 1, 99, 600, 999)] status: u16,
) {
    let (problem, sends) = failed_call(is_stream, status).await;
    let problem = problem.expect("no answer");
    assert_eq!(problem.code, ResultCode::AnswerInvalid, "{problem:?}");
    assert_eq!(problem.executed, Executed::Unknown, "{problem:?}");
    assert_eq!(sends, 1);
}

/// Guards against a request that may be repeated and is not sent to another target after such an answer.
#[rstest]
#[actix_rt::test]
async fn sound_repeat(#[values(true, false)] is_stream: bool, #[values(0, 600, 999)] status: u16) {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(TargetAct::Fail(status));
    fleet.targets[1].set_default_act(TargetAct::Serve);
    let call = RelayCall {
        is_stream,
        max_executions: 3,
        ..call(true)
    };
    let answered = read_response(&fleet, call).await;
    assert_eq!(answered, Ok((all_events(), None)));
}

/// Guards against the same on the product's own interface.
#[rstest]
#[actix_rt::test]
async fn own_interface(
    #[values(CallMode::Buffered, CallMode::Streaming)] mode: CallMode,
    #[values(0, 600, 999)] status: u16,
) {
    let target = StreamTarget::start(NAMES, EVENTS).await.expect("a port");
    target.set_default_act(TargetAct::Fail(status));
    let dispatcher = Arc::new(OrderedDispatcher {
        targets: vec![("target-0".into(), target.address)],
        ..OrderedDispatcher::default()
    });
    let service = service_spec(ServiceKind::Plain, false);
    let clock = Arc::new(SystemClock);
    let fleet = TestFleet::over(service, Vec::new(), dispatcher, short_limits(), clock);
    let end = fleet.run(fleet.request("status", mode), mode).await;
    let problem = end.problem.as_ref().expect("no answer");
    assert_eq!(problem.code, ResultCode::AnswerInvalid, "{end:?}");
    assert_eq!(problem.executed, Executed::Unknown, "{end:?}");
}
