//! A stream that is passed on event by event and continues at another target when its target fails.

use super::attempt::{
    HANDOVER_RETRY_DELAY, RaceEnd, is_delayed, race_successor, start_response, withdraw_attempt,
};
use super::call::RelayCall;
use super::ending::{CallFailure, CutCause, ResponseState, log_completed};
use super::event_order::read_events;
use super::events::StreamEvent;
use super::exchange::{SendFailure, broken_body_outcome};
use super::open::{RelayCaller, RelayResponse};
use super::progress::{CallProgress, StartedResponse, join_events, log_failure};
use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use plantainmill_core::{Executed, Problem, ResultCode, TargetId};
use plantainmill_dispatch::CallOutcome;
use std::future::pending;
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

/// Result of reading from the current response, and of looking for another target while it is silent.
enum PartRead {
    Events(Vec<StreamEvent>),
    End,
    Failed(SendFailure),
    /// Another target took the request, and began to continue the stream or failed.
    HandedOver(Box<Result<StartedResponse, CallFailure>>),
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
            let handed_over = match self.read_part().await {
                PartRead::Events(events) if events.is_empty() => continue,
                PartRead::Events(events) => {
                    let bytes = events.iter().map(|event| &event.bytes);
                    return Some(Ok(join_events(bytes)));
                }
                PartRead::End => {
                    let current = self.current.as_mut();
                    let comments = current.map(|started| started.splitter.take_comments());
                    self.finish(None);
                    return comments.filter(|comments| !comments.is_empty()).map(Ok);
                }
                PartRead::Failed(failure) => self.fail_over(failure).await,
                PartRead::HandedOver(handed_over) => *handed_over,
            };
            let started = match handed_over {
                Ok(started) => self.current.insert(started),
                Err(failure) => {
                    self.record_cut(&failure);
                    return Some(Err(failure.problem));
                }
            };
            if !started.first.is_empty() {
                return Some(Ok(started.first.clone()));
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
        self.current.as_ref().is_none_or(|started| {
            let current = &started.ticket.target;
            self.caller.has_other_target(self.call(), current)
        })
    }

    /// Time by which the next event must arrive, unless the request goes on elsewhere; `None` if it may not.
    fn silent_at(&self) -> Option<Instant> {
        let started = self.current.as_ref().filter(|_| self.may_fail_over())?;
        let min_gap = self.caller.shared.limits.min_event_gap;
        // Counted from the last event: bytes that complete none are no progress.
        let silent_at = started.progress_at + self.call().event_gap.max(min_gap);
        Some(
            started
                .next_handover_at
                .map_or(silent_at, |at| silent_at.max(at)),
        )
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.caller.time_left(self.call().deadline)
    }

    async fn read_part(&mut self) -> PartRead {
        let deadline = self.deadline();
        let silent_at = self.silent_at().filter(|silent_at| *silent_at < deadline);
        let Some(started) = &mut self.current else {
            return PartRead::End;
        };
        let Some(silent_at) = silent_at else {
            return started.read_until(deadline).await;
        };
        match timeout_at(silent_at, started.read_until(deadline)).await {
            Ok(part) => part,
            Err(_) if is_delayed(silent_at) || !self.has_other_target() => {
                self.delay_handover(self.call().event_gap);
                PartRead::Events(Vec::new())
            }
            Err(_) => self.hand_over(deadline).await,
        }
    }

    /// Waits before another target is asked for, unless an event arrives.
    fn delay_handover(&mut self, delay: Duration) {
        if let Some(started) = &mut self.current {
            started.next_handover_at = Some(Instant::now() + delay);
        }
    }

