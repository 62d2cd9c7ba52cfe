//! Replacement and departure of VMs, and the effect of the VM list.

use crate::common::TestNetwork;
use plantainmill_membership::MemberInput;
use plantainmill_membership::MemberState::{Dead, Leaving, Live};
use rstest::rstest;
use std::time::Duration;

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

fn settled_network(seed: u64) -> TestNetwork {
    let mut network = TestNetwork::new(&[3, 3], seed);
    network.run(Duration::from_secs(20));
    assert!(network.all_see(&ALL, &ALL, Live));
    network
}

/// A VM that was replaced under the same id is live in its new incarnation everywhere, whether or not its death was
/// detected before.
#[rstest]
fn replaced_rejoins(#[values(1, 2)] seed: u64, #[values(0, 20)] gap: u64) {
    let mut network = settled_network(seed);
    network.nodes[2].running = false;
    network.run(Duration::from_secs(gap));
    network.replace(2, 2_000);
    network.run(Duration::from_secs(40));
    assert!(network.all_see(&ALL, &ALL, Live));
    for viewer in [0, 1, 3, 4, 5] {
        let member = network.member(viewer, 2).expect("the replaced VM is known");
        assert_eq!(member.incarnation, 2_000);
    }
}

/// A stopping VM is seen as leaving by its domain within 3 s, and as dead soon after it has stopped.
#[rstest]
fn leaving_known(#[values(1, 2)] seed: u64) {
    let mut network = settled_network(seed);
    network.handle_input(2, MemberInput::Leave);
    network.run(Duration::from_secs(3));
    assert!(network.all_see(&[0, 1], &[2], Leaving));
    network.nodes[2].running = false;
    network.run(Duration::from_secs(15));
    assert!(network.all_see(&[0, 1], &[2], Dead));
}

/// A VM that is no longer in the VM list is pruned, and late records about it do not restore it.
#[rstest]
fn unlisted_pruned(#[values(1, 2)] seed: u64) {
    let mut network = settled_network(seed);
    network.nodes[2].running = false;
    network.listed.retain(|index| *index != 2);
    network.run(Duration::from_mins(3));
    for viewer in [0, 1, 3, 4, 5] {
        assert_eq!(network.member(viewer, 2), None);
    }
}

/// A VM that a stale VM list does not contain yet becomes known through its own probes.
#[rstest]
fn unlisted_discovered(#[values(1, 2)] seed: u64) {
    let mut network = TestNetwork::new(&[3, 3], seed);
    network.listed.retain(|index| *index != 2);
    network.run(Duration::from_secs(40));
    assert!(network.all_see(&ALL, &ALL, Live));
}

/// An empty VM list is a fault of the platform and prunes no member.
#[test]
fn empty_list_ignored() {
    let mut network = settled_network(1);
    network.listed.clear();
    network.run(Duration::from_mins(3));
    assert!(network.all_see(&ALL, &ALL, Live));
    assert!(network.nodes[0].table.counters().empty_lists > 0);
}

/// `checked_at` of a reported version is computed from the time this VM sent its probe. A delayed acknowledgement would
/// otherwise make the version of the peer look more recently checked than it was.
#[rstest]
fn checked_at_conservative(#[values(1, 2)] seed: u64) {
    let mut network = settled_network(seed);
    let checked = network.now;
    let input = MemberInput::Version {
        version: 4,
        checked_at: Some(checked),
    };
    network.handle_input(0, input);
    network.run(Duration::from_secs(20));
    let reports = network.nodes[1..].iter().flat_map(|node| &node.versions);
    let times: Vec<_> = reports
        .filter(|report| report.version == 4)
        .filter_map(|report| report.checked_at)
        .collect();
    assert!(!times.is_empty());
    assert!(times.iter().all(|at| *at <= checked));
}

/// Records of a VM with a later incarnation than its own are counted: two VMs use the same id, or the clock went back.
#[test]
fn superseded_counted() {
    let mut network = settled_network(1);
    network.replace(2, 500);
    network.run(Duration::from_secs(20));
    assert!(network.nodes[2].table.counters().superseded > 0);
}

/// The address of a VM that was never heard from follows the VM list.
#[test]
fn address_followed() {
    let mut network = TestNetwork::new(&[2], 1);
    network.nodes[1].running = false;
    network.run(Duration::from_secs(1));
    network.nodes[1].peer.address = ([127, 0, 0, 1], 9_999).into();
    network.run(Duration::from_mins(3));
    let member = network.member(0, 1).expect("the VM is listed");
    assert_eq!(member.peer.address.port(), 9_999);
}
