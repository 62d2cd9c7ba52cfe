//! Tests of the settings and the peer directory of a VM.

mod edge_settings;
mod peer_directory;
