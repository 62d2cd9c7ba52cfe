//! The platform's rate-limited weight store.

use crate::PlatformFuture;
use std::time::Duration;

/// Answer to a request to load weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WeightGrant {
    /// The load may start.
    Granted,
    /// The store's rate is used up.
    Wait(Duration),
}

/// The weight store.
pub trait WeightStore: Send + Sync {
    /// Asks for leave to load the weights of `model`.
    fn request(&self, model: &str) -> PlatformFuture<'_, WeightGrant>;
}
