//! Tests of when a VM reads the registry's table and feed, in virtual time.

use crate::target_registry::{at, entry, usable};
use plantainmill_routing::{
    FollowerStep, RegistryFollower, TargetRegistry, TargetRow, TargetRows, proof_interval,
};
use rstest::rstest;
use std::time::Duration;

fn row(number: u16, version: u64) -> TargetRow {
    TargetRow {
        id: format!("t{number}").into(),
        version,
        entry: Some(entry(&format!("t{number}"), number)),
    }
}

fn leaving(number: u16, version: u64) -> TargetRow {
    let mut row = row(number, version);
    if let Some(entry) = &mut row.entry {
        entry.draining = true;
    }
    row
}

fn table(count: u16) -> TargetRows {
    TargetRows {
        rows: (0..count).map(|number| row(number, 1)).collect(),
        version: 1,
    }
}

fn feed(rows: Vec<TargetRow>, version: u64) -> TargetRows {
    TargetRows { rows, version }
}

/// Guards against a small deployment that reads its table later or makes more calls than before the feed was used.
#[test]
fn small_table() {
    let mut follower = RegistryFollower::new(1);
    assert_eq!(follower.next_step(None, at(0)), FollowerStep::ReadFew(100));
    follower.record_read(table(100), at(0));
    let confirmed_at = Some(at(400));
    assert_eq!(
        follower.next_step(confirmed_at, at(10)),
        FollowerStep::Wait(at(590))
    );
    assert_eq!(
        follower.next_step(confirmed_at, at(600)),
        FollowerStep::Read
    );
}

/// Guards against a leaving target that stays in use while the feed is silent.
#[rstest]
#[case::hundreds(400)]
#[case::thousands(3_000)]
fn silent_feed(#[case] count: u16) {
    let mut follower = RegistryFollower::new(1);
    let mut registry = TargetRegistry::default();
    registry.apply(follower.record_read(table(count), at(0)), at(0));
    let mut now = at(20);
    let silent_read = loop {
        match follower.next_step(None, now) {
            FollowerStep::Read | FollowerStep::ReadFew(_) => break now,
            FollowerStep::Follow { wait, .. } => {
                now += wait;
                let changes = follower.record_feed(feed(Vec::new(), 9), now);
                assert!(changes.is_empty());
            }
            FollowerStep::Wait(wait) => now += wait,
        }
    };
    assert!(
        silent_read <= Duration::from_millis(1_700),
        "{silent_read:?}"
    );
    let mut read = table(count);
    read.rows[7] = leaving(7, 5);
    registry.apply(follower.record_read(read, now), now);
    assert_eq!(usable(&registry, now), usize::from(count) - 1);
}

/// Guards against changes of the feed that take effect only with the next read, against older rows that replace newer
/// ones, and against renewals that count as changes.
#[test]
fn fed_changes() {
    let mut follower = RegistryFollower::new(1);
    let mut registry = TargetRegistry::default();
    registry.apply(follower.record_read(table(400), at(0)), at(0));
    let step = follower.next_step(Some(at(0)), at(20));
    assert!(matches!(step, FollowerStep::Follow { after: 1, .. }));
    let rows = vec![row(7, 2), leaving(7, 4), row(8, 5)];
    let applied = registry.apply_feed(follower.record_feed(feed(rows, 5), at(50)), at(50));
    assert_eq!((applied.len(), usable(&registry, at(50))), (1, 399));
    let late = follower.record_feed(feed(vec![row(7, 3)], 5), at(300));
    assert!(registry.apply_feed(late, at(300)).is_empty());
    let step = follower.next_step(Some(at(0)), at(600));
    assert!(matches!(step, FollowerStep::Follow { after: 5, .. }));
}

/// Guards against rows that a read has returned and that the feed repeats in an older state, because the pages of a read
/// are of different times.
#[test]
fn paged_read() {
    let mut follower = RegistryFollower::new(1);
    let mut read = table(400);
    read.rows[7] = leaving(7, 9);
    follower.record_read(read, at(0));
    assert!(
        follower
            .record_feed(feed(vec![row(7, 6)], 6), at(50))
            .is_empty()
    );
}

