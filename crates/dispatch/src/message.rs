//! Messages between VMs on the mesh channel `Dispatch`.
//!
//! Names are one letter on the wire, because control traffic has a budget of 4 KB/s per VM.
//!
//! Every message may be lost, repeated or late: requests and tickets carry ids, and tickets expire by duration.

use crate::dispatcher::{CallOutcome, TrafficClass};
use bytes::Bytes;
use plantainmill_core::{OrganisationId, TargetId};
use plantainmill_mesh::{decode_body, encode_body};
use serde::{Deserialize, Serialize};

/// Identifies a request within the VM that took it in.
pub type RequestId = u64;
/// Identifies a ticket; drawn by the owner so that two owners of one target do not draw the same.
pub type TicketId = u64;

/// Load of a target as its owner knows it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueLoad {
    /// Tickets out.
    #[serde(rename = "u")]
    pub used: u32,
    /// Online requests that could be granted at once, by preempting batch work if need be.
    #[serde(rename = "f")]
    pub free: u32,
    /// Slots that no request uses.
    #[serde(rename = "s")]
    pub spare: u32,
    /// Batch requests that could be granted at once.
    #[serde(rename = "i")]
    pub idle: u32,
    /// Online requests that wait.
    #[serde(rename = "q")]
    pub queued: u32,
}

/// One message about one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DispatchMessage {
    /// Target.
    #[serde(rename = "t")]
    pub target: TargetId,
    /// Content.
    #[serde(rename = "b")]
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MessageBody {
    /// Asks the owner for a ticket. A repeat with the same id keeps its place.
    #[serde(rename = "a")]
    Ask {
        /// Request.
        #[serde(rename = "r")]
        request: RequestId,
        /// Class.
        #[serde(rename = "c")]
        class: TrafficClass,
        /// Organisation it runs for.
        #[serde(rename = "o")]
        organisation: Option<OrganisationId>,
        /// Longest useful wait in milliseconds.
        #[serde(rename = "w")]
        wait_ms: u32,
        /// The owner may grant another of its targets of the same service.
        #[serde(rename = "f")]
        flexible: bool,
    },
    /// Withdraws a request.
    #[serde(rename = "c")]
    Cancel {
        /// Request.
        #[serde(rename = "r")]
        request: RequestId,
    },
    /// Gives a ticket back.
    #[serde(rename = "r")]
    Release {
        /// Ticket.
        #[serde(rename = "t")]
        ticket: TicketId,
        /// How its call ended.
        #[serde(rename = "x")]
        outcome: CallOutcome,
    },
    /// Keeps tickets and waiting requests alive. Running tickets that the owner does not know are adopted.
    #[serde(rename = "n")]
    Renew {
        /// Tickets of running calls.
        #[serde(rename = "u")]
        running: Vec<TicketId>,
        /// Standing tickets.
        #[serde(rename = "s")]
        standing: Vec<TicketId>,
        /// Waiting requests.
        #[serde(rename = "q")]
        waiting: Vec<RequestId>,
        /// A sample of the outcomes since the last message.
        #[serde(rename = "v")]
        observed: Vec<CallOutcome>,
    },
    /// Grants a ticket.
    #[serde(rename = "g")]
    Grant {
        /// Request that asked for it.
        #[serde(rename = "r")]
        request: RequestId,
        /// Ticket.
        #[serde(rename = "t")]
        ticket: TicketId,
        /// How long it lasts without renewal, in milliseconds.
        #[serde(rename = "d")]
        duration_ms: u32,
        /// It may be kept and used again until it is recalled.
        #[serde(rename = "k")]
        keep: bool,
        /// Load of the target.
        #[serde(rename = "l")]
        load: QueueLoad,
    },
    /// The request waits.
    #[serde(rename = "q")]
    Queued {
        /// Request.
        #[serde(rename = "r")]
        request: RequestId,
        /// Load of the target.
        #[serde(rename = "l")]
        load: QueueLoad,
    },
    /// The request is refused.
    #[serde(rename = "f")]
    Refuse {
        /// Request.
        #[serde(rename = "r")]
        request: RequestId,
        /// When a repeat has a chance, in milliseconds.
        #[serde(rename = "a")]
        retry_after_ms: u32,
        /// The target gets no new work.
        #[serde(rename = "e")]
        leaving: bool,
        /// Load of the target.
        #[serde(rename = "l")]
        load: QueueLoad,
    },
    /// Answers `Renew`.
    #[serde(rename = "s")]
    State {
        /// Waiting requests that the owner does not know; they have to be asked again.
        #[serde(rename = "n")]
        unknown: Vec<RequestId>,
        /// Standing tickets that the owner does not know; they may not be used.
        #[serde(rename = "p")]
        lapsed: Vec<TicketId>,
        /// The target gets no new work.
        #[serde(rename = "e")]
        leaving: bool,
        /// Load of the target.
        #[serde(rename = "l")]
        load: QueueLoad,
    },
    /// Standing tickets have to come back.
    #[serde(rename = "l")]
    Recall {
        /// The target gets no new work.
        #[serde(rename = "e")]
        leaving: bool,
    },
    /// The calls of these batch tickets have to give way.
    #[serde(rename = "p")]
    Preempt {
        /// Tickets.
        #[serde(rename = "i")]
        tickets: Vec<TicketId>,
    },
}

/// Encodes the messages of one frame.
#[must_use]
pub fn encode(messages: &[DispatchMessage]) -> Bytes {
    encode_body(messages)
}

/// Decodes the messages of one frame; `None` when it is malformed.
#[must_use]
pub fn decode(content: &[u8]) -> Option<Vec<DispatchMessage>> {
    decode_body(content)
}
