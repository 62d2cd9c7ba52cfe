//! Polls the store for the document and the targets. A reader does so for its failure domain; any other VM does so only
//! while the readers do not provide recent data.

use crate::state::EdgeState;
use plantainmill_provider::StoreError;
use plantainmill_routing::{DocumentRead, DocumentRevision, DocumentSource, TargetSource};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Interval between reads of the document. A change takes effect within this interval plus one store response.
const DOCUMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads of the targets. A draining target gets no more requests after this interval plus one store
/// response.
const TARGET_INTERVAL: Duration = Duration::from_millis(600);
/// Delay after a failed read. Short, because readiness depends on the next successful read.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a read. A slow store takes several hundred milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age of the document or targets from which a VM reads the store itself: the readers have been queried twice by then.
const DIRECT_READ_AGE: Duration = Duration::from_millis(1_400);

/// Returns whether this VM reads the store at present.
fn reads_store(state: &EdgeState) -> bool {
    let is_stale = |age: Option<Duration>| age.is_none_or(|age| age >= DIRECT_READ_AGE);
    state.is_reader.get() || is_stale(state.document_age()) || is_stale(state.targets_age())
}

/// Polls the document until the VM ends.
pub(crate) async fn poll_document(state: Rc<EdgeState>, source: Rc<dyn DocumentSource>) {
    let mut is_unreachable = false;
    // The last document read: its revision in the store, and the version that it contains.
    let mut revision: DocumentRevision = 0;
    let mut known_version = 0;
    loop {
        if !reads_store(&state) {
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        let sent_at = state.clock.uptime();
        let read = timeout(READ_TIMEOUT, source.read_document(revision)).await;
        let read = read.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".into())));
        let pause = match read {
            Ok(read) => {
                state.rows.record_call(true);
                log_store_regained(&mut is_unreachable, "document");
                match read {
                    DocumentRead::Missing => {}
                    DocumentRead::Unchanged => state.view.confirm(known_version, sent_at),
                    DocumentRead::Changed(document, changed_revision) => {
                        revision = changed_revision;
                        known_version = document.version;
                        if state.view.replace_if_newer(*document, sent_at) {
                            let version = known_version;
                            tracing::info!(event = "document_changed", version, from = "store");
                            state.log_unknown_regions();
                            state.update_notify.notify_one();
                        }
                    }
                }
                DOCUMENT_INTERVAL
            }
            Err(error) => {
                state.rows.record_call(false);
                state.metrics.count_store_failure("document");
                log_store_lost(&mut is_unreachable, "document", &error);
                RETRY_INTERVAL
            }
        };
        sleep(pause).await;
    }
}

/// Polls the registered targets until the VM ends.
pub(crate) async fn poll_targets(state: Rc<EdgeState>, source: Rc<dyn TargetSource>) {
    let mut is_unreachable = false;
    loop {
        if !reads_store(&state) {
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        let sent_at = state.clock.uptime();
        let read = timeout(READ_TIMEOUT, source.read_targets()).await;
        let read = read.unwrap_or_else(|_| Err(StoreError::Unknown("no answer in time".into())));
        let pause = match read {
            Ok(entries) => {
                log_store_regained(&mut is_unreachable, "targets");
                state.apply_targets(entries, sent_at);
                TARGET_INTERVAL
            }
            Err(error) => {
                state.metrics.count_store_failure("targets");
                log_store_lost(&mut is_unreachable, "targets", &error);
                state.targets.borrow_mut().record_read_failure();
                RETRY_INTERVAL
            }
        };
        sleep(pause).await;
    }
}

fn log_store_lost(is_unreachable: &mut bool, read: &'static str, error: &StoreError) {
    if !std::mem::replace(is_unreachable, true) {
        tracing::warn!(event = "store_lost", read, %error);
    }
}

fn log_store_regained(is_unreachable: &mut bool, read: &'static str) {
    if std::mem::take(is_unreachable) {
        tracing::info!(event = "store_regained", read);
    }
}
