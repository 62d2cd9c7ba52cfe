//! The order in which results are listed, whatever the store answers.

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

/// Guards against a position that gets another result because the answer of the first write was lost.
#[test]
fn lost_answer() {
    let mut queue = queue_of(&["a"]);
    let (written, _) = queue.next_write().expect("a write");
    queue.push(result("b"), 100);
    // The write of "a" took effect; the repeat with both results conflicts with it.
    assert_eq!(queue.adopt(written, 11), CommitStep::GoOn);
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

/// Guards against results listed by a VM that has lost the job.
#[test]
fn lost_job() {
    let mut queue = queue_of(&["a"]);
    let mut taken = head(3);
    taken.owner = Some(owner("other", 7));
    assert_eq!(queue.adopt(taken, 12), CommitStep::Stop);
    // The same VM after a restart is another owner, too.
    let mut restarted = head(3);
    restarted.owner = Some(owner("vm", 2));
    assert_eq!(queue_of(&["a"]).adopt(restarted, 12), CommitStep::Stop);
}

/// Guards against work on a job that its organisation has ended.
#[test]
fn ended_job() {
    let mut queue = queue_of(&["a"]);
    let mut ended = head(3);
    ended.ended = true;
    assert_eq!(queue.adopt(ended, 12), CommitStep::Stop);
}

/// Guards against a job that never counts as done.
#[test]
fn all_listed() {
    let mut queue = queue_of(&["a", "b", "c"]);
    let (written, results) = queue.next_write().expect("a write");
    assert_eq!(results.len(), 3);
    assert_eq!(written.tokens_left, 0);
    assert_eq!(queue.adopt(written, 11), CommitStep::GoOn);
    assert!(queue.is_done() && queue.is_empty());
}
