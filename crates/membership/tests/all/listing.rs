//! Rejoining, leaving and the VM list.

use crate::common::TestQueue;
use plantainmill_membership::MemberInput;
use plantainmill_membership::MemberState::{Dead, Leaving, Live};
use rstest::rstest;
use std::time::Duration;

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

fn settled(seed: u64) -> TestQueue {
    let mut queue = TestQueue::new(&[3, 3], seed);
    queue.run(Duration::from_secs(20));
    assert!(queue.all_hold(&ALL, &ALL, Live));
    queue
}

/// A VM replaced at the same address is live in its new incarnation everywhere, whether or not its death was seen.
#[rstest]
fn replaced_rejoins(#[values(1, 2)] seed: u64, #[values(0, 20)] gap: u64) {
    let mut queue = settled(seed);
    queue.nodes[2].running = false;
    queue.run(Duration::from_secs(gap));
    queue.replace(2, 2_000);
    queue.run(Duration::from_secs(40));
    assert!(queue.all_hold(&ALL, &ALL, Live));
    for viewer in [0, 1, 3, 4, 5] {
        let member = queue.member(viewer, 2).expect("it is known");
        assert_eq!(member.incarnation, 2_000);
    }
}

/// A stopping VM is leaving in its domain within 3 s, and dead soon after it stopped.
#[rstest]
fn leaving_known(#[values(1, 2)] seed: u64) {
    let mut queue = settled(seed);
    queue.feed(2, MemberInput::Leave);
    queue.run(Duration::from_secs(3));
    assert!(queue.all_hold(&[0, 1], &[2], Leaving));
    queue.nodes[2].running = false;
    queue.run(Duration::from_secs(15));
    assert!(queue.all_hold(&[0, 1], &[2], Dead));
}

/// A VM that the list dropped is pruned, and late records of it do not bring it back.
#[rstest]
fn dropped_pruned(#[values(1, 2)] seed: u64) {
    let mut queue = settled(seed);
    queue.nodes[2].running = false;
    queue.listed.retain(|index| *index != 2);
    queue.run(Duration::from_mins(3));
    for viewer in [0, 1, 3, 4, 5] {
        assert_eq!(queue.member(viewer, 2), None);
    }
}

/// A VM that the lagging list does not have yet is learnt from its own probes.
#[rstest]
fn unlisted_learnt(#[values(1, 2)] seed: u64) {
    let mut queue = TestQueue::new(&[3, 3], seed);
    queue.listed.retain(|index| *index != 2);
    queue.run(Duration::from_secs(40));
    assert!(queue.all_hold(&ALL, &ALL, Live));
}

/// An empty list is a fault of the platform and prunes nobody.
#[test]
fn empty_ignored() {
    let mut queue = settled(1);
    queue.listed.clear();
    queue.run(Duration::from_mins(3));
    assert!(queue.all_hold(&ALL, &ALL, Live));
    assert!(queue.nodes[0].table.counters().empty_lists > 0);
}

/// The time of a peer's check counts from this VM's own probe, so that a late answer never looks fresh.
#[rstest]
fn check_conservative(#[values(1, 2)] seed: u64) {
    let mut queue = settled(seed);
    let checked = queue.now;
    let input = MemberInput::Version {
        version: 4,
        checked_at: Some(checked),
    };
    queue.feed(0, input);
    queue.run(Duration::from_secs(20));
    let reports = queue.nodes[1..].iter().flat_map(|node| &node.versions);
    let times: Vec<_> = reports
        .filter(|report| report.version == 4)
        .filter_map(|report| report.checked_at)
        .collect();
    assert!(!times.is_empty());
    assert!(times.iter().all(|at| *at <= checked));
}

/// Records of this VM in a later incarnation are counted: two VMs use one id, or the clock went back.
#[test]
fn superseded_counted() {
    let mut queue = settled(1);
    queue.replace(2, 500);
    queue.run(Duration::from_secs(20));
    assert!(queue.nodes[2].table.counters().superseded > 0);
}

/// A VM that was never heard is looked for at the address that the list names now.
#[test]
fn address_followed() {
    let mut queue = TestQueue::new(&[2], 1);
    queue.nodes[1].running = false;
    queue.run(Duration::from_secs(1));
    queue.nodes[1].peer.address = ([127, 0, 0, 1], 9_999).into();
    queue.run(Duration::from_mins(3));
    let member = queue.member(0, 1).expect("it is listed");
    assert_eq!(member.peer.address.port(), 9_999);
}
