//! Jobs that no VM runs: one that waits for the store, one whose new owner cannot write, and one whose run has failed.

use crate::support::{TestCluster, TestVm, check_results, head, owner, route, submission, ward};
use futures_util::FutureExt as _;
use plantainmill_core::{JobId, RegionSet};
use plantainmill_fakes::{MemoryRows, RowsFault};
use plantainmill_jobs::{FleetSnapshot, JobOwner, JobStore, OwedState, partition_of};
use plantainmill_provider::rows::TableName;
use plantainmill_provider::{
    ChangeOutcome, FeedRead, PartitionStore, PlatformFuture, RowChange, RowVersion, RowsRead,
};
use rstest::rstest;
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time from the start of a VM until it reassigns jobs.
const SETTLING: Duration = Duration::from_secs(2);
/// Time within which a VM runs a job that it was given, or finds one without a runner.
const PROMPT: Duration = Duration::from_secs(1);
/// Time within which another VM takes over a job that the responsible one leaves.
const FALLBACK: Duration = Duration::from_secs(7);
/// Time in which a silent store would be asked again and again.
const OUTAGE: Duration = Duration::from_secs(3);
/// Most changes that a VM may have asked for at a time.
const MAX_CHANGES: u64 = 32;

/// Stores an open job with `count` items.
async fn store_job(cluster: &TestCluster, job: &JobId, count: usize, owner: Option<JobOwner>) {
    let accepted = SystemTime::now().duration_since(UNIX_EPOCH);
    let mut head = head(count as u64);
    head.accepted_ms = u64::try_from(accepted.expect("a time").as_millis()).expect("in range");
    head.owner = owner;
    let store = JobStore::new(Rc::new(cluster.rows.with_own_fault()));
    let created = store
        .create(job, &head, &submission(count).items, &RegionSet::Everywhere)
        .await;
    created.expect("stored");
}

