//! Usage of the organisations, shared by the parts of a VM.

use super::ledger::{UsageEntry, UsageLedger, UsageSource};
use crate::pools::RateLimit;
use plantainmill_core::{Clock, OrganisationId};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Records the usage of this VM and the reports of its peers. Clones share the same state.
#[derive(Clone)]
pub struct UsageRecorder {
    ledger: Arc<Mutex<UsageLedger>>,
    clock: Arc<dyn Clock>,
}

impl UsageRecorder {
    /// Creates a recorder without usage.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> UsageRecorder {
        UsageRecorder {
            ledger: Arc::default(),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, UsageLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the decision on a request of `organisation`.
    pub fn record(&self, organisation: &OrganisationId, limit: RateLimit, is_admitted: bool) {
        let now = self.clock.uptime();
        if is_admitted {
            self.lock().record_admitted(organisation, limit, now);
        } else {
            self.lock().record_refused(organisation, limit, now);
        }
    }

    /// Records the usage report of a peer.
    pub fn record_report(&self, peer: &UsageSource, entries: Vec<UsageEntry>) {
        self.lock()
            .record_report(peer, entries, self.clock.uptime());
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

    /// Removes a peer that has stopped.
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
