//! Probes, suspicion and refutation.

use crate::common::TestNetwork;
use plantainmill_membership::MemberState::{Dead, Live};
use rstest::rstest;
use std::time::Duration;

const ALL: [usize; 8] = [0, 1, 2, 3, 4, 5, 6, 7];

fn settled_network(seed: u64) -> TestNetwork {
    let mut network = TestNetwork::new(&[8], seed);
    network.run(Duration::from_secs(10));
    network
}

/// All members see a failed VM as dead within 12 s, which covers a probe round, the suspicion and the dissemination.
#[rstest]
fn death_seen(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut network = settled_network(seed);
    assert!(network.all_see(&ALL, &ALL, Live));
    network.nodes[7].running = false;
    network.run(Duration::from_secs(12));
    assert!(network.all_see(&ALL[..7], &[7], Dead));
    assert!(network.all_see(&ALL[..7], &ALL[..7], Live));
}

/// Lost and duplicated messages must not cause members to be declared dead.
#[rstest]
fn message_loss_tolerated(#[values(1, 2, 3)] seed: u64) {
    let mut network = settled_network(seed);
    network.loss_percent = 5;
    network.duplicate_percent = 20;
    network.run(Duration::from_mins(5));
    assert_eq!(network.deaths(), 0);
}

/// Indirect probes compensate for a broken link between two members, in one or both directions.
#[rstest]
fn broken_link_tolerated(#[values(1, 2)] seed: u64, #[values(true, false)] both_ways: bool) {
    let mut network = settled_network(seed);
    network.block_links(&[0], &[1]);
    if both_ways {
        network.block_links(&[1], &[0]);
    }
    network.run(Duration::from_mins(2));
    assert_eq!(network.deaths(), 0);
    assert!(network.nodes[0].table.counters().indirect > 0);
}

/// A VM that becomes suspect during a short disconnection refutes the suspicion and is never declared dead.
#[rstest]
fn suspicion_refuted(#[values(1, 2, 3)] seed: u64) {
    let mut network = settled_network(seed);
    network.block_links(&[7], &ALL[..7]);
    network.block_links(&ALL[..7], &[7]);
    for _ in 0..100 {
        network.run(crate::common::STEP);
        if network.nodes[..7]
            .iter()
            .any(|node| node.table.counters().suspected > 0)
        {
            break;
        }
    }
    network.blocked_links.clear();
    network.run(Duration::from_secs(10));
    assert!(network.all_see(&ALL, &ALL, Live));
    assert_eq!(network.deaths(), 0);
    assert!(network.nodes[7].table.counters().refuted > 0);
}

/// A paused VM detects the pause, declares no other member dead because of it, and is soon seen as live again.
#[rstest]
fn pause_survived(#[values(1, 2, 3)] seed: u64, #[values(2, 30)] seconds: u64) {
    let mut network = settled_network(seed);
    network.nodes[3].running = false;
    network.run(Duration::from_secs(seconds));
    network.nodes[3].running = true;
    network.run(Duration::from_secs(20));
    assert!(network.all_see(&ALL, &ALL, Live));
    let counters = network.nodes[3].table.counters();
    assert_eq!((counters.pauses, counters.died), (1, 0));
}
