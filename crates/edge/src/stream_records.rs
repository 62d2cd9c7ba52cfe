//! Records, in the store, of the software versions at which streams began, by which a stream that its caller takes up at
//! any VM goes on at that version.

use crate::metrics::METRIC_PREFIX;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};
use plantainmill_core::{
    Clock, Problem, ResultCode, ServiceName, Uptime, VersionName, encode_cbor,
};
use plantainmill_dispatch::rendezvous::key_of;
use plantainmill_provider::rows::TableName;
use plantainmill_provider::{ChangeOutcome, PartitionStore, RowChange, RowVersion, StoreError};
use plantainmill_proxy::relay::StreamRecorder;
use plantainmill_routing::{DocumentView, VersionLedger};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Table of the versions at which streams began.
pub(crate) const STREAM_TABLE: TableName = "streams";
/// Table of the base version of each service.
pub(crate) const BASE_TABLE: TableName = "stream_bases";
/// Partitions of the records, so that many can be written at the same time.
const PARTITION_COUNT: u64 = 16;
/// Records that one change writes.
const RECORDS_PER_CHANGE: usize = 40;
/// Records that one change removes.
const REMOVALS_PER_CHANGE: usize = 50;
/// Largest number of records of one partition that wait for their write.
const MAX_PENDING: usize = 200;
/// Largest number of records of one partition that wait for their removal. The sweep removes the others.
const MAX_ENDED: usize = 200;
/// Delay after a failed write of records.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for which the first event of a stream waits for its record.
const RECORD_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after a failed write in which new streams begin at the base version, if they can.
const FAILURE_PERIOD: Duration = Duration::from_secs(1);
/// Longest time that a take-up waits for the record of its stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which a take-up without a record checks for a recent view of the registry.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a take-up is repeated whose record could not be read.
const LOOKUP_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Delay before a take-up is repeated whose version has no target. Targets that crashed are back after some seconds.
const GONE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Interval at which base versions are checked.
const BASE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which this VM removes old records from one partition.
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);
/// Intervals of the base check after which removals are written that found no write to go with.
const REMOVAL_ROUNDS: u64 = 50;
/// Longest life of a stream where no route sets one.
const DEFAULT_STREAM_TIME: Duration = Duration::from_secs(10);
/// Delay by which VMs may learn late that targets have left, or that others have come.
const REGISTRY_DELAY: Duration = Duration::from_secs(5);

/// The version at which a stream began.
#[derive(Debug, Deserialize, Serialize)]
struct StreamRow {
    service: ServiceName,
    version: VersionName,
    /// Wall-clock time of the record in milliseconds since the Unix epoch.
    stored_ms: u64,
}

/// The version of the streams of a service that have no record.
#[derive(Debug, Deserialize, Serialize)]
struct BaseRow {
    version: VersionName,
}

struct PendingRecord {
    key: CompactString,
    content: Bytes,
    queued_at: Uptime,
    /// Notified once the record is stored. It is still stored later if the stream has begun without it.
    written: oneshot::Sender<()>,
}

#[derive(Default)]
struct PartitionQueue {
    pending: Vec<PendingRecord>,
    ended: Vec<CompactString>,
    is_writing: bool,
}

struct RecordsInner {
    ledger: RefCell<VersionLedger>,
    rows: Rc<dyn PartitionStore>,
    view: DocumentView,
    clock: Arc<dyn Clock>,
    queues: RefCell<Vec<PartitionQueue>>,
    /// Streams of this VM that have a record, with the time of it.
    recorded: RefCell<HashMap<CompactString, Uptime>>,
    /// Row versions of the base versions that this VM has read.
    base_rows: RefCell<HashMap<ServiceName, RowVersion>>,
    failing_until: Cell<Uptime>,
    /// This VM hears none of the others, so it may not know what they see.
    is_isolated: Cell<bool>,
    mixed_services: Gauge<u64>,
    records: Counter<u64>,
    resumptions: Counter<u64>,
}

/// Versions at which streams began, as this VM knows and records them. Clones share their state.
#[derive(Clone)]
pub(crate) struct StreamRecords {
    inner: Rc<RecordsInner>,
}

