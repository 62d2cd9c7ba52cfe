//! Sends an item to the target of its ticket and reads its output.

use super::{FAILURE_STATUS, IDLE_TIMEOUT, ItemRunner, SendOutcome, UNPROCESSABLE_STATUS};
use crate::item_output::{EventRejection, MAX_OUTPUT_BYTES};
use crate::owed::OwedState;
use futures_util::StreamExt as _;
use plantainmill_core::code::promises_no_run;
use plantainmill_core::{Executed, PartList, ResultCode, wait_until_set};
use plantainmill_dispatch::{CallOutcome, TargetTicket};
use plantainmill_proxy::relay::{
    CallRegions, CallSend, RelayCall, SendFailure, SendTrace, TargetResponse, broken_body_outcome,
    read_events,
};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

impl ItemRunner {
    /// Sends the item to the target of `ticket` until its output ends, the send fails, or the item is preempted.
    pub(super) async fn send(&mut self, call: &RelayCall, mut ticket: TargetTicket) -> SendOutcome {
        self.enter(OwedState::Response, ticket.target.clone());
        let mut preempted = ticket.preempted.clone();
        let exchange = self.exchange(call, &mut ticket);
        let result = tokio::select! {
            biased;
            () = wait_until_set(&mut preempted) => Err(SendFailure::new(
                Executed::Unknown,
                CallOutcome::Abandoned,
                "preempted by an online request",
            )),
            result = exchange => result,
        };
        ticket.preempted = preempted;
        match result {
            Ok((outcome, first_byte)) => {
                ticket.finish(CallOutcome::Completed { first_byte });
                outcome
            }
            Err(failure) => {
                tracing::info!(
                    event = "item_interrupted",
                    item = %self.item.id,
                    fingerprint = format!("{:016x}", call.fingerprint()),
                    parts = %PartList(&self.item.parts),
                    target = %ticket.target,
                    version = ticket.version.as_deref(),
                    outcome = ?failure.outcome,
                    last_event = self.output.last_event(),
                    connected = failure.was_connected,
                    forwarder = failure.forwarder.map(tracing::field::display),
                    connection = failure.connection.map(|used| used.connection),
                    id_sends = failure.connection.map(|used| used.id_sends),
                    executed = failure.executed.as_str(),
                    reason = %failure.reason,
                );
                self.enter(OwedState::Retry, failure.reason.clone());
                self.context
                    .caller
                    .record_failed_send(&ticket.target, &failure);
                let is_preempted = failure.outcome == CallOutcome::Abandoned;
                if !is_preempted {
                    self.record_failure();
                    self.excluded.push(ticket.target.clone());
                }
                ticket.finish(failure.outcome);
                if !is_preempted {
                    sleep(self.retry_delay()).await;
                }
                SendOutcome::Interrupted
            }
        }
    }

    fn record_failure(&mut self) {
        let now = self.context.clock.uptime();
        self.failing_since.get_or_insert(now);
        self.failed_sends += 1;
    }

    async fn exchange(
        &mut self,
        call: &RelayCall,
        ticket: &mut TargetTicket,
    ) -> Result<(SendOutcome, Duration), SendFailure> {
        let now = self.context.clock.uptime();
        let remaining = self.job.expires_at.saturating_sub(now);
        let caller = self.context.caller.clone();
        let trace = SendTrace::default();
        let send = caller.send(CallSend {
            call,
            ticket,
            last_event: self.output.last_event(),
            until: Instant::now() + remaining,
            trace: &trace,
        });
        let opened = timeout(IDLE_TIMEOUT, send).await;
        let mut response = opened.map_err(|_| idle_timeout().at(&trace))??;
        let first_byte = response.sent_at.elapsed();
        match response.status {
            UNPROCESSABLE_STATUS => return Ok((SendOutcome::Unprocessable, first_byte)),
            FAILURE_STATUS => {
                tracing::info!(
                    event = "item_failed",
                    item = %self.item.id,
                    target = %ticket.target,
                    status = response.status,
                    failures = self.failures + 1,
                );
                self.record_failure();
                // Several failures at one target may be due to the target.
                self.excluded.push(ticket.target.clone());
                return Ok((SendOutcome::Failed, first_byte));
            }
            status if !response.is_success() => {
                self.useless_responses += 1;
                return Err(undefined_status(status, first_byte).at(&trace));
            }
            _ => {}
        }
        if !response.is_event_stream() {
            self.useless_responses += 1;
            let reason = "the response is no stream of events";
            let failure = SendFailure::new(Executed::Yes, CallOutcome::Failed, reason);
            return Err(failure.at(&trace));
        }
        let read = self.read_output(&mut response, ticket, &call.regions).await;
        let outcome = read.map_err(|failure| failure.at(&trace))?;
        Ok((outcome, first_byte))
    }

