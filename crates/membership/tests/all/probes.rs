//! Probes, suspicion and refutation.

use crate::common::TestQueue;
use plantainmill_membership::MemberState::{Dead, Live};
use rstest::rstest;
use std::time::Duration;

const ALL: [usize; 8] = [0, 1, 2, 3, 4, 5, 6, 7];

fn settled(seed: u64) -> TestQueue {
    let mut queue = TestQueue::new(&[8], seed);
    queue.run(Duration::from_secs(10));
    queue
}

/// A VM that died is dead in all views within 12 s: a probe round, the suspicion and the spread.
#[rstest]
fn death_seen(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut queue = settled(seed);
    assert!(queue.all_hold(&ALL, &ALL, Live));
    queue.nodes[7].running = false;
    queue.run(Duration::from_secs(12));
    assert!(queue.all_hold(&ALL[..7], &[7], Dead));
    assert!(queue.all_hold(&ALL[..7], &ALL[..7], Live));
}

/// Lost and repeated messages must not make members dead.
#[rstest]
fn loss_harmless(#[values(1, 2, 3)] seed: u64) {
    let mut queue = settled(seed);
    queue.loss_percent = 5;
    queue.repeat_percent = 20;
    queue.run(Duration::from_mins(5));
    assert_eq!(queue.deaths(), 0);
}

/// One pair that cannot talk in one direction or both is bridged by the other members.
#[rstest]
fn pair_bridged(#[values(1, 2)] seed: u64, #[values(true, false)] both_ways: bool) {
    let mut queue = settled(seed);
    queue.cut_between(&[0], &[1]);
    if both_ways {
        queue.cut_between(&[1], &[0]);
    }
    queue.run(Duration::from_mins(2));
    assert_eq!(queue.deaths(), 0);
    assert!(queue.nodes[0].table.counters().indirect > 0);
}

/// A VM that was suspected while cut off for a moment refutes when it is back, and is never dead.
#[rstest]
fn suspicion_refuted(#[values(1, 2, 3)] seed: u64) {
    let mut queue = settled(seed);
    queue.cut_between(&[7], &ALL[..7]);
    queue.cut_between(&ALL[..7], &[7]);
    for _ in 0..100 {
        queue.run(crate::common::STEP);
        if queue.nodes[..7]
            .iter()
            .any(|node| node.table.counters().suspected > 0)
        {
            break;
        }
    }
    queue.cut.clear();
    queue.run(Duration::from_secs(10));
    assert!(queue.all_hold(&ALL, &ALL, Live));
    assert_eq!(queue.deaths(), 0);
    assert!(queue.nodes[7].table.counters().refuted > 0);
}

/// A paused VM finds out that it was paused, blames nobody for it, and is live again soon after.
#[rstest]
fn pause_survived(#[values(1, 2, 3)] seed: u64, #[values(2, 30)] seconds: u64) {
    let mut queue = settled(seed);
    queue.nodes[3].running = false;
    queue.run(Duration::from_secs(seconds));
    queue.nodes[3].running = true;
    queue.run(Duration::from_secs(20));
    assert!(queue.all_hold(&ALL, &ALL, Live));
    let counters = queue.nodes[3].table.counters();
    assert_eq!((counters.pauses, counters.died), (1, 0));
}
