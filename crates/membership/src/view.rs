//! This VM's view of the fleet, readable from any thread without waiting.

use arc_swap::ArcSwap;
use plantainmill_core::Incarnation;
use plantainmill_mesh::MeshPeer;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// State of a member as this VM sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers probes, or another VM reports that it does.
    Live,
    /// It missed probes and may be dead.
    Suspect,
    /// It is stopping and wants no new work.
    Leaving,
    /// It is gone.
    Dead,
}

/// Another VM of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Address and place.
    pub peer: MeshPeer,
    /// Start of the VM that was last seen at this id.
    pub incarnation: Incarnation,
    /// State.
    pub state: MemberState,
}

/// The members other than this VM. Views of different VMs may differ at any time.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    members: Arc<ArcSwap<Vec<Member>>>,
}

impl MemberView {
    /// All known members, dead ones included until they are pruned.
    #[must_use]
    pub fn load(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Replaces the view. Only the membership service does.
    pub fn publish(&self, members: Vec<Member>) {
        self.members.store(Arc::new(members));
    }
}
