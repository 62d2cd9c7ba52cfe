//! Tests of routes, documents and targets.

mod document_view;
mod evacuations;
mod route_choice;
mod stream_versions;
mod target_registry;
