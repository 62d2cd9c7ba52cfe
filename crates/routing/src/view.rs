//! The current document of this VM, and when it was last known to be the latest one.

use crate::document::FleetDocument;
use plantainmill_core::Uptime;
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
}

impl DocumentView {
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

    /// Time since the current document was last known to be the latest one; `None` before the first document.
    #[must_use]
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        let confirmed_at = self.lock().confirmed_at?;
        Some(now.saturating_sub(confirmed_at))
    }
}
