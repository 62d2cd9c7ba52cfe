//! Relayed requests against targets with faults.

use awc::http::Method;
use awc::http::header::{HeaderMap, HeaderName};
use futures_util::StreamExt as _;
use plantainmill_core::{Clock as _, Executed, Problem, SystemClock};
use plantainmill_dispatch::shared::SharedParts;
use plantainmill_dispatch::{SharedDispatcher, TrafficClass};
use plantainmill_fakes::{StreamTarget, TargetAct, TargetNames};
use plantainmill_proxy::relay::{
    EventSplitter, HeaderNames, RelayCall, RelayCaller, RelayLimits, check_order,
};
use plantainmill_routing::TargetEntry;
use rstest::rstest;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const EVENTS: u64 = 6;
const NAMES: TargetNames = TargetNames {
    request_id: "request-id",
    not_executed: "not-executed",
};

struct Fleet {
    targets: Vec<StreamTarget>,
    dispatcher: SharedDispatcher,
    caller: RelayCaller,
}

impl Fleet {
    async fn start(count: usize) -> Fleet {
        let mut targets = Vec::new();
        for _ in 0..count {
            targets.push(StreamTarget::start(NAMES, EVENTS).await.expect("a port"));
        }
        let dispatcher = SharedDispatcher::new(SharedParts {
            vm: "vm".into(),
            domain: "a".into(),
            region: "north".into(),
            regions: HashMap::from([("a".into(), "north".into())]),
            clock: Arc::new(SystemClock),
        });
        let entries: Vec<TargetEntry> = targets.iter().enumerate().map(entry).collect();
        dispatcher.set_targets(entries.iter());
        let limits = RelayLimits {
            first_event_floor: Duration::from_millis(150),
            event_gap_floor: Duration::from_millis(150),
            ..RelayLimits::default()
        };
        let clock = Arc::new(SystemClock);
        let caller = RelayCaller::new(Arc::new(dispatcher.clone()), clock, names(), limits);
        Fleet {
            targets,
            dispatcher,
            caller,
        }
    }

    /// Plans one act for the first request, whichever target gets it.
    fn plan_first(&self, act: TargetAct) {
        for target in &self.targets {
            target.plan([act]);
        }
    }

    fn sends(&self) -> usize {
        self.targets.iter().map(|target| target.seen().len()).sum()
    }
}

fn names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static(NAMES.request_id),
        deadline: HeaderName::from_static("deadline-ms"),
        organisation: HeaderName::from_static("organisation"),
        expected_instance: HeaderName::from_static("expected"),
        not_executed: HeaderName::from_static(NAMES.not_executed),
        last_event: HeaderName::from_static("last-event-id"),
    }
}

fn entry((number, target): (usize, &StreamTarget)) -> TargetEntry {
    TargetEntry {
        id: format!("t{number}").into(),
        service: "llm".into(),
        address: target.address,
        domain: "a".into(),
        slots: 4,
        draining: false,
        born: 0,
        version: "v1".into(),
    }
}

fn call(resumable: bool) -> RelayCall {
    RelayCall {
        id: "r1".into(),
        service: "llm".into(),
        organisation: Some("ward".into()),
        priority: 0,
        class: TrafficClass::Online,
        method: Method::POST,
        path: "/ask/1?x=2".into(),
        headers: HeaderMap::new(),
        body: "question".into(),
        prefix_hash: None,
        deadline: SystemClock.uptime() + Duration::from_secs(2),
        wait_limit: Duration::from_millis(75),
        max_executions: 2,
        may_repeat: resumable,
        is_stream: true,
        first_event_objective: Duration::from_millis(50),
        event_gap: Duration::from_millis(50),
        last_event: None,
    }
}

