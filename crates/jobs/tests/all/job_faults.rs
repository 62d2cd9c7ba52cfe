//! Jobs from submission to the last result, with faults of the store, targets and VMs.

use crate::support::{TestCluster, check_results, route, submission, ward};
use plantainmill_core::{JobId, ResultCode};
use plantainmill_fakes::{RowsFault, TargetAct};
use plantainmill_jobs::{FleetSnapshot, ItemState};
use rstest::rstest;
use std::collections::HashMap;
use std::time::Duration;

fn job() -> JobId {
    "j1".into()
}

/// Guards against lost or duplicate results, and against output that is joined wrongly, when targets fail.
#[rstest]
#[case(vec![])]
#[case(vec![TargetAct::CutAfter(2), TargetAct::CutAfter(4), TargetAct::Skip(1)])]
#[case(vec![TargetAct::Refuse, TargetAct::LoseAnswer, TargetAct::CrossAnswer])]
#[case(vec![TargetAct::Fail(500), TargetAct::Fail(500)])]
#[case::error_text(vec![TargetAct::ErrorText, TargetAct::CutAfter(2), TargetAct::ErrorText])]
#[case::unframed(vec![TargetAct::UnframedEnd(0), TargetAct::UnframedEnd(0)])]
#[actix_rt::test]
async fn target_faults(#[case] acts: Vec<TargetAct>) {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm1", 1);
    cluster.target.plan(acts);
    vm.jobs
        .submit(&ward(), &route(), &job(), &submission(4))
        .await
        .expect("accepted");
    let results = vm.read_results(&job(), 4).await;
    check_results(&results, 4);
    assert!(
        results
            .iter()
            .all(|result| result.state == ItemState::Succeeded)
    );
}

/// Guards against endless retries of an item that cannot succeed.
#[rstest]
#[case(422, 1)]
#[case(500, 3)]
#[actix_rt::test]
async fn impossible_item(#[case] status: u16, #[case] sends: usize) {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm1", 1);
    cluster.target.plan([TargetAct::Fail(status); 9]);
    vm.jobs
        .submit(&ward(), &route(), &job(), &submission(1))
        .await
        .expect("accepted");
    let results = vm.read_results(&job(), 1).await;
    assert_eq!(results[0].state, ItemState::GivenUp);
    assert_eq!(cluster.target.seen().len(), sends);
}

/// Guards against a job that runs although its submission was refused, and against a resubmitted job that runs twice.
#[actix_rt::test]
async fn refused_job() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm1", 1);
    cluster.rows.set_fault(RowsFault::Refuse);
    let refused = vm
        .jobs
        .submit(&ward(), &route(), &job(), &submission(2))
        .await;
    assert_eq!(
        refused.map_err(|problem| problem.code),
        Err(ResultCode::StoreUnavailable)
    );
    cluster.rows.set_fault(RowsFault::None);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert!(cluster.target.seen().is_empty());
    for _ in 0..2 {
        vm.jobs
            .submit(&ward(), &route(), &job(), &submission(2))
            .await
            .expect("accepted");
    }
    check_results(&vm.read_results(&job(), 2).await, 2);
    assert_eq!(cluster.target.seen().len(), 2);
}

/// Guards against a definite refusal while the write that accepts the job may still be applied.
#[actix_rt::test]
async fn late_acceptance() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm1", 1);
    cluster.rows.set_fault(RowsFault::HoldChanges);
    let response = vm
        .jobs
        .submit(&ward(), &route(), &job(), &submission(2))
        .await;
    assert_eq!(
        response.map_err(|problem| problem.code.http_status()),
        Err(504)
    );
    cluster.rows.set_fault(RowsFault::None);
    assert_eq!(
        cluster.rows.land(),
        1,
        "only one of the retried writes may be applied"
    );
    let other = cluster.vm("vm2", 1);
    other
        .jobs
        .submit(&ward(), &route(), &job(), &submission(2))
        .await
        .expect("accepted again");
    check_results(&other.read_results(&job(), 2).await, 2);
}

/// Guards against results that are listed twice after lost store responses.
#[actix_rt::test]
async fn lost_responses() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm1", 1);
    vm.jobs
        .submit(&ward(), &route(), &job(), &submission(6))
        .await
        .expect("accepted");
    cluster.rows.set_fault(RowsFault::LoseAnswers);
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    cluster.rows.set_fault(RowsFault::None);
    check_results(&vm.read_results(&job(), 6).await, 6);
}

