//! Tests of the configuration under faults of the stores and the network.

mod common;
mod fleet_file;
mod network;
mod pieces;
mod replica;
mod service;
mod store;
mod validation;
