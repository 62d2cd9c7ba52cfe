//! A stream that is passed on event by event and continues at another target when its target fails.

use super::call::RelayCall;
use super::ending::{CallFailure, CutCause, CutParty, ResponseState, log_completed};
use super::events::{StreamEvent, check_order};
use super::exchange::{SendFailure, broken_body_outcome};
use super::open::{
    CallProgress, RelayCaller, RelayResponse, StartedResponse, join_events, log_failure,
};
use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use plantainmill_core::{Executed, Problem, ResultCode, TargetId};
use plantainmill_dispatch::CallOutcome;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// An open stream. Dropping it closes the connection, which cancels the work at the target.
pub(super) struct RelayStream {
    caller: RelayCaller,
    progress: CallProgress,
    current: Option<StartedResponse>,
    /// Whether the body is a stream of events, of which only complete ones are passed on; other bodies pass unchanged.
    is_events: bool,
    /// HTTP status that the caller has got.
    status: u16,
    /// Last event that the caller has got.
    last_event: Option<u64>,
    /// Target of the last response that was left.
    left_target: Option<TargetId>,
    /// The end of the response has been recorded.
    has_ended: bool,
}

/// Result of reading from the current response.
enum PartRead {
    Events(Vec<StreamEvent>),
    End,
    Failed(SendFailure),
}

