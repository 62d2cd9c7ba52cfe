//! The registered targets.
//!
//! While the registry is unavailable, live targets cannot renew their entries, which then expire. For [`RENEWAL_GRACE`]
//! after an outage, a missing entry therefore does not mean that the target is gone.

use compact_str::CompactString;
use plantainmill_core::{DomainName, ServiceName, TargetId, Uptime};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Time that live targets get to renew their entries after the registry is available again.
pub const RENEWAL_GRACE: Duration = Duration::from_secs(2);

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

#[derive(Clone, Debug)]
struct KnownTarget {
    entry: TargetEntry,
    /// Set while the entry is missing: when the target counts as gone.
    gone_at: Option<Uptime>,
}

/// The targets that this VM knows, with a grace period for missing entries after an outage of the registry.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    targets: BTreeMap<TargetId, KnownTarget>,
    /// Before this time, a live target may not have renewed its entry yet.
    renewal_deadline: Uptime,
    read_failed: bool,
    /// Failure domains whose targets get nothing new.
    evacuated: BTreeSet<DomainName>,
}

impl TargetRegistry {
    /// Records that the registry could not be read. The next [`TargetRegistry::apply`] starts a grace period.
    pub fn record_read_failure(&mut self) {
        self.read_failed = true;
    }

    /// Replaces all entries with those of another VM at `now`, without a grace period: that VM has already applied it.
    pub fn adopt(&mut self, entries: Vec<TargetEntry>, now: Uptime) {
        self.replace(entries, now, now);
    }

    /// Replaces all entries with those read from the registry at `now`. Missing entries stay until the end of the grace
    /// period, if there is one.
    pub fn apply(&mut self, entries: Vec<TargetEntry>, now: Uptime) {
        if self.read_failed {
            self.read_failed = false;
            self.renewal_deadline = now + RENEWAL_GRACE;
        }
        let present: HashSet<&TargetId> = entries.iter().map(|entry| &entry.id).collect();
        let missing = self
            .targets
            .iter()
            .filter(|(id, known)| known.gone_at.is_none() && !present.contains(id));
        // If only the targets lose the registry, reads succeed but many entries expire at once. A loss of at
        // least half of the targets, and of at least two, starts a grace period.
        if missing.count() * 2 >= self.targets.len().max(4) {
            self.renewal_deadline = now + RENEWAL_GRACE;
        }
        self.replace(entries, self.renewal_deadline, now);
    }

    /// Replaces all entries. A target whose entry is missing counts as gone from `renewal_deadline` on, or at once if
    /// another target has its address.
    fn replace(&mut self, entries: Vec<TargetEntry>, renewal_deadline: Uptime, now: Uptime) {
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
            let is_address_reused = addresses.contains(&known.entry.address);
            let gone_at = *known.gone_at.get_or_insert(renewal_deadline);
            now < gone_at && !is_address_reused
        });
        for (id, entry) in present {
            let known = KnownTarget {
                entry,
                gone_at: None,
            };
            self.targets.insert(id, known);
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
            .filter(move |known| known.gone_at.is_none_or(|gone_at| now < gone_at))
            .map(|known| &known.entry)
            .filter(|entry| !entry.draining && !self.evacuated.contains(&entry.domain))
    }

    /// Hash of all entries, for detecting differences between VMs.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for known in self.targets.values() {
            known.entry.hash(&mut hasher);
        }
        hasher.finish()
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
