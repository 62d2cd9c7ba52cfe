//! The error that callers and operators see.

use crate::code::ResultCode;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Whether the request was executed by a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// It certainly was not.
    No,
    /// It was, at least in part.
    Yes,
    /// It may have been.
    Unknown,
}

impl Executed {
    /// The word used in answers and headers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Executed::No => "no",
            Executed::Yes => "yes",
            Executed::Unknown => "unknown",
        }
    }
}

/// A failed request: numbered code, field, reason, and what is known of its execution.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct Problem {
    /// What went wrong.
    pub code: ResultCode,
    /// The input that is at fault, such as `organisations.kandy.rate` or `line 7`.
    pub field: Option<CompactString>,
    /// What is wrong with it, for a person.
    pub reason: String,
    /// Whether a target executed the request.
    pub executed: Executed,
    /// When a repeat has a chance.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// A problem found before any target saw the request.
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

    /// Names the input at fault.
    #[must_use]
    pub fn with_field(mut self, field: impl Into<CompactString>) -> Problem {
        self.field = Some(field.into());
        self
    }

    /// Says what is known of the execution.
    #[must_use]
    pub fn with_executed(mut self, executed: Executed) -> Problem {
        self.executed = executed;
        self
    }

    /// Says when a repeat has a chance.
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
