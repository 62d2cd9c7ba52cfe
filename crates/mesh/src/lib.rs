//! Authenticated messages between VMs.
//!
//! Each subsystem owns one [`Channel`] and its message type. It sends with [`SendFrame`] and receives
//! [`FrameReceived`] after registering with [`RegisterChannel`]. Frames may be lost, duplicated or delayed, and are
//! unordered across reconnects: every subsystem has to tolerate that.

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
