//! Access to the store's rows, with peers as proxies while the store does not respond to this VM.
//!
//! Sending a change twice, once directly and once through a peer, is safe: a change either is conditional, and
//! its sender treats a conflict with its own rows as success, or writes a row that is the same each time.

use crate::control::ROWS_PATH;
use crate::peer_client::PeerClient;
use crate::stream_records::{BASE_TABLE, STREAM_TABLE};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::FutureExt as _;
use plantainmill_core::{Clock, RegionName, RegionSet, Uptime};
use plantainmill_dispatch::quarantine::QUARANTINE_TABLE;
use plantainmill_provider::rows::TableName;
use plantainmill_provider::{
    ChangeOutcome, FeedRead, PartitionRow, PartitionStore, PlatformFuture, RowChange, RowVersion,
    RowsRead, StoreError,
};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time without a response of the store after which the call is also sent through a peer. Not shorter, because a slow
/// store is slow for peers, too.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Time after a failed direct call during which further calls are sent through a peer without waiting for the hedge
/// delay.
const IMMEDIATE_HEDGE_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a peer's statement that it reaches the store is trusted.
const PROXY_VALIDITY: Duration = Duration::from_millis(1_500);
/// Largest number of peers that are tried for one call.
const MAX_PROXIES: usize = 2;

/// A store call that one VM asks another one to make on its behalf.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum RowsRequest {
    Read {
        table: CompactString,
        part: CompactString,
        from: CompactString,
        until: CompactString,
    },
    /// Changes after a version, without waiting for any. Older releases do not know it.
    Follow {
        table: CompactString,
        after: RowVersion,
    },
    Change {
        part: CompactString,
        expected: Vec<(CompactString, CompactString, RowVersion)>,
        puts: Vec<(CompactString, CompactString, Bytes)>,
        removes: Vec<(CompactString, CompactString)>,
    },
}

/// The response to a [`RowsRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum RowsResponse {
    Read {
        rows: Vec<ProxiedRow>,
        version: RowVersion,
    },
    /// Response to [`RowsRequest::Follow`].
    Changes {
        rows: Vec<ProxiedRow>,
        version: RowVersion,
    },
    /// The store no longer has the changes after the version.
    HistoryLost,
    Applied(RowVersion),
    Conflict(Vec<ProxiedRow>),
    /// The call had no effect.
    Unavailable(String),
    /// The call failed, and a change may have taken effect.
    Unknown(String),
}

/// A row in a message between two VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ProxiedRow {
    table: CompactString,
    part: CompactString,
    key: CompactString,
    value: Bytes,
    version: RowVersion,
    #[serde(default)]
    is_removed: bool,
}

/// Tables that may be accessed through a peer.
const TABLES: [TableName; 6] = [
    "jobs",
    "job_items",
    "vms",
    QUARANTINE_TABLE,
    STREAM_TABLE,
    BASE_TABLE,
];

fn find_table(name: &str) -> Option<TableName> {
    TABLES.into_iter().find(|table| *table == name)
}

/// Client of the store's rows that falls back to peers when the store does not respond.
pub(crate) struct ProxiedRows {
    direct: Rc<dyn PartitionStore>,
    peer_client: Rc<PeerClient>,
    clock: Arc<dyn Clock>,
    failed_at: Cell<Option<Uptime>>,
    proxies: RefCell<Vec<StoreProxy>>,
}

/// A peer that reaches the store.
struct StoreProxy {
    control: SocketAddr,
    /// `None` if the peer's row is not known.
    region: Option<RegionName>,
    stated_at: Uptime,
}

impl ProxiedRows {
    /// Creates a client that prefers `direct` and reaches peers through `peer_client`.
    pub fn new(
        direct: Rc<dyn PartitionStore>,
        peer_client: Rc<PeerClient>,
        clock: Arc<dyn Clock>,
    ) -> ProxiedRows {
        ProxiedRows {
            direct,
            peer_client,
            clock,
            failed_at: Cell::new(None),
            proxies: RefCell::default(),
        }
    }

    /// Records that the peer in `region` whose control listener is at `control` reaches the store.
    pub fn record_proxy(&self, control: SocketAddr, region: Option<RegionName>) {
        self.forget_proxy(control);
        self.proxies.borrow_mut().push(StoreProxy {
            control,
            region,
            stated_at: self.clock.uptime(),
        });
    }

    /// Records that a peer does not reach the store.
    pub fn forget_proxy(&self, control: SocketAddr) {
        let now = self.clock.uptime();
        self.proxies.borrow_mut().retain(|proxy| {
            let age = now.saturating_sub(proxy.stated_at);
            proxy.control != control && age < PROXY_VALIDITY
        });
    }

    /// Records whether the store responded to a direct call.
    pub fn record_call(&self, has_response: bool) {
        self.failed_at
            .set((!has_response).then(|| self.clock.uptime()));
    }

    /// Returns whether the store did not respond to the last direct call.
    pub fn is_failing(&self) -> bool {
        self.failed_at.get().is_some()
    }

