//! The VMs of a run, with the proxies of their links.

use crate::cut_responses::parse_cut_report;
use crate::link_proxy::{LinkMode, LinkProxy};
use crate::owed_items::parse_owed_report;
use crate::records::{CutReport, OwedReport, SharedRecords};
use crate::repeated_ids::parse_repeated_id;
use crate::vm_exit::{ExpectedExit, check_exit};
use crate::vm_process::VmProcess;
use plantainmill_stand_in::{StoreServer, VmPlan, WireFault};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time within which VMs stop accepting a withdrawn key.
pub const KEY_WITHDRAWAL_TIME: Duration = Duration::from_secs(3);
/// Timeout of a graceful stop: the eight seconds of the settings, and the exit of the process.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// Loopback addresses reserved for each seed, so that runs of adjacent seeds do not share any.
const ADDRESSES_PER_RUN: u8 = 8;
/// Minimum time between the exit of a process and its restart.
const MIN_DOWN_TIME: Duration = Duration::from_millis(200);
/// Interval between checks of the processes.
const PROCESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between readiness probes of the load balancer.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Consecutive failed probes after which the load balancer takes a VM out of rotation.
const PROBE_FAILURE_LIMIT: u32 = 2;

/// A VM with the proxies of its links.
pub struct SoakVm {
    process: RefCell<VmProcess>,
    /// Link from callers to the VM.
    pub callers: LinkProxy,
    store_link: LinkProxy,
    store: StoreServer,
    readiness: SocketAddr,
    /// Whether the load balancer sends callers to the VM.
    pub in_rotation: Cell<bool>,
    expected_exit: Cell<ExpectedExit>,
    /// Time at which a graceful stop began, or was resumed after a pause.
    stopping_since: Cell<Option<Instant>>,
    restart_at: Cell<Option<Instant>>,
    restart_delay: Cell<Duration>,
    /// Pauses in force.
    pauses: Cell<u32>,
    has_store_fault: Cell<bool>,
}

/// The VMs of a run. Clones share them.
#[derive(Clone)]
pub struct SoakFleet {
    /// VMs by index.
    pub vms: Rc<Vec<SoakVm>>,
    records: SharedRecords,
}

impl SoakFleet {
    /// Starts a VM for each of `stores`, which share their rows. The loopback addresses of the VMs depend on `seed`.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or a process cannot be started.
    pub async fn start(
        program: &Path,
        folder: &Path,
        stores: &[StoreServer],
        records: SharedRecords,
        seed: u64,
    ) -> anyhow::Result<SoakFleet> {
        let mut vms = Vec::new();
        for (number, store) in stores.iter().enumerate() {
            let address = vm_address(seed, number);
            vms.push(start_vm(program, folder, store.clone(), address, number).await?);
        }
        let fleet = SoakFleet {
            vms: Rc::new(vms),
            records,
        };
        actix_rt::spawn(fleet.clone().supervise());
        for position in 0..stores.len() {
            actix_rt::spawn(fleet.clone().probe_readiness(position));
        }
        Ok(fleet)
    }

    fn record_violation(&self, violation: String) {
        self.records.borrow_mut().violations.push(violation);
    }

    /// Detects exits of processes and restarts the processes when they are due.
    async fn supervise(self) {
        loop {
            sleep(PROCESS_CHECK_INTERVAL).await;
            for vm in self.vms.iter() {
                if let Err(error) = self.supervise_vm(vm) {
                    self.record_violation(format!("the soak test cannot manage a VM: {error:#}"));
                }
            }
        }
    }

