//! A stream that is passed on event by event and goes on at another target when its target fails.

use super::call::RelayCall;
use super::events::{StreamEvent, check_order};
use super::exchange::SendFailure;
use super::open::{
    CallProgress, RelayCaller, RelayResponse, StartedAnswer, join_events, log_failure,
};
use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use plantainmill_core::{Executed, Problem, ResultCode};
use plantainmill_dispatch::CallOutcome;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A stream under way. Dropping it closes the connection, which ends the target's work.
pub(super) struct RelayStream {
    caller: RelayCaller,
    progress: CallProgress,
    current: Option<StartedAnswer>,
    /// Whole events are passed on; other bodies pass as they are.
    is_events: bool,
}

/// What reading the current answer gave.
enum PartRead {
    Events(Vec<StreamEvent>),
    End,
    Failed(SendFailure),
}

impl RelayStream {
    /// The answer for the caller.
    pub fn answer(
        caller: RelayCaller,
        progress: CallProgress,
        started: StartedAnswer,
    ) -> RelayResponse {
        let status = started.answer.status;
        let headers = started.answer.headers.clone();
        let is_events = started.answer.is_success() && started.answer.is_event_stream();
        let first = started.first.clone();
        let relay = RelayStream {
            caller,
            progress,
            current: Some(started),
            is_events,
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
                // The body was read whole before the head was passed on.
                self.finish(None);
                return None;
            }
            let end = match self.read_part().await {
                PartRead::Events(events) if events.is_empty() => continue,
                PartRead::Events(events) => {
                    let bytes = events.iter().map(|event| &event.bytes);
                    return Some(Ok(join_events(bytes)));
                }
                PartRead::End => {
                    self.finish(None);
                    return None;
                }
                PartRead::Failed(end) => end,
            };
            match self.go_on(end).await {
                Ok(Some(first)) if first.is_empty() => {}
                Ok(Some(first)) => return Some(Ok(first)),
                Ok(None) => return None,
                Err(problem) => return Some(Err(problem)),
            }
        }
    }

    fn call(&self) -> &RelayCall {
        &self.progress.call
    }

    /// Closes the current answer and returns its slot.
    fn finish(&mut self, failure: Option<CallOutcome>) {
        if let Some(started) = self.current.take() {
            if failure.is_none() {
                log_whole(&self.progress, &started);
            }
            let first_byte = started.first_byte;
            drop(started.answer);
            let completed = CallOutcome::Completed { first_byte };
            started.ticket.finish(failure.unwrap_or(completed));
        }
    }

    fn may_move(&self) -> bool {
        self.call().may_repeat && self.progress.runs < self.call().max_executions
    }

    /// When the next part has to be there, and whether that is the deadline.
    fn wait_until(&self) -> (Instant, bool) {
        let deadline = Instant::now() + self.caller.time_left(self.call().deadline);
        if !self.may_move() {
            return (deadline, true);
        }
        let floor = self.caller.parts.limits.event_gap_floor;
        let gap: Duration = self.call().event_gap.max(floor);
        let silent_at = Instant::now() + gap;
        (silent_at.min(deadline), deadline <= silent_at)
    }

    async fn read_part(&mut self) -> PartRead {
        let (until, is_deadline) = self.wait_until();
        let Some(started) = &mut self.current else {
            return PartRead::End;
        };
        let failed = |reason: String| {
            PartRead::Failed(SendFailure::new(Executed::Yes, CallOutcome::Failed, reason))
        };
        match timeout_at(until, started.answer.payload.next()).await {
            Ok(Some(Ok(part))) => {
                let events = started.splitter.push(&part);
                match check_order(&events, &mut started.last_event) {
                    Ok(()) => PartRead::Events(events),
                    Err(reason) => failed(reason),
                }
            }
            Ok(Some(Err(error))) => failed(format!("the stream was cut: {error}")),
            Ok(None) if started.splitter.is_at_boundary() => PartRead::End,
            Ok(None) => failed("the stream ended within an event".to_owned()),
            Err(_) if is_deadline => PartRead::Failed(SendFailure::deadline()),
            Err(_) => failed("the stream stood still".to_owned()),
        }
    }

    /// Goes on at another target. Gives its first events, or nothing if the stream ends there.
    async fn go_on(&mut self, end: SendFailure) -> Result<Option<Bytes>, Problem> {
        let last_event = self.current.as_ref().and_then(|started| started.last_event);
        let target = self
            .current
            .as_ref()
            .map(|started| started.ticket.target.clone());
        let may_move = self.may_move() && !end.is_deadline;
        self.finish(Some(end.outcome));
        if let Some(target) = target {
            log_failure(self.call(), &target, &end);
            self.progress.excluded.push(target);
        }
        if !may_move {
            let code = if end.is_deadline {
                ResultCode::TargetTimeout
            } else {
                ResultCode::AnswerInvalid
            };
            return Err(Problem::new(code, end.reason).with_executed(Executed::Yes));
        }
        let started = self
            .caller
            .start_stream(&mut self.progress, last_event)
            .await?;
        if !started.answer.is_success() || !started.answer.is_event_stream() {
            let reason = format!("a stream could not go on: status {}", started.answer.status);
            let outcome = CallOutcome::Abandoned;
            started.ticket.finish(outcome);
            return Err(
                Problem::new(ResultCode::AnswerInvalid, reason).with_executed(Executed::Yes)
            );
        }
        let first = started.first.clone();
        self.current = Some(started);
        Ok(Some(first))
    }
}

/// Logs a request whose answer was passed on whole.
fn log_whole(progress: &CallProgress, started: &StartedAnswer) {
    let first_ms = started.first_byte.as_millis();
    tracing::info!(
        event = "request_relayed",
        request = %progress.call.id,
        organisation = progress.call.organisation.as_deref(),
        service = %progress.call.service,
        target = %started.ticket.target,
        status = started.answer.status,
        sends = progress.sends,
        first_ms,
        last_event = started.last_event,
    );
}
