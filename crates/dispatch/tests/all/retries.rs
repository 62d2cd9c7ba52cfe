//! Retry budget: retries are limited to a share of the recent requests.

use crate::harness::Harness;
use crate::support::{fleet, request};
use plantainmill_dispatch::CallOutcome::Failed;
use plantainmill_dispatch::TrafficClass::Online;
use plantainmill_dispatch::retry::RetryBudget;
use rstest::rstest;
use std::time::Duration;

/// Guards against retries that multiply the load while half of the targets fail. They must stay within 20% of requests.
#[rstest]
fn half_failing() {
    let mut harness = Harness::new(fleet(6, 8), &[("d0", "r0"); 3]);
    let failing = ["t0", "t1", "t2"];
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for step in 0..2_000_usize {
        let vm = step % 3;
        requests += 1;
        let mut call = harness.submit(vm, Online, "a");
        let mut excluded = Vec::new();
        loop {
            harness.run(Duration::from_millis(4));
            let Some(target) = harness.running.get(&call).cloned() else {
                break;
            };
            if !failing.contains(&target.as_str()) {
                harness.complete(call);
                break;
            }
            harness.finish(call, Failed);
            excluded.push(target);
            let mut retry = request(Online, "a", harness.now);
            retry.is_retry = true;
            retry.excluded.clone_from(&excluded);
            call = harness.acquire(vm, retry);
            retries += u32::from(!harness.refused.contains_key(&call));
        }
    }
    assert!(retries > 0);
    assert!(retries * 100 <= requests * 20, "{retries} of {requests}");
}

/// Guards against unlimited retries while targets fail too rarely to be ejected. All targets fail two of five calls, so
/// without a budget two of five requests would be retried.
#[rstest]
fn flaky_targets() {
    let mut harness = Harness::new(fleet(6, 8), &[("d0", "r0"); 3]);
    let (mut requests, mut retries, mut calls) = (0_u32, 0_u32, 0_u32);
    for step in 0..2_000_usize {
        let vm = step % 3;
        requests += 1;
        let mut call = harness.submit(vm, Online, "a");
        harness.run(Duration::from_millis(4));
        while harness.running.contains_key(&call) {
            calls += 1;
            if !matches!(calls % 5, 0 | 2) {
                harness.complete(call);
                break;
            }
            harness.finish(call, Failed);
            let mut retry = request(Online, "a", harness.now);
            retry.is_retry = true;
            call = harness.acquire(vm, retry);
            retries += u32::from(!harness.refused.contains_key(&call));
            harness.run(Duration::from_millis(4));
        }
    }
    assert!(retries * 100 >= requests * 15, "{retries} of {requests}");
    assert!(retries * 100 <= requests * 20, "{retries} of {requests}");
}

/// Guards against a budget that counts requests from before its time window.
#[rstest]
fn old_requests() {
    let mut budget = RetryBudget::default();
    let start = Duration::from_secs(100);
    for _ in 0..1_000 {
        budget.record_request(start);
    }
    assert!(budget.try_retry(20, start));
    let later = start + Duration::from_secs(11);
    let allowed = (0..100).filter(|_| budget.try_retry(20, later)).count();
    assert!(allowed <= 2, "{allowed}");
}

/// Guards against retries with a budget of zero.
#[rstest]
fn none_allowed() {
    let mut budget = RetryBudget::default();
    budget.record_request(Duration::ZERO);
    assert!(!budget.try_retry(0, Duration::ZERO));
}
