//! HTTP response of a [`Problem`]: the `OpenAI` error envelope with the additional fields `result` and `executed`.

use crate::problem::Problem;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::{HttpResponse, ResponseError};
use serde::Serialize;

/// Response header with the number of the result code.
pub const RESULT_HEADER: &str = "plantainmill-result";
/// Response header with whether a target executed the request: `no`, `yes` or `unknown`.
pub const EXECUTED_HEADER: &str = "plantainmill-executed";

/// Top-level JSON object of an error response.
#[derive(Debug, Serialize)]
pub struct ErrorEnvelope<'a> {
    /// The only member; `OpenAI` clients look for the error here.
    pub error: ErrorBody<'a>,
}

/// Error object as `OpenAI` clients expect it, with the additional fields `result` and `executed`.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// Human-readable reason.
    pub message: &'a str,
    /// `OpenAI` error type, derived from the HTTP status.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// Input that caused the failure.
    pub param: Option<&'a str>,
    /// Name of the result code.
    pub code: &'static str,
    /// Number of the result code.
    pub result: u16,
    /// Whether a target executed the request: `no`, `yes` or `unknown`.
    pub executed: &'static str,
}

impl Problem {
    /// The error envelope as JSON, also sent as the error event of an interrupted stream.
    #[must_use]
    pub fn to_json(&self) -> String {
        let envelope = ErrorEnvelope {
            error: ErrorBody {
                message: &self.reason,
                kind: error_kind(self.http_status()),
                param: self.field.as_deref(),
                code: self.code.name(),
                result: self.code.number(),
                executed: self.executed.as_str(),
            },
        };
        serde_json::to_string(&envelope).unwrap_or_default()
    }
}

impl ResponseError for Problem {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        let mut builder = HttpResponse::build(self.status_code());
        builder
            .content_type("application/json")
            .insert_header((RESULT_HEADER, self.code.number().to_string()))
            .insert_header((EXECUTED_HEADER, self.executed.as_str()));
        if let Some(delay) = self.retry_delay() {
            // Retry-After has whole seconds; rounded up because an earlier retry would be refused again.
            let seconds = delay.as_millis().div_ceil(1_000).max(1);
            builder.insert_header((RETRY_AFTER, seconds.to_string()));
        }
        builder.body(self.to_json())
    }
}

/// `OpenAI`'s error type for an HTTP status.
fn error_kind(status: u16) -> &'static str {
    match status {
        401 | 403 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
