//! Targets and times of the tests.

use plantainmill_core::{TargetId, Uptime};
use plantainmill_paths::{PathEvent, PathTable};
use std::net::SocketAddr;
use std::time::Duration;

pub fn millis(millis: u64) -> Uptime {
    Duration::from_millis(millis)
}

pub fn target(number: usize) -> TargetId {
    format!("i-{number}").into()
}

pub fn address(number: usize) -> SocketAddr {
    let [high, low] = u16::try_from(number).expect("a small number").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 8_080))
}

/// A table that knows this many targets.
pub fn table(targets: usize) -> PathTable {
    let mut table = PathTable::default();
    table.set_targets((0..targets).map(|number| (target(number), address(number))));
    table
}

/// Fails connects to these targets.
pub fn lose(table: &mut PathTable, targets: std::ops::Range<usize>, now: Uptime) -> Vec<PathEvent> {
    targets
        .flat_map(|number| table.record_unreachable(&target(number), now))
        .collect()
}
