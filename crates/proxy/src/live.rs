//! An answer that is passed on while it arrives.

use crate::caller::StreamingResponse;
use crate::context::{CallContext, TryFailure};
use crate::events::EventReader;
use crate::exchange::{AnswerHead, AnswerPayload};
use crate::headers::{HeaderList, answer_headers};
use crate::meters::CallMeters;
use bytes::Bytes;
use futures_util::{FutureExt as _, StreamExt as _, stream};
use plantainmill_core::{Problem, ResultCode, TargetId, wait_set};
use plantainmill_dispatch::{CallOutcome, PreemptSignal, TargetTicket};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Time for the end of the body after the last event; a connection that needs longer is not reused.
const END_TIMEOUT: Duration = Duration::from_millis(100);

/// The failure of a try that had to give way.
pub(crate) fn preempt_failure() -> TryFailure {
    TryFailure::new(ResultCode::Preempted, "online work needed the target")
        .with_outcome(CallOutcome::Abandoned)
}

/// A stream under way. Dropping it closes the connection, which cancels the target's work.
pub(crate) struct LiveStream {
    context: Rc<CallContext>,
    meters: CallMeters,
    status: u16,
    headers: HeaderList,
    target: TargetId,
    payload: AnswerPayload,
    /// Checks the events of a model's stream.
    reader: Option<EventReader>,
    ticket: Option<TargetTicket>,
    preempted: PreemptSignal,
    sent_at: Instant,
    first_byte: Option<Duration>,
    bytes: usize,
    ended: bool,
}

impl LiveStream {
    /// A stream of the answer `head` that came under `ticket`.
    pub fn new(
        context: Rc<CallContext>,
        meters: CallMeters,
        head: AnswerHead,
        ticket: TargetTicket,
    ) -> LiveStream {
        let checks_events = context.is_model() && head.is_event_stream() && head.is_success();
        LiveStream {
            context,
            meters,
            status: head.status,
            headers: answer_headers(&head.headers),
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

    /// The next part of the answer. After a failure nothing follows.
    pub async fn next(&mut self) -> Option<Result<Bytes, TryFailure>> {
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

    /// Ends the stream and closes the connection unless the answer was read to its end.
    fn end(&mut self, outcome: CallOutcome) {
        self.ended = true;
        self.payload = stream::empty().boxed_local();
        self.finish_ticket(outcome);
    }

    fn finish_ticket(&mut self, outcome: CallOutcome) {
        if let Some(ticket) = self.ticket.take() {
            self.meters.count_try(outcome);
            ticket.finish(outcome);
        }
    }

    async fn read_part(&mut self) -> Result<Option<Bytes>, TryFailure> {
        if self.reader.as_ref().is_some_and(EventReader::is_done) {
            return Ok(self.read_end().await);
        }
        match self.read_chunk().await? {
            Some(chunk) => self.take_chunk(chunk).map(Some),
            None if self.reader.is_some() => {
                let reason = "the stream ended without its last event";
                Err(TryFailure::new(ResultCode::AnswerInvalid, reason))
            }
            None => Ok(None),
        }
    }

    /// Reads the end of the body after the last event, so that the connection can be reused.
    async fn read_end(&mut self) -> Option<Bytes> {
        let until = Instant::now() + END_TIMEOUT;
        // Whatever comes after the last event is not passed on.
        let _ = timeout_at(until, self.payload.next()).await;
        None
    }

    async fn read_chunk(&mut self) -> Result<Option<Bytes>, TryFailure> {
        let until = self.wait_until();
        let chunk = tokio::select! {
            biased;
            () = wait_set(&mut self.preempted) => return Err(preempt_failure()),
            chunk = timeout_at(until, self.payload.next()) => chunk,
        };
        match chunk {
            Ok(chunk) => chunk.transpose().map_err(|error| {
                let reason = format!("the stream was cut: {error}");
                TryFailure::new(ResultCode::AnswerInvalid, reason)
            }),
            Err(_) if until < self.context.deadline => {
                let reason = "the stream stood still";
                Err(TryFailure::new(ResultCode::TargetTimeout, reason))
            }
            Err(_) => Err(self.context.deadline_failure(self.sent_at.elapsed())),
        }
    }

    /// When the next part has to be there.
    fn wait_until(&self) -> Instant {
        let until = if self.first_byte.is_none() {
            self.sent_at + self.context.limits.first_event
        } else {
            Instant::now() + self.context.limits.idle
        };
        until.min(self.context.deadline)
    }

    fn take_chunk(&mut self, chunk: Bytes) -> Result<Bytes, TryFailure> {
        self.bytes += chunk.len();
        if self.bytes > self.context.limits.answer_bytes {
            let reason = "the stream is too large";
            return Err(TryFailure::new(ResultCode::AnswerInvalid, reason));
        }
        let part = match &mut self.reader {
            None => chunk,
            Some(reader) => reader.push(&chunk).map_err(|error| {
                let reason = format!("the stream is malformed: {error}");
                TryFailure::new(ResultCode::AnswerInvalid, reason)
            })?,
        };
        if self.first_byte.is_none() && !part.is_empty() {
            self.first_byte = Some(self.sent_at.elapsed());
        }
        if self.reader.as_ref().is_some_and(EventReader::is_done) {
            // The caller may stop reading at the last event; the target's work ends with it.
            let first_byte = self.first_byte.unwrap_or_default();
            self.finish_ticket(CallOutcome::Completed { first_byte });
        }
        Ok(part)
    }

    /// The answer for the caller, with `first` as its first part.
    pub fn into_answer(self, first: Option<Bytes>) -> StreamingResponse {
        let status = self.status;
        let headers = self.headers.clone();
        let target = self.target.clone();
        let rest = stream::unfold(self, |mut live| async move {
            let part = live.next().await?;
            let part = part.map_err(|failure| live.problem(&failure));
            Some((part, live))
        });
        let first = stream::iter(first.map(Ok));
        StreamingResponse {
            status,
            headers,
            chunks: first.chain(rest).boxed_local(),
            target,
        }
    }

    fn problem(&self, failure: &TryFailure) -> Problem {
        let problem = self.context.problem(failure);
        self.meters.count_problem(&problem);
        problem
    }
}

/// A stream of one part that is already whole.
pub(crate) fn whole_stream(
    answer: crate::caller::BufferedResponse,
    target: TargetId,
) -> StreamingResponse {
    let body = answer.body;
    StreamingResponse {
        status: answer.status,
        headers: answer.headers,
        chunks: async move { Ok(body) }.into_stream().boxed_local(),
        target,
    }
}
