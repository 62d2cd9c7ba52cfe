//! The plain 1/N split: each VM takes an equal part of every rate, by its own view of the fleet.
//!
//! It refuses under skew and admits too much while views differ. It is the baseline that the slots are measured
//! against.

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

/// Time to return when the organisation is unknown or has no rate.
const DEFAULT_RETRY: Duration = Duration::from_mins(1);

/// Decision code of the 1/N split.
#[derive(Debug, Default)]
pub struct EvenBuckets {
    buckets: HashMap<OrganisationId, TokenBucket>,
}

impl EvenBuckets {
    /// Decides about one request when `vms` VMs share the rate.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        spec: &OrganisationSpec,
        vms: u32,
        now: Uptime,
    ) -> RateVerdict {
        let vms = vms.max(1);
        // Every VM has to be able to admit a request, even if this adds up to more than the burst.
        let share = Share::whole(spec.rate / f64::from(vms), spec.burst.div_ceil(vms));
        let bucket = self
            .buckets
            .entry(organisation.clone())
            .or_insert_with(|| TokenBucket::full(share, now));
        bucket.set_share(share, now);
        if bucket.take(now) {
            return RateVerdict::Admitted;
        }
        let retry_after = bucket.wait(now).unwrap_or(DEFAULT_RETRY);
        RateVerdict::Refused { retry_after }
    }
}

/// The 1/N split behind the interface of the gateway.
pub struct EvenSplit {
    config: ConfigView,
    members: MemberView,
    clock: Arc<dyn Clock>,
    buckets: Mutex<EvenBuckets>,
}

impl EvenSplit {
    /// A limiter that divides each rate by the number of live VMs in `members` and this one.
    #[must_use]
    pub fn new(config: ConfigView, members: MemberView, clock: Arc<dyn Clock>) -> EvenSplit {
        EvenSplit {
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
                retry_after: DEFAULT_RETRY,
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

impl RateLimiter for EvenSplit {
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
