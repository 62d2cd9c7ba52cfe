//! Regions of requests, as the document in force states them.

use crate::route_choice::route;
use plantainmill_core::{ManualClock, RegionSet, RegionSource as _};
use plantainmill_routing::{
    CallerLimits, DocumentRegions, DocumentView, FleetDocument, OrganisationRule, RouteRule,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

fn regions(names: &[&str]) -> RegionSet {
    RegionSet::of_names(names.iter().map(|name| (*name).into()))
}

fn document(version: u64, of_route: &[&str], of_organisation: &[&str]) -> FleetDocument {
    let rule = RouteRule {
        regions: regions(of_route),
        ..route("r", "/ask/", &[("llm", 1)])
    };
    let ward = OrganisationRule {
        regions: regions(of_organisation),
        ..OrganisationRule::default()
    };
    let organisations = BTreeMap::from([("ward".into(), ward)]);
    FleetDocument::new(version, vec![rule], organisations, CallerLimits::default())
}

/// Guards against a rule of the route or of the organisation that is left out, and against two without a common region that
/// count as no rule.
#[rstest]
#[case::none(&[], &[], "everywhere")]
#[case::route(&["north"], &[], "north")]
#[case::organisation(&[], &["south"], "south")]
#[case::both(&["north", "south"], &["south", "west"], "south")]
#[case::no_common_region(&["north"], &["south"], "none")]
fn combined_rules(
    #[case] of_route: &[&str],
    #[case] of_organisation: &[&str],
    #[case] allowed: &str,
) {
    let document = document(1, of_route, of_organisation);
    let rule = document.route_named("r").expect("a route");
    let found = document.allowed_regions(rule, Some(&"ward".into()));
    assert_eq!(found.to_string(), allowed);
    assert!(!found.allows(None) || found.is_everywhere());
}

/// Guards against a source that keeps the value of an earlier document.
#[test]
fn changed_document() {
    let view = DocumentView::default();
    let rule = document(1, &[], &[]).route_named("r").cloned();
    let source = DocumentRegions {
        view: view.clone(),
        clock: Arc::new(ManualClock::default()),
        host: rule.expect("a route").host,
        path: "/ask/1".into(),
        job_route: Some("r".into()),
        organisation: Some("ward".into()),
    };
    assert!(source.allowed().is_everywhere());
    assert!(view.replace_if_newer(document(1, &["north"], &[]), Duration::ZERO));
    assert_eq!(source.allowed(), regions(&["north"]));
    assert!(view.replace_if_newer(document(2, &["north"], &["south"]), Duration::ZERO));
    assert_eq!(source.allowed(), RegionSet::nowhere());
    assert_eq!(source.inputs().version, 2);
}
