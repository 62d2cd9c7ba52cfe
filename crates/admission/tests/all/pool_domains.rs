//! Failure domains that have pools.

use plantainmill_admission::pools::{FleetView, PoolBook, RateLimit, TokenKind, TokenStep};
use plantainmill_core::{DomainName, OrganisationId, RegionName, VmId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Guards against organisations that are always refused because their only pool is in a failure domain of the settings that has
/// no VMs.
#[test]
fn domain_without_vms() {
    let domains =
        ["a", "b", "c"].map(|domain| (DomainName::from(domain), RegionName::from("north")));
    let vm = VmId::from("vm1");
    let mut book = PoolBook::new(vm.clone(), "a".into(), BTreeMap::from(domains), 1);
    let mut now = Duration::ZERO;
    for _ in 0..60 {
        now += Duration::from_millis(100);
        book.tick(now);
        let view = FleetView {
            members: BTreeMap::from([("a".into(), vec![vm.clone(), "vm2".into()])]),
            heard: 2,
            known: 2,
            is_alone: false,
            started_together_at: None,
        };
        book.set_fleet(view, now);
    }
    let limit = RateLimit {
        rate: 8.0,
        burst: 8.0,
    };
    for number in 0..20 {
        let organisation = OrganisationId::from(format!("organisation{number}"));
        let (_, step) = book.start(&organisation, limit, TokenKind::Request, now);
        let is_served = matches!(step, TokenStep::Admitted(_) | TokenStep::Ask(_));
        assert!(is_served, "{organisation}: {step:?}");
    }
}

/// Tokens that a VM with the only pool of an organisation, at 10 a second, gives out at once 2 s after its start. It first
/// sees its domain 1 s after its start.
fn tokens_after_start(started_together_at: Option<Duration>) -> usize {
    let domains = BTreeMap::from([(DomainName::from("a"), RegionName::from("north"))]);
    let mut book = PoolBook::new("vm1".into(), "a".into(), domains, 1);
    let view = FleetView {
        members: BTreeMap::from([("a".into(), vec!["vm1".into()])]),
        heard: 1,
        known: 1,
        is_alone: false,
        started_together_at,
    };
    let mut now = Duration::from_secs(1);
    for _ in 0..10 {
        book.set_fleet(view.clone(), now);
        now += Duration::from_millis(100);
        book.tick(now);
    }
    let limit = RateLimit {
        rate: 10.0,
        burst: 40.0,
    };
    let mut take = || book.start(&"ward".into(), limit, TokenKind::Request, now).1;
    let granted = std::iter::repeat_with(&mut take);
    let granted = granted.take_while(|step| matches!(step, TokenStep::Admitted(_)));
    granted.count()
}

/// Guards against refusals for a second after all VMs of a domain have restarted, although nobody has held their pools
/// since, and against tokens that a VM takes from a former holder.
#[test]
fn joint_start() {
    assert_eq!(tokens_after_start(Some(Duration::ZERO)), 20);
    assert!(tokens_after_start(None) <= 3);
}
