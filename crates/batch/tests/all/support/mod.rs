//! Test fleet on one thread in virtual time: the real service on a store and targets that inject faults.

pub mod caller;
pub mod fleet;
pub mod store;

pub use caller::CallPlan;
pub use fleet::{TestFleet, run_virtual};
pub use store::{FaultKind, Step};
