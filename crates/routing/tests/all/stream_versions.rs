//! Versions at which streams go on, over many VMs that learn late of targets, in virtual time.

use plantainmill_core::{ServiceName, Uptime, VersionName};
use plantainmill_routing::VersionLedger;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use std::collections::HashMap;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(50);
/// Longest time for which a stream is under way.
const STREAM_TIME: Duration = Duration::from_secs(5);
const RETENTION: Duration = Duration::from_secs(10);
const TARGET_COUNT: usize = 12;
/// Streams that begin in each step.
const STREAMS_PER_STEP: usize = 4;
/// One in this many streams is cut and taken up.
const CUT_DIVISOR: usize = 3;
/// Streams joined from two versions that may be seen.
const MAX_JOINED: usize = 2;
/// Time for which a target goes on serving after it has left the registry.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

#[derive(Clone, Copy)]
struct Shape {
    vms: usize,
    /// Longest delay after which a VM sees a change of the registry.
    delay: Duration,
}

const SMALL: Shape = Shape {
    vms: 12,
    delay: Duration::from_millis(600),
};
const LARGE: Shape = Shape {
    vms: 98,
    delay: Duration::from_millis(1_900),
};

struct Vm {
    ledger: VersionLedger,
    /// Versions of the targets as this VM sees them.
    seen: Vec<VersionName>,
    next_read: Uptime,
    /// The VM reaches neither the store nor other VMs until then.
    cut_until: Uptime,
    /// Records of streams that have begun while the store was down.
    unwritten: Vec<(usize, VersionName)>,
}

struct Stream {
    id: usize,
    version: VersionName,
    ends_at: Uptime,
    taken_up_at: Uptime,
}

/// VMs, registry and store.
struct Fleet {
    shape: Shape,
    now: Uptime,
    random: SmallRng,
    service: ServiceName,
    vms: Vec<Vm>,
    /// Versions of the registered targets, and when each last changed.
    targets: Vec<(VersionName, VersionName, Uptime)>,
    records: HashMap<usize, VersionName>,
    base: Option<(VersionName, u64)>,
    store_down_until: Uptime,
    streams: Vec<Stream>,
    started: usize,
    record_writes: usize,
    base_changes: usize,
    resumed: usize,
    rejected: usize,
    joined: usize,
}

impl Fleet {
    fn new(shape: Shape, seed: u64) -> Fleet {
        let vm = || Vm {
            ledger: VersionLedger::new(RETENTION),
            seen: Vec::new(),
            next_read: Duration::ZERO,
            cut_until: Duration::ZERO,
            unwritten: Vec::new(),
        };
        Fleet {
            shape,
            now: Duration::from_secs(100),
            random: SmallRng::seed_from_u64(seed),
            service: "llm".into(),
            vms: (0..shape.vms).map(|_| vm()).collect(),
            targets: vec![("v1".into(), "v1".into(), Duration::ZERO); TARGET_COUNT],
            records: HashMap::new(),
            base: None,
            store_down_until: Duration::ZERO,
            streams: Vec::new(),
            started: 0,
            record_writes: 0,
            base_changes: 0,
            resumed: 0,
            rejected: 0,
            joined: 0,
        }
    }

    /// Replaces a target by one of another version.
    fn replace(&mut self, target: usize, version: &str) {
        let (current, former, changed_at) = &mut self.targets[target];
        *former = std::mem::replace(current, version.into());
        *changed_at = self.now;
    }

    /// Replaces all VMs by new ones, which know nothing.
    fn restart_vms(&mut self) {
        for vm in &mut self.vms {
            vm.ledger = VersionLedger::new(RETENTION);
            vm.seen.clear();
            vm.unwritten.clear();
            vm.next_read = self.now + STEP;
        }
    }

    fn reaches_store(&self, vm: usize) -> bool {
        self.now >= self.store_down_until && self.now >= self.vms[vm].cut_until
    }

    fn update_view(&mut self, vm: usize) {
        let share = self.random.random::<f64>() * 0.7 + 0.3;
        if self.now < self.vms[vm].next_read || self.now < self.vms[vm].cut_until {
            return;
        }
        self.vms[vm].next_read = self.now + self.shape.delay.mul_f64(share);
        let listed: Vec<VersionName> = self.targets.iter().map(|target| target.0.clone()).collect();
        let service = &self.service;
        let targets = listed.iter().map(|version| (service, version));
        self.vms[vm].ledger.set_targets(targets, self.now);
        self.vms[vm].seen = listed;
    }

