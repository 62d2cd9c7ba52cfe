//! Propagation of changes under message loss and partitions, and to paused and replaced VMs.

use crate::network::{SimulatedNetwork, TestReplica, put_organisation};
use plantainmill_config::{ConfigInput, ConfigMessage};
use plantainmill_fakes::PlatformFault;
use rstest::rstest;
use std::time::Duration;

const LEFT: [usize; 3] = [0, 1, 2];
const RIGHT: [usize; 3] = [3, 4, 5];

/// Time within which a change has to be in force on every reachable VM.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

fn cut_between(network: &mut SimulatedNetwork, from: &[usize], to: &[usize]) {
    for sender in from {
        network
            .cut_links
            .extend(to.iter().map(|receiver| (*sender, *receiver)));
    }
}

fn change_all(network: &mut SimulatedNetwork, count: u32) {
    for number in 0..count {
        network.change(0, put_organisation(&format!("org{number}"), 1.0));
    }
}

/// A push alone brings all VMs to the new version in time, without digests.
#[test]
fn push_spreads() {
    let mut network = SimulatedNetwork::new(6, 1);
    network.digests_enabled = false;
    change_all(&mut network, 1);
    network.run(PROPAGATION_LIMIT);
    network.assert_agreed(1);
}

/// Replicas recover lost, duplicated and reordered pushes from their peers while the store is down.
#[rstest]
fn lost_pushes_recovered(#[values(1, 2, 3, 4)] seed: u64, #[values(0, 20, 60)] loss: u32) {
    let mut network = SimulatedNetwork::new(6, seed);
    network.loss_percent = loss;
    network.duplicate_percent = 50;
    change_all(&mut network, 30);
    network.platform.set_fault(PlatformFault::Down);
    network.run(Duration::from_secs(30));
    network.assert_agreed(30);
}

/// Direction in which a partition drops messages.
#[derive(Clone, Copy, Debug)]
enum CutDirection {
    LeftToRight,
    RightToLeft,
    Both,
}

/// A failure domain that is partitioned from the VM that accepts changes, but not from the store, gets them in time:
/// its poller reads them from the log and forwards them.
#[rstest]
fn partition_heals(
    #[values(1, 2)] seed: u64,
    #[values(
        CutDirection::LeftToRight,
        CutDirection::RightToLeft,
        CutDirection::Both
    )]
    side: CutDirection,
) {
    let mut network = SimulatedNetwork::new(6, seed);
    if matches!(side, CutDirection::LeftToRight | CutDirection::Both) {
        cut_between(&mut network, &LEFT, &RIGHT);
    }
    if matches!(side, CutDirection::RightToLeft | CutDirection::Both) {
        cut_between(&mut network, &RIGHT, &LEFT);
    }
    network.pollers = vec![0, 3];
    network.run(PROPAGATION_LIMIT);
    change_all(&mut network, 3);
    network.run(PROPAGATION_LIMIT);
    network.assert_agreed(3);
    network.cut_links.clear();
    change_all(&mut network, 1);
    network.run(Duration::from_secs(5));
    network.assert_agreed(4);
}

/// VMs that are partitioned from both the store and the other VMs keep their version, and their last check does not
/// advance.
#[test]
fn isolated_check_ages() {
    let mut network = SimulatedNetwork::new(6, 1);
    change_all(&mut network, 1);
    network.run(Duration::from_secs(10));
    cut_between(&mut network, &LEFT, &RIGHT);
    cut_between(&mut network, &RIGHT, &LEFT);
    let cut_at = network.now;
    change_all(&mut network, 1);
    network.run(Duration::from_mins(2));
    for index in RIGHT {
        assert_eq!(network.version(index), 1);
        assert!(network.vms[index].checked.is_some_and(|at| at <= cut_at));
    }
    let fresh = network.now.saturating_sub(Duration::from_secs(15));
    for index in LEFT {
        assert!(network.vms[index].checked.is_some_and(|at| at >= fresh));
    }
}

/// A VM that is replaced while pushes are in flight starts empty and catches up to the newest version, from peers if
/// the store is down.
#[rstest]
fn vm_replaced(#[values(1, 2, 3)] seed: u64, #[values(true, false)] store: bool) {
    let mut network = SimulatedNetwork::new(6, seed);
    change_all(&mut network, 5);
    network.run(Duration::from_millis(100));
    network.vms[4] = TestReplica::default();
    if !store {
        network.platform.set_fault(PlatformFault::Down);
    }
    network.run(Duration::from_secs(10));
    network.assert_agreed(5);
}

/// A VM that was paused while changes were committed catches up, and does not count responses from before the pause as
/// a recent check.
#[rstest]
fn paused_catches_up(#[values(1, 2)] seed: u64) {
    let mut network = SimulatedNetwork::new(6, seed);
    change_all(&mut network, 1);
    network.run(PROPAGATION_LIMIT);
    network.vms[5].paused = true;
    let checked = network.vms[5].checked;
    change_all(&mut network, 4);
    network.run(Duration::from_mins(1));
    network.vms[5].paused = false;
    assert_eq!(network.vms[5].checked, checked);
    network.run(Duration::from_secs(10));
    network.assert_agreed(5);
}

/// An entry of a diverged history with the next version number is refused, and so is a snapshot of a lower version.
#[test]
fn foreign_history() {
    let mut network = SimulatedNetwork::new(2, 1);
    change_all(&mut network, 2);
    network.run(PROPAGATION_LIMIT);
    let mut entry = network.change(0, put_organisation("kandy", 1.0));
    entry.parent = "another".into();
    entry.change.edits = vec![put_organisation("intruder", 1.0)];
    let message = ConfigMessage::Push { entry };
    let from = "vm0".into();
    network.handle_input(1, ConfigInput::Received { from, message });
    assert_eq!(network.version(1), 2);
    assert_eq!(network.vms[1].replica.counters().forked, 1);
    network.run(PROPAGATION_LIMIT);
    network.assert_agreed(3);
    let snapshot = SimulatedNetwork::new(1, 1).vms[0].replica.snapshot();
    network.handle_input(1, ConfigInput::SnapshotRead { snapshot });
    network.assert_agreed(3);
}
