//! Streams of callers whose targets send bytes that belong to no event, within or after their events.

mod relay_fleet;

use futures_util::StreamExt as _;
use plantainmill_core::{Executed, ResultCode};
use plantainmill_fakes::foreign_bytes::{
    BLANK_LINES, CUT_FIELDS, FOREIGN_LINE, JOINED_LINE, OTHER_HEAD, UNNUMBERED_DATA,
};
use plantainmill_fakes::{StreamTarget, TargetAct};
use plantainmill_proxy::relay::{EventSplitter, FORWARD_HEADER, RelayCall};
use relay_fleet::{
    EVENT_HEADER, EVENTS, Fleet, NAMES, RefusingDialer, all_events, call, read_response,
};
use rstest::rstest;
use std::rc::Rc;
use std::time::Duration;

/// Pause between events, so that they arrive one by one.
const EVENT_PAUSE: Duration = Duration::from_millis(5);

/// What a caller gets.
struct CallerEnd {
    text: String,
    code: Option<ResultCode>,
    executed: Option<Executed>,
}

/// Reads the response to `call` as its caller does.
async fn read_text(fleet: &Fleet, call: RelayCall) -> CallerEnd {
    let mut end = CallerEnd {
        text: String::new(),
        code: None,
        executed: None,
    };
    let opened = fleet.caller.open(call).await;
    let problem = match opened {
        Ok(mut response) => loop {
            match response.body.next().await {
                Some(Ok(part)) => end.text.push_str(&String::from_utf8_lossy(&part)),
                Some(Err(problem)) => break Some(problem),
                None => break None,
            }
        },
        Err(problem) => Some(problem),
    };
    end.code = problem.as_ref().map(|problem| problem.code);
    end.executed = problem.map(|problem| problem.executed);
    end
}

/// Text of the events from `first` to `last`.
fn events_text(first: u64, last: u64) -> String {
    let events = (first..=last).map(|number| format!("id: {number}\ndata: piece {number}\n\n"));
    events.collect()
}

/// Guards against bytes that are no event in a stream that goes on at another target, from its first event or after one.
#[rstest]
#[actix_rt::test]
async fn resumed_stream(
    #[values(
        FOREIGN_LINE,
        UNNUMBERED_DATA,
        OTHER_HEAD,
        JOINED_LINE,
        CUT_FIELDS,
        BLANK_LINES
    )]
    bytes: &'static str,
    #[values(0, 2, 4)] after: u64,
    #[values(Duration::ZERO, EVENT_PAUSE)] pause: Duration,
    #[values(TargetAct::ForeignEnd, TargetAct::ForeignWithin)] act: fn(
        u64,
        &'static str,
    ) -> TargetAct,
) {
    let fleet = Fleet::start(2).await;
    fleet
        .targets
        .iter()
        .for_each(|target| target.set_pause(pause));
    fleet.targets[0].plan([act(after, bytes)]);
    fleet.targets[1].plan([act(after, bytes)]);
    let repeatable = RelayCall {
        max_executions: 3,
        ..call(true)
    };
    let end = read_text(&fleet, repeatable).await;
    assert_eq!((end.text, end.code), (events_text(1, EVENTS), None));
}

/// Guards against the same in a stream that the caller itself resumes.
#[rstest]
#[actix_rt::test]
async fn resuming_caller(
    #[values(FOREIGN_LINE, UNNUMBERED_DATA, JOINED_LINE)] bytes: &'static str,
    #[values(2, 4)] after: u64,
) {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(TargetAct::ForeignEnd(after, bytes));
    let resumed = RelayCall {
        max_executions: 3,
        last_event: Some(2),
        ..call(true)
    };
    let end = read_text(&fleet, resumed).await;
    assert_eq!((end.text, end.code), (events_text(3, EVENTS), None));
}

/// Guards against the same in a stream that other VMs forward.
#[rstest]
#[case::first(0)]
#[case::later(3)]
#[actix_rt::test]
async fn forwarded_stream(#[case] after: u64) {
    let vm = StreamTarget::start(NAMES, EVENTS).await.expect("a port");
    vm.set_header(FORWARD_HEADER, "framed");
    vm.set_pause(EVENT_PAUSE);
    vm.plan([TargetAct::ForeignEnd(after, FOREIGN_LINE)]);
    let dialer = Rc::new(RefusingDialer);
    let fleet = Fleet::connected(2, dialer, std::slice::from_ref(&vm)).await;
    let end = read_text(&fleet, call(true)).await;
    assert_eq!((end.text, end.code), (events_text(1, EVENTS), None));
    assert_eq!(vm.seen().len(), 2);
}

