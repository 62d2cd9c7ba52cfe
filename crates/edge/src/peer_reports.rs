//! Load and usage reports: of this VM to its failure domain, relayed ones, and those of the domain to other domains.

use crate::message::{DomainReport, DomainUpdate, PeerMessage, PeerReport, ReportBatch, VmRow};
use crate::peer_directory::ReportRoute;
use crate::peer_exchange::PeerExchange;
use crate::report_relay::split_updates;
use plantainmill_admission::UsageSource;
use plantainmill_core::encode_cbor;
use plantainmill_dispatch::shared::{LoadSource, PeerLoad, StatedEntry, StatedScope, StatedSource};
use plantainmill_jobs::{FleetSnapshot, JobOwner};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Minimum interval between reports within the failure domain: about the time that a prompt takes to its first token.
const DOMAIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between reports to all VMs of a large failure domain, while no relay forwards them.
const UNRELAYED_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval after which an unchanged report is repeated. Several fit into the time after which a peer counts as failed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// The same in a domain with relays. A relayed report is older when it arrives, and two have to be lost before a VM
/// reports to all others itself.
const RELAYED_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between the batches of a domain's first relay.
const RELAY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between the batches of the other relay, which forwards what the first one has not.
const STANDBY_RELAY_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum interval between updates of the fleet view: a seventh of the time after which a silent reader is replaced.
const FLEET_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between reports to other failure domains of the same region.
const REGION_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between reports to other regions. Longer, because links between regions are billed by volume.
const CROSS_REGION_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a VM checks whether it has become the aggregator of its domain.
const AGGREGATOR_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Rounds of reports to other domains in which a changed list of members is sent, since single datagrams are lost. An
/// unchanged one goes out only when all domains get the report: well within the time after which a VM that has started
/// takes over jobs whose owners it does not know.
const CHANGED_MEMBERS_ROUNDS: u64 = 8;

/// What the aggregator of a domain has sent to the other domains.
#[derive(Default)]
struct AggregationState {
    round: u64,
    cross_region_sent_at: Option<Instant>,
    members: Vec<JobOwner>,
    /// Round from which an unchanged list of members is no longer sent each time.
    members_until: u64,
}

impl PeerExchange {
    /// Sends reports to the VMs of the domain: when the load has changed, and otherwise at the heartbeat interval.
    pub(crate) async fn report_to_domain(self: Rc<Self>) {
        let mut sent_at = Instant::now();
        loop {
            let (min_interval, heartbeat) = self.report_intervals();
            let load_changed = async {
                sleep_until(sent_at + min_interval).await;
                self.state.dispatcher.load_changed().await;
            };
            tokio::select! {
                () = self.state.dispatcher.report_requested() => {}
                () = load_changed => {}
                () = sleep_until(sent_at + heartbeat) => {}
            }
            sent_at = Instant::now();
            self.send_report().await;
        }
    }

    /// The minimum interval between reports, and the interval after which an unchanged one is repeated.
    fn report_intervals(&self) -> (Duration, Duration) {
        let directory = self.directory.borrow();
        if !directory.has_relays() {
            return (DOMAIN_REPORT_INTERVAL, HEARTBEAT_INTERVAL);
        }
        match directory.report_route(self.now()) {
            ReportRoute::Direct(_) => (UNRELAYED_REPORT_INTERVAL, RELAYED_HEARTBEAT_INTERVAL),
            ReportRoute::Relays(_) | ReportRoute::OwnBatch => {
                (DOMAIN_REPORT_INTERVAL, RELAYED_HEARTBEAT_INTERVAL)
            }
        }
    }

