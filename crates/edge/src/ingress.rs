//! Requests of callers: route, key, freshness, rate, target.

use crate::answer::{connection_headers, log_problem, no_document, problem, relay};
use crate::codec::RequestHead;
use crate::jobs;
use crate::state::EdgeState;
use actix_web::http::header::{AUTHORIZATION, EXPECT, HOST, HeaderMap};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use compact_str::CompactString;
use plantainmill_admission::{RateLimiter as _, RateVerdict};
use plantainmill_core::{OrganisationId, Problem, ResultCode, Uptime};
use plantainmill_dispatch::TrafficClass;
use plantainmill_proxy::relay::RelayCall;
use plantainmill_routing::{CallerLimits, FleetDocument, RouteKind, RouteRule};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// When a caller may come back after a VM could not check its key or route. Other VMs can.
const UNCHECKED_RETRY: Duration = Duration::from_millis(200);
/// Age of the document from which an unknown route or key may be a new one. Three reads of the document.
const DOUBT_AGE: Duration = Duration::from_millis(1_500);
/// Part of the objective after which a refusal is worth less to the caller.
const WAIT_PART: u32 = 4;

/// A request that was read whole.
pub(crate) struct ReadRequest {
    pub request: HttpRequest,
    pub body: Bytes,
    pub head: RequestHead,
    pub arrived: Uptime,
}

impl ReadRequest {
    /// Id for logs and answers.
    pub fn id(&self) -> &str {
        self.head.id.as_deref().unwrap_or("-")
    }

