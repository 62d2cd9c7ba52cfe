//! Reads the document and the targets from the store. A reader does so for its failure domain; any other VM does so only
//! while the readers do not provide recent data.

use crate::state::EdgeState;
use futures_util::{FutureExt as _, TryFutureExt as _};
use plantainmill_core::{DomainName, RetryDelay, Uptime};
use plantainmill_provider::{PlatformFuture, RowVersion, StoreError};
use plantainmill_routing::{
    DocumentRead, DocumentRevision, DocumentSource, EvacuationState, FleetRead, FollowerStep,
    RegistryFollower, TargetFeed, TargetRows, TargetSource, proof_interval,
};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Interval between reads of the document. A change takes effect within this interval plus one store response.
const DOCUMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed read. Short, because readiness depends on the next successful read.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Longest delay after several failed reads in a row of a VM without a document. VMs that share a link to the store would
/// otherwise fill it with reads that none of them can finish.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between announcements of a read that goes on.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which the store has begun to respond to a read that goes on.
const RESPONSE_LIMIT: Duration = Duration::from_millis(1_600);
/// Longest read. A read ends by itself when the store falls silent, so this bounds one that makes little progress.
const READ_LIMIT: Duration = Duration::from_secs(30);
/// Age of the document from which a VM reads the store itself: the readers have been queried twice by then.
const DIRECT_READ_AGE: Duration = Duration::from_millis(1_400);
/// Age of the targets, beyond the interval between the readers' proofs, from which a VM reads the store itself.
const DIRECT_READ_MARGIN: Duration = Duration::from_millis(800);
/// Interval at which a VM without a document or targets checks whether it has got them from a peer, or may read them itself.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout of a feed call, beyond the time for which the store may hold it.
const FEED_MARGIN: Duration = Duration::from_millis(500);

/// Returns whether this VM reads the store at present.
pub(crate) fn reads_store(state: &EdgeState) -> bool {
    if is_starting(state) {
        return state.read_turns.has_start_turn(state.clock.uptime());
    }
    let waited =
        |age: Option<Duration>, limit| age.map_or(Duration::MAX, |age| age.saturating_sub(limit));
    let document_wait = waited(state.document_age(), DIRECT_READ_AGE);
    let targets_limit = proof_interval(state.targets.borrow().len()) + DIRECT_READ_MARGIN;
    let targets_wait = waited(state.targets_age(), targets_limit);
    let wait = document_wait.max(targets_wait);
    let has_turn = !wait.is_zero() && state.read_turns.has_turn(wait, state.clock.uptime());
    state.is_reader.get() || has_turn
}

/// Awaits a read of the store. While a long one makes progress, the VMs of the domain hear of it.
async fn announced<T>(state: &EdgeState, has_failed: bool, read: impl Future<Output = T>) -> T {
    let started = Instant::now();
    let mut read = pin!(read);
    loop {
        tokio::select! {
            biased;
            result = &mut read => return result,
            () = sleep(ANNOUNCEMENT_INTERVAL) => {
                // A read from a store that does not respond fails by then.
                if !has_failed || started.elapsed() >= RESPONSE_LIMIT {
                    state.read_notify.notify_one();
                }
            }
        }
    }
}

fn is_starting(state: &EdgeState) -> bool {
    state.document_age().is_none() || state.targets_age().is_none()
}

/// Time after which a VM that does not read the store checks whether it has to.
fn check_interval(state: &EdgeState) -> Duration {
    if is_starting(state) {
        START_CHECK_INTERVAL
    } else {
        RETRY_INTERVAL
    }
}

/// Reads of the document, and of evacuated failure domains where operators can request evacuations.
struct DocumentReads {
    source: Rc<dyn DocumentSource>,
    /// Revision of the last document read.
    revision: DocumentRevision,
    /// What was last read of evacuations, if they are read.
    evacuations: Option<EvacuationReads>,
}

/// What was last read of evacuations.
struct EvacuationReads {
    state: EvacuationState,
    /// Versions of the requests by failure domain, which the next read expects; zero stands for no request.
    requests: BTreeMap<DomainName, RowVersion>,
}

impl DocumentReads {
    fn new(state: &EdgeState, source: Rc<dyn DocumentSource>) -> DocumentReads {
        let domains = state.settings.regions.keys();
        let evacuations = state.settings.bounds.evacuation.map(|_| EvacuationReads {
            state: EvacuationState::default(),
            requests: domains.map(|domain| (domain.clone(), 0)).collect(),
        });
        DocumentReads {
            source,
            revision: 0,
            evacuations,
        }
    }

    /// Reads the document, and records the evacuated failure domains. They apply even if the document cannot be decoded.
    async fn read(
        &mut self,
        state: &EdgeState,
        sent_at: Uptime,
    ) -> Result<DocumentRead, StoreError> {
        let silence = || StoreError::Unknown("no answer in time".into());
        let Some(evacuations) = &mut self.evacuations else {
            let read = timeout(READ_LIMIT, self.source.read_document(self.revision)).await;
            return read.unwrap_or_else(|_| Err(silence()));
        };
        let read = self.source.read_fleet(self.revision, &evacuations.requests);
        let read = timeout(READ_LIMIT, read).await;
        let FleetRead {
            document,
            evacuations: changed,
        } = read.unwrap_or_else(|_| Err(silence()))?;
        if let Some(changed) = changed {
            for (domain, version) in &mut evacuations.requests {
                *version = changed.domains.get(domain).copied().unwrap_or(0);
            }
            evacuations.state = changed;
        }
        state.record_evacuations(evacuations.state.clone(), sent_at);
        document
    }
}