impl RelayStream {
    /// Response for the caller.
    pub fn response(
        caller: RelayCaller,
        progress: CallProgress,
        started: StartedResponse,
    ) -> RelayResponse {
        let status = started.response.status;
        let headers = started.response.headers.clone();
        let is_events = started.response.is_success() && started.response.is_event_stream();
        let first = started.first.clone();
        let relay = RelayStream {
            caller,
            progress,
            last_event: started.last_event,
            current: Some(started),
            is_events,
            status,
            left_target: None,
            has_ended: false,
        };
        let first = stream::iter((!first.is_empty()).then_some(Ok(first)));
        let rest = stream::unfold(relay, |mut relay| async move {
            let part = relay.next().await?;
            Some((part, relay))
        });
        RelayResponse {
            status,
            headers,
            body: first.chain(rest).boxed_local(),
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, Problem>> {
        loop {
            self.current.as_ref()?;
            if !self.is_events {
                // The body was read completely before the head was passed on.
                self.finish(None);
                return None;
            }
            let failure = match self.read_part().await {
                PartRead::Events(events) if events.is_empty() => continue,
                PartRead::Events(events) => {
                    let bytes = events.iter().map(|event| &event.bytes);
                    return Some(Ok(join_events(bytes)));
                }
                PartRead::End => {
                    self.finish(None);
                    return None;
                }
                PartRead::Failed(failure) => failure,
            };
            match self.fail_over(failure).await {
                Ok(first) if first.is_empty() => {}
                Ok(first) => return Some(Ok(first)),
                Err(failure) => {
                    self.record_cut(&failure);
                    return Some(Err(failure.problem));
                }
            }
        }
    }

    /// The response as its log line names it, with the last target if there is none at present.
    fn state(&self) -> ResponseState<'_> {
        let current = self.current.as_ref();
        let state = current.map(StartedResponse::state);
        state.unwrap_or(ResponseState {
            target: self.left_target.as_ref(),
            version: self.progress.call.version.as_deref(),
            status: self.status,
            last_event: self.last_event,
            silence: None,
        })
    }

    fn record_cut(&mut self, failure: &CallFailure) {
        self.has_ended = true;
        let CallFailure { problem, cause } = failure;
        let meters = &self.caller.shared.meters;
        meters.record_cut(&self.progress, self.state(), *cause, &problem.reason);
    }

    fn call(&self) -> &RelayCall {
        &self.progress.call
    }

    /// Closes the current response and releases its slot.
    fn finish(&mut self, failure: Option<CallOutcome>) {
        if let Some(started) = self.current.take() {
            self.last_event = started.last_event;
            self.left_target = Some(started.ticket.target.clone());
            if failure.is_none() {
                self.has_ended = true;
                log_completed(&self.progress, started.state(), started.first_byte);
                if let Some(recorder) = &self.caller.shared.recorder {
                    recorder.record_end(&self.progress.call.id);
                }
            }
            let first_byte = started.first_byte;
            drop(started.response);
            let completed = CallOutcome::Completed { first_byte };
            started.ticket.finish(failure.unwrap_or(completed));
        }
    }

    fn may_fail_over(&self) -> bool {
        self.call().may_repeat && self.progress.executions < self.call().max_executions
    }

    /// Whether the stream may go on at another target than the current one.
    fn has_other_target(&self) -> bool {
        let call = self.call();
        let dispatcher = self.caller.dispatcher();
        self.current.as_ref().is_none_or(|started| {
            let current = &started.ticket.target;
            dispatcher.has_other_target(&call.service, call.version.as_ref(), current)
        })
    }

    fn restart_silence(&mut self) {
        if let Some(started) = &mut self.current {
            started.progress_at = Instant::now();
        }
    }

    /// Time by which the next part must arrive, and whether that is the deadline.
    fn wait_until(&self) -> (Instant, bool) {
        let deadline = Instant::now() + self.caller.time_left(self.call().deadline);
        if !self.may_fail_over() {
            return (deadline, true);
        }
        let min_gap = self.caller.shared.limits.min_event_gap;
        let gap: Duration = self.call().event_gap.max(min_gap);
        // Counted from the last event: bytes that complete none are no progress.
        let progress_at = self.current.as_ref().map(|started| started.progress_at);
        let silence_deadline = progress_at.unwrap_or_else(Instant::now) + gap;
        (silence_deadline.min(deadline), deadline <= silence_deadline)
    }

    async fn read_part(&mut self) -> PartRead {
        let (until, is_deadline) = self.wait_until();
        let Some(started) = &mut self.current else {
            return PartRead::End;
        };
        let failed = |reason: String| {
            PartRead::Failed(SendFailure::new(Executed::Yes, CallOutcome::Failed, reason))
        };
        let lost = |reason: String| {
            let outcome = CallOutcome::StreamLost;
            PartRead::Failed(SendFailure::new(Executed::Yes, outcome, reason))
        };
        match timeout_at(until, started.response.payload.next()).await {
            Ok(Some(Ok(part))) => {
                let events = match started.splitter.push(&part) {
                    Ok(events) => events,
                    Err(reason) => return failed(reason),
                };
                if !events.is_empty() {
                    started.progress_at = Instant::now();
                }
                match check_order(&events, &mut started.last_event) {
                    Ok(()) => PartRead::Events(events),
                    Err(reason) => failed(reason),
                }
            }
            Ok(Some(Err(error))) => {
                let outcome = broken_body_outcome(&error, CallOutcome::StreamLost);
                let reason = format!("the stream was cut: {error}");
                PartRead::Failed(SendFailure::new(Executed::Yes, outcome, reason))
            }
            Ok(None) if started.splitter.is_at_boundary() => PartRead::End,
            Ok(None) => lost("the stream ended within an event".to_owned()),
            Err(_) if is_deadline => PartRead::Failed(SendFailure::deadline()),
            Err(_) if !self.has_other_target() => {
                // Waiting is better than an end without a target at which the stream may go on.
                self.restart_silence();
                PartRead::Events(Vec::new())
            }
            Err(_) => {
                let reason = "the stream stood still";
                PartRead::Failed(SendFailure::silent(Executed::Yes, reason))
            }
        }
    }

    /// Continues at another target and returns its first events, which are empty if the stream ends there.
    async fn fail_over(&mut self, mut failure: SendFailure) -> Result<Bytes, CallFailure> {
        let last_event = self.current.as_ref().and_then(|started| started.last_event);
        let (target, version) = match &self.current {
            Some(started) => {
                let ticket = &started.ticket;
                (Some(ticket.target.clone()), ticket.version.clone())
            }
            None => (None, None),
        };
        let current = self.current.as_ref();
        failure.forwarder = current.and_then(|started| started.response.forwarder);
        let may_fail_over = self.may_fail_over() && !failure.is_deadline;
        self.finish(Some(failure.outcome));
        if let Some(target) = target {
            self.caller.check_path(&target, &failure);
            log_failure(self.call(), (&target, version.as_deref()), &failure);
            self.progress.excluded.push(target);
        }
        if !may_fail_over {
            let code = if failure.is_deadline {
                ResultCode::TargetTimeout
            } else {
                ResultCode::AnswerInvalid
            };
            let cause = CutCause::from(&failure);
            let problem = Problem::new(code, failure.reason).with_executed(Executed::Yes);
            return Err(CallFailure { problem, cause });
        }
        let started = self
            .caller
            .start_stream(&mut self.progress, last_event)
            .await?;
        if !started.response.is_success() || !started.response.is_event_stream() {
            let reason = format!(
                "a stream could not go on: status {}",
                started.response.status
            );
            let outcome = CallOutcome::Abandoned;
            started.ticket.finish(outcome);
            let problem =
                Problem::new(ResultCode::AnswerInvalid, reason).with_executed(Executed::Yes);
            let cause = CutCause {
                party: CutParty::Target,
                name: "answer_invalid",
            };
            return Err(CallFailure { problem, cause });
        }
        let first = started.first.clone();
        self.current = Some(started);
        Ok(first)
    }
}

impl Drop for RelayStream {
    fn drop(&mut self) {
        if !self.has_ended {
            let meters = &self.caller.shared.meters;
            meters.record_drop(&self.progress, self.state());
        }
    }
}
