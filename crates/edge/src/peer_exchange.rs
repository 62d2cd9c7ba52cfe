//! Message exchange between VMs: load and usage reports, discovery through the store, and updates of the document and
//! the targets from the readers of the failure domain.

use crate::control::{DOCUMENT_PATH, TARGETS_PATH};
use crate::message::{DomainReport, PeerMessage, PeerReport, VmRow};
use crate::peer_directory::PeerDirectory;
use crate::state::EdgeState;
use bytes::Bytes;
use plantainmill_admission::UsageSource;
use plantainmill_core::{Uptime, encode_cbor};
use plantainmill_dispatch::shared::{LoadSource, PeerLoad};
use plantainmill_provider::{PartitionStore, RowChange, StoreError};
use plantainmill_routing::{FleetDocument, TargetEntry};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

/// Table of the VMs' rows. The partition is the failure domain.
const VM_TABLE: &str = "vms";
/// Minimum interval between reports within the failure domain: about the time that a prompt takes to its first token.
const DOMAIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between reports to other failure domains of the same region.
const REGION_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between reports to other regions. Longer, because links between regions are billed by volume.
const CROSS_REGION_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval after which an unchanged report is repeated. Several fit into the time after which a peer counts as failed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// One of this many reports to domains of the same region includes the usage. Reports to other regions always do.
const USAGE_REPORT_PERIOD: u64 = 3;
/// Minimum interval between updates of the fleet view: a seventh of the time after which a silent reader is replaced.
const FLEET_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between ticks of the dispatcher, which re-examine the requests that wait for a slot.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between reads of the VMs' rows.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between discovery attempts until this VM's row is written.
const DISCOVERY_RETRY_INTERVAL: Duration = Duration::from_millis(500);
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
/// Interval between messages with job heads.
const JOB_UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of job heads in one message. A head takes about 250 bytes.
const UPDATES_PER_MESSAGE: usize = 100;
/// Size of the receive buffer in bytes: the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// Message exchange with other VMs.
pub(crate) struct PeerExchange {
    state: Rc<EdgeState>,
    rows: Rc<dyn PartitionStore>,
    socket: UdpSocket,
    own_row: VmRow,
    directory: RefCell<PeerDirectory>,
    pending_queries: RefCell<HashMap<u64, Uptime>>,
    next_nonce: Cell<u64>,
    sequence: Cell<u64>,
    /// A read of the targets from a peer is in progress; only one runs at a time.
    is_fetching_targets: Cell<bool>,
}

impl PeerExchange {
    /// Spawns the tasks of the exchange on the current thread.
    pub fn start(state: Rc<EdgeState>, socket: UdpSocket, own_row: VmRow) -> Rc<PeerExchange> {
        let exchange = Rc::new(PeerExchange {
            next_nonce: Cell::new(own_row.incarnation),
            directory: RefCell::new(PeerDirectory::new(own_row.clone())),
            rows: Rc::clone(&state.rows) as Rc<dyn PartitionStore>,
            state,
            socket,
            own_row,
            pending_queries: RefCell::default(),
            sequence: Cell::new(0),
            is_fetching_targets: Cell::new(false),
        });
        actix_rt::spawn(Rc::clone(&exchange).receive());
        actix_rt::spawn(Rc::clone(&exchange).report_to_domain());
        actix_rt::spawn(Rc::clone(&exchange).report_to_other_domains());
        actix_rt::spawn(Rc::clone(&exchange).discover());
        actix_rt::spawn(Rc::clone(&exchange).query_ages());
        actix_rt::spawn(Rc::clone(&exchange).announce_changes());
        actix_rt::spawn(Rc::clone(&exchange).broadcast_job_updates());
        actix_rt::spawn(Rc::clone(&exchange).tick());
        exchange
    }

    fn now(&self) -> Uptime {
        self.state.clock.uptime()
    }

    /// Announces to the VMs of the domain that this one stops and has no calls left.
    pub async fn announce_stop(&self) {
        let message = PeerMessage::Leaving {
            vm: self.own_row.vm.clone(),
            incarnation: self.own_row.incarnation,
        };
        self.send_to_domain(&message).await;
    }

