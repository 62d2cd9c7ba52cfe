//! What is known of a call while it is relayed.

use super::call::{RelayCall, RelayLimits};
use super::ending::{CallFailure, CutCause, ResponseState};
use super::events::EventSplitter;
use super::exchange::{SendFailure, TargetResponse};
use bytes::{Bytes, BytesMut};
use plantainmill_core::{Executed, PartList, Problem, ResultCode, TargetId};
use plantainmill_dispatch::TargetTicket;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Retry-After of a request that failed at its targets or found no free target in time.
pub(super) const RELAY_RETRY_AFTER: Duration = Duration::from_millis(400);

/// A call and the results of its sends so far.
pub(super) struct CallProgress {
    pub call: Rc<RelayCall>,
    /// Targets that failed the call.
    pub excluded: Vec<TargetId>,
    /// Number of targets that may have executed the request.
    pub executions: u32,
    /// Number of sends so far, including those that targets refused.
    pub sends: u32,
    /// Whether any target has executed the request, as far as is known.
    pub executed: Executed,
    /// A response has begun, so that further ones continue it.
    pub has_begun: bool,
    pub begun_at: Instant,
    /// When the first send began.
    pub first_sent_at: Option<Instant>,
}

impl CallProgress {
    pub fn new(call: RelayCall) -> CallProgress {
        CallProgress {
            call: Rc::new(call),
            excluded: Vec::new(),
            executions: 0,
            sends: 0,
            executed: Executed::No,
            has_begun: false,
            begun_at: Instant::now(),
            first_sent_at: None,
        }
    }

    /// Records a failed send and returns whether the request may be sent again.
    pub fn record_failure(
        &mut self,
        target: &TargetId,
        failure: &SendFailure,
        limits: &RelayLimits,
    ) -> bool {
        self.excluded.push(target.clone());
        if failure.executed != Executed::No {
            self.executed = Executed::Unknown;
            self.executions += 1;
        }
        let is_safe = self.executed == Executed::No || self.call.may_repeat;
        is_safe
            && !failure.is_deadline
            && self.executions < self.call.max_executions
            && self.sends < limits.max_sends
    }

    /// Whether another target may execute the request if the current one fails.
    pub fn may_fail_over(&self) -> bool {
        self.call.may_repeat && self.executions + 1 < self.call.max_executions
    }

    /// States what the answer of a call without a response rests on, if the call has been sent.
    pub fn log_end(&self, problem: &Problem) {
        if self.sends == 0 {
            return;
        }
        tracing::info!(
            event = "call_failed",
            request = %self.call.id,
            target = self.excluded.last().map(TargetId::as_str),
            sends = self.sends,
            executions = self.executions,
            executed = problem.executed.as_str(),
            code = problem.code.name(),
            reason = %problem.reason,
        );
    }

    /// How a call ends without a response to pass on.
    pub fn failure(&self, failure: &SendFailure) -> CallFailure {
        let code = match (self.executed, failure.is_deadline) {
            (Executed::No, true) => ResultCode::QueueFull,
            (Executed::No, false) => ResultCode::TargetRefused,
            (_, true) => ResultCode::TargetTimeout,
            (_, false) => failure.code.unwrap_or(ResultCode::TargetFailed),
        };
        let problem = Problem::new(code, failure.reason.clone())
            .with_executed(self.executed)
            .with_retry_after(RELAY_RETRY_AFTER);
        CallFailure {
            problem,
            cause: CutCause::from(failure),
        }
    }

    /// How a call ends for which no slot is available.
    pub fn no_slot_failure(&self, problem: Problem) -> CallFailure {
        let cause = CutCause::of_refusal(problem.code);
        if self.executed == Executed::No {
            return CallFailure { problem, cause };
        }
        let problem =
            Problem::new(ResultCode::TargetFailed, problem.reason).with_executed(self.executed);
        CallFailure { problem, cause }
    }
}

/// A response whose first part has arrived.
pub(super) struct StartedResponse {
    pub response: TargetResponse,
    pub ticket: TargetTicket,
    pub splitter: EventSplitter,
    pub first: Bytes,
    pub last_event: Option<u64>,
    pub first_byte: Duration,
    /// When the last complete event arrived.
    pub progress_at: Instant,
    /// When another target may be asked for next, if one has been asked for since the last event.
    pub next_handover_at: Option<Instant>,
}

impl StartedResponse {
    /// The response as its log line names it.
    pub fn state(&self) -> ResponseState<'_> {
        ResponseState {
            target: Some(&self.ticket.target),
            version: self.ticket.version.as_deref(),
            status: self.response.status,
            last_event: self.last_event,
            silence: Some(self.progress_at.elapsed()),
        }
    }
}

pub(super) fn log_failure(
    call: &RelayCall,
    (target, version): (&TargetId, Option<&str>),
    failure: &SendFailure,
) {
    tracing::info!(
        event = "send_failed",
        request = %call.id,
        fingerprint = format!("{:016x}", call.fingerprint()),
        parts = %PartList(&call.parts),
        %target,
        version,
        resumed_after = call.last_event,
        executed = failure.executed.as_str(),
        outcome = ?failure.outcome,
        connected = failure.was_connected,
        forwarder = failure.forwarder.map(tracing::field::display),
        connection = failure.connection.map(|used| used.connection),
        id_sends = failure.connection.map(|used| used.id_sends),
        reason = %failure.reason,
    );
}

pub(super) fn join_events<'a>(events: impl Iterator<Item = &'a Bytes>) -> Bytes {
    let mut events = events.peekable();
    let Some(first) = events.next() else {
        return Bytes::new();
    };
    if events.peek().is_none() {
        return first.clone();
    }
    let mut joined = BytesMut::from(first.as_ref());
    for event in events {
        joined.extend_from_slice(event);
    }
    joined.freeze()
}
