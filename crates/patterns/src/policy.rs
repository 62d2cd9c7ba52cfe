//! The shared dispatch policy and the baselines that it is compared with.

use crate::pattern::FleetShape;
use plantainmill_core::RegionSet;
use plantainmill_dispatch::shared::{LedgerEffect, LoadLedger, LoadSource, PeerLoad};
use plantainmill_dispatch::{CallOutcome, TicketRequest, TrafficClass};
use plantainmill_routing::TargetEntry;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::HashMap;
use std::time::Duration;

/// Dispatch policy of all VMs in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyKind {
    /// The load ledger, with load reports exchanged between VMs.
    Shared,
    /// The load ledger without reports from peers: each VM knows only its own calls.
    Isolated,
    /// Power of two choices: of two random targets the one with fewer of the VM's own calls. Batch items start at once
    /// and are never preempted.
    TwoChoices,
}

impl PolicyKind {
    /// All policies, with the shared one first and the baselines after it.
    pub const ALL: [PolicyKind; 3] = [
        PolicyKind::Shared,
        PolicyKind::Isolated,
        PolicyKind::TwoChoices,
    ];

    /// Name of the policy in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Shared => "shared",
            PolicyKind::Isolated => "alone",
            PolicyKind::TwoChoices => "random of two",
        }
    }
}

/// Dispatch state of one VM.
pub(crate) enum VmPolicy {
    Ledger {
        ledger: Box<LoadLedger>,
        exchanges_reports: bool,
    },
    TwoChoices {
        targets: Vec<TargetEntry>,
        call_counts: HashMap<usize, u32>,
        calls: HashMap<u64, usize>,
        last_number: u64,
        random: SmallRng,
    },
}

/// Failure domains of the simulation, all in one region. VMs and targets are assigned to the first ones in rotation.
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];

impl VmPolicy {
    pub fn new(
        kind: PolicyKind,
        vm: usize,
        shape: &FleetShape,
        targets: &[TargetEntry],
        seed: u64,
    ) -> VmPolicy {
        let domain = DOMAINS[vm % shape.domains];
        let mut policy = match kind {
            PolicyKind::Shared | PolicyKind::Isolated => {
                let regions = DOMAINS.iter().map(|name| ((*name).into(), "r".into()));
                let name = format!("vm{vm}").into();
                let mut ledger =
                    LoadLedger::new(name, domain.into(), "r".into(), regions.collect());
                ledger.set_late_reports(shape.report_delay_ms > 0);
                VmPolicy::Ledger {
                    ledger: Box::new(ledger),
                    exchanges_reports: kind == PolicyKind::Shared,
                }
            }
            PolicyKind::TwoChoices => VmPolicy::TwoChoices {
                targets: Vec::new(),
                call_counts: HashMap::new(),
                calls: HashMap::new(),
                last_number: 0,
                random: SmallRng::seed_from_u64(seed + vm as u64),
            },
        };
        policy.set_targets(targets);
        policy
    }

    pub fn set_targets(&mut self, entries: &[TargetEntry]) {
        match self {
            VmPolicy::Ledger { ledger, .. } => ledger.set_targets(entries.iter()),
            VmPolicy::TwoChoices { targets, .. } => *targets = entries.to_vec(),
        }
    }

    pub fn request(&mut self, request: TicketRequest, now: Duration) -> (u64, Vec<LedgerEffect>) {
        match self {
            VmPolicy::Ledger { ledger, .. } => ledger.request(request, now),
            VmPolicy::TwoChoices {
                targets,
                call_counts,
                calls,
                last_number,
                random,
            } => {
                *last_number += 1;
                let choices = [0, 1].map(|_| random.random_range(0..targets.len()));
                let load = |choice: &usize| call_counts.get(choice).copied().unwrap_or(0);
                let choice = choices.into_iter().min_by_key(load).unwrap_or(0);
                *call_counts.entry(choice).or_default() += 1;
                calls.insert(*last_number, choice);
                let grant = LedgerEffect::Grant {
                    born: 0,
                    region: None,
                    number: *last_number,
                    target: targets[choice].id.clone(),
                    address: targets[choice].address,
                    version: targets[choice].version.clone(),
                };
                (*last_number, vec![grant])
            }
        }
    }

