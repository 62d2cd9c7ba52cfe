//! Admissions of a VM that is cut off from its failure domain, from its own share of the domain's pools.

use super::pool::wait_for;
use super::search::TokenKind;
use plantainmill_core::{OrganisationId, Uptime};
use std::collections::HashMap;
use std::time::Duration;

/// Tokens that a share may accumulate.
const MAX_SAVED: f64 = 1.0;
/// Streams that continue may take a share below zero by this much time's worth of it.
const CONTINUATION_CREDIT: Duration = Duration::from_secs(1);
/// Tolerance for sums of fractions, in tokens.
const TOKEN_ERROR: f64 = 1e-6;

/// The shares that this VM uses while it is cut off.
#[derive(Default)]
pub(super) struct OwnShares {
    levels: HashMap<OrganisationId, (f64, Uptime)>,
}

impl OwnShares {
    /// Forgets all shares; the next ones start empty.
    pub fn clear(&mut self) {
        self.levels.clear();
    }

    /// Takes a token from the share of `rate` per second, which is used since `since`. Returns the time until the next
    /// token if there is none.
    pub fn take(
        &mut self,
        organisation: &OrganisationId,
        rate: f64,
        kind: TokenKind,
        since: Uptime,
        now: Uptime,
    ) -> Result<(), Duration> {
        let share = self
            .levels
            .entry(organisation.clone())
            .or_insert((0.0, since));
        let elapsed = now.saturating_sub(share.1).as_secs_f64();
        *share = ((share.0 + rate * elapsed).min(MAX_SAVED), share.1.max(now));
        let credit = match kind {
            TokenKind::Request => 0.0,
            TokenKind::Continuation => rate * CONTINUATION_CREDIT.as_secs_f64(),
        };
        let missing = 1.0 - (share.0 + credit);
        if missing > TOKEN_ERROR {
            return Err(wait_for(missing, rate));
        }
        share.0 -= 1.0;
        Ok(())
    }

    /// Takes back a token that was not used.
    pub fn take_back(&mut self, organisation: &OrganisationId) {
        if let Some(share) = self.levels.get_mut(organisation) {
            share.0 = (share.0 + 1.0).min(MAX_SAVED);
        }
    }
}
