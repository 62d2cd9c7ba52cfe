//! Calls targets over HTTP with retries and hedging.

use crate::body::read_response;
use crate::caller::{BufferedResponse, StreamingResponse, TargetCaller, TargetRequest};
use crate::context::{AttemptFailure, CallContext};
use crate::exchange::{ResponseHead, send_request};
use crate::hedge::HedgeDelays;
use crate::idempotent_call::IdempotentCall;
use crate::limits::CallLimits;
use crate::meters::CallMeters;
use crate::records::CallRecords;
use crate::response_stream::{ResponseStream, preempt_failure, single_chunk_stream};
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use opentelemetry::metrics::Meter;
use plantainmill_config::ConfigView;
use plantainmill_core::{Clock, Executed, Problem, ResultCode, TargetId, wait_until_set};
use plantainmill_dispatch::{CallOutcome, Dispatcher, TargetTicket};
use plantainmill_provider::TableStore;
use std::pin::pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Target id of a streamed response that was replayed from an idempotency record.
const STORED_TARGET: &str = "stored";

/// Calls targets over HTTP. Clones share their state; connections are pooled per thread.
///
/// Requires an actix runtime.
#[derive(Clone)]
pub struct HttpCaller {
    shared: Arc<CallerShared>,
}

struct CallerShared {
    config: ConfigView,
    dispatcher: Arc<dyn Dispatcher>,
    records: CallRecords,
    clock: Arc<dyn Clock>,
    meters: CallMeters,
    limits: CallLimits,
    hedge_delays: Mutex<HedgeDelays>,
}

/// Why an attempt has no response.
enum AttemptError {
    /// The dispatcher issued no ticket.
    NoTicket(Problem),
    /// The target failed the request.
    Failed(Box<AttemptFailure>),
}

impl HttpCaller {
    /// Creates a caller with the default limits.
    #[must_use]
    pub fn new(
        config: ConfigView,
        dispatcher: Arc<dyn Dispatcher>,
        store: Arc<dyn TableStore>,
        clock: Arc<dyn Clock>,
        meter: &Meter,
    ) -> HttpCaller {
        HttpCaller::with_limits(
            config,
            dispatcher,
            store,
            clock,
            meter,
            CallLimits::default(),
        )
    }

    /// Creates a caller with the given limits.
    #[must_use]
    pub fn with_limits(
        config: ConfigView,
        dispatcher: Arc<dyn Dispatcher>,
        store: Arc<dyn TableStore>,
        clock: Arc<dyn Clock>,
        meter: &Meter,
        limits: CallLimits,
    ) -> HttpCaller {
        let meters = CallMeters::new(meter);
        let records = CallRecords::new(store, Arc::clone(&clock), meters.clone(), limits);
        let shared = CallerShared {
            config,
            dispatcher,
            records,
            clock,
            meters,
            limits,
            hedge_delays: Mutex::default(),
        };
        HttpCaller {
            shared: Arc::new(shared),
        }
    }

    fn context(&self, request: TargetRequest) -> Result<Rc<CallContext>, Problem> {
        let config = self.shared.config.load();
        let now = self.shared.clock.uptime();
        let context = CallContext::new(request, &config, now, self.shared.limits)?;
        Ok(Rc::new(context))
    }

    async fn run_call(&self, request: TargetRequest) -> Result<BufferedResponse, Problem> {
        let context = self.context(request)?;
        if let Some(call) = IdempotentCall::of(&context) {
            return self.call_idempotent(call, context).await;
        }
        self.call_with_retries(&context).await
    }

    /// Runs a call under an idempotency key. It continues if the caller disconnects, so that a resend finds the result.
    async fn call_idempotent(
        &self,
        call: IdempotentCall,
        context: Rc<CallContext>,
    ) -> Result<BufferedResponse, Problem> {
        let caller = self.clone();
        let deadline = context.deadline;
        let run = actix_rt::spawn(async move {
            let records = &caller.shared.records;
            let sent = caller.call_with_retries(&context);
            call.run(records, deadline, sent).await
        });
        run.await.unwrap_or_else(|error| {
            let problem = Problem::new(ResultCode::Internal, error.to_string());
            Err(problem.with_executed(Executed::Unknown))
        })
    }

    /// Tries targets until one returns a complete response.
    async fn call_with_retries(&self, context: &CallContext) -> Result<BufferedResponse, Problem> {
        let mut retries = 0;
        let mut last_failure: Option<Box<AttemptFailure>> = None;
        loop {
            let hedges = context.service.hedge && context.service.repeatable && retries == 0;
            let result = if hedges {
                self.hedged_attempt(context, &mut retries).await
            } else {
                self.buffered_attempt(context, retries > 0).await
            };
            let failure = match result {
                Ok(response) => return Ok(response),
                Err(AttemptError::NoTicket(problem)) => {
                    return finish_without_ticket(context, last_failure, problem);
                }
                Err(AttemptError::Failed(failure)) => failure,
            };
            if !context.may_retry(&failure, retries) {
                return finish_failed(context, *failure);
            }
            retries += 1;
            self.shared.meters.count_retry();
            last_failure = Some(failure);
        }
    }

