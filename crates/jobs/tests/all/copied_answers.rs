//! Targets that write the copy of an answer on a kept connection, in place of the answer to another send of the item.

use crate::support::{TestCluster, TestVm, check_results, route, submission, ward};
use plantainmill_core::JobId;
use plantainmill_fakes::TargetAct;
use plantainmill_jobs::{ItemState, partition_of};
use plantainmill_provider::RowChange;
use rstest::rstest;
use std::time::Duration;

/// Time within which an item is sent, and a job is left.
const STEP_TIME: Duration = Duration::from_millis(200);

fn job() -> JobId {
    "j1".into()
}

async fn submit(vm: &TestVm, job: &JobId) {
    vm.jobs
        .submit(&ward(), &route(), job, &submission(1))
        .await
        .expect("accepted");
}

/// Reads the result of the only item of a job.
async fn read_state(vm: &TestVm, job: &JobId) -> ItemState {
    let results = vm.read_results(job, 1).await;
    check_results(&results, 1);
    results[0].state
}

/// Guards against an item that is given up before its last attempt has failed: the copy of its failure counts as another one.
#[actix_rt::test]
async fn last_attempt() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    cluster.target.plan([
        TargetAct::Fail(500),
        TargetAct::Fail(500),
        TargetAct::RepeatRefusal,
    ]);
    submit(&vm, &job()).await;
    assert_eq!(read_state(&vm, &job()).await, ItemState::Succeeded);
    assert_eq!(cluster.target.seen().len(), 3);
}

/// Guards against an item that is given up, or sent again, because the copy of the answer to the item of another job with the
/// same id counts as its own.
#[rstest]
#[case::failed(TargetAct::Fail(500))]
#[case::impossible(TargetAct::Fail(422))]
#[case::refused(TargetAct::Refuse)]
#[actix_rt::test]
async fn same_id(#[case] act: TargetAct) {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    cluster.target.plan([act]);
    submit(&vm, &job()).await;
    read_state(&vm, &job()).await;
    cluster.target.set_default_act(TargetAct::RepeatRefusal);
    let _ = cluster.target.take_seen();
    submit(&vm, &"j2".into()).await;
    assert_eq!(read_state(&vm, &"j2".into()).await, ItemState::Succeeded);
    assert_eq!(cluster.target.seen().len(), 1);
}

/// Guards against an item that runs more than once because its job is taken back by its owner, and the copy of a refusal of its
/// former run counts for the present one.
#[actix_rt::test]
async fn taken_back() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    cluster.target.set_default_act(TargetAct::Refuse);
    submit(&vm, &job()).await;
    actix_rt::time::sleep(STEP_TIME).await;
    let mut head = cluster.head_of(&job()).expect("a head");
    head.owner = None;
    let mut content = Vec::new();
    ciborium::into_writer(&head, &mut content).expect("encoded");
    let change = RowChange::of(partition_of(&job()));
    cluster
        .rows
        .seed(&change.put("jobs", &job(), content.into()));
    let version = cluster.rows.table("jobs")[0].version;
    vm.jobs.apply_updates(vec![(job(), head, version)]);
    actix_rt::time::sleep(STEP_TIME).await;
    assert_eq!(vm.jobs.running(), 0);
    assert!(!cluster.target.take_seen().is_empty());
    cluster.target.set_default_act(TargetAct::RepeatRefusal);
    vm.set_live_peers(&[]);
    assert_eq!(read_state(&vm, &job()).await, ItemState::Succeeded);
    assert_eq!(cluster.target.seen().len(), 1);
}
