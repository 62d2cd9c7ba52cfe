//! How far and how recently this VM knows the heads of all jobs.
//!
//! The readers of a failure domain read the heads and send the changes to its other VMs. A VM may miss these messages, for
//! example while it is suspended, so it acts on what it knows only while a reader confirms that nothing is newer. A VM
//! that no reader confirms reads the heads itself.

use crate::service::HeadUpdate;
use plantainmill_core::{Clock, Uptime};
use plantainmill_provider::RowVersion;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Age from which a VM reads the heads itself. The readers have been asked three times by then.
const DIRECT_READ_AGE: Duration = Duration::from_millis(1_500);
/// Age up to which a VM sends items. The end of a job has to stop them within 3 s.
const CURRENT_AGE: Duration = Duration::from_secs(2);
/// Age up to which a VM sends items while it cannot read the heads. Most outages of the store are shorter.
const OUTAGE_AGE: Duration = Duration::from_secs(20);
/// Time for which a failed read shows that the heads cannot be read: longer than a read and the delay before the next.
const FAILURE_VALIDITY: Duration = Duration::from_secs(3);

/// Interval at which a waiting item checks the age of the heads without a notification.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// All changes of job heads between two versions of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadChanges {
    /// Version after which the changes begin.
    pub after: RowVersion,
    /// Version up to which they are complete.
    pub until: RowVersion,
    /// Latest head of each job that has changed, by version.
    pub heads: Vec<HeadUpdate>,
}

impl HeadChanges {
    /// Splits the changes into consecutive ones of at most `count` heads each.
    #[must_use]
    pub fn split(self, count: usize) -> Vec<HeadChanges> {
        let mut after = self.after;
        let chunks = self.heads.chunks(count.max(1));
        let mut parts: Vec<HeadChanges> = chunks
            .map(|heads| {
                let until = heads.last().map_or(after, |(_, _, version)| *version);
                let heads = heads.to_vec();
                let part = HeadChanges {
                    after,
                    until,
                    heads,
                };
                after = until;
                part
            })
            .collect();
        match parts.last_mut() {
            Some(last) => last.until = self.until,
            None => parts.push(self),
        }
        parts
    }
}

/// Position of this VM in the change feed of job heads, and the age of what it knows.
#[derive(Debug, Default)]
pub struct HeadProgress {
    /// All changes up to this version are known.
    position: RowVersion,
    /// Whether all heads were read at least once, and the history after `position` may still be there.
    follows: bool,
    /// Latest time at which nothing newer than the known heads was stored.
    confirmed_at: Option<Uptime>,
    /// When the last read of the heads failed.
    failed_at: Option<Uptime>,
}

impl HeadProgress {
    /// Position from which the feed goes on. `None` if all heads have to be read.
    #[must_use]
    pub fn feed_position(&self) -> Option<RowVersion> {
        self.follows.then_some(self.position)
    }

    /// Version up to which all changes are known, and when nothing newer was stored.
    #[must_use]
    pub fn confirmed(&self) -> Option<(RowVersion, Uptime)> {
        Some((self.position, self.confirmed_at?))
    }

    /// Records that this VM has read all changes up to `until` from the store, by a read sent at `sent_at`.
    pub fn record_read(&mut self, until: RowVersion, sent_at: Uptime) {
        self.position = self.position.max(until);
        self.follows = true;
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.failed_at = None;
    }

    /// Records that a read of the heads failed.
    pub fn record_failure(&mut self, now: Uptime) {
        self.failed_at = Some(now);
    }

    /// Records that the store has no history after the position any more.
    pub fn record_lost_history(&mut self) {
        self.follows = false;
    }

    /// Records that all changes after `after` and up to `until` have been received. Ignored if changes before are missing.
    pub fn record_range(&mut self, after: RowVersion, until: RowVersion) {
        if self.follows && after <= self.position {
            self.position = self.position.max(until);
        }
    }

    /// Records that nothing newer than `version` was stored at `at`. Ignored if this VM misses changes up to there.
    pub fn confirm(&mut self, version: RowVersion, at: Uptime) {
        if self.follows && version <= self.position {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Time since nothing newer than the known heads was stored. `None` if they were never read.
    #[must_use]
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.saturating_sub(confirmed_at))
    }

    /// Whether this VM has to read the heads itself, whether or not it is a reader.
    #[must_use]
    pub fn needs_read(&self, now: Uptime) -> bool {
        !self.follows || self.age(now).is_none_or(|age| age >= DIRECT_READ_AGE)
    }

    /// Whether this VM knows that its heads are recent.
    #[must_use]
    pub fn is_current(&self, now: Uptime) -> bool {
        self.age(now).is_some_and(|age| age < CURRENT_AGE)
    }

    /// Whether this VM may send items by what it knows: its heads are recent, or there is no way to read them.
    #[must_use]
    pub fn may_act(&self, now: Uptime) -> bool {
        let has_failed = self
            .failed_at
            .is_some_and(|failed_at| now.saturating_sub(failed_at) < FAILURE_VALIDITY);
        let limit = if has_failed { OUTAGE_AGE } else { CURRENT_AGE };
        self.age(now).is_some_and(|age| age < limit)
    }
}

/// The [`HeadProgress`] of this VM, shared by the tasks that advance it and those that wait for it.
pub(crate) struct HeadView {
    progress: RefCell<HeadProgress>,
    /// Notified when the heads are read or confirmed, or a read of them fails.
    checked: Notify,
    clock: Arc<dyn Clock>,
}

impl HeadView {
    pub fn new(clock: Arc<dyn Clock>) -> HeadView {
        HeadView {
            progress: RefCell::default(),
            checked: Notify::new(),
            clock,
        }
    }

    /// Returns what `read` finds in the progress.
    pub fn read<T>(&self, read: impl FnOnce(&HeadProgress) -> T) -> T {
        read(&self.progress.borrow())
    }

    /// Changes the progress and wakes the tasks that wait for it.
    pub fn update(&self, change: impl FnOnce(&mut HeadProgress)) {
        change(&mut self.progress.borrow_mut());
        self.checked.notify_waiters();
    }

    /// Whether this VM may act on the heads that it knows.
    pub fn may_act(&self) -> bool {
        self.progress.borrow().may_act(self.clock.uptime())
    }

    /// Waits until this VM may act on the heads that it knows.
    pub async fn wait_until_recent(&self) {
        while !self.may_act() {
            // After the interval the age is checked once more.
            let _ = timeout(RECHECK_INTERVAL, self.checked.notified()).await;
        }
    }
}
