//! One VM: actors, listeners and graceful stop.

pub mod dump;
pub mod node;

mod events;
mod listeners;
mod parts;

pub use listeners::NodeAddresses;
pub use node::{Node, StopReport};
