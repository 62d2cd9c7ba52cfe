//! Refusals that a target writes to a connection once more, later.

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Longest time for which a connection is idle before a drawn copy is written.
const MAX_IDLE_MS: u64 = 60;
/// Times at most that a drawn copy is written.
const MAX_REPEATS: usize = 2;

/// When the copy of a refusal is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyTiming {
    /// After this time, or before the response to the next request if that comes first.
    Idle(Duration),
    /// Once the next request has been read, before its response.
    NextRequest,
    /// Once the request after next has been read, before its response.
    AfterAnswer,
    /// Right after the response to the next request.
    BehindAnswer,
}

/// Copies of one refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RefusalCopy {
    /// When the first one is written.
    pub timing: CopyTiming,
    /// How many there are, one right after the other.
    pub count: usize,
}

/// A target that refuses requests at random, and copies its refusals at random times.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RefusalMode {
    /// Seed of statuses and times.
    pub seed: u64,
    /// Requests in a hundred that are refused beside those for which there is no room.
    pub refused_percent: u32,
    /// Whether refusals are copied, also those of requests for which there is no room or which are for another instance. Their
    /// status is then 429 or 503 at random, else 503.
    pub has_copies: bool,
}

/// Random choices of a [`RefusalMode`].
pub(crate) struct RefusalDraw {
    mode: RefusalMode,
    random: SmallRng,
}

impl RefusalDraw {
    pub fn new(mode: RefusalMode) -> RefusalDraw {
        RefusalDraw {
            mode,
            random: SmallRng::seed_from_u64(mode.seed),
        }
    }

    /// Status with which a request is refused for which there is room; `None` if it is served.
    pub fn draw_refusal(&mut self) -> Option<u16> {
        let is_refused = self.random.random_range(0..100) < self.mode.refused_percent;
        is_refused.then(|| self.draw_status())
    }

    /// Status of a refusal.
    pub fn draw_status(&mut self) -> u16 {
        if self.mode.has_copies && self.random.random() {
            429
        } else {
            503
        }
    }

    /// Copies of a refusal; `None` without any.
    pub fn draw_copy(&mut self) -> Option<RefusalCopy> {
        let timing = match self.random.random_range(0..4) {
            0 => {
                let idle_ms = self.random.random_range(0..MAX_IDLE_MS);
                CopyTiming::Idle(Duration::from_millis(idle_ms))
            }
            1 => CopyTiming::AfterAnswer,
            2 => CopyTiming::BehindAnswer,
            _ => CopyTiming::NextRequest,
        };
        let count = self.random.random_range(1..=MAX_REPEATS);
        let copy = RefusalCopy { timing, count };
        self.mode.has_copies.then_some(copy)
    }
}

/// Copies that a connection has yet to write.
#[derive(Default)]
pub(crate) struct CopyQueue {
    copies: Vec<QueuedCopy>,
}

struct QueuedCopy {
    text: String,
    timing: CopyTiming,
    queued_at: Instant,
    /// Requests that have been read since.
    reads: usize,
}

impl QueuedCopy {
    fn is_due(&self, is_answered: bool) -> bool {
        match self.timing {
            CopyTiming::Idle(_) | CopyTiming::NextRequest => self.reads > 0,
            CopyTiming::AfterAnswer => self.reads > 1,
            CopyTiming::BehindAnswer => self.reads > 0 && is_answered,
        }
    }

    fn idle_end(&self) -> Option<Instant> {
        match self.timing {
            CopyTiming::Idle(time) => Some(self.queued_at + time),
            _ => None,
        }
    }
}

impl CopyQueue {
    /// Adds the copies of `refusal`.
    pub fn add(&mut self, refusal: &str, copy: RefusalCopy) {
        self.copies.push(QueuedCopy {
            text: refusal.repeat(copy.count),
            timing: copy.timing,
            queued_at: Instant::now(),
            reads: 0,
        });
    }

    /// Notes that a request has been read, and takes the copies that come before its response.
    pub fn take_before_answer(&mut self) -> String {
        for copy in &mut self.copies {
            copy.reads += 1;
        }
        self.take(|copy| copy.is_due(false))
    }

    /// Takes the copies that come right after a response.
    pub fn take_behind_answer(&mut self) -> String {
        self.take(|copy| copy.is_due(true))
    }

    /// Waits until a copy is due on the idle connection and takes it. Never ends without one.
    pub async fn take_idle(&mut self) -> String {
        let Some(end) = self.copies.iter().filter_map(QueuedCopy::idle_end).min() else {
            return std::future::pending().await;
        };
        sleep_until(end).await;
        self.take(|copy| copy.idle_end().is_some_and(|copy_end| copy_end <= end))
    }

    fn take(&mut self, is_due: impl Fn(&QueuedCopy) -> bool) -> String {
        let due = self.copies.extract_if(.., |copy| is_due(copy));
        due.map(|copy| copy.text).collect()
    }
}
