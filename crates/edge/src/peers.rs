//! Reports between VMs, and what a VM learns from the readers of its failure domain.

use crate::control::{DOCUMENT_PATH, TARGETS_PATH};
use crate::message::{DomainReport, PeerMessage, PeerReport, VmRow};
use crate::roster::Roster;
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

/// Table of the VMs' rows; the part is the failure domain.
const VM_TABLE: &str = "vms";
/// Least time between reports within the failure domain: as long as a prompt takes to its first token.
const NEAR_INTERVAL: Duration = Duration::from_millis(50);
/// Least time between reports to other failure domains of the region.
const REGION_INTERVAL: Duration = Duration::from_millis(100);
/// Least time between reports over links between regions, which are paid by volume.
const FAR_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a report is sent although nothing changed. Several fit the time after which a peer is silent.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);
/// Reports to other domains of which one says what was admitted.
const USAGE_TURNS: u64 = 3;
/// Least time between looks at who is heard: a seventh of the time after which a silent reader is replaced.
const FLEET_INTERVAL: Duration = Duration::from_millis(100);
/// Time between looks at what waits for a slot.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Time between reads of the VMs' rows.
const DISCOVER_INTERVAL: Duration = Duration::from_secs(5);
/// Time between such reads while this VM's row is not written.
const DISCOVER_RETRY: Duration = Duration::from_millis(500);
/// Age of the document from which other VMs than the readers of the domain are asked, too.
const PROOF_AGE: Duration = Duration::from_millis(1_200);
/// Time between questions.
const PROOF_INTERVAL: Duration = Duration::from_millis(400);
/// VMs asked when the readers do not answer.
const PROOF_PEERS: usize = 5;
/// VMs that a reader asks: the other one of its domain, and one elsewhere.
const READER_PEERS: usize = 2;
/// Time until an answer to a question is of no use.
const PROOF_LIMIT: Duration = Duration::from_secs(1);
/// Time between messages with heads of jobs.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Heads of one message: some 250 bytes each.
const UPDATES_PER_MESSAGE: usize = 100;
/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 65_000;

/// The exchange with other VMs.
pub(crate) struct PeerExchange {
    state: Rc<EdgeState>,
    rows: Rc<dyn PartitionStore>,
    socket: UdpSocket,
    own: VmRow,
    roster: RefCell<Roster>,
    questions: RefCell<HashMap<u64, Uptime>>,
    next_nonce: Cell<u64>,
    sequence: Cell<u64>,
    /// Targets are being read from a peer.
    reads_targets: Cell<bool>,
}

impl PeerExchange {
    /// Starts the exchange on the current thread.
    pub fn start(state: Rc<EdgeState>, socket: UdpSocket, own: VmRow) -> Rc<PeerExchange> {
        let exchange = Rc::new(PeerExchange {
            next_nonce: Cell::new(own.incarnation),
            roster: RefCell::new(Roster::new(own.clone())),
            rows: Rc::clone(&state.rows) as Rc<dyn PartitionStore>,
            state,
            socket,
            own,
            questions: RefCell::default(),
            sequence: Cell::new(0),
            reads_targets: Cell::new(false),
        });
        actix_rt::spawn(Rc::clone(&exchange).receive());
        actix_rt::spawn(Rc::clone(&exchange).report_near());
        actix_rt::spawn(Rc::clone(&exchange).report_far());
        actix_rt::spawn(Rc::clone(&exchange).discover());
        actix_rt::spawn(Rc::clone(&exchange).prove_age());
        actix_rt::spawn(Rc::clone(&exchange).announce_changes());
        actix_rt::spawn(Rc::clone(&exchange).broadcast_updates());
        actix_rt::spawn(Rc::clone(&exchange).tick());
        exchange
    }

    fn now(&self) -> Uptime {
        self.state.clock.uptime()
    }

