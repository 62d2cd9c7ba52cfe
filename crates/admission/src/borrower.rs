//! Demand of one organisation on this VM: borrowed tokens, loan requests in flight, and waiting callers.

use crate::message::LoanReport;
use plantainmill_core::{Uptime, VmId};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time constant of the request rate estimate.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Unspent tokens are returned after this time, so that other VMs can use them. It is well below the lifetime of a
/// loan.
const MAX_HOLD_TIME: Duration = Duration::from_millis(400);
/// Limit on concurrent loan requests while at most this many callers wait.
pub const MIN_FAN_OUT: usize = 1;
/// Limit on concurrent loan requests while a burst of callers waits.
pub const MAX_FAN_OUT: usize = 24;
/// A loan request covers the expected demand of this time.
const LOAN_HORIZON_S: f64 = 0.5;
/// Tokens are prefetched when those available cover less than the expected demand of this time.
const PREFETCH_HORIZON_S: f64 = 0.15;
/// Minimum request rate at which tokens are prefetched.
const MIN_PREFETCH_RATE_PER_S: f64 = 2.0;
/// Maximum number of tokens in one loan request.
const MAX_LOAN_TOKENS: u32 = 10_000;

/// Unspent tokens of one loan.
#[derive(Clone, Debug)]
struct BorrowedTokens {
    lender: VmId,
    loan: u64,
    left: u32,
    received_at: Uptime,
    expiry: Uptime,
}

/// A loan request in flight.
#[derive(Clone, Debug)]
struct LoanRequest {
    lender: VmId,
    sent_at: Uptime,
}

/// A caller whose request waits for a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingCaller {
    /// Wait number, as returned in [`RateDecision::Waits`](crate::state::RateDecision::Waits).
    pub wait: u64,
    /// Time at which the request is refused if no token has arrived.
    pub deadline: Uptime,
}

/// Demand of one organisation on this VM, and the tokens borrowed for it.
#[derive(Debug, Default)]
pub struct TokenDemand {
    borrowed: VecDeque<BorrowedTokens>,
    requests: HashMap<u64, LoanRequest>,
    /// Lenders that are not asked until the given time.
    excluded_until: HashMap<VmId, Uptime>,
    /// Waiting callers in order of arrival.
    pub callers: VecDeque<WaitingCaller>,
    /// Number of requests, decaying exponentially with [`DEMAND_TIME_CONSTANT`], as of `decayed_at`.
    arrivals: f64,
    decayed_at: Uptime,
}

impl TokenDemand {
    /// Counts one request in the rate estimate.
    pub fn record_arrival(&mut self, now: Uptime) {
        self.decay(now);
        self.arrivals += 1.0;
    }

    /// Estimated requests per second.
    pub fn rate(&mut self, now: Uptime) -> f64 {
        self.decay(now);
        self.arrivals / DEMAND_TIME_CONSTANT.as_secs_f64()
    }

    /// Spends one borrowed token. Returns false when there is none. A loan that is used up is added to `reports`.
    pub fn spend(&mut self, now: Uptime, reports: &mut Vec<(VmId, LoanReport)>) -> bool {
        self.drop_expired(now);
        let Some(tokens) = self.borrowed.front_mut() else {
            return false;
        };
        tokens.left -= 1;
        if tokens.left == 0
            && let Some(spent) = self.borrowed.pop_front()
        {
            reports.push(spent.report());
        }
        true
    }

    /// Number of unspent borrowed tokens that have not expired.
    #[must_use]
    pub fn borrowed_tokens(&self, now: Uptime) -> u32 {
        let valid = self.borrowed.iter().filter(|tokens| tokens.expiry > now);
        valid.map(|tokens| tokens.left).sum()
    }

    /// Whether tokens may be needed: callers wait, or the request rate is high enough to prefetch.
    pub fn may_need_tokens(&mut self, now: Uptime) -> bool {
        !self.callers.is_empty() || self.rate(now) >= MIN_PREFETCH_RATE_PER_S
    }

    /// Number of tokens to borrow now, given `own` tokens in own buckets; zero when none are needed.
    pub fn tokens_to_borrow(&mut self, own: u32, now: Uptime) -> u32 {
        let rate = self.rate(now);
        let ready = f64::from(own.saturating_add(self.borrowed_tokens(now)));
        let callers = u32::try_from(self.callers.len()).unwrap_or(MAX_LOAN_TOKENS);
        let prefetch = rate >= MIN_PREFETCH_RATE_PER_S && ready < rate * PREFETCH_HORIZON_S;
        if callers == 0 && !prefetch {
            return 0;
        }
        let horizon = floor_tokens(rate * LOAN_HORIZON_S);
        horizon.max(callers).clamp(1, MAX_LOAN_TOKENS)
    }

