//! Discovery of other VMs through the rows that each writes to the store.

use crate::message::VmRow;
use crate::peer_exchange::PeerExchange;
use bytes::Bytes;
use plantainmill_core::{RetryDelay, encode_cbor};
use plantainmill_provider::{RowChange, StoreError};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

/// Table of the VMs' rows. The partition is the failure domain.
const VM_TABLE: &str = "vms";
/// Interval between reads of the VMs' rows.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);
/// Time from the first registration of this VM to its next read: by then, VMs that start together have registered.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Delay after a failed attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Longest delay after several failed attempts in a row.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(4);

impl PeerExchange {
    /// Discovers other VMs through the store, and registers this VM there.
    pub(crate) async fn discover(self: Rc<Self>) {
        let seed = xxh3_64(self.own_row.vm.as_bytes());
        let mut retry_delay = RetryDelay::new(RETRY_INTERVAL, MAX_RETRY_INTERVAL, seed);
        loop {
            let own_row = self.read_local_rows().await;
            let is_written = match &own_row {
                Ok(row) => row.as_ref() == Some(&self.own_row),
                Err(error) => {
                    tracing::info!(event = "vms_not_read", %error);
                    false
                }
            };
            if let Ok(Some(_)) = own_row {
                // The other VMs of the domain have registered by now, since this one has before.
                let place = self.directory.borrow().reader_place();
                self.state.read_turns.set_place(place, self.now());
            }
            let written = if is_written {
                Ok(())
            } else {
                self.write_row().await
            };
            if let Err(error) = &written {
                tracing::info!(event = "vm_row_not_written", %error);
            }
            let now = self.now();
            let reads_remote_rows = self.directory.borrow().is_reader(now);
            if reads_remote_rows && let Err(error) = self.read_remote_rows().await {
                tracing::info!(event = "far_vms_not_read", %error);
            }
            let pause = match (own_row, written) {
                (Ok(Some(_)), Ok(())) => {
                    retry_delay.record_success();
                    DISCOVERY_INTERVAL
                }
                (Ok(None), Ok(())) => JOIN_INTERVAL,
                _ => retry_delay.record_failure(),
            };
            sleep(pause).await;
        }
    }

    async fn write_row(&self) -> Result<(), StoreError> {
        let change = RowChange::of(self.own_row.domain.clone());
        let content = Bytes::from(encode_cbor(&self.own_row));
        let change = change.put(VM_TABLE, &self.own_row.vm, content);
        self.rows.change(change).await.map(drop)
    }

    /// Reads the rows of the domain's VMs and removes stale ones. Returns the row of this VM, which may be of an earlier start.
    async fn read_local_rows(&self) -> Result<Option<VmRow>, StoreError> {
        let read = self
            .rows
            .read(VM_TABLE, &self.own_row.domain, "", "")
            .await?;
        let (rows, versions): (Vec<VmRow>, Vec<_>) = read
            .rows
            .iter()
            .filter_map(|row| Some((decode_row(&row.key, &row.value)?, row.version)))
            .unzip();
        let now = self.now();
        self.pool_peers
            .borrow_mut()
            .record_rows(&self.own_row.domain, &rows);
        let stale = self.directory.borrow_mut().update_local_rows(&rows, now);
        for position in stale {
            let vm = &rows[position].vm;
            let change = RowChange::of(self.own_row.domain.clone());
            let change = change
                .expect(VM_TABLE, vm, versions[position])
                .remove(VM_TABLE, vm);
            self.rows.change(change).await?;
            tracing::info!(event = "vm_row_removed", %vm);
        }
        Ok(rows.into_iter().find(|row| row.vm == self.own_row.vm))
    }

    async fn read_remote_rows(&self) -> Result<(), StoreError> {
        let domains = self.state.settings.regions.keys();
        for domain in domains.filter(|domain| **domain != self.own_row.domain) {
            let read = self.rows.read(VM_TABLE, domain, "", "").await?;
            let rows = read
                .rows
                .iter()
                .filter_map(|row| decode_row(&row.key, &row.value));
            let rows: Vec<VmRow> = rows.collect();
            self.pool_peers.borrow_mut().record_rows(domain, &rows);
            self.directory.borrow_mut().update_remote_rows(domain, rows);
        }
        Ok(())
    }
}

fn decode_row(key: &str, value: &[u8]) -> Option<VmRow> {
    let row = ciborium::from_reader(value);
    row.map_err(|error| tracing::warn!(event = "vm_row_malformed", key, %error))
        .ok()
}
