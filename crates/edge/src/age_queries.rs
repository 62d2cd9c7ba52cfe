//! Queries for the age of the peers' document and targets, and updates from peers that have newer ones.

use crate::control::{BASE_PARAMETER, DOCUMENT_PATH, TARGET_CHANGES_PATH};
use crate::message::PeerMessage;
use crate::peer_exchange::PeerExchange;
use crate::store_poll::reads_store;
use crate::target_list::{TargetListAnswer, TargetListContent};
use anyhow::anyhow;
use plantainmill_core::Uptime;
use plantainmill_routing::{FleetDocument, TargetEntry};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

/// Age of the document from which VMs other than the readers of the domain are queried, too.
const EXTENDED_QUERY_AGE: Duration = Duration::from_millis(1_200);
/// Age of the targets, beyond the interval between the readers' proofs, from which those VMs are queried.
const EXTENDED_QUERY_MARGIN: Duration = Duration::from_millis(600);
/// Interval between age queries.
const AGE_QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// Time from the start of a VM to its first query. It differs between VMs, so that not all fetch the targets from the
/// readers at once when they have started together.
const FIRST_QUERY_MS: Range<u64> = 150..450;
/// Shortest interval between announcements of changes. All VMs of the domain ask for the changes after each one.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);
/// VMs queried per interval when the document or targets are old or the store does not respond.
const EXTENDED_QUERY_PEERS: usize = 5;
/// VMs that a reader queries per interval: the domain's other reader, and one VM of another domain.
const READER_QUERY_PEERS: usize = 2;
/// Timeout of an age query. Later responses are ignored.
const AGE_QUERY_TIMEOUT: Duration = Duration::from_secs(1);

impl PeerExchange {
    /// Queries peers for the age of their document and targets: the readers of the domain first, and further VMs when
    /// those do not suffice.
    pub(crate) async fn query_ages(self: Rc<Self>) {
        let hash = xxh3_64(self.own_row.vm.as_bytes());
        let range = FIRST_QUERY_MS;
        let delay = range.start + hash % (range.end - range.start);
        sleep(Duration::from_millis(delay)).await;
        loop {
            let now = self.now();
            self.pending_queries
                .borrow_mut()
                .retain(|_, queried_at| now.saturating_sub(*queried_at) < AGE_QUERY_TIMEOUT);
            let document_age = self.state.document_age();
            let has_old_document = document_age.is_none_or(|age| age >= EXTENDED_QUERY_AGE);
            let is_old = has_old_document || self.state.has_old_targets(EXTENDED_QUERY_MARGIN);
            let needs_more_peers = is_old || self.state.rows.is_failing();
            let sources = self
                .directory
                .borrow()
                .age_sources(self.next_nonce.get(), now);
            // A reader queries peers only to know which of them reach the store in case it does not itself.
            let count = match (needs_more_peers, self.state.is_reader.get()) {
                (true, _) => EXTENDED_QUERY_PEERS,
                (false, true) => READER_QUERY_PEERS,
                (false, false) => 1,
            };
            for address in sources.into_iter().take(count) {
                let nonce = self.next_nonce.get();
                self.next_nonce.set(nonce + 1);
                self.pending_queries.borrow_mut().insert(nonce, now);
                self.send(&PeerMessage::AskAge { nonce }.encode(), address)
                    .await;
            }
            sleep(AGE_QUERY_INTERVAL).await;
        }
    }

    /// Announces changes of the document or the targets to the VMs of the domain, if this VM is a reader: the first one without
    /// delay, further ones together after an interval.
    pub(crate) async fn announce_changes(self: Rc<Self>) {
        loop {
            self.state.update_notify.notified().await;
            if self.state.is_reader.get()
                && let Some(message) = self.age_message(0)
            {
                self.send_to_domain(&message).await;
                sleep(ANNOUNCEMENT_INTERVAL).await;
            }
        }
    }

    /// Announces to the VMs of the domain that this VM is reading the store, so that they leave it the read.
    pub(crate) async fn announce_reads(self: Rc<Self>) {
        loop {
            self.state.read_notify.notified().await;
            self.send_to_domain(&PeerMessage::ReadingStore).await;
        }
    }