    /// Goes on at another target as soon as one takes the request. Until then, the current one may go on.
    async fn hand_over(&mut self, deadline: Instant) -> PartRead {
        let Some(started) = &mut self.current else {
            return PartRead::End;
        };
        let caller = self.caller.clone();
        let target = started.ticket.target.clone();
        let ticket = tokio::select! {
            biased;
            part = started.read_until(deadline) => return part,
            ticket = caller.acquire(&self.progress, Some(&target)) => ticket,
        };
        let Ok(ticket) = ticket else {
            self.delay_handover(HANDOVER_RETRY_DELAY);
            return PartRead::Events(Vec::new());
        };
        let last_event = started.last_event;
        let mut successor = caller.begin_attempt(&mut self.progress, ticket, last_event);
        let silent = SendFailure::silent(Executed::Yes, "the stream stood still");
        let mut race = race_successor(started.read_until(deadline), &mut successor).await;
        let mut events = Vec::new();
        if let RaceEnd::Current(PartRead::Events(late_events)) = race {
            // The current target may stand still again, so the other one gets the rest of the overlap to answer.
            events = late_events;
            race = race_successor(pending(), &mut successor).await;
        }
        let (failure, first_events) = match race {
            RaceEnd::Current(PartRead::Failed(failure)) if !failure.is_deadline => (failure, None),
            RaceEnd::Current(part) => {
                withdraw_attempt(&mut self.progress, successor);
                return part;
            }
            RaceEnd::Successor(Err(failure)) => {
                caller.fail_attempt(&mut self.progress, successor, &failure);
                if events.is_empty() {
                    self.delay_handover(HANDOVER_RETRY_DELAY);
                }
                return PartRead::Events(events);
            }
            RaceEnd::OverlapPassed if !events.is_empty() => {
                withdraw_attempt(&mut self.progress, successor);
                return PartRead::Events(events);
            }
            RaceEnd::Successor(Ok(first_events)) => (silent, Some(first_events)),
            RaceEnd::OverlapPassed => (silent, None),
        };
        // The late events are not passed on: the successor repeats them.
        started.last_event = last_event;
        self.abandon_current(failure);
        let started = match first_events {
            Some(first_events) => Ok(start_response(&mut self.progress, successor, first_events)),
            None => caller.follow_attempt(&mut self.progress, successor).await,
        };
        PartRead::HandedOver(Box::new(started))
    }

    /// Closes the current response because of a failure and returns it, with the path that it took.
    fn abandon_current(&mut self, mut failure: SendFailure) -> SendFailure {
        let Some(started) = &self.current else {
            return failure;
        };
        failure.forwarder = started.response.forwarder;
        let (target, version) = (
            started.ticket.target.clone(),
            started.ticket.version.clone(),
        );
        self.finish(Some(failure.outcome));
        self.caller.record_failed_send(&target, &failure);
        log_failure(self.call(), (&target, version.as_deref()), &failure);
        self.progress.excluded.push(target);
        failure
    }

    /// Continues at another target after the current one failed.
    async fn fail_over(&mut self, failure: SendFailure) -> Result<StartedResponse, CallFailure> {
        let last_event = self.current.as_ref().and_then(|started| started.last_event);
        let may_fail_over = self.may_fail_over() && !failure.is_deadline;
        let failure = self.abandon_current(failure);
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
        self.caller
            .start_stream(&mut self.progress, last_event)
            .await
    }
}

impl StartedResponse {
    /// Reads on until events are complete, the response ends or fails, or the deadline passes. May be cancelled and called again.
    async fn read_until(&mut self, deadline: Instant) -> PartRead {
        loop {
            match timeout_at(deadline, self.response.payload.next()).await {
                Ok(Some(Ok(part))) => {
                    match read_events(&mut self.splitter, &part, &mut self.last_event) {
                        Ok(events) if !events.is_empty() => {
                            self.progress_at = Instant::now();
                            self.next_handover_at = None;
                            return PartRead::Events(events);
                        }
                        Ok(_) => {}
                        Err(failure) => return PartRead::Failed(failure),
                    }
                }
                Ok(Some(Err(error))) => {
                    let outcome = broken_body_outcome(&error, CallOutcome::StreamLost);
                    let reason = format!("the stream was cut: {error}");
                    return PartRead::Failed(SendFailure::new(Executed::Yes, outcome, reason));
                }
                Ok(None) if self.splitter.is_at_boundary() => return PartRead::End,
                Ok(None) => {
                    let reason = "the stream ended within an event";
                    let outcome = CallOutcome::StreamLost;
                    return PartRead::Failed(SendFailure::new(Executed::Yes, outcome, reason));
                }
                Err(_) => return PartRead::Failed(SendFailure::deadline()),
            }
        }
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
