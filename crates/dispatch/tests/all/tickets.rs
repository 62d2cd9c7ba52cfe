//! Tickets: grants, reuse, expiry, and loss of owners or holders.

use crate::harness::{Harness, MESSAGE_DELAY};
use crate::support::{fleet, request};
use plantainmill_core::ResultCode;
use plantainmill_dispatch::TrafficClass::{Batch, Online};
use plantainmill_membership::MemberState;
use rstest::rstest;
use std::time::Duration;

const LOCATIONS: [(&str, &str); 4] = [("d0", "r0"); 4];

/// Guards against a round trip to the owner for every request under light load.
#[rstest]
fn standing_reused() {
    let mut harness = Harness::new(fleet(1, 8), &LOCATIONS);
    let gateway = (harness.owner_of("t0") + 1) % 4;
    let first = harness.submit(gateway, Online, "a");
    harness.run(MESSAGE_DELAY * 3);
    harness.complete(first);
    let sent = harness.nodes[gateway].counts().messages_sent;
    let second = harness.submit(gateway, Online, "a");
    assert!(harness.running.contains_key(&second));
    assert_eq!(harness.nodes[gateway].counts().messages_sent, sent);
}

/// Guards against slots that stay lost with the VM that held their tickets. They must be usable again when the tickets
/// have expired.
#[rstest]
fn holder_lost() {
    let mut harness = Harness::new(fleet(1, 4), &LOCATIONS);
    let owner = harness.owner_of("t0");
    let lost = (owner + 1) % 4;
    let gateway = (owner + 2) % 4;
    for _ in 0..4 {
        harness.submit(lost, Online, "a");
    }
    harness.run(Duration::from_millis(10));
    assert!(harness.in_flight("t0") >= 2);
    harness.states[lost] = MemberState::Dead;
    harness.running.clear();
    harness.run(Duration::from_secs(3));
    let calls = [0, 1].map(|_| harness.submit(gateway, Online, "b"));
    harness.run(Duration::from_millis(10));
    assert!(calls.iter().all(|call| harness.running.contains_key(call)));
}

/// Guards against requests that hang when the owner is lost while tickets are held. Each VM must continue with a small
/// window of its own, and all VMs together must stay within the in-flight limit.
#[rstest]
fn owner_lost() {
    let mut harness = Harness::new(fleet(2, 8), &LOCATIONS);
    let owner = harness.owner_of("t0");
    let gateways = (0..4).filter(|vm| *vm != owner).collect::<Vec<_>>();
    let mut early = Vec::new();
    for vm in &gateways {
        early.push(harness.submit(*vm, Online, "a"));
    }
    harness.run(Duration::from_millis(10));
    harness.states[owner] = MemberState::Dead;
    let states = vec![MemberState::Live; 4];
    for vm in &gateways {
        harness.publish_view(*vm, &states);
        harness.submit(*vm, Online, "a");
    }
    harness.run(Duration::from_millis(200));
    let granted = harness.granted_at.len();
    assert_eq!(granted, 6, "{:?}", harness.refused);
    assert!(harness.in_flight("t0") <= 8);
    harness.publish();
    for call in early {
        harness.complete(call);
    }
    let late = harness.submit(gateways[0], Online, "a");
    harness.run(Duration::from_millis(20));
    assert!(harness.running.contains_key(&late));
}

/// Guards against unbounded grants while two VMs both act as owner. Each must stay within its window, load reports let
/// the first owner account for the calls of the second, and the limit must hold again once the member views agree.
#[rstest]
fn owners_disagree() {
    let mut harness = Harness::new(fleet(1, 8), &LOCATIONS);
    let owner = harness.owner_of("t0");
    let gateway = (owner + 1) % 4;
    // Only this VM sees the owner as dead.
    let mut states = vec![MemberState::Live; 4];
    states[owner] = MemberState::Dead;
    harness.publish_view(gateway, &states);
    for _ in 0..20 {
        for vm in 0..4 {
            harness.submit(vm, Online, "a");
        }
    }
    harness.run(Duration::from_millis(50));
    assert!(harness.in_flight("t0") <= 16);
    harness.publish();
    let running = harness.running.keys().copied().collect::<Vec<_>>();
    for call in running {
        harness.complete(call);
    }
    harness.run(Duration::from_millis(50));
    assert!(harness.in_flight("t0") <= 8);
}

