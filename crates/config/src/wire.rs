//! Messages that the configuration services of different VMs exchange over the mesh.

use crate::entry::LogEntry;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One message of the configuration channel.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigMessage {
    /// Delivers a new entry. The recipient responds with [`ConfigMessage::Confirm`] if it then
    /// holds this version or a later one.
    Push {
        /// Entry to apply.
        entry: LogEntry,
    },
    /// Reports the version that the sender holds.
    Confirm {
        /// Version that the sender holds.
        version: u64,
    },
    /// Requests the entries after a version.
    Ask {
        /// Version that the sender holds.
        after: u64,
    },
    /// Response to [`ConfigMessage::Ask`].
    Entries {
        /// Entries in the order of their versions; empty if the sender does not retain the next one.
        entries: Vec<LogEntry>,
        /// Version that the sender holds.
        version: u64,
    },
    /// Requests a piece of the recipient's snapshot.
    AskPiece {
        /// Version of the snapshot; `None` for the newest.
        version: Option<u64>,
        /// Offset of the piece in the encoded snapshot, in bytes.
        offset: u64,
    },
    /// Response to [`ConfigMessage::AskPiece`]: a piece of an encoded snapshot.
    Piece {
        /// Version of the snapshot.
        version: u64,
        /// SHA-256 of the complete encoded snapshot.
        hash: CompactString,
        /// Length of the complete encoded snapshot, in bytes.
        total: u64,
        /// Offset of the piece in the encoded snapshot, in bytes.
        offset: u64,
        /// Bytes of the piece.
        content: Bytes,
    },
}
