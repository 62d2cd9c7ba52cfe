//! Requests that no known target can serve: why they are refused, and when they may be repeated.

use super::ledger::{LoadLedger, MIN_RETRY_AFTER, RequestId, WaitingRequest};
use super::target::RefusalCause;
use crate::dispatcher::{TargetNeed, TicketRequest};
use crate::rendezvous::score;
use std::time::Duration;

/// Time over which the retries of refused requests are spread, because a load peak lasts a few seconds.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(1_200);
/// Delay before a request is repeated whose regions have no failure domain: the configuration has to change first.
const NO_REGION_RETRY_AFTER: Duration = Duration::from_secs(1);

impl LoadLedger {
    /// Why a request that gets no slot now is refused.
    pub(super) fn refusal_cause(&self, request: &TicketRequest) -> RefusalCause {
        let need = request.need();
        let meets = |need| self.targets.values().any(|target| target.meets(need));
        if meets(need) {
            return RefusalCause::Busy;
        }
        let any_version = TargetNeed {
            version: None,
            ..need
        };
        if !request.regions.is_everywhere() && !meets(any_version) {
            return RefusalCause::NoRegion;
        }
        RefusalCause::NoTarget
    }

    /// Delay after which a request may be repeated that no known target can serve.
    pub(super) fn missing_retry_after(
        &self,
        waiting: &WaitingRequest,
        cause: RefusalCause,
    ) -> Duration {
        match cause {
            RefusalCause::NoRegion if self.locality.has_allowed(&waiting.request.regions) => {
                self.retry_after(waiting.number)
            }
            RefusalCause::NoRegion => NO_REGION_RETRY_AFTER,
            RefusalCause::Busy | RefusalCause::NoTarget => MIN_RETRY_AFTER,
        }
    }

    /// Delay after which a refused request may be retried. The delays of refused requests are spread evenly.
    pub(super) fn retry_after(&self, number: RequestId) -> Duration {
        let share = score(&self.vm, number) % 1_000;
        let share = u32::try_from(share).unwrap_or(0);
        MIN_RETRY_AFTER + RETRY_AFTER_SPREAD * share / 1_000
    }
}
