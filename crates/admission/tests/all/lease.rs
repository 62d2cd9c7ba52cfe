//! The lease of one slot, tested without the rest of the state.

use plantainmill_admission::lease::{LeaseContext, SlotLease};
use plantainmill_admission::message::{SlotRow, VmIncarnation};
use plantainmill_admission::output::Output;
use plantainmill_admission::split::SlotId;
use rstest::rstest;
use std::time::Duration;

fn vm_incarnation(vm: &str, incarnation: u64) -> VmIncarnation {
    VmIncarnation {
        vm: vm.into(),
        incarnation,
    }
}

/// Guards against an earlier incarnation of a VM that claims a slot back from a later one. The later incarnation may
/// claim from the earlier one, which has ended.
#[rstest]
#[case::earlier_start(1, true)]
#[case::later_start(3, false)]
fn same_vm(#[case] holder: u64, #[case] claims: bool) {
    let own = vm_incarnation("vm-0", 2);
    let context = LeaseContext {
        own: &own,
        split: 1,
        witness: None,
        holder_gone: false,
        holder_delisted: false,
        may_claim: true,
        now: Duration::from_secs(1),
    };
    let slot = SlotId {
        domain: "domain-0".into(),
        index: 0,
    };
    let row = SlotRow {
        holder: Some(vm_incarnation("vm-0", holder)),
        epoch: 4,
        witness: Some(vm_incarnation("vm-1", 1)),
        split: 1,
    };
    let mut lease = SlotLease::new(slot);
    lease.observe(Some((row, 9)), 1, &context);
    let mut out = Vec::new();
    lease.tick(&context, &mut out);
    let commits = out
        .iter()
        .any(|output| matches!(output, Output::Commit { .. }));
    assert_eq!(commits, claims, "{out:?}");
}
