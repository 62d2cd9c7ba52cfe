//! A simulated network between replicas that delays, drops, duplicates and reorders messages in virtual time.

use futures_util::FutureExt as _;
use plantainmill_config::{
    ChangeOutcome, ChangeProposal, ChangeRequest, ConfigEdit, ConfigInput, ConfigLog,
    ConfigMessage, ConfigOutput, ConfigReplica, LogEntry, OrganisationSpec,
};
use plantainmill_core::{ManualClock, Uptime};
use plantainmill_fakes::MemoryPlatform;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(50);
const TICK_PERIOD: Duration = Duration::from_millis(200);
const POLL_PERIOD: Duration = Duration::from_secs(1);

/// The replica of one VM and what it has put in force.
#[derive(Default)]
pub struct TestReplica {
    pub replica: ConfigReplica,
    pub paused: bool,
    /// Versions in the order they were put in force.
    pub published: Vec<u64>,
    pub checked: Option<Uptime>,
}

/// Several VMs, the stores that they share and the messages in flight between them.
pub struct SimulatedNetwork {
    pub vms: Vec<TestReplica>,
    pub platform: MemoryPlatform,
    pub now: Uptime,
    /// Sender and receiver of each link that delivers nothing.
    pub cut_links: BTreeSet<(usize, usize)>,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    /// Whether VMs exchange versions as they do in membership digests.
    pub digests_enabled: bool,
    /// VMs that read the head every second.
    pub pollers: Vec<usize>,
    /// Sender, receiver and message by time of delivery and number.
    in_flight: BTreeMap<(Uptime, u64), (usize, usize, ConfigMessage)>,
    next_number: u64,
    rng: SmallRng,
}

pub fn put_organisation(id: &str, rate: f64) -> ConfigEdit {
    let spec = OrganisationSpec {
        rate,
        burst: 5,
        weight: 1,
    };
    ConfigEdit::PutOrganisation {
        id: id.into(),
        spec,
    }
}

pub fn log_of(platform: &MemoryPlatform) -> ConfigLog {
    ConfigLog::new(Arc::new(platform.clone()), Arc::new(platform.clone()))
}

pub fn request(operation: &str, edits: Vec<ConfigEdit>) -> ChangeRequest {
    ChangeRequest {
        operation: operation.into(),
        edits,
        author: "operator".into(),
        reason: "test".to_owned(),
        expected_version: None,
        dry_run: false,
        time: 0,
    }
}

/// Runs a proposal on top of the configuration that `replica` holds.
pub async fn propose(
    platform: &MemoryPlatform,
    replica: &ConfigReplica,
    request: ChangeRequest,
) -> ChangeOutcome {
    let clock = Arc::new(ManualClock::default());
    let log = log_of(platform);
    ChangeProposal::new(log, replica.snapshot(), request, clock)
        .run()
        .await
}

impl SimulatedNetwork {
    pub fn new(size: usize, seed: u64) -> SimulatedNetwork {
        SimulatedNetwork {
            vms: (0..size).map(|_| TestReplica::default()).collect(),
            platform: MemoryPlatform::default(),
            now: POLL_PERIOD,
            cut_links: BTreeSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            digests_enabled: true,
            pollers: vec![0],
            in_flight: BTreeMap::new(),
            next_number: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            let is_at = |period: Duration| self.now.as_millis().is_multiple_of(period.as_millis());
            let (tick, second) = (is_at(TICK_PERIOD), is_at(POLL_PERIOD));
            if tick {
                (0..self.vms.len()).for_each(|index| self.handle_input(index, ConfigInput::Tick));
            }
            if second {
                self.pollers
                    .clone()
                    .into_iter()
                    .for_each(|index| self.poll(index));
                self.exchange_digests();
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, message) = entry.remove();
            if !self.cut_links.contains(&(from, to)) {
                let from = format!("vm{from}").into();
                self.handle_input(to, ConfigInput::Received { from, message });
            }
        }
    }

    fn poll(&mut self, index: usize) {
        let log = log_of(&self.platform);
        let outcome = log
            .read_head()
            .now_or_never()
            .expect("the store in memory responds at once");
        let input = outcome.map_or(ConfigInput::StoreFailed, |row| ConfigInput::HeadRead {
            head: row.head,
            read_started_at: self.now,
        });
        self.handle_input(index, input);
    }

