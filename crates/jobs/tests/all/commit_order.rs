//! Order of listed results under all responses of the store.

use crate::support::{head, owner};
use plantainmill_jobs::{CommitQueue, CommitStep, ItemState, ListedResult};
use std::collections::HashSet;

fn result(item: &str) -> ListedResult {
    ListedResult {
        item: item.into(),
        state: ItemState::Succeeded,
        output: "text".into(),
    }
}

fn queue_of(items: &[&str]) -> CommitQueue {
    let mut queue = CommitQueue::new(owner("vm", 1), head(3), 10);
    for item in items {
        queue.push(result(item), 100);
    }
    queue
}

/// Guards against listing two results at one position after the response to the first write was lost.
#[test]
fn lost_response() {
    let mut queue = queue_of(&["a"]);
    let (written, _) = queue.next_write().expect("a write");
    queue.push(result("b"), 100);
    // The write of "a" was applied, so a retry with both results conflicts with it.
    let listed = HashSet::from(["a".into()]);
    assert_eq!(queue.apply_found(written, 11, listed), CommitStep::Continue);
    let (next, results) = queue.next_write().expect("a write");
    assert_eq!(
        results
            .iter()
            .map(|result| result.item.as_str())
            .collect::<Vec<_>>(),
        ["b"]
    );
    assert_eq!((next.listed, next.tokens_left), (2, 100));
}

/// Guards against results listed by a VM after another one has taken over the job.
#[test]
fn lost_job() {
    let mut queue = queue_of(&["a"]);
    let mut taken = head(3);
    taken.owner = Some(owner("other", 7));
    assert_eq!(
        queue.apply_found(taken, 12, HashSet::new()),
        CommitStep::Stop
    );
    // A restarted VM has another incarnation and is another owner.
    let mut restarted = head(3);
    restarted.owner = Some(owner("vm", 2));
    assert_eq!(
        queue_of(&["a"]).apply_found(restarted, 12, HashSet::new()),
        CommitStep::Stop
    );
}

/// Guards against further work on a job that its organisation has ended.
#[test]
fn ended_job() {
    let mut queue = queue_of(&["a"]);
    let mut ended = head(3);
    ended.ended = true;
    assert_eq!(
        queue.apply_found(ended, 12, HashSet::new()),
        CommitStep::Stop
    );
}

/// Guards against a job that is not recognised as complete after its last result.
#[test]
fn all_listed() {
    let mut queue = queue_of(&["a", "b", "c"]);
    let (written, results) = queue.next_write().expect("a write");
    assert_eq!(results.len(), 3);
    assert_eq!(written.tokens_left, 0);
    queue.apply_written(written, 11);
    assert!(queue.is_done() && queue.is_empty());
}

/// Guards against an owner that takes the results of another VM for its own after it has lost the job and got it back:
/// its results would be dropped, and those of the other VM listed twice.
#[test]
fn returned_job() {
    let mut queue = queue_of(&["a"]);
    let mut returned = head(3);
    (returned.listed, returned.tokens_left) = (1, 200);
    let listed = HashSet::from(["b".into()]);
    assert_eq!(
        queue.apply_found(returned, 14, listed),
        CommitStep::Continue
    );
    queue.push(result("b"), 100);
    let (next, results) = queue.next_write().expect("a write");
    assert_eq!(
        results
            .iter()
            .map(|result| result.item.as_str())
            .collect::<Vec<_>>(),
        ["a"]
    );
    assert_eq!((next.listed, next.tokens_left), (2, 100));
}

/// Guards against results that have waited for the store and make a write that it never takes, because it is too large.
#[test]
fn large_results() {
    let mut queue = queue_of(&[]);
    for number in 0..16 {
        let output = "x".repeat(if number == 15 { 600_000 } else { 76_000 });
        queue.push(
            ListedResult {
                output,
                ..result(&format!("item{number}"))
            },
            100,
        );
    }
    let mut counts = Vec::new();
    for version in 11.. {
        let Some((written, results)) = queue.next_write() else {
            break;
        };
        let bytes: usize = results.iter().map(|result| result.output.len()).sum();
        assert!(bytes <= 524_288 || results.len() == 1, "{bytes}");
        counts.push(results.len());
        queue.apply_written(written, version);
    }
    assert_eq!(counts, [6, 6, 3, 1]);
}
