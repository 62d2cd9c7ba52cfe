//! Border types, generated from `schemas/` by `scripts/generate-types`.

pub mod admin;
pub mod openai;
pub mod platform;
