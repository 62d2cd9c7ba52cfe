//! Commits under faults of the store, racing writers, and a store restored from an old copy.

use crate::queue::{ReplicaQueue, log_of, propose, put_organisation, request};
use futures_util::future::join;
use plantainmill_config::propose::ChangeDone;
use plantainmill_config::{ChangeProposal, ConfigInput, ConfigLog, ConfigReplica, StoreState};
use plantainmill_core::{Executed, ManualClock, Problem, ResultCode};
use plantainmill_fakes::{MemoryPlatform, PlatformFault};
use plantainmill_provider::{
    CommitOutcome, PlatformFuture, RowEntry, StoreError, TableStore, TableWrite,
};
use rstest::rstest;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

async fn change(
    platform: &MemoryPlatform,
    operation: &str,
    expected_version: Option<u64>,
) -> Result<ChangeDone, Problem> {
    let mut request = request(operation, vec![put_organisation(operation, 1.0)]);
    request.expected_version = expected_version;
    let replica = ConfigReplica::default();
    propose(platform, &replica, request).await.result
}

async fn operations(platform: &MemoryPlatform) -> Vec<String> {
    let entries = log_of(platform).read_after(0, 100).await;
    let entries = entries.expect("the log is readable");
    let operations = entries
        .iter()
        .map(|entry| entry.change.operation.to_string());
    operations.collect()
}

/// The store fails before the write: nothing is written, and the problem says so.
#[actix_rt::test]
async fn down_before() {
    let platform = MemoryPlatform::default();
    platform.script_faults([PlatformFault::None, PlatformFault::Down]);
    let problem = change(&platform, "op1", None).await.expect_err("it fails");
    assert_eq!(problem.code, ResultCode::StoreUnavailable);
    assert_eq!(problem.executed, Executed::No);
    assert!(operations(&platform).await.is_empty());
}

/// The answer of the write is lost, and further reads fail too: the change is found by its operation and is
/// in the log once.
#[rstest]
fn lost_after(#[values(0, 1, 3)] failed_reads: usize) {
    actix_rt::System::new().block_on(async {
        let platform = MemoryPlatform::default();
        platform.script_faults([PlatformFault::None, PlatformFault::AnswerLost]);
        platform.script_faults(vec![PlatformFault::Down; failed_reads]);
        let done = change(&platform, "op1", None).await.expect("it is settled");
        assert!(done.committed.is_some());
        assert_eq!(operations(&platform).await, ["op1"]);
    });
}

/// The answer is lost and the store stays away: the outcome is unknown and said to be.
#[actix_rt::test]
async fn lost_unsettled() {
    let platform = MemoryPlatform::default();
    platform.script_faults([PlatformFault::None, PlatformFault::AnswerLost]);
    platform.set_fault(PlatformFault::Down);
    let problem = change(&platform, "op1", None)
        .await
        .expect_err("it is unknown");
    assert_eq!(problem.code, ResultCode::StoreUnknown);
    assert_eq!(problem.executed, Executed::Unknown);
    platform.set_fault(PlatformFault::None);
    assert_eq!(operations(&platform).await, ["op1"]);
}

/// A table whose first commit loses its answer and takes effect only after the head was read again.
#[derive(Default)]
struct LateTable {
    platform: MemoryPlatform,
    commits: AtomicU32,
    held: Mutex<Option<TableWrite>>,
}

impl TableStore for LateTable {
    fn get(&self, key: &str) -> PlatformFuture<'_, Option<RowEntry>> {
        let key = key.to_owned();
        Box::pin(async move {
            let row = TableStore::get(&self.platform, &key).await;
            let held = self.held.lock().expect("no test panics here").take();
            if let Some(write) = held {
                self.platform.commit(write).await?;
            }
            row
        })
    }

    fn range(&self, start: &str, end: &str, limit: u32) -> PlatformFuture<'_, Vec<RowEntry>> {
        self.platform.range(start, end, limit)
    }

    fn commit(&self, write: TableWrite) -> PlatformFuture<'_, CommitOutcome> {
        if self.commits.fetch_add(1, Ordering::Relaxed) > 0 {
            return self.platform.commit(write);
        }
        *self.held.lock().expect("no test panics here") = Some(write);
        Box::pin(async { Err(StoreError::Unknown("late".to_owned())) })
    }
}

