//! Targets as they register themselves.
//!
//! A registry that was not available loses entries of targets that live on: they could not renew them. For a short
//! while after its return, a missing entry therefore does not mean that the target has gone.

use compact_str::CompactString;
use plantainmill_core::{DomainName, ServiceName, TargetId, Uptime};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Time after the registry's return in which targets renew their entries.
pub const RENEWAL_TIME: Duration = Duration::from_secs(2);

/// A registered target.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Identifies one start of the target.
    pub id: TargetId,
    /// Service it serves.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Requests it works on at once.
    pub slots: u32,
    /// It is about to stop and takes no new work.
    pub draining: bool,
    /// Unix milliseconds of its start, zero if it does not say. A later one under the same id is a new start.
    pub born: u64,
    /// Version of its software.
    pub version: CompactString,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    entry: TargetEntry,
    /// When its entry may be taken as gone, if it is missing.
    gone_at: Option<Uptime>,
}

/// The targets known to this VM.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    targets: BTreeMap<TargetId, KnownTarget>,
    /// Until then, a missing entry may only wait to be renewed.
    renewed_by: Uptime,
    failing: bool,
}

impl TargetRegistry {
    /// Records that the registry could not be read.
    pub fn record_read_failure(&mut self) {
        self.failing = true;
    }

    /// Takes all entries, as another VM knows them at `now`. It has allowed for entries that wait to be renewed.
    pub fn adopt(&mut self, entries: Vec<TargetEntry>, now: Uptime) {
        self.replace(entries, now, now);
    }

    /// Takes all entries, as read from the registry at `now`.
    pub fn apply(&mut self, entries: Vec<TargetEntry>, now: Uptime) {
        if self.failing {
            self.failing = false;
            self.renewed_by = now + RENEWAL_TIME;
        }
        let present: HashSet<&TargetId> = entries.iter().map(|entry| &entry.id).collect();
        let vanished = self
            .targets
            .iter()
            .filter(|(id, known)| known.gone_at.is_none() && !present.contains(id));
        // Many entries at once lapse together when the registry was away for the targets alone.
        if vanished.count() * 2 >= self.targets.len().max(4) {
            self.renewed_by = now + RENEWAL_TIME;
        }
        self.replace(entries, self.renewed_by, now);
    }

    /// Replaces all entries. Missing ones count as gone from `renewed_by` on.
    fn replace(&mut self, entries: Vec<TargetEntry>, renewed_by: Uptime, now: Uptime) {
        let mut present: BTreeMap<TargetId, TargetEntry> = entries
            .into_iter()
            .map(|entry| (entry.id.clone(), entry))
            .collect();
        let addresses: HashSet<SocketAddr> = present.values().map(|entry| entry.address).collect();
        self.targets.retain(|id, known| {
            if let Some(entry) = present.remove(id) {
                known.entry = entry;
                known.gone_at = None;
                return true;
            }
            let reused = addresses.contains(&known.entry.address);
            let gone_at = *known.gone_at.get_or_insert(renewed_by);
            now < gone_at && !reused
        });
        for (id, entry) in present {
            let known = KnownTarget {
                entry,
                gone_at: None,
            };
            self.targets.insert(id, known);
        }
    }

    /// The targets that may get new work at `now`.
    pub fn usable(&self, now: Uptime) -> impl Iterator<Item = &TargetEntry> {
        self.targets
            .values()
            .filter(move |known| known.gone_at.is_none_or(|gone_at| now < gone_at))
            .map(|known| &known.entry)
            .filter(|entry| !entry.draining)
    }

    /// A number that changes with the entries.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for known in self.targets.values() {
            known.entry.hash(&mut hasher);
        }
        hasher.finish()
    }

    /// All entries, those that wait to be renewed among them.
    #[must_use]
    pub fn entries(&self) -> Vec<TargetEntry> {
        self.targets
            .values()
            .map(|known| known.entry.clone())
            .collect()
    }
}
