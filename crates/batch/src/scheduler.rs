//! Scheduling of the items of one chunk: which one starts next, and what follows when its run ends.

use crate::items::ItemSet;
use crate::rows::ChunkRow;
use plantainmill_core::Uptime;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum number of items of non-repeatable services with a recorded start and no committed result. If the holder is
/// lost, at most this many items of a chunk end with an unknown outcome; a lower limit would cost more writes.
pub const MAX_RECORDED_STARTS: usize = 32;
/// The next starts are recorded once at most this many items run, so that one slow item does not block the rest.
const START_LOW_WATERMARK: usize = 4;
/// First delay before a deferred item runs again; doubles with each deferral.
const RETRY_BACKOFF_INITIAL: Duration = Duration::from_secs(1);
/// Longest such delay while targets are busy. Capacity is idle for seconds only, so a longer delay would miss it.
const BUSY_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Longest such delay while there is no target.
const NO_TARGET_BACKOFF_MAX: Duration = Duration::from_secs(30);

/// How the run of an item ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The item is finished, as completed or failed.
    Finished,
    /// The item was preempted, or its targets are busy. The run does not count as an attempt.
    Deferred,
    /// There was no target for the item. The run does not count as an attempt.
    NoTarget,
    /// The item may have crashed its target. The run counts as a failed attempt, and from now on the item runs without
    /// other items of the chunk.
    Suspect,
}

/// Next step of the chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ScheduleStep {
    /// Start this item.
    Start(usize),
    /// Record the start of these items in the chunk row before they run.
    RecordStarts(ItemSet),
    /// Record failed attempts in the chunk row before a suspect item runs again.
    RecordAttempts,
    /// Wait until a running item ends, at most until this time.
    Wait(Option<Uptime>),
    /// All items are finished; what is not committed yet has to be.
    Complete,
}

/// State of the items of one chunk on its holder. It decides what runs; the caller makes the calls.
#[derive(Clone, Debug)]
pub struct ItemScheduler {
    items: usize,
    finished: ItemSet,
    non_repeatable: ItemSet,
    started: ItemSet,
    /// Items that this holder has sent to a target.
    sent: ItemSet,
    attempts: BTreeMap<u16, u32>,
    /// Whether `attempts` differs from the committed chunk row.
    uncommitted_attempts: bool,
    attempt_limit: u32,
    ready: VecDeque<usize>,
    deferred: BTreeSet<(Uptime, usize)>,
    /// Last delay of each deferred item.
    delays: BTreeMap<usize, Duration>,
    suspects: VecDeque<usize>,
    running: ItemSet,
    suspect_running: bool,
    last_progress_at: Uptime,
}

impl ItemScheduler {
    /// Creates the state of items `0..items` of a chunk that was just claimed. `non_repeatable` are those whose calls
    /// may not be repeated.
    #[must_use]
    pub fn new(
        row: &ChunkRow,
        items: usize,
        non_repeatable: ItemSet,
        attempt_limit: u32,
        now: Uptime,
    ) -> ItemScheduler {
        let finished = row.finished();
        let open = ItemSet::first(items).without(finished);
        let is_suspect = |item: &usize| {
            let item = u16::try_from(*item).unwrap_or(u16::MAX);
            row.attempts.contains_key(&item)
        };
        let (suspects, ready) = open.iter().partition(is_suspect);
        ItemScheduler {
            items,
            finished,
            non_repeatable,
            started: row.started,
            sent: ItemSet::default(),
            attempts: row.attempts.clone(),
            uncommitted_attempts: false,
            attempt_limit: attempt_limit.max(1),
            ready,
            deferred: BTreeSet::new(),
            delays: BTreeMap::new(),
            suspects,
            running: ItemSet::default(),
            suspect_running: false,
            last_progress_at: now,
        }
    }

    /// Items whose start an earlier holder recorded and whose outcome is unknown. They may not run again; the caller
    /// finishes each with [`ItemScheduler::finish_without_run`].
    #[must_use]
    pub fn interrupted_items(&self) -> ItemSet {
        let recorded = self
            .non_repeatable
            .iter()
            .filter(|item| self.started.contains(*item));
        recorded.collect::<ItemSet>().without(self.finished)
    }

    /// Removes an item from all queues and marks it as finished without running it.
    pub fn finish_without_run(&mut self, item: usize, now: Uptime) {
        self.ready.retain(|each| *each != item);
        self.suspects.retain(|each| *each != item);
        self.deferred.retain(|(_, each)| *each != item);
        self.record_end(item, RunEnd::Finished, now);
    }

    /// Chooses the next step. An item that it starts counts as running until its end is recorded.
    pub fn next(&mut self, now: Uptime) -> ScheduleStep {
        self.requeue_deferred(now);
        if self.finished.len() >= self.items {
            return ScheduleStep::Complete;
        }
        if self.suspect_running {
            return ScheduleStep::Wait(None);
        }
        if let Some(item) = self.ready.front().copied() {
            return self.start_ready(item);
        }
        if !self.running.is_empty() || self.suspects.is_empty() {
            return ScheduleStep::Wait(self.deferred.first().map(|(due, _)| *due));
        }
        self.start_suspect()
    }

