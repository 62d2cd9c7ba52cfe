//! Random faults, determined by a seed.

use crate::link_proxy::LinkMode;
use plantainmill_fakes::TargetAct;
use plantainmill_stand_in::WireFault;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::ops::Range;
use std::time::Duration;

/// Mean time between the starts of faults. Most faults last longer, so they overlap.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// Duration of a fault. The longest exceeds every timeout of a VM.
const FAULT_DURATION_MS: Range<u64> = 100..5_000;
/// Pause between two events of a target that pauses. The longest exceeds the silence after which a request goes on elsewhere.
const TARGET_PAUSE_MS: Range<u64> = 200..900;
/// Longest time for which a target pauses between its events, or all targets are out of reach. It leaves streams time to end
/// before their deadline.
const MAX_SILENCE: Duration = Duration::from_millis(1_200);
/// Delay of a slow link.
const LINK_DELAY_MS: Range<u64> = 10..400;

/// Kinds of faults that a run may have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoakProfile {
    /// Planned work only: graceful stops and restarts, and changes of settings, configuration document and targets.
    Planned,
    /// Planned work, and targets that are silent for a moment, one or all at once, while few slots are free. None breaks off.
    Silent,
    /// Planned work and failures.
    Troubled,
}

impl SoakProfile {
    /// Returns the profile of a seed: every multiple of four has planned work only, and every other even seed silent targets as
    /// well.
    #[must_use]
    pub fn of_seed(seed: u64) -> SoakProfile {
        match seed % 4 {
            0 => SoakProfile::Planned,
            2 => SoakProfile::Silent,
            _ => SoakProfile::Troubled,
        }
    }

    /// Whether VMs and targets end only as planned, so that no response may be cut.
    #[must_use]
    pub fn forbids_cuts(self) -> bool {
        self != SoakProfile::Troubled
    }
}

/// A fault. VMs and targets are given by index.
#[derive(Clone, Copy, Debug)]
pub enum SoakFault {
    /// Stops a VM with SIGTERM and restarts it after its exit.
    StopVm(usize),
    /// Changes the settings file of a VM, and sends SIGHUP if `signal` is set.
    ReloadVm { vm: usize, signal: bool },
    /// Marks the entry of a target as draining, later removes the target and starts another one.
    DrainTarget(usize),
    /// Writes a new version of the configuration document, with a changed key.
    ChangeDocument,
    /// Kills a VM with SIGKILL and restarts it.
    KillVm(usize),
    /// Kills all VMs at once with SIGKILL and restarts them.
    KillAll,
    /// Pauses a VM with SIGSTOP until SIGCONT.
    PauseVm(usize),
    /// Changes the mode of the link from callers to a VM.
    CallerLink(usize, LinkMode),
    /// Changes the mode of the link from a VM to the store.
    StoreLink(usize, LinkMode),
    /// Changes the mode of the link to a target.
    TargetLink(usize, LinkMode),
    /// Makes the store faulty for one VM.
    StoreFault(usize, WireFault),
    /// Makes the store faulty for all VMs.
    StoreOutage(WireFault),
    /// Makes the store drop its history of changes.
    DropHistory,
    /// Makes a target mishandle its next request.
    TargetActs(usize, TargetAct),
    /// Makes a target pause for this time between its events.
    TargetPause(usize, Duration),
    /// Blocks the links to all targets.
    AllTargetLinks,
    /// Resets all connections of a target, later removes its entry and starts another one.
    CrashTarget(usize),
}

/// A fault with its time and duration.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// Start, counted from the start of the faults.
    pub start: Duration,
    /// Time until the fault ends; unused by faults without a duration.
    pub duration: Duration,
    /// Fault to inject.
    pub fault: SoakFault,
}

