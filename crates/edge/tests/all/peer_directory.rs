//! Which VMs read the store, aggregate reports for their domain, and receive the reports of other domains.

use crate::support::{at, owner, row, update};
use plantainmill_edge::{PeerDirectory, ReportRoute};
use plantainmill_jobs::JobOwner;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The directory of VM `number` of domain "a" after reports of all other VMs up to `count`.
fn directory(number: u16, count: u16) -> PeerDirectory {
    let mut directory = PeerDirectory::new(row("a", number), at(0));
    for other in (1..=count).filter(|other| *other != number) {
        assert!(directory.record_report(&row("a", other), 1, at(0)));
    }
    directory
}

/// Guards against a domain in which no VM or every VM reads the store.
#[test]
fn two_readers() {
    let readers = (1..=9).filter(|number| directory(*number, 9).is_reader(at(0)));
    assert_eq!(readers.count(), 2);
    let aggregators = (1..=9).filter(|number| directory(*number, 9).is_aggregator(at(0)));
    assert_eq!(aggregators.count(), 1);
    assert!(
        directory(1, 1).is_reader(at(0)),
        "a single VM reads the store itself"
    );
}

/// Guards against VMs of a domain that read the store at the same time because they think that they have the same place.
#[test]
fn distinct_places() {
    let places: BTreeSet<usize> = (1..=9)
        .map(|number| directory(number, 9).reader_place())
        .collect();
    assert_eq!(places, (0..9).collect());
    for number in 1..=9 {
        let directory = directory(number, 9);
        assert_eq!(directory.is_reader(at(0)), directory.reader_place() < 2);
    }
}

/// Guards against readers that have failed and are not replaced.
#[test]
fn failed_reader() {
    let first = directory(1, 5).readers(at(0))[0].vm.clone();
    let own = (1..=5)
        .find(|number| row("a", *number).vm != first)
        .expect("another VM");
    let mut directory = directory(own, 5);
    for other in (1..=5).map(|number| row("a", number)) {
        if other.vm != first && other.vm != row("a", own).vm {
            assert!(directory.record_report(&other, 2, at(900)));
        }
    }
    let readers = directory.readers(at(1_000));
    assert_eq!(readers.len(), 2);
    assert!(readers.iter().all(|reader| reader.vm != first));
}

/// Guards against small VMs that become readers although larger ones are available.
#[test]
fn largest_first() {
    let mut directory = PeerDirectory::new(row("a", 1), at(0));
    let mut large = row("a", 2);
    large.processor_percent = 90;
    assert!(directory.record_report(&large, 1, at(0)));
    assert_eq!(directory.readers(at(0))[0].vm, "a2");
}

/// Guards against outdated reports: of a previous incarnation, or overtaken by a later report.
#[test]
fn outdated_reports() {
    let mut directory = directory(1, 2);
    assert!(directory.record_report(&row("a", 2), 5, at(10)));
    assert!(!directory.record_report(&row("a", 2), 4, at(20)));
    let mut restarted = row("a", 2);
    restarted.incarnation = 2;
    assert!(directory.record_report(&restarted, 1, at(30)));
    assert!(!directory.record_report(&row("a", 2), 9, at(40)));
    assert!(
        !directory.remove_peer(&"a2".into(), 1),
        "the previous incarnation has stopped, not this one"
    );
    assert_eq!(directory.members(at(40)).len(), 2);
    assert!(directory.remove_peer(&"a2".into(), 2));
    assert_eq!(directory.members(at(40)).len(), 1);
}

