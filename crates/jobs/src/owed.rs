//! Items that this VM owes: accepted, not listed yet, and either at a target or waiting for something that is named.

use crate::metrics::JobMetrics;
use crate::service::JobInner;
use compact_str::CompactString;
use plantainmill_core::{
    Clock, Incarnation, ItemId, JobId, RegionSet, ServiceName, Uptime, VersionName, VmId,
};
use plantainmill_dispatch::TargetNeed;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between looks at the owed items.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a target from which an item is reported, and interval between its reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum number of items in the reports of one look, oldest first.
const MAX_REPORTS: usize = 64;

/// What an item that is owed waits for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OwedState {
    /// A VM that runs its job. The item's id is not known then.
    Runner,
    /// The job's items and the ids of those already listed, which are being read from the store.
    Load,
    /// The heads of the jobs, which this VM does not know recently enough.
    Heads,
    /// A fleet document.
    Document,
    /// A slot of a target.
    Slot,
    /// The end of a quarantine.
    Quarantine,
    /// The next attempt, after a failed one.
    Retry,
    /// The response of a target to which it was sent.
    Response,
    /// The end of its response, which a target is sending.
    Output,
    /// The write that lists its result.
    Listing,
}

impl OwedState {
    const ALL: [OwedState; 10] = [
        OwedState::Runner,
        OwedState::Load,
        OwedState::Heads,
        OwedState::Document,
        OwedState::Slot,
        OwedState::Quarantine,
        OwedState::Retry,
        OwedState::Response,
        OwedState::Output,
        OwedState::Listing,
    ];

    /// Name of the state in log lines and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            OwedState::Runner => "runner",
            OwedState::Load => "load",
            OwedState::Heads => "heads",
            OwedState::Document => "document",
            OwedState::Slot => "slot",
            OwedState::Quarantine => "quarantine",
            OwedState::Retry => "retry",
            OwedState::Response => "response",
            OwedState::Output => "output",
            OwedState::Listing => "listing",
        }
    }
}

/// An item that is owed, or all items of a job that no VM runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwedItem {
    /// Job of the item.
    pub job: JobId,
    /// The item; `None` for all items of a job whose items this VM has not read.
    pub item: Option<ItemId>,
    /// Number of items: one, unless `item` is `None`.
    pub count: u64,
    /// VM that owns the job, as far as this one knows.
    pub owner: Option<VmId>,
    /// What the item waits for.
    pub state: OwedState,
    /// Details: the target, the problem or the version that the item needs.
    pub reason: CompactString,
    /// Time since a target last sent output of the item, or since this VM has known it.
    pub idle: Duration,
    /// Time since the item entered its state.
    pub age: Duration,
    /// Targets with an idle slot that could run the item, as far as this VM knows. `None` if its service is not known.
    pub free_targets: Option<usize>,
}

/// What the targets that can run an item have.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct OwedNeed {
    pub service: ServiceName,
    pub version: Option<VersionName>,
    pub regions: RegionSet,
}

struct ItemEntry {
    state: OwedState,
    reason: CompactString,
    need: Option<OwedNeed>,
    entered_at: Uptime,
    idle_since: Uptime,
    reported_at: Uptime,
}

/// States of the items of one job that runs on this VM.
pub(crate) struct ItemWatch {
    clock: Arc<dyn Clock>,
    items: RefCell<HashMap<ItemId, ItemEntry>>,
}

impl ItemWatch {
    /// Records that an item has entered a state.
    pub fn enter(&self, item: &ItemId, state: OwedState, reason: impl Into<CompactString>) {
        let now = self.clock.uptime();
        if let Some(entry) = self.items.borrow_mut().get_mut(item) {
            if entry.state == OwedState::Output {
                entry.idle_since = now;
                entry.reported_at = now;
            }
            if entry.state != state {
                entry.entered_at = now;
            }
            entry.state = state;
            entry.reason = reason.into();
        }
    }

