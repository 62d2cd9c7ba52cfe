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
