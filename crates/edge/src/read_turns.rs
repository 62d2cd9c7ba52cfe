//! When a VM reads the store itself: the readers of its failure domain at once, and the other VMs one after the other.
//!
//! VMs that start together, or lose their readers together, share the links to the store. If all of them read at once, no read
//! may end in time. Once one of them has the data, the others get it from there.

use crate::peer_directory::READER_COUNT;
use plantainmill_core::Uptime;
use std::cell::Cell;
use std::time::Duration;

/// Time after its start in which a VM waits for the rows of its domain, which tell its place among the readers.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(1);
/// Time for which the readers of a domain are left alone with a read. Usually they hand over what they have read by then.
const FIRST_TURN_DELAY: Duration = Duration::from_millis(400);
/// Time between the turns of two VMs of a domain.
const TURN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which a VM leaves the reads to the others while none of them is heard to read.
const MAX_TURN_DELAY: Duration = Duration::from_secs(4);
/// Time without an announcement after which the read of another VM has ended: two announcements may be lost.
const READ_VALIDITY: Duration = Duration::from_millis(700);
/// Longest time for which a VM leaves a read to others that announce it.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Place of a VM among those of its domain that read the store.
#[derive(Debug)]
pub struct ReadTurns {
    /// When this VM has started, or learned its place.
    waiting_since: Cell<Uptime>,
    /// Number of known VMs of the domain that read before this one; `None` before their rows have been read.
    place: Cell<Option<usize>>,
    /// When another VM of the domain last announced that it is reading.
    other_read_at: Cell<Option<Uptime>>,
}

impl ReadTurns {
    /// The turns of a VM that starts at `started_at`.
    #[must_use]
    pub fn new(started_at: Uptime) -> ReadTurns {
        ReadTurns {
            waiting_since: Cell::new(started_at),
            place: Cell::new(None),
            other_read_at: Cell::new(None),
        }
    }

    /// Records at `now` how many known VMs of the domain read before this one.
    pub fn set_place(&self, place: usize, now: Uptime) {
        if self.place.replace(Some(place)).is_none() {
            self.waiting_since.set(now);
        }
    }

    /// Whether this VM would be a reader if all known VMs of its domain were live.
    #[must_use]
    pub fn is_first(&self) -> bool {
        self.place.get().is_some_and(|place| place < READER_COUNT)
    }

    /// Records that another VM of the domain is reading.
    pub fn record_other_read(&self, now: Uptime) {
        self.other_read_at.set(Some(now));
    }

    /// Time for which this VM leaves reads that have become necessary to the VMs before it.
    fn delay(&self) -> Duration {
        let Some(place) = self.place.get() else {
            return DISCOVERY_LIMIT;
        };
        let Some(turns) = place.checked_sub(READER_COUNT) else {
            return Duration::ZERO;
        };
        let turns = u32::try_from(turns).unwrap_or(u32::MAX);
        let delay = FIRST_TURN_DELAY.saturating_add(TURN_INTERVAL.saturating_mul(turns));
        delay.min(MAX_TURN_DELAY)
    }

    /// Whether this VM may make a read at `now` that has been necessary for `wait`.
    #[must_use]
    pub fn has_turn(&self, wait: Duration, now: Uptime) -> bool {
        let delay = self.delay();
        if wait < delay {
            return false;
        }
        // The turns begin anew when a read that was announced has ended without its result.
        let turn_at = self.other_read_at.get();
        let turn_at = turn_at.map(|read_at| read_at + READ_VALIDITY + delay);
        delay.is_zero() || wait >= MAX_WAIT + delay || turn_at.is_none_or(|turn_at| now >= turn_at)
    }

    /// Whether this VM may make reads at `now` that all VMs need at their start.
    #[must_use]
    pub fn has_start_turn(&self, now: Uptime) -> bool {
        self.has_turn(now.saturating_sub(self.waiting_since.get()), now)
    }
}
