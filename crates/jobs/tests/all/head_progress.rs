//! What a VM knows of the heads of all jobs, and when it has to read them itself.

use crate::support::head;
use plantainmill_jobs::{HeadChanges, HeadProgress};
use std::time::Duration;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Progress of a VM that has read all heads up to version 10 at second 100.
fn started() -> HeadProgress {
    let mut progress = HeadProgress::default();
    progress.record_read(10, seconds(100.0));
    progress
}

/// Guards against a VM that takes the confirmation of a reader for its own although it has missed changes.
#[test]
fn missed_range() {
    let mut progress = started();
    progress.record_range(10, 12);
    progress.confirm(12, seconds(101.0));
    assert_eq!(progress.confirmed(), Some((12, seconds(101.0))));
    // The changes of version 13 were lost.
    progress.record_range(13, 15);
    progress.confirm(15, seconds(102.0));
    assert_eq!(progress.confirmed(), Some((12, seconds(101.0))));
    assert!(!progress.needs_read(seconds(102.0)));
    assert!(progress.needs_read(seconds(102.6)));
    // The reader sends them once more with the next message.
    progress.record_range(12, 15);
    progress.confirm(15, seconds(102.5));
    assert!(!progress.needs_read(seconds(102.6)));
}

/// Guards against a VM that has just started, was suspended, or has lost the history, and relies on messages alone.
#[test]
fn unread_heads() {
    let mut progress = HeadProgress::default();
    progress.record_range(0, 20);
    progress.confirm(20, seconds(1.0));
    assert!(progress.needs_read(seconds(1.0)));
    assert_eq!(progress.feed_position(), None);
    let mut progress = started();
    assert_eq!(progress.feed_position(), Some(10));
    assert!(progress.needs_read(seconds(104.0)));
    progress.record_lost_history();
    progress.record_range(10, 30);
    assert_eq!(progress.feed_position(), None);
}

/// Guards against a message that states changes of another message, which may be lost.
#[test]
fn split_changes() {
    let heads = (11..=15).map(|version| (format!("j{version}").into(), head(1), version));
    let changes = HeadChanges {
        after: 10,
        until: 20,
        heads: heads.collect(),
    };
    let ranges = |changes: HeadChanges| -> Vec<(u64, u64, usize)> {
        let parts = changes.split(2).into_iter();
        parts
            .map(|part| (part.after, part.until, part.heads.len()))
            .collect()
    };
    assert_eq!(
        ranges(changes.clone()),
        [(10, 12, 2), (12, 14, 2), (14, 20, 1)]
    );
    let heads = Vec::new();
    assert_eq!(ranges(HeadChanges { heads, ..changes }), [(10, 20, 0)]);
}

/// Guards against a VM that acts on old heads although it can read newer ones, and against one that stops all work at once
/// when the store is down, or never.
#[test]
fn old_heads() {
    let mut progress = started();
    assert!(progress.may_act(seconds(101.9)));
    assert!(!progress.may_act(seconds(102.0)));
    progress.record_failure(seconds(102.5));
    assert!(progress.may_act(seconds(102.6)));
    // The failure is too old to say anything, for example after the VM was suspended.
    assert!(!progress.may_act(seconds(105.6)));
    progress.record_failure(seconds(119.0));
    assert!(progress.may_act(seconds(119.9)));
    assert!(!progress.may_act(seconds(120.0)));
    assert!(!HeadProgress::default().may_act(seconds(1.0)));
}
