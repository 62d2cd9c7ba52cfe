//! Transfer of a whole configuration between VMs, in pieces.

use crate::entry::ConfigSnapshot;
use crate::wire::ConfigMessage;
use bytes::Bytes;
use compact_str::CompactString;
use plantainmill_core::secret::hash_bytes;
use plantainmill_core::{Uptime, VmId};
use std::time::Duration;

/// Bytes in one piece.
pub const PIECE_BYTES: usize = 128 * 1024;
/// Largest snapshot accepted from a peer; a quarter of the 64 MB that control may take.
const SNAPSHOT_LIMIT_BYTES: u64 = 16 * 1024 * 1024;
/// How long an encoded snapshot is kept for further pieces.
const OFFER_LIMIT: Duration = Duration::from_secs(30);
/// Wait for a piece before the transfer is given up.
const PIECE_LIMIT: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct OfferedSnapshot {
    version: u64,
    hash: CompactString,
    content: Bytes,
    used: Uptime,
}

/// Gives pieces of this VM's configuration.
#[derive(Debug, Default)]
pub struct SnapshotSource {
    offered: Option<OfferedSnapshot>,
}

impl SnapshotSource {
    /// The piece at `offset` of the snapshot of `version`, or of the newest one. Encodes `snapshot` if needed.
    pub fn piece(
        &mut self,
        version: Option<u64>,
        offset: u64,
        snapshot: impl FnOnce() -> ConfigSnapshot,
        now: Uptime,
    ) -> Option<ConfigMessage> {
        let wanted =
            |offered: &OfferedSnapshot| version.is_none_or(|wanted| wanted == offered.version);
        if !self.offered.as_ref().is_some_and(wanted) || version.is_none() {
            let snapshot = snapshot();
            self.offer(&snapshot, now);
        }
        let offered = self.offered.as_mut().filter(|offered| wanted(offered))?;
        offered.used = now;
        let total = offered.content.len();
        let start = usize::try_from(offset)
            .ok()
            .filter(|start| *start < total)?;
        let end = total.min(start + PIECE_BYTES);
        Some(ConfigMessage::Piece {
            version: offered.version,
            hash: offered.hash.clone(),
            total: total as u64,
            offset,
            content: offered.content.slice(start..end),
        })
    }

    fn offer(&mut self, snapshot: &ConfigSnapshot, now: Uptime) {
        let version = snapshot.config.version;
        if self
            .offered
            .as_ref()
            .is_some_and(|offered| offered.version == version)
        {
            return;
        }
        let content = Bytes::from(snapshot.encode());
        self.offered = Some(OfferedSnapshot {
            version,
            hash: hash_bytes(&content),
            content,
            used: now,
        });
    }

    /// Frees the encoded snapshot when nobody asks for it.
    pub fn tick(&mut self, now: Uptime) {
        let expired = |offered: &OfferedSnapshot| now.saturating_sub(offered.used) >= OFFER_LIMIT;
        if self.offered.as_ref().is_some_and(expired) {
            self.offered = None;
        }
    }
}

/// Collects the pieces of a peer's configuration.
#[derive(Debug)]
pub struct SnapshotFetch {
    from: VmId,
    version: Option<u64>,
    hash: CompactString,
    content: Vec<u8>,
    asked_at: Uptime,
}

/// What a piece led to.
#[derive(Debug, PartialEq)]
pub enum FetchStep {
    /// The piece does not belong to this transfer.
    Ignored,
    /// The next piece is to be asked for.
    Ask(ConfigMessage),
    /// The snapshot is whole.
    Done(Box<ConfigSnapshot>),
    /// The transfer failed.
    Failed,
}

impl SnapshotFetch {
    /// Starts a transfer from `from` and returns its first request.
    #[must_use]
    pub fn start(from: VmId, now: Uptime) -> (SnapshotFetch, ConfigMessage) {
        let fetch = SnapshotFetch {
            from,
            version: None,
            hash: CompactString::default(),
            content: Vec::new(),
            asked_at: now,
        };
        let version = None;
        (fetch, ConfigMessage::AskPiece { version, offset: 0 })
    }

    /// Says whether the peer has stopped answering.
    #[must_use]
    pub fn is_stalled(&self, now: Uptime) -> bool {
        now.saturating_sub(self.asked_at) >= PIECE_LIMIT
    }

    /// Takes a piece.
    pub fn take(&mut self, from: &VmId, message: ConfigMessage, now: Uptime) -> FetchStep {
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
        if *from != self.from || offset != self.content.len() as u64 {
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
        self.asked_at = now;
        self.next_step(total)
    }

    fn next_step(&self, total: u64) -> FetchStep {
        let offset = self.content.len() as u64;
        if offset < total {
            let version = self.version;
            return FetchStep::Ask(ConfigMessage::AskPiece { version, offset });
        }
        if offset > total || hash_bytes(&self.content) != self.hash {
            return FetchStep::Failed;
        }
        let decoded = ConfigSnapshot::decode(&self.content);
        decoded.map_or(FetchStep::Failed, |snapshot| {
            FetchStep::Done(Box::new(snapshot))
        })
    }
}
