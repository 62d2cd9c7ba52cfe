//! The steps that every online call goes through before a target is called.

use crate::identity::{admit, admit_address, identify};
use crate::state::{GatewayParts, GatewayState};
use actix_web::HttpRequest;
use actix_web::web::Bytes;
use compact_str::{CompactString, ToCompactString};
use plantainmill_admission::KeyOwner;
use plantainmill_config::ServiceSpec;
use plantainmill_core::InFlightGuard;
use plantainmill_core::{Problem, ResultCode, Uptime};
use plantainmill_dispatch::TrafficClass;
use plantainmill_proxy::TargetRequest;
use std::time::Duration;

/// Header by which a caller shortens the time until the whole answer.
pub const TIMEOUT_HEADER: &str = "plantainmill-timeout-ms";
/// Header that makes a resend of a call harmless.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const IDEMPOTENCY_LIMIT_BYTES: usize = 255;

/// A call that may be sent to a target.
pub struct AdmittedCall {
    /// Service it calls.
    pub service: ServiceSpec,
    /// Caller; absent on open routes.
    pub identity: Option<KeyOwner>,
    /// When the answer has to be whole.
    pub deadline: Uptime,
    /// Caller's idempotency key.
    pub idempotency_key: Option<CompactString>,
    /// Counts the request as in flight.
    pub flight: InFlightGuard,
}

impl AdmittedCall {
    /// The request to send, without the caller's key.
    #[must_use]
    pub fn target_request(
        &self,
        name: &str,
        request: &HttpRequest,
        path: String,
        body: Bytes,
    ) -> TargetRequest {
        TargetRequest {
            service: name.into(),
            organisation: self
                .identity
                .as_ref()
                .map(|identity| identity.organisation.clone()),
            class: TrafficClass::Online,
            method: request.method().as_str().into(),
            path,
            headers: forwarded_headers(request),
            body,
            prefix_hash: None,
            deadline: self.deadline,
            idempotency_key: self.idempotency_key.clone(),
        }
    }
}

/// Checks key, service, headers and rate of a call to service `name`.
///
/// # Errors
///
/// Gives the first reason why the call may not run; nothing was sent to a target.
pub async fn admit_call(
    request: &HttpRequest,
    state: &GatewayState,
    name: &str,
) -> Result<AdmittedCall, Problem> {
    let parts = &state.parts;
    let flight = parts.drain.enter()?;
    let config = parts.view.load();
    let service = config.services.get(name);
    let is_open = service.is_some_and(|service| service.open);
    // The key is checked before the service, so that only callers learn which services exist.
    let identity = if is_open {
        None
    } else {
        Some(identify(request, parts)?)
    };
    let Some(service) = service else {
        let reason = format!("there is no service {name:?}");
        return Err(Problem::new(ResultCode::UnknownService, reason).with_field("model"));
    };
    let deadline = read_deadline(request, service, parts)?;
    let idempotency_key = read_idempotency_key(request)?;
    match &identity {
        Some(identity) => admit(&identity.organisation, parts).await?,
        None => admit_address(request, &config, parts)?,
    }
    Ok(AdmittedCall {
        service: service.clone(),
        identity,
        deadline,
        idempotency_key,
        flight,
    })
}

/// The service's time limit, or the caller's if it is shorter.
fn read_deadline(
    request: &HttpRequest,
    service: &ServiceSpec,
    parts: &GatewayParts,
) -> Result<Uptime, Problem> {
    let mut limit = service.timeout_ms;
    if let Some(text) = single_header(request, TIMEOUT_HEADER)? {
        let wanted: u64 = text.parse().map_err(|_| {
            Problem::new(ResultCode::BadHeader, "must be whole milliseconds")
                .with_field(TIMEOUT_HEADER)
        })?;
        limit = limit.min(wanted);
    }
    Ok(parts.clock.uptime() + Duration::from_millis(limit))
}

/// The caller's idempotency key, if there is one.
///
/// # Errors
///
/// Refuses a key that is repeated, empty, too long or not ASCII.
pub fn read_idempotency_key(request: &HttpRequest) -> Result<Option<CompactString>, Problem> {
    let Some(text) = single_header(request, IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    let is_valid = (1..=IDEMPOTENCY_LIMIT_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/');
    if is_valid {
        return Ok(Some(text));
    }
    let reason = format!("must be 1 to {IDEMPOTENCY_LIMIT_BYTES} visible characters without '/'");
    Err(Problem::new(ResultCode::BadHeader, reason).with_field(IDEMPOTENCY_HEADER))
}

/// The value of a header that may come once at most.
fn single_header(request: &HttpRequest, name: &str) -> Result<Option<CompactString>, Problem> {
    let mut values = request.headers().get_all(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(Problem::new(ResultCode::BadHeader, "came more than once").with_field(name));
    }
    let Some(value) = first else { return Ok(None) };
    let text = value
        .to_str()
        .map_err(|_| Problem::new(ResultCode::BadHeader, "is not ASCII").with_field(name))?;
    Ok(Some(text.to_compact_string()))
}

/// Headers that may go to a target. Only these are passed on, so that no form of a key can slip through.
const FORWARDED_HEADERS: [&str; 4] = ["accept", "accept-language", "content-type", "user-agent"];

fn forwarded_headers(request: &HttpRequest) -> Vec<(CompactString, CompactString)> {
    FORWARDED_HEADERS
        .iter()
        .filter_map(|name| {
            let value = request.headers().get(*name)?.to_str().ok()?;
            Some((CompactString::from(*name), value.into()))
        })
        .collect()
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Refuses a body above the limit or one that was cut.
pub async fn read_body(payload: actix_web::web::Payload, limit: usize) -> Result<Bytes, Problem> {
    match payload.to_bytes_limited(limit).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => Err(Problem::new(ResultCode::BadRequest, error.to_string())),
        Err(_) => {
            let reason = format!("the body exceeds {limit} bytes");
            Err(Problem::new(ResultCode::BodyTooLarge, reason))
        }
    }
}
