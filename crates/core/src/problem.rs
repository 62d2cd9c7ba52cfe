//! The error type that is reported to callers and operators.

use crate::code::{ResultCode, promises_no_run};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// HTTP status instead of one that would promise that a request has not run.
const NO_PROMISE_STATUS: u16 = 502;

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
    /// Kind of failure.
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

    /// HTTP status of the response: that of the code, or 502 if that would promise that the request has not run and it may
    /// have.
    #[must_use]
    pub fn http_status(&self) -> u16 {
        if self.breaks_promise() {
            NO_PROMISE_STATUS
        } else {
            self.code.http_status()
        }
    }

    /// Delay for the `Retry-After` header of the response.
    #[must_use]
    pub fn retry_delay(&self) -> Option<Duration> {
        self.retry_after.filter(|_| !self.breaks_promise())
    }

    /// Whether the status of the code would promise what is not true.
    fn breaks_promise(&self) -> bool {
        self.executed != Executed::No && promises_no_run(self.code.http_status())
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
