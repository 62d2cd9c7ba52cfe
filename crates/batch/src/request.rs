//! Conversion of an item into the request to its target.

use crate::lines::{ItemRoute, check_line};
use bytes::Bytes;
use compact_str::CompactString;
use plantainmill_config::FleetConfig;
use plantainmill_core::{OrganisationId, Problem, ResultCode, Uptime};
use plantainmill_dispatch::TrafficClass;
use plantainmill_proxy::{TargetRequest, request_parts};
use plantainmill_schema::openai::BatchLine;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time-out of items whose service is not configured; the call then fails with the reason.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);
/// Bytes of an item's body that are hashed for prefix-affinity routing.
const PREFIX_BYTES: usize = 512;

/// Service that an item calls; `None` if its URL or `body.model` is invalid.
#[must_use]
pub fn service_of(item: &BatchLine) -> Option<&str> {
    match ItemRoute::parse(&item.url)? {
        ItemRoute::Model => item.body.get("model").and_then(serde_json::Value::as_str),
        ItemRoute::Service { service, .. } => Some(service),
    }
}

/// Builds the request of an item from its line alone; no header of the batch request is passed on.
///
/// # Errors
///
/// `ItemFailed` if the line is malformed.
pub fn to_request(
    config: &FleetConfig,
    line: &[u8],
    organisation: OrganisationId,
    now: Uptime,
) -> Result<TargetRequest, Problem> {
    let invalid = |reason: String| Problem::new(ResultCode::ItemFailed, reason);
    let item = check_line(line).map_err(invalid)?;
    let service =
        service_of(&item).ok_or_else(|| invalid("the item names no service".to_owned()))?;
    let spec = config.services.get(service);
    let timeout = spec.map_or(DEFAULT_TIMEOUT, |spec| {
        Duration::from_millis(spec.timeout_ms)
    });
    let path = match ItemRoute::parse(&item.url) {
        Some(ItemRoute::Service { path, .. }) => path.to_owned(),
        _ => item.url.clone(),
    };
    let body = serde_json::to_vec(&item.body).unwrap_or_default();
    let prefix = &body[..body.len().min(PREFIX_BYTES)];
    Ok(TargetRequest {
        service: CompactString::from(service),
        organisation: Some(organisation),
        class: TrafficClass::Batch,
        method: CompactString::const_new("POST"),
        parts: request_parts(&path, &body),
        path,
        headers: vec![(
            CompactString::const_new("content-type"),
            CompactString::const_new("application/json"),
        )],
        prefix_hash: Some(xxh3_64(prefix)),
        body: Bytes::from(body),
        deadline: now + timeout,
        idempotency_key: None,
    })
}
