//! How a VM follows the registry: by its feed, with reads of the whole table as proof.
//!
//! A feed without events proves nothing, so the whole table is read at an interval that grows with its size. A small
//! table is read often and without the feed, because that costs less than the calls of the feed.

use crate::registry::{TargetChanges, TargetEntry};
use plantainmill_core::{TargetId, Uptime};
use plantainmill_provider::RowVersion;
use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Interval between reads of a table of up to [`SMALL_TABLE`] targets.
const SHORT_INTERVAL: Duration = Duration::from_millis(600);
/// Longest interval between the reads of all VMs that share them. Versions of streams need a view that is confirmed every
/// 2 s (`versions::VIEW_VALIDITY`), which [`OWN_READ_DELAY`], [`MAX_JITTER_MS`] and a read have to fit into as well.
const LONG_INTERVAL: Duration = Duration::from_millis(1_100);
/// Number of targets up to which the table is read at [`SHORT_INTERVAL`] without the feed.
const SMALL_TABLE: u32 = 100;
/// Shortest and longest delay of the first read of a large table by a VM that starts and will probably be no reader: by
/// then its readers can hand over their list. Otherwise all VMs that start together would read the table.
const START_DELAY_MS: Range<u64> = 500..900;
/// Time by which a VM that has read the table last lets another one read it first: that one asks every 400 ms whether its
/// list is confirmed. So the readers of a domain take turns.
const OWN_READ_DELAY: Duration = Duration::from_millis(500);
/// Largest random delay of a read in milliseconds, so that VMs that have read at the same time begin to take turns.
const MAX_JITTER_MS: u64 = 100;
/// Interval between the end of a feed call and the next one. With thousands of targets that renew their entries, each
/// call would otherwise return a few of them at once.
const FEED_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait of a feed call. Short, because missing targets are dropped between calls.
const MAX_FEED_WAIT: Duration = Duration::from_millis(500);
/// Time for which the feed is not used after it has transferred more rows than the table has before the next read.
const COSTLY_FEED_PAUSE: Duration = Duration::from_secs(30);
/// Delay after a failed read. Short, because readiness depends on the next successful read.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// A row of the registry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRow {
    /// Key of the row: the target's id.
    pub id: TargetId,
    /// Version of the row.
    pub version: RowVersion,
    /// Entry in the row. `None` if the row was removed, or describes no usable target.
    pub entry: Option<TargetEntry>,
}

/// Rows of the registry, and the version from which its feed continues.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetRows {
    /// All rows, or the changed ones in order of their versions.
    pub rows: Vec<TargetRow>,
    /// All changes up to this version are in `rows`.
    pub version: RowVersion,
}

/// The next call of a VM that follows the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowerStep {
    /// Read the whole table if it has no more than this number of rows.
    ReadFew(u32),
    /// Read the whole table.
    Read,
    /// Read the feed after this version.
    Follow {
        /// Version up to which all changes are known.
        after: RowVersion,
        /// Time that the call may wait for a change.
        wait: Duration,
    },
    /// Call nothing for this time.
    Wait(Duration),
}

/// Longest time between two proofs of a list of `count` targets, while the store and the feed serve this VM.
#[must_use]
pub fn proof_interval(count: usize) -> Duration {
    if is_small(count) {
        return SHORT_INTERVAL;
    }
    shared_interval(count) + OWN_READ_DELAY + Duration::from_millis(MAX_JITTER_MS)
}

fn is_small(count: usize) -> bool {
    u32::try_from(count).is_ok_and(|count| count <= SMALL_TABLE)
}

/// Interval between the reads of all VMs that share them.
fn shared_interval(count: usize) -> Duration {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let grown = SHORT_INTERVAL.saturating_mul(count) / SMALL_TABLE;
    grown.clamp(SHORT_INTERVAL, LONG_INTERVAL)
}

/// Decides when a VM reads the registry's table or its feed, and which rows are news.
#[derive(Debug)]
pub struct RegistryFollower {
    /// Source of the delays of this VM.
    seed: u64,
    reads: u64,
    /// Version of each row that is known.
    versions: HashMap<TargetId, RowVersion>,
    /// Where the feed continues; `None` if only a read can tell what has changed.
    position: Option<RowVersion>,
    /// When the last successful read of the table was sent.
    read_at: Option<Uptime>,
    /// Time of the next read, if it is earlier than the regular one.
    reread_at: Option<Uptime>,
    /// Rows that the feed has transferred since the last read of the table.
    fed_rows: usize,
    next_feed_at: Uptime,
    /// Nothing has been read since the start of the VM.
    is_starting: bool,
    /// The last read of the table failed.
    has_failed: bool,
}

impl RegistryFollower {
    /// A follower that knows nothing. Each VM has another `seed`.
    #[must_use]
    pub fn new(seed: u64) -> RegistryFollower {
        RegistryFollower {
            seed,
            reads: 0,
            versions: HashMap::new(),
            position: None,
            read_at: None,
            reread_at: None,
            fed_rows: 0,
            next_feed_at: Uptime::ZERO,
            is_starting: true,
            has_failed: false,
        }
    }

