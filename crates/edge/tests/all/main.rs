//! Tests of the settings, the peer directory and the report relay of a VM.

mod edge_settings;
mod former_release;
mod peer_directory;
mod pool_peers;
mod read_turns;
mod relay_fleet;
mod report_relay;
mod stated_batch;
mod support;
mod target_lists;
