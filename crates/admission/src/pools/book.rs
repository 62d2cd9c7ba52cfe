//! All pool state of one VM: the pools that it holds, and its searches for tokens of others.

use super::holder::{HeldPools, PoolAsk};
use super::memory::{PoolMemory, SkipReason};
use super::placement::{holder_of, pool_domains, to_f64};
use super::search::{
    AskOutcome, RateLimit, TokenAsk, TokenKind, TokenReceipt, TokenReply, TokenSearch, TokenStep,
};
use super::share::OwnShares;
use super::view::{FleetView, KnownDomains, OwnPlace, ViewHistory};
use plantainmill_core::{DomainName, OrganisationId, RegionName, Uptime, VmId};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Time-out of a question within the region, in which a round trip takes a few milliseconds.
const NEAR_TIMEOUT: Duration = Duration::from_millis(40);
/// Time-out of a question to another region.
const FAR_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without any call after which this VM counts as suspended. Other VMs replace a holder that they have not heard for
/// 2 s, and the last report before the suspension may be 0.6 s old.
const SUSPENSION_LIMIT: Duration = Duration::from_secs(1);
/// Range of the retry delay of a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Retry delay while no pool has named a time: silent holders are asked again by then.
const UNKNOWN_RETRY_DELAY: Duration = super::memory::SILENCE_SKIP;

/// Time after the first view from which only failure domains with VMs have pools. By then a VM has heard of all domains that
/// have any; before, all domains of the settings count, so that VMs that start agree with the others.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Number of organisations whose pools are kept. All are found again when there are more.
const MAX_PLACES: usize = 8_192;

/// Failure domain of a pool and the VM that holds it.
type PoolPlace = (DomainName, Option<VmId>);

/// Pools of an organisation with a certain burst.
struct KnownPlaces {
    burst: f64,
    pools: Vec<PoolPlace>,
}

/// Counts since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BookCounts {
    /// Questions sent to holders.
    pub asked: u64,
    /// Tokens granted to other VMs.
    pub granted: u64,
    /// Questions without an answer in time.
    pub silent: u64,
    /// Requests refused.
    pub refused: u64,
    /// Tokens that came back to a pool of this VM unused.
    pub returned: u64,
}

/// The pools that this VM holds, and what it knows of those of other VMs.
pub struct PoolBook {
    own: OwnPlace,
    history: ViewHistory,
    domains: KnownDomains,
    held: HeldPools,
    shares: OwnShares,
    memory: PoolMemory,
    /// Pools of the organisations in use, by the current view.
    places: HashMap<OrganisationId, KnownPlaces>,
    counts: BookCounts,
    next_nonce: u64,
    called_at: Uptime,
}

impl PoolBook {
    /// The book of `vm` in `domain`. `regions` lists all failure domains of the settings with their regions; nonces of
    /// questions start from `first_nonce`, which has to be higher at each start of the VM.
    #[must_use]
    pub fn new(
        vm: VmId,
        domain: DomainName,
        regions: BTreeMap<DomainName, RegionName>,
        first_nonce: u64,
    ) -> PoolBook {
        PoolBook {
            own: OwnPlace {
                vm,
                domain,
                regions,
            },
            history: ViewHistory::default(),
            domains: KnownDomains::default(),
            held: HeldPools::default(),
            shares: OwnShares::default(),
            memory: PoolMemory::default(),
            places: HashMap::new(),
            counts: BookCounts::default(),
            next_nonce: first_nonce,
            called_at: Uptime::ZERO,
        }
    }

    /// Notices the time. Called several times a second, since a longer silence means that this VM was suspended.
    pub fn tick(&mut self, now: Uptime) {
        self.notice_call(now);
        self.memory.prune(now);
        if self.domains.settle(SETTLING_TIME, now) {
            self.places.clear();
        }
    }

    /// Applies what is known of the fleet.
    pub fn set_fleet(&mut self, view: FleetView, now: Uptime) {
        self.notice_call(now);
        self.domains.record(&view, now);
        if self.history.push(view, now) {
            self.places.clear();
            self.held.update(&self.own, &self.history, now);
            if self.history.cut_off_since().is_none() {
                self.shares.clear();
            }
        }
    }

