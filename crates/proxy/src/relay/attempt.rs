//! Sends of a stream request, each up to the first events of its response.
//!
//! A request stays with its target until another one has taken it: a target that is silent for a while goes on more often
//! than not, and without a slot elsewhere there is nowhere to go.

use super::buffered::{check_body, check_status};
use super::call::RelayCall;
use super::ending::CallFailure;
use super::event_order::read_events;
use super::events::EventSplitter;
use super::exchange::{CallSend, SendFailure, TargetResponse, broken_body_outcome};
use super::open::RelayCaller;
use super::progress::{CallProgress, StartedResponse, join_events, log_failure};
use crate::send_trace::SendTrace;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt as _, StreamExt as _};
use plantainmill_core::{Executed, TargetId};
use plantainmill_dispatch::{CallOutcome, TargetNeed, TargetTicket};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Time for which a request stays at its target after it has been sent to another one. Targets that refuse do so within it.
/// Both may work on the request for 400 ms at most.
const OVERLAP_LIMIT: Duration = Duration::from_millis(200);
/// Interval between checks of how long a request has been at two targets.
const OVERLAP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before another target is asked for again after none was available, or one failed.
pub(super) const HANDOVER_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Lag of a timer from which the VM itself has stood still, so that it cannot tell whether its targets were silent.
const MAX_TIMER_LAG: Duration = Duration::from_millis(100);

/// The first events of a response, or all of one that is not a stream.
pub(super) struct FirstEvents {
    response: TargetResponse,
    splitter: EventSplitter,
    bytes: Bytes,
    last_event: Option<u64>,
}

/// What one send consists of.
struct AttemptParts {
    call: Rc<RelayCall>,
    ticket: TargetTicket,
    last_event: Option<u64>,
    until: Instant,
    /// Another target may execute the request if this one fails.
    may_fail_over: bool,
    /// The response has to be a stream that continues the one of which the caller has the beginning.
    must_continue: bool,
    trace: SendTrace,
}

/// One send of a request to a target. Dropping it closes its connection.
pub(super) struct TargetAttempt {
    pub(super) ticket: TargetTicket,
    pub(super) last_event: Option<u64>,
    trace: SendTrace,
    pub(super) first_events: LocalBoxFuture<'static, Result<Box<FirstEvents>, SendFailure>>,
}

/// How an attempt ends.
pub(super) enum AttemptEnd {
    Ended(Result<Box<FirstEvents>, SendFailure>),
    /// Another target, to which the request was sent because this one was slow, has answered first.
    Overtaken {
        successor: Box<TargetAttempt>,
        first_events: Box<FirstEvents>,
    },
    /// Another target has the request, and maybe answered; this one is left.
    Replaced {
        successor: Box<TargetAttempt>,
        first_events: Option<Box<FirstEvents>>,
        failure: SendFailure,
    },
}

/// Which of two targets that have the same request goes on first.
pub(super) enum RaceEnd<T> {
    Current(T),
    Successor(Result<Box<FirstEvents>, SendFailure>),
    /// Neither has within the time for which both may have it.
    OverlapPassed,
}

