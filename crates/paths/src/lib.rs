//! Paths from this VM to the targets: which of them are open, and which other VMs forward requests while they are not.
//!
//! A VM may lose its paths to some or all targets while its callers, the store and the other VMs still reach it. Its requests
//! then go through another VM, which forwards them to the same target. See `docs/target-paths.md`.

mod forwarders;
mod handle;
mod table;

pub use forwarders::{ForwardResult, Forwarder, ForwarderPlace, ForwarderReferral};
pub use handle::TargetPaths;
pub use table::{PathEvent, PathTable, SendRoute};