    /// Selects lenders from `holders`, in that order, and records a request to each. Loan numbers are taken from
    /// `next`.
    pub fn select_lenders(
        &mut self,
        holders: &[VmId],
        now: Uptime,
        next: &mut u64,
    ) -> Vec<(VmId, u64)> {
        let mut selected = Vec::new();
        let fan_out = self.callers.len().clamp(MIN_FAN_OUT, MAX_FAN_OUT);
        for lender in holders {
            if self.requests.len() >= fan_out {
                break;
            }
            let excluded = self
                .excluded_until
                .get(lender)
                .is_some_and(|until| now < *until);
            let pending = self
                .requests
                .values()
                .any(|request| request.lender == *lender);
            if excluded || pending {
                continue;
            }
            *next += 1;
            let request = LoanRequest {
                lender: lender.clone(),
                sent_at: now,
            };
            self.requests.insert(*next, request);
            selected.push((lender.clone(), *next));
        }
        selected
    }

    /// Processes a grant. A grant that was not requested, or that arrives twice, is ignored. For a grant that arrives
    /// after its lifetime, the result is a report that returns its tokens.
    pub fn handle_grant(
        &mut self,
        from: &VmId,
        loan: u64,
        tokens: u32,
        lifetime: Duration,
        now: Uptime,
    ) -> Option<LoanReport> {
        let request = self.requests.get(&loan)?;
        if request.lender != *from {
            return None;
        }
        let expiry = request.sent_at + lifetime;
        self.requests.remove(&loan);
        if tokens == 0 {
            return None;
        }
        if expiry <= now {
            return Some(LoanReport {
                loan,
                returned: tokens,
            });
        }
        self.excluded_until.remove(from);
        self.borrowed.push_back(BorrowedTokens {
            lender: from.clone(),
            loan,
            left: tokens,
            received_at: now,
            expiry,
        });
        None
    }

    /// Excludes `lender` from requests until `until`.
    pub fn exclude_lender(&mut self, lender: VmId, until: Uptime) {
        self.excluded_until.insert(lender, until);
    }

    /// Time until the first excluded lender may be asked again; `None` when no lender is excluded.
    #[must_use]
    pub fn earliest_lender_retry(&self, now: Uptime) -> Option<Duration> {
        let times = self.excluded_until.values();
        times.map(|until| until.saturating_sub(now)).min()
    }

    /// Whether a loan request is in flight.
    #[must_use]
    pub fn has_pending_request(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Returns tokens that were held too long, and times out loan requests and exclusions of lenders.
    pub fn maintain(
        &mut self,
        now: Uptime,
        request_timeout: Duration,
        reports: &mut Vec<(VmId, LoanReport)>,
    ) {
        self.drop_expired(now);
        let returned = self.borrowed.extract_idle(now);
        reports.extend(returned.iter().map(BorrowedTokens::report));
        self.excluded_until.retain(|_, until| now < *until);
        let excluded_until = &mut self.excluded_until;
        self.requests.retain(|_, request| {
            let open = now.saturating_sub(request.sent_at) < request_timeout;
            if !open {
                excluded_until.insert(request.lender.clone(), now + request_timeout);
            }
            open
        });
    }

    /// Whether the entry can be dropped: nothing is borrowed, requested or waiting, and the rate estimate is near
    /// zero.
    pub fn is_idle(&mut self, now: Uptime) -> bool {
        let inactive =
            self.callers.is_empty() && self.borrowed.is_empty() && self.requests.is_empty();
        inactive && self.excluded_until.is_empty() && self.rate(now) < 0.01
    }

    /// Returns all unspent tokens through `reports`.
    pub fn return_tokens(&mut self, reports: &mut Vec<(VmId, LoanReport)>) {
        let borrowed = std::mem::take(&mut self.borrowed);
        reports.extend(borrowed.iter().map(BorrowedTokens::report));
        self.requests.clear();
    }

    fn drop_expired(&mut self, now: Uptime) {
        while self
            .borrowed
            .front()
            .is_some_and(|tokens| tokens.expiry <= now)
        {
            self.borrowed.pop_front();
        }
        if self.borrowed.iter().any(|tokens| tokens.expiry <= now) {
            self.borrowed.retain(|tokens| tokens.expiry > now);
        }
    }

    fn decay(&mut self, now: Uptime) {
        let elapsed = now.saturating_sub(self.decayed_at);
        if !elapsed.is_zero() {
            self.arrivals *= (-elapsed.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
            self.decayed_at = now;
        }
    }
}

impl BorrowedTokens {
    fn report(&self) -> (VmId, LoanReport) {
        let report = LoanReport {
            loan: self.loan,
            returned: self.left,
        };
        (self.lender.clone(), report)
    }
}

/// Removal of loans whose tokens were held too long.
trait ExtractIdle {
    fn extract_idle(&mut self, now: Uptime) -> Vec<BorrowedTokens>;
}

impl ExtractIdle for VecDeque<BorrowedTokens> {
    fn extract_idle(&mut self, now: Uptime) -> Vec<BorrowedTokens> {
        let (due, kept) = std::mem::take(self)
            .into_iter()
            .partition(|tokens| now.saturating_sub(tokens.received_at) >= MAX_HOLD_TIME);
        *self = kept;
        Vec::from_iter::<VecDeque<BorrowedTokens>>(due)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Clamped to a small range.
fn floor_tokens(tokens: f64) -> u32 {
    tokens.floor().clamp(0.0, f64::from(MAX_LOAN_TOKENS)) as u32
}