/// Guards against delayed writes that list results after another VM has taken over the job.
#[actix_rt::test]
async fn late_writes() {
    let cluster = TestCluster::start().await;
    let first = cluster.vm("vm1", 1);
    cluster.target.set_pause(Duration::from_millis(20));
    first
        .jobs
        .submit(&ward(), &route(), &job(), &submission(3))
        .await
        .expect("accepted");
    cluster.rows.set_fault(RowsFault::HoldChanges);
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    cluster.rows.set_fault(RowsFault::None);
    let second = cluster.vm("vm2", 2);
    second.set_live_peers(&[]);
    let results = second.read_results(&job(), 3).await;
    assert_eq!(cluster.rows.land(), 0, "a late write listed results");
    check_results(&results, 3);
    let again = second.read_results(&job(), 3).await;
    assert_eq!(results, again);
}

/// Guards against jobs that are not taken over after a graceful shutdown of their VM.
#[actix_rt::test]
async fn graceful_shutdown() {
    let cluster = TestCluster::start().await;
    let first = cluster.vm("vm1", 1);
    let second = cluster.vm("vm2", 1);
    second.set_live_peers(std::slice::from_ref(&first.own));
    cluster.target.set_pause(Duration::from_millis(200));
    first
        .jobs
        .submit(&ward(), &route(), &job(), &submission(3))
        .await
        .expect("accepted");
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    first.jobs.stop().await;
    assert_eq!(first.jobs.running(), 0);
    assert!(first.dispatcher.report().slots.is_empty());
    cluster.target.set_pause(Duration::ZERO);
    second.set_live_peers(&[]);
    check_results(&second.read_results(&job(), 3).await, 3);
}

/// Guards against items that keep running after their job was ended through another VM, also when the change feed
/// has lost its history.
#[rstest]
#[case(false)]
#[case(true)]
#[actix_rt::test]
async fn ended_elsewhere(#[case] history_lost: bool) {
    let cluster = TestCluster::start().await;
    let first = cluster.vm("vm1", 1);
    let second = cluster.vm("vm2", 1);
    cluster.target.set_pause(Duration::from_secs(30));
    first
        .jobs
        .submit(&ward(), &route(), &job(), &submission(3))
        .await
        .expect("accepted");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(cluster.target.running(), 3);
    second.jobs.end(&ward(), &job()).await.expect("ended");
    if history_lost {
        cluster.rows.drop_history();
    }
    second.jobs.end(&ward(), &job()).await.expect("ended again");
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(first.jobs.running(), 0);
    assert!(first.dispatcher.report().slots.is_empty());
}

/// Guards against "not found" responses while the store is unavailable, and against access by other organisations.
#[actix_rt::test]
async fn unknown_job() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm1", 1);
    let read = |organisation: &str| {
        let organisation = organisation.into();
        let jobs = vm.jobs.clone();
        async move {
            let page = jobs.results(&organisation, &job(), 0, Duration::ZERO).await;
            page.map_err(|problem| problem.code.http_status())
        }
    };
    assert_eq!(read("ward").await, Err(404));
    cluster.rows.set_fault(RowsFault::Refuse);
    assert_eq!(read("ward").await, Err(503));
    cluster.rows.set_fault(RowsFault::None);
    vm.jobs
        .submit(&ward(), &route(), &job(), &submission(1))
        .await
        .expect("accepted");
    assert_eq!(read("other").await, Err(404));
    assert!(read("ward").await.is_ok());
}

/// Guards against an end that may be stored and whose caller is told that nothing was written.
#[actix_rt::test]
async fn unconfirmed_end() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm1", 1);
    cluster.target.set_pause(Duration::from_secs(30));
    vm.jobs
        .submit(&ward(), &route(), &job(), &submission(3))
        .await
        .expect("accepted");
    cluster.rows.set_fault(RowsFault::LoseThenRefuse);
    let ended = vm.jobs.end(&ward(), &job()).await;
    assert_eq!(
        ended.map_err(|problem| problem.code),
        Err(ResultCode::StoreLate)
    );
}

