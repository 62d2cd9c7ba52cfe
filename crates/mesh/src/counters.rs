//! Counters of the mesh, readable from any thread.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a frame was not delivered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// Received: no secret gives its tag.
    Foreign,
    /// Received: it is not a frame.
    Malformed,
    /// Received: its format version is not supported.
    Version,
    /// Received: it is longer than the limit.
    TooLong,
    /// Received: it is addressed to another VM.
    Misaddressed,
    /// Received: a later incarnation of its sender is known.
    Replayed,
    /// Received: no slice has registered its channel.
    Unrouted,
    /// Received: the mailbox of its slice is full or closed.
    MailboxFull,
    /// To send: the receiver is not among the peers.
    UnknownPeer,
    /// To send: the queue of the receiver is full.
    QueueFull,
    /// To send: the receiver cannot be reached.
    Unreachable,
}

impl DropReason {
    /// All reasons, in the order of their counters.
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

/// Counters of one mesh. Clones share the same cells.
#[derive(Clone, Debug, Default)]
pub struct MeshCounters {
    cells: Arc<CounterCells>,
}

/// The counters at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MeshTotals {
    /// Frames written to a connection.
    pub sent_frames: u64,
    /// Their bytes, without headers of the transport.
    pub sent_bytes: u64,
    /// Frames read from connections, dropped ones included.
    pub received_frames: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Connections opened to peers.
    pub opened: u64,
    /// Connections accepted.
    pub accepted: u64,
    /// Incoming connections refused: too many at once, or no WebSocket handshake.
    pub refused: u64,
    /// Connections closed because nothing was sent for a while.
    pub idle_closed: u64,
    /// Dropped frames by reason; reasons without drops are absent.
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

    /// The counters now.
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
