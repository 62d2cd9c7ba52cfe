//! Refusals of simulated fleets, summed over runs.

use crate::pool_fleet::PoolFleet;

/// Requests and refusals of each organisation, summed over runs with different seeds.
#[derive(Default)]
pub struct RefusalTally {
    counts: Vec<(usize, usize)>,
}

impl RefusalTally {
    /// Adds what was refused since the counts of `fleet` were cleared.
    pub fn add(&mut self, fleet: &PoolFleet) {
        self.counts.resize(fleet.organisations.len(), (0, 0));
        for (count, organisation) in self.counts.iter_mut().zip(&fleet.organisations) {
            count.0 += organisation.refused;
            count.1 += organisation.sent;
        }
    }

    /// Asserts that at most one request in a hundred was refused, for each organisation.
    pub fn assert_few(&self, context: &str) {
        for (number, (refused, sent)) in self.counts.iter().enumerate() {
            let is_few = refused * 100 <= *sent;
            assert!(
                is_few,
                "{context}, organisation {number}: {refused} of {sent} refused"
            );
        }
    }
}
