//! Calls targets over HTTP.

use crate::body::read_whole;
use crate::caller::{BufferedResponse, StreamingResponse, TargetCaller, TargetRequest};
use crate::context::{CallContext, TryFailure};
use crate::exchange::{AnswerHead, send_request};
use crate::hedge::HedgeDelays;
use crate::limits::CallLimits;
use crate::live::{LiveStream, preempt_failure, whole_stream};
use crate::meters::CallMeters;
use crate::recorded::RecordedCall;
use crate::records::CallRecords;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use opentelemetry::metrics::Meter;
use plantainmill_config::ConfigView;
use plantainmill_core::{Clock, Executed, Problem, ResultCode, TargetId, wait_set};
use plantainmill_dispatch::{CallOutcome, Dispatcher, TargetTicket};
use plantainmill_provider::TableStore;
use std::pin::pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Target named in the stream of an answer that was stored.
const STORED_TARGET: &str = "stored";

/// Calls targets over HTTP. Clones share the same state; connections are pooled per thread.
///
/// It has to be used within an actix runtime.
#[derive(Clone)]
pub struct HttpCaller {
    parts: Arc<CallerParts>,
}

struct CallerParts {
    config: ConfigView,
    dispatcher: Arc<dyn Dispatcher>,
    records: CallRecords,
    clock: Arc<dyn Clock>,
    meters: CallMeters,
    limits: CallLimits,
    hedges: Mutex<HedgeDelays>,
}

/// Why a try has no answer.
enum TryEnd {
    /// The dispatcher gave no ticket.
    NoTicket(Problem),
    /// The try failed.
    Failed(Box<TryFailure>),
}

impl HttpCaller {
    /// A caller with the default limits.
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

