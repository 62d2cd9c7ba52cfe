//! Faults of an engine.

use serde::{Deserialize, Serialize};

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Nothing.
    #[default]
    None,
    /// The engine answers 503 with `plantainmill-executed: no` and does not run the request.
    Refuse,
    /// The connection is cut when the head of the request is in; the request does not run.
    CutRequest,
    /// The request runs; no answer comes, or none after `after` events of a stream.
    Hang,
    /// The request runs and the connection is cut before the first byte of the answer.
    CutBefore,
    /// The connection is cut after `after` events of a stream, or after half of a whole answer.
    CutStream,
    /// The first byte comes `delay_ms` too late.
    Late,
    /// The answer belongs to another request.
    Crossed,
    /// Every token takes `delay_ms` longer.
    Slow,
    /// A whole answer is cut JSON with a fitting length; a stream has a malformed event after `after` others.
    Malformed,
    /// A stream has bytes that belong to no event after `after` events, and goes on; a whole answer has them at its end.
    Foreign,
    /// A stream has bytes that belong to no event behind its last one.
    ForeignEnd,
    /// A stream ends cleanly without its last event.
    NoEnd,
    /// The answer is larger than 32 MiB.
    Oversized,
    /// The engine cuts all connections and refuses new ones, until `delay_ms` has passed if that is not 0.
    Crash,
}

/// A fault and how often it happens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Requests it happens to; without it, all until the next `POST /faults`.
    pub times: Option<u32>,
    /// Delay of kinds that have one.
    pub delay_ms: u64,
    /// Events of a stream before the fault.
    pub after: u32,
}

impl EngineFault {
    /// A fault of every request from now on.
    #[must_use]
    pub fn always(kind: FaultKind) -> EngineFault {
        EngineFault {
            kind,
            ..EngineFault::default()
        }
    }

    /// A fault of the next request only.
    #[must_use]
    pub fn once(kind: FaultKind) -> EngineFault {
        EngineFault {
            kind,
            times: Some(1),
            ..EngineFault::default()
        }
    }

    /// Lets `events` events of a stream pass first.
    #[must_use]
    pub fn after(mut self, events: u32) -> EngineFault {
        self.after = events;
        self
    }

    /// Sets the delay of the fault.
    #[must_use]
    pub fn delay_ms(mut self, delay: u64) -> EngineFault {
        self.delay_ms = delay;
        self
    }

    /// The fault of one request, counted down.
    pub(super) fn take(&mut self) -> EngineFault {
        match &mut self.times {
            None => *self,
            Some(0) => EngineFault::default(),
            Some(left) => {
                *left -= 1;
                *self
            }
        }
    }
}
