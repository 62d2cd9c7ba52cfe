//! Transfer of the target list between VMs: what has changed since a list that the asking VM has, or the whole list.

use compact_str::CompactString;
use plantainmill_core::TargetId;
use plantainmill_routing::{ColdLeft, TargetChanges, TargetEntry, TargetHistory, TargetRegistry};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Answer to a VM that asks for the target list, encoded as an array without field names: fingerprint of the list, time
/// since it was known to match the registry, fingerprint of the list that the changes start from (none: the list is
/// whole), names, entries, removed targets.
#[derive(Debug, Deserialize, Serialize)]
pub struct TargetListAnswer(
    u64,
    Duration,
    Option<u64>,
    Vec<CompactString>,
    Vec<CompactEntry>,
    Vec<TargetId>,
);

/// A [`TargetEntry`]: id, service, address, domain, slots, whether it drains, start, version, further fields. Service,
/// domain and version are positions in the answer's names.
#[derive(Debug, Deserialize, Serialize)]
struct CompactEntry(
    TargetId,
    usize,
    SocketAddr,
    usize,
    u32,
    bool,
    u64,
    usize,
    EntryExtension,
);

/// Fields that not all releases know. A release ignores those that it does not know, and uses defaults for absent ones.
#[derive(Debug, Default, Deserialize, Serialize)]
struct EntryExtension {
    /// How much longer the target stays cold, in milliseconds.
    #[serde(default, rename = "c", skip_serializing_if = "Option::is_none")]
    cold_left_ms: Option<u32>,
}

/// Target list that a VM has received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetListUpdate {
    /// Fingerprint of the sender's list.
    pub fingerprint: u64,
    /// Time since that list was known to match the registry.
    pub age: Duration,
    /// The list, or what has changed in an earlier one.
    pub content: TargetListContent,
}

/// Content of a target list that a VM has received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetListContent {
    /// All entries.
    Whole(Vec<TargetEntry>),
    /// What has changed since the list with this fingerprint.
    Changes(u64, TargetChanges),
}

/// Names that are listed once.
#[derive(Default)]
struct NameTable {
    names: Vec<CompactString>,
    positions: HashMap<CompactString, usize>,
}

impl NameTable {
    fn position(&mut self, name: &CompactString) -> usize {
        if let Some(position) = self.positions.get(name) {
            return *position;
        }
        let position = self.names.len();
        self.names.push(name.clone());
        self.positions.insert(name.clone(), position);
        position
    }
}

impl TargetListAnswer {
    /// The answer to a VM whose list has the fingerprint `base`, if it has one. The list of `registry` was known to match
    /// the source of the targets `age` ago.
    #[must_use]
    pub fn new(
        registry: &TargetRegistry,
        history: &TargetHistory,
        base: Option<u64>,
        age: Duration,
    ) -> TargetListAnswer {
        let changes = base.and_then(|base| history.changes_since(base, registry));
        let base = base.filter(|_| changes.is_some());
        let changes = changes.unwrap_or_else(|| TargetChanges {
            changed: registry.entries(),
            removed: Vec::new(),
        });
        let mut names = NameTable::default();
        let entries = changes.changed.into_iter().map(|entry| {
            CompactEntry(
                entry.id,
                names.position(&entry.service),
                entry.address,
                names.position(&entry.domain),
                entry.slots,
                entry.draining,
                entry.born,
                names.position(&entry.version),
                EntryExtension {
                    cold_left_ms: entry.cold_left.0,
                },
            )
        });
        let entries = entries.collect();
        TargetListAnswer(
            registry.fingerprint(),
            age,
            base,
            names.names,
            entries,
            changes.removed,
        )
    }

    /// Whether the answer has the whole list.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.2.is_none()
    }

    /// The entries of the answer. `None` if a position of a name is out of range.
    #[must_use]
    pub fn into_update(self) -> Option<TargetListUpdate> {
        let TargetListAnswer(fingerprint, age, base, names, entries, removed) = self;
        let entries: Option<Vec<TargetEntry>> = entries
            .into_iter()
            .map(|entry| entry.into_entry(&names))
            .collect();
        let changed = entries?;
        let content = match base {
            Some(base) => TargetListContent::Changes(base, TargetChanges { changed, removed }),
            None => TargetListContent::Whole(changed),
        };
        Some(TargetListUpdate {
            fingerprint,
            age,
            content,
        })
    }
}

impl CompactEntry {
    fn into_entry(self, names: &[CompactString]) -> Option<TargetEntry> {
        let CompactEntry(id, service, address, domain, slots, draining, born, version, extension) =
            self;
        Some(TargetEntry {
            id,
            service: names.get(service)?.clone(),
            address,
            domain: names.get(domain)?.clone(),
            slots,
            draining,
            born,
            version: names.get(version)?.clone(),
            cold_left: ColdLeft(extension.cold_left_ms),
        })
    }
}
