//! Message exchange between VMs: sends and receives the datagrams and hands them to the parts that they concern.

use crate::control::{TARGET_CHANGES_PATH, TARGETS_PATH};
use crate::message::{PeerMessage, VmRow};
use crate::peer_directory::PeerDirectory;
use crate::pool_peers::PoolPeers;
use crate::report_relay::ReportRelay;
use crate::state::EdgeState;
use plantainmill_admission::UsageSource;
use plantainmill_core::Uptime;
use plantainmill_dispatch::shared::LoadSource;
use plantainmill_jobs::HeadChanges;
use plantainmill_provider::PartitionStore;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

/// Interval between ticks of the dispatcher while requests wait for a slot.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between ticks while none waits. The reports of lost peers expire at ticks.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between messages with job heads.
const JOB_UPDATE_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of job heads in one message. A head takes about 250 bytes.
const UPDATES_PER_MESSAGE: usize = 100;
/// Size of the receive buffer in bytes: the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_000;

/// Message exchange with other VMs.
pub(crate) struct PeerExchange {
    pub(crate) state: Rc<EdgeState>,
    pub(crate) rows: Rc<dyn PartitionStore>,
    socket: UdpSocket,
    pub(crate) own_row: VmRow,
    pub(crate) directory: RefCell<PeerDirectory>,
    /// VMs that may hold token pools.
    pub(crate) pool_peers: RefCell<PoolPeers>,
    /// Reports that this VM forwards with its next batch while it is a relay.
    pub(crate) relay: RefCell<ReportRelay>,
    pub(crate) pending_queries: RefCell<HashMap<u64, Uptime>>,
    pub(crate) next_nonce: Cell<u64>,
    /// Name of the route of this VM's last report.
    pub(crate) last_route: Cell<&'static str>,
    /// Sequence number of the last report of this VM, or update on its domain.
    pub(crate) sequence: Cell<u64>,
    /// A read of the document from a peer is in progress; only one runs at a time.
    pub(crate) is_fetching_document: Cell<bool>,
    /// A read of the targets from a peer is in progress; only one runs at a time.
    pub(crate) is_fetching_targets: Cell<bool>,
}

impl PeerExchange {
    /// Spawns the tasks of the exchange on the current thread.
    pub fn start(state: Rc<EdgeState>, socket: UdpSocket, own_row: VmRow) -> Rc<PeerExchange> {
        let exchange = Rc::new(PeerExchange {
            next_nonce: Cell::new(own_row.incarnation),
            directory: RefCell::new(PeerDirectory::new(own_row.clone(), state.clock.uptime())),
            rows: Rc::clone(&state.rows) as Rc<dyn PartitionStore>,
            state,
            socket,
            own_row,
            pool_peers: RefCell::default(),
            relay: RefCell::default(),
            pending_queries: RefCell::default(),
            last_route: Cell::new(""),
            sequence: Cell::new(0),
            is_fetching_document: Cell::new(false),
            is_fetching_targets: Cell::new(false),
        });
        actix_rt::spawn(Rc::clone(&exchange).receive());
        actix_rt::spawn(Rc::clone(&exchange).report_to_domain());
        actix_rt::spawn(Rc::clone(&exchange).report_to_other_domains());
        actix_rt::spawn(Rc::clone(&exchange).relay_reports());
        actix_rt::spawn(Rc::clone(&exchange).send_notices());
        actix_rt::spawn(Rc::clone(&exchange).discover());
        actix_rt::spawn(Rc::clone(&exchange).query_ages());
        actix_rt::spawn(Rc::clone(&exchange).announce_changes());
        actix_rt::spawn(Rc::clone(&exchange).announce_reads());
        actix_rt::spawn(Rc::clone(&exchange).broadcast_job_changes());
        actix_rt::spawn(Rc::clone(&exchange).send_tokens());
        actix_rt::spawn(Rc::clone(&exchange).update_pools());
        actix_rt::spawn(Rc::clone(&exchange).query_pool_vms());
        actix_rt::spawn(Rc::clone(&exchange).tick());
        exchange
    }

    pub(crate) fn now(&self) -> Uptime {
        self.state.clock.uptime()
    }

    /// Announces to the VMs of the domain that this one stops and has no calls left.
    pub async fn announce_stop(&self) {
        self.state.limiter.stop();
        let message = PeerMessage::Leaving {
            vm: self.own_row.vm.clone(),
            incarnation: self.own_row.incarnation,
        };
        self.send_to_domain(&message).await;
    }

    pub(crate) async fn send_to_domain(&self, message: &PeerMessage) {
        let content = message.encode();
        let addresses = self.directory.borrow().local_addresses();
        for address in addresses {
            self.send(&content, address).await;
        }
    }