    /// Tries a target, and a second one if the first is slow. The first complete response is used.
    async fn hedged_attempt(
        &self,
        context: &CallContext,
        retries: &mut u32,
    ) -> Result<BufferedResponse, AttemptError> {
        let delay = self.hedge_delay(context);
        let mut first = pin!(self.buffered_attempt(context, false));
        tokio::select! {
            biased;
            end = &mut first => return end,
            () = sleep(delay) => {}
        }
        *retries += 1;
        self.shared.meters.count_hedge();
        let mut second = pin!(self.buffered_attempt(context, true));
        let (failed, other) = tokio::select! {
            biased;
            end = &mut first => match end {
                Ok(response) => return Ok(response),
                Err(failed) => (failed, second.await),
            },
            end = &mut second => match end {
                Ok(response) => return Ok(response),
                Err(failed) => (failed, first.await),
            },
        };
        match (failed, other) {
            (_, Ok(response)) => Ok(response),
            (AttemptError::Failed(failure), Err(AttemptError::NoTicket(_))) => {
                Err(AttemptError::Failed(failure))
            }
            (_, Err(end)) => Err(end),
        }
    }

    fn hedge_delay(&self, context: &CallContext) -> Duration {
        let delays = self.shared.hedge_delays.lock();
        let delays = delays.unwrap_or_else(PoisonError::into_inner);
        delays.delay(&context.request.service, &self.shared.limits)
    }

    fn record_duration(&self, context: &CallContext, started: Instant) {
        if !context.service.hedge {
            return;
        }
        let delays = self.shared.hedge_delays.lock();
        let mut delays = delays.unwrap_or_else(PoisonError::into_inner);
        delays.record(&context.request.service, started.elapsed());
    }

    /// Acquires a ticket for one attempt.
    async fn acquire(
        &self,
        context: &CallContext,
        is_retry: bool,
    ) -> Result<TargetTicket, AttemptError> {
        let request = context.ticket_request(is_retry);
        let acquired = self.shared.dispatcher.acquire(request);
        let acquired = timeout_at(context.deadline, acquired).await;
        // A ticket at the deadline is useless, because nothing may be sent any more.
        match acquired {
            Ok(Ok(ticket)) if !context.time_left().is_zero() => Ok(ticket),
            Ok(Err(problem)) => Err(AttemptError::NoTicket(problem)),
            _ => {
                let reason = "no target was free in time";
                Err(AttemptError::NoTicket(
                    context.new_problem(context.deadline_code, reason),
                ))
            }
        }
    }

    /// One attempt of a buffered call.
    async fn buffered_attempt(
        &self,
        context: &CallContext,
        is_retry: bool,
    ) -> Result<BufferedResponse, AttemptError> {
        let ticket = self.acquire(context, is_retry).await?;
        let started = Instant::now();
        let mut preempted = ticket.preempted.clone();
        let exchange = timeout_at(context.deadline, exchange_buffered(context, &ticket));
        let end = tokio::select! {
            biased;
            () = wait_until_set(&mut preempted) => Err(preempt_failure()),
            end = exchange => {
                end.unwrap_or_else(|_| Err(context.deadline_failure(started.elapsed())))
            }
        };
        let outcome = match &end {
            Ok(response) => CallOutcome::Completed {
                first_byte: response.first_byte,
            },
            Err(failure) => failure.outcome,
        };
        self.shared.meters.count_attempt(outcome);
        ticket.finish(outcome);
        if end.is_ok() {
            self.record_duration(context, started);
        }
        end.map_err(|failure| AttemptError::Failed(Box::new(failure)))
    }

    async fn run_stream(&self, request: TargetRequest) -> Result<StreamingResponse, Problem> {
        let context = self.context(request)?;
        if let Some(call) = IdempotentCall::of(&context) {
            let response = self.call_idempotent(call, context).await?;
            let target = response.target.clone();
            let target = target.unwrap_or_else(|| TargetId::const_new(STORED_TARGET));
            return Ok(single_chunk_stream(response, target));
        }
        self.open_stream(&context).await
    }

    /// Tries targets until one delivers the first chunk of its response.
    async fn open_stream(&self, context: &Rc<CallContext>) -> Result<StreamingResponse, Problem> {
        let mut retries = 0;
        let mut last_failure: Option<Box<AttemptFailure>> = None;
        loop {
            let failure = match self.streaming_attempt(context, retries > 0).await {
                Ok(response) => return Ok(response),
                Err(AttemptError::NoTicket(problem)) => {
                    let response = finish_without_ticket(context, last_failure, problem)?;
                    return Ok(into_stream(response));
                }
                Err(AttemptError::Failed(failure)) => failure,
            };
            if !context.may_retry(&failure, retries) {
                return finish_failed(context, *failure).map(into_stream);
            }
            retries += 1;
            self.shared.meters.count_retry();
            last_failure = Some(failure);
        }
    }