    fn maintain_base(&mut self, vm: usize) {
        if !self.reaches_store(vm) {
            let ledger = &mut self.vms[vm].ledger;
            if ledger.needs_read(self.now) {
                ledger.record_store_failure(self.now);
            }
            return;
        }
        self.records.extend(self.vms[vm].unwritten.drain(..));
        let ledger = &mut self.vms[vm].ledger;
        if ledger.needs_read(self.now) {
            let version = self.base.as_ref().map(|(version, _)| version.clone());
            ledger.confirm_base(&self.service, version, self.now);
        }
        let Some(next) = ledger.next_base(&self.service, self.now) else {
            return;
        };
        // The row version that the VM read last decides; reads and changes are atomic here.
        let is_known = ledger.base(&self.service, self.now)
            == self.base.as_ref().map(|(version, _)| version.clone());
        if is_known {
            let number = self.base.as_ref().map_or(0, |(_, number)| *number);
            self.base = Some((next, number + 1));
            self.base_changes += 1;
        }
        let version = self.base.as_ref().map(|(version, _)| version.clone());
        ledger.confirm_base(&self.service, version, self.now);
    }

    /// Begins a stream at a VM, at a target that it sees and that still serves.
    fn begin(&mut self) {
        let vm = self.random.random_range(0..self.shape.vms);
        let target = self.random.random_range(0..TARGET_COUNT);
        let Some(version) = self.vms[vm].seen.get(target).cloned() else {
            return;
        };
        if !self.serves(target, &version) {
            return;
        }
        let id = self.started;
        let ledger = &self.vms[vm].ledger;
        if ledger.needs_record(&self.service, &version) {
            if self.reaches_store(vm) {
                self.records.insert(id, version.clone());
                self.record_writes += 1;
            } else {
                let is_isolated = self.now < self.vms[vm].cut_until;
                let is_unambiguous = ledger.is_unambiguous(&self.service, &version);
                self.vms[vm].ledger.record_store_failure(self.now);
                if is_isolated || !is_unambiguous {
                    return;
                }
                self.vms[vm].unwritten.push((id, version.clone()));
            }
        }
        self.started += 1;
        if id.is_multiple_of(CUT_DIVISOR) {
            let life = STREAM_TIME.mul_f64(self.random.random::<f64>());
            self.streams.push(Stream {
                id,
                version,
                ends_at: self.now + STREAM_TIME,
                taken_up_at: self.now + life,
            });
        }
    }

    fn take_up(&mut self, stream: &Stream) {
        let vm = self.random.random_range(0..self.shape.vms);
        let reaches_store = self.reaches_store(vm);
        let ledger = &self.vms[vm].ledger;
        let found = if reaches_store {
            let record = self.records.get(&stream.id).cloned();
            record.or_else(|| ledger.base(&self.service, self.now))
        } else {
            ledger.sole_version(&self.service, self.now)
        };
        match found {
            Some(version) if self.is_served(vm, &version) => {
                self.resumed += 1;
                self.joined += usize::from(version != stream.version);
            }
            _ => self.rejected += 1,
        }
    }

    /// Whether a target that the VM sees still serves the version.
    fn is_served(&self, vm: usize, version: &VersionName) -> bool {
        let seen = self.vms[vm].seen.iter().enumerate();
        let mut seen = seen.filter(|(_, seen)| *seen == version);
        seen.any(|(target, _)| self.serves(target, version))
    }

    fn serves(&self, target: usize, version: &VersionName) -> bool {
        let (current, former, changed_at) = &self.targets[target];
        let drains = *former == *version && self.now < *changed_at + DRAIN_TIME;
        *current == *version || drains
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for vm in 0..self.shape.vms {
                self.update_view(vm);
                self.maintain_base(vm);
            }
            for _ in 0..STREAMS_PER_STEP {
                self.begin();
            }
            let now = self.now;
            let (due, waiting) = std::mem::take(&mut self.streams)
                .into_iter()
                .partition(|stream: &Stream| stream.taken_up_at <= now);
            self.streams = waiting;
            for stream in due {
                assert!(stream.taken_up_at <= stream.ends_at);
                self.take_up(&stream);
            }
        }
    }

    /// Replaces all targets, `at_once` of them at a time.
    fn release(&mut self, version: &str, at_once: usize, pause: Duration) {
        for target in 0..TARGET_COUNT {
            self.replace(target, version);
            if (target + 1).is_multiple_of(at_once) {
                self.run(pause);
            }
        }
    }
}

/// Guards against streams that go on at another version than the one that began them, at any VM and in any release, and
/// against take-ups that are rejected although their version serves.
#[rstest]
fn releases(
    #[values(SMALL, LARGE)] shape: Shape,
    #[values(1, 4, 12)] at_once: usize,
    #[values(7, 21, 1005)] seed: u64,
) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(15));
    assert_eq!(fleet.record_writes, 0, "records before any release");
    // The last one is a return to the first version.
    for version in ["v2", "v3", "v1"] {
        fleet.release(version, at_once, Duration::from_millis(900));
        fleet.run(Duration::from_secs(8));
    }
    assert_eq!(fleet.joined, 0, "of {}", fleet.resumed);
    assert!(
        fleet.resumed >= fleet.rejected,
        "{} rejected",
        fleet.rejected
    );
    fleet.run(Duration::from_secs(20));
    assert!(fleet.base_changes >= 2);
    let writes = fleet.record_writes;
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.record_writes, writes, "records after the release");
}

