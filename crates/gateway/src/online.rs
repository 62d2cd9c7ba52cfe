//! Checks that every online call passes before it is sent to a target.

use crate::identity::{admit, admit_address, identify};
use crate::state::{GatewayParts, GatewayState};
use actix_web::web::Bytes;
use actix_web::{HttpMessage as _, HttpRequest};
use compact_str::{CompactString, ToCompactString};
use plantainmill_admission::KeyOwner;
use plantainmill_batch::Caller;
use plantainmill_config::ServiceSpec;
use plantainmill_core::InFlightGuard;
use plantainmill_core::{Problem, ResultCode, Uptime};
use plantainmill_dispatch::TrafficClass;
use plantainmill_proxy::{TargetRequest, request_parts};
use std::time::Duration;

/// Request header with the caller's time limit for the complete response, in milliseconds. It can only shorten the
/// service's limit.
pub const TIMEOUT_HEADER: &str = "plantainmill-timeout-ms";
/// Request header with a key under which a repeated call is executed only once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// A call that passed all checks and may be sent to a target.
pub struct AdmittedCall {
    /// Configuration of the service that is called.
    pub service: ServiceSpec,
    /// Key of the caller and its organisation; `None` on open routes.
    pub key_owner: Option<KeyOwner>,
    /// Time by which the response has to be complete.
    pub deadline: Uptime,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<CompactString>,
    /// Counts the request as in flight until it is dropped.
    pub in_flight: InFlightGuard,
}

impl AdmittedCall {
    /// The request to send to a target. It carries only the headers in `FORWARDED_HEADERS`, not the caller's key.
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
                .key_owner
                .as_ref()
                .map(|key_owner| key_owner.organisation.clone()),
            class: TrafficClass::Online,
            method: request.method().as_str().into(),
            parts: request_parts(&path, &body),
            path,
            headers: forwarded_headers(request),
            body,
            prefix_hash: None,
            deadline: self.deadline,
            idempotency_key: self.idempotency_key.clone(),
        }
    }
}

/// Checks key, service, headers and rate of a call to service `name`, in this order.
///
/// # Errors
///
/// Returns the first check that failed. Nothing was sent to a target.
pub async fn admit_call(
    request: &HttpRequest,
    state: &GatewayState,
    name: &str,
) -> Result<AdmittedCall, Problem> {
    let parts = &state.parts;
    let in_flight = parts.drain.enter()?;
    let config = parts.view.load();
    let service = config.services.get(name);
    let is_open = service.is_some_and(|service| service.open);
    // The key is checked before the service, so that only callers with a valid key learn which services exist.
    let key_owner = if is_open {
        None
    } else {
        Some(identify(request, parts)?)
    };
    if let Some(key_owner) = &key_owner {
        let organisation = key_owner.organisation.clone();
        request.extensions_mut().insert(Caller { organisation });
    }
    let Some(service) = service else {
        let reason = format!("there is no service {name:?}");
        return Err(Problem::new(ResultCode::UnknownService, reason).with_field("model"));
    };
    let deadline = read_deadline(request, service, parts)?;
    let idempotency_key = read_idempotency_key(request)?;
    match &key_owner {
        Some(key_owner) => admit(&key_owner.organisation, parts).await?,
        None => admit_address(request, &config, parts)?,
    }
    Ok(AdmittedCall {
        service: service.clone(),
        key_owner,
        deadline,
        idempotency_key,
        in_flight,
    })
}

/// Deadline from the service's time limit, or from the caller's if that is shorter.
fn read_deadline(
    request: &HttpRequest,
    service: &ServiceSpec,
    parts: &GatewayParts,
) -> Result<Uptime, Problem> {
    let mut limit = service.timeout_ms;
    if let Some(text) = single_header(request, TIMEOUT_HEADER)? {
        let requested: u64 = text.parse().map_err(|_| {
            Problem::new(ResultCode::BadHeader, "must be whole milliseconds")
                .with_field(TIMEOUT_HEADER)
        })?;
        limit = limit.min(requested);
    }
    Ok(parts.clock.uptime() + Duration::from_millis(limit))
}

/// The caller's idempotency key, if there is one.
///
/// # Errors
///
/// Refuses a repeated header, and a key that is empty, above 255 bytes, or holds `/` or anything other than visible
/// ASCII characters.
pub fn read_idempotency_key(request: &HttpRequest) -> Result<Option<CompactString>, Problem> {
    let Some(text) = single_header(request, IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    let is_valid = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'/');
    if is_valid {
        return Ok(Some(text));
    }
    let reason = format!("must be 1 to {MAX_IDEMPOTENCY_KEY_BYTES} visible characters without '/'");
    Err(Problem::new(ResultCode::BadHeader, reason).with_field(IDEMPOTENCY_HEADER))
}

/// The value of a header that may occur at most once.
fn single_header(request: &HttpRequest, name: &str) -> Result<Option<CompactString>, Problem> {
    let mut values = request.headers().get_all(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(Problem::new(ResultCode::BadHeader, "occurs more than once").with_field(name));
    }
    let Some(value) = first else { return Ok(None) };
    let text = value
        .to_str()
        .map_err(|_| Problem::new(ResultCode::BadHeader, "is not ASCII").with_field(name))?;
    Ok(Some(text.to_compact_string()))
}

/// Request headers that are forwarded to targets. All others are dropped, so that no form of a key reaches a target.
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

/// Reads the complete body of a request.
///
/// # Errors
///
/// Refuses a body of more than `limit` bytes, and one that ends early.
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
