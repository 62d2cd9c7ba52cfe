//! Items that wait for what does not come: they are given up at the end of their retention, or run elsewhere.

use crate::support::{TestCluster, TestVm, check_results, route, submission, ward};
use plantainmill_core::JobId;
use plantainmill_fakes::{RowsFault, TargetAct};
use plantainmill_jobs::{ItemState, OwedState};
use plantainmill_routing::TargetEntry;
use rstest::rstest;
use std::time::Duration;

/// Retention of a job whose items wait for a target.
const SHORT_RETENTION: Duration = Duration::from_secs(1);

/// Sends to a failing target before another version is tried, with a delay of 50 ms after each.
const MAX_FAILED_SENDS: usize = 40;

fn job() -> JobId {
    "j1".into()
}

async fn submit(vm: &TestVm, retention: Duration) {
    let mut route = route();
    if let Some(rule) = &mut route.job {
        rule.completion = retention;
        rule.retention = retention;
    }
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    vm.jobs
        .submit(&ward(), &route, &job(), &submission(1))
        .await
        .expect("accepted");
}

/// The entry as that of a target without any free slot.
fn full(entry: TargetEntry) -> TargetEntry {
    TargetEntry { slots: 0, ..entry }
}

/// Submits one item to a target of version v1, and waits until its output has begun.
async fn begin_output(cluster: &TestCluster, vm: &TestVm) {
    cluster.target.set_pause(Duration::from_millis(100));
    cluster.target.plan([TargetAct::CutAfter(2)]);
    submit(vm, Duration::from_mins(1)).await;
    while cluster.target.running() == 0 {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against an item that is neither run nor given up while it waits for a slot.
#[rstest]
#[case::no_target(&[])]
#[case::no_slot(&["t1"])]
#[actix_rt::test]
async fn expired_slot_wait(#[case] full_targets: &[&str]) {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    let entries = full_targets.iter().map(|id| full(cluster.entry(id, "v1")));
    let entries: Vec<TargetEntry> = entries.collect();
    vm.dispatcher.set_targets(entries.iter());
    submit(&vm, SHORT_RETENTION).await;
    let results = vm.read_results(&job(), 1).await;
    let states: Vec<ItemState> = results.iter().map(|result| result.state).collect();
    assert_eq!(states, [ItemState::GivenUp]);
}

/// Guards against an item that is neither run nor given up while its VM does not know the heads.
#[actix_rt::test]
async fn expired_heads_wait() {
    let cluster = TestCluster::start().await;
    cluster.rows.set_fault(RowsFault::SlowReads);
    let vm = cluster.vm("vm", 1);
    submit(&vm, SHORT_RETENTION).await;
    cluster.rows.set_fault(RowsFault::Refuse);
    let mut states = Vec::new();
    for _ in 0..100 {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        states.extend(vm.jobs.owed_items().iter().map(|item| item.state));
        states.dedup();
    }
    assert_eq!(states, [OwedState::Heads, OwedState::Listing]);
    assert_eq!(cluster.target.seen().len(), 0);
}

/// Guards against an item that never ends since only targets that fail have the version at which its output began.
#[rstest]
#[case::lost(TargetAct::LoseAnswer)]
#[case::silent(TargetAct::SilentAfter(0))]
#[case::unavailable(TargetAct::Fail(503))]
#[actix_rt::test]
async fn failing_version(#[case] act: TargetAct) {
    let cluster = TestCluster::start().await;
    let newer = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    begin_output(&cluster, &vm).await;
    cluster.target.set_default_act(act);
    let entries = [cluster.entry("t1", "v1"), newer.entry("t2", "v2")];
    vm.dispatcher.set_targets(entries.iter());
    check_results(&vm.read_results(&job(), 1).await, 1);
    let sends = newer.target.seen().len();
    assert_eq!(sends, 1);
    assert!(cluster.target.seen().len() <= MAX_FAILED_SENDS);
}

/// Guards against an item that never ends since the targets of the version at which its output began stay full.
#[actix_rt::test]
async fn full_version() {
    let cluster = TestCluster::start().await;
    let newer = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    begin_output(&cluster, &vm).await;
    let entries = [full(cluster.entry("t1", "v1")), newer.entry("t2", "v2")];
    vm.dispatcher.set_targets(entries.iter());
    check_results(&vm.read_results(&job(), 1).await, 1);
    assert_eq!(newer.target.seen().len(), 1);
}

/// Guards against output that is discarded although its version has a target that runs the item.
#[actix_rt::test]
async fn kept_version() {
    let cluster = TestCluster::start().await;
    let newer = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    begin_output(&cluster, &vm).await;
    cluster.target.plan([TargetAct::LoseAnswer; 3]);
    let entries = [cluster.entry("t1", "v1"), newer.entry("t2", "v2")];
    vm.dispatcher.set_targets(entries.iter());
    check_results(&vm.read_results(&job(), 1).await, 1);
    assert_eq!(newer.target.seen().len(), 0);
}

/// Guards against an item that waits for ever beside the only free target, because that one has failed it once.
#[actix_rt::test]
async fn excluded_target() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    begin_output(&cluster, &vm).await;
    let entries = [cluster.entry("t1", "v1"), full(cluster.entry("t2", "v1"))];
    vm.dispatcher.set_targets(entries.iter());
    check_results(&vm.read_results(&job(), 1).await, 1);
}
