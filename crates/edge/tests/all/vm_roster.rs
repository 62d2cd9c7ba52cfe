//! Which VMs read the store, speak for their domain, and are told what.

use plantainmill_edge::{Roster, VmRow};
use plantainmill_jobs::JobOwner;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

fn row(domain: &str, number: u16) -> VmRow {
    VmRow {
        vm: format!("{domain}{number}").into(),
        incarnation: 1,
        domain: domain.into(),
        region: "north".into(),
        peers: SocketAddr::from(([10, 0, 0, 1], number)),
        control: SocketAddr::from(([10, 0, 0, 2], number)),
        processor_percent: 50,
    }
}

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The roster of VM `number` of domain "a" that has heard the others of `count`.
fn roster(number: u16, count: u16) -> Roster {
    let mut roster = Roster::new(row("a", number));
    for other in (1..=count).filter(|other| *other != number) {
        assert!(roster.hear(&row("a", other), 1, at(0)));
    }
    roster
}

/// Guards against a domain in which nobody or everybody reads the store.
#[test]
fn two_readers() {
    let readers = (1..=9).filter(|number| roster(*number, 9).is_reader(at(0)));
    assert_eq!(readers.count(), 2);
    let aggregators = (1..=9).filter(|number| roster(*number, 9).is_aggregator(at(0)));
    assert_eq!(aggregators.count(), 1);
    assert!(roster(1, 1).is_reader(at(0)), "a VM alone reads for itself");
}

/// Guards against readers that have stopped.
#[test]
fn silent_reader() {
    let first = roster(1, 5).readers(at(0))[0].vm.clone();
    let own = (1..=5)
        .find(|number| row("a", *number).vm != first)
        .expect("another VM");
    let mut roster = roster(own, 5);
    for other in (1..=5).map(|number| row("a", number)) {
        if other.vm != first && other.vm != row("a", own).vm {
            assert!(roster.hear(&other, 2, at(900)));
        }
    }
    let readers = roster.readers(at(1_000));
    assert_eq!(readers.len(), 2);
    assert!(readers.iter().all(|reader| reader.vm != first));
}

/// Guards against small VMs that do the work for large ones.
#[test]
fn large_before_small() {
    let mut roster = Roster::new(row("a", 1));
    let mut large = row("a", 2);
    large.processor_percent = 90;
    assert!(roster.hear(&large, 1, at(0)));
    assert_eq!(roster.readers(at(0))[0].vm, "a2");
}

/// Guards against reports from before: of a former start, or overtaken by a later one.
#[test]
fn old_reports() {
    let mut roster = roster(1, 2);
    assert!(roster.hear(&row("a", 2), 5, at(10)));
    assert!(!roster.hear(&row("a", 2), 4, at(20)));
    let mut restarted = row("a", 2);
    restarted.incarnation = 2;
    assert!(roster.hear(&restarted, 1, at(30)));
    assert!(!roster.hear(&row("a", 2), 9, at(40)));
    assert!(
        !roster.leave(&"a2".into(), 1),
        "the former start has left, not this one"
    );
    assert_eq!(roster.members(at(40)).len(), 2);
    assert!(roster.leave(&"a2".into(), 2));
    assert_eq!(roster.members(at(40)).len(), 1);
}

/// Guards against reports between domains that all go to one VM, which may have stopped, or to one that certainly has.
#[test]
fn far_turns() {
    let mut roster = roster(1, 3);
    roster.take_far_rows(
        &"b".into(),
        (1..=6).map(|number| row("b", number)).collect(),
    );
    let addresses = |roster: &Roster, now: Duration| -> BTreeSet<SocketAddr> {
        let turns = (0..10).flat_map(|turn| roster.far_addresses(turn, now));
        turns.map(|(_, address)| address).collect()
    };
    assert_eq!(addresses(&roster, at(0)).len(), 2);
    let members: Vec<JobOwner> = [4, 5]
        .map(|number| JobOwner {
            vm: format!("b{number}").into(),
            incarnation: 1,
        })
        .into();
    roster.hear_domain(&"b".into(), members, at(100));
    let expected = [4, 5].map(|number| row("b", number).peers);
    assert_eq!(addresses(&roster, at(200)), BTreeSet::from(expected));
    let fleet = roster.job_fleet(at(200));
    assert_eq!(
        (fleet.live.len(), fleet.domains.len(), fleet.members.len()),
        (5, 2, 3)
    );
    let later = roster.job_fleet(at(3_000));
    assert_eq!((later.live.len(), later.domains.len()), (1, 1));
}

/// Guards against rows of VMs that are gone for good and never removed, and against the removal of live ones.
#[test]
fn stale_rows() {
    let mut roster = roster(1, 2);
    let rows = [row("a", 1), row("a", 2), row("a", 3)];
    assert!(roster.take_near_rows(&rows, at(0)).is_empty());
    assert!(roster.hear(&row("a", 2), 2, at(60_000)));
    assert_eq!(roster.take_near_rows(&rows, at(61_000)), [2]);
}