/// Guards against streams that go on at another version after all VMs were lost at once, before, within or after a release.
#[rstest]
fn lost_vms(
    #[values(SMALL, LARGE)] shape: Shape,
    #[values(0, 2, 5, 9)] lost_after_s: u64,
    #[values(7, 21, 1005)] seed: u64,
) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(15));
    for version in ["v2", "v3"] {
        fleet.release(version, 6, Duration::from_millis(400));
        fleet.run(Duration::from_secs(lost_after_s));
        fleet.restart_vms();
        fleet.run(Duration::from_secs(6));
        fleet.restart_vms();
        fleet.run(Duration::from_secs(3));
    }
    assert_eq!(fleet.joined, 0, "of {}", fleet.resumed);
    assert!(
        fleet.resumed >= fleet.rejected,
        "{} rejected",
        fleet.rejected
    );
}

/// Guards against streams that go on at another version while VMs are cut off or the store is down, for a while, in the
/// middle of a release or across its end.
#[rstest]
fn cut_off_vms(
    #[values(SMALL, LARGE)] shape: Shape,
    #[values(1, 4, 14)] cut_s: u64,
    #[values(7, 21, 1005)] seed: u64,
) {
    let mut fleet = Fleet::new(shape, seed);
    fleet.run(Duration::from_secs(15));
    for (round, version) in ["v2", "v3", "v1"].into_iter().enumerate() {
        let cut_until = fleet.now + Duration::from_secs(cut_s);
        for vm in fleet.vms.iter_mut().skip(round).step_by(4) {
            vm.cut_until = cut_until;
        }
        fleet.release(version, 3, Duration::from_millis(700));
        fleet.run(Duration::from_secs(1));
        fleet.store_down_until = fleet.now + Duration::from_secs(cut_s.min(5));
        fleet.run(Duration::from_secs(9));
    }
    let joined = fleet.joined;
    assert!(joined <= MAX_JOINED, "{joined} of {}", fleet.resumed);
}

/// Guards against memory that grows with the number of versions.
#[test]
fn bounded_versions() {
    let service: ServiceName = "llm".into();
    let mut ledger = VersionLedger::new(RETENTION);
    let mut now = Duration::from_secs(100);
    for number in 0..2_000 {
        now += Duration::from_millis(500);
        let version: VersionName = format!("v{number}").into();
        ledger.set_targets(std::iter::once((&service, &version)), now);
    }
    assert!(ledger.dump().to_string().len() < 200);
    assert_eq!(ledger.mixed_count(), 1);
    ledger.set_targets(std::iter::empty(), now + RETENTION);
    assert_eq!(ledger.services().count(), 0);
}

/// Views of a VM that has seen only version 1 for long, and last at `last_seen`.
fn old_view(last_seen: Uptime) -> VersionLedger {
    let mut ledger = VersionLedger::new(RETENTION);
    let service = ServiceName::from("llm");
    let mut now = Duration::from_secs(80);
    while now <= last_seen {
        let version = VersionName::from("v1");
        ledger.set_targets([(&service, &version)].into_iter(), now);
        now += STEP;
    }
    ledger.confirm_base(&service, Some("v1".into()), Duration::from_secs(81));
    ledger
}

/// Guards against a VM that was out of step for a moment and goes on at the only version that it has seen, with a stream that began
/// meanwhile, through another VM, at a version that had just joined.
#[test]
fn missed_join() {
    let service = ServiceName::from("llm");
    let ledger = old_view(Duration::from_secs(100));
    // The stream is taken up 1.5 s later, and its record cannot be read.
    let arrived_at = Duration::from_millis(101_500);
    assert_eq!(ledger.sole_version(&service, arrived_at), None);
    let last_seen = Duration::from_secs(100);
    let sole = ledger.sole_version(&service, last_seen);
    assert_eq!(sole, Some("v1".into()));
}

/// Guards against a VM that has stood still, and takes a stream without a record for one of the base version that it knew before.
#[test]
fn missed_base() {
    let service = ServiceName::from("llm");
    let ledger = old_view(Duration::from_secs(100));
    let base = |at: u64| ledger.base(&service, Duration::from_secs(at));
    assert_eq!(base(101), Some("v1".into()));
    assert_eq!(base(130), None);
}
