//! Authenticated messages between VMs.
//!
//! Each slice of the system owns one [`Channel`] and its message type. It sends with [`SendFrame`] and gets
//! [`FrameReceived`] after registering with [`RegisterChannel`]. Delivery is at most once and unordered across
//! reconnects: every slice has to tolerate lost, repeated and late messages.

pub mod frame;
pub mod message;

pub use frame::{FleetSecret, FrameError, MeshFrame};
pub use message::{Channel, FrameReceived, MeshPeer, RegisterChannel, SendFrame, UpdatePeers};
