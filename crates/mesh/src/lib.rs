//! Authenticated messages between VMs.
//!
//! Each slice of the system owns one [`Channel`] and its message type. It sends with [`SendFrame`] and gets
//! [`FrameReceived`] after registering with [`RegisterChannel`]. Delivery is at most once and unordered across
//! reconnects: every slice has to tolerate lost, repeated and late messages.

pub mod codec;
pub mod counters;
pub mod frame;
pub mod guard;
mod inbound;
pub mod message;
mod outbound;
pub mod service;

pub use codec::{decode_body, encode_body};
pub use counters::{DropReason, MeshCounters, MeshTotals};
pub use frame::{FleetSecret, FrameError, MeshFrame};
pub use guard::FrameGuard;
pub use message::{Channel, FrameReceived, MeshPeer, RegisterChannel, SendFrame, UpdatePeers};
pub use service::{
    DumpMesh, IDLE_LIMIT, MeshOptions, MeshReport, MeshService, StopMesh, UpdateSecret, start,
};
