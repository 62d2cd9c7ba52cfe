//! Selects a target for a request and opens its response.

use super::call::{CONTINUATION_WAIT, HeaderNames, RelayCall, RelayLimits};
use super::ending::{CallFailure, CutCause, ResponseMeters};
use super::events::EventSplitter;
use super::exchange::SendFailure;
use super::hedge::RelayHedger;
use super::hedge_policy::HedgeSettings;
use super::progress::{CallProgress, RELAY_RETRY_AFTER, StartedResponse};
use super::recorder::StreamRecorder;
use super::send::PathProbes;
use super::stream::RelayStream;
use crate::limits::{CONNECT_TIMEOUT, PATH_CONNECT_TIMEOUT};
use crate::transport::{TargetDialer, TcpDialer, client_with_dialer};
use awc::http::header::HeaderMap;
use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use opentelemetry::metrics::Meter;
use plantainmill_core::{Clock, Executed, Problem, ResultCode, TargetId, Uptime};
use plantainmill_dispatch::{CallOutcome, Dispatcher, TargetTicket};
use plantainmill_paths::TargetPaths;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

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
    /// Client for VMs that forward requests.
    pub peer_client: awc::Client,
    pub dispatcher: Arc<dyn Dispatcher>,
    pub clock: Arc<dyn Clock>,
    pub names: HeaderNames,
    pub limits: RelayLimits,
    pub recorder: Option<Rc<dyn StreamRecorder>>,
    pub paths: Option<Rc<PathProbes>>,
    pub meters: Rc<ResponseMeters>,
    /// Sends slow requests to a second target; absent where the settings do not ask for it.
    pub hedger: Option<Rc<RelayHedger>>,
    /// Bytes of all responses that are being buffered.
    pub buffered_bytes: Cell<usize>,
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
                client: client_with_dialer(Rc::new(TcpDialer), CONNECT_TIMEOUT),
                peer_client: client_with_dialer(Rc::new(TcpDialer), PATH_CONNECT_TIMEOUT),
                dispatcher,
                clock,
                names,
                limits,
                recorder: None,
                paths: None,
                meters: Rc::new(ResponseMeters::disabled()),
                hedger: None,
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
            shared.paths = Some(Rc::new(PathProbes::new(paths, dialer)));
        })
    }

    /// Counts responses that end early in an instrument whose name begins with `prefix`.
    #[must_use]
    pub fn with_meter(self, meter: &Meter, prefix: &str) -> RelayCaller {
        self.rebuild(|shared| shared.meters = Rc::new(ResponseMeters::new(meter, prefix)))
    }

    /// Has requests that may be repeated hedged by `settings`. The instruments have names that begin with `prefix`.
    #[must_use]
    pub fn with_hedging(self, settings: HedgeSettings, meter: &Meter, prefix: &str) -> RelayCaller {
        if !settings.is_enabled() {
            return self;
        }
        let now = self.shared.clock.uptime();
        let hedger = Rc::new(RelayHedger::new(settings, now, meter, prefix));
        self.rebuild(|shared| shared.hedger = Some(hedger))
    }

    /// States that this VM closes all connections from now on, so that responses that end early are not ended by callers.
    pub fn set_closing(&self) {
        self.shared.meters.set_closing();
    }

    fn rebuild(self, change: impl FnOnce(&mut RelayShared)) -> RelayCaller {
        let shared = &self.shared;
        let mut rebuilt = RelayShared {
            client: shared.client.clone(),
            peer_client: shared.peer_client.clone(),
            dispatcher: Arc::clone(&shared.dispatcher),
            clock: Arc::clone(&shared.clock),
            names: shared.names.clone(),
            limits: shared.limits,
            recorder: shared.recorder.clone(),
            paths: shared.paths.clone(),
            meters: Rc::clone(&shared.meters),
            hedger: shared.hedger.clone(),
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

    /// Splitter for a stream of events of a target.
    #[must_use]
    pub fn event_splitter(&self) -> EventSplitter {
        EventSplitter::with_header(self.header_names().event_header.clone())
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
                self.start_recorded(&mut progress).await
            } else {
                let started = self.start_stream(&mut progress, last_event).await;
                started.map_err(|failure| failure.problem)
            };
            let started = started.inspect_err(|problem| progress.log_end(problem))?;
            return Ok(RelayStream::response(self.clone(), progress, started));
        }
        let opened = self.open_buffered(&mut progress).await;
        opened.inspect_err(|problem| progress.log_end(problem))
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
        Rc::make_mut(&mut progress.call).version = recorder.preferred_version(&service);
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

    /// Waits for a slot, at another target than `current` if the request is at one.
    pub(super) async fn acquire(
        &self,
        progress: &CallProgress,
        current: Option<&TargetId>,
    ) -> Result<TargetTicket, CallFailure> {
        let mut request = progress.call.ticket_request(&progress.excluded);
        self.check_reachable(&request.regions)
            .map_err(|problem| progress.no_slot_failure(problem))?;
        let regions = request.regions.clone();
        request.barred.extend(current.cloned());
        if progress.executed != Executed::No {
            // Its caller could not be told that it did not run.
            request.wait_limit = request.wait_limit.max(Some(CONTINUATION_WAIT));
        }
        let until = Instant::now() + self.time_left(progress.call.deadline);
        let acquired = timeout_at(until, self.shared.dispatcher.acquire(request)).await;
        let Ok(ticket) = acquired else {
            let problem = Problem::new(ResultCode::QueueFull, "no target was free in time");
            let failure = progress.no_slot_failure(problem.with_retry_after(RELAY_RETRY_AFTER));
            let cause = CutCause::from(&SendFailure::deadline());
            return Err(CallFailure { cause, ..failure });
        };
        ticket.map_err(|problem| {
            if problem.code == ResultCode::RegionUnavailable {
                self.record_region_refusal(&progress.call, &regions, None);
            }
            progress.no_slot_failure(problem)
        })
    }
}
