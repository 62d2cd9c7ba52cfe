//! Ejection of failing targets, the limit on ejected targets, and readmission.

use crate::harness::Harness;
use crate::support::fleet;
use plantainmill_dispatch::CallOutcome::Failed;
use plantainmill_dispatch::TrafficClass::Online;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Sends a request every 10 ms for `time`, ends each 10 ms after its submission, and returns the calls per target.
fn send_load(harness: &mut Harness, failing: &[&str], time: Duration) -> BTreeMap<String, usize> {
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

/// Guards against a failing target that keeps receiving requests, and against a recovered one that stays ejected.
#[rstest]
fn target_readmitted() {
    let mut harness = Harness::new(fleet(4, 8), &[("d0", "r0"); 2]);
    send_load(&mut harness, &["t1"], Duration::from_secs(2));
    let counts = send_load(&mut harness, &["t1"], Duration::from_secs(20));
    let failed = counts.get("t1").copied().unwrap_or(0);
    // An ejected target receives only probes, at increasing intervals.
    assert!(failed <= 6, "{counts:?}");
    send_load(&mut harness, &[], Duration::from_secs(31));
    let counts = send_load(&mut harness, &[], Duration::from_secs(2));
    assert!(counts.get("t1").copied().unwrap_or(0) >= 10, "{counts:?}");
    assert_eq!(harness.nodes[0].counts().returned, 1);
}

/// Guards against ejecting all targets of a service when all of them fail: at least half stay in use.
#[rstest]
#[case(1, 0)]
#[case(2, 1)]
#[case(5, 2)]
#[case(6, 3)]
fn ejections_limited(#[case] count: usize, #[case] max_ejected: u64) {
    let mut harness = Harness::new(fleet(count, 8), &[("d0", "r0")]);
    let all = ["t0", "t1", "t2", "t3", "t4", "t5"];
    send_load(&mut harness, &all, Duration::from_secs(5));
    assert_eq!(harness.nodes[0].counts().ejected, max_ejected);
    assert!(harness.refused.is_empty());
}
