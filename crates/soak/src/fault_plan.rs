//! Random faults, determined by a seed.

use crate::link_proxy::LinkMode;
use crate::target_fleet::EVENTS_PER_STREAM;
use plantainmill_fakes::foreign_bytes::{
    BLANK_LINES, CUT_FIELDS, FOREIGN_LINE, JOINED_LINE, OTHER_HEAD, UNNUMBERED_DATA,
};
use plantainmill_fakes::{CopyTiming, RefusalCopy, TargetAct};
use plantainmill_stand_in::WireFault;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::ops::Range;
use std::time::Duration;

/// Mean time between the starts of faults. Most faults last longer, so they overlap.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// Mean time between the starts of faults where targets refuse, or send foreign bytes or excess events.
const TARGET_FAULT_INTERVAL: Duration = Duration::from_millis(350);
/// First seed whose targets refuse and copy their refusals.
const FIRST_REFUSING_SEED: u64 = 1_000;
/// First seed whose targets send bytes that belong to no event.
const FIRST_FOREIGN_SEED: u64 = 2_000;
/// First seed whose targets send more events than their streams have, or answer with a status that says nothing.
const FIRST_EXCESS_SEED: u64 = 3_000;
/// Events beyond the end of a stream.
const EXCESS_EVENTS: Range<u64> = 1..6;
/// Events of a stream that exceeds the largest output of an item.
const FLOOD_EVENTS: u64 = 60_000;
/// Requests in a hundred that a refusing target refuses.
const REFUSED_PERCENT: Range<u32> = 20..80;
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
    /// The same, with targets that have few slots, refuse, restart at their address, and write each refusal once more later.
    Refusing,
    /// Planned work and failures, with targets that often send bytes that belong to no event.
    Foreign,
    /// Planned work and failures, with targets that often send more events than their streams have, or fail with statuses that
    /// say nothing of the request.
    Excess,
}

impl SoakProfile {
    /// Returns the profile of a seed: from 1000 on, targets refuse, from 2000 on, they send foreign bytes, and from 3000 on, more
    /// events than their streams have. Of the others, every multiple of four has planned work only, and every other even seed
    /// silent targets as well.
    #[must_use]
    pub fn of_seed(seed: u64) -> SoakProfile {
        match seed % 4 {
            _ if seed >= FIRST_EXCESS_SEED => SoakProfile::Excess,
            _ if seed >= FIRST_FOREIGN_SEED => SoakProfile::Foreign,
            _ if seed >= FIRST_REFUSING_SEED => SoakProfile::Refusing,
            0 => SoakProfile::Planned,
            2 => SoakProfile::Silent,
            _ => SoakProfile::Troubled,
        }
    }

    /// Whether VMs and targets end only as planned, so that no response may be cut.
    #[must_use]
    pub fn forbids_cuts(self) -> bool {
        matches!(self, SoakProfile::Planned | SoakProfile::Silent)
    }

    fn fault_interval(self) -> Duration {
        match self {
            SoakProfile::Refusing | SoakProfile::Foreign | SoakProfile::Excess => {
                TARGET_FAULT_INTERVAL
            }
            _ => FAULT_INTERVAL,
        }
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
    /// Restarts a target at its address under another id. Both ids stay listed for a while.
    RestartTarget(usize),
    /// Closes the links from a VM to all targets, so that other VMs forward its requests.
    VmTargetLinks(usize),
    /// Makes a target refuse this many of a hundred requests.
    RefuseRequests(usize, u32),
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
    let count = run_time.as_millis() / profile.fault_interval().as_millis();
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
        SoakProfile::Refusing => match random.random_range(0..2) {
            0 => return draw_refusals(random, vm, target),
            _ => 15,
        },
        SoakProfile::Foreign => match random.random_range(0..2) {
            0 => return SoakFault::TargetActs(target, draw_foreign_bytes(random)),
            _ => 15,
        },
        SoakProfile::Excess => match random.random_range(0..2) {
            0 => return SoakFault::TargetActs(target, draw_excess(random)),
            _ => 15,
        },
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

fn draw_refusals(random: &mut SmallRng, vm: usize, target: usize) -> SoakFault {
    match random.random_range(0..10) {
        0..=3 => SoakFault::RestartTarget(target),
        4 | 5 => SoakFault::RefuseRequests(target, random.random_range(REFUSED_PERCENT)),
        6 | 7 => SoakFault::VmTargetLinks(vm),
        8 => {
            let pause = random.random_range(TARGET_PAUSE_MS);
            SoakFault::TargetPause(target, Duration::from_millis(pause))
        }
        _ => {
            let copy = RefusalCopy {
                timing: CopyTiming::NextRequest,
                count: 1,
            };
            SoakFault::TargetActs(target, TargetAct::CopyRefusal(421, copy))
        }
    }
}

fn draw_foreign_bytes(random: &mut SmallRng) -> TargetAct {
    let after = random.random_range(0..=EVENTS_PER_STREAM);
    let bytes = match random.random_range(0..6) {
        0 => FOREIGN_LINE,
        1 => UNNUMBERED_DATA,
        2 => OTHER_HEAD,
        3 => JOINED_LINE,
        4 => CUT_FIELDS,
        _ => BLANK_LINES,
    };
    if random.random() {
        TargetAct::ForeignEnd(after, bytes)
    } else {
        TargetAct::ForeignWithin(after, bytes)
    }
}

fn draw_excess(random: &mut SmallRng) -> TargetAct {
    match random.random_range(0..10) {
        0..=4 => TargetAct::ExcessEvents(EVENTS_PER_STREAM + random.random_range(EXCESS_EVENTS)),
        5 => TargetAct::ExcessEvents(FLOOD_EVENTS),
        6 => TargetAct::Fail(408),
        7 => TargetAct::Fail(429),
        8 => TargetAct::Fail(502),
        _ => TargetAct::Fail(503),
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
