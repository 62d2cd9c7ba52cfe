//! The pools that a VM holds.

use super::pool::TokenPool;
use super::search::{RateLimit, TokenKind};
use super::view::{OwnPlace, ViewHistory};
use plantainmill_core::{DomainName, OrganisationId, Uptime, VmId};
use std::collections::HashMap;
use std::time::Duration;

/// Number of pools from which full ones are dropped. They are made again when they are asked.
const PRUNE_SIZE: usize = 4_096;

/// Time until the next token that a holder names before the refill of its pool has started.
const START_WAIT: Duration = Duration::from_millis(100);

/// A question to this VM, or of one of its own requests.
pub(super) struct PoolAsk<'a> {
    pub organisation: &'a OrganisationId,
    pub domain: &'a DomainName,
    /// Rate and burst of the pool: the organisation's, divided by the number of its pools.
    pub limit: RateLimit,
    pub kind: TokenKind,
    pub asker: &'a VmId,
    pub nonce: u64,
    pub valid: Duration,
}

/// A pool and its rate.
struct PoolEntry {
    pool: TokenPool,
    /// Fraction of its rate at which the pool is refilled, by the current view.
    fraction: f64,
    /// Rate of the pool while all VMs of its domain are heard, per second.
    full_rate: f64,
}

/// The pools that this VM holds. Those that nobody has asked yet follow from the views that it has had.
#[derive(Default)]
pub(super) struct HeldPools {
    pools: HashMap<(OrganisationId, DomainName), PoolEntry>,
}

impl HeldPools {
    /// Takes a token for `ask`. Returns the time until the next one if the pool is empty, and nothing if this VM does not
    /// hold the pool.
    pub fn take(
        &mut self,
        own: &OwnPlace,
        history: &ViewHistory,
        ask: &PoolAsk<'_>,
        now: Uptime,
    ) -> Option<Result<(), Duration>> {
        let key = (ask.organisation.clone(), ask.domain.clone());
        let (full_rate, capacity) = (ask.limit.rate, ask.limit.burst);
        if !self.pools.contains_key(&key) {
            let held = history.held_pool(own, ask.organisation, ask.domain, now)?;
            if held.fraction <= 0.0 {
                return Some(Err(START_WAIT));
            }
            if self.pools.len() >= PRUNE_SIZE {
                self.pools.retain(|_, entry| !entry.pool.is_idle(now));
            }
            let (level, rate) = (full_rate * held.refilled_seconds, full_rate * held.fraction);
            let entry = PoolEntry {
                pool: TokenPool::new(level, rate, capacity, now),
                fraction: held.fraction,
                full_rate,
            };
            self.pools.insert(key.clone(), entry);
        }
        let entry = self.pools.get_mut(&key)?;
        entry.full_rate = full_rate;
        entry
            .pool
            .set_limit(full_rate * entry.fraction, capacity, now);
        Some(
            entry
                .pool
                .take(ask.kind, ask.asker, ask.nonce, ask.valid, now),
        )
    }

    /// Time until the pool is half full; zero if this VM does not hold it.
    pub fn time_to_half(
        &mut self,
        organisation: &OrganisationId,
        domain: &DomainName,
        now: Uptime,
    ) -> Duration {
        let entry = self.pools.get_mut(&(organisation.clone(), domain.clone()));
        entry.map_or(Duration::ZERO, |entry| entry.pool.time_to_half(now))
    }

    /// Takes back a token that was not used. Returns false if it is lost.
    pub fn take_back(
        &mut self,
        organisation: &OrganisationId,
        domain: &DomainName,
        asker: &VmId,
        nonce: u64,
        now: Uptime,
    ) -> bool {
        let entry = self.pools.get_mut(&(organisation.clone(), domain.clone()));
        entry.is_some_and(|entry| entry.pool.take_back(asker, nonce, now))
    }

    /// Applies a new view: discards the pools that this VM no longer holds, and changes the rates of the others.
    pub fn update(&mut self, own: &OwnPlace, history: &ViewHistory, now: Uptime) {
        self.pools.retain(|(organisation, domain), entry| {
            let held = history.held_pool(own, organisation, domain, now);
            held.is_some_and(|held| {
                entry.fraction = held.fraction;
                entry.pool.set_rate(entry.full_rate * held.fraction, now);
                true
            })
        });
    }

    /// Discards all pools.
    pub fn clear(&mut self) {
        self.pools.clear();
    }

    /// Number of pools that have been asked.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// The pools with their tokens, for the diagnostic dump.
    pub fn dump(&mut self, now: Uptime) -> serde_json::Value {
        let pools = self.pools.iter_mut();
        pools
            .map(|((organisation, domain), entry)| {
                serde_json::json!({
                    "organisation": organisation, "domain": domain, "tokens": entry.pool.level(now),
                })
            })
            .collect()
    }
}