    /// Host in lower case, without a port.
    fn host(&self) -> CompactString {
        let host = self.request.headers().get(HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        host.to_ascii_lowercase().into()
    }

    /// The key that the caller presents.
    fn key(&self) -> Option<&str> {
        let value = self.request.headers().get(AUTHORIZATION)?.to_str().ok()?;
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    }
}

/// Answers a caller.
pub(crate) async fn handle(
    request: HttpRequest,
    payload: web::Payload,
    state: web::Data<Rc<EdgeState>>,
) -> HttpResponse {
    let state = Rc::clone(&state);
    let guard = state.flights.enter();
    let arrived = state.clock.uptime();
    let head = state.codec.read_head(request.headers());
    let mut read = ReadRequest {
        request,
        body: Bytes::new(),
        head,
        arrived,
    };
    let served = match read_body(&state, payload).await {
        Ok(body) => {
            read.body = body;
            serve(&state, &read).await
        }
        Err(cause) => Err(cause),
    };
    match served {
        Ok(Served::Relayed(answer)) => {
            state.meters.count_request(0);
            let passed = state.clock.uptime().saturating_sub(arrived);
            state.meters.record_first_byte(passed);
            relay(&state, answer, guard)
        }
        Ok(Served::Own(response)) => response,
        Err(cause) => {
            state.meters.count_request(cause.code.number());
            log_problem(read.id(), read.request.path(), &cause);
            problem(&state, read.id(), &cause)
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

enum Served {
    Relayed(plantainmill_proxy::relay::RelayAnswer),
    Own(HttpResponse),
}

async fn serve(state: &Rc<EdgeState>, read: &ReadRequest) -> Result<Served, Problem> {
    let unchecked = |cause: Problem| cause.with_retry_after(UNCHECKED_RETRY);
    let document = state.view.load().ok_or_else(|| unchecked(no_document()))?;
    let request = &read.request;
    let wait = request.headers().get(state.codec.wait_header());
    let wait = wait.and_then(|wait| wait.to_str().ok());
    let method = request.method().as_str();
    let job_call =
        state
            .codec
            .jobs()
            .read_call(method, request.path(), request.query_string(), wait);
    if let Some(call) = job_call {
        let organisation = identify(state, read, &document)?;
        let response = jobs::answer_call(state, &organisation, call).await;
        return response.map(Served::Own);
    }
    let host = read.host();
    let Some(route) = document.find_route(&host, request.path()) else {
        let cause = Problem::new(ResultCode::UnknownRoute, "no such route");
        return Err(in_doubt(state, cause));
    };
    let organisation = if route.public || !document.has_organisations() {
        None
    } else {
        Some(identify(state, read, &document)?)
    };
    if let (RouteKind::Batch, "POST", Some(organisation)) = (route.kind, method, &organisation) {
        let response = jobs::submit(state, organisation, route, read).await;
        return response.map(Served::Own);
    }
    if let Some(organisation) = &organisation
        && let RateVerdict::Refused { retry_after } = state.limiter.admit(organisation).await
    {
        let reason = format!("the rate of {organisation} is used up");
        let cause = Problem::new(ResultCode::RateExceeded, reason);
        return Err(cause.with_retry_after(retry_after));
    }
    let call = relay_call(state, read, &document, route, organisation)?;
    state.caller.open(call).await.map(Served::Relayed)
}

/// An unknown route or key is only certain while the document is.
fn in_doubt(state: &EdgeState, cause: Problem) -> Problem {
    if state.document_age().is_some_and(|age| age < DOUBT_AGE) {
        return cause;
    }
    let reason = format!("{}, and the document may be old", cause.reason);
    Problem::new(ResultCode::KeyUnchecked, reason).with_retry_after(UNCHECKED_RETRY)
}

/// The organisation that holds the caller's key.
fn identify(
    state: &EdgeState,
    read: &ReadRequest,
    document: &Arc<FleetDocument>,
) -> Result<OrganisationId, Problem> {
    if !state.may_use_keys() {
        let reason = "the document is too old to check keys";
        let cause = Problem::new(ResultCode::KeyUnchecked, reason);
        return Err(cause.with_retry_after(UNCHECKED_RETRY));
    }
    let key = read
        .key()
        .ok_or_else(|| Problem::new(ResultCode::KeyMissing, "send Authorization: Bearer KEY"))?;
    let found = document.organisation_of_key(key).cloned();
    found.ok_or_else(|| in_doubt(state, Problem::new(ResultCode::KeyUnknown, "unknown key")))
}

fn relay_call(
    state: &EdgeState,
    read: &ReadRequest,
    document: &FleetDocument,
    route: &RouteRule,
    organisation: Option<OrganisationId>,
) -> Result<RelayCall, Problem> {
    let id = read.head.id.clone().ok_or_else(|| {
        Problem::new(ResultCode::BadHeader, "the request has no id")
            .with_field(state.codec.names().request_id.as_str())
    })?;
    let service = route.pick_service(&id).cloned().ok_or_else(|| {
        Problem::new(ResultCode::NoTarget, "the route has no service")
            .with_retry_after(UNCHECKED_RETRY)
    })?;
    let wanted = read.head.deadline.unwrap_or(route.time_limit);
    let path = read.request.uri().path_and_query();
    let own_priority = organisation.as_ref().and_then(|organisation| {
        let rule = document.organisations.get(organisation)?;
        rule.priority
    });
    Ok(RelayCall {
        service,
        organisation,
        priority: own_priority.unwrap_or(route.priority),
        class: TrafficClass::Online,
        method: read.request.method().clone(),
        path: path.map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned()),
        headers: target_headers(state, read.request.headers(), document),
        body: read.body.clone(),
        prefix_hash: read.head.prefix_hash,
        deadline: read.arrived + wanted.min(route.time_limit),
        wait_limit: route.objective / WAIT_PART,
        runs: route.attempts.max(1),
        may_repeat: route.may_repeat(),
        is_stream: route.kind == RouteKind::Streaming,
        objective: route.objective,
        event_gap: route.event_gap,
        last_event: read.head.last_event,
        id,
    })
}

/// The caller's headers for a target: without its key, and without what the VM sets itself.
fn target_headers(state: &EdgeState, headers: &HeaderMap, document: &FleetDocument) -> HeaderMap {
    let names = state.codec.names();
    let own = [
        &names.request_id,
        &names.deadline,
        &names.organisation,
        &names.expected_instance,
        &names.last_event,
        &EXPECT,
    ];
    let dropped = connection_headers(headers);
    let hides_key = document.has_organisations();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let is_key = hides_key && *name == AUTHORIZATION;
        if !is_key && !own.contains(&name) && !dropped.contains(name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
