//! Relayed requests to targets with faults.

mod relay_fleet;

use futures_util::StreamExt as _;
use plantainmill_core::{Clock as _, Executed, SystemClock};
use plantainmill_fakes::{StreamTarget, TargetAct};
use plantainmill_proxy::relay::{EventSplitter, RelayCall, RelayLimits, check_order};
use plantainmill_routing::TargetEntry;
use relay_fleet::{EVENTS, Fleet, NAMES, all_events, call, read_response};
use rstest::rstest;
use std::time::{Duration, Instant};

/// Guards against lost, duplicated or merged events when a target fails while it streams.
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
async fn stream_failover(#[case] act: TargetAct, #[case] sends: usize) {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(act);
    fleet
        .targets
        .iter()
        .for_each(|target| target.plan([TargetAct::Serve]));
    // Every target performs `act` on its first request, so the request may fail at both before it succeeds.
    let repeatable = call(true);
    let response = read_response(
        &fleet,
        RelayCall {
            max_executions: 3,
            ..repeatable
        },
    )
    .await;
    let (ids, problem) = response.expect("a response");
    assert_eq!((ids, problem), (all_events(), None));
    assert!(fleet.sends() >= sends, "{}", fleet.sends());
}

/// Guards against a second execution of a request that must not be repeated, and against reporting that it was not
/// executed.
#[rstest]
#[case(TargetAct::LoseAnswer, Executed::Unknown)]
#[case(TargetAct::CrossAnswer, Executed::Unknown)]
#[actix_rt::test]
async fn runs_once(#[case] act: TargetAct, #[case] executed: Executed) {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(act);
    let problem = read_response(&fleet, call(false))
        .await
        .expect_err("no response");
    assert_eq!(problem.executed, executed);
    assert!(problem.code.http_status() == 502 || problem.code.http_status() == 504);
    assert_eq!(fleet.sends(), 1);
}