/// Returns the time after which `is_met` holds, at most `limit`.
async fn time_until(limit: Duration, mut is_met: impl FnMut() -> bool) -> Option<Duration> {
    let started = Instant::now();
    while started.elapsed() < limit {
        if is_met() {
            return Some(started.elapsed());
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    None
}

/// Number of items of jobs without a runner, as `vm` sees them.
fn unrun_items(vm: &TestVm) -> u64 {
    let owed = vm.jobs.owed_items().into_iter();
    owed.filter(|item| item.state == OwedState::Runner)
        .map(|item| item.count)
        .sum()
}

fn fleet(domains: &[&str], vms: &[&TestVm]) -> FleetSnapshot {
    let members: Vec<JobOwner> = vms.iter().map(|vm| vm.own.clone()).collect();
    FleetSnapshot {
        regions: HashMap::new(),
        live: members.clone(),
        domains: domains.iter().map(|domain| (*domain).into()).collect(),
        readers: members.iter().map(|member| member.vm.clone()).collect(),
        domain: "a".into(),
        members,
    }
}

/// Returns a job that `responsible` has to reassign.
fn job_of(fleet: &FleetSnapshot, responsible: &JobOwner) -> JobId {
    let mut names = (0..1_000).map(|number| JobId::from(format!("j{number}")));
    let job = names.find(|job| fleet.is_responsible(job, responsible));
    job.expect("some job")
}

/// Guards against a job of this VM that is not run, and an orphan that is not seen, while the store leaves the
/// reassignment of another one unanswered.
#[actix_rt::test]
async fn silent_store() {
    let cluster = TestCluster::start().await;
    let rows = cluster.rows.with_own_fault();
    let vm = cluster.vm_with_store("vm", 1, Rc::new(rows.clone()));
    vm.dispatcher.set_targets(std::iter::empty());
    vm.set_live_peers(&[]);
    actix_rt::time::sleep(SETTLING).await;
    rows.set_fault(RowsFault::SilentChanges);
    let (before, _) = rows.calls();
    store_job(&cluster, &"held".into(), 1, Some(owner("gone", 1))).await;
    let is_sent = || rows.calls().0 == before + 2;
    assert!(time_until(PROMPT, is_sent).await.is_some());
    rows.set_fault(RowsFault::None);
    store_job(&cluster, &"own".into(), 1, Some(vm.own.clone())).await;
    let is_run = || vm.jobs.running() == 1;
    assert!(time_until(PROMPT, is_run).await.is_some(), "not resumed");
    store_job(&cluster, &"orphan".into(), 1, Some(owner("gone", 1))).await;
    let is_run = || vm.jobs.running() == 2;
    assert!(time_until(PROMPT, is_run).await.is_some(), "not seen");
    assert_eq!(rows.calls().0, before + 5, "asked again");
    assert_eq!(unrun_items(&vm), 1);
}

/// Guards against a silent store that is asked for all jobs of a lost VM at a time, and against jobs that are then left.
#[actix_rt::test]
async fn many_orphans() {
    let count = 100;
    let cluster = TestCluster::start().await;
    let rows = cluster.rows.with_own_fault();
    let vm = cluster.vm_with_store("vm", 1, Rc::new(rows.clone()));
    vm.dispatcher.set_targets(std::iter::empty());
    vm.set_live_peers(&[]);
    rows.set_fault(RowsFault::SilentChanges);
    for number in 0..count {
        let job = JobId::from(format!("j{number}"));
        store_job(&cluster, &job, 1, Some(owner("gone", 1))).await;
    }
    let (before, _) = rows.calls();
    actix_rt::time::sleep(SETTLING + OUTAGE).await;
    let asked = rows.calls().0 - before;
    assert!((1..=MAX_CHANGES).contains(&asked), "{asked} changes");
    rows.set_fault(RowsFault::None);
    let is_run = || vm.jobs.running() == count;
    assert!(time_until(FALLBACK, is_run).await.is_some());
}

/// Guards against a job that nobody runs while the VM that all expect to reassign it is heard and cannot write, and against
/// a VM that gives such a job to one that cannot write.
#[rstest]
#[case::lost_owner(Some(owner("gone", 1)))]
#[case::released(None)]
#[actix_rt::test]
async fn refused_writer(#[case] held_by: Option<JobOwner>) {
    let cluster = TestCluster::start().await;
    let rows = cluster.rows.with_own_fault();
    rows.set_fault(RowsFault::RefuseChanges);
    let cut_off = cluster.vm_with_store("cut-off", 1, Rc::new(rows));
    let other = cluster.vm("other", 1);
    let fleet = fleet(&["a"], &[&cut_off, &other]);
    cut_off.jobs.set_fleet(fleet.clone());
    other.jobs.set_fleet(fleet.clone());
    let job = job_of(&fleet, &cut_off.own);
    store_job(&cluster, &job, 2, held_by).await;
    actix_rt::time::sleep(SETTLING).await;
    assert_eq!(unrun_items(&other), 2);
    let is_run = || unrun_items(&other) == 0;
    assert!(time_until(FALLBACK, is_run).await.is_some(), "no runner");
    assert_eq!(cut_off.jobs.running(), 0);
    check_results(&other.read_results(&job, 2).await, 2);
}

/// Guards against a job that nobody runs because the domain that is expected to reassign it does not do so.
#[actix_rt::test]
async fn silent_domain() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    let far = FleetSnapshot {
        regions: HashMap::new(),
        domain: "b".into(),
        ..fleet(&["a", "b"], &[&vm])
    };
    let job = job_of(&far, &vm.own);
    vm.jobs.set_fleet(fleet(&["a", "b"], &[&vm]));
    store_job(&cluster, &job, 2, Some(owner("gone", 1))).await;
    let is_run = || vm.jobs.running() == 1;
    assert!(time_until(SETTLING + FALLBACK, is_run).await.is_some());
    check_results(&vm.read_results(&job, 2).await, 2);
}

/// Guards against further calls of the store when the responsible VM reassigns the job, as usual.
#[actix_rt::test]
async fn usual_takeover() {
    let cluster = TestCluster::start().await;
    let vms = ["vm1", "vm2", "vm3"].map(|name| cluster.vm(name, 1));
    let fleet = fleet(&["a"], &vms.each_ref());
    for vm in &vms {
        vm.dispatcher.set_targets(std::iter::empty());
        vm.jobs.set_fleet(fleet.clone());
    }
    store_job(&cluster, &"j1".into(), 2, Some(owner("gone", 1))).await;
    let (before, _) = cluster.rows.calls();
    actix_rt::time::sleep(SETTLING + FALLBACK).await;
    assert_eq!(cluster.rows.calls().0, before + 1);
    let running: usize = vms.iter().map(|vm| vm.jobs.running()).sum();
    assert_eq!(running, 1);
}

/// Rows whose next read of items panics.
struct FailingRows {
    rows: MemoryRows,
    fails_next: Cell<bool>,
}

impl PartitionStore for FailingRows {
    fn read<'a>(
        &'a self,
        table: TableName,
        part: &'a str,
        from: &'a str,
        until: &'a str,
    ) -> PlatformFuture<'a, RowsRead> {
        let fails = table == "job_items" && self.fails_next.replace(false);
        async move {
            assert!(!fails, "the run of the test fails");
            self.rows.read(table, part, from, until).await
        }
        .boxed_local()
    }

    fn change(&self, change: RowChange) -> PlatformFuture<'_, ChangeOutcome> {
        self.rows.change(change)
    }

    fn follow(
        &self,
        table: TableName,
        after: RowVersion,
        wait: Duration,
    ) -> PlatformFuture<'_, FeedRead> {
        self.rows.follow(table, after, wait)
    }
}

