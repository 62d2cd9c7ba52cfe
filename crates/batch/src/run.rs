//! Running the items of one chunk: which item starts next, and what becomes of it.

use crate::items::ItemSet;
use crate::rows::ChunkRow;
use plantainmill_core::Uptime;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Items of services that may not be repeated whose start is recorded and whose result is not yet committed. If
/// the holder is lost, this many items of a chunk at most end with an unknown outcome; fewer cost more writes.
pub const START_GROUP: usize = 32;
/// The next group is recorded when at most this many items run, so that one slow item does not hold up the rest.
const START_REST: usize = 4;
/// First delay before an item that found no place runs again.
const DEFER_FIRST: Duration = Duration::from_secs(1);
/// Longest such delay while targets are busy. Idle capacity lasts only seconds, so a longer one would miss it.
const BUSY_LIMIT: Duration = Duration::from_secs(4);
/// Longest such delay without targets.
const UNPLACED_LIMIT: Duration = Duration::from_secs(30);

/// How the run of an item ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It is finished, as completed or failed.
    Finished,
    /// It gave way, or its targets are busy; it loses no attempt.
    Deferred,
    /// It found no target; it loses no attempt.
    Unplaced,
    /// It may have harmed its target; it loses an attempt and runs alone from now on.
    Suspect,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunStep {
    /// Start this item.
    Start(usize),
    /// Record the start of these items before they run.
    Announce(ItemSet),
    /// Record lost attempts before a suspect item runs again.
    SaveAttempts,
    /// Wait for a running item, or until this time.
    Wait(Option<Uptime>),
    /// All items are finished.
    Complete,
}

/// State of the items of one chunk on its holder.
#[derive(Clone, Debug)]
pub struct ChunkRun {
    items: usize,
    finished: ItemSet,
    once: ItemSet,
    started: ItemSet,
    sent: ItemSet,
    attempts: BTreeMap<u16, u32>,
    unsaved_attempts: bool,
    attempt_limit: u32,
    ready: VecDeque<usize>,
    deferred: BTreeSet<(Uptime, usize)>,
    delays: BTreeMap<usize, Duration>,
    suspects: VecDeque<usize>,
    running: ItemSet,
    alone: bool,
    progress_at: Uptime,
}

impl ChunkRun {
    /// The items `0..items` of a chunk that was just claimed; `once` are those that may not be repeated.
    #[must_use]
    pub fn new(
        row: &ChunkRow,
        items: usize,
        once: ItemSet,
        attempt_limit: u32,
        now: Uptime,
    ) -> ChunkRun {
        let finished = row.finished();
        let open = ItemSet::first(items).without(finished);
        let is_suspect = |item: &usize| {
            let item = u16::try_from(*item).unwrap_or(u16::MAX);
            row.attempts.contains_key(&item)
        };
        let (suspects, ready) = open.iter().partition(is_suspect);
        ChunkRun {
            items,
            finished,
            once,
            started: row.started,
            sent: ItemSet::default(),
            attempts: row.attempts.clone(),
            unsaved_attempts: false,
            attempt_limit: attempt_limit.max(1),
            ready,
            deferred: BTreeSet::new(),
            delays: BTreeMap::new(),
            suspects,
            running: ItemSet::default(),
            alone: false,
            progress_at: now,
        }
    }

    /// Items whose start an earlier holder recorded and whose outcome is unknown. They may not run again; the
    /// holder finishes each with [`ChunkRun::ended`].
    #[must_use]
    pub fn unknown_items(&self) -> ItemSet {
        let announced = self.once.iter().filter(|item| self.started.contains(*item));
        announced.collect::<ItemSet>().without(self.finished)
    }

    /// Takes an item out of all queues and marks it finished, without a run.
    pub fn finish(&mut self, item: usize, now: Uptime) {
        self.ready.retain(|each| *each != item);
        self.suspects.retain(|each| *each != item);
        self.deferred.retain(|(_, each)| *each != item);
        self.ended(item, RunEnd::Finished, now);
    }

    /// Chooses the next step.
    pub fn next(&mut self, now: Uptime) -> RunStep {
        self.wake_deferred(now);
        if self.finished.len() >= self.items {
            return RunStep::Complete;
        }
        if self.alone {
            return RunStep::Wait(None);
        }
        if let Some(item) = self.ready.front().copied() {
            return self.start_ready(item);
        }
        if !self.running.is_empty() || self.suspects.is_empty() {
            return RunStep::Wait(self.deferred.first().map(|(due, _)| *due));
        }
        self.start_suspect()
    }

