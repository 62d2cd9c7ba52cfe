//! Faults of the simulated fleet: links that are cut, and VMs that are lost, frozen or mistaken.

use crate::pool_fleet::{Event, Pair, PoolFleet};
use rand::RngExt as _;
use std::ops::RangeInclusive;

/// Time from a lost link until the VM at its other end no longer counts as live, without the age of its last report.
const LIVENESS_MS: u64 = 2_000;
/// Age of the last report when a link is lost, and delay of the first one when it is back.
const REPORT_AGE_MS: RangeInclusive<u64> = 20..=500;
impl PoolFleet {
    /// Cuts or restores the links between two VMs; both learn of it late.
    pub fn set_link(&mut self, one: usize, other: usize, is_linked: bool) {
        for (vm, heard) in [(one, other), (other, one)] {
            if vm == heard || self.pairs[vm][heard].is_linked == is_linked {
                continue;
            }
            self.pairs[vm][heard].is_linked = is_linked;
            let age = self.random.random_range(REPORT_AGE_MS);
            let delay = if is_linked { age } else { LIVENESS_MS - age };
            self.schedule(
                delay,
                Event::Hear {
                    vm,
                    other: heard,
                    is_heard: is_linked,
                    is_forced: false,
                },
            );
        }
    }

    /// Cuts or restores the links between `group` and all others.
    pub fn set_group_linked(&mut self, group: &[usize], is_linked: bool) {
        for one in group {
            for other in 0..self.names.len() {
                if !group.contains(&other) {
                    self.set_link(*one, other, is_linked);
                }
            }
        }
    }

    /// Cuts or restores all links of `vm`.
    pub fn set_isolated(&mut self, vm: usize, is_isolated: bool) {
        self.set_group_linked(&[vm], !is_isolated);
    }

    pub fn kill(&mut self, vm: usize) {
        self.is_down[vm] = true;
        self.set_isolated(vm, true);
        self.searches.retain(|_, search| search.vm != vm);
    }

    /// Starts a VM that knows the VMs of its domain from their rows, and has heard none.
    pub fn start(&mut self, vm: usize) {
        self.is_down[vm] = false;
        self.started_ms[vm] = self.now_ms;
        self.books[vm] = self.new_book(vm);
        self.has_changed[vm] = true;
        let now_ms = self.now_ms;
        for pair in &mut self.pairs[vm] {
            *pair = Pair {
                is_linked: false,
                is_heard: false,
                changed_ms: now_ms,
            };
        }
        for other in 0..self.names.len() {
            self.pairs[other][vm].is_linked = false;
            if !self.is_down[other] {
                self.set_link(vm, other, true);
            }
        }
    }

    pub fn freeze(&mut self, vm: usize) {
        self.is_frozen[vm] = true;
        for other in 0..self.names.len() {
            if other != vm {
                let age = self.random.random_range(REPORT_AGE_MS);
                self.schedule(
                    LIVENESS_MS - age,
                    Event::Hear {
                        vm: other,
                        other: vm,
                        is_heard: false,
                        is_forced: false,
                    },
                );
            }
        }
    }

    /// Wakes a frozen VM. It has heard nobody meanwhile, and hears the others as late as they hear it.
    pub fn wake(&mut self, vm: usize, frozen_ms: u64) {
        self.is_frozen[vm] = false;
        self.has_changed[vm] = true;
        for other in 0..self.names.len() {
            if other != vm {
                if frozen_ms >= LIVENESS_MS {
                    self.pairs[vm][other] = Pair {
                        is_linked: true,
                        is_heard: false,
                        changed_ms: self.now_ms,
                    };
                }
                for (vm, other) in [(vm, other), (other, vm)] {
                    let age = self.random.random_range(REPORT_AGE_MS);
                    self.schedule(
                        age,
                        Event::Hear {
                            vm,
                            other,
                            is_heard: true,
                            is_forced: false,
                        },
                    );
                }
            }
        }
    }

    /// Makes `vm` believe that `other` is live or lost, whatever the links are.
    pub fn believe(&mut self, vm: usize, other: usize, is_heard: bool) {
        self.schedule(
            0,
            Event::Hear {
                vm,
                other,
                is_heard,
                is_forced: true,
            },
        );
    }
}
