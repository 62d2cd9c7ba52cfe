//! Reports between VMs, and proofs of the document's age for VMs that the store turns away.

use crate::message::{PeerMessage, PeerReport, VmRow};
use crate::state::EdgeState;
use bytes::Bytes;
use compact_str::CompactString;
use plantainmill_core::{Incarnation, Uptime, VmId};
use plantainmill_jobs::JobOwner;
use plantainmill_platform::{PartitionStore, RowChange, RowVersion, StoreError};
use plantainmill_routing::FleetDocument;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Table of the VMs' rows.
const VM_TABLE: &str = "vms";
/// Least time between reports to peers of the own region: as long as a prompt takes to its first token.
const NEAR_INTERVAL: Duration = Duration::from_millis(50);
/// Least time between reports over links between regions, which are paid by volume.
const FAR_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a report is sent although nothing changed. Several fit the time after which a peer is silent.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);
/// Time between looks at what waits for a slot.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Time without a report after which a VM's jobs are taken over. Reports come several times a second.
const LIVE_TIME: Duration = Duration::from_secs(2);
/// Time between reads of the VMs' rows.
const DISCOVER_INTERVAL: Duration = Duration::from_secs(5);
/// Time between such reads until the first one succeeds, and while no peer is heard.
const DISCOVER_RETRY: Duration = Duration::from_millis(500);
/// Time without a report after which a VM's row is removed.
const FORGET_TIME: Duration = Duration::from_mins(1);
/// Age of the document from which peers are asked for a younger proof. Two reads of the store failed then.
const PROOF_AGE: Duration = Duration::from_millis(1_200);
/// Time between questions.
const PROOF_INTERVAL: Duration = Duration::from_millis(300);
/// Peers asked at a time.
const PROOF_PEERS: usize = 3;
/// Time until an answer to a question is of no use.
const PROOF_LIMIT: Duration = Duration::from_secs(1);
/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 65_000;

struct KnownPeer {
    row: VmRow,
    sequence: u64,
    heard_at: Option<Uptime>,
    seen_at: Uptime,
}

/// The exchange with other VMs.
pub(crate) struct PeerExchange {
    state: Rc<EdgeState>,
    rows: Rc<dyn PartitionStore>,
    socket: UdpSocket,
    own: VmRow,
    peers: RefCell<HashMap<VmId, KnownPeer>>,
    questions: RefCell<HashMap<u64, Uptime>>,
    next_nonce: Cell<u64>,
    sequence: Cell<u64>,
}

impl PeerExchange {
    /// Starts the exchange on the current thread.
    pub fn start(
        state: Rc<EdgeState>,
        rows: Rc<dyn PartitionStore>,
        socket: UdpSocket,
        own: VmRow,
    ) -> Rc<PeerExchange> {
        let exchange = Rc::new(PeerExchange {
            next_nonce: Cell::new(own.incarnation),
            state,
            rows,
            socket,
            own,
            peers: RefCell::default(),
            questions: RefCell::default(),
            sequence: Cell::new(0),
        });
        actix_rt::spawn(Rc::clone(&exchange).receive());
        actix_rt::spawn(Rc::clone(&exchange).report());
        actix_rt::spawn(Rc::clone(&exchange).discover());
        actix_rt::spawn(Rc::clone(&exchange).prove_age());
        actix_rt::spawn(Rc::clone(&exchange).tick());
        exchange
    }

    /// Tells all peers that this VM stops and has no calls any more.
    pub async fn say_leaving(&self) {
        let message = PeerMessage::Leaving {
            vm: self.own.vm.clone(),
            incarnation: self.own.incarnation,
        };
        let content = message.encode();
        for address in self.addresses(|_| true) {
            self.send(&content, address).await;
        }
    }

