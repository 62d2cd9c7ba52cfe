//! Responses that are read to their end before they are passed on.

use super::call::RelayCall;
use super::ending::{CallFailure, ResponseState, log_completed};
use super::exchange::{CallSend, SendFailure, TargetResponse, broken_body_outcome};
use super::open::{RelayCaller, RelayResponse, RelayShared};
use super::progress::{CallProgress, log_failure};
use crate::send_trace::SendTrace;
use awc::http::Method;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use plantainmill_core::code::promises_no_run;
use plantainmill_core::{Executed, Problem};
use plantainmill_dispatch::{CallOutcome, TargetTicket};
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Share of one response in the bytes being buffered. Dropping it returns them.
struct BufferLease {
    shared: Rc<RelayShared>,
    bytes: usize,
}

impl BufferLease {
    fn new(shared: Rc<RelayShared>) -> BufferLease {
        BufferLease { shared, bytes: 0 }
    }

    fn extend(&mut self, bytes: usize) {
        self.bytes += bytes;
        let buffered = &self.shared.buffered_bytes;
        buffered.set(buffered.get() + bytes);
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        let buffered = &self.shared.buffered_bytes;
        buffered.set(buffered.get() - self.bytes);
    }
}

impl RelayCaller {
    pub(super) async fn read_full_body(
        &self,
        response: &mut TargetResponse,
        until: Instant,
    ) -> Result<Bytes, SendFailure> {
        let mut body = BytesMut::new();
        let mut lease = BufferLease::new(Rc::clone(&self.shared));
        loop {
            let part = timeout_at(until, response.payload.next()).await;
            match part.map_err(|_| SendFailure::deadline())? {
                Some(Ok(part)) => {
                    body.extend_from_slice(&part);
                    lease.extend(part.len());
                }
                Some(Err(error)) => {
                    let outcome = broken_body_outcome(&error, CallOutcome::ConnectionLost);
                    let reason = format!("the answer was cut: {error}");
                    return Err(SendFailure::new(Executed::Unknown, outcome, reason));
                }
                None => return Ok(body.freeze()),
            }
            let limits = &self.shared.limits;
            let reason = if body.len() > limits.max_response_bytes {
                "the answer is too large"
            } else if self.shared.buffered_bytes.get() > limits.max_buffered_bytes {
                "the answers being read exceed the memory for them"
            } else {
                continue;
            };
            return Err(SendFailure::new(Executed::Yes, CallOutcome::Failed, reason));
        }
    }

    pub(super) async fn open_buffered(
        &self,
        progress: &mut CallProgress,
    ) -> Result<RelayResponse, Problem> {
        let attempt = async |progress: &CallProgress, ticket: &TargetTicket| {
            self.read_response(progress, ticket).await
        };
        let opened = self.try_targets(progress, attempt).await;
        let ((response, body), ticket) = opened.map_err(|failure| failure.problem)?;
        let first_byte = response.sent_at.elapsed();
        let state = ResponseState {
            target: Some(&ticket.target),
            version: ticket.version.as_deref(),
            status: response.status,
            last_event: None,
            silence: None,
        };
        log_completed(progress, state, first_byte);
        ticket.finish(CallOutcome::Completed { first_byte });
        Ok(RelayResponse {
            status: response.status,
            headers: response.headers,
            body: futures_util::stream::iter([Ok(body)]).boxed_local(),
        })
    }

    async fn read_response(
        &self,
        progress: &CallProgress,
        ticket: &TargetTicket,
    ) -> Result<(TargetResponse, Bytes), SendFailure> {
        let call = &progress.call;
        let left = self.time_left(call.deadline);
        let until = Instant::now() + left;
        let trace = SendTrace::default();
        let send = self.send(CallSend {
            call,
            ticket,
            last_event: call.last_event,
            until,
            trace: &trace,
        });
        let mut response = send.await?;
        let read = async {
            let body = self.read_full_body(&mut response, until).await?;
            check_status(response.status, progress.may_fail_over())?;
            check_body(call, &response, &body)?;
            Ok(body)
        };
        let body = read
            .await
            .map_err(|failure: SendFailure| failure.at(&trace))?;
        Ok((response, body))
    }

    /// Sends to one target after the other until `attempt` succeeds or no further send is allowed.
    async fn try_targets<T>(
        &self,
        progress: &mut CallProgress,
        attempt: impl AsyncFn(&CallProgress, &TargetTicket) -> Result<T, SendFailure>,
    ) -> Result<(T, TargetTicket), CallFailure> {
        loop {
            let ticket = self.acquire(progress, None).await?;
            progress.sends += 1;
            let failure = match attempt(progress, &ticket).await {
                Ok(opened) => {
                    ticket.record_start();
                    return Ok((opened, ticket));
                }
                Err(failure) => failure,
            };
            let (target, version) = (ticket.target.clone(), ticket.version.clone());
            ticket.finish(failure.outcome);
            self.record_failed_send(&target, &failure);
            log_failure(&progress.call, (&target, version.as_deref()), &failure);
            if !progress.record_failure(&target, &failure, &self.shared.limits) {
                return Err(progress.failure(&failure));
            }
        }
    }
}

/// Turns a server error into a failure if another target may execute the request; otherwise it is passed on. A status that
/// promises that the request has not run is always a failure, because the target does not state that.
pub(super) fn check_status(status: u16, may_fail_over: bool) -> Result<(), SendFailure> {
    if promises_no_run(status) || (status >= 500 && may_fail_over) {
        let reason = format!("the target failed with status {status}");
        return Err(SendFailure::new(Executed::Yes, CallOutcome::Failed, reason));
    }
    Ok(())
}

/// Rejects a success without a length and without a body, because a target that stops after the head sends the same.
pub(super) fn check_body(
    call: &RelayCall,
    response: &TargetResponse,
    body: &Bytes,
) -> Result<(), SendFailure> {
    let has_body = call.method != Method::HEAD
        && response.is_success()
        && !matches!(response.status, 204 | 205);
    if response.is_framed || !has_body || !body.is_empty() {
        return Ok(());
    }
    let reason = "the answer without a length ended before its body";
    Err(SendFailure::new(
        Executed::Unknown,
        CallOutcome::ConnectionLost,
        reason,
    ))
}
