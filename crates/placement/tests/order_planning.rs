//! Planning of orders: one at a time per target, verified by reports, fenced, and within the domain's share of the
//! weight store's rate.

use plantainmill_config::{
    ConfigChange, ConfigEdit, FleetConfig, ServiceKind, ServiceSpec, TargetSpec,
};
use plantainmill_core::{TargetId, Uptime};
use plantainmill_placement::lease::LEASE_TERM;
use plantainmill_placement::planner::ORDER_DELAY_LIMIT;
use plantainmill_placement::{PlacementPlanner, TargetReport};
use plantainmill_provider::LoadReport;
use std::time::Duration;

const LOAD_INTERVAL: Duration = Duration::from_secs(4);
/// Time at which a lease acquired at zero is old enough for orders to every engine.
const LEASE_SETTLED: Uptime = Duration::from_mins(2);

fn target(domain: &str, checks_fencing: bool) -> TargetSpec {
    TargetSpec {
        service: "assistant".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: domain.into(),
        region: "central".into(),
        concurrency: 8,
        checks_fencing,
        leaving: false,
    }
}

fn fleet(targets: &[(&str, TargetSpec)]) -> FleetConfig {
    let service = ConfigEdit::PutService {
        id: "assistant".into(),
        spec: ServiceSpec {
            kind: ServiceKind::Model,
            open: false,
            repeatable: true,
            hedge: false,
            timeout_ms: 1_000,
            least_replicas: 1,
            most_replicas: 8,
        },
    };
    let puts = targets.iter().map(|(id, spec)| ConfigEdit::PutTarget {
        id: (*id).into(),
        spec: spec.clone(),
    });
    FleetConfig::default().applied(&ConfigChange {
        version: 1,
        operation: "op".into(),
        author: "ana".into(),
        time: 0,
        reason: "test".to_owned(),
        edits: std::iter::once(service).chain(puts).collect(),
    })
}

fn report(models: &[&str], requested_at: Uptime) -> TargetReport {
    TargetReport {
        load: LoadReport {
            models: models.iter().map(|model| (*model).into()).collect(),
            ..LoadReport::default()
        },
        requested_at,
    }
}

fn planner() -> PlacementPlanner {
    PlacementPlanner::new("a".into(), LOAD_INTERVAL)
}

/// An engine that has lost its model, for example by a restart, is ordered to load it, with the lease epoch as token.
#[test]
fn restarted_engine() {
    let config = fleet(&[("t1", target("a", true))]);
    let mut planner = planner();
    let id = TargetId::from("t1");
    planner.observe(&id, report(&["assistant"], LEASE_SETTLED));
    assert!(
        planner
            .plan(&config, 3, Uptime::ZERO, LEASE_SETTLED)
            .is_empty()
    );
    planner.observe(&id, report(&[], LEASE_SETTLED));
    let orders = planner.plan(&config, 3, Uptime::ZERO, LEASE_SETTLED);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].order.fencing, 3);
}

/// No second order is sent to a target while the first one is in flight.
#[test]
fn one_in_flight() {
    let config = fleet(&[("t1", target("a", true))]);
    let mut planner = planner();
    let id = TargetId::from("t1");
    planner.observe(&id, report(&[], LEASE_SETTLED));
    assert_eq!(
        planner.plan(&config, 1, Uptime::ZERO, LEASE_SETTLED).len(),
        1
    );
    let later = LEASE_SETTLED + ORDER_DELAY_LIMIT * 2;
    planner.observe(&id, report(&[], later));
    assert!(
        planner.plan(&config, 1, Uptime::ZERO, later).is_empty(),
        "the first order is still in flight"
    );
    planner.finish(&id, true, later);
    assert_eq!(planner.plan(&config, 1, Uptime::ZERO, later).len(), 1);
}