    /// Discards all tokens, because this VM stops.
    pub fn stop(&mut self) {
        self.history.clear();
        self.places.clear();
        self.held.clear();
        self.shares.clear();
    }

    /// Notices that this VM was suspended: others may have replaced it, so that it holds nothing until it has looked again.
    fn notice_call(&mut self, now: Uptime) {
        if now.saturating_sub(self.called_at) > SUSPENSION_LIMIT {
            self.stop();
        }
        self.called_at = self.called_at.max(now);
    }

    /// Starts the search of a request of `organisation` for a token.
    pub fn start(
        &mut self,
        organisation: &OrganisationId,
        limit: RateLimit,
        kind: TokenKind,
        now: Uptime,
    ) -> (TokenSearch, TokenStep) {
        self.notice_call(now);
        let places = self.places(organisation, limit);
        let domains: VecDeque<DomainName> = places.iter().map(|place| place.0.clone()).collect();
        let mut search = TokenSearch {
            organisation: organisation.clone(),
            limit,
            kind,
            pools: domains.len(),
            remaining: domains,
            low: VecDeque::new(),
            skipped: VecDeque::new(),
            asked: None,
            next_token_at: None,
            asks_low: false,
            is_last_resort: false,
        };
        let step = if limit.rate > 0.0 {
            self.next_step(&mut search, now)
        } else {
            TokenStep::Admitted(TokenReceipt::Unlimited)
        };
        (search, step)
    }

    /// Pools of an organisation in the order in which they are asked, with their holders by the current view.
    fn places(&mut self, organisation: &OrganisationId, limit: RateLimit) -> &[PoolPlace] {
        if self.places.len() >= MAX_PLACES && !self.places.contains_key(organisation) {
            self.places.clear();
        }
        let (own, history, known) = (&self.own, &self.history, &self.domains);
        let find = || {
            let domains = own.regions.keys();
            let domains =
                domains.filter(|domain| **domain == own.domain || known.may_have_vms(domain));
            let mut domains = pool_domains(organisation, limit.burst, domains);
            own.sort_domains(&mut domains);
            let holders = domains.into_iter().map(|domain| {
                let members = history.current().and_then(|view| view.members.get(&domain));
                let members = members.into_iter().flatten();
                let holder = holder_of(organisation, &domain, members).cloned();
                (domain, holder)
            });
            KnownPlaces {
                burst: limit.burst,
                pools: holders.collect(),
            }
        };
        let known = self.places.entry(organisation.clone());
        let known = known.or_insert_with(find);
        if (known.burst - limit.burst).abs() > f64::EPSILON {
            *known = find();
        }
        &known.pools
    }

    fn holder(&mut self, search: &TokenSearch, domain: &DomainName) -> Option<VmId> {
        let places = self.places(&search.organisation, search.limit);
        let place = places.iter().find(|place| place.0 == *domain);
        place.and_then(|place| place.1.clone())
    }

    /// Continues a search with the outcome of its question.
    pub fn advance(
        &mut self,
        search: &mut TokenSearch,
        outcome: AskOutcome,
        now: Uptime,
    ) -> TokenStep {
        self.notice_call(now);
        if let Some(ask) = search.asked.take() {
            match outcome {
                AskOutcome::Answered(TokenReply::Granted { low_ms }) => {
                    let low_until = now + Duration::from_millis(low_ms.into());
                    self.memory.record_granted(&ask, low_until);
                    return TokenStep::Admitted(TokenReceipt::Granted(ask));
                }
                AskOutcome::Answered(TokenReply::Empty { wait_ms }) => {
                    let next_at = now + Duration::from_millis(wait_ms.into());
                    search.record_next(next_at);
                    self.memory.record_empty(&ask, next_at);
                }
                AskOutcome::Answered(TokenReply::NotHeld) => {
                    self.memory.record_not_held(&ask, now);
                }
                AskOutcome::Silent => {
                    self.counts.silent += 1;
                    self.memory.record_silent(&ask.holder, now);
                    if !search.is_last_resort {
                        search.skipped.push_back(ask.domain);
                    }
                }
            }
        }
        self.next_step(search, now)
    }

