//! The targets of a run, each behind its own proxy.

use crate::fault_plan::SoakProfile;
use crate::link_proxy::{LinkMode, LinkProxy};
use crate::records::{ExecutionRecord, SharedRecords};
use plantainmill_fakes::{RefusalMode, SeenRequest, StreamTarget};
use plantainmill_stand_in::{INSTANCE_HEADER, Operator, StoreServer, TARGET_NAMES, TargetPlan};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of events of a complete stream.
pub const EVENTS_PER_STREAM: u64 = 8;
/// Time between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Concurrent requests per target.
const SLOTS_PER_TARGET: u32 = 8;
/// Concurrent requests per target where callers are to find targets full.
const SCARCE_SLOTS: u32 = 3;
/// Requests beyond its slots that a target takes.
const TARGET_QUEUE: usize = 2;
/// Time for which a draining target keeps serving.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Time from a crash to the expiry of the entry of the target: three report intervals.
const ENTRY_EXPIRY_TIME: Duration = Duration::from_millis(3_600);
/// Targets that start with one software version before the next version is released.
const TARGETS_PER_VERSION: u64 = 6;
/// Software versions of the targets, used by turns.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// One of this many targets is in the failure domain `c`, in the region `south`; the others and all VMs are in `a`.
const TARGETS_PER_FAR_ONE: u64 = 3;
/// Region of the failure domain `a`, to which the non-idempotent route is limited.
pub const ONCE_REGION: &str = "north";
/// Interval between polls of a target for the requests that reached it.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct RunningTarget {
    /// Changes when the target restarts at its address.
    id: RefCell<String>,
    version: &'static str,
    domain: &'static str,
    target: StreamTarget,
    /// Links from each VM.
    links: Vec<LinkProxy>,
    slots: u32,
    is_stopping: Cell<bool>,
    refusals: Cell<RefusalMode>,
}

impl RunningTarget {
    fn id(&self) -> String {
        self.id.borrow().clone()
    }

    fn set_mode(&self, mode: LinkMode) {
        for link in &self.links {
            link.set_mode(mode);
        }
    }

    /// Changes how the target refuses requests.
    fn change_refusals(&self, change: impl FnOnce(&mut RefusalMode)) {
        let mut mode = self.refusals.get();
        change(&mut mode);
        self.refusals.set(mode);
        self.target.set_refusals(mode);
    }

    fn plan(&self, draining: bool) -> TargetPlan {
        TargetPlan {
            address: self.target.address,
            slots: self.slots,
            draining,
            version: self.version,
            born: 0,
            domain: self.domain,
        }
    }
}

impl RunningTarget {
    /// Whether the target is reachable, serves, and uses less than half of its slots.
    fn is_free(&self) -> bool {
        let running = u32::try_from(self.target.running()).unwrap_or(u32::MAX);
        !self.is_stopping.get()
            && self.links.iter().all(LinkProxy::is_open)
            && running < self.slots / 2
    }
}

/// The targets of a run. Clones share them.
#[derive(Clone)]
pub struct TargetFleet {
    operator: Operator,
    records: SharedRecords,
    /// Store servers of the VMs, which name the addresses of the links.
    stores: Rc<[StoreServer]>,
    /// The current target at each index.
    targets: Rc<RefCell<Vec<Rc<RunningTarget>>>>,
    start_count: Rc<Cell<u64>>,
    slots: u32,
    /// Refusals of targets that start.
    refusals: Rc<Cell<RefusalMode>>,
}