/// Guards against reports between domains that all go to one VM, which may have failed, or to a VM that is known to
/// have stopped.
#[test]
fn remote_receivers() {
    let mut directory = directory(1, 3);
    directory.update_remote_rows(
        &"b".into(),
        (1..=6).map(|number| row("b", number)).collect(),
    );
    let addresses = |directory: &PeerDirectory, now: Duration| -> BTreeSet<SocketAddr> {
        let rounds = (0..10).flat_map(|round| directory.remote_addresses(round, now));
        rounds.map(|(_, address)| address).collect()
    };
    assert_eq!(addresses(&directory, at(0)).len(), 2);
    let members: Vec<JobOwner> = [4, 5]
        .map(|number| JobOwner {
            vm: format!("b{number}").into(),
            incarnation: 1,
        })
        .into();
    directory.record_domain_report(&"b".into(), members, at(100));
    let expected = [4, 5].map(|number| row("b", number).peers);
    assert_eq!(addresses(&directory, at(200)), BTreeSet::from(expected));
    let fleet = directory.job_fleet(at(200));
    assert_eq!(
        (fleet.live.len(), fleet.domains.len(), fleet.members.len()),
        (5, 2, 3)
    );
    let later = directory.job_fleet(at(3_000));
    assert_eq!((later.live.len(), later.domains.len()), (1, 1));
}

/// Guards against rows of dead VMs that are never removed, and against the removal of rows of live VMs.
#[test]
fn stale_rows() {
    let mut directory = directory(1, 2);
    let rows = [row("a", 1), row("a", 2), row("a", 3)];
    assert!(directory.update_local_rows(&rows, at(0)).is_empty());
    assert!(directory.record_report(&row("a", 2), 2, at(60_000)));
    assert_eq!(directory.update_local_rows(&rows, at(61_000)), [2]);
}

/// Guards against a small domain that depends on relays, and against reports to a relay that does not forward them.
#[test]
fn report_routes() {
    let small = directory(1, 16);
    assert!(matches!(small.report_route(at(0)), ReportRoute::Direct(rows) if rows.len() == 15));
    let mut large = PeerDirectory::new(row("a", 1), at(0));
    for number in 2..=20 {
        let mut other = row("a", number);
        other.processor_percent = 90;
        assert!(large.record_report(&other, 1, at(0)));
    }
    assert!(matches!(large.report_route(at(0)), ReportRoute::Direct(rows) if rows.len() == 19));
    large.confirm_relay(1, at(10));
    let ReportRoute::Relays(relays) = large.report_route(at(20)) else {
        panic!("a relay forwards the reports");
    };
    assert_eq!(relays.len(), 2);
    assert!(matches!(
        large.report_route(at(600)),
        ReportRoute::Direct(_)
    ));
    large.confirm_relay(0, at(600));
    assert!(
        matches!(large.report_route(at(601)), ReportRoute::Direct(_)),
        "the report of an earlier incarnation was forwarded"
    );
}

/// Guards against updates on a domain that arrive out of order, and against a domain that counts as live before its
/// members are known: its jobs would all seem to have lost their owners.
#[test]
fn domain_updates() {
    let mut directory = directory(1, 2);
    assert!(directory.record_domain_update(&update(5, Vec::new()), at(0)));
    assert!(!directory.job_fleet(at(0)).domains.contains(&"b".into()));
    let mut with_members = update(6, Vec::new());
    with_members.members = Some(vec![owner("b", 1), owner("b", 2)]);
    assert!(directory.record_domain_update(&with_members, at(10)));
    assert!(!directory.record_domain_update(&update(5, Vec::new()), at(20)));
    assert!(directory.job_fleet(at(20)).domains.contains(&"b".into()));
    assert_eq!(directory.job_fleet(at(20)).live.len(), 4);
    let mut successor = update(1, Vec::new());
    successor.aggregator = owner("b", 2);
    assert!(directory.record_domain_update(&successor, at(30)));
    assert_eq!(directory.job_fleet(at(30)).live.len(), 4);
}

/// Guards against a VM that reports on its domain right after its start: the other domains would take over the jobs of the
/// members that it has not heard yet.
#[test]
fn aggregation_delay() {
    let own = row("a", 1);
    let directory = PeerDirectory::new(own, at(5_000));
    assert!(directory.is_aggregator(at(5_100)));
    assert!(!directory.may_aggregate(at(5_100)));
    assert!(!directory.may_aggregate(at(5_900)));
    assert!(directory.may_aggregate(at(6_000)));
}
