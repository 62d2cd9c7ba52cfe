//! Compares the slot limiter with the 1/N split in virtual time, for 12 VMs in three failure domains of two regions.
//!
//! For each traffic pattern it prints, for both limiters, the admissions above rate x window + burst and the
//! percentage of requests refused. The traffic is Poisson at 0.9 of the rate, without the requests that a single
//! bucket of the whole rate and burst would refuse, so every refusal is wrong. For the slot limiter it also prints
//! the loan messages and their bytes (CBOR without the frame) per second and VM.

#[expect(dead_code, reason = "only the tests use the faults of single VMs")]
#[path = "../tests/all/fleet.rs"]
mod fleet;

use fleet::{Decision, SimFleet, SimRng, config, excess};
use plantainmill_admission::RateVerdict;
use plantainmill_admission::baseline::EvenSplitBuckets;
use plantainmill_admission::bucket::TokenBucket;
use plantainmill_admission::split::Share;
use plantainmill_config::FleetConfig;
use plantainmill_core::{OrganisationId, Uptime};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Number of failure domains; the first two are in one region.
const DOMAINS: usize = 3;
const PER_DOMAIN: usize = 4;
const VMS: usize = DOMAINS * PER_DOMAIN;
/// Virtual time before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(10);
/// Virtual time that is measured.
const MEASURED: Duration = Duration::from_secs(90);
/// Start of a pattern's fault, and end of a network partition, after the warm-up.
const FAULT_START: Duration = Duration::from_secs(20);
const FAULT_END: Duration = Duration::from_secs(70);
/// Time until the membership view shows a lost VM.
const DETECTION: Duration = Duration::from_secs(4);
/// Offered load as a fraction of the rate.
const LOAD: f64 = 0.9;
const SEEDS: u32 = 3;
/// Organisations as id, requests per second and burst. The last one sends one request per minute.
const ORGANISATIONS: [(&str, f64, u32); 5] = [
    ("large", 60.0, 120),
    ("middle", 20.0, 40),
    ("steady", 5.0, 10),
    ("low", 1.0, 4),
    ("minute", 1.0 / 60.0, 1),
];

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pattern {
    Balanced,
    Skewed,
    Bursty,
    VmLost,
    DomainCut,
}

/// One request of the generated load.
struct Arrival {
    time: Uptime,
    vm: usize,
    organisation: &'static str,
}

#[derive(Default)]
struct Outcome {
    arrivals: u32,
    wrongly_refused: u32,
    /// Number of requests and of refusals by organisation.
    refused: BTreeMap<&'static str, (u32, u32)>,
    excess: f64,
    messages: f64,
    bytes: f64,
}

fn exponential_delay(rng: &mut SimRng, mean: f64) -> Duration {
    let number = u32::try_from(rng.below(1 << 32)).unwrap_or(0);
    let unit = (f64::from(number) + 0.5) / 4_294_967_296.0;
    Duration::from_secs_f64(-unit.ln() * mean)
}

fn pick_vm(pattern: Pattern, time: Uptime, rng: &mut SimRng) -> usize {
    if pattern == Pattern::Skewed {
        return 0;
    }
    let vm = usize::try_from(rng.below(12)).unwrap_or(0);
    let lost = pattern == Pattern::VmLost && time >= WARM_UP + FAULT_START && vm == 0;
    if lost {
        pick_vm(pattern, time, rng)
    } else {
        vm
    }
}

