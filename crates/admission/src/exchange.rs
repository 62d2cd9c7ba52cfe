//! Handling of messages between VMs: loans of tokens, and lease requests to the witness.

use crate::lease::SlotLease;
use crate::lender::{LOAN_EXPIRY_MARGIN, LentLoan, LoanKey, LoanPart, MAX_LOAN_LIFETIME};
use crate::message::{AdmissionMessage, LoanReport, VmIncarnation};
use crate::output::Output;
use crate::state::{RESERVE_HORIZON_S, RateState, slot_time_left};
use plantainmill_core::{OrganisationId, Uptime, VmId};
use plantainmill_membership::MemberState;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum remaining time of a slot's lease for tokens of the slot to be lent.
const MIN_LOAN_LIFETIME: Duration = Duration::from_millis(500);
/// Time for which a VM that holds no slot of the organisation is not asked again.
const NON_HOLDER_BACKOFF: Duration = Duration::from_secs(1);
/// Minimum time for which a lender without tokens is not asked again.
const MIN_LENDER_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum time for which a lender without tokens is not asked again. It applies even if the lender's bucket fills
/// more slowly, since loans may be returned earlier.
const MAX_LENDER_BACKOFF: Duration = Duration::from_secs(2);

/// Fields of a received [`AdmissionMessage::Grant`].
struct ReceivedGrant {
    loan: u64,
    organisation: OrganisationId,
    tokens: u32,
    lifetime: Duration,
    wait: Duration,
    holder: bool,
}

impl RateState {
    /// Processes a message from another VM.
    pub fn receive(
        &mut self,
        from: &VmIncarnation,
        message: AdmissionMessage,
        now: Uptime,
        out: &mut Vec<Output>,
    ) {
        match message {
            AdmissionMessage::Borrow {
                loan,
                organisation,
                tokens,
                reports,
            } => {
                self.resolve_loans(from, &reports, now);
                let key = LoanKey {
                    borrower: from.clone(),
                    loan,
                };
                self.lend(key, organisation, tokens, now, out);
            }
            AdmissionMessage::Grant {
                loan,
                organisation,
                tokens,
                lifetime_ms,
                wait_ms,
                holder,
            } => {
                let grant = ReceivedGrant {
                    loan,
                    organisation,
                    tokens,
                    lifetime: Duration::from_millis(u64::from(lifetime_ms)),
                    wait: Duration::from_millis(u64::from(wait_ms)),
                    holder,
                };
                self.handle_grant(&from.vm, &grant, now, out);
            }
            AdmissionMessage::Report { reports } => self.resolve_loans(from, &reports, now),
            AdmissionMessage::RowsChanged => self.schedule.rows_read_due = true,
            other => self.receive_lease_message(from, other, now, out),
        }
    }

    /// Processes the messages between holders and witnesses.
    fn receive_lease_message(
        &mut self,
        from: &VmIncarnation,
        message: AdmissionMessage,
        now: Uptime,
        out: &mut Vec<Output>,
    ) {
        match message {
            AdmissionMessage::Renew {
                slot,
                epoch,
                witness,
                request,
            } => {
                let granted = self.witness_state.renew(&slot, epoch, witness, now);
                let message = AdmissionMessage::Renewed {
                    slot,
                    epoch,
                    request,
                    granted,
                };
                self.send(&from.vm, message, now, out);
            }
            AdmissionMessage::Consent {
                slot,
                epoch,
                witness,
                request,
            } => {
                let granted = self.witness_state.consent(&slot, epoch, witness, now);
                let message = AdmissionMessage::Consented {
                    slot,
                    epoch,
                    request,
                    granted,
                };
                self.send(&from.vm, message, now, out);
            }
            AdmissionMessage::Renewed {
                slot,
                epoch,
                request,
                granted,
            } => {
                if let Some(lease) = self.leases.get_mut(&slot) {
                    lease.handle_renewal(&from.vm, epoch, request, granted);
                }
            }
            AdmissionMessage::Consented {
                slot,
                epoch,
                request,
                granted,
            } => {
                let mut queue = Vec::new();
                self.with_lease(&slot, now, |lease: &mut SlotLease, context| {
                    lease.handle_consent(&from.vm, epoch, request, granted, context, &mut queue);
                });
                self.route_outputs(queue, now, out);
            }
            _ => {}
        }
    }

