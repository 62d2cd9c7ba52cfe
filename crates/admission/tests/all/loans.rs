//! Loans between two VMs with single lost, duplicated and late messages.

use crate::fleet::{SimFleet, config};
use plantainmill_admission::lender::{LOAN_EXPIRY_MARGIN, MAX_LOAN_LIFETIME};
use plantainmill_admission::limiter::RateVerdict;
use plantainmill_admission::message::{AdmissionMessage, LoanReport, VmIncarnation};
use plantainmill_admission::output::Output;
use plantainmill_admission::state::{RateDecision, RateState};
use plantainmill_core::{OrganisationId, Uptime};
use std::time::Duration;

/// Burst of the organisation. Its rate is too low to add a token within a test.
const BURST: u32 = 8;
const RATE: f64 = 0.000_1;

/// Holder of the only slot, and a VM that borrows from it.
struct LoanPair {
    fleet: SimFleet,
    holder: usize,
    borrower: usize,
}

impl LoanPair {
    fn new() -> LoanPair {
        let config = config(1, &[("kandy", RATE, BURST)]);
        let mut fleet = SimFleet::with_slots(1, 2, 1, &config, 7);
        fleet.run(Duration::from_secs(8));
        let now = fleet.now;
        let holds = |vm: usize| fleet.vms[vm].state.active_slots(now).next().is_some();
        let holder = usize::from(!holds(0));
        assert!(holds(holder));
        LoanPair {
            fleet,
            holder,
            borrower: 1 - holder,
        }
    }

    fn state(&mut self, vm: usize) -> &mut RateState {
        &mut self.fleet.vms[vm].state
    }

    fn incarnation_of(&self, vm: usize) -> VmIncarnation {
        VmIncarnation {
            vm: self.fleet.vms[vm].id.clone(),
            incarnation: self.fleet.vms[vm].incarnation,
        }
    }

    /// Sends a loan request to the holder and returns the number of tokens granted.
    fn request_loan(&mut self, loan: u64, tokens: u32, now: Uptime) -> u32 {
        let from = self.incarnation_of(self.borrower);
        let message = AdmissionMessage::Borrow {
            loan,
            organisation: "kandy".into(),
            tokens,
            reports: Vec::new(),
        };
        let mut out = Vec::new();
        let holder = self.holder;
        self.state(holder).receive(&from, message, now, &mut out);
        let granted = out.iter().find_map(|output| match output {
            Output::Send {
                message: AdmissionMessage::Grant { tokens, .. },
                ..
            } => Some(*tokens),
            _ => None,
        });
        granted.expect("every loan request gets a response")
    }

    fn report(&mut self, loan: u64, returned: u32, now: Uptime) {
        let from = self.incarnation_of(self.borrower);
        let reports = vec![LoanReport { loan, returned }];
        let holder = self.holder;
        let message = AdmissionMessage::Report { reports };
        self.state(holder)
            .receive(&from, message, now, &mut Vec::new());
    }
}

/// Loan number of the request that the borrower sends for its first caller, and the caller's wait number.
fn waiting_request(pair: &mut LoanPair, now: Uptime) -> (u64, u64) {
    let borrower = pair.borrower;
    let mut out = Vec::new();
    let decision = pair
        .state(borrower)
        .admit(&OrganisationId::from("kandy"), now, &mut out);
    let RateDecision::Waits(wait) = decision else {
        panic!("{decision:?}");
    };
    let loan = out.iter().find_map(|output| match output {
        Output::Send {
            message: AdmissionMessage::Borrow { loan, .. },
            ..
        } => Some(*loan),
        _ => None,
    });
    (loan.expect("a loan is requested"), wait)
}

fn grant(
    pair: &mut LoanPair,
    loan: u64,
    tokens: u32,
    lifetime_ms: u32,
    now: Uptime,
) -> Vec<Output> {
    let from = pair.incarnation_of(pair.holder);
    let message = AdmissionMessage::Grant {
        loan,
        organisation: "kandy".into(),
        tokens,
        lifetime_ms,
        wait_ms: 0,
        holder: true,
    };
    let mut out = Vec::new();
    let borrower = pair.borrower;
    pair.state(borrower).receive(&from, message, now, &mut out);
    out
}