/// Guards against a large body that cannot be read back, and against a body for an unknown item.
#[actix_rt::test]
async fn item_body() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm1", 1);
    let mut large = submission(3);
    large.items[1].body = vec![9; 200_000].into();
    vm.jobs
        .submit(&ward(), &route(), &job(), &large)
        .await
        .expect("accepted");
    let other = cluster.vm("vm2", 1);
    let body = other.jobs.item_body(&ward(), &job(), &"item1".into()).await;
    assert_eq!(body.map(|body| body.len()), Ok(200_000));
    assert!(
        other
            .jobs
            .item_body(&ward(), &job(), &"item9".into())
            .await
            .is_err()
    );
}

/// Guards against an organisation that exceeds its token limit by submitting through several VMs.
#[actix_rt::test]
async fn token_limit() {
    let cluster = TestCluster::start().await;
    let first = cluster.vm("vm1", 1);
    let second = cluster.vm("vm2", 1);
    cluster.target.set_pause(Duration::from_secs(30));
    first
        .jobs
        .submit(&ward(), &route(), &job(), &submission(8))
        .await
        .expect("accepted");
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let refused = second
        .jobs
        .submit(&ward(), &route(), &"j2".into(), &submission(3))
        .await;
    assert_eq!(
        refused.map_err(|problem| problem.code.http_status()),
        Err(429)
    );
    second
        .jobs
        .submit(&ward(), &route(), &"j3".into(), &submission(2))
        .await
        .expect("accepted");
}

/// Guards against a VM that does not read the change feed and misses the end of its job or the assignment of a new one.
#[actix_rt::test]
async fn updated_by_reader() {
    let cluster = TestCluster::start().await;
    let reader = cluster.vm("reader", 1);
    let other = cluster.vm("other", 1);
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let fleet = |members: Vec<_>| FleetSnapshot {
        regions: HashMap::new(),
        live: members.clone(),
        domains: vec!["a".into()],
        readers: vec!["reader".into()],
        domain: "a".into(),
        members,
    };
    reader.jobs.set_fleet(fleet(vec![other.own.clone()]));
    other.jobs.set_fleet(fleet(vec![other.own.clone()]));
    let gone = cluster.vm("gone", 1);
    cluster.target.set_pause(Duration::from_secs(30));
    gone.jobs
        .submit(&ward(), &route(), &job(), &submission(3))
        .await
        .expect("accepted");
    gone.jobs.stop().await;
    let relay_updates = async || {
        for _ in 0..20 {
            actix_rt::time::sleep(Duration::from_millis(150)).await;
            if let Some(changes) = reader.jobs.recent_changes() {
                other.jobs.apply_changes(changes);
            }
        }
    };
    relay_updates().await;
    assert_eq!((reader.jobs.running(), other.jobs.running()), (0, 1));
    reader.jobs.end(&ward(), &job()).await.expect("ended");
    relay_updates().await;
    assert_eq!(other.jobs.running(), 0);
}

/// Guards against an item whose output is joined from two software versions, and against one that is not done because its
/// version has left. At the version that began it, it goes on where it was; at another one, it begins anew.
#[rstest]
#[case::kept("v1", Some("2"))]
#[case::gone("v2", None)]
#[actix_rt::test]
async fn gone_version(#[case] version: &str, #[case] last_event: Option<&str>) {
    let cluster = TestCluster::start().await;
    cluster.target.plan([TargetAct::CutAfter(2)]);
    cluster.target.set_pause(Duration::from_millis(100));
    let vm = cluster.vm("vm-a", 1);
    vm.jobs
        .submit(&ward(), &route(), &job(), &submission(1))
        .await
        .expect("accepted");
    while cluster.target.running() == 0 {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    // The first two events come within 0.2 s, and then the connection is cut.
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    let entry = cluster.entry("t2", version);
    vm.dispatcher.set_targets(std::iter::once(&entry));
    check_results(&vm.read_results(&job(), 1).await, 1);
    let seen = cluster.target.seen();
    let resumed = seen.iter().map(|seen| seen.headers.get("last-event-id"));
    let resumed: Vec<Option<&str>> = resumed.map(|last| last.map(String::as_str)).collect();
    assert_eq!(resumed, [None, last_event]);
}
