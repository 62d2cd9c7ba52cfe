//! Jobs from acceptance to the last result, under faults of the store, targets and VMs.

use crate::support::{TestWorld, route, submission, ward, whole_output};
use plantainmill_core::{JobId, ResultCode};
use plantainmill_fakes::{RowsFault, TargetAct};
use plantainmill_jobs::{FleetSnapshot, ItemState, ListedResult};
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

fn job() -> JobId {
    "j1".into()
}

/// Checks that each item stands once, and that what succeeded is whole.
fn check_results(results: &[ListedResult], count: usize) {
    let ids: BTreeSet<_> = results.iter().map(|result| result.item.clone()).collect();
    assert_eq!((results.len(), ids.len()), (count, count));
    for result in results
        .iter()
        .filter(|result| result.state == ItemState::Succeeded)
    {
        assert_eq!(result.output, whole_output());
    }
}

/// Guards against items that are lost, doubled or joined wrongly when targets fail.
#[rstest]
#[case(vec![])]
#[case(vec![TargetAct::CutAfter(2), TargetAct::CutAfter(4), TargetAct::Skip(1)])]
#[case(vec![TargetAct::Refuse, TargetAct::LoseAnswer, TargetAct::CrossAnswer])]
#[case(vec![TargetAct::Fail(500), TargetAct::Fail(500)])]
#[actix_rt::test]
async fn target_faults(#[case] acts: Vec<TargetAct>) {
    let world = TestWorld::start().await;
    let vm = world.vm("vm1", 1);
    world.target.plan(acts);
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

/// Guards against items that are sent again and again though they can never be done.
#[rstest]
#[case(422, 1)]
#[case(500, 3)]
#[actix_rt::test]
async fn impossible_item(#[case] status: u16, #[case] sends: usize) {
    let world = TestWorld::start().await;
    let vm = world.vm("vm1", 1);
    world.target.plan([TargetAct::Fail(status); 9]);
    vm.jobs
        .submit(&ward(), &route(), &job(), &submission(1))
        .await
        .expect("accepted");
    let results = vm.read_results(&job(), 1).await;
    assert_eq!(results[0].state, ItemState::GivenUp);
    assert_eq!(world.target.seen().len(), sends);
}

/// Guards against a job that runs although its caller was told that it does not, and against one that is accepted twice.
#[actix_rt::test]
async fn refused_job() {
    let world = TestWorld::start().await;
    let vm = world.vm("vm1", 1);
    world.rows.set_fault(RowsFault::Refuse);
    let refused = vm
        .jobs
        .submit(&ward(), &route(), &job(), &submission(2))
        .await;
    assert_eq!(
        refused.map_err(|problem| problem.code),
        Err(ResultCode::StoreUnavailable)
    );
    world.rows.set_fault(RowsFault::None);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert!(world.target.seen().is_empty());
    for _ in 0..2 {
        vm.jobs
            .submit(&ward(), &route(), &job(), &submission(2))
            .await
            .expect("accepted");
    }
    check_results(&vm.read_results(&job(), 2).await, 2);
    assert_eq!(world.target.seen().len(), 2);
}

/// Guards against a refusal that promises "not run" while the write that accepts the job may still take effect.
#[actix_rt::test]
async fn late_acceptance() {
    let world = TestWorld::start().await;
    let vm = world.vm("vm1", 1);
    world.rows.set_fault(RowsFault::HoldChanges);
    let answer = vm
        .jobs
        .submit(&ward(), &route(), &job(), &submission(2))
        .await;
    assert_eq!(
        answer.map_err(|problem| problem.code.http_status()),
        Err(504)
    );
    world.rows.set_fault(RowsFault::None);
    assert_eq!(world.rows.land(), 1, "the repeats carry the same condition");
    let other = world.vm("vm2", 1);
    other
        .jobs
        .submit(&ward(), &route(), &job(), &submission(2))
        .await
        .expect("a repeat");
    check_results(&other.read_results(&job(), 2).await, 2);
}

/// Guards against results that stand twice after lost answers of the store.
#[actix_rt::test]
async fn lost_answers() {
    let world = TestWorld::start().await;
    let vm = world.vm("vm1", 1);
    vm.jobs
        .submit(&ward(), &route(), &job(), &submission(6))
        .await
        .expect("accepted");
    world.rows.set_fault(RowsFault::LoseAnswers);
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    world.rows.set_fault(RowsFault::None);
    check_results(&vm.read_results(&job(), 6).await, 6);
}

/// Guards against a VM that lists results after another one has taken its job, by writes that come late.
#[actix_rt::test]
async fn late_writes() {
    let world = TestWorld::start().await;
    let first = world.vm("vm1", 1);
    world.target.set_pause(Duration::from_millis(20));
    first
        .jobs
        .submit(&ward(), &route(), &job(), &submission(3))
        .await
        .expect("accepted");
    world.rows.set_fault(RowsFault::HoldChanges);
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    world.rows.set_fault(RowsFault::None);
    let second = world.vm("vm2", 2);
    second.hear(&[]);
    let results = second.read_results(&job(), 3).await;
    assert_eq!(world.rows.land(), 0, "a late write listed results");
    check_results(&results, 3);
    let again = second.read_results(&job(), 3).await;
    assert_eq!(results, again);
}

/// Guards against jobs that stop with the VM that ran them.
#[actix_rt::test]
async fn planned_stop() {
    let world = TestWorld::start().await;
    let first = world.vm("vm1", 1);
    let second = world.vm("vm2", 1);
    second.hear(std::slice::from_ref(&first.own));
    world.target.set_pause(Duration::from_millis(200));
    first
        .jobs
        .submit(&ward(), &route(), &job(), &submission(3))
        .await
        .expect("accepted");
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    first.jobs.stop().await;
    assert_eq!(first.jobs.running(), 0);
    assert!(first.dispatcher.report().slots.is_empty());
    world.target.set_pause(Duration::ZERO);
    second.hear(&[]);
    check_results(&second.read_results(&job(), 3).await, 3);
}

/// Guards against items that run on after their job was ended at another VM, also when the feed has lost its history.
#[rstest]
#[case(false)]
#[case(true)]
#[actix_rt::test]
async fn ended_elsewhere(#[case] history_lost: bool) {
    let world = TestWorld::start().await;
    let first = world.vm("vm1", 1);
    let second = world.vm("vm2", 1);
    world.target.set_pause(Duration::from_secs(30));
    first
        .jobs
        .submit(&ward(), &route(), &job(), &submission(3))
        .await
        .expect("accepted");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(world.target.running(), 3);
    second.jobs.end(&ward(), &job()).await.expect("ended");
    if history_lost {
        world.rows.drop_history();
    }
    second.jobs.end(&ward(), &job()).await.expect("ended again");
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(first.jobs.running(), 0);
    assert!(first.dispatcher.report().slots.is_empty());
}

/// Guards against answers about jobs that the store could not be asked for, and against jobs of other organisations.
#[actix_rt::test]
async fn unknown_job() {
    let world = TestWorld::start().await;
    let vm = world.vm("vm1", 1);
    let read = |organisation: &str| {
        let organisation = organisation.into();
        let jobs = vm.jobs.clone();
        async move {
            let page = jobs.results(&organisation, &job(), 0, Duration::ZERO).await;
            page.map_err(|problem| problem.code.http_status())
        }
    };
    assert_eq!(read("ward").await, Err(404));
    world.rows.set_fault(RowsFault::Refuse);
    assert_eq!(read("ward").await, Err(503));
    world.rows.set_fault(RowsFault::None);
    vm.jobs
        .submit(&ward(), &route(), &job(), &submission(1))
        .await
        .expect("accepted");
    assert_eq!(read("other").await, Err(404));
    assert!(read("ward").await.is_ok());
}

/// Guards against a body that cannot be read back, and against one of a foreign item.
#[actix_rt::test]
async fn item_body() {
    let world = TestWorld::start().await;
    let vm = world.vm("vm1", 1);
    let mut large = submission(3);
    large.items[1].body = vec![9; 200_000].into();
    vm.jobs
        .submit(&ward(), &route(), &job(), &large)
        .await
        .expect("accepted");
    let other = world.vm("vm2", 1);
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

/// Guards against an organisation that queues more tokens than it may, also through several VMs.
#[actix_rt::test]
async fn token_limit() {
    let world = TestWorld::start().await;
    let first = world.vm("vm1", 1);
    let second = world.vm("vm2", 1);
    world.target.set_pause(Duration::from_secs(30));
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

/// Guards against a VM that does not learn of its job's end, or of a job given to it, because it does not read the store.
#[actix_rt::test]
async fn updated_by_reader() {
    let world = TestWorld::start().await;
    let reader = world.vm("reader", 1);
    let other = world.vm("other", 1);
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let fleet = |members: Vec<_>| FleetSnapshot {
        live: members.clone(),
        domains: vec!["a".into()],
        readers: vec!["reader".into()],
        domain: "a".into(),
        members,
    };
    reader.jobs.set_fleet(fleet(vec![other.own.clone()]));
    other.jobs.set_fleet(fleet(vec![other.own.clone()]));
    let gone = world.vm("gone", 1);
    world.target.set_pause(Duration::from_secs(30));
    gone.jobs
        .submit(&ward(), &route(), &job(), &submission(3))
        .await
        .expect("accepted");
    gone.jobs.stop().await;
    let tell = async || {
        for _ in 0..20 {
            actix_rt::time::sleep(Duration::from_millis(150)).await;
            other.jobs.apply_updates(reader.jobs.recent_updates());
        }
    };
    tell().await;
    assert_eq!((reader.jobs.running(), other.jobs.running()), (0, 1));
    reader.jobs.end(&ward(), &job()).await.expect("ended");
    tell().await;
    assert_eq!(other.jobs.running(), 0);
}