/// Polls the document until the VM ends.
pub(crate) async fn poll_document(state: Rc<EdgeState>, source: Rc<dyn DocumentSource>) {
    let mut is_unreachable = false;
    let mut reads = DocumentReads::new(&state, source);
    let seed = xxh3_64(state.settings.vm.id.as_bytes());
    let mut retry_delay = RetryDelay::new(RETRY_INTERVAL, MAX_RETRY_INTERVAL, seed);
    // Version that the last document read contains.
    let mut known_version = 0;
    let mut was_reading = false;
    loop {
        let is_reading = reads_store(&state);
        if std::mem::replace(&mut was_reading, is_reading) != is_reading {
            let is_reader = state.is_reader.get();
            tracing::info!(event = "store_reads_changed", is_reading, is_reader);
        }
        if !is_reading {
            sleep(check_interval(&state)).await;
            continue;
        }
        let sent_at = state.clock.uptime();
        let read = announced(
            &state,
            retry_delay.has_failed(),
            reads.read(&state, sent_at),
        );
        let pause = match read.await {
            Ok(read) => {
                retry_delay.record_success();
                state.rows.record_call(true);
                log_store_regained(&mut is_unreachable, "document");
                match read {
                    DocumentRead::Missing => {}
                    DocumentRead::Unchanged => state.view.confirm(known_version, sent_at),
                    DocumentRead::Changed(document, changed_revision) => {
                        reads.revision = changed_revision;
                        known_version = document.version;
                        if state.view.replace_if_newer(*document, sent_at) {
                            let version = known_version;
                            tracing::info!(event = "document_changed", version, from = "store");
                            state.apply_document();
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
                let start_delay = retry_delay.record_failure();
                if is_starting(&state) {
                    start_delay
                } else {
                    RETRY_INTERVAL
                }
            }
        };
        sleep(pause).await;
    }
}

/// Follows the registered targets until the VM ends.
pub(crate) async fn follow_targets(state: Rc<EdgeState>, source: Rc<dyn TargetSource>) {
    let mut follower = RegistryFollower::new(xxh3_64(state.settings.vm.id.as_bytes()));
    let mut is_unreachable = false;
    let mut has_lost_feed = false;
    loop {
        state.expire_targets();
        if !reads_store(&state) {
            if state.targets_age().is_some() {
                follower.reset();
            }
            sleep(check_interval(&state)).await;
            continue;
        }
        if state.read_turns.is_first() {
            follower.end_start_delay();
        }
        let confirmed_at = state.targets_confirmed_at.get();
        match follower.next_step(confirmed_at, state.clock.uptime()) {
            FollowerStep::Wait(pause) => {
                let has_list = state.targets_age().is_some();
                let limit = if has_list {
                    RETRY_INTERVAL
                } else {
                    START_CHECK_INTERVAL
                };
                sleep(pause.min(limit)).await;
            }
            FollowerStep::ReadFew(limit) => {
                let read = source.read_few_targets(limit);
                read_targets(&state, read, &mut follower, &mut is_unreachable).await;
            }
            FollowerStep::Read => {
                let read = source.read_targets().map_ok(Some).boxed_local();
                read_targets(&state, read, &mut follower, &mut is_unreachable).await;
            }
            FollowerStep::Follow { after, wait } => {
                let read = timeout(wait + FEED_MARGIN, source.follow_targets(after, wait)).await;
                let read = read.unwrap_or_else(|_| Err(unanswered()));
                let now = state.clock.uptime();
                match read {
                    Ok(TargetFeed::Changes(rows)) => {
                        log_store_regained(&mut has_lost_feed, "target_feed");
                        state.apply_target_feed(follower.record_feed(rows, now));
                    }
                    Ok(TargetFeed::HistoryLost) => follower.record_feed_failure(now),
                    Err(error) => {
                        state.metrics.count_store_failure("target_feed");
                        log_store_lost(&mut has_lost_feed, "target_feed", &error);
                        // The registry may have been away, although the next read succeeds.
                        state.targets.borrow_mut().record_read_failure();
                        follower.record_feed_failure(now);
                    }
                }
            }
        }
    }
}

/// Reads all registered targets by `read`, which returns nothing if there are too many for it.
async fn read_targets(
    state: &EdgeState,
    read: PlatformFuture<'_, Option<TargetRows>>,
    follower: &mut RegistryFollower,
    is_unreachable: &mut bool,
) {
    let sent_at = state.clock.uptime();
    let former = state.targets.borrow().fingerprint();
    let read = announced(state, follower.has_failed(), timeout(READ_LIMIT, read)).await;
    match read.unwrap_or_else(|_| Err(unanswered())) {
        Ok(None) => follower.record_large_table(state.clock.uptime()),
        Ok(Some(rows)) => {
            log_store_regained(is_unreachable, "targets");
            let is_overtaken = state.targets_confirmed_at.get() > Some(sent_at)
                && state.targets.borrow().fingerprint() != former;
            if is_overtaken {
                // A peer has handed over a more recent list meanwhile.
                follower.record_read_failure(state.clock.uptime());
            } else {
                state.apply_targets(follower.record_read(rows, sent_at), sent_at);
            }
        }
        Err(error) => {
            state.metrics.count_store_failure("targets");
            log_store_lost(is_unreachable, "targets", &error);
            state.targets.borrow_mut().record_read_failure();
            follower.record_read_failure(state.clock.uptime());
        }
    }
}

fn unanswered() -> StoreError {
    StoreError::Unknown("no answer in time".into())
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
