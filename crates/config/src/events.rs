//! Inputs, outputs and counters of the replica.

use crate::entry::{ConfigSnapshot, LogEntry, LogHead};
use crate::wire::ConfigMessage;
use plantainmill_core::{Uptime, VmId};

/// What a replica is told.
#[derive(Clone, Debug)]
pub enum ConfigInput {
    /// Time has passed.
    Tick,
    /// A message came from a peer.
    Received {
        /// Sender.
        from: VmId,
        /// Message.
        message: ConfigMessage,
    },
    /// A peer reported its version in a digest.
    PeerVersion {
        /// Peer.
        from: VmId,
        /// Its version.
        version: u64,
        /// When the peer at the latest knew that version to be current.
        checked_at: Option<Uptime>,
    },
    /// The head was read from the table.
    HeadRead {
        /// The head.
        head: LogHead,
        /// When the read began.
        asked_at: Uptime,
    },
    /// Entries were read from the log.
    EntriesRead {
        /// The entries.
        entries: Vec<LogEntry>,
    },
    /// This VM committed the last of these entries and pushes it to all members itself.
    Committed {
        /// The entries.
        entries: Vec<LogEntry>,
    },
    /// A snapshot was read from the object store or a peer.
    SnapshotRead {
        /// The snapshot.
        snapshot: ConfigSnapshot,
    },
    /// A read of the store failed.
    StoreFailed,
}

/// What a replica wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigOutput {
    /// Send a message.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: ConfigMessage,
    },
    /// Put the replica's configuration in force.
    Publish,
    /// The version in force was current at this time.
    Checked(Uptime),
    /// Read the log after this version.
    ReadLog {
        /// Version held.
        after: u64,
        /// Read the newest snapshot first.
        snapshot: bool,
    },
    /// Ask this peer for its snapshot.
    FetchSnapshot {
        /// Peer.
        from: VmId,
    },
    /// Push these entries to the domain if this VM reads the head for it. The accepting VM may be cut off from
    /// the domain, and digests alone take longer than 3 s to reach 23 VMs.
    Forward {
        /// The entries.
        entries: Vec<LogEntry>,
    },
    /// A peer has this version in force.
    Confirmed {
        /// Peer.
        from: VmId,
        /// Version.
        version: u64,
    },
}

/// Events counted by a replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct ReplicaCounters {
    /// Changes applied.
    pub applied: u64,
    /// Entries that were already applied.
    pub duplicates: u64,
    /// Entries that came before their predecessor.
    pub early: u64,
    /// Requests for missing entries sent to peers.
    pub asked: u64,
    /// Requests for missing entries made to the store.
    pub reads: u64,
    /// Snapshots taken.
    pub snapshots: u64,
    /// Entries and heads of another history than this VM's.
    pub forked: u64,
    /// Reads of a head below the version held.
    pub reverted: u64,
    /// Failed reads of the store.
    pub store_failures: u64,
}

/// Relation of the table to the configuration held.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreState {
    /// Not read yet.
    Unread,
    /// The last read succeeded.
    Readable,
    /// The last read failed.
    Failing,
    /// The table holds an older version, or another history, than this VM.
    Reverted,
}