    /// Each VM learns the version of one random other VM, as from the response to a membership probe.
    fn exchange_digests(&mut self) {
        for index in 0..self.vms.len() {
            let other = self.rng.random_range(0..self.vms.len());
            let reachable = !self.cut_links.contains(&(index, other))
                && !self.cut_links.contains(&(other, index));
            let answers = reachable && !self.vms[other].paused;
            if !self.digests_enabled || other == index || !answers {
                continue;
            }
            let input = ConfigInput::PeerVersion {
                from: format!("vm{other}").into(),
                version: self.version(other),
                checked_at: self.vms[other].checked,
            };
            self.handle_input(index, input);
        }
    }

    pub fn handle_input(&mut self, index: usize, input: ConfigInput) {
        if self.vms[index].paused {
            return;
        }
        let outputs = self.vms[index].replica.handle(input, self.now);
        for output in outputs {
            self.perform(index, output);
        }
    }

    fn perform(&mut self, index: usize, output: ConfigOutput) {
        match output {
            ConfigOutput::Send { to, message } => {
                let to = to.trim_start_matches("vm").parse().expect("the id of a VM");
                self.send(index, to, &message);
            }
            ConfigOutput::Publish => {
                let version = self.version(index);
                self.vms[index].published.push(version);
            }
            ConfigOutput::Checked(at) => self.vms[index].checked = Some(at),
            ConfigOutput::ReadLog { after, .. } => {
                let log = log_of(&self.platform);
                let read = log.read_after(after, 256).now_or_never();
                let read = read.expect("the store in memory responds at once");
                let input = read.map_or(ConfigInput::StoreFailed, |entries| {
                    ConfigInput::EntriesRead { entries }
                });
                self.handle_input(index, input);
            }
            ConfigOutput::FetchSnapshot { from } => {
                let from: usize = from
                    .trim_start_matches("vm")
                    .parse()
                    .expect("the id of a VM");
                let snapshot = self.vms[from].replica.snapshot();
                self.handle_input(index, ConfigInput::SnapshotRead { snapshot });
            }
            ConfigOutput::Forward { entries } if self.pollers.contains(&index) => {
                for entry in entries {
                    self.push(index, &entry);
                }
            }
            ConfigOutput::Confirmed { .. } | ConfigOutput::Forward { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &ConfigMessage) {
        let copies = 1 + u32::from(self.chance(self.duplicate_percent));
        for _ in 0..copies {
            if self.chance(self.loss_percent) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..300));
            self.next_number += 1;
            let envelope = (from, to, message.clone());
            self.in_flight
                .insert((self.now + delay, self.next_number), envelope);
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_ratio(percent, 100)
    }

    /// Commits a change at `index` and pushes it to all other VMs.
    pub fn change(&mut self, index: usize, edit: ConfigEdit) -> LogEntry {
        let operation = format!("op{}-{index}", self.next_number);
        self.next_number += 1;
        let request = request(&operation, vec![edit]);
        let replica = &self.vms[index].replica;
        let outcome = propose(&self.platform, replica, request).now_or_never();
        let outcome = outcome.expect("the store in memory responds at once");
        let done = outcome.result.expect("the change is accepted");
        let entries = outcome.entries;
        self.handle_input(index, ConfigInput::Committed { entries });
        let entry = done.committed.expect("the change is committed");
        self.push(index, &entry);
        entry
    }

    fn push(&mut self, index: usize, entry: &LogEntry) {
        for other in (0..self.vms.len()).filter(|other| *other != index) {
            let entry = entry.clone();
            self.send(index, other, &ConfigMessage::Push { entry });
        }
    }

    pub fn version(&self, index: usize) -> u64 {
        self.vms[index].replica.config().version
    }

    /// Asserts that all VMs hold the same content at `version`, and that none of them published an older version after
    /// a newer one.
    pub fn assert_agreed(&self, version: u64) {
        for (index, vm) in self.vms.iter().enumerate() {
            assert_eq!(self.version(index), version, "vm{index}");
            assert_eq!(vm.replica.config(), self.vms[0].replica.config());
            assert!(
                vm.published.is_sorted(),
                "vm{index} published an older version"
            );
        }
    }
}
