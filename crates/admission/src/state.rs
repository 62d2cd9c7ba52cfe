//! Decision code of the slots with loans: one value per VM, without I/O and without a clock.

use crate::borrower::TokenDemand;
use crate::lease::SlotLease;
use crate::lender::LoanBook;
use crate::limiter::RateVerdict;
use crate::message::{AdmissionMessage, LoanReport, VmStart};
use crate::output::Output;
use crate::slots::{SlotBuckets, SplitBasis};
use crate::split::SlotId;
use crate::witness::WitnessBook;
use plantainmill_config::{FleetConfig, OrganisationSpec};
use plantainmill_core::{DomainName, OrganisationId, Uptime, VmId};
use plantainmill_membership::{Member, MemberState};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Longest time until a refused caller is told to return.
const RETRY_LIMIT: Duration = Duration::from_mins(1);
/// A lender keeps the tokens of this much of its own demand, in seconds.
pub(crate) const RESERVE_HORIZON_S: f64 = 0.2;

/// Settings of the limiter.
#[derive(Clone, Copy, Debug)]
pub struct RateSettings {
    /// Slots that this VM proposes for a failure domain without any.
    pub slots_per_domain: u16,
    /// Longest time that a request waits for a loan.
    pub loan_wait: Duration,
}

impl Default for RateSettings {
    fn default() -> RateSettings {
        RateSettings {
            slots_per_domain: 4,
            // Two round trips between regions of 20 ms each way, and some room.
            loan_wait: Duration::from_millis(100),
        }
    }
}

/// Immediate answer to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateDecision {
    /// Decided.
    Decided(RateVerdict),
    /// An [`Output::Answer`] with this number follows.
    Waits(u64),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct RateCounts {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that waited for a token.
    pub waited: u64,
    /// Requests for a loan sent.
    pub loans_asked: u64,
    /// Tokens lent.
    pub tokens_lent: u64,
    /// Tokens of loans that expired without a report.
    pub tokens_lost: u64,
    /// Slots taken.
    pub slots_taken: u64,
    /// Slots lost to another VM.
    pub slots_lost: u64,
    /// Rows and messages that could not be decoded.
    pub malformed: u64,
    /// Reads and writes of the table that failed.
    pub store_failures: u64,
}

/// State of one VM.
pub struct RateState {
    pub(crate) own: VmStart,
    pub(crate) domain: DomainName,
    pub(crate) settings: RateSettings,
    pub(crate) basis: SplitBasis,
    pub(crate) digest: u64,
    pub(crate) members: Arc<Vec<Member>>,
    pub(crate) leases: BTreeMap<SlotId, SlotLease>,
    pub(crate) held: BTreeMap<SlotId, SlotBuckets>,
    pub(crate) witnesses: WitnessBook,
    pub(crate) loans: LoanBook,
    pub(crate) rows: crate::rows::RowView,
    pub(crate) demands: HashMap<OrganisationId, TokenDemand>,
    /// Organisations with waiting callers.
    pub(crate) waiting: BTreeSet<OrganisationId>,
    pub(crate) reports: Vec<(VmId, LoanReport)>,
    /// Slots that this VM has acted for since its start.
    pub(crate) taken: BTreeSet<SlotId>,
    /// Slot that is being given up.
    pub(crate) leaving: Option<SlotId>,
    pub(crate) draining: bool,
    pub(crate) schedule: crate::schedule::RateSchedule,
    pub(crate) counts: RateCounts,
    pub(crate) next_wait: u64,
    pub(crate) next_loan: u64,
}

impl RateState {
    /// State of a VM that has just started.
    #[must_use]
    pub fn new(own: VmStart, domain: DomainName, settings: RateSettings) -> RateState {
        let witnesses = WitnessBook::new(own.incarnation);
        RateState {
            own,
            domain,
            settings,
            basis: SplitBasis::default(),
            digest: 0,
            members: Arc::default(),
            leases: BTreeMap::new(),
            held: BTreeMap::new(),
            witnesses,
            loans: LoanBook::default(),
            rows: crate::rows::RowView::default(),
            demands: HashMap::new(),
            waiting: BTreeSet::new(),
            reports: Vec::new(),
            taken: BTreeSet::new(),
            leaving: None,
            draining: false,
            schedule: crate::schedule::RateSchedule::default(),
            counts: RateCounts::default(),
            next_wait: 0,
            next_loan: 0,
        }
    }

    /// Counts since the start.
    #[must_use]
    pub fn counts(&self) -> RateCounts {
        self.counts
    }

    /// Counts a message that could not be decoded.
    pub fn count_malformed(&mut self) {
        self.counts.malformed += 1;
    }

    /// Replaces the view of the fleet.
    pub fn set_members(&mut self, members: Arc<Vec<Member>>) {
        self.members = members;
    }

