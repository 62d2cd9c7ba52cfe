//! Tests of the selection of routes and services.

use plantainmill_core::RegionSet;
use plantainmill_routing::{
    CallerLimits, FleetDocument, OrganisationRule, RouteKind, RouteRule, ServiceShare,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn route(name: &str, path_prefix: &str, shares: &[(&str, u32)]) -> RouteRule {
    let shares = shares.iter().map(|(service, weight)| ServiceShare {
        service: (*service).into(),
        weight: *weight,
    });
    RouteRule {
        name: name.into(),
        host: "kiosk.example".into(),
        path_prefix: path_prefix.into(),
        kind: RouteKind::Streaming,
        attempts: 2,
        time_limit: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        event_gap: Duration::from_millis(400),
        priority: 0,
        public: false,
        resumable: false,
        shares: shares.collect(),
        job: None,
        regions: RegionSet::Everywhere,
    }
}

fn document(routes: Vec<RouteRule>) -> FleetDocument {
    let ward = OrganisationRule {
        keys: vec!["k1".into(), "k2".into()],
        ..OrganisationRule::default()
    };
    let organisations = BTreeMap::from([("ward".into(), ward)]);
    FleetDocument::new(3, routes, organisations, CallerLimits::default())
}

/// Guards against a shorter prefix that shadows a longer one, and against a prefix that matches part of a path segment.
#[rstest]
#[case("/a/b/c", Some("long"))]
#[case("/a/x", Some("short"))]
#[case("/ab/c", None)]
#[case("/", None)]
fn longest_prefix(#[case] path: &str, #[case] expected: Option<&str>) {
    let routes = vec![route("short", "/a/", &[]), route("long", "/a/b/", &[])];
    let document = document(routes);
    let found = document.find_route("kiosk.example", path);
    assert_eq!(found.map(|route| route.name.as_str()), expected);
    assert!(document.find_route("other.example", path).is_none());
}

/// Guards against traffic splits that ignore the weights, and against retries that change the service.
#[test]
fn weighted_split() {
    let route = route("split", "/a/", &[("old", 90), ("new", 10), ("none", 0)]);
    let picks: Vec<_> = (0..2_000)
        .map(|number| route.pick_service(&format!("request-{number}")).cloned())
        .collect();
    let count = |name: &str| {
        picks
            .iter()
            .filter(|pick| pick.as_deref() == Some(name))
            .count()
    };
    assert!((140..260).contains(&count("new")), "{}", count("new"));
    assert_eq!(count("none"), 0);
    assert_eq!(route.pick_service("request-7").cloned(), picks[7]);
}

/// Guards against retries of requests that may be executed only once.
#[rstest]
#[case(RouteKind::Idempotent, false, true)]
#[case(RouteKind::NonIdempotent, true, false)]
#[case(RouteKind::Streaming, false, false)]
#[case(RouteKind::Streaming, true, true)]
fn retry_rule(#[case] kind: RouteKind, #[case] resumable: bool, #[case] expected: bool) {
    let rule = RouteRule {
        kind,
        resumable,
        ..route("r", "/", &[])
    };
    assert_eq!(rule.may_repeat(), expected);
}

/// Guards against keys that are attributed to the wrong organisation, and against unknown keys that are accepted.
#[test]
fn key_owner() {
    let document = document(Vec::new());
    assert_eq!(
        document.organisation_of_key("k2").map(AsRef::as_ref),
        Some("ward")
    );
    assert_eq!(document.organisation_of_key("k3"), None);
}
