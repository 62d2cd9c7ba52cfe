//! Delays between the attempts of a call that fails.

use plantainmill_core::RetryDelay;
use std::collections::BTreeSet;
use std::time::Duration;

const FIRST: Duration = Duration::from_millis(250);
const LONGEST: Duration = Duration::from_secs(2);

/// Guards against delays that do not grow, or grow without end.
#[test]
fn growing_delays() {
    let mut delay = RetryDelay::new(FIRST, LONGEST, 7);
    for factor in [1, 2, 4, 8, 8, 8] {
        let next = delay.record_failure();
        let least = FIRST * factor;
        assert!(next >= least && next < least * 3 / 2, "{next:?}");
    }
    delay.record_success();
    assert!(!delay.has_failed());
    assert!(delay.record_failure() < FIRST * 3 / 2);
    assert!(delay.has_failed());
}

/// Guards against callers that have failed together and repeat their calls together.
#[test]
fn spread_delays() {
    let delays = (0..50).map(|seed| RetryDelay::new(FIRST, LONGEST, seed).record_failure());
    let delays: BTreeSet<Duration> = delays.collect();
    assert!(delays.len() > 40, "{}", delays.len());
}