    /// A caller with other limits.
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
        let parts = CallerParts {
            config,
            dispatcher,
            records,
            clock,
            meters,
            limits,
            hedges: Mutex::default(),
        };
        HttpCaller {
            parts: Arc::new(parts),
        }
    }

    fn context(&self, request: TargetRequest) -> Result<Rc<CallContext>, Problem> {
        let config = self.parts.config.load();
        let now = self.parts.clock.uptime();
        let context = CallContext::new(request, &config, now, self.parts.limits)?;
        Ok(Rc::new(context))
    }

    async fn run_call(&self, request: TargetRequest) -> Result<BufferedResponse, Problem> {
        let context = self.context(request)?;
        if let Some(call) = RecordedCall::of(&context) {
            return self.call_recorded(call, context).await;
        }
        self.call_whole(&context).await
    }

    /// Runs a call under an idempotency key. It goes on when the caller goes away, so that a resend finds its answer.
    async fn call_recorded(
        &self,
        call: RecordedCall,
        context: Rc<CallContext>,
    ) -> Result<BufferedResponse, Problem> {
        let caller = self.clone();
        let deadline = context.deadline;
        let run = actix_rt::spawn(async move {
            let records = &caller.parts.records;
            let sent = caller.call_whole(&context);
            call.run(records, deadline, sent).await
        });
        run.await.unwrap_or_else(|error| {
            let problem = Problem::new(ResultCode::Internal, error.to_string());
            Err(problem.with_executed(Executed::Unknown))
        })
    }

    /// Tries targets until one gives a whole answer.
    async fn call_whole(&self, context: &CallContext) -> Result<BufferedResponse, Problem> {
        let mut retries = 0;
        let mut last: Option<Box<TryFailure>> = None;
        loop {
            let hedges = context.service.hedge && context.service.repeatable && retries == 0;
            let tried = if hedges {
                self.hedged_try(context, &mut retries).await
            } else {
                self.whole_try(context, retries > 0).await
            };
            let failure = match tried {
                Ok(answer) => return Ok(answer),
                Err(TryEnd::NoTicket(problem)) => return end_call(context, last, problem),
                Err(TryEnd::Failed(failure)) => failure,
            };
            if !context.may_retry(&failure, retries) {
                return end_failed(context, *failure);
            }
            retries += 1;
            self.parts.meters.count_retry();
            last = Some(failure);
        }
    }

    /// Tries a target, and a second one if the first is slow. The first whole answer wins.
    async fn hedged_try(
        &self,
        context: &CallContext,
        retries: &mut u32,
    ) -> Result<BufferedResponse, TryEnd> {
        let delay = self.hedge_delay(context);
        let mut first = pin!(self.whole_try(context, false));
        tokio::select! {
            biased;
            end = &mut first => return end,
            () = sleep(delay) => {}
        }
        *retries += 1;
        self.parts.meters.count_hedge();
        let mut second = pin!(self.whole_try(context, true));
        let (failed, other) = tokio::select! {
            biased;
            end = &mut first => match end {
                Ok(answer) => return Ok(answer),
                Err(failed) => (failed, second.await),
            },
            end = &mut second => match end {
                Ok(answer) => return Ok(answer),
                Err(failed) => (failed, first.await),
            },
        };
        match (failed, other) {
            (_, Ok(answer)) => Ok(answer),
            (TryEnd::Failed(failure), Err(TryEnd::NoTicket(_))) => Err(TryEnd::Failed(failure)),
            (_, Err(end)) => Err(end),
        }
    }

    fn hedge_delay(&self, context: &CallContext) -> Duration {
        let hedges = self.parts.hedges.lock();
        let hedges = hedges.unwrap_or_else(PoisonError::into_inner);
        hedges.delay(&context.request.service, &self.parts.limits)
    }

    fn record_duration(&self, context: &CallContext, since: Instant) {
        if !context.service.hedge {
            return;
        }
        let hedges = self.parts.hedges.lock();
        let mut hedges = hedges.unwrap_or_else(PoisonError::into_inner);
        hedges.record(&context.request.service, since.elapsed());
    }

    /// Gets a ticket for one try.
    async fn acquire(&self, context: &CallContext, is_retry: bool) -> Result<TargetTicket, TryEnd> {
        let request = context.ticket_request(is_retry);
        let acquired = self.parts.dispatcher.acquire(request);
        let acquired = timeout_at(context.deadline, acquired).await;
        // A ticket that comes at the deadline is of no use: nothing may be sent any more.
        match acquired {
            Ok(Ok(ticket)) if !context.time_left().is_zero() => Ok(ticket),
            Ok(Err(problem)) => Err(TryEnd::NoTicket(problem)),
            _ => {
                let reason = "no target was free in time";
                Err(TryEnd::NoTicket(
                    context.new_problem(context.deadline_code, reason),
                ))
            }
        }
    }

    /// One try of a whole call.
    async fn whole_try(
        &self,
        context: &CallContext,
        is_retry: bool,
    ) -> Result<BufferedResponse, TryEnd> {
        let ticket = self.acquire(context, is_retry).await?;
        let started = Instant::now();
        let mut preempted = ticket.preempted.clone();
        let exchange = timeout_at(context.deadline, exchange_whole(context, &ticket));
        let end = tokio::select! {
            biased;
            () = wait_set(&mut preempted) => Err(preempt_failure()),
            end = exchange => {
                end.unwrap_or_else(|_| Err(context.deadline_failure(started.elapsed())))
            }
        };
        let outcome = match &end {
            Ok(answer) => CallOutcome::Completed {
                first_byte: answer.first_byte,
            },
            Err(failure) => failure.outcome,
        };
        self.parts.meters.count_try(outcome);
        ticket.finish(outcome);
        if end.is_ok() {
            self.record_duration(context, started);
        }
        end.map_err(|failure| TryEnd::Failed(Box::new(failure)))
    }

    async fn run_stream(&self, request: TargetRequest) -> Result<StreamingResponse, Problem> {
        let context = self.context(request)?;
        if let Some(call) = RecordedCall::of(&context) {
            let answer = self.call_recorded(call, context).await?;
            let target = answer.target.clone();
            let target = target.unwrap_or_else(|| TargetId::const_new(STORED_TARGET));
            return Ok(whole_stream(answer, target));
        }
        self.open_stream(&context).await
    }

    /// Tries targets until one gives the first part of its answer.
    async fn open_stream(&self, context: &Rc<CallContext>) -> Result<StreamingResponse, Problem> {
        let mut retries = 0;
        let mut last: Option<Box<TryFailure>> = None;
        loop {
            let failure = match self.stream_try(context, retries > 0).await {
                Ok(answer) => return Ok(answer),
                Err(TryEnd::NoTicket(problem)) => {
                    let answer = end_call(context, last, problem)?;
                    return Ok(passed_on(answer));
                }
                Err(TryEnd::Failed(failure)) => failure,
            };
            if !context.may_retry(&failure, retries) {
                return end_failed(context, *failure).map(passed_on);
            }
            retries += 1;
            self.parts.meters.count_retry();
            last = Some(failure);
        }
    }

    /// One try of a stream, up to the first part of the answer.
    async fn stream_try(
        &self,
        context: &Rc<CallContext>,
        is_retry: bool,
    ) -> Result<StreamingResponse, TryEnd> {
        let ticket = self.acquire(context, is_retry).await?;
        let started = Instant::now();
        let mut preempted = ticket.preempted.clone();
        let mark = context.begin_try(&ticket.target);
        let until = context.deadline.min(started + context.limits.first_event);
        let sent = timeout_at(until, send_request(context, ticket.address, &mark));
        let head = tokio::select! {
            biased;
            () = wait_set(&mut preempted) => Err(preempt_failure()),
            head = sent => head.unwrap_or_else(|_| Err(late_head(context, until, started))),
        };
        let head = match head {
            Ok(head) => head,
            Err(failure) => return Err(self.end_try(ticket, failure)),
        };
        if head.is_success() && (head.is_event_stream() || !context.is_model()) {
            return self.first_part(context, head, ticket).await;
        }
        self.whole_part(context, head, ticket, started).await
    }

    fn end_try(&self, ticket: TargetTicket, failure: TryFailure) -> TryEnd {
        self.parts.meters.count_try(failure.outcome);
        ticket.finish(failure.outcome);
        TryEnd::Failed(Box::new(failure))
    }

    /// Waits for the first part, up to which another target may still be tried.
    async fn first_part(
        &self,
        context: &Rc<CallContext>,
        head: AnswerHead,
        ticket: TargetTicket,
    ) -> Result<StreamingResponse, TryEnd> {
        let meters = self.parts.meters.clone();
        let mut live = LiveStream::new(Rc::clone(context), meters, head, ticket);
        let first = live.next().await.transpose();
        let first = first.map_err(|failure| TryEnd::Failed(Box::new(failure)))?;
        Ok(live.into_answer(first))
    }

    /// Reads an answer that is no stream, such as an error.
    async fn whole_part(
        &self,
        context: &Rc<CallContext>,
        head: AnswerHead,
        ticket: TargetTicket,
        started: Instant,
    ) -> Result<StreamingResponse, TryEnd> {
        let first_byte = head.first_byte;
        let mut preempted = ticket.preempted.clone();
        let read = timeout_at(context.deadline, read_whole(context, &ticket.target, head));
        let end = tokio::select! {
            biased;
            () = wait_set(&mut preempted) => Err(preempt_failure()),
            end = read => {
                end.unwrap_or_else(|_| Err(context.deadline_failure(started.elapsed())))
            }
        };
        match end {
            Ok(answer) => {
                let target = ticket.target.clone();
                let outcome = CallOutcome::Completed { first_byte };
                self.parts.meters.count_try(outcome);
                ticket.finish(outcome);
                Ok(whole_stream(answer, target))
            }
            Err(failure) => Err(self.end_try(ticket, failure)),
        }
    }
}