    /// One attempt of a streamed call, up to the first chunk of the response.
    async fn streaming_attempt(
        &self,
        context: &Rc<CallContext>,
        is_retry: bool,
    ) -> Result<StreamingResponse, AttemptError> {
        let ticket = self.acquire(context, is_retry).await?;
        let started = Instant::now();
        let mut preempted = ticket.preempted.clone();
        let mark = context.begin_attempt(&ticket.target);
        let until = context
            .deadline
            .min(started + context.limits.first_event_timeout);
        let sent = timeout_at(until, send_request(context, &ticket, &mark));
        let head = tokio::select! {
            biased;
            () = wait_until_set(&mut preempted) => Err(preempt_failure()),
            head = sent => head.unwrap_or_else(|_| Err(head_timeout_failure(context, until, started))),
        };
        let head = match head {
            Ok(head) => head,
            Err(failure) => return Err(self.fail_attempt(ticket, failure)),
        };
        if head.is_success() && (head.is_event_stream() || !context.is_model()) {
            return self.await_first_chunk(context, head, ticket).await;
        }
        self.buffer_response(context, head, ticket, started).await
    }

    fn fail_attempt(&self, ticket: TargetTicket, failure: AttemptFailure) -> AttemptError {
        self.shared.meters.count_attempt(failure.outcome);
        ticket.finish(failure.outcome);
        AttemptError::Failed(Box::new(failure))
    }

    /// Waits for the first chunk. Until it arrives, another target can still be tried.
    async fn await_first_chunk(
        &self,
        context: &Rc<CallContext>,
        head: ResponseHead,
        ticket: TargetTicket,
    ) -> Result<StreamingResponse, AttemptError> {
        let meters = self.shared.meters.clone();
        let mut stream = ResponseStream::new(Rc::clone(context), meters, head, ticket);
        let first = stream.next().await.transpose();
        let first = first.map_err(|failure| AttemptError::Failed(Box::new(failure)))?;
        Ok(stream.into_response(first))
    }

    /// Reads a response that is not streamed, such as an error, to its end.
    async fn buffer_response(
        &self,
        context: &Rc<CallContext>,
        head: ResponseHead,
        ticket: TargetTicket,
        started: Instant,
    ) -> Result<StreamingResponse, AttemptError> {
        let first_byte = head.first_byte;
        let mut preempted = ticket.preempted.clone();
        let read = timeout_at(
            context.deadline,
            read_response(context, &ticket.target, head),
        );
        let end = tokio::select! {
            biased;
            () = wait_until_set(&mut preempted) => Err(preempt_failure()),
            end = read => {
                end.unwrap_or_else(|_| Err(context.deadline_failure(started.elapsed())))
            }
        };
        match end {
            Ok(response) => {
                let target = ticket.target.clone();
                let outcome = CallOutcome::Completed { first_byte };
                self.shared.meters.count_attempt(outcome);
                ticket.finish(outcome);
                Ok(single_chunk_stream(response, target))
            }
            Err(failure) => Err(self.fail_attempt(ticket, failure)),
        }
    }
}

/// Failure of a stream whose head did not arrive by `until`.
fn head_timeout_failure(context: &CallContext, until: Instant, started: Instant) -> AttemptFailure {
    if until < context.deadline {
        let reason = "the stream did not begin in time";
        return AttemptFailure::new(ResultCode::TargetTimeout, reason);
    }
    context.deadline_failure(started.elapsed())
}

/// Sends a request and reads its complete response.
async fn exchange_buffered(
    context: &CallContext,
    ticket: &TargetTicket,
) -> Result<BufferedResponse, AttemptFailure> {
    let mark = context.begin_attempt(&ticket.target);
    let head = send_request(context, ticket, &mark).await?;
    read_response(context, &ticket.target, head).await
}

/// Ends a call that got no further ticket. An earlier failure takes precedence over the missing ticket.
fn finish_without_ticket(
    context: &CallContext,
    last_failure: Option<Box<AttemptFailure>>,
    problem: Problem,
) -> Result<BufferedResponse, Problem> {
    match last_failure {
        Some(failure) => finish_failed(context, *failure),
        None => Err(problem.with_executed(context.executed())),
    }
}

/// Ends a call whose last attempt failed. A response of the target, if there is one, is returned as it is.
fn finish_failed(
    context: &CallContext,
    failure: AttemptFailure,
) -> Result<BufferedResponse, Problem> {
    let problem = context.problem(&failure);
    failure.response.map(|response| *response).ok_or(problem)
}

fn into_stream(response: BufferedResponse) -> StreamingResponse {
    let target = response.target.clone().unwrap_or_default();
    single_chunk_stream(response, target)
}

impl TargetCaller for HttpCaller {
    fn call(
        &self,
        request: TargetRequest,
    ) -> LocalBoxFuture<'_, Result<BufferedResponse, Problem>> {
        async move {
            let response = self.run_call(request).await;
            response.inspect_err(|problem| self.shared.meters.count_problem(problem))
        }
        .boxed_local()
    }

    fn stream(
        &self,
        request: TargetRequest,
    ) -> LocalBoxFuture<'_, Result<StreamingResponse, Problem>> {
        async move {
            let response = self.run_stream(request).await;
            response.inspect_err(|problem| self.shared.meters.count_problem(problem))
        }
        .boxed_local()
    }
}
