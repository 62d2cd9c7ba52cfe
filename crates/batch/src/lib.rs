//! Batch jobs: files, chunks, leases, commits and results.
//!
//! Decision code ([`lease`], [`run`], [`order`], [`holders`]) is free of I/O. [`BatchService`] owns it on each VM;
//! [`JobStore`] carries the operations that HTTP handlers use.

pub mod accept;
mod chunk;
mod claim;
mod commit;
pub mod files;
pub mod holders;
pub mod items;
pub mod jobs;
pub mod lease;
pub mod lines;
pub mod meters;
pub mod notice;
pub mod order;
pub mod outcome;
pub mod request;
pub mod results;
pub mod routes;
pub mod rows;
pub mod run;
pub mod service;
pub mod store;
pub mod sweep;
mod watch;

pub use lease::ChunkLease;
pub use routes::Caller;
pub use service::{BatchHandle, BatchParts, BatchService, StopBatch};
pub use store::JobStore;
