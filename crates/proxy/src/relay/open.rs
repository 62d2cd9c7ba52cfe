//! Finds a target for a request and opens its answer.

use super::call::{HeaderNames, RelayCall, RelayLimits};
use super::events::{EventSplitter, check_order};
use super::exchange::{SendFailure, TargetResponse, send_once};
use super::stream::RelayStream;
use awc::http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use futures_util::stream::LocalBoxStream;
use plantainmill_core::{Clock, Executed, Problem, ResultCode, TargetId, Uptime};
use plantainmill_dispatch::{CallOutcome, Dispatcher, TargetTicket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// When a caller may come back after targets refused its request.
const REFUSED_RETRY: Duration = Duration::from_millis(400);

/// An answer for the caller.
pub struct RelayResponse {
    /// Status.
    pub status: u16,
    /// Headers of the first target.
    pub headers: HeaderMap,
    /// Body. An error ends it and means that it is not whole.
    pub body: LocalBoxStream<'static, Result<Bytes, Problem>>,
}

/// Relays requests to targets. Clones share the same state.
#[derive(Clone)]
pub struct RelayCaller {
    pub(super) parts: Rc<RelayParts>,
}

pub(super) struct RelayParts {
    pub dispatcher: Arc<dyn Dispatcher>,
    pub clock: Arc<dyn Clock>,
    pub names: HeaderNames,
    pub limits: RelayLimits,
}

/// A call with what became of its sends so far.
pub(super) struct CallProgress {
    pub call: RelayCall,
    /// Targets that failed it.
    pub excluded: Vec<TargetId>,
    /// Targets that it may have run on.
    pub runs: u32,
    pub sends: u32,
    pub executed: Executed,
}

impl CallProgress {
    fn new(call: RelayCall) -> CallProgress {
        CallProgress {
            call,
            excluded: Vec::new(),
            runs: 0,
            sends: 0,
            executed: Executed::No,
        }
    }

    /// Counts a failed send and says whether another one may follow.
    pub fn note_failure(
        &mut self,
        target: &TargetId,
        end: &SendFailure,
        limits: &RelayLimits,
    ) -> bool {
        self.excluded.push(target.clone());
        if end.executed != Executed::No {
            self.executed = Executed::Unknown;
            self.runs += 1;
        }
        let is_safe = self.executed == Executed::No || self.call.may_repeat;
        is_safe
            && !end.is_deadline
            && self.runs < self.call.max_executions
            && self.sends < limits.sends
    }

    /// Whether another target may run the request if the one at work fails it.
    fn may_move(&self) -> bool {
        self.call.may_repeat && self.runs + 1 < self.call.max_executions
    }

    /// A failure of the target is passed on only if no other target may run the request.
    fn check_status(&self, status: u16) -> Result<(), SendFailure> {
        if status >= 500 && self.may_move() {
            let reason = format!("the target failed with status {status}");
            return Err(SendFailure::new(Executed::Yes, CallOutcome::Failed, reason));
        }
        Ok(())
    }

    /// The final answer of a call without an answer to pass on.
    pub fn problem(&self, end: &SendFailure) -> Problem {
        let code = match (self.executed, end.is_deadline) {
            (Executed::No, true) => ResultCode::QueueFull,
            (Executed::No, false) => ResultCode::TargetRefused,
            (_, true) => ResultCode::TargetTimeout,
            (_, false) => ResultCode::TargetFailed,
        };
        Problem::new(code, end.reason.clone())
            .with_executed(self.executed)
            .with_retry_after(REFUSED_RETRY)
    }

    /// The final answer of a call for which there is no slot.
    pub fn no_slot(&self, problem: Problem) -> Problem {
        if self.executed == Executed::No {
            return problem;
        }
        Problem::new(ResultCode::TargetFailed, problem.reason).with_executed(self.executed)
    }
}

/// An answer whose first part has come.
pub(super) struct StartedAnswer {
    pub answer: TargetResponse,
    pub ticket: TargetTicket,
    pub splitter: EventSplitter,
    pub first: Bytes,
    pub last_event: Option<u64>,
    pub first_byte: Duration,
}

impl RelayCaller {
    /// A caller of targets.
    #[must_use]
    pub fn new(
        dispatcher: Arc<dyn Dispatcher>,
        clock: Arc<dyn Clock>,
        names: HeaderNames,
        limits: RelayLimits,
    ) -> RelayCaller {
        RelayCaller {
            parts: Rc::new(RelayParts {
                dispatcher,
                clock,
                names,
                limits,
            }),
        }
    }

    /// Names of headers.
    #[must_use]
    pub fn header_names(&self) -> &HeaderNames {
        &self.parts.names
    }

    /// The dispatcher.
    #[must_use]
    pub fn dispatcher(&self) -> &Arc<dyn Dispatcher> {
        &self.parts.dispatcher
    }

    /// Sends `call` and gives the answer as soon as its first event, or its whole body, is there.
    ///
    /// # Errors
    ///
    /// Says why there is no answer, and whether the request ran.
    pub async fn open(&self, call: RelayCall) -> Result<RelayResponse, Problem> {
        let mut progress = CallProgress::new(call);
        if progress.call.is_stream {
            let last_event = progress.call.last_event;
            let started = self.start_stream(&mut progress, last_event).await?;
            return Ok(RelayStream::answer(self.clone(), progress, started));
        }
        self.whole_answer(&mut progress).await
    }

    pub(super) fn time_left(&self, deadline: Uptime) -> Duration {
        deadline.saturating_sub(self.parts.clock.uptime())
    }

    async fn acquire(&self, progress: &CallProgress) -> Result<TargetTicket, Problem> {
        let request = progress.call.ticket_request(&progress.excluded);
        let until = Instant::now() + self.time_left(progress.call.deadline);
        let acquired = timeout_at(until, self.parts.dispatcher.acquire(request)).await;
        let late = || {
            let problem = Problem::new(ResultCode::QueueFull, "no target was free in time");
            Err(problem.with_retry_after(REFUSED_RETRY))
        };
        let ticket = acquired.unwrap_or_else(|_| late());
        ticket.map_err(|problem| progress.no_slot(problem))
    }

    /// Tries one target after the other until `attempt` succeeds or no further try may follow.
    async fn try_targets<T>(
        &self,
        progress: &mut CallProgress,
        attempt: impl AsyncFn(&CallProgress, &TargetTicket) -> Result<T, SendFailure>,
    ) -> Result<(T, TargetTicket), Problem> {
        loop {
            let ticket = self.acquire(progress).await?;
            progress.sends += 1;
            let end = match attempt(progress, &ticket).await {
                Ok(opened) => return Ok((opened, ticket)),
                Err(end) => end,
            };
            let target = ticket.target.clone();
            ticket.finish(end.outcome);
            log_failure(&progress.call, &target, &end);
            if !progress.note_failure(&target, &end, &self.parts.limits) {
                return Err(progress.problem(&end));
            }
        }
    }

    /// Opens a stream and waits for its first events.
    pub(super) async fn start_stream(
        &self,
        progress: &mut CallProgress,
        last_event: Option<u64>,
    ) -> Result<StartedAnswer, Problem> {
        let attempt = async |progress: &CallProgress, ticket: &TargetTicket| {
            self.read_first(progress, ticket, last_event).await
        };
        let (opened, ticket) = self.try_targets(progress, attempt).await?;
        let (answer, splitter, first, last_event) = opened;
        progress.runs += 1;
        progress.executed = Executed::Yes;
        let first_byte = answer.sent_at.elapsed();
        Ok(StartedAnswer {
            answer,
            ticket,
            splitter,
            first,
            last_event,
            first_byte,
        })
    }

    async fn read_first(
        &self,
        progress: &CallProgress,
        ticket: &TargetTicket,
        last_event: Option<u64>,
    ) -> Result<(TargetResponse, EventSplitter, Bytes, Option<u64>), SendFailure> {
        let call = &progress.call;
        let limits = &self.parts.limits;
        let until = Instant::now() + self.time_left(call.deadline);
        // A silent target is left only if another one may run the request.
        let hedge_delay = (call.first_event_objective * 2).max(limits.first_event_floor);
        let silent_at = if progress.may_move() {
            until.min(Instant::now() + hedge_delay)
        } else {
            until
        };
        let silence = || {
            let mut end = SendFailure::deadline();
            if silent_at < until {
                end = SendFailure::new(
                    Executed::Unknown,
                    CallOutcome::Failed,
                    "no first event came",
                );
            }
            end
        };
        let left = self.time_left(call.deadline);
        let send = send_once(call, &self.parts.names, ticket, last_event, left);
        let mut answer = timeout_at(silent_at, send).await.map_err(|_| silence())??;
        let mut splitter = EventSplitter::default();
        if !answer.is_success() || !answer.is_event_stream() {
            return self.failed_head(progress, answer, until).await;
        }
        loop {
            let part = timeout_at(silent_at, answer.payload.next());
            match part.await.map_err(|_| silence())? {
                Some(Ok(part)) => {
                    let events = splitter.push(&part);
                    let mut last_event = last_event;
                    check_order(&events, &mut last_event).map_err(|reason| {
                        SendFailure::new(Executed::Yes, CallOutcome::Failed, reason)
                    })?;
                    if !events.is_empty() {
                        let first = join_events(events.iter().map(|event| &event.bytes));
                        return Ok((answer, splitter, first, last_event));
                    }
                }
                Some(Err(error)) => {
                    let reason = format!("the stream was cut before its first event: {error}");
                    return Err(SendFailure::new(
                        Executed::Unknown,
                        CallOutcome::Failed,
                        reason,
                    ));
                }
                None if splitter.is_at_boundary() => {
                    return Ok((answer, splitter, Bytes::new(), last_event));
                }
                None => {
                    let reason = "the stream ended within its first event";
                    return Err(SendFailure::new(
                        Executed::Unknown,
                        CallOutcome::Failed,
                        reason,
                    ));
                }
            }
        }
    }

    /// An answer that is no stream: a failure of the target, which is passed on whole unless another may do better.
    async fn failed_head(
        &self,
        progress: &CallProgress,
        mut answer: TargetResponse,
        until: Instant,
    ) -> Result<(TargetResponse, EventSplitter, Bytes, Option<u64>), SendFailure> {
        progress.check_status(answer.status)?;
        let body = self.read_whole(&mut answer, until).await?;
        Ok((answer, EventSplitter::default(), body, None))
    }

    async fn read_whole(
        &self,
        answer: &mut TargetResponse,
        until: Instant,
    ) -> Result<Bytes, SendFailure> {
        let mut body = BytesMut::new();
        loop {
            let part = timeout_at(until, answer.payload.next()).await;
            match part.map_err(|_| SendFailure::deadline())? {
                Some(Ok(part)) => body.extend_from_slice(&part),
                Some(Err(error)) => {
                    let reason = format!("the answer was cut: {error}");
                    return Err(SendFailure::new(
                        Executed::Unknown,
                        CallOutcome::Failed,
                        reason,
                    ));
                }
                None => return Ok(body.freeze()),
            }
            if body.len() > self.parts.limits.answer_bytes {
                let reason = "the answer is too large";
                return Err(SendFailure::new(
                    Executed::Yes,
                    CallOutcome::Abandoned,
                    reason,
                ));
            }
        }
    }

    async fn whole_answer(&self, progress: &mut CallProgress) -> Result<RelayResponse, Problem> {
        let attempt = async |progress: &CallProgress, ticket: &TargetTicket| {
            self.read_answer(progress, ticket).await
        };
        let ((answer, body), ticket) = self.try_targets(progress, attempt).await?;
        let first_byte = answer.sent_at.elapsed();
        ticket.finish(CallOutcome::Completed { first_byte });
        Ok(RelayResponse {
            status: answer.status,
            headers: answer.headers,
            body: futures_util::stream::iter([Ok(body)]).boxed_local(),
        })
    }

    async fn read_answer(
        &self,
        progress: &CallProgress,
        ticket: &TargetTicket,
    ) -> Result<(TargetResponse, Bytes), SendFailure> {
        let call = &progress.call;
        let left = self.time_left(call.deadline);
        let until = Instant::now() + left;
        let mut answer = send_once(call, &self.parts.names, ticket, call.last_event, left).await?;
        let body = self.read_whole(&mut answer, until).await?;
        progress.check_status(answer.status)?;
        Ok((answer, body))
    }
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

pub(super) fn log_failure(call: &RelayCall, target: &TargetId, end: &SendFailure) {
    tracing::info!(
        event = "send_failed",
        request = %call.id,
        %target,
        executed = end.executed.as_str(),
        reason = %end.reason,
    );
}
