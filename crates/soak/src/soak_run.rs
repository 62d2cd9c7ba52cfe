//! One run: starts everything, plays the faults of a seed, and checks what was seen.

use crate::caller_load::{CallerKind, CallerLoad};
use crate::fault_plan::{PlannedFault, SoakFault, SoakProfile, draw_faults};
use crate::link_proxy::LinkMode;
use crate::promise_checks::{LIMITED_ORGANISATION, RATE_PER_S, check_promises};
use crate::records::{AskEnd, AskKind, SharedRecords};
use crate::soak_fleet::SoakFleet;
use crate::target_fleet::TargetFleet;
use anyhow::ensure;
use plantainmill_stand_in::{
    CallerClient, DocumentPlan, Operator, OrganisationPlan, StoreServer, WireFault,
};
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// VMs of a run.
const VMS: usize = 4;
/// Targets of a run.
const TARGETS: usize = 5;
/// Time in which a fleet has to be ready after its start.
const START_LIMIT: Duration = Duration::from_secs(12);
/// Time after the last fault in which the system has to serve again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time after that in which all items of jobs have to be listed.
const FINISH_TIME: Duration = Duration::from_secs(18);
/// Time between looks at what has to become true.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Requests to each VM after the recovery.
const FINAL_ASKS: usize = 10;
/// Organisations: one without a limit, and one with a rate.
const ORGANISATIONS: [&str; 2] = ["ward", LIMITED_ORGANISATION];
/// Callers: how many of which kind.
const CALLERS: [(usize, CallerKind); 4] = [
    (12, caller(AskKind::Stream, 0, 200, false)),
    (4, caller(AskKind::Once, 0, 200, false)),
    (6, caller(AskKind::Stream, 1, 60, false)),
    (2, caller(AskKind::Stream, 0, 100, true)),
];

const fn caller(kind: AskKind, organisation: usize, gap_ms: u64, uses_old_key: bool) -> CallerKind {
    CallerKind {
        kind,
        organisation,
        gap: Duration::from_millis(gap_ms),
        uses_old_key,
    }
}

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The program of a VM.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Seed of the faults.
    pub seed: u64,
    /// What may happen.
    pub profile: SoakProfile,
    /// Time with faults.
    pub time: Duration,
}

/// What a run gave.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// A line for each promise that was broken.
    pub broken: Vec<String>,
    /// Online requests.
    pub asks: usize,
    /// Those with status 200.
    pub served: usize,
    /// Those without a whole answer.
    pub cut: usize,
    /// Accepted jobs.
    pub jobs: usize,
    /// Faults.
    pub faults: usize,
}

/// The faults of a seed, one line each.
#[must_use]
pub fn list_faults(seed: u64, time: Duration) -> Vec<String> {
    let faults = draw_faults(seed, SoakProfile::of_seed(seed), time, VMS, TARGETS);
    let lines = faults.into_iter().map(|planned| {
        let PlannedFault { at, lasts, fault } = planned;
        format!("{at:>9.3?} {lasts:>8.3?} {fault:?}")
    });
    lines.collect()
}

/// Runs one seed.
///
/// # Errors
///
/// Fails when the run cannot be set up. Broken promises are in the report.
pub async fn run_seed(options: &SoakOptions) -> anyhow::Result<SoakReport> {
    let records = SharedRecords::default();
    let store = StoreServer::start().await;
    let operator = Operator::new(store.rows.clone());
    let keys: Vec<Vec<String>> = ORGANISATIONS
        .iter()
        .map(|organisation| vec![format!("{organisation}-1")])
        .collect();
    operator.write_document(&document(1, &keys));
    let targets = TargetFleet::start(operator.clone(), Rc::clone(&records), TARGETS).await?;
    let fleet = SoakFleet::start(
        &options.program,
        &options.folder,
        &store,
        Rc::clone(&records),
        options.seed,
        VMS,
    )
    .await?;
    let load = CallerLoad::new(fleet.clone(), Rc::clone(&records), keys);
    let run = SoakRun {
        store,
        operator,
        targets,
        fleet,
        load,
        records,
        version: Rc::new(Cell::new(1)),
    };
    run.play(options).await
}

