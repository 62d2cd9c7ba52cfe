//! When the VMs of a domain read the store themselves.

use crate::support::at;
use plantainmill_edge::ReadTurns;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn placed(place: usize) -> ReadTurns {
    let turns = ReadTurns::new(at(0));
    turns.set_place(place, at(0));
    turns
}

/// First time in milliseconds up to 30 s at which the VM may make its reads at the start, while another one announces its own
/// every 200 ms until `busy_ms`.
fn first_turn(turns: &ReadTurns, busy_ms: u64) -> Option<u64> {
    (0..30_000).step_by(10).find(|now| {
        if *now < busy_ms && now % 200 == 0 {
            turns.record_other_read(at(*now));
        }
        turns.has_start_turn(at(*now))
    })
}

/// Guards against a domain whose VMs all read at once when they start together.
#[test]
fn turn_order() {
    let firsts: Vec<_> = (0..6).map(|place| first_turn(&placed(place), 0)).collect();
    let expected = [0, 0, 400, 500, 600, 700].map(Some);
    assert_eq!(firsts, expected);
    let last = first_turn(&placed(200), 0).expect("a turn");
    assert!(Duration::from_millis(last) <= 4 * SECOND, "{last} ms");
}

/// Guards against VMs that read all at once when the reads that they have waited for end without a result.
#[test]
fn ended_read() {
    let firsts: Vec<_> = (0..5)
        .map(|place| first_turn(&placed(place), 3_000))
        .collect();
    // The last announcement comes after 2.8 s.
    let expected = [0, 0, 3_900, 4_000, 4_100].map(Some);
    assert_eq!(firsts, expected);
}

/// Guards against a VM that waits without end for others that announce reads.
#[test]
fn endless_read() {
    let first = first_turn(&placed(2), 30_000).expect("a turn");
    assert!(Duration::from_millis(first) <= 11 * SECOND, "{first} ms");
}

/// Guards against a VM that never reads because the rows of its domain cannot be read.
#[test]
fn unknown_place() {
    let turns = ReadTurns::new(at(0));
    assert!(!turns.is_first());
    assert_eq!(first_turn(&turns, 0), Some(1_000));
}

/// Guards against a VM that counts the time before it learned its place as waiting for its turn.
#[test]
fn late_place() {
    let turns = ReadTurns::new(at(0));
    turns.set_place(3, at(900));
    assert!(!turns.has_start_turn(at(1_390)));
    assert!(turns.has_start_turn(at(1_400)));
}
