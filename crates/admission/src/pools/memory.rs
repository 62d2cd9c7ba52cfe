//! What a VM remembers of the pools that it has asked.

use super::search::TokenAsk;
use plantainmill_core::{DomainName, OrganisationId, Uptime, VmId};
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a holder that did not answer is not asked.
pub const SILENCE_SKIP: Duration = Duration::from_millis(500);
/// Time for which a VM that does not hold the pool is not asked for it again. Views of the fleet differ for about as long.
const NOT_HELD_SKIP: Duration = Duration::from_millis(200);
/// Questions in a row without an answer after which a holder is not asked even where all other pools are empty.
const MAX_UNANSWERED: u32 = 3;
/// Number of remembered pools from which expired ones are removed.
const PRUNE_SIZE: usize = 1_024;

/// Why a pool is not asked now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SkipReason {
    /// The pool is empty and has named the time of its next token.
    Empty(Uptime),
    /// The pool is less than half full.
    Low,
    /// The holder did not answer the last question.
    Silent,
    /// The holder did not answer several questions, or does not hold the pool.
    Unavailable,
}

/// A holder that did not answer.
#[derive(Debug)]
struct SilentHolder {
    until: Uptime,
    /// Questions in a row that it did not answer.
    unanswered: u32,
}

/// Pools that are not asked before a certain time.
#[derive(Default)]
pub(super) struct PoolMemory {
    pools: HashMap<(OrganisationId, DomainName), (SkipReason, Uptime)>,
    silent: HashMap<VmId, SilentHolder>,
}

impl PoolMemory {
    /// Records a token from a pool that is low until `low_until`.
    pub fn record_granted(&mut self, ask: &TokenAsk, low_until: Uptime) {
        self.silent.remove(&ask.holder);
        self.record(ask, SkipReason::Low, low_until);
    }

    pub fn record_empty(&mut self, ask: &TokenAsk, next_at: Uptime) {
        self.silent.remove(&ask.holder);
        self.record(ask, SkipReason::Empty(next_at), next_at);
    }

    pub fn record_not_held(&mut self, ask: &TokenAsk, now: Uptime) {
        self.silent.remove(&ask.holder);
        self.record(ask, SkipReason::Unavailable, now + NOT_HELD_SKIP);
    }

    fn record(&mut self, ask: &TokenAsk, reason: SkipReason, until: Uptime) {
        let pool = (ask.organisation.clone(), ask.domain.clone());
        self.pools.insert(pool, (reason, until));
    }

    pub fn record_silent(&mut self, holder: &VmId, now: Uptime) {
        let silent = self.silent.entry(holder.clone()).or_insert(SilentHolder {
            until: now,
            unanswered: 0,
        });
        silent.until = now + SILENCE_SKIP;
        silent.unanswered += 1;
    }

    /// Whether and why the pool at `holder` is not asked now.
    pub fn skip_reason(
        &self,
        organisation: &OrganisationId,
        domain: &DomainName,
        holder: &VmId,
        now: Uptime,
    ) -> Option<SkipReason> {
        let pool = (organisation.clone(), domain.clone());
        let pool = self.pools.get(&pool).filter(|(_, until)| now < *until);
        let pool = pool.map(|(reason, _)| *reason);
        if let Some(SkipReason::Empty(_) | SkipReason::Unavailable) = pool {
            return pool;
        }
        let silent = self.silent.get(holder);
        match silent.filter(|silent| now < silent.until) {
            Some(silent) if silent.unanswered >= MAX_UNANSWERED => Some(SkipReason::Unavailable),
            Some(_) => Some(SkipReason::Silent),
            None => pool,
        }
    }

    /// Number of holders that are not asked because they did not answer.
    pub fn silent_count(&self, now: Uptime) -> usize {
        let silent = self.silent.values();
        silent.filter(|silent| now < silent.until).count()
    }

    /// Removes what has expired.
    pub fn prune(&mut self, now: Uptime) {
        self.silent
            .retain(|_, silent| now < silent.until + SILENCE_SKIP);
        if self.pools.len() >= PRUNE_SIZE {
            self.pools.retain(|_, (_, until)| now < *until);
        }
    }
}
