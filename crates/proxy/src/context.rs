//! What the tries of one call share: the request, its deadline, and what each try may have executed.

use crate::caller::{BufferedResponse, TargetRequest};
use crate::headers::{HeaderList, request_headers};
use crate::limits::CallLimits;
use plantainmill_config::{FleetConfig, ServiceKind, ServiceSpec};
use plantainmill_core::{Executed, Problem, ResultCode, TargetId, Uptime};
use plantainmill_dispatch::{CallOutcome, TicketRequest};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// One try, as far as the truth of `executed` is concerned.
#[derive(Clone, Debug)]
pub(crate) struct TryMark {
    executed: Rc<Cell<Executed>>,
}

impl TryMark {
    /// Records what is known of the execution from now on.
    pub fn set(&self, executed: Executed) {
        self.executed.set(executed);
    }
}

#[derive(Debug)]
struct TryEntry {
    target: TargetId,
    mark: TryMark,
}

/// A failed try.
#[derive(Debug)]
pub(crate) struct TryFailure {
    /// What went wrong; `executed` is set when the call ends.
    pub code: ResultCode,
    /// Reason for a person.
    pub reason: String,
    /// What the dispatcher is told.
    pub outcome: CallOutcome,
    /// The target's own answer, when that is what failed; it is passed on if no other try succeeds.
    pub answer: Option<Box<BufferedResponse>>,
}

impl TryFailure {
    pub fn new(code: ResultCode, reason: impl Into<String>) -> TryFailure {
        TryFailure {
            code,
            reason: reason.into(),
            outcome: CallOutcome::Failed,
            answer: None,
        }
    }

    pub fn with_outcome(mut self, outcome: CallOutcome) -> TryFailure {
        self.outcome = outcome;
        self
    }
}

/// One call with all its tries.
#[derive(Debug)]
pub(crate) struct CallContext {
    /// The request.
    pub request: TargetRequest,
    /// Service it goes to.
    pub service: ServiceSpec,
    /// Headers that targets may see.
    pub headers: HeaderList,
    /// When the call ends.
    pub deadline: Instant,
    /// Code of a call that its deadline ended.
    pub deadline_code: ResultCode,
    /// Limits.
    pub limits: CallLimits,
    tries: RefCell<Vec<TryEntry>>,
}

impl CallContext {
    /// Prepares `request`, which came at `now`.
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
            tries: RefCell::default(),
        })
    }

    /// Says whether the service is a model engine.
    pub fn is_model(&self) -> bool {
        self.service.kind == ServiceKind::Model
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The request for the ticket of the next try.
    pub fn ticket_request(&self, is_retry: bool) -> TicketRequest {
        let tries = self.tries.borrow();
        TicketRequest {
            wait_limit: None,
            service: self.request.service.clone(),
            organisation: self.request.organisation.clone(),
            priority: 0,
            class: self.request.class,
            prefix_hash: self.request.prefix_hash,
            deadline: self.request.deadline,
            excluded: tries.iter().map(|entry| entry.target.clone()).collect(),
            body_bytes: self.request.body.len(),
            is_retry,
        }
    }

    /// Starts a try at `target`, which later tries do not use.
    pub fn begin_try(&self, target: &TargetId) -> TryMark {
        let mark = TryMark {
            executed: Rc::new(Cell::new(Executed::No)),
        };
        self.tries.borrow_mut().push(TryEntry {
            target: target.clone(),
            mark: mark.clone(),
        });
        mark
    }

    /// What is known of the execution over all tries: one that may have run taints the call.
    pub fn executed(&self) -> Executed {
        let tries = self.tries.borrow();
        let marks = tries.iter().map(|entry| entry.mark.executed.get());
        marks.fold(Executed::No, worse_of)
    }

    /// Says whether another try may follow a failed one.
    pub fn may_retry(&self, failure: &TryFailure, retries: u32) -> bool {
        let ends_call = matches!(
            failure.code,
            ResultCode::Preempted | ResultCode::BadRequest | ResultCode::BadHeader
        );
        let is_safe = self.service.repeatable || self.executed() == Executed::No;
        !ends_call && is_safe && retries < self.limits.retries && !self.time_left().is_zero()
    }

    /// The end of the call after its last failure.
    pub fn problem(&self, failure: &TryFailure) -> Problem {
        self.new_problem(failure.code, failure.reason.clone())
    }

    /// A problem that says what is known of the execution.
    pub fn new_problem(&self, code: ResultCode, reason: impl Into<String>) -> Problem {
        let problem = Problem::new(code, reason).with_executed(self.executed());
        match code {
            ResultCode::TargetRefused | ResultCode::Preempted => {
                problem.with_retry_after(Duration::from_secs(1))
            }
            _ => problem,
        }
    }

    /// The failure of a try that the deadline ended, after `waited` at the target.
    ///
    /// Callers with little time must not get a target ejected: it counts as failed only if it held the request for
    /// half of the service's time.
    pub fn deadline_failure(&self, waited: Duration) -> TryFailure {
        let is_long = waited * 2 >= Duration::from_millis(self.service.timeout_ms);
        let outcome = if is_long {
            CallOutcome::Failed
        } else {
            CallOutcome::Abandoned
        };
        TryFailure::new(self.deadline_code, "no whole answer came in time").with_outcome(outcome)
    }
}

/// The less certain or more advanced of two states.
fn worse_of(first: Executed, second: Executed) -> Executed {
    match (first, second) {
        (Executed::Yes, _) | (_, Executed::Yes) => Executed::Yes,
        (Executed::Unknown, _) | (_, Executed::Unknown) => Executed::Unknown,
        _ => Executed::No,
    }
}
