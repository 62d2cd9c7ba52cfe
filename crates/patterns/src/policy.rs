//! The policy of the product and the baselines it is compared with.

use plantainmill_dispatch::shared::{LedgerEffect, LoadLedger, LoadSource};
use plantainmill_dispatch::{CallOutcome, TicketRequest, TrafficClass};
use plantainmill_routing::TargetEntry;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::HashMap;
use std::time::Duration;

/// Which policy all VMs follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyKind {
    /// The shared policy.
    Shared,
    /// The shared choice without reports of peers: each VM knows only its own calls.
    Alone,
    /// The less loaded of two random targets by own calls; batch items start at once and are never preempted.
    RandomTwo,
}

impl PolicyKind {
    /// All policies, the product's first.
    pub const ALL: [PolicyKind; 3] = [PolicyKind::Shared, PolicyKind::Alone, PolicyKind::RandomTwo];

    /// Name for tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Shared => "shared",
            PolicyKind::Alone => "alone",
            PolicyKind::RandomTwo => "random of two",
        }
    }
}

/// The policy of one VM.
pub(crate) enum VmPolicy {
    Ledger {
        ledger: Box<LoadLedger>,
        hears: bool,
    },
    RandomTwo {
        targets: Vec<TargetEntry>,
        used: HashMap<usize, u32>,
        calls: HashMap<u64, usize>,
        next: u64,
        random: SmallRng,
    },
}

/// Failure domains of the world, all in one region.
pub(crate) const DOMAINS: [&str; 3] = ["a", "b", "c"];

impl VmPolicy {
    pub fn new(kind: PolicyKind, vm: usize, targets: &[TargetEntry], seed: u64) -> VmPolicy {
        let domain = DOMAINS[vm % DOMAINS.len()];
        let mut policy = match kind {
            PolicyKind::Shared | PolicyKind::Alone => {
                let regions = DOMAINS.iter().map(|name| ((*name).into(), "r".into()));
                let name = format!("vm{vm}").into();
                let ledger = LoadLedger::new(name, domain.into(), "r".into(), regions.collect());
                VmPolicy::Ledger {
                    ledger: Box::new(ledger),
                    hears: kind == PolicyKind::Shared,
                }
            }
            PolicyKind::RandomTwo => VmPolicy::RandomTwo {
                targets: Vec::new(),
                used: HashMap::new(),
                calls: HashMap::new(),
                next: 0,
                random: SmallRng::seed_from_u64(seed + vm as u64),
            },
        };
        policy.set_targets(targets);
        policy
    }

    pub fn set_targets(&mut self, entries: &[TargetEntry]) {
        match self {
            VmPolicy::Ledger { ledger, .. } => ledger.set_targets(entries.iter()),
            VmPolicy::RandomTwo { targets, .. } => *targets = entries.to_vec(),
        }
    }

    pub fn request(&mut self, request: TicketRequest, now: Duration) -> (u64, Vec<LedgerEffect>) {
        match self {
            VmPolicy::Ledger { ledger, .. } => ledger.request(request, now),
            VmPolicy::RandomTwo {
                targets,
                used,
                calls,
                next,
                random,
            } => {
                *next += 1;
                let picks = [0, 1].map(|_| random.random_range(0..targets.len()));
                let load = |pick: &usize| used.get(pick).copied().unwrap_or(0);
                let pick = picks.into_iter().min_by_key(load).unwrap_or(0);
                *used.entry(pick).or_default() += 1;
                calls.insert(*next, pick);
                let grant = LedgerEffect::Grant {
                    number: *next,
                    target: targets[pick].id.clone(),
                    address: targets[pick].address,
                };
                (*next, vec![grant])
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
            VmPolicy::RandomTwo { used, calls, .. } => {
                if let Some(count) = calls.remove(&number).and_then(|pick| used.get_mut(&pick)) {
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
            VmPolicy::RandomTwo { .. } => Vec::new(),
        }
    }

    /// The VM's ledger, if it exchanges reports.
    pub fn exchanging(&mut self) -> Option<&mut LoadLedger> {
        match self {
            VmPolicy::Ledger {
                ledger,
                hears: true,
            } => Some(ledger),
            _ => None,
        }
    }
}

/// Exchanges reports: of single VMs within each domain, of whole domains between them.
pub(crate) fn exchange(
    policies: &mut [Option<VmPolicy>],
    now: Duration,
) -> Vec<(usize, LedgerEffect)> {
    let mut reports = Vec::new();
    for (vm, policy) in policies.iter_mut().enumerate() {
        if let Some(ledger) = policy.as_mut().and_then(VmPolicy::exchanging) {
            reports.push((vm, ledger.report(), ledger.domain_report()));
        }
    }
    let mut effects = Vec::new();
    for (vm, policy) in policies.iter_mut().enumerate() {
        let Some(ledger) = policy.as_mut().and_then(VmPolicy::exchanging) else {
            continue;
        };
        let own = vm % DOMAINS.len();
        let mut summed = [false; DOMAINS.len()];
        for (other, report, sum) in reports.iter().filter(|(other, ..)| *other != vm) {
            let domain = other % DOMAINS.len();
            let heard = if domain == own {
                let source = LoadSource::Vm(format!("vm{other}").into());
                ledger.record_report(&source, report.clone(), now)
            } else if summed[domain] {
                continue;
            } else {
                summed[domain] = true;
                ledger.record_report(
                    &LoadSource::Domain(DOMAINS[domain].into()),
                    sum.clone(),
                    now,
                )
            };
            effects.extend(heard.into_iter().map(|effect| (vm, effect)));
        }
    }
    effects
}

/// A request of a class.
pub(crate) fn ticket_request(
    class: TrafficClass,
    organisation: usize,
    deadline: Duration,
) -> TicketRequest {
    TicketRequest {
        service: "llm".into(),
        organisation: Some(format!("o{organisation}").into()),
        priority: 0,
        class,
        prefix_hash: None,
        deadline,
        wait_limit: (class == TrafficClass::Online).then_some(Duration::from_millis(75)),
        excluded: Vec::new(),
        body_bytes: 0,
        is_retry: false,
    }
}