    fn requeue_deferred(&mut self, now: Uptime) {
        while let Some(entry) = self
            .deferred
            .first()
            .copied()
            .filter(|(due, _)| *due <= now)
        {
            self.deferred.remove(&entry);
            self.requeue(entry.1);
        }
    }

    /// Puts an item back into the queue of suspects if it has a failed attempt, else into the ready queue.
    fn requeue(&mut self, item: usize) {
        if self.attempts_of(item) > 0 {
            self.suspects.push_back(item);
        } else {
            self.ready.push_back(item);
        }
    }

    fn start_ready(&mut self, item: usize) -> ScheduleStep {
        if self.needs_start_record(item) {
            if self.running.len() > START_LOW_WATERMARK {
                return ScheduleStep::Wait(None);
            }
            let waiting = self.ready.iter().copied();
            let group = waiting.filter(|item| self.needs_start_record(*item));
            let size = MAX_RECORDED_STARTS - self.running.len();
            return ScheduleStep::RecordStarts(group.take(size).collect());
        }
        self.ready.pop_front();
        self.start(item)
    }

    fn start_suspect(&mut self) -> ScheduleStep {
        if self.uncommitted_attempts {
            return ScheduleStep::RecordAttempts;
        }
        let Some(item) = self.suspects.front().copied() else {
            return ScheduleStep::Wait(None);
        };
        if self.needs_start_record(item) {
            return ScheduleStep::RecordStarts(ItemSet::from_iter([item]));
        }
        self.suspects.pop_front();
        self.suspect_running = true;
        self.start(item)
    }

    fn start(&mut self, item: usize) -> ScheduleStep {
        self.running.insert(item);
        self.sent.insert(item);
        ScheduleStep::Start(item)
    }

    fn needs_start_record(&self, item: usize) -> bool {
        self.non_repeatable.contains(item) && !self.started.contains(item)
    }

    /// Updates the recorded starts and attempts from the chunk row as committed.
    pub fn record_commit(&mut self, row: &ChunkRow) {
        self.started = row.started;
        self.uncommitted_attempts = self.attempts != row.attempts;
    }

    /// Records the end of an item's run and queues the item again unless it is finished.
    pub fn record_end(&mut self, item: usize, end: RunEnd, now: Uptime) {
        self.running.remove(item);
        self.suspect_running = false;
        match end {
            RunEnd::Finished => {
                self.finished.insert(item);
                self.delays.remove(&item);
                self.last_progress_at = now;
            }
            RunEnd::Deferred => {
                self.defer(item, BUSY_BACKOFF_MAX, now);
                self.last_progress_at = now;
            }
            RunEnd::NoTarget => self.defer(item, NO_TARGET_BACKOFF_MAX, now),
            RunEnd::Suspect => {
                let key = u16::try_from(item).unwrap_or(u16::MAX);
                *self.attempts.entry(key).or_default() += 1;
                self.uncommitted_attempts = true;
                self.suspects.push_back(item);
                self.last_progress_at = now;
            }
        }
    }

    /// Queues an item again that was started but not sent.
    pub fn requeue_unsent(&mut self, item: usize) {
        self.running.remove(item);
        self.sent.remove(item);
        self.suspect_running = false;
        self.requeue(item);
    }

    /// Whether the item's call may not be repeated.
    #[must_use]
    pub fn is_non_repeatable(&self, item: usize) -> bool {
        self.non_repeatable.contains(item)
    }

    fn defer(&mut self, item: usize, limit: Duration, now: Uptime) {
        let last = self.delays.get(&item).copied();
        let delay = last.map_or(RETRY_BACKOFF_INITIAL, |last| (last * 2).min(limit));
        self.delays.insert(item, delay);
        self.deferred.insert((now + delay, item));
    }

    /// Number of the item's failed attempts.
    #[must_use]
    pub fn attempts_of(&self, item: usize) -> u32 {
        let key = u16::try_from(item).unwrap_or(u16::MAX);
        self.attempts.get(&key).copied().unwrap_or(0)
    }

    /// Whether the item's next or current attempt is its last.
    #[must_use]
    pub fn is_last_attempt(&self, item: usize) -> bool {
        self.attempts_of(item) + 1 >= self.attempt_limit
    }

    /// Failed attempts by item, for the chunk row.
    #[must_use]
    pub fn attempts(&self) -> BTreeMap<u16, u32> {
        self.attempts.clone()
    }

    /// Items with a recorded start, without those that this holder certainly did not send.
    #[must_use]
    pub fn started_on_release(&self) -> ItemSet {
        let unsent = self.started.without(self.sent).without(self.finished);
        self.started.without(unsent)
    }

    /// Number of items running now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Time since an item last made progress, that is, ended other than for lack of a target.
    #[must_use]
    pub fn stalled_for(&self, now: Uptime) -> Duration {
        now.saturating_sub(self.last_progress_at)
    }
}
