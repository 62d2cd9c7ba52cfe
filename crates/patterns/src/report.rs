//! What a run shows.

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PatternReport {
    /// Online requests that were not given up by their callers.
    pub online: u64,
    /// Those with a first event within the objective, counted from the first attempt.
    pub in_time: u64,
    /// Those with a later first event.
    pub late: u64,
    /// Those refused or failed in the end.
    pub lost: u64,
    /// Online requests that the other organisations sent during one organisation's surge.
    pub others: u64,
    /// Those with a first event within the objective.
    pub others_in_time: u64,
    /// Batch items that were due within the run.
    pub items: u64,
    /// Those done when they were due.
    pub items_in_time: u64,
    /// Slot milliseconds that were free while online requests waited at other targets.
    pub idle_while_waiting: u64,
    /// Batch items that were interrupted.
    pub interrupted: u64,
}

impl PatternReport {
    /// Online requests in time, as a share.
    #[must_use]
    pub fn online_share(&self) -> f64 {
        share(self.in_time, self.online)
    }

    /// Requests of the other organisations in time during a surge, as a share.
    #[must_use]
    pub fn others_share(&self) -> f64 {
        share(self.others_in_time, self.others)
    }

    /// Batch items in time, as a share.
    #[must_use]
    pub fn batch_share(&self) -> f64 {
        share(self.items_in_time, self.items)
    }
}

fn share(part: u64, whole: u64) -> f64 {
    let count = |number: u64| u32::try_from(number).map_or(f64::MAX, f64::from);
    count(part) / count(whole.max(1))
}
