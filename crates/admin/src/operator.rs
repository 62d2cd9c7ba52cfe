//! Authentication of operators, and the `If-Match` condition of their requests.

use crate::state::AdminState;
use actix_web::HttpRequest;
use actix_web::http::header::{AUTHORIZATION, IF_MATCH};
use compact_str::CompactString;
use plantainmill_core::secret::hash_secret;
use plantainmill_core::{Problem, ResultCode};
use subtle::ConstantTimeEq as _;

/// Name of the operator whose key is in the `Authorization` header of `request`. Hashes are compared in constant time.
pub(crate) fn authenticate(
    request: &HttpRequest,
    state: &AdminState,
) -> Result<CompactString, Problem> {
    let header = request.headers().get(AUTHORIZATION);
    let secret = header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or_else(|| Problem::new(ResultCode::OperatorKey, "the request has no operator key"))?;
    let hash = hash_secret(secret.trim());
    let known = state
        .operators
        .iter()
        .find(|operator| bool::from(operator.hash.as_bytes().ct_eq(hash.as_bytes())));
    known
        .map(|operator| operator.name.clone())
        .ok_or_else(|| Problem::new(ResultCode::OperatorKey, "the operator key is not valid"))
}

/// Configuration version that a change expects, from `If-Match`; `None` for `*`, which accepts any version.
pub(crate) fn expected_version(request: &HttpRequest) -> Result<Option<u64>, Problem> {
    let Some(value) = request.headers().get(IF_MATCH) else {
        let reason = "send If-Match with the ETag of the version you read, or *";
        return Err(Problem::new(ResultCode::ConditionMissing, reason).with_field("if-match"));
    };
    let text = value.to_str().unwrap_or_default().trim();
    if text == "*" {
        return Ok(None);
    }
    let version = text.trim_matches('"').parse().map_err(|_| {
        Problem::new(
            ResultCode::BadHeader,
            "must be a quoted version number or *",
        )
        .with_field("if-match")
    })?;
    Ok(Some(version))
}
