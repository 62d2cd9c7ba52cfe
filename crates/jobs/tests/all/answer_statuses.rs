//! Items whose targets answer with each kind of status, without saying that they did not run the item.

use crate::support::{TestCluster, TestVm, check_results, route};
use plantainmill_core::JobId;
use plantainmill_fakes::TargetAct;
use plantainmill_jobs::{ItemState, OwedState};
use rstest::rstest;
use std::time::Duration;

/// Items of a job that one target cannot run at a time.
const ITEMS: usize = 40;
/// Retention of a job whose item no target runs.
const SHORT_RETENTION: Duration = Duration::from_secs(1);
/// Sends of such an item within its retention, with delays of 50 ms and more between them.
const MAX_SENDS: usize = 8;

fn job() -> JobId {
    "j1".into()
}

async fn read_state(vm: &TestVm) -> ItemState {
    let results = vm.read_results(&job(), 1).await;
    check_results(&results, 1);
    results[0].state
}

/// Runs an item at a target that does `first`, then gives one answer with the status more than the item has attempts, and serves
/// it after that.
async fn check_answered(cluster: TestCluster, first: &[TargetAct], status: u16) {
    let vm = cluster.vm("vm", 1);
    let answers = route().attempts as usize + 1;
    cluster.target.plan(first.iter().copied());
    cluster.target.plan(vec![TargetAct::Fail(status); answers]);
    vm.submit_retained(&job(), 1, Duration::from_mins(1)).await;
    assert_eq!(read_state(&vm).await, ItemState::Succeeded);
    let sends = first.len() + answers + 1;
    assert_eq!(cluster.target.seen().len(), sends);
}

/// Guards against an item that is given up after as many answers as it has attempts, although none of them says that the item
/// failed.
#[rstest]
#[actix_rt::test]
async fn undefined_status(
    #[values(
        300, 302, 304, 400, 401, 403, 404, 408, 409, 413, 425, 429, 431, 451, 501, 502, 503, 504,
        599
    )]
    status: u16,
    #[values(&[], &[TargetAct::CutAfter(2)])] first: &[TargetAct],
) {
    check_answered(TestCluster::start().await, first, status).await;
}

/// Guards against the same where another VM forwards the item.
#[rstest]
#[actix_rt::test]
async fn forwarded_status(#[values(404, 408, 429, 502, 503)] status: u16) {
    check_answered(TestCluster::start_forwarded().await, &[], status).await;
}

/// Guards against an item that is run for ever although its targets say that it fails, and against one that is given up sooner.
#[rstest]
#[case::failed(500, 3)]
#[case::impossible(422, 1)]
#[actix_rt::test]
async fn defined_status(#[case] status: u16, #[case] sends: usize) {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    cluster.target.set_default_act(TargetAct::Fail(status));
    vm.submit_retained(&job(), 1, Duration::from_mins(1)).await;
    assert_eq!(read_state(&vm).await, ItemState::GivenUp);
    assert_eq!(cluster.target.seen().len(), sends);
}

/// Guards against an item that is given up before its retention ends, or sent over and over, while all targets answer with a
/// status that says nothing of it.
#[rstest]
#[actix_rt::test]
async fn lasting_status(#[values(302, 404, 429, 503)] status: u16) {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    cluster.target.set_default_act(TargetAct::Fail(status));
    vm.submit_retained(&job(), 1, SHORT_RETENTION).await;
    actix_rt::time::sleep(SHORT_RETENTION / 2).await;
    let states: Vec<OwedState> = vm.jobs.owed_items().iter().map(|item| item.state).collect();
    assert_eq!(states.len(), 1, "{states:?}");
    assert_ne!(states, [OwedState::Listing]);
    assert_eq!(read_state(&vm).await, ItemState::GivenUp);
    let sends = cluster.target.seen().len();
    assert!((2..=MAX_SENDS).contains(&sends), "{sends} sends");
}

/// Guards against an item that is sent again to the target that has just answered it at once, because that one has the most
/// free slots, although another target could run it.
#[rstest]
#[actix_rt::test]
async fn other_target(#[values(404, 429, 500, 503)] status: u16) {
    let failing = TestCluster::start().await;
    let sound = TestCluster::start().await;
    let vm = failing.vm("vm", 1);
    failing.target.set_default_act(TargetAct::Fail(status));
    let entries = [failing.entry("t1", "v1"), sound.entry("t2", "v1")];
    vm.dispatcher.set_targets(entries.iter());
    vm.submit_retained(&job(), 1, Duration::from_mins(1)).await;
    assert_eq!(read_state(&vm).await, ItemState::Succeeded);
    let sends = failing.target.seen().len();
    assert!(sends <= 1, "{sends} sends to the failing target");
}

/// Guards against a target that takes no items at present and gets all of them, because it answers at once and has the most free
/// slots.
#[rstest]
#[actix_rt::test]
async fn avoided_target(#[values(429, 503)] status: u16) {
    let failing = TestCluster::start().await;
    let sound = TestCluster::start().await;
    let vm = failing.vm("vm", 1);
    failing.target.set_default_act(TargetAct::Fail(status));
    sound.target.set_pause(Duration::from_millis(20));
    let entries = [failing.entry("t1", "v1"), sound.entry("t2", "v1")];
    vm.dispatcher.set_targets(entries.iter());
    vm.submit_retained(&job(), ITEMS, Duration::from_mins(1))
        .await;
    let results = vm.read_results(&job(), ITEMS).await;
    check_results(&results, ITEMS);
    let mut states = results.iter().map(|result| result.state);
    assert!(states.all(|state| state == ItemState::Succeeded));
    let sends = failing.target.seen().len();
    let slots = entries[0].slots as usize;
    // One for each slot until the first answer, and as many while the target is tried again.
    assert!(sends <= 2 * slots, "{sends} sends to the failing target");
}
