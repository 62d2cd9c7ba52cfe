//! Desired state of targets and fenced orders.
//!
//! One controller per failure domain, elected by a lease in the table service, compares the models that each engine
//! has loaded with the service that its target is configured for, and orders the missing loads. The epoch of the lease
//! is the fencing token of the orders. While no VM holds the lease, no orders are sent and serving continues.

pub mod lease;
pub mod planner;
pub mod service;

pub use lease::{LeaseAction, LeaseRow, PlacementLease};
pub use planner::{PlacementPlanner, PlannedOrder, TargetReport};
pub use service::{DumpPlacement, PlacementOptions, PlacementService, StopPlacement};
