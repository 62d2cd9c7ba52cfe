//! A store that injects a fault at a chosen step of one VM.

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::FutureExt as _;
use plantainmill_fakes::MemoryPlatform;
use plantainmill_provider::{
    CommitOutcome, ObjectStore, PlatformFuture, RowEntry, StoreError, TableStore, TableWrite,
};
use std::sync::{Arc, Mutex, MutexGuard};

/// A step of the batch protocol, recognised by what is written or read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Write of the expiry row, by which the objects of an unfinished job creation are deleted.
    AcceptExpiry,
    AcceptPut,
    AcceptCommit,
    Claim,
    ReadInput,
    SegmentPut,
    ChunkCommit,
    Finish,
    Cancel,
    Other,
}

/// Fault injected at a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The VM dies before the call takes effect.
    KillBefore,
    /// The VM dies after the call has taken effect.
    KillAfter,
    /// The call takes effect and its response is lost.
    ResponseLost,
    /// The call has no effect, and the VM does not learn this.
    RequestLost,
    /// The call fails with an error that says that it had no effect.
    Refused,
}

#[derive(Debug, Default)]
struct FaultPlan {
    dead: bool,
    down: bool,
    step: Option<(Step, usize, FaultKind)>,
    fired: bool,
    writes: u64,
}

/// The store as one VM sees it.
#[derive(Clone, Debug)]
pub struct FaultStore {
    platform: MemoryPlatform,
    plan: Arc<Mutex<FaultPlan>>,
}

impl FaultStore {
    pub fn new(platform: MemoryPlatform) -> FaultStore {
        FaultStore {
            platform,
            plan: Arc::default(),
        }
    }

    fn plan(&self) -> MutexGuard<'_, FaultPlan> {
        self.plan.lock().unwrap()
    }

    /// Injects a fault at the `nth` call (from 0) of `step`.
    pub fn fail_at(&self, step: Step, nth: usize, kind: FaultKind) {
        self.plan().step = Some((step, nth, kind));
    }

    /// Whether the injected fault has happened.
    pub fn fired(&self) -> bool {
        self.plan().fired
    }

    pub fn is_dead(&self) -> bool {
        self.plan().dead
    }

    /// Kills or pauses the VM: none of its calls returns until it is resumed.
    pub fn set_dead(&self, dead: bool) {
        self.plan().dead = dead;
    }

    /// Cuts the VM off from the store.
    pub fn set_down(&self, down: bool) {
        self.plan().down = down;
    }

    /// Commits sent by this VM.
    pub fn writes(&self) -> u64 {
        self.plan().writes
    }

    fn fault_of(&self, step: Step) -> Option<FaultKind> {
        let mut plan = self.plan();
        let (wanted, nth, kind) = plan.step?;
        if wanted != step {
            return None;
        }
        if nth > 0 {
            plan.step = Some((wanted, nth - 1, kind));
            return None;
        }
        plan.step = None;
        plan.fired = true;
        Some(kind)
    }

    /// Waits while the VM is dead or paused.
    async fn wait_while_dead(&self) {
        while self.is_dead() {
            tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        }
    }

    async fn run<T>(
        &self,
        step: Step,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.wait_while_dead().await;
        if self.plan().down {
            return Err(StoreError::Unavailable("store unreachable".to_owned()));
        }
        let fault = self.fault_of(step);
        match fault {
            Some(FaultKind::KillBefore) => self.set_dead(true),
            Some(FaultKind::RequestLost) => {
                return Err(StoreError::Unknown("request lost".to_owned()));
            }
            Some(FaultKind::Refused) => {
                return Err(StoreError::Unavailable("refused".to_owned()));
            }
            _ => {}
        }
        self.wait_while_dead().await;
        let outcome = call.await;
        match fault {
            Some(FaultKind::KillAfter) => self.set_dead(true),
            Some(FaultKind::ResponseLost) => {
                return Err(StoreError::Unknown("response lost".to_owned()));
            }
            _ => {}
        }
        self.wait_while_dead().await;
        outcome
    }
}

/// Recognises the step of a commit by its rows.
fn step_of(write: &TableWrite) -> Step {
    for (key, value) in &write.puts {
        if key.starts_with("job/") {
            return match value["state"].as_str() {
                Some("running") => Step::AcceptCommit,
                Some("completed") => Step::Finish,
                _ => Step::Cancel,
            };
        }
        if key.starts_with("chunk/") {
            let fresh = value["segments"].as_array().is_none_or(Vec::is_empty);
            let claim =
                fresh && value["held"] == true && value["attempts"] == serde_json::json!({});
            return if claim && value["started"] == "" {
                Step::Claim
            } else {
                Step::ChunkCommit
            };
        }
        if key.contains("/accept/") {
            return Step::AcceptExpiry;
        }
    }
    Step::Other
}

impl TableStore for FaultStore {
    fn get(&self, key: &str) -> PlatformFuture<'_, Option<RowEntry>> {
        let key = CompactString::from(key);
        async move {
            self.run(Step::Other, TableStore::get(&self.platform, &key))
                .await
        }
        .boxed_local()
    }

    fn range(&self, start: &str, end: &str, limit: u32) -> PlatformFuture<'_, Vec<RowEntry>> {
        let (start, end) = (CompactString::from(start), CompactString::from(end));
        async move {
            let call = self.platform.range(&start, &end, limit);
            self.run(Step::Other, call).await
        }
        .boxed_local()
    }

    fn commit(&self, write: TableWrite) -> PlatformFuture<'_, CommitOutcome> {
        self.plan().writes += 1;
        let step = step_of(&write);
        async move { self.run(step, self.platform.commit(write)).await }.boxed_local()
    }
}

impl ObjectStore for FaultStore {
    fn put(&self, name: &str, content: Bytes) -> PlatformFuture<'_, ()> {
        let name = CompactString::from(name);
        let step = match () {
            () if name.contains("/input/") => Step::AcceptPut,
            () if name.contains("/result/") => Step::SegmentPut,
            () => Step::Other,
        };
        async move { self.run(step, self.platform.put(&name, content)).await }.boxed_local()
    }

    fn get(&self, name: &str) -> PlatformFuture<'_, Option<Bytes>> {
        let name = CompactString::from(name);
        let step = if name.contains("/input/") {
            Step::ReadInput
        } else {
            Step::Other
        };
        async move {
            self.run(step, ObjectStore::get(&self.platform, &name))
                .await
        }
        .boxed_local()
    }

    fn list(&self, prefix: &str) -> PlatformFuture<'_, Vec<CompactString>> {
        let prefix = CompactString::from(prefix);
        async move {
            let call = ObjectStore::list(&self.platform, &prefix);
            self.run(Step::Other, call).await
        }
        .boxed_local()
    }

    fn delete(&self, name: &str) -> PlatformFuture<'_, ()> {
        let name = CompactString::from(name);
        async move { self.run(Step::Other, self.platform.delete(&name)).await }.boxed_local()
    }
}
