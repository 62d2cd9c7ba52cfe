//! Results of a run.

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PatternReport {
    /// Online requests, except those whose callers disconnect early.
    pub online: u64,
    /// Online requests whose first event came within the objective of 300 ms after their arrival, retries included.
    pub in_time: u64,
    /// Online requests whose first event came later than the objective.
    pub late: u64,
    /// Online requests that were refused on their retry, or whose VM was killed before their first event.
    pub lost: u64,
    /// Online requests that arrived from other organisations during the surge of one.
    pub others: u64,
    /// Those of `others` whose first event came within the objective.
    pub others_in_time: u64,
    /// Batch items with a deadline before the end of the run.
    pub items: u64,
    /// Those of `items` that completed by their deadline.
    pub items_in_time: u64,
    /// Idle slot time in milliseconds, summed over all live targets, while requests were queued at any target.
    pub idle_while_waiting: u64,
    /// Preemptions of batch items; an item may count more than once.
    pub interrupted: u64,
}

impl PatternReport {
    /// Share of online requests within the objective; 0 without requests.
    #[must_use]
    pub fn online_share(&self) -> f64 {
        share(self.in_time, self.online)
    }

    /// Share of the other organisations' requests during a surge within the objective; 0 without a surge.
    #[must_use]
    pub fn others_share(&self) -> f64 {
        share(self.others_in_time, self.others)
    }

    /// Share of batch items that completed by their deadline; 0 without items.
    #[must_use]
    pub fn batch_share(&self) -> f64 {
        share(self.items_in_time, self.items)
    }
}

fn share(part: u64, whole: u64) -> f64 {
    let count = |number: u64| u32::try_from(number).map_or(f64::MAX, f64::from);
    count(part) / count(whole.max(1))
}