/// The failure of a stream whose head did not come by `until`.
fn late_head(context: &CallContext, until: Instant, started: Instant) -> TryFailure {
    if until < context.deadline {
        let reason = "the stream did not begin in time";
        return TryFailure::new(ResultCode::TargetTimeout, reason);
    }
    context.deadline_failure(started.elapsed())
}

/// Sends a request and reads its whole answer.
async fn exchange_whole(
    context: &CallContext,
    ticket: &TargetTicket,
) -> Result<BufferedResponse, TryFailure> {
    let mark = context.begin_try(&ticket.target);
    let head = send_request(context, ticket.address, &mark).await?;
    read_whole(context, &ticket.target, head).await
}

/// The end of a call that got no further ticket: the last failure says more than the missing ticket.
fn end_call(
    context: &CallContext,
    last: Option<Box<TryFailure>>,
    problem: Problem,
) -> Result<BufferedResponse, Problem> {
    match last {
        Some(failure) => end_failed(context, *failure),
        None => Err(problem.with_executed(context.executed())),
    }
}

/// The end of a call whose last try failed. A target's own answer is passed on.
fn end_failed(context: &CallContext, failure: TryFailure) -> Result<BufferedResponse, Problem> {
    let problem = context.problem(&failure);
    failure.answer.map(|answer| *answer).ok_or(problem)
}

fn passed_on(answer: BufferedResponse) -> StreamingResponse {
    let target = answer.target.clone().unwrap_or_default();
    whole_stream(answer, target)
}

impl TargetCaller for HttpCaller {
    fn call(
        &self,
        request: TargetRequest,
    ) -> LocalBoxFuture<'_, Result<BufferedResponse, Problem>> {
        async move {
            let answer = self.run_call(request).await;
            answer.inspect_err(|problem| self.parts.meters.count_problem(problem))
        }
        .boxed_local()
    }

    fn stream(
        &self,
        request: TargetRequest,
    ) -> LocalBoxFuture<'_, Result<StreamingResponse, Problem>> {
        async move {
            let answer = self.run_stream(request).await;
            answer.inspect_err(|problem| self.parts.meters.count_problem(problem))
        }
        .boxed_local()
    }
}