/// The document with the newest key of each organisation.
fn document(version: u64, keys: &[Vec<String>]) -> DocumentPlan {
    let organisations = ORGANISATIONS.iter().zip(keys);
    let organisations = organisations.map(|(organisation, keys)| {
        let rate = if *organisation == LIMITED_ORGANISATION {
            RATE_PER_S
        } else {
            0
        };
        OrganisationPlan {
            organisation: (*organisation).to_owned(),
            keys: keys.last().cloned().into_iter().collect(),
            rate_per_s: rate,
            burst: rate,
        }
    });
    DocumentPlan {
        version,
        organisations: organisations.collect(),
    }
}

/// The parts of a run. Clones share them.
#[derive(Clone)]
struct SoakRun {
    store: StoreServer,
    operator: Operator,
    targets: TargetFleet,
    fleet: SoakFleet,
    load: CallerLoad,
    records: SharedRecords,
    version: Rc<Cell<u64>>,
}

impl SoakRun {
    async fn play(self, options: &SoakOptions) -> anyhow::Result<SoakReport> {
        let is_ready = self.wait(START_LIMIT, || self.all_in_use()).await;
        ensure!(is_ready, "the fleet is not ready after its start");
        let mut seed = options.seed;
        for (count, kind) in CALLERS {
            for _ in 0..count {
                seed = seed.wrapping_add(1);
                actix_rt::spawn(self.load.clone().ask_repeatedly(kind, seed));
            }
        }
        actix_rt::spawn(self.load.clone().submit_repeatedly(options.seed));
        let faults = draw_faults(options.seed, options.profile, options.time, VMS, TARGETS);
        let started = Instant::now();
        let playing = faults
            .iter()
            .map(|fault| self.clone().play_fault(*fault, started));
        let played = futures_util::future::join_all(playing).await;
        played.into_iter().collect::<anyhow::Result<()>>()?;
        self.fleet.heal()?;
        for position in 0..TARGETS {
            self.targets.set_mode(position, LinkMode::Open);
        }
        sleep(RECOVERY_TIME).await;
        self.check_recovery().await;
        self.load.end();
        self.read_all_jobs().await;
        self.fleet.stop().await?;
        Ok(self.report(options.profile, faults.len()))
    }

    fn all_in_use(&self) -> bool {
        self.fleet.vms.iter().all(|vm| vm.in_use.get())
    }

    async fn wait(&self, limit: Duration, holds: impl Fn() -> bool) -> bool {
        let started = Instant::now();
        while !holds() {
            if started.elapsed() > limit {
                return false;
            }
            sleep(LOOK_INTERVAL).await;
        }
        true
    }

