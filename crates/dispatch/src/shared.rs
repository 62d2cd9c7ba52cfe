//! The shared policy: VMs use targets without owners, on the basis of load reports.
//!
//! Each VM reports to its peers how many requests it runs at each target. From these reports and its own calls it knows
//! the load of every target with a delay of one report interval, and selects targets alone. Batch calls are preempted
//! by rules that every VM evaluates alike, so no agreement protocol is needed.

mod backoff;
mod batch;
mod choice;
mod dispatcher;
mod leaving;
mod ledger;
mod peers;
mod refusal;
mod spare;
mod stated;
mod target;
mod target_changes;

pub use dispatcher::{SharedDispatcher, SharedParts};
pub use leaving::{LeavingEntry, LeavingLedger, LeavingReport};
pub use ledger::{LedgerEffect, LoadLedger};
pub use peers::{LoadSource, PeerLoad, SlotUse};
pub use stated::{StatedEntry, StatedLoads, StatedScope, StatedSource, TargetStatement};
pub use target::RefusalCause;
