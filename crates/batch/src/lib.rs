//! Batch jobs: files, chunks, leases, commits and results.
//!
//! [`lease`], [`scheduler`], [`order`] and [`holders`] only make decisions and do no I/O. [`BatchService`] drives them
//! on each VM; [`JobStore`] implements the operations behind the HTTP handlers.

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
pub mod scheduler;
pub mod service;
pub mod store;
pub mod sweep;
mod vm_state;

pub use lease::ChunkLease;
pub use routes::Caller;
pub use service::{BatchHandle, BatchParts, BatchService, StopBatch};
pub use store::JobStore;
