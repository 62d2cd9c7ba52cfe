//! State shared by the attempts of one call: the request, its deadline, and what each attempt may have executed.

use crate::caller::{BufferedResponse, TargetRequest};
use crate::headers::{HeaderList, request_headers};
use crate::limits::CallLimits;
use crate::parts::request_hash;
use crate::send_trace::SendTrace;
use plantainmill_config::{FleetConfig, ServiceKind, ServiceSpec};
use plantainmill_core::{Executed, Problem, RegionSet, ResultCode, TargetId, Uptime};
use plantainmill_dispatch::{CallOutcome, TicketRequest};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Whether one attempt executed the request, as far as is known.
#[derive(Clone, Debug)]
pub(crate) struct ExecutionMark {
    executed: Rc<Cell<Executed>>,
    /// Progress of the attempt.
    pub trace: SendTrace,
}

impl ExecutionMark {
    /// Sets whether the target executed the request.
    pub fn set(&self, executed: Executed) {
        self.executed.set(executed);
    }

    /// Whether the target executed the request, which it cannot before there is a connection.
    fn get(&self) -> Executed {
        if self.trace.is_connecting() {
            Executed::No
        } else {
            self.executed.get()
        }
    }
}

#[derive(Debug)]
struct AttemptEntry {
    target: TargetId,
    mark: ExecutionMark,
}

/// A failed attempt.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    /// Result code. Whether the request was executed is added when the call ends.
    pub code: ResultCode,
    /// Human-readable reason.
    pub reason: String,
    /// Outcome that is reported to the dispatcher.
    pub outcome: CallOutcome,
    /// Response of the target, if the response itself was the failure. It is returned if no other attempt succeeds.
    pub response: Option<Box<BufferedResponse>>,
}

impl AttemptFailure {
    pub fn new(code: ResultCode, reason: impl Into<String>) -> AttemptFailure {
        AttemptFailure {
            code,
            reason: reason.into(),
            outcome: CallOutcome::Failed,
            response: None,
        }
    }

    pub fn with_outcome(mut self, outcome: CallOutcome) -> AttemptFailure {
        self.outcome = outcome;
        self
    }
}

/// One call with all its attempts.
#[derive(Debug)]
pub(crate) struct CallContext {
    pub request: TargetRequest,
    pub service: ServiceSpec,
    /// Request headers that targets may see.
    pub headers: HeaderList,
    /// Earlier of the request's deadline and the end of the service's time-out.
    pub deadline: Instant,
    /// Result code if the deadline ends the call: it tells the caller's deadline from the service's time-out.
    pub deadline_code: ResultCode,
    pub limits: CallLimits,
    attempts: RefCell<Vec<AttemptEntry>>,
}

impl CallContext {
    /// Prepares `request`, which arrived at `now`.
    pub fn new(
        request: TargetRequest,
        config: &FleetConfig,
        now: Uptime,
        limits: CallLimits,
    ) -> Result<CallContext, Problem> {
        let found = config.services.get(&request.service);
        let service = found.cloned().ok_or_else(|| {
            Problem::new(ResultCode::UnknownService, "no such service").with_field("service")
        })?;
        let left = request.deadline.saturating_sub(now);
        let service_time = Duration::from_millis(service.timeout_ms);
        let deadline_code = if service_time < left {
            ResultCode::TargetTimeout
        } else {
            ResultCode::DeadlinePassed
        };
        Ok(CallContext {
            headers: request_headers(&request.headers),
            request,
            service,
            deadline: Instant::now() + left.min(service_time),
            deadline_code,
            limits,
            attempts: RefCell::default(),
        })
    }

    /// Whether the service is a model engine.
    pub fn is_model(&self) -> bool {
        self.service.kind == ServiceKind::Model
    }

    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Ticket request for the next attempt. Targets of earlier attempts are excluded.
    pub fn ticket_request(&self, is_retry: bool) -> TicketRequest {
        let attempts = self.attempts.borrow();
        TicketRequest {
            wait_limit: None,
            service: self.request.service.clone(),
            organisation: self.request.organisation.clone(),
            priority: 0,
            class: self.request.class,
            prefix_hash: self.request.prefix_hash,
            version: None,
            parts: self.request.parts.clone(),
            fingerprint: Some(request_hash(
                self.request.class,
                &self.request.path,
                self.request.organisation.as_deref(),
                &self.request.body,
            )),
            barred: Vec::new(),
            spared: Vec::new(),
            deadline: self.request.deadline,
            excluded: attempts.iter().map(|entry| entry.target.clone()).collect(),
            regions: RegionSet::Everywhere,
            body_bytes: self.request.body.len(),
            is_retry,
            needs_idle_slot: false,
        }
    }

    /// Starts an attempt at `target`, which excludes this target from later attempts.
    pub fn begin_attempt(&self, target: &TargetId) -> ExecutionMark {
        let mark = ExecutionMark {
            executed: Rc::new(Cell::new(Executed::No)),
            trace: SendTrace::default(),
        };
        self.attempts.borrow_mut().push(AttemptEntry {
            target: target.clone(),
            mark: mark.clone(),
        });
        mark
    }

    /// Combined execution state of all attempts: if any attempt may have been executed, so may the call.
    pub fn executed(&self) -> Executed {
        let attempts = self.attempts.borrow();
        let marks = attempts.iter().map(|entry| entry.mark.get());
        marks.fold(Executed::No, combine_executed)
    }

    /// Whether another attempt may follow a failed one.
    pub fn may_retry(&self, failure: &AttemptFailure, retries: u32) -> bool {
        let ends_call = matches!(
            failure.code,
            ResultCode::Preempted | ResultCode::BadRequest | ResultCode::BadHeader
        );
        let is_safe = self.service.repeatable || self.executed() == Executed::No;
        !ends_call && is_safe && retries < self.limits.max_retries && !self.time_left().is_zero()
    }

    /// Problem that ends the call after its last failure.
    pub fn problem(&self, failure: &AttemptFailure) -> Problem {
        self.new_problem(failure.code, failure.reason.clone())
    }

    /// Problem that carries the combined execution state.
    pub fn new_problem(&self, code: ResultCode, reason: impl Into<String>) -> Problem {
        let problem = Problem::new(code, reason).with_executed(self.executed());
        match code {
            ResultCode::TargetRefused | ResultCode::Preempted => {
                problem.with_retry_after(Duration::from_secs(1))
            }
            _ => problem,
        }
    }

    /// Failure of an attempt that the deadline ended, after `waited` at the target.
    ///
    /// Calls with short deadlines must not cause a target to be ejected: the attempt counts as failed only if the
    /// target held the request for at least half of the service's time-out.
    pub fn deadline_failure(&self, waited: Duration) -> AttemptFailure {
        let is_target_slow = waited * 2 >= Duration::from_millis(self.service.timeout_ms);
        let outcome = if is_target_slow {
            CallOutcome::Failed
        } else {
            CallOutcome::Abandoned
        };
        AttemptFailure::new(self.deadline_code, "no whole answer came in time")
            .with_outcome(outcome)
    }
}

/// Combines the execution states of two attempts: yes takes precedence over unknown, and unknown over no.
fn combine_executed(first: Executed, second: Executed) -> Executed {
    match (first, second) {
        (Executed::Yes, _) | (_, Executed::Yes) => Executed::Yes,
        (Executed::Unknown, _) | (_, Executed::Unknown) => Executed::Unknown,
        _ => Executed::No,
    }
}
