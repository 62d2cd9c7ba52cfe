//! Which jobs a VM knows, and which it takes over.

use crate::support::{head, owner};
use plantainmill_core::JobId;
use plantainmill_jobs::{FleetSnapshot, JobBook, JobOwner};
use std::collections::BTreeMap;

/// Guards against a feed that brings older heads late.
#[test]
fn newest_head() {
    let job = JobId::from("j1");
    let mut book = JobBook::default();
    let mut newer = head(5);
    newer.listed = 2;
    assert!(book.learn(&job, newer, 20));
    assert!(!book.learn(&job, head(5), 10));
    assert_eq!(book.get(&job).map(|known| known.head.listed), Some(2));
    book.forget(&job, 15);
    assert!(book.get(&job).is_some());
    book.forget(&job, 21);
    assert!(book.get(&job).is_none());
}

fn fleet(domain: &str, members: &[&str]) -> FleetSnapshot {
    FleetSnapshot {
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

/// Guards against orphaned jobs that nobody takes, or that several VMs take, and against VMs that get them all.
#[test]
fn one_new_owner() {
    let mut book = JobBook::default();
    for number in 0..60 {
        let mut orphan = head(3);
        orphan.owner = Some(owner("gone", 1));
        book.learn(&JobId::from(format!("j{number}")), orphan, 1);
    }
    let mut new_owners = BTreeMap::new();
    for (domain, members) in [("a", ["a1", "a2", "a3"]), ("b", ["b1", "b2", "b3"])] {
        let fleet = fleet(domain, &members);
        for own in &members {
            for (job, _, new_owner) in book.orphans(&owner(own, 5), &fleet) {
                assert!(
                    new_owners.insert(job, new_owner.vm).is_none(),
                    "two VMs give the job away"
                );
            }
        }
    }
    assert_eq!(new_owners.len(), 60);
    for name in ["a1", "a2", "a3", "b1", "b2", "b3"] {
        let count = new_owners
            .values()
            .filter(|new_owner| *new_owner == name)
            .count();
        assert!((3..25).contains(&count), "{name} gets {count}");
    }
}

/// Guards against jobs that are taken from a VM that lives, and against jobs of a VM's former start that stay.
#[test]
fn live_owner() {
    let own = owner("a1", 5);
    let orphans = |held_by: JobOwner| {
        let mut book = JobBook::default();
        for number in 0..20 {
            let mut held = head(3);
            held.owner = Some(held_by.clone());
            book.learn(&JobId::from(format!("j{number}")), held, 1);
        }
        let fleet = FleetSnapshot {
            domains: vec!["a".into()],
            readers: vec!["a1".into()],
            ..fleet("a", &["a1", "a2"])
        };
        (
            book.orphans(&own, &fleet).len(),
            book.to_resume(&own, |_| false).count(),
        )
    };
    assert_eq!(orphans(owner("b2", 5)), (0, 0));
    assert_eq!(orphans(owner("b2", 4)), (20, 0));
    assert_eq!(orphans(own.clone()), (0, 20));
    assert_eq!(orphans(owner("a1", 4)), (20, 0));
}

/// Guards against a limit that counts finished, ended or foreign jobs.
#[test]
fn waiting_tokens() {
    let mut book = JobBook::default();
    book.learn(&"open".into(), head(3), 1);
    let mut ended = head(3);
    ended.ended = true;
    book.learn(&"ended".into(), ended, 2);
    let mut foreign = head(3);
    foreign.organisation = "other".into();
    book.learn(&"foreign".into(), foreign, 3);
    assert_eq!(book.waiting_tokens(&"ward".into(), &"guides".into()), 300);
}
