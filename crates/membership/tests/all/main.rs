//! Failure tests of the member table.

mod common;
mod listing;
mod partition;
mod probes;
