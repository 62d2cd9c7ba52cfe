//! Discovery of other VMs through the rows that each writes to the store.

use crate::message::VmRow;
use crate::peer_exchange::PeerExchange;
use bytes::Bytes;
use plantainmill_core::encode_cbor;
use plantainmill_provider::{RowChange, StoreError};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Table of the VMs' rows. The partition is the failure domain.
const VM_TABLE: &str = "vms";
/// Interval between reads of the VMs' rows.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between discovery attempts until this VM's row is written.
const DISCOVERY_RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl PeerExchange {
    /// Discovers other VMs through the store, and registers this VM there.
    pub(crate) async fn discover(self: Rc<Self>) {
        let mut is_written = false;
        loop {
            if !is_written {
                match self.write_row().await {
                    Ok(()) => is_written = true,
                    Err(error) => tracing::info!(event = "vm_row_not_written", %error),
                }
            }
            match self.read_local_rows().await {
                Ok(has_own_row) => {
                    is_written &= has_own_row;
                    let is_probable_reader = self.directory.borrow().is_probable_reader();
                    self.state.is_probable_reader.set(is_probable_reader);
                }
                Err(error) => tracing::info!(event = "vms_not_read", %error),
            }
            let now = self.now();
            let reads_remote_rows = self.directory.borrow().is_reader(now);
            if reads_remote_rows && let Err(error) = self.read_remote_rows().await {
                tracing::info!(event = "far_vms_not_read", %error);
            }
            sleep(if is_written {
                DISCOVERY_INTERVAL
            } else {
                DISCOVERY_RETRY_INTERVAL
            })
            .await;
        }
    }

    async fn write_row(&self) -> Result<(), StoreError> {
        let change = RowChange::of(self.own_row.domain.clone());
        let content = Bytes::from(encode_cbor(&self.own_row));
        let change = change.put(VM_TABLE, &self.own_row.vm, content);
        self.rows.change(change).await.map(drop)
    }

    /// Reads the rows of the domain's VMs and removes stale ones. Returns whether the row of this VM is present.
    async fn read_local_rows(&self) -> Result<bool, StoreError> {
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
        Ok(rows.contains(&self.own_row))
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
