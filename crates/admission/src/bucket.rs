//! Token bucket with integer arithmetic, so that rounding never admits more than the rate.

use crate::split::Share;
use plantainmill_core::Uptime;
use std::time::Duration;

/// Internal units per token: a rate in nanotokens per second times a time in nanoseconds is a whole number of them.
const UNITS_PER_TOKEN: u128 = 1_000_000_000_000_000_000;

/// Token bucket in which lent tokens keep occupying capacity until their loan is resolved, so that `level +
/// outstanding <= burst` always holds.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    level: u128,
    outstanding: u128,
    burst: u128,
    rate_nanotokens: u128,
    refilled_at: Uptime,
}

impl TokenBucket {
    /// Creates an empty bucket that refills from `now` on.
    #[must_use]
    pub fn empty(share: Share, now: Uptime) -> TokenBucket {
        TokenBucket {
            level: 0,
            outstanding: 0,
            burst: u128::from(share.burst) * UNITS_PER_TOKEN,
            rate_nanotokens: u128::from(share.rate),
            refilled_at: now,
        }
    }

    /// Creates a bucket that holds the whole burst.
    #[must_use]
    pub fn full(share: Share, now: Uptime) -> TokenBucket {
        let mut bucket = TokenBucket::empty(share, now);
        bucket.level = bucket.burst;
        bucket
    }

    /// Changes rate and burst from `now` on. Tokens above the new burst are discarded.
    pub fn set_share(&mut self, share: Share, now: Uptime) {
        self.refill(now);
        self.rate_nanotokens = u128::from(share.rate);
        self.burst = u128::from(share.burst) * UNITS_PER_TOKEN;
        self.level = self.level.min(self.burst.saturating_sub(self.outstanding));
    }

    /// Spends one token. Returns false when less than a whole token is available.
    pub fn take(&mut self, now: Uptime) -> bool {
        self.refill(now);
        if self.level < UNITS_PER_TOKEN {
            return false;
        }
        self.level -= UNITS_PER_TOKEN;
        true
    }

    /// Lends up to `wanted` tokens and returns the number lent.
    pub fn lend(&mut self, wanted: u32, now: Uptime) -> u32 {
        let lent = wanted.min(self.whole_tokens(now));
        self.level -= u128::from(lent) * UNITS_PER_TOKEN;
        self.outstanding += u128::from(lent) * UNITS_PER_TOKEN;
        lent
    }

    /// Resolves a loan of `lent` tokens, of which `returned` come back unspent.
    pub fn resolve(&mut self, lent: u32, returned: u32, now: Uptime) {
        self.refill(now);
        let lent = u128::from(lent) * UNITS_PER_TOKEN;
        let returned = (u128::from(returned) * UNITS_PER_TOKEN).min(lent);
        self.outstanding = self.outstanding.saturating_sub(lent);
        let room = self.burst.saturating_sub(self.outstanding);
        self.level = (self.level + returned).min(room);
    }

    /// Number of whole tokens available.
    pub fn whole_tokens(&mut self, now: Uptime) -> u32 {
        self.refill(now);
        u32::try_from(self.level / UNITS_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Whether the bucket is full and has no tokens lent, so that a new full bucket would be equal to it.
    pub fn is_full(&mut self, now: Uptime) -> bool {
        self.refill(now);
        self.level == self.burst && self.outstanding == 0
    }

    /// Number of tokens lent and not resolved yet.
    #[must_use]
    pub fn lent(&self) -> u32 {
        u32::try_from(self.outstanding / UNITS_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Whether more tokens are lent than the burst allows, which happens after the burst was reduced.
    #[must_use]
    pub fn is_overlent(&self) -> bool {
        self.outstanding > self.burst
    }

    /// Time until a whole token is available, or `None` when the bucket cannot refill that far.
    pub fn time_until_token(&mut self, now: Uptime) -> Option<Duration> {
        self.refill(now);
        let missing = UNITS_PER_TOKEN.saturating_sub(self.level);
        let room = self.burst.saturating_sub(self.outstanding + self.level);
        if missing > room || (missing > 0 && self.rate_nanotokens == 0) {
            return None;
        }
        let nanos = missing.div_ceil(self.rate_nanotokens.max(1));
        Some(Duration::from_nanos(
            u64::try_from(nanos).unwrap_or(u64::MAX),
        ))
    }

    /// Adds the tokens accrued since the last refill. A time before the last refill adds nothing.
    fn refill(&mut self, now: Uptime) {
        if now <= self.refilled_at {
            return;
        }
        let nanos = now.saturating_sub(self.refilled_at).as_nanos();
        self.refilled_at = now;
        let room = self.burst.saturating_sub(self.outstanding + self.level);
        self.level += nanos.saturating_mul(self.rate_nanotokens).min(room);
    }
}