    pub(crate) fn age_message(&self, nonce: u64) -> Option<PeerMessage> {
        Some(PeerMessage::Age {
            nonce,
            version: self.state.view.version(),
            age: self.state.document_age()?,
            targets_stamp: self.state.targets.borrow().fingerprint(),
            targets_age: self.state.targets_age()?,
            reaches_store: self.state.is_reader.get() && !self.state.rows.is_failing(),
            control: self.own_row.control,
            jobs: self.state.jobs.announced(),
            sends_target_changes: true,
            evacuations: self.state.view.evacuation_report(self.now()),
        })
    }

    pub(crate) fn confirm_targets(&self, fingerprint: u64, at: Uptime) {
        if fingerprint == self.state.targets.borrow().fingerprint() {
            self.state.confirm_targets(at);
        }
    }

    /// Fetches the peer's document if it is newer than that of this VM.
    pub(crate) fn fetch_document(self: &Rc<Self>, version: u64, control: SocketAddr) {
        let is_newer = version > self.state.view.version();
        if !is_newer || !self.may_fetch_from(control) || self.is_fetching_document.replace(true) {
            return;
        }
        let exchange = Rc::clone(self);
        actix_rt::spawn(async move {
            let state = &exchange.state;
            let sent_at = state.clock.uptime();
            let read: anyhow::Result<(FleetDocument, Duration)> =
                state.peer_client.read(control, DOCUMENT_PATH).await;
            exchange.is_fetching_document.set(false);
            match read {
                Ok((document, age)) => {
                    let version = document.version;
                    if state
                        .view
                        .replace_if_newer(document, sent_at.saturating_sub(age))
                    {
                        tracing::info!(event = "document_changed", version, from = %control);
                        state.apply_document();
                        state.log_unknown_regions();
                    }
                }
                Err(error) => {
                    tracing::info!(event = "document_not_read", from = %control, %error);
                }
            }
        });
    }

    /// Whether this VM fetches data from the peer whose control listener is at `control`. What comes from another domain shares
    /// links with the reads of all other VMs, so it is left to those that read the store as well.
    fn may_fetch_from(&self, control: SocketAddr) -> bool {
        let directory = self.directory.borrow();
        let mut local = directory.local_rows();
        local.any(|row| row.control == control) || reads_store(&self.state)
    }

    /// Fetches the peer's targets from `path` if they are newer than those of this VM and differ from them.
    pub(crate) fn fetch_targets(
        self: &Rc<Self>,
        fingerprint: u64,
        age: Duration,
        control: SocketAddr,
        path: &'static str,
    ) {
        // A reader whose own reads succeed knows changes from the feed that another one may not have heard of.
        let is_served = self.state.is_reader.get() && !self.state.has_old_targets(Duration::ZERO);
        let is_newer = self.state.targets_age().is_none_or(|own_age| age < own_age);
        let known = self.state.targets.borrow().fingerprint();
        if is_served || !is_newer || fingerprint == known || !self.may_fetch_from(control) {
            return;
        }
        if self.is_fetching_targets.replace(true) {
            return;
        }
        let exchange = Rc::clone(self);
        actix_rt::spawn(async move {
            let read = exchange.read_targets(control, path, known).await;
            exchange.is_fetching_targets.set(false);
            if let Err(error) = read {
                tracing::info!(event = "targets_not_read", from = %control, %error);
            }
        });
    }

    /// Reads the targets of a peer. The list of this VM has the fingerprint `known` now.
    async fn read_targets(
        &self,
        control: SocketAddr,
        path: &'static str,
        known: u64,
    ) -> anyhow::Result<()> {
        let sent_at = self.now();
        let client = &self.state.peer_client;
        let update = if path == TARGET_CHANGES_PATH {
            let call = match self.state.targets_age() {
                Some(_) => format!("{path}?{BASE_PARAMETER}={known}"),
                None => path.to_owned(),
            };
            let answer: TargetListAnswer = client.read(control, &call).await?;
            let update = answer.into_update();
            update.ok_or_else(|| anyhow!("malformed list of targets"))?
        } else {
            let (entries, age): (Vec<TargetEntry>, Duration) = client.read(control, path).await?;
            self.state
                .adopt_targets(entries, None, known, sent_at.saturating_sub(age));
            return Ok(());
        };
        let read_at = sent_at.saturating_sub(update.age);
        match update.content {
            TargetListContent::Whole(entries) => {
                let fingerprint = Some(update.fingerprint);
                self.state
                    .adopt_targets(entries, fingerprint, known, read_at);
            }
            TargetListContent::Changes(base, changes) => {
                self.state
                    .adopt_target_changes(base, changes, update.fingerprint, read_at);
            }
        }
        Ok(())
    }
}
