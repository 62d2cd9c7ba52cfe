//! Entries of the log as they are stored and sent.

use crate::change::ConfigChange;
use crate::model::FleetConfig;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A change and the operation it follows. The operation tells two histories with the same version numbers
/// apart, as they arise when the table is restored from an old copy and then written.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogEntry {
    /// Operation of the change before; empty for the first.
    pub parent: CompactString,
    /// The change.
    pub change: ConfigChange,
}

/// Content of the row `config/head`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogHead {
    /// Version of the newest change; 0 for none.
    pub version: u64,
    /// Operation of the newest change; empty for none.
    pub operation: CompactString,
}

/// A whole configuration, as stored in snapshot objects and sent to starting VMs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigSnapshot {
    /// Operation of the newest change in it.
    pub operation: CompactString,
    /// The configuration.
    pub config: FleetConfig,
}

impl ConfigSnapshot {
    /// CBOR of the snapshot.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut content = Vec::new();
        // Writing to memory cannot fail, and all types of the model have a CBOR form.
        let _ = ciborium::into_writer(self, &mut content);
        content
    }

    /// Reads a snapshot; `None` if it is malformed.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<ConfigSnapshot> {
        let mut snapshot: ConfigSnapshot = ciborium::from_reader(content).ok()?;
        snapshot.config.rebuild_index();
        Some(snapshot)
    }
}