impl StreamRecords {
    pub fn new(
        rows: Rc<dyn PartitionStore>,
        view: DocumentView,
        clock: Arc<dyn Clock>,
        meter: &Meter,
    ) -> StreamRecords {
        let counter = |name: &str| meter.u64_counter(format!("{METRIC_PREFIX}{name}")).build();
        let queues = (0..PARTITION_COUNT).map(|_| PartitionQueue::default());
        let mixed_services = meter.u64_gauge(format!("{METRIC_PREFIX}mixed_services"));
        StreamRecords {
            inner: Rc::new(RecordsInner {
                ledger: RefCell::new(VersionLedger::new(stream_time(&view))),
                rows,
                view,
                clock,
                queues: RefCell::new(queues.collect()),
                recorded: RefCell::default(),
                base_rows: RefCell::default(),
                failing_until: Cell::new(Uptime::ZERO),
                is_isolated: Cell::new(false),
                mixed_services: mixed_services.build(),
                records: counter("stream_records"),
                resumptions: counter("stream_resumptions"),
            }),
        }
    }

    /// Replaces the listed targets, given by service and version, with those that the registry had at `read_at`.
    pub fn set_targets<'a>(
        &self,
        targets: impl Iterator<Item = (&'a ServiceName, &'a VersionName)>,
        read_at: Uptime,
    ) {
        self.inner.ledger.borrow_mut().set_targets(targets, read_at);
    }

    /// Records that the registry still had the listed targets at `at`.
    pub fn confirm_targets(&self, at: Uptime) {
        self.inner.ledger.borrow_mut().confirm_targets(at);
    }

    /// States whether this VM hears none of the others.
    pub fn set_isolated(&self, is_isolated: bool) {
        self.inner.is_isolated.set(is_isolated);
    }

    /// Listed and base versions, for the diagnostic dump.
    pub fn dump(&self) -> serde_json::Value {
        self.inner.ledger.borrow().dump()
    }

    /// The service and version at which the stream of the attempt `first` began. `service` is the one that its request is
    /// routed to.
    ///
    /// # Errors
    ///
    /// The stream cannot go on now, because its version cannot be determined.
    pub async fn resolve(
        &self,
        service: &ServiceName,
        first: Option<&str>,
    ) -> Result<(ServiceName, VersionName), Problem> {
        let resolved = self.inner.resolve(service, first).await;
        let result = if resolved.is_ok() { "found" } else { "unknown" };
        let labels = [KeyValue::new("result", result)];
        self.inner.resumptions.add(1, &labels);
        resolved.map_err(|error| {
            Problem::new(ResultCode::VersionUnknown, error).with_retry_after(LOOKUP_RETRY_AFTER)
        })
    }

    /// Adds the delay after which a take-up may be repeated whose version has no target.
    pub fn with_retry_delay(problem: Problem) -> Problem {
        if problem.code == ResultCode::VersionGone {
            return problem.with_retry_after(GONE_RETRY_AFTER);
        }
        problem
    }

    /// Keeps the base versions, and removes old records. Does not return.
    pub async fn maintain(self) {
        let inner = &self.inner;
        let mut round = 0_u64;
        let mut swept_at = inner.clock.uptime();
        let mut next_swept = key_of(&format!("{:?}", inner.clock.wall())) % PARTITION_COUNT;
        loop {
            sleep(BASE_INTERVAL).await;
            round += 1;
            let now = inner.clock.uptime();
            let stream_time = stream_time(&inner.view);
            inner.ledger.borrow_mut().set_retention(stream_time);
            let needs_read = inner.ledger.borrow().needs_read(now);
            if needs_read && let Err(error) = inner.read_bases().await {
                inner.ledger.borrow_mut().record_store_failure(now);
                tracing::info!(event = "base_versions_not_read", %error);
            }
            inner.change_bases().await;
            let mixed = inner.ledger.borrow().mixed_count();
            let mixed = u64::try_from(mixed).unwrap_or(u64::MAX);
            inner.mixed_services.record(mixed, &[]);
            if round.is_multiple_of(REMOVAL_ROUNDS) {
                inner.forget_old(now, stream_time);
                (0..PARTITION_COUNT).for_each(|partition| self.write(partition));
            }
            if now.saturating_sub(swept_at) >= SWEEP_INTERVAL {
                swept_at = now;
                next_swept = (next_swept + 1) % PARTITION_COUNT;
                if let Err(error) = inner.sweep(next_swept, stream_time).await {
                    tracing::info!(event = "stream_records_not_swept", %error);
                }
            }
        }
    }

    /// Writes what waits for the partition, unless that is being done.
    fn write(&self, partition: u64) {
        let index = queue_index(partition);
        {
            let mut queues = self.inner.queues.borrow_mut();
            let queue = &mut queues[index];
            let is_idle = queue.pending.is_empty() && queue.ended.is_empty();
            if queue.is_writing || is_idle {
                return;
            }
            queue.is_writing = true;
        }
        let inner = Rc::clone(&self.inner);
        actix_rt::spawn(async move { inner.write_queue(partition).await });
    }
}