/// Guards against changes that are missed after the store has lost its history, and against a feed that fails each time and
/// causes reads without a pause.
#[test]
fn lost_history() {
    let mut follower = RegistryFollower::new(1);
    follower.record_read(table(3_000), at(0));
    follower.record_feed_failure(at(100));
    assert_eq!(
        follower.next_step(Some(at(0)), at(100)),
        FollowerStep::Wait(at(500))
    );
    assert_eq!(follower.next_step(Some(at(0)), at(600)), FollowerStep::Read);
    follower.record_read(table(3_000), at(600));
    let step = follower.next_step(Some(at(600)), at(610));
    assert!(matches!(step, FollowerStep::Follow { after: 1, .. }));
}

/// Guards against a failed read after which the feed continues as if nothing had been missed.
#[test]
fn failed_read() {
    let mut follower = RegistryFollower::new(1);
    follower.record_read(table(3_000), at(0));
    follower.record_read_failure(at(2_000));
    assert_eq!(
        follower.next_step(Some(at(0)), at(2_000)),
        FollowerStep::Wait(at(250))
    );
    assert_eq!(
        follower.next_step(Some(at(0)), at(2_250)),
        FollowerStep::Read
    );
}

/// Guards against a feed that transfers more than the reads that it saves: 3,000 targets that renew their entries each
/// second.
#[test]
fn costly_feed() {
    let mut follower = RegistryFollower::new(1);
    follower.record_read(table(3_000), at(0));
    let rows = (0..1_600).map(|number| row(number, 2)).collect();
    let _ = follower.record_feed(feed(rows, 2), at(300));
    let rows = (0..1_600).map(|number| row(number, 3)).collect();
    let _ = follower.record_feed(feed(rows, 3), at(600));
    for second in [2, 10, 25] {
        let now = Duration::from_secs(second);
        follower.record_read(table(3_000), now);
        let step = follower.next_step(Some(now), now + at(300));
        assert!(
            matches!(step, FollowerStep::Wait(wait) if wait > at(1_200)),
            "{step:?}"
        );
    }
}

/// Guards against two readers of a domain that both read the whole table: each one proves the list for both in turn.
#[test]
fn shared_reads() {
    let mut readers = [RegistryFollower::new(1), RegistryFollower::new(2)];
    let mut confirmed_at = [None, None];
    let mut reads = [0, 0];
    for millis in (0..60_000).step_by(10) {
        let now = at(millis);
        for reader in 0..2 {
            let step = readers[reader].next_step(confirmed_at[reader], now);
            if matches!(step, FollowerStep::Read | FollowerStep::ReadFew(_)) {
                readers[reader].record_read(table(3_000), now);
                confirmed_at[reader] = confirmed_at[reader].max(Some(now));
                reads[reader] += 1;
            }
            // The readers query each other every 400 ms, at different times.
            if millis % 400 == 130 * u64::try_from(reader).expect("small") {
                confirmed_at[reader] = confirmed_at[reader].max(confirmed_at[1 - reader]);
            }
            let age = confirmed_at[reader].map(|confirmed_at| now.saturating_sub(confirmed_at));
            assert!(age.is_none_or(|age| age <= proof_interval(3_000)));
        }
    }
    assert!(
        reads.iter().all(|reads| (20..=30).contains(reads)),
        "{reads:?}"
    );
}

/// Guards against 300 VMs that all read the whole table when they start together, and against VMs that have no list a second
/// after their start, also if their readers give none.
#[rstest]
#[case::served(true, 12)]
#[case::unserved(false, 300)]
fn restarted_fleet(#[case] is_served: bool, #[case] max_reads: usize) {
    const VMS: u64 = 300;
    let mut early_reads = 0;
    for seed in 0..VMS {
        let mut follower = RegistryFollower::new(seed);
        let step = follower.next_step(None, at(0));
        assert_eq!(step, FollowerStep::ReadFew(100));
        follower.record_large_table(at(20));
        let is_probable_reader = seed < 12;
        if is_probable_reader {
            follower.end_start_delay();
        }
        // The readers have a list 60 ms after the start, and all queries have been answered after 460 ms.
        let listed_at = if is_served { 460 } else { 1_000 };
        let reads_before = (20..listed_at)
            .any(|millis| follower.next_step(None, at(millis)) == FollowerStep::Read);
        assert!(is_served || reads_before);
        early_reads += usize::from(reads_before);
    }
    assert_eq!(early_reads, max_reads);
}
