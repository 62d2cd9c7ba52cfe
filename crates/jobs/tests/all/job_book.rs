//! Which jobs a VM knows, and which it takes over.

use crate::support::{head, owner};
use plantainmill_core::JobId;
use plantainmill_jobs::JobBook;

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

/// Guards against orphaned jobs that nobody takes, or that several VMs take.
#[test]
fn one_heir() {
    let names = ["vm1", "vm2", "vm3"];
    let all: Vec<_> = names.iter().map(|name| owner(name, 5)).collect();
    let mut taken = 0;
    for own in &all {
        let mut book = JobBook::default();
        for number in 0..30 {
            let mut orphan = head(3);
            orphan.owner = Some(owner("gone", 1));
            book.learn(&JobId::from(format!("j{number}")), orphan, 1);
        }
        let live: Vec<_> = all.iter().filter(|vm| *vm != own).cloned().collect();
        taken += book.to_take(own, &live, |_| false).count();
    }
    assert_eq!(taken, 30);
}

/// Guards against jobs that are taken from a VM that lives, and against jobs of a VM's former start that stay.
#[test]
fn live_owner() {
    let job = JobId::from("j1");
    let mut book = JobBook::default();
    let mut held = head(3);
    held.owner = Some(owner("vm2", 5));
    book.learn(&job, held, 1);
    let own = owner("vm1", 9);
    let takes = |live: &[_]| book.to_take(&own, live, |_| false).count();
    assert_eq!(takes(&[owner("vm2", 5)]), 0);
    let heirs = takes(&[owner("vm2", 6)])
        + book
            .to_take(&owner("vm2", 6), std::slice::from_ref(&own), |_| false)
            .count();
    assert_eq!(heirs, 1);
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