impl TargetFleet {
    /// Starts and registers `count` targets.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    pub async fn start(
        operator: Operator,
        records: SharedRecords,
        stores: Rc<[StoreServer]>,
        count: usize,
        profile: SoakProfile,
        seed: u64,
    ) -> anyhow::Result<TargetFleet> {
        let slots = match profile {
            SoakProfile::Silent | SoakProfile::Refusing => SCARCE_SLOTS,
            SoakProfile::Planned
            | SoakProfile::Troubled
            | SoakProfile::Foreign
            | SoakProfile::Excess => SLOTS_PER_TARGET,
        };
        let fleet = TargetFleet {
            operator,
            records,
            stores,
            targets: Rc::default(),
            start_count: Rc::default(),
            slots,
            refusals: Rc::new(Cell::new(RefusalMode {
                seed,
                refused_percent: 0,
                has_copies: profile == SoakProfile::Refusing,
            })),
        };
        for _ in 0..count {
            let target = fleet.start_target().await?;
            fleet.targets.borrow_mut().push(target);
        }
        Ok(fleet)
    }

    async fn start_target(&self) -> anyhow::Result<Rc<RunningTarget>> {
        let number = self.start_count.get();
        self.start_count.set(number + 1);
        let target = StreamTarget::start(TARGET_NAMES, EVENTS_PER_STREAM).await?;
        target.set_pause(EVENT_INTERVAL);
        target.set_capacity(usize::try_from(self.slots).unwrap_or(usize::MAX) + TARGET_QUEUE);
        let mut links = Vec::new();
        for store in self.stores.iter() {
            let link = LinkProxy::start(target.address).await?;
            store.set_link(target.address, link.address);
            links.push(link);
        }
        let release = usize::try_from(number / TARGETS_PER_VERSION).unwrap_or(0);
        let refusals = RefusalMode {
            seed: self.refusals.get().seed.wrapping_add(number),
            ..self.refusals.get()
        };
        target.set_refusals(refusals);
        let id = format!("i-{number}");
        target.restart_as(INSTANCE_HEADER, &id);
        let running = Rc::new(RunningTarget {
            id: RefCell::new(id),
            version: VERSIONS[release % VERSIONS.len()],
            domain: if number % TARGETS_PER_FAR_ONE == 2 {
                "c"
            } else {
                "a"
            },
            target,
            links,
            slots: self.slots,
            is_stopping: Cell::new(false),
            refusals: Cell::new(refusals),
        });
        self.operator
            .write_target(&running.id(), &running.plan(false));
        actix_rt::spawn(record_requests(
            Rc::clone(&running),
            Rc::clone(&self.records),
        ));
        Ok(running)
    }

    fn current(&self, position: usize) -> Rc<RunningTarget> {
        Rc::clone(&self.targets.borrow()[position])
    }

    /// Sets the mode of the link to a target, unless the target is draining or has crashed.
    pub fn set_mode(&self, position: usize, mode: LinkMode) {
        let target = self.current(position);
        if !target.is_stopping.get() {
            target.set_mode(mode);
        }
    }

    /// Sets the mode of the links from a VM to all targets.
    pub fn set_vm_mode(&self, vm: usize, mode: LinkMode) {
        for target in self.targets.borrow().iter() {
            if !target.is_stopping.get() {
                target.links[vm].set_mode(mode);
            }
        }
    }

    /// The current target at `position`.
    pub fn target(&self, position: usize) -> StreamTarget {
        self.current(position).target.clone()
    }

    /// Ids of the requests and items that targets run, and ids of the free targets.
    pub fn sample(&self) -> (Vec<String>, Vec<String>) {
        let targets = self.targets.borrow();
        let running = targets
            .iter()
            .flat_map(|target| target.target.running_ids());
        let free = targets.iter().filter(|target| target.is_free());
        let free = free.map(|target| target.id());
        (running.collect(), free.collect())
    }

    /// Drains a target: marks its entry and its answers, lets it serve for `DRAIN_TIME`, then replaces it.
    pub async fn drain(&self, position: usize) -> anyhow::Result<()> {
        let target = self.current(position);
        if target.is_stopping.replace(true) {
            return Ok(());
        }
        target.set_mode(LinkMode::Open);
        target.target.set_leaving(true);
        let id = target.id();
        self.operator.write_target(&id, &target.plan(true));
        let draining_at = Instant::now();
        self.records
            .borrow_mut()
            .draining_targets
            .insert(id.clone(), draining_at);
        sleep(DRAIN_TIME).await;
        self.operator.remove_target(&id);
        target.set_mode(LinkMode::Reset);
        self.replace(position).await
    }

    /// Makes a target pause for `pause` between its events, for `time`.
    pub async fn pause(&self, position: usize, pause: Duration, time: Duration) {
        let target = self.current(position);
        target.target.set_pause(pause);
        sleep(time).await;
        target.target.set_pause(EVENT_INTERVAL);
    }

    /// Crashes a target: resets all its connections, removes its entry after `ENTRY_EXPIRY_TIME`, and replaces it.
    pub async fn crash(&self, position: usize) -> anyhow::Result<()> {
        let target = self.current(position);
        if target.is_stopping.replace(true) {
            return Ok(());
        }
        target.set_mode(LinkMode::Reset);
        sleep(ENTRY_EXPIRY_TIME).await;
        self.operator.remove_target(&target.id());
        self.replace(position).await
    }

    /// Restarts a target at its address as a new instance. The entry of the instance before stays for `lag`.
    pub async fn restart(&self, position: usize, lag: Duration) {
        let target = self.current(position);
        if target.is_stopping.get() {
            return;
        }
        let number = self.start_count.get();
        self.start_count.set(number + 1);
        let id = format!("i-{number}");
        target.target.restart_as(INSTANCE_HEADER, &id);
        let old_id = target.id.replace(id);
        self.operator
            .write_target(&target.id(), &target.plan(false));
        sleep(lag).await;
        self.operator.remove_target(&old_id);
    }

    /// Makes a target refuse `percent` of its requests for `time`.
    pub async fn refuse(&self, position: usize, percent: u32, time: Duration) {
        let target = self.current(position);
        target.change_refusals(|mode| mode.refused_percent = percent);
        sleep(time).await;
        target.change_refusals(|mode| mode.refused_percent = 0);
    }

    /// Ends the copies of refusals at all targets.
    pub fn end_copies(&self) {
        self.refusals.set(RefusalMode::default());
        for target in self.targets.borrow().iter() {
            target.change_refusals(|mode| mode.has_copies = false);
        }
    }

    async fn replace(&self, position: usize) -> anyhow::Result<()> {
        let target = self.start_target().await?;
        self.targets.borrow_mut()[position] = target;
        Ok(())
    }
}

/// Records the requests that reach a target.
async fn record_requests(target: Rc<RunningTarget>, records: SharedRecords) {
    loop {
        let seen = target.target.take_seen().into_iter();
        let seen_at = Instant::now();
        let executions = seen.map(|request| execution_record(&target, &request, seen_at));
        records.borrow_mut().executions.extend(executions);
        sleep(POLL_INTERVAL).await;
    }
}

fn execution_record(
    target: &RunningTarget,
    request: &SeenRequest,
    seen_at: Instant,
) -> ExecutionRecord {
    let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
    ExecutionRecord {
        id: header(TARGET_NAMES.request_id),
        may_repeat: !request.line.contains(&format!(" {}", Operator::ONCE_PATH)),
        organisation: header(plantainmill_stand_in::ORGANISATION_HEADER),
        target: target.id(),
        region: if target.domain == "a" {
            ONCE_REGION
        } else {
            "south"
        },
        version: target.version.to_owned(),
        resumed_after: header("last-event-id").parse().unwrap_or(0),
        seen_at,
        executed: request.ran,
    }
}
