//! Benchmarks of single decisions of the dispatch policies.

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use plantainmill_config::FleetConfig;
use plantainmill_config::model::{OrganisationSpec, ServiceKind, ServiceSpec, TargetSpec};
use plantainmill_core::RegionSet;
use plantainmill_dispatch::dispatcher::{CallOutcome, TicketRequest, TrafficClass};
use plantainmill_dispatch::local::{LocalDecision, LocalPolicy};
use plantainmill_dispatch::message::{DispatchMessage, MessageBody, decode, encode};
use plantainmill_dispatch::node::{DispatchNode, DispatchOutput, NodeIdentity};
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
/// Number of targets in one failure domain.
const DOMAIN_TARGETS: u16 = 280;
const COMPLETED: CallOutcome = CallOutcome::Completed {
    first_byte: Duration::from_millis(50),
};

fn fleet(targets: u16) -> Arc<FleetConfig> {
    let mut config = FleetConfig {
        version: 1,
        ..FleetConfig::default()
    };
    let service = ServiceSpec {
        kind: ServiceKind::Model,
        open: false,
        repeatable: true,
        hedge: false,
        timeout_ms: 60_000,
        least_replicas: 1,
        most_replicas: 64,
    };
    Arc::make_mut(&mut config.services).insert("assistant".into(), service);
    for index in 0..targets {
        let target = TargetSpec {
            service: "assistant".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
            domain: format!("d{}", index / DOMAIN_TARGETS).into(),
            region: "r0".into(),
            concurrency: 16,
            checks_fencing: true,
            leaving: false,
        };
        Arc::make_mut(&mut config.targets).insert(format!("t{index}").into(), target);
    }
    let organisation = OrganisationSpec {
        rate: 100.0,
        burst: 100,
        weight: 1,
    };
    Arc::make_mut(&mut config.organisations).insert("o0".into(), organisation);
    Arc::new(config)
}

fn request(class: TrafficClass, prefix_hash: Option<u64>) -> TicketRequest {
    TicketRequest {
        wait_limit: None,
        service: "assistant".into(),
        organisation: Some("o0".into()),
        priority: 0,
        class,
        prefix_hash,
        parts: Vec::new(),
        fingerprint: None,
        version: None,
        barred: Vec::new(),
        spared: Vec::new(),
        deadline: NOW + Duration::from_mins(1),
        excluded: Vec::new(),
        regions: RegionSet::Everywhere,
        body_bytes: 2_000,
        is_retry: false,
        needs_idle_slot: false,
    }
}

/// Creates the only node of a domain. It owns all targets there, so a request passes through both gateway and owner
/// code.
fn node(targets: u16) -> DispatchNode {
    let mut node = DispatchNode::new(NodeIdentity {
        vm: "v0".into(),
        domain: "d0".into(),
        region: "r0".into(),
        seed: 3,
    });
    node.apply(&fleet(targets), &Arc::default(), NOW);
    node
}

/// Acquires a ticket and completes its call.
fn acquire_and_finish(node: &mut DispatchNode, prefix_hash: Option<u64>) {
    let request = request(TrafficClass::Online, prefix_hash);
    let id = node.acquire(black_box(request), NOW);
    black_box(node.take_outputs());
    node.finish(id, COMPLETED, NOW);
    black_box(node.take_outputs());
}

fn ticketed(criterion: &mut Criterion) {
    for targets in [18, 140] {
        let mut warm = node(targets);
        criterion.bench_function(&format!("standing ticket, {targets} targets"), |bencher| {
            bencher.iter(|| acquire_and_finish(&mut warm, None));
        });
        let mut warm = node(targets);
        criterion.bench_function(&format!("prefix affinity, {targets} targets"), |bencher| {
            bencher.iter(|| acquire_and_finish(&mut warm, Some(7)));
        });
    }
}

/// Handles an online request of another VM at an owner with `waiting` queued batch requests, and the release of its
/// ticket.
fn owner(criterion: &mut Criterion) {
    for waiting in [0_u64, 400] {
        let mut node = node(1);
        for id in 0..waiting {
            node.receive(&"v1".into(), ask(id + 1, TrafficClass::Batch), NOW);
        }
        node.take_outputs();
        let name = format!("owner grants and takes back, {waiting} batch requests wait");
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| grant_and_release(&mut node));
        });
    }
}

fn ask(request: u64, class: TrafficClass) -> DispatchMessage {
    DispatchMessage {
        target: "t0".into(),
        body: MessageBody::Ask {
            request,
            class,
            organisation: Some("o0".into()),
            wait_ms: 2_000,
            flexible: false,
        },
    }
}

fn grant_and_release(node: &mut DispatchNode) {
    let vm = "v2".into();
    node.receive(&vm, ask(1_000_000, TrafficClass::Online), NOW);
    let granted = node.take_outputs().into_iter().find_map(granted_ticket);
    if let Some(ticket) = granted {
        let release = DispatchMessage {
            target: "t0".into(),
            body: MessageBody::Release {
                ticket,
                outcome: COMPLETED,
            },
        };
        node.receive(&vm, release, NOW);
        black_box(node.take_outputs());
    }
}

fn granted_ticket(output: DispatchOutput) -> Option<u64> {
    let DispatchOutput::Send { message, .. } = output else {
        return None;
    };
    match message.body {
        MessageBody::Grant { ticket, .. } => Some(ticket),
        _ => None,
    }
}

fn baseline(criterion: &mut Criterion) {
    let mut policy = LocalPolicy::new("d0".into(), "r0".into(), 3);
    policy.apply_config(fleet(18));
    criterion.bench_function("baseline, 18 targets", |bencher| {
        bencher.iter(|| {
            let request = request(TrafficClass::Online, None);
            let decision = policy.submit(black_box(&request), NOW);
            if let LocalDecision::Granted(grant) = decision {
                black_box(policy.finish(&grant.target, COMPLETED, NOW));
            }
        });
    });
}

fn messages(criterion: &mut Criterion) {
    let frame = vec![ask(1, TrafficClass::Online)];
    criterion.bench_function("encode and decode an ask", |bencher| {
        bencher.iter_batched(
            || frame.clone(),
            |frame| decode(&encode(black_box(&frame))),
            BatchSize::SmallInput,
        );
    });
}

/// Runs the periodic tick of a VM that knows 4,200 targets.
fn ticks(criterion: &mut Criterion) {
    let mut node = node(4_200);
    let mut now = NOW;
    criterion.bench_function(
        "tick, 4,200 targets known and 280 of them owned",
        |bencher| {
            bencher.iter(|| {
                now += Duration::from_millis(50);
                node.tick(now);
                black_box(node.take_outputs());
            });
        },
    );
}

criterion_group!(benches, ticketed, owner, baseline, messages, ticks);
criterion_main!(benches);
