//! Compares the ticketed policy with the local policy as a baseline, in which VMs do not coordinate, in virtual time.
//!
//! The simulated fleet has 12 VMs and 18 replicas in 3 failure domains and 2 regions, and serves 8 organisations, two
//! of which are large. `cargo run --release -p plantainmill-dispatch --example dispatch_comparison`

mod engine;
mod policy;
mod simulation;

use plantainmill_config::FleetConfig;
use plantainmill_config::model::{OrganisationSpec, ServiceKind, ServiceSpec, TargetSpec};
use policy::{BaselinePolicy, Policy, TicketedPolicy};
use simulation::{RunMetrics, Scenario, Simulation, online_capacity};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const REPLICAS: u16 = 18;
/// Share of the online load by organisation: two large and six small ones.
const SHARES: [f64; 8] = [0.28, 0.24, 0.08, 0.08, 0.08, 0.08, 0.08, 0.08];
const START: Duration = Duration::from_secs(1_000);

fn main() {
    let config = Arc::new(fleet());
    println!("policy     figure                                     value");
    for name in ["baseline", "ticketed"] {
        compare(name, &config);
    }
}

fn compare(name: &str, config: &Arc<FleetConfig>) {
    let capacity = online_capacity(usize::from(REPLICAS));
    compare_batch(name, "surges", config, rates(0.4 * capacity), 1.8);
    compare_batch(name, "steady", config, rates(0.5 * capacity), 1.0);
    let light = Scenario {
        rates: rates(0.1 * capacity),
        surge: 1.0,
        batch: false,
        time: Duration::from_secs(80),
    };
    print_traffic(name, "light load", &run(name, config, light));
    compare_overload(name, config, capacity);
}

fn compare_batch(name: &str, load: &str, config: &Arc<FleetConfig>, rates: Vec<f64>, surge: f64) {
    println!("{name:<10} -- {load}");
    let plain = Scenario {
        rates,
        surge,
        batch: false,
        time: Duration::from_secs(80),
    };
    let mixed = Scenario {
        batch: true,
        ..plain.clone()
    };
    let alone = run(name, config, plain);
    let filled = run(name, config, mixed);
    let (before, after) = (p95(&alone), p95(&filled));
    print(name, "online p95 first token, no batch, ms", before);
    print(name, "online p95 first token, batch, ms", after);
    print(name, "ratio (max 1.05)", after / before);
    // Uses the idle capacity of the run without batch work, because online requests queued by batch work would reduce
    // it.
    let done = filled.batch_done / alone.batch_possible;
    print(name, "batch against idle capacity (min 0.90)", done);
    let idle = alone.idle_slots;
    print(
        name,
        "batch slot time against idle",
        filled.batch_slots / idle,
    );
    print(
        name,
        "slot time lost to preemption",
        filled.preempted_slots / idle,
    );
    print(name, "online refused with batch", to_f64(filled.refused));
    print(name, "batch preempted", to_f64(filled.preempted));
    let max_requests = u64::try_from(filled.max_engine_requests).unwrap_or(0);
    print(name, "most requests at an engine", to_f64(max_requests));
    print_traffic(name, "no batch", &alone);
    print_traffic(name, "batch", &filled);
}

fn compare_overload(name: &str, config: &Arc<FleetConfig>, capacity: f64) {
    let mut greedy = rates(0.7 * capacity);
    greedy[2] *= 5.0;
    greedy[0] *= 1.3;
    let scenario = Scenario {
        rates: greedy,
        surge: 1.0,
        batch: false,
        time: Duration::from_mins(1),
    };
    let metrics = run(name, config, scenario.clone());
    print(
        name,
        "worst-served, one at 5 x (min 0.95)",
        worst_service_ratio(&metrics, 2, capacity),
    );
    let mut flooded = scenario.clone();
    flooded.rates = rates(0.85 * capacity);
    flooded.rates[0] *= 5.0;
    let metrics = run(name, config, flooded);
    print(
        name,
        "worst-served, a large one at 5 x",
        worst_service_ratio(&metrics, 0, capacity),
    );
    let overload = Scenario {
        rates: rates(1.5 * capacity),
        ..scenario
    };
    let seconds = overload.time.as_secs_f64();
    let metrics = run(name, config, overload);
    let served = metrics.served.iter().sum::<f64>();
    print(
        name,
        "goodput at 1.5 x against capacity",
        served / seconds / capacity,
    );
    print(name, "responses too late at 1.5 x", to_f64(metrics.late));
    print(name, "online p95 first token at 1.5 x, ms", p95(&metrics));
}

