//! Tests of the batch service, one file per feature.

mod cancel;
mod faults;
mod holders;
mod http;
mod items;
mod jobs;
mod order;
mod search;
mod support;
