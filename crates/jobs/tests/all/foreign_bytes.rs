//! Items whose targets send bytes that belong to no event, within or after their events.

use crate::support::{EVENTS, TestCluster, check_results, route, submission, ward};
use plantainmill_core::JobId;
use plantainmill_fakes::TargetAct;
use plantainmill_fakes::foreign_bytes::{
    BLANK_LINES, CUT_FIELDS, FOREIGN_LINE, JOINED_LINE, OTHER_HEAD, UNNUMBERED_DATA,
};
use plantainmill_jobs::ItemState;
use rstest::rstest;
use std::time::Duration;

/// Pause between events, so that they arrive one by one.
const EVENT_PAUSE: Duration = Duration::from_millis(5);

/// Submits `count` items to a target that does `acts`, and checks the outputs.
async fn check_outputs(
    count: usize,
    acts: impl IntoIterator<Item = TargetAct>,
    pause: Duration,
) -> TestCluster {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm1", 1);
    cluster.target.set_pause(pause);
    cluster.target.plan(acts);
    let job = JobId::from("j1");
    vm.jobs
        .submit(&ward(), &route(), &job, &submission(count))
        .await
        .expect("accepted");
    let results = vm.read_results(&job, count).await;
    check_results(&results, count);
    let is_done = |state: ItemState| state == ItemState::Succeeded;
    assert!(results.iter().all(|result| is_done(result.state)));
    cluster
}

/// Guards against bytes that are no event in the output of an item, whether its stream breaks off after them and another
/// target resumes it, or goes on.
#[rstest]
#[actix_rt::test]
async fn clean_output(
    #[values(
        FOREIGN_LINE,
        UNNUMBERED_DATA,
        OTHER_HEAD,
        JOINED_LINE,
        CUT_FIELDS,
        BLANK_LINES
    )]
    bytes: &'static str,
    #[values(0, 2, EVENTS)] after: u64,
    #[values(Duration::ZERO, EVENT_PAUSE)] pause: Duration,
) {
    let acts = [
        TargetAct::ForeignEnd(after, bytes),
        TargetAct::ForeignWithin(after, bytes),
        TargetAct::ForeignEnd(after, bytes),
    ];
    check_outputs(4, acts, pause).await;
}

/// Guards against an item that is resumed after an event that it does not have: a resumption after foreign bytes asks for
/// the event after the last sound one, also when the resumed stream is spoilt as well.
#[rstest]
#[actix_rt::test]
async fn resumed_after_sound() {
    let acts = [
        TargetAct::ForeignEnd(2, FOREIGN_LINE),
        TargetAct::ForeignEnd(2, FOREIGN_LINE),
        TargetAct::ForeignEnd(4, FOREIGN_LINE),
    ];
    let cluster = check_outputs(1, acts, EVENT_PAUSE).await;
    let seen = cluster.target.seen();
    let resumed = seen
        .iter()
        .map(|request| request.headers.get("last-event-id").map(String::as_str));
    assert_eq!(
        resumed.collect::<Vec<_>>(),
        [None, Some("2"), Some("2"), Some("4")]
    );
}

/// Guards against comments that count as output.
#[rstest]
#[actix_rt::test]
async fn comments_between() {
    let acts = [
        TargetAct::ForeignWithin(2, ": comment\n\n"),
        TargetAct::ForeignWithin(0, ":\n\n\n"),
    ];
    let cluster = check_outputs(4, acts, EVENT_PAUSE).await;
    assert_eq!(cluster.target.seen().len(), 4);
}

/// Guards against an item that never ends because comments without events count as progress.
#[rstest]
#[case::first(0)]
#[case::later(2)]
#[actix_rt::test]
async fn trickled_comments(#[case] after: u64) {
    let acts = [TargetAct::TrickleBlocks(after)];
    check_outputs(1, acts, Duration::ZERO).await;
}
