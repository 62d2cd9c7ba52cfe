//! The part of a limit that one VM may use, with what it has saved of it.

use plantainmill_core::Uptime;
use std::time::Duration;

/// Rounding error of the saved requests.
const TOKEN_ERROR: f64 = 1e-6;

/// The part of a limit that one VM may use. Starts empty.
#[derive(Debug)]
pub(super) struct TokenShare {
    /// Requests a second.
    pub rate: f64,
    /// Requests that may be saved.
    pub max_tokens: f64,
    tokens: f64,
    refilled_at: Uptime,
}

impl TokenShare {
    pub fn new(now: Uptime) -> TokenShare {
        TokenShare {
            rate: 0.0,
            max_tokens: 0.0,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Replaces rate and bound; what was saved stays, up to the former bound.
    pub fn set(&mut self, (rate, max_tokens): (f64, f64), now: Uptime) {
        let is_same = self.rate.total_cmp(&rate).is_eq();
        if is_same && self.max_tokens.total_cmp(&max_tokens).is_eq() {
            return;
        }
        self.refill(now);
        (self.rate, self.max_tokens) = (rate, max_tokens);
    }

    /// Saved requests, and those that would be saved without the bound.
    fn unbounded_at(&self, now: Uptime) -> f64 {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens + self.rate * elapsed
    }

    fn tokens_at(&self, now: Uptime) -> f64 {
        self.unbounded_at(now).min(self.max_tokens)
    }

    pub fn refill(&mut self, now: Uptime) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    pub fn take(&mut self, now: Uptime) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    pub fn is_exhausted(&self, now: Uptime) -> bool {
        self.tokens_at(now) < 1.0 - TOKEN_ERROR
    }

    /// Whether no more can be saved, so that a request uses what would be lost otherwise.
    pub fn is_full(&self, now: Uptime) -> bool {
        self.max_tokens > 0.0 && self.tokens_at(now) >= self.max_tokens - TOKEN_ERROR
    }

    /// Requests that were lost since the last use, because no more could be saved.
    pub fn lost_at(&self, now: Uptime) -> f64 {
        (self.unbounded_at(now) - self.max_tokens).max(0.0)
    }

    /// Time until a request may be sent; `None` if never.
    pub fn next_free(&self, now: Uptime) -> Option<Duration> {
        if !self.is_exhausted(now) {
            return Some(Duration::ZERO);
        }
        let missing = 1.0 - self.tokens_at(now);
        (self.rate > 0.0).then(|| Duration::from_secs_f64(missing / self.rate))
    }
}