/// Draws the faults of a run and returns them ordered by start.
pub fn draw_faults(
    seed: u64,
    profile: SoakProfile,
    run_time: Duration,
    vm_count: usize,
    target_count: usize,
) -> Vec<PlannedFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let count = run_time.as_millis() / FAULT_INTERVAL.as_millis();
    let mut faults: Vec<PlannedFault> = (0..count)
        .map(|_| PlannedFault {
            start: run_time.mul_f64(random.random()),
            duration: Duration::from_millis(random.random_range(FAULT_DURATION_MS)),
            fault: draw_fault(&mut random, profile, vm_count, target_count),
        })
        .map(limit_silence)
        .collect();
    faults.sort_by_key(|fault| fault.start);
    faults
}

fn limit_silence(planned: PlannedFault) -> PlannedFault {
    match planned.fault {
        SoakFault::TargetPause(..) | SoakFault::AllTargetLinks => PlannedFault {
            duration: planned.duration.min(MAX_SILENCE),
            ..planned
        },
        _ => planned,
    }
}

fn draw_fault(
    random: &mut SmallRng,
    profile: SoakProfile,
    vm_count: usize,
    target_count: usize,
) -> SoakFault {
    let vm = random.random_range(0..vm_count);
    let target = random.random_range(0..target_count);
    let kind_count = match profile {
        SoakProfile::Planned => 4,
        SoakProfile::Silent => return draw_silence(random, vm, target),
        SoakProfile::Troubled => 15,
    };
    match random.random_range(0..kind_count) {
        0 => SoakFault::StopVm(vm),
        1 => SoakFault::ReloadVm {
            vm,
            signal: random.random(),
        },
        2 => SoakFault::DrainTarget(target),
        3 => SoakFault::ChangeDocument,
        4 => SoakFault::KillVm(vm),
        5 => SoakFault::KillAll,
        6 | 7 => SoakFault::PauseVm(vm),
        8 => SoakFault::CallerLink(vm, draw_link_mode(random)),
        9 => SoakFault::StoreLink(vm, draw_link_mode(random)),
        10 => SoakFault::TargetLink(target, draw_link_mode(random)),
        11 => SoakFault::StoreFault(vm, draw_wire_fault(random)),
        12 => SoakFault::StoreOutage(draw_wire_fault(random)),
        13 if random.random() => SoakFault::DropHistory,
        13 => SoakFault::CrashTarget(target),
        _ => SoakFault::TargetActs(target, draw_target_act(random)),
    }
}

fn draw_silence(random: &mut SmallRng, vm: usize, target: usize) -> SoakFault {
    match random.random_range(0..10) {
        0 => SoakFault::StopVm(vm),
        1 => SoakFault::ReloadVm { vm, signal: true },
        2 => SoakFault::DrainTarget(target),
        3 | 4 => SoakFault::ChangeDocument,
        5 | 6 => SoakFault::AllTargetLinks,
        _ => {
            let pause = random.random_range(TARGET_PAUSE_MS);
            SoakFault::TargetPause(target, Duration::from_millis(pause))
        }
    }
}

fn draw_link_mode(random: &mut SmallRng) -> LinkMode {
    match random.random_range(0..5) {
        0 => LinkMode::Slow(Duration::from_millis(random.random_range(LINK_DELAY_MS))),
        1 => LinkMode::Reset,
        2 => LinkMode::HoldCalls,
        3 => LinkMode::HoldAnswers,
        _ => LinkMode::Silent,
    }
}

fn draw_wire_fault(random: &mut SmallRng) -> WireFault {
    match random.random_range(0..5) {
        0 => WireFault::Busy,
        1 => WireFault::Many,
        2 => WireFault::Reset,
        3 => WireFault::LoseAnswer,
        _ => WireFault::Late,
    }
}

fn draw_target_act(random: &mut SmallRng) -> TargetAct {
    match random.random_range(0..9) {
        0 => TargetAct::CutAfter(random.random_range(0..5)),
        1 => TargetAct::SilentAfter(random.random_range(0..5)),
        2 => TargetAct::Skip(random.random_range(1..5)),
        3 => TargetAct::Refuse,
        4 => TargetAct::Fail(500),
        5 => TargetAct::LoseAnswer,
        6 => TargetAct::Unframed,
        7 => TargetAct::UnframedReset(random.random_range(0..5)),
        _ => TargetAct::CrossAnswer,
    }
}