    /// Records that an item waits for a slot of one of the targets that can run it.
    pub fn enter_slot(&self, item: &ItemId, need: OwedNeed) {
        let version = need.version.clone().unwrap_or_default();
        self.enter(item, OwedState::Slot, version);
        if let Some(entry) = self.items.borrow_mut().get_mut(item) {
            entry.need = Some(need);
        }
    }

    /// Starts to watch an item whose run begins.
    pub fn add(&self, item: &ItemId) {
        let now = self.clock.uptime();
        let entry = ItemEntry {
            state: OwedState::Slot,
            reason: CompactString::default(),
            need: None,
            entered_at: now,
            idle_since: now,
            reported_at: now,
        };
        self.items.borrow_mut().insert(item.clone(), entry);
    }

    /// Stops to watch an item that has been listed.
    pub fn remove(&self, item: &ItemId) {
        self.items.borrow_mut().remove(item);
    }
}

/// The watches of all jobs that run on this VM.
#[derive(Default)]
pub(crate) struct OwedLedger {
    watches: RefCell<HashMap<JobId, Rc<ItemWatch>>>,
    /// Open jobs that are not in `watches`, with the time since which this VM has known that nobody runs them, and the time
    /// of the last report.
    without_runner: RefCell<HashMap<JobId, (Uptime, Uptime)>>,
}

impl OwedLedger {
    /// Watches the items of a job until the returned guard is dropped.
    pub fn watch(self: &Rc<Self>, job: &JobId, clock: &Arc<dyn Clock>) -> WatchGuard {
        let watch = Rc::new(ItemWatch {
            clock: Arc::clone(clock),
            items: RefCell::default(),
        });
        let mut watches = self.watches.borrow_mut();
        watches.insert(job.clone(), Rc::clone(&watch));
        WatchGuard {
            ledger: Rc::clone(self),
            job: job.clone(),
            watch,
        }
    }
}

/// Ends the watch of a job's items when it is dropped.
pub(crate) struct WatchGuard {
    ledger: Rc<OwedLedger>,
    job: JobId,
    pub watch: Rc<ItemWatch>,
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.ledger.watches.borrow_mut().remove(&self.job);
    }
}

impl JobInner {
    /// Returns the items of open jobs that are not at a target: those of the jobs that run here, and those of jobs that no
    /// live VM runs as far as this one knows.
    pub(crate) fn owed_items(&self) -> Vec<OwedItem> {
        let now = self.parts.clock.uptime();
        let mut owed = self.jobs_without_runner(now);
        let dispatcher = self.parts.caller.dispatcher();
        // Most items need the same targets.
        let mut counts: HashMap<OwedNeed, usize> = HashMap::new();
        let mut free_targets = |need: &OwedNeed| {
            if let Some(count) = counts.get(need) {
                return *count;
            }
            let target_need = TargetNeed {
                service: &need.service,
                version: need.version.as_ref(),
                regions: &need.regions,
            };
            let count = dispatcher.free_targets(target_need, &[]);
            counts.insert(need.clone(), count);
            count
        };
        for (job, watch) in self.owed.watches.borrow().iter() {
            let items = watch.items.borrow();
            let waiting = items
                .iter()
                .filter(|(_, entry)| entry.state != OwedState::Output);
            owed.extend(waiting.map(|(item, entry)| OwedItem {
                job: job.clone(),
                item: Some(item.clone()),
                count: 1,
                owner: Some(self.parts.local_owner.vm.clone()),
                state: entry.state,
                reason: entry.reason.clone(),
                idle: now.saturating_sub(entry.idle_since),
                age: now.saturating_sub(entry.entered_at),
                free_targets: entry.need.as_ref().map(&mut free_targets),
            }));
        }
        owed
    }