impl RecordsInner {
    /// Writes the queue of a partition until it is empty.
    async fn write_queue(&self, partition: u64) {
        let index = queue_index(partition);
        loop {
            let (pending, ended) = {
                let mut queues = self.queues.borrow_mut();
                let queue = &mut queues[index];
                let count = queue.pending.len().min(RECORDS_PER_CHANGE);
                let pending: Vec<PendingRecord> = queue.pending.drain(..count).collect();
                let count = queue.ended.len().min(REMOVALS_PER_CHANGE);
                let ended: Vec<CompactString> = queue.ended.drain(..count).collect();
                if pending.is_empty() && ended.is_empty() {
                    queue.is_writing = false;
                    return;
                }
                (pending, ended)
            };
            let change = RowChange::of(partition_name(partition));
            let change = pending.iter().fold(change, |change, record| {
                change.put(STREAM_TABLE, &record.key, record.content.clone())
            });
            let change = ended
                .iter()
                .fold(change, |change, key| change.remove(STREAM_TABLE, key));
            let written = self.rows.change(change).await;
            if let Err(error) = &written {
                tracing::info!(event = "stream_records_not_written", count = pending.len(), %error);
            }
            let is_written = written.is_ok();
            let failing_until = if is_written {
                Uptime::ZERO
            } else {
                self.clock.uptime() + FAILURE_PERIOD
            };
            self.failing_until.set(failing_until);
            let (written, failed): (Vec<PendingRecord>, Vec<PendingRecord>) =
                pending.into_iter().partition(|_| is_written);
            for record in written {
                // A caller that has stopped waiting has taken its stream for unrecorded.
                let _ = record.written.send(());
            }
            if !failed.is_empty() {
                self.requeue(index, failed);
                sleep(WRITE_RETRY_INTERVAL).await;
            }
        }
    }

    /// Queues failed records again, without those that are too old to matter.
    fn requeue(&self, index: usize, failed: Vec<PendingRecord>) {
        let (now, stream_time) = (self.clock.uptime(), stream_time(&self.view));
        let recent = failed
            .into_iter()
            .filter(|record| now.saturating_sub(record.queued_at) < stream_time);
        let mut queues = self.queues.borrow_mut();
        let pending = &mut queues[index].pending;
        pending.splice(0..0, recent);
        pending.truncate(MAX_PENDING);
    }

