//! Virtual VMs on one thread: the real service over a store and targets with faults, in virtual time.

pub mod caller;
pub mod store;
pub mod world;

pub use caller::CallPlan;
pub use store::{FaultKind, Step};
pub use world::{World, run_virtual};
