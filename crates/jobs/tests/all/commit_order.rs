//! Order of listed results under all responses of the store.

use crate::support::{head, owner};
use plantainmill_jobs::{CommitQueue, CommitStep, ItemState, ListedResult};

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
    assert_eq!(queue.apply_head(written, 11), CommitStep::Continue);
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
    assert_eq!(queue.apply_head(taken, 12), CommitStep::Stop);
    // A restarted VM has another incarnation and is another owner.
    let mut restarted = head(3);
    restarted.owner = Some(owner("vm", 2));
    assert_eq!(queue_of(&["a"]).apply_head(restarted, 12), CommitStep::Stop);
}

/// Guards against further work on a job that its organisation has ended.
#[test]
fn ended_job() {
    let mut queue = queue_of(&["a"]);
    let mut ended = head(3);
    ended.ended = true;
    assert_eq!(queue.apply_head(ended, 12), CommitStep::Stop);
}

/// Guards against a job that is not recognised as complete after its last result.
#[test]
fn all_listed() {
    let mut queue = queue_of(&["a", "b", "c"]);
    let (written, results) = queue.next_write().expect("a write");
    assert_eq!(results.len(), 3);
    assert_eq!(written.tokens_left, 0);
    assert_eq!(queue.apply_head(written, 11), CommitStep::Continue);
    assert!(queue.is_done() && queue.is_empty());
}
