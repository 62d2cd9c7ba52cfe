//! Tests of one VM.

mod edge_settings;
mod vm_roster;