fn run(name: &str, config: &Arc<FleetConfig>, scenario: Scenario) -> RunMetrics {
    let mut policy: Box<dyn Policy> = match name {
        "baseline" => Box::new(BaselinePolicy::new(config)),
        _ => Box::new(TicketedPolicy::new(config, START)),
    };
    Simulation::new(policy.as_mut(), config, scenario, START).run()
}

/// Returns the lowest ratio of served requests to the smaller of offered load and fair share, over all organisations
/// but `excluded`.
fn worst_service_ratio(metrics: &RunMetrics, excluded: usize, capacity: f64) -> f64 {
    let seconds = 60.0;
    let fair = max_min_share(&metrics.offered, capacity * seconds);
    let others = (0..metrics.offered.len()).filter(|index| *index != excluded);
    let ratios = others.map(|index| metrics.served[index] / metrics.offered[index].min(fair));
    ratios.fold(f64::INFINITY, f64::min)
}

/// Returns the max-min fair share: the largest limit per organisation at which the offered loads fit the capacity.
fn max_min_share(offered: &[f64], capacity: f64) -> f64 {
    let (mut low, mut high) = (0.0, capacity);
    for _ in 0..60 {
        let middle = f64::midpoint(low, high);
        let used = offered.iter().map(|each| each.min(middle)).sum::<f64>();
        if used <= capacity {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

fn rates(total: f64) -> Vec<f64> {
    SHARES.iter().map(|share| share * total).collect()
}

fn p95(metrics: &RunMetrics) -> f64 {
    let mut times = metrics.first_tokens.clone();
    times.sort_unstable();
    let index = times.len() * 95 / 100;
    times
        .get(index)
        .map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
}

fn print(name: &str, metric: &str, value: f64) {
    println!("{name:<10} {metric:<42} {value:.3}");
}

fn print_traffic(name: &str, load: &str, metrics: &RunMetrics) {
    let requests = to_f64(metrics.granted).max(1.0);
    let seconds = 80.0 * 12.0;
    let immediate = to_f64(metrics.immediate) / requests;
    print(
        name,
        &format!("granted without a round trip, {load}"),
        immediate,
    );
    print(
        name,
        &format!("messages per request, {load}"),
        to_f64(metrics.messages) / requests,
    );
    print(
        name,
        &format!("control bytes per VM and s, {load}"),
        to_f64(metrics.bytes) / seconds,
    );
}

// Counts stay far below 2^52, so the conversion is exact.
#[expect(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
    count as f64
}

fn fleet() -> FleetConfig {
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
        most_replicas: 18,
    };
    Arc::make_mut(&mut config.services).insert("assistant".into(), service);
    for index in 0..REPLICAS {
        let (domain, region) =
            [("c1", "central"), ("c2", "central"), ("s1", "southern")][usize::from(index % 3)];
        let target = TargetSpec {
            service: "assistant".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index)),
            domain: domain.into(),
            region: region.into(),
            concurrency: 24,
            checks_fencing: true,
            leaving: false,
        };
        Arc::make_mut(&mut config.targets).insert(format!("t{index}").into(), target);
    }
    for index in 0..SHARES.len() {
        let organisation = OrganisationSpec {
            rate: 100.0,
            burst: 100,
            weight: 1,
        };
        Arc::make_mut(&mut config.organisations).insert(format!("o{index}").into(), organisation);
    }
    config
}
