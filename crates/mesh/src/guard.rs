//! Decides which received frames are delivered.

use crate::counters::DropReason;
use crate::frame::{FleetSecret, FrameError, MeshFrame};
use compact_str::CompactString;
use plantainmill_core::{Incarnation, VmId};
use std::collections::BTreeMap;

/// Senders outside the peer set whose incarnation is remembered. A VM can send before this VM has read about it.
const STRANGER_LIMIT: usize = 1_024;

/// Verifies received frames and remembers the latest incarnation of each sender.
pub struct FrameGuard {
    own: VmId,
    secret: FleetSecret,
    latest: BTreeMap<VmId, Incarnation>,
}

impl FrameGuard {
    /// A guard for frames to `own`.
    #[must_use]
    pub fn new(own: VmId, secret: FleetSecret) -> FrameGuard {
        FrameGuard {
            own,
            secret,
            latest: BTreeMap::new(),
        }
    }

    /// Replaces the secrets, for a rotation.
    pub fn set_secret(&mut self, secret: FleetSecret) {
        self.secret = secret;
    }

    /// Verifies `content` and returns the frame if it may be delivered.
    ///
    /// # Errors
    ///
    /// Says why the frame has to be dropped.
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

    /// Forgets senders outside `peers` once there are too many of them.
    pub fn prune(&mut self, peers: &BTreeMap<VmId, impl Sized>) {
        let strangers = self.latest.keys().filter(|id| !peers.contains_key(*id));
        if strangers.count() > STRANGER_LIMIT {
            self.latest.retain(|id, _| peers.contains_key(id));
        }
    }

    /// Latest incarnation of `sender`, if it has sent.
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