/// Guards against a stream that may not be repeated and that goes on, or ends as if it were complete, after bytes that are
/// no event, and against a problem that denies the execution.
#[rstest]
#[actix_rt::test]
async fn single_run(
    #[values(FOREIGN_LINE, UNNUMBERED_DATA, JOINED_LINE)] bytes: &'static str,
    #[values(0, 2)] after: u64,
    #[values(TargetAct::ForeignEnd, TargetAct::ForeignWithin)] act: fn(
        u64,
        &'static str,
    ) -> TargetAct,
) {
    let fleet = Fleet::start(2).await;
    fleet
        .targets
        .iter()
        .for_each(|target| target.set_pause(EVENT_PAUSE));
    fleet.plan_first(act(after, bytes));
    let end = read_text(&fleet, call(false)).await;
    assert_eq!(end.text, events_text(1, after));
    assert_eq!(end.code, Some(ResultCode::AnswerInvalid));
    let executed = if after == 0 {
        Executed::Unknown
    } else {
        Executed::Yes
    };
    assert_eq!(end.executed, Some(executed));
    assert_eq!(fleet.sends(), 1);
}

/// Guards against comments that are lost, delayed beyond the next event, or taken for an event.
#[rstest]
#[case::before(0, ": comment\n\n")]
#[case::between(3, ": comment\n\n\n: more\n")]
#[case::after(EVENTS, ": comment\n\n")]
#[actix_rt::test]
async fn passed_comments(#[case] after: u64, #[case] bytes: &'static str) {
    let fleet = Fleet::start(1).await;
    fleet.targets[0].set_pause(EVENT_PAUSE);
    fleet.targets[0].plan([TargetAct::ForeignWithin(after, bytes)]);
    let end = read_text(&fleet, call(true)).await;
    let expected = format!(
        "{}{bytes}{}",
        events_text(1, after),
        events_text(after + 1, EVENTS)
    );
    assert_eq!((end.text, end.code), (expected, None));
}

/// Guards against comments that keep a stream from going on elsewhere while no event comes.
#[rstest]
#[case::first(0)]
#[case::later(2)]
#[actix_rt::test]
async fn trickled_comments(#[case] after: u64) {
    let fleet = Fleet::start(2).await;
    fleet.targets[0].plan([TargetAct::TrickleBlocks(after)]);
    fleet.targets[1].plan([TargetAct::TrickleBlocks(after)]);
    let repeatable = RelayCall {
        max_executions: 3,
        ..call(true)
    };
    let response = read_response(&fleet, repeatable).await;
    assert_eq!(response.expect("a response"), (all_events(), None));
}

/// Guards against an event that is rejected for the header that the target repeats as its first line.
#[actix_rt::test]
async fn header_line() {
    let fleet = Fleet::start(1).await;
    fleet.targets[0].plan([TargetAct::ForeignWithin(2, "weights: 7\n")]);
    let end = read_text(&fleet, call(false)).await;
    let expected = format!(
        "{}weights: 7\n{}",
        events_text(1, 2),
        events_text(3, EVENTS)
    );
    assert_eq!((end.text, end.code), (expected, None));
}

/// Guards against other lines that pass for that header.
#[rstest]
#[case::no_number("weights: seven\n")]
#[case::no_colon("weights 7\n")]
#[case::longer_name("weights-x: 7\n")]
#[case::second_line("id: 1\nweights: 7\n")]
#[case::twice("weights: 7\nweights: 8\n")]
fn other_lines(#[case] lines: &str) {
    let mut splitter = EventSplitter::with_header(EVENT_HEADER.parse().ok());
    let split = splitter.push(format!("{lines}data: a\n\n").as_bytes());
    assert!(split.is_err(), "{split:?}");
}

/// Guards against events without one number, which nothing can continue.
#[rstest]
#[case::no_number("id: one\ndata: a\n\n")]
#[case::empty("id:\ndata: a\n\n")]
#[case::twice("id: 1\nid: 2\ndata: a\n\n")]
fn event_ids(#[case] text: &str) {
    let split = EventSplitter::default().push(text.as_bytes());
    assert!(split.is_err(), "{split:?}");
}
