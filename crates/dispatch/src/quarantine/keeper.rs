//! Storage of quarantines, so that they outlast the loss of all VMs.

use super::dispatcher::PartQuarantine;
use super::message::QuarantineEntry;
use super::state::QuarantineChanges;
use bytes::Bytes;
use futures_util::FutureExt as _;
use plantainmill_core::{Clock, PartId, encode_cbor};
use plantainmill_mesh::decode_body;
use plantainmill_provider::{
    PartitionStore, PlatformFuture, RowChange, StoreError, TableStore, TableWrite,
};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// Interval at which new decisions are stored.
const STORE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed read or write.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a stored quarantine that nobody has ended is removed. It is longer than any quarantine with its
/// probation.
const ROW_RETENTION: Duration = Duration::from_hours(1);
/// Largest number of rows that are read.
const MAX_ROWS: u32 = 500;
/// Largest number of old rows that one write removes.
const REMOVALS_PER_WRITE: usize = 32;
/// Table of a partitioned store that holds quarantines.
pub const QUARANTINE_TABLE: &str = "quarantine";
/// Keys of quarantines in a table service, up to the first key after them.
const KEY_PREFIX: &str = "quarantine/";
const KEY_END: &str = "quarantine0";

/// A quarantine in the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredQuarantine {
    /// The quarantine at the time of its storage.
    pub entry: QuarantineEntry,
    /// Wall-clock time of its storage, in milliseconds since the Unix epoch.
    pub stored_ms: u64,
}

impl StoredQuarantine {
    fn new(entry: QuarantineEntry, wall: SystemTime) -> StoredQuarantine {
        StoredQuarantine {
            entry,
            stored_ms: unix_ms(wall),
        }
    }

    /// The quarantine as of `wall`; `None` if it is too old to matter.
    fn entry_at(&self, wall: SystemTime) -> Option<QuarantineEntry> {
        let elapsed_ms = unix_ms(wall).saturating_sub(self.stored_ms);
        let is_recent = Duration::from_millis(elapsed_ms) < ROW_RETENTION;
        is_recent.then(|| QuarantineEntry {
            remaining_ms: self.entry.remaining_ms.saturating_sub(elapsed_ms),
            sent_age_ms: self.entry.sent_age_ms.saturating_add(elapsed_ms),
            ..self.entry
        })
    }
}

fn unix_ms(wall: SystemTime) -> u64 {
    let elapsed = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

fn row_key(part: PartId) -> String {
    format!("{part:016x}")
}

/// Durable storage of quarantines.
pub trait QuarantineStore {
    /// Reads all quarantines. Rows that cannot be decoded are left out.
    fn read(&self) -> PlatformFuture<'_, Vec<StoredQuarantine>>;
    /// Stores and removes quarantines.
    fn write(&self, started: Vec<StoredQuarantine>, ended: Vec<PartId>) -> PlatformFuture<'_, ()>;
}

/// Storage in a partitioned store.
pub struct PartitionQuarantines(pub Rc<dyn PartitionStore>);

impl QuarantineStore for PartitionQuarantines {
    fn read(&self) -> PlatformFuture<'_, Vec<StoredQuarantine>> {
        async {
            let read = self.0.read(QUARANTINE_TABLE, "", "", "").await?;
            let rows = read.rows.iter();
            Ok(rows.filter_map(|row| decode_body(&row.value)).collect())
        }
        .boxed_local()
    }

    fn write(&self, started: Vec<StoredQuarantine>, ended: Vec<PartId>) -> PlatformFuture<'_, ()> {
        let mut change = RowChange::of("");
        for stored in &started {
            let content = Bytes::from(encode_cbor(stored));
            change = change.put(QUARANTINE_TABLE, &row_key(stored.entry.part), content);
        }
        for part in ended {
            change = change.remove(QUARANTINE_TABLE, &row_key(part));
        }
        async move { self.0.change(change).await.map(drop) }.boxed_local()
    }
}

/// Storage in a table service.
pub struct TableQuarantines(pub Arc<dyn TableStore>);

impl QuarantineStore for TableQuarantines {
    fn read(&self) -> PlatformFuture<'_, Vec<StoredQuarantine>> {
        async {
            let rows = self.0.range(KEY_PREFIX, KEY_END, MAX_ROWS).await?;
            let decoded = rows
                .into_iter()
                .map(|row| serde_json::from_value(row.value));
            Ok(decoded.filter_map(Result::ok).collect())
        }
        .boxed_local()
    }

    fn write(&self, started: Vec<StoredQuarantine>, ended: Vec<PartId>) -> PlatformFuture<'_, ()> {
        let key = |part| format!("{KEY_PREFIX}{}", row_key(part));
        let mut write = TableWrite::new();
        for part in ended {
            write = write.delete(key(part));
        }
        let encoded = started.into_iter().try_fold(write, |write, stored| {
            let value = serde_json::to_value(stored)?;
            Ok(write.put(key(stored.entry.part), value))
        });
        async move {
            let malformed = |error: serde_json::Error| StoreError::Malformed(error.to_string());
            self.0.commit(encoded.map_err(malformed)?).await.map(drop)
        }
        .boxed_local()
    }
}

/// Takes up the stored quarantines, and then stores what this VM decides. Does not return.
pub async fn keep_quarantines(
    quarantine: PartQuarantine,
    store: impl QuarantineStore,
    clock: Arc<dyn Clock>,
) {
    let rows = loop {
        match store.read().await {
            Ok(rows) => break rows,
            Err(error) => tracing::info!(event = "quarantines_not_read", %error),
        }
        sleep(RETRY_INTERVAL).await;
    };
    let mut outdated = Vec::new();
    for row in rows {
        match row.entry_at(clock.wall()) {
            Some(entry) => quarantine.restore(entry),
            None => outdated.push(row.entry.part),
        }
    }
    loop {
        let mut changes: QuarantineChanges = quarantine.take_changes();
        let removed = outdated.len().min(REMOVALS_PER_WRITE);
        changes.ended.extend(outdated.drain(..removed));
        if changes == QuarantineChanges::default() {
            sleep(STORE_INTERVAL).await;
            continue;
        }
        let wall = clock.wall();
        let started = changes.started.iter();
        let started = started.map(|entry| StoredQuarantine::new(*entry, wall));
        let written = store.write(started.collect(), changes.ended.clone());
        if let Err(error) = written.await {
            tracing::info!(event = "quarantines_not_stored", %error);
            quarantine.restore_changes(&changes);
            sleep(RETRY_INTERVAL).await;
        }
    }
}
