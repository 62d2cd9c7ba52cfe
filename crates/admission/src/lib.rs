//! Caller keys and rates over all VMs.

pub mod limiter;

pub use limiter::{RateLimiter, RateVerdict};
