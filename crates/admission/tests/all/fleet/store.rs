//! Platform calls of the simulated VMs.

use super::{Event, SimFleet};
use futures_util::FutureExt as _;
use plantainmill_fakes::PlatformFault;
use plantainmill_provider::{TableStore, VmList};
use std::time::Duration;

impl SimFleet {
    pub(super) fn handle_store(&mut self, event: Event) {
        let delay = Duration::from_millis(1 + self.rng.below(10));
        let response_time = self.now + delay;
        match event {
            Event::ReadRows {
                vm,
                incarnation,
                read,
            } => {
                let reached = self.reaches_store(vm);
                self.platform.set_fault(if reached {
                    self.store_fault
                } else {
                    PlatformFault::Down
                });
                let rows = self
                    .platform
                    .range("slot-layout", "slot0", 1_000)
                    .now_or_never()
                    .unwrap();
                self.push(
                    response_time,
                    Event::RowsResult {
                        vm,
                        incarnation,
                        read,
                        rows,
                    },
                );
            }
            Event::Commit {
                vm,
                incarnation,
                tag,
                write,
            } => {
                let reached = self.reaches_store(vm);
                self.platform.set_fault(if reached {
                    self.store_fault
                } else {
                    PlatformFault::Down
                });
                let outcome = self.platform.commit(write).now_or_never().unwrap();
                self.push(
                    response_time,
                    Event::CommitResult {
                        vm,
                        incarnation,
                        tag,
                        outcome,
                    },
                );
            }
            Event::ReadVms { vm, incarnation } => {
                let reached = self.reaches_store(vm) && self.store_fault == PlatformFault::None;
                self.platform.set_fault(if reached {
                    PlatformFault::None
                } else {
                    PlatformFault::Down
                });
                let list = self.platform.list().now_or_never().unwrap();
                let target = &mut self.vms[vm];
                if !target.down && target.incarnation == incarnation {
                    target.state.handle_vms_result(list, self.now);
                }
            }
            _ => {}
        }
    }
}
