//! Partitions inside a domain and between domains.

use crate::common::TestQueue;
use plantainmill_membership::MemberState::{Dead, Live};
use rstest::rstest;
use std::time::Duration;

const LEFT: [usize; 4] = [0, 1, 2, 3];
const RIGHT: [usize; 4] = [4, 5, 6, 7];
const ALL: [usize; 8] = [0, 1, 2, 3, 4, 5, 6, 7];

/// Which direction of a partition is cut.
#[derive(Clone, Copy, Debug)]
enum CutSide {
    LeftToRight,
    RightToLeft,
    Both,
}

fn cut(queue: &mut TestQueue, side: CutSide) {
    if matches!(side, CutSide::LeftToRight | CutSide::Both) {
        queue.cut_between(&LEFT, &RIGHT);
    }
    if matches!(side, CutSide::RightToLeft | CutSide::Both) {
        queue.cut_between(&RIGHT, &LEFT);
    }
}

/// A partition in the middle of a domain heals: within 40 s all VMs are live to each other again.
#[rstest]
fn domain_heals(
    #[values(1, 2)] seed: u64,
    #[values(CutSide::LeftToRight, CutSide::RightToLeft, CutSide::Both)] side: CutSide,
) {
    let mut queue = TestQueue::new(&[8], seed);
    queue.run(Duration::from_secs(10));
    cut(&mut queue, side);
    queue.run(Duration::from_mins(1));
    if matches!(side, CutSide::Both) {
        assert!(queue.all_hold(&LEFT, &RIGHT, Dead));
        assert!(queue.all_hold(&LEFT, &LEFT, Live));
    }
    queue.cut.clear();
    queue.run(Duration::from_secs(40));
    assert!(queue.all_hold(&ALL, &ALL, Live));
}

/// A domain that is cut off stays live in the views of others: they cannot tell it from a broken link.
#[rstest]
fn cut_domain(
    #[values(1, 2)] seed: u64,
    #[values(CutSide::LeftToRight, CutSide::RightToLeft, CutSide::Both)] side: CutSide,
) {
    let mut queue = TestQueue::new(&[4, 4], seed);
    queue.run(Duration::from_secs(20));
    cut(&mut queue, side);
    queue.run(Duration::from_mins(2));
    assert!(queue.all_hold(&ALL, &ALL, Live));
    assert_eq!(queue.deaths(), 0);
}

/// A death behind a cut reaches the other domain through the relays once the link is back.
#[rstest]
fn death_crosses(#[values(1, 2, 3)] seed: u64) {
    let mut queue = TestQueue::new(&[4, 4], seed);
    queue.run(Duration::from_secs(20));
    cut(&mut queue, CutSide::Both);
    queue.nodes[7].running = false;
    queue.run(Duration::from_secs(30));
    assert!(queue.all_hold(&LEFT, &[7], Live));
    queue.cut.clear();
    queue.run(Duration::from_secs(30));
    assert!(queue.all_hold(&LEFT, &[7], Dead));
}
