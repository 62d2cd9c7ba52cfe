//! A whole fleet on loopback in one process: platform, engines and VMs.
//!
//! `plantainmill dev` runs it, and the tests of the whole path use it.

pub mod client;
pub mod fleet;
pub mod options;

mod seed;
mod targets;

pub use client::{HttpAnswer, OperatorClient};
pub use fleet::DevFleet;
pub use options::{DevOptions, DevReady};
