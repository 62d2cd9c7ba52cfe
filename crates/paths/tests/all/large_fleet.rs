//! A fleet of 345 VMs in 15 failure domains, of which some lose their paths. Virtual time, no network.

use crate::support::{address, millis, table, target};
use plantainmill_core::{RegionSet, Uptime};
use plantainmill_paths::{ForwardResult, Forwarder, ForwarderPlace, PathTable, SendRoute};
use rstest::rstest;
use std::collections::HashMap;
use std::net::SocketAddr;

const DOMAINS: usize = 15;
const DOMAIN_VMS: usize = 23;
const VMS: usize = DOMAINS * DOMAIN_VMS;
const TARGETS: usize = 120;
/// VMs that read the store for their domain, and know the others.
const READERS: usize = 2;
/// VMs that one request may be offered to; the relay has the same bound.
const MAX_ASKED: usize = 5;
/// Interval between the requests of one VM.
const REQUEST_INTERVAL: u64 = 120;

struct Fleet {
    tables: Vec<PathTable>,
    peers: HashMap<SocketAddr, usize>,
    is_cut: Vec<bool>,
    /// VMs that are cut in some part of the test.
    was_cut: Vec<bool>,
    /// Requests that each VM has forwarded.
    forwarded: Vec<usize>,
}

impl Fleet {
    fn new(is_cut: impl Fn(usize) -> bool) -> Fleet {
        let tables = (0..VMS).map(|vm| {
            let mut table = table(TARGETS);
            let forwarders = (0..VMS).filter(|other| *other != vm).filter_map(|other| {
                let is_reader = |vm: usize| vm % DOMAIN_VMS < READERS;
                let place = match other / DOMAIN_VMS == vm / DOMAIN_VMS {
                    true if is_reader(other) => ForwarderPlace::Reader,
                    true => ForwarderPlace::Local,
                    false if is_reader(vm) && other % DOMAIN_VMS < 8 => ForwarderPlace::Remote,
                    false => return None,
                };
                let address = address(1_000 + other);
                Some(Forwarder {
                    address,
                    place,
                    region: None,
                })
            });
            table.set_forwarders(forwarders, millis(0));
            table
        });
        let is_cut: Vec<bool> = (0..VMS).map(is_cut).collect();
        Fleet {
            tables: tables.collect(),
            peers: (0..VMS).map(|vm| (address(1_000 + vm), vm)).collect(),
            was_cut: is_cut.clone(),
            is_cut,
            forwarded: vec![0; VMS],
        }
    }

    fn connect(&mut self, vm: usize, number: usize, now: Uptime) -> bool {
        let is_connected = !self.is_cut[vm];
        if is_connected {
            self.tables[vm].record_connected(&target(number), now);
        } else {
            self.tables[vm].record_unreachable(&target(number), now);
        }
        is_connected
    }

    /// Sends a request of `vm` as the relay does, and returns whether it reaches its target.
    fn send(&mut self, vm: usize, number: usize, now: Uptime) -> bool {
        if let Some((probed, _)) = self.tables[vm].next_probe(&target(number), now) {
            let number = probed.trim_start_matches("i-").parse();
            self.connect(vm, number.expect("a target"), now);
        }
        match self.tables[vm].route(&target(number), &RegionSet::Everywhere, now) {
            SendRoute::Direct => self.connect(vm, number, now) || self.forward(vm, number, now),
            SendRoute::Forwarded => {
                let is_isolated = self.tables[vm].is_isolated(now);
                self.forward(vm, number, now) || !is_isolated && self.connect(vm, number, now)
            }
            SendRoute::Unreachable => false,
        }
    }

    fn forward(&mut self, vm: usize, number: usize, now: Uptime) -> bool {
        let mut asked: Vec<SocketAddr> = Vec::new();
        while asked.len() < MAX_ASKED {
            let salt = u64::try_from(vm * 1_000 + number).expect("a small number");
            let candidates = self.tables[vm].forwarders(&RegionSet::Everywhere, salt, now);
            let candidates = candidates.into_iter().map(|vm| vm.address);
            let Some(next) = candidates.into_iter().find(|next| !asked.contains(next)) else {
                break;
            };
            asked.push(next);
            let peer = self.peers[&next];
            let result = if self.tables[peer].is_isolated(now) {
                let referrals = self.tables[peer].referrals(salt, now);
                self.tables[vm].add_referrals(&referrals, now);
                ForwardResult::Isolated
            } else if self.connect(peer, number, now) {
                self.forwarded[peer] += 1;
                ForwardResult::Forwarded
            } else {
                ForwardResult::Declined
            };
            self.tables[vm].record_forward(next, result, now);
            if result == ForwardResult::Forwarded {
                return true;
            }
        }
        self.tables[vm].record_exhausted(now);
        false
    }

    /// Sends requests of all VMs for some seconds. Returns how many were those of cut VMs, and how many of these were served.
    fn run(&mut self, from: u64, until: u64) -> (usize, usize) {
        let (mut sent, mut served) = (0, 0);
        for step in (from..until).step_by(usize::try_from(REQUEST_INTERVAL).expect("fits")) {
            for vm in 0..VMS {
                let step = usize::try_from(step).expect("a small number");
                let number = (step * 7 + vm * 13) % TARGETS;
                let is_served = self.send(vm, number, millis(step as u64));
                if self.was_cut[vm] {
                    sent += 1;
                    served += usize::from(is_served);
                } else {
                    assert!(is_served, "VM {vm} has its paths");
                }
            }
        }
        (sent, served)
    }
}

/// Guards against callers of cut VMs who are served less than those of others: most VMs of each domain, a whole domain, or all
/// domains but one lose their paths.
#[rstest]
#[case::most_of_each(|vm: usize| vm % DOMAIN_VMS < 20)]
#[case::one_domain(|vm: usize| vm / DOMAIN_VMS == 3)]
#[case::all_but_one(|vm: usize| vm / DOMAIN_VMS != 3)]
fn cut_vms(#[case] is_cut: fn(usize) -> bool) {
    let mut fleet = Fleet::new(is_cut);
    // The first seconds are for finding out.
    fleet.run(0, 4_000);
    let (sent, served) = fleet.run(4_000, 6_000);
    assert!(sent > 0 && served * 100 >= sent * 98, "{served} of {sent}");
    fleet.is_cut.fill(false);
    fleet.run(6_000, 8_000);
    fleet.forwarded.fill(0);
    fleet.run(8_000, 9_000);
    assert_eq!(fleet.forwarded.iter().sum::<usize>(), 0, "paths are open");
}

/// Guards against VMs that go on asking each other with every request while none has its paths, instead of rejecting at once.
#[test]
fn cut_fleet() {
    let mut fleet = Fleet::new(|_| true);
    fleet.run(0, 3_000);
    assert_eq!(fleet.run(3_000, 4_000).1, 0);
    for vm in 0..VMS {
        fleet.send(vm, 0, millis(4_000));
        let route = fleet.tables[vm].route(&target(1), &RegionSet::Everywhere, millis(4_000));
        assert_eq!(route, SendRoute::Unreachable, "VM {vm}");
    }
}
