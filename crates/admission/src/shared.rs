//! Rates over all VMs by reports of what each VM admitted.
//!
//! Every VM keeps one bucket per organisation for the whole fleet and takes from it what its peers report. While the
//! bucket is well filled, VMs admit freely. Near its end each VM keeps to its part of the rate, by demand, so that
//! requests which no report has shown yet cannot pass the limit. The part of peers that fell silent is left to them.

mod ledger;
mod limiter;

pub use ledger::{RateLimit, UsageEntry, UsageLedger, UsageSource};
pub use limiter::SharedLimiter;
