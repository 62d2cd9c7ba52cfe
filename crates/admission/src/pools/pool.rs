//! One token pool at its holder.

use super::placement::to_f64;
use super::search::TokenKind;
use plantainmill_core::{Uptime, VmId};
use std::collections::VecDeque;
use std::time::Duration;

/// Time within which a token that was not used may be returned.
const RETURN_TIME: Duration = Duration::from_secs(5);
/// Streams that continue may take a pool below zero by this much time's worth of its rate.
const CONTINUATION_CREDIT: Duration = Duration::from_secs(1);
/// Tolerance for sums of fractions, in tokens.
const TOKEN_ERROR: f64 = 1e-6;
/// Shortest time that is named to a VM that asks an empty pool.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Longest time that is named; a pool with a lower rate is asked again after it.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// A token that was granted and may still be used or returned.
#[derive(Debug)]
struct TokenGrant {
    asker: VmId,
    nonce: u64,
    granted_at: Uptime,
    /// Time after which the asker no longer admits a request by it.
    usable_until: Uptime,
}

/// A token bucket that also counts the granted tokens that may still be used: both together never exceed the capacity.
/// So the requests admitted by its tokens in any window of w seconds are at most `rate * w + capacity`, although tokens
/// are used later than they are granted.
#[derive(Debug)]
pub struct TokenPool {
    level: f64,
    /// Tokens per second.
    rate: f64,
    /// Tokens.
    capacity: f64,
    refilled_at: Uptime,
    grants: VecDeque<TokenGrant>,
}

impl TokenPool {
    /// A pool with `level` tokens at `now`. Its rate is per second, its capacity in tokens and at least 1.
    #[must_use]
    pub fn new(level: f64, rate: f64, capacity: f64, now: Uptime) -> TokenPool {
        let capacity = capacity.max(1.0);
        TokenPool {
            level: level.clamp(0.0, capacity),
            rate,
            capacity,
            refilled_at: now,
            grants: VecDeque::new(),
        }
    }

    /// Changes the rate, per second.
    pub fn set_rate(&mut self, rate: f64, now: Uptime) {
        self.refill(now);
        self.rate = rate;
    }

    /// Changes rate and capacity. Tokens above the new capacity are lost.
    pub fn set_limit(&mut self, rate: f64, capacity: f64, now: Uptime) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity.max(1.0);
        self.cap(now);
    }

    /// Takes a token for `asker`, which uses it within `valid`.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token if the pool is empty.
    pub fn take(
        &mut self,
        kind: TokenKind,
        asker: &VmId,
        nonce: u64,
        valid: Duration,
        now: Uptime,
    ) -> Result<(), Duration> {
        self.refill(now);
        let credit = match kind {
            TokenKind::Request => 0.0,
            TokenKind::Continuation => self.rate * CONTINUATION_CREDIT.as_secs_f64(),
        };
        let missing = 1.0 - (self.level + credit);
        if missing > TOKEN_ERROR {
            return Err(wait_for(missing, self.rate));
        }
        self.level -= 1.0;
        self.grants.push_back(TokenGrant {
            asker: asker.clone(),
            nonce,
            granted_at: now,
            usable_until: now + valid,
        });
        Ok(())
    }

    /// Takes back a token that was not used. Returns false if it is no longer known, in which case it is lost.
    pub fn take_back(&mut self, asker: &VmId, nonce: u64, now: Uptime) -> bool {
        self.refill(now);
        let is_returned = |grant: &TokenGrant| grant.nonce == nonce && grant.asker == *asker;
        let Some(position) = self.grants.iter().position(is_returned) else {
            return false;
        };
        self.grants.remove(position);
        // The grant counted against the capacity, so there is room.
        self.level += 1.0;
        true
    }

    /// Tokens at `now`; negative while continued streams have borrowed.
    pub fn level(&mut self, now: Uptime) -> f64 {
        self.refill(now);
        self.level
    }

    /// Time from `now` until the pool is half full.
    pub fn time_to_half(&mut self, now: Uptime) -> Duration {
        self.refill(now);
        let missing = self.capacity / 2.0 - self.level;
        if missing > 0.0 {
            wait_for(missing, self.rate)
        } else {
            Duration::ZERO
        }
    }

    /// Whether a new pool that has refilled for long would be the same.
    pub fn is_idle(&mut self, now: Uptime) -> bool {
        self.refill(now);
        self.grants.is_empty() && self.level >= self.capacity - TOKEN_ERROR
    }

    /// Adds the tokens of the time since the last refill. Goes from one end of a grant to the next, because a token that is
    /// still usable takes up room.
    fn refill(&mut self, now: Uptime) {
        while self.refilled_at < now {
            let ends = self.grants.iter().map(|grant| grant.usable_until);
            let pending =
                ends.filter(|end| (self.refilled_at + Duration::from_nanos(1)..now).contains(end));
            let step_end = pending.min().unwrap_or(now);
            let elapsed = step_end.saturating_sub(self.refilled_at).as_secs_f64();
            self.level += self.rate * elapsed;
            self.refilled_at = step_end;
            self.cap(step_end);
        }
        let is_old = |grant: &TokenGrant| now.saturating_sub(grant.granted_at) >= RETURN_TIME;
        while self.grants.front().is_some_and(is_old) {
            self.grants.pop_front();
        }
    }

    /// Keeps level and grants within the capacity: first forgets tokens that can only be returned, then loses new tokens.
    fn cap(&mut self, now: Uptime) {
        while self.level + to_f64(self.grants.len()) > self.capacity + TOKEN_ERROR {
            let is_spent = |grant: &TokenGrant| grant.usable_until <= now;
            let Some(position) = self.grants.iter().position(is_spent) else {
                self.level = self.capacity - to_f64(self.grants.len());
                return;
            };
            self.grants.remove(position);
        }
        self.level = self.level.min(self.capacity);
    }
}

/// Time until `missing` tokens have come in at `rate` per second, within the range that is named to other VMs.
pub(super) fn wait_for(missing: f64, rate: f64) -> Duration {
    let seconds = missing / rate.max(f64::MIN_POSITIVE);
    let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT);
    wait.clamp(MIN_WAIT, MAX_WAIT)
}
