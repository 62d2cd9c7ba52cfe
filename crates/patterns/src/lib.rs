//! Simulation of load patterns in virtual time: VMs, targets with slots and queues, callers and batch items.
//!
//! The simulation uses neither network nor clock, so a run is fully determined by its seed. Like inference engines,
//! targets admit requests in order of arrival, and each request takes a prefill time to its first event and a decode time
//! from there to its end.

mod load_simulation;
mod pattern;
mod policy;
mod report;
mod simulated_target;

pub use load_simulation::run_pattern;
pub use pattern::{FleetShape, LoadPattern, LoadSurge, PatternEvent};
pub use policy::PolicyKind;
pub use report::PatternReport;