    /// Translates outputs of leases into messages and scheduled reads.
    pub(crate) fn route_outputs(&mut self, queue: Vec<Output>, now: Uptime, out: &mut Vec<Output>) {
        for output in queue {
            match output {
                Output::ReadRows { .. } => self.schedule.rows_read_due = true,
                Output::ReadVms => self.schedule.vms_read_due = true,
                Output::RowsChanged => self.notify_domain(out),
                Output::Renew {
                    slot,
                    epoch,
                    witness,
                    request,
                } => {
                    let message = AdmissionMessage::Renew {
                        slot,
                        epoch,
                        witness: witness.incarnation,
                        request,
                    };
                    self.send(&witness.vm, message, now, out);
                }
                Output::Consent {
                    slot,
                    epoch,
                    witness,
                    request,
                } => {
                    let message = AdmissionMessage::Consent {
                        slot,
                        epoch,
                        witness: witness.incarnation,
                        request,
                    };
                    self.send(&witness.vm, message, now, out);
                }
                other => out.push(other),
            }
        }
    }

    /// Sends a message, or processes it directly when it is addressed to this VM.
    fn send(&mut self, to: &VmId, message: AdmissionMessage, now: Uptime, out: &mut Vec<Output>) {
        if *to == self.own.vm {
            let own = self.own.clone();
            self.receive(&own, message, now, out);
            return;
        }
        let to = to.clone();
        out.push(Output::Send { to, message });
    }

    fn notify_domain(&self, out: &mut Vec<Output>) {
        let peers = self.members.iter().filter(|member| {
            member.peer.domain == self.domain && member.state != MemberState::Dead
        });
        out.extend(peers.map(|member| Output::Send {
            to: member.peer.id.clone(),
            message: AdmissionMessage::RowsChanged,
        }));
    }

    /// Responds to a loan request. A repeated request gets the same loan.
    fn lend(
        &mut self,
        key: LoanKey,
        organisation: OrganisationId,
        wanted: u32,
        now: Uptime,
        out: &mut Vec<Output>,
    ) {
        let earlier = self.loans.find(&key).cloned();
        let loan = earlier.unwrap_or_else(|| self.new_loan(&organisation, wanted, now));
        let (left, wait) = self.own_tokens(&organisation, now);
        let holder = left > 0 || wait.is_some() || loan.tokens() > 0;
        let message = AdmissionMessage::Grant {
            loan: key.loan,
            organisation,
            tokens: loan.tokens(),
            lifetime_ms: millis(loan.lifetime),
            wait_ms: millis(wait.unwrap_or(MAX_LENDER_BACKOFF)),
            holder,
        };
        let to = key.borrower.vm.clone();
        if loan.tokens() > 0 {
            self.loans.insert(key, loan);
        }
        out.push(Output::Send { to, message });
    }

    fn new_loan(&mut self, organisation: &OrganisationId, wanted: u32, now: Uptime) -> LentLoan {
        let mut wanted = self.lendable(organisation, wanted, now);
        let mut parts = Vec::new();
        let mut lifetime = MAX_LOAN_LIFETIME;
        for (slot, buckets) in &mut self.held {
            let left = slot_time_left(&self.leases, self.releasing.as_ref(), slot, now);
            if left < MIN_LOAN_LIFETIME || wanted == 0 {
                continue;
            }
            let bucket = buckets.bucket(organisation, &self.split_inputs, now);
            let tokens = bucket.map_or(0, |bucket| bucket.lend(wanted, now));
            if tokens > 0 {
                wanted -= tokens;
                lifetime = lifetime.min(left);
                parts.push(LoanPart {
                    slot: slot.clone(),
                    epoch: self.leases.get(slot).map_or(0, SlotLease::epoch),
                    tokens,
                });
            }
        }
        let loan = LentLoan {
            organisation: organisation.clone(),
            parts,
            lifetime,
            expiry: now + lifetime + LOAN_EXPIRY_MARGIN,
        };
        self.counts.tokens_lent += u64::from(loan.tokens());
        loan
    }