    fn supervise_vm(&self, vm: &SoakVm) -> anyhow::Result<()> {
        let now = Instant::now();
        let mut process = vm.process.borrow_mut();
        if let Some(status) = process.take_exit()? {
            let id = &process.plan.id;
            if let Some(violation) = check_exit(id, vm.expected_exit.get(), status) {
                self.record_violation(format!("{violation}: {}", process.last_line()));
            }
            vm.stopping_since.set(None);
            let delay = vm.restart_delay.get().max(MIN_DOWN_TIME);
            vm.restart_at.set(Some(now + delay));
        }
        let is_overdue = vm
            .stopping_since
            .get()
            .is_some_and(|since| now > since + STOP_TIMEOUT);
        if is_overdue {
            self.record_violation(format!("{} did not stop in time", process.plan.id));
            vm.stopping_since.set(None);
            vm.expected_exit.set(ExpectedExit::Kill);
            process.signal(Signal::KILL)?;
        }
        if vm
            .restart_at
            .get()
            .is_some_and(|restart_at| now >= restart_at)
        {
            vm.restart_at.set(None);
            vm.expected_exit.set(ExpectedExit::None);
            process.restart()?;
        }
        Ok(())
    }

    /// Acts as the load balancer: probes the readiness of a VM and takes it in or out of rotation.
    async fn probe_readiness(self, position: usize) {
        let vm = &self.vms[position];
        let client = awc::Client::default();
        let mut failures = 0;
        loop {
            let probe = client.get(format!("http://{}/", vm.readiness)).send();
            let response = timeout(PROBE_TIMEOUT, probe).await;
            let is_ready = matches!(response, Ok(Ok(response)) if response.status().is_success());
            failures = if is_ready { 0 } else { failures + 1 };
            vm.in_rotation.set(failures < PROBE_FAILURE_LIMIT);
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Ends all faults of the VMs and their links, and makes pending restarts due at once.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be signalled.
    pub fn end_faults(&self) -> anyhow::Result<()> {
        for vm in self.vms.iter() {
            vm.callers.set_mode(LinkMode::Open);
            vm.store_link.set_mode(LinkMode::Open);
            vm.set_store_fault(WireFault::None);
            vm.process.borrow().signal(Signal::CONT)?;
            if vm.restart_at.get().is_some() {
                vm.restart_at.set(Some(Instant::now()));
            }
        }
        Ok(())
    }

    /// Stops all VMs gracefully and waits until they have exited.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be signalled.
    pub async fn stop(&self) -> anyhow::Result<()> {
        for vm in self.vms.iter() {
            vm.restart_delay.set(STOP_TIMEOUT * 2);
            vm.stop()?;
        }
        while self.vms.iter().any(|vm| vm.stopping_since.get().is_some()) {
            sleep(PROCESS_CHECK_INTERVAL).await;
        }
        Ok(())
    }
}

impl SoakVm {
    /// Sends SIGTERM, unless a stop or kill is in progress. The VM restarts after its exit.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub fn stop(&self) -> anyhow::Result<()> {
        if self.expected_exit.get() == ExpectedExit::None {
            let process = self.process.borrow();
            let expected = if process.catches_stop() {
                ExpectedExit::Stop
            } else {
                ExpectedExit::EarlyStop
            };
            self.expected_exit.set(expected);
            self.stopping_since.set(Some(Instant::now()));
            process.signal(Signal::TERM)?;
        }
        Ok(())
    }

    /// Sends SIGKILL, unless the VM is down already. The VM restarts `delay` after its exit.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub fn kill(&self, delay: Duration) -> anyhow::Result<()> {
        if self.restart_at.get().is_none() {
            self.expected_exit.set(ExpectedExit::Kill);
            self.restart_delay.set(delay);
            self.process.borrow().signal(Signal::KILL)?;
        }
        Ok(())
    }

