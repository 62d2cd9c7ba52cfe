//! Admission control: authentication of caller keys, and rate limits that hold over all VMs of the fleet.

pub mod address;
pub mod baseline;
pub mod borrower;
pub mod bucket;
pub mod exchange;
pub mod key;
pub mod lease;
pub mod lender;
pub mod limiter;
pub mod message;
pub mod output;
pub mod pools;
pub mod rows;
pub mod schedule;
pub mod service;
pub mod shared;
pub mod slots;
pub mod split;
pub mod state;
pub mod witness;

pub use address::AddressLimiter;
pub use baseline::EvenSplitLimiter;
pub use key::{KeyAuthenticator, KeyOwner};
pub use limiter::{RateLimiter, RateVerdict};
pub use pools::PoolBook;
pub use service::{RateParts, RateService, SlotLimiter};
pub use shared::{UsageEntry, UsageLedger, UsageRecorder, UsageSource};
pub use state::{RateCounts, RateSettings, RateState};
