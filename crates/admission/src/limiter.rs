//! The interface between the gateway and the rate limits.

use futures_util::future::LocalBoxFuture;
use plantainmill_core::OrganisationId;
use std::time::Duration;

/// Decision about one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateVerdict {
    /// The request may run; one token was spent.
    Admitted,
    /// The organisation's rate and burst are used up.
    Refused {
        /// When a repeat has a chance.
        retry_after: Duration,
    },
}

/// Holds organisations to their rate and burst over all VMs together.
pub trait RateLimiter: Send + Sync {
    /// Decides about one request of `organisation`. It may wait briefly for tokens from another VM.
    fn admit(&self, organisation: &OrganisationId) -> LocalBoxFuture<'_, RateVerdict>;
    /// State for the dump.
    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value>;
}
