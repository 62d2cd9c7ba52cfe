//! Calls to a target that closes the connection in the middle of its answer.

mod support;

use plantainmill_config::ServiceKind;
use plantainmill_core::{Executed, SystemClock};
use plantainmill_fakes::{HeadCut, StreamTarget, TargetAct, TargetNames};
use rstest::rstest;
use std::sync::Arc;
use support::{CallMode, OrderedDispatcher, TestFleet, TestResult, service_spec, short_limits};

const NAMES: TargetNames = TargetNames {
    request_id: "x-request-id",
    not_executed: "not-executed",
    limit: "server-limit",
    leaving: "server-leaving",
};
/// Number of events of each whole answer.
const EVENTS: u64 = 3;

/// Acts of targets that end an answer early.
fn short_answers() -> Vec<TargetAct> {
    let cuts = [
        HeadCut::InStatusLine,
        HeadCut::StatusLine,
        HeadCut::InHeader,
        HeadCut::Header,
        HeadCut::BeforeLength,
        HeadCut::InLength,
        HeadCut::BeforeBlankLine,
        HeadCut::InBlankLine,
        HeadCut::LineFeeds,
        HeadCut::LineFeedEnd,
    ];
    let heads = cuts
        .into_iter()
        .flat_map(|cut| [TargetAct::CutHead(cut), TargetAct::ResetHead(cut)]);
    let bodies = [TargetAct::ShortBody, TargetAct::CutAfter(0)];
    heads.chain(bodies).collect()
}

/// A caller whose first attempt is sent to a target with `act`, and the second one to a sound target.
async fn cut_fleet(act: TargetAct, is_repeatable: bool) -> (TestFleet, [StreamTarget; 2]) {
    let cut = StreamTarget::start(NAMES, EVENTS).await.expect("a port");
    let sound = StreamTarget::start(NAMES, EVENTS).await.expect("a port");
    cut.set_default_act(act);
    let targets = [("target-0", &cut), ("target-1", &sound)];
    let targets = targets.map(|(id, target)| (id.into(), target.address));
    let dispatcher = Arc::new(OrderedDispatcher {
        targets: targets.to_vec(),
        ..OrderedDispatcher::default()
    });
    let service = service_spec(ServiceKind::Plain, is_repeatable);
    let clock = Arc::new(SystemClock);
    let fleet = TestFleet::over(service, Vec::new(), dispatcher, short_limits(), clock);
    (fleet, [cut, sound])
}

/// Guards against an answer whose head ended early, and that counts as whole instead of being asked for at another target.
#[rstest]
#[actix_rt::test]
async fn cut_buffered() -> TestResult {
    for act in short_answers() {
        let (fleet, targets) = cut_fleet(act, true).await;
        let mode = CallMode::Buffered;
        let end = fleet.run(fleet.request("cut", mode), mode).await;
        let sends = targets.each_ref().map(|target| target.seen().len());
        assert_eq!(sends, [1, 1], "{act:?}: {end:?}");
        let body = String::from_utf8(end.body)?;
        assert_eq!(end.status, Some(200), "{act:?}");
        assert_eq!(body.matches("data: piece").count(), 3, "{act:?}: {body}");
    }
    Ok(())
}

/// Guards against a call that must not be repeated and is, or that succeeds with a part of an answer.
#[rstest]
#[actix_rt::test]
async fn cut_single_run(
    #[values(CallMode::Buffered, CallMode::Streaming)] mode: CallMode,
) -> TestResult {
    for act in short_answers() {
        let (fleet, targets) = cut_fleet(act, false).await;
        let end = fleet.run(fleet.request("cut", mode), mode).await;
        let sends = targets.each_ref().map(|target| target.seen().len());
        assert_eq!(sends, [1, 0], "{act:?}: {end:?}");
        let problem = end.problem.as_ref().ok_or(format!("{act:?}: {end:?}"))?;
        // A head that arrived whole proves that the request ran.
        assert_ne!(problem.executed, Executed::No, "{act:?}: {end:?}");
    }
    Ok(())
}
