//! Random faults: lost and duplicate messages, temporary partitions and diverging member views.

use crate::harness::Harness;
use crate::support::fleet;
use plantainmill_dispatch::CallOutcome::{Abandoned, Failed, Rejected};
use plantainmill_dispatch::TrafficClass::{Batch, Online};
use plantainmill_membership::MemberState;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use std::time::Duration;

const VM_COUNT: usize = 4;

fn inject_fault(harness: &mut Harness, random: &mut SmallRng) {
    let vm = random.random_range(0..VM_COUNT);
    match random.random_range(0..4) {
        0 => {
            harness.partitioned.insert(vm);
        }
        1 => harness.partitioned.clear(),
        2 => harness.delivery_count = random.random_range(1..4),
        _ => {
            // One VM sees a random VM as dead, or every VM as live again.
            let mut states = vec![MemberState::Live; VM_COUNT];
            if random.random::<bool>() {
                states[random.random_range(0..VM_COUNT)] = MemberState::Dead;
            }
            harness.publish_view(vm, &states);
        }
    }
}

fn finish_random_calls(harness: &mut Harness, random: &mut SmallRng) {
    let running = harness.running.keys().copied().collect::<Vec<_>>();
    for call in running {
        match random.random_range(0..20) {
            0 => harness.finish(call, Failed),
            1 => harness.finish(call, Rejected),
            2 => harness.finish(call, Abandoned),
            3..8 => harness.complete(call),
            _ => {}
        }
    }
}

/// Guards against slots or requests that are lost permanently after faults. Every request must be granted or refused,
/// and all slots must be free again after the faults end.
#[rstest]
fn slots_released(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut harness = Harness::new(fleet(3, 8), &[("d0", "r0"); VM_COUNT]);
    let mut calls = Vec::new();
    for step in 0..400_u32 {
        let class = if random.random::<bool>() {
            Online
        } else {
            Batch
        };
        let vm = random.random_range(0..VM_COUNT);
        calls.push(harness.submit(vm, class, "a"));
        if step.is_multiple_of(20) {
            inject_fault(&mut harness, &mut random);
        }
        finish_random_calls(&mut harness, &mut random);
        harness.run(Duration::from_millis(15));
    }
    harness.partitioned.clear();
    harness.delivery_count = 1;
    harness.publish();
    for _ in 0..700 {
        harness.run(Duration::from_millis(100));
        let running = harness.running.keys().copied().collect::<Vec<_>>();
        for call in running {
            harness.complete(call);
        }
    }
    let unanswered = calls.iter().filter(|call| {
        !harness.granted_at.contains_key(call) && !harness.refused.contains_key(call)
    });
    assert_eq!(unanswered.count(), 0);
    // Holders return idle standing tickets after 30 s.
    for vm in 0..VM_COUNT {
        let dump = harness.nodes[vm].dump(harness.now);
        for queue in dump["queues"].as_object().unwrap().values() {
            assert_eq!(queue["tickets"], 0, "{dump}");
        }
        assert_eq!(dump["running"], 0);
    }
}
