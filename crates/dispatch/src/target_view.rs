//! What a VM knows of a target: place, owner, health, tickets and load.

use crate::dispatcher::CallOutcome;
use crate::health::TargetHealth;
use crate::holding::TicketHolding;
use crate::message::QueueLoad;
use plantainmill_config::TargetSpec;
use plantainmill_core::{TargetId, Uptime, VmId};
use std::time::Duration;

/// A load older than this says nothing about free slots.
const FULL_DURATION: Duration = Duration::from_millis(250);
/// A load older than this is not compared.
const LOAD_DURATION: Duration = Duration::from_millis(1_500);
/// A report that a target is leaving holds this long without confirmation.
const LEAVING_DURATION: Duration = Duration::from_secs(5);
/// Outcomes sent with the next renewal at most.
const OBSERVED_LIMIT: usize = 8;
/// Scale of relative loads.
const LOAD_SCALE: u32 = 1_024;

/// How far a target is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// Same failure domain.
    Domain,
    /// Same region.
    Region,
    /// Behind the link between regions.
    Link,
}

/// The view of one target.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Identifier.
    pub id: TargetId,
    /// Configuration.
    pub spec: TargetSpec,
    /// How far it is.
    pub distance: Distance,
    /// VM that keeps its queue; none when its domain has no live VM.
    pub owner: Option<VmId>,
    /// The owner does not answer.
    pub silent: bool,
    /// The machine of the target is leaving, by the member view.
    pub machine_leaving: bool,
    /// The target left the configuration.
    pub removed: bool,
    /// When a target came into the configuration that this VM already had.
    pub new_since: Option<Uptime>,
    /// Health.
    pub health: TargetHealth,
    /// Tickets.
    pub holding: TicketHolding,
    /// Calls of this VM in flight.
    pub in_flight: u32,
    /// Those of them that run without a ticket.
    pub unticketed: u32,
    /// When the latest unanswered renewal was sent.
    pub renewal_sent: Option<Uptime>,
    /// Outcomes for the next renewal.
    pub observed: Vec<CallOutcome>,
    load: QueueLoad,
    load_at: Option<Uptime>,
    in_flight_at_load: u32,
    leaving_until: Option<Uptime>,
}

impl TargetView {
    /// A view of a target that nothing is known of.
    #[must_use]
    pub fn new(id: TargetId, spec: TargetSpec, distance: Distance) -> TargetView {
        TargetView {
            id,
            spec,
            distance,
            owner: None,
            silent: false,
            machine_leaving: false,
            removed: false,
            new_since: None,
            health: TargetHealth::default(),
            holding: TicketHolding::default(),
            in_flight: 0,
            unticketed: 0,
            renewal_sent: None,
            observed: Vec::new(),
            load: QueueLoad::default(),
            load_at: None,
            in_flight_at_load: 0,
            leaving_until: None,
        }
    }

    /// Whether the target gets no new work.
    #[must_use]
    pub fn is_leaving(&self, now: Uptime) -> bool {
        let reported = self.leaving_until.is_some_and(|until| now < until);
        self.spec.leaving || self.machine_leaving || reported
    }

    /// Takes in whether the engine said that it leaves.
    pub fn set_leaving(&mut self, leaving: bool, now: Uptime) {
        self.leaving_until = leaving.then(|| now + LEAVING_DURATION);
    }

    /// Takes in the owner's load.
    pub fn set_load(&mut self, load: QueueLoad, now: Uptime) {
        self.load = load;
        self.load_at = Some(now);
        self.in_flight_at_load = self.in_flight;
    }

    /// Forgets the owner's load.
    pub fn forget_load(&mut self) {
        self.load_at = None;
    }

    /// Whether the queue has no slot, as far as is known.
    #[must_use]
    pub fn is_full(&self, batch: bool, now: Uptime) -> bool {
        let known = self.load_at.is_some_and(|at| now < at + FULL_DURATION);
        let room = if batch {
            self.load.idle
        } else {
            self.load.free
        };
        known && room <= self.in_flight.saturating_sub(self.in_flight_at_load)
    }

    /// Whether the queue is known to have a slot.
    #[must_use]
    pub fn is_free(&self, batch: bool, now: Uptime) -> bool {
        let known = self.load_at.is_some_and(|at| now < at + LOAD_DURATION);
        known
            && !self.is_full(batch, now)
            && (if batch {
                self.load.idle
            } else {
                self.load.free
            }) > 0
    }

    /// Whether a batch request would have to give way to a further online request, as far as is known.
    #[must_use]
    pub fn needs_preemption(&self, now: Uptime) -> bool {
        let known = self.load_at.is_some_and(|at| now < at + LOAD_DURATION);
        known && self.load.spare <= self.in_flight.saturating_sub(self.in_flight_at_load)
    }

    /// Requests at the target, as far as is known, relative to its concurrency.
    #[must_use]
    pub fn relative_load(&self, now: Uptime) -> u32 {
        let known = self.load_at.is_some_and(|at| now < at + LOAD_DURATION);
        let mut present = self.in_flight;
        if known {
            let others = (self.load.used + self.load.queued).saturating_sub(self.in_flight_at_load);
            present += others;
        }
        present.saturating_mul(LOAD_SCALE) / self.spec.concurrency.max(1)
    }

    /// Keeps an outcome for the next renewal.
    pub fn observe(&mut self, outcome: CallOutcome) {
        if self.observed.len() < OBSERVED_LIMIT {
            self.observed.push(outcome);
        }
    }
}
