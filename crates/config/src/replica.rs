//! Replicates the configuration on one VM, as a deterministic state machine without I/O or clocks.

use crate::entry::{ConfigSnapshot, LogEntry, LogHead};
use crate::events::{ConfigInput, ConfigOutput, ReplicaCounters, StoreState};
use crate::model::FleetConfig;
use crate::wire::ConfigMessage;
use compact_str::CompactString;
use plantainmill_core::{Uptime, VmId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum number of applied entries retained for requests from peers. At 7,300 changes a day they cover about three
/// hours.
const RECENT_LIMIT: usize = 1_024;
/// Maximum number of entries buffered until their predecessors arrive.
const REORDER_LIMIT: usize = 256;
/// Maximum number of entries in a response to a peer.
const RESPONSE_LIMIT: usize = 64;
/// Maximum number of entries in one read that are forwarded. Larger reads are not forwarded: the other VMs learn of the
/// version from digests.
const FORWARD_LIMIT: usize = 16;
/// How long to wait for the response to a request for missing entries.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a version reported by a peer is taken into account.
pub const PEER_REPORT_TTL: Duration = Duration::from_mins(1);
/// A VM that lacks more entries than this reads a snapshot before the log.
pub const SNAPSHOT_THRESHOLD: u64 = 512;

#[derive(Clone, Copy, Debug)]
struct PeerReport {
    version: u64,
    at: Uptime,
}

/// Holds the configuration of one VM, applies changes to it in order, and requests entries that are missing.
pub struct ConfigReplica {
    config: FleetConfig,
    operation: CompactString,
    recent: VecDeque<LogEntry>,
    out_of_order: BTreeMap<u64, LogEntry>,
    peers: BTreeMap<VmId, PeerReport>,
    store: StoreState,
    head: Option<LogHead>,
    /// Whether the entry in the table after the version held belongs to a diverged history.
    history_differs: bool,
    checked_at: Option<Uptime>,
    request_sent_at: Option<Uptime>,
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
            out_of_order: BTreeMap::new(),
            peers: BTreeMap::new(),
            store: StoreState::Unread,
            head: None,
            history_differs: false,
            checked_at: None,
            request_sent_at: None,
            attempts: 0,
            counters: ReplicaCounters::default(),
            outputs: Vec::new(),
        }
    }
}

