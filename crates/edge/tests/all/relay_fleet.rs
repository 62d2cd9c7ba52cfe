//! A failure domain whose VMs exchange reports in virtual time: how many datagrams each sends, and how old the reports
//! get while relays fail.

use crate::support::{at, load, row};
use plantainmill_edge::{PeerDirectory, PeerReport, ReportBatch, ReportRelay, ReportRoute, VmRow};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Length of a step of the simulation.
const STEP_MS: u64 = 10;
/// Interval at which a VM repeats an unchanged report.
const HEARTBEAT_MS: u64 = 200;
/// Intervals between the batches of the first and of the other relay.
const RELAY_MS: u64 = 50;
const STANDBY_RELAY_MS: u64 = 150;

struct DomainVm {
    row: VmRow,
    directory: PeerDirectory,
    relay: ReportRelay,
    sequence: u64,
    is_running: bool,
    sent: u64,
    received: u64,
    /// Time at which each peer was last heard.
    heard: BTreeMap<u16, Duration>,
}

/// VMs of domain `a` on a network that loses one datagram of `loss`, and delays each by up to `delay_ms`.
struct DomainFleet {
    vms: Vec<DomainVm>,
    /// Datagrams under way: time of arrival, receiver, content.
    network: Vec<(u64, usize, ReportBatch)>,
    random: SmallRng,
    loss: u32,
    delay_ms: u64,
    now_ms: u64,
}