    async fn send_to_domain(&self, message: &PeerMessage) {
        let content = message.encode();
        let addresses = self.directory.borrow().local_addresses();
        for address in addresses {
            self.send(&content, address).await;
        }
    }

    async fn send(&self, content: &[u8], address: SocketAddr) {
        self.state.metrics.count_datagram("sent");
        if let Err(error) = self.socket.send_to(content, address).await {
            // Not fatal: the next report repeats the state in this one.
            tracing::debug!(event = "datagram_not_sent", %address, %error);
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            sleep(TICK_INTERVAL).await;
            self.state.dispatcher.tick();
            self.state.log_readiness_change();
        }
    }

    /// Sends reports to the VMs of the domain: when the load has changed, and otherwise at the heartbeat interval.
    async fn report_to_domain(self: Rc<Self>) {
        let mut sent_at = Instant::now();
        let mut last_load: Option<PeerLoad> = None;
        let mut fleet_updated_at = None;
        loop {
            tokio::select! {
                () = self.state.dispatcher.report_requested() => {}
                () = sleep_until(sent_at + DOMAIN_REPORT_INTERVAL) => {}
            }
            if fleet_updated_at.is_none_or(|at: Instant| at.elapsed() >= FLEET_UPDATE_INTERVAL) {
                fleet_updated_at = Some(Instant::now());
                self.update_fleet();
            }
            let load = self.state.dispatcher.report();
            if last_load.as_ref() == Some(&load) && sent_at.elapsed() < HEARTBEAT_INTERVAL {
                sleep(DOMAIN_REPORT_INTERVAL / 2).await;
                continue;
            }
            sent_at = Instant::now();
            last_load = Some(load.clone());
            self.sequence.set(self.sequence.get() + 1);
            let report = PeerReport {
                row: self.own_row.clone(),
                sequence: self.sequence.get(),
                load,
                usage: self.state.limiter.report(),
            };
            self.send_to_domain(&PeerMessage::Report(report)).await;
        }
    }

    /// Sends the domain's aggregated report to the other domains while this VM is the aggregator.
    async fn report_to_other_domains(self: Rc<Self>) {
        let mut round: u64 = 0;
        let mut cross_region_sent_at = Instant::now();
        loop {
            sleep(REGION_REPORT_INTERVAL).await;
            let now = self.now();
            if !self.directory.borrow().is_aggregator(now) {
                continue;
            }
            round += 1;
            let cross_region_due = cross_region_sent_at.elapsed() >= CROSS_REGION_REPORT_INTERVAL;
            if cross_region_due {
                cross_region_sent_at = Instant::now();
            }
            let (members, addresses) = {
                let directory = self.directory.borrow();
                let remote = directory.remote_addresses(round, now);
                let due = remote
                    .into_iter()
                    .filter(|(row, _)| cross_region_due || row.region == self.own_row.region);
                let addresses: Vec<SocketAddr> = due.map(|(_, address)| address).collect();
                (directory.members(now), addresses)
            };
            let includes_usage = cross_region_due || round.is_multiple_of(USAGE_REPORT_PERIOD);
            let report = DomainReport {
                aggregator: self.own_row.clone(),
                members,
                load: self.state.dispatcher.domain_report(),
                usage: includes_usage.then(|| self.state.limiter.domain_report()),
                passed_on: false,
            };
            let content = PeerMessage::Domain(report).encode();
            for address in addresses {
                self.send(&content, address).await;
            }
        }
    }

