//! Items whose targets send events that are not theirs, in order and without end, or more of them than their output has.

use crate::support::{EVENTS, TestCluster, check_results};
use plantainmill_core::JobId;
use plantainmill_fakes::TargetAct;
use plantainmill_fakes::foreign_bytes::FOREIGN_LINE;
use plantainmill_jobs::ItemState;
use rstest::rstest;
use std::time::Duration;

/// Data of an event of a model that does not stop.
const EVENT_BYTES: usize = 400;
/// Data of an event that is nearly as large as events may be.
const LARGE_EVENT_BYTES: usize = 261_900;
/// Retention of a job whose item no target can finish.
const SHORT_RETENTION: Duration = Duration::from_secs(1);
/// Runs of such an item within its retention, with delays of 50 ms and more between them.
const MAX_RUNS: usize = 8;

fn job() -> JobId {
    "j1".into()
}

/// Runs `count` items at a target that does `acts`, and checks that all succeed with their own output.
async fn check_outputs(count: usize, acts: impl IntoIterator<Item = TargetAct>) -> TestCluster {
    check_outputs_at(TestCluster::start().await, count, acts).await
}

async fn check_outputs_at(
    cluster: TestCluster,
    count: usize,
    acts: impl IntoIterator<Item = TargetAct>,
) -> TestCluster {
    let vm = cluster.vm("vm1", 1);
    cluster.target.plan(acts);
    vm.submit_retained(&job(), count, Duration::from_mins(1))
        .await;
    let results = vm.read_results(&job(), count).await;
    check_results(&results, count);
    let mut states = results.iter().map(|result| result.state);
    assert!(states.all(|state| state == ItemState::Succeeded));
    cluster
}

/// Events after which the sends of an item went on.
fn resumptions(cluster: &TestCluster) -> Vec<Option<u64>> {
    let seen = cluster.target.seen();
    let resumed = seen.iter().map(|request| {
        let last = request.headers.get("last-event-id");
        last.and_then(|last| last.parse().ok())
    });
    resumed.collect()
}

/// Guards against an item that is listed with the events that a target sent without end, and against one that makes the
/// write too large that lists it and the results after it.
#[rstest]
#[actix_rt::test]
async fn endless_output(
    #[values(EVENT_BYTES, LARGE_EVENT_BYTES)] bytes: usize,
    #[values(1, 4)] count: usize,
) {
    let cluster = check_outputs(count, [TargetAct::EndlessEvents(bytes); 2]).await;
    assert!(resumptions(&cluster).iter().all(Option::is_none));
}

/// Guards against the same where a sound target has begun the output.
#[actix_rt::test]
async fn endless_continuation() {
    let acts = [
        TargetAct::CutAfter(2),
        TargetAct::EndlessEvents(EVENT_BYTES),
    ];
    let cluster = check_outputs(1, acts).await;
    assert_eq!(resumptions(&cluster), [None, Some(2), None]);
}

/// Guards against an output that is longer than that of the item and counts as whole, because a target has nothing to add.
#[rstest]
#[case::one(EVENTS + 1)]
#[case::several(EVENTS + 5)]
#[actix_rt::test]
async fn excess_events(#[case] end: u64) {
    let cluster = check_outputs(1, [TargetAct::ExcessEvents(end)]).await;
    let expected = [None, Some(end), Some(end - 1), None];
    assert_eq!(resumptions(&cluster), expected);
}

/// Guards against outputs with too many events where another VM forwards the requests.
#[rstest]
#[case::endless(TargetAct::EndlessEvents(EVENT_BYTES), &[None, None])]
#[case::excess(
    TargetAct::ExcessEvents(EVENTS + 1),
    &[None, Some(EVENTS + 1), Some(EVENTS), None],
)]
#[actix_rt::test]
async fn forwarded_events(#[case] act: TargetAct, #[case] expected: &[Option<u64>]) {
    let cluster = TestCluster::start_forwarded().await;
    let cluster = check_outputs_at(cluster, 1, [act]).await;
    assert_eq!(resumptions(&cluster), expected);
}

/// Guards against a whole output that is run anew because only the end of its stream was lost.
#[actix_rt::test]
async fn lost_end() {
    let cluster = check_outputs(1, [TargetAct::ForeignEnd(EVENTS, FOREIGN_LINE)]).await;
    assert_eq!(
        resumptions(&cluster),
        [None, Some(EVENTS), Some(EVENTS - 1)]
    );
}

/// Guards against an output with replacement characters in place of bytes that are no text.
#[rstest]
#[case::first(0)]
#[case::later(2)]
#[case::last(EVENTS - 1)]
#[actix_rt::test]
async fn broken_text(#[case] after: u64) {
    let cluster = check_outputs(1, [TargetAct::BrokenText(after)]).await;
    let sound = Some(after).filter(|after| *after > 0);
    assert_eq!(resumptions(&cluster), [None, sound]);
}

/// Guards against an item that stays bound to a version whose targets have not sent a single sound event of it.
#[actix_rt::test]
async fn broken_version() {
    let broken = TestCluster::start().await;
    let sound = TestCluster::start().await;
    let vm = broken.vm("vm1", 1);
    broken.target.set_default_act(TargetAct::BrokenText(0));
    vm.submit_retained(&job(), 1, Duration::from_mins(1)).await;
    while broken.target.seen().is_empty() {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    let entries = [broken.entry("t1", "v1"), sound.entry("t2", "v2")];
    vm.dispatcher.set_targets(entries.iter());
    check_results(&vm.read_results(&job(), 1).await, 1);
    assert_eq!(resumptions(&sound), [None]);
}

/// Guards against an item that is given up before its retention ends, or runs over and over, because all targets send more
/// than can be listed.
#[actix_rt::test]
async fn too_large_everywhere() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm1", 1);
    cluster
        .target
        .set_default_act(TargetAct::EndlessEvents(EVENT_BYTES));
    vm.submit_retained(&job(), 1, SHORT_RETENTION).await;
    actix_rt::time::sleep(SHORT_RETENTION / 2).await;
    assert_eq!(vm.jobs.owed_items().len(), 1);
    let results = vm.read_results(&job(), 1).await;
    let states: Vec<ItemState> = results.iter().map(|result| result.state).collect();
    assert_eq!(states, [ItemState::GivenUp]);
    let runs = cluster.target.seen().len();
    assert!((2..=MAX_RUNS).contains(&runs), "{runs} runs");
}
