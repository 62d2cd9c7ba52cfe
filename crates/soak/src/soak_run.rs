//! One run: starts VMs, targets and callers, injects the faults of a seed, and checks the records.

use crate::caller_load::{CallerLoad, CallerProfile};
use crate::fault_plan::{PlannedFault, SoakFault, SoakProfile, draw_faults};
use crate::guarantee_checks::{LIMITED_ORGANISATION, RATE_PER_S, check_guarantees};
use crate::link_proxy::LinkMode;
use crate::records::{FleetSample, RequestKind, RequestOutcome, SharedRecords};
use crate::soak_fleet::SoakFleet;
use crate::target_fleet::{ONCE_REGION, TargetFleet};
use anyhow::ensure;
use plantainmill_stand_in::{
    CallerClient, DocumentPlan, Operator, OrganisationPlan, RoutePlan, StoreServer, WireFault,
};
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of VMs.
const VM_COUNT: usize = 4;
/// Number of targets.
const TARGET_COUNT: usize = 5;
/// Timeout for all VMs to be ready after their start.
const START_TIMEOUT: Duration = Duration::from_secs(12);
/// Time from the last fault until the system must serve again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Timeout for the results of all jobs after the recovery.
const RESULTS_TIMEOUT: Duration = Duration::from_secs(18);
/// Interval between checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between samples of targets and VMs.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Requests sent to each VM to check its recovery.
const RECOVERY_REQUESTS: usize = 10;
/// Organisations: one without and one with a rate limit.
const ORGANISATIONS: [&str; 2] = ["ward", LIMITED_ORGANISATION];
/// Number of callers of each profile.
const CALLERS: [(usize, CallerProfile); 4] = [
    (12, caller(RequestKind::Stream, 0, 200, false)),
    (4, caller(RequestKind::NonIdempotent, 0, 200, false)),
    (6, caller(RequestKind::Stream, 1, 60, false)),
    (2, caller(RequestKind::Stream, 0, 100, true)),
];

/// The same where targets refuse: more requests that must not be repeated.
const REFUSED_CALLERS: [(usize, CallerProfile); 4] = [
    (6, caller(RequestKind::Stream, 0, 200, false)),
    (14, caller(RequestKind::NonIdempotent, 0, 100, false)),
    (2, caller(RequestKind::Stream, 1, 60, false)),
    (2, caller(RequestKind::Stream, 0, 100, true)),
];

fn callers(profile: SoakProfile) -> [(usize, CallerProfile); 4] {
    match profile {
        SoakProfile::Refusing => REFUSED_CALLERS,
        _ => CALLERS,
    }
}

const fn caller(
    kind: RequestKind,
    organisation: usize,
    mean_pause_ms: u64,
    uses_previous_key: bool,
) -> CallerProfile {
    CallerProfile {
        kind,
        organisation,
        mean_pause: Duration::from_millis(mean_pause_ms),
        uses_previous_key,
    }
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Path of the VM executable.
    pub program: PathBuf,
    /// Existing folder for the settings files and logs of the VMs.
    pub folder: PathBuf,
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Kinds of faults that may be injected.
    pub profile: SoakProfile,
    /// Period in which faults start; start-up, recovery and checks add to it.
    pub run_time: Duration,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// One line for each violated guarantee; empty in a passing run.
    pub violations: Vec<String>,
    /// Number of online requests.
    pub requests: usize,
    /// Online requests that were served with status 200.
    pub served: usize,
    /// Online requests without a complete response.
    pub failed: usize,
    /// Number of accepted jobs.
    pub jobs: usize,
    /// Number of injected faults.
    pub faults: usize,
}

/// Lists the faults of a seed, one line each with start, duration and fault.
#[must_use]
pub fn list_faults(seed: u64, run_time: Duration) -> Vec<String> {
    let faults = draw_faults(
        seed,
        SoakProfile::of_seed(seed),
        run_time,
        VM_COUNT,
        TARGET_COUNT,
    );
    let lines = faults.into_iter().map(|planned| {
        let PlannedFault {
            start,
            duration,
            fault,
        } = planned;
        format!("{start:>9.3?} {duration:>8.3?} {fault:?}")
    });
    lines.collect()
}

/// Runs one seed and checks the guarantees on what was recorded.
///
/// # Errors
///
/// Fails when the run cannot be set up or a fault cannot be injected. Violated guarantees are in the report instead.
pub async fn run_seed(options: &SoakOptions) -> anyhow::Result<SoakReport> {
    let records = SharedRecords::default();
    let store = StoreServer::start().await;
    let operator = Operator::new(store.rows.clone());
    let keys: Vec<Vec<String>> = ORGANISATIONS
        .iter()
        .map(|organisation| vec![format!("{organisation}-1")])
        .collect();
    operator.write_document(&fleet_plan(1, &keys));
    let mut stores = Vec::new();
    for _ in 0..VM_COUNT {
        stores.push(StoreServer::with_rows(store.rows.clone()).await);
    }
    let stores: Rc<[StoreServer]> = stores.into();
    let targets = TargetFleet::start(
        operator.clone(),
        Rc::clone(&records),
        Rc::clone(&stores),
        TARGET_COUNT,
        options.profile,
        options.seed,
    )
    .await?;
    let fleet = SoakFleet::start(
        &options.program,
        &options.folder,
        &stores,
        Rc::clone(&records),
        options.seed,
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
    run.execute(options).await
}

/// Returns the configuration document with the newest key of each organisation.
fn fleet_plan(version: u64, keys: &[Vec<String>]) -> DocumentPlan {
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
            regions: Vec::new(),
        }
    });
    DocumentPlan {
        version,
        stream_route: stream_route(version),
        organisations: organisations.collect(),
        once_regions: vec![ONCE_REGION],
        ..DocumentPlan::default()
    }
}

