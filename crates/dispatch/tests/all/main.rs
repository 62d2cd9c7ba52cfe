//! Integration tests of dispatch, one module per feature.

mod baseline;
mod ejection;
mod fairness;
mod faults;
mod harness;
mod leaving;
mod placement;
mod preemption;
mod retries;
mod service;
mod shared_ledger;
mod support;
mod tickets;
mod window;