/// Guards against a job that counts as running for good after its run has panicked.
#[actix_rt::test]
async fn failed_run() {
    let cluster = TestCluster::start().await;
    let rows = FailingRows {
        rows: cluster.rows.clone(),
        fails_next: Cell::new(true),
    };
    let vm = cluster.vm_with_store("vm", 1, Rc::new(rows));
    vm.set_live_peers(&[]);
    let job = JobId::from("j1");
    store_job(&cluster, &job, 2, Some(vm.own.clone())).await;
    actix_rt::time::sleep(SETTLING).await;
    check_results(&vm.read_results(&job, 2).await, 2);
}

/// Guards against a job whose head was removed, and whose items its owner runs again and again.
#[actix_rt::test]
async fn removed_head() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    // Another VM reads the changes, so that this one learns of the removal by its write.
    vm.jobs.set_fleet(FleetSnapshot {
        regions: HashMap::new(),
        live: vec![vm.own.clone()],
        domains: vec!["a".into()],
        readers: vec!["reader".into()],
        domain: "a".into(),
        members: vec![vm.own.clone()],
    });
    cluster.target.set_pause(Duration::from_millis(100));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    vm.jobs
        .submit(&ward(), &route(), &"j1".into(), &submission(1))
        .await
        .expect("accepted");
    let removal = RowChange::of(partition_of("j1")).remove("jobs", "j1");
    cluster.rows.seed(&removal);
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(vm.jobs.running(), 0);
    assert_eq!(cluster.target.seen().len(), 1);
}

/// Guards against a job that is given to a VM which stops, and lies there until its process ends.
#[rstest]
#[case::given_job(true)]
#[case::released_job(false)]
#[actix_rt::test]
async fn stopping_owner(#[case] is_given: bool) {
    let cluster = TestCluster::start().await;
    let vms = ["vm1", "vm2"].map(|name| cluster.vm(name, 1));
    let fleet = fleet(&["a"], &vms.each_ref());
    for vm in &vms {
        vm.jobs.set_fleet(fleet.clone());
    }
    actix_rt::time::sleep(SETTLING).await;
    let [stopping, other] = &vms;
    stopping.jobs.stop().await;
    let jobs: [JobId; 4] = ["j1", "j2", "j3", "j4"].map(JobId::from);
    for job in &jobs {
        let owner = is_given.then(|| stopping.own.clone());
        store_job(&cluster, job, 1, owner).await;
    }
    for job in &jobs {
        check_results(&other.read_results(job, 1).await, 1);
    }
}