/// Waits until the current target or the successor goes on.
pub(super) async fn race_successor<T>(
    current: impl Future<Output = T>,
    successor: &mut TargetAttempt,
) -> RaceEnd<T> {
    let trace = successor.trace.clone();
    let overlap_end = async {
        while trace
            .sent_at()
            .is_none_or(|sent_at| sent_at.elapsed() < OVERLAP_LIMIT)
        {
            sleep(OVERLAP_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        biased;
        end = current => RaceEnd::Current(end),
        end = &mut successor.first_events => RaceEnd::Successor(end),
        () = overlap_end => RaceEnd::OverlapPassed,
    }
}

/// Whether a timer that was due at `due` shows that this VM stood still.
pub(super) fn is_delayed(due: Instant) -> bool {
    due.elapsed() > MAX_TIMER_LAG
}

impl RelayCaller {
    /// Opens a stream and waits for its first events.
    pub(super) async fn start_stream(
        &self,
        progress: &mut CallProgress,
        last_event: Option<u64>,
    ) -> Result<StartedResponse, CallFailure> {
        let ticket = self.acquire(progress, None).await?;
        let attempt = self.begin_attempt(progress, ticket, last_event);
        self.follow_attempt(progress, attempt).await
    }

    /// Sends the request to the target of `ticket`.
    pub(super) fn begin_attempt(
        &self,
        progress: &mut CallProgress,
        ticket: TargetTicket,
        last_event: Option<u64>,
    ) -> TargetAttempt {
        progress.sends += 1;
        progress.first_sent_at.get_or_insert_with(Instant::now);
        let trace = SendTrace::default();
        let parts = AttemptParts {
            call: Rc::clone(&progress.call),
            ticket: ticket.share(),
            last_event,
            until: Instant::now() + self.time_left(progress.call.deadline),
            may_fail_over: progress.may_fail_over(),
            must_continue: progress.has_begun,
            trace: trace.clone(),
        };
        let caller = self.clone();
        TargetAttempt {
            ticket,
            last_event,
            trace,
            first_events: async move { caller.read_first_events(&parts).await.map(Box::new) }
                .boxed_local(),
        }
    }

    /// Waits for the first events of an attempt, or of those that follow it.
    pub(super) async fn follow_attempt(
        &self,
        progress: &mut CallProgress,
        mut attempt: TargetAttempt,
    ) -> Result<StartedResponse, CallFailure> {
        loop {
            let last_event = attempt.last_event;
            match self.await_attempt(progress, &mut attempt).await {
                AttemptEnd::Ended(Ok(first_events)) => {
                    self.record_first_response(progress);
                    return Ok(start_response(progress, attempt, first_events));
                }
                AttemptEnd::Ended(Err(failure)) => {
                    if !self.fail_attempt(progress, attempt, &failure) {
                        return Err(progress.failure(&failure));
                    }
                    let ticket = self.acquire(progress, None).await?;
                    attempt = self.begin_attempt(progress, ticket, last_event);
                }
                AttemptEnd::Overtaken {
                    successor,
                    first_events,
                } => {
                    self.record_first_response(progress);
                    withdraw_attempt(progress, attempt);
                    return Ok(start_response(progress, *successor, first_events));
                }
                AttemptEnd::Replaced {
                    successor,
                    first_events,
                    failure,
                } => {
                    self.fail_attempt(progress, attempt, &failure);
                    if let Some(first_events) = first_events {
                        return Ok(start_response(progress, *successor, first_events));
                    }
                    attempt = *successor;
                }
            }
        }
    }

    async fn await_attempt(
        &self,
        progress: &mut CallProgress,
        attempt: &mut TargetAttempt,
    ) -> AttemptEnd {
        let call = Rc::clone(&progress.call);
        let target = attempt.ticket.target.clone();
        let min_silence = self.shared.limits.min_first_event_timeout;
        let mut silence = (call.first_event_objective * 2).max(min_silence);
        if let Some(end) = self.hedge_attempt(progress, attempt).await {
            return end;
        }
        loop {
            if !progress.may_fail_over() || progress.sends >= self.shared.limits.max_sends {
                return AttemptEnd::Ended((&mut attempt.first_events).await);
            }
            let silent_at = Instant::now() + silence;
            if let Ok(end) = timeout_at(silent_at, &mut attempt.first_events).await {
                return AttemptEnd::Ended(end);
            }
            if is_delayed(silent_at) {
                continue;
            }
            silence = HANDOVER_RETRY_DELAY;
            if !self.has_other_target(&call, &target) {
                continue;
            }
            let ticket = tokio::select! {
                biased;
                end = &mut attempt.first_events => return AttemptEnd::Ended(end),
                ticket = self.acquire(progress, Some(&target)) => ticket,
            };
            let Ok(ticket) = ticket else { continue };
            let mut successor = self.begin_attempt(progress, ticket, attempt.last_event);
            let silent =
                || SendFailure::silent(Executed::Unknown, "no first event came").at(&attempt.trace);
            let (failure, first_events) =
                match race_successor(&mut attempt.first_events, &mut successor).await {
                    RaceEnd::Current(Ok(first_events)) => {
                        withdraw_attempt(progress, successor);
                        return AttemptEnd::Ended(Ok(first_events));
                    }
                    RaceEnd::Successor(Err(failure)) => {
                        self.fail_attempt(progress, successor, &failure);
                        continue;
                    }
                    RaceEnd::Current(Err(failure)) => (failure, None),
                    RaceEnd::Successor(Ok(first_events)) => (silent(), Some(first_events)),
                    RaceEnd::OverlapPassed => (silent(), None),
                };
            return AttemptEnd::Replaced {
                successor: Box::new(successor),
                first_events,
                failure,
            };
        }
    }

    /// Whether the request may go on at another target than the current one, as far as is known.
    pub(super) fn has_other_target(&self, call: &RelayCall, current: &TargetId) -> bool {
        let regions = call.regions.current();
        let need = TargetNeed {
            service: &call.service,
            version: call.version.as_ref(),
            regions: &regions,
        };
        self.dispatcher().has_other_target(need, current)
    }

    /// Ends an attempt that failed and returns whether the request may be sent again.
    pub(super) fn fail_attempt(
        &self,
        progress: &mut CallProgress,
        attempt: TargetAttempt,
        failure: &SendFailure,
    ) -> bool {
        let ticket = &attempt.ticket;
        let target = ticket.target.clone();
        log_failure(
            &progress.call,
            (&target, ticket.version.as_deref()),
            failure,
        );
        attempt.finish(failure.outcome);
        self.record_failed_send(&target, failure);
        progress.record_failure(&target, failure, &self.shared.limits)
    }

    async fn read_first_events(&self, parts: &AttemptParts) -> Result<FirstEvents, SendFailure> {
        let AttemptParts { call, trace, .. } = parts;
        let call_send = CallSend {
            call,
            ticket: &parts.ticket,
            last_event: parts.last_event,
            until: parts.until,
            trace,
        };
        let send = self.send(call_send);
        let late = |_| SendFailure::deadline().at(trace);
        let mut response = timeout_at(parts.until, send).await.map_err(late)??;
        if !response.is_success() || !response.is_event_stream() {
            let read = self.read_error_response(parts, response).await;
            return read.map_err(|failure| failure.at(trace));
        }
        let mut splitter = self.event_splitter();
        loop {
            let part = timeout_at(parts.until, response.payload.next());
            match part.await.map_err(late)? {
                Some(Ok(part)) => {
                    let mut last_event = parts.last_event;
                    let events = read_events(&mut splitter, &part, &mut last_event);
                    let events = events.map_err(|failure| failure.at(trace))?;
                    if !events.is_empty() {
                        return Ok(FirstEvents {
                            response,
                            splitter,
                            bytes: join_events(events.iter().map(|event| &event.bytes)),
                            last_event,
                        });
                    }
                }
                Some(Err(error)) => {
                    let outcome = broken_body_outcome(&error, CallOutcome::ConnectionLost);
                    let reason = format!("the stream was cut before its first event: {error}");
                    return Err(SendFailure::new(Executed::Unknown, outcome, reason).at(trace));
                }
                // Without a length, a crash ends a stream like a complete response. Only one that continues after the last
                // event has no events.
                None if splitter.is_at_boundary()
                    && (response.is_framed || parts.last_event.is_some()) =>
                {
                    if let Some(last_event) = parts.last_event.filter(|_| call.may_repeat) {
                        self.confirm_end(call_send, last_event).await?;
                    }
                    return Ok(FirstEvents {
                        response,
                        bytes: splitter.take_comments(),
                        splitter,
                        last_event: parts.last_event,
                    });
                }
                None => {
                    let reason = "the stream ended before the end of its first event";
                    return Err(SendFailure::new(
                        Executed::Unknown,
                        CallOutcome::ConnectionLost,
                        reason,
                    ));
                }
            }
        }
    }

    /// Reads a response that is not a stream. A server error is a failure if another target may execute the request.
    async fn read_error_response(
        &self,
        parts: &AttemptParts,
        mut response: TargetResponse,
    ) -> Result<FirstEvents, SendFailure> {
        if parts.must_continue {
            let status = response.status;
            let reason = format!("a stream could not go on: status {status}");
            return Err(SendFailure::new(Executed::Yes, CallOutcome::Failed, reason));
        }
        check_status(response.status, parts.may_fail_over)?;
        let body = self.read_full_body(&mut response, parts.until).await?;
        check_body(&parts.call, &response, &body)?;
        Ok(FirstEvents {
            response,
            splitter: EventSplitter::default(),
            bytes: body,
            last_event: None,
        })
    }
}

impl TargetAttempt {
    /// Closes the connection and frees the slot.
    fn finish(self, outcome: CallOutcome) {
        drop(self.first_events);
        self.ticket.finish(outcome);
    }
}

/// Ends an attempt because the former target went on. It counts as an execution if it was sent.
pub(super) fn withdraw_attempt(progress: &mut CallProgress, attempt: TargetAttempt) {
    progress.executions += u32::from(attempt.trace.sent_at().is_some());
    attempt.finish(CallOutcome::Abandoned);
}

/// The response of an attempt whose first events have arrived.
pub(super) fn start_response(
    progress: &mut CallProgress,
    attempt: TargetAttempt,
    first_events: Box<FirstEvents>,
) -> StartedResponse {
    let TargetAttempt { ticket, .. } = attempt;
    ticket.record_start();
    let FirstEvents {
        response,
        splitter,
        bytes,
        last_event,
    } = *first_events;
    if last_event.is_some() {
        Rc::make_mut(&mut progress.call)
            .version
            .clone_from(&ticket.version);
    }
    progress.has_begun = true;
    progress.executions += 1;
    progress.executed = Executed::Yes;
    let first_byte = response.sent_at.elapsed();
    StartedResponse {
        response,
        ticket,
        splitter,
        first: bytes,
        last_event,
        first_byte,
        progress_at: Instant::now(),
        next_handover_at: None,
    }
}