/// Poisson arrivals. In the bursty pattern, each arrival is a whole burst that one VM receives within 100 ms.
fn schedule(pattern: Pattern, seed: u64) -> Vec<Arrival> {
    let mut rng = SimRng(seed);
    let mut arrivals = Vec::new();
    for (organisation, rate, burst) in ORGANISATIONS {
        let size = if pattern == Pattern::Bursty {
            burst.div_ceil(2)
        } else {
            1
        };
        let mean = f64::from(size) / (rate * LOAD);
        let mut time = WARM_UP;
        loop {
            // The organisation with one request per minute keeps at least that interval.
            let gap = if organisation == "minute" {
                Duration::from_mins(1) + exponential_delay(&mut rng, 5.0)
            } else {
                exponential_delay(&mut rng, mean)
            };
            time += gap;
            if time > WARM_UP + MEASURED {
                break;
            }
            let vm = pick_vm(pattern, time, &mut rng);
            for number in 0..size {
                let time = time + Duration::from_millis(100) * number / size;
                arrivals.push(Arrival {
                    time,
                    vm,
                    organisation,
                });
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.time);
    keep_within_rate(arrivals)
}

/// Drops the arrivals that a single bucket of the whole rate and burst would refuse, so that every refusal is wrong.
fn keep_within_rate(mut arrivals: Vec<Arrival>) -> Vec<Arrival> {
    let buckets = ORGANISATIONS.map(|(id, rate, burst)| {
        let share = Share::whole(rate, burst);
        (id, TokenBucket::full(share, Uptime::ZERO))
    });
    let mut buckets = BTreeMap::from(buckets);
    arrivals.retain(|arrival| {
        let bucket = buckets.get_mut(arrival.organisation);
        bucket.is_some_and(|bucket| bucket.take(arrival.time))
    });
    arrivals
}

fn apply_fault(fleet: &mut SimFleet, pattern: Pattern, time: Uptime) {
    match pattern {
        Pattern::VmLost if time == WARM_UP + FAULT_START => fleet.kill(0),
        Pattern::VmLost if time == WARM_UP + FAULT_START + DETECTION => {
            fleet.publish_members();
            fleet.list_vms();
        }
        Pattern::DomainCut if time == WARM_UP + FAULT_START => {
            fleet.partitioned.insert(2);
        }
        Pattern::DomainCut if time == WARM_UP + FAULT_END => fleet.partitioned.clear(),
        _ => {}
    }
}

fn fault_times() -> [Uptime; 3] {
    let start = WARM_UP + FAULT_START;
    [start, start + DETECTION, WARM_UP + FAULT_END]
}

fn run_slots(pattern: Pattern, seed: u64, config: &Arc<FleetConfig>) -> Outcome {
    let arrivals = schedule(pattern, seed);
    let mut fleet = SimFleet::new(DOMAINS, PER_DOMAIN, config, seed);
    fleet.run_until(WARM_UP);
    let (messages, bytes) = (fleet.loan_messages, fleet.loan_bytes);
    let mut faults = fault_times().into_iter().peekable();
    let mut labels = Vec::new();
    for arrival in &arrivals {
        while let Some(time) = faults.next_if(|time| *time <= arrival.time) {
            fleet.run_until(time);
            apply_fault(&mut fleet, pattern, time);
        }
        fleet.run_until(arrival.time);
        labels.push(fleet.request(arrival.vm, arrival.organisation));
    }
    fleet.run(Duration::from_secs(1));
    let seconds = MEASURED.as_secs_f64() * 12.0;
    let decisions = fleet.decisions.iter();
    let admitted: BTreeSet<u64> = decisions
        .filter(|decision| decision.admitted)
        .map(|decision| decision.label)
        .collect();
    let verdicts = labels
        .iter()
        .map(|label| label.is_some_and(|label| admitted.contains(&label)));
    let verdicts: Vec<bool> = verdicts.collect();
    Outcome {
        arrivals: count(arrivals.len()),
        wrongly_refused: count_refused(&verdicts),
        refused: by_organisation(&arrivals, &verdicts),
        excess: worst_excess(&fleet.decisions),
        messages: f64::from(fleet.loan_messages - messages) / seconds,
        bytes: f64::from(fleet.loan_bytes - bytes) / seconds,
    }
}

fn run_even(pattern: Pattern, seed: u64, config: &Arc<FleetConfig>) -> Outcome {
    let arrivals = schedule(pattern, seed);
    let mut buckets: Vec<EvenSplitBuckets> =
        (0..VMS).map(|_| EvenSplitBuckets::default()).collect();
    let mut decisions = Vec::new();
    let mut verdicts = Vec::new();
    for arrival in &arrivals {
        let id = OrganisationId::from(arrival.organisation);
        let spec = &config.organisations[&id];
        let vms = visible_vms(pattern, arrival);
        let verdict = buckets[arrival.vm].admit(&id, spec, vms, arrival.time);
        let admitted = verdict == RateVerdict::Admitted;
        verdicts.push(admitted);
        decisions.push(Decision {
            time: arrival.time,
            organisation: id,
            label: 0,
            admitted,
        });
    }
    Outcome {
        arrivals: count(arrivals.len()),
        wrongly_refused: count_refused(&verdicts),
        refused: by_organisation(&arrivals, &verdicts),
        excess: worst_excess(&decisions),
        ..Outcome::default()
    }
}

/// Number of VMs that the receiving VM sees as live, including itself.
fn visible_vms(pattern: Pattern, arrival: &Arrival) -> u32 {
    let since_fault = arrival.time.saturating_sub(WARM_UP + FAULT_START);
    let noticed = since_fault >= DETECTION;
    match pattern {
        Pattern::VmLost if noticed => 11,
        Pattern::DomainCut if noticed && arrival.time < WARM_UP + FAULT_END => {
            if arrival.vm % DOMAINS == 2 { 4 } else { 8 }
        }
        _ => 12,
    }
}

fn count_refused(verdicts: &[bool]) -> u32 {
    count(verdicts.iter().filter(|admitted| !**admitted).count())
}

/// Number of arrivals and of wrong refusals of each organisation.
fn by_organisation(arrivals: &[Arrival], verdicts: &[bool]) -> BTreeMap<&'static str, (u32, u32)> {
    let mut counts = BTreeMap::new();
    for (arrival, admitted) in arrivals.iter().zip(verdicts) {
        let entry: &mut (u32, u32) = counts.entry(arrival.organisation).or_default();
        entry.0 += 1;
        entry.1 += u32::from(!admitted);
    }
    counts
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn worst_excess(decisions: &[Decision]) -> f64 {
    let excesses = ORGANISATIONS.map(|(id, rate, burst)| excess(decisions, id, rate, burst));
    excesses.into_iter().fold(0.0, f64::max)
}

fn total(run: impl Fn(u64) -> Outcome) -> Outcome {
    let mut sum = Outcome::default();
    for outcome in (1..=SEEDS).map(u64::from).map(run) {
        sum.arrivals += outcome.arrivals;
        sum.wrongly_refused += outcome.wrongly_refused;
        for (organisation, (arrivals, refused)) in outcome.refused {
            let entry = sum.refused.entry(organisation).or_default();
            entry.0 += arrivals;
            entry.1 += refused;
        }
        sum.excess = sum.excess.max(outcome.excess);
        sum.messages += outcome.messages / f64::from(SEEDS);
        sum.bytes += outcome.bytes / f64::from(SEEDS);
    }
    sum
}

fn main() {
    let config = config(1, &ORGANISATIONS);
    println!(
        "pattern     limiter  arrivals  above bound  refused though within  loan msg/s/VM  B/s/VM"
    );
    let patterns = [
        Pattern::Balanced,
        Pattern::Skewed,
        Pattern::Bursty,
        Pattern::VmLost,
        Pattern::DomainCut,
    ];
    for pattern in patterns {
        let slots = total(|seed| run_slots(pattern, seed, &config));
        let even = total(|seed| run_even(pattern, seed, &config));
        for (name, outcome) in [("slots", slots), ("1/N", even)] {
            let share = 100.0 * f64::from(outcome.wrongly_refused) / f64::from(outcome.arrivals);
            let label = format!("{pattern:?}");
            println!(
                "{label:<11} {name:<7} {:>9} {:>12.2} {share:>21.3}% {:>14.1} {:>7.0}",
                outcome.arrivals,
                outcome.excess.max(0.0),
                outcome.messages,
                outcome.bytes
            );
            let parts = outcome
                .refused
                .iter()
                .map(|(organisation, (arrivals, refused))| {
                    format!("{organisation} {refused}/{arrivals}")
                });
            println!("            {}", parts.collect::<Vec<String>>().join(", "));
        }
    }
}
