//! Which VMs are asked to forward requests.

use crate::support::{address, lose, millis, table, target};
use plantainmill_core::RegionSet;
use plantainmill_paths::{
    ForwardResult, Forwarder, ForwarderPlace, ForwarderReferral, PathTable, SendRoute,
};
use std::collections::HashSet;

fn with_forwarders(places: &[ForwarderPlace]) -> PathTable {
    let mut table = table(3);
    let forwarders = places.iter().enumerate().map(|(number, place)| Forwarder {
        address: address(number),
        place: *place,
        region: None,
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
        assert_eq!(
            table.forwarders(&RegionSet::Everywhere, salt, millis(1))[0].address,
            address(2)
        );
    }
    table.record_forward(address(1), ForwardResult::Forwarded, millis(2));
    assert_eq!(
        table.forwarders(&RegionSet::Everywhere, 0, millis(3))[0].address,
        address(1)
    );
    table.record_forward(address(2), ForwardResult::Forwarded, millis(3));
    assert_eq!(
        table.forwarders(&RegionSet::Everywhere, 0, millis(4))[0].address,
        address(2)
    );
}

/// Guards against one VM that forwards for all while others could.
#[test]
fn even_spread() {
    let table = with_forwarders(&[ForwarderPlace::Local; 12]);
    let first: HashSet<_> = (0..200)
        .map(|salt| table.forwarders(&RegionSet::Everywhere, salt, millis(1))[0].address)
        .collect();
    assert_eq!(first.len(), 12);
}

/// Guards against requests that are lost at VMs that do not forward, and against VMs that are never asked again.
#[test]
fn failed_forwarders() {
    let mut table = with_forwarders(&[ForwarderPlace::Local; 3]);
    table.record_forward(address(0), ForwardResult::Isolated, millis(0));
    table.record_forward(address(1), ForwardResult::Failed, millis(0));
    let asked = table.forwarders(&RegionSet::Everywhere, 0, millis(1));
    assert_eq!(asked.len(), 1);
    assert_eq!(asked[0].address, address(2));
    assert_eq!(
        table
            .forwarders(&RegionSet::Everywhere, 0, millis(1_000))
            .len(),
        2
    );
    assert_eq!(
        table
            .forwarders(&RegionSet::Everywhere, 0, millis(2_000))
            .len(),
        3
    );
    // Its target may be the cause, so it is still asked when no other is left.
    table.record_forward(address(2), ForwardResult::Silent, millis(2_000));
    let asked = table.forwarders(&RegionSet::Everywhere, 0, millis(2_001));
    assert_eq!(asked.last().map(|vm| vm.address), Some(address(2)));
}

/// Guards against a VM that knows no VM of another failure domain while its own one is cut off as a whole.
#[test]
fn asked_referrals() {
    use ForwarderPlace::{Local, Reader, Remote};
    let mut places = vec![Local; 48];
    places.push(Reader);
    let mut table = with_forwarders(&places);
    table.record_forward(address(0), ForwardResult::Isolated, millis(0));
    assert_eq!(
        table.forwarders(&RegionSet::Everywhere, 0, millis(1))[0].address,
        address(48)
    );
    let reader = with_forwarders(&[Local, Remote, Remote]);
    let referrals = reader.referrals(0, millis(1));
    assert_eq!(referrals.len(), 2);
    table.add_referrals(&referrals, millis(1));
    for number in 0..49 {
        table.record_forward(address(number), ForwardResult::Isolated, millis(1));
    }
    // They are among the addresses of this domain in this test.
    assert!(!table.is_unreachable(&RegionSet::Everywhere, millis(2)));
}

/// Guards against memory that grows with what others refer to, and against referrals without an end.
#[test]
fn bounded_referrals() {
    let mut table = table(3);
    for number in 0..1_000 {
        let referral = ForwarderReferral {
            address: address(number),
            region: None,
        };
        table.add_referrals(&[referral], millis(0));
    }
    let known = |table: &PathTable| table.referrals(0, millis(1)).len();
    assert!(known(&table) > 0);
    table.set_forwarders(std::iter::empty(), millis(9_999));
    assert!(known(&table) > 0);
    table.set_forwarders(std::iter::empty(), millis(10_000));
    assert_eq!(known(&table), 0);
}

/// Guards against a request that a VM without paths sends through another region, and against requests that count as
/// unreachable everywhere because no VM of their own region is left.
#[test]
fn forwarder_regions() {
    let mut table = table(3);
    let forwarders = [Some("north"), Some("south"), None];
    let forwarders = forwarders.into_iter().enumerate();
    let forwarders = forwarders.map(|(number, region)| Forwarder {
        address: address(number),
        place: ForwarderPlace::Local,
        region: region.map(Into::into),
    });
    table.set_forwarders(forwarders, millis(0));
    let north = RegionSet::of_names(["north".into()]);
    for salt in 0..20 {
        let asked = table.forwarders(&north, salt, millis(1));
        let asked: Vec<_> = asked.into_iter().map(|vm| vm.address).collect();
        assert_eq!(asked, [address(0)]);
    }
    lose(&mut table, 0..3, millis(2));
    table.record_forward(address(0), ForwardResult::Failed, millis(2));
    assert!(table.is_unreachable(&north, millis(3)));
    assert!(!table.is_unreachable(&RegionSet::Everywhere, millis(3)));
    let route = table.route(&target(0), &north, millis(3));
    assert_eq!(route, SendRoute::Unreachable);
    // A VM of an older release refers to others without their regions.
    let referrals = [(Some("north"), 10), (None, 11)];
    let referrals = referrals.map(|(region, number)| ForwarderReferral {
        address: address(number),
        region: region.map(Into::into),
    });
    table.add_referrals(&referrals, millis(4));
    let asked = table.forwarders(&north, 0, millis(5));
    let asked: Vec<_> = asked.into_iter().map(|vm| vm.address).collect();
    assert_eq!(asked, [address(10)]);
    let route = table.route(&target(0), &north, millis(5));
    assert_eq!(route, SendRoute::Forwarded);
}
