//! Commits under faults of the store, concurrent writers, and a store that was restored from an old copy.

use crate::network::{SimulatedNetwork, log_of, propose, put_organisation, request};
use futures_util::future::join;
use plantainmill_config::propose::AcceptedChange;
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
) -> Result<AcceptedChange, Problem> {
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

/// If the store fails before the write, nothing is written, and the problem reports that nothing was executed.
#[actix_rt::test]
async fn store_down() {
    let platform = MemoryPlatform::default();
    platform.script_faults([PlatformFault::None, PlatformFault::Down]);
    let problem = change(&platform, "op1", None)
        .await
        .expect_err("the store is down");
    assert_eq!(problem.code, ResultCode::StoreUnavailable);
    assert_eq!(problem.executed, Executed::No);
    assert!(operations(&platform).await.is_empty());
}

/// The response to the write is lost, and some of the reads that resolve its outcome fail: the change is found by its
/// operation id and is in the log once.
#[rstest]
fn lost_response_resolved(#[values(0, 1, 3)] failed_reads: usize) {
    actix_rt::System::new().block_on(async {
        let platform = MemoryPlatform::default();
        platform.script_faults([PlatformFault::None, PlatformFault::AnswerLost]);
        platform.script_faults(vec![PlatformFault::Down; failed_reads]);
        let done = change(&platform, "op1", None)
            .await
            .expect("the outcome is resolved");
        assert!(done.committed.is_some());
        assert_eq!(operations(&platform).await, ["op1"]);
    });
}

/// The response to the write is lost and the store stays down: the problem reports an unknown outcome, although the
/// write took effect.
#[actix_rt::test]
async fn outcome_unknown() {
    let platform = MemoryPlatform::default();
    platform.script_faults([PlatformFault::None, PlatformFault::AnswerLost]);
    platform.set_fault(PlatformFault::Down);
    let problem = change(&platform, "op1", None)
        .await
        .expect_err("the outcome is unknown");
    assert_eq!(problem.code, ResultCode::StoreUnknown);
    assert_eq!(problem.executed, Executed::Unknown);
    platform.set_fault(PlatformFault::None);
    assert_eq!(operations(&platform).await, ["op1"]);
}

/// A table whose first commit returns an unknown outcome and takes effect only after the head was read again.
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
            let held = self.held.lock().expect("the lock is not poisoned").take();
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
        *self.held.lock().expect("the lock is not poisoned") = Some(write);
        Box::pin(async { Err(StoreError::Unknown("late".to_owned())) })
    }
}

/// A write whose response was lost takes effect after the retry has read the head. The retry then conflicts, and the
/// log has one entry, not two.
#[actix_rt::test]
async fn late_write_once() {
    let table = Arc::new(LateTable::default());
    let platform = table.platform.clone();
    let log = ConfigLog::new(table, Arc::new(platform.clone()));
    let request = request("op1", vec![put_organisation("kandy", 1.0)]);
    let held = ConfigReplica::default().snapshot();
    let clock = Arc::new(ManualClock::default());
    let outcome = ChangeProposal::new(log, held, request, clock).run().await;
    let entry = outcome.result.expect("the outcome is resolved").committed;
    assert_eq!(entry.map(|entry| entry.change.version), Some(1));
    assert_eq!(operations(&platform).await, ["op1"]);
}

/// Of two writers with the same expected version, one commits. The other is refused with the change that was committed
/// first.
#[actix_rt::test]
async fn writers_race() {
    let platform = MemoryPlatform::default();
    let first = change(&platform, "op1", Some(0));
    let second = change(&platform, "op2", Some(0));
    let (first, second) = join(first, second).await;
    assert!(first.is_ok());
    let problem = second.expect_err("the second is refused");
    assert_eq!(problem.code, ResultCode::VersionMismatch);
    assert!(problem.reason.contains("1 by operator: test"), "{problem}");
    let third = change(&platform, "op3", None).await;
    assert_eq!(
        third
            .expect("no version is expected")
            .committed
            .map(|entry| entry.change.version),
        Some(2)
    );
}

/// The store is restored from an old copy: VMs keep their version and refuse changes. They also refuse the diverged
/// history that arises when a VM that starts empty writes to the old copy.
#[rstest]
#[actix_rt::test]
async fn store_restored(#[values(0, 1, 3)] later_writes: u32) {
    let mut network = SimulatedNetwork::new(3, 1);
    network.change(0, put_organisation("kandy", 1.0));
    let backup = network.platform.backup();
    network.change(0, put_organisation("gita", 1.0));
    network.run(Duration::from_secs(3));
    network.platform.restore(&backup);
    for number in 0..later_writes {
        let operation = format!("late{number}");
        change(&network.platform, &operation, None)
            .await
            .expect("the old copy accepts it");
    }
    network.run(Duration::from_secs(5));
    network.assert_agreed(2);
    let replica = &network.vms[0].replica;
    let refused = propose(
        &network.platform,
        replica,
        request("op9", vec![put_organisation("x", 1.0)]),
    );
    let problem = refused.await.result.expect_err("the change is refused");
    assert_eq!(problem.code, ResultCode::StoreReverted);
    assert_eq!(replica.store_state(), StoreState::Reverted);
    let reads = replica.counters().reads;
    network.run(Duration::from_secs(10));
    // A table with a diverged history is not read repeatedly.
    let replica = &network.vms[0].replica;
    assert_eq!(replica.counters().reads, reads);
    assert!(replica.counters().reverted + replica.counters().forked > 0);
}

/// If the newest snapshot is damaged, the one before it is read.
#[actix_rt::test]
async fn damaged_snapshot() {
    use plantainmill_config::log::snapshot_name;
    use plantainmill_provider::ObjectStore as _;
    let mut network = SimulatedNetwork::new(1, 1);
    let log = log_of(&network.platform);
    for version in 1..=2 {
        network.change(0, put_organisation(&format!("org{version}"), 1.0));
        let snapshot = network.vms[0].replica.snapshot();
        log.write_snapshot(&snapshot)
            .await
            .expect("the write succeeds");
    }
    let name = snapshot_name(2);
    network
        .platform
        .put(&name, "damaged".into())
        .await
        .expect("the write succeeds");
    let found = log.read_snapshot().await.expect("the store is readable");
    assert_eq!(found.expect("the first is valid").config.version, 1);
}

/// A malformed row is reported with its key, and replicas keep their version.
#[actix_rt::test]
async fn malformed_row() {
    let mut network = SimulatedNetwork::new(1, 1);
    network.change(0, put_organisation("kandy", 1.0));
    let key = plantainmill_config::log::log_key(1);
    let write = TableWrite::new().put(key.clone(), serde_json::json!({"change": 7}));
    network
        .platform
        .commit(write)
        .await
        .expect("the write succeeds");
    let problem = change(&network.platform, "op2", None)
        .await
        .expect_err("the change is refused");
    assert_eq!(problem.code, ResultCode::RowInvalid);
    assert!(problem.reason.contains(key.as_str()), "{problem}");
    network.handle_input(0, ConfigInput::StoreFailed);
    assert_eq!(network.version(0), 1);
}
