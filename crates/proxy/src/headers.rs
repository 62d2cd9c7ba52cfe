//! Selects the request headers that targets see and the response headers that callers see.

use awc::http::header::HeaderMap;
use compact_str::CompactString;

/// Header names in lower case and their values.
pub(crate) type HeaderList = Vec<(CompactString, CompactString)>;

/// Request id; a target echoes it, which ties a response to its request.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
/// Remaining time for the response, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "plantainmill-deadline-ms";
/// Response header with the requests a second that the target takes from all VMs together.
pub(crate) const LIMIT_HEADER: &str = "plantainmill-target-limit";

/// Hop-by-hop headers and headers that the client sets itself.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "http2-settings",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that are replaced, or that would disclose the caller or mix up organisations at a target.
const DROPPED_HEADERS: &[&str] = &[
    // A compressed response could not be validated.
    "accept-encoding",
    "forwarded",
    // Two organisations may use the same key, and the target cannot tell them apart.
    "idempotency-key",
    "openai-project",
    REQUEST_ID_HEADER,
];

/// Substrings of the names of headers that carry credentials or the caller's organisation.
const SECRET_PARTS: &[&str] = &[
    "api-key",
    "api_key",
    "apikey",
    "auth-token",
    "access-token",
    "authorization",
    "cookie",
    "organisation",
    "organization",
    "secret",
];

/// Prefixes of internal headers and of headers that disclose the caller's address.
const DROPPED_PREFIXES: &[&str] = &["plantainmill-", "x-forwarded-"];

/// Response headers that are forwarded to the caller.
const RESPONSE_HEADERS: &[&str] = &[
    "accept-ranges",
    "allow",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-range",
    "content-type",
    "etag",
    "expires",
    "last-modified",
    "location",
    "openai-processing-ms",
    "openai-version",
    "retry-after",
    "vary",
];

/// Request headers that a target may see.
pub(crate) fn request_headers(headers: &HeaderList) -> HeaderList {
    let connection = headers.iter().filter(|(name, _)| name == "connection");
    let listed: Vec<CompactString> = connection
        .flat_map(|(_, value)| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase().into())
        .collect();
    let allowed = headers.iter().filter(|(name, _)| {
        let name = name.to_ascii_lowercase();
        is_request_header(&name) && !listed.contains(&name)
    });
    allowed.cloned().collect()
}

fn is_request_header(name: &str) -> bool {
    let is_secret = SECRET_PARTS.iter().any(|part| name.contains(part));
    let has_dropped_prefix = DROPPED_PREFIXES
        .iter()
        .any(|prefix| name.starts_with(prefix));
    !is_secret
        && !has_dropped_prefix
        && !CONNECTION_HEADERS.contains(&name)
        && !DROPPED_HEADERS.contains(&name)
}

/// Response headers that may be forwarded to the caller.
pub(crate) fn response_headers(headers: &HeaderMap) -> HeaderList {
    let allowed = headers
        .iter()
        .filter(|(name, _)| RESPONSE_HEADERS.contains(&name.as_str()));
    let pairs = allowed.filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str().into(), value.into()))
    });
    pairs.collect()
}

/// Value of the header `name`, if it is present and visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