    /// Returns the peers in `regions` that recently reached the store, the most recent one first.
    fn proxies(&self, regions: &RegionSet) -> Vec<SocketAddr> {
        let now = self.clock.uptime();
        let proxies = self.proxies.borrow();
        let recent = proxies.iter().rev().filter(|proxy| {
            let age = now.saturating_sub(proxy.stated_at);
            age < PROXY_VALIDITY && regions.allows(proxy.region.as_ref())
        });
        let addresses = recent.map(|proxy| proxy.control);
        addresses.take(MAX_PROXIES).collect()
    }

    /// Makes a call on behalf of a peer. It is made directly, never through a third VM.
    pub async fn serve_peer(&self, request: RowsRequest) -> RowsResponse {
        let response = match request {
            RowsRequest::Read {
                table,
                part,
                from,
                until,
            } => {
                let Some(table) = find_table(&table) else {
                    return RowsResponse::Unavailable(format!("no table {table}"));
                };
                let read = self.direct.read(table, &part, &from, &until).await;
                read.map(|read| RowsResponse::Read {
                    rows: read.rows.into_iter().map(proxied_row).collect(),
                    version: read.version,
                })
            }
            RowsRequest::Follow { table, after } => {
                let Some(table) = find_table(&table) else {
                    return RowsResponse::Unavailable(format!("no table {table}"));
                };
                let read = self.direct.follow(table, after, Duration::ZERO).await;
                read.map(|read| match read {
                    FeedRead::HistoryLost => RowsResponse::HistoryLost,
                    FeedRead::Changes(rows, version) => RowsResponse::Changes {
                        rows: rows.into_iter().map(proxied_row).collect(),
                        version,
                    },
                })
            }
            RowsRequest::Change { .. } => {
                let Some(change) = row_change(request) else {
                    return RowsResponse::Unavailable("no such table".to_owned());
                };
                let outcome = self.direct.change(change).await;
                outcome.map(|outcome| match outcome {
                    ChangeOutcome::Applied(version) => RowsResponse::Applied(version),
                    ChangeOutcome::Conflict(rows) => {
                        RowsResponse::Conflict(rows.into_iter().map(proxied_row).collect())
                    }
                })
            }
        };
        response.unwrap_or_else(|error| match error {
            StoreError::Unavailable(reason) => RowsResponse::Unavailable(reason),
            StoreError::Unknown(reason) | StoreError::Malformed(reason) => {
                RowsResponse::Unknown(reason)
            }
        })
    }

    async fn call_proxy(
        &self,
        proxy: SocketAddr,
        request: &RowsRequest,
    ) -> Result<RowsResponse, StoreError> {
        let response = self.peer_client.call(proxy, ROWS_PATH, request).await;
        response.map_err(|error| StoreError::Unknown(format!("through {proxy}: {error}")))
    }

    /// Makes a call directly, and through peers if the store fails or does not respond within the hedge delay. From then
    /// on the response to the direct call is ignored. Only peers in `regions` are asked.
    async fn call<T>(
        &self,
        direct: impl Future<Output = Result<T, StoreError>>,
        regions: RegionSet,
        request: RowsRequest,
        read_response: impl Fn(RowsResponse) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let proxies = self.proxies(&regions);
        self.call_after(direct, proxies, Duration::ZERO, (request, read_response))
            .await
    }

    /// Makes a call as [`ProxiedRows::call`] does. The store may take `wait` longer to respond than usual.
    async fn call_after<T>(
        &self,
        direct: impl Future<Output = Result<T, StoreError>>,
        proxies: Vec<SocketAddr>,
        wait: Duration,
        (request, read_response): (RowsRequest, impl Fn(RowsResponse) -> Result<T, StoreError>),
    ) -> Result<T, StoreError> {
        if proxies.is_empty() {
            let result = direct.await;
            self.record_call(!matches!(
                result,
                Err(StoreError::Unavailable(_) | StoreError::Unknown(_))
            ));
            return result;
        }
        let failed_recently = self
            .failed_at
            .get()
            .is_some_and(|at| self.clock.uptime().saturating_sub(at) < IMMEDIATE_HEDGE_PERIOD);
        let hedge_delay = if failed_recently {
            Duration::ZERO
        } else {
            wait + HEDGE_DELAY
        };
        // A peer of an older release fails such a request, which does not say that it has lost the store.
        let tells_reach = !matches!(request, RowsRequest::Follow { .. });
        let mut direct = std::pin::pin!(direct);
        let mut may_have_effect = false;
        tokio::select! {
            biased;
            result = &mut direct => match result {
                Err(StoreError::Unavailable(_)) => self.record_call(false),
                Err(StoreError::Unknown(_)) => {
                    self.record_call(false);
                    may_have_effect = true;
                }
                completed => {
                    self.record_call(true);
                    return completed;
                }
            },
            () = sleep(hedge_delay) => may_have_effect = true,
        }
        let mut reason = String::new();
        for proxy in proxies {
            match self
                .call_proxy(proxy, &request)
                .await
                .and_then(&read_response)
            {
                Err(StoreError::Unavailable(error)) => {
                    if tells_reach {
                        self.forget_proxy(proxy);
                    }
                    reason = error;
                }
                Err(StoreError::Unknown(error)) => {
                    if tells_reach {
                        self.forget_proxy(proxy);
                    }
                    may_have_effect = true;
                    reason = error;
                }
                completed => return completed,
            }
        }
        // A direct or proxied change without a response may still take effect.
        Err(if may_have_effect {
            StoreError::Unknown(reason)
        } else {
            StoreError::Unavailable(reason)
        })
    }
}

