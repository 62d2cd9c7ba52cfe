//! Runs one VM: its services, its listeners and its graceful stop.

pub mod dump;
pub mod node;
pub mod problem_log;

mod events;
mod listeners;
mod services;
mod target_limits;

pub use listeners::NodeAddresses;
pub use node::{Node, StopReport};
