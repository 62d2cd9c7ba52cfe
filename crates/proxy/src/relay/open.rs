//! Selects a target for a request and opens its response.

use super::call::{HeaderNames, RelayCall, RelayLimits};
use super::ending::{CallFailure, CutCause, ResponseMeters, ResponseState, log_completed};
use super::events::{EventSplitter, check_order};
use super::exchange::{CallSend, SendFailure, TargetResponse, broken_body_outcome};
use super::recorder::StreamRecorder;
use super::send::PathProbes;
use super::stream::RelayStream;
use crate::limits::PATH_CONNECT_TIMEOUT;
use crate::send_trace::SendTrace;
use crate::transport::{TargetDialer, TcpDialer, client_with_dialer, strict_client};
use awc::http::Method;
use awc::http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use futures_util::stream::LocalBoxStream;
use opentelemetry::metrics::Meter;
use plantainmill_core::{Clock, Executed, PartList, Problem, ResultCode, TargetId, Uptime};
use plantainmill_dispatch::{CallOutcome, Dispatcher, TargetTicket};
use plantainmill_paths::TargetPaths;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Retry-After of a request that failed at its targets or found no free target in time.
const RELAY_RETRY_AFTER: Duration = Duration::from_millis(400);

/// A response for the caller.
pub struct RelayResponse {
    /// HTTP status of the first target whose response was passed on.
    pub status: u16,
    /// Headers of the first target whose response was passed on.
    pub headers: HeaderMap,
    /// Body. An error item is the last item and means that the body is incomplete.
    pub body: LocalBoxStream<'static, Result<Bytes, Problem>>,
}

/// Relays requests to targets. Clones share their state.
#[derive(Clone)]
pub struct RelayCaller {
    pub(super) shared: Rc<RelayShared>,
}

pub(super) struct RelayShared {
    /// Client for targets.
    pub client: awc::Client,
    /// Client for targets that opens a connection for each request.
    pub fresh_client: awc::Client,
    /// Client for VMs that forward requests.
    pub peer_client: awc::Client,
    pub dispatcher: Arc<dyn Dispatcher>,
    pub clock: Arc<dyn Clock>,
    pub names: HeaderNames,
    pub limits: RelayLimits,
    pub recorder: Option<Rc<dyn StreamRecorder>>,
    pub paths: Option<Rc<PathProbes>>,
    pub meters: Rc<ResponseMeters>,
    /// Bytes of all responses that are being buffered.
    pub buffered_bytes: Cell<usize>,
}

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

/// A call and the results of its sends so far.
pub(super) struct CallProgress {
    pub call: RelayCall,
    /// Targets that failed the call.
    pub excluded: Vec<TargetId>,
    /// Number of targets that may have executed the request.
    pub executions: u32,
    /// Number of sends so far, including those that targets refused.
    pub sends: u32,
    /// Whether any target has executed the request, as far as is known.
    pub executed: Executed,
    pub begun_at: Instant,
}

