//! Confirms the end of a stream after whose last event a target has nothing to add.

use super::event_order::read_events;
use super::exchange::{CallSend, SendFailure, broken_body_outcome};
use super::open::RelayCaller;
use crate::send_trace::SendTrace;
use futures_util::StreamExt as _;
use plantainmill_core::Executed;
use plantainmill_dispatch::CallOutcome;
use tokio::time::timeout_at;

impl RelayCaller {
    /// Has the target of `send` repeat `last_event`, after which it has ended a stream at once. It ends a stream in the same way
    /// after an event that the stream does not have, because the target that sent it was faulty.
    ///
    /// # Errors
    ///
    /// Fails if the target does not send exactly that event, so that the stream must not look complete.
    pub(super) async fn confirm_end(
        &self,
        send: CallSend<'_>,
        last_event: u64,
    ) -> Result<(), SendFailure> {
        let trace = SendTrace::default();
        let mut seen = last_event.checked_sub(1).filter(|event| *event > 0);
        let repeat = CallSend {
            last_event: seen,
            trace: &trace,
            ..send
        };
        let late = |_| SendFailure::deadline().at(&trace);
        let response = timeout_at(send.until, self.send(repeat)).await;
        let mut response = response.map_err(late)??;
        let failed = |outcome, reason: &str| {
            let reason = format!("the end of the stream is not confirmed: {reason}");
            SendFailure::new(Executed::Yes, outcome, reason).at(&trace)
        };
        if !response.is_success() || !response.is_event_stream() {
            let reason = format!("status {}", response.status);
            return Err(failed(CallOutcome::Failed, &reason));
        }
        let mut splitter = self.event_splitter();
        loop {
            let part = timeout_at(send.until, response.payload.next()).await;
            let Some(part) = part.map_err(late)? else {
                break;
            };
            let part = part.map_err(|error| {
                let outcome = broken_body_outcome(&error, CallOutcome::StreamLost);
                failed(outcome, &error.to_string())
            })?;
            let events = read_events(&mut splitter, &part, &mut seen);
            events.map_err(|failure| failure.at(&trace))?;
            if seen > Some(last_event) {
                let reason = format!("it goes on after event {last_event}");
                return Err(SendFailure::invalid_stream(&reason).at(&trace));
            }
        }
        if seen == Some(last_event) {
            tracing::info!(
                event = "stream_end_confirmed",
                request = %send.call.id,
                target = %send.ticket.target,
                last_event,
            );
            return Ok(());
        }
        let reason = format!("it has no event {last_event}");
        Err(SendFailure::invalid_stream(&reason).at(&trace))
    }
}
