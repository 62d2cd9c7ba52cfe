//! States how responses to callers end: a log line for each, and a counter for those that end early.

use super::call::RelayCall;
use super::exchange::SendFailure;
use super::progress::CallProgress;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use plantainmill_core::{Problem, ResultCode, TargetId};
use plantainmill_dispatch::CallOutcome;
use std::cell::Cell;
use std::time::Duration;

/// Who ended a response before its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CutParty {
    /// The caller closed its connection.
    Caller,
    /// The time of the request passed.
    Deadline,
    /// The target closed its connection, or sent what is no continuation of the stream.
    Target,
    /// This VM.
    Vm,
}

impl CutParty {
    fn name(self) -> &'static str {
        match self {
            CutParty::Caller => "caller",
            CutParty::Deadline => "deadline",
            CutParty::Target => "target",
            CutParty::Vm => "vm",
        }
    }
}

/// Why a response ended early, and who ended it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct CutCause {
    pub party: CutParty,
    pub name: &'static str,
}

impl CutCause {
    const fn new(party: CutParty, name: &'static str) -> CutCause {
        CutCause { party, name }
    }

    /// The cause of a response that ends because no slot was given to its continuation.
    pub fn of_refusal(code: ResultCode) -> CutCause {
        CutCause::new(CutParty::Vm, code.name())
    }
}

impl From<&SendFailure> for CutCause {
    fn from(failure: &SendFailure) -> CutCause {
        if failure.is_deadline {
            return CutCause::new(CutParty::Deadline, "deadline_passed");
        }
        match failure.outcome {
            CallOutcome::ConnectionLost | CallOutcome::StreamLost => {
                CutCause::new(CutParty::Target, "connection_lost")
            }
            CallOutcome::Rejected => CutCause::new(CutParty::Target, "rejected"),
            _ if failure.is_silent => CutCause::new(CutParty::Vm, "target_silent"),
            _ if !failure.was_connected => CutCause::new(CutParty::Vm, "target_unreachable"),
            _ => CutCause::new(CutParty::Target, "answer_invalid"),
        }
    }
}

/// A call that ends without a response to pass on.
#[derive(Clone, Debug)]
pub(super) struct CallFailure {
    pub problem: Problem,
    pub cause: CutCause,
}

/// The last response of a call, as its line names it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseState<'a> {
    pub target: Option<&'a TargetId>,
    pub version: Option<&'a str>,
    pub status: u16,
    pub last_event: Option<u64>,
    /// Time since the last event.
    pub silence: Option<Duration>,
}

/// Counts responses that end early, by cause and by who ended them, and those that are not valid.
pub(super) struct ResponseMeters {
    cuts: Option<Counter<u64>>,
    invalid: Option<Counter<u64>>,
    region_refusals: Option<Counter<u64>>,
    /// The VM closes all connections because it stops.
    is_closing: Cell<bool>,
}

impl ResponseMeters {
    pub fn disabled() -> ResponseMeters {
        ResponseMeters {
            cuts: None,
            invalid: None,
            region_refusals: None,
            is_closing: Cell::new(false),
        }
    }

    /// Registers the counters under names that begin with `prefix`.
    pub fn new(meter: &Meter, prefix: &str) -> ResponseMeters {
        let counter = meter.u64_counter(format!("{prefix}responses_cut"));
        let counter = counter.with_description("Responses that ended early, by cause");
        let invalid = meter.u64_counter(format!("{prefix}responses_invalid"));
        let invalid = invalid.with_description(
            "Responses of targets with an undefined status, or with bytes that belong to no event or to a wrong one",
        );
        let refusals = meter.u64_counter(format!("{prefix}region_refusals"));
        let refusals = refusals.with_description(
            "Requests without a target, and sends that were not made, because of their regions",
        );
        ResponseMeters {
            cuts: Some(counter.build()),
            invalid: Some(invalid.build()),
            region_refusals: Some(refusals.build()),
            is_closing: Cell::new(false),
        }
    }

    /// Counts a response of a target that is not valid.
    pub fn count_invalid(&self) {
        if let Some(invalid) = &self.invalid {
            invalid.add(1, &[]);
        }
    }

    /// Counts that the regions of a request left no target, or kept it from being sent.
    pub fn count_region_refusal(&self, by: &'static str) {
        if let Some(refusals) = &self.region_refusals {
            refusals.add(1, &[KeyValue::new("by", by)]);
        }
    }

    pub fn set_closing(&self) {
        self.is_closing.set(true);
    }

    /// Logs and counts a response of which the caller has the head, but not all of the body.
    pub fn record_cut(
        &self,
        progress: &CallProgress,
        state: ResponseState<'_>,
        cause: CutCause,
        reason: &str,
    ) {
        let call = &progress.call;
        if let Some(cuts) = &self.cuts {
            let labels = [
                KeyValue::new("ended_by", cause.party.name()),
                KeyValue::new("cause", cause.name),
            ];
            cuts.add(1, &labels);
        }
        tracing::info!(
            event = "response_cut",
            request = %call.id,
            organisation = call.organisation.as_deref(),
            service = %call.service,
            target = state.target.map(TargetId::as_str),
            version = state.version,
            resumed_after = call.last_event,
            status = state.status,
            ended_by = cause.party.name(),
            cause = cause.name,
            sends = progress.sends,
            executions = progress.executions,
            last_event = state.last_event,
            silent_ms = state.silence.map(|silence| silence.as_millis()),
            elapsed_ms = progress.begun_at.elapsed().as_millis(),
            reason,
        );
    }

    /// Records a response that is dropped before its end, because the connection to the caller is closed.
    pub fn record_drop(&self, progress: &CallProgress, state: ResponseState<'_>) {
        if self.is_closing.get() {
            let cause = CutCause::new(CutParty::Vm, "stopped");
            self.record_cut(progress, state, cause, "this VM stops");
        } else {
            let cause = CutCause::new(CutParty::Caller, "caller_left");
            self.record_cut(progress, state, cause, "the caller closed its connection");
        }
    }
}

/// Logs a request whose response was relayed completely.
pub(super) fn log_completed(
    progress: &CallProgress,
    state: ResponseState<'_>,
    first_byte: Duration,
) {
    let call: &RelayCall = &progress.call;
    tracing::info!(
        event = "request_relayed",
        request = %call.id,
        organisation = call.organisation.as_deref(),
        service = %call.service,
        target = state.target.map(TargetId::as_str),
        version = state.version,
        resumed_after = call.last_event,
        status = state.status,
        sends = progress.sends,
        first_ms = first_byte.as_millis(),
        last_event = state.last_event,
    );
}
