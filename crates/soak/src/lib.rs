//! A soak: VMs run as processes, callers and targets run here, and everything between them fails at random.
//!
//! Faults come from outside the VMs only: signals, loopback proxies on every connection, a store that misbehaves, and
//! targets that do. What callers and targets see is recorded and checked against what the system promises.

pub mod records;

mod caller_load;
mod fault_plan;
mod link_proxy;
mod promise_checks;
mod soak_fleet;
mod soak_run;
mod target_fleet;
mod vm_process;

pub use fault_plan::SoakProfile;
pub use link_proxy::{LinkMode, LinkProxy};
pub use plantainmill_stand_in::JobResult;
pub use promise_checks::check_promises;
pub use soak_run::{SoakOptions, SoakReport, list_faults, run_seed};