impl CallProgress {
    /// Rejects a success without a length and without a body, because a target that stops after the head sends the same.
    fn check_body(&self, response: &TargetResponse, body: &Bytes) -> Result<(), SendFailure> {
        let has_body = self.call.method != Method::HEAD
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

    fn new(call: RelayCall) -> CallProgress {
        CallProgress {
            call,
            excluded: Vec::new(),
            executions: 0,
            sends: 0,
            executed: Executed::No,
            begun_at: Instant::now(),
        }
    }

    /// Records a failed send and returns whether the request may be sent again.
    pub fn record_failure(
        &mut self,
        target: &TargetId,
        failure: &SendFailure,
        limits: &RelayLimits,
    ) -> bool {
        self.excluded.push(target.clone());
        if failure.executed != Executed::No {
            self.executed = Executed::Unknown;
            self.executions += 1;
        }
        let is_safe = self.executed == Executed::No || self.call.may_repeat;
        is_safe
            && !failure.is_deadline
            && self.executions < self.call.max_executions
            && self.sends < limits.max_sends
    }

    /// Whether another target may execute the request if the current one fails.
    fn may_fail_over(&self) -> bool {
        self.call.may_repeat && self.executions + 1 < self.call.max_executions
    }

    /// Turns a server error into a failure if another target may execute the request; otherwise it is passed on.
    fn check_status(&self, status: u16) -> Result<(), SendFailure> {
        if status >= 500 && self.may_fail_over() {
            let reason = format!("the target failed with status {status}");
            return Err(SendFailure::new(Executed::Yes, CallOutcome::Failed, reason));
        }
        Ok(())
    }

    /// How a call ends without a response to pass on.
    fn failure(&self, failure: &SendFailure) -> CallFailure {
        let code = match (self.executed, failure.is_deadline) {
            (Executed::No, true) => ResultCode::QueueFull,
            (Executed::No, false) => ResultCode::TargetRefused,
            (_, true) => ResultCode::TargetTimeout,
            (_, false) => ResultCode::TargetFailed,
        };
        let problem = Problem::new(code, failure.reason.clone())
            .with_executed(self.executed)
            .with_retry_after(RELAY_RETRY_AFTER);
        CallFailure {
            problem,
            cause: CutCause::from(failure),
        }
    }

    /// How a call ends for which no slot is available.
    fn no_slot_failure(&self, problem: Problem) -> CallFailure {
        let cause = CutCause::of_refusal(problem.code);
        if self.executed == Executed::No {
            return CallFailure { problem, cause };
        }
        let problem =
            Problem::new(ResultCode::TargetFailed, problem.reason).with_executed(self.executed);
        CallFailure { problem, cause }
    }
}

/// A response whose first part has arrived.
pub(super) struct StartedResponse {
    pub response: TargetResponse,
    pub ticket: TargetTicket,
    pub splitter: EventSplitter,
    pub first: Bytes,
    pub last_event: Option<u64>,
    pub first_byte: Duration,
    /// When the last complete event arrived.
    pub progress_at: Instant,
}

impl StartedResponse {
    /// The response as its log line names it.
    pub fn state(&self) -> ResponseState<'_> {
        ResponseState {
            target: Some(&self.ticket.target),
            version: self.ticket.version.as_deref(),
            status: self.response.status,
            last_event: self.last_event,
            silence: Some(self.progress_at.elapsed()),
        }
    }
}

impl RelayCaller {
    /// Creates a relay that takes its tickets from `dispatcher`.
    #[must_use]
    pub fn new(
        dispatcher: Arc<dyn Dispatcher>,
        clock: Arc<dyn Clock>,
        names: HeaderNames,
        limits: RelayLimits,
    ) -> RelayCaller {
        RelayCaller {
            shared: Rc::new(RelayShared {
                client: strict_client(),
                fresh_client: strict_client(),
                peer_client: client_with_dialer(Rc::new(TcpDialer), PATH_CONNECT_TIMEOUT),
                dispatcher,
                clock,
                names,
                limits,
                recorder: None,
                paths: None,
                meters: Rc::new(ResponseMeters::disabled()),
                buffered_bytes: Cell::new(0),
            }),
        }
    }

    /// Has the versions of streams remembered by `recorder`.
    #[must_use]
    pub fn with_recorder(self, recorder: Rc<dyn StreamRecorder>) -> RelayCaller {
        self.rebuild(|shared| shared.recorder = Some(recorder))
    }

    /// Has connections to targets opened by `dialer`, and requests forwarded by other VMs where this one has lost its paths.
    #[must_use]
    pub fn with_paths(self, paths: TargetPaths, dialer: Rc<dyn TargetDialer>) -> RelayCaller {
        self.rebuild(|shared| {
            shared.client = client_with_dialer(Rc::clone(&dialer), PATH_CONNECT_TIMEOUT);
            shared.fresh_client = client_with_dialer(Rc::clone(&dialer), PATH_CONNECT_TIMEOUT);
            shared.paths = Some(Rc::new(PathProbes::new(paths, dialer)));
        })
    }

    /// Counts responses that end early in an instrument whose name begins with `prefix`.
    #[must_use]
    pub fn with_meter(self, meter: &Meter, prefix: &str) -> RelayCaller {
        self.rebuild(|shared| shared.meters = Rc::new(ResponseMeters::new(meter, prefix)))
    }

    /// States that this VM closes all connections from now on, so that responses that end early are not ended by callers.
    pub fn set_closing(&self) {
        self.shared.meters.set_closing();
    }

