//! State machine of the rate limiter that is based on slots and loans: one value per VM, without I/O and without a
//! clock.

use crate::borrower::TokenDemand;
use crate::lease::SlotLease;
use crate::lender::LoanTable;
use crate::limiter::RateVerdict;
use crate::message::{AdmissionMessage, LoanReport, VmIncarnation};
use crate::output::Output;
use crate::slots::{SlotBuckets, SplitInputs};
use crate::split::SlotId;
use crate::witness::WitnessState;
use plantainmill_config::{FleetConfig, OrganisationSpec};
use plantainmill_core::{DomainName, OrganisationId, Uptime, VmId};
use plantainmill_membership::{Member, MemberState};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Maximum retry delay given to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// A lender keeps a reserve for its own expected demand of this time, in seconds.
pub(crate) const RESERVE_HORIZON_S: f64 = 0.2;

/// Settings of the slot limiter.
#[derive(Clone, Copy, Debug)]
pub struct RateSettings {
    /// Number of slots that this VM proposes for a failure domain that has none in the layout.
    pub slots_per_domain: u16,
    /// Maximum time that a request waits for a token.
    pub loan_wait: Duration,
}

impl Default for RateSettings {
    fn default() -> RateSettings {
        RateSettings {
            slots_per_domain: 4,
            // Two round trips between regions at 20 ms each way, plus a margin.
            loan_wait: Duration::from_millis(100),
        }
    }
}

/// Immediate result of a rate check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateDecision {
    /// The request is admitted or refused.
    Decided(RateVerdict),
    /// The request waits for a token. An [`Output::Respond`] with this wait number follows.
    Waits(u64),
}

/// Counters since the start of this VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct RateCounts {
    /// Number of requests admitted.
    pub admitted: u64,
    /// Number of requests refused.
    pub refused: u64,
    /// Number of requests that had to wait for a token.
    pub waited: u64,
    /// Number of loan requests sent.
    pub loans_asked: u64,
    /// Number of tokens lent to other VMs.
    pub tokens_lent: u64,
    /// Number of tokens in loans that expired without a report.
    pub tokens_lost: u64,
    /// Number of slots that this VM has started to use.
    pub slots_taken: u64,
    /// Number of slots lost without a release.
    pub slots_lost: u64,
    /// Number of rows and messages that could not be decoded.
    pub malformed: u64,
    /// Number of failed reads and writes of the table and failed reads of the VM list.
    pub store_failures: u64,
}

/// Rate limiter state of one VM.
pub struct RateState {
    pub(crate) own: VmIncarnation,
    pub(crate) domain: DomainName,
    pub(crate) settings: RateSettings,
    pub(crate) split_inputs: SplitInputs,
    pub(crate) digest: u64,
    pub(crate) members: Arc<Vec<Member>>,
    pub(crate) leases: BTreeMap<SlotId, SlotLease>,
    pub(crate) held: BTreeMap<SlotId, SlotBuckets>,
    pub(crate) witness_state: WitnessState,
    pub(crate) loans: LoanTable,
    pub(crate) rows: crate::rows::RowView,
    pub(crate) demands: HashMap<OrganisationId, TokenDemand>,
    /// Organisations with waiting callers.
    pub(crate) waiting: BTreeSet<OrganisationId>,
    /// Loan reports to be sent, each with its lender.
    pub(crate) reports: Vec<(VmId, LoanReport)>,
    /// Slots that this VM has used since its start.
    pub(crate) activated: BTreeSet<SlotId>,
    /// Surplus slot that is being released.
    pub(crate) releasing: Option<SlotId>,
    pub(crate) draining: bool,
    pub(crate) schedule: crate::schedule::RateSchedule,
    pub(crate) counts: RateCounts,
    pub(crate) next_wait: u64,
    pub(crate) next_loan: u64,
}

impl RateState {
    /// Creates the state of a VM that has just started.
    #[must_use]
    pub fn new(own: VmIncarnation, domain: DomainName, settings: RateSettings) -> RateState {
        let witness_state = WitnessState::new(own.incarnation);
        RateState {
            own,
            domain,
            settings,
            split_inputs: SplitInputs::default(),
            digest: 0,
            members: Arc::default(),
            leases: BTreeMap::new(),
            held: BTreeMap::new(),
            witness_state,
            loans: LoanTable::default(),
            rows: crate::rows::RowView::default(),
            demands: HashMap::new(),
            waiting: BTreeSet::new(),
            reports: Vec::new(),
            activated: BTreeSet::new(),
            releasing: None,
            draining: false,
            schedule: crate::schedule::RateSchedule::default(),
            counts: RateCounts::default(),
            next_wait: 0,
            next_loan: 0,
        }
    }

