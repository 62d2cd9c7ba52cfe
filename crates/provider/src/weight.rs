//! The platform's rate-limited store of model weights.

use crate::PlatformFuture;
use std::time::Duration;

/// Response to a request to load weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WeightGrant {
    /// The load may start.
    Granted,
    /// The store's rate limit is reached; retry after this time.
    Wait(Duration),
}

/// Client of the weight store.
pub trait WeightStore: Send + Sync {
    /// Requests permission to load the weights of `model`.
    fn request(&self, model: &str) -> PlatformFuture<'_, WeightGrant>;
}