    /// Puts a configuration in force. An older one is ignored.
    pub fn set_config(&mut self, config: Arc<FleetConfig>, now: Uptime) {
        let old = Arc::clone(&self.basis.config);
        if config.version < old.version || Arc::ptr_eq(&config, &old) {
            return;
        }
        self.basis.config = config;
        if Arc::ptr_eq(&old.organisations, &self.basis.config.organisations) {
            return;
        }
        for id in changed_organisations(&old, &self.basis.config) {
            let spec = old.organisations.get(&id);
            for buckets in self.held.values_mut() {
                buckets.change(&id, spec, &self.basis, now);
            }
        }
        self.renew_digest();
    }

    /// Decides about one request.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        now: Uptime,
        out: &mut Vec<Output>,
    ) -> RateDecision {
        if !self.basis.config.organisations.contains_key(organisation) {
            return self.refuse(RETRY_LIMIT);
        }
        self.demand(organisation).arrive(now);
        let alone = !self.waiting.contains(organisation);
        if alone && self.take(organisation, now) {
            self.counts.admitted += 1;
            self.borrow(organisation, now, out);
            return RateDecision::Decided(RateVerdict::Admitted);
        }
        self.wait(organisation, now, out)
    }

    /// The demand entry of `organisation`.
    pub(crate) fn demand(&mut self, organisation: &OrganisationId) -> &mut TokenDemand {
        if !self.demands.contains_key(organisation) {
            self.demands
                .insert(organisation.clone(), TokenDemand::default());
        }
        self.demands
            .get_mut(organisation)
            .expect("the entry was inserted above")
    }

    /// Spends one token, own ones first.
    fn take(&mut self, organisation: &OrganisationId, now: Uptime) -> bool {
        if self.draining {
            return false;
        }
        for (slot, buckets) in &mut self.held {
            let valid = may_act(&self.leases, self.leaving.as_ref(), slot, now);
            if !valid.is_zero()
                && let Some(bucket) = buckets.bucket(organisation, &self.basis, now)
                && bucket.take(now)
            {
                return true;
            }
        }
        let demand = self.demands.get_mut(organisation);
        demand.is_some_and(|demand| demand.spend(now, &mut self.reports))
    }

    /// Whole tokens in own buckets, and the time until there is one.
    pub(crate) fn own_tokens(
        &mut self,
        organisation: &OrganisationId,
        now: Uptime,
    ) -> (u32, Option<Duration>) {
        let mut whole = 0_u32;
        let mut wait: Option<Duration> = None;
        if self.draining {
            return (whole, wait);
        }
        for (slot, buckets) in &mut self.held {
            let valid = may_act(&self.leases, self.leaving.as_ref(), slot, now);
            if valid.is_zero() {
                continue;
            }
            let Some(bucket) = buckets.bucket(organisation, &self.basis, now) else {
                continue;
            };
            whole = whole.saturating_add(bucket.whole(now));
            wait = [wait, bucket.wait(now)].into_iter().flatten().min();
        }
        (whole, wait)
    }

    fn refuse(&mut self, retry_after: Duration) -> RateDecision {
        self.counts.refused += 1;
        let retry_after = retry_after.min(RETRY_LIMIT);
        RateDecision::Decided(RateVerdict::Refused { retry_after })
    }

    /// Lets a request wait if a token may come in time.
    fn wait(
        &mut self,
        organisation: &OrganisationId,
        now: Uptime,
        out: &mut Vec<Output>,
    ) -> RateDecision {
        self.next_wait += 1;
        let wait = self.next_wait;
        let deadline = now + self.settings.loan_wait;
        let demand = self.demand(organisation);
        demand
            .callers
            .push_back(crate::borrower::WaitingCaller { wait, deadline });
        self.borrow(organisation, now, out);
        if self.is_hopeful(organisation, now) {
            self.waiting.insert(organisation.clone());
            self.counts.waited += 1;
            return RateDecision::Waits(wait);
        }
        self.demand(organisation).callers.pop_back();
        let retry_after = self.retry_after(organisation, now);
        self.refuse(retry_after)
    }

    /// A token may come within the waiting time.
    fn is_hopeful(&mut self, organisation: &OrganisationId, now: Uptime) -> bool {
        if self.demand(organisation).is_asking() {
            return true;
        }
        let callers = self.demand(organisation).callers.len();
        let lender = self.demand(organisation).earliest(now);
        if lender.is_some_and(|time| time <= self.settings.loan_wait / 2) {
            return true;
        }
        let (_, wait) = self.own_tokens(organisation, now);
        // Only the first caller can get the next own token.
        callers <= 1 && wait.is_some_and(|wait| wait <= self.settings.loan_wait)
    }

    fn retry_after(&mut self, organisation: &OrganisationId, now: Uptime) -> Duration {
        let (_, own) = self.own_tokens(organisation, now);
        let lender = self.demand(organisation).earliest(now);
        let earliest = [own, lender].into_iter().flatten().min();
        earliest.unwrap_or_else(|| {
            let config = &self.basis.config;
            let rate = config.organisations.get(organisation);
            let rate = rate.map_or(0.0, |spec| spec.rate);
            Duration::try_from_secs_f64(1.0 / rate).unwrap_or(RETRY_LIMIT)
        })
    }

    /// Answers waiting callers of `organisation` as far as tokens go, and refuses those whose time is over.
    pub(crate) fn serve(
        &mut self,
        organisation: &OrganisationId,
        now: Uptime,
        out: &mut Vec<Output>,
    ) {
        while let Some(caller) = self.demand(organisation).callers.front().copied() {
            if !self.take(organisation, now) {
                break;
            }
            self.demand(organisation).callers.pop_front();
            self.counts.admitted += 1;
            let verdict = RateVerdict::Admitted;
            out.push(Output::Answer {
                wait: caller.wait,
                verdict,
            });
        }
        self.borrow(organisation, now, out);
        let hopeful = self.is_hopeful(organisation, now);
        while let Some(caller) = self.demand(organisation).callers.front().copied() {
            if hopeful && now < caller.deadline {
                break;
            }
            self.demand(organisation).callers.pop_front();
            let retry_after = self.retry_after(organisation, now);
            if let RateDecision::Decided(verdict) = self.refuse(retry_after) {
                out.push(Output::Answer {
                    wait: caller.wait,
                    verdict,
                });
            }
        }
        if self.demand(organisation).callers.is_empty() {
            self.waiting.remove(organisation);
        }
    }

    /// Asks other holders for tokens if they are wanted.
    fn borrow(&mut self, organisation: &OrganisationId, now: Uptime, out: &mut Vec<Output>) {
        if !self.demand(organisation).may_want(now) {
            return;
        }
        let (own, _) = self.own_tokens(organisation, now);
        let wanted = self.demand(organisation).wanted(own, now);
        if wanted == 0 || self.draining {
            return;
        }
        let holders = self.lenders(organisation);
        let mut next = self.next_loan;
        let asked = self.demand(organisation).ask(&holders, now, &mut next);
        self.next_loan = next;
        for (to, loan) in asked {
            self.counts.loans_asked += 1;
            let reports = take_reports(&mut self.reports, &to);
            let message = AdmissionMessage::Borrow {
                loan,
                organisation: organisation.clone(),
                tokens: wanted,
                reports,
            };
            out.push(Output::Send { to, message });
        }
    }

    /// VMs that hold slots of `organisation`, the nearest first and otherwise in turn.
    fn lenders(&self, organisation: &OrganisationId) -> Vec<VmId> {
        let config = &self.basis.config;
        let Some(spec) = config.organisations.get(organisation) else {
            return Vec::new();
        };
        let width = usize::try_from(self.basis.layout.width(spec)).unwrap_or(usize::MAX);
        let ranked = self.basis.layout.ranked(organisation);
        let holders = ranked.iter().take(width);
        let holders = holders.filter_map(|slot| self.rows.holder(slot));
        let others = holders.filter(|holder| holder.vm != self.own.vm);
        let mut lenders: Vec<VmId> = others.map(|holder| holder.vm.clone()).collect();
        lenders.sort_unstable();
        lenders.dedup();
        let turn = usize::try_from(self.next_loan).unwrap_or(0) % lenders.len().max(1);
        lenders.rotate_left(turn);
        lenders.sort_by_key(|vm| self.distance(vm));
        lenders
    }

    fn distance(&self, vm: &VmId) -> u8 {
        let member = self.members.iter().find(|member| member.peer.id == *vm);
        match member {
            Some(member) if member.state == MemberState::Dead => 3,
            Some(member) if member.peer.domain == self.domain => 0,
            Some(_) => 1,
            None => 2,
        }
    }
}

