//! Limits that targets name: how many requests a second a target takes from all VMs together.
//!
//! A target in need names its limit in its responses, for as long as it says so. VMs tell each other, and a few VMs of the
//! target's failure domain divide the limit among themselves by the same rule. Only they send requests to the target.
//! A cold target has the limit of its service, by the same mechanism, within a hard bound.

mod cold;
mod dispatcher;
mod ledger;
mod members;
mod message;
mod share;

pub use cold::{ColdBounds, ColdFacts};
pub use dispatcher::{LimitDispatcher, TargetLimits};
pub use ledger::{LimitEvent, LimitLedger, LimitedTarget};
pub use message::{ColdEntry, LimitEntry, LimitReport};
