//! The local policy behind the [`Dispatcher`] interface.

use crate::dispatcher::{CallOutcome, Dispatcher, TargetTicket, TicketRequest};
use crate::local::{LocalDecision, LocalGrant, LocalPolicy, RequestId};
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use plantainmill_config::ConfigView;
use plantainmill_core::{Clock, DomainName, Problem, RegionName, ResultCode, ServiceName, Uptime};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Delay after which a request that waited without a grant may be retried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

struct LocalState {
    policy: LocalPolicy,
    waiting: HashMap<RequestId, oneshot::Sender<TargetTicket>>,
}

struct LocalShared {
    state: Mutex<LocalState>,
    config: ConfigView,
    clock: Arc<dyn Clock>,
}

/// The local policy, by which each VM decides on its own state alone. Clones share the same state.
#[derive(Clone)]
pub struct LocalDispatcher {
    shared: Arc<LocalShared>,
}

/// Withdraws a waiting request when its future is dropped.
struct WaitGuard<'a> {
    shared: &'a LocalShared,
    service: ServiceName,
    request_id: RequestId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if state.waiting.remove(&self.request_id).is_some() {
            state.policy.withdraw(&self.service, self.request_id);
        }
    }
}

impl LocalDispatcher {
    /// A dispatcher for a VM in `domain` of `region`. The targets come from `config`; `seed` fixes the random choices.
    #[must_use]
    pub fn new(
        domain: DomainName,
        region: RegionName,
        config: ConfigView,
        clock: Arc<dyn Clock>,
        seed: u64,
    ) -> LocalDispatcher {
        let state = LocalState {
            policy: LocalPolicy::new(domain, region, seed),
            waiting: HashMap::new(),
        };
        LocalDispatcher {
            shared: Arc::new(LocalShared {
                state: Mutex::new(state),
                config,
                clock,
            }),
        }
    }

    async fn wait(&self, request: TicketRequest) -> Result<TargetTicket, Problem> {
        let (decision, receiver) = self.shared.submit(&request);
        let (request_id, expires) = match decision {
            LocalDecision::Granted(grant) => return Ok(self.shared.ticket(&grant)),
            LocalDecision::Refused(problem) => return Err(problem),
            LocalDecision::Queued {
                request_id,
                expires,
            } => (request_id, expires),
        };
        let _guard = WaitGuard {
            shared: &self.shared,
            service: request.service,
            request_id,
        };
        let limit = expires.saturating_sub(self.shared.clock.uptime());
        match tokio::time::timeout(limit, receiver).await {
            Ok(Ok(ticket)) => Ok(ticket),
            _ => Err(wait_problem(request.deadline, self.shared.clock.uptime())),
        }
    }
}

impl Dispatcher for LocalDispatcher {
    fn acquire(&self, request: TicketRequest) -> LocalBoxFuture<'_, Result<TargetTicket, Problem>> {
        self.wait(request).boxed_local()
    }

    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value> {
        let value = self.shared.lock().policy.dump();
        std::future::ready(value).boxed_local()
    }
}

impl LocalShared {
    fn lock(&self) -> MutexGuard<'_, LocalState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn submit(&self, request: &TicketRequest) -> (LocalDecision, oneshot::Receiver<TargetTicket>) {
        let (sender, receiver) = oneshot::channel();
        let config = self.config.load();
        let now = self.clock.uptime();
        let mut state = self.lock();
        if !Arc::ptr_eq(&config, state.policy.config()) {
            state.policy.apply_config(config);
        }
        let decision = state.policy.submit(request, now);
        if let LocalDecision::Queued { request_id, .. } = &decision {
            state.waiting.insert(*request_id, sender);
        }
        (decision, receiver)
    }

    fn ticket(self: &Arc<LocalShared>, grant: &LocalGrant) -> TargetTicket {
        let (signal, preempted) = watch::channel(false);
        let shared = Arc::clone(self);
        let target = grant.target.clone();
        let on_finish = move |outcome| {
            // The sender lives as long as the ticket, so that the receiver never sees a closed channel.
            drop(signal);
            shared.finish(&target, outcome);
        };
        let target = grant.target.clone();
        // The configuration of this policy names no regions of targets.
        TargetTicket::new(target, grant.address, None, preempted, Box::new(on_finish))
    }

    fn finish(self: &Arc<LocalShared>, target: &plantainmill_core::TargetId, outcome: CallOutcome) {
        let now = self.clock.uptime();
        let mut state = self.lock();
        let grants = state.policy.finish(target, outcome, now);
        let deliveries = grants
            .into_iter()
            .map(|grant| (state.waiting.remove(&grant.request_id), grant))
            .collect::<Vec<_>>();
        // The lock is released first: a ticket whose receiver is gone is dropped below and calls `finish` again.
        drop(state);
        for (sender, grant) in deliveries {
            let ticket = self.ticket(&grant);
            if let Some(sender) = sender {
                let _ = sender.send(ticket);
            }
        }
    }
}

fn wait_problem(deadline: Uptime, now: Uptime) -> Problem {
    if now >= deadline {
        let reason = "the deadline passed while the request waited for a target";
        return Problem::new(ResultCode::DeadlinePassed, reason);
    }
    let reason = "no target became available within the maximum wait";
    Problem::new(ResultCode::QueueFull, reason).with_retry_after(RETRY_AFTER)
}