/// Guards against a target that writes an earlier refusal once more on a kept connection: a request that it runs is sent again, or its
/// caller is told that it did not run. The earlier refusal is of the same request, of another one, or names none.
#[rstest]
#[case::same_request(TargetAct::Refuse, &["r1"], 4, true)]
#[case::same_buffered(TargetAct::Refuse, &["r1"], 4, false)]
#[case::other_request(TargetAct::Refuse, &["r2", "r1"], 1, true)]
#[case::no_request(TargetAct::RefuseWithoutId, &["r2", "r1"], 1, true)]
#[actix_rt::test]
async fn repeated_refusal(
    #[case] refusal: TargetAct,
    #[case] ids: &[&str],
    #[case] max_sends: u32,
    #[case] is_stream: bool,
) {
    let fleet = Fleet::with_sends(1, max_sends).await;
    let target = &fleet.targets[0];
    target.plan([refusal, TargetAct::RepeatRefusal, TargetAct::Serve]);
    let mut last = None;
    for id in ids {
        let call = RelayCall {
            id: (*id).into(),
            is_stream,
            ..call(false)
        };
        last = Some(read_response(&fleet, call).await);
        // The backoff from the target is over by then.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let seen = target.seen();
    let runs = seen
        .iter()
        .filter(|request| request.ran && request.headers[NAMES.request_id] == "r1");
    assert_eq!(runs.count(), 1);
    if let Some(Err(problem)) = last {
        assert_ne!(problem.executed, Executed::No, "{}", problem.reason);
    }
}

/// Guards against a stream without a length whose target crashed before its first event, and that passes for a complete
/// one without events.
#[actix_rt::test]
async fn unframed_crash() {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(TargetAct::UnframedEnd(0));
    let ended = read_response(&fleet, call(true)).await;
    assert!(ended.is_err(), "{ended:?}");
}

/// Guards against a panic when a stream continues after its last event, so that it ends without any.
#[actix_rt::test]
async fn resumed_at_end() {
    let fleet = Fleet::start(1).await;
    let resumed = RelayCall {
        last_event: Some(EVENTS),
        ..call(true)
    };
    let complete = read_response(&fleet, resumed).await;
    assert_eq!(complete.expect("a response"), (Vec::new(), None));
}

/// Guards against losing responses without a length, and against a connection reset that looks like a complete
/// response: for streams, for buffered responses, and on reused connections.
#[rstest]
#[case::complete_stream(TargetAct::Unframed, true)]
#[case::complete_response(TargetAct::Unframed, false)]
#[case::reset_stream(TargetAct::UnframedReset(3), true)]
#[case::reset_response(TargetAct::UnframedReset(3), false)]
#[actix_rt::test]
async fn response_without_length(#[case] act: TargetAct, #[case] is_stream: bool) {
    let fleet = Fleet::start(1).await;
    let once = RelayCall {
        is_stream,
        ..call(false)
    };
    read_response(&fleet, once.clone())
        .await
        .expect("a response");
    for target in &fleet.targets {
        target.set_pause(Duration::from_millis(10));
    }
    fleet.plan_first(act);
    let response = read_response(&fleet, once.clone()).await;
    match (act, response) {
        (TargetAct::Unframed, response) => {
            assert_eq!(response.expect("a response"), (all_events(), None));
        }
        // A reset may discard data that had arrived but was not read yet.
        (_, Ok((ids, problem))) => {
            assert!(is_stream && ids.len() <= 3, "{ids:?}");
            assert_eq!(ids, all_events()[..ids.len()]);
            assert!(problem.is_some());
        }
        (_, Err(problem)) => assert_eq!(problem.executed, Executed::Unknown),
    }
    let (ids, problem) = read_response(&fleet, once).await.expect("a response");
    assert_eq!((ids, problem), (all_events(), None));
}

/// Guards against a truncated stream that looks complete when failover is not allowed.
#[actix_rt::test]
async fn truncated_stream() {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(TargetAct::CutAfter(2));
    let (ids, problem) = read_response(&fleet, call(false))
        .await
        .expect("a response");
    assert_eq!(ids, [1, 2]);
    assert!(problem.is_some());
    assert_eq!(fleet.sends(), 1);
}

/// Guards against not resending a request that every target reported as not executed, against resending it without a
/// limit, and against a refusal that does not report that it was not executed.
#[actix_rt::test]
async fn refused_everywhere() {
    let fleet = Fleet::start(2).await;
    for target in &fleet.targets {
        target.plan([TargetAct::Refuse; 8]);
    }
    let problem = read_response(&fleet, call(false))
        .await
        .expect_err("no response");
    assert_eq!(problem.executed, Executed::No);
    assert_eq!(problem.code.http_status(), 503);
    assert!(problem.retry_after.is_some());
    assert!(fleet.targets.iter().all(|target| !target.seen().is_empty()));
    assert_eq!(
        fleet.sends(),
        usize::try_from(RelayLimits::default().max_sends).unwrap_or(0)
    );
}

/// Guards against a target that keeps working after the caller has disconnected, and against a leaked slot.
#[actix_rt::test]
async fn caller_disconnects() {
    let fleet = Fleet::start(1).await;
    fleet.targets[0].set_pause(Duration::from_millis(30));
    let mut response = fleet.caller.open(call(true)).await.expect("a response");
    assert!(response.body.next().await.is_some());
    assert_eq!(fleet.targets[0].running(), 1);
    drop(response);
    for _ in 0..50 {
        if fleet.targets[0].running() == 0 {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(fleet.targets[0].running(), 0);
    assert!(fleet.dispatcher.report().slots.is_empty());
}

/// Guards against requests that reach a target modified, without their id, or with a deadline beyond the caller's.
#[actix_rt::test]
async fn request_unchanged() {
    let fleet = Fleet::start(1).await;
    read_response(&fleet, call(true)).await.expect("a response");
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

/// Guards against splitting events at the wrong place when they arrive in pieces.
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
            .flat_map(|piece| splitter.push(piece).expect("events of a usual size"))
            .collect();
        assert_eq!(
            events.iter().map(|event| event.id).collect::<Vec<_>>(),
            [1, 2, 3]
        );
        assert_eq!(events[1].data(), b"a\nb2");
        assert!(splitter.is_at_boundary());
    }
}

/// Guards against a failed check that advances the last event.
#[test]
fn order_check() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 4\n\nid: 6\n\n");
    let events = events.expect("events of a usual size");
    let mut last = Some(3);
    assert!(check_order(&events, &mut last).is_err());
    assert_eq!(last, Some(3));
    assert!(check_order(&events[..1], &mut last).is_ok());
    assert_eq!(last, Some(4));
}

/// Guards against targets whose bytes never end and are no answer: in a head, in the body of a failure, or in a stream.
/// The request goes on at the other target, and nothing stays buffered.
#[rstest]
#[case::head(TargetAct::EndlessHead)]
#[case::body(TargetAct::EndlessBody)]
#[case::first_event(TargetAct::EndlessEvent(0))]
#[case::later_event(TargetAct::EndlessEvent(3))]
#[actix_rt::test]
async fn endless_answer(#[case] act: TargetAct) {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(act);
    let started = Instant::now();
    let repeatable = RelayCall {
        max_executions: 3,
        deadline: SystemClock.uptime() + Duration::from_secs(10),
        ..call(true)
    };
    let response = read_response(&fleet, repeatable).await;
    assert_eq!(response.expect("a response"), (all_events(), None));
    assert!(started.elapsed() < Duration::from_secs(5));
    wait_until_idle(&fleet).await;
}

/// Guards against a refusal whose body never ends and is read for as long as it comes.
#[actix_rt::test]
async fn endless_refusal() {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(TargetAct::EndlessRefusal);
    let response = read_response(&fleet, call(false)).await;
    let served = matches!(&response, Ok((ids, None)) if *ids == all_events());
    assert!(served || response.is_err(), "{response:?}");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let running = fleet.targets.iter().map(StreamTarget::running);
    assert_eq!(running.sum::<usize>(), 0);
}

/// Guards against a stream that broke off and at whose next target the text of an error reaches the caller, or that ends
/// there as if it were complete.
#[rstest]
#[case::failed(TargetAct::Fail(500))]
#[case::gone(TargetAct::Fail(404))]
#[case::unavailable(TargetAct::Fail(503))]
#[case::endless(TargetAct::EndlessBody)]
#[case::text(TargetAct::ErrorText)]
#[actix_rt::test]
async fn error_after_break(#[case] act: TargetAct) {
    let fleet = Fleet::start(1).await;
    fleet.targets[0].plan([TargetAct::CutAfter(3)]);
    fleet.targets[0].set_default_act(act);
    let repeatable = RelayCall {
        max_executions: 3,
        ..call(true)
    };
    let mut response = fleet.caller.open(repeatable).await.expect("a response");
    let (mut received, mut is_broken) = (Vec::new(), false);
    while let Some(part) = response.body.next().await {
        match part {
            Ok(part) => received.extend_from_slice(&part),
            Err(_) => is_broken = true,
        }
    }
    assert!(is_broken, "the stream ended as if it were complete");
    let received = String::from_utf8_lossy(&received).into_owned();
    let mut splitter = EventSplitter::default();
    let events = splitter.push(received.as_bytes()).expect("events");
    let ids: Vec<u64> = events.iter().map(|event| event.id).collect();
    assert_eq!((ids, events.len()), (vec![1, 2, 3], 3), "{received}");
    assert!(splitter.is_at_boundary(), "{received}");
}

/// Guards against an endless answer to a request that may not be repeated: it must end before the deadline, with a
/// problem that does not deny the execution.
#[rstest]
#[case::head(TargetAct::EndlessHead, true)]
#[case::body(TargetAct::EndlessBody, false)]
#[case::first_event(TargetAct::EndlessEvent(0), true)]
#[actix_rt::test]
async fn endless_answer_once(#[case] act: TargetAct, #[case] is_stream: bool) {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(act);
    let started = Instant::now();
    let once = RelayCall {
        is_stream,
        deadline: SystemClock.uptime() + Duration::from_secs(20),
        ..call(false)
    };
    let problem = read_response(&fleet, once).await.expect_err("no response");
    assert_ne!(problem.executed, Executed::No);
    assert!(started.elapsed() < Duration::from_secs(10));
    assert_eq!(fleet.sends(), 1);
    wait_until_idle(&fleet).await;
}

/// Guards against a stream without progress that is kept open because its target sends a comment now and then.
#[rstest]
#[case(TargetAct::TrickleAfter(0))]
#[case(TargetAct::TrickleAfter(3))]
#[actix_rt::test]
async fn stream_without_progress(#[case] act: TargetAct) {
    let fleet = Fleet::start(2).await;
    fleet.plan_first(act);
    let repeatable = RelayCall {
        max_executions: 3,
        deadline: SystemClock.uptime() + Duration::from_secs(20),
        ..call(true)
    };
    let started = Instant::now();
    let response = read_response(&fleet, repeatable).await;
    assert_eq!(response.expect("a response"), (all_events(), None));
    assert!(started.elapsed() < Duration::from_secs(5));
    wait_until_idle(&fleet).await;
}

/// Guards against a slow stream that is cut although each event arrives within the allowed pause.
#[actix_rt::test]
async fn slow_stream() {
    let fleet = Fleet::start(2).await;
    for target in &fleet.targets {
        target.set_pause(Duration::from_millis(100));
    }
    let response = read_response(&fleet, call(true)).await;
    assert_eq!(response.expect("a response"), (all_events(), None));
    assert_eq!(fleet.sends(), 1);
}

/// Waits until no target works on a request any more: the connections of abandoned answers are closed.
async fn wait_until_idle(fleet: &Fleet) {
    for _ in 0..100 {
        if fleet.targets.iter().all(|target| target.running() == 0) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("a target still works on an abandoned request");
}

/// Guards against a stream that ends because its target fell silent for a while, although no other target has the version at
/// which it began.
#[actix_rt::test]
async fn only_target_of_version() {
    let fleet = Fleet::start(2).await;
    let versions = fleet.entries().map(|entry| TargetEntry {
        version: entry.id.clone(),
        ..entry
    });
    fleet
        .dispatcher
        .set_targets(versions.collect::<Vec<_>>().iter());
    // Longer than the silence after which a stream goes on elsewhere.
    let pause = Duration::from_millis(250);
    fleet
        .targets
        .iter()
        .for_each(|target| target.set_pause(pause));
    let patient = RelayCall {
        first_event_objective: Duration::from_secs(1),
        ..call(true)
    };
    let response = read_response(&fleet, patient).await;
    let (ids, problem) = response.expect("a response");
    assert_eq!((ids, problem), (all_events(), None));
    assert_eq!(fleet.sends(), 1);
}

/// Guards against a stream that is cut for good because no target of its version has a free slot at the moment.
#[actix_rt::test]
async fn waits_for_slot() {
    let fleet = Fleet::start(2).await;
    let busy = fleet
        .entries()
        .map(|entry| TargetEntry { slots: 0, ..entry });
    fleet
        .dispatcher
        .set_targets(busy.collect::<Vec<_>>().iter());
    let ticker = fleet.dispatcher.clone();
    let entries: Vec<TargetEntry> = fleet.entries().collect();
    actix_rt::spawn(async move {
        for round in 0..100 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            if round == 40 {
                ticker.set_targets(entries.iter());
            }
            ticker.tick();
        }
    });
    let taken_up = RelayCall {
        version: Some("v1".into()),
        last_event: Some(2),
        wait_limit: Duration::from_millis(50),
        ..call(true)
    };
    let response = read_response(&fleet, taken_up).await;
    let (ids, problem) = response.expect("a response");
    assert_eq!((ids, problem), ((3..=EVENTS).collect(), None));
}
