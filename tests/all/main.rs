//! End-to-end tests over loopback, with ports assigned by the operating system.

mod support;

mod batch_jobs;
mod command_line;
mod config_changes;
mod graceful_stop;
mod online_calls;
mod rate_limits;
mod short_soak;
mod vm_loss;