    pub(crate) async fn send(&self, content: &[u8], address: SocketAddr) {
        self.state.metrics.count_datagram("sent");
        if let Err(error) = self.socket.send_to(content, address).await {
            // Not fatal: the next report repeats the state in this one.
            tracing::debug!(event = "datagram_not_sent", %address, %error);
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let dispatcher = &self.state.dispatcher;
            if !dispatcher.has_waiting() {
                // The time limit is the regular case: nothing began to wait.
                let _ = timeout(IDLE_TICK_INTERVAL, dispatcher.wait_started()).await;
            }
            if dispatcher.has_waiting() {
                sleep(TICK_INTERVAL).await;
            }
            dispatcher.tick();
            self.state.log_readiness_change();
        }
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
            PeerMessage::Batch(batch) => self.handle_batch(batch).await,
            PeerMessage::Parts(report) => self.state.quarantine.record_report(&report),
            PeerMessage::Limits(report) => self.state.limits.record_report(&report),
            PeerMessage::LeavingTargets(report) => {
                self.state.dispatcher.record_leaving_report(&report);
            }
            PeerMessage::Jobs(updates) => self.state.jobs.apply_updates(updates),
            PeerMessage::JobChanges(changes) => self.state.jobs.apply_changes(changes),
            PeerMessage::Leaving { vm, incarnation } => {
                if self.directory.borrow_mut().remove_peer(&vm, incarnation) {
                    self.state.usage.remove_peer(&UsageSource::Vm(vm.clone()));
                    self.state.dispatcher.remove_peer(&LoadSource::Vm(vm));
                }
            }
            PeerMessage::AskToken(question) => self.answer_token(&question, from).await,
            PeerMessage::Token { nonce, reply } => {
                self.state.limiter.record_answer(nonce, reply);
            }
            PeerMessage::ReturnToken(question) => self.state.limiter.take_back(&question),
            PeerMessage::AskPoolVms => self.send_pool_vms(from).await,
            PeerMessage::PoolVms { domain, vms } => {
                self.pool_peers.borrow_mut().record_vms(domain, vms);
            }
            PeerMessage::ReadingStore => {
                self.state.read_turns.record_other_read(self.now());
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
                jobs,
                sends_target_changes,
                evacuations,
            } => {
                if reaches_store {
                    let region = self.directory.borrow().region_at(control);
                    self.state.rows.record_proxy(control, region);
                } else {
                    self.state.rows.forget_proxy(control);
                }
                let queried_at = self.pending_queries.borrow_mut().remove(&nonce);
                if let Some(report) = evacuations {
                    self.state.record_evacuation_report(report, queried_at);
                }
                if let Some(queried_at) = queried_at {
                    // The ages held at some time after the query was sent, so counting them from the query is
                    // conservative.
                    self.state
                        .view
                        .confirm(version, queried_at.saturating_sub(age));
                    self.confirm_targets(targets_stamp, queried_at.saturating_sub(targets_age));
                    if let Some((version, age)) = jobs {
                        let at = queried_at.saturating_sub(age);
                        self.state.jobs.confirm_heads(version, at);
                    }
                }
                if queried_at.is_some() || nonce == 0 {
                    self.fetch_document(version, control);
                    let path = if sends_target_changes {
                        TARGET_CHANGES_PATH
                    } else {
                        TARGETS_PATH
                    };
                    self.fetch_targets(targets_stamp, targets_age, control, path);
                }
            }
        }
    }

    /// Sends the changes of job heads that this VM has read to the VMs of the domain.
    async fn broadcast_job_changes(self: Rc<Self>) {
        let mut last_sent = None;
        loop {
            sleep(JOB_UPDATE_INTERVAL).await;
            let changes = self.state.jobs.recent_changes();
            if changes == last_sent {
                continue;
            }
            last_sent.clone_from(&changes);
            let parts = changes.map(|changes| changes.split(UPDATES_PER_MESSAGE));
            for part in parts.unwrap_or_default() {
                self.send_job_changes(part).await;
            }
        }
    }

    async fn send_job_changes(&self, changes: HeadChanges) {
        let (newer, older): (Vec<VmRow>, Vec<VmRow>) = {
            let directory = self.directory.borrow();
            let rows = directory.local_rows().cloned();
            rows.partition(|row| row.reads_job_changes)
        };
        if !older.is_empty() {
            let content = PeerMessage::Jobs(changes.heads.clone()).encode();
            for row in &older {
                self.send(&content, row.peers).await;
            }
        }
        // A VM whose row in the store has not been read yet counts as older, and may understand both.
        let content = PeerMessage::JobChanges(changes).encode();
        for row in newer.iter().chain(&older) {
            self.send(&content, row.peers).await;
        }
    }
}
