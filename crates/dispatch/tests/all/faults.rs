//! Random faults: lost and repeated messages, VMs that are cut off and come back.

use crate::harness::Harness;
use crate::support::fleet;
use plantainmill_dispatch::CallOutcome::{Abandoned, Failed, Rejected};
use plantainmill_dispatch::TrafficClass::{Batch, Online};
use plantainmill_membership::MemberState;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use std::time::Duration;

const VMS: usize = 4;

fn disturb(harness: &mut Harness, random: &mut SmallRng) {
    let vm = random.random_range(0..VMS);
    match random.random_range(0..4) {
        0 => {
            harness.cut.insert(vm);
        }
        1 => harness.cut.clear(),
        2 => harness.copies = random.random_range(1..4),
        _ => {
            // One VM takes another for dead, or all views agree again.
            let mut states = vec![MemberState::Live; VMS];
            if random.random::<bool>() {
                states[random.random_range(0..VMS)] = MemberState::Dead;
            }
            harness.publish_view(vm, &states);
        }
    }
}

fn end_some(harness: &mut Harness, random: &mut SmallRng) {
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

/// Guards against slots or requests that are lost for good after faults: every request ends or runs, and when the
/// faults are over all slots come back.
#[rstest]
fn slots_return(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut harness = Harness::new(fleet(3, 8), &[("d0", "r0"); VMS]);
    let mut calls = Vec::new();
    for step in 0..400_u32 {
        let class = if random.random::<bool>() {
            Online
        } else {
            Batch
        };
        let vm = random.random_range(0..VMS);
        calls.push(harness.submit(vm, class, "a"));
        if step.is_multiple_of(20) {
            disturb(&mut harness, &mut random);
        }
        end_some(&mut harness, &mut random);
        harness.run(Duration::from_millis(15));
    }
    harness.cut.clear();
    harness.copies = 1;
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
    // Idle standing tickets were given back after 30 s.
    for vm in 0..VMS {
        let dump = harness.nodes[vm].dump(harness.now);
        for queue in dump["queues"].as_object().unwrap().values() {
            assert_eq!(queue["tickets"], 0, "{dump}");
        }
        assert_eq!(dump["running"], 0);
    }
}
