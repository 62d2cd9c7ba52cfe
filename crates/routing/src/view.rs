//! The current document of this VM with the evacuated failure domains, and when both were last known to be the latest.

use crate::document::FleetDocument;
use crate::evacuation::{EvacuationEvent, EvacuationLedger, EvacuationReport, EvacuationState};
use plantainmill_core::{DomainName, Uptime};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Shared handle to the current document. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct DocumentView {
    state: Arc<Mutex<ViewState>>,
}

#[derive(Debug, Default)]
struct ViewState {
    document: Option<Arc<FleetDocument>>,
    /// When the current document was last known to be the latest one of its source.
    confirmed_at: Option<Uptime>,
    /// Evacuated failure domains, in deployments where operators can request evacuations.
    evacuations: Option<EvacuationLedger>,
}

impl DocumentView {
    /// A view that also knows evacuated failure domains. Its age is that of the older of both.
    #[must_use]
    pub fn with_evacuations() -> DocumentView {
        let state = ViewState {
            evacuations: Some(EvacuationLedger::default()),
            ..ViewState::default()
        };
        DocumentView {
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current document; `None` before the first document.
    #[must_use]
    pub fn load(&self) -> Option<Arc<FleetDocument>> {
        self.lock().document.clone()
    }

    /// Version of the current document; zero before the first document.
    #[must_use]
    pub fn version(&self) -> u64 {
        let state = self.lock();
        state
            .document
            .as_ref()
            .map_or(0, |document| document.version)
    }

    /// Makes `document` the current one if its version is newer, and returns whether it did so.
    ///
    /// The caller knows that the document was the latest one at `confirmed_at` or later. An equal version only updates
    /// the age; an older one changes nothing.
    #[must_use]
    pub fn replace_if_newer(&self, document: FleetDocument, confirmed_at: Uptime) -> bool {
        let mut state = self.lock();
        let current = state.document.as_ref().map_or(0, |current| current.version);
        if document.version < current {
            return false;
        }
        let is_new = document.version > current || state.document.is_none();
        state.confirmed_at = state.confirmed_at.max(Some(confirmed_at));
        if is_new {
            state.document = Some(Arc::new(document));
        }
        is_new
    }

    /// Records that `version` was the latest one at `confirmed_at`. Ignored unless it is the current version.
    pub fn confirm(&self, version: u64, confirmed_at: Uptime) {
        let mut state = self.lock();
        let current = state.document.as_ref().map(|document| document.version);
        if current == Some(version) {
            state.confirmed_at = state.confirmed_at.max(Some(confirmed_at));
        }
    }

    /// Time since the current document, and the evacuated failure domains where they are known, were last known to be
    /// the latest; `None` before the first document.
    #[must_use]
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        let state = self.lock();
        let age = now.saturating_sub(state.confirmed_at?);
        match &state.evacuations {
            Some(evacuations) => Some(age.max(evacuations.age(now)?)),
            None => Some(age),
        }
    }

    /// Records evacuated failure domains that this VM has read, and that were the latest at `confirmed_at`.
    pub fn record_evacuations(
        &self,
        read: EvacuationState,
        confirmed_at: Uptime,
        now: Uptime,
    ) -> Vec<EvacuationEvent> {
        let mut state = self.lock();
        let evacuations = state.evacuations.as_mut();
        evacuations.map_or_else(Vec::new, |evacuations| {
            evacuations.record(read, Some(confirmed_at), now)
        })
    }

    /// Records evacuated failure domains that another VM reports, as [`EvacuationLedger::record_report`].
    pub fn record_evacuation_report(
        &self,
        report: EvacuationReport,
        asked_at: Option<Uptime>,
        now: Uptime,
    ) -> Vec<EvacuationEvent> {
        let mut state = self.lock();
        let evacuations = state.evacuations.as_mut();
        evacuations.map_or_else(Vec::new, |evacuations| {
            evacuations.record_report(report, asked_at, now)
        })
    }

    /// Report on evacuations for other VMs; `None` where there are none, and before the first read.
    #[must_use]
    pub fn evacuation_report(&self, now: Uptime) -> Option<EvacuationReport> {
        self.lock().evacuations.as_ref()?.report(now)
    }

    /// Failure domains whose evacuation has ended, and when this VM learned of it.
    #[must_use]
    pub fn revoked_domains(&self) -> BTreeMap<DomainName, Uptime> {
        let state = self.lock();
        let evacuations = state.evacuations.iter();
        let revoked = evacuations.flat_map(EvacuationLedger::revoked);
        revoked
            .map(|(domain, ended_at)| (domain.clone(), ended_at))
            .collect()
    }

    /// Evacuated failure domains.
    #[must_use]
    pub fn evacuated_domains(&self) -> BTreeSet<DomainName> {
        let state = self.lock();
        let evacuations = state.evacuations.iter();
        evacuations
            .flat_map(|evacuations| evacuations.domains().cloned())
            .collect()
    }
}