/// The streaming route of a version of the document. Versions differ in each of its fields.
fn stream_route(version: u64) -> RoutePlan {
    let usual = RoutePlan::default();
    let is_changed = |interval: u64| version % (2 * interval) >= interval;
    RoutePlan {
        gap_ms: if is_changed(1) { usual.gap_ms } else { 500 },
        objective_ms: if is_changed(2) {
            350
        } else {
            usual.objective_ms
        },
        attempts: if is_changed(4) { 3 } else { usual.attempts },
        priority: u32::from(is_changed(3)),
        time_limit_ms: if is_changed(5) {
            6_000
        } else {
            usual.time_limit_ms
        },
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
    async fn execute(self, options: &SoakOptions) -> anyhow::Result<SoakReport> {
        let is_ready = self
            .wait_until(START_TIMEOUT, || self.all_in_rotation())
            .await;
        ensure!(is_ready, "not all VMs are ready within the start timeout");
        let mut seed = options.seed;
        for (count, profile) in callers(options.profile) {
            for _ in 0..count {
                seed = seed.wrapping_add(1);
                actix_rt::spawn(self.load.clone().run_requests(profile, seed));
            }
        }
        actix_rt::spawn(self.load.clone().run_jobs(options.seed));
        let samples = actix_rt::spawn(self.clone().record_samples());
        let faults = draw_faults(
            options.seed,
            options.profile,
            options.run_time,
            VM_COUNT,
            TARGET_COUNT,
        );
        let started = Instant::now();
        let injections = faults
            .iter()
            .map(|fault| self.clone().inject_fault(*fault, started));
        let results = futures_util::future::join_all(injections).await;
        results.into_iter().collect::<anyhow::Result<()>>()?;
        self.fleet.end_faults()?;
        self.targets.end_copies();
        self.set_target_links(LinkMode::Open);
        sleep(RECOVERY_TIME).await;
        self.check_recovery().await;
        self.load.stop();
        self.read_all_jobs().await;
        samples.abort();
        self.fleet.stop().await?;
        Ok(self.report(options.profile, faults.len()))
    }

    /// Records the state of targets and VMs, and what VMs state about items that wait, until it is dropped.
    async fn record_samples(self) {
        loop {
            self.record_sample();
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    fn record_sample(&self) {
        let (running, free_targets) = self.targets.sample();
        let vms = self.fleet.vms.iter().enumerate();
        let sound_vms = vms.filter(|(_, vm)| vm.is_sound());
        let sample = FleetSample {
            at: Instant::now(),
            running,
            free_targets,
            sound_vms: sound_vms.map(|(position, _)| position).collect(),
        };
        let mut records = self.records.borrow_mut();
        records.samples.push(sample);
        for (position, vm) in self.fleet.vms.iter().enumerate() {
            match vm.read_reports(&mut records.violations) {
                Ok((owed, cuts)) => {
                    records.owed_reports.extend(owed);
                    records.cut_reports.extend(cuts);
                }
                Err(error) => {
                    let line = format!("the soak test cannot read a log of VM {position}: {error}");
                    records.violations.push(line);
                }
            }
        }
    }

    fn set_target_links(&self, mode: LinkMode) {
        for position in 0..TARGET_COUNT {
            self.targets.set_mode(position, mode);
        }
    }

    fn all_in_rotation(&self) -> bool {
        self.fleet.vms.iter().all(|vm| vm.in_rotation.get())
    }

    async fn wait_until(&self, limit: Duration, holds: impl Fn() -> bool) -> bool {
        let started = Instant::now();
        while !holds() {
            if started.elapsed() > limit {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }

    async fn inject_fault(self, planned: PlannedFault, started: Instant) -> anyhow::Result<()> {
        tokio::time::sleep_until(started + planned.start).await;
        let duration = planned.duration;
        match planned.fault {
            SoakFault::StopVm(vm) => self.fleet.vms[vm].stop()?,
            SoakFault::ReloadVm { vm, signal } => self.fleet.vms[vm].reload(signal)?,
            SoakFault::DrainTarget(target) => self.targets.drain(target).await?,
            SoakFault::ChangeDocument => self.change_document(),
            SoakFault::KillVm(vm) => self.fleet.vms[vm].kill(duration)?,
            SoakFault::KillAll => {
                for vm in self.fleet.vms.iter() {
                    vm.kill(duration)?;
                }
            }
            SoakFault::PauseVm(vm) => self.fleet.vms[vm].pause(duration).await?,
            SoakFault::CallerLink(vm, mode) => {
                let link = &self.fleet.vms[vm].callers;
                link.set_mode(mode);
                sleep(duration).await;
                link.set_mode(LinkMode::Open);
            }
            SoakFault::StoreLink(vm, mode) => {
                let vm = &self.fleet.vms[vm];
                vm.set_store_mode(mode);
                sleep(duration).await;
                vm.set_store_mode(LinkMode::Open);
            }
            SoakFault::TargetLink(target, mode) => {
                self.targets.set_mode(target, mode);
                sleep(duration).await;
                self.targets.set_mode(target, LinkMode::Open);
            }
            SoakFault::TargetPause(target, pause) => {
                self.targets.pause(target, pause, duration).await;
            }
            SoakFault::AllTargetLinks => {
                self.set_target_links(LinkMode::Silent);
                sleep(duration).await;
                self.set_target_links(LinkMode::Open);
            }
            SoakFault::StoreFault(vm, fault) => {
                let vm = &self.fleet.vms[vm];
                vm.set_store_fault(fault);
                sleep(duration).await;
                vm.set_store_fault(WireFault::None);
            }
            SoakFault::StoreOutage(fault) => {
                for vm in self.fleet.vms.iter() {
                    vm.set_store_fault(fault);
                }
                sleep(duration).await;
                for vm in self.fleet.vms.iter() {
                    vm.set_store_fault(WireFault::None);
                }
            }
            SoakFault::DropHistory => self.store.rows.drop_history(),
            SoakFault::TargetActs(target, act) => self.targets.target(target).plan([act]),
            SoakFault::CrashTarget(target) => self.targets.crash(target).await?,
            SoakFault::VmTargetLinks(vm) => {
                self.targets.set_vm_mode(vm, LinkMode::Closed);
                sleep(duration).await;
                self.targets.set_vm_mode(vm, LinkMode::Open);
            }
            SoakFault::RestartTarget(target) => self.targets.restart(target, duration).await,
            SoakFault::RefuseRequests(target, percent) => {
                self.targets.refuse(target, percent, duration).await;
            }
        }
        Ok(())
    }

    /// Replaces the key of one organisation, alternating between the two.
    fn change_document(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let position = usize::from(version.is_multiple_of(2));
        let organisation = ORGANISATIONS[position];
        let old = self.load.keys()[position].last().cloned();
        self.load
            .add_key(position, format!("{organisation}-{version}"));
        self.operator
            .write_document(&fleet_plan(version, &self.load.keys()));
        let mut records = self.records.borrow_mut();
        records
            .withdrawn_keys
            .extend(old.map(|old| (old, Instant::now())));
    }

    async fn check_recovery(&self) {
        let client = CallerClient::default();
        let profile = caller(RequestKind::Stream, 0, 0, false);
        for (position, vm) in self.fleet.vms.iter().enumerate() {
            let mut served = 0;
            for _ in 0..RECOVERY_REQUESTS {
                served += usize::from(self.load.send_request(&client, position, profile).await);
            }
            if served * 10 < RECOVERY_REQUESTS * 9 || !vm.in_rotation.get() {
                let line = format!(
                    "VM {position} served {served} of {RECOVERY_REQUESTS} requests after the recovery time"
                );
                self.records.borrow_mut().violations.push(line);
            }
        }
    }

    /// Waits until all results of accepted jobs have been read, then reads them all again at each VM.
    async fn read_all_jobs(&self) {
        let jobs: Vec<String> = {
            let records = self.records.borrow();
            let accepted = records
                .jobs
                .iter()
                .filter(|(_, job)| job.accepted_at.is_some());
            accepted.map(|(id, _)| id.clone()).collect()
        };
        let has_all_results = || {
            let records = self.records.borrow();
            jobs.iter().all(|job| {
                let job = &records.jobs[job];
                job.results.len() == job.items.len()
            })
        };
        self.wait_until(RESULTS_TIMEOUT, has_all_results).await;
        let client = CallerClient::default();
        for position in 0..VM_COUNT {
            for job in &jobs {
                self.load.read_results(&client, position, job, 0).await;
            }
        }
    }

    fn report(&self, profile: SoakProfile, faults: usize) -> SoakReport {
        let records = self.records.borrow();
        let count = |is_counted: fn(&RequestOutcome) -> bool| {
            records
                .requests
                .iter()
                .filter(|request| is_counted(&request.outcome))
                .count()
        };
        SoakReport {
            violations: check_guarantees(&records, profile),
            requests: records.requests.len(),
            served: count(|outcome| {
                matches!(outcome, RequestOutcome::Completed { status: 200, .. })
            }),
            failed: count(|outcome| matches!(outcome, RequestOutcome::Failed(_))),
            jobs: records
                .jobs
                .values()
                .filter(|job| job.accepted_at.is_some())
                .count(),
            faults,
        }
    }
}
