//! Spread of changes over lossy, cut, paused and replaced VMs.

use crate::queue::{ReplicaQueue, TestReplica, put_organisation};
use plantainmill_config::{ConfigInput, ConfigMessage};
use plantainmill_fakes::PlatformFault;
use rstest::rstest;
use std::time::Duration;

const LEFT: [usize; 3] = [0, 1, 2];
const RIGHT: [usize; 3] = [3, 4, 5];

/// The bar for a change in force on every reachable VM.
const BAR: Duration = Duration::from_secs(3);

fn cut_between(queue: &mut ReplicaQueue, from: &[usize], to: &[usize]) {
    for sender in from {
        queue
            .cut
            .extend(to.iter().map(|receiver| (*sender, *receiver)));
    }
}

fn change_all(queue: &mut ReplicaQueue, count: u32) {
    for number in 0..count {
        queue.change(0, put_organisation(&format!("org{number}"), 1.0));
    }
}

/// A push reaches all VMs within the bar, without digests or polls.
#[test]
fn push_spreads() {
    let mut queue = ReplicaQueue::new(6, 1);
    queue.digests = false;
    change_all(&mut queue, 1);
    queue.run(BAR);
    queue.assert_agreed(1);
}

/// Lost, repeated and reordered deltas are repaired from peers while the store is down.
#[rstest]
fn disorder_repaired(#[values(1, 2, 3, 4)] seed: u64, #[values(0, 20, 60)] loss: u32) {
    let mut queue = ReplicaQueue::new(6, seed);
    queue.loss_percent = loss;
    queue.repeat_percent = 50;
    change_all(&mut queue, 30);
    queue.platform.set_fault(PlatformFault::Down);
    queue.run(Duration::from_secs(30));
    queue.assert_agreed(30);
}

/// Which direction of a partition is cut.
#[derive(Clone, Copy, Debug)]
enum CutSide {
    LeftToRight,
    RightToLeft,
    Both,
}

/// A domain that is cut off from the accepting VM but not from the store follows within the bar, by what its
/// poller reads and forwards.
#[rstest]
fn partition_heals(
    #[values(1, 2)] seed: u64,
    #[values(CutSide::LeftToRight, CutSide::RightToLeft, CutSide::Both)] side: CutSide,
) {
    let mut queue = ReplicaQueue::new(6, seed);
    if matches!(side, CutSide::LeftToRight | CutSide::Both) {
        cut_between(&mut queue, &LEFT, &RIGHT);
    }
    if matches!(side, CutSide::RightToLeft | CutSide::Both) {
        cut_between(&mut queue, &RIGHT, &LEFT);
    }
    queue.pollers = vec![0, 3];
    queue.run(BAR);
    change_all(&mut queue, 3);
    queue.run(BAR);
    queue.assert_agreed(3);
    queue.cut.clear();
    change_all(&mut queue, 1);
    queue.run(Duration::from_secs(5));
    queue.assert_agreed(4);
}

/// A part that is cut off from both the store and the other part keeps its version, and its check grows old.
#[test]
fn cut_off_ages() {
    let mut queue = ReplicaQueue::new(6, 1);
    change_all(&mut queue, 1);
    queue.run(Duration::from_secs(10));
    cut_between(&mut queue, &LEFT, &RIGHT);
    cut_between(&mut queue, &RIGHT, &LEFT);
    let cut_at = queue.now;
    change_all(&mut queue, 1);
    queue.run(Duration::from_mins(2));
    for index in RIGHT {
        assert_eq!(queue.version(index), 1);
        assert!(queue.nodes[index].checked.is_some_and(|at| at <= cut_at));
    }
    let fresh = queue.now.saturating_sub(Duration::from_secs(15));
    for index in LEFT {
        assert!(queue.nodes[index].checked.is_some_and(|at| at >= fresh));
    }
}

/// A VM replaced while pushes are on their way starts empty and ends at the newest version.
#[rstest]
fn replaced_midway(#[values(1, 2, 3)] seed: u64, #[values(true, false)] store: bool) {
    let mut queue = ReplicaQueue::new(6, seed);
    change_all(&mut queue, 5);
    queue.run(Duration::from_millis(100));
    queue.nodes[4] = TestReplica::default();
    if !store {
        queue.platform.set_fault(PlatformFault::Down);
    }
    queue.run(Duration::from_secs(10));
    queue.assert_agreed(5);
}

/// A paused VM has missed everything, catches up, and takes no old answer for a recent check.
#[rstest]
fn paused_catches_up(#[values(1, 2)] seed: u64) {
    let mut queue = ReplicaQueue::new(6, seed);
    change_all(&mut queue, 1);
    queue.run(BAR);
    queue.nodes[5].paused = true;
    let checked = queue.nodes[5].checked;
    change_all(&mut queue, 4);
    queue.run(Duration::from_mins(1));
    queue.nodes[5].paused = false;
    assert_eq!(queue.nodes[5].checked, checked);
    queue.run(Duration::from_secs(10));
    queue.assert_agreed(5);
}

/// An entry of another history with the right version number is refused, and so is a lower version.
#[test]
fn foreign_history() {
    let mut queue = ReplicaQueue::new(2, 1);
    change_all(&mut queue, 2);
    queue.run(BAR);
    let mut entry = queue.change(0, put_organisation("kandy", 1.0));
    entry.parent = "another".into();
    entry.change.edits = vec![put_organisation("intruder", 1.0)];
    let message = ConfigMessage::Push { entry };
    let from = "vm0".into();
    queue.feed(1, ConfigInput::Received { from, message });
    assert_eq!(queue.version(1), 2);
    assert_eq!(queue.nodes[1].replica.counters().forked, 1);
    queue.run(BAR);
    queue.assert_agreed(3);
    let snapshot = ReplicaQueue::new(1, 1).nodes[0].replica.snapshot();
    queue.feed(1, ConfigInput::SnapshotRead { snapshot });
    queue.assert_agreed(3);
}