    fn next_step(&mut self, search: &mut TokenSearch, now: Uptime) -> TokenStep {
        while let Some(domain) = search.next_domain() {
            if let Some(step) = self.consider(search, &domain, now) {
                return step;
            }
        }
        // Single datagrams are lost, so one more question to a holder that did not answer is better than a refusal.
        while let Some(domain) = search.skipped.pop_front() {
            search.is_last_resort = true;
            if let Some(step) = self.consider(search, &domain, now) {
                return step;
            }
        }
        self.counts.refused += 1;
        let retry_after = search
            .next_token_at
            .map_or(UNKNOWN_RETRY_DELAY, |at| at.saturating_sub(now));
        TokenStep::Refused {
            retry_after: retry_after.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        }
    }

    /// Tries the pool of one failure domain. Returns nothing if it has no token now.
    fn consider(
        &mut self,
        search: &mut TokenSearch,
        domain: &DomainName,
        now: Uptime,
    ) -> Option<TokenStep> {
        let nonce = self.next_nonce;
        let holder = self.holder(search, domain);
        let view = self.history.current()?;
        let is_own = holder.as_ref() == Some(&self.own.vm);
        let ask = PoolAsk {
            organisation: &search.organisation,
            domain,
            limit: divide(search.limit, search.pools),
            kind: search.kind,
            asker: &self.own.vm,
            nonce,
            valid: Duration::ZERO,
        };
        let held = if is_own || view.is_alone {
            self.held.take(&self.own, &self.history, &ask, now)
        } else {
            None
        };
        match held {
            Some(Ok(())) => {
                self.next_nonce += 1;
                return Some(TokenStep::Admitted(TokenReceipt::Held {
                    organisation: search.organisation.clone(),
                    domain: domain.clone(),
                    nonce,
                }));
            }
            Some(Err(wait)) => {
                search.record_next(now + wait);
                return None;
            }
            None => {}
        }
        if *domain == self.own.domain
            && let Some(since) = self.history.cut_off_since()
        {
            return self.take_share(search, since, now);
        }
        let holder = holder.filter(|_| !is_own)?;
        let skip_reason = self
            .memory
            .skip_reason(&search.organisation, domain, &holder, now);
        match skip_reason {
            Some(SkipReason::Empty(next_at)) => {
                search.record_next(next_at);
                return None;
            }
            Some(SkipReason::Silent) if !search.is_last_resort => {
                search.skipped.push_back(domain.clone());
                return None;
            }
            Some(SkipReason::Low) if !search.asks_low => {
                search.low.push_back(domain.clone());
                return None;
            }
            Some(SkipReason::Unavailable) => return None,
            Some(SkipReason::Silent | SkipReason::Low) | None => {}
        }
        let valid = if self.own.is_same_region(domain) {
            NEAR_TIMEOUT
        } else {
            FAR_TIMEOUT
        };
        let ask = TokenAsk {
            domain: domain.clone(),
            holder,
            organisation: search.organisation.clone(),
            kind: search.kind,
            nonce,
            valid,
        };
        self.next_nonce += 1;
        self.counts.asked += 1;
        search.asked = Some(ask.clone());
        Some(TokenStep::Ask(ask))
    }

    /// Tries this VM's own share of the pool of its domain, from which it is cut off.
    fn take_share(
        &mut self,
        search: &mut TokenSearch,
        since: Uptime,
        now: Uptime,
    ) -> Option<TokenStep> {
        let known = self.history.current().map_or(1, |view| view.known.max(1));
        let rate = divide(search.limit, search.pools).rate / to_f64(known);
        let organisation = search.organisation.clone();
        match self
            .shares
            .take(&organisation, rate, search.kind, since, now)
        {
            Ok(()) => Some(TokenStep::Admitted(TokenReceipt::Share { organisation })),
            Err(wait) => {
                search.record_next(now + wait);
                None
            }
        }
    }

