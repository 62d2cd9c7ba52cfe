//! The policy of VMs that share targets without an owner.
//!
//! Each VM tells its peers how many requests it runs at each target. From these reports and its own calls it knows the
//! load of every target within one report interval, and chooses alone. Batch calls are preempted by rules that every
//! VM evaluates alike, so no agreement is needed.

mod choice;
mod dispatcher;
mod health;
mod ledger;
mod peers;

pub use dispatcher::{SharedDispatcher, SharedParts};
pub use ledger::{LedgerEffect, LoadLedger};
pub use peers::{LoadSource, PeerLoad, SlotUse};
