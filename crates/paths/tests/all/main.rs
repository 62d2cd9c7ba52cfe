//! Tests of the paths to targets.

mod forwarder_choice;
mod large_fleet;
mod lost_paths;
mod support;
