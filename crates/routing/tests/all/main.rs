//! Tests of routes, documents and targets.

mod document_view;
mod evacuations;
mod region_rules;
mod registry_follower;
mod route_choice;
mod stream_versions;
mod target_history;
mod target_registry;
