//! The registered targets.
//!
//! While the registry is unavailable, live targets cannot renew their entries, which then expire. For [`RENEWAL_GRACE`]
//! after an outage, a missing entry therefore does not mean that the target is gone.
//!
//! Entries that the feed reports as removed arrive one by one when many expire, so they count as gone only after
//! [`REMOVAL_DELAY`]: a mass expiry is then recognised before its first targets are dropped.

use compact_str::CompactString;
use plantainmill_core::{DomainName, ServiceName, TargetId, Uptime};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Time that live targets get to renew their entries after the registry is available again.
pub const RENEWAL_GRACE: Duration = Duration::from_secs(2);

/// Time after which an entry that the feed reports as removed counts as gone. Removals within this time are judged
/// together, as by reads of the whole table at this interval.
pub const REMOVAL_DELAY: Duration = Duration::from_millis(600);

/// A registered target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Identifies one start of the target.
    pub id: TargetId,
    /// Service that it provides.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is about to stop and accepts no new requests.
    pub draining: bool,
    /// Start time in milliseconds since the Unix epoch; zero if unknown. A later time with the same id means a restart.
    pub born: u64,
    /// Software version, as reported by the target.
    pub version: CompactString,
    /// How much longer it stays cold, as of its entry.
    #[serde(default)]
    pub cold_left: ColdLeft,
}

/// How much longer a target stays cold, as its entry says, in milliseconds; absent if the entry does not say. Its hash only
/// tells whether the target is cold: the time changes whenever the target renews its entry, and VMs would fetch the list each time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdLeft(pub Option<u32>);

impl Hash for ColdLeft {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Nothing for a target that is not cold: releases without this field compute the same hash.
        if self.0.is_some_and(|left_ms| left_ms > 0) {
            state.write_u8(1);
        }
    }
}

/// When a missing target counts as gone.
#[derive(Clone, Copy, Debug)]
struct MissingMark {
    gone_at: Uptime,
    /// The entry may be renewed until then. Otherwise the next read without it confirms the removal.
    has_grace: bool,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    entry: TargetEntry,
    /// Set while the entry is missing.
    missing: Option<MissingMark>,
}

/// Differences between two successive states of the entries.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetChanges {
    /// Entries that are new or differ.
    pub changed: Vec<TargetEntry>,
    /// Targets that are no longer known.
    pub removed: Vec<TargetId>,
}

impl TargetChanges {
    /// Whether there are no differences.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }

    /// Number of targets that differ.
    #[must_use]
    pub fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Ids of the targets that differ.
    pub fn ids(&self) -> impl Iterator<Item = &TargetId> {
        let changed = self.changed.iter().map(|entry| &entry.id);
        changed.chain(&self.removed)
    }
}

/// The targets that this VM knows, with a grace period for missing entries after an outage of the registry.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    targets: BTreeMap<TargetId, KnownTarget>,
    /// Before this time, a live target may not have renewed its entry yet.
    renewal_deadline: Uptime,
    read_failed: bool,
    /// Fingerprint of the entries as they are, once it has been asked for or named by the VM that they come from.
    fingerprint: Cell<Option<u64>>,
    /// Failure domains whose targets get nothing new.
    evacuated: BTreeSet<DomainName>,
}

impl TargetRegistry {
    /// Records that the registry could not be read. The next [`TargetRegistry::apply`] starts a grace period.
    pub fn record_read_failure(&mut self) {
        self.read_failed = true;
    }

    /// Replaces all entries with those of another VM at `now`, without a grace period: that VM has already applied it.
    /// `fingerprint` is the one that the other VM names for them, if any; it may hash fields that this release does not
    /// have.
    pub fn adopt(
        &mut self,
        entries: Vec<TargetEntry>,
        fingerprint: Option<u64>,
        now: Uptime,
    ) -> TargetChanges {
        // The other VM has decided which of the missing entries still count.
        for known in self.targets.values_mut() {
            known.missing = None;
        }
        let changes = self.replace(entries, now, now);
        self.fingerprint.set(fingerprint);
        changes
    }