    fn rebuild(self, change: impl FnOnce(&mut RelayShared)) -> RelayCaller {
        let shared = &self.shared;
        let mut rebuilt = RelayShared {
            client: shared.client.clone(),
            fresh_client: shared.fresh_client.clone(),
            peer_client: shared.peer_client.clone(),
            dispatcher: Arc::clone(&shared.dispatcher),
            clock: Arc::clone(&shared.clock),
            names: shared.names.clone(),
            limits: shared.limits,
            recorder: shared.recorder.clone(),
            paths: shared.paths.clone(),
            meters: Rc::clone(&shared.meters),
            buffered_bytes: Cell::new(0),
        };
        change(&mut rebuilt);
        RelayCaller {
            shared: Rc::new(rebuilt),
        }
    }

    /// Names of the headers that are exchanged with targets.
    #[must_use]
    pub fn header_names(&self) -> &HeaderNames {
        &self.shared.names
    }

    /// Dispatcher that issues the tickets.
    #[must_use]
    pub fn dispatcher(&self) -> &Arc<dyn Dispatcher> {
        &self.shared.dispatcher
    }

    /// Sends `call` and returns the response once its first event, or its complete body, has arrived.
    ///
    /// # Errors
    ///
    /// The problem states why there is no response and whether the request was executed.
    pub async fn open(&self, call: RelayCall) -> Result<RelayResponse, Problem> {
        let mut progress = CallProgress::new(call);
        if progress.call.is_stream {
            let last_event = progress.call.last_event;
            let started = if progress.call.is_resumable_start() {
                self.start_recorded(&mut progress).await?
            } else {
                let started = self.start_stream(&mut progress, last_event).await;
                started.map_err(|failure| failure.problem)?
            };
            return Ok(RelayStream::response(self.clone(), progress, started));
        }
        self.open_buffered(&mut progress).await
    }

    /// Opens a stream that its caller may take up later, and has its version remembered before the first event is passed on.
    async fn start_recorded(
        &self,
        progress: &mut CallProgress,
    ) -> Result<StartedResponse, Problem> {
        let Some(recorder) = &self.shared.recorder else {
            let started = self.start_stream(progress, None).await;
            return started.map_err(|failure| failure.problem);
        };
        let service = progress.call.service.clone();
        progress.call.version = recorder.preferred_version(&service);
        let started = self.start_stream(progress, None).await;
        let started = started.map_err(|failure| failure.problem)?;
        let has_events = started.last_event.is_some();
        if let (true, Some(version)) = (has_events, &started.ticket.version) {
            let id = progress.call.id.clone();
            if let Err(problem) = recorder.record_start(&id, &service, version).await {
                started.ticket.finish(CallOutcome::Abandoned);
                return Err(problem.with_executed(Executed::Yes));
            }
        }
        Ok(started)
    }

    pub(super) fn time_left(&self, deadline: Uptime) -> Duration {
        deadline.saturating_sub(self.shared.clock.uptime())
    }

    async fn acquire(&self, progress: &CallProgress) -> Result<TargetTicket, CallFailure> {
        self.check_reachable()
            .map_err(|problem| progress.no_slot_failure(problem))?;
        let request = progress.call.ticket_request(&progress.excluded);
        let until = Instant::now() + self.time_left(progress.call.deadline);
        let acquired = timeout_at(until, self.shared.dispatcher.acquire(request)).await;
        let late = || {
            let problem = Problem::new(ResultCode::QueueFull, "no target was free in time");
            Err(problem.with_retry_after(RELAY_RETRY_AFTER))
        };
        let ticket = acquired.unwrap_or_else(|_| late());
        ticket.map_err(|problem| progress.no_slot_failure(problem))
    }

    /// Sends to one target after the other until `attempt` succeeds or no further send is allowed.
    async fn try_targets<T>(
        &self,
        progress: &mut CallProgress,
        attempt: impl AsyncFn(&CallProgress, &TargetTicket) -> Result<T, SendFailure>,
    ) -> Result<(T, TargetTicket), CallFailure> {
        loop {
            let ticket = self.acquire(progress).await?;
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
            self.check_path(&target, &failure);
            log_failure(&progress.call, (&target, version.as_deref()), &failure);
            if !progress.record_failure(&target, &failure, &self.shared.limits) {
                return Err(progress.failure(&failure));
            }
        }
    }