impl DomainFleet {
    fn new(count: u16, loss: u32, delay_ms: u64, seed: u64) -> DomainFleet {
        let rows: Vec<VmRow> = (1..=count).map(|number| row("a", number)).collect();
        let vms = rows.iter().map(|own| {
            let mut directory = PeerDirectory::new(own.clone(), at(0));
            let stale = directory.update_local_rows(&rows, at(0));
            assert!(stale.is_empty());
            DomainVm {
                row: own.clone(),
                directory,
                relay: ReportRelay::default(),
                sequence: 0,
                is_running: true,
                sent: 0,
                received: 0,
                heard: BTreeMap::new(),
            }
        });
        DomainFleet {
            vms: vms.collect(),
            network: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            loss,
            delay_ms,
            now_ms: 0,
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.deliver();
            for vm in 0..self.vms.len() {
                // The phases of the VMs differ.
                let phase = self.now_ms + vm as u64 * STEP_MS;
                if phase.is_multiple_of(HEARTBEAT_MS) {
                    self.send_report(vm);
                }
                let is_first = self.vms[vm].directory.is_aggregator(at(self.now_ms));
                let interval = if is_first { RELAY_MS } else { STANDBY_RELAY_MS };
                if phase.is_multiple_of(interval) {
                    self.send_batches(vm);
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    fn send_report(&mut self, vm: usize) {
        let now = at(self.now_ms);
        let sender = &mut self.vms[vm];
        if !sender.is_running {
            return;
        }
        sender.sequence += 1;
        let report = PeerReport {
            row: sender.row.clone(),
            sequence: sender.sequence,
            load: load(1),
            usage: Vec::new(),
        };
        match sender.directory.report_route(now) {
            ReportRoute::OwnBatch => sender.relay.add_report(report),
            ReportRoute::Direct(rows) | ReportRoute::Relays(rows) => {
                let batch = ReportBatch {
                    sender: sender.row.clone(),
                    is_relayed: false,
                    reports: vec![report],
                    domains: Vec::new(),
                    stated: Vec::new(),
                };
                self.send(vm, &rows, &batch);
            }
        }
    }

    fn send_batches(&mut self, vm: usize) {
        let sender = &mut self.vms[vm];
        if !sender.is_running {
            return;
        }
        let own = sender.row.clone();
        let rows: Vec<VmRow> = sender.directory.local_rows().cloned().collect();
        for batch in sender.relay.take_batches(&own) {
            self.send(vm, &rows, &batch);
        }
    }

    fn send(&mut self, vm: usize, receivers: &[VmRow], batch: &ReportBatch) {
        self.vms[vm].sent += receivers.len() as u64;
        for receiver in receivers {
            if self.random.random_ratio(1, self.loss) {
                continue;
            }
            let arrival_ms = self.now_ms + self.random.random_range(0..=self.delay_ms);
            let position = usize::from(receiver.peers.port()) - 1;
            self.network.push((arrival_ms, position, batch.clone()));
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .network
            .extract_if(.., |(arrival_ms, ..)| *arrival_ms <= now_ms)
            .collect();
        let now = at(now_ms);
        for (_, position, batch) in due {
            let vm = &mut self.vms[position];
            if !vm.is_running {
                continue;
            }
            vm.received += 1;
            for report in batch.reports {
                if batch.is_relayed {
                    vm.relay.remove_report(&report.row, report.sequence);
                }
                if report.row.vm == vm.row.vm {
                    if batch.is_relayed {
                        vm.directory.confirm_relay(report.row.incarnation, now);
                    }
                } else if vm
                    .directory
                    .record_report(&report.row, report.sequence, now)
                {
                    vm.heard.insert(report.row.peers.port(), now);
                    if !batch.is_relayed && vm.directory.is_relay(now) {
                        vm.relay.add_report(report);
                    }
                }
            }
        }
    }

    /// Largest time since any running VM heard another running one.
    fn oldest_report(&self) -> Duration {
        let now = at(self.now_ms);
        let running = || self.vms.iter().filter(|vm| vm.is_running);
        let ages = running().flat_map(|vm| {
            let others = running().filter(|other| other.row.vm != vm.row.vm);
            others.map(|other| {
                let heard = vm.heard.get(&other.row.peers.port());
                heard.map_or(now, |heard| now.saturating_sub(*heard))
            })
        });
        ages.max().unwrap_or_default()
    }

    fn readers(&self) -> Vec<usize> {
        let now = at(self.now_ms);
        let vms = self.vms.iter().enumerate();
        vms.filter(|(_, vm)| vm.is_running && vm.directory.is_reader(now))
            .map(|(position, _)| position)
            .collect()
    }
}

/// Guards against control traffic that grows with the size of a domain: a VM that is no reader sends and receives at
/// most 60 datagrams a second, whatever the size.
#[rstest]
#[case(16)]
#[case(30)]
#[case(49)]
#[case(100)]
fn bounded_rate(#[case] count: u16) {
    const RUN_S: u64 = 4;
    let mut fleet = DomainFleet::new(count, 100, 5, u64::from(count));
    fleet.run(2_000);
    let start: Vec<u64> = fleet.vms.iter().map(|vm| vm.sent + vm.received).collect();
    fleet.run(RUN_S * 1_000);
    let readers = fleet.readers();
    assert_eq!(readers.len(), 2);
    let per_s = |vm: usize| (fleet.vms[vm].sent + fleet.vms[vm].received - start[vm]) / RUN_S;
    let others = (0..usize::from(count)).filter(|vm| !readers.contains(vm));
    let busiest = others.map(per_s).max().unwrap_or(0);
    let bound = if count <= 16 { 200 } else { 60 };
    assert!(busiest <= bound, "{busiest} datagrams/s with {count} VMs");
    assert!(fleet.oldest_report() <= Duration::from_millis(700));
}

/// Guards against a domain whose VMs take each other for dead, or that stays without readers, when its relays stop
/// without a word: the next ones too, or half of the domain at once.
#[rstest]
#[case::both_readers(49, 2)]
#[case::four_of_them(49, 4)]
#[case::half_of_the_domain(49, 24)]
#[case::just_large_enough(17, 2)]
fn lost_relays(#[case] count: u16, #[case] lost: usize) {
    for seed in 0..2 {
        let mut fleet = DomainFleet::new(count, 100, 5, seed);
        fleet.run(2_000);
        let mut stopped = fleet.readers();
        stopped.extend((0..usize::from(count)).filter(|vm| !fleet.readers().contains(vm)));
        stopped
            .iter()
            .take(lost)
            .for_each(|vm| fleet.vms[*vm].is_running = false);
        for _ in 0..40 {
            fleet.run(50);
            let oldest = fleet.oldest_report();
            assert!(
                oldest < Duration::from_millis(1_500),
                "seed {seed}: a running VM unheard for {oldest:?}"
            );
        }
        fleet.run(1_000);
        assert_eq!(fleet.readers().len(), 2, "seed {seed}");
        assert!(fleet.oldest_report() <= Duration::from_millis(700));
    }
}

/// Guards against a report that a relay forwards late and that brings back a VM which has announced its stop.
#[test]
fn late_report_of_stopped_vm() {
    let mut fleet = DomainFleet::new(20, 1_000, 5, 3);
    fleet.run(2_000);
    let now = at(fleet.now_ms);
    let receiver = &mut fleet.vms[0].directory;
    assert!(receiver.remove_peer(&row("a", 5).vm, 1));
    assert!(!receiver.record_report(&row("a", 5), 1_000, now));
    let members = receiver.members(now);
    assert!(members.iter().all(|member| member.vm != row("a", 5).vm));
    let mut restarted = row("a", 5);
    restarted.incarnation = 2;
    assert!(receiver.record_report(&restarted, 1, now));
}
