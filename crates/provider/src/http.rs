//! HTTP clients for the platform, with the wire format of `schemas/platform.json`.

mod client;
mod content;
mod engine;
mod objects;
mod tables;

pub use client::{ClientSettings, classify_send_error};
pub use content::{ContentError, ContentLimits, read_content};
pub use engine::HttpEngine;
pub use objects::HttpObjects;
pub use tables::HttpPlatform;
