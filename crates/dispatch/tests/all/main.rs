//! Failure tests of dispatch, one module per feature.

mod baseline;
mod harness;
mod support;
mod tickets;
