//! Which VMs are asked to forward requests.

use crate::support::{address, millis, table};
use plantainmill_paths::{ForwardResult, Forwarder, ForwarderPlace, PathTable};
use std::collections::HashSet;

fn with_forwarders(places: &[ForwarderPlace]) -> PathTable {
    let mut table = table(3);
    let forwarders = places.iter().enumerate().map(|(number, place)| Forwarder {
        address: address(number),
        place: *place,
    });
    table.set_forwarders(forwarders, millis(0));
    table
}

/// Guards against requests that cross to other failure domains while a VM of the own one forwards them.
#[test]
fn near_first() {
    use ForwarderPlace::{Local, Remote};
    let mut table = with_forwarders(&[Remote, Remote, Local, Remote]);
    for salt in 0..50 {
        assert_eq!(table.forwarders(salt, millis(1))[0], address(2));
    }
    table.record_forward(address(1), ForwardResult::Forwarded, millis(2));
    assert_eq!(table.forwarders(0, millis(3))[0], address(1));
    table.record_forward(address(2), ForwardResult::Forwarded, millis(3));
    assert_eq!(table.forwarders(0, millis(4))[0], address(2));
}

/// Guards against one VM that forwards for all while others could.
#[test]
fn even_spread() {
    let table = with_forwarders(&[ForwarderPlace::Local; 12]);
    let first: HashSet<_> = (0..200)
        .map(|salt| table.forwarders(salt, millis(1))[0])
        .collect();
    assert_eq!(first.len(), 12);
}

/// Guards against requests that are lost at VMs that do not forward, and against VMs that are never asked again.
#[test]
fn failed_forwarders() {
    let mut table = with_forwarders(&[ForwarderPlace::Local; 3]);
    table.record_forward(address(0), ForwardResult::Isolated, millis(0));
    table.record_forward(address(1), ForwardResult::Failed, millis(0));
    assert_eq!(table.forwarders(0, millis(1)), [address(2)]);
    assert_eq!(table.forwarders(0, millis(1_000)).len(), 2);
    assert_eq!(table.forwarders(0, millis(2_000)).len(), 3);
    // Its target may be the cause, so it is still asked when no other is left.
    table.record_forward(address(2), ForwardResult::Silent, millis(2_000));
    assert_eq!(table.forwarders(0, millis(2_001)).last(), Some(&address(2)));
}

/// Guards against a VM that knows no VM of another failure domain while its own one is cut off as a whole.
#[test]
fn asked_referrals() {
    use ForwarderPlace::{Local, Reader, Remote};
    let mut places = vec![Local; 48];
    places.push(Reader);
    let mut table = with_forwarders(&places);
    table.record_forward(address(0), ForwardResult::Isolated, millis(0));
    assert_eq!(table.forwarders(0, millis(1))[0], address(48));
    let reader = with_forwarders(&[Local, Remote, Remote]);
    let referrals = reader.referrals(0, millis(1));
    assert_eq!(referrals.len(), 2);
    table.add_referrals(&referrals, millis(1));
    for number in 0..49 {
        table.record_forward(address(number), ForwardResult::Isolated, millis(1));
    }
    // They are among the addresses of this domain in this test.
    assert!(!table.is_unreachable(millis(2)));
}

/// Guards against memory that grows with what others refer to, and against referrals without an end.
#[test]
fn bounded_referrals() {
    let mut table = table(3);
    for number in 0..1_000 {
        table.add_referrals(&[address(number)], millis(0));
    }
    let known = |table: &PathTable| table.referrals(0, millis(1)).len();
    assert!(known(&table) > 0);
    table.set_forwarders(std::iter::empty(), millis(9_999));
    assert!(known(&table) > 0);
    table.set_forwarders(std::iter::empty(), millis(10_000));
    assert_eq!(known(&table), 0);
}