    /// Tells the VMs of the domain that this one stops and has no calls any more.
    pub async fn announce_leaving(&self) {
        let message = PeerMessage::Leaving {
            vm: self.own.vm.clone(),
            incarnation: self.own.incarnation,
        };
        self.send_near(&message).await;
    }

    async fn send_near(&self, message: &PeerMessage) {
        let content = message.encode();
        let addresses = self.roster.borrow().near_addresses();
        for address in addresses {
            self.send(&content, address).await;
        }
    }

    async fn send(&self, content: &[u8], address: SocketAddr) {
        self.state.meters.count_datagram("sent");
        if let Err(error) = self.socket.send_to(content, address).await {
            // The next report repeats all that this one says.
            tracing::debug!(event = "datagram_not_sent", %address, %error);
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            sleep(TICK_INTERVAL).await;
            self.state.dispatcher.tick();
            self.state.note_readiness();
        }
    }

    /// Reports to the VMs of the domain.
    async fn report_near(self: Rc<Self>) {
        let mut sent_at = Instant::now();
        let mut sent: Option<PeerLoad> = None;
        let mut fleet_at = None;
        loop {
            tokio::select! {
                () = self.state.dispatcher.report_requested() => {}
                () = sleep_until(sent_at + NEAR_INTERVAL) => {}
            }
            if fleet_at.is_none_or(|fleet_at: Instant| fleet_at.elapsed() >= FLEET_INTERVAL) {
                fleet_at = Some(Instant::now());
                self.update_fleet();
            }
            let load = self.state.dispatcher.report();
            if sent.as_ref() == Some(&load) && sent_at.elapsed() < IDLE_INTERVAL {
                sleep(NEAR_INTERVAL / 2).await;
                continue;
            }
            sent_at = Instant::now();
            sent = Some(load.clone());
            self.sequence.set(self.sequence.get() + 1);
            let report = PeerReport {
                row: self.own.clone(),
                sequence: self.sequence.get(),
                load,
                usage: self.state.limiter.report(),
            };
            self.send_near(&PeerMessage::Report(report)).await;
        }
    }

    /// Reports for the domain to the other domains, if this VM is the one to do so.
    async fn report_far(self: Rc<Self>) {
        let mut turn: u64 = 0;
        let mut far_at = Instant::now();
        loop {
            sleep(REGION_INTERVAL).await;
            let now = self.now();
            if !self.roster.borrow().is_aggregator(now) {
                continue;
            }
            turn += 1;
            let far_due = far_at.elapsed() >= FAR_INTERVAL;
            if far_due {
                far_at = Instant::now();
            }
            let (members, addresses) = {
                let roster = self.roster.borrow();
                let far = roster.far_addresses(turn, now);
                let due = far
                    .into_iter()
                    .filter(|(row, _)| far_due || row.region == self.own.region);
                let addresses: Vec<SocketAddr> = due.map(|(_, address)| address).collect();
                (roster.members(now), addresses)
            };
            let tells_usage = far_due || turn.is_multiple_of(USAGE_TURNS);
            let report = DomainReport {
                aggregator: self.own.clone(),
                members,
                load: self.state.dispatcher.domain_report(),
                usage: tells_usage.then(|| self.state.limiter.domain_report()),
                passed_on: false,
            };
            let content = PeerMessage::Domain(report).encode();
            for address in addresses {
                self.send(&content, address).await;
            }
        }
    }

