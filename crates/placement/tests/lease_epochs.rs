//! The lease of a failure domain's controller: at most one holder at a time, and epochs only increase.

use plantainmill_core::{Uptime, VmId};
use plantainmill_placement::lease::{LEASE_RENEWAL_INTERVAL, LEASE_TERM};
use plantainmill_placement::{LeaseAction, LeaseRow, PlacementLease};
use plantainmill_provider::Expected;
use rstest::rstest;
use std::time::Duration;

/// The table row, with its revision.
#[derive(Default)]
struct TestRow {
    content: Option<(LeaseRow, u64)>,
    writes: u64,
}

impl TestRow {
    fn write(&mut self, action: &LeaseAction) -> Option<u64> {
        let found = self.content.as_ref().map(|(_, revision)| *revision);
        let holds = match action.expected {
            Expected::Absent => found.is_none(),
            Expected::Revision(revision) => found == Some(revision),
        };
        if !holds {
            return None;
        }
        self.writes += 1;
        self.content = Some((action.row.clone(), self.writes));
        Some(self.writes)
    }

    /// Runs one round of `lease`. If `has_response` is false, the response to the write is lost.
    fn round(&mut self, lease: &mut PlacementLease, now: Uptime, has_response: bool) {
        let Some(action) = lease.observe(self.content.clone(), now) else {
            return;
        };
        if let Some(revision) = self.write(&action)
            && has_response
        {
            lease.record_write(&action.row, revision, now);
        }
    }
}

fn seconds(count: u64) -> Uptime {
    Duration::from_secs(count)
}

fn leases() -> (PlacementLease, PlacementLease) {
    (
        PlacementLease::new(VmId::from("a")),
        PlacementLease::new(VmId::from("b")),
    )
}

/// A holder that is paused past the lease term must not regard itself as holder once another VM may have acquired the
/// lease.
#[test]
fn paused_holder() {
    let (mut first, mut second) = leases();
    let mut row = TestRow::default();
    row.round(&mut first, seconds(0), true);
    assert_eq!(first.epoch(seconds(1)), Some(1));
    // From here on, the first holder is paused and only the second VM reads the row.
    for second_count in 1..=20 {
        let now = seconds(second_count);
        row.round(&mut second, now, true);
        let both = first.epoch(now).is_some() && second.epoch(now).is_some();
        assert!(!both, "both VMs hold the lease at {now:?}");
    }
    assert_eq!(second.epoch(seconds(20)), Some(2));
    row.round(&mut first, seconds(20), true);
    assert_eq!(
        first.epoch(seconds(20)),
        None,
        "the old holder observes the later epoch"
    );
}

/// A holder keeps the lease while its renewals are confirmed, and loses it when their responses are lost. At no time do
/// two VMs hold it.
#[rstest]
#[case::renewed(true)]
#[case::responses_lost(false)]
fn renewal_responses(#[case] has_response: bool) {
    let (mut first, mut second) = leases();
    let mut row = TestRow::default();
    row.round(&mut first, seconds(0), true);
    let mut now = Uptime::ZERO;
    while now < LEASE_TERM * 3 {
        now += LEASE_RENEWAL_INTERVAL;
        row.round(&mut first, now, has_response);
        row.round(&mut second, now, true);
        assert!(first.epoch(now).is_none() || second.epoch(now).is_none());
    }
    assert_eq!(first.epoch(now).is_some(), has_response);
}

/// If the response to an acquisition is lost, the VM does not hold the lease, although the row names it, until the term
/// has expired and it acquires the lease again in a later epoch.
#[test]
fn lost_takeover() {
    let (mut first, _) = leases();
    let mut row = TestRow::default();
    row.round(&mut first, seconds(0), false);
    assert_eq!(
        first.epoch(seconds(0)),
        None,
        "a write without a response grants no lease"
    );
    row.round(&mut first, seconds(1), true);
    row.round(&mut first, seconds(1) + LEASE_TERM, true);
    assert_eq!(first.epoch(seconds(17)), Some(2));
}

/// A released lease can be acquired without waiting for its term to expire.
#[test]
fn released_lease() {
    let (mut first, mut second) = leases();
    let mut row = TestRow::default();
    row.round(&mut first, seconds(0), true);
    let release = first.release().expect("a held lease");
    row.write(&release);
    row.round(&mut second, seconds(1), true);
    assert_eq!(second.epoch(seconds(1)), Some(2));
    assert_eq!(first.epoch(seconds(1)), None);
}
