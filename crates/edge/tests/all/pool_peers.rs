//! Which VMs may hold token pools, by rows and reports.

use crate::support::{at, row};
use plantainmill_edge::{PeerDirectory, PoolPeers, VmRow};

/// A VM of domain `a` that has read `rows` of its domain, and hears all of them.
fn peers(rows: &[VmRow]) -> (PoolPeers, PeerDirectory) {
    let mut peers = PoolPeers::default();
    peers.record_rows(&"a".into(), rows);
    let mut directory = PeerDirectory::new(row("a", 1), at(0));
    assert!(directory.update_local_rows(rows, at(0)).is_empty());
    for other in &rows[1..] {
        assert!(directory.record_report(other, 1, at(10)));
    }
    (peers, directory)
}

/// Guards against a VM that takes itself for the only one before it has read the rows, or while others are stored.
#[test]
fn lone_vm() {
    let own = row("a", 1);
    let directory = PeerDirectory::new(own.clone(), at(0));
    let mut known = PoolPeers::default();
    assert_eq!(known.fleet_view(&directory, &own, 2, at(0)), None);
    known.record_rows(&own.domain, std::slice::from_ref(&own));
    let is_alone = |known: &PoolPeers| {
        let view = known.fleet_view(&directory, &own, 2, at(0));
        view.is_some_and(|view| view.is_alone)
    };
    assert!(!is_alone(&known));
    known.record_rows(&"b".into(), &[]);
    assert!(is_alone(&known));
    known.record_rows(&"b".into(), &[row("b", 1)]);
    assert!(!is_alone(&known));
}

/// Guards against a holder of the release before, which answers no question.
#[test]
fn older_release() {
    let mut rows = [row("a", 1), row("a", 2), row("a", 3)];
    rows[1].holds_pools = false;
    let (peers, directory) = peers(&rows);
    let view = peers.fleet_view(&directory, &rows[0], 1, at(20));
    let view = view.expect("a view");
    assert_eq!(view.members[&rows[0].domain], ["a1", "a3"]);
    assert_eq!((view.heard, view.known), (3, 3));
}

/// Guards against lost VMs that count as gone at once, with their shares of the rate, or for ever.
#[test]
fn lost_vms() {
    let rows = [row("a", 1), row("a", 2), row("a", 3)];
    let (peers, mut directory) = peers(&rows);
    let counts = |directory: &PeerDirectory, millis| {
        let view = peers.fleet_view(directory, &rows[0], 1, at(millis));
        view.map(|view| (view.heard, view.known))
    };
    assert_eq!(counts(&directory, 3_000), Some((1, 3)));
    assert_eq!(counts(&directory, 20_100), Some((1, 1)));
    assert!(directory.remove_peer(&rows[1].vm, 1));
    assert_eq!(counts(&directory, 3_000), Some((1, 2)));
}
