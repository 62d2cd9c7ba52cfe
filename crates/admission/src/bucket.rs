//! Token bucket in integers, so that no rounding admits more than the rate.

use crate::split::Share;
use plantainmill_core::Uptime;
use std::time::Duration;

/// Parts of one token. A rate in nanotokens per second times nanoseconds gives whole parts.
const TOKEN_PARTS: u128 = 1_000_000_000_000_000_000;

/// A token bucket whose lent tokens count as still inside until they are resolved:
/// `level + outstanding <= burst` holds at any time.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    level: u128,
    outstanding: u128,
    burst: u128,
    rate_nanotokens: u128,
    settled: Uptime,
}

impl TokenBucket {
    /// A bucket without tokens that fills from `now` on.
    #[must_use]
    pub fn empty(share: Share, now: Uptime) -> TokenBucket {
        TokenBucket {
            level: 0,
            outstanding: 0,
            burst: u128::from(share.burst) * TOKEN_PARTS,
            rate_nanotokens: u128::from(share.rate),
            settled: now,
        }
    }

    /// A full bucket.
    #[must_use]
    pub fn full(share: Share, now: Uptime) -> TokenBucket {
        let mut bucket = TokenBucket::empty(share, now);
        bucket.level = bucket.burst;
        bucket
    }

    /// Changes rate and burst from `now` on. Tokens above the new burst are lost.
    pub fn set_share(&mut self, share: Share, now: Uptime) {
        self.settle(now);
        self.rate_nanotokens = u128::from(share.rate);
        self.burst = u128::from(share.burst) * TOKEN_PARTS;
        self.level = self.level.min(self.burst.saturating_sub(self.outstanding));
    }

    /// Takes one token.
    pub fn take(&mut self, now: Uptime) -> bool {
        self.settle(now);
        if self.level < TOKEN_PARTS {
            return false;
        }
        self.level -= TOKEN_PARTS;
        true
    }

    /// Takes up to `wanted` tokens out for a loan and gives their number.
    pub fn lend(&mut self, wanted: u32, now: Uptime) -> u32 {
        let lent = wanted.min(self.whole(now));
        self.level -= u128::from(lent) * TOKEN_PARTS;
        self.outstanding += u128::from(lent) * TOKEN_PARTS;
        lent
    }

    /// Resolves `lent` tokens of a loan, of which `returned` come back unspent.
    pub fn resolve(&mut self, lent: u32, returned: u32, now: Uptime) {
        self.settle(now);
        let lent = u128::from(lent) * TOKEN_PARTS;
        let returned = (u128::from(returned) * TOKEN_PARTS).min(lent);
        self.outstanding = self.outstanding.saturating_sub(lent);
        let room = self.burst.saturating_sub(self.outstanding);
        self.level = (self.level + returned).min(room);
    }

    /// Whole tokens inside.
    pub fn whole(&mut self, now: Uptime) -> u32 {
        self.settle(now);
        u32::try_from(self.level / TOKEN_PARTS).unwrap_or(u32::MAX)
    }

    /// Says whether the bucket is full and no token is lent, so that a new full bucket is the same.
    pub fn is_full(&mut self, now: Uptime) -> bool {
        self.settle(now);
        self.level == self.burst && self.outstanding == 0
    }

    /// Whole tokens that are lent.
    #[must_use]
    pub fn lent(&self) -> u32 {
        u32::try_from(self.outstanding / TOKEN_PARTS).unwrap_or(u32::MAX)
    }

    /// More tokens are lent than the burst allows, since the burst shrank.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.outstanding > self.burst
    }

    /// Time until a whole token is inside, or none when the bucket does not fill that far.
    pub fn wait(&mut self, now: Uptime) -> Option<Duration> {
        self.settle(now);
        let missing = TOKEN_PARTS.saturating_sub(self.level);
        let room = self.burst.saturating_sub(self.outstanding + self.level);
        if missing > room || (missing > 0 && self.rate_nanotokens == 0) {
            return None;
        }
        let nanos = missing.div_ceil(self.rate_nanotokens.max(1));
        Some(Duration::from_nanos(
            u64::try_from(nanos).unwrap_or(u64::MAX),
        ))
    }

    /// Adds what has accrued. Time that seems to run backwards adds nothing.
    fn settle(&mut self, now: Uptime) {
        if now <= self.settled {
            return;
        }
        let nanos = now.saturating_sub(self.settled).as_nanos();
        self.settled = now;
        let room = self.burst.saturating_sub(self.outstanding + self.level);
        self.level += nanos.saturating_mul(self.rate_nanotokens).min(room);
    }
}
