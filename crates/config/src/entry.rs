//! Log entries, the log head and snapshots, as stored and as sent to peers.

use crate::change::ConfigChange;
use crate::model::FleetConfig;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A change and the operation id of its predecessor. The operation id distinguishes diverged histories with the same
/// version numbers, which arise when the table is restored from an old copy and then written to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogEntry {
    /// Operation id of the preceding change; empty for the first.
    pub parent: CompactString,
    /// The change that the entry records.
    pub change: ConfigChange,
}

/// Newest version of a history. The table stores it in the row `config/head`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogHead {
    /// Version of the newest change; 0 if there is none.
    pub version: u64,
    /// Operation id of the newest change; empty if there is none.
    pub operation: CompactString,
}

/// A complete configuration, as stored in snapshot objects and sent to peers that lack log entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigSnapshot {
    /// Operation id of the newest change that the snapshot includes.
    pub operation: CompactString,
    /// Configuration at the version of that change.
    pub config: FleetConfig,
}

impl ConfigSnapshot {
    /// Encodes the snapshot as CBOR.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut content = Vec::new();
        // Writing to memory cannot fail, and CBOR can represent all types of the model.
        let _ = ciborium::into_writer(self, &mut content);
        content
    }

    /// Decodes a snapshot from CBOR and rebuilds its index; `None` if it is malformed.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<ConfigSnapshot> {
        let mut snapshot: ConfigSnapshot = ciborium::from_reader(content).ok()?;
        snapshot.config.rebuild_index();
        Some(snapshot)
    }
}