    async fn play_fault(self, planned: PlannedFault, started: Instant) -> anyhow::Result<()> {
        tokio::time::sleep_until(started + planned.at).await;
        let lasts = planned.lasts;
        match planned.fault {
            SoakFault::StopVm(vm) => self.fleet.vms[vm].stop()?,
            SoakFault::ReloadVm { vm, signal } => self.fleet.vms[vm].reload(signal)?,
            SoakFault::DrainTarget(target) => self.targets.drain(target).await?,
            SoakFault::ChangeDocument => self.change_document(),
            SoakFault::KillVm(vm) => self.fleet.vms[vm].kill(lasts)?,
            SoakFault::KillAll => {
                for vm in self.fleet.vms.iter() {
                    vm.kill(lasts)?;
                }
            }
            SoakFault::PauseVm(vm) => self.fleet.vms[vm].pause(lasts).await?,
            SoakFault::CallerLink(vm, mode) => {
                let link = &self.fleet.vms[vm].callers;
                link.set_mode(mode);
                sleep(lasts).await;
                link.set_mode(LinkMode::Open);
            }
            SoakFault::StoreLink(vm, mode) => {
                let vm = &self.fleet.vms[vm];
                vm.set_store_mode(mode);
                sleep(lasts).await;
                vm.set_store_mode(LinkMode::Open);
            }
            SoakFault::TargetLink(target, mode) => {
                self.targets.set_mode(target, mode);
                sleep(lasts).await;
                self.targets.set_mode(target, LinkMode::Open);
            }
            SoakFault::StoreFault(vm, fault) => {
                let vm = &self.fleet.vms[vm];
                vm.set_store_fault(fault);
                sleep(lasts).await;
                vm.set_store_fault(WireFault::None);
            }
            SoakFault::StoreOutage(fault) => {
                for vm in self.fleet.vms.iter() {
                    vm.set_store_fault(fault);
                }
                sleep(lasts).await;
                for vm in self.fleet.vms.iter() {
                    vm.set_store_fault(WireFault::None);
                }
            }
            SoakFault::DropHistory => self.store.rows.drop_history(),
            SoakFault::TargetActs(target, act) => self.targets.target(target).plan([act]),
            SoakFault::CrashTarget(target) => self.targets.crash(target).await?,
        }
        Ok(())
    }

    /// Withdraws one key and puts another one in force.
    fn change_document(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let position = usize::from(version.is_multiple_of(2));
        let organisation = ORGANISATIONS[position];
        let old = self.load.keys()[position].last().cloned();
        self.load
            .add_key(position, format!("{organisation}-{version}"));
        self.operator
            .write_document(&document(version, &self.load.keys()));
        let mut records = self.records.borrow_mut();
        records
            .withdrawn
            .extend(old.map(|old| (old, Instant::now())));
    }

    async fn check_recovery(&self) {
        let client = CallerClient::default();
        let kind = caller(AskKind::Stream, 0, 0, false);
        for (position, vm) in self.fleet.vms.iter().enumerate() {
            let mut served = 0;
            for _ in 0..FINAL_ASKS {
                served += usize::from(self.load.ask(&client, position, kind).await);
            }
            if served * 10 < FINAL_ASKS * 9 || !vm.in_use.get() {
                let line =
                    format!("VM {position} serves {served} of {FINAL_ASKS} after the recovery");
                self.records.borrow_mut().broken.push(line);
            }
        }
    }

    /// Reads all results from the start, at each VM, once they are all there.
    async fn read_all_jobs(&self) {
        let jobs: Vec<String> = {
            let records = self.records.borrow();
            let accepted = records
                .jobs
                .iter()
                .filter(|(_, job)| job.accepted_at.is_some());
            accepted.map(|(id, _)| id.clone()).collect()
        };
        let is_listed = || {
            let records = self.records.borrow();
            jobs.iter().all(|job| {
                let job = &records.jobs[job];
                job.results.len() == job.items.len()
            })
        };
        self.wait(FINISH_TIME, is_listed).await;
        let client = CallerClient::default();
        for position in 0..VMS {
            for job in &jobs {
                self.load.read_results(&client, position, job, 0).await;
            }
        }
    }

    fn report(&self, profile: SoakProfile, faults: usize) -> SoakReport {
        let records = self.records.borrow();
        let count = |is_counted: fn(&AskEnd) -> bool| {
            records
                .asks
                .iter()
                .filter(|ask| is_counted(&ask.end))
                .count()
        };
        SoakReport {
            broken: check_promises(&records, profile),
            asks: records.asks.len(),
            served: count(|end| matches!(end, AskEnd::Answered { status: 200, .. })),
            cut: count(|end| matches!(end, AskEnd::Broken(_))),
            jobs: records
                .jobs
                .values()
                .filter(|job| job.accepted_at.is_some())
                .count(),
            faults,
        }
    }
}
