//! The lender's record of loans.

use crate::message::VmStart;
use crate::split::SlotId;
use plantainmill_core::{OrganisationId, Uptime};
use std::collections::HashMap;
use std::time::Duration;

/// Longest lifetime of a loan. It spans several round trips between regions, and is short against the lease.
pub const LOAN_TIME: Duration = Duration::from_secs(2);
/// The lender counts this much longer than the borrower, for clocks that run up to 1% apart.
pub const LENDER_MARGIN: Duration = Duration::from_millis(20);

/// Identifies a loan at its lender.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LoanKey {
    /// Borrower.
    pub borrower: VmStart,
    /// Number of its request.
    pub loan: u64,
}

/// Tokens of a loan that came from one slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanPart {
    /// Slot.
    pub slot: SlotId,
    /// Epoch in which they were lent.
    pub epoch: u64,
    /// Tokens.
    pub tokens: u32,
}

/// A loan as the lender remembers it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LentLoan {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Where the tokens came from.
    pub parts: Vec<LoanPart>,
    /// Lifetime that the borrower was told.
    pub lifetime: Duration,
    /// When the lender takes unreported tokens as spent.
    pub expiry: Uptime,
}

impl LentLoan {
    /// Tokens lent.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// Loans that are not resolved.
#[derive(Debug, Default)]
pub struct LoanBook {
    loans: HashMap<LoanKey, LentLoan>,
}

impl LoanBook {
    /// The loan of an earlier copy of the same request.
    #[must_use]
    pub fn find(&self, key: &LoanKey) -> Option<&LentLoan> {
        self.loans.get(key)
    }

    /// Records a loan.
    pub fn insert(&mut self, key: LoanKey, loan: LentLoan) {
        self.loans.insert(key, loan);
    }

    /// Removes a reported loan; a repeated report finds none.
    pub fn resolve(&mut self, key: &LoanKey) -> Option<LentLoan> {
        self.loans.remove(key)
    }

    /// Removes the loans whose time is over.
    pub fn expire(&mut self, now: Uptime) -> Vec<LentLoan> {
        let expired = self.loans.extract_if(|_, loan| loan.expiry <= now);
        expired.map(|(_, loan)| loan).collect()
    }

    /// Number of loans.
    #[must_use]
    pub fn len(&self) -> usize {
        self.loans.len()
    }

    /// No loan is unresolved.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }
}