    /// Applies what another VM says has changed in the entries with the fingerprint `base`; afterwards they are those
    /// with `fingerprint`. Returns `None` if this VM has other entries than `base`.
    pub fn adopt_changes(
        &mut self,
        base: u64,
        changes: TargetChanges,
        fingerprint: u64,
    ) -> Option<TargetChanges> {
        if self.fingerprint() != base {
            return None;
        }
        let mut applied = TargetChanges::default();
        for id in changes.removed {
            if self.targets.remove(&id).is_some() {
                applied.removed.push(id);
            }
        }
        for entry in changes.changed {
            self.insert(entry, &mut applied);
        }
        self.fingerprint.set(Some(fingerprint));
        Some(applied)
    }

    /// Replaces all entries with those read from the registry at `now`. Missing entries stay until the end of the grace
    /// period, if there is one.
    pub fn apply(&mut self, entries: Vec<TargetEntry>, now: Uptime) -> TargetChanges {
        if self.read_failed {
            self.read_failed = false;
            self.renewal_deadline = now + RENEWAL_GRACE;
        }
        let present: HashSet<&TargetId> = entries.iter().map(|entry| &entry.id).collect();
        let missing = self.targets.iter().filter(|(id, known)| {
            known.missing.is_none_or(|mark| !mark.has_grace) && !present.contains(id)
        });
        if self.is_mass_expiry(missing.count()) {
            self.renewal_deadline = now + RENEWAL_GRACE;
        }
        self.replace(entries, self.renewal_deadline, now)
    }

    /// Applies changes that the registry's feed reported. Missing entries stay for [`REMOVAL_DELAY`], or until the end of
    /// the grace period, if there is one.
    pub fn apply_feed(&mut self, changes: TargetChanges, now: Uptime) -> TargetChanges {
        let mut applied = TargetChanges::default();
        let addresses: HashSet<SocketAddr> =
            changes.changed.iter().map(|entry| entry.address).collect();
        for entry in changes.changed {
            self.insert(entry, &mut applied);
        }
        let has_grace = now < self.renewal_deadline;
        let mark = MissingMark {
            gone_at: self.renewal_deadline.max(now + REMOVAL_DELAY),
            has_grace,
        };
        for id in &changes.removed {
            if let Some(known) = self.targets.get_mut(id) {
                known.missing.get_or_insert(mark);
            }
        }
        let is_pending =
            |known: &KnownTarget| known.missing.is_some_and(|missing| !missing.has_grace);
        let missing = self.targets.values().filter(|known| is_pending(known));
        if !changes.removed.is_empty() && self.is_mass_expiry(missing.count()) {
            self.renewal_deadline = now + RENEWAL_GRACE;
            let mark = MissingMark {
                gone_at: self.renewal_deadline,
                has_grace: true,
            };
            for known in self.targets.values_mut().filter(|known| is_pending(known)) {
                known.missing = Some(mark);
            }
        }
        self.drop_gone(&addresses, now, &mut applied);
        self.note_changes(&applied);
        applied
    }

    /// Drops the missing targets that count as gone at `now`.
    pub fn expire(&mut self, now: Uptime) -> TargetChanges {
        let mut applied = TargetChanges::default();
        self.drop_gone(&HashSet::new(), now, &mut applied);
        self.note_changes(&applied);
        applied
    }

    /// If only the targets lose the registry, reads succeed but many entries expire at once. A loss of at least half of
    /// the targets, and of at least two, starts a grace period.
    fn is_mass_expiry(&self, missing: usize) -> bool {
        missing * 2 >= self.targets.len().max(4)
    }

