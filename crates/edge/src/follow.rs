//! Reads the document and the targets: from the store for the whole failure domain, or for itself when the readers of
//! the domain cannot.

use crate::state::EdgeState;
use plantainmill_provider::StoreError;
use plantainmill_routing::{DocumentRead, DocumentRevision, DocumentSource, TargetSource};
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
/// Age of what is known from which a VM reads for itself: the readers were asked twice.
const OWN_READ_AGE: Duration = Duration::from_millis(1_400);

/// Whether this VM reads the store now.
fn reads_store(state: &EdgeState) -> bool {
    let is_old = |age: Option<Duration>| age.is_none_or(|age| age >= OWN_READ_AGE);
    state.is_reader.get() || is_old(state.document_age()) || is_old(state.targets_age())
}

/// Reads the document again and again.
pub(crate) async fn follow_document(state: Rc<EdgeState>, source: Rc<dyn DocumentSource>) {
    let mut is_lost = false;
    // The document that was read last, as the store and as callers know it.
    let mut stamp: DocumentRevision = 0;
    let mut stamped = 0;
    loop {
        if !reads_store(&state) {
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        let sent_at = state.clock.uptime();
        let read = timeout(READ_LIMIT, source.read_document(stamp)).await;
        let read = read.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".into())));
        let pause = match read {
            Ok(read) => {
                state.rows.note_call(true);
                note_regained(&mut is_lost, "document");
                match read {
                    DocumentRead::Missing => {}
                    DocumentRead::Unchanged => state.view.confirm(stamped, sent_at),
                    DocumentRead::Changed(document, changed_stamp) => {
                        stamp = changed_stamp;
                        stamped = document.version;
                        if state.view.replace_if_newer(*document, sent_at) {
                            let version = stamped;
                            tracing::info!(event = "document_changed", version, from = "store");
                            state.changed.notify_one();
                        }
                    }
                }
                DOCUMENT_INTERVAL
            }
            Err(error) => {
                state.rows.note_call(false);
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
    let mut is_lost = false;
    loop {
        if !reads_store(&state) {
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        let sent_at = state.clock.uptime();
        let read = timeout(READ_LIMIT, source.read_targets()).await;
        let read = read.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".into())));
        let pause = match read {
            Ok(entries) => {
                note_regained(&mut is_lost, "targets");
                state.take_targets(entries, sent_at);
                TARGET_INTERVAL
            }
            Err(error) => {
                state.meters.count_store_failure("targets");
                note_lost(&mut is_lost, "targets", &error);
                state.targets.borrow_mut().record_read_failure();
                RETRY_INTERVAL
            }
        };
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