    fn wake_deferred(&mut self, now: Uptime) {
        while let Some(entry) = self
            .deferred
            .first()
            .copied()
            .filter(|(due, _)| *due <= now)
        {
            self.deferred.remove(&entry);
            self.queue(entry.1);
        }
    }

    /// Puts an item back into the queue it belongs to.
    fn queue(&mut self, item: usize) {
        if self.attempts_of(item) > 0 {
            self.suspects.push_back(item);
        } else {
            self.ready.push_back(item);
        }
    }

    fn start_ready(&mut self, item: usize) -> RunStep {
        if self.needs_announce(item) {
            if self.running.len() > START_REST {
                return RunStep::Wait(None);
            }
            let waiting = self.ready.iter().copied();
            let group = waiting.filter(|item| self.needs_announce(*item));
            let size = START_GROUP - self.running.len();
            return RunStep::Announce(group.take(size).collect());
        }
        self.ready.pop_front();
        self.start(item)
    }

    fn start_suspect(&mut self) -> RunStep {
        if self.unsaved_attempts {
            return RunStep::SaveAttempts;
        }
        let Some(item) = self.suspects.front().copied() else {
            return RunStep::Wait(None);
        };
        if self.needs_announce(item) {
            return RunStep::Announce(ItemSet::from_iter([item]));
        }
        self.suspects.pop_front();
        self.alone = true;
        self.start(item)
    }

    fn start(&mut self, item: usize) -> RunStep {
        self.running.insert(item);
        self.sent.insert(item);
        RunStep::Start(item)
    }

    fn needs_announce(&self, item: usize) -> bool {
        self.once.contains(item) && !self.started.contains(item)
    }

    /// Takes over what a write of the row recorded.
    pub fn saved(&mut self, row: &ChunkRow) {
        self.started = row.started;
        self.unsaved_attempts = self.attempts != row.attempts;
    }

    /// Handles the end of an item's run.
    pub fn ended(&mut self, item: usize, end: RunEnd, now: Uptime) {
        self.running.remove(item);
        self.alone = false;
        match end {
            RunEnd::Finished => {
                self.finished.insert(item);
                self.delays.remove(&item);
                self.progress_at = now;
            }
            RunEnd::Deferred => {
                self.defer(item, BUSY_LIMIT, now);
                self.progress_at = now;
            }
            RunEnd::Unplaced => self.defer(item, UNPLACED_LIMIT, now),
            RunEnd::Suspect => {
                let key = u16::try_from(item).unwrap_or(u16::MAX);
                *self.attempts.entry(key).or_default() += 1;
                self.unsaved_attempts = true;
                self.suspects.push_back(item);
                self.progress_at = now;
            }
        }
    }

    /// Takes back an item that was started but never sent.
    pub fn not_sent(&mut self, item: usize) {
        self.running.remove(item);
        self.sent.remove(item);
        self.alone = false;
        self.queue(item);
    }

    /// Whether the item's service may not be called again.
    #[must_use]
    pub fn is_once(&self, item: usize) -> bool {
        self.once.contains(item)
    }

    fn defer(&mut self, item: usize, limit: Duration, now: Uptime) {
        let last = self.delays.get(&item).copied();
        let delay = last.map_or(DEFER_FIRST, |last| (last * 2).min(limit));
        self.delays.insert(item, delay);
        self.deferred.insert((now + delay, item));
    }

    /// Attempts the item has lost.
    #[must_use]
    pub fn attempts_of(&self, item: usize) -> u32 {
        let key = u16::try_from(item).unwrap_or(u16::MAX);
        self.attempts.get(&key).copied().unwrap_or(0)
    }

    /// Whether one more lost attempt is the item's last.
    #[must_use]
    pub fn is_last_attempt(&self, item: usize) -> bool {
        self.attempts_of(item) + 1 >= self.attempt_limit
    }

    /// Attempts lost by items that are not finished.
    #[must_use]
    pub fn attempts(&self) -> BTreeMap<u16, u32> {
        self.attempts.clone()
    }

    /// Announced items, less those that certainly were not sent by this holder.
    #[must_use]
    pub fn started_on_release(&self) -> ItemSet {
        let unsent = self.started.without(self.sent).without(self.finished);
        self.started.without(unsent)
    }

    /// Number of running items.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// How long no item has found a target.
    #[must_use]
    pub fn stalled_for(&self, now: Uptime) -> Duration {
        now.saturating_sub(self.progress_at)
    }
}
