//! The error type that is reported to callers and operators.

use crate::code::ResultCode;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Whether the request was executed by a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// No target executed it.
    No,
    /// A target executed it, at least in part.
    Yes,
    /// A target may have executed it.
    Unknown,
}

impl Executed {
    /// Value in response bodies and in the header `plantainmill-executed`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Executed::No => "no",
            Executed::Yes => "yes",
            Executed::Unknown => "unknown",
        }
    }
}

/// A failed request: result code, invalid field, reason, and whether a target executed the request.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct Problem {
    /// Kind of failure; determines the HTTP status.
    pub code: ResultCode,
    /// Input that caused the failure, such as `organisations.kandy.rate` or `line 7`.
    pub field: Option<CompactString>,
    /// Human-readable description of the failure.
    pub reason: String,
    /// Whether a target executed the request.
    pub executed: Executed,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates a problem of a request that no target executed.
    #[must_use]
    pub fn new(code: ResultCode, reason: impl Into<String>) -> Problem {
        Problem {
            code,
            field: None,
            reason: reason.into(),
            executed: Executed::No,
            retry_after: None,
        }
    }

    /// Sets the input that caused the failure.
    #[must_use]
    pub fn with_field(mut self, field: impl Into<CompactString>) -> Problem {
        self.field = Some(field.into());
        self
    }

    /// Sets whether a target executed the request.
    #[must_use]
    pub fn with_executed(mut self, executed: Executed) -> Problem {
        self.executed = executed;
        self
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Problem {
        self.retry_after = Some(delay);
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.code.number(), self.code.name())?;
        if let Some(field) = &self.field {
            write!(formatter, " at {field}")?;
        }
        write!(formatter, ": {}", self.reason)
    }
}
