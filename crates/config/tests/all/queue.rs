//! A message queue between replicas that delays, drops and repeats messages in virtual time.

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
const TICK: Duration = Duration::from_millis(200);
const SECOND: Duration = Duration::from_secs(1);

/// One VM.
#[derive(Default)]
pub struct TestReplica {
    pub replica: ConfigReplica,
    pub paused: bool,
    /// Versions in the order they were put in force.
    pub published: Vec<u64>,
    pub checked: Option<Uptime>,
}

/// Several VMs, their platform and the queue between them. The pollers read the head every second.
pub struct ReplicaQueue {
    pub nodes: Vec<TestReplica>,
    pub platform: MemoryPlatform,
    pub now: Uptime,
    pub cut: BTreeSet<(usize, usize)>,
    pub loss_percent: u32,
    pub repeat_percent: u32,
    pub digests: bool,
    pub pollers: Vec<usize>,
    waiting: BTreeMap<(Uptime, u64), (usize, usize, ConfigMessage)>,
    numbers: u64,
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

/// Proposes on top of what `replica` holds.
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

impl ReplicaQueue {
    pub fn new(size: usize, seed: u64) -> ReplicaQueue {
        ReplicaQueue {
            nodes: (0..size).map(|_| TestReplica::default()).collect(),
            platform: MemoryPlatform::default(),
            now: SECOND,
            cut: BTreeSet::new(),
            loss_percent: 0,
            repeat_percent: 0,
            digests: true,
            pollers: vec![0],
            waiting: BTreeMap::new(),
            numbers: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            let is_at = |period: Duration| self.now.as_millis().is_multiple_of(period.as_millis());
            let (tick, second) = (is_at(TICK), is_at(SECOND));
            if tick {
                (0..self.nodes.len()).for_each(|index| self.feed(index, ConfigInput::Tick));
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
        while let Some(entry) = self.waiting.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, message) = entry.remove();
            if !self.cut.contains(&(from, to)) {
                let from = format!("vm{from}").into();
                self.feed(to, ConfigInput::Received { from, message });
            }
        }
    }

    fn poll(&mut self, index: usize) {
        let log = log_of(&self.platform);
        let outcome = log
            .read_head()
            .now_or_never()
            .expect("memory answers at once");
        let input = outcome.map_or(ConfigInput::StoreFailed, |row| ConfigInput::HeadRead {
            head: row.head,
            asked_at: self.now,
        });
        self.feed(index, input);
    }

    /// Each VM hears the version of one random other VM, as from the answer to its probe.
    fn exchange_digests(&mut self) {
        for index in 0..self.nodes.len() {
            let other = self.rng.random_range(0..self.nodes.len());
            let reachable =
                !self.cut.contains(&(index, other)) && !self.cut.contains(&(other, index));
            let answers = reachable && !self.nodes[other].paused;
            if !self.digests || other == index || !answers {
                continue;
            }
            let input = ConfigInput::PeerVersion {
                from: format!("vm{other}").into(),
                version: self.version(other),
                checked_at: self.nodes[other].checked,
            };
            self.feed(index, input);
        }
    }

    pub fn feed(&mut self, index: usize, input: ConfigInput) {
        if self.nodes[index].paused {
            return;
        }
        let outputs = self.nodes[index].replica.handle(input, self.now);
        for output in outputs {
            self.perform(index, output);
        }
    }

    fn perform(&mut self, index: usize, output: ConfigOutput) {
        match output {
            ConfigOutput::Send { to, message } => {
                let to = to.trim_start_matches("vm").parse().expect("a VM's id");
                self.post(index, to, &message);
            }
            ConfigOutput::Publish => {
                let version = self.version(index);
                self.nodes[index].published.push(version);
            }
            ConfigOutput::Checked(at) => self.nodes[index].checked = Some(at),
            ConfigOutput::ReadLog { after, .. } => {
                let log = log_of(&self.platform);
                let read = log.read_after(after, 256).now_or_never();
                let read = read.expect("memory answers at once");
                let input = read.map_or(ConfigInput::StoreFailed, |entries| {
                    ConfigInput::EntriesRead { entries }
                });
                self.feed(index, input);
            }
            ConfigOutput::FetchSnapshot { from } => {
                let from: usize = from.trim_start_matches("vm").parse().expect("a VM's id");
                let snapshot = self.nodes[from].replica.snapshot();
                self.feed(index, ConfigInput::SnapshotRead { snapshot });
            }
            ConfigOutput::Forward { entries } if self.pollers.contains(&index) => {
                for entry in entries {
                    self.push(index, &entry);
                }
            }
            ConfigOutput::Confirmed { .. } | ConfigOutput::Forward { .. } => {}
        }
    }

    fn post(&mut self, from: usize, to: usize, message: &ConfigMessage) {
        let copies = 1 + u32::from(self.draw(self.repeat_percent));
        for _ in 0..copies {
            if self.draw(self.loss_percent) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..300));
            self.numbers += 1;
            let envelope = (from, to, message.clone());
            self.waiting
                .insert((self.now + delay, self.numbers), envelope);
        }
    }

    fn draw(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_ratio(percent, 100)
    }

    /// Commits a change at `index` and pushes it to all other VMs.
    pub fn change(&mut self, index: usize, edit: ConfigEdit) -> LogEntry {
        let operation = format!("op{}-{index}", self.numbers);
        self.numbers += 1;
        let request = request(&operation, vec![edit]);
        let replica = &self.nodes[index].replica;
        let outcome = propose(&self.platform, replica, request).now_or_never();
        let outcome = outcome.expect("memory answers at once");
        let done = outcome.result.expect("the change is accepted");
        let entries = outcome.entries;
        self.feed(index, ConfigInput::Committed { entries });
        let entry = done.committed.expect("it is no dry run");
        self.push(index, &entry);
        entry
    }

    fn push(&mut self, index: usize, entry: &LogEntry) {
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            let entry = entry.clone();
            self.post(index, other, &ConfigMessage::Push { entry });
        }
    }

    pub fn version(&self, index: usize) -> u64 {
        self.nodes[index].replica.config().version
    }

    /// All VMs hold the same content at `version`, and none of them ever went back.
    pub fn assert_agreed(&self, version: u64) {
        for (index, node) in self.nodes.iter().enumerate() {
            assert_eq!(self.version(index), version, "vm{index}");
            assert_eq!(node.replica.config(), self.nodes[0].replica.config());
            assert!(node.published.is_sorted(), "vm{index} went back");
        }
    }
}
