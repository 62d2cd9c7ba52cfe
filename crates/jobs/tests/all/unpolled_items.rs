//! Work of a job that needs no store and goes on while an operation of the job on the store is pending or fails.

use crate::support::{TestCluster, TestVm, check_results, route, submission, ward};
use bytes::Bytes;
use plantainmill_core::{Clock as _, JobId, RegionSet, SystemClock};
use plantainmill_dispatch::{
    CallOutcome, Dispatcher as _, TargetTicket, TicketRequest, TrafficClass,
};
use plantainmill_fakes::{RowsFault, TargetAct};
use plantainmill_jobs::{JobItem, JobStore, OwedState, partition_of};
use plantainmill_provider::{RowChange, StoreError};
use plantainmill_routing::TargetEntry;
use rstest::rstest;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time within which an expected event occurs.
const EVENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between checks for an expected event.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

fn job() -> JobId {
    "j1".into()
}

async fn is_reached(is_done: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while !is_done() && started.elapsed() < EVENT_TIMEOUT {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
    }
    is_done()
}

async fn submit(vm: &TestVm, count: usize) {
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    vm.jobs
        .submit(&ward(), &route(), &job(), &submission(count))
        .await
        .expect("accepted");
}

/// Tells the VM the stored head of the job, as a reader of its domain does.
fn tell_head(cluster: &TestCluster, vm: &TestVm) {
    let rows = cluster.rows.table("jobs");
    let row = rows.first().expect("a row");
    let head = cluster.head_of(&job()).expect("a head");
    vm.jobs
        .apply_updates(vec![(row.key.clone(), head, row.version)]);
}

/// Starts a VM with `count` items and a target of `slots` slots, the last of which is kept for online requests. One result is listed, of which the VM has only been told
/// the head, and the store refuses all calls.
async fn stalled_job(cluster: &TestCluster, count: usize, slots: u32) -> TestVm {
    let vm = cluster.vm("vm", 1);
    let entry = TargetEntry {
        slots,
        ..cluster.entry("t1", "v1")
    };
    vm.dispatcher.set_targets(std::iter::once(&entry));
    submit(&vm, count).await;
    cluster.rows.set_fault(RowsFault::LoseThenRefuse);
    let has_listed = || cluster.head_of(&job()).is_some_and(|head| head.listed == 1);
    assert!(is_reached(has_listed).await, "{:?}", vm.jobs.owed_items());
    tell_head(cluster, &vm);
    vm
}

/// Guards against items that are not sent while the results listed by a newer head cannot be read.
#[actix_rt::test]
async fn other_items() {
    let cluster = TestCluster::start().await;
    cluster.target.set_pause(Duration::from_millis(10));
    let vm = stalled_job(&cluster, 4, 2).await;
    let are_sent = is_reached(|| cluster.target.seen().len() == 4).await;
    assert!(are_sent, "{} of 4 items", cluster.target.seen().len());
    let are_done = || {
        let owed = vm.jobs.owed_items();
        owed.len() == 4 && owed.iter().all(|item| item.state == OwedState::Listing)
    };
    assert!(is_reached(are_done).await, "{:?}", vm.jobs.owed_items());
    cluster.rows.set_fault(RowsFault::None);
    check_results(&vm.read_results(&job(), 4).await, 4);
    assert_eq!(cluster.target.seen().len(), 4);
}

/// Guards against a planned stop that is not heard while the results listed by a newer head cannot be read.
#[actix_rt::test]
async fn planned_stop() {
    let cluster = TestCluster::start().await;
    let vm = stalled_job(&cluster, 4, 2).await;
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    vm.jobs.stop().await;
    assert_eq!(vm.jobs.running(), 0);
}

/// Guards against a job that is not released because its owner, at a planned stop, has been told a newer head and has not
/// read which results it lists.
#[actix_rt::test]
async fn released_job() {
    let cluster = TestCluster::start().await;
    let vm = stalled_job(&cluster, 4, 2).await;
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    cluster.rows.set_fault(RowsFault::None);
    vm.jobs.stop().await;
    let head = cluster.head_of(&job()).expect("a head");
    assert_eq!((head.owner, head.listed), (None, 1));
    let other = cluster.vm("other", 1);
    other.set_live_peers(&[]);
    check_results(&other.read_results(&job(), 4).await, 4);
}

/// Guards against a planned stop that waits for the answer to a write for ever, so that the job is not released.
#[actix_rt::test]
async fn silent_write() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    submit(&vm, 2).await;
    cluster.rows.set_fault(RowsFault::DropChange);
    let (changes, _) = cluster.rows.calls();
    assert!(is_reached(|| cluster.rows.calls().0 > changes).await);
    vm.jobs.stop().await;
    let head = cluster.head_of(&job()).expect("a head");
    assert_eq!((vm.jobs.running(), head.owner), (0, None));
}

/// Guards against the loss of a job that is not heard while the results listed by a newer head cannot be read.
#[actix_rt::test]
async fn lost_job() {
    let cluster = TestCluster::start().await;
    let vm = stalled_job(&cluster, 4, 2).await;
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    let mut head = cluster.head_of(&job()).expect("a head");
    head.owner = None;
    vm.jobs.apply_updates(vec![(job(), head, 1_000)]);
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(vm.jobs.running(), 0);
}

