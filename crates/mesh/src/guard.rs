//! Authentication, addressing and replay checks of received frames.

use crate::counters::DropReason;
use crate::frame::{FleetSecret, FrameError, MeshFrame};
use compact_str::CompactString;
use plantainmill_core::{Incarnation, VmId};
use std::collections::BTreeMap;

/// Senders outside the peer set whose incarnation is kept. A new VM may send before this VM learns of it.
const UNKNOWN_SENDER_LIMIT: usize = 1_024;

/// Verifies received frames and tracks the latest incarnation of each sender.
pub struct FrameGuard {
    own: VmId,
    secret: FleetSecret,
    latest: BTreeMap<VmId, Incarnation>,
}

impl FrameGuard {
    /// Creates a guard that accepts frames addressed to `own`.
    #[must_use]
    pub fn new(own: VmId, secret: FleetSecret) -> FrameGuard {
        FrameGuard {
            own,
            secret,
            latest: BTreeMap::new(),
        }
    }

    /// Replaces the secrets during a rotation. Known incarnations are kept.
    pub fn set_secret(&mut self, secret: FleetSecret) {
        self.secret = secret;
    }

    /// Verifies `content` and returns the frame if it may be delivered. Only authenticated frames advance the
    /// incarnation of their sender.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the frame must be dropped.
    pub fn accept(&mut self, content: &[u8]) -> Result<MeshFrame, DropReason> {
        let frame = self.secret.open(content).map_err(drop_reason)?;
        if frame.to != self.own {
            return Err(DropReason::Misaddressed);
        }
        if frame.from == self.own {
            return Err(DropReason::Replayed);
        }
        match self.latest.get_mut(&frame.from) {
            Some(latest) if *latest > frame.incarnation => return Err(DropReason::Replayed),
            Some(latest) => *latest = frame.incarnation,
            None => {
                self.latest.insert(frame.from.clone(), frame.incarnation);
            }
        }
        Ok(frame)
    }

    /// Removes all senders outside `peers` once more than `UNKNOWN_SENDER_LIMIT` of them are tracked.
    pub fn prune(&mut self, peers: &BTreeMap<VmId, impl Sized>) {
        let unknown_senders = self.latest.keys().filter(|id| !peers.contains_key(*id));
        if unknown_senders.count() > UNKNOWN_SENDER_LIMIT {
            self.latest.retain(|id, _| peers.contains_key(id));
        }
    }

    /// Latest incarnation accepted from `sender`; `None` if it has not sent a valid frame.
    #[must_use]
    pub fn incarnation_of(&self, sender: &CompactString) -> Option<Incarnation> {
        self.latest.get(sender).copied()
    }
}

fn drop_reason(error: FrameError) -> DropReason {
    match error {
        FrameError::TooLong => DropReason::TooLong,
        FrameError::Foreign => DropReason::Foreign,
        FrameError::Malformed => DropReason::Malformed,
        FrameError::Version => DropReason::Version,
    }
}
