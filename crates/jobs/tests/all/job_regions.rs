//! Jobs that are limited to regions: who runs them, and where their items are sent.

use crate::support::{TestCluster, TestVm, check_results, head, owner, route, submission, ward};
use plantainmill_core::{JobId, RegionSet};
use plantainmill_jobs::{FleetSnapshot, ItemState, JobCatalog, JobHead, JobOwner};
use plantainmill_routing::{CallerLimits, FleetDocument, JobRule, RouteRule};
use rstest::rstest;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

fn job() -> JobId {
    "j1".into()
}

fn route_in(region: &str, retention: Duration) -> RouteRule {
    let rule = route();
    RouteRule {
        regions: RegionSet::of_names([region.into()]),
        job: rule.job.map(|job| JobRule { retention, ..job }),
        ..rule
    }
}

fn set_route(vm: &TestVm, version: u64, route: RouteRule) {
    let limits = CallerLimits::default();
    let document = FleetDocument::new(version, vec![route], BTreeMap::new(), limits);
    assert!(vm.view.replace_if_newer(document, Duration::ZERO));
}

async fn accept(vm: &TestVm, rule: &RouteRule, items: usize) {
    let accepted = vm
        .jobs
        .submit(&ward(), rule, &job(), &submission(items))
        .await;
    accepted.expect("accepted");
}

/// The fleet as a VM of `domain` sees it: `a` is in `north`, `b` in `south`.
fn fleet(domain: &str, live: &[(&str, &str)]) -> FleetSnapshot {
    let owners = |domain: Option<&str>| {
        let live = live
            .iter()
            .filter(|(place, _)| domain.is_none_or(|wanted| wanted == *place));
        let owners: Vec<JobOwner> = live.map(|(_, vm)| owner(vm, 1)).collect();
        owners
    };
    let members = owners(Some(domain));
    let mut domains: Vec<_> = live.iter().map(|(domain, _)| (*domain).into()).collect();
    domains.dedup();
    FleetSnapshot {
        live: owners(None),
        domains,
        readers: members
            .iter()
            .take(2)
            .map(|member| member.vm.clone())
            .collect(),
        domain: domain.into(),
        members,
        regions: HashMap::from([("a".into(), "north".into()), ("b".into(), "south".into())]),
    }
}

/// Guards against a job whose items reach a VM of another region because its owner is lost while one VM of the allowed region
/// is left, and against one that nobody takes over because none is.
#[rstest]
#[case::one_left(&[("a", "a1"), ("a", "a2"), ("a", "a3"), ("b", "b3")], &["b3"])]
#[case::none_left(&[("a", "a1"), ("a", "a2"), ("a", "a3")], &["a1", "a2", "a3"])]
fn lost_owner(#[case] live: &[(&str, &str)], #[case] takers: &[&str]) {
    let mut catalog = JobCatalog::default();
    for number in 0..20 {
        let mut orphan = head(3);
        orphan.owner = Some(owner("b1", 1));
        catalog.record(&JobId::from(format!("j{number}")), orphan, 1);
    }
    let south = |_: &JobHead| RegionSet::of_names(["south".into()]);
    let mut first: HashMap<JobId, usize> = HashMap::new();
    for (domain, vm) in live {
        let fleet = fleet(domain, live);
        for orphan in catalog.orphans(&owner(vm, 1), &fleet, south) {
            assert!(takers.contains(vm), "{vm}");
            assert!(takers.contains(&orphan.new_owner.vm.as_str()));
            *first.entry(orphan.job).or_default() += usize::from(orphan.rank == 0);
        }
    }
    assert_eq!(first.len(), 20);
    assert!(first.values().all(|count| *count == 1));
}

/// Guards against an item that is sent to another region, or lost, while its route has no region with a target.
#[actix_rt::test]
async fn kept_items() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    let long = Duration::from_mins(1);
    set_route(&vm, 2, route_in("south", long));
    vm.set_live_peers(&[]);
    accept(&vm, &route_in("south", long), 3).await;
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(cluster.target.seen().len(), 0);
    set_route(&vm, 3, route_in("north", long));
    check_results(&vm.read_results(&job(), 3).await, 3);
}

/// Guards against an item without an allowed region that is given up before its retention ends, or kept after it.
#[actix_rt::test]
async fn ended_retention() {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    let rule = route_in("south", Duration::from_millis(900));
    set_route(&vm, 2, rule.clone());
    vm.set_live_peers(&[]);
    accept(&vm, &rule, 2).await;
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    let early = vm.jobs.results(&ward(), &job(), 0, Duration::ZERO).await;
    assert_eq!(early.expect("a page").results, []);
    let results = vm.read_results(&job(), 2).await;
    let states: Vec<_> = results.iter().map(|result| result.state).collect();
    assert_eq!(states, [ItemState::GivenUp; 2]);
    assert_eq!(cluster.target.seen().len(), 0);
}

/// Guards against a job that stays at a VM outside its regions while a VM of an allowed one is live, and against one that the
/// VM which has accepted it passes on.
#[rstest]
#[case::accepted(true)]
#[case::taken_over(false)]
#[actix_rt::test]
async fn excluded_owner(#[case] is_acceptor: bool) {
    let cluster = TestCluster::start().await;
    let vm = cluster.vm("vm", 1);
    let rule = route_in("south", Duration::from_mins(1));
    set_route(&vm, 2, rule.clone());
    if is_acceptor {
        accept(&vm, &rule, 2).await;
    } else {
        let other = cluster.vm("other", 1);
        accept(&other, &rule, 2).await;
        other.jobs.stop().await;
        vm.set_live_peers(&[]);
        for _ in 0..100 {
            if cluster.head_of(&job()).expect("a head").owner == Some(vm.own.clone()) {
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let live = [("a", "vm"), ("b", "b1")];
    vm.jobs.set_fleet(fleet("a", &live));
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let owner = cluster.head_of(&job()).expect("a head").owner;
    assert_eq!(owner, is_acceptor.then(|| vm.own.clone()));
}
