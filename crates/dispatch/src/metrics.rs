//! Export of the event counters as metrics.

use crate::counts::DispatchCounts;
use crate::handle::DispatchHandle;
use opentelemetry::metrics::Meter;

/// Name, description and value of a counter.
type CounterRow = (&'static str, &'static str, fn(&DispatchCounts) -> u64);

const COUNTERS: &[CounterRow] = &[
    ("dispatch_requests", "Requests for a ticket", |counts| {
        counts.requests
    }),
    ("dispatch_granted", "Requests that got a ticket", |counts| {
        counts.granted
    }),
    (
        "dispatch_standing_used",
        "Requests that used a standing ticket",
        |counts| counts.standing_used,
    ),
    (
        "dispatch_unticketed",
        "Requests sent without an owner",
        |counts| counts.unticketed,
    ),
    (
        "dispatch_refused_no_target",
        "Requests refused for want of a target",
        |counts| counts.refused_no_target,
    ),
    (
        "dispatch_refused_queue",
        "Requests refused because of the wait",
        |counts| counts.refused_queue,
    ),
    (
        "dispatch_refused_retry",
        "Retries refused by the budget",
        |counts| counts.refused_retry,
    ),
    (
        "dispatch_refused_deadline",
        "Requests whose deadline had passed",
        |counts| counts.refused_deadline,
    ),
    (
        "dispatch_preempted",
        "Batch requests that gave way",
        |counts| counts.preempted,
    ),
    ("dispatch_ejected", "Targets ejected", |counts| {
        counts.ejected
    }),
    ("dispatch_returned", "Targets that came back", |counts| {
        counts.returned
    }),
    (
        "dispatch_owners_silent",
        "Owners that stopped answering",
        |counts| counts.owners_silent,
    ),
    (
        "dispatch_link_requests",
        "Requests over the link",
        |counts| counts.link_requests,
    ),
    (
        "dispatch_link_bytes",
        "Body bytes over the link",
        |counts| counts.link_bytes,
    ),
    (
        "dispatch_messages_sent",
        "Messages to other VMs",
        |counts| counts.messages_sent,
    ),
    (
        "dispatch_messages_received",
        "Messages from other VMs",
        |counts| counts.messages_received,
    ),
    (
        "dispatch_frames_malformed",
        "Frames that could not be decoded",
        |counts| counts.frames_malformed,
    ),
    (
        "dispatch_reports_failed",
        "Load reports that could not be read",
        |counts| counts.reports_failed,
    ),
];

/// Registers the counters. Their values are read from the state machine when metrics are collected.
pub(crate) fn register_metrics(meter: &Meter, handle: &DispatchHandle) {
    for (name, description, value) in COUNTERS {
        let handle = handle.clone();
        let builder = meter.u64_observable_counter(*name);
        let builder = builder.with_description(*description);
        builder
            .with_callback(move |observer| observer.observe(value(&handle.counts()), &[]))
            .build();
    }
}