    /// Replaces all entries. A target whose entry is missing counts as gone from `renewal_deadline` on, or at once if
    /// another target has its address.
    fn replace(
        &mut self,
        entries: Vec<TargetEntry>,
        renewal_deadline: Uptime,
        now: Uptime,
    ) -> TargetChanges {
        let mut applied = TargetChanges::default();
        let present: HashSet<TargetId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let addresses: HashSet<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
        for entry in entries {
            self.insert(entry, &mut applied);
        }
        let mark = MissingMark {
            gone_at: renewal_deadline,
            has_grace: true,
        };
        let missing = self
            .targets
            .iter_mut()
            .filter(|(id, _)| !present.contains(*id));
        for (_, known) in missing {
            let known_mark = known.missing.filter(|known_mark| known_mark.has_grace);
            known.missing = Some(known_mark.unwrap_or(mark));
        }
        self.drop_gone(&addresses, now, &mut applied);
        self.note_changes(&applied);
        applied
    }

    /// Adds or replaces an entry, and records a difference.
    fn insert(&mut self, entry: TargetEntry, applied: &mut TargetChanges) {
        if let Some(known) = self.targets.get_mut(&entry.id) {
            known.missing = None;
            if known.entry != entry {
                known.entry = entry.clone();
                applied.changed.push(entry);
            }
            return;
        }
        applied.changed.push(entry.clone());
        let known = KnownTarget {
            entry,
            missing: None,
        };
        self.targets.insert(known.entry.id.clone(), known);
    }

    /// Drops the missing targets that count as gone at `now`, and those whose address is in `addresses`.
    fn drop_gone(
        &mut self,
        addresses: &HashSet<SocketAddr>,
        now: Uptime,
        applied: &mut TargetChanges,
    ) {
        self.targets.retain(|id, known| {
            let is_kept = known.missing.is_none_or(|missing| {
                now < missing.gone_at && !addresses.contains(&known.entry.address)
            });
            if !is_kept {
                applied.removed.push(id.clone());
            }
            is_kept
        });
    }

    fn note_changes(&self, applied: &TargetChanges) {
        if !applied.is_empty() {
            self.fingerprint.set(None);
        }
    }

    /// Replaces the evacuated failure domains, whose targets get nothing new.
    pub fn set_evacuated(&mut self, domains: BTreeSet<DomainName>) {
        self.evacuated = domains;
    }

    /// Whether `target` is in an evacuated failure domain.
    #[must_use]
    pub fn is_evacuated(&self, target: &TargetId) -> bool {
        let known = self.targets.get(target);
        known.is_some_and(|known| self.evacuated.contains(&known.entry.domain))
    }

    /// The targets that accept new requests at `now`.
    pub fn usable(&self, now: Uptime) -> impl Iterator<Item = &TargetEntry> {
        self.targets
            .values()
            .filter(move |known| known.missing.is_none_or(|missing| now < missing.gone_at))
            .map(|known| &known.entry)
            .filter(|entry| self.takes_requests(entry))
    }

    /// Whether a listed target accepts new requests: it does not drain, and its failure domain is not evacuated.
    #[must_use]
    pub fn takes_requests(&self, entry: &TargetEntry) -> bool {
        !entry.draining && !self.evacuated.contains(&entry.domain)
    }

    /// Hash of all entries, for detecting differences between VMs. It is computed once for each state of the entries.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        if let Some(fingerprint) = self.fingerprint.get() {
            return fingerprint;
        }
        let mut hasher = Xxh3::new();
        for known in self.targets.values() {
            known.entry.hash(&mut hasher);
        }
        let fingerprint = hasher.finish();
        self.fingerprint.set(Some(fingerprint));
        fingerprint
    }

    /// Number of entries, including missing ones within their grace period.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The entry of a target, also of a missing one within its grace period.
    #[must_use]
    pub fn entry(&self, id: &TargetId) -> Option<&TargetEntry> {
        self.targets.get(id).map(|known| &known.entry)
    }

    /// All entries by reference, including missing ones within their grace period.
    pub fn known_entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().map(|known| &known.entry)
    }

    /// All entries, including missing ones within their grace period.
    #[must_use]
    pub fn entries(&self) -> Vec<TargetEntry> {
        self.targets
            .values()
            .map(|known| known.entry.clone())
            .collect()
    }
}
