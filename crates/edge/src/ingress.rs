//! Requests of callers: route lookup, authentication, document freshness, rate limiting and relaying to a target.

use crate::codec::RequestHead;
use crate::jobs;
use crate::response::{
    hop_by_hop_headers, log_problem, missing_document, problem_response, relay_response,
};
use crate::state::EdgeState;
use crate::stream_records::StreamRecords;
use actix_web::http::header::{AUTHORIZATION, EXPECT, HOST, HeaderMap};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use compact_str::CompactString;
use plantainmill_admission::pools::{TokenKind, TokenReceipt};
use plantainmill_core::{Executed, OrganisationId, Problem, ResultCode, Uptime};
use plantainmill_dispatch::TrafficClass;
use plantainmill_proxy::relay::{CallRegions, RelayCall, RelayResponse};
use plantainmill_routing::{CallerLimits, DocumentRegions, FleetDocument, RouteKind, RouteRule};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Retry delay for a caller whose key or route this VM could not check. Another VM probably can.
const UNCHECKED_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Age of the document from which an unknown route or key may simply be too new. Three read intervals of the document.
const STALE_DOCUMENT_AGE: Duration = Duration::from_millis(1_500);
/// Divisor of the route's objective that gives the longest wait for a slot. A later refusal leaves the caller too
/// little time to retry elsewhere.
const SLOT_WAIT_DIVISOR: u32 = 4;

/// A caller's request with its buffered body.
pub(crate) struct BufferedRequest {
    pub request: HttpRequest,
    pub body: Bytes,
    pub head: RequestHead,
    pub arrived_at: Uptime,
}

impl BufferedRequest {
    /// Request id for logs and responses; `-` if the caller sent none.
    pub fn id(&self) -> &str {
        self.head.id.as_deref().unwrap_or("-")
    }

    /// Requested host in lower case and without the port.
    fn host(&self) -> CompactString {
        let host = self.request.headers().get(HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        host.to_ascii_lowercase().into()
    }

    /// API key: the bearer token of the `Authorization` header.
    fn key(&self) -> Option<&str> {
        let value = self.request.headers().get(AUTHORIZATION)?.to_str().ok()?;
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    }
}

/// A request that has no answer yet. Dropping it before there is one records that the caller's connection is closed.
struct RequestWatch<'a> {
    state: &'a EdgeState,
    id: Option<CompactString>,
    path: CompactString,
    arrived_at: Uptime,
    is_answered: bool,
}

impl Drop for RequestWatch<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let elapsed = self.state.clock.uptime().saturating_sub(self.arrived_at);
        let ended_by = if self.state.is_closing.get() {
            "vm"
        } else {
            "caller"
        };
        self.state.metrics.count_unanswered(ended_by);
        tracing::info!(
            event = "request_unanswered",
            request = self.id.as_deref().unwrap_or("-"),
            path = %self.path,
            ended_by,
            elapsed_ms = elapsed.as_millis(),
        );
    }
}

/// Handles a request of a caller.
pub(crate) async fn handle(
    request: HttpRequest,
    payload: web::Payload,
    state: web::Data<Rc<EdgeState>>,
) -> HttpResponse {
    let state = Rc::clone(&state);
    let guard = state.requests_in_flight.enter();
    let arrived_at = state.clock.uptime();
    let head = state.codec.read_head(request.headers());
    let mut buffered = BufferedRequest {
        request,
        body: Bytes::new(),
        head,
        arrived_at,
    };
    let mut watch = RequestWatch {
        state: &state,
        id: buffered.head.id.clone(),
        path: buffered.request.path().into(),
        arrived_at,
        is_answered: false,
    };
    let outcome = match read_body(&state, payload).await {
        Ok(body) => {
            buffered.body = body;
            serve(&state, &buffered).await
        }
        Err(problem) => Err(problem),
    };
    watch.is_answered = true;
    match outcome {
        Ok(RequestOutcome::Relayed(response)) => {
            state.metrics.count_request(0);
            let elapsed = state.clock.uptime().saturating_sub(arrived_at);
            state.metrics.record_first_byte(elapsed);
            relay_response(&state, response, guard)
        }
        Ok(RequestOutcome::Local(response)) => response,
        Err(problem) => {
            state.metrics.count_request(problem.code.number());
            let resumes = buffered.head.resumes.as_deref();
            log_problem(buffered.id(), buffered.request.path(), resumes, &problem);
            problem_response(&state, buffered.id(), &problem)
        }
    }
}

