//! Fleet-wide rate limits based on usage reports that the VMs exchange.
//!
//! Every VM models one fleet-wide token bucket per organisation and subtracts what its peers report as admitted.
//! While the bucket is well filled, VMs admit freely. When it runs low, each VM is held to its share of the rate, in
//! proportion to its demand, so that admissions that have not been reported yet cannot exceed the limit. The share of
//! peers that stopped reporting stays reserved for them.

mod ledger;
mod limiter;

pub use ledger::{RateLimit, UsageEntry, UsageLedger, UsageSource};
pub use limiter::SharedLimiter;