    /// Number of tokens that may be lent, after a reserve for this VM's own demand.
    fn lendable(&mut self, organisation: &OrganisationId, wanted: u32, now: Uptime) -> u32 {
        if self.draining {
            return 0;
        }
        let (own, _) = self.own_tokens(organisation, now);
        let demand = self.demands.get_mut(organisation);
        let rate = demand.map_or(0.0, |demand| demand.rate(now));
        let mut reserve = 0;
        while reserve < own && f64::from(reserve + 1) <= rate * RESERVE_HORIZON_S {
            reserve += 1;
        }
        wanted.min(own - reserve)
    }

    fn handle_grant(
        &mut self,
        from: &VmId,
        grant: &ReceivedGrant,
        now: Uptime,
        out: &mut Vec<Output>,
    ) {
        let Some(demand) = self.demands.get_mut(&grant.organisation) else {
            return;
        };
        let late = demand.handle_grant(from, grant.loan, grant.tokens, grant.lifetime, now);
        self.reports
            .extend(late.map(|report| (from.clone(), report)));
        if grant.tokens == 0 {
            let time = if grant.holder {
                grant.wait.clamp(MIN_LENDER_BACKOFF, MAX_LENDER_BACKOFF)
            } else {
                self.schedule.rows_read_due = true;
                NON_HOLDER_BACKOFF
            };
            demand.exclude_lender(from.clone(), now + time);
        }
        if self.waiting.contains(&grant.organisation) {
            self.serve_waiting(&grant.organisation, now, out);
        }
    }

    fn resolve_loans(&mut self, from: &VmIncarnation, reports: &[LoanReport], now: Uptime) {
        for report in reports {
            let key = LoanKey {
                borrower: from.clone(),
                loan: report.loan,
            };
            if let Some(loan) = self.loans.resolve(&key) {
                self.resolve_loan_parts(&loan, report.returned, now);
            }
        }
    }

    /// Removes expired loans. Their tokens count as spent.
    pub(crate) fn expire_loans(&mut self, now: Uptime) {
        for loan in self.loans.expire(now) {
            self.counts.tokens_lost += u64::from(loan.tokens());
            self.resolve_loan_parts(&loan, 0, now);
        }
    }

    fn resolve_loan_parts(&mut self, loan: &LentLoan, returned: u32, now: Uptime) {
        let mut returned = returned;
        for part in &loan.parts {
            let epoch = self.leases.get(&part.slot).map_or(0, SlotLease::epoch);
            let returned_to_slot = returned.min(part.tokens);
            returned -= returned_to_slot;
            let buckets = self
                .held
                .get_mut(&part.slot)
                .filter(|_| epoch == part.epoch);
            let bucket = buckets.and_then(|buckets| buckets.existing_bucket(&loan.organisation));
            if let Some(bucket) = bucket {
                bucket.resolve(part.tokens, returned_to_slot, now);
            }
        }
    }

    pub(crate) fn send_reports(&mut self, out: &mut Vec<Output>) {
        let mut by_lender: BTreeMap<VmId, Vec<LoanReport>> = BTreeMap::new();
        for (lender, report) in self.reports.drain(..) {
            by_lender.entry(lender).or_default().push(report);
        }
        for (to, reports) in by_lender {
            let message = AdmissionMessage::Report { reports };
            out.push(Output::Send { to, message });
        }
    }
}

/// Rounds down, so that a lifetime is never announced longer than it is.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