    async fn send_report(&self) {
        if self.directory.borrow_mut().take_joined() {
            self.state.usage.report_all();
        }
        let report = PeerReport {
            row: self.own_row.clone(),
            sequence: self.next_sequence(),
            load: self.state.dispatcher.report(),
            usage: self.state.usage.take_changes(),
        };
        let (route, older) = {
            let directory = self.directory.borrow();
            let older = directory.local_rows().filter(|row| !row.reads_batches);
            let older: Vec<SocketAddr> = older.map(|row| row.peers).collect();
            (directory.report_route(self.now()), older)
        };
        if self.last_route.replace(route.name()) != route.name() {
            tracing::info!(event = "report_route_changed", route = route.name());
        }
        if !older.is_empty() {
            let usage = self.state.usage.report();
            let report = PeerReport {
                usage,
                ..report.clone()
            };
            self.send_to(&PeerMessage::Report(report), &older).await;
        }
        let receivers = match route {
            ReportRoute::OwnBatch => {
                self.relay.borrow_mut().add_report(report);
                return;
            }
            ReportRoute::Direct(rows) | ReportRoute::Relays(rows) => batch_addresses(&rows),
        };
        let batch = ReportBatch {
            sender: self.own_row.clone(),
            is_relayed: false,
            reports: vec![report],
            domains: Vec::new(),
            stated: self.state.dispatcher.stated_report(StatedScope::Own),
        };
        self.send_to(&PeerMessage::Batch(batch), &receivers).await;
    }

    fn next_sequence(&self) -> u64 {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        sequence
    }

    async fn send_to(&self, message: &PeerMessage, receivers: &[SocketAddr]) {
        if receivers.is_empty() {
            return;
        }
        let content = encode_cbor(message);
        for address in receivers {
            self.send(&content, *address).await;
        }
    }

    /// Forwards reports within the domain while this VM is a relay, and keeps the fleet view up to date.
    pub(crate) async fn relay_reports(self: Rc<Self>) {
        let mut fleet_updated_at: Option<Instant> = None;
        loop {
            let is_first = {
                let (directory, now) = (self.directory.borrow(), self.now());
                directory.has_relays() && directory.is_aggregator(now)
            };
            sleep(if is_first {
                RELAY_INTERVAL
            } else {
                STANDBY_RELAY_INTERVAL
            })
            .await;
            if fleet_updated_at.is_none_or(|at| at.elapsed() >= FLEET_UPDATE_INTERVAL) {
                fleet_updated_at = Some(Instant::now());
                self.update_fleet();
            }
            let mut batches = self.relay.borrow_mut().take_batches(&self.own_row);
            add_stated(&mut batches, || {
                self.state.dispatcher.stated_report(StatedScope::Relay)
            });
            for batch in batches {
                let receivers: Vec<VmRow> = self.directory.borrow().local_rows().cloned().collect();
                let receivers = batch_addresses(&receivers);
                self.send_to(&PeerMessage::Batch(batch), &receivers).await;
            }
        }
    }

    /// Updates the VM's reader role and the job service's view of the fleet.
    fn update_fleet(&self) {
        let now = self.now();
        self.update_limit_members();
        self.update_forwarders();
        let directory = self.directory.borrow();
        let is_reader = directory.is_reader(now);
        if self.state.is_reader.replace(is_reader) != is_reader {
            tracing::info!(event = "reader_changed", is_reader);
        }
        self.state.jobs.set_fleet(FleetSnapshot {
            regions: self.state.settings.regions.clone(),
            ..directory.job_fleet(now)
        });
        self.state
            .dispatcher
            .set_late_reports(directory.has_relays());
    }

    /// Sends the domain's aggregated report to the other domains while this VM is the aggregator.
    pub(crate) async fn report_to_other_domains(self: Rc<Self>) {
        let mut aggregation: Option<AggregationState> = None;
        loop {
            if !self.directory.borrow().may_aggregate(self.now()) {
                aggregation = None;
                sleep(AGGREGATOR_CHECK_INTERVAL).await;
                continue;
            }
            if aggregation.is_none() {
                // The other domains compare the usage only with that of the same aggregator.
                self.state.usage.report_all();
            }
            let aggregation = aggregation.get_or_insert_default();
            self.send_domain_update(aggregation).await;
            sleep(REGION_REPORT_INTERVAL).await;
        }
    }

