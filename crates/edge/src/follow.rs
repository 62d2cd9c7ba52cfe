//! Follows the document and the targets, and proves the document's age through peers when the store is away.

use crate::state::EdgeState;
use plantainmill_platform::StoreError;
use plantainmill_routing::{DocumentSource, TargetRegistry, TargetSource};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time between reads of the document. A change is in force within it and one answer of the store.
const DOCUMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between reads of the targets. A leaving target gets no work after it and one answer of the store.
const TARGET_INTERVAL: Duration = Duration::from_millis(600);
/// Pause after a read that failed: the store may be back at any time, and readiness waits for it.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time until a read is given up. A slow store needs some hundred milliseconds.
const READ_LIMIT: Duration = Duration::from_millis(1_500);

/// Reads the document again and again.
pub(crate) async fn follow_document(state: Rc<EdgeState>, source: Rc<dyn DocumentSource>) {
    let mut is_lost = false;
    loop {
        let sent_at = state.clock.uptime();
        let read = timeout(READ_LIMIT, source.read_document()).await;
        let read = read.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".into())));
        let pause = match read {
            Ok(document) => {
                note_regained(&mut is_lost, "document");
                if let Some(document) = document {
                    let version = document.version;
                    if state.view.offer(document, sent_at) {
                        tracing::info!(event = "document_changed", version, from = "store");
                    }
                }
                DOCUMENT_INTERVAL
            }
            Err(error) => {
                state.meters.count_store_failure("document");
                note_lost(&mut is_lost, "document", &error);
                RETRY_INTERVAL
            }
        };
        sleep(pause).await;
    }
}

/// Reads the targets again and again.
pub(crate) async fn follow_targets(state: Rc<EdgeState>, source: Rc<dyn TargetSource>) {
    let mut registry = TargetRegistry::default();
    let mut is_lost = false;
    loop {
        let read = timeout(READ_LIMIT, source.read_targets()).await;
        let read = read.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".into())));
        let now = state.clock.uptime();
        let pause = match read {
            Ok(entries) => {
                note_regained(&mut is_lost, "targets");
                registry.apply(entries, now);
                state.targets_known.set(true);
                TARGET_INTERVAL
            }
            Err(error) => {
                state.meters.count_store_failure("targets");
                note_lost(&mut is_lost, "targets", &error);
                registry.note_failure();
                RETRY_INTERVAL
            }
        };
        state.dispatcher.set_targets(registry.usable(now));
        sleep(pause).await;
    }
}

fn note_lost(is_lost: &mut bool, read: &'static str, error: &StoreError) {
    if !std::mem::replace(is_lost, true) {
        tracing::warn!(event = "store_lost", read, %error);
    }
}

fn note_regained(is_lost: &mut bool, read: &'static str) {
    if std::mem::take(is_lost) {
        tracing::info!(event = "store_regained", read);
    }
}
