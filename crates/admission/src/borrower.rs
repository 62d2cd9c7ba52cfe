//! One organisation's demand on this VM: borrowed tokens, requests for more, and requests that wait.

use crate::message::LoanReport;
use plantainmill_core::{Uptime, VmId};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time constant of the estimated request rate.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Unspent tokens go back after this time, so that others can use them. It is well below the lifetime of a loan.
const HOLD_TIME: Duration = Duration::from_millis(400);
/// Lenders asked at the same time when few callers wait.
pub const FAN_OUT: usize = 1;
/// Lenders asked at the same time at most, when a burst waits.
pub const FAN_OUT_LIMIT: usize = 24;
/// A loan covers the demand of this time.
const LOAN_HORIZON_S: f64 = 0.5;
/// Below the demand of this time, tokens are borrowed ahead.
const LOW_HORIZON_S: f64 = 0.15;
/// Slower demand does not borrow ahead.
const AHEAD_LEAST_PER_S: f64 = 2.0;
/// Most tokens asked for at once.
const LOAN_LIMIT: u32 = 10_000;

/// Tokens in hand.
#[derive(Clone, Debug)]
struct BorrowedTokens {
    lender: VmId,
    loan: u64,
    left: u32,
    taken: Uptime,
    expiry: Uptime,
}

/// A request for tokens that was not answered.
#[derive(Clone, Debug)]
struct LoanRequest {
    lender: VmId,
    sent: Uptime,
}

/// A request of a caller that waits for a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingCaller {
    /// Number of the wait.
    pub wait: u64,
    /// When it is refused.
    pub deadline: Uptime,
}

/// Demand of one organisation.
#[derive(Debug, Default)]
pub struct TokenDemand {
    borrowed: VecDeque<BorrowedTokens>,
    requests: HashMap<u64, LoanRequest>,
    /// Lenders without tokens, and until when.
    avoided: HashMap<VmId, Uptime>,
    /// Callers in order of arrival.
    pub callers: VecDeque<WaitingCaller>,
    arrivals: f64,
    counted: Uptime,
}

impl TokenDemand {
    /// Counts an arrival.
    pub fn arrive(&mut self, now: Uptime) {
        self.decay(now);
        self.arrivals += 1.0;
    }

    /// Estimated arrivals per second.
    pub fn rate(&mut self, now: Uptime) -> f64 {
        self.decay(now);
        self.arrivals / DEMAND_TIME.as_secs_f64()
    }

    /// Spends a borrowed token. Fully spent loans are added to `reports`.
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

    /// Borrowed tokens in hand.
    #[must_use]
    pub fn in_hand(&self, now: Uptime) -> u32 {
        let valid = self.borrowed.iter().filter(|tokens| tokens.expiry > now);
        valid.map(|tokens| tokens.left).sum()
    }

    /// Tokens may be wanted: callers wait, or the demand is fast enough to borrow ahead.
    pub fn may_want(&mut self, now: Uptime) -> bool {
        !self.callers.is_empty() || self.rate(now) >= AHEAD_LEAST_PER_S
    }

    /// Tokens to ask for now, when `own` are left in own buckets; zero when there is no need.
    pub fn wanted(&mut self, own: u32, now: Uptime) -> u32 {
        let rate = self.rate(now);
        let ready = f64::from(own.saturating_add(self.in_hand(now)));
        let callers = u32::try_from(self.callers.len()).unwrap_or(LOAN_LIMIT);
        let ahead = rate >= AHEAD_LEAST_PER_S && ready < rate * LOW_HORIZON_S;
        if callers == 0 && !ahead {
            return 0;
        }
        let horizon = whole(rate * LOAN_HORIZON_S);
        horizon.max(callers).clamp(1, LOAN_LIMIT)
    }

    /// Picks lenders to ask, in the order of `holders`, and records the requests under the numbers of `next`.
    pub fn ask(&mut self, holders: &[VmId], now: Uptime, next: &mut u64) -> Vec<(VmId, u64)> {
        let mut asked = Vec::new();
        let fan_out = self.callers.len().clamp(FAN_OUT, FAN_OUT_LIMIT);
        for lender in holders {
            if self.requests.len() >= fan_out {
                break;
            }
            let avoided = self.avoided.get(lender).is_some_and(|until| now < *until);
            let pending = self
                .requests
                .values()
                .any(|request| request.lender == *lender);
            if avoided || pending {
                continue;
            }
            *next += 1;
            let request = LoanRequest {
                lender: lender.clone(),
                sent: now,
            };
            self.requests.insert(*next, request);
            asked.push((lender.clone(), *next));
        }
        asked
    }

    /// Takes in a grant. One that was not asked for, or comes a second time, is ignored. A grant that comes after
    /// its time is given back by a report.
    pub fn granted(
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
        let expiry = request.sent + lifetime;
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
        self.avoided.remove(from);
        self.borrowed.push_back(BorrowedTokens {
            lender: from.clone(),
            loan,
            left: tokens,
            taken: now,
            expiry,
        });
        None
    }

    /// Does not ask `lender` before `until`.
    pub fn avoid(&mut self, lender: VmId, until: Uptime) {
        self.avoided.insert(lender, until);
    }

    /// Earliest time at which a lender may have a token again.
    #[must_use]
    pub fn earliest(&self, now: Uptime) -> Option<Duration> {
        let times = self.avoided.values();
        times.map(|until| until.saturating_sub(now)).min()
    }

    /// Says whether an answer of a lender is awaited.
    #[must_use]
    pub fn is_asking(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Gives tokens back that were not spent soon, and forgets requests and lenders after their time.
    pub fn tidy(
        &mut self,
        now: Uptime,
        answer_time: Duration,
        reports: &mut Vec<(VmId, LoanReport)>,
    ) {
        self.drop_expired(now);
        let returned = self.borrowed.extract_due(now);
        reports.extend(returned.iter().map(BorrowedTokens::report));
        self.avoided.retain(|_, until| now < *until);
        let avoided = &mut self.avoided;
        self.requests.retain(|_, request| {
            let open = now.saturating_sub(request.sent) < answer_time;
            if !open {
                avoided.insert(request.lender.clone(), now + answer_time);
            }
            open
        });
    }

    /// Nothing is kept that matters.
    pub fn is_idle(&mut self, now: Uptime) -> bool {
        let quiet = self.callers.is_empty() && self.borrowed.is_empty() && self.requests.is_empty();
        quiet && self.avoided.is_empty() && self.rate(now) < 0.01
    }

    /// Gives all unspent tokens back.
    pub fn give_back(&mut self, reports: &mut Vec<(VmId, LoanReport)>) {
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
        let elapsed = now.saturating_sub(self.counted);
        if !elapsed.is_zero() {
            self.arrivals *= (-elapsed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp();
            self.counted = now;
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

/// Removal of loans that are to be given back.
trait ExtractDue {
    fn extract_due(&mut self, now: Uptime) -> Vec<BorrowedTokens>;
}

impl ExtractDue for VecDeque<BorrowedTokens> {
    fn extract_due(&mut self, now: Uptime) -> Vec<BorrowedTokens> {
        let (due, kept) = std::mem::take(self)
            .into_iter()
            .partition(|tokens| now.saturating_sub(tokens.taken) >= HOLD_TIME);
        *self = kept;
        Vec::from_iter::<VecDeque<BorrowedTokens>>(due)
    }
}

/// Whole tokens, rounded down.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Clamped to a small range.
fn whole(tokens: f64) -> u32 {
    tokens.floor().clamp(0.0, f64::from(LOAN_LIMIT)) as u32
}