    /// Tells the parts of this VM what is known of the others.
    fn update_fleet(&self) {
        let now = self.now();
        let roster = self.roster.borrow();
        let is_reader = roster.is_reader(now);
        if self.state.is_reader.replace(is_reader) != is_reader {
            tracing::info!(event = "reader_changed", is_reader);
        }
        self.state.jobs.set_fleet(roster.job_fleet(now));
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((size, from)) => {
                    self.state.meters.count_datagram("received");
                    if let Some(message) = PeerMessage::decode(&buffer[..size]) {
                        self.take(message, from).await;
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

    async fn take(self: &Rc<Self>, message: PeerMessage, from: SocketAddr) {
        match message {
            PeerMessage::Report(report) => self.take_report(report),
            PeerMessage::Domain(report) => self.take_domain(report).await,
            PeerMessage::Jobs(updates) => self.state.jobs.apply_updates(updates),
            PeerMessage::Leaving { vm, incarnation } => {
                if self.roster.borrow_mut().leave(&vm, incarnation) {
                    self.state.limiter.remove_peer(&UsageSource::Vm(vm.clone()));
                    self.state.dispatcher.remove_peer(&LoadSource::Vm(vm));
                }
            }
            PeerMessage::AskAge { nonce } => {
                if let Some(answer) = self.age_message(nonce) {
                    self.send(&answer.encode(), from).await;
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
                self.state.rows.note_proxy(control, reaches_store);
                let asked_at = self.questions.borrow_mut().remove(&nonce);
                if let Some(asked_at) = asked_at {
                    // The ages were true after the question was sent, so they count from then.
                    self.state
                        .view
                        .confirm(version, asked_at.saturating_sub(age));
                    self.confirm_targets(targets_stamp, asked_at.saturating_sub(targets_age));
                }
                if asked_at.is_some() || nonce == 0 {
                    self.read_newer(version, targets_stamp, targets_age, control);
                }
            }
        }
    }

    fn confirm_targets(&self, stamp: u64, at: Uptime) {
        if stamp == self.state.targets.borrow().fingerprint() {
            let held = self.state.targets_at.get();
            self.state.targets_at.set(held.max(Some(at)));
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
            control: self.own.control,
        })
    }

    fn take_report(&self, report: PeerReport) {
        let is_newer = {
            let now = self.now();
            let mut roster = self.roster.borrow_mut();
            roster.hear(&report.row, report.sequence, now)
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

    /// Takes the report of another domain. The VM that gets it first passes it on within its own domain.
    async fn take_domain(&self, report: DomainReport) {
        let domain = report.aggregator.domain.clone();
        if domain == self.own.domain {
            return;
        }
        let now = self.now();
        let vms = report.members.len();
        self.roster
            .borrow_mut()
            .hear_domain(&domain, report.members.clone(), now);
        if let Some(usage) = report.usage.clone() {
            let source = UsageSource::Domain {
                domain: domain.clone(),
                aggregator: (report.aggregator.vm.clone(), report.aggregator.incarnation),
            };
            self.state.limiter.record_report(&source, vms, usage);
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
            self.send_near(&PeerMessage::Domain(report)).await;
        }
    }

    /// Finds VMs through the store, and lets them find this one.
    async fn discover(self: Rc<Self>) {
        let mut is_written = false;
        loop {
            if !is_written {
                match self.write_row().await {
                    Ok(()) => is_written = true,
                    Err(error) => tracing::info!(event = "vm_row_not_written", %error),
                }
            }
            match self.read_near().await {
                Ok(has_own) => is_written &= has_own,
                Err(error) => tracing::info!(event = "vms_not_read", %error),
            }
            let now = self.now();
            let reads_far = self.roster.borrow().is_reader(now);
            if reads_far && let Err(error) = self.read_far().await {
                tracing::info!(event = "far_vms_not_read", %error);
            }
            sleep(if is_written {
                DISCOVER_INTERVAL
            } else {
                DISCOVER_RETRY
            })
            .await;
        }
    }

    async fn write_row(&self) -> Result<(), StoreError> {
        let change = RowChange::of(self.own.domain.clone());
        let content = Bytes::from(encode_cbor(&self.own));
        let change = change.put(VM_TABLE, &self.own.vm, content);
        self.rows.change(change).await.map(drop)
    }

    /// Reads the rows of the domain's VMs, and removes those of VMs that are gone. Says whether the own row is there.
    async fn read_near(&self) -> Result<bool, StoreError> {
        let read = self.rows.read(VM_TABLE, &self.own.domain, "", "").await?;
        let (rows, versions): (Vec<VmRow>, Vec<_>) = read
            .rows
            .iter()
            .filter_map(|row| Some((decode_row(&row.key, &row.value)?, row.version)))
            .unzip();
        let now = self.now();
        let gone = self.roster.borrow_mut().take_near_rows(&rows, now);
        for position in gone {
            let vm = &rows[position].vm;
            let change = RowChange::of(self.own.domain.clone());
            let change = change
                .expect(VM_TABLE, vm, versions[position])
                .remove(VM_TABLE, vm);
            self.rows.change(change).await?;
            tracing::info!(event = "vm_row_removed", %vm);
        }
        Ok(rows.contains(&self.own))
    }

    async fn read_far(&self) -> Result<(), StoreError> {
        let domains = self.state.settings.regions.keys();
        for domain in domains.filter(|domain| **domain != self.own.domain) {
            let read = self.rows.read(VM_TABLE, domain, "", "").await?;
            let rows = read
                .rows
                .iter()
                .filter_map(|row| decode_row(&row.key, &row.value));
            self.roster
                .borrow_mut()
                .take_far_rows(domain, rows.collect());
        }
        Ok(())
    }

    /// Asks the readers of the domain how old the document is, and others when they do not know.
    async fn prove_age(self: Rc<Self>) {
        loop {
            sleep(PROOF_INTERVAL).await;
            let now = self.now();
            self.questions
                .borrow_mut()
                .retain(|_, asked_at| now.saturating_sub(*asked_at) < PROOF_LIMIT);
            let ages = [self.state.document_age(), self.state.targets_age()];
            let is_old = ages
                .iter()
                .any(|age| age.is_none_or(|age| age >= PROOF_AGE));
            let needs_peers = is_old || self.state.rows.is_failing();
            let sources = self.roster.borrow().age_sources(self.next_nonce.get(), now);
            // A reader asks others only to know who reaches the store when it does not.
            let count = match (needs_peers, self.state.is_reader.get()) {
                (true, _) => PROOF_PEERS,
                (false, true) => READER_PEERS,
                (false, false) => 1,
            };
            for address in sources.into_iter().take(count) {
                let nonce = self.next_nonce.get();
                self.next_nonce.set(nonce + 1);
                self.questions.borrow_mut().insert(nonce, now);
                self.send(&PeerMessage::AskAge { nonce }.encode(), address)
                    .await;
            }
        }
    }

    /// Tells the VMs of the domain at once when the document or the targets changed.
    async fn announce_changes(self: Rc<Self>) {
        loop {
            self.state.changed.notified().await;
            if self.state.is_reader.get()
                && let Some(message) = self.age_message(0)
            {
                self.send_near(&message).await;
            }
        }
    }

    /// Tells the VMs of the domain what this one has read of jobs.
    async fn broadcast_updates(self: Rc<Self>) {
        let mut told = Vec::new();
        loop {
            sleep(UPDATE_INTERVAL).await;
            let updates = self.state.jobs.recent_updates();
            if updates == told {
                continue;
            }
            for part in updates.chunks(UPDATES_PER_MESSAGE) {
                self.send_near(&PeerMessage::Jobs(part.to_vec())).await;
            }
            told = updates;
        }
    }

    /// Reads from a peer what it has newer.
    fn read_newer(
        self: &Rc<Self>,
        version: u64,
        targets_stamp: u64,
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
        let is_other = targets_stamp != self.state.targets.borrow().fingerprint();
        let is_newer = self.state.targets_age().is_none_or(|age| targets_age < age);
        if is_other && is_newer && !self.reads_targets.replace(true) {
            let exchange = Rc::clone(self);
            actix_rt::spawn(async move {
                let sent_at = exchange.now();
                let read: anyhow::Result<(Vec<TargetEntry>, Duration)> =
                    exchange.state.peer_client.read(control, TARGETS_PATH).await;
                exchange.reads_targets.set(false);
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
