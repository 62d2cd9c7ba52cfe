//! Rows through another VM when the store rejects this one.
//!
//! A change that is sent twice, once directly and once through a peer, is safe: all changes have conditions, and whoever
//! sends them takes a conflict with its own rows for success.

use crate::control::ROWS_PATH;
use crate::peer_client::PeerClient;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::FutureExt as _;
use plantainmill_core::{Clock, Uptime};
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

/// Time without an answer of the store after which a peer is asked as well. A slow store is slow for peers, too.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Time after a failed call in which peers are asked first.
const FAILED_TIME: Duration = Duration::from_secs(1);
/// Time for which a peer counts as one that reaches the store.
const PROXY_TIME: Duration = Duration::from_millis(1_500);
/// Peers asked for one call.
const PROXY_COUNT: usize = 2;

/// A call of the rows, as one VM asks another one to make it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum RowsCall {
    Read {
        table: CompactString,
        part: CompactString,
        from: CompactString,
        until: CompactString,
    },
    Change {
        part: CompactString,
        expected: Vec<(CompactString, CompactString, RowVersion)>,
        puts: Vec<(CompactString, CompactString, Bytes)>,
        removes: Vec<(CompactString, CompactString)>,
    },
}

/// The answer to a [`RowsCall`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum RowsAnswer {
    Read {
        rows: Vec<ProxiedRow>,
        version: RowVersion,
    },
    Applied(RowVersion),
    Conflict(Vec<ProxiedRow>),
    /// Nothing was done.
    Unavailable(String),
    /// The change may have taken effect.
    Unknown(String),
}

/// A row between two VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ProxiedRow {
    table: CompactString,
    part: CompactString,
    key: CompactString,
    value: Bytes,
    version: RowVersion,
}

/// Tables that VMs use through each other.
const TABLES: [TableName; 3] = ["jobs", "job_items", "vms"];

fn table_named(name: &str) -> Option<TableName> {
    TABLES.into_iter().find(|table| *table == name)
}

/// Rows of the store, directly or through a peer.
pub(crate) struct ProxiedRows {
    direct: Rc<dyn PartitionStore>,
    peer_client: Rc<PeerClient>,
    clock: Arc<dyn Clock>,
    failed_at: Cell<Option<Uptime>>,
    proxies: RefCell<Vec<(SocketAddr, Uptime)>>,
}

impl ProxiedRows {
    /// Rows that are `direct` if possible.
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

    /// Takes whether a peer reaches the store now, by the address of its control listener.
    pub fn note_proxy(&self, control: SocketAddr, reaches_store: bool) {
        let now = self.clock.uptime();
        let mut proxies = self.proxies.borrow_mut();
        proxies.retain(|(proxy, at)| *proxy != control && now.saturating_sub(*at) < PROXY_TIME);
        if reaches_store {
            proxies.push((control, now));
        }
    }

    /// Records whether a call of the store had an answer.
    pub fn note_call(&self, is_answered: bool) {
        self.failed_at
            .set((!is_answered).then(|| self.clock.uptime()));
    }

    /// Whether the last call of the store had no answer.
    pub fn is_failing(&self) -> bool {
        self.failed_at.get().is_some()
    }

    /// The peers that were last seen to reach the store, the latest one first.
    fn proxies(&self) -> Vec<SocketAddr> {
        let now = self.clock.uptime();
        let proxies = self.proxies.borrow();
        let fresh = proxies
            .iter()
            .rev()
            .filter(|(_, at)| now.saturating_sub(*at) < PROXY_TIME);
        fresh.take(PROXY_COUNT).map(|(proxy, _)| *proxy).collect()
    }

    /// Makes a call for a peer, without asking others.
    pub async fn serve_peer(&self, call: RowsCall) -> RowsAnswer {
        let answer = match call {
            RowsCall::Read {
                table,
                part,
                from,
                until,
            } => {
                let Some(table) = table_named(&table) else {
                    return RowsAnswer::Unavailable(format!("no table {table}"));
                };
                let read = self.direct.read(table, &part, &from, &until).await;
                read.map(|read| RowsAnswer::Read {
                    rows: read.rows.into_iter().map(proxied_row).collect(),
                    version: read.version,
                })
            }
            RowsCall::Change { .. } => {
                let Some(change) = row_change(call) else {
                    return RowsAnswer::Unavailable("no such table".to_owned());
                };
                let outcome = self.direct.change(change).await;
                outcome.map(|outcome| match outcome {
                    ChangeOutcome::Applied(version) => RowsAnswer::Applied(version),
                    ChangeOutcome::Conflict(rows) => {
                        RowsAnswer::Conflict(rows.into_iter().map(proxied_row).collect())
                    }
                })
            }
        };
        answer.unwrap_or_else(|error| match error {
            StoreError::Unavailable(reason) => RowsAnswer::Unavailable(reason),
            StoreError::Unknown(reason) | StoreError::Malformed(reason) => {
                RowsAnswer::Unknown(reason)
            }
        })
    }

