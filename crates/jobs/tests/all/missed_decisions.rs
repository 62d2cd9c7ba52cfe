//! Decisions about a job that its owner does not hear of: a take-over and its return, an assignment,
//! an end, and that its VM is cut off.

use crate::support::{TestCluster, TestVm, check_results, route, submission, ward};
use plantainmill_core::JobId;
use plantainmill_fakes::{RowsFault, TargetAct};
use plantainmill_jobs::FleetSnapshot;
use std::collections::HashMap;
use std::time::Duration;

fn job() -> JobId {
    "j1".into()
}

/// Makes `vm` hear of jobs only what a reader sends it, which is nothing here.
fn isolate(vm: &TestVm) {
    vm.jobs.set_fleet(FleetSnapshot {
        regions: HashMap::new(),
        live: vec![vm.own.clone()],
        domains: vec!["a".into()],
        readers: vec!["reader".into()],
        domain: "a".into(),
        members: vec![vm.own.clone()],
    });
}

/// Guards against items that are listed twice and others that are lost when an owner does not notice that another VM had
/// its job, and listed results, before it got it back.
#[actix_rt::test]
async fn returned_job() {
    let cluster = TestCluster::start().await;
    let owner = cluster.vm("owner", 1);
    isolate(&owner);
    owner.dispatcher.set_targets(std::iter::empty());
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    owner
        .jobs
        .submit(&ward(), &route(), &job(), &submission(4))
        .await
        .expect("accepted");
    cluster.target.plan([
        TargetAct::TrickleAfter(1),
        TargetAct::TrickleAfter(1),
        TargetAct::Serve,
        TargetAct::Serve,
    ]);
    let other = cluster.vm("other", 1);
    other.set_live_peers(&[]);
    assert_eq!(other.read_results(&job(), 2).await.len(), 2);
    other.jobs.stop().await;
    let reader = cluster.vm("reader", 1);
    reader.assign_jobs_to(&owner.own);
    while !cluster
        .head_of(&job())
        .is_some_and(|head| head.owner == Some(owner.own.clone()))
    {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    owner
        .dispatcher
        .set_targets(std::iter::once(&cluster.entry("t1", "v1")));
    check_results(&reader.read_results(&job(), 4).await, 4);
}

/// Guards against a job that never runs because the VM that it was given to did not get the message, and is alive.
#[actix_rt::test]
async fn unheard_assignment() {
    let cluster = TestCluster::start().await;
    let gone = cluster.vm("gone", 1);
    gone.dispatcher.set_targets(std::iter::empty());
    gone.jobs
        .submit(&ward(), &route(), &job(), &submission(4))
        .await
        .expect("accepted");
    let new_owner = cluster.vm("new-owner", 1);
    isolate(&new_owner);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    gone.jobs.stop().await;
    let reader = cluster.vm("reader", 1);
    reader.assign_jobs_to(&new_owner.own);
    check_results(&reader.read_results(&job(), 4).await, 4);
}

/// Guards against items of an ended job that are sent by an owner that was suspended at the end, as soon as there is a slot.
#[actix_rt::test]
async fn missed_end() {
    let cluster = TestCluster::start().await;
    let owner = cluster.vm("owner", 1);
    isolate(&owner);
    owner.dispatcher.set_targets(std::iter::empty());
    let other = cluster.vm("other", 1);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    owner
        .jobs
        .submit(&ward(), &route(), &job(), &submission(3))
        .await
        .expect("accepted");
    other.jobs.end(&ward(), &job()).await.expect("ended");
    cluster.rows.set_fault(RowsFault::SlowReads);
    // All VMs of the test share the thread that stands still.
    std::thread::sleep(Duration::from_secs(3));
    owner
        .dispatcher
        .set_targets(std::iter::once(&cluster.entry("t1", "v1")));
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(cluster.target.seen().len(), 0);
    assert_eq!(owner.jobs.running(), 0);
}

/// Guards against a VM that is cut off from all others, or was suspended, and takes the jobs of live VMs over as soon as it
/// hears none: the others take them back, and no item is done meanwhile.
#[actix_rt::test]
async fn isolated_reader() {
    let cluster = TestCluster::start().await;
    cluster.target.set_pause(Duration::from_millis(500));
    let owner = cluster.vm("owner", 1);
    let reader = cluster.vm("reader", 1);
    reader.set_live_peers(std::slice::from_ref(&owner.own));
    owner
        .jobs
        .submit(&ward(), &route(), &job(), &submission(2))
        .await
        .expect("accepted");
    actix_rt::time::sleep(Duration::from_millis(1_600)).await;
    reader.set_live_peers(&[]);
    check_results(&owner.read_results(&job(), 2).await, 2);
    let head = cluster.head_of(&job()).expect("a head");
    assert_eq!(head.owner, Some(owner.own.clone()));
    assert_eq!(cluster.target.seen().len(), 2);
}