    /// Answers the question of `asker` for a token of this VM's pool. `limit` is the one that is in force here; nothing if
    /// the organisation has none.
    pub fn answer(
        &mut self,
        asker: &VmId,
        ask: &TokenAsk,
        limit: Option<RateLimit>,
        now: Uptime,
    ) -> TokenReply {
        self.notice_call(now);
        let Some(limit) = limit.filter(|limit| limit.rate > 0.0) else {
            return TokenReply::NotHeld;
        };
        let places = self.places(&ask.organisation, limit);
        let pools = places.len();
        if places.iter().all(|place| place.0 != ask.domain) {
            return TokenReply::NotHeld;
        }
        let pool_ask = PoolAsk {
            organisation: &ask.organisation,
            domain: &ask.domain,
            limit: divide(limit, pools),
            kind: ask.kind,
            asker,
            nonce: ask.nonce,
            valid: ask.valid.min(FAR_TIMEOUT),
        };
        match self.held.take(&self.own, &self.history, &pool_ask, now) {
            Some(Ok(())) => {
                self.counts.granted += 1;
                let (organisation, domain) = (&ask.organisation, &ask.domain);
                let half_full = self.held.time_to_half(organisation, domain, now);
                TokenReply::Granted {
                    low_ms: whole_millis(half_full),
                }
            }
            Some(Err(wait)) => TokenReply::Empty {
                // Rounded up: a question just before the token would be refused again.
                wait_ms: whole_millis(wait).saturating_add(1),
            },
            None => TokenReply::NotHeld,
        }
    }

    /// Takes back a token that `asker` has not used. It is lost if this VM no longer knows the grant.
    pub fn take_back(&mut self, asker: &VmId, ask: &TokenAsk, now: Uptime) {
        let (organisation, domain) = (&ask.organisation, &ask.domain);
        let is_known = self
            .held
            .take_back(organisation, domain, asker, ask.nonce, now);
        self.counts.returned += u64::from(is_known);
    }

    /// Returns the token of a request that provably did not run. For a token of another VM, returns the question whose
    /// holder has to be told.
    pub fn give_back(&mut self, receipt: TokenReceipt, now: Uptime) -> Option<TokenAsk> {
        match receipt {
            TokenReceipt::Unlimited => None,
            TokenReceipt::Granted(ask) => Some(ask),
            TokenReceipt::Held {
                organisation,
                domain,
                nonce,
            } => {
                let vm = self.own.vm.clone();
                let is_known = self.held.take_back(&organisation, &domain, &vm, nonce, now);
                self.counts.returned += u64::from(is_known);
                None
            }
            TokenReceipt::Share { organisation } => {
                self.shares.take_back(&organisation);
                None
            }
        }
    }

    /// Counts since the start.
    #[must_use]
    pub fn counts(&self) -> BookCounts {
        self.counts
    }

    /// Number of pools that this VM holds and that have been asked.
    #[must_use]
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Number of holders that are not asked now because they did not answer.
    #[must_use]
    pub fn silent_count(&self, now: Uptime) -> usize {
        self.memory.silent_count(now)
    }

    /// Internal state as JSON, for the diagnostic dump.
    #[must_use]
    pub fn dump(&mut self, now: Uptime) -> serde_json::Value {
        let view = self.history.current().cloned().unwrap_or_default();
        serde_json::json!({
            "held": self.held.dump(now),
            "heard": view.heard,
            "known": view.known,
            "is_alone": view.is_alone,
            "is_cut_off": view.is_cut_off(),
            "silent_holders": self.silent_count(now),
            "asked": self.counts.asked,
            "granted": self.counts.granted,
            "unanswered": self.counts.silent,
            "refused": self.counts.refused,
            "returned": self.counts.returned,
        })
    }
}

impl TokenSearch {
    /// The next failure domain to consider: pools that are low come last.
    fn next_domain(&mut self) -> Option<DomainName> {
        if self.remaining.is_empty() {
            self.asks_low = true;
            return self.low.pop_front();
        }
        self.remaining.pop_front()
    }

    fn record_next(&mut self, at: Uptime) {
        let earliest = self.next_token_at.map_or(at, |known| known.min(at));
        self.next_token_at = Some(earliest);
    }
}

/// Milliseconds, rounded down.
fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Rate and burst of one of `pools` pools.
fn divide(limit: RateLimit, pools: usize) -> RateLimit {
    let pools = to_f64(pools.max(1));
    RateLimit {
        rate: limit.rate / pools,
        burst: limit.burst.max(1.0) / pools,
    }
}
