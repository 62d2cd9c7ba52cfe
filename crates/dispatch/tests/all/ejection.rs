//! Failing targets: ejection, floor, return.

use crate::harness::Harness;
use crate::support::fleet;
use plantainmill_dispatch::CallOutcome::Failed;
use plantainmill_dispatch::TrafficClass::Online;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Sends a request every 10 ms for `time`, ends each after 20 ms, and counts the calls per target.
fn drive(harness: &mut Harness, failing: &[&str], time: Duration) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    let end = harness.now + time;
    while harness.now < end {
        let call = harness.submit(0, Online, "a");
        harness.run(Duration::from_millis(10));
        let Some(target) = harness.running.get(&call).cloned() else {
            continue;
        };
        *counts.entry(target.to_string()).or_default() += 1;
        if failing.contains(&target.as_str()) {
            harness.finish(call, Failed);
        } else {
            harness.complete(call);
        }
    }
    counts
}

/// Guards against a failing target that keeps getting requests, and against one that never comes back.
#[rstest]
fn ejected_returns() {
    let mut harness = Harness::new(fleet(4, 8), &[("d0", "r0"); 2]);
    drive(&mut harness, &["t1"], Duration::from_secs(2));
    let counts = drive(&mut harness, &["t1"], Duration::from_secs(20));
    let failed = counts.get("t1").copied().unwrap_or(0);
    // Only probes, with growing pauses.
    assert!(failed <= 6, "{counts:?}");
    drive(&mut harness, &[], Duration::from_secs(31));
    let counts = drive(&mut harness, &[], Duration::from_secs(2));
    assert!(counts.get("t1").copied().unwrap_or(0) >= 10, "{counts:?}");
    assert_eq!(harness.nodes[0].counts().returned, 1);
}

/// Guards against a service without targets because all of them fail: at least half are never ejected.
#[rstest]
#[case(1, 0)]
#[case(2, 1)]
#[case(5, 2)]
#[case(6, 3)]
fn floor_kept(#[case] count: usize, #[case] most: u64) {
    let mut harness = Harness::new(fleet(count, 8), &[("d0", "r0")]);
    let all = ["t0", "t1", "t2", "t3", "t4", "t5"];
    drive(&mut harness, &all, Duration::from_secs(5));
    assert_eq!(harness.nodes[0].counts().ejected, most);
    assert!(harness.refused.is_empty());
}
