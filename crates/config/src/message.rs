//! Messages to the configuration service.

use crate::change::{ConfigChange, ConfigEdit};
use crate::entry::LogHead;
use crate::events::{ReplicaCounters, StoreState};
use crate::receipt::ChangeReceipt;
use actix::prelude::*;
use compact_str::CompactString;
use plantainmill_core::Problem;
use serde::Serialize;

/// Proposes a change.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<ChangeReceipt, Problem>")]
pub struct ProposeChange {
    /// Edits that take effect together.
    pub edits: Vec<ConfigEdit>,
    /// Operator.
    pub author: CompactString,
    /// Why.
    pub reason: String,
    /// Version the operator has seen; `None` for whatever is current.
    pub expected_version: Option<u64>,
    /// Check only.
    pub dry_run: bool,
}

/// Asks for the newest changes, newest first.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Result<Vec<ConfigChange>, Problem>")]
pub struct ListHistory {
    /// Most changes wanted.
    pub limit: u32,
}

/// Restores the content of an earlier version as a new version.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<ChangeReceipt, Problem>")]
pub struct RollbackTo {
    /// Version whose content is wanted.
    pub version: u64,
    /// Operator.
    pub author: CompactString,
    /// Why.
    pub reason: String,
    /// Version the operator has seen; `None` for whatever is current.
    pub expected_version: Option<u64>,
    /// Check only.
    pub dry_run: bool,
}

/// Asks whether the configuration is new enough to serve.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ReadyReport")]
pub struct ReadyState;

/// Where the configuration was last confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadySource {
    /// The table was read.
    Store,
    /// The table could not be read; the newest version of the peers is in force.
    Peers,
    /// Nothing has confirmed it yet.
    Nothing,
}

/// Whether the configuration is new enough to serve.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReadyReport {
    /// It was at least as new as reachable peers and store. Once reached it stays.
    pub ready: bool,
    /// Version in force.
    pub version: u64,
    /// Newest version of a reachable peer.
    pub peer_version: u64,
    /// Reachable peers that reported a version.
    pub peers: usize,
    /// Version of the table, as last read.
    pub store_version: Option<u64>,
    /// Relation of the table to this VM.
    pub store: StoreState,
    /// Where the version was confirmed.
    pub source: ReadySource,
}

/// Asks for the state of the service as JSON.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "serde_json::Value")]
pub struct DumpConfig;

/// State of the service without the configuration itself.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigReport {
    /// Version and operation in force.
    pub head: LogHead,
    /// Readiness.
    pub ready: ReadyReport,
    /// Seconds since the version was last confirmed.
    pub unchecked_s: Option<u64>,
    /// This VM reads the head for its domain.
    pub poller: bool,
    /// Counters of the replica.
    pub counters: ReplicaCounters,
    /// Counters of the service.
    pub service: ServiceCounters,
    /// Resources by section.
    pub sizes: SectionSizes,
}

/// Events counted by the service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ServiceCounters {
    /// Changes accepted by this VM.
    pub accepted: u64,
    /// Changes refused by this VM.
    pub refused: u64,
    /// Pushes sent, repeats included.
    pub pushes: u64,
    /// Pushes that were repeated.
    pub repeats: u64,
    /// Receipts given before all members had confirmed.
    pub incomplete: u64,
    /// Reads of the head.
    pub polls: u64,
    /// Messages that could not be decoded.
    pub malformed: u64,
    /// Snapshots written to the object store.
    pub snapshots_written: u64,
    /// Snapshots that could not be written.
    pub snapshots_failed: u64,
    /// Transfers of a peer's configuration that failed.
    pub fetches_failed: u64,
}

/// Number of resources in each section.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct SectionSizes {
    /// Services.
    pub services: usize,
    /// Targets.
    pub targets: usize,
    /// Organisations.
    pub organisations: usize,
    /// Keys.
    pub keys: usize,
    /// Exceptions.
    pub exceptions: usize,
}