/// Takes a slot for an online request.
async fn acquire_online(vm: &TestVm) -> TargetTicket {
    let request = TicketRequest {
        service: "llm".into(),
        organisation: None,
        priority: 0,
        class: TrafficClass::Online,
        prefix_hash: None,
        parts: Vec::new(),
        fingerprint: None,
        deadline: SystemClock.uptime() + Duration::from_secs(3),
        wait_limit: Some(Duration::from_secs(1)),
        excluded: Vec::new(),
        barred: Vec::new(),
        spared: Vec::new(),
        version: None,
        regions: RegionSet::Everywhere,
        body_bytes: 1,
        is_retry: false,
        needs_idle_slot: false,
    };
    let ticket = vm.dispatcher.acquire(request).await;
    ticket.expect("a slot")
}

/// Guards against a preempted item that keeps its slot while the results listed by a newer head cannot be read.
#[actix_rt::test]
async fn preempted_item() {
    let cluster = TestCluster::start().await;
    cluster
        .target
        .plan([TargetAct::Serve, TargetAct::TrickleAfter(1)]);
    let vm = stalled_job(&cluster, 2, 3).await;
    let batch_calls = || {
        let slots = vm.dispatcher.report().slots;
        slots.iter().map(|(_, used)| used.batch).sum::<u32>()
    };
    assert_eq!(batch_calls(), 1);
    let mut tickets = Vec::new();
    for _ in 0..3 {
        tickets.push(acquire_online(&vm).await);
    }
    assert!(is_reached(|| batch_calls() == 0).await);
    assert!(is_reached(|| cluster.target.running() == 0).await);
    let owed = vm.jobs.owed_items();
    assert!(
        owed.iter().any(|item| item.state == OwedState::Slot),
        "{owed:?}"
    );
    for ticket in tickets {
        ticket.finish(CallOutcome::Abandoned);
    }
}

/// Guards against a job whose items cannot be decoded and that counts as a job without items, so that it never runs, and
/// against one of which only the items that were read are run.
#[rstest]
#[case::cut(|content: &Bytes| content.slice(..content.len() / 2))]
#[case::fewer(|content: &Bytes| {
    let mut items: Vec<JobItem> = ciborium::from_reader(content.as_ref()).expect("items");
    items.pop();
    let mut fewer = Vec::new();
    ciborium::into_writer(&items, &mut fewer).expect("encoded");
    fewer.into()
})]
#[actix_rt::test]
async fn malformed_items(#[case] damage: fn(&Bytes) -> Bytes) {
    let cluster = TestCluster::start().await;
    let gone = cluster.vm("gone", 1);
    gone.dispatcher.set_targets(std::iter::empty());
    submit(&gone, 2).await;
    gone.jobs.stop().await;
    let items = cluster.rows.table("job_items");
    let set_items = |content: Bytes| {
        let change = RowChange::of(partition_of(&job()));
        cluster
            .rows
            .seed(&change.put("job_items", &items[0].key, content));
    };
    set_items(damage(&items[0].value));
    let vm = cluster.vm("vm", 1);
    vm.set_live_peers(&[]);
    let is_loading = || {
        let owed = vm.jobs.owed_items();
        owed.len() == 1 && owed[0].state == OwedState::Load
    };
    assert!(is_reached(is_loading).await, "{:?}", vm.jobs.owed_items());
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    assert!(is_loading(), "{:?}", vm.jobs.owed_items());
    assert_eq!(cluster.target.seen().len(), 0);
    set_items(items[0].value.clone());
    check_results(&vm.read_results(&job(), 2).await, 2);
}

/// Guards against a body that is said not to exist when the items of its job cannot be decoded.
#[actix_rt::test]
async fn malformed_body() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    submit(&vm, 1).await;
    let items = cluster.rows.table("job_items");
    let change = RowChange::of(partition_of(&job()));
    let change = change.put("job_items", &items[0].key, Bytes::from_static(b"x"));
    cluster.rows.seed(&change);
    let body = vm.jobs.item_body(&ward(), &job(), &"item0".into()).await;
    let code = body.map_err(|problem| problem.code.http_status());
    assert_eq!(code, Err(503));
}

/// Guards against reads of listed ids that go on without an end or a pause because one of the results cannot be decoded.
#[actix_rt::test]
async fn malformed_result() {
    let cluster = TestCluster::start().await;
    let gone = cluster.vm("gone", 1);
    submit(&gone, 3).await;
    assert_eq!(gone.read_results(&job(), 3).await.len(), 3);
    let mut head = cluster.head_of(&job()).expect("a head");
    (head.listed, head.owner) = (2, None);
    let mut content = Vec::new();
    ciborium::into_writer(&head, &mut content).expect("encoded");
    let rows = cluster.rows.table("job_items");
    let results: Vec<_> = rows.iter().filter(|row| row.key.contains("/r")).collect();
    let change = RowChange::of(partition_of(&job()))
        .put("jobs", &job(), content.into())
        .put("job_items", &results[0].key, Bytes::from_static(b"x"))
        .remove("job_items", &results[2].key);
    cluster.rows.seed(&change);
    let store = JobStore::new(Rc::new(cluster.rows.clone()));
    let read = store.results(&job(), 0, &RegionSet::Everywhere).await;
    assert!(matches!(read, Err(StoreError::Malformed(_))), "{read:?}");
    let vm = cluster.vm("vm", 1);
    vm.set_live_peers(&[]);
    assert!(is_reached(|| vm.jobs.running() == 1).await);
    let (_, before) = cluster.rows.calls();
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let (_, after) = cluster.rows.calls();
    assert!(after - before < 20, "{} reads", after - before);
    assert_eq!(vm.jobs.owed_items()[0].state, OwedState::Load);
    let change = RowChange::of(partition_of(&job()));
    let change = change.put("job_items", &results[0].key, results[0].value.clone());
    cluster.rows.seed(&change);
    check_results(&vm.read_results(&job(), 3).await, 3);
}