    /// Opens a stream and waits for its first events.
    pub(super) async fn start_stream(
        &self,
        progress: &mut CallProgress,
        last_event: Option<u64>,
    ) -> Result<StartedResponse, CallFailure> {
        let attempt = async |progress: &CallProgress, ticket: &TargetTicket| {
            self.read_first_events(progress, ticket, last_event).await
        };
        let (opened, ticket) = self.try_targets(progress, attempt).await?;
        let (response, splitter, first, last_event) = opened;
        if last_event.is_some() {
            progress.call.version.clone_from(&ticket.version);
        }
        progress.executions += 1;
        progress.executed = Executed::Yes;
        let first_byte = response.sent_at.elapsed();
        Ok(StartedResponse {
            response,
            ticket,
            splitter,
            first,
            last_event,
            first_byte,
            progress_at: Instant::now(),
        })
    }

    async fn read_first_events(
        &self,
        progress: &CallProgress,
        ticket: &TargetTicket,
        last_event: Option<u64>,
    ) -> Result<(TargetResponse, EventSplitter, Bytes, Option<u64>), SendFailure> {
        let call = &progress.call;
        let limits = &self.shared.limits;
        let until = Instant::now() + self.time_left(call.deadline);
        // A silent target is abandoned only if another one may execute the request.
        let failover_delay = (call.first_event_objective * 2).max(limits.min_first_event_timeout);
        let silence_deadline = if progress.may_fail_over() {
            until.min(Instant::now() + failover_delay)
        } else {
            until
        };
        let trace = SendTrace::default();
        let silence_failure = || {
            let mut failure = SendFailure::deadline();
            if silence_deadline < until {
                failure = SendFailure::silent(Executed::Unknown, "no first event came");
            }
            failure.at(&trace)
        };
        let send = self.send(CallSend {
            call,
            ticket,
            last_event,
            until,
            is_repeat: progress.excluded.contains(&ticket.target),
            trace: &trace,
        });
        let mut response = timeout_at(silence_deadline, send)
            .await
            .map_err(|_| silence_failure())??;
        let mut splitter = EventSplitter::default();
        if !response.is_success() || !response.is_event_stream() {
            return self.read_error_response(progress, response, until).await;
        }
        loop {
            let part = timeout_at(silence_deadline, response.payload.next());
            match part.await.map_err(|_| silence_failure())? {
                Some(Ok(part)) => {
                    let failed =
                        |reason| SendFailure::new(Executed::Yes, CallOutcome::Failed, reason);
                    let events = splitter.push(&part).map_err(failed)?;
                    let mut last_event = last_event;
                    check_order(&events, &mut last_event).map_err(failed)?;
                    if !events.is_empty() {
                        let first = join_events(events.iter().map(|event| &event.bytes));
                        return Ok((response, splitter, first, last_event));
                    }
                }
                Some(Err(error)) => {
                    let outcome = broken_body_outcome(&error, CallOutcome::ConnectionLost);
                    let reason = format!("the stream was cut before its first event: {error}");
                    return Err(SendFailure::new(Executed::Unknown, outcome, reason).at(&trace));
                }
                // Without a length, a crash ends a stream like a complete response. Only one that continues after the last
                // event has no events.
                None if splitter.is_at_boundary()
                    && (response.is_framed || last_event.is_some()) =>
                {
                    return Ok((response, splitter, Bytes::new(), last_event));
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
        progress: &CallProgress,
        mut response: TargetResponse,
        until: Instant,
    ) -> Result<(TargetResponse, EventSplitter, Bytes, Option<u64>), SendFailure> {
        progress.check_status(response.status)?;
        let body = self.read_full_body(&mut response, until).await?;
        progress.check_body(&response, &body)?;
        Ok((response, EventSplitter::default(), body, None))
    }

    async fn read_full_body(
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

    async fn open_buffered(&self, progress: &mut CallProgress) -> Result<RelayResponse, Problem> {
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
            is_repeat: progress.excluded.contains(&ticket.target),
            trace: &trace,
        });
        let mut response = send.await?;
        let body = self.read_full_body(&mut response, until).await?;
        progress.check_status(response.status)?;
        progress.check_body(&response, &body)?;
        Ok((response, body))
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

pub(super) fn log_failure(
    call: &RelayCall,
    (target, version): (&TargetId, Option<&str>),
    failure: &SendFailure,
) {
    tracing::info!(
        event = "send_failed",
        request = %call.id,
        fingerprint = format!("{:016x}", call.fingerprint()),
        parts = %PartList(&call.parts),
        %target,
        version,
        resumed_after = call.last_event,
        executed = failure.executed.as_str(),
        outcome = ?failure.outcome,
        connected = failure.was_connected,
        reason = %failure.reason,
    );
}