    async fn send_domain_update(&self, aggregation: &mut AggregationState) {
        let now = self.now();
        let cross_region_due = aggregation
            .cross_region_sent_at
            .is_none_or(|at| at.elapsed() >= CROSS_REGION_REPORT_INTERVAL);
        if cross_region_due {
            aggregation.cross_region_sent_at = Some(Instant::now());
        }
        aggregation.round += 1;
        let round = aggregation.round;
        let (mut members, receivers) = {
            let directory = self.directory.borrow();
            let remote = directory.remote_addresses(round, now);
            let due = remote
                .into_iter()
                .filter(|(row, _)| cross_region_due || row.region == self.own_row.region);
            let receivers: Vec<VmRow> = due.map(|(row, _)| row.clone()).collect();
            (directory.members(now), receivers)
        };
        members.sort_by(|first, second| first.vm.cmp(&second.vm));
        if members != aggregation.members {
            aggregation.members.clone_from(&members);
            aggregation.members_until = round + CHANGED_MEMBERS_ROUNDS;
        }
        let sends_members = cross_region_due || round < aggregation.members_until;
        // Usage is sent when all domains get the update, so that each gets every change.
        let usage = if cross_region_due {
            self.state.usage.take_domain_changes()
        } else {
            Vec::new()
        };
        let update = DomainUpdate {
            domain: self.own_row.domain.clone(),
            aggregator: JobOwner {
                vm: self.own_row.vm.clone(),
                incarnation: self.own_row.incarnation,
            },
            sequence: self.next_sequence(),
            member_count: self.state.usage.domain_vms(),
            members: sends_members.then(|| members.clone()),
            load: self.state.dispatcher.domain_report(),
            usage,
        };
        let older: Vec<SocketAddr> = receivers
            .iter()
            .filter(|row| !row.reads_batches)
            .map(|row| row.peers)
            .collect();
        if !older.is_empty() {
            let report = DomainReport {
                aggregator: self.own_row.clone(),
                members,
                load: update.load.clone(),
                usage: cross_region_due.then(|| self.state.usage.domain_report()),
                passed_on: false,
            };
            self.send_to(&PeerMessage::Domain(report), &older).await;
        }
        let receivers = batch_addresses(&receivers);
        let mut batches = split_updates(&self.own_row, false, vec![update]);
        add_stated(&mut batches, || {
            self.state.dispatcher.stated_report(StatedScope::Domain)
        });
        for batch in batches {
            self.send_to(&PeerMessage::Batch(batch), &receivers).await;
        }
    }

    /// Handles reports of VMs of the own domain, and updates on other domains.
    pub(crate) async fn handle_batch(&self, batch: ReportBatch) {
        let is_local = batch.sender.domain == self.own_row.domain;
        let mut loads = Vec::new();
        if is_local {
            for report in batch.reports {
                self.handle_batched_report(report, batch.is_relayed, &mut loads);
            }
        }
        let source = if is_local && batch.domains.is_empty() {
            StatedSource::Near
        } else {
            StatedSource::Far
        };
        let dispatcher = &self.state.dispatcher;
        dispatcher.record_stated_entries(&batch.stated, source, is_local && batch.is_relayed);
        let mut accepted = Vec::new();
        for update in batch.domains {
            if self.apply_update(&update, &mut loads) {
                accepted.push(update);
            }
        }
        self.state.dispatcher.record_reports(loads);
        if !is_local && !accepted.is_empty() {
            self.forward_updates(accepted, batch.stated, &batch.sender)
                .await;
        }
    }

    fn handle_batched_report(
        &self,
        report: PeerReport,
        is_relayed: bool,
        loads: &mut Vec<(LoadSource, PeerLoad)>,
    ) {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        if is_relayed {
            let mut relay = self.relay.borrow_mut();
            relay.remove_report(&report.row, report.sequence);
        }
        if report.row.vm == self.own_row.vm {
            if is_relayed {
                directory.confirm_relay(report.row.incarnation, now);
            }
            return;
        }
        if !directory.record_report(&report.row, report.sequence, now) {
            return;
        }
        let source = UsageSource::Vm(report.row.vm.clone());
        let usage = report.usage.clone();
        self.state.usage.record_report(&source, usage);
        loads.push((LoadSource::Vm(report.row.vm.clone()), report.load.clone()));
        if !is_relayed && directory.is_relay(now) {
            self.relay.borrow_mut().add_report(report);
        }
    }

