//! Actor messages between the mesh and the subsystems that use it.

use actix::prelude::*;
use bytes::Bytes;
use plantainmill_core::{DomainName, Incarnation, RegionName, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Subsystem that a frame belongs to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Channel {
    /// Admission control: rates, slots and loans.
    Admission,
    /// Batch jobs: notices of cancellations and new work.
    Batch,
    /// Configuration: deltas and versions.
    Config,
    /// Dispatch: tickets of the per-target queues.
    Dispatch,
    /// Limits that targets name.
    Limits,
    /// Membership: probes and digests.
    Membership,
    /// Quarantine: prompt parts under which targets were lost.
    Quarantine,
}

/// Address and location of a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeshPeer {
    /// Identifier, unique in the fleet. A replacement VM may reuse it with a later incarnation.
    pub id: VmId,
    /// Failure domain that the VM runs in.
    pub domain: DomainName,
    /// Region that contains the failure domain.
    pub region: RegionName,
    /// Address that the mesh of the VM listens on.
    pub address: SocketAddr,
}

/// Sends `body` to `to`. The frame is dropped and counted if it is too long, or if the peer is unknown or unreachable
/// or its queue is full.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SendFrame {
    /// VM to send to; must be in the current peer set.
    pub to: VmId,
    /// Subsystem that receives the frame.
    pub channel: Channel,
    /// CBOR encoding of the subsystem's message.
    pub body: Bytes,
}

/// A received frame that passed authentication and replay checks.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct FrameReceived {
    /// VM that sent the frame.
    pub from: VmId,
    /// Incarnation of the sender, not earlier than the latest one known.
    pub incarnation: Incarnation,
    /// CBOR encoding of the subsystem's message. The recipient decodes it and counts decoding failures.
    pub body: Bytes,
}

/// Routes the frames of `channel` to `recipient`, replacing an earlier registration.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RegisterChannel {
    /// Channel to route.
    pub channel: Channel,
    /// Actor that receives the frames. Frames are dropped while its mailbox is full.
    pub recipient: Recipient<FrameReceived>,
}

/// Replaces the set of peers that frames may be sent to and drops the queues to all others.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct UpdatePeers {
    /// All known peers. An entry for this VM is ignored.
    pub peers: Vec<MeshPeer>,
}