/// Time for which this VM may act for `slot`.
pub(crate) fn may_act(
    leases: &BTreeMap<SlotId, SlotLease>,
    leaving: Option<&SlotId>,
    slot: &SlotId,
    now: Uptime,
) -> Duration {
    if leaving == Some(slot) {
        return Duration::ZERO;
    }
    let lease = leases.get(slot);
    lease.map_or(Duration::ZERO, |lease| lease.time_left(now))
}

/// Takes the reports for `lender` out.
fn take_reports(reports: &mut Vec<(VmId, LoanReport)>, lender: &VmId) -> Vec<LoanReport> {
    let taken = reports.extract_if(.., |(to, _)| to == lender);
    taken.map(|(_, report)| report).collect()
}

/// Organisations whose rate or burst differ.
fn changed_organisations(old: &FleetConfig, new: &FleetConfig) -> Vec<OrganisationId> {
    let same = |left: &OrganisationSpec, right: &OrganisationSpec| {
        left.rate.to_bits() == right.rate.to_bits() && left.burst == right.burst
    };
    let kept_or_new = new.organisations.iter().filter(|(id, spec)| {
        let old = old.organisations.get(*id);
        !old.is_some_and(|old| same(old, spec))
    });
    let removed = old.organisations.keys();
    let removed = removed.filter(|id| !new.organisations.contains_key(*id));
    let changed = kept_or_new.map(|(id, _)| id).chain(removed);
    changed.cloned().collect()
}