fn admitted(out: &[Output]) -> bool {
    let verdict = RateVerdict::Admitted;
    out.iter()
        .any(|output| matches!(output, Output::Respond { verdict: found, .. } if *found == verdict))
}

/// Guards against a duplicated loan request that is granted tokens twice.
#[test]
fn repeated_request() {
    let mut pair = LoanPair::new();
    let now = pair.fleet.now;
    assert_eq!(pair.request_loan(1, 5, now), 5);
    assert_eq!(pair.request_loan(1, 5, now), 5);
    assert_eq!(pair.request_loan(2, 100, now), BURST - 5);
}

/// Guards against a duplicated report that returns tokens twice.
#[test]
fn repeated_report() {
    let mut pair = LoanPair::new();
    let now = pair.fleet.now;
    assert_eq!(pair.request_loan(1, 4, now), 4);
    pair.report(1, 2, now);
    pair.report(1, 2, now);
    assert_eq!(pair.request_loan(2, 100, now), BURST - 2);
}

/// Guards against a report that returns more tokens than were lent.
#[test]
fn false_report() {
    let mut pair = LoanPair::new();
    let now = pair.fleet.now;
    assert_eq!(pair.request_loan(1, 4, now), 4);
    assert_eq!(pair.request_loan(2, 2, now), 2);
    pair.report(1, 100, now);
    assert_eq!(pair.request_loan(3, 100, now), BURST - 2);
}

/// Guards against a lender that reuses the capacity of a loan while the borrower may still spend it, and against a
/// report after expiry that returns tokens.
#[test]
fn lost_report() {
    let mut pair = LoanPair::new();
    let start = pair.fleet.now;
    assert_eq!(pair.request_loan(1, BURST, start), BURST);
    pair.fleet.run(MAX_LOAN_LIFETIME);
    let now = pair.fleet.now;
    pair.report(1, 0, now);
    assert_eq!(pair.request_loan(2, 100, now), 0);
    pair.fleet
        .run(LOAN_EXPIRY_MARGIN + Duration::from_millis(200));
    let now = pair.fleet.now;
    pair.report(1, BURST, now);
    assert_eq!(pair.request_loan(3, 100, now), 0);
}

/// Guards against a borrower that spends a loan after the lender has let it expire.
#[test]
fn late_grant() {
    let mut pair = LoanPair::new();
    let start = pair.fleet.now;
    let (loan, _) = waiting_request(&mut pair, start);
    let out = grant(&mut pair, loan, 1, 2_000, start + Duration::from_secs(2));
    assert!(!admitted(&out), "{out:?}");
}

/// Guards against a duplicated grant whose tokens are counted twice.
#[test]
fn repeated_grant() {
    let mut pair = LoanPair::new();
    let start = pair.fleet.now;
    let (loan, _) = waiting_request(&mut pair, start);
    let now = start + Duration::from_millis(5);
    assert!(admitted(&grant(&mut pair, loan, 1, 2_000, now)));
    let (_, _) = waiting_request(&mut pair, now);
    assert!(!admitted(&grant(&mut pair, loan, 1, 2_000, now)));
}

/// Guards against borrowed tokens that are spent after a pause longer than their lifetime.
#[test]
fn paused_borrower() {
    let mut pair = LoanPair::new();
    let start = pair.fleet.now;
    let (loan, _) = waiting_request(&mut pair, start);
    assert!(admitted(&grant(&mut pair, loan, 5, 2_000, start)));
    let borrower = pair.borrower;
    let kandy = OrganisationId::from("kandy");
    let later = start + Duration::from_secs(2);
    let decision = pair.state(borrower).admit(&kandy, later, &mut Vec::new());
    let admitted = RateDecision::Decided(RateVerdict::Admitted);
    assert_ne!(decision, admitted);
}
