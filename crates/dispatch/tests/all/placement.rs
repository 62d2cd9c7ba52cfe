//! Target selection: distance, link budget and prefix affinity.

use crate::harness::{CallId, Harness};
use crate::support::{fleet, request, target_spec};
use plantainmill_config::FleetConfig;
use plantainmill_dispatch::TrafficClass::{Batch, Online};
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Targets relative to VM 0: t0 in the same domain, t1 in the same region, t2 in another region across the link.
fn spread_targets() -> FleetConfig {
    let mut config = fleet(1, 4);
    let targets = Arc::make_mut(&mut config.targets);
    targets.insert("t1".into(), target_spec(1, 4, "d1", "r0"));
    targets.insert("t2".into(), target_spec(2, 256, "d2", "r1"));
    config
}

const LOCATIONS: [(&str, &str); 3] = [("d0", "r0"), ("d1", "r0"), ("d2", "r1")];

/// Guards against requests that leave their domain or region while it has free slots.
#[rstest]
fn nearest_first() {
    let mut harness = Harness::new(spread_targets(), &LOCATIONS);
    // The link budget of a newly started VM is empty.
    harness.run(Duration::from_secs(1));
    let calls = (0..9).map(|_| {
        let call = harness.submit(0, Online, "a");
        harness.run(Duration::from_millis(10));
        harness.running[&call].clone()
    });
    let targets = calls.collect::<Vec<_>>();
    let order = targets
        .iter()
        .map(|target| target[1..].parse::<u32>().unwrap());
    assert!(order.is_sorted(), "{targets:?}");
    assert_eq!(targets[0], "t0");
    assert_eq!(targets[8], "t2");
}

/// Guards against more link traffic than the budget allows: the rate over the 5 s of the test plus a burst of one
/// second.
#[rstest]
fn link_budget() {
    let mut config = spread_targets();
    Arc::make_mut(&mut config.defaults).link_bytes_per_s = 100_000;
    let mut harness = Harness::new(config, &LOCATIONS);
    for _ in 0..500 {
        let mut large = request(Online, "a", harness.now);
        large.body_bytes = 16_000;
        harness.acquire(0, large);
        harness.run(Duration::from_millis(10));
    }
    let bytes = harness.nodes[0].counts().link_bytes;
    assert!(bytes > 0);
    assert!(bytes <= 100_000 * 6, "{bytes}");
}

/// Guards against batch requests that use the link while their region has targets.
#[rstest]
fn batch_avoids_link() {
    let mut harness = Harness::new(spread_targets(), &LOCATIONS);
    for _ in 0..40 {
        harness.submit(0, Batch, "a");
    }
    harness.run(Duration::from_secs(3));
    assert_eq!(harness.in_flight("t2"), 0);
}

fn submit_prefixed(harness: &mut Harness, prefix: u64) -> CallId {
    let mut prefixed = request(Online, "a", harness.now);
    prefixed.prefix_hash = Some(prefix);
    let call = harness.acquire(0, prefixed);
    harness.run(Duration::from_millis(10));
    call
}

/// Guards against requests with the same prompt prefix that go to different targets while all are idle.
#[rstest]
fn affinity_kept() {
    let mut harness = Harness::new(fleet(6, 16), &[("d0", "r0"); 3]);
    let mut targets = BTreeMap::new();
    for round in 0..10 {
        for prefix in 0..20 {
            let call = submit_prefixed(&mut harness, prefix);
            let target = harness.running[&call].clone();
            let first = targets.entry(prefix).or_insert_with(|| target.clone());
            assert_eq!(*first, target, "round {round}");
            harness.complete(call);
        }
    }
    let distinct = targets.values().collect::<std::collections::BTreeSet<_>>();
    assert!(distinct.len() >= 4);
}

/// Guards against a popular prefix that overloads its target. No target may exceed 1.25 times the mean load by more
/// than one request.
#[rstest]
fn affinity_bounded() {
    let mut harness = Harness::new(fleet(6, 32), &[("d0", "r0")]);
    for count in 1..=60_usize {
        submit_prefixed(&mut harness, 7);
        for target in ["t0", "t1", "t2", "t3", "t4", "t5"] {
            let load = harness.in_flight(target);
            assert!(load * 6 * 100 <= count * 125 + 600, "{load} of {count}");
        }
    }
}
