//! A response that is passed on while it arrives.

use crate::caller::StreamingResponse;
use crate::context::{AttemptFailure, CallContext};
use crate::events::EventReader;
use crate::exchange::{ResponseHead, ResponsePayload};
use crate::headers::{HeaderList, response_headers};
use crate::meters::CallMeters;
use bytes::Bytes;
use futures_util::{FutureExt as _, StreamExt as _, stream};
use plantainmill_core::{Problem, ResultCode, TargetId, wait_until_set};
use plantainmill_dispatch::{CallOutcome, PreemptSignal, TargetTicket};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Time to read the end of the body after the last event. A connection that needs longer is not reused.
const END_TIMEOUT: Duration = Duration::from_millis(100);

/// Failure of an attempt whose ticket was preempted.
pub(crate) fn preempt_failure() -> AttemptFailure {
    AttemptFailure::new(ResultCode::Preempted, "online work needed the target")
        .with_outcome(CallOutcome::Abandoned)
}

/// An open response stream. Dropping it closes the connection, which cancels the work at the target.
pub(crate) struct ResponseStream {
    context: Rc<CallContext>,
    meters: CallMeters,
    status: u16,
    headers: HeaderList,
    target: TargetId,
    payload: ResponsePayload,
    /// Validates the events of a model's stream; `None` for other bodies.
    reader: Option<EventReader>,
    ticket: Option<TargetTicket>,
    preempted: PreemptSignal,
    sent_at: Instant,
    first_byte: Option<Duration>,
    bytes: usize,
    ended: bool,
}

impl ResponseStream {
    /// Creates the stream for the response `head` that arrived under `ticket`.
    pub fn new(
        context: Rc<CallContext>,
        meters: CallMeters,
        head: ResponseHead,
        ticket: TargetTicket,
    ) -> ResponseStream {
        let checks_events = context.is_model() && head.is_event_stream() && head.is_success();
        ResponseStream {
            context,
            meters,
            status: head.status,
            headers: response_headers(&head.headers),
            target: ticket.target.clone(),
            payload: head.payload,
            reader: checks_events.then(EventReader::default),
            preempted: ticket.preempted.clone(),
            ticket: Some(ticket),
            sent_at: Instant::now() - head.first_byte,
            first_byte: None,
            bytes: 0,
            ended: false,
        }
    }

    /// Next part of the response. A failure is the last item.
    pub async fn next(&mut self) -> Option<Result<Bytes, AttemptFailure>> {
        while !self.ended {
            match self.read_part().await {
                Ok(Some(part)) if part.is_empty() => {}
                Ok(Some(part)) => return Some(Ok(part)),
                Ok(None) => self.end(CallOutcome::Completed {
                    first_byte: self.first_byte.unwrap_or_default(),
                }),
                Err(failure) => {
                    self.end(failure.outcome);
                    return Some(Err(failure));
                }
            }
        }
        None
    }

    /// Ends the stream. The connection is closed unless the response was read to its end.
    fn end(&mut self, outcome: CallOutcome) {
        self.ended = true;
        self.payload = stream::empty().boxed_local();
        self.finish_ticket(outcome);
    }

    fn finish_ticket(&mut self, outcome: CallOutcome) {
        if let Some(ticket) = self.ticket.take() {
            self.meters.count_attempt(outcome);
            ticket.finish(outcome);
        }
    }

    async fn read_part(&mut self) -> Result<Option<Bytes>, AttemptFailure> {
        if self.reader.as_ref().is_some_and(EventReader::is_done) {
            return Ok(self.read_end().await);
        }
        match self.read_chunk().await? {
            Some(chunk) => self.take_chunk(chunk).map(Some),
            None if self.reader.is_some() => {
                let reason = "the stream ended without its last event";
                Err(AttemptFailure::new(ResultCode::AnswerInvalid, reason))
            }
            None => Ok(None),
        }
    }

