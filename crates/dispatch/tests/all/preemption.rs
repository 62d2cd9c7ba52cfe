//! Batch work gives way to online requests.

use crate::harness::{DELAY, Harness};
use crate::support::{fleet, request};
use plantainmill_dispatch::TrafficClass::{Batch, Online};
use rstest::rstest;
use std::time::Duration;

const DOMAIN: [(&str, &str); 4] = [("d0", "r0"); 4];

/// Guards against batch work that keeps slots which online requests wait for, and against more preemptions than
/// online arrivals.
#[rstest]
fn batch_yields() {
    let mut harness = Harness::new(fleet(2, 8), &DOMAIN);
    for index in 0..40 {
        harness.submit(index % 4, Batch, "a");
    }
    harness.run(Duration::from_millis(20));
    let batch = harness.running.len();
    let start = harness.now;
    let online = (0..6).map(|index| harness.submit(index % 4, Online, "b"));
    let online = online.collect::<Vec<_>>();
    harness.run(DELAY * 8);
    for call in &online {
        let waited = harness.granted_at[call].saturating_sub(start);
        assert!(waited <= DELAY * 6, "waited {waited:?}");
    }
    assert!(harness.preempted.len() <= online.len());
    assert_eq!(
        harness.running.len(),
        batch - harness.preempted.len() + online.len()
    );
}

/// Guards against new batch tickets while online requests wait.
#[rstest]
fn batch_stopped() {
    let mut harness = Harness::new(fleet(1, 4), &DOMAIN);
    let online = (0..4).map(|vm| harness.submit(vm, Online, "a"));
    let online = online.collect::<Vec<_>>();
    let waiting = (0..4).map(|vm| harness.submit(vm, Online, "b"));
    let waiting = waiting.collect::<Vec<_>>();
    let batch = (0..4).map(|vm| harness.submit(vm, Batch, "c"));
    let batch = batch.collect::<Vec<_>>();
    harness.run(DELAY * 5);
    for call in online.iter().chain(&waiting) {
        harness.complete(*call);
        harness.run(DELAY * 3);
        let waits = waiting
            .iter()
            .any(|call| !harness.granted_at.contains_key(call));
        let started = batch
            .iter()
            .any(|call| harness.granted_at.contains_key(call));
        assert!(!waits || !started);
    }
}

/// Guards against a lost preemption message that leaves an online request waiting: it is sent again.
#[rstest]
fn message_lost() {
    let mut harness = Harness::new(fleet(1, 4), &DOMAIN);
    let owner = harness.owner_of("t0");
    let holder = (owner + 1) % 4;
    for _ in 0..8 {
        harness.submit(holder, Batch, "a");
    }
    harness.run(Duration::from_secs(1));
    harness.cut.insert(holder);
    // The window of a new queue is half of the concurrency.
    let online = (0..2).map(|_| harness.submit(owner, Online, "b"));
    let online = online.collect::<Vec<_>>();
    harness.run(Duration::from_millis(50));
    harness.cut.clear();
    harness.run(Duration::from_millis(400));
    assert!(
        online
            .iter()
            .all(|call| harness.granted_at.contains_key(call))
    );
    assert!(harness.in_flight("t0") <= 4);
}

/// Guards against batch work that fills the slots kept for online arrivals.
#[rstest]
fn reserve_kept() {
    let mut harness = Harness::new(fleet(4, 8), &DOMAIN);
    for index in 0..80 {
        harness.submit(index % 4, Batch, "a");
    }
    harness.run(Duration::from_secs(2));
    let online = harness.submit(0, Online, "b");
    harness.run(DELAY * 5);
    assert!(harness.running.contains_key(&online));
    assert!(harness.preempted.is_empty());
}

/// Guards against batch work that holds the small window of a VM whose owner does not answer, while online requests
/// wait there.
#[rstest]
fn owner_silent() {
    let mut harness = Harness::new(fleet(1, 16), &DOMAIN);
    let owner = harness.owner_of("t0");
    let gateway = (owner + 1) % 4;
    harness.cut.insert(owner);
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
    // Two of 16 slots for each of four VMs.
    assert_eq!(harness.in_flight("t0"), 2);
}

/// Guards against online requests with a short deadline that are refused because batch work fills the window: the
/// expected wait must not count slots that give way.
#[rstest]
fn short_deadline() {
    let mut harness = Harness::new(fleet(1, 8), &DOMAIN);
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
    harness.run(DELAY * 10);
    assert!(harness.refused.is_empty(), "{:?}", harness.refused);
    assert!(
        calls
            .iter()
            .all(|call| harness.granted_at.contains_key(call))
    );
}
