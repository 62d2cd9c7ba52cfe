//! Periods, timeouts and limits of the member table.

use std::time::Duration;

/// Periods and timeouts of the member table.
#[derive(Clone, Copy, Debug)]
pub struct MemberTiming {
    /// Time between periodic probes by one VM.
    pub probe_period: Duration,
    /// Time without an acknowledgement after which indirect probes are requested. Must exceed the round trip inside
    /// a domain, which is 2 ms.
    pub ack_timeout: Duration,
    /// Time that a suspect has to refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Time between summaries that a relay sends to other domains.
    pub relay_period: Duration,
    /// Minimum time between exchanges of all records of the own domain that one VM starts.
    pub min_sync_interval: Duration,
    /// Time between reads of the VM list by a relay. A list of 350 VMs has about 35 KB.
    pub relay_list_period: Duration,
    /// Time between reads of the VM list by other VMs.
    pub list_period: Duration,
    /// How long a dead member that is not in the VM list is kept.
    pub dead_retention: Duration,
    /// How long records of a pruned member's incarnation are rejected.
    pub tombstone_retention: Duration,
    /// Gap between ticks from which this VM concludes that it was paused. Timeouts that ran during a pause say nothing
    /// about other members and start again.
    pub pause_threshold: Duration,
}

impl Default for MemberTiming {
    fn default() -> MemberTiming {
        MemberTiming {
            probe_period: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(400),
            suspicion_timeout: Duration::from_secs(3),
            relay_period: Duration::from_secs(2),
            min_sync_interval: Duration::from_secs(10),
            relay_list_period: Duration::from_mins(1),
            list_period: Duration::from_mins(2),
            dead_retention: Duration::from_mins(1),
            tombstone_retention: Duration::from_mins(10),
            pause_threshold: Duration::from_secs(2),
        }
    }
}

/// Time between ticks of the member table.
pub const TICK_PERIOD: Duration = Duration::from_millis(200);
/// Queued updates piggybacked on one message.
pub const UPDATES_PER_MESSAGE: usize = 6;
/// Members that are asked to probe an unresponsive member on behalf of this VM.
pub const INDIRECT_PROBE_FANOUT: usize = 2;
/// Suspects probed in one probe period. Bounds the traffic when a whole rack fails.
pub const SUSPECTS_PER_PERIOD: usize = 4;
/// Relays in each domain.
pub const RELAYS_PER_DOMAIN: usize = 2;
/// Records in one [`MemberMessage::Records`](crate::message::MemberMessage::Records).
pub const RECORDS_PER_MESSAGE: usize = 128;
/// One in this many periodic probes goes to a dead member that has not been pruned, so that partitions heal.
pub const PROBES_PER_DEAD_PROBE: u64 = 5;
