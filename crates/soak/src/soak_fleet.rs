//! The VMs of a run, with the links around them.

use crate::link_proxy::{LinkMode, LinkProxy};
use crate::records::SharedRecords;
use crate::vm_process::VmProcess;
use plantainmill_stand_in::{StoreServer, VmPlan, WireFault};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time in which a withdrawn key goes out of use.
pub const KEY_TIME: Duration = Duration::from_secs(3);
/// Time for a planned stop: the eight seconds of the settings, and the exit.
const STOP_TIME: Duration = Duration::from_secs(9);
/// Addresses of one run, so that runs of neighbouring seeds have others.
const VMS_PER_RUN: u8 = 8;
/// Least time between the end of a process and its next start.
const LEAST_DOWN_TIME: Duration = Duration::from_millis(200);
/// Time between looks at the processes.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Time between the balancer's questions.
const BALANCER_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the answer to such a question.
const BALANCER_LIMIT: Duration = Duration::from_millis(400);
/// Questions in a row without a good answer that take a VM out.
const BALANCER_MISSES: u32 = 2;

/// Why a process may end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ExpectedEnd {
    #[default]
    None,
    Stop,
    Kill,
}

/// A VM with the links around it.
pub struct SoakVm {
    process: RefCell<VmProcess>,
    /// Where callers connect.
    pub callers: LinkProxy,
    store_link: LinkProxy,
    store: StoreServer,
    readiness: SocketAddr,
    /// The balancer sends callers here.
    pub in_use: Cell<bool>,
    expected_end: Cell<ExpectedEnd>,
    /// When a stop began, or went on after a pause.
    stops_since: Cell<Option<Instant>>,
    restart_at: Cell<Option<Instant>>,
    restart_delay: Cell<Duration>,
}

/// The VMs of a run. Clones share them.
#[derive(Clone)]
pub struct SoakFleet {
    /// VMs by position.
    pub vms: Rc<Vec<SoakVm>>,
    records: SharedRecords,
}

impl SoakFleet {
    /// Starts `count` VMs on the store's rows, for the run of `seed`.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be had or a process cannot be started.
    pub async fn start(
        program: &Path,
        folder: &Path,
        store: &StoreServer,
        records: SharedRecords,
        seed: u64,
        count: usize,
    ) -> anyhow::Result<SoakFleet> {
        let mut vms = Vec::new();
        for number in 0..count {
            vms.push(start_vm(program, folder, store, vm_address(seed, number), number).await?);
        }
        let fleet = SoakFleet {
            vms: Rc::new(vms),
            records,
        };
        actix_rt::spawn(fleet.clone().watch());
        for position in 0..count {
            actix_rt::spawn(fleet.clone().ask_readiness(position));
        }
        Ok(fleet)
    }

    fn note_broken(&self, broken: String) {
        self.records.borrow_mut().broken.push(broken);
    }

    /// Notices ends of processes, and starts them again when it is time.
    async fn watch(self) {
        loop {
            sleep(WATCH_INTERVAL).await;
            for vm in self.vms.iter() {
                if let Err(error) = self.watch_vm(vm) {
                    self.note_broken(format!("the soak cannot go on: {error:#}"));
                }
            }
        }
    }

    fn watch_vm(&self, vm: &SoakVm) -> anyhow::Result<()> {
        let now = Instant::now();
        let mut process = vm.process.borrow_mut();
        if let Some(status) = process.take_exit()? {
            let id = &process.plan.id;
            if let Some(broken) = check_end(id, vm.expected_end.get(), status) {
                self.note_broken(format!("{broken}: {}", process.last_line()));
            }
            vm.stops_since.set(None);
            let delay = vm.restart_delay.get().max(LEAST_DOWN_TIME);
            vm.restart_at.set(Some(now + delay));
        }
        let is_overdue = vm
            .stops_since
            .get()
            .is_some_and(|since| now > since + STOP_TIME);
        if is_overdue {
            self.note_broken(format!("{} did not stop in time", process.plan.id));
            vm.stops_since.set(None);
            vm.expected_end.set(ExpectedEnd::Kill);
            process.signal(Signal::KILL)?;
        }
        if vm
            .restart_at
            .get()
            .is_some_and(|restart_at| now >= restart_at)
        {
            vm.restart_at.set(None);
            vm.expected_end.set(ExpectedEnd::None);
            process.restart()?;
        }
        Ok(())
    }

    /// Does what a balancer does: callers go to VMs that say that they are ready.
    async fn ask_readiness(self, position: usize) {
        let vm = &self.vms[position];
        let client = awc::Client::default();
        let mut misses = 0;
        loop {
            let asked = client.get(format!("http://{}/", vm.readiness)).send();
            let answer = timeout(BALANCER_LIMIT, asked).await;
            let is_ready = matches!(answer, Ok(Ok(answer)) if answer.status().is_success());
            misses = if is_ready { 0 } else { misses + 1 };
            vm.in_use.set(misses < BALANCER_MISSES);
            sleep(BALANCER_INTERVAL).await;
        }
    }

