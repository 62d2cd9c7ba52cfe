//! Who a request runs for.

use crate::state::GatewayParts;
use actix_web::HttpRequest;
use actix_web::http::header::{AUTHORIZATION, HeaderValue};
use plantainmill_admission::{KeyOwner, RateVerdict};
use plantainmill_config::FleetConfig;
use plantainmill_core::{OrganisationId, Problem, ResultCode};
use std::net::IpAddr;

/// Checks the key that came with `request`.
///
/// # Errors
///
/// Says what is wrong with the header or the key.
pub fn identify(request: &HttpRequest, parts: &GatewayParts) -> Result<KeyOwner, Problem> {
    let headers = request.headers().get_all(AUTHORIZATION);
    parts.keys.authenticate(headers.map(HeaderValue::as_bytes))
}

/// Takes one request from the rate of `organisation`.
///
/// # Errors
///
/// Refuses it when rate and burst are used up, and says when to return.
pub async fn admit(organisation: &OrganisationId, parts: &GatewayParts) -> Result<(), Problem> {
    match parts.limiter.admit(organisation).await {
        RateVerdict::Admitted => Ok(()),
        RateVerdict::Refused { retry_after } => {
            let reason = format!("the rate and burst of {organisation} are used up");
            Err(Problem::new(ResultCode::RateExceeded, reason).with_retry_after(retry_after))
        }
    }
}

/// Takes one request from the rate of the client's address, for open routes.
///
/// # Errors
///
/// Refuses it when the rate is used up, and says when to return.
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
