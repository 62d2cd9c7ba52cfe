//! The platform's list of VMs, which lags behind their actual state.

use crate::PlatformFuture;
use plantainmill_core::{DomainName, RegionName, VmId};
use std::net::SocketAddr;

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// Running; the platform does not intend to stop it.
    Live,
    /// About to be stopped or replaced.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmEntry {
    /// Identifier from the VM's settings.
    pub id: VmId,
    /// Failure domain that the VM runs in.
    pub domain: DomainName,
    /// Region that the VM runs in.
    pub region: RegionName,
    /// Address of the VM's mesh listener, where other VMs reach it.
    pub mesh: SocketAddr,
    /// Last state known to the platform.
    pub state: VmState,
}

/// The list of VMs. A VM that was removed from it has been terminated; a listed VM may be dead.
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> PlatformFuture<'_, Vec<VmEntry>>;
}