/// Guards against a partitioned domain that stops serving. It must use its own targets.
#[rstest]
fn domain_partitioned() {
    let mut config = fleet(2, 8);
    let spec = crate::support::target_spec(2, 8, "d1", "r0");
    std::sync::Arc::make_mut(&mut config.targets).insert("t2".into(), spec);
    let locations = [("d0", "r0"), ("d0", "r0"), ("d1", "r0")];
    let mut harness = Harness::new(config, &locations);
    harness.partitioned.insert(2);
    let near = harness.submit(0, Online, "a");
    let isolated = harness.submit(2, Online, "a");
    harness.run(Duration::from_millis(10));
    assert_ne!(harness.running[&near], "t2");
    assert_eq!(harness.running[&isolated], "t2");
    // Requests beyond the window of the partitioned domain must not wait for owners that it cannot reach.
    for _ in 0..20 {
        harness.submit(2, Online, "a");
    }
    harness.run(Duration::from_secs(3));
    assert!(harness.in_flight("t2") <= 8);
    assert!(
        harness
            .refused
            .values()
            .all(|problem| problem.retry_after.is_some())
    );
    assert_eq!(harness.running.len() + harness.refused.len(), 22);
}

/// Guards against slots that are counted twice when messages are duplicated.
#[rstest]
fn messages_repeated() {
    let mut harness = Harness::new(fleet(1, 8), &LOCATIONS);
    harness.delivery_count = 3;
    for round in 0..50 {
        let calls = [0, 1, 2, 3].map(|vm| harness.submit(vm, Online, "a"));
        harness.run(Duration::from_millis(20));
        for call in calls {
            assert!(harness.running.contains_key(&call), "round {round}");
            harness.complete(call);
        }
    }
    harness.run(Duration::from_secs(4));
    let owner = harness.owner_of("t0");
    let dump = harness.nodes[owner].dump(harness.now);
    let standing = (0..4).map(|vm| {
        let dump = harness.nodes[vm].dump(harness.now);
        dump["targets"]["t0"]["standing"].as_u64().unwrap()
    });
    assert_eq!(
        dump["queues"]["t0"]["tickets"].as_u64().unwrap(),
        standing.sum::<u64>()
    );
}

/// Guards against the use of expired standing tickets while the owner is unreachable.
#[rstest]
fn ticket_expired() {
    let mut harness = Harness::new(fleet(1, 8), &LOCATIONS);
    let owner = harness.owner_of("t0");
    let gateway = (owner + 1) % 4;
    let first = harness.submit(gateway, Online, "a");
    harness.run(MESSAGE_DELAY * 3);
    harness.complete(first);
    harness.partitioned.insert(owner);
    harness.run(Duration::from_secs(4));
    let used = harness.nodes[gateway].counts().standing_used;
    harness.submit(gateway, Online, "a");
    assert_eq!(harness.nodes[gateway].counts().standing_used, used);
    assert_eq!(harness.nodes[gateway].counts().unticketed, 1);
}

/// Guards against delayed refusals. The response must arrive within one round trip.
#[rstest]
fn refused_early() {
    let mut harness = Harness::new(fleet(1, 2), &LOCATIONS);
    let owner = harness.owner_of("t0");
    let mut calls = Vec::new();
    for _ in 0..40 {
        calls.push(harness.submit((owner + 1) % 4, Online, "a"));
    }
    harness.run(MESSAGE_DELAY * 3);
    assert!(!harness.refused.is_empty());
    for problem in harness.refused.values() {
        assert_eq!(problem.code, ResultCode::QueueFull);
        assert!(problem.retry_after.is_some_and(|delay| !delay.is_zero()));
    }
    let mut late = request(Online, "b", harness.now);
    late.deadline = harness.now + Duration::from_millis(1);
    let late = harness.acquire(owner, late);
    assert!(harness.refused.contains_key(&late));
}

/// Guards against online requests that wait behind a batch queue, whatever its length.
#[rstest]
#[case(10)]
#[case(400)]
fn batch_queued(#[case] length: usize) {
    let mut harness = Harness::new(fleet(1, 8), &LOCATIONS);
    for index in 0..length {
        harness.submit(index % 4, Batch, "a");
    }
    harness.run(Duration::from_millis(20));
    for vm in 0..4 {
        let online = harness.submit(vm, Online, "b");
        let start = harness.now;
        harness.run(Duration::from_millis(10));
        let waited = harness.granted_at[&online].saturating_sub(start);
        // Ask, preemption, release and grant are one message each.
        assert!(waited <= MESSAGE_DELAY * 5, "waited {waited:?}");
    }
}