/// A report that may describe the engine before an order took effect must not lead to a second order.
#[test]
fn stale_report() {
    let config = fleet(&[("t1", target("a", true))]);
    let mut planner = planner();
    let id = TargetId::from("t1");
    planner.observe(&id, report(&[], LEASE_SETTLED));
    planner.plan(&config, 1, Uptime::ZERO, LEASE_SETTLED);
    planner.finish(&id, true, LEASE_SETTLED);
    // A report requested before the maximum order delay has elapsed does not show whether the order took effect.
    planner.observe(&id, report(&[], LEASE_SETTLED + Duration::from_secs(5)));
    let later = LEASE_SETTLED + Duration::from_secs(6);
    assert!(planner.plan(&config, 1, Uptime::ZERO, later).is_empty());
}

/// An engine that ignores fencing tokens gets no order until those of the previous controller have taken effect.
#[test]
fn unfenced_wait() {
    let config = fleet(&[("t1", target("a", false))]);
    let mut planner = planner();
    let acquired_at = LEASE_SETTLED;
    planner.observe(&TargetId::from("t1"), report(&[], LEASE_SETTLED));
    let safe_at = acquired_at + LEASE_TERM + ORDER_DELAY_LIMIT;
    let early = safe_at.saturating_sub(Duration::from_millis(1));
    assert!(planner.plan(&config, 2, acquired_at, early).is_empty());
    assert_eq!(planner.plan(&config, 2, acquired_at, safe_at).len(), 1);
}

/// Loads of several targets are spread over time, so that the domain keeps to its share of the weight store's rate.
#[test]
fn weight_share() {
    let names = ["t1", "t2", "t3", "t4"];
    let targets: Vec<_> = names.map(|name| (name, target("a", true))).into();
    let config = fleet(&targets);
    let mut planner = planner();
    for name in names {
        planner.observe(&TargetId::from(name), report(&[], LEASE_SETTLED));
    }
    let mut sent = 0;
    for second in 0..16 {
        let now = LEASE_SETTLED + Duration::from_secs(second);
        sent += planner.plan(&config, 1, Uptime::ZERO, now).len();
    }
    assert_eq!(sent, 4, "one load per interval of 4 s");
}

/// A wait demanded by the weight store postpones loads.
#[test]
fn deferred_loads() {
    let config = fleet(&[("t1", target("a", true))]);
    let mut planner = planner();
    let id = TargetId::from("t1");
    planner.observe(&id, report(&[], LEASE_SETTLED));
    planner.plan(&config, 1, Uptime::ZERO, LEASE_SETTLED);
    planner.defer_loads(Duration::from_mins(1), LEASE_SETTLED);
    planner.finish(&id, false, LEASE_SETTLED);
    planner.observe(&id, report(&[], LEASE_SETTLED + ORDER_DELAY_LIMIT));
    let early = LEASE_SETTLED + Duration::from_secs(59);
    assert!(planner.plan(&config, 1, Uptime::ZERO, early).is_empty());
    let late = LEASE_SETTLED + Duration::from_mins(1);
    assert_eq!(planner.plan(&config, 1, Uptime::ZERO, late).len(), 1);
}

/// Targets of other domains get no orders.
#[test]
fn other_domain() {
    let config = fleet(&[("t1", target("b", true))]);
    let mut planner = planner();
    planner.observe(&TargetId::from("t1"), report(&[], LEASE_SETTLED));
    assert!(
        planner
            .plan(&config, 1, Uptime::ZERO, LEASE_SETTLED)
            .is_empty()
    );
}

/// A leaving target is not ordered to load a model.
#[test]
fn leaving_target() {
    let mut leaving = target("a", true);
    leaving.leaving = true;
    let config = fleet(&[("t1", leaving)]);
    let mut planner = planner();
    planner.observe(&TargetId::from("t1"), report(&[], LEASE_SETTLED));
    assert!(
        planner
            .plan(&config, 1, Uptime::ZERO, LEASE_SETTLED)
            .is_empty()
    );
}
