//! This VM's view of the fleet, readable from any thread without blocking.

use arc_swap::ArcSwap;
use plantainmill_core::Incarnation;
use plantainmill_mesh::MeshPeer;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// State of a member as seen by this VM. At equal incarnation and refutations, the later variant takes precedence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes, is reported live by another VM, or is listed and was never heard from.
    Live,
    /// Missed a probe; declared dead unless it refutes in time.
    Suspect,
    /// Is stopping and accepts no new work.
    Leaving,
    /// Did not refute a suspicion in time, or stopped after leaving.
    Dead,
}

/// Another VM of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Address and location.
    pub peer: MeshPeer,
    /// Latest known incarnation of the VM with this id; 0 if known only from the VM list.
    pub incarnation: Incarnation,
    /// State as seen by this VM.
    pub state: MemberState,
}

/// Members other than this VM. Clones share the same state. The views of different VMs may differ at any time.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    members: Arc<ArcSwap<Vec<Member>>>,
}

impl MemberView {
    /// Returns all known members, including dead ones that are not yet pruned.
    #[must_use]
    pub fn load(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Replaces the members. In production only the membership service calls this.
    pub fn publish(&self, members: Vec<Member>) {
        self.members.store(Arc::new(members));
    }
}
