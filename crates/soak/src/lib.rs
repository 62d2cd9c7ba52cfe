//! Soak test: VMs run as separate processes, callers and targets run in this one, and faults are injected at random.
//!
//! Faults are injected only from outside the VMs: by signals, by loopback proxies on the links to callers, store and
//! targets, by a faulty store, and by faulty targets. What callers and targets observe is recorded and checked against
//! the guarantees of the system.

pub mod records;

mod caller_load;
mod cut_responses;
mod fault_plan;
mod guarantee_checks;
mod link_proxy;
mod owed_items;
mod repeated_ids;
mod soak_fleet;
mod soak_run;
mod target_fleet;
mod vm_exit;
mod vm_process;

pub use cut_responses::parse_cut_report;
pub use fault_plan::SoakProfile;
pub use guarantee_checks::check_guarantees;
pub use link_proxy::{LinkMode, LinkProxy};
pub use owed_items::parse_owed_report;
pub use plantainmill_stand_in::JobResult;
pub use repeated_ids::parse_repeated_id;
pub use soak_run::{SoakOptions, SoakReport, list_faults, run_seed};
pub use vm_exit::{ExpectedExit, catches_stop, check_exit};
