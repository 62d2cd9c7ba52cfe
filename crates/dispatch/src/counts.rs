//! Counters of the ticketed policy.

use serde::Serialize;

/// Events since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct DispatchCounts {
    /// Requests for a ticket.
    pub requests: u64,
    /// Requests that got one, by any way.
    pub granted: u64,
    /// Requests that used a standing ticket.
    pub standing_used: u64,
    /// Requests sent without ticket because the owner was gone or silent.
    pub unticketed: u64,
    /// Requests refused because no target was available.
    pub refused_no_target: u64,
    /// Requests refused because the wait would have been, or was, too long.
    pub refused_queue: u64,
    /// Retries refused by the retry budget.
    pub refused_retry: u64,
    /// Requests whose deadline had passed.
    pub refused_deadline: u64,
    /// Batch requests of this VM that had to give way.
    pub preempted: u64,
    /// Targets ejected.
    pub ejected: u64,
    /// Targets that came back after an ejection.
    pub returned: u64,
    /// Owners that stopped answering.
    pub owners_silent: u64,
    /// Requests sent over the link between regions.
    pub link_requests: u64,
    /// Bytes of request bodies sent over the link between regions.
    pub link_bytes: u64,
    /// Messages sent to other VMs.
    pub messages_sent: u64,
    /// Messages received from other VMs.
    pub messages_received: u64,
    /// Frames that could not be decoded.
    pub frames_malformed: u64,
    /// Load reports that could not be read.
    pub reports_failed: u64,
}
