//! Network partitions inside a domain and between domains.

use crate::common::TestNetwork;
use plantainmill_membership::MemberState::{Dead, Live};
use rstest::rstest;
use std::time::Duration;

const LEFT: [usize; 4] = [0, 1, 2, 3];
const RIGHT: [usize; 4] = [4, 5, 6, 7];
const ALL: [usize; 8] = [0, 1, 2, 3, 4, 5, 6, 7];

/// Direction in which a partition drops messages.
#[derive(Clone, Copy, Debug)]
enum BlockedDirection {
    LeftToRight,
    RightToLeft,
    Both,
}

fn partition(network: &mut TestNetwork, direction: BlockedDirection) {
    if matches!(
        direction,
        BlockedDirection::LeftToRight | BlockedDirection::Both
    ) {
        network.block_links(&LEFT, &RIGHT);
    }
    if matches!(
        direction,
        BlockedDirection::RightToLeft | BlockedDirection::Both
    ) {
        network.block_links(&RIGHT, &LEFT);
    }
}

/// After a partition that splits a domain in half ends, all VMs see each other as live within 40 s.
#[rstest]
fn domain_heals(
    #[values(1, 2)] seed: u64,
    #[values(
        BlockedDirection::LeftToRight,
        BlockedDirection::RightToLeft,
        BlockedDirection::Both
    )]
    direction: BlockedDirection,
) {
    let mut network = TestNetwork::new(&[8], seed);
    network.run(Duration::from_secs(10));
    partition(&mut network, direction);
    network.run(Duration::from_mins(1));
    if matches!(direction, BlockedDirection::Both) {
        assert!(network.all_see(&LEFT, &RIGHT, Dead));
        assert!(network.all_see(&LEFT, &LEFT, Live));
    }
    network.blocked_links.clear();
    network.run(Duration::from_secs(40));
    assert!(network.all_see(&ALL, &ALL, Live));
}

/// A partitioned domain stays live in the views of other domains, which cannot distinguish it from a broken link.
#[rstest]
fn partitioned_domain_live(
    #[values(1, 2)] seed: u64,
    #[values(
        BlockedDirection::LeftToRight,
        BlockedDirection::RightToLeft,
        BlockedDirection::Both
    )]
    direction: BlockedDirection,
) {
    let mut network = TestNetwork::new(&[4, 4], seed);
    network.run(Duration::from_secs(20));
    partition(&mut network, direction);
    network.run(Duration::from_mins(2));
    assert!(network.all_see(&ALL, &ALL, Live));
    assert_eq!(network.deaths(), 0);
}

/// A death during a partition becomes known to the other domain through the relays once the partition ends.
#[rstest]
fn death_disseminated(#[values(1, 2, 3)] seed: u64) {
    let mut network = TestNetwork::new(&[4, 4], seed);
    network.run(Duration::from_secs(20));
    partition(&mut network, BlockedDirection::Both);
    network.nodes[7].running = false;
    network.run(Duration::from_secs(30));
    assert!(network.all_see(&LEFT, &[7], Live));
    network.blocked_links.clear();
    network.run(Duration::from_secs(30));
    assert!(network.all_see(&LEFT, &[7], Dead));
}
