//! Periods and limits of the member table.

use std::time::Duration;

/// Periods and limits of the member table.
#[derive(Clone, Copy, Debug)]
pub struct MemberTiming {
    /// Time between probes.
    pub probe_period: Duration,
    /// Wait for an answer before other members are asked to probe. A round trip inside a domain is 2 ms.
    pub direct_wait: Duration,
    /// Wait for a refutation before a suspect counts as dead.
    pub suspect_limit: Duration,
    /// Time between exchanges of a relay with other domains.
    pub relay_period: Duration,
    /// Least time between exchanges of whole domain tables by one VM.
    pub sync_pause: Duration,
    /// Time between reads of the VM list by a relay. The list of 350 VMs has about 35 KB.
    pub list_period_relay: Duration,
    /// Time between reads of the VM list by other VMs.
    pub list_period: Duration,
    /// How long a dead member outside the VM list is kept.
    pub dead_limit: Duration,
    /// How long a pruned member's old records are refused.
    pub tombstone_limit: Duration,
    /// A gap between ticks that shows this VM was paused; what it waited for then proves nothing.
    pub pause_limit: Duration,
}

impl Default for MemberTiming {
    fn default() -> MemberTiming {
        MemberTiming {
            probe_period: Duration::from_secs(1),
            direct_wait: Duration::from_millis(400),
            suspect_limit: Duration::from_secs(3),
            relay_period: Duration::from_secs(2),
            sync_pause: Duration::from_secs(10),
            list_period_relay: Duration::from_mins(1),
            list_period: Duration::from_mins(2),
            dead_limit: Duration::from_mins(1),
            tombstone_limit: Duration::from_mins(10),
            pause_limit: Duration::from_secs(2),
        }
    }
}

/// Time between ticks of the member table.
pub const TICK_PERIOD: Duration = Duration::from_millis(200);
/// Changes that ride on one message.
pub const UPDATE_LIMIT: usize = 6;
/// Members that are asked to probe for this VM.
pub const INDIRECT_PROBES: usize = 2;
/// Suspects that are asked in one period; it bounds the traffic when a rack fails.
pub const SUSPECTS_ASKED: usize = 4;
/// Relays of each domain.
pub const RELAYS: usize = 2;
/// Records in one message.
pub const RECORDS_LIMIT: usize = 128;
/// Every so many probes one goes to a dead member that the VM list still has, to heal partitions.
pub const DEAD_PROBE_EVERY: u64 = 5;
