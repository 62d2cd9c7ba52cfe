//! Queue that fixes the order in which the results of one job are listed.
//!
//! A write without a response may still take effect later. Results therefore keep the position at which they were first
//! written: the queue retries their write until the store reports whether it was applied.

use crate::stored::{JobHead, JobOwner, ListedResult};
use plantainmill_core::ItemId;
use plantainmill_provider::RowVersion;
use std::collections::{HashSet, VecDeque};

/// Maximum number of results in one write.
const RESULTS_PER_WRITE: usize = 16;
/// Maximum bytes of output in one write, unless it has a single result. The platform limits a write to 1 MB in base64.
const OUTPUT_BYTES_PER_WRITE: usize = 512 << 10;

/// What the owner of a job does after a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitStep {
    /// Continue with the next write.
    Continue,
    /// Stop, because the job has another owner or was ended.
    Stop,
}

/// Results of one job that are not listed yet, and the stored head that their write replaces.
#[derive(Debug)]
pub struct CommitQueue {
    owner: JobOwner,
    head: JobHead,
    version: RowVersion,
    queue: VecDeque<(ListedResult, u64)>,
    /// Items listed by another write than those of this queue.
    listed_elsewhere: HashSet<ItemId>,
}

impl CommitQueue {
    /// Creates an empty queue for `owner`, which runs the job of `head`. `version` is that of the head's row.
    #[must_use]
    pub fn new(owner: JobOwner, head: JobHead, version: RowVersion) -> CommitQueue {
        CommitQueue {
            owner,
            head,
            version,
            queue: VecDeque::new(),
            listed_elsewhere: HashSet::new(),
        }
    }

    /// Appends the result of an item that accounts for `tokens` in the organisation's token limit, unless another VM has
    /// listed the item.
    pub fn push(&mut self, result: ListedResult, tokens: u64) {
        if !self.listed_elsewhere.contains(&result.item) {
            self.queue.push_back((result, tokens));
        }
    }

    /// Whether there are no results left to list.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the last known head and the version of its row.
    #[must_use]
    pub fn head(&self) -> (&JobHead, RowVersion) {
        (&self.head, self.version)
    }

    /// Whether all items are listed or the job was ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        !self.head.is_open()
    }

    /// Returns the next write: the new head, and the results that it lists from the position of the current head on.
    #[must_use]
    pub fn next_write(&self) -> Option<(JobHead, Vec<&ListedResult>)> {
        let mut bytes = 0;
        let fits_write = |(result, _): &&(ListedResult, u64)| {
            let is_first = bytes == 0;
            bytes += result.output.len().max(1);
            is_first || bytes <= OUTPUT_BYTES_PER_WRITE
        };
        let next_results = self.queue.iter().take(RESULTS_PER_WRITE);
        let next_results: Vec<_> = next_results.take_while(fits_write).collect();
        if next_results.is_empty() {
            return None;
        }
        let mut head = self.head.clone();
        head.listed += next_results.len() as u64;
        let tokens: u64 = next_results.iter().map(|(_, tokens)| tokens).sum();
        head.tokens_left = head.tokens_left.saturating_sub(tokens);
        Some((
            head,
            next_results.into_iter().map(|(result, _)| result).collect(),
        ))
    }

    /// Number of results that `head` lists beyond the last known head.
    #[must_use]
    pub fn unknown_results(&self, head: &JobHead) -> u64 {
        head.listed.saturating_sub(self.head.listed)
    }

    /// Applies the head that an applied write of this queue stored, and drops the results that it lists. Returns their items.
    pub fn apply_written(&mut self, head: JobHead, version: RowVersion) -> Vec<ItemId> {
        let count = usize::try_from(self.unknown_results(&head)).unwrap_or(usize::MAX);
        let listed = self.queue.drain(..count.min(self.queue.len()));
        let listed = listed.map(|(result, _)| result.item).collect();
        self.head = head;
        self.version = version;
        listed
    }

    /// Applies a stored head that replaced the last known one, and drops the results of `listed`: the items at the
    /// positions that it adds. The count of results does not tell which ones are listed, because the job may have had
    /// another owner in between.
    pub fn apply_found(
        &mut self,
        head: JobHead,
        version: RowVersion,
        listed: HashSet<ItemId>,
    ) -> CommitStep {
        if head.ended || head.owner.as_ref() != Some(&self.owner) {
            return CommitStep::Stop;
        }
        self.queue
            .retain(|(result, _)| !listed.contains(&result.item));
        self.listed_elsewhere.extend(listed);
        self.head = head;
        self.version = version;
        CommitStep::Continue
    }
}
