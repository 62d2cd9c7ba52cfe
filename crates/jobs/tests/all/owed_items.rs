//! What a VM states of the items that it owes: what each waits for, and for how long.

use crate::support::{TestCluster, TestVm, owner, route, submission, ward};
use plantainmill_core::JobId;
use plantainmill_fakes::{RowsFault, TargetAct};
use plantainmill_jobs::{OwedItem, OwedState};
use std::time::{Duration, Instant};

/// Time within which an expected state is entered.
const STATE_TIMEOUT: Duration = Duration::from_secs(5);

fn job() -> JobId {
    "j1".into()
}

async fn submit(vm: &TestVm, count: usize) {
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    vm.jobs
        .submit(&ward(), &route(), &job(), &submission(count))
        .await
        .expect("accepted");
}

/// Waits until exactly `count` items are owed, all in `state`.
async fn wait_owed(vm: &TestVm, state: OwedState, count: u64) -> Vec<OwedItem> {
    let started = Instant::now();
    loop {
        let owed = vm.jobs.owed_items();
        let total: u64 = owed.iter().map(|item| item.count).sum();
        if total == count && owed.iter().all(|item| item.state == state) {
            return owed;
        }
        assert!(started.elapsed() < STATE_TIMEOUT, "{owed:?}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against items that wait for a slot without a trace.
#[actix_rt::test]
async fn slot_wait() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    vm.dispatcher.set_targets(std::iter::empty());
    submit(&vm, 2).await;
    let owed = wait_owed(&vm, OwedState::Slot, 2).await;
    assert_eq!(owed[0].owner, Some(vm.own.vm.clone()));
    assert_eq!(owed[0].free_targets, Some(0));
    vm.dispatcher
        .set_targets(std::iter::once(&cluster.entry("t1", "v1")));
    vm.read_results(&job(), 2).await;
    assert_eq!(vm.jobs.owed_items(), []);
}

/// Guards against results that are not listed without a trace.
#[actix_rt::test]
async fn unlisted_result() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    submit(&vm, 2).await;
    cluster.rows.set_fault(RowsFault::Refuse);
    wait_owed(&vm, OwedState::Listing, 2).await;
    cluster.rows.set_fault(RowsFault::None);
    vm.read_results(&job(), 2).await;
    assert_eq!(vm.jobs.owed_items(), []);
}

/// Guards against a silent target that hides for how long its item has had no output.
#[actix_rt::test]
async fn silent_target() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    cluster.target.plan([TargetAct::SilentAfter(0)]);
    submit(&vm, 1).await;
    let owed = wait_owed(&vm, OwedState::Response, 1).await;
    assert_eq!(owed[0].reason, "t1");
}

/// Guards against a job that no VM runs, without a trace.
#[actix_rt::test]
async fn missing_runner() {
    let cluster = TestCluster::start().await;
    let gone = cluster.vm("gone", 1);
    gone.dispatcher.set_targets(std::iter::empty());
    submit(&gone, 3).await;
    let other = cluster.vm("other", 1);
    other.set_live_peers(&[owner("gone", 1)]);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(other.jobs.owed_items(), []);
    other.set_live_peers(&[]);
    cluster.rows.set_fault(RowsFault::Refuse);
    let owed = wait_owed(&other, OwedState::Runner, 3).await;
    assert_eq!(owed[0].item, None);
    assert_eq!(owed[0].owner, Some("gone".into()));
}
