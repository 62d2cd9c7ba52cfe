//! Wanted state of targets and fenced orders.
//!
//! One controller per failure domain, elected by a lease in the table, compares what each model engine has
//! loaded with the service its target is configured for, and orders what is missing. The epoch of the lease is
//! the fencing number of the orders. Without a lease there are no orders, and serving goes on.

pub mod lease;
pub mod planner;
pub mod service;

pub use lease::{LeaseAction, LeaseRow, PlacementLease};
pub use planner::{PlacementPlanner, PlannedOrder, TargetReport};
pub use service::{DumpPlacement, PlacementOptions, PlacementService, StopPlacement};
