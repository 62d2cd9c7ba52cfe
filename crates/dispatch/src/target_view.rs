//! What a VM knows about a target: location, owner, health, tickets and load.

use crate::dispatcher::CallOutcome;
use crate::health::TargetHealth;
use crate::holding::TicketHolding;
use crate::message::QueueLoad;
use plantainmill_config::TargetSpec;
use plantainmill_core::{TargetId, Uptime, VmId};
use std::time::Duration;

/// Age up to which the owner's load can show that a target has no free slot.
const FULLNESS_MAX_AGE: Duration = Duration::from_millis(250);
/// Age up to which the load from the owner is used to find free slots and to compare targets.
const LOAD_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Time for which a report that a target is leaving is valid without confirmation.
const LEAVING_MAX_AGE: Duration = Duration::from_secs(5);
/// Most outcomes sent with one renewal.
const OBSERVED_LIMIT: usize = 8;
/// Relative load of a target whose concurrency is used up.
const LOAD_SCALE: u32 = 1_024;

/// Network distance of a target from this VM, nearest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The target is in the same failure domain.
    Domain,
    /// The target is in another failure domain of the same region.
    Region,
    /// The target is in another region, behind the link between regions.
    Link,
}

/// What this VM knows about one target.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// Identifies the target in the configuration and in messages.
    pub id: TargetId,
    /// The target's entry in the latest configuration that has it.
    pub spec: TargetSpec,
    /// Network distance from this VM.
    pub distance: Distance,
    /// VM that keeps the target's queue; none when its failure domain has no live VM.
    pub owner: Option<VmId>,
    /// The owner does not respond.
    pub silent: bool,
    /// The machine of the target is leaving, according to the member view.
    pub machine_leaving: bool,
    /// The target is no longer in the configuration.
    pub removed: bool,
    /// When the target was added to the configuration; none for targets of the first one, which need no warm-up.
    pub added_at: Option<Uptime>,
    /// Health by the outcomes of this VM's calls.
    pub health: TargetHealth,
    /// Tickets that this VM holds for the target.
    pub holding: TicketHolding,
    /// Calls of this VM in flight.
    pub in_flight: u32,
    /// Calls in flight that run without a ticket.
    pub unticketed: u32,
    /// When the latest renewal without a reply was sent.
    pub renewal_sent: Option<Uptime>,
    /// Outcomes to send with the next renewal.
    pub observed: Vec<CallOutcome>,
    load: QueueLoad,
    load_received_at: Option<Uptime>,
    in_flight_at_load: u32,
    leaving_until: Option<Uptime>,
}

impl TargetView {
    /// A view of a target without owner, tickets or known load.
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
            added_at: None,
            health: TargetHealth::default(),
            holding: TicketHolding::default(),
            in_flight: 0,
            unticketed: 0,
            renewal_sent: None,
            observed: Vec::new(),
            load: QueueLoad::default(),
            load_received_at: None,
            in_flight_at_load: 0,
            leaving_until: None,
        }
    }

    /// Whether the target must not receive new requests, by the configuration, the member view or a report.
    #[must_use]
    pub fn is_leaving(&self, now: Uptime) -> bool {
        let reported = self.leaving_until.is_some_and(|until| now < until);
        self.spec.leaving || self.machine_leaving || reported
    }

    /// Records whether the owner or the engine reported the target as leaving.
    pub fn set_leaving(&mut self, leaving: bool, now: Uptime) {
        self.leaving_until = leaving.then(|| now + LEAVING_MAX_AGE);
    }

    /// Records the load that the owner sent.
    pub fn set_load(&mut self, load: QueueLoad, now: Uptime) {
        self.load = load;
        self.load_received_at = Some(now);
        self.in_flight_at_load = self.in_flight;
    }

    /// Discards the load that the owner sent.
    pub fn forget_load(&mut self) {
        self.load_received_at = None;
    }

    /// Whether a recent load from the owner shows that a request of the class would have to wait. Calls that this VM
    /// started since then count as well.
    #[must_use]
    pub fn is_full(&self, batch: bool, now: Uptime) -> bool {
        let known = self
            .load_received_at
            .is_some_and(|at| now < at + FULLNESS_MAX_AGE);
        let free_slots = if batch {
            self.load.idle
        } else {
            self.load.free
        };
        known && free_slots <= self.in_flight.saturating_sub(self.in_flight_at_load)
    }

    /// Whether the load from the owner shows a free slot for the class.
    #[must_use]
    pub fn is_free(&self, batch: bool, now: Uptime) -> bool {
        let known = self
            .load_received_at
            .is_some_and(|at| now < at + LOAD_MAX_AGE);
        known
            && !self.is_full(batch, now)
            && (if batch {
                self.load.idle
            } else {
                self.load.free
            }) > 0
    }

    /// Whether the load from the owner shows that a further online request would preempt a batch call.
    #[must_use]
    pub fn needs_preemption(&self, now: Uptime) -> bool {
        let known = self
            .load_received_at
            .is_some_and(|at| now < at + LOAD_MAX_AGE);
        known && self.load.spare <= self.in_flight.saturating_sub(self.in_flight_at_load)
    }

    /// Known requests at the target relative to its concurrency, which counts as 1,024.
    #[must_use]
    pub fn relative_load(&self, now: Uptime) -> u32 {
        let known = self
            .load_received_at
            .is_some_and(|at| now < at + LOAD_MAX_AGE);
        let mut present = self.in_flight;
        if known {
            let others = (self.load.used + self.load.queued).saturating_sub(self.in_flight_at_load);
            present += others;
        }
        present.saturating_mul(LOAD_SCALE) / self.spec.concurrency.max(1)
    }

    /// Stores an outcome for the next renewal. Further outcomes are dropped when the renewal is full.
    pub fn observe(&mut self, outcome: CallOutcome) {
        if self.observed.len() < OBSERVED_LIMIT {
            self.observed.push(outcome);
        }
    }
}
