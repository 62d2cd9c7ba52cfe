//! Usage reports that the VMs exchange: for display, and for VMs of the release before, which decide by them.
//!
//! No decision of this release depends on them; see [`crate::pools`].

mod ledger;
mod recorder;

pub use ledger::{UsageEntry, UsageLedger, UsageSource};
pub use recorder::UsageRecorder;