    /// Reads the end of the body after the last event, so that the connection can be reused.
    async fn read_end(&mut self) -> Option<Bytes> {
        let until = Instant::now() + END_TIMEOUT;
        // Anything after the last event is discarded.
        let _ = timeout_at(until, self.payload.next()).await;
        None
    }

    async fn read_chunk(&mut self) -> Result<Option<Bytes>, AttemptFailure> {
        let until = self.wait_until();
        let chunk = tokio::select! {
            biased;
            () = wait_until_set(&mut self.preempted) => return Err(preempt_failure()),
            chunk = timeout_at(until, self.payload.next()) => chunk,
        };
        match chunk {
            Ok(chunk) => chunk.transpose().map_err(|error| {
                let reason = format!("the stream was cut: {error}");
                let outcome = if self.first_byte.is_none() {
                    CallOutcome::ConnectionLost
                } else {
                    CallOutcome::StreamLost
                };
                AttemptFailure::new(ResultCode::AnswerInvalid, reason).with_outcome(outcome)
            }),
            Err(_) if until < self.context.deadline => {
                let reason = "the stream stood still";
                Err(AttemptFailure::new(ResultCode::TargetTimeout, reason))
            }
            Err(_) => Err(self.context.deadline_failure(self.sent_at.elapsed())),
        }
    }

    /// Time by which the next part must arrive.
    fn wait_until(&self) -> Instant {
        let until = if self.first_byte.is_none() {
            self.sent_at + self.context.limits.first_event_timeout
        } else {
            Instant::now() + self.context.limits.idle_timeout
        };
        until.min(self.context.deadline)
    }

    fn take_chunk(&mut self, chunk: Bytes) -> Result<Bytes, AttemptFailure> {
        self.bytes += chunk.len();
        if self.bytes > self.context.limits.max_response_bytes {
            let reason = "the stream is too large";
            return Err(AttemptFailure::new(ResultCode::AnswerInvalid, reason));
        }
        let part = match &mut self.reader {
            None => chunk,
            Some(reader) => reader.push(&chunk).map_err(|error| {
                let reason = format!("the stream is malformed: {error}");
                AttemptFailure::new(ResultCode::AnswerInvalid, reason)
            })?,
        };
        if self.first_byte.is_none() && !part.is_empty() {
            self.first_byte = Some(self.sent_at.elapsed());
            if let Some(ticket) = &mut self.ticket {
                ticket.record_start();
            }
        }
        if self.reader.as_ref().is_some_and(EventReader::is_done) {
            // The caller may stop reading at the last event, so the ticket is finished here.
            let first_byte = self.first_byte.unwrap_or_default();
            self.finish_ticket(CallOutcome::Completed { first_byte });
        }
        Ok(part)
    }

    /// Response for the caller, with `first` as its first part.
    pub fn into_response(self, first: Option<Bytes>) -> StreamingResponse {
        let status = self.status;
        let headers = self.headers.clone();
        let target = self.target.clone();
        let rest = stream::unfold(self, |mut stream| async move {
            let part = stream.next().await?;
            let part = part.map_err(|failure| stream.problem(&failure));
            Some((part, stream))
        });
        let first = stream::iter(first.map(Ok));
        StreamingResponse {
            status,
            headers,
            chunks: first.chain(rest).boxed_local(),
            target,
        }
    }

    fn problem(&self, failure: &AttemptFailure) -> Problem {
        let problem = self.context.problem(failure);
        self.meters.count_problem(&problem);
        problem
    }
}

/// Stream with a body that is already complete, as a single chunk.
pub(crate) fn single_chunk_stream(
    response: crate::caller::BufferedResponse,
    target: TargetId,
) -> StreamingResponse {
    let body = response.body;
    StreamingResponse {
        status: response.status,
        headers: response.headers,
        chunks: async move { Ok(body) }.into_stream().boxed_local(),
        target,
    }
}