    /// Updates the VM's reader role and the job service's view of the fleet.
    fn update_fleet(&self) {
        let now = self.now();
        let directory = self.directory.borrow();
        let is_reader = directory.is_reader(now);
        if self.state.is_reader.replace(is_reader) != is_reader {
            tracing::info!(event = "reader_changed", is_reader);
        }
        self.state.jobs.set_fleet(directory.job_fleet(now));
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((size, from)) => {
                    self.state.metrics.count_datagram("received");
                    if let Some(message) = PeerMessage::decode(&buffer[..size]) {
                        self.handle_message(message, from).await;
                    } else {
                        tracing::debug!(event = "datagram_malformed", %from);
                    }
                }
                Err(error) => {
                    tracing::debug!(event = "datagram_not_received", %error);
                    sleep(TICK_INTERVAL).await;
                }
            }
        }
    }

    async fn handle_message(self: &Rc<Self>, message: PeerMessage, from: SocketAddr) {
        match message {
            PeerMessage::Report(report) => self.handle_report(report),
            PeerMessage::Domain(report) => self.handle_domain_report(report).await,
            PeerMessage::Jobs(updates) => self.state.jobs.apply_updates(updates),
            PeerMessage::Leaving { vm, incarnation } => {
                if self.directory.borrow_mut().remove_peer(&vm, incarnation) {
                    self.state.limiter.remove_peer(&UsageSource::Vm(vm.clone()));
                    self.state.dispatcher.remove_peer(&LoadSource::Vm(vm));
                }
            }
            PeerMessage::AskAge { nonce } => {
                if let Some(response) = self.age_message(nonce) {
                    self.send(&response.encode(), from).await;
                }
            }
            PeerMessage::Age {
                nonce,
                version,
                age,
                targets_stamp,
                targets_age,
                reaches_store,
                control,
            } => {
                self.state.rows.record_proxy(control, reaches_store);
                let queried_at = self.pending_queries.borrow_mut().remove(&nonce);
                if let Some(queried_at) = queried_at {
                    // The ages held at some time after the query was sent, so counting them from the query is
                    // conservative.
                    self.state
                        .view
                        .confirm(version, queried_at.saturating_sub(age));
                    self.confirm_targets(targets_stamp, queried_at.saturating_sub(targets_age));
                }
                if queried_at.is_some() || nonce == 0 {
                    self.fetch_newer(version, targets_stamp, targets_age, control);
                }
            }
        }
    }

    fn confirm_targets(&self, fingerprint: u64, at: Uptime) {
        if fingerprint == self.state.targets.borrow().fingerprint() {
            let confirmed_at = self.state.targets_confirmed_at.get();
            self.state
                .targets_confirmed_at
                .set(confirmed_at.max(Some(at)));
        }
    }

    fn age_message(&self, nonce: u64) -> Option<PeerMessage> {
        Some(PeerMessage::Age {
            nonce,
            version: self.state.view.version(),
            age: self.state.document_age()?,
            targets_stamp: self.state.targets.borrow().fingerprint(),
            targets_age: self.state.targets_age()?,
            reaches_store: self.state.is_reader.get() && !self.state.rows.is_failing(),
            control: self.own_row.control,
        })
    }

    fn handle_report(&self, report: PeerReport) {
        let is_newer = {
            let now = self.now();
            let mut directory = self.directory.borrow_mut();
            directory.record_report(&report.row, report.sequence, now)
        };
        if is_newer {
            let vm = report.row.vm;
            let source = UsageSource::Vm(vm.clone());
            self.state.limiter.record_report(&source, 1, report.usage);
            self.state
                .dispatcher
                .record_report(&LoadSource::Vm(vm), report.load);
        }
    }

    /// Handles the report of another domain. The VM that receives it first forwards it within its own domain.
    async fn handle_domain_report(&self, report: DomainReport) {
        let domain = report.aggregator.domain.clone();
        if domain == self.own_row.domain {
            return;
        }
        let now = self.now();
        let member_count = report.members.len();
        self.directory
            .borrow_mut()
            .record_domain_report(&domain, report.members.clone(), now);
        if let Some(usage) = report.usage.clone() {
            let source = UsageSource::Domain {
                domain: domain.clone(),
                aggregator: (report.aggregator.vm.clone(), report.aggregator.incarnation),
            };
            self.state
                .limiter
                .record_report(&source, member_count, usage);
        }
        let load = report.load.clone();
        self.state
            .dispatcher
            .record_report(&LoadSource::Domain(domain), load);
        if !report.passed_on {
            let report = DomainReport {
                passed_on: true,
                ..report
            };
            self.send_to_domain(&PeerMessage::Domain(report)).await;
        }
    }

    /// Discovers other VMs through the store, and registers this VM there.
    async fn discover(self: Rc<Self>) {
        let mut is_written = false;
        loop {
            if !is_written {
                match self.write_row().await {
                    Ok(()) => is_written = true,
                    Err(error) => tracing::info!(event = "vm_row_not_written", %error),
                }
            }
            match self.read_local_rows().await {
                Ok(has_own_row) => is_written &= has_own_row,
                Err(error) => tracing::info!(event = "vms_not_read", %error),
            }
            let now = self.now();
            let reads_remote_rows = self.directory.borrow().is_reader(now);
            if reads_remote_rows && let Err(error) = self.read_remote_rows().await {
                tracing::info!(event = "far_vms_not_read", %error);
            }
            sleep(if is_written {
                DISCOVERY_INTERVAL
            } else {
                DISCOVERY_RETRY_INTERVAL
            })
            .await;
        }
    }

    async fn write_row(&self) -> Result<(), StoreError> {
        let change = RowChange::of(self.own_row.domain.clone());
        let content = Bytes::from(encode_cbor(&self.own_row));
        let change = change.put(VM_TABLE, &self.own_row.vm, content);
        self.rows.change(change).await.map(drop)
    }

    /// Reads the rows of the domain's VMs and removes stale ones. Returns whether the row of this VM is present.
    async fn read_local_rows(&self) -> Result<bool, StoreError> {
        let read = self
            .rows
            .read(VM_TABLE, &self.own_row.domain, "", "")
            .await?;
        let (rows, versions): (Vec<VmRow>, Vec<_>) = read
            .rows
            .iter()
            .filter_map(|row| Some((decode_row(&row.key, &row.value)?, row.version)))
            .unzip();
        let now = self.now();
        let stale = self.directory.borrow_mut().update_local_rows(&rows, now);
        for position in stale {
            let vm = &rows[position].vm;
            let change = RowChange::of(self.own_row.domain.clone());
            let change = change
                .expect(VM_TABLE, vm, versions[position])
                .remove(VM_TABLE, vm);
            self.rows.change(change).await?;
            tracing::info!(event = "vm_row_removed", %vm);
        }
        Ok(rows.contains(&self.own_row))
    }

    async fn read_remote_rows(&self) -> Result<(), StoreError> {
        let domains = self.state.settings.regions.keys();
        for domain in domains.filter(|domain| **domain != self.own_row.domain) {
            let read = self.rows.read(VM_TABLE, domain, "", "").await?;
            let rows = read
                .rows
                .iter()
                .filter_map(|row| decode_row(&row.key, &row.value));
            self.directory
                .borrow_mut()
                .update_remote_rows(domain, rows.collect());
        }
        Ok(())
    }

    /// Queries peers for the age of their document and targets: the readers of the domain first, and further VMs when
    /// those do not suffice.
    async fn query_ages(self: Rc<Self>) {
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
    async fn announce_changes(self: Rc<Self>) {
        loop {
            self.state.update_notify.notified().await;
            if self.state.is_reader.get()
                && let Some(message) = self.age_message(0)
            {
                self.send_to_domain(&message).await;
            }
        }
    }

    /// Sends the job heads that this VM has read to the VMs of the domain whenever they change.
    async fn broadcast_job_updates(self: Rc<Self>) {
        let mut last_sent = Vec::new();
        loop {
            sleep(JOB_UPDATE_INTERVAL).await;
            let updates = self.state.jobs.recent_updates();
            if updates == last_sent {
                continue;
            }
            for chunk in updates.chunks(UPDATES_PER_MESSAGE) {
                self.send_to_domain(&PeerMessage::Jobs(chunk.to_vec()))
                    .await;
            }
            last_sent = updates;
        }
    }

    /// Fetches the peer's document or targets if they are newer than those of this VM.
    fn fetch_newer(
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

fn decode_row(key: &str, value: &[u8]) -> Option<VmRow> {
    let row = ciborium::from_reader(value);
    row.map_err(|error| tracing::warn!(event = "vm_row_malformed", key, %error))
        .ok()
}
