//! Bytes and processor time of the target list with 3,000 targets and 300 VMs, by plain calls.
//!
//! `cargo run -p plantainmill-edge --example target_list_cost`

use plantainmill_core::{SystemClock, encode_cbor};
use plantainmill_dispatch::SharedDispatcher;
use plantainmill_dispatch::shared::SharedParts;
use plantainmill_edge::{TargetListAnswer, TargetListContent};
use plantainmill_routing::{TargetChanges, TargetEntry, TargetHistory, TargetRegistry};
use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TARGETS: usize = 3_000;
/// Targets that change between two transfers.
const CHANGES: usize = 10;
const ROUNDS: u32 = 20;
const AGE: Duration = Duration::from_millis(300);

fn entries(round: usize) -> Vec<TargetEntry> {
    let entry = |number: usize| TargetEntry {
        cold_left: plantainmill_routing::ColdLeft::default(),
        id: format!("i-{number:04}-7f3a9c21").into(),
        service: format!("model-{}", number % 30).into(),
        address: ([10, 128, 0, 9], u16::try_from(1 + number).unwrap_or(1)).into(),
        domain: format!("north-{}", number % 15).into(),
        slots: 8,
        draining: (round * CHANGES..(round + 1) * CHANGES).contains(&number),
        born: 1_700_000_000_000 + number as u64,
        version: "2026.11.2".into(),
    };
    (0..TARGETS).map(entry).collect()
}

/// Prints the mean time of `call`, which gets the number of its round.
fn measure(name: &str, mut call: impl FnMut(usize)) {
    let started = Instant::now();
    for round in 1..=ROUNDS {
        call(round as usize);
    }
    let micros = started.elapsed().as_micros() / u128::from(ROUNDS);
    println!("{name}: {micros} us");
}

fn main() {
    let mut registry = TargetRegistry::default();
    let mut history = TargetHistory::default();
    registry.apply(entries(0), Duration::ZERO);
    let base = registry.fingerprint();
    let changes = registry.apply(entries(1), Duration::ZERO);
    history.record(base, &changes, registry.fingerprint());

    let former = encode_cbor(&(registry.entries(), AGE));
    let whole = encode_cbor(&TargetListAnswer::new(&registry, &history, None, AGE));
    let delta = encode_cbor(&TargetListAnswer::new(&registry, &history, Some(base), AGE));
    println!("whole list, former encoding: {} bytes", former.len());
    println!("whole list: {} bytes", whole.len());
    println!("{} changes: {} bytes", changes.len(), delta.len());

    let mut listed: Vec<Vec<TargetEntry>> = (0..=ROUNDS as usize).map(entries).collect();
    measure("fingerprint of all entries", |round| {
        // A change by one entry discards the known fingerprint.
        let changes = TargetChanges {
            changed: vec![listed[round][round * CHANGES].clone()],
            removed: Vec::new(),
        };
        registry.apply_feed(changes, Duration::ZERO);
        black_box(registry.fingerprint());
    });
    measure("fingerprint, asked again", |_| {
        black_box(registry.fingerprint());
    });
    measure("encode whole list, former", |_| {
        black_box(encode_cbor(&(registry.entries(), AGE)));
    });
    measure("encode whole list", |_| {
        let answer = TargetListAnswer::new(&registry, &history, None, AGE);
        black_box(encode_cbor(&answer));
    });
    measure("decode and adopt whole list, former", |_| {
        let read: (Vec<TargetEntry>, Duration) =
            ciborium::from_reader(former.as_slice()).expect("a list");
        registry.adopt(read.0, None, Duration::ZERO);
    });
    measure("decode and adopt changes", |_| {
        let answer: TargetListAnswer = ciborium::from_reader(delta.as_slice()).expect("a list");
        let update = answer.into_update().expect("names");
        if let TargetListContent::Changes(_, changes) = update.content {
            let base = registry.fingerprint();
            registry.adopt_changes(base, changes, update.fingerprint);
        }
    });
    let dispatcher = SharedDispatcher::new(SharedParts {
        vm: "vm-1".into(),
        domain: "north-1".into(),
        region: "north".into(),
        regions: HashMap::new(),
        clock: Arc::new(SystemClock),
    });
    measure("replace targets of the dispatcher", |round| {
        dispatcher.set_targets(listed[round].iter());
    });
    measure("change targets of the dispatcher", |round| {
        let leaving = &listed[round][round * CHANGES..(round + 1) * CHANGES];
        dispatcher.change_targets(leaving.iter(), std::iter::empty());
    });
    measure("apply a whole read", |round| {
        registry.apply(std::mem::take(&mut listed[round]), Duration::ZERO);
    });
}