    /// Counters since the start of this VM.
    #[must_use]
    pub fn counts(&self) -> RateCounts {
        self.counts
    }

    /// Counts a received message that could not be decoded.
    pub fn count_malformed(&mut self) {
        self.counts.malformed += 1;
    }

    /// Replaces the membership view, which excludes this VM.
    pub fn set_members(&mut self, members: Arc<Vec<Member>>) {
        self.members = members;
    }

    /// Applies a configuration. A version older than the current one is ignored.
    pub fn set_config(&mut self, config: Arc<FleetConfig>, now: Uptime) {
        let old = Arc::clone(&self.split_inputs.config);
        if config.version < old.version || Arc::ptr_eq(&config, &old) {
            return;
        }
        self.split_inputs.config = config;
        if Arc::ptr_eq(&old.organisations, &self.split_inputs.config.organisations) {
            return;
        }
        for id in changed_organisations(&old, &self.split_inputs.config) {
            let spec = old.organisations.get(&id);
            for buckets in self.held.values_mut() {
                buckets.apply_change(&id, spec, &self.split_inputs, now);
            }
        }
        self.update_digest();
    }

    /// Checks one request of `organisation`.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        now: Uptime,
        out: &mut Vec<Output>,
    ) -> RateDecision {
        if !self
            .split_inputs
            .config
            .organisations
            .contains_key(organisation)
        {
            return self.refuse(MAX_RETRY_AFTER);
        }
        self.demand(organisation).record_arrival(now);
        let none_waiting = !self.waiting.contains(organisation);
        if none_waiting && self.spend_token(organisation, now) {
            self.counts.admitted += 1;
            self.borrow(organisation, now, out);
            return RateDecision::Decided(RateVerdict::Admitted);
        }
        self.wait_for_token(organisation, now, out)
    }

    /// Demand entry of `organisation`, created on first use.
    pub(crate) fn demand(&mut self, organisation: &OrganisationId) -> &mut TokenDemand {
        if !self.demands.contains_key(organisation) {
            self.demands
                .insert(organisation.clone(), TokenDemand::default());
        }
        self.demands
            .get_mut(organisation)
            .expect("the entry was inserted above")
    }

    /// Spends one token, from own buckets first, then from loans.
    fn spend_token(&mut self, organisation: &OrganisationId, now: Uptime) -> bool {
        if self.draining {
            return false;
        }
        for (slot, buckets) in &mut self.held {
            let valid = slot_time_left(&self.leases, self.releasing.as_ref(), slot, now);
            if !valid.is_zero()
                && let Some(bucket) = buckets.bucket(organisation, &self.split_inputs, now)
                && bucket.take(now)
            {
                return true;
            }
        }
        let demand = self.demands.get_mut(organisation);
        demand.is_some_and(|demand| demand.spend(now, &mut self.reports))
    }

    /// Number of whole tokens in own buckets, and the time until one is available.
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
            let valid = slot_time_left(&self.leases, self.releasing.as_ref(), slot, now);
            if valid.is_zero() {
                continue;
            }
            let Some(bucket) = buckets.bucket(organisation, &self.split_inputs, now) else {
                continue;
            };
            whole = whole.saturating_add(bucket.whole_tokens(now));
            wait = [wait, bucket.time_until_token(now)]
                .into_iter()
                .flatten()
                .min();
        }
        (whole, wait)
    }

    fn refuse(&mut self, retry_after: Duration) -> RateDecision {
        self.counts.refused += 1;
        let retry_after = retry_after.min(MAX_RETRY_AFTER);
        RateDecision::Decided(RateVerdict::Refused { retry_after })
    }

    /// Enqueues a request if a token may become available in time; otherwise refuses it.
    fn wait_for_token(
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
        if self.may_receive_token(organisation, now) {
            self.waiting.insert(organisation.clone());
            self.counts.waited += 1;
            return RateDecision::Waits(wait);
        }
        self.demand(organisation).callers.pop_back();
        let retry_after = self.retry_after(organisation, now);
        self.refuse(retry_after)
    }

    /// Whether a token may become available within the maximum wait.
    fn may_receive_token(&mut self, organisation: &OrganisationId, now: Uptime) -> bool {
        if self.demand(organisation).has_pending_request() {
            return true;
        }
        let callers = self.demand(organisation).callers.len();
        let lender = self.demand(organisation).earliest_lender_retry(now);
        if lender.is_some_and(|time| time <= self.settings.loan_wait / 2) {
            return true;
        }
        let (_, wait) = self.own_tokens(organisation, now);
        // The next token of an own bucket goes to the first caller.
        callers <= 1 && wait.is_some_and(|wait| wait <= self.settings.loan_wait)
    }

    fn retry_after(&mut self, organisation: &OrganisationId, now: Uptime) -> Duration {
        let (_, own) = self.own_tokens(organisation, now);
        let lender = self.demand(organisation).earliest_lender_retry(now);
        let earliest = [own, lender].into_iter().flatten().min();
        earliest.unwrap_or_else(|| {
            let config = &self.split_inputs.config;
            let rate = config.organisations.get(organisation);
            let rate = rate.map_or(0.0, |spec| spec.rate);
            Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER)
        })
    }

    /// Admits waiting callers of `organisation` as far as tokens are available, and refuses those whose deadline has
    /// passed or that no token can reach in time.
    pub(crate) fn serve_waiting(
        &mut self,
        organisation: &OrganisationId,
        now: Uptime,
        out: &mut Vec<Output>,
    ) {
        while let Some(caller) = self.demand(organisation).callers.front().copied() {
            if !self.spend_token(organisation, now) {
                break;
            }
            self.demand(organisation).callers.pop_front();
            self.counts.admitted += 1;
            let verdict = RateVerdict::Admitted;
            out.push(Output::Respond {
                wait: caller.wait,
                verdict,
            });
        }
        self.borrow(organisation, now, out);
        let token_expected = self.may_receive_token(organisation, now);
        while let Some(caller) = self.demand(organisation).callers.front().copied() {
            if token_expected && now < caller.deadline {
                break;
            }
            self.demand(organisation).callers.pop_front();
            let retry_after = self.retry_after(organisation, now);
            if let RateDecision::Decided(verdict) = self.refuse(retry_after) {
                out.push(Output::Respond {
                    wait: caller.wait,
                    verdict,
                });
            }
        }
        if self.demand(organisation).callers.is_empty() {
            self.waiting.remove(organisation);
        }
    }

    /// Requests loans from other holders if tokens are needed.
    fn borrow(&mut self, organisation: &OrganisationId, now: Uptime, out: &mut Vec<Output>) {
        if !self.demand(organisation).may_need_tokens(now) {
            return;
        }
        let (own, _) = self.own_tokens(organisation, now);
        let wanted = self.demand(organisation).tokens_to_borrow(own, now);
        if wanted == 0 || self.draining {
            return;
        }
        let holders = self.lenders(organisation);
        let mut next = self.next_loan;
        let asked = self
            .demand(organisation)
            .select_lenders(&holders, now, &mut next);
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

    /// Other VMs that hold slots of `organisation`: VMs of the own domain first, unknown and dead VMs last, and in
    /// rotating order within each group.
    fn lenders(&self, organisation: &OrganisationId) -> Vec<VmId> {
        let config = &self.split_inputs.config;
        let Some(spec) = config.organisations.get(organisation) else {
            return Vec::new();
        };
        let width = usize::try_from(self.split_inputs.layout.width(spec)).unwrap_or(usize::MAX);
        let ranked_slots = self.split_inputs.layout.ranked_slots(organisation);
        let holders = ranked_slots.iter().take(width);
        let holders = holders.filter_map(|slot| self.rows.holder(slot));
        let others = holders.filter(|holder| holder.vm != self.own.vm);
        let mut lenders: Vec<VmId> = others.map(|holder| holder.vm.clone()).collect();
        lenders.sort_unstable();
        lenders.dedup();
        let turn = usize::try_from(self.next_loan).unwrap_or(0) % lenders.len().max(1);
        lenders.rotate_left(turn);
        lenders.sort_by_key(|vm| self.lender_group(vm));
        lenders
    }

    /// Group in which a lender is asked for a loan; group 0 is asked first.
    fn lender_group(&self, vm: &VmId) -> u8 {
        let member = self.members.iter().find(|member| member.peer.id == *vm);
        match member {
            Some(member) if member.state == MemberState::Dead => 3,
            Some(member) if member.peer.domain == self.domain => 0,
            Some(_) => 1,
            None => 2,
        }
    }
}

/// Remaining time for which this VM may use `slot`; zero while the slot is being released.
pub(crate) fn slot_time_left(
    leases: &BTreeMap<SlotId, SlotLease>,
    releasing: Option<&SlotId>,
    slot: &SlotId,
    now: Uptime,
) -> Duration {
    if releasing == Some(slot) {
        return Duration::ZERO;
    }
    let lease = leases.get(slot);
    lease.map_or(Duration::ZERO, |lease| lease.time_left(now))
}

/// Removes and returns the reports for `lender`.
fn take_reports(reports: &mut Vec<(VmId, LoanReport)>, lender: &VmId) -> Vec<LoanReport> {
    let taken = reports.extract_if(.., |(to, _)| to == lender);
    taken.map(|(_, report)| report).collect()
}

/// Organisations that were added or removed, or whose rate or burst differs.
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
