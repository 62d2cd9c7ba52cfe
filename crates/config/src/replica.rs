//! The configuration of one VM: a state machine without I/O or clocks.

use crate::entry::{ConfigSnapshot, LogEntry, LogHead};
use crate::events::{ConfigInput, ConfigOutput, ReplicaCounters, StoreState};
use crate::model::FleetConfig;
use crate::wire::ConfigMessage;
use compact_str::CompactString;
use plantainmill_core::{Uptime, VmId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Entries kept to answer peers. At 7,300 changes a day they reach back about three hours.
const RECENT_LIMIT: usize = 1_024;
/// Entries that came early and wait for those before them.
const EARLY_LIMIT: usize = 256;
/// Entries in one answer.
const ANSWER_LIMIT: usize = 64;
/// Entries read at once that are still forwarded; more of them are left to the digests.
const FORWARD_LIMIT: usize = 16;
/// Wait for an answer to a request for missing entries.
pub const ASK_LIMIT: Duration = Duration::from_millis(600);
/// How long the version that a peer reported counts.
pub const PEER_LIMIT: Duration = Duration::from_mins(1);
/// Missing entries from which on a snapshot is read before the log.
pub const SNAPSHOT_GAP: u64 = 512;

#[derive(Clone, Copy, Debug)]
struct PeerReport {
    version: u64,
    at: Uptime,
}

/// The configuration of one VM.
pub struct ConfigReplica {
    config: FleetConfig,
    operation: CompactString,
    recent: VecDeque<LogEntry>,
    early: BTreeMap<u64, LogEntry>,
    peers: BTreeMap<VmId, PeerReport>,
    store: StoreState,
    head: Option<LogHead>,
    /// The entry after the version held belongs to another history in the table.
    history_differs: bool,
    checked_at: Option<Uptime>,
    asked_at: Option<Uptime>,
    attempts: usize,
    counters: ReplicaCounters,
    outputs: Vec<ConfigOutput>,
}

impl Default for ConfigReplica {
    fn default() -> ConfigReplica {
        ConfigReplica {
            config: FleetConfig::default(),
            operation: CompactString::default(),
            recent: VecDeque::new(),
            early: BTreeMap::new(),
            peers: BTreeMap::new(),
            store: StoreState::Unread,
            head: None,
            history_differs: false,
            checked_at: None,
            asked_at: None,
            attempts: 0,
            counters: ReplicaCounters::default(),
            outputs: Vec::new(),
        }
    }
}

impl ConfigReplica {
    /// Takes an input and returns what is to be done.
    pub fn handle(&mut self, input: ConfigInput, now: Uptime) -> Vec<ConfigOutput> {
        let before = self.config.version;
        match input {
            ConfigInput::Tick => self.tick(now),
            ConfigInput::Received { from, message } => self.receive(from, message, now),
            ConfigInput::PeerVersion {
                from,
                version,
                checked_at,
            } => self.take_report(&from, version, checked_at, now),
            ConfigInput::HeadRead { head, asked_at } => self.take_head(head, asked_at, now),
            ConfigInput::EntriesRead { entries } => self.take_read(entries),
            ConfigInput::Committed { entries } => self.take_entries(entries),
            ConfigInput::SnapshotRead { snapshot } => self.take_snapshot(snapshot),
            ConfigInput::StoreFailed => self.note_failure(),
        }
        if self.config.version > before {
            self.attempts = 0;
            self.outputs.insert(0, ConfigOutput::Publish);
            self.repair(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// The configuration held.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Version and operation of the configuration held.
    #[must_use]
    pub fn head(&self) -> LogHead {
        LogHead {
            version: self.config.version,
            operation: self.operation.clone(),
        }
    }

    /// The configuration held, as a snapshot.
    #[must_use]
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            operation: self.operation.clone(),
            config: self.config.clone(),
        }
    }

    /// Relation of the table to the configuration held.
    #[must_use]
    pub fn store_state(&self) -> StoreState {
        self.store
    }

    /// Head as last read from the table.
    #[must_use]
    pub fn store_head(&self) -> Option<&LogHead> {
        self.head.as_ref()
    }

    /// When the version held was last known to be current.
    #[must_use]
    pub fn checked_at(&self) -> Option<Uptime> {
        self.checked_at
    }

    /// Events counted so far.
    #[must_use]
    pub fn counters(&self) -> ReplicaCounters {
        self.counters
    }

    /// Peers that reported a version lately, and the newest of these versions.
    #[must_use]
    pub fn newest_of_peers(&self, now: Uptime) -> (usize, u64) {
        let fresh = self
            .peers
            .values()
            .filter(|report| now.saturating_sub(report.at) <= PEER_LIMIT);
        fresh.fold((0, 0), |(count, newest), report| {
            (count + 1, newest.max(report.version))
        })
    }

    fn tick(&mut self, now: Uptime) {
        self.peers
            .retain(|_, report| now.saturating_sub(report.at) <= PEER_LIMIT);
        self.repair(now);
    }

    fn receive(&mut self, from: VmId, message: ConfigMessage, now: Uptime) {
        match message {
            ConfigMessage::Push { entry } => self.take_push(from, entry, now),
            ConfigMessage::Confirm { version } => {
                self.take_report(&from, version, None, now);
                self.outputs.push(ConfigOutput::Confirmed { from, version });
            }
            ConfigMessage::Ask { after } => self.answer(from, after),
            ConfigMessage::Entries { entries, version } => {
                self.take_answer(from, entries, version, now);
            }
            // Pieces of snapshots are handled outside: they are transport, not state.
            ConfigMessage::AskPiece { .. } | ConfigMessage::Piece { .. } => {}
        }
    }

    fn take_read(&mut self, entries: Vec<LogEntry>) {
        self.asked_at = None;
        let before = self.config.version;
        // A VM without a check is starting: what is new to it is old to others.
        let steady = self.checked_at.is_some() && entries.len() <= FORWARD_LIMIT;
        let read = if steady { entries.clone() } else { Vec::new() };
        let forked = self.counters.forked;
        self.take_entries(entries);
        if self.counters.forked > forked {
            self.history_differs = true;
            self.store = StoreState::Reverted;
            // Entries after the refused one belong to the same history.
            self.early.clear();
        }
        let after = self.config.version;
        let applied = |entry: &LogEntry| (before + 1..=after).contains(&entry.change.version);
        let entries: Vec<LogEntry> = read.into_iter().filter(applied).collect();
        if !entries.is_empty() {
            self.outputs.push(ConfigOutput::Forward { entries });
        }
    }

    fn take_push(&mut self, from: VmId, entry: LogEntry, now: Uptime) {
        let version = entry.change.version;
        self.note_peer(&from, version, now);
        self.take_entries(vec![entry]);
        if self.config.version >= version {
            let version = self.config.version;
            let message = ConfigMessage::Confirm { version };
            self.outputs.push(ConfigOutput::Send { to: from, message });
        } else {
            self.repair(now);
        }
    }

    fn take_answer(&mut self, from: VmId, entries: Vec<LogEntry>, version: u64, now: Uptime) {
        self.asked_at = None;
        self.note_peer(&from, version, now);
        let empty = entries.is_empty();
        self.take_entries(entries);
        if empty && version > self.config.version {
            // The peer no longer holds the next entry. With the store away its snapshot is the only source.
            if self.store == StoreState::Readable {
                self.read_log(now);
            } else {
                self.asked_at = Some(now);
                self.outputs.push(ConfigOutput::FetchSnapshot { from });
            }
        }
    }

    fn answer(&mut self, to: VmId, after: u64) {
        let next = after.saturating_add(1);
        let oldest = self.recent.front().map(|entry| entry.change.version);
        let holds_next = oldest.is_some_and(|oldest| oldest <= next);
        let newer = self
            .recent
            .iter()
            .filter(|entry| holds_next && entry.change.version >= next);
        let message = ConfigMessage::Entries {
            entries: newer.take(ANSWER_LIMIT).cloned().collect(),
            version: self.config.version,
        };
        self.outputs.push(ConfigOutput::Send { to, message });
    }

    fn take_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            self.take_entry(entry);
        }
        while let Some(entry) = self.early.remove(&(self.config.version + 1)) {
            if !self.apply(entry) {
                break;
            }
        }
        let version = self.config.version;
        self.early.retain(|early, _| *early > version);
    }

    fn take_entry(&mut self, entry: LogEntry) {
        let version = entry.change.version;
        let current = self.config.version;
        if version <= current {
            self.counters.duplicates += 1;
            if version == current && entry.change.operation != self.operation {
                self.counters.forked += 1;
            }
            return;
        }
        if version == current + 1 {
            self.apply(entry);
            return;
        }
        self.counters.early += 1;
        self.early.insert(version, entry);
        if self.early.len() > EARLY_LIMIT {
            self.early.pop_last();
        }
    }

    /// Applies the entry after the version held, unless it belongs to another history.
    fn apply(&mut self, entry: LogEntry) -> bool {
        if entry.parent != self.operation {
            self.counters.forked += 1;
            return false;
        }
        self.config.apply(&entry.change);
        self.operation.clone_from(&entry.change.operation);
        self.counters.applied += 1;
        self.recent.push_back(entry);
        if self.recent.len() > RECENT_LIMIT {
            self.recent.pop_front();
        }
        true
    }

    fn take_snapshot(&mut self, snapshot: ConfigSnapshot) {
        if snapshot.config.version <= self.config.version {
            return;
        }
        self.counters.snapshots += 1;
        self.config = snapshot.config;
        self.operation = snapshot.operation;
        self.recent.clear();
        self.take_entries(Vec::new());
    }

    fn take_head(&mut self, head: LogHead, asked_at: Uptime, now: Uptime) {
        let current = self.config.version;
        if self.head.as_ref() != Some(&head) {
            // The table changed, perhaps because it was repaired: its entries are worth another look.
            self.history_differs = false;
        }
        let forked = head.version == current && head.operation != self.operation;
        self.store = StoreState::Readable;
        if head.version < current || forked || self.history_differs {
            self.store = StoreState::Reverted;
            self.counters.reverted += 1;
        }
        if self.store == StoreState::Readable && head.version == current {
            self.check(asked_at);
        }
        self.head = Some(head);
        self.repair(now);
    }

    fn check(&mut self, at: Uptime) {
        if self.checked_at.is_some_and(|checked| checked >= at) {
            return;
        }
        self.checked_at = Some(at);
        self.outputs.push(ConfigOutput::Checked(at));
    }

    fn note_peer(&mut self, from: &VmId, version: u64, now: Uptime) {
        let report = PeerReport { version, at: now };
        self.peers.insert(from.clone(), report);
    }

    fn take_report(&mut self, from: &VmId, version: u64, checked_at: Option<Uptime>, now: Uptime) {
        self.note_peer(from, version, now);
        if version == self.config.version
            && let Some(at) = checked_at
        {
            self.check(at);
        }
        self.repair(now);
    }

    fn note_failure(&mut self) {
        self.asked_at = None;
        self.counters.store_failures += 1;
        if self.store != StoreState::Reverted {
            self.store = StoreState::Failing;
        }
    }

    /// Says whether a newer version is known to exist.
    #[must_use]
    pub fn is_behind(&self, now: Uptime) -> bool {
        let current = self.config.version;
        let stored = self.head.as_ref().map_or(0, |head| head.version);
        let store_ahead = stored > current && !self.history_differs;
        self.newest_of_peers(now).1 > current || store_ahead || !self.early.is_empty()
    }

    /// Requests what is missing: from peers that have it in turn, and every third time from the store.
    fn repair(&mut self, now: Uptime) {
        let waits = self
            .asked_at
            .is_some_and(|at| now.saturating_sub(at) < ASK_LIMIT);
        if waits || !self.is_behind(now) {
            return;
        }
        let current = self.config.version;
        let newer: Vec<VmId> = self
            .peers
            .iter()
            .filter(|(_, report)| report.version > current)
            .map(|(id, _)| id.clone())
            .collect();
        let attempt = self.attempts;
        self.attempts += 1;
        if newer.is_empty() || attempt % 3 == 2 {
            self.read_log(now);
            return;
        }
        self.asked_at = Some(now);
        self.counters.asked += 1;
        let to = newer[attempt % newer.len()].clone();
        let message = ConfigMessage::Ask { after: current };
        self.outputs.push(ConfigOutput::Send { to, message });
    }

    fn read_log(&mut self, now: Uptime) {
        self.asked_at = Some(now);
        self.counters.reads += 1;
        let after = self.config.version;
        let stored = self.head.as_ref().map_or(0, |head| head.version);
        let newest = stored.max(self.newest_of_peers(now).1);
        self.outputs.push(ConfigOutput::ReadLog {
            after,
            snapshot: after == 0 || newest.saturating_sub(after) > SNAPSHOT_GAP,
        });
    }
}
