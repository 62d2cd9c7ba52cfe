//! Calls of targets: retries, streams, idempotent calls, truthful outcomes.

pub mod caller;

pub use caller::{StreamAnswer, TargetCaller, TargetRequest, WholeAnswer};
