//! Random faults, drawn from a seed.

use crate::link_proxy::LinkMode;
use plantainmill_fakes::TargetAct;
use plantainmill_stand_in::WireFault;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::ops::Range;
use std::time::Duration;

/// Mean time between faults. Most last longer, so that they overlap.
const FAULT_GAP: Duration = Duration::from_millis(700);
/// How long a fault lasts, in milliseconds: from a blink to more than any timeout of a VM.
const FAULT_MILLIS: Range<u64> = 100..5_000;
/// Delay on a slow link, in milliseconds.
const SLOW_MILLIS: Range<u64> = 10..400;

/// What may happen in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoakProfile {
    /// Planned work only: stops, restarts, changes of settings, documents and targets.
    Planned,
    /// Everything.
    Troubled,
}

impl SoakProfile {
    /// The profile of a seed: every fourth one has planned work only.
    #[must_use]
    pub fn of_seed(seed: u64) -> SoakProfile {
        if seed.is_multiple_of(4) {
            SoakProfile::Planned
        } else {
            SoakProfile::Troubled
        }
    }
}

/// A fault. VMs and targets are named by position.
#[derive(Clone, Copy, Debug)]
pub enum SoakFault {
    /// SIGTERM, and a new start after the end.
    StopVm(usize),
    /// Changed settings, with SIGHUP or without.
    ReloadVm { vm: usize, signal: bool },
    /// The entry says that the target stops; later the target is gone and a new one comes.
    DrainTarget(usize),
    /// A new version of the document with other keys.
    ChangeDocument,
    /// SIGKILL, and a new start.
    KillVm(usize),
    /// SIGKILL to all VMs at once, and new starts.
    KillAll,
    /// SIGSTOP, and SIGCONT.
    PauseVm(usize),
    /// The link from callers to a VM.
    CallerLink(usize, LinkMode),
    /// The link from a VM to the store.
    StoreLink(usize, LinkMode),
    /// The link to a target.
    TargetLink(usize, LinkMode),
    /// What the store does for one VM.
    StoreFault(usize, WireFault),
    /// What the store does for all VMs.
    StoreOutage(WireFault),
    /// The store forgets its history.
    DropHistory,
    /// What a target does with its next requests.
    TargetActs(usize, TargetAct),
    /// The target resets all connections and is gone; a new one comes.
    CrashTarget(usize),
}

/// A fault with its times since the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// When it starts.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: SoakFault,
}

/// Draws the faults of a run, in the order of their start.
pub fn draw_faults(
    seed: u64,
    profile: SoakProfile,
    time: Duration,
    vms: usize,
    targets: usize,
) -> Vec<PlannedFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let count = time.as_millis() / FAULT_GAP.as_millis();
    let mut faults: Vec<PlannedFault> = (0..count)
        .map(|_| PlannedFault {
            at: time.mul_f64(random.random()),
            lasts: Duration::from_millis(random.random_range(FAULT_MILLIS)),
            fault: draw_fault(&mut random, profile, vms, targets),
        })
        .collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_fault(
    random: &mut SmallRng,
    profile: SoakProfile,
    vms: usize,
    targets: usize,
) -> SoakFault {
    let vm = random.random_range(0..vms);
    let target = random.random_range(0..targets);
    let kinds = match profile {
        SoakProfile::Planned => 4,
        SoakProfile::Troubled => 15,
    };
    match random.random_range(0..kinds) {
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
        8 => SoakFault::CallerLink(vm, draw_mode(random)),
        9 => SoakFault::StoreLink(vm, draw_mode(random)),
        10 => SoakFault::TargetLink(target, draw_mode(random)),
        11 => SoakFault::StoreFault(vm, draw_wire_fault(random)),
        12 => SoakFault::StoreOutage(draw_wire_fault(random)),
        13 if random.random() => SoakFault::DropHistory,
        13 => SoakFault::CrashTarget(target),
        _ => SoakFault::TargetActs(target, draw_act(random)),
    }
}

fn draw_mode(random: &mut SmallRng) -> LinkMode {
    match random.random_range(0..5) {
        0 => LinkMode::Slow(Duration::from_millis(random.random_range(SLOW_MILLIS))),
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

fn draw_act(random: &mut SmallRng) -> TargetAct {
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