    async fn call_proxy(
        &self,
        proxy: SocketAddr,
        call: &RowsCall,
    ) -> Result<RowsAnswer, StoreError> {
        let answered = self.peer_client.call(proxy, ROWS_PATH, call).await;
        answered.map_err(|error| StoreError::Unknown(format!("through {proxy}: {error}")))
    }

    /// Makes a call directly, and through a peer if the store does not answer soon.
    async fn call<T>(
        &self,
        direct: impl Future<Output = Result<T, StoreError>>,
        call: RowsCall,
        read_answer: impl Fn(RowsAnswer) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let proxies = self.proxies();
        if proxies.is_empty() {
            let result = direct.await;
            self.note_call(!matches!(
                result,
                Err(StoreError::Unavailable(_) | StoreError::Unknown(_))
            ));
            return result;
        }
        let failed_lately = self
            .failed_at
            .get()
            .is_some_and(|failed_at| self.clock.uptime().saturating_sub(failed_at) < FAILED_TIME);
        let hedge_delay = if failed_lately {
            Duration::ZERO
        } else {
            HEDGE_DELAY
        };
        let mut direct = std::pin::pin!(direct);
        let mut may_be_done = false;
        tokio::select! {
            biased;
            result = &mut direct => match result {
                Err(StoreError::Unavailable(_)) => self.note_call(false),
                Err(StoreError::Unknown(_)) => {
                    self.note_call(false);
                    may_be_done = true;
                }
                answered => {
                    self.note_call(true);
                    return answered;
                }
            },
            () = sleep(hedge_delay) => may_be_done = true,
        }
        let mut reason = String::new();
        for proxy in proxies {
            match self.call_proxy(proxy, &call).await.and_then(&read_answer) {
                Err(StoreError::Unavailable(error)) => {
                    self.note_proxy(proxy, false);
                    reason = error;
                }
                Err(StoreError::Unknown(error)) => {
                    self.note_proxy(proxy, false);
                    may_be_done = true;
                    reason = error;
                }
                answered => return answered,
            }
        }
        // The direct call, or one through a peer, may still take effect.
        Err(if may_be_done {
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
    }
}

fn part_row(row: ProxiedRow) -> PartitionRow {
    PartitionRow {
        table: row.table,
        partition: row.part,
        key: row.key,
        value: row.value,
        version: row.version,
        is_removed: false,
    }
}

fn row_change(call: RowsCall) -> Option<RowChange> {
    let RowsCall::Change {
        part,
        expected,
        puts,
        removes,
    } = call
    else {
        return None;
    };
    let expected = expected
        .into_iter()
        .map(|(table, key, version)| Some((table_named(&table)?, key, version)));
    let puts = puts
        .into_iter()
        .map(|(table, key, value)| Some((table_named(&table)?, key, value)));
    let removes = removes
        .into_iter()
        .map(|(table, key)| Some((table_named(&table)?, key)));
    Some(RowChange {
        partition: part,
        expected: expected.collect::<Option<_>>()?,
        puts: puts.collect::<Option<_>>()?,
        removes: removes.collect::<Option<_>>()?,
    })
}

fn change_call(change: &RowChange) -> RowsCall {
    let expected = change.expected.iter();
    let puts = change.puts.iter();
    let removes = change.removes.iter();
    RowsCall::Change {
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

fn refused<T>(answer: RowsAnswer) -> Result<T, StoreError> {
    Err(match answer {
        RowsAnswer::Unavailable(reason) => StoreError::Unavailable(reason),
        RowsAnswer::Unknown(reason) => StoreError::Unknown(reason),
        other => StoreError::Malformed(format!("unexpected answer of a peer: {other:?}")),
    })
}

impl PartitionStore for ProxiedRows {
    fn read<'a>(
        &'a self,
        table: TableName,
        part: &'a str,
        from: &'a str,
        until: &'a str,
    ) -> PlatformFuture<'a, RowsRead> {
        let call = RowsCall::Read {
            table: table.into(),
            part: part.into(),
            from: from.into(),
            until: until.into(),
        };
        let direct = self.direct.read(table, part, from, until);
        let read_answer = |answer| match answer {
            RowsAnswer::Read { rows, version } => Ok(RowsRead {
                rows: rows.into_iter().map(part_row).collect(),
                version,
                store_time: Duration::ZERO,
            }),
            other => refused(other),
        };
        self.call(direct, call, read_answer).boxed_local()
    }

    fn change(&self, change: RowChange) -> PlatformFuture<'_, ChangeOutcome> {
        let call = change_call(&change);
        let direct = self.direct.change(change);
        let read_answer = |answer| match answer {
            RowsAnswer::Applied(version) => Ok(ChangeOutcome::Applied(version)),
            RowsAnswer::Conflict(rows) => Ok(ChangeOutcome::Conflict(
                rows.into_iter().map(part_row).collect(),
            )),
            other => refused(other),
        };
        self.call(direct, call, read_answer).boxed_local()
    }

    fn follow(
        &self,
        table: TableName,
        after: RowVersion,
        wait: Duration,
    ) -> PlatformFuture<'_, FeedRead> {
        // The other reader of the domain passes updates on to a reader that is rejected.
        self.direct.follow(table, after, wait)
    }
}
