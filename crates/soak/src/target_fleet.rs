//! Targets, each behind a proxy of its own.

use crate::link_proxy::{LinkMode, LinkProxy};
use crate::records::{RunRecord, SharedRecords};
use plantainmill_fakes::{SeenRequest, StreamTarget};
use plantainmill_stand_in::{Operator, TARGET_NAMES, TargetPlan};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Events of an answer.
pub const EVENTS: u64 = 8;
/// Time between events.
const EVENT_PAUSE: Duration = Duration::from_millis(15);
/// Requests that a target works on at once.
const SLOTS: u32 = 8;
/// Time for which a target that said that it stops goes on serving.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Time after which the entry of a silent target lapses: three intervals of its reports.
const LAPSE_TIME: Duration = Duration::from_millis(3_600);
/// Time between looks at what reached the targets.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

struct RunningTarget {
    id: String,
    target: StreamTarget,
    proxy: LinkProxy,
    is_leaving: Cell<bool>,
}

impl RunningTarget {
    fn plan(&self, draining: bool) -> TargetPlan {
        TargetPlan {
            address: self.proxy.address,
            slots: SLOTS,
            draining,
        }
    }
}

/// The targets of a run. Clones share them.
#[derive(Clone)]
pub struct TargetFleet {
    operator: Operator,
    records: SharedRecords,
    /// The target at each position.
    current: Rc<RefCell<Vec<Rc<RunningTarget>>>>,
    started: Rc<Cell<u64>>,
}

impl TargetFleet {
    /// Starts and registers `count` targets.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub async fn start(
        operator: Operator,
        records: SharedRecords,
        count: usize,
    ) -> anyhow::Result<TargetFleet> {
        let fleet = TargetFleet {
            operator,
            records,
            current: Rc::default(),
            started: Rc::default(),
        };
        for _ in 0..count {
            let target = fleet.start_target().await?;
            fleet.current.borrow_mut().push(target);
        }
        Ok(fleet)
    }

    async fn start_target(&self) -> anyhow::Result<Rc<RunningTarget>> {
        let number = self.started.get();
        self.started.set(number + 1);
        let target = StreamTarget::start(TARGET_NAMES, EVENTS).await?;
        target.set_pause(EVENT_PAUSE);
        let proxy = LinkProxy::start(target.address).await?;
        let running = Rc::new(RunningTarget {
            id: format!("i-{number}"),
            target,
            proxy,
            is_leaving: Cell::new(false),
        });
        self.operator
            .write_target(&running.id, &running.plan(false));
        actix_rt::spawn(watch(Rc::clone(&running), Rc::clone(&self.records)));
        Ok(running)
    }

    fn at(&self, position: usize) -> Rc<RunningTarget> {
        Rc::clone(&self.current.borrow()[position])
    }

    /// Sets what the link to a target does.
    pub fn set_mode(&self, position: usize, mode: LinkMode) {
        let target = self.at(position);
        if !target.is_leaving.get() {
            target.proxy.set_mode(mode);
        }
    }

    /// The target at `position`.
    pub fn target(&self, position: usize) -> StreamTarget {
        self.at(position).target.clone()
    }

    /// A planned end: the entry says so, the target serves on for a while, and a new one takes its place.
    pub async fn drain(&self, position: usize) -> anyhow::Result<()> {
        let target = self.at(position);
        if target.is_leaving.replace(true) {
            return Ok(());
        }
        target.proxy.set_mode(LinkMode::Open);
        self.operator.write_target(&target.id, &target.plan(true));
        let draining_at = Instant::now();
        let id = target.id.clone();
        self.records.borrow_mut().draining.insert(id, draining_at);
        sleep(DRAIN_TIME).await;
        self.operator.remove_target(&target.id);
        target.proxy.set_mode(LinkMode::Reset);
        self.replace(position).await
    }

    /// An unplanned end: all connections are reset, and the entry lapses later.
    pub async fn crash(&self, position: usize) -> anyhow::Result<()> {
        let target = self.at(position);
        if target.is_leaving.replace(true) {
            return Ok(());
        }
        target.proxy.set_mode(LinkMode::Reset);
        sleep(LAPSE_TIME).await;
        self.operator.remove_target(&target.id);
        self.replace(position).await
    }

    async fn replace(&self, position: usize) -> anyhow::Result<()> {
        let target = self.start_target().await?;
        self.current.borrow_mut()[position] = target;
        Ok(())
    }
}

/// Records what reaches a target.
async fn watch(target: Rc<RunningTarget>, records: SharedRecords) {
    loop {
        let seen = target.target.take_seen().into_iter();
        let at = Instant::now();
        let runs = seen.map(|request| run_record(&target.id, &request, at));
        records.borrow_mut().runs.extend(runs);
        sleep(WATCH_INTERVAL).await;
    }
}

fn run_record(target: &str, request: &SeenRequest, at: Instant) -> RunRecord {
    let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
    RunRecord {
        id: header(TARGET_NAMES.request_id),
        organisation: header(plantainmill_stand_in::ORGANISATION_HEADER),
        target: target.to_owned(),
        at,
        ran: request.ran,
    }
}