fn proxied_row(row: PartitionRow) -> ProxiedRow {
    ProxiedRow {
        table: row.table,
        part: row.partition,
        key: row.key,
        value: row.value,
        version: row.version,
        is_removed: row.is_removed,
    }
}

fn partition_row(row: ProxiedRow) -> PartitionRow {
    PartitionRow {
        table: row.table,
        partition: row.part,
        key: row.key,
        value: row.value,
        version: row.version,
        is_removed: row.is_removed,
    }
}

fn row_change(request: RowsRequest) -> Option<RowChange> {
    let RowsRequest::Change {
        part,
        expected,
        puts,
        removes,
    } = request
    else {
        return None;
    };
    let expected = expected
        .into_iter()
        .map(|(table, key, version)| Some((find_table(&table)?, key, version)));
    let puts = puts
        .into_iter()
        .map(|(table, key, value)| Some((find_table(&table)?, key, value)));
    let removes = removes
        .into_iter()
        .map(|(table, key)| Some((find_table(&table)?, key)));
    Some(RowChange {
        partition: part,
        expected: expected.collect::<Option<_>>()?,
        puts: puts.collect::<Option<_>>()?,
        removes: removes.collect::<Option<_>>()?,
    })
}

fn change_request(change: &RowChange) -> RowsRequest {
    let expected = change.expected.iter();
    let puts = change.puts.iter();
    let removes = change.removes.iter();
    RowsRequest::Change {
        part: change.partition.clone(),
        expected: expected
            .map(|(table, key, version)| ((*table).into(), key.clone(), *version))
            .collect(),
        puts: puts
            .map(|(table, key, value)| ((*table).into(), key.clone(), value.clone()))
            .collect(),
        removes: removes
            .map(|(table, key)| ((*table).into(), key.clone()))
            .collect(),
    }
}

fn response_error<T>(response: RowsResponse) -> Result<T, StoreError> {
    Err(match response {
        RowsResponse::Unavailable(reason) => StoreError::Unavailable(reason),
        RowsResponse::Unknown(reason) => StoreError::Unknown(reason),
        other => StoreError::Malformed(format!("unexpected answer of a peer: {other:?}")),
    })
}

impl PartitionStore for ProxiedRows {
    fn read<'a>(
        &'a self,
        table: TableName,
        partition: &'a str,
        from: &'a str,
        until: &'a str,
    ) -> PlatformFuture<'a, RowsRead> {
        self.read_within(table, partition, (from, until), &RegionSet::Everywhere)
    }

    fn read_within<'a>(
        &'a self,
        table: TableName,
        partition: &'a str,
        (from, until): (&'a str, &'a str),
        regions: &RegionSet,
    ) -> PlatformFuture<'a, RowsRead> {
        let request = RowsRequest::Read {
            table: table.into(),
            part: partition.into(),
            from: from.into(),
            until: until.into(),
        };
        let direct = self.direct.read(table, partition, from, until);
        let read_response = |response| match response {
            RowsResponse::Read { rows, version } => Ok(RowsRead {
                rows: rows.into_iter().map(partition_row).collect(),
                version,
                store_time: Duration::ZERO,
            }),
            other => response_error(other),
        };
        self.call(direct, regions.clone(), request, read_response)
            .boxed_local()
    }

    fn change(&self, change: RowChange) -> PlatformFuture<'_, ChangeOutcome> {
        self.change_within(change, &RegionSet::Everywhere)
    }

    fn change_within(
        &self,
        change: RowChange,
        regions: &RegionSet,
    ) -> PlatformFuture<'_, ChangeOutcome> {
        let request = change_request(&change);
        let direct = self.direct.change(change);
        let read_response = |response| match response {
            RowsResponse::Applied(version) => Ok(ChangeOutcome::Applied(version)),
            RowsResponse::Conflict(rows) => Ok(ChangeOutcome::Conflict(
                rows.into_iter().map(partition_row).collect(),
            )),
            other => response_error(other),
        };
        self.call(direct, regions.clone(), request, read_response)
            .boxed_local()
    }

    fn follow(
        &self,
        table: TableName,
        after: RowVersion,
        wait: Duration,
    ) -> PlatformFuture<'_, FeedRead> {
        let request = RowsRequest::Follow {
            table: table.into(),
            after,
        };
        let read_response = |response| match response {
            RowsResponse::Changes { rows, version } => Ok(FeedRead::Changes(
                rows.into_iter().map(partition_row).collect(),
                version,
            )),
            RowsResponse::HistoryLost => Ok(FeedRead::HistoryLost),
            other => response_error(other),
        };
        let direct = self.direct.follow(table, after, wait);
        let proxies = self.proxies(&RegionSet::Everywhere);
        self.call_after(direct, proxies, wait, (request, read_response))
            .boxed_local()
    }
}
