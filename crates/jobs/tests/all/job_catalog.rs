//! Recording of job heads, and the choice of jobs to resume or reassign.

use crate::support::{head, owner};
use plantainmill_core::{JobId, RegionSet};
use plantainmill_jobs::{FleetSnapshot, JobCatalog, JobHead, JobOwner};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Guards against an older head that arrives late and replaces a newer one.
#[test]
fn newest_head() {
    let job = JobId::from("j1");
    let mut catalog = JobCatalog::default();
    let mut newer = head(5);
    newer.listed = 2;
    assert!(catalog.record(&job, newer, 20));
    assert!(!catalog.record(&job, head(5), 10));
    assert_eq!(catalog.get(&job).map(|known| known.head.listed), Some(2));
    catalog.remove(&job, 15);
    assert!(catalog.get(&job).is_some());
    catalog.remove(&job, 21);
    assert!(catalog.get(&job).is_none());
}

/// Guards against closed jobs that stay in memory for good at VMs that do not hear of their removal, and against an open one
/// that is forgotten.
#[test]
fn forgotten_jobs() {
    let mut catalog = JobCatalog::default();
    for (name, accepted_ms, listed) in [("old", 10, 3), ("open", 10, 2), ("new", 20, 3)] {
        let mut head = head(3);
        (head.accepted_ms, head.listed) = (accepted_ms, listed);
        catalog.record(&JobId::from(name), head, 1);
    }
    catalog.forget_closed(20);
    let kept = ["old", "open", "new"].map(|name| catalog.get(&JobId::from(name)).is_some());
    assert_eq!(kept, [false, true, true]);
}

fn everywhere(_: &JobHead) -> RegionSet {
    RegionSet::Everywhere
}

fn fleet(domain: &str, members: &[&str]) -> FleetSnapshot {
    FleetSnapshot {
        regions: HashMap::new(),
        live: ["a1", "a2", "a3", "b1", "b2", "b3"]
            .iter()
            .map(|name| owner(name, 5))
            .collect(),
        domains: vec!["a".into(), "b".into()],
        readers: members.iter().take(2).map(|name| (*name).into()).collect(),
        domain: domain.into(),
        members: members.iter().map(|name| owner(name, 5)).collect(),
    }
}

/// Guards against orphaned jobs that no VM or several VMs reassign at a time, and against an uneven spread over the new owners.
#[test]
fn one_new_owner() {
    let mut catalog = JobCatalog::default();
    for number in 0..60 {
        let mut orphan = head(3);
        orphan.owner = Some(owner("gone", 1));
        catalog.record(&JobId::from(format!("j{number}")), orphan, 1);
    }
    let mut new_owners = BTreeMap::new();
    let mut ranks: BTreeMap<JobId, BTreeSet<usize>> = BTreeMap::new();
    for (domain, members) in [("a", ["a1", "a2", "a3"]), ("b", ["b1", "b2", "b3"])] {
        let fleet = fleet(domain, &members);
        for own in &members {
            for orphan in catalog.orphans(&owner(own, 5), &fleet, everywhere) {
                ranks
                    .entry(orphan.job.clone())
                    .or_default()
                    .insert(orphan.rank);
                if orphan.rank > 0 {
                    assert_eq!(orphan.new_owner.vm, *own);
                    continue;
                }
                assert!(
                    new_owners.insert(orphan.job, orphan.new_owner.vm).is_none(),
                    "two VMs reassign the job"
                );
            }
        }
    }
    assert_eq!(new_owners.len(), 60);
    assert!(ranks.into_values().all(|ranks| ranks.into_iter().eq(0..6)));
    for name in ["a1", "a2", "a3", "b1", "b2", "b3"] {
        let count = new_owners
            .values()
            .filter(|new_owner| *new_owner == name)
            .count();
        assert!((3..25).contains(&count), "{name} gets {count}");
    }
}

/// Guards against jobs that are taken from a live VM, and against jobs of an earlier incarnation that are left behind.
#[test]
fn live_owner() {
    let own = owner("a1", 5);
    let orphans = |held_by: JobOwner| {
        let mut catalog = JobCatalog::default();
        for number in 0..20 {
            let mut held = head(3);
            held.owner = Some(held_by.clone());
            catalog.record(&JobId::from(format!("j{number}")), held, 1);
        }
        let fleet = FleetSnapshot {
            regions: HashMap::new(),
            domains: vec!["a".into()],
            readers: vec!["a1".into()],
            ..fleet("a", &["a1", "a2"])
        };
        (
            catalog.orphans(&own, &fleet, everywhere).len(),
            catalog.resumable(&own, |_| false).count(),
        )
    };
    assert_eq!(orphans(owner("b2", 5)), (0, 0));
    assert_eq!(orphans(owner("b2", 4)), (20, 0));
    assert_eq!(orphans(own.clone()), (0, 20));
    assert_eq!(orphans(owner("a1", 4)), (20, 0));
}

/// Guards against a token limit that counts ended jobs or those of other organisations.
#[test]
fn queued_tokens() {
    let mut catalog = JobCatalog::default();
    catalog.record(&"open".into(), head(3), 1);
    let mut ended = head(3);
    ended.ended = true;
    catalog.record(&"ended".into(), ended, 2);
    let mut foreign = head(3);
    foreign.organisation = "other".into();
    catalog.record(&"foreign".into(), foreign, 3);
    assert_eq!(catalog.queued_tokens(&"ward".into(), &"guides".into()), 300);
}
