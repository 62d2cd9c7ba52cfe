//! Messages between VMs on the mesh channel `Dispatch`.
//!
//! Every message may be lost, repeated or late: requests and tickets carry ids, and tickets expire by duration.

use crate::dispatcher::{CallOutcome, TrafficClass};
use bytes::Bytes;
use plantainmill_core::{OrganisationId, TargetId};
use serde::{Deserialize, Serialize};

/// Identifies a request within the VM that took it in.
pub type RequestId = u64;
/// Identifies a ticket; drawn by the owner so that two owners of one target do not draw the same.
pub type TicketId = u64;

/// Load of a target as its owner knows it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueLoad {
    /// Tickets out.
    pub used: u32,
    /// Online requests that could be granted at once, by preempting batch work if need be.
    pub free: u32,
    /// Batch requests that could be granted at once.
    pub idle: u32,
    /// Online requests that wait.
    pub queued: u32,
}

/// One message about one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DispatchMessage {
    /// Target.
    pub target: TargetId,
    /// Content.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MessageBody {
    /// Asks the owner for a ticket. A repeat with the same id keeps its place.
    Ask {
        /// Request.
        request: RequestId,
        /// Class.
        class: TrafficClass,
        /// Organisation it runs for.
        organisation: Option<OrganisationId>,
        /// Longest useful wait in milliseconds.
        wait_ms: u32,
    },
    /// Withdraws a request.
    Cancel {
        /// Request.
        request: RequestId,
    },
    /// Gives a ticket back.
    Release {
        /// Ticket.
        ticket: TicketId,
        /// How its call ended.
        outcome: CallOutcome,
    },
    /// Keeps tickets and waiting requests alive. Running tickets that the owner does not know are adopted.
    Renew {
        /// Tickets of running calls.
        running: Vec<TicketId>,
        /// Standing tickets.
        standing: Vec<TicketId>,
        /// Waiting requests.
        waiting: Vec<RequestId>,
        /// A sample of the outcomes since the last message.
        observed: Vec<CallOutcome>,
    },
    /// Grants a ticket.
    Grant {
        /// Request that asked for it.
        request: RequestId,
        /// Ticket.
        ticket: TicketId,
        /// How long it lasts without renewal, in milliseconds.
        duration_ms: u32,
        /// It may be kept and used again until it is recalled.
        keep: bool,
        /// Load of the target.
        load: QueueLoad,
    },
    /// The request waits.
    Queued {
        /// Request.
        request: RequestId,
        /// Load of the target.
        load: QueueLoad,
    },
    /// The request is refused.
    Refuse {
        /// Request.
        request: RequestId,
        /// When a repeat has a chance, in milliseconds.
        retry_after_ms: u32,
        /// The target gets no new work.
        leaving: bool,
        /// Load of the target.
        load: QueueLoad,
    },
    /// Answers `Renew`.
    State {
        /// Waiting requests that the owner does not know; they have to be asked again.
        unknown: Vec<RequestId>,
        /// Standing tickets that the owner does not know; they may not be used.
        lapsed: Vec<TicketId>,
        /// The target gets no new work.
        leaving: bool,
        /// Load of the target.
        load: QueueLoad,
    },
    /// Standing tickets have to come back.
    Recall {
        /// The target gets no new work.
        leaving: bool,
    },
    /// The calls of these batch tickets have to give way.
    Preempt {
        /// Tickets.
        tickets: Vec<TicketId>,
    },
}

/// Encodes the messages of one frame.
#[must_use]
pub fn encode(messages: &[DispatchMessage]) -> Bytes {
    let mut content = Vec::with_capacity(messages.len() * 96);
    // Writing to a vector cannot fail, and the messages hold no type that CBOR lacks.
    if ciborium::into_writer(messages, &mut content).is_err() {
        content.clear();
    }
    Bytes::from(content)
}

/// Decodes the messages of one frame; `None` when it is malformed.
#[must_use]
pub fn decode(content: &[u8]) -> Option<Vec<DispatchMessage>> {
    ciborium::from_reader(content).ok()
}
