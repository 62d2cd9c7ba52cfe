//! Interfaces to the platform and their HTTP clients.
//!
//! Other crates use only the traits, so that another wire format needs nothing but new implementations of them.

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

/// Future of a platform call. It is not `Send`, because `awc` clients are not.
pub type PlatformFuture<'a, T> = LocalBoxFuture<'a, Result<T, StoreError>>;

/// Why a platform call failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The platform could not be reached or refused the call, which had no effect.
    #[error("the platform is not available: {0}")]
    Unavailable(String),
    /// The outcome is unknown, for example after a lost response: a write may have taken effect.
    #[error("the platform's answer was lost: {0}")]
    Unknown(String),
    /// The response could not be decoded.
    #[error("the platform's answer is malformed: {0}")]
    Malformed(String),
}
