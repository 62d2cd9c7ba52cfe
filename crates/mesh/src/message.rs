//! Messages between the mesh and the other slices.

use actix::prelude::*;
use bytes::Bytes;
use plantainmill_core::{DomainName, Incarnation, RegionName, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Which slice a frame belongs to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Channel {
    /// Rates, slots and loans.
    Admission,
    /// Batch jobs: cancel and new-work notices.
    Batch,
    /// Configuration deltas and versions.
    Config,
    /// Tickets of the per-target queues.
    Dispatch,
    /// Probes and digests.
    Membership,
}

/// Address and place of another VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeshPeer {
    /// Identifier.
    pub id: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Address of the mesh listener.
    pub address: SocketAddr,
}

/// Sends `body` to `to`. It is dropped when the peer is unknown, unreachable, or its queue is full.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SendFrame {
    /// Receiver.
    pub to: VmId,
    /// Slice.
    pub channel: Channel,
    /// CBOR of the slice's message type.
    pub body: Bytes,
}

/// A frame that passed authentication.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct FrameReceived {
    /// Sender.
    pub from: VmId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// CBOR of the slice's message type. The slice decodes it and counts what it cannot decode.
    pub body: Bytes,
}

/// Routes the frames of `channel` to `recipient`.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RegisterChannel {
    /// Slice.
    pub channel: Channel,
    /// Its actor.
    pub recipient: Recipient<FrameReceived>,
}

/// Replaces the set of peers that frames may be sent to.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct UpdatePeers {
    /// All known peers, without this VM.
    pub peers: Vec<MeshPeer>,
}