    /// Whether the last read of the table failed.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Forgets everything: the VM has not followed the registry for a while.
    pub fn reset(&mut self) {
        *self = RegistryFollower::new(self.seed);
        self.is_starting = false;
    }

    /// The next call at `now`. The list was last proved to match the registry at `confirmed_at`, by this VM or by another
    /// one that has the same list.
    #[must_use]
    pub fn next_step(&self, confirmed_at: Option<Uptime>, now: Uptime) -> FollowerStep {
        let due_at = self.due_at(confirmed_at);
        if now >= due_at {
            if self.is_starting {
                return FollowerStep::ReadFew(SMALL_TABLE);
            }
            return FollowerStep::Read;
        }
        let left = due_at.saturating_sub(now);
        match self.position {
            Some(after) if !self.is_small() => {
                if now < self.next_feed_at {
                    return FollowerStep::Wait(left.min(self.next_feed_at.saturating_sub(now)));
                }
                FollowerStep::Follow {
                    after,
                    wait: left.min(MAX_FEED_WAIT),
                }
            }
            _ => FollowerStep::Wait(left),
        }
    }

    /// When the next read of the table is due.
    fn due_at(&self, confirmed_at: Option<Uptime>) -> Uptime {
        let regular = self.read_at.map_or(Uptime::ZERO, |read_at| {
            let interval = shared_interval(self.versions.len());
            match confirmed_at {
                _ if self.is_small() => read_at + interval,
                Some(confirmed_at) if confirmed_at > read_at => confirmed_at + interval,
                _ => read_at + interval + OWN_READ_DELAY + self.jitter(),
            }
        });
        match self.reread_at {
            Some(reread_at) if self.read_at.is_none() => reread_at,
            Some(reread_at) => reread_at.min(regular),
            None => regular,
        }
    }

    fn jitter(&self) -> Duration {
        let hash = xxh3_64_with_seed(&self.reads.to_le_bytes(), self.seed);
        Duration::from_millis(hash % MAX_JITTER_MS)
    }

    fn is_small(&self) -> bool {
        is_small(self.versions.len())
    }

    /// Records at `now` that the table is large. Its first read is delayed until [`RegistryFollower::end_start_delay`].
    pub fn record_large_table(&mut self, now: Uptime) {
        self.is_starting = false;
        let hash = xxh3_64_with_seed(&[], self.seed);
        let spread = START_DELAY_MS.end - START_DELAY_MS.start;
        let delay = START_DELAY_MS.start + hash % spread;
        self.reread_at = Some(now + Duration::from_millis(delay));
    }

    /// Records that this VM will probably be a reader of its domain: it reads the table at once.
    pub fn end_start_delay(&mut self) {
        if self.read_at.is_none() && !self.has_failed {
            self.reread_at = None;
        }
    }

    /// Records a read of the whole table that was sent at `sent_at`, and returns its entries.
    pub fn record_read(&mut self, read: TargetRows, sent_at: Uptime) -> Vec<TargetEntry> {
        self.is_starting = false;
        self.has_failed = false;
        self.position = Some(read.version);
        self.read_at = Some(sent_at);
        self.reread_at = None;
        self.fed_rows = 0;
        self.reads += 1;
        let versions = read.rows.iter().map(|row| (row.id.clone(), row.version));
        self.versions = versions.collect();
        read.rows.into_iter().filter_map(|row| row.entry).collect()
    }

    /// Records rows that the feed returned at `now`, and returns what they change. Rows that are older than what is known
    /// change nothing.
    pub fn record_feed(&mut self, read: TargetRows, now: Uptime) -> TargetChanges {
        self.position = self.position.max(Some(read.version));
        self.next_feed_at = now + FEED_PAUSE;
        self.fed_rows += read.rows.len();
        if self.fed_rows > self.versions.len() {
            self.next_feed_at = now + COSTLY_FEED_PAUSE;
        }
        let mut latest: HashMap<TargetId, Option<TargetEntry>> = HashMap::new();
        for row in read.rows {
            let known = self.versions.entry(row.id.clone()).or_default();
            if row.version > *known {
                *known = row.version;
                latest.insert(row.id, row.entry);
            }
        }
        let mut changes = TargetChanges::default();
        for (id, entry) in latest {
            match entry {
                Some(entry) => changes.changed.push(entry),
                None => changes.removed.push(id),
            }
        }
        changes
            .changed
            .sort_by(|first, second| first.id.cmp(&second.id));
        changes.removed.sort();
        changes
    }

    /// Records at `now` that the feed failed or has lost its history: only a read tells what has changed. A feed that
    /// fails each time does not cause more reads than those of a small table.
    pub fn record_feed_failure(&mut self, now: Uptime) {
        self.position = None;
        let read_at = self.read_at.unwrap_or(now);
        self.reread_at = Some(now.max(read_at + SHORT_INTERVAL));
    }

    /// Records at `now` that the table could not be read.
    pub fn record_read_failure(&mut self, now: Uptime) {
        self.position = None;
        self.has_failed = true;
        self.reread_at = Some(now + RETRY_INTERVAL);
        self.read_at = None;
    }
}
