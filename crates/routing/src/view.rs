//! The document in force on this VM, and since when it is known to be the newest.

use crate::document::FleetDocument;
use plantainmill_core::Uptime;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The document in force. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct DocumentView {
    state: Arc<Mutex<ViewState>>,
}

#[derive(Debug, Default)]
struct ViewState {
    document: Option<Arc<FleetDocument>>,
    newest_at: Option<Uptime>,
}

impl DocumentView {
    fn lock(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The document in force; none before the first one came.
    #[must_use]
    pub fn load(&self) -> Option<Arc<FleetDocument>> {
        self.lock().document.clone()
    }

    /// Version in force; zero before the first document.
    #[must_use]
    pub fn version(&self) -> u64 {
        let state = self.lock();
        state
            .document
            .as_ref()
            .map_or(0, |document| document.version)
    }

    /// Takes a document that was the newest one at some moment not before `newest_at`. Says whether it changed what is
    /// in force. An older version than the one in force changes nothing.
    #[must_use]
    pub fn replace_if_newer(&self, document: FleetDocument, newest_at: Uptime) -> bool {
        let mut state = self.lock();
        let held = state.document.as_ref().map_or(0, |held| held.version);
        if document.version < held {
            return false;
        }
        let is_new = document.version > held || state.document.is_none();
        state.newest_at = state.newest_at.max(Some(newest_at));
        if is_new {
            state.document = Some(Arc::new(document));
        }
        is_new
    }

    /// Records that `version` was the newest one at `newest_at`. Nothing changes unless it is the version in force.
    pub fn confirm(&self, version: u64, newest_at: Uptime) {
        let mut state = self.lock();
        let held = state.document.as_ref().map(|document| document.version);
        if held == Some(version) {
            state.newest_at = state.newest_at.max(Some(newest_at));
        }
    }

    /// Time since the document in force was certainly the newest one.
    #[must_use]
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        let newest_at = self.lock().newest_at?;
        Some(now.saturating_sub(newest_at))
    }
}
