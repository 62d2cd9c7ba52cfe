//! Authentication and rate limits of requests.

use crate::state::GatewayParts;
use actix_web::HttpRequest;
use actix_web::http::header::{AUTHORIZATION, HeaderValue};
use plantainmill_admission::{KeyOwner, RateVerdict};
use plantainmill_config::FleetConfig;
use plantainmill_core::{OrganisationId, Problem, ResultCode};
use std::net::IpAddr;

/// Checks the key in the `Authorization` header of `request`.
///
/// # Errors
///
/// Fails when the header is missing or malformed, or the key is not valid.
pub fn identify(request: &HttpRequest, parts: &GatewayParts) -> Result<KeyOwner, Problem> {
    let headers = request.headers().get_all(AUTHORIZATION);
    parts.keys.authenticate(headers.map(HeaderValue::as_bytes))
}

/// Counts one request against the rate of `organisation`.
///
/// # Errors
///
/// Refuses the request when rate and burst are exhausted, with the delay until a retry.
pub async fn admit(organisation: &OrganisationId, parts: &GatewayParts) -> Result<(), Problem> {
    match parts.limiter.admit(organisation).await {
        RateVerdict::Admitted => Ok(()),
        RateVerdict::Refused { retry_after } => {
            let reason = format!("the rate and burst of {organisation} are exhausted");
            Err(Problem::new(ResultCode::RateExceeded, reason).with_retry_after(retry_after))
        }
    }
}

/// Counts one request against the rate of the client's address, for open routes. Requests without a known address
/// share one rate.
///
/// # Errors
///
/// Refuses the request when the rate is exhausted, with the delay until a retry.
pub fn admit_address(
    request: &HttpRequest,
    config: &FleetConfig,
    parts: &GatewayParts,
) -> Result<(), Problem> {
    let unspecified = IpAddr::from([0, 0, 0, 0]);
    let address = request.peer_addr().map_or(unspecified, |peer| peer.ip());
    let rate = config.defaults.open_rate_per_s;
    parts.addresses.admit(address, rate, parts.clock.uptime())
}