    /// Sends SIGSTOP, and SIGCONT after `time`. A graceful stop in progress gets its full timeout again.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub async fn pause(&self, time: Duration) -> anyhow::Result<()> {
        self.process.borrow().signal(Signal::STOP)?;
        self.pauses.set(self.pauses.get() + 1);
        sleep(time).await;
        self.process.borrow().signal(Signal::CONT)?;
        self.pauses.set(self.pauses.get() - 1);
        if self.stopping_since.get().is_some() {
            self.stopping_since.set(Some(Instant::now()));
        }
        Ok(())
    }

    /// Changes the settings file, and sends SIGHUP if `signal` is set.
    ///
    /// # Errors
    ///
    /// Fails when the settings cannot be written or the process cannot be signalled.
    pub fn reload(&self, signal: bool) -> anyhow::Result<()> {
        let mut process = self.process.borrow_mut();
        let usual = u64::try_from(KEY_WITHDRAWAL_TIME.as_millis())?;
        // Shorter, so that the guarantee on withdrawn keys holds with either value.
        let shorter = u64::try_from(KEY_WITHDRAWAL_TIME.mul_f64(0.8).as_millis())?;
        process.plan.key_ms = if process.plan.key_ms == usual {
            shorter
        } else {
            usual
        };
        process.write_settings()?;
        // A process that has just started may have no SIGHUP handler yet; the signal would terminate it.
        if signal && self.in_rotation.get() && self.restart_at.get().is_none() {
            process.signal(Signal::HUP)?;
        }
        Ok(())
    }

    /// Whether the VM runs, with a sound link to the store.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let is_up = self.process.borrow().is_running()
            && self.expected_exit.get() == ExpectedExit::None
            && self.pauses.get() == 0;
        is_up && self.store_link.is_open() && !self.has_store_fault.get()
    }

    /// Reads the new lines of the logs and returns the reports of items that wait, and of requests that ended early. Records each
    /// line of a connection that has carried an id more than once.
    ///
    /// # Errors
    ///
    /// Fails when a log cannot be read.
    pub fn read_reports(
        &self,
        violations: &mut Vec<String>,
    ) -> std::io::Result<(Vec<OwedReport>, Vec<CutReport>)> {
        let mut process = self.process.borrow_mut();
        let lines = process.new_lines()?;
        let now = Instant::now();
        let vm = &process.plan.id;
        let owed = lines
            .iter()
            .filter_map(|line| parse_owed_report(line, vm, now));
        let cuts = lines.iter().filter_map(|line| parse_cut_report(line, vm));
        let repeated = lines.iter().filter_map(|line| parse_repeated_id(line, vm));
        violations.extend(repeated);
        Ok((owed.collect(), cuts.collect()))
    }

    /// Sets the mode of the link to the store.
    pub fn set_store_mode(&self, mode: LinkMode) {
        self.store_link.set_mode(mode);
    }

    /// Sets the fault of the store towards this VM.
    pub fn set_store_fault(&self, fault: WireFault) {
        self.has_store_fault.set(fault != WireFault::None);
        self.store.set_fault(fault);
    }
}

async fn start_vm(
    program: &Path,
    folder: &Path,
    store: StoreServer,
    address: IpAddr,
    number: usize,
) -> anyhow::Result<SoakVm> {
    let store_link = LinkProxy::start(store.address).await?;
    let id = format!("vm-{number}");
    let key_ms = u64::try_from(KEY_WITHDRAWAL_TIME.as_millis())?;
    let plan = VmPlan::on_free_ports(id, address, store_link.address, key_ms)?;
    Ok(SoakVm {
        callers: LinkProxy::start(plan.callers).await?,
        store_link,
        store,
        readiness: plan.readiness,
        in_rotation: Cell::new(false),
        expected_exit: Cell::default(),
        stopping_since: Cell::new(None),
        restart_at: Cell::new(None),
        restart_delay: Cell::new(Duration::ZERO),
        pauses: Cell::new(0),
        has_store_fault: Cell::new(false),
        process: RefCell::new(VmProcess::start(program, folder, plan)?),
    })
}

/// Returns the loopback address of a VM. Each VM has its own, because its ports must still be free at each restart:
/// neither other runs, nor other VMs, nor the source ports of connections may bind them in the meantime.
fn vm_address(seed: u64, number: usize) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let [.., run] = seed.to_be_bytes();
    let number = u8::try_from(number).unwrap_or(u8::MAX);
    // Avoids 0 and 255, and 1, so that the address is never 127.0.0.1.
    let last = low.clamp(2, 254);
    let second = run.wrapping_mul(ADDRESSES_PER_RUN).wrapping_add(number);
    IpAddr::V4(Ipv4Addr::new(127, second, high, last))
}