    async fn resolve(
        &self,
        service: &ServiceName,
        first: Option<&str>,
    ) -> Result<(ServiceName, VersionName), &'static str> {
        let arrived_at = self.clock.uptime();
        let found = match first {
            Some(first) => timeout(LOOKUP_TIMEOUT, self.read_record(first)).await,
            None => Ok(Ok(None)),
        };
        let is_named = first.is_some();
        match found {
            Ok(Ok(Some(row))) => return Ok((row.service, row.version)),
            Ok(Ok(None)) if is_named => {}
            _ => {
                // Without the record, only a version that was alone for long enough is certain.
                let sole = self.sole_version(service, arrived_at).await;
                let sole = sole.map(|version| (service.clone(), version));
                return sole.ok_or("the record of the stream cannot be read");
            }
        }
        let base = || self.ledger.borrow().base(service, self.clock.uptime());
        if let Some(version) = base() {
            return Ok((service.clone(), version));
        }
        // Without this, a VM that has just started would not know the base version.
        let read = timeout(LOOKUP_TIMEOUT, self.read_bases()).await;
        match (read, base()) {
            (Ok(Ok(())), Some(version)) => Ok((service.clone(), version)),
            _ => Err("the base version of the service is not known"),
        }
    }

    /// The only version that streams of the service had at `at`. Waits for a view of the registry that is no older.
    async fn sole_version(&self, service: &ServiceName, at: Uptime) -> Option<VersionName> {
        while !self.ledger.borrow().is_confirmed_since(at) {
            if self.clock.uptime() >= at + LOOKUP_TIMEOUT {
                return None;
            }
            sleep(VIEW_POLL_INTERVAL).await;
        }
        self.ledger.borrow().sole_version(service, at)
    }

    async fn read_record(&self, id: &str) -> Result<Option<StreamRow>, StoreError> {
        let partition = partition_name(partition_of(id));
        let key = row_key(id);
        let until = format_compact!("{key}\0");
        let read = self.rows.read(STREAM_TABLE, &partition, &key, &until);
        let rows = read.await?.rows;
        let row = rows.iter().find(|row| row.key == key);
        let decoded = row.map(|row| {
            let malformed = || StoreError::Malformed(format!("the record of stream {id}"));
            decode_row(&row.value).ok_or_else(malformed)
        });
        decoded.transpose()
    }

    async fn read_bases(&self) -> Result<(), StoreError> {
        let read_at = self.clock.uptime();
        let rows = self.rows.read(BASE_TABLE, "", "", "").await?.rows;
        let mut bases: HashMap<ServiceName, VersionName> = HashMap::new();
        let mut versions = HashMap::new();
        for row in rows {
            versions.insert(row.key.clone(), row.version);
            if let Some(base) = decode_row::<BaseRow>(&row.value) {
                bases.insert(row.key, base.version);
            }
        }
        self.base_rows.replace(versions);
        let mut ledger = self.ledger.borrow_mut();
        let services: Vec<ServiceName> = ledger.services().cloned().collect();
        for service in services {
            ledger.confirm_base(&service, bases.remove(&service), read_at);
        }
        Ok(())
    }

    /// Changes the base versions that no stream needs any more, and sets those that are missing.
    async fn change_bases(&self) {
        let now = self.clock.uptime();
        let wanted: Vec<(ServiceName, VersionName)> = {
            let ledger = self.ledger.borrow();
            let services = ledger.services();
            let wanted = services
                .filter_map(|service| Some((service.clone(), ledger.next_base(service, now)?)));
            wanted.collect()
        };
        for (service, version) in wanted {
            let row_version = self.base_rows.borrow().get(&service).copied().unwrap_or(0);
            let base = BaseRow {
                version: version.clone(),
            };
            let content = Bytes::from(encode_cbor(&base));
            let change = RowChange::of("").expect(BASE_TABLE, &service, row_version);
            let change = change.put(BASE_TABLE, &service, content);
            match self.rows.change(change).await {
                Ok(ChangeOutcome::Applied(_)) => {
                    tracing::info!(event = "base_version_changed", %service, %version);
                }
                Ok(ChangeOutcome::Conflict(_)) => {}
                Err(error) => {
                    tracing::info!(event = "base_version_not_changed", %service, %error);
                    continue;
                }
            }
            if let Err(error) = self.read_bases().await {
                tracing::info!(event = "base_versions_not_read", %error);
            }
        }
    }

    /// Drops what this VM remembers of streams that were cut, and removals beyond the limit.
    fn forget_old(&self, now: Uptime, stream_time: Duration) {
        self.recorded
            .borrow_mut()
            .retain(|_, recorded_at| now.saturating_sub(*recorded_at) < stream_time);
    }

    /// Removes the records of a partition that are too old to matter.
    async fn sweep(&self, partition: u64, stream_time: Duration) -> Result<(), StoreError> {
        let name = partition_name(partition);
        let rows = self.rows.read(STREAM_TABLE, &name, "", "").await?.rows;
        let now_ms = self.wall_ms();
        let limit_ms = u64::try_from(stream_time.as_millis()).unwrap_or(u64::MAX) * 2;
        let is_old = |content: &Bytes| {
            let row = decode_row::<StreamRow>(content);
            row.is_none_or(|row| now_ms.saturating_sub(row.stored_ms) > limit_ms)
        };
        let old = rows.into_iter().filter(|row| is_old(&row.value));
        let mut queues = self.queues.borrow_mut();
        let ended = &mut queues[queue_index(partition)].ended;
        ended.extend(old.map(|row| row.key));
        ended.truncate(MAX_ENDED);
        Ok(())
    }

    fn wall_ms(&self) -> u64 {
        let elapsed = self.clock.wall().duration_since(UNIX_EPOCH);
        let millis = elapsed.unwrap_or_default().as_millis();
        u64::try_from(millis).unwrap_or(u64::MAX)
    }
}

