//! Queries for the age of the peers' document and targets, and updates from peers that have newer ones.

use crate::control::{DOCUMENT_PATH, TARGETS_PATH};
use crate::message::PeerMessage;
use crate::peer_exchange::PeerExchange;
use plantainmill_core::Uptime;
use plantainmill_routing::{FleetDocument, TargetEntry};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Age of the document or targets from which VMs other than the readers of the domain are queried, too.
const EXTENDED_QUERY_AGE: Duration = Duration::from_millis(1_200);
/// Interval between age queries.
const AGE_QUERY_INTERVAL: Duration = Duration::from_millis(400);
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
        loop {
            sleep(AGE_QUERY_INTERVAL).await;
            let now = self.now();
            self.pending_queries
                .borrow_mut()
                .retain(|_, queried_at| now.saturating_sub(*queried_at) < AGE_QUERY_TIMEOUT);
            let ages = [self.state.document_age(), self.state.targets_age()];
            let is_old = ages
                .iter()
                .any(|age| age.is_none_or(|age| age >= EXTENDED_QUERY_AGE));
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
        }
    }

    /// Announces changes of the document or the targets to the VMs of the domain without delay, if this VM is a reader.
    pub(crate) async fn announce_changes(self: Rc<Self>) {
        loop {
            self.state.update_notify.notified().await;
            if self.state.is_reader.get()
                && let Some(message) = self.age_message(0)
            {
                self.send_to_domain(&message).await;
            }
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
        })
    }

    pub(crate) fn confirm_targets(&self, fingerprint: u64, at: Uptime) {
        if fingerprint == self.state.targets.borrow().fingerprint() {
            let confirmed_at = self.state.targets_confirmed_at.get();
            self.state
                .targets_confirmed_at
                .set(confirmed_at.max(Some(at)));
            self.state.streams.confirm_targets(at);
        }
    }

    /// Fetches the peer's document or targets if they are newer than those of this VM.
    pub(crate) fn fetch_newer(
        self: &Rc<Self>,
        version: u64,
        targets_fingerprint: u64,
        targets_age: Duration,
        control: SocketAddr,
    ) {
        if version > self.state.view.version() {
            let state = Rc::clone(&self.state);
            actix_rt::spawn(async move {
                let sent_at = state.clock.uptime();
                let read: anyhow::Result<(FleetDocument, Duration)> =
                    state.peer_client.read(control, DOCUMENT_PATH).await;
                match read {
                    Ok((document, age)) => {
                        let version = document.version;
                        if state
                            .view
                            .replace_if_newer(document, sent_at.saturating_sub(age))
                        {
                            tracing::info!(event = "document_changed", version, from = %control);
                            state.log_unknown_regions();
                        }
                    }
                    Err(error) => {
                        tracing::info!(event = "document_not_read", from = %control, %error);
                    }
                }
            });
        }
        let is_different = targets_fingerprint != self.state.targets.borrow().fingerprint();
        let is_newer = self.state.targets_age().is_none_or(|age| targets_age < age);
        if is_different && is_newer && !self.is_fetching_targets.replace(true) {
            let exchange = Rc::clone(self);
            actix_rt::spawn(async move {
                let sent_at = exchange.now();
                let read: anyhow::Result<(Vec<TargetEntry>, Duration)> =
                    exchange.state.peer_client.read(control, TARGETS_PATH).await;
                exchange.is_fetching_targets.set(false);
                match read {
                    Ok((entries, age)) => {
                        let read_at = sent_at.saturating_sub(age);
                        exchange.state.adopt_targets(entries, read_at);
                    }
                    Err(error) => {
                        tracing::info!(event = "targets_not_read", from = %control, %error);
                    }
                }
            });
        }
    }
}
