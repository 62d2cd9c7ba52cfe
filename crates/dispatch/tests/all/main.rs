//! Integration tests of dispatch, one module per feature.

mod allowed_regions;
mod batch_waits;
mod cold_targets;
mod ejection;
mod fairness;
mod faults;
mod harness;
mod leaving;
mod leaving_responses;
mod local_policy;
mod part_quarantine;
mod placement;
mod preemption;
mod quarantine_fleet;
mod request_quarantine;
mod retries;
mod service;
mod shared_ledger;
mod stated_load;
mod support;
mod target_changes;
mod target_limits;
mod tickets;
mod unshared_limits;
mod window;