/// The events that a caller gets, and the problem that ends its answer.
async fn read_answer(
    fleet: &Fleet,
    call: RelayCall,
) -> Result<(Vec<u64>, Option<Problem>), Problem> {
    let mut answer = fleet.caller.open(call).await?;
    assert_eq!(answer.status, 200);
    let mut splitter = EventSplitter::default();
    let mut ids = Vec::new();
    while let Some(part) = answer.body.next().await {
        match part {
            Ok(part) => ids.extend(splitter.push(&part).iter().filter_map(|event| event.id)),
            Err(problem) => return Ok((ids, Some(problem))),
        }
    }
    assert!(splitter.is_at_boundary(), "half an event was passed on");
    Ok((ids, None))
}

fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// Guards against streams that lose, repeat or join events when their target fails on the way.
#[rstest]
#[case(TargetAct::Serve, 1)]
#[case(TargetAct::CutAfter(0), 2)]
#[case(TargetAct::CutAfter(3), 2)]
#[case(TargetAct::SilentAfter(0), 2)]
#[case(TargetAct::SilentAfter(4), 2)]
#[case(TargetAct::Skip(1), 2)]
#[case(TargetAct::Skip(3), 2)]
#[case(TargetAct::Refuse, 2)]
#[case(TargetAct::Fail(500), 2)]
#[case(TargetAct::LoseAnswer, 2)]
#[case(TargetAct::CrossAnswer, 2)]
#[actix_rt::test]
async fn stream_goes_on(#[case] act: TargetAct, #[case] sends: usize) {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(act);
    fleet
        .targets
        .iter()
        .for_each(|target| target.plan([TargetAct::Serve]));
    // The second target follows its own plan only if it is asked first.
    let first_fails = call(true);
    let answer = read_answer(
        &fleet,
        RelayCall {
            max_executions: 3,
            ..first_fails
        },
    )
    .await;
    let (ids, problem) = answer.expect("an answer");
    assert_eq!((ids, problem), (all_events(), None));
    assert!(fleet.sends() >= sends, "{}", fleet.sends());
}

/// Guards against a second run of a request that may run once only, and against a false promise that it has not run.
#[rstest]
#[case(TargetAct::LoseAnswer, Executed::Unknown)]
#[case(TargetAct::CrossAnswer, Executed::Unknown)]
#[actix_rt::test]
async fn runs_once(#[case] act: TargetAct, #[case] executed: Executed) {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(act);
    let problem = read_answer(&fleet, call(false))
        .await
        .expect_err("no answer");
    assert_eq!(problem.executed, executed);
    assert!(problem.code.http_status() == 502 || problem.code.http_status() == 504);
    assert_eq!(fleet.sends(), 1);
}

/// Guards against answers without a length that are lost, and against a reset one that looks complete: streams, whole
/// answers, and requests on connections that were used before.
#[rstest]
#[case::whole_stream(TargetAct::Unframed, true)]
#[case::whole_answer(TargetAct::Unframed, false)]
#[case::reset_stream(TargetAct::UnframedReset(3), true)]
#[case::reset_answer(TargetAct::UnframedReset(3), false)]
#[actix_rt::test]
async fn answer_without_length(#[case] act: TargetAct, #[case] is_stream: bool) {
    let fleet = Fleet::start(1).await;
    let once = RelayCall {
        is_stream,
        ..call(false)
    };
    read_answer(&fleet, once.clone()).await.expect("an answer");
    for target in &fleet.targets {
        target.set_pause(Duration::from_millis(10));
    }
    fleet.plan_first(act);
    let answer = read_answer(&fleet, once.clone()).await;
    match (act, answer) {
        (TargetAct::Unframed, answer) => {
            assert_eq!(answer.expect("an answer"), (all_events(), None));
        }
        // A reset may take with it what came before and was not read yet.
        (_, Ok((ids, problem))) => {
            assert!(is_stream && ids.len() <= 3, "{ids:?}");
            assert_eq!(ids, all_events()[..ids.len()]);
            assert!(problem.is_some());
        }
        (_, Err(problem)) => assert_eq!(problem.executed, Executed::Unknown),
    }
    let (ids, problem) = read_answer(&fleet, once).await.expect("an answer");
    assert_eq!((ids, problem), (all_events(), None));
}

