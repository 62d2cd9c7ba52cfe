//! Streams of callers whose targets send more events than their streams have.

mod relay_fleet;

use plantainmill_core::ResultCode;
use plantainmill_fakes::foreign_bytes::FOREIGN_LINE;
use plantainmill_fakes::{StreamTarget, TargetAct};
use plantainmill_proxy::relay::{FORWARD_HEADER, RelayCall};
use relay_fleet::{EVENTS, Fleet, NAMES, RefusingDialer, all_events, call, read_response};
use rstest::rstest;
use std::rc::Rc;

/// Event beyond the end of all streams.
const EXCESS_EVENT: u64 = EVENTS + 2;

/// A call that several targets may run, which goes on after `last_event`.
fn resumed_call(last_event: Option<u64>) -> RelayCall {
    RelayCall {
        max_executions: 5,
        last_event,
        ..call(true)
    }
}

/// Events after which the requests at `target` were to go on.
fn resumptions(target: &StreamTarget) -> Vec<Option<u64>> {
    let seen = target.seen();
    let resumed = seen.iter().map(|request| {
        let last = request.headers.get("last-event-id");
        last.and_then(|last| last.parse().ok())
    });
    resumed.collect()
}

/// Checks that a caller gets all events that were sent, and a response that is not complete.
async fn check_cut(fleet: &Fleet) {
    let answered = read_response(fleet, resumed_call(None)).await;
    let (ids, problem) = answered.expect("a response");
    assert_eq!(ids, (1..=EXCESS_EVENT).collect::<Vec<u64>>());
    let code = problem.map(|problem| problem.code);
    assert_eq!(code, Some(ResultCode::AnswerInvalid));
}

/// Guards against a response that ends as if it were complete after events that are not those of its stream: a target that is
/// asked to go on behind them has nothing to add.
#[actix_rt::test]
async fn excess_events() {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(TargetAct::ExcessEvents(EXCESS_EVENT));
    check_cut(&fleet).await;
}

/// Guards against the same where another VM forwards the requests.
#[actix_rt::test]
async fn forwarded_excess() {
    let vm = StreamTarget::start(NAMES, EVENTS).await.expect("a port");
    vm.set_header(FORWARD_HEADER, "framed");
    vm.plan([TargetAct::ExcessEvents(EXCESS_EVENT)]);
    let dialer = Rc::new(RefusingDialer);
    let fleet = Fleet::connected(2, dialer, std::slice::from_ref(&vm)).await;
    check_cut(&fleet).await;
}

/// Guards against a whole stream that is cut although only its end was lost.
#[rstest]
#[case::confirmed(&[], &[None, Some(EVENTS), Some(EVENTS - 1)])]
#[case::lost_answer(
    &[TargetAct::Serve, TargetAct::LoseAnswer],
    &[None, Some(EVENTS), Some(EVENTS - 1), Some(EVENTS), Some(EVENTS - 1)],
)]
#[case::failed(
    &[TargetAct::Serve, TargetAct::Fail(503)],
    &[None, Some(EVENTS), Some(EVENTS - 1), Some(EVENTS), Some(EVENTS - 1)],
)]
#[case::no_stream(
    &[TargetAct::Serve, TargetAct::ErrorText],
    &[None, Some(EVENTS), Some(EVENTS - 1), Some(EVENTS), Some(EVENTS - 1)],
)]
#[actix_rt::test]
async fn lost_end(#[case] acts: &[TargetAct], #[case] expected: &[Option<u64>]) {
    let fleet = Fleet::start(1).await;
    let target = &fleet.targets[0];
    target.plan([TargetAct::ForeignEnd(EVENTS, FOREIGN_LINE)]);
    target.plan(acts.iter().copied());
    let answered = read_response(&fleet, resumed_call(None)).await;
    assert_eq!(answered, Ok((all_events(), None)));
    assert_eq!(resumptions(target), expected);
}

/// Guards against a caller that resumes behind the end of a stream and gets an empty, complete response, and against one that
/// resumes at its end and gets none.
#[actix_rt::test]
async fn resuming_caller() {
    let fleet = Fleet::start(2).await;
    let behind = read_response(&fleet, resumed_call(Some(EXCESS_EVENT))).await;
    assert_eq!(
        behind.map_err(|problem| problem.code),
        Err(ResultCode::AnswerInvalid)
    );
    let at_end = read_response(&fleet, resumed_call(Some(EVENTS))).await;
    assert_eq!(at_end, Ok((Vec::new(), None)));
}

/// Guards against a request that may run once and is sent again to check its end.
#[actix_rt::test]
async fn single_run() {
    let fleet = Fleet::start(2).await;
    let call = RelayCall {
        may_repeat: false,
        ..resumed_call(Some(EVENTS))
    };
    let answered = read_response(&fleet, call).await;
    assert_eq!(answered, Ok((Vec::new(), None)));
    assert_eq!(fleet.sends(), 1);
}
