//! The platform's lagging list of VMs.

use crate::PlatformFuture;
use plantainmill_core::{DomainName, RegionName, VmId};
use std::net::SocketAddr;

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// In use.
    Live,
    /// About to be stopped or replaced.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmEntry {
    /// Identifier from the VM's settings.
    pub id: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Address of the mesh listener.
    pub mesh: SocketAddr,
    /// State, as the platform last knew it.
    pub state: VmState,
}

/// The list of VMs. A VM that has been dropped from it is terminated; one that is in it may be dead.
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> PlatformFuture<'_, Vec<VmEntry>>;
}
