//! Load patterns in virtual time: many VMs, targets with slots and queues, callers and batch items.
//!
//! No network and no clock is used, and every run with a seed is the same. Targets admit requests in order of arrival,
//! read a prompt and then send events at a fixed pace, as the engines behind the product do.

mod engine;
mod pattern;
mod policy;
mod report;
mod world;

pub use pattern::{LoadPattern, LoadSurge, PatternEvent};
pub use policy::PolicyKind;
pub use report::PatternReport;
pub use world::run_pattern;
