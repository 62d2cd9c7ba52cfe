//! Tests of the batch slice, one file per feature.

mod http;
mod jobs;
mod support;
