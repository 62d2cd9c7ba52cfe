//! Split of an organisation's rate and burst over slots.

use compact_str::{CompactString, format_compact};
use plantainmill_config::{FleetConfig, OrganisationSpec};
use plantainmill_core::DomainName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Key of the row that holds the [`SlotLayout`].
pub const LAYOUT_KEY: &str = "slot-layout";
/// Minimum burst of a share, in tokens, when a rate is split at all. With smaller shares, tokens are lost in full
/// buckets while other buckets are empty: with 4 tokens 1.8% of the requests within the rate are refused, with 1
/// token 23%.
pub const MIN_SHARE_BURST: u32 = 8;
const NANOTOKENS_PER_TOKEN: f64 = 1e9;
/// Rates above this one, in requests per second, are treated as equal to it.
const MAX_RATE_PER_S: f64 = 1e9;

/// Identifies a slot: a part of every organisation's rate that one VM holds at a time.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SlotId {
    /// Failure domain whose VMs may hold the slot.
    pub domain: DomainName,
    /// Index within the failure domain, from zero.
    pub index: u16,
}

impl SlotId {
    /// Key of the slot's row in the table.
    #[must_use]
    pub fn row_key(&self) -> CompactString {
        format_compact!("slot/{}/{}", self.domain, self.index)
    }

    /// Rendezvous hashing weight of the slot for `organisation`; the slot with the highest weight ranks first.
    fn weight(&self, organisation: &str) -> u64 {
        let seed = xxh3_64(self.row_key().as_bytes());
        xxh3_64_with_seed(organisation.as_bytes(), seed)
    }
}

/// Slots of the fleet. All VMs agree on them through the row [`LAYOUT_KEY`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotLayout {
    /// Incremented by every change. Slots of generation 1 that were never held start with full buckets.
    pub generation: u64,
    /// Number of slots in each failure domain.
    pub domains: BTreeMap<DomainName, u16>,
}

impl SlotLayout {
    /// All slots, ordered by failure domain and index.
    #[must_use]
    pub fn slots(&self) -> Vec<SlotId> {
        let domains = self.domains.keys();
        domains.flat_map(|domain| self.slots_of(domain)).collect()
    }

    /// Slots of one failure domain, ordered by index.
    #[must_use]
    pub fn slots_of(&self, domain: &DomainName) -> Vec<SlotId> {
        let count = self.domains.get(domain).copied().unwrap_or(0);
        let indexes = 0..count;
        let slots = indexes.map(|index| SlotId {
            domain: domain.clone(),
            index,
        });
        slots.collect()
    }

    /// Number of slots over all failure domains.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.domains.values().map(|count| u32::from(*count)).sum()
    }

    /// All slots, ranked for `organisation` by rendezvous hashing.
    #[must_use]
    pub fn ranked_slots(&self, organisation: &str) -> Vec<SlotId> {
        let mut slots = self.slots();
        slots.sort_by_cached_key(|slot| (u64::MAX - slot.weight(organisation), slot.clone()));
        slots
    }

    /// Rank of `slot` for `organisation` by rendezvous hashing, from zero.
    #[must_use]
    pub fn rank(&self, organisation: &str, slot: &SlotId) -> u32 {
        let own = slot.weight(organisation);
        let slots = self.slots();
        let before = slots.iter().filter(|other| {
            let weight = other.weight(organisation);
            weight > own || (weight == own && *other < slot)
        });
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Digest of how every organisation of `config` is split. Organisations that are split over all slots, which is
    /// the common case, are left out.
    #[must_use]
    pub fn digest(&self, config: &FleetConfig) -> u64 {
        let full = self.count();
        let mut digest = Xxh3::new();
        for slot in self.slots() {
            digest.update(slot.row_key().as_bytes());
            digest.update(&[0]);
        }
        for (id, spec) in config.organisations.iter() {
            let width = self.width(spec);
            if width != full {
                digest.update(id.as_bytes());
                digest.update(&[0]);
                digest.update(&width.to_le_bytes());
            }
        }
        digest.digest()
    }

    /// Width of the split: the number of slots that share the rate and burst of `spec`.
    #[must_use]
    pub fn width(&self, spec: &OrganisationSpec) -> u32 {
        (spec.burst / MIN_SHARE_BURST).clamp(1, self.count().max(1))
    }
}

/// A rate and a burst: the whole of an organisation, or the part of one slot.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Share {
    /// Refill rate in nanotokens per second.
    pub rate: u64,
    /// Bucket capacity in tokens.
    pub burst: u32,
}

impl Share {
    /// Undivided `rate`, in tokens per second, and `burst`. The rate is rounded down to nanotokens per second; a rate
    /// that is negative or not finite becomes zero.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Clamped to 0..=1e18.
    pub fn whole(rate: f64, burst: u32) -> Share {
        let valid = rate.is_finite() && rate > 0.0;
        let rate = if valid {
            (rate.min(MAX_RATE_PER_S) * NANOTOKENS_PER_TOKEN) as u64
        } else {
            0
        };
        Share { rate, burst }
    }

    /// Part of the slot at `rank` when this share is split over the first `width` slots. Slots beyond the width get
    /// nothing.
    #[must_use]
    pub fn at_rank(self, rank: u32, width: u32) -> Share {
        if rank >= width {
            return Share::default();
        }
        Share {
            rate: self.rate / u64::from(width),
            burst: (self.burst.saturating_sub(rank)).div_ceil(width),
        }
    }

    /// Component-wise minimum of two shares.
    #[must_use]
    pub fn component_min(self, other: Share) -> Share {
        Share {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}
