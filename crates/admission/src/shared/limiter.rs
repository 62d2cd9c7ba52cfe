//! [`RateLimiter`] based on the usage reports that VMs exchange.

use super::ledger::{RateLimit, UsageEntry, UsageLedger, UsageSource};
use crate::limiter::{RateLimiter, RateVerdict};
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use plantainmill_core::{Clock, OrganisationId};
use plantainmill_routing::DocumentView;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Rate limiter based on usage reports. Clones share the same state.
#[derive(Clone)]
pub struct SharedLimiter {
    ledger: Arc<Mutex<UsageLedger>>,
    view: DocumentView,
    clock: Arc<dyn Clock>,
}

impl SharedLimiter {
    /// Creates a limiter that takes rates and bursts from the document in force.
    #[must_use]
    pub fn new(view: DocumentView, clock: Arc<dyn Clock>) -> SharedLimiter {
        SharedLimiter {
            ledger: Arc::default(),
            view,
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, UsageLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the usage report of a peer that represents `vms` VMs.
    pub fn record_report(&self, peer: &UsageSource, vms: usize, entries: Vec<UsageEntry>) {
        self.lock()
            .record_report(peer, vms, entries, self.clock.uptime());
    }

    /// Number of reachable VMs of this VM's failure domain, with this one.
    #[must_use]
    pub fn domain_vms(&self) -> usize {
        self.lock().domain_vms(self.clock.uptime())
    }

    /// Usage report on this VM's failure domain, for other domains.
    #[must_use]
    pub fn domain_report(&self) -> Vec<UsageEntry> {
        self.lock().domain_report(self.clock.uptime())
    }

    /// What changed in the usage of this VM's failure domain since the last call, for other domains.
    #[must_use]
    pub fn take_domain_changes(&self) -> Vec<UsageEntry> {
        self.lock().take_domain_changes(self.clock.uptime())
    }

    /// What changed in the usage of this VM since the last call, for its peers. Also expires peers that have not
    /// reported for a long time.
    #[must_use]
    pub fn take_changes(&self) -> Vec<UsageEntry> {
        let now = self.clock.uptime();
        let mut ledger = self.lock();
        ledger.expire_peers(now);
        ledger.take_changes(now)
    }

    /// Makes the next reports of changes list all organisations, for a peer that knows none of the former ones.
    pub fn report_all(&self) {
        self.lock().report_all();
    }

    /// Removes a peer that has stopped, which frees its share of the rate.
    pub fn remove_peer(&self, peer: &UsageSource) {
        self.lock().remove_peer(peer);
    }

    /// Usage report on this VM, for its peers. Also expires peers that have not reported for a long time.
    #[must_use]
    pub fn report(&self) -> Vec<UsageEntry> {
        let now = self.clock.uptime();
        let mut ledger = self.lock();
        ledger.expire_peers(now);
        ledger.report(now)
    }
}

impl SharedLimiter {
    /// Rate limit of an organisation; `None` if it has none.
    fn limit(&self, organisation: &OrganisationId) -> Option<RateLimit> {
        let document = self.view.load()?;
        let rule = document.organisations.get(organisation)?;
        Some(RateLimit {
            rate: f64::from(rule.rate_per_s),
            burst: f64::from(rule.burst),
        })
    }

    /// Checks one request of `organisation` that continues a stream.
    #[must_use]
    pub fn admit_continuation(&self, organisation: &OrganisationId) -> RateVerdict {
        let now = self.clock.uptime();
        let limit = self.limit(organisation);
        limit.map_or(RateVerdict::Admitted, |limit| {
            self.lock().admit_continuation(organisation, limit, now)
        })
    }
}

impl RateLimiter for SharedLimiter {
    fn admit(&self, organisation: &OrganisationId) -> LocalBoxFuture<'_, RateVerdict> {
        let now = self.clock.uptime();
        let verdict = self
            .limit(organisation)
            .map_or(RateVerdict::Admitted, |limit| {
                self.lock().admit(organisation, limit, now)
            });
        async move { verdict }.boxed_local()
    }

    fn dump(&self) -> LocalBoxFuture<'_, serde_json::Value> {
        let report = self.report();
        let dump = serde_json::to_value(report).unwrap_or_default();
        async move { dump }.boxed_local()
    }
}
