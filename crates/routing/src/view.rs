//! The document in force on this VM, and when it was last known to be the latest one.

use crate::document::FleetDocument;
use plantainmill_core::Uptime;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Shared handle to the document in force. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct DocumentView {
    state: Arc<Mutex<ViewState>>,
}

#[derive(Debug, Default)]
struct ViewState {
    document: Option<Arc<FleetDocument>>,
    latest_at: Option<Uptime>,
}

impl DocumentView {
    fn lock(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the document in force; `None` before the first document.
    #[must_use]
    pub fn load(&self) -> Option<Arc<FleetDocument>> {
        self.lock().document.clone()
    }

    /// Version of the document in force; zero before the first document.
    #[must_use]
    pub fn version(&self) -> u64 {
        let state = self.lock();
        state
            .document
            .as_ref()
            .map_or(0, |document| document.version)
    }

    /// Puts `document` in force if its version is newer than the current one, and returns whether it did so.
    ///
    /// The document was the latest one at some time not before `latest_at`. An equal version only updates the age; an
    /// older one changes nothing.
    #[must_use]
    pub fn replace_if_newer(&self, document: FleetDocument, latest_at: Uptime) -> bool {
        let mut state = self.lock();
        let current = state.document.as_ref().map_or(0, |current| current.version);
        if document.version < current {
            return false;
        }
        let is_new = document.version > current || state.document.is_none();
        state.latest_at = state.latest_at.max(Some(latest_at));
        if is_new {
            state.document = Some(Arc::new(document));
        }
        is_new
    }

    /// Records that `version` was the latest one at `latest_at`. Ignored unless `version` is in force.
    pub fn confirm(&self, version: u64, latest_at: Uptime) {
        let mut state = self.lock();
        let current = state.document.as_ref().map(|document| document.version);
        if current == Some(version) {
            state.latest_at = state.latest_at.max(Some(latest_at));
        }
    }

    /// Time since the document in force was last known to be the latest one; `None` before the first document.
    #[must_use]
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        let latest_at = self.lock().latest_at?;
        Some(now.saturating_sub(latest_at))
    }
}
