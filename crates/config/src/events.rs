//! Inputs, outputs, states and counters of the replica state machine.

use crate::entry::{ConfigSnapshot, LogEntry, LogHead};
use crate::wire::ConfigMessage;
use plantainmill_core::{Uptime, VmId};

/// Events that a replica handles.
#[derive(Clone, Debug)]
pub enum ConfigInput {
    /// Time has passed.
    Tick,
    /// A message arrived from a peer.
    Received {
        /// Peer that sent it.
        from: VmId,
        /// The decoded message.
        message: ConfigMessage,
    },
    /// A peer reported its version in a membership digest.
    PeerVersion {
        /// Peer that reported.
        from: VmId,
        /// Version that the peer holds.
        version: u64,
        /// Last time at which the peer knew that version to be current.
        checked_at: Option<Uptime>,
    },
    /// The head was read from the table.
    HeadRead {
        /// Content of the head row.
        head: LogHead,
        /// When the read started.
        read_started_at: Uptime,
    },
    /// Entries were read from the log.
    EntriesRead {
        /// Entries in the order of their versions.
        entries: Vec<LogEntry>,
    },
    /// A proposal on this VM read these entries, and committed the last of them if it was accepted. The service pushes
    /// the committed entry to all members itself.
    Committed {
        /// Entries in the order of their versions.
        entries: Vec<LogEntry>,
    },
    /// A snapshot was read from the object store or received from a peer.
    SnapshotRead {
        /// The decoded snapshot.
        snapshot: ConfigSnapshot,
    },
    /// A read of the store failed.
    StoreFailed,
}

/// Effects that a replica requests from the service.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigOutput {
    /// Send a message.
    Send {
        /// Recipient.
        to: VmId,
        /// Message to send.
        message: ConfigMessage,
    },
    /// Put the replica's configuration in force.
    Publish,
    /// Record that the version held was current at this time.
    Checked(Uptime),
    /// Read the entries of the log that follow a version.
    ReadLog {
        /// Version that the replica holds.
        after: u64,
        /// Read the newest snapshot before the log.
        snapshot: bool,
    },
    /// Fetch the snapshot of a peer.
    FetchSnapshot {
        /// Peer to fetch from.
        from: VmId,
    },
    /// Push these entries to the failure domain if this VM polls the head for it. The VM that accepted them may be
    /// partitioned from the domain, and digests alone take longer than 3 s to reach 23 VMs.
    Forward {
        /// Entries to push, in the order of their versions.
        entries: Vec<LogEntry>,
    },
    /// Record that a peer confirmed a version.
    Confirmed {
        /// Peer that confirmed.
        from: VmId,
        /// Version that the peer holds.
        version: u64,
    },
}

/// Counters of a replica since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct ReplicaCounters {
    /// Changes applied.
    pub applied: u64,
    /// Entries that were already applied.
    pub duplicates: u64,
    /// Entries that arrived before their predecessor.
    pub early: u64,
    /// Requests to peers for missing entries.
    pub asked: u64,
    /// Requests to the store for missing entries.
    pub reads: u64,
    /// Snapshots installed.
    pub snapshots: u64,
    /// Entries refused because they belong to a history that diverged from the one of this VM.
    pub forked: u64,
    /// Reads of a head that is older than the version held or belongs to a diverged history.
    pub reverted: u64,
    /// Failed reads of the store.
    pub store_failures: u64,
}

/// State of the table relative to the configuration held.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreState {
    /// The table has not been read yet.
    Unread,
    /// The last read succeeded.
    Readable,
    /// The last read failed.
    Failing,
    /// The table holds an older version than this VM, or a diverged history.
    Reverted,
}
