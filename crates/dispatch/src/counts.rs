//! Event counters of the ticketed policy.

use serde::Serialize;

/// Numbers of events since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct DispatchCounts {
    /// Requests for a ticket, whatever their outcome.
    pub requests: u64,
    /// Requests that were let through to a target, with or without a ticket.
    pub granted: u64,
    /// Granted requests that reused a standing ticket and needed no message to the owner.
    pub standing_used: u64,
    /// Granted requests without a ticket, because the target had no owner or its owner did not respond.
    pub unticketed: u64,
    /// Requests refused because no target was available.
    pub refused_no_target: u64,
    /// Requests refused with `queue_full`: a queue was full, the expected or actual wait was too long, or the retry
    /// budget was exhausted.
    pub refused_queue: u64,
    /// Retries refused by the retry budget. They count in `refused_queue` as well.
    pub refused_retry: u64,
    /// Requests refused because their deadline had passed.
    pub refused_deadline: u64,
    /// Preemptions of batch calls of this VM. A repeated preemption of the same call counts again.
    pub preempted: u64,
    /// Ejections of targets after failures.
    pub ejected: u64,
    /// Ejections that ended with a successful call.
    pub returned: u64,
    /// Times at which an owner was found to be unresponsive.
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
