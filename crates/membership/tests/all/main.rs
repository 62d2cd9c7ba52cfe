//! Failure tests of the member table.

mod budget;
mod common;
mod listing;
mod partition;
mod probes;
