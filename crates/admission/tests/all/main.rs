//! Tests of caller keys and rate limits: one file per feature, in virtual time and with fixed seeds.

mod address;
mod bound;
mod failures;
mod fleet;
mod interleavings;
mod keys;
mod lease;
mod loans;
mod pool_domains;
mod pool_faults;
mod pool_fleet;
mod refusal_tally;
mod service;
mod shared_usage;
mod token_pools;
