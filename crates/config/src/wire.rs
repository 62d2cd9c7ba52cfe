//! Messages between the configuration services of different VMs.

use crate::entry::LogEntry;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One message of the configuration channel.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigMessage {
    /// Brings a new entry; the receiver answers with [`ConfigMessage::Confirm`].
    Push {
        /// The entry.
        entry: LogEntry,
    },
    /// Says which version the sender has in force.
    Confirm {
        /// Version.
        version: u64,
    },
    /// Asks for the entries after a version.
    Ask {
        /// Version the sender has.
        after: u64,
    },
    /// Answers [`ConfigMessage::Ask`].
    Entries {
        /// Entries in order; empty if the sender no longer holds the next one.
        entries: Vec<LogEntry>,
        /// Version the sender has in force.
        version: u64,
    },
    /// Asks for a piece of the sender's snapshot.
    AskPiece {
        /// Version and operation of the snapshot; `None` for the newest.
        version: Option<u64>,
        /// Start of the piece, in bytes.
        offset: u64,
    },
    /// A piece of an encoded snapshot.
    Piece {
        /// Version of the snapshot.
        version: u64,
        /// SHA-256 of the whole encoded snapshot.
        hash: CompactString,
        /// Length of the whole encoded snapshot, in bytes.
        total: u64,
        /// Start of the piece, in bytes.
        offset: u64,
        /// Content of the piece.
        content: Bytes,
    },
}
