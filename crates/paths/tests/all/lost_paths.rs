//! When paths count as lost, and when they count as open again.

use crate::support::{address, lose, millis, table, target};
use plantainmill_core::RegionSet;
use plantainmill_paths::{
    ForwardResult, Forwarder, ForwarderPlace, PathEvent, PathTable, SendRoute,
};
use rstest::rstest;

fn with_forwarder(mut table: PathTable) -> PathTable {
    let forwarder = Forwarder {
        address: address(900),
        place: ForwarderPlace::Local,
        region: None,
    };
    table.set_forwarders([forwarder].into_iter(), millis(0));
    table
}

/// Guards against requests that go on to a target to which connects fail, and against others that leave their path.
#[test]
fn single_loss() {
    let mut table = with_forwarder(table(18));
    assert_eq!(
        lose(&mut table, 0..1, millis(0)),
        [PathEvent::Lost(target(0))]
    );
    assert_eq!(
        table.route(&target(0), &RegionSet::Everywhere, millis(1)),
        SendRoute::Forwarded
    );
    assert_eq!(
        table.route(&target(1), &RegionSet::Everywhere, millis(1)),
        SendRoute::Direct
    );
    assert_eq!(
        table.record_connected(&target(0), millis(600)),
        [PathEvent::Restored(target(0))]
    );
    assert_eq!(
        table.route(&target(0), &RegionSet::Everywhere, millis(601)),
        SendRoute::Direct
    );
}

/// Guards against a second of each caller's time per target while a VM has lost all paths.
#[rstest]
#[case::few_targets(2, 2)]
#[case::many_targets(18, 3)]
#[case::most_targets(4_200, 3)]
fn all_lost(#[case] targets: usize, #[case] needed: usize) {
    let mut table = with_forwarder(table(targets));
    lose(&mut table, 0..needed - 1, millis(0));
    assert!(!table.is_isolated(millis(1)));
    let events = lose(&mut table, needed - 1..needed, millis(300));
    assert!(events.contains(&PathEvent::Isolated));
    for number in 0..targets {
        assert_eq!(
            table.route(&target(number), &RegionSet::Everywhere, millis(301)),
            SendRoute::Forwarded
        );
    }
}

/// Guards against a VM that counts as isolated though a path was found open in between, or after losses that are far apart.
#[test]
fn spread_losses() {
    let mut table = with_forwarder(table(18));
    lose(&mut table, 0..2, millis(0));
    table.record_connected(&target(9), millis(100));
    lose(&mut table, 2..4, millis(200));
    assert!(!table.is_isolated(millis(201)));
    lose(&mut table, 4..5, millis(2_300));
    assert!(!table.is_isolated(millis(2_301)));
}

/// Guards against a VM that stays isolated when one of its paths is open: the first probe goes to a target that no connect has
/// failed to.
#[test]
fn partial_loss() {
    let mut table = with_forwarder(table(18));
    lose(&mut table, 0..3, millis(0));
    let (probed, _) = table.next_probe(&target(0), millis(1)).expect("a probe");
    assert!(![target(0), target(1), target(2)].contains(&probed));
    let events = table.record_connected(&probed, millis(2));
    assert_eq!(events, [PathEvent::Rejoined { after: millis(2) }]);
    assert_eq!(
        table.route(&target(7), &RegionSet::Everywhere, millis(3)),
        SendRoute::Direct
    );
    assert_eq!(
        table.route(&target(0), &RegionSet::Everywhere, millis(3)),
        SendRoute::Forwarded
    );
}

/// Guards against probes with each request while paths are lost, and against too few to notice that one is open again.
#[test]
fn probe_rate() {
    let mut table = with_forwarder(table(18));
    lose(&mut table, 0..18, millis(0));
    let mut probes = 0;
    for now in (0..10_000).step_by(10) {
        if let Some((probed, _)) = table.next_probe(&target(now % 18), millis(now as u64)) {
            probes += 1;
            table.record_unreachable(&probed, millis(now as u64));
        }
    }
    assert!((19..=21).contains(&probes), "{probes} probes in 10 s");
}

/// Guards against beliefs without an end: without news of them, paths count as open again.
#[test]
fn stale_loss() {
    let mut table = with_forwarder(table(18));
    lose(&mut table, 0..18, millis(0));
    assert!(table.is_isolated(millis(4_999)));
    assert!(!table.is_isolated(millis(5_000)));
    assert_eq!(
        table.route(&target(3), &RegionSet::Everywhere, millis(5_000)),
        SendRoute::Direct
    );
    assert_eq!(table.lost_count(millis(5_000)), 0);
}

/// Guards against requests that wait at a VM that reaches no target, and against ones that it rejects when it may reach some.
#[test]
fn no_forwarder() {
    let mut table = with_forwarder(table(18));
    lose(&mut table, 0..1, millis(0));
    table.record_forward(address(900), ForwardResult::Failed, millis(1));
    // What a single target does not accept is up to it.
    assert_eq!(
        table.route(&target(0), &RegionSet::Everywhere, millis(2)),
        SendRoute::Direct
    );
    lose(&mut table, 1..3, millis(3));
    assert_eq!(
        table.route(&target(9), &RegionSet::Everywhere, millis(4)),
        SendRoute::Unreachable
    );
    assert!(table.is_unreachable(&RegionSet::Everywhere, millis(4)));
    assert_eq!(
        table.route(&target(9), &RegionSet::Everywhere, millis(2_001)),
        SendRoute::Forwarded
    );
}

/// Guards against the loss of a path to one target that is believed of another at its id, and against memory of targets that
/// are gone.
#[test]
fn replaced_target() {
    let mut table = with_forwarder(table(2));
    lose(&mut table, 0..1, millis(0));
    table.set_targets([(target(0), address(7)), (target(1), address(1))].into_iter());
    assert_eq!(
        table.route(&target(0), &RegionSet::Everywhere, millis(1)),
        SendRoute::Direct
    );
    lose(&mut table, 5..9, millis(2));
    assert_eq!(table.lost_count(millis(3)), 0);
}
