//! Interfaces to the platform and their HTTP clients.
//!
//! The rest of the system sees only the trait objects, so another wire format means one new adapter.

pub mod engine;
pub mod http;
pub mod object;
pub mod rows;
pub mod table;
pub mod vms;
pub mod weight;

use futures_util::future::LocalBoxFuture;

pub use engine::{EngineOrder, LoadReport, TargetEngine};
pub use object::ObjectStore;
pub use rows::{
    ChangeOutcome, FeedRead, PartitionRow, PartitionStore, RowChange, RowVersion, RowsRead,
};
pub use table::{CommitOutcome, Expected, RowEntry, TableStore, TableWrite};
pub use vms::{VmEntry, VmList, VmState};
pub use weight::{WeightGrant, WeightStore};

/// Future of a platform call. It stays on the thread that made it, because `awc` clients do.
pub type PlatformFuture<'a, T> = LocalBoxFuture<'a, Result<T, StoreError>>;

/// Why a platform call failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The call certainly had no effect.
    #[error("the platform is not available: {0}")]
    Unavailable(String),
    /// The answer was lost: a write may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The answer could not be understood.
    #[error("the platform's answer is malformed: {0}")]
    Malformed(String),
}
