//! Tests of routes, documents and targets.

mod document_view;
mod region_rules;
mod route_choice;
mod stream_versions;
mod target_registry;