    /// The open jobs that this VM should run and does not, and those whose owner is not live.
    fn jobs_without_runner(&self, now: Uptime) -> Vec<OwedItem> {
        let catalog = self.jobs.borrow();
        let fleet = self.fleet.borrow();
        let watches = self.owed.watches.borrow();
        let mut since = self.owed.without_runner.borrow_mut();
        let live: HashSet<(&VmId, Incarnation)> = fleet
            .live
            .iter()
            .map(|owner| (&owner.vm, owner.incarnation))
            .collect();
        let mut owed = Vec::new();
        for (job, known) in catalog.iter() {
            let head = &known.head;
            if !head.is_open() {
                continue;
            }
            let is_local = head.owner.as_ref() == Some(&self.parts.local_owner);
            let has_live_owner = head
                .owner
                .as_ref()
                .is_some_and(|owner| live.contains(&(&owner.vm, owner.incarnation)));
            let has_runner = if is_local {
                watches.contains_key(job)
            } else {
                has_live_owner
            };
            if has_runner {
                continue;
            }
            let (known_at, _) = *since.entry(job.clone()).or_insert((now, now));
            let idle = now.saturating_sub(known_at);
            let is_responsible = fleet.is_responsible(job, &self.parts.local_owner);
            let (state, reason) = match (is_local, is_responsible) {
                (true, _) if self.is_running(job) => (OwedState::Load, "its items are read"),
                (true, _) => (OwedState::Runner, "its run has not started"),
                (false, true) => (OwedState::Runner, "this VM has to reassign it"),
                (false, false) => (OwedState::Runner, "another VM has to reassign it"),
            };
            owed.push(OwedItem {
                job: job.clone(),
                item: None,
                count: head.total - head.listed.min(head.total),
                owner: head.owner.as_ref().map(|owner| owner.vm.clone()),
                state,
                reason: reason.into(),
                idle,
                age: idle,
                free_targets: None,
            });
        }
        let jobs: HashSet<&JobId> = owed.iter().map(|item| &item.job).collect();
        since.retain(|job, _| jobs.contains(job));
        owed
    }

    /// Periodically updates the metrics of the owed items and logs those that have been without a target for long.
    pub(crate) async fn report_owed(self: Rc<Self>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let mut owed = self.owed_items();
            record_metrics(&self.parts.metrics, &owed);
            owed.retain(|item| item.idle >= REPORT_INTERVAL);
            owed.sort_by_key(|item| Reverse(item.idle));
            let due = owed.iter().filter(|item| self.take_report(item));
            due.take(MAX_REPORTS).for_each(log_item);
        }
    }

    /// Whether an item was last reported an interval ago. It then counts as reported now.
    fn take_report(&self, owed: &OwedItem) -> bool {
        let now = self.parts.clock.uptime();
        let is_due = |reported_at: &mut Uptime| {
            let is_due = now.saturating_sub(*reported_at) >= REPORT_INTERVAL;
            if is_due {
                *reported_at = now;
            }
            is_due
        };
        let Some(item) = &owed.item else {
            let mut jobs = self.owed.without_runner.borrow_mut();
            return jobs
                .get_mut(&owed.job)
                .is_some_and(|(_, reported_at)| is_due(reported_at));
        };
        let watches = self.owed.watches.borrow();
        watches.get(&owed.job).is_some_and(|watch| {
            let mut items = watch.items.borrow_mut();
            items
                .get_mut(item)
                .is_some_and(|entry| is_due(&mut entry.reported_at))
        })
    }
}

fn record_metrics(metrics: &JobMetrics, owed: &[OwedItem]) {
    for state in OwedState::ALL {
        let items = || owed.iter().filter(|item| item.state == state);
        let count = items().map(|item| item.count).sum();
        let oldest = items().map(|item| item.idle).max().unwrap_or_default();
        metrics.record_owed(state, count, oldest);
    }
}

fn log_item(owed: &OwedItem) {
    tracing::info!(
        event = "item_owed",
        job = %owed.job,
        item = owed.item.as_deref(),
        count = owed.count,
        owner = owed.owner.as_deref(),
        state = owed.state.name(),
        reason = %owed.reason,
        idle_ms = whole_millis(owed.idle),
        age_ms = whole_millis(owed.age),
        free_targets = owed.free_targets,
    );
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