    async fn read_output(
        &mut self,
        response: &mut TargetResponse,
        ticket: &mut TargetTicket,
        regions: &CallRegions,
    ) -> Result<SendOutcome, SendFailure> {
        let failed = |reason: String| SendFailure::new(Executed::Yes, CallOutcome::Failed, reason);
        let mut splitter = self.context.caller.event_splitter();
        let mut progress_at = Instant::now();
        let mut has_started = false;
        loop {
            let chunk = timeout_at(progress_at + IDLE_TIMEOUT, response.payload.next()).await;
            match chunk.map_err(|_| idle_timeout())? {
                Some(Ok(chunk)) => {
                    let mut last_event = self.output.last_event();
                    let events = read_events(&mut splitter, &chunk, &mut last_event)?;
                    for event in &events {
                        let appended = self.output.append(event);
                        appended.map_err(|rejection| self.reject_event(rejection))?;
                        progress_at = Instant::now();
                        if !has_started {
                            self.stream_regions = regions.current();
                            self.enter(OwedState::Output, ticket.target.clone());
                        }
                        has_started = true;
                        ticket.record_start();
                        self.version.clone_from(&ticket.version);
                        self.failing_since = None;
                        self.failed_sends = 0;
                    }
                }
                Some(Err(error)) => {
                    let failure = failed(format!("the stream was cut: {error}"));
                    let lost = if has_started {
                        CallOutcome::StreamLost
                    } else {
                        CallOutcome::ConnectionLost
                    };
                    let outcome = broken_body_outcome(&error, lost);
                    return Err(SendFailure { outcome, ..failure });
                }
                None if !response.is_framed && self.output.last_event().is_none() => {
                    let failure = failed("the stream ended before its first event".to_owned());
                    let outcome = CallOutcome::ConnectionLost;
                    return Err(SendFailure { outcome, ..failure });
                }
                None if splitter.is_at_boundary() => {
                    let is_whole = has_started || self.output.last_event().is_none();
                    return Ok(if is_whole {
                        SendOutcome::Succeeded
                    } else {
                        SendOutcome::Unconfirmed
                    });
                }
                None => {
                    let failure = failed("the stream ended within an event".to_owned());
                    let outcome = CallOutcome::StreamLost;
                    return Err(SendFailure { outcome, ..failure });
                }
            }
        }
    }

    /// Discards what an event makes worthless, and returns why its target has failed.
    fn reject_event(&mut self, rejection: EventRejection) -> SendFailure {
        self.useless_responses += 1;
        let failed = |reason: &str| SendFailure::new(Executed::Yes, CallOutcome::Failed, reason);
        match rejection {
            EventRejection::NoText => SendFailure {
                code: Some(ResultCode::AnswerInvalid),
                ..failed("the data of an event is no UTF-8")
            },
            EventRejection::TooLarge => {
                // What was read may already be beyond the end of the item's output, where every target has nothing to add.
                self.begin_anew("its output is too large");
                failed(&format!("the output exceeds {MAX_OUTPUT_BYTES} bytes"))
            }
        }
    }
}

/// An answer whose status says neither that the item failed nor that it did not run.
fn undefined_status(status: u16, first_byte: Duration) -> SendFailure {
    // Other client errors concern this request alone: they are no reason to avoid the target.
    let outcome = if status >= 500 || promises_no_run(status) {
        CallOutcome::Failed
    } else {
        CallOutcome::Completed { first_byte }
    };
    let reason = format!("status {status} says nothing of the item");
    SendFailure::new(Executed::Unknown, outcome, reason)
}

fn idle_timeout() -> SendFailure {
    SendFailure::silent(Executed::Unknown, "the target fell silent")
}