impl StreamRecords {
    async fn record(
        &self,
        id: &str,
        service: &ServiceName,
        version: &VersionName,
    ) -> Result<(), Problem> {
        let inner = &self.inner;
        if !inner.ledger.borrow().needs_record(service, version) {
            return Ok(());
        }
        let now = inner.clock.uptime();
        let row = StreamRow {
            service: service.clone(),
            version: version.clone(),
            stored_ms: inner.wall_ms(),
        };
        let partition = partition_of(id);
        let (written, outcome) = oneshot::channel();
        {
            let mut queues = inner.queues.borrow_mut();
            let pending = &mut queues[queue_index(partition)].pending;
            // A full queue drops the sender, which counts as a failure.
            if pending.len() < MAX_PENDING {
                pending.push(PendingRecord {
                    key: row_key(id),
                    content: Bytes::from(encode_cbor(&row)),
                    queued_at: now,
                    written,
                });
            }
        }
        self.write(partition);
        if now < inner.failing_until.get() {
            return self.accept_unrecorded(service, version);
        }
        let is_written = matches!(timeout(RECORD_TIMEOUT, outcome).await, Ok(Ok(())));
        let result = if is_written { "written" } else { "failed" };
        inner.records.add(1, &[KeyValue::new("result", result)]);
        if is_written {
            inner.recorded.borrow_mut().insert(id.into(), now);
            return Ok(());
        }
        let failing_until = inner.clock.uptime() + FAILURE_PERIOD;
        inner.failing_until.set(failing_until);
        self.accept_unrecorded(service, version)
    }

    /// Lets a stream begin without a record if it cannot go on at another version.
    fn accept_unrecorded(
        &self,
        service: &ServiceName,
        version: &VersionName,
    ) -> Result<(), Problem> {
        let mut ledger = self.inner.ledger.borrow_mut();
        ledger.record_store_failure(self.inner.clock.uptime());
        if !self.inner.is_isolated.get() && ledger.is_unambiguous(service, version) {
            return Ok(());
        }
        let reason = "the version of the stream could not be recorded";
        Err(Problem::new(ResultCode::TargetFailed, reason))
    }
}

impl StreamRecorder for StreamRecords {
    fn preferred_version(&self, service: &ServiceName) -> Option<VersionName> {
        let is_failing = self.inner.clock.uptime() < self.inner.failing_until.get();
        let ledger = self.inner.ledger.borrow();
        ledger.preferred(service).filter(|_| is_failing)
    }

    fn record_start<'a>(
        &'a self,
        id: &'a str,
        service: &'a ServiceName,
        version: &'a VersionName,
    ) -> LocalBoxFuture<'a, Result<(), Problem>> {
        self.record(id, service, version).boxed_local()
    }

    fn record_end(&self, id: &str) {
        if self.inner.recorded.borrow_mut().remove(id).is_some() {
            let partition = partition_of(id);
            let mut queues = self.inner.queues.borrow_mut();
            let ended = &mut queues[queue_index(partition)].ended;
            if ended.len() < MAX_ENDED {
                ended.push(row_key(id));
            }
        }
    }
}

/// Longest time for which a stream can be under way, with the delay of VMs that learn late of its targets.
fn stream_time(view: &DocumentView) -> Duration {
    let document = view.load();
    let limit = document.and_then(|document| document.longest_stream());
    limit.unwrap_or(DEFAULT_STREAM_TIME) + REGISTRY_DELAY
}

fn decode_row<T: DeserializeOwned>(content: &[u8]) -> Option<T> {
    ciborium::from_reader(content).ok()
}

fn partition_of(id: &str) -> u64 {
    key_of(id) % PARTITION_COUNT
}

/// Key of the record of a stream. Callers choose the ids, which the store would not always take as keys.
fn row_key(id: &str) -> CompactString {
    format_compact!("{:016x}", key_of(id))
}

fn partition_name(partition: u64) -> CompactString {
    format_compact!("{partition:02}")
}

fn queue_index(partition: u64) -> usize {
    usize::try_from(partition).unwrap_or(0)
}
