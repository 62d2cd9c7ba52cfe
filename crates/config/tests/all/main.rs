//! Failure tests of the configuration.

mod common;
mod fleet_file;
mod pieces;
mod queue;
mod replica;
mod service;
mod store;
mod validation;
