//! Messages of the ticketed policy, exchanged between VMs on the mesh channel `Dispatch`.
//!
//! Names have one letter on the wire, because control traffic has a budget of 4 KB/s per VM.
//!
//! Every message may be lost, duplicated or late. Therefore requests and tickets carry ids, and tickets expire after a
//! duration that the holder counts on its own clock.

use crate::dispatcher::{CallOutcome, TrafficClass};
use bytes::Bytes;
use plantainmill_core::{OrganisationId, TargetId};
use plantainmill_mesh::{decode_body, encode_body};
use serde::{Deserialize, Serialize};

/// Identifies a request within the VM that received it from its caller.
pub type RequestId = u64;
/// Identifies a ticket. Owners count up from a hash of their own, so that two owners of one target issue different ids.
pub type TicketId = u64;

/// Load of a target, as its owner knows it. All fields count requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueLoad {
    /// Requests at the target: tickets of calls, and requests that no ticket of the owner covers.
    #[serde(rename = "u")]
    pub used: u32,
    /// Online requests that could be granted at once, by preemption of batch calls if necessary.
    #[serde(rename = "f")]
    pub free: u32,
    /// Online requests that could be granted at once without a preemption.
    #[serde(rename = "s")]
    pub spare: u32,
    /// Batch requests that could be granted at once.
    #[serde(rename = "i")]
    pub idle: u32,
    /// Online requests in the owner's queue.
    #[serde(rename = "q")]
    pub queued: u32,
}

/// A message about one target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DispatchMessage {
    /// Target whose queue or tickets the message is about.
    #[serde(rename = "t")]
    pub target: TargetId,
    /// Request, reply or notification.
    #[serde(rename = "b")]
    pub body: MessageBody,
}

/// Content of a message. `Ask`, `Cancel`, `Release` and `Renew` go to the owner of the target, the others come from it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MessageBody {
    /// Asks the owner for a ticket. A retry with the same id does not take a second ticket.
    #[serde(rename = "a")]
    Ask {
        /// Identifies the request at the sender.
        #[serde(rename = "r")]
        request: RequestId,
        /// Traffic class, which selects the queue.
        #[serde(rename = "c")]
        class: TrafficClass,
        /// Organisation that the request runs for; absent on open routes.
        #[serde(rename = "o")]
        organisation: Option<OrganisationId>,
        /// Longest useful wait, in milliseconds.
        #[serde(rename = "w")]
        wait_ms: u32,
        /// The owner may grant a ticket for another of its targets of the same service.
        #[serde(rename = "f")]
        flexible: bool,
    },
    /// Withdraws a request from the queue.
    #[serde(rename = "c")]
    Cancel {
        /// Identifies the request at the sender.
        #[serde(rename = "r")]
        request: RequestId,
    },
    /// Returns a ticket.
    #[serde(rename = "r")]
    Release {
        /// Ticket that is no longer used.
        #[serde(rename = "t")]
        ticket: TicketId,
        /// How its call ended.
        #[serde(rename = "x")]
        outcome: CallOutcome,
    },
    /// Renews tickets and queued requests. The owner adopts tickets of running calls that it does not know.
    #[serde(rename = "n")]
    Renew {
        /// Tickets of running calls.
        #[serde(rename = "u")]
        running: Vec<TicketId>,
        /// Standing tickets.
        #[serde(rename = "s")]
        standing: Vec<TicketId>,
        /// Requests that the sender believes to be queued.
        #[serde(rename = "q")]
        waiting: Vec<RequestId>,
        /// Outcomes of calls on standing tickets since the last renewal; a sample if there were many.
        #[serde(rename = "v")]
        observed: Vec<CallOutcome>,
    },
    /// Grants a ticket.
    #[serde(rename = "g")]
    Grant {
        /// Request that receives the ticket.
        #[serde(rename = "r")]
        request: RequestId,
        /// Id of the ticket, for its renewal and release.
        #[serde(rename = "t")]
        ticket: TicketId,
        /// Lifetime without renewal, in milliseconds.
        #[serde(rename = "d")]
        duration_ms: u32,
        /// The ticket may be kept as a standing ticket until it is recalled.
        #[serde(rename = "k")]
        keep: bool,
        /// Load of the target, with this ticket.
        #[serde(rename = "l")]
        load: QueueLoad,
    },
    /// The request is queued.
    #[serde(rename = "q")]
    Queued {
        /// Queued request.
        #[serde(rename = "r")]
        request: RequestId,
        /// Load of the target, with this request.
        #[serde(rename = "l")]
        load: QueueLoad,
    },
    /// The request is refused, or removed from the queue of a leaving target.
    #[serde(rename = "f")]
    Refuse {
        /// Refused request.
        #[serde(rename = "r")]
        request: RequestId,
        /// Delay after which a retry may succeed, in milliseconds.
        #[serde(rename = "a")]
        retry_after_ms: u32,
        /// The target receives no new requests.
        #[serde(rename = "e")]
        leaving: bool,
        /// Load of the target; zero when it is leaving or the receiver of the `Ask` is not its owner.
        #[serde(rename = "l")]
        load: QueueLoad,
    },
    /// Reply to `Renew`.
    #[serde(rename = "s")]
    State {
        /// Requests that are not in the queue; the VM has to ask for them again.
        #[serde(rename = "n")]
        unknown: Vec<RequestId>,
        /// Standing tickets that expired or were recalled; they may not be used.
        #[serde(rename = "p")]
        lapsed: Vec<TicketId>,
        /// The target receives no new requests.
        #[serde(rename = "e")]
        leaving: bool,
        /// Load of the target after the renewal.
        #[serde(rename = "l")]
        load: QueueLoad,
    },
    /// All standing tickets of the VM for the target have to be released.
    #[serde(rename = "l")]
    Recall {
        /// The target receives no new requests.
        #[serde(rename = "e")]
        leaving: bool,
    },
    /// The calls of these batch tickets have to end in favour of online requests.
    #[serde(rename = "p")]
    Preempt {
        /// Batch tickets that the receiver holds.
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