    fn addresses(&self, fits: impl Fn(&VmRow) -> bool) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let rows = peers.values().map(|peer| &peer.row);
        rows.filter(|row| fits(row)).map(|row| row.peers).collect()
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
        }
    }

    async fn report(self: Rc<Self>) {
        let mut near_at = Instant::now();
        let mut far_at = Instant::now();
        let mut near_load = None;
        let mut far_load = None;
        loop {
            tokio::select! {
                () = self.state.dispatcher.announced() => {}
                () = sleep_until(near_at + NEAR_INTERVAL) => {}
            }
            self.update_live();
            let now = Instant::now();
            let load = self.state.dispatcher.report();
            let message = PeerMessage::Report(PeerReport {
                row: self.own.clone(),
                sequence: self.sequence.get(),
                load: load.clone(),
                usage: self.state.limiter.report(),
            });
            let near_due = near_load.as_ref() != Some(&load) || now >= near_at + IDLE_INTERVAL;
            let far_due = now >= far_at + FAR_INTERVAL
                && (far_load.as_ref() != Some(&load) || now >= far_at + IDLE_INTERVAL);
            if !near_due && !far_due {
                sleep(NEAR_INTERVAL / 2).await;
                continue;
            }
            self.sequence.set(self.sequence.get() + 1);
            let content = message.encode();
            if near_due {
                near_at = now;
                near_load = Some(load.clone());
                for address in self.addresses(|row| row.region == self.own.region) {
                    self.send(&content, address).await;
                }
            }
            if far_due {
                far_at = now;
                far_load = Some(load);
                for address in self.addresses(|row| row.region != self.own.region) {
                    self.send(&content, address).await;
                }
            }
        }
    }

    /// Tells the jobs which VMs live.
    fn update_live(&self) {
        let now = self.state.clock.uptime();
        let peers = self.peers.borrow();
        let live = peers.values().filter(|peer| peer.is_live(now));
        let live = live.map(|peer| JobOwner {
            vm: peer.row.vm.clone(),
            incarnation: peer.row.incarnation,
        });
        self.state.jobs.set_live(live.collect());
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

    async fn take(&self, message: PeerMessage, from: SocketAddr) {
        match message {
            PeerMessage::Report(report) => self.take_report(report),
            PeerMessage::Leaving { vm, incarnation } => self.take_leaving(&vm, incarnation),
            PeerMessage::AskAge { nonce } => {
                if let Some(age) = self.state.document_age() {
                    let answer = PeerMessage::Age {
                        nonce,
                        version: self.state.view.version(),
                        age,
                        control: self.own.control,
                    };
                    self.send(&answer.encode(), from).await;
                }
            }
            PeerMessage::Age {
                nonce,
                version,
                age,
                control,
            } => {
                let asked_at = self.questions.borrow_mut().remove(&nonce);
                if let Some(asked_at) = asked_at {
                    self.take_age(asked_at, version, age, control);
                }
            }
        }
    }

    fn take_report(&self, report: PeerReport) {
        let PeerReport {
            row,
            sequence,
            load,
            usage,
        } = report;
        if row.vm == self.own.vm {
            return;
        }
        let now = self.state.clock.uptime();
        let vm = row.vm.clone();
        {
            let mut peers = self.peers.borrow_mut();
            let known = peers.entry(vm.clone()).or_insert_with(|| KnownPeer {
                row: row.clone(),
                sequence: 0,
                heard_at: None,
                seen_at: now,
            });
            let is_old = row.incarnation < known.row.incarnation
                || row.incarnation == known.row.incarnation
                    && sequence < known.sequence
                    && known.heard_at.is_some();
            if is_old {
                return;
            }
            if row.incarnation != known.row.incarnation || known.heard_at.is_none() {
                let incarnation = row.incarnation;
                tracing::info!(event = "peer_heard", peer = %vm, incarnation);
            }
            known.row = row;
            known.sequence = sequence;
            known.heard_at = Some(now);
        }
        self.state.limiter.hear(&vm, usage);
        self.state.dispatcher.hear(&vm, load);
    }

    fn take_leaving(&self, vm: &VmId, incarnation: Incarnation) {
        let mut peers = self.peers.borrow_mut();
        let Some(known) = peers.get_mut(vm) else {
            return;
        };
        if known.row.incarnation > incarnation {
            return;
        }
        tracing::info!(event = "peer_left", peer = %vm, incarnation);
        known.heard_at = None;
        self.state.limiter.forget(vm);
        self.state.dispatcher.forget(vm);
    }

    /// Finds peers through the store, and lets them find this VM.
    async fn discover(self: Rc<Self>) {
        let mut is_written = false;
        loop {
            if !is_written {
                match self.write_row().await {
                    Ok(()) => is_written = true,
                    Err(error) => tracing::info!(event = "vm_row_not_written", %error),
                }
            }
            let pause = match self.rows.read(VM_TABLE, "", "", "").await {
                Ok(read) => {
                    let mut found = Vec::new();
                    for row in read.rows {
                        let vm = ciborium::from_reader::<VmRow, _>(row.value.as_ref()).ok();
                        if let Some(vm) = vm {
                            found.push((vm, row.version));
                        } else {
                            tracing::warn!(event = "vm_row_malformed", key = %row.key);
                        }
                    }
                    is_written &= found.iter().any(|(row, _)| *row == self.own);
                    self.take_rows(found).await;
                    DISCOVER_INTERVAL
                }
                Err(error) => {
                    tracing::info!(event = "vms_not_read", %error);
                    DISCOVER_RETRY
                }
            };
            sleep(if is_written { pause } else { DISCOVER_RETRY }).await;
        }
    }

    async fn write_row(&self) -> Result<(), StoreError> {
        let mut content = Vec::new();
        ciborium::into_writer(&self.own, &mut content)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let change = RowChange::of("").put(VM_TABLE, &self.own.vm, Bytes::from(content));
        self.rows.change(change).await.map(drop)
    }

    async fn take_rows(&self, rows: Vec<(VmRow, RowVersion)>) {
        let now = self.state.clock.uptime();
        let mut gone: Vec<(CompactString, RowVersion)> = Vec::new();
        {
            let mut peers = self.peers.borrow_mut();
            peers.retain(|vm, peer| peer.is_live(now) || rows.iter().any(|(row, _)| row.vm == *vm));
            for (row, version) in rows.into_iter().filter(|(row, _)| row.vm != self.own.vm) {
                let known = peers.entry(row.vm.clone()).or_insert_with(|| KnownPeer {
                    row: row.clone(),
                    sequence: 0,
                    heard_at: None,
                    seen_at: now,
                });
                if row.incarnation > known.row.incarnation {
                    known.row = row;
                    known.heard_at = None;
                    known.seen_at = now;
                }
                let last = known.heard_at.unwrap_or(known.seen_at);
                if now.saturating_sub(last) > FORGET_TIME {
                    gone.push((known.row.vm.clone(), version));
                }
            }
        }
        for (vm, version) in gone {
            let change = RowChange::of("")
                .expect(VM_TABLE, &vm, version)
                .remove(VM_TABLE, &vm);
            match self.rows.change(change).await {
                Ok(_) => tracing::info!(event = "vm_row_removed", %vm),
                Err(error) => tracing::info!(event = "vm_row_not_removed", %vm, %error),
            }
        }
    }

    /// Asks peers while the store gives no younger proof of the document's age.
    async fn prove_age(self: Rc<Self>) {
        loop {
            sleep(PROOF_INTERVAL).await;
            let now = self.state.clock.uptime();
            self.questions
                .borrow_mut()
                .retain(|_, asked_at| now.saturating_sub(*asked_at) < PROOF_LIMIT);
            if self.state.document_age().is_some_and(|age| age < PROOF_AGE) {
                continue;
            }
            for address in self.asked_peers(now) {
                let nonce = self.next_nonce.get();
                self.next_nonce.set(nonce + 1);
                self.questions.borrow_mut().insert(nonce, now);
                self.send(&PeerMessage::AskAge { nonce }.encode(), address)
                    .await;
            }
        }
    }

    /// Some live peers, other ones each time.
    fn asked_peers(&self, now: Uptime) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let mut live: Vec<&KnownPeer> = peers.values().filter(|peer| peer.is_live(now)).collect();
        let salt = self.next_nonce.get();
        live.sort_by_key(|peer| plantainmill_dispatch::rendezvous::score(&peer.row.vm, salt));
        live.iter()
            .take(PROOF_PEERS)
            .map(|peer| peer.row.peers)
            .collect()
    }

    fn take_age(&self, asked_at: Uptime, version: u64, age: Duration, control: SocketAddr) {
        // The peer's age was true after the question was sent, so it counts from then.
        let newest_at = asked_at.saturating_sub(age);
        let held = self.state.view.version();
        if version == held {
            self.state.view.confirm(version, newest_at);
        } else if version > held {
            let state = Rc::clone(&self.state);
            actix_rt::spawn(async move {
                let sent_at = state.clock.uptime();
                match timeout(PROOF_LIMIT, read_document(control)).await {
                    Ok(Ok((document, age))) => {
                        let version = document.version;
                        if state.view.offer(document, sent_at.saturating_sub(age)) {
                            tracing::info!(event = "document_changed", version, from = %control);
                        }
                    }
                    Ok(Err(error)) => {
                        tracing::info!(event = "document_not_read", from = %control, %error);
                    }
                    Err(_) => {
                        tracing::info!(event = "document_not_read", from = %control, error = "no answer");
                    }
                }
            });
        }
    }
}

impl KnownPeer {
    fn is_live(&self, now: Uptime) -> bool {
        self.heard_at
            .is_some_and(|heard_at| now.saturating_sub(heard_at) < LIVE_TIME)
    }
}

/// Reads the document of a peer, with its age.
async fn read_document(control: SocketAddr) -> anyhow::Result<(FleetDocument, Duration)> {
    let url = format!("http://{control}{}", crate::control::DOCUMENT_PATH);
    let sent = awc::Client::default().get(url).send().await;
    let mut answer = sent.map_err(|error| anyhow::anyhow!("{error}"))?;
    let body = answer
        .body()
        .limit(crate::control::DOCUMENT_LIMIT_BYTES)
        .await;
    let body = body.map_err(|error| anyhow::anyhow!("{error}"))?;
    Ok(ciborium::from_reader(body.as_ref())?)
}