async fn read_body(state: &EdgeState, payload: web::Payload) -> Result<Bytes, Problem> {
    let limits = state
        .view
        .load()
        .map_or_else(CallerLimits::default, |document| document.limits);
    let body = payload.to_bytes_limited(limits.body_bytes).await;
    let body = body.map_err(|_| {
        let reason = format!("the body exceeds {} bytes", limits.body_bytes);
        Problem::new(ResultCode::BodyTooLarge, reason)
    })?;
    body.map_err(|error| Problem::new(ResultCode::BadRequest, error.to_string()))
}

enum RequestOutcome {
    Relayed(RelayResponse),
    Local(HttpResponse),
}

async fn serve(
    state: &Rc<EdgeState>,
    buffered: &BufferedRequest,
) -> Result<RequestOutcome, Problem> {
    let with_retry_delay = |problem: Problem| problem.with_retry_after(UNCHECKED_RETRY_DELAY);
    let document = state
        .view
        .load()
        .ok_or_else(|| with_retry_delay(missing_document()))?;
    let request = &buffered.request;
    let wait = request.headers().get(state.codec.wait_header());
    let wait = wait.and_then(|wait| wait.to_str().ok());
    let method = request.method().as_str();
    let job_call =
        state
            .codec
            .jobs()
            .read_call(method, request.path(), request.query_string(), wait);
    if let Some(call) = job_call {
        let organisation = authenticate(state, buffered, &document)?;
        let response = jobs::handle_call(state, &organisation, call).await;
        return response.map(RequestOutcome::Local);
    }
    let host = buffered.host();
    let Some(route) = document.find_route(&host, request.path()) else {
        let problem = Problem::new(ResultCode::UnknownRoute, "no such route");
        return Err(retry_if_stale(state, problem));
    };
    let organisation = if route.public || !document.has_organisations() {
        None
    } else {
        Some(authenticate(state, buffered, &document)?)
    };
    if let (RouteKind::Batch, "POST", Some(organisation)) = (route.kind, method, &organisation) {
        let response = jobs::submit(state, organisation, route, buffered).await;
        return response.map(RequestOutcome::Local);
    }
    let is_resumable = route.kind == RouteKind::Streaming && route.resumable;
    let continues_stream = is_resumable && buffered.head.continues_stream();
    let receipt = match &organisation {
        Some(organisation) => take_token(state, organisation, continues_stream).await?,
        None => TokenReceipt::Unlimited,
    };
    let opened = open(state, buffered, &document, route, organisation).await;
    if opened
        .as_ref()
        .is_err_and(|problem| problem.executed == Executed::No)
    {
        state.limiter.give_back(receipt);
    }
    opened
        .map(RequestOutcome::Relayed)
        .map_err(StreamRecords::with_retry_delay)
}

/// Takes a token for a request of `organisation`, if it has a limit.
async fn take_token(
    state: &EdgeState,
    organisation: &OrganisationId,
    continues_stream: bool,
) -> Result<TokenReceipt, Problem> {
    let kind = if continues_stream {
        TokenKind::Continuation
    } else {
        TokenKind::Request
    };
    let taken = state.limiter.admit(organisation, kind).await;
    taken.map_err(|retry_after| {
        let reason = format!("the rate of {organisation} is used up");
        Problem::new(ResultCode::RateExceeded, reason).with_retry_after(retry_after)
    })
}

/// Sends the request to a target.
async fn open(
    state: &EdgeState,
    buffered: &BufferedRequest,
    document: &FleetDocument,
    route: &RouteRule,
    organisation: Option<OrganisationId>,
) -> Result<RelayResponse, Problem> {
    let is_resumable = route.kind == RouteKind::Streaming && route.resumable;
    let mut call = relay_call(state, buffered, document, route, organisation)?;
    if is_resumable && buffered.head.continues_stream() {
        let first = buffered.head.resumes.as_deref();
        let (service, version) = state.streams.resolve(&call.service, first).await?;
        call.service = service;
        call.version = Some(version);
    }
    state.relay_caller.open(call).await
}

