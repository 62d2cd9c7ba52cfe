//! Preemption of batch calls by online requests.

use crate::harness::{Harness, MESSAGE_DELAY};
use crate::support::{fleet, request};
use plantainmill_dispatch::TrafficClass::{Batch, Online};
use rstest::rstest;
use std::time::Duration;

const LOCATIONS: [(&str, &str); 4] = [("d0", "r0"); 4];

/// Guards against batch calls that keep slots while online requests wait, and against more preemptions than online
/// requests.
#[rstest]
fn batch_preempted() {
    let mut harness = Harness::new(fleet(2, 8), &LOCATIONS);
    for index in 0..40 {
        harness.submit(index % 4, Batch, "a");
    }
    harness.run(Duration::from_millis(20));
    let batch = harness.running.len();
    let start = harness.now;
    let online = (0..6).map(|index| harness.submit(index % 4, Online, "b"));
    let online = online.collect::<Vec<_>>();
    harness.run(MESSAGE_DELAY * 8);
    for call in &online {
        let waited = harness.granted_at[call].saturating_sub(start);
        assert!(waited <= MESSAGE_DELAY * 6, "waited {waited:?}");
    }
    assert!(harness.preempted.len() <= online.len());
    assert_eq!(
        harness.running.len(),
        batch - harness.preempted.len() + online.len()
    );
}

/// Guards against batch requests that are granted while online requests wait.
#[rstest]
fn online_before_batch() {
    let mut harness = Harness::new(fleet(1, 4), &LOCATIONS);
    let online = (0..4).map(|vm| harness.submit(vm, Online, "a"));
    let online = online.collect::<Vec<_>>();
    let waiting = (0..4).map(|vm| harness.submit(vm, Online, "b"));
    let waiting = waiting.collect::<Vec<_>>();
    let batch = (0..4).map(|vm| harness.submit(vm, Batch, "c"));
    let batch = batch.collect::<Vec<_>>();
    harness.run(MESSAGE_DELAY * 5);
    for call in online.iter().chain(&waiting) {
        harness.complete(*call);
        harness.run(MESSAGE_DELAY * 3);
        let waits = waiting
            .iter()
            .any(|call| !harness.granted_at.contains_key(call));
        let started = batch
            .iter()
            .any(|call| harness.granted_at.contains_key(call));
        assert!(!waits || !started);
    }
}

/// Guards against an online request that keeps waiting because a preemption message was lost. The owner must resend it.
#[rstest]
fn message_lost() {
    let mut harness = Harness::new(fleet(1, 4), &LOCATIONS);
    let owner = harness.owner_of("t0");
    let holder = (owner + 1) % 4;
    for _ in 0..8 {
        harness.submit(holder, Batch, "a");
    }
    harness.run(Duration::from_secs(1));
    harness.partitioned.insert(holder);
    // The initial window of a queue is half the configured concurrency.
    let online = (0..2).map(|_| harness.submit(owner, Online, "b"));
    let online = online.collect::<Vec<_>>();
    harness.run(Duration::from_millis(50));
    harness.partitioned.clear();
    harness.run(Duration::from_millis(400));
    assert!(
        online
            .iter()
            .all(|call| harness.granted_at.contains_key(call))
    );
    assert!(harness.in_flight("t0") <= 4);
}

/// Guards against batch calls that fill the slots reserved for online requests.
#[rstest]
fn reserve_kept() {
    let mut harness = Harness::new(fleet(4, 8), &LOCATIONS);
    for index in 0..80 {
        harness.submit(index % 4, Batch, "a");
    }
    harness.run(Duration::from_secs(2));
    let online = harness.submit(0, Online, "b");
    harness.run(MESSAGE_DELAY * 5);
    assert!(harness.running.contains_key(&online));
    assert!(harness.preempted.is_empty());
}

/// Guards against online requests that wait behind batch calls in the small window that a VM uses while the owner does
/// not respond.
#[rstest]
fn owner_silent() {
    let mut harness = Harness::new(fleet(1, 16), &LOCATIONS);
    let owner = harness.owner_of("t0");
    let gateway = (owner + 1) % 4;
    harness.partitioned.insert(owner);
    for _ in 0..8 {
        harness.submit(gateway, Batch, "a");
    }
    harness.run(Duration::from_secs(1));
    let online = [0, 1].map(|_| harness.submit(gateway, Online, "b"));
    harness.run(Duration::from_millis(60));
    assert!(
        online
            .iter()
            .all(|call| harness.granted_at.contains_key(call))
    );
    assert_eq!(harness.preempted.len(), 1);
    // Without the owner, each of the four VMs may use two of the 16 slots.
    assert_eq!(harness.in_flight("t0"), 2);
}

/// Guards against refusing online requests with a short deadline while batch calls fill the window. The estimated wait
/// must not count slots that can be preempted.
#[rstest]
fn short_deadline() {
    let mut harness = Harness::new(fleet(1, 8), &LOCATIONS);
    for index in 0..100 {
        harness.submit(index % 4, Batch, "a");
    }
    harness.run(Duration::from_millis(20));
    let calls = (0..4).map(|vm| {
        let mut urgent = request(Online, "b", harness.now);
        urgent.deadline = harness.now + Duration::from_millis(20);
        harness.acquire(vm, urgent)
    });
    let calls = calls.collect::<Vec<_>>();
    harness.run(MESSAGE_DELAY * 10);
    assert!(harness.refused.is_empty(), "{:?}", harness.refused);
    assert!(
        calls
            .iter()
            .all(|call| harness.granted_at.contains_key(call))
    );
}
