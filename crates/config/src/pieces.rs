//! Transfer of an encoded snapshot between VMs, in pieces of [`PIECE_BYTES`].

use crate::entry::ConfigSnapshot;
use crate::wire::ConfigMessage;
use bytes::Bytes;
use compact_str::CompactString;
use plantainmill_core::secret::hash_bytes;
use plantainmill_core::{Uptime, VmId};
use std::time::Duration;

/// Size of a piece; the last one may be smaller.
pub const PIECE_BYTES: usize = 128 * 1024;
/// Maximum size of a snapshot accepted from a peer: a quarter of the 64 MB budget of the control plane.
const SNAPSHOT_LIMIT_BYTES: u64 = 16 * 1024 * 1024;
/// How long an encoded snapshot is cached after the last request for a piece.
const ENCODED_SNAPSHOT_TTL: Duration = Duration::from_secs(30);
/// How long to wait for a piece before the transfer is abandoned.
const PIECE_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct EncodedSnapshot {
    version: u64,
    hash: CompactString,
    content: Bytes,
    last_used: Uptime,
}

/// Serves pieces of the snapshot of this VM, and caches its encoding.
#[derive(Debug, Default)]
pub struct SnapshotSource {
    cached: Option<EncodedSnapshot>,
}

impl SnapshotSource {
    /// Returns the piece at `offset` of the snapshot of `version`, or of the newest one if `version` is `None`. Calls
    /// `snapshot` and encodes the result if the requested version is not cached. Returns `None` if this VM does not
    /// hold that version, or if `offset` is not below the size of the snapshot.
    pub fn piece(
        &mut self,
        version: Option<u64>,
        offset: u64,
        snapshot: impl FnOnce() -> ConfigSnapshot,
        now: Uptime,
    ) -> Option<ConfigMessage> {
        let requested =
            |cached: &EncodedSnapshot| version.is_none_or(|requested| requested == cached.version);
        if !self.cached.as_ref().is_some_and(requested) || version.is_none() {
            let snapshot = snapshot();
            self.cache(&snapshot, now);
        }
        let cached = self.cached.as_mut().filter(|cached| requested(cached))?;
        cached.last_used = now;
        let total = cached.content.len();
        let start = usize::try_from(offset)
            .ok()
            .filter(|start| *start < total)?;
        let end = total.min(start + PIECE_BYTES);
        Some(ConfigMessage::Piece {
            version: cached.version,
            hash: cached.hash.clone(),
            total: total as u64,
            offset,
            content: cached.content.slice(start..end),
        })
    }

    fn cache(&mut self, snapshot: &ConfigSnapshot, now: Uptime) {
        let version = snapshot.config.version;
        if self
            .cached
            .as_ref()
            .is_some_and(|cached| cached.version == version)
        {
            return;
        }
        let content = Bytes::from(snapshot.encode());
        self.cached = Some(EncodedSnapshot {
            version,
            hash: hash_bytes(&content),
            content,
            last_used: now,
        });
    }

    /// Drops the cached snapshot if no piece was requested for 30 s.
    pub fn tick(&mut self, now: Uptime) {
        let expired =
            |cached: &EncodedSnapshot| now.saturating_sub(cached.last_used) >= ENCODED_SNAPSHOT_TTL;
        if self.cached.as_ref().is_some_and(expired) {
            self.cached = None;
        }
    }
}

/// Receives the snapshot of a peer piece by piece.
#[derive(Debug)]
pub struct SnapshotFetch {
    peer: VmId,
    version: Option<u64>,
    hash: CompactString,
    content: Vec<u8>,
    last_progress: Uptime,
}

/// Result of handling a piece.
#[derive(Debug, PartialEq)]
pub enum FetchStep {
    /// The piece does not belong to this transfer or has already been received.
    Ignored,
    /// Send this request for the next piece.
    Request(ConfigMessage),
    /// All pieces have arrived, and the hash matches.
    Complete(Box<ConfigSnapshot>),
    /// The transfer failed: the snapshot changed, was too large or was damaged.
    Failed,
}

impl SnapshotFetch {
    /// Starts a transfer from `peer` and returns its first request.
    #[must_use]
    pub fn start(peer: VmId, now: Uptime) -> (SnapshotFetch, ConfigMessage) {
        let fetch = SnapshotFetch {
            peer,
            version: None,
            hash: CompactString::default(),
            content: Vec::new(),
            last_progress: now,
        };
        let version = None;
        (fetch, ConfigMessage::AskPiece { version, offset: 0 })
    }

    /// Whether the peer has not delivered a piece for 2 s.
    #[must_use]
    pub fn is_stalled(&self, now: Uptime) -> bool {
        now.saturating_sub(self.last_progress) >= PIECE_TIMEOUT
    }

    /// Handles a piece sent by `from`.
    pub fn handle_piece(&mut self, from: &VmId, message: ConfigMessage, now: Uptime) -> FetchStep {
        let ConfigMessage::Piece {
            version,
            hash,
            total,
            offset,
            content,
        } = message
        else {
            return FetchStep::Ignored;
        };
        if *from != self.peer || offset != self.content.len() as u64 {
            return FetchStep::Ignored;
        }
        if self.version.is_none() {
            self.version = Some(version);
            self.hash = hash;
        } else if self.version != Some(version) || self.hash != hash {
            return FetchStep::Failed;
        }
        if total > SNAPSHOT_LIMIT_BYTES || content.is_empty() {
            return FetchStep::Failed;
        }
        self.content.extend_from_slice(&content);
        self.last_progress = now;
        self.next_step(total)
    }

    fn next_step(&self, total: u64) -> FetchStep {
        let offset = self.content.len() as u64;
        if offset < total {
            let version = self.version;
            return FetchStep::Request(ConfigMessage::AskPiece { version, offset });
        }
        if offset > total || hash_bytes(&self.content) != self.hash {
            return FetchStep::Failed;
        }
        let decoded = ConfigSnapshot::decode(&self.content);
        decoded.map_or(FetchStep::Failed, |snapshot| {
            FetchStep::Complete(Box::new(snapshot))
        })
    }
}
