//! Static 1/N split: each VM enforces an equal part of every rate, according to its own view of the fleet.
//!
//! It refuses requests within the rate when traffic is skewed, and exceeds the rate while the VMs' views of the fleet
//! differ. It serves as the baseline for comparisons with the slot limiter.

use crate::bucket::TokenBucket;
use crate::limiter::{RateLimiter, RateVerdict};
use crate::split::Share;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use plantainmill_config::{ConfigView, OrganisationSpec};
use plantainmill_core::{Clock, OrganisationId, Uptime};
use plantainmill_membership::{MemberState, MemberView};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Retry delay when the organisation is unknown or its bucket does not refill.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Token buckets of one VM under the 1/N split, without I/O and without a clock.
#[derive(Debug, Default)]
pub struct EvenSplitBuckets {
    buckets: HashMap<OrganisationId, TokenBucket>,
}

impl EvenSplitBuckets {
    /// Checks one request, given that `vms` VMs share the rate.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        spec: &OrganisationSpec,
        vms: u32,
        now: Uptime,
    ) -> RateVerdict {
        let vms = vms.max(1);
        // The burst is rounded up so that every VM can admit a request, even if the parts add up to more than the
        // burst.
        let share = Share::whole(spec.rate / f64::from(vms), spec.burst.div_ceil(vms));
        let bucket = self
            .buckets
            .entry(organisation.clone())
            .or_insert_with(|| TokenBucket::full(share, now));
        bucket.set_share(share, now);
        if bucket.take(now) {
            return RateVerdict::Admitted;
        }
        let retry_after = bucket.time_until_token(now).unwrap_or(DEFAULT_RETRY_AFTER);
        RateVerdict::Refused { retry_after }
    }
}

/// [`RateLimiter`] that applies the 1/N split.
pub struct EvenSplitLimiter {
    config: ConfigView,
    members: MemberView,
    clock: Arc<dyn Clock>,
    buckets: Mutex<EvenSplitBuckets>,
}

impl EvenSplitLimiter {
    /// Creates a limiter that divides each rate by the number of live VMs in `members` plus this one.
    #[must_use]
    pub fn new(config: ConfigView, members: MemberView, clock: Arc<dyn Clock>) -> EvenSplitLimiter {
        EvenSplitLimiter {
            config,
            members,
            clock,
            buckets: Mutex::default(),
        }
    }

    fn decide(&self, organisation: &OrganisationId) -> RateVerdict {
        let config = self.config.load();
        let Some(spec) = config.organisations.get(organisation) else {
            return RateVerdict::Refused {
                retry_after: DEFAULT_RETRY_AFTER,
            };
        };
        let members = self.members.load();
        let live = members
            .iter()
            .filter(|member| member.state == MemberState::Live);
        let vms = u32::try_from(live.count()).unwrap_or(u32::MAX);
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        buckets.admit(
            organisation,
            spec,
            vms.saturating_add(1),
            self.clock.uptime(),
        )
    }
}

impl RateLimiter for EvenSplitLimiter {
    fn admit(&self, organisation: &OrganisationId) -> LocalBoxFuture<'_, RateVerdict> {
        let verdict = self.decide(organisation);
        async move { verdict }.boxed_local()
    }

    fn dump(&self) -> LocalBoxFuture<'_, Value> {
        let buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let state = json!({ "limiter": "even_split", "organisations": buckets.buckets.len() });
        async move { state }.boxed_local()
    }
}