/// Turns the rejection of an unknown route or key into a retryable one if the document may be out of date.
fn retry_if_stale(state: &EdgeState, problem: Problem) -> Problem {
    if state
        .document_age()
        .is_some_and(|age| age < STALE_DOCUMENT_AGE)
    {
        return problem;
    }
    let reason = format!("{}, and the document may be old", problem.reason);
    Problem::new(ResultCode::KeyUnchecked, reason).with_retry_after(UNCHECKED_RETRY_DELAY)
}

/// Returns the organisation to which the caller's key belongs.
fn authenticate(
    state: &EdgeState,
    buffered: &BufferedRequest,
    document: &Arc<FleetDocument>,
) -> Result<OrganisationId, Problem> {
    if !state.can_verify_keys() {
        let reason = "the document is too old to check keys";
        let problem = Problem::new(ResultCode::KeyUnchecked, reason);
        return Err(problem.with_retry_after(UNCHECKED_RETRY_DELAY));
    }
    let key = buffered
        .key()
        .ok_or_else(|| Problem::new(ResultCode::KeyMissing, "send Authorization: Bearer KEY"))?;
    let found = document.organisation_of_key(key).cloned();
    found.ok_or_else(|| retry_if_stale(state, Problem::new(ResultCode::KeyUnknown, "unknown key")))
}

fn relay_call(
    state: &EdgeState,
    buffered: &BufferedRequest,
    document: &FleetDocument,
    route: &RouteRule,
    organisation: Option<OrganisationId>,
) -> Result<RelayCall, Problem> {
    let id = buffered.head.id.clone().ok_or_else(|| {
        Problem::new(ResultCode::BadHeader, "the request has no id")
            .with_field(state.codec.names().request_id.as_str())
    })?;
    // A stream that is taken up stays with the service that began it.
    let begun_by = buffered.head.resumes.as_ref().unwrap_or(&id);
    let service = route.pick_service(begun_by).cloned().ok_or_else(|| {
        Problem::new(ResultCode::NoTarget, "the route has no service")
            .with_retry_after(UNCHECKED_RETRY_DELAY)
    })?;
    let requested_time = buffered.head.timeout.unwrap_or(route.time_limit);
    let path = buffered.request.uri().path_and_query();
    let regions = CallRegions::of_source(Rc::new(DocumentRegions {
        view: state.view.clone(),
        clock: Arc::clone(&state.clock),
        host: buffered.host(),
        path: buffered.request.path().into(),
        job_route: None,
        organisation: organisation.clone(),
    }));
    let regions = regions.narrowed_to(&document.allowed_regions(route, organisation.as_ref()));
    let organisation_priority = organisation.as_ref().and_then(|organisation| {
        let rule = document.organisations.get(organisation)?;
        rule.priority
    });
    Ok(RelayCall {
        route: route.name.clone(),
        service,
        organisation,
        priority: organisation_priority.unwrap_or(route.priority),
        class: TrafficClass::Online,
        method: buffered.request.method().clone(),
        path: path.map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned()),
        headers: target_headers(state, buffered.request.headers(), document),
        body: buffered.body.clone(),
        prefix_hash: buffered.head.prefix_hash,
        parts: buffered.head.parts.clone(),
        deadline: buffered.arrived_at + requested_time.min(route.time_limit),
        wait_limit: route.objective / SLOT_WAIT_DIVISOR,
        max_executions: route.attempts.max(1),
        may_repeat: route.may_repeat(),
        is_stream: route.kind == RouteKind::Streaming,
        first_event_objective: route.objective,
        event_gap: route.event_gap,
        last_event: buffered.head.last_event,
        version: None,
        regions,
        id,
    })
}

/// Returns the caller's headers to forward to a target: without its key, the headers of the connection, and those that
/// the VM sets itself.
fn target_headers(state: &EdgeState, headers: &HeaderMap, document: &FleetDocument) -> HeaderMap {
    let names = state.codec.names();
    let replaced = [
        &names.request_id,
        &names.deadline,
        &names.organisation,
        &names.expected_instance,
        &names.last_event,
        &EXPECT,
    ];
    let hop_by_hop = hop_by_hop_headers(headers);
    let strips_key = document.has_organisations();
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        let is_key = strips_key && *name == AUTHORIZATION;
        if !is_key && !replaced.contains(&name) && !hop_by_hop.contains(name.as_str()) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
