//! Traffic counters of the mesh, readable from any thread.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a frame was not delivered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// Received: the authentication tag matches none of the fleet secrets.
    Foreign,
    /// Received: not a binary message, shorter than the tag, or not a CBOR frame.
    Malformed,
    /// Received: the frame format version is not supported.
    Version,
    /// Received or outgoing: longer than [`FRAME_LIMIT_BYTES`](crate::frame::FRAME_LIMIT_BYTES).
    TooLong,
    /// Received: addressed to another VM.
    Misaddressed,
    /// Received: a later incarnation of the sender is known, or the sender is this VM itself.
    Replayed,
    /// Received: no subsystem has registered for the channel.
    Unrouted,
    /// Received: the mailbox of the registered actor is full or closed.
    MailboxFull,
    /// Outgoing: the receiver is not in the current peer set.
    UnknownPeer,
    /// Outgoing: the queue to the receiver, or the byte budget shared by all queues, is exhausted.
    QueueFull,
    /// Outgoing: connecting or writing to the receiver failed, or the frame was queued behind one that failed.
    Unreachable,
}

impl DropReason {
    /// All reasons in declaration order; the discriminant indexes the counter array.
    pub const ALL: [DropReason; 11] = [
        DropReason::Foreign,
        DropReason::Malformed,
        DropReason::Version,
        DropReason::TooLong,
        DropReason::Misaddressed,
        DropReason::Replayed,
        DropReason::Unrouted,
        DropReason::MailboxFull,
        DropReason::UnknownPeer,
        DropReason::QueueFull,
        DropReason::Unreachable,
    ];
}

#[derive(Debug, Default)]
struct CounterCells {
    sent_frames: AtomicU64,
    sent_bytes: AtomicU64,
    received_frames: AtomicU64,
    received_bytes: AtomicU64,
    opened: AtomicU64,
    accepted: AtomicU64,
    refused: AtomicU64,
    idle_closed: AtomicU64,
    dropped: [AtomicU64; DropReason::ALL.len()],
}

/// Counters of one mesh. Clones share the same values.
#[derive(Clone, Debug, Default)]
pub struct MeshCounters {
    cells: Arc<CounterCells>,
}

/// Snapshot of [`MeshCounters`]. The values are read one after another, not atomically as a whole.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MeshTotals {
    /// Frames written to connections.
    pub sent_frames: u64,
    /// Bytes of the frames written, without transport headers.
    pub sent_bytes: u64,
    /// Binary messages read from connections, including those dropped afterwards.
    pub received_frames: u64,
    /// Bytes of the binary messages read, without transport headers.
    pub received_bytes: u64,
    /// Connections opened to peers.
    pub opened: u64,
    /// Incoming connections whose WebSocket handshake succeeded.
    pub accepted: u64,
    /// Incoming connections refused because of the connection limit or a failed WebSocket handshake.
    pub refused: u64,
    /// Outgoing connections closed because no frame was sent within the idle limit.
    pub idle_closed: u64,
    /// Dropped frames by reason; reasons with a count of zero are absent.
    pub dropped: BTreeMap<DropReason, u64>,
}

fn add(cell: &AtomicU64, amount: u64) {
    cell.fetch_add(amount, Ordering::Relaxed);
}

impl MeshCounters {
    pub(crate) fn count_sent(&self, bytes: usize) {
        add(&self.cells.sent_frames, 1);
        add(&self.cells.sent_bytes, bytes as u64);
    }

    pub(crate) fn count_received(&self, bytes: usize) {
        add(&self.cells.received_frames, 1);
        add(&self.cells.received_bytes, bytes as u64);
    }

    pub(crate) fn count_opened(&self) {
        add(&self.cells.opened, 1);
    }

    pub(crate) fn count_accepted(&self) {
        add(&self.cells.accepted, 1);
    }

    pub(crate) fn count_refused(&self) {
        add(&self.cells.refused, 1);
    }

    pub(crate) fn count_idle_closed(&self) {
        add(&self.cells.idle_closed, 1);
    }

    pub(crate) fn count_dropped(&self, reason: DropReason) {
        add(&self.cells.dropped[reason as usize], 1);
    }

    /// Takes a snapshot of the counters.
    #[must_use]
    pub fn totals(&self) -> MeshTotals {
        let read = |cell: &AtomicU64| cell.load(Ordering::Relaxed);
        let cells = &self.cells;
        let dropped = DropReason::ALL
            .into_iter()
            .map(|reason| (reason, read(&cells.dropped[reason as usize])));
        MeshTotals {
            sent_frames: read(&cells.sent_frames),
            sent_bytes: read(&cells.sent_bytes),
            received_frames: read(&cells.received_frames),
            received_bytes: read(&cells.received_bytes),
            opened: read(&cells.opened),
            accepted: read(&cells.accepted),
            refused: read(&cells.refused),
            idle_closed: read(&cells.idle_closed),
            dropped: dropped.filter(|(_, count)| *count > 0).collect(),
        }
    }
}