impl ConfigReplica {
    /// Handles an input and returns the effects that the service has to perform, in order.
    pub fn handle(&mut self, input: ConfigInput, now: Uptime) -> Vec<ConfigOutput> {
        let before = self.config.version;
        match input {
            ConfigInput::Tick => self.tick(now),
            ConfigInput::Received { from, message } => self.receive(from, message, now),
            ConfigInput::PeerVersion {
                from,
                version,
                checked_at,
            } => self.record_report(&from, version, checked_at, now),
            ConfigInput::HeadRead {
                head,
                read_started_at,
            } => self.handle_head(head, read_started_at, now),
            ConfigInput::EntriesRead { entries } => self.handle_entries_read(entries),
            ConfigInput::Committed { entries } => self.accept_entries(entries),
            ConfigInput::SnapshotRead { snapshot } => self.install_snapshot(snapshot),
            ConfigInput::StoreFailed => self.record_store_failure(),
        }
        if self.config.version > before {
            self.attempts = 0;
            self.outputs.insert(0, ConfigOutput::Publish);
            self.repair(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Configuration that this VM holds; the default before the first change.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Version and operation id of the configuration held.
    #[must_use]
    pub fn head(&self) -> LogHead {
        LogHead {
            version: self.config.version,
            operation: self.operation.clone(),
        }
    }

    /// Snapshot of the configuration held.
    #[must_use]
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            operation: self.operation.clone(),
            config: self.config.clone(),
        }
    }

    /// State of the table relative to the configuration held.
    #[must_use]
    pub fn store_state(&self) -> StoreState {
        self.store
    }

    /// Head as last read from the table; `None` before the first read.
    #[must_use]
    pub fn store_head(&self) -> Option<&LogHead> {
        self.head.as_ref()
    }

    /// When the version held was last known to be current; `None` if it never was.
    #[must_use]
    pub fn checked_at(&self) -> Option<Uptime> {
        self.checked_at
    }

    /// Counters since the start of the replica.
    #[must_use]
    pub fn counters(&self) -> ReplicaCounters {
        self.counters
    }

    /// Number of peers that reported a version within [`PEER_REPORT_TTL`], and the newest of these versions.
    #[must_use]
    pub fn peer_version_summary(&self, now: Uptime) -> (usize, u64) {
        let fresh = self
            .peers
            .values()
            .filter(|report| now.saturating_sub(report.at) <= PEER_REPORT_TTL);
        fresh.fold((0, 0), |(count, newest), report| {
            (count + 1, newest.max(report.version))
        })
    }

    fn tick(&mut self, now: Uptime) {
        self.peers
            .retain(|_, report| now.saturating_sub(report.at) <= PEER_REPORT_TTL);
        self.repair(now);
    }

    fn receive(&mut self, from: VmId, message: ConfigMessage, now: Uptime) {
        match message {
            ConfigMessage::Push { entry } => self.handle_push(from, entry, now),
            ConfigMessage::Confirm { version } => {
                self.record_report(&from, version, None, now);
                self.outputs.push(ConfigOutput::Confirmed { from, version });
            }
            ConfigMessage::Ask { after } => self.send_entries(from, after),
            ConfigMessage::Entries { entries, version } => {
                self.handle_response(from, entries, version, now);
            }
            // The service handles snapshot pieces, since a transfer does not change the state of the replica.
            ConfigMessage::AskPiece { .. } | ConfigMessage::Piece { .. } => {}
        }
    }

    fn handle_entries_read(&mut self, entries: Vec<LogEntry>) {
        self.request_sent_at = None;
        let before = self.config.version;
        // A VM that has not confirmed its version yet is starting, and the others already hold what it reads.
        let should_forward = self.checked_at.is_some() && entries.len() <= FORWARD_LIMIT;
        let read = if should_forward {
            entries.clone()
        } else {
            Vec::new()
        };
        let forked = self.counters.forked;
        self.accept_entries(entries);
        if self.counters.forked > forked {
            self.history_differs = true;
            self.store = StoreState::Reverted;
            // Entries after the refused one belong to the same diverged history.
            self.out_of_order.clear();
        }
        let after = self.config.version;
        let applied = |entry: &LogEntry| (before + 1..=after).contains(&entry.change.version);
        let entries: Vec<LogEntry> = read.into_iter().filter(applied).collect();
        if !entries.is_empty() {
            self.outputs.push(ConfigOutput::Forward { entries });
        }
    }

    fn handle_push(&mut self, from: VmId, entry: LogEntry, now: Uptime) {
        let version = entry.change.version;
        self.record_peer_version(&from, version, now);
        self.accept_entries(vec![entry]);
        if self.config.version >= version {
            let version = self.config.version;
            let message = ConfigMessage::Confirm { version };
            self.outputs.push(ConfigOutput::Send { to: from, message });
        } else {
            self.repair(now);
        }
    }

    fn handle_response(&mut self, from: VmId, entries: Vec<LogEntry>, version: u64, now: Uptime) {
        self.request_sent_at = None;
        self.record_peer_version(&from, version, now);
        let empty = entries.is_empty();
        self.accept_entries(entries);
        if empty && version > self.config.version {
            // The peer no longer retains the next entry. While the store is not readable, the snapshot of the peer
            // is the only source.
            if self.store == StoreState::Readable {
                self.read_log(now);
            } else {
                self.request_sent_at = Some(now);
                self.outputs.push(ConfigOutput::FetchSnapshot { from });
            }
        }
    }

    fn send_entries(&mut self, to: VmId, after: u64) {
        let next = after.saturating_add(1);
        let oldest = self.recent.front().map(|entry| entry.change.version);
        let holds_next = oldest.is_some_and(|oldest| oldest <= next);
        let newer = self
            .recent
            .iter()
            .filter(|entry| holds_next && entry.change.version >= next);
        let message = ConfigMessage::Entries {
            entries: newer.take(RESPONSE_LIMIT).cloned().collect(),
            version: self.config.version,
        };
        self.outputs.push(ConfigOutput::Send { to, message });
    }

    fn accept_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            self.accept_entry(entry);
        }
        while let Some(entry) = self.out_of_order.remove(&(self.config.version + 1)) {
            if !self.apply(entry) {
                break;
            }
        }
        let version = self.config.version;
        self.out_of_order.retain(|buffered, _| *buffered > version);
    }

    fn accept_entry(&mut self, entry: LogEntry) {
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
        self.out_of_order.insert(version, entry);
        if self.out_of_order.len() > REORDER_LIMIT {
            self.out_of_order.pop_last();
        }
    }

    /// Applies the entry after the version held, unless it belongs to a diverged history. Returns whether it did so.
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

    fn install_snapshot(&mut self, snapshot: ConfigSnapshot) {
        if snapshot.config.version <= self.config.version {
            return;
        }
        self.counters.snapshots += 1;
        self.config = snapshot.config;
        self.operation = snapshot.operation;
        self.recent.clear();
        self.accept_entries(Vec::new());
    }

    fn handle_head(&mut self, head: LogHead, read_started_at: Uptime, now: Uptime) {
        let current = self.config.version;
        if self.head.as_ref() != Some(&head) {
            // The table has changed and may have been repaired, so its entries are read again.
            self.history_differs = false;
        }
        let forked = head.version == current && head.operation != self.operation;
        self.store = StoreState::Readable;
        if head.version < current || forked || self.history_differs {
            self.store = StoreState::Reverted;
            self.counters.reverted += 1;
        }
        if self.store == StoreState::Readable && head.version == current {
            self.record_check(read_started_at);
        }
        self.head = Some(head);
        self.repair(now);
    }

    fn record_check(&mut self, at: Uptime) {
        if self.checked_at.is_some_and(|checked| checked >= at) {
            return;
        }
        self.checked_at = Some(at);
        self.outputs.push(ConfigOutput::Checked(at));
    }

    fn record_peer_version(&mut self, from: &VmId, version: u64, now: Uptime) {
        let report = PeerReport { version, at: now };
        self.peers.insert(from.clone(), report);
    }

    fn record_report(
        &mut self,
        from: &VmId,
        version: u64,
        checked_at: Option<Uptime>,
        now: Uptime,
    ) {
        self.record_peer_version(from, version, now);
        if version == self.config.version
            && let Some(at) = checked_at
        {
            self.record_check(at);
        }
        self.repair(now);
    }

    fn record_store_failure(&mut self) {
        self.request_sent_at = None;
        self.counters.store_failures += 1;
        if self.store != StoreState::Reverted {
            self.store = StoreState::Failing;
        }
    }

    /// Whether a version newer than the one held is known to exist, or entries are buffered out of order.
    #[must_use]
    pub fn is_behind(&self, now: Uptime) -> bool {
        let current = self.config.version;
        let stored = self.head.as_ref().map_or(0, |head| head.version);
        let store_ahead = stored > current && !self.history_differs;
        self.peer_version_summary(now).1 > current || store_ahead || !self.out_of_order.is_empty()
    }

    /// Requests missing entries: from the peers with a newer version in rotation, and on every third attempt from the
    /// store.
    fn repair(&mut self, now: Uptime) {
        let in_flight = self
            .request_sent_at
            .is_some_and(|at| now.saturating_sub(at) < REQUEST_TIMEOUT);
        if in_flight || !self.is_behind(now) {
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
        self.request_sent_at = Some(now);
        self.counters.asked += 1;
        let to = newer[attempt % newer.len()].clone();
        let message = ConfigMessage::Ask { after: current };
        self.outputs.push(ConfigOutput::Send { to, message });
    }

    fn read_log(&mut self, now: Uptime) {
        self.request_sent_at = Some(now);
        self.counters.reads += 1;
        let after = self.config.version;
        let stored = self.head.as_ref().map_or(0, |head| head.version);
        let newest = stored.max(self.peer_version_summary(now).1);
        self.outputs.push(ConfigOutput::ReadLog {
            after,
            snapshot: after == 0 || newest.saturating_sub(after) > SNAPSHOT_THRESHOLD,
        });
    }
}
