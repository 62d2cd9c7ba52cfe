//! Actor messages that the configuration service handles, and their results.

use crate::change::{ConfigChange, ConfigEdit};
use crate::entry::LogHead;
use crate::events::{ReplicaCounters, StoreState};
use crate::receipt::ChangeReceipt;
use actix::prelude::*;
use compact_str::CompactString;
use plantainmill_core::Problem;
use serde::Serialize;

/// Validates and commits a change, and pushes it to all members.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<ChangeReceipt, Problem>")]
pub struct ProposeChange {
    /// Edits that take effect atomically.
    pub edits: Vec<ConfigEdit>,
    /// Operator who makes the change.
    pub author: CompactString,
    /// Reason given by the operator; not empty.
    pub reason: String,
    /// Version that the operator has seen; the change is refused if another one is current. `None` accepts any version.
    pub expected_version: Option<u64>,
    /// Validate without committing.
    pub dry_run: bool,
}

/// Reads the newest changes from the log, newest first.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Result<Vec<ConfigChange>, Problem>")]
pub struct ListHistory {
    /// Maximum number of changes to return.
    pub limit: u32,
}

/// Restores the content of an earlier version as a new version.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<ChangeReceipt, Problem>")]
pub struct RollbackTo {
    /// Version whose content to restore.
    pub version: u64,
    /// Operator who makes the change.
    pub author: CompactString,
    /// Reason given by the operator; not empty.
    pub reason: String,
    /// Version that the operator has seen; the rollback is refused if another one is current. `None` stands for the
    /// version that this VM holds.
    pub expected_version: Option<u64>,
    /// Validate without committing.
    pub dry_run: bool,
}

/// Requests the [`ReadyReport`] of this VM.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ReadyReport")]
pub struct ReadyState;

/// Source that the version in force was last compared with.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadySource {
    /// The table: its last read succeeded.
    Store,
    /// Peers: the table cannot be read or has been reverted, and peers reported their versions.
    Peers,
    /// Neither the table nor a peer.
    Nothing,
}

/// Whether the configuration is recent enough to serve requests, and the state behind this decision.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ReadyReport {
    /// Whether the configuration has caught up with the reachable peers and the store since the start. Stays set
    /// once it is.
    pub ready: bool,
    /// Version that this VM holds.
    pub version: u64,
    /// Newest version that a peer reported recently; 0 if none did.
    pub peer_version: u64,
    /// Number of peers that reported a version recently.
    pub peers: usize,
    /// Version of the head in the table, as last read.
    pub store_version: Option<u64>,
    /// State of the table relative to this VM.
    pub store: StoreState,
    /// Source that the version was compared with.
    pub source: ReadySource,
}

/// Requests a [`ConfigReport`] as JSON.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "serde_json::Value")]
pub struct DumpConfig;

/// State of the configuration service, without the configuration itself.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigReport {
    /// Version and operation id that this VM holds.
    pub head: LogHead,
    /// Readiness of this VM.
    pub ready: ReadyReport,
    /// Seconds since the version was last confirmed to be current; `None` if it never was.
    pub unchecked_s: Option<u64>,
    /// Whether this VM polls the head for its failure domain.
    pub poller: bool,
    /// Events counted by the replica.
    pub counters: ReplicaCounters,
    /// Events counted by the service.
    pub service: ServiceCounters,
    /// Number of resources in each section.
    pub sizes: SectionSizes,
}

/// Counters of the service since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ServiceCounters {
    /// Changes committed by this VM.
    pub accepted: u64,
    /// Changes that this VM refused or failed to commit.
    pub refused: u64,
    /// Pushes sent, including retries.
    pub pushes: u64,
    /// Pushes retried because the member had not confirmed the version.
    pub repeats: u64,
    /// Receipts returned before all members had confirmed.
    pub incomplete: u64,
    /// Reads of the head row.
    pub polls: u64,
    /// Messages from peers that could not be decoded.
    pub malformed: u64,
    /// Snapshots written to the object store.
    pub snapshots_written: u64,
    /// Snapshots that could not be written.
    pub snapshots_failed: u64,
    /// Snapshot transfers from a peer that failed or stalled.
    pub fetches_failed: u64,
}

/// Number of resources by section.
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