    /// Ends all faults and starts all VMs that do not run.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be signalled.
    pub fn heal(&self) -> anyhow::Result<()> {
        for vm in self.vms.iter() {
            vm.callers.set_mode(LinkMode::Open);
            vm.store_link.set_mode(LinkMode::Open);
            vm.store.set_fault(WireFault::None);
            vm.process.borrow().signal(Signal::CONT)?;
            if vm.restart_at.get().is_some() {
                vm.restart_at.set(Some(Instant::now()));
            }
        }
        Ok(())
    }

    /// Stops all VMs and waits for them.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be signalled.
    pub async fn stop(&self) -> anyhow::Result<()> {
        for vm in self.vms.iter() {
            vm.restart_delay.set(STOP_TIME * 2);
            vm.stop()?;
        }
        while self.vms.iter().any(|vm| vm.stops_since.get().is_some()) {
            sleep(WATCH_INTERVAL).await;
        }
        Ok(())
    }
}

impl SoakVm {
    /// SIGTERM; the VM starts again after its end.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub fn stop(&self) -> anyhow::Result<()> {
        if self.expected_end.get() == ExpectedEnd::None {
            self.expected_end.set(ExpectedEnd::Stop);
            self.stops_since.set(Some(Instant::now()));
            self.process.borrow().signal(Signal::TERM)?;
        }
        Ok(())
    }

    /// SIGKILL; the VM starts again after `delay`.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub fn kill(&self, delay: Duration) -> anyhow::Result<()> {
        if self.restart_at.get().is_none() {
            self.expected_end.set(ExpectedEnd::Kill);
            self.restart_delay.set(delay);
            self.process.borrow().signal(Signal::KILL)?;
        }
        Ok(())
    }

    /// SIGSTOP for a while.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub async fn pause(&self, time: Duration) -> anyhow::Result<()> {
        self.process.borrow().signal(Signal::STOP)?;
        sleep(time).await;
        self.process.borrow().signal(Signal::CONT)?;
        if self.stops_since.get().is_some() {
            self.stops_since.set(Some(Instant::now()));
        }
        Ok(())
    }

    /// Changes the settings, and says so with SIGHUP if `signal`.
    ///
    /// # Errors
    ///
    /// Fails when the settings cannot be written or the process cannot be signalled.
    pub fn reload(&self, signal: bool) -> anyhow::Result<()> {
        let mut process = self.process.borrow_mut();
        let usual = u64::try_from(KEY_TIME.as_millis())?;
        // Within what the promise on withdrawn keys allows.
        let shorter = u64::try_from(KEY_TIME.mul_f64(0.8).as_millis())?;
        process.plan.key_ms = if process.plan.key_ms == usual {
            shorter
        } else {
            usual
        };
        process.write_settings()?;
        // A process that has just started may not listen for the signal yet, which then ends it.
        if signal && self.in_use.get() && self.restart_at.get().is_none() {
            process.signal(Signal::HUP)?;
        }
        Ok(())
    }

    /// Sets what the link to the store does.
    pub fn set_store_mode(&self, mode: LinkMode) {
        self.store_link.set_mode(mode);
    }

    /// Sets what the store does for this VM.
    pub fn set_store_fault(&self, fault: WireFault) {
        self.store.set_fault(fault);
    }
}

async fn start_vm(
    program: &Path,
    folder: &Path,
    store: &StoreServer,
    address: IpAddr,
    number: usize,
) -> anyhow::Result<SoakVm> {
    let store = StoreServer::with_rows(store.rows.clone()).await;
    let store_link = LinkProxy::start(store.address).await?;
    let id = format!("vm-{number}");
    let key_ms = u64::try_from(KEY_TIME.as_millis())?;
    let plan = VmPlan::on_free_ports(id, address, store_link.address, key_ms)?;
    Ok(SoakVm {
        callers: LinkProxy::start(plan.callers).await?,
        store_link,
        store,
        readiness: plan.readiness,
        in_use: Cell::new(false),
        expected_end: Cell::default(),
        stops_since: Cell::new(None),
        restart_at: Cell::new(None),
        restart_delay: Cell::new(Duration::ZERO),
        process: RefCell::new(VmProcess::start(program, folder, plan)?),
    })
}

/// The loopback address of a VM. It finds its ports free at each start only if nothing else binds them meanwhile: neither
/// another run, nor another VM that starts, nor the source port of a connection.
fn vm_address(seed: u64, number: usize) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let [.., run] = seed.to_be_bytes();
    let number = u8::try_from(number).unwrap_or(u8::MAX);
    // Neither zero nor 255, and with the third part never that of the usual 127.0.0.1.
    let last = low.clamp(2, 254);
    let second = run.wrapping_mul(VMS_PER_RUN).wrapping_add(number);
    IpAddr::V4(Ipv4Addr::new(127, second, high, last))
}

/// Says what is wrong with the end of a process.
fn check_end(id: &str, expected: ExpectedEnd, status: ExitStatus) -> Option<String> {
    let is_expected = match expected {
        ExpectedEnd::None => false,
        ExpectedEnd::Stop => status.success(),
        ExpectedEnd::Kill => true,
    };
    (!is_expected).then(|| format!("{id} ended by itself or badly: {status} ({expected:?})"))
}