    pub fn release(
        &mut self,
        number: u64,
        outcome: CallOutcome,
        now: Duration,
    ) -> Vec<LedgerEffect> {
        match self {
            VmPolicy::Ledger { ledger, .. } => ledger.release(number, outcome, now),
            VmPolicy::TwoChoices {
                call_counts, calls, ..
            } => {
                if let Some(count) = calls
                    .remove(&number)
                    .and_then(|choice| call_counts.get_mut(&choice))
                {
                    *count -= 1;
                }
                Vec::new()
            }
        }
    }

    pub fn withdraw(&mut self, number: u64) {
        if let VmPolicy::Ledger { ledger, .. } = self {
            ledger.withdraw(number);
        }
    }

    pub fn tick(&mut self, now: Duration) -> Vec<LedgerEffect> {
        match self {
            VmPolicy::Ledger { ledger, .. } => ledger.tick(now),
            VmPolicy::TwoChoices { .. } => Vec::new(),
        }
    }

    /// The VM's ledger, if its policy exchanges reports.
    pub fn exchanging_ledger(&mut self) -> Option<&mut LoadLedger> {
        match self {
            VmPolicy::Ledger {
                ledger,
                exchanges_reports: true,
            } => Some(ledger),
            _ => None,
        }
    }
}

/// The load reports of all VMs at one time: VM, its own report, and the one of its domain.
pub(crate) type ReportRound = Vec<(usize, PeerLoad, PeerLoad)>;

/// Takes the load reports of all VMs that exchange them.
pub(crate) fn collect_reports(policies: &mut [Option<VmPolicy>]) -> ReportRound {
    let mut reports = Vec::new();
    for (vm, policy) in policies.iter_mut().enumerate() {
        if let Some(ledger) = policy.as_mut().and_then(VmPolicy::exchanging_ledger) {
            reports.push((vm, ledger.report(), ledger.domain_report()));
        }
    }
    reports
}

/// Delivers load reports: those of single VMs within a domain, and one aggregate report of each other domain.
pub(crate) fn deliver_reports(
    policies: &mut [Option<VmPolicy>],
    reports: &ReportRound,
    domains: usize,
    now: Duration,
) -> Vec<(usize, LedgerEffect)> {
    let mut effects = Vec::new();
    for (vm, policy) in policies.iter_mut().enumerate() {
        let Some(ledger) = policy.as_mut().and_then(VmPolicy::exchanging_ledger) else {
            continue;
        };
        let own_domain = vm % domains;
        let mut domain_recorded = [false; DOMAINS.len()];
        let mut loads = Vec::new();
        for (other, report, domain_report) in reports.iter().filter(|(other, ..)| *other != vm) {
            let domain = other % domains;
            if domain == own_domain {
                let source = LoadSource::Vm(format!("vm{other}").into());
                loads.push((source, report.clone()));
            } else if !domain_recorded[domain] {
                domain_recorded[domain] = true;
                let source = LoadSource::Domain(DOMAINS[domain].into());
                loads.push((source, domain_report.clone()));
            }
        }
        let recorded = ledger.record_reports(loads, now);
        effects.extend(recorded.into_iter().map(|effect| (vm, effect)));
    }
    effects
}

/// A ticket request of an organisation. Online requests wait at most 75 ms, batch items until the deadline.
pub(crate) fn ticket_request(
    class: TrafficClass,
    organisation: usize,
    deadline: Duration,
    prefix_hash: Option<u64>,
) -> TicketRequest {
    TicketRequest {
        service: "llm".into(),
        organisation: Some(format!("o{organisation}").into()),
        priority: 0,
        class,
        prefix_hash,
        parts: Vec::new(),
        fingerprint: None,
        version: None,
        barred: Vec::new(),
        spared: Vec::new(),
        deadline,
        wait_limit: (class == TrafficClass::Online).then_some(Duration::from_millis(75)),
        excluded: Vec::new(),
        regions: RegionSet::Everywhere,
        body_bytes: 0,
        is_retry: false,
        needs_idle_slot: false,
    }
}