/// A write whose answer was lost takes effect only after the retry has read the head: one entry, not two.
#[actix_rt::test]
async fn late_write() {
    let table = Arc::new(LateTable::default());
    let platform = table.platform.clone();
    let log = ConfigLog::new(table, Arc::new(platform.clone()));
    let request = request("op1", vec![put_organisation("kandy", 1.0)]);
    let held = ConfigReplica::default().snapshot();
    let clock = Arc::new(ManualClock::default());
    let outcome = ChangeProposal::new(log, held, request, clock).run().await;
    let entry = outcome.result.expect("it is settled").committed;
    assert_eq!(entry.map(|entry| entry.change.version), Some(1));
    assert_eq!(operations(&platform).await, ["op1"]);
}

/// Of two writers with the same expected version one wins; the other is told what came first.
#[actix_rt::test]
async fn writers_race() {
    let platform = MemoryPlatform::default();
    let first = change(&platform, "op1", Some(0));
    let second = change(&platform, "op2", Some(0));
    let (first, second) = join(first, second).await;
    assert!(first.is_ok());
    let problem = second.expect_err("the second loses");
    assert_eq!(problem.code, ResultCode::VersionMismatch);
    assert!(problem.reason.contains("1 by operator: test"), "{problem}");
    let third = change(&platform, "op3", None).await;
    assert_eq!(
        third
            .expect("it follows")
            .committed
            .map(|entry| entry.change.version),
        Some(2)
    );
}

/// A store restored from an old copy: VMs keep their version, refuse changes, and refuse the other history even
/// after a VM without memory has written to the old copy.
#[rstest]
#[actix_rt::test]
async fn store_restored(#[values(0, 1, 3)] later_writes: u32) {
    let mut queue = ReplicaQueue::new(3, 1);
    queue.change(0, put_organisation("kandy", 1.0));
    let backup = queue.platform.backup();
    queue.change(0, put_organisation("gita", 1.0));
    queue.run(Duration::from_secs(3));
    queue.platform.restore(&backup);
    for number in 0..later_writes {
        let operation = format!("late{number}");
        change(&queue.platform, &operation, None)
            .await
            .expect("the old copy accepts it");
    }
    queue.run(Duration::from_secs(5));
    queue.assert_agreed(2);
    let replica = &queue.nodes[0].replica;
    let refused = propose(
        &queue.platform,
        replica,
        request("op9", vec![put_organisation("x", 1.0)]),
    );
    let problem = refused.await.result.expect_err("it is refused");
    assert_eq!(problem.code, ResultCode::StoreReverted);
    assert_eq!(replica.store_state(), StoreState::Reverted);
    let reads = replica.counters().reads;
    queue.run(Duration::from_secs(10));
    // A table with another history is not read again and again.
    let replica = &queue.nodes[0].replica;
    assert_eq!(replica.counters().reads, reads);
    assert!(replica.counters().reverted + replica.counters().forked > 0);
}

/// A damaged newest snapshot is passed over for the one before it.
#[actix_rt::test]
async fn damaged_snapshot() {
    use plantainmill_config::log::snapshot_name;
    use plantainmill_provider::ObjectStore as _;
    let mut queue = ReplicaQueue::new(1, 1);
    let log = log_of(&queue.platform);
    for version in 1..=2 {
        queue.change(0, put_organisation(&format!("org{version}"), 1.0));
        let snapshot = queue.nodes[0].replica.snapshot();
        log.write_snapshot(&snapshot).await.expect("it is written");
    }
    let name = snapshot_name(2);
    queue
        .platform
        .put(&name, "damaged".into())
        .await
        .expect("it is written");
    let found = log.read_snapshot().await.expect("it is readable");
    assert_eq!(found.expect("the first is whole").config.version, 1);
}

/// A malformed row is reported with its key and takes no VM down.
#[actix_rt::test]
async fn malformed_row() {
    let mut queue = ReplicaQueue::new(1, 1);
    queue.change(0, put_organisation("kandy", 1.0));
    let key = plantainmill_config::log::log_key(1);
    let write = TableWrite::new().put(key.clone(), serde_json::json!({"change": 7}));
    queue.platform.commit(write).await.expect("it is written");
    let problem = change(&queue.platform, "op2", None)
        .await
        .expect_err("it is refused");
    assert_eq!(problem.code, ResultCode::RowInvalid);
    assert!(problem.reason.contains(key.as_str()), "{problem}");
    queue.feed(0, ConfigInput::StoreFailed);
    assert_eq!(queue.version(0), 1);
}