/// Guards against a cut stream that looks complete, where it may not go on.
#[actix_rt::test]
async fn cut_is_seen() {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(TargetAct::CutAfter(2));
    let (ids, problem) = read_answer(&fleet, call(false)).await.expect("an answer");
    assert_eq!(ids, [1, 2]);
    assert!(problem.is_some());
    assert_eq!(fleet.sends(), 1);
}

/// Guards against requests that are not repeated although every target said that it did not run them, against ones that
/// are repeated without end, and against a refusal that does not say that the request has not run.
#[actix_rt::test]
async fn refused_everywhere() {
    let fleet = Fleet::start(2).await;
    for target in &fleet.targets {
        target.plan([TargetAct::Refuse; 8]);
    }
    let problem = read_answer(&fleet, call(false))
        .await
        .expect_err("no answer");
    assert_eq!(problem.executed, Executed::No);
    assert_eq!(problem.code.http_status(), 503);
    assert!(problem.retry_after.is_some());
    assert!(fleet.targets.iter().all(|target| !target.seen().is_empty()));
    assert_eq!(
        fleet.sends(),
        usize::try_from(RelayLimits::default().sends).unwrap_or(0)
    );
}

/// Guards against a target that goes on working for a caller that has left, and a slot that stays taken.
#[actix_rt::test]
async fn caller_leaves() {
    let fleet = Fleet::start(1).await;
    fleet.targets[0].set_pause(Duration::from_millis(30));
    let mut answer = fleet.caller.open(call(true)).await.expect("an answer");
    assert!(answer.body.next().await.is_some());
    assert_eq!(fleet.targets[0].running(), 1);
    drop(answer);
    for _ in 0..50 {
        if fleet.targets[0].running() == 0 {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(fleet.targets[0].running(), 0);
    assert!(fleet.dispatcher.report().slots.is_empty());
}

/// Guards against requests that reach a target changed, without their id, or with more time than is left.
#[actix_rt::test]
async fn request_unchanged() {
    let fleet = Fleet::start(1).await;
    read_answer(&fleet, call(true)).await.expect("an answer");
    let seen = fleet.targets[0].seen().remove(0);
    assert_eq!(seen.line, "POST /ask/1?x=2 HTTP/1.1");
    assert_eq!(seen.body, b"question");
    let header = |name: &str| seen.headers.get(name).map(String::as_str);
    assert_eq!(header("request-id"), Some("r1"));
    assert_eq!(header("expected"), Some("t0"));
    assert_eq!(header("organisation"), Some("ward"));
    let deadline: u64 = header("deadline-ms")
        .and_then(|left| left.parse().ok())
        .expect("a deadline");
    assert!((1_000..=2_000).contains(&deadline), "{deadline}");
}

/// Guards against events that are split at the wrong place when they arrive in pieces.
#[rstest]
#[case("\n")]
#[case("\r\n")]
fn split_anywhere(#[case] line_end: &str) {
    let event =
        |id: u64| format!("id: {id}{line_end}data: a{line_end}data: b{id}{line_end}{line_end}");
    let text = [event(1), event(2), event(3)].concat();
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let events: Vec<_> = text
            .as_bytes()
            .chunks(size)
            .flat_map(|piece| splitter.push(piece))
            .collect();
        assert_eq!(
            events
                .iter()
                .filter_map(|event| event.id)
                .collect::<Vec<_>>(),
            [1, 2, 3]
        );
        assert_eq!(events[1].data(), b"a\nb2");
        assert!(splitter.is_at_boundary());
    }
}

/// Guards against a failed check that moves the last event on.
#[test]
fn order_check() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 4\n\nid: 6\n\n");
    let mut last = Some(3);
    assert!(check_order(&events, &mut last).is_err());
    assert_eq!(last, Some(3));
    assert!(check_order(&events[..1], &mut last).is_ok());
    assert_eq!(last, Some(4));
}
