//! Retry budget, which limits retries to a share of recent requests.

use plantainmill_core::Uptime;
use std::collections::VecDeque;
use std::time::Duration;

/// Length of the sliding window in which requests count as recent.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Length of one bucket of the sliding window.
const BUCKET_LENGTH: Duration = Duration::from_secs(1);
/// Retries that are always allowed per window, so that a service with few requests can retry at all.
const RETRY_FLOOR: u64 = 2;

#[derive(Clone, Copy, Debug)]
struct BudgetBucket {
    start: Uptime,
    requests: u64,
    retries: u64,
}

/// Counts the requests and retries of one service in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    buckets: VecDeque<BudgetBucket>,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_request(&mut self, now: Uptime) {
        self.bucket(now).requests += 1;
        self.requests += 1;
    }

    /// Counts a retry and returns true if retries stay within `percent` of recent requests. Zero allows none.
    pub fn try_retry(&mut self, percent: u32, now: Uptime) -> bool {
        self.expire(now);
        let share = self.requests * u64::from(percent) / 100;
        let allowed = if percent == 0 {
            0
        } else {
            share.max(RETRY_FLOOR)
        };
        if self.retries >= allowed {
            return false;
        }
        self.bucket(now).retries += 1;
        self.retries += 1;
        true
    }

    fn bucket(&mut self, now: Uptime) -> &mut BudgetBucket {
        self.expire(now);
        let fresh = BudgetBucket {
            start: now,
            requests: 0,
            retries: 0,
        };
        let open = self
            .buckets
            .back()
            .is_some_and(|last| now < last.start + BUCKET_LENGTH);
        if !open {
            self.buckets.push_back(fresh);
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn expire(&mut self, now: Uptime) {
        while let Some(first) = self.buckets.front().copied() {
            if now < first.start + BUDGET_WINDOW {
                break;
            }
            self.requests -= first.requests;
            self.retries -= first.retries;
            self.buckets.pop_front();
        }
    }
}