    /// Applies an update on another domain. Returns false if it is outdated.
    fn apply_update(&self, update: &DomainUpdate, loads: &mut Vec<(LoadSource, PeerLoad)>) -> bool {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        if !directory.record_domain_update(update, now) {
            return false;
        }
        let JobOwner { vm, incarnation } = update.aggregator.clone();
        let source = UsageSource::Domain {
            domain: update.domain.clone(),
            aggregator: (vm, incarnation),
        };
        let usage = update.usage.clone();
        self.state.usage.record_report(&source, usage);
        let source = LoadSource::Domain(update.domain.clone());
        loads.push((source, update.load.clone()));
        true
    }

    /// Passes updates from another domain on to the VMs of the own one: with the next batch of a relay, else at once.
    async fn forward_updates(
        &self,
        updates: Vec<DomainUpdate>,
        stated: Vec<StatedEntry>,
        sender: &VmRow,
    ) {
        let (is_relay, rows) = {
            let directory = self.directory.borrow();
            let rows: Vec<VmRow> = directory.local_rows().cloned().collect();
            (directory.is_relay(self.now()), rows)
        };
        let older = rows.iter().filter(|row| !row.reads_batches);
        let older: Vec<SocketAddr> = older.map(|row| row.peers).collect();
        if !older.is_empty() {
            for update in &updates {
                let members = self.directory.borrow().remote_members(&update.domain);
                let report = DomainReport {
                    aggregator: sender.clone(),
                    members,
                    load: update.load.clone(),
                    usage: (!update.usage.is_empty()).then(|| update.usage.clone()),
                    passed_on: true,
                };
                self.send_to(&PeerMessage::Domain(report), &older).await;
            }
        }
        if is_relay {
            let mut relay = self.relay.borrow_mut();
            for update in updates {
                relay.add_update(update);
            }
            return;
        }
        let receivers = batch_addresses(&rows);
        let mut batches = split_updates(&self.own_row, true, updates);
        add_stated(&mut batches, || stated);
        for batch in batches {
            self.send_to(&PeerMessage::Batch(batch), &receivers).await;
        }
    }

    pub(crate) fn handle_report(&self, report: PeerReport) {
        let is_newer = {
            let now = self.now();
            let mut directory = self.directory.borrow_mut();
            directory.record_report(&report.row, report.sequence, now)
        };
        if is_newer {
            let vm = report.row.vm;
            let source = UsageSource::Vm(vm.clone());
            self.state.usage.record_report(&source, report.usage);
            let load = (LoadSource::Vm(vm), report.load);
            self.state.dispatcher.record_reports(vec![load]);
        }
    }

    /// Handles the report of another domain. The VM that receives it first forwards it within its own domain.
    pub(crate) async fn handle_domain_report(&self, report: DomainReport) {
        let domain = report.aggregator.domain.clone();
        if domain == self.own_row.domain {
            return;
        }
        let now = self.now();
        self.directory
            .borrow_mut()
            .record_domain_report(&domain, report.members.clone(), now);
        if let Some(usage) = report.usage.clone() {
            let source = UsageSource::Domain {
                domain: domain.clone(),
                aggregator: (report.aggregator.vm.clone(), report.aggregator.incarnation),
            };
            self.state.usage.record_report(&source, usage);
        }
        let load = report.load.clone();
        let load = (LoadSource::Domain(domain), load);
        self.state.dispatcher.record_reports(vec![load]);
        if !report.passed_on {
            let report = DomainReport {
                passed_on: true,
                ..report
            };
            self.send_to_domain(&PeerMessage::Domain(report)).await;
        }
    }
}

/// Adds statements of targets to the first batch, if there is one.
fn add_stated(batches: &mut [ReportBatch], stated: impl FnOnce() -> Vec<StatedEntry>) {
    if let Some(first) = batches.first_mut() {
        first.stated = stated();
    }
}

/// Datagram addresses of the VMs that read batches.
fn batch_addresses(rows: &[VmRow]) -> Vec<SocketAddr> {
    let readers = rows.iter().filter(|row| row.reads_batches);
    readers.map(|row| row.peers).collect()
}
