//! Loans that this VM has granted and that are not resolved yet.

use crate::message::VmIncarnation;
use crate::split::SlotId;
use plantainmill_core::{OrganisationId, Uptime};
use std::collections::HashMap;
use std::time::Duration;

/// Maximum lifetime of a loan. It covers several round trips between regions and is short compared with a lease.
pub const MAX_LOAN_LIFETIME: Duration = Duration::from_secs(2);
/// The lender lets a loan expire this much later than the borrower does, for clocks that drift up to 1% apart.
pub const LOAN_EXPIRY_MARGIN: Duration = Duration::from_millis(20);

/// Key of a loan at its lender.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LoanKey {
    /// VM that borrowed the tokens, with its incarnation.
    pub borrower: VmIncarnation,
    /// Loan number that the borrower assigned.
    pub loan: u64,
}

/// Tokens of a loan that were taken from one slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanPart {
    /// Slot that the tokens were taken from.
    pub slot: SlotId,
    /// Epoch of the slot's lease when they were lent. Once the epoch has changed, the slot's buckets no longer
    /// account for the loan.
    pub epoch: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// A granted loan as the lender records it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LentLoan {
    /// Organisation whose tokens were lent.
    pub organisation: OrganisationId,
    /// Slots that the tokens were taken from.
    pub parts: Vec<LoanPart>,
    /// Lifetime granted to the borrower, counted from its request.
    pub lifetime: Duration,
    /// Time from which the lender counts unreported tokens as spent.
    pub expiry: Uptime,
}

impl LentLoan {
    /// Number of tokens lent, over all parts.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// Unresolved loans of one lender.
#[derive(Debug, Default)]
pub struct LoanTable {
    loans: HashMap<LoanKey, LentLoan>,
}

impl LoanTable {
    /// Loan that an earlier copy of the same request was granted.
    #[must_use]
    pub fn find(&self, key: &LoanKey) -> Option<&LentLoan> {
        self.loans.get(key)
    }

    /// Adds a granted loan. A repeated request replaces the entry with the same loan.
    pub fn insert(&mut self, key: LoanKey, loan: LentLoan) {
        self.loans.insert(key, loan);
    }

    /// Removes a loan that the borrower reported. Returns `None` for a repeated report.
    pub fn resolve(&mut self, key: &LoanKey) -> Option<LentLoan> {
        self.loans.remove(key)
    }

    /// Removes and returns the expired loans.
    pub fn expire(&mut self, now: Uptime) -> Vec<LentLoan> {
        let expired = self.loans.extract_if(|_, loan| loan.expiry <= now);
        expired.map(|(_, loan)| loan).collect()
    }

    /// Number of unresolved loans.
    #[must_use]
    pub fn len(&self) -> usize {
        self.loans.len()
    }

    /// Whether there are no unresolved loans.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }
}
