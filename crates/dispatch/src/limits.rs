//! Limits that targets name: how many requests a second a target takes from all VMs together.
//!
//! A target in need names its limit in its responses, for as long as it says so. VMs tell each other, and a few VMs of the
//! target's failure domain divide the limit among themselves by the same rule. Only they send requests to the target.

mod dispatcher;
mod ledger;
mod message;

pub use dispatcher::{LimitDispatcher, TargetLimits};
pub use ledger::{LimitEvent, LimitLedger, LimitedTarget};
pub use message::{LimitEntry, LimitReport};
