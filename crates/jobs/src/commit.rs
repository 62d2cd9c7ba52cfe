//! The order in which results of one job are listed.
//!
//! A write whose answer was lost may take effect later. So the results that were once written at a position keep it:
//! the same write is repeated until the store says how it ended.

use crate::stored::{JobHead, JobOwner, ListedResult};
use plantainmill_provider::RowVersion;
use std::collections::VecDeque;

/// Most results of one write. Each has some 10 KB, and a write may have 1 MB.
const RESULTS_PER_WRITE: usize = 16;

/// What follows from a conflict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitStep {
    /// Go on with the next write.
    GoOn,
    /// The job has another owner or was ended.
    Stop,
}

/// Results of one job that are to be listed, and the head they are listed under.
#[derive(Debug)]
pub struct CommitQueue {
    owner: JobOwner,
    head: JobHead,
    version: RowVersion,
    queue: VecDeque<(ListedResult, u64)>,
}

impl CommitQueue {
    /// A queue of the owner of `head`, whose row has `version`.
    #[must_use]
    pub fn new(owner: JobOwner, head: JobHead, version: RowVersion) -> CommitQueue {
        CommitQueue {
            owner,
            head,
            version,
            queue: VecDeque::new(),
        }
    }

    /// Adds a result of an item with `tokens`.
    pub fn push(&mut self, result: ListedResult, tokens: u64) {
        self.queue.push_back((result, tokens));
    }

    /// Whether nothing waits to be listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Head and version as last known.
    #[must_use]
    pub fn head(&self) -> (&JobHead, RowVersion) {
        (&self.head, self.version)
    }

    /// Whether all items are listed.
    #[must_use]
    pub fn is_done(&self) -> bool {
        !self.head.is_open()
    }

    /// The next write: the head after it, and its results from the position `head.listed` on.
    #[must_use]
    pub fn next_write(&self) -> Option<(JobHead, Vec<&ListedResult>)> {
        let batch: Vec<_> = self.queue.iter().take(RESULTS_PER_WRITE).collect();
        if batch.is_empty() {
            return None;
        }
        let mut head = self.head.clone();
        head.listed += batch.len() as u64;
        let tokens: u64 = batch.iter().map(|(_, tokens)| tokens).sum();
        head.tokens_left = head.tokens_left.saturating_sub(tokens);
        Some((head, batch.into_iter().map(|(result, _)| result).collect()))
    }

    /// Takes a head that the store holds: after a write that took effect, or from a conflict.
    pub fn adopt(&mut self, head: JobHead, version: RowVersion) -> CommitStep {
        if head.owner.as_ref() != Some(&self.owner) {
            return CommitStep::Stop;
        }
        let listed = head.listed.saturating_sub(self.head.listed);
        for _ in 0..listed {
            self.queue.pop_front();
        }
        self.head = head;
        self.version = version;
        if self.head.ended {
            CommitStep::Stop
        } else {
            CommitStep::GoOn
        }
    }
}
