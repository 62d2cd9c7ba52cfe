//! Rate limiter interface that the gateway calls.

use futures_util::future::LocalBoxFuture;
use plantainmill_core::OrganisationId;
use std::time::Duration;

/// Outcome of the rate check for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateVerdict {
    /// The request may run; one token was spent.
    Admitted,
    /// The organisation has exhausted its rate and burst.
    Refused {
        /// Time after which a retry may be admitted.
        retry_after: Duration,
    },
}

/// Enforces the rate and burst of each organisation over all VMs together.
pub trait RateLimiter: Send + Sync {
    /// Checks one request of `organisation`. The future may wait briefly for tokens from another VM.
    fn admit(&self, organisation: &OrganisationId) -> LocalBoxFuture<'_, RateVerdict>;
    /// Internal state as JSON, for the diagnostic dump.
    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value>;
}
